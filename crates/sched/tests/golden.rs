//! Golden tests: files contain the encoded bytes of every kind of record in the key-value store, and
//! the code must write and read exactly these bytes.
//!
//! A file is replaced only if the encoding of a record is changed on purpose.

extern crate sageloom_sched as sched;

#[path = "golden/drain_records.rs"]
mod drain_records;
#[path = "../../wire/tests/golden/files.rs"]
mod files;
#[path = "golden/fixture.rs"]
mod fixture;
#[path = "../../wire/tests/golden/job_specs.rs"]
mod job_specs;
#[path = "golden/jobs.rs"]
mod jobs;
#[path = "../../wire/tests/golden/machine_types.rs"]
mod machine_types;
#[path = "../../wire/tests/golden/messages.rs"]
mod messages;
#[path = "golden/records.rs"]
mod records;
#[path = "golden/stored.rs"]
mod stored;
#[path = "golden/termination_codes.rs"]
mod termination_codes;
