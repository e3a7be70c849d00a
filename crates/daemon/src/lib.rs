//! The program `sageloom`: one controller of the cluster scheduler, and its command line.
//!
//! docs/architecture.md describes the modules. The layers, from the lowest up: plain state and
//! decisions, the tasks of a controller that do input and output, `process`, which composes them,
//! and `cli` on top.

#![deny(missing_docs)]
#![cfg_attr(not(test), deny(clippy::too_many_lines))]

mod api;
mod autoscaler;
#[cfg(feature = "bench")]
#[path = "../benches/load/cases.rs"]
pub mod cases;
mod change_feed;
mod chunk_collector;
mod cli;
mod client;
mod clock;
mod commit;
mod controller;
mod drains;
mod emulated;
#[cfg(test)]
#[path = "../tests/unit/fault_days/mod.rs"]
mod fault_days;
#[cfg(test)]
#[path = "../tests/unit/faults_machines.rs"]
mod faults_machines;
#[cfg(test)]
#[path = "../tests/unit/faults_users.rs"]
mod faults_users;
mod forwarded_proofs;
mod freshness_checks;
#[cfg(test)]
#[path = "../tests/unit/large_site.rs"]
mod large_site;
mod limits;
mod load;
mod load_log;
mod logging;
mod membership;
mod operators;
mod peer_client;
mod peer_server;
mod peer_status;
#[cfg(test)]
#[path = "../tests/unit/pipelines.rs"]
mod pipelines;
mod prober;
mod process;
#[cfg(test)]
#[path = "../tests/unit/production.rs"]
mod production;
mod read_barrier;
mod read_index;
mod read_records;
#[cfg(test)]
#[path = "../tests/unit/scale.rs"]
mod scale;
mod scheduler;
mod server_connections;
mod settings;
#[cfg(test)]
#[path = "../tests/unit/sim/mod.rs"]
mod sim;
#[cfg(test)]
#[path = "../tests/unit/stand_in.rs"]
mod stand_in;
mod state;
mod timeouts;
mod watched_value;
mod worker;
mod worker_client;

pub use cli::main;
pub use process::run_controller;
