//! Checks the state service against its protocol document, on a simulated clock.

#![allow(clippy::panic)]

use std::time::{Duration, Instant};

use emulator::{RequestOutcome, ServiceFaults, StateLimits, StateService};
use net::{Reply, Request};
use rmpv::Value;
use serde_json::{Value as Json, json};

const LIMITS: StateLimits = StateLimits { rps: 1000.0, write_rps: 1000.0, value_kb: 2.0, txn_ops: 4 };

fn request(method: &str, path: &str, body: &Json) -> Request {
    Request { method: method.into(), path: path.into(), body: wire::encode(body).into() }
}

fn json(reply: &Reply) -> Json {
    wire::decode(&reply.body).expect("MessagePack")
}

struct Test {
    service: StateService,
    now: Instant,
}

impl Test {
    fn new(limits: StateLimits) -> Self {
        let now = Instant::now();
        Self { service: StateService::new(limits, 1, now), now }
    }

    fn step(&mut self, caller: usize, method: &str, path: &str, body: Json) -> RequestOutcome {
        self.service.handle(caller, &request(method, path, &body), self.now)
    }

    fn send(&mut self, method: &str, path: &str, body: Json) -> (u16, Json) {
        match self.step(0, method, path, body) {
            RequestOutcome::Answer(reply, _) => (reply.status, json(&reply)),
            step => panic!("{step:?}"),
        }
    }

    fn put(&mut self, key: &str, lease: Option<u64>) -> (u16, Json) {
        self.send("POST", "/txn", json!({"if":[],"then":[{"put":key,"v":{"x":1},"hold":lease}]}))
    }

    fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    fn has(&mut self, key: &str) -> bool {
        self.send("GET", &format!("/keys/{key}"), Json::Null).0 == 200
    }

    fn lease(&mut self, ms: u64) -> u64 {
        self.send("POST", "/leases", json!({"life_ms":ms})).1["hold"].as_u64().expect("a lease")
    }
}

#[test]
fn transactions_check_conditions_and_apply_changes_atomically() {
    let mut t = Test::new(LIMITS);
    assert_eq!(t.put("a/b", None), (200, json!({"epoch":1})));
    let txn = json!({"if":[{"k":"a/b","stamp":1},{"k":"a/c","stamp":0}],
        "then":[{"put":"a/c","v":{"y":2.0}},{"remove":"a/b"}]});
    assert_eq!(t.send("POST", "/txn", txn.clone()), (200, json!({"epoch":2})));
    assert_eq!(t.send("POST", "/txn", txn), (409, json!({"failed":["a/b","a/c"],"epoch":2})));
    assert_eq!(t.send("GET", "/keys/a/c", Json::Null), (200, json!({"k":"a/c","v":{"y":2.0},"stamp":2})));
    assert_eq!(t.send("GET", "/keys/a/b", Json::Null), (404, json!({"epoch":2})));
    assert_eq!(t.send("POST", "/txn", json!({"if":[{"k":"a/c","stamp":2}]})), (200, json!({"epoch":2})));
    for n in 0..4 {
        t.put(&format!("c/{n}"), None);
    }
    let (_, page) = t.send("GET", "/keys?prefix=c/&after=c/0&page=2", Json::Null);
    assert_eq!((&page["entries"][0]["k"], &page["has_next"]), (&json!("c/1"), &json!(true)));
    let (_, page) = t.send("GET", "/keys?prefix=c/&after=c/2&page=2", Json::Null);
    assert_eq!((page["entries"].as_array().map(Vec::len), &page["has_next"]), (Some(1), &json!(false)));
}

#[test]
fn malformed_or_too_large_requests_get_400() {
    let mut t = Test::new(LIMITS);
    let put = |key: &str, v: Json| json!({"put":key,"v":v});
    let long = "k".repeat(201);
    let large = "x".repeat(2047);
    let cases = [
        json!(7),
        json!({"if":[],"then":[{"neither":1}]}),
        json!({"if":[],"then":[put("a b", json!(1))]}),
        json!({"if":[],"then":[put("", json!(1))]}),
        json!({"if":[],"then":[put(&long, json!(1))]}),
        json!({"if":[],"then":[put("a", json!(large))]}),
        json!({"if":[],"then":vec![put("a", json!(1)); 5]}),
        json!({"if":vec![json!({"k":"a","stamp":0}); 17],"then":[]}),
        json!({"if":[],"then":[{"put":"a","v":1,"hold":99}]}),
    ];
    for case in cases {
        let (status, answer) = t.send("POST", "/txn", case.clone());
        assert_eq!(status, 400, "{case} {answer}");
    }
    let binary = Value::Map(vec![(
        "then".into(),
        Value::Array(vec![Value::Map(vec![
            ("put".into(), "a".into()),
            ("v".into(), Value::Binary(vec![1])),
        ])]),
    )]);
    let raw = Request { method: "POST".into(), path: "/txn".into(), body: wire::encode(&binary).into() };
    assert!(matches!(t.service.handle(0, &raw, t.now), RequestOutcome::Answer(r, _) if r.status == 400));
    let largest_value = "x".repeat(2046);
    let largest_txn =
        json!({"if":vec![json!({"k":"a","stamp":0}); 16],"then":[put("a", json!(largest_value))]});
    assert_eq!(t.send("POST", "/txn", largest_txn).0, 200, "all limits are inclusive");
    for (method, path, status) in
        [("GET", "/keys?page=1001", 400), ("GET", "/follow?hold_ms=60001", 400), ("PUT", "/txn", 404)]
    {
        assert_eq!(t.send(method, path, Json::Null).0, status, "{path}");
    }
    assert_eq!(t.send("POST", "/leases", json!({"life_ms":99})).0, 400);
    assert_eq!(t.send("POST", "/leases/7/touch", Json::Null).0, 404);
}

#[test]
fn a_lease_ends_late_by_100_ms_at_most_and_never_early() {
    for seed in 0..50 {
        let mut t = Test::new(LIMITS);
        t.service = StateService::new(LIMITS, seed, t.now);
        let lease = t.lease(1000);
        t.put("m", Some(lease));
        t.put("free", Some(lease));
        t.put("free", None);
        t.advance(900);
        assert_eq!(t.send("POST", &format!("/leases/{lease}/touch"), Json::Null).0, 200);
        t.advance(999);
        assert!(t.has("m"), "renewed in time");
        t.advance(102);
        assert!(!t.has("m") && t.has("free"));
        assert_eq!(t.put("m", Some(lease)).1["error"], "no such lease");
        let ended = t.lease(600_000);
        t.put("m", Some(ended));
        assert_eq!(t.send("DELETE", &format!("/leases/{ended}"), Json::Null).0, 200);
        assert!(!t.has("m"));
    }
}

#[test]
fn leases_are_extended_after_an_outage_but_expire_while_their_caller_is_refused() {
    let mut t = Test::new(LIMITS);
    let lease = t.lease(1000);
    t.put("m", Some(lease));
    t.service.set_faults(ServiceFaults { outage: true, ..ServiceFaults::default() }, t.now);
    t.advance(900_000);
    assert_eq!(t.put("n", None).0, 503);
    t.service.set_faults(ServiceFaults::default(), t.now);
    t.advance(999);
    assert!(t.has("m") && !t.has("n"));
    t.send("POST", &format!("/leases/{lease}/touch"), Json::Null);
    let refused = ServiceFaults { refused: [0].into(), ..ServiceFaults::default() };
    t.service.set_faults(refused, t.now);
    t.advance(1101);
    assert_eq!(t.put("n", None).0, 503);
    assert!(
        matches!(t.step(1, "GET", "/keys/m", Json::Null), RequestOutcome::Answer(r, _) if r.status == 404)
    );
}

#[test]
fn watches_wait_for_changes_and_old_changes_are_discarded() {
    let mut t = Test::new(StateLimits { rps: 1e6, write_rps: 1e6, ..LIMITS });
    t.put("c/1", None);
    let RequestOutcome::Wait(watch) = t.step(1, "GET", "/follow?prefix=c/&after=1&hold_ms=5000", Json::Null)
    else {
        panic!("nothing has changed yet")
    };
    t.put("d/1", None);
    assert!(t.service.poll_watch(&watch, t.now).is_none(), "another prefix");
    t.send("POST", "/txn", json!({"then":[{"remove":"c/1"},{"put":"c/2","v":5}]}));
    let changes = json(&t.service.poll_watch(&watch, t.now).expect("an answer"));
    assert_eq!(changes, json!({"epoch":3,"news":[{"remove":"c/1","stamp":3},{"put":"c/2","v":5,"stamp":3}]}));
    let RequestOutcome::Wait(watch_without_changes) =
        t.step(1, "GET", "/follow?prefix=c/&after=3&hold_ms=5000", Json::Null)
    else {
        panic!("nothing has changed yet")
    };
    t.service.set_faults(ServiceFaults { outage: true, ..ServiceFaults::default() }, t.now);
    t.advance(5000);
    assert!(t.service.poll_watch(&watch_without_changes, t.now).is_none(), "a watch stays open in an outage");
    t.service.set_faults(ServiceFaults::default(), t.now);
    assert_eq!(
        json(&t.service.poll_watch(&watch_without_changes, t.now).expect("time is up"))["news"],
        json!([])
    );
    for _ in 0..10_000 {
        t.put("d/1", None);
    }
    assert_eq!(t.send("GET", "/follow?prefix=c/&after=2", Json::Null).0, 410);
    assert_eq!(t.send("GET", "/follow?prefix=c/&after=3", Json::Null).0, 200);
}

#[test]
fn rate_limits_allow_bursts_of_one_second() {
    let mut t = Test::new(StateLimits { rps: 10.0, write_rps: 4.0, ..LIMITS });
    let failing = json!({"if":[{"k":"none","stamp":9}],"then":[{"remove":"a"},{"remove":"b"}]});
    assert_eq!(t.send("POST", "/txn", failing.clone()).0, 409);
    assert_eq!(t.put("a", None).0, 200);
    assert_eq!(
        t.send("POST", "/txn", failing).0,
        429,
        "changes of failed transactions count towards the limit"
    );
    let statuses: Vec<u16> = (0..9).map(|_| t.send("GET", "/keys/a", Json::Null).0).collect();
    assert_eq!(statuses, [vec![200; 7], vec![429; 2]].concat());
    t.advance(100);
    assert_eq!(t.send("GET", "/keys/a", Json::Null).0, 200);
}

#[test]
fn injected_faults_make_answers_lost_late_or_slow() {
    let mut t = Test::new(LIMITS);
    let put = json!({"then":[{"put":"a","v":1}]});
    t.service.set_faults(ServiceFaults { lost_share: 1.0, ..ServiceFaults::default() }, t.now);
    assert!(matches!(t.step(0, "POST", "/txn", put.clone()), RequestOutcome::Lost));
    assert_eq!(t.service.data().revision, 1, "executed although the answer is lost");
    let late = ServiceFaults {
        late_share: 1.0,
        max_execution_delay: Duration::from_secs(60),
        ..ServiceFaults::default()
    };
    t.service.set_faults(late, t.now);
    assert!(matches!(t.step(0, "POST", "/txn", put.clone()), RequestOutcome::Late(_)));
    assert_eq!(t.service.data().revision, 1, "not executed yet");
    let slow = ServiceFaults {
        slow_share: 1.0,
        max_answer_delay: Duration::from_millis(400),
        ..ServiceFaults::default()
    };
    t.service.set_faults(slow, t.now);
    let RequestOutcome::Answer(reply, delay) = t.step(0, "POST", "/txn", put) else { panic!("an answer") };
    assert!(reply.status == 200 && (40..400).contains(&delay.as_millis()), "{delay:?}");
}

#[test]
fn acknowledged_data_is_restored_after_a_restart() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("state");
    let open = |now| StateService::open(LIMITS, 1, &path, now).expect("opens");
    let mut t = Test::new(LIMITS);
    t.service = open(t.now);
    let lease = t.lease(1000);
    t.put("member", Some(lease));
    t.put("a", None);
    t.send("POST", "/txn", json!({"then":[{"remove":"a"},{"put":"b","v":{"z":[1,null,2.5]}}]}));
    let (before, old_lease) = (t.service.data().keys.clone(), lease);
    t.advance(500);
    t.service = open(t.now);
    assert_eq!((&t.service.data().keys, t.service.data().revision), (&before, 3));
    t.advance(999);
    assert!(t.has("member"), "the lease has its full time again");
    t.advance(102);
    assert!(!t.has("member") && t.lease(1000) > old_lease);
    // Snapshots keep the file small despite many changes of large values.
    for n in 0..1200 {
        t.advance(10);
        let v = "x".repeat(1500);
        assert_eq!(t.send("POST", "/txn", json!({"then":[{"put":format!("k/{}", n % 5),"v":v}]})).0, 200);
    }
    assert!(std::fs::metadata(&path).expect("a file").len() < 2 << 20);
    let (before, revision) = (t.service.data().keys.clone(), t.service.data().revision);
    t.service = open(t.now);
    assert_eq!((&t.service.data().keys, t.service.data().revision), (&before, revision));
    assert_eq!(t.send("GET", "/follow?prefix=k/&after=3", Json::Null).0, 410);
}
