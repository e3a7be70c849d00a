//! Golden tests of the messages between users and controllers.

use serde_json::json;
use wire::{ErrorBody, JobKind, JobSpec, JobState, JobStatus, Priority};

use crate::job_specs;
use crate::messages::{check, check_read};

#[test]
fn job_spec_of_every_kind() {
    let kinds = [(JobKind::Array, "array"), (JobKind::Gang, "gang"), (JobKind::Service, "service")];
    for (kind, name) in kinds {
        check(&format!("job-spec-kind-{name}.msgpack"), &job_specs::full(kind, Priority::Normal));
    }
}

#[test]
fn job_spec_of_every_priority() {
    let priorities = [
        (Priority::Low, "low"),
        (Priority::Normal, "normal"),
        (Priority::High, "high"),
        (Priority::Production, "production"),
    ];
    for (priority, name) in priorities {
        check(&format!("job-spec-priority-{name}.msgpack"), &job_specs::full(JobKind::Array, priority));
    }
}

#[test]
fn job_spec_without_optional_fields() {
    check("job-spec-without-optional-fields.msgpack", &job_specs::without_optional_fields());
}

/// Kinds and priorities are sent by name. In MessagePack, the index of the variant would be accepted as
/// well if it were not refused explicitly.
#[test]
fn job_spec_is_refused_when_a_kind_or_priority_is_a_number() {
    let spec = job_specs::without_optional_fields();
    for field in ["weave", "rank"] {
        let mut message: serde_json::Value = wire::decode(&wire::encode(&spec)).expect("a map");
        message[field] = json!(0);
        assert!(wire::decode::<JobSpec>(&wire::encode(&message)).is_err(), "{field}");
    }
}

#[test]
fn job_status_of_every_state() {
    let states = [
        (JobState::Queued, "queued"),
        (JobState::Running, "running"),
        (JobState::Done, "done"),
        (JobState::Cancelled, "cancelled"),
    ];
    for (state, name) in states {
        let status = JobStatus {
            id: "j-000412".into(),
            state,
            done: 301,
            running: 45,
            waits_for: vec!["j-000411".into(), "j-000003".into()],
        };
        check(&format!("job-status-{name}.msgpack"), &status);
    }
}

#[test]
fn job_status_without_optional_fields() {
    let status = JobStatus {
        id: "j-000413".into(),
        state: JobState::Queued,
        done: 0,
        running: 0,
        waits_for: Vec::new(),
    };
    check("job-status-without-optional-fields.msgpack", &status);
    check_read(&json!({ "id": "j-000413", "status": "queued", "unknown": 1 }), &status);
}

#[test]
fn error_body() {
    check("error-body.msgpack", &ErrorBody { error: "no such job".into() });
}
