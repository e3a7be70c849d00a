# The operators' settings with every field, each with another value than its default.
rescheduler {
  scan_s    = 11
  threshold = 0.45
  budget_s  = 62.5
  avoid_s   = 303
}

fleet {
  idle_s          = 24.5
  silent_s        = 95
  spare_gpu_tasks = 6
}

drains {
  enabled              = true
  replicas_per_service = 3

  team "team-a" {
    count = 4
  }

  team "team b" {
    share = 0.25
  }
}
