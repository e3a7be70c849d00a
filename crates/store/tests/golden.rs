//! Golden tests of the keys and values of all records in the key-value store.
//!
//! The files with whole records belong to the package `sched`.

extern crate sageloom_store as store;

#[path = "golden/changes.rs"]
mod changes;
#[path = "golden/chunked.rs"]
mod chunked;
#[path = "../../sched/tests/golden/drain_records.rs"]
mod drain_records;
#[path = "../../wire/tests/golden/files.rs"]
mod files;
#[path = "../../sched/tests/golden/fixture.rs"]
mod fixture;
#[path = "../../wire/tests/golden/job_specs.rs"]
mod job_specs;
#[path = "../../sched/tests/golden/jobs.rs"]
mod jobs;
#[path = "golden/keys.rs"]
mod keys;
#[path = "../../wire/tests/golden/machine_types.rs"]
mod machine_types;
#[path = "../../sched/tests/golden/records.rs"]
mod records;
#[path = "golden/values.rs"]
mod values;
