//! Golden tests: the files have the bytes of every message between controllers and users, workers, the
//! cloud and the key-value store, which the code has to encode and decode exactly.
//!
//! A file is replaced only when the protocol itself is changed on purpose.

extern crate sageloom_wire as wire;

#[path = "golden/cloud_and_store.rs"]
mod cloud_and_store;
#[path = "golden/files.rs"]
mod files;
#[path = "golden/job_specs.rs"]
mod job_specs;
#[path = "golden/jobs.rs"]
mod jobs;
#[path = "golden/machine_types.rs"]
mod machine_types;
#[path = "golden/messages.rs"]
mod messages;
#[path = "golden/workers.rs"]
mod workers;
