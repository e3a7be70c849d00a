# A small emulated site: three controllers in two zones, three teams, and machines that
# boot within seconds. `sageloom try` runs it with its controllers; `sageloom emulate --site`
# runs the site alone, for controllers that are started by hand. All addresses are loopback
# addresses.

seed = 20

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
  notice_s    = 30
}

limits {
  cores           = 1
  memory_mb       = 256
  max_connections = 1024
}
