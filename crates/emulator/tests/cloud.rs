//! Checks the cloud against its protocol document, on a simulated clock.

#![allow(clippy::panic)]

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use emulator::{Cloud, CloudSettings, MachineEvent, ServiceFaults};
use net::Request;
use serde_json::{Value as Json, json};
use wire::MachineType;

fn machine_type(name: &str, boot_s: f64) -> MachineType {
    MachineType {
        name: name.into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 16.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price: 36.0,
        spot_price: 18.0,
        boot_s,
        zones: vec!["east".into()],
    }
}

fn settings() -> CloudSettings {
    CloudSettings {
        types: vec![machine_type("m4", 10.0)],
        capacity: HashMap::from([(("m4".into(), "east".into()), (60, 3))]),
        rps: 1000.0,
        list_lag: Duration::from_secs(4),
        slow_boots: 0.0,
        quick_boots: 0.0,
        never_up: 0.0,
        spot_life: None,
        life: None,
        notice: Duration::from_secs(20),
        no_notice: 0.0,
        first_number: 7,
    }
}

struct Test {
    cloud: Cloud,
    start: Instant,
    now: Instant,
}

impl Test {
    fn new(settings: CloudSettings, seed: u64) -> Self {
        let now = Instant::now();
        let addresses = Box::new(|name: &str| Some(format!("{name}:9000")));
        Self { cloud: Cloud::new(settings, addresses, seed, now), start: now, now }
    }

    fn send(&mut self, method: &str, path: &str, body: Json) -> (u16, Json) {
        let body = wire::encode(&body).into();
        let request = Request { method: method.into(), path: path.into(), body };
        let reply = self.cloud.execute(&request, self.now);
        (reply.status, wire::decode(&reply.body).expect("MessagePack"))
    }

    fn rent(&mut self, rental_id: &str, spot: bool, number: u32) -> (u16, Json) {
        self.send(
            "POST",
            "/machines",
            json!({"hire":rental_id,"shape":"m4","bay":"east","loaner":spot,"number":number}),
        )
    }

    fn set_time(&mut self, seconds: f64) {
        self.now = self.start + Duration::from_secs_f64(seconds);
    }

    fn listed(&mut self) -> Vec<Json> {
        let (status, list) = self.send("GET", "/machines?page=500", Json::Null);
        assert_eq!(status, 200);
        list["frames"].as_array().expect("a list").clone()
    }

    fn release(&mut self, names: &Json) {
        assert_eq!(self.send("POST", "/machines/release", json!({ "frames": names })).0, 200);
    }
}

#[test]
fn a_repeated_rental_gets_the_same_answer_and_rentals_may_be_partly_filled() {
    let mut t = Test::new(settings(), 1);
    let first = t.rent("r-1", true, 2);
    assert_eq!(first, (200, json!({"frames":["host-000007","host-000008"]})));
    assert_eq!(t.rent("r-1", true, 2), first);
    assert_eq!(t.rent("r-2", true, 5).1["frames"].as_array().map(Vec::len), Some(1));
    assert_eq!(t.rent("r-3", true, 1), (503, json!({"error":"no capacity"})));
    t.release(&json!(["host-000008", "host-999999"]));
    assert_eq!(
        t.rent("r-3", true, 1),
        (200, json!({"frames":["host-000010"]})),
        "a rental that failed may be repeated"
    );
    assert_eq!(t.rent("r-1", true, 2), first, "the answer is repeated even if machines have ended");
    assert_eq!(t.rent("r-4", false, 51).0, 400);
    assert_eq!(t.rent("r-4", false, 0).0, 400);
    let names: Vec<String> = (0..101).map(|n| format!("host-{n:06}")).collect();
    assert_eq!(t.send("POST", "/machines/release", json!({ "frames": names })).0, 400);
    assert_eq!(t.send("GET", "/machines?page=501", Json::Null).0, 400);
    for (field, value) in [("shape", json!("m5")), ("bay", json!("west")), ("number", json!("x"))] {
        let mut body = json!({"hire":"r-9","shape":"m4","bay":"east","loaner":false,"number":1});
        body[field] = value;
        assert_eq!(t.send("POST", "/machines", body).0, 400, "{field}");
    }
}

#[test]
fn machine_lists_lag_and_may_go_back_but_listed_machines_stay() {
    let mut t = Test::new(settings(), 3);
    let names = t.rent("r-1", false, 2).1["frames"].clone();
    t.set_time(0.9);
    assert!(t.listed().is_empty());
    t.set_time(8.1);
    assert_eq!(t.listed().len(), 2);
    let (mut list_went_back, mut last) = (false, 0.0);
    for n in 9..60 {
        t.set_time(f64::from(n));
        let listed = t.listed();
        assert_eq!(listed.len(), 2, "a machine once listed stays listed");
        let held = listed[0]["held_s"].as_f64().expect("a time");
        assert!((f64::from(n) - 8.0..=f64::from(n) - 1.0).contains(&held), "{n} {held}");
        list_went_back |= held < last;
        last = held;
    }
    assert!(list_went_back && t.listed()[0]["status"] == "running");
    t.release(&names);
    assert_eq!(t.listed().len(), 2, "the list lags behind the release");
    t.set_time(67.1);
    assert!(t.listed().is_empty());
    let after = t.rent("r-2", false, 3).1["frames"].clone();
    t.set_time(80.0);
    let path = format!("/machines?after={}&page=1", after[0].as_str().expect("a name"));
    let (_, page) = t.send("GET", &path, Json::Null);
    assert_eq!((&page["frames"][0]["id"], &page["has_next"]), (&after[1], &json!(true)));
}

#[test]
fn boot_times_vary_and_some_machines_never_come_up() {
    let all = CloudSettings { never_up: 0.2, slow_boots: 0.2, quick_boots: 0.2, ..settings() };
    let mut t = Test::new(all, 5);
    t.rent("r-1", false, 50);
    let (mut quick, mut usual, mut slow) = (0, 0, 0);
    for n in 0..600 {
        t.set_time(f64::from(n) / 10.0);
        t.cloud.poll(t.now);
        for event in t.cloud.take_events() {
            assert!(matches!(event, MachineEvent::Up(_)));
            match n {
                ..=21 => quick += 1,
                60..=151 => usual += 1,
                200..=501 => slow += 1,
                _ => panic!("{n}"),
            }
        }
    }
    assert!(quick > 0 && usual > 0 && slow > 0 && quick + usual + slow < 50, "{quick} {usual} {slow}");
    let starting = t.listed().iter().filter(|m| m["status"] == "starting").count();
    assert_eq!(starting, 50 - quick - usual - slow);
}

#[test]
fn machines_are_charged_by_the_second_and_for_at_least_a_minute() {
    let mut t = Test::new(settings(), 1);
    let assert_close = |a: f64, b: f64| assert!((a - b).abs() < 1e-6, "{a} {b}");
    let names = t.rent("r-1", false, 2).1["frames"].clone();
    t.set_time(10.0);
    assert_close(t.cloud.spent(t.now), 0.2);
    t.release(&json!([names[0]]));
    assert_close(t.cloud.spent(t.now), 0.1 + 0.6);
    t.set_time(100.0);
    t.cloud.kill(names[1].as_str().expect("a name"), t.now);
    t.set_time(500.0);
    assert_close(t.cloud.spent(t.now), 1.0 + 0.6);
    // Spot machines are charged at the current price.
    t.rent("r-2", true, 1);
    let (mut at, mut expected) = (500.0, 1.6);
    let mut prices = HashSet::new();
    while at < 2000.0 {
        let types = t.send("GET", "/machine_types", Json::Null).1;
        let price = types["shapes"][0]["spot_price"].as_f64().expect("a price");
        assert!((11.99..=24.01).contains(&price), "{price}");
        prices.insert(price.to_bits());
        at += 30.0;
        t.set_time(at - 1e-6);
        expected += price * 30.0 / 3600.0;
        let spent = t.cloud.spent(t.now);
        assert!((spent - expected).abs() < 0.01, "{spent} {expected}");
        t.set_time(at);
    }
    assert!(prices.len() > 10);
}

#[test]
fn machines_fail_and_spot_machines_are_reclaimed() {
    let life = Some(Duration::from_secs(100));
    let mut t = Test::new(CloudSettings { spot_life: life, no_notice: 0.5, ..settings() }, 2);
    let (mut noticed, mut reclaimed_without_notice) = (HashSet::new(), 0);
    for round in 0..40 {
        t.rent(&format!("r-{round}"), true, 3);
        for n in 0..100 {
            t.set_time(f64::from(round * 100 + n));
            t.cloud.poll(t.now);
            for event in t.cloud.take_events() {
                match event {
                    MachineEvent::Notice(name, at) => {
                        let left = at - t.now;
                        assert!((10.0..30.0).contains(&left.as_secs_f64()), "{left:?}");
                        assert!(noticed.insert(name));
                    }
                    MachineEvent::Gone(name) if !noticed.contains(&name) => reclaimed_without_notice += 1,
                    _ => {}
                }
            }
        }
    }
    assert!(
        noticed.len() > 5 && reclaimed_without_notice > 5,
        "{} {reclaimed_without_notice}",
        noticed.len()
    );
    let name = t.rent("r-x", false, 1).1["frames"][0].as_str().expect("a name").to_owned();
    t.set_time(4100.0);
    t.cloud.kill(&name, t.now);
    let status = |t: &mut Test| t.listed().iter().find(|m| m["id"] == *name).map(|m| m["status"].clone());
    t.set_time(4129.0);
    assert_eq!(status(&mut t), Some(json!("running")));
    t.set_time(4139.0);
    assert_eq!(status(&mut t), Some(json!("failed")));
    t.release(&json!([name]));
    t.set_time(4150.0);
    assert_eq!(status(&mut t), None);
}

#[test]
fn requests_are_refused_above_the_rate_limit_and_during_outages() {
    let mut t = Test::new(CloudSettings { rps: 2.0, ..settings() }, 1);
    let statuses: Vec<u16> = (0..6).map(|_| t.send("GET", "/machine_types", Json::Null).0).collect();
    assert_eq!(statuses, [200, 200, 200, 200, 429, 429], "two seconds' worth at once");
    t.set_time(1.0);
    t.cloud.set_faults(ServiceFaults { outage: true, ..ServiceFaults::default() });
    assert_eq!(t.rent("r-1", false, 1), (503, json!({"error":"the cloud is unavailable"})));
    t.cloud.set_faults(ServiceFaults::default());
    assert_eq!(t.rent("r-1", false, 1).0, 200);
}
