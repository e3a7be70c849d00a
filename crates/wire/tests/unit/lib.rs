use super::*;

/// Encodes an example of the protocol's documentation as a MessagePack map with text keys.
fn msgpack(json: &str) -> Vec<u8> {
    let value: serde_json::Value = serde_json::from_str(json).expect("an example");
    rmp_serde::to_vec_named(&value).expect("encodes")
}

/// Decodes an example and checks that all of its fields are encoded again unchanged.
fn check_round_trip<T: serde::de::DeserializeOwned + serde::Serialize>(json: &str) -> T {
    let decoded: T = decode(&msgpack(json)).expect("decodes");
    let encoded: serde_json::Value = decode(&encode(&decoded)).expect("round trip");
    let expected: serde_json::Value = serde_json::from_str(json).expect("an example");
    for (field, value) in expected.as_object().expect("a map") {
        if !value.is_null() {
            assert_eq!(encoded.get(field), Some(value), "{field}");
        }
    }
    decoded
}

const JOB: &str = r#"{"id":"j-000412","pattern":"train","owner":"vision","weave":"ensemble","rank":"high",
        "threads":16,"cpus":8.0,"gpus":1.0,"mem_gb":64.0,"bundle":"img-07","size_gb":6.2,"shapes":["g8"],"bay":null,
        "one_zone":true,"spread":false,"loaner":true,"guess_s":240.0,"knot_s":30.0,"tie_s":4.0,"due_s":900.0}"#;

#[test]
fn documented_examples_are_decoded_and_encoded_again() {
    let job: JobSpec = check_round_trip(JOB);
    assert_eq!((job.kind, job.priority, job.tasks), (JobKind::Gang, Priority::High, 16));
    assert_eq!(job.invalid_field(), None);
    let heartbeat: Heartbeat = decode(&msgpack(
        r#"{"frame":"host-000231","addr":"10.1.0.232:9000","shape":"g8","bay":"a","loaner":true,"stint":1,
            "tally":88,"baton":41,"warning_s":null,"new_field":7,
            "threads":[{"thread":"j-000412/3","try":2,"status":"running"},
                       {"thread":"j-000398/0","try":1,"status":"ended","cause":"some_new_cause"}]}"#,
    ))
    .expect("a heartbeat");
    assert_eq!(heartbeat.tasks[0].job_and_task_number(), Some(("j-000412", 3)));
    assert_eq!(heartbeat.tasks[1].cause, Some(ExitReason::Other));
    check_round_trip::<HeartbeatResponse>(
        r#"{"baton":41,"orders":[{"verb":"launch","thread":"j-000412/4","try":2},
            {"verb":"stop","thread":"j-000377/1","try":1,"leeway_s":10.0},{"verb":"clear","thread":"j-1/0","try":1}]}"#,
    );
    let txn: Txn<serde_json::Value> = check_round_trip(
        r#"{"if":[{"k":"a/b","stamp":0}],"then":[{"put":"a/b","v":{"x":1},"hold":7},{"remove":"c/d"}]}"#,
    );
    assert!(matches!(txn.ops[1], Op::Delete { .. }));
    let changes: Changes<serde_json::Value> = decode(&msgpack(
        r#"{"epoch":433,"news":[{"put":"c/9","v":{},"stamp":433},{"remove":"c/d","stamp":432}]}"#,
    ))
    .expect("changes");
    assert_eq!(changes.events[1].delete.as_deref(), Some("c/d"));
}

#[test]
fn the_invalid_field_is_named_when_a_job_is_invalid() {
    let job: JobSpec = decode(&msgpack(JOB)).expect("a job");
    let invalid_field_after = |change: &dyn Fn(&mut JobSpec)| {
        let mut job = job.clone();
        change(&mut job);
        job.invalid_field()
    };
    assert_eq!(invalid_field_after(&|j| j.id = "k-1".into()), Some("id"));
    assert_eq!(invalid_field_after(&|j| j.tasks = 0), Some("threads"));
    assert_eq!(invalid_field_after(&|j| j.tasks = 100_001), Some("threads"));
    assert_eq!(invalid_field_after(&|j| j.cpus = -1.0), Some("cpus"));
    assert_eq!(invalid_field_after(&|j| j.memory_gb = f64::NAN), Some("mem_gb"));
    for (from, to) in
        [("\"high\"", "\"urgent\""), ("\"threads\":16", "\"threads\":\"x\""), ("\"owner\"", "\"x\"")]
    {
        assert!(decode::<JobSpec>(&msgpack(&JOB.replacen(from, to, 1))).is_err(), "{to}");
    }
    assert!(decode::<JobSpec>(b"\x01").is_err());
}

/// Guards against a field of a job that is lost because the list of known fields does not name it.
#[test]
fn every_field_of_a_job_is_read_from_a_submission() {
    let submitted = JobSpec {
        id: "j-2".into(),
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Gang,
        priority: Priority::High,
        tasks: 16,
        cpus: 8.0,
        gpus: 1.0,
        memory_gb: 64.0,
        image: "img-07".into(),
        image_gb: 6.2,
        types: Some(vec!["g8".into()]),
        zone: Some("a".into()),
        one_zone: true,
        spread: false,
        spot: true,
        estimated_runtime_s: 240.0,
        checkpoint_interval_s: 30.0,
        checkpoint_save_s: 4.0,
        deadline_s: Some(900.0),
        dependencies: Some(vec!["j-1".into()]),
    };
    let body = encode(&submitted);
    let names: std::collections::BTreeMap<String, serde_json::Value> = decode(&body).expect("a map");
    let known: std::collections::BTreeSet<&str> = jobs::SUBMISSION_FIELDS.into_iter().collect();
    assert!(names.keys().map(String::as_str).eq(known));
    assert_eq!(JobSpec::from_submission(&body), Ok(submitted));
}
