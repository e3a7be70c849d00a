use super::*;
use sched::records::*;

#[test]
fn job_records_are_unchanged_after_a_round_trip() {
    let mut job: JobRecord = rmp_serde::from_slice(
        &rmp_serde::to_vec_named(&JobRecord {
            phase: Phase::Active,
            spec: None,
            shard: Some("n".into()),
            submitted_ms: 5,
            attempt: 2,
            done: Ranges::all(3),
            assignments: vec![Assignment {
                task: 4,
                attempt: 2,
                machine: "host-1".into(),
                desired: DesiredState::Running,
            }],
            avoided_machines: vec![("host-9".into(), 77)],
            vacated_machines: vec!["host-8".into()],
            last_eviction_ms: 0,
            failed_starts: 1,
            last_failure_ms: 9,
            dependencies: vec!["j-000000000000000001".into(), "j-7".into()],
            accepted_ms: 4,
            ended_ms: 0,
            urgency: Urgency::default(),
        })
        .unwrap_or_default(),
    )
    .expect("decodes");
    job.last_failure_ms = 10;
    let write = KeyWrite::new(key::job("j-1"), &job);
    let (change, is_unreadable) = decode_change(&write.key, write.value);
    assert!(!is_unreadable);
    let RecordChange::Job(id, Some(decoded)) = change else { unreachable!("a job") };
    assert_eq!((id.as_str(), *decoded), ("j-1", job));
}

#[test]
fn values_are_reported_as_unreadable_when_they_are_not_records() {
    assert!(decode_change(key::MAP, Some(Value::from("x"))).1);
    assert!(!decode_change(key::MAP, None).1);
}
