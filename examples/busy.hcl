# The site of site.hcl with emulated users and with injected faults, for a run of two minutes.
# `sageloom try --site examples/busy.hcl` prints the results at the end.

seed = 21

# data = "site-data"   # folder for the data of the state service and of jobs

listen {
  users = "127.0.0.1:8080" # the load balancer
  cloud = "127.0.0.1:8070"
}

# Users must connect to a controller through its proxy, `door`: the emulated site reads the
# submitted jobs there, because the workers get the job descriptions from the site.
controller "weaver-1" {
  zone     = "mill"
  front    = "127.0.0.1:8091"
  internal = "127.0.0.1:8094"
  door     = "127.0.0.1:8081"
  state    = "127.0.0.1:8071"
}

controller "weaver-2" {
  zone     = "yard"
  front    = "127.0.0.1:8092"
  internal = "127.0.0.1:8095"
  door     = "127.0.0.1:8082"
  state    = "127.0.0.1:8072"
}

controller "weaver-3" {
  zone     = "mill"
  front    = "127.0.0.1:8093"
  internal = "127.0.0.1:8096"
  door     = "127.0.0.1:8083"
  state    = "127.0.0.1:8073"
}

machine_type "small" {
  cpus           = 4
  memory_gb      = 16
  cache_gb       = 40
  fetch_gb_per_s = 2.0
  price          = 0.2
  spot_price     = 0.07
  boot_s         = 1.0
  capacity       = { mill = 20, yard = 20 }
  spot_capacity  = { mill = 10, yard = 10 }
}

machine_type "gpu" {
  cpus           = 32
  gpus           = 4
  memory_gb      = 256
  cache_gb       = 100
  fetch_gb_per_s = 2.0
  price          = 6.0
  spot_price     = 2.2
  boot_s         = 2.0
  capacity       = { mill = 6 }
  spot_capacity  = { mill = 4 }
}

team "looms" {
  cpus     = 24
  cpus_max = 96
  gpus     = 4
  gpus_max = 16
}

team "dyes" {
  cpus     = 16
  cpus_max = 64
}

team "guests" {
  cpus     = 8
  cpus_max = 32
}

workers {
  report_s    = 1.5
  lease_s     = 15
  gang_wait_s = 25
  gang_peer_s = 4
  cancel_s    = 30
}

state {
  rps       = 150
  write_rps = 60
  value_kb  = 12
  txn_ops   = 24
}

cloud {
  rps         = 6
  list_lag_s  = 3
  quick_boots = 0.1
  slow_boots  = 0.05
  never_up    = 0.02
  notice_s    = 20
  no_notice   = 0.2
}

limits {
  cores           = 1
  memory_mb       = 256
  max_connections = 1024
}

# The name of a `load` block is the class of its jobs.
load "carding" {
  team       = "dyes"
  kind       = "array"
  priority   = "low"
  per_minute = 12
  tasks      = 6
  cpus       = 1
  memory_gb  = 2
  image      = "carding"
  image_gb   = 1.0
  spot       = true
  estimate_s = 4
  stays_s    = 5
  cancelled  = 0.1
}

load "weaving" {
  team         = "looms"
  kind         = "gang"
  priority     = "normal"
  per_minute   = 4
  tasks        = 3
  cpus         = 2
  memory_gb    = 4
  image        = "weaving"
  image_gb     = 2.0
  one_zone     = true
  estimate_s   = 8
  checkpoint_s = 2
  save_s       = 0.5
  deadline_s   = 60
  stays_s      = 0
}

load "counter" {
  team       = "guests"
  kind       = "service"
  priority   = "high"
  per_minute = 3
  tasks      = 2
  cpus       = 0.5
  memory_gb  = 1
  image      = "counter"
  image_gb   = 0.5
  spread     = true
  stays_s    = 25
}

trouble "no-state-service" {
  kind  = "state_outage"
  at_s  = 30
  for_s = 8
}

trouble "one-is-refused" {
  kind       = "state_refuses"
  controller = "weaver-2"
  at_s       = 50
  for_s      = 10
}

trouble "lost-answers" {
  kind  = "state_lost"
  share = 0.03
  at_s  = 0
  for_s = 100
}

trouble "hanging-machines" {
  kind  = "hang"
  share = 0.3
  at_s  = 65
  for_s = 6
}

trouble "reclaims" {
  kind  = "reclaim"
  share = 0.5
  at_s  = 75
}

trouble "deaths" {
  kind  = "death"
  share = 0.1
  at_s  = 85
}
