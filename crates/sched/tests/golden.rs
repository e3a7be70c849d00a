//! Golden data: files with the bytes of every record of the state service. The code has to write
//! and to read just these.
//!
//! A file is only replaced where the form of a record is changed on purpose.

extern crate sageloom_sched as sched;

#[path = "golden/drain_records.rs"]
mod drain_records;
#[path = "golden/end_codes.rs"]
mod end_codes;
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
