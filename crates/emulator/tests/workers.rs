//! Workers on the site's machines by their page, on a clock of the test's own.

#![allow(clippy::panic)]

use std::collections::HashMap;
use std::time::{Duration, Instant};

use emulator::{CloudSettings, MachineFaults, OutgoingReport, Site, SiteSettings};
use net::Request;
use serde_json::{Value as Json, json};
use wire::{Heartbeat, MachineType};

const M: &str = "host-000001";

fn settings() -> SiteSettings {
    let kind = MachineType {
        name: "m4".into(),
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 16.0,
        cache_gb: 5.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.5,
        boot_s: 1.0,
        zones: vec!["east".into()],
    };
    let cloud = CloudSettings {
        types: vec![kind],
        capacity: HashMap::from([(("m4".into(), "east".into()), (9, 9))]),
        rps: 1000.0,
        list_lag: Duration::from_secs(4),
        slow_boots: 0.0,
        quick_boots: 0.0,
        never_up: 0.0,
        spot_life: None,
        life: None,
        notice: Duration::from_secs(20),
        no_notice: 0.0,
        first_number: 1,
    };
    let s = Duration::from_secs;
    SiteSettings {
        cloud,
        report: s(2),
        lease: s(10),
        gang_wait: s(30),
        gang_peer: s(3),
        controllers: vec!["a".into(), "b".into()],
        seed: 5,
    }
}

/// A site with machines that are up, and a controller that answers every report alike.
struct Test {
    site: Site,
    now: Instant,
    token: u64,
    /// The orders that go with the next answer to each machine.
    orders: HashMap<String, Json>,
    last: HashMap<String, Heartbeat>,
    sent: Vec<(Instant, OutgoingReport)>,
    silent: bool,
}

impl Test {
    fn new(machines: u32) -> Self {
        let now = Instant::now();
        let addresses = Box::new(|name: &str| Some(format!("{name}:9000")));
        let site = Site::new(settings(), addresses, now);
        let (orders, last, sent) = Default::default();
        let mut t = Self { site, now, token: 7, orders, last, sent, silent: false };
        let hire = json!({"hire":"r","shape":"m4","bay":"east","loaner":true,"number":machines});
        let request =
            Request { method: "POST".into(), path: "/machines".into(), body: wire::encode(&hire).into() };
        t.site.cloud_request(&request, t.now);
        t.pass(3.0);
        assert_eq!(t.last.len(), machines as usize);
        t
    }

    fn pass(&mut self, seconds: f64) {
        for _ in 0..(seconds * 20.0).round() as u32 {
            self.now += Duration::from_millis(50);
            for outgoing in self.site.poll(self.now) {
                self.last.insert(outgoing.machine.clone(), outgoing.report.clone());
                if !self.silent {
                    let orders = self.orders.remove(&outgoing.machine).unwrap_or(json!([]));
                    let body = wire::encode(&json!({"baton":self.token,"orders":orders}));
                    self.site.record_report_outcome(
                        &outgoing.machine,
                        outgoing.ticket,
                        Some(200),
                        &body,
                        self.now,
                    );
                }
                self.sent.push((self.now, outgoing));
            }
        }
    }

    fn request(&mut self, machine: &str, method: &str, path: &str, body: Json) -> Option<(u16, Json)> {
        let body = wire::encode(&body).into();
        let request = Request { method: method.into(), path: path.into(), body };
        let reply = self.site.machine_request(machine, &request, self.now)?;
        Some((reply.status, wire::decode(&reply.body).expect("MessagePack")))
    }

    fn command(&mut self, machine: &str, order: Json) -> (u16, Json) {
        let incarnation = self.site.worker(machine).expect("up").incarnation();
        let body = json!({"baton":self.token,"stint":incarnation,"orders":[order]});
        self.request(machine, "POST", "/commands", body).expect("reached")
    }

    fn launch(&mut self, machine: &str, task: &str, attempt: u64) {
        assert_eq!(self.command(machine, json!({"verb":"launch","thread":task,"try":attempt})).0, 200);
    }

    fn stop(&mut self, machine: &str, task: &str, leeway_s: f64) {
        self.command(machine, json!({"verb":"stop","thread":task,"try":1,"leeway_s":leeway_s}));
    }

    /// Each task's state or cause, as the machine tells it.
    fn tasks(&mut self, machine: &str) -> Vec<String> {
        let (_, report) = self.request(machine, "GET", "/status", Json::Null).expect("reached");
        let tasks = report["threads"].as_array().expect("tasks").clone();
        let text = |t: &Json| t["cause"].as_str().or(t["status"].as_str()).map(str::to_owned);
        tasks.iter().filter_map(text).collect()
    }

    fn upload(&mut self, id: &str, change: Json) -> f64 {
        let mut spec = json!({"id":id,"pattern":"p","owner":"o","weave":"array","rank":"normal","threads":4,
            "cpus":1.0,"gpus":0.0,"mem_gb":1.0,"bundle":id,"size_gb":2.0,"one_zone":false,"spread":false,
            "loaner":true,"guess_s":20.0,"knot_s":4.0,"tie_s":1.0});
        for (field, value) in change.as_object().expect("fields") {
            spec[field] = value.clone();
        }
        self.site.upload(wire::decode(&wire::encode(&spec)).expect("a job"), false);
        self.site.jobs.get(id).expect("uploaded").run_s
    }
}

#[test]
fn a_task_fetches_runs_and_its_result_is_kept() {
    let mut t = Test::new(2);
    let run_s = t.upload("j-1", json!({}));
    t.launch(M, "j-1/0", 1);
    t.launch(M, "j-1/1", 1);
    t.pass(0.2);
    assert_eq!(t.tasks(M), ["pulling", "pulling"]);
    t.pass(4.0);
    assert_eq!(t.tasks(M), ["running", "running"], "one fetch for both");
    t.pass(run_s * 1.06);
    assert_eq!(t.tasks(M), ["done", "done"]);
    t.launch("host-000002", "j-1/0", 2);
    t.pass(4.0);
    assert_eq!(t.tasks("host-000002"), ["done"], "as soon as the image is there");
    // Once cleared it is forgotten, and may be started once more.
    t.launch(M, "j-1/0", 1);
    t.command(M, json!({"verb":"clear","thread":"j-1/0","try":1}));
    assert_eq!(t.tasks(M), ["done"]);
    t.launch(M, "j-1/0", 1);
    t.pass(0.2);
    assert_eq!(t.tasks(M), ["done", "done"]);
}

#[test]
fn starts_are_refused_with_a_cause() {
    let mut t = Test::new(1);
    t.upload("j-1", json!({"cpus":2.0}));
    for (task, attempt) in
        [("j-1/0", 1), ("j-1/0", 2), ("j-1/1", 1), ("j-1/2", 1), ("j-1/4", 1), ("j-2/0", 1)]
    {
        t.launch(M, task, attempt);
    }
    assert_eq!(t.tasks(M), ["pulling", "in_use", "pulling", "no_room", "no_such", "no_such"]);
    let (status, report) =
        t.request(M, "POST", "/commands", json!({"baton":6,"stint":1,"orders":[]})).expect("up");
    assert_eq!((status, &report["baton"]), (409, &json!(7)), "an old token");
    let body = json!({"baton":9,"stint":2,"orders":[]});
    assert_eq!(t.request(M, "POST", "/commands", body).expect("up").0, 409, "another session");
    assert_eq!(t.request(M, "POST", "/commands", json!({"stint":1})).expect("up").0, 400);
}

#[test]
fn stops_save_and_the_next_attempt_goes_on() {
    let mut t = Test::new(2);
    let run_s = t.upload("j-1", json!({"guess_s":100.0}));
    t.launch(M, "j-1/0", 1);
    t.launch(M, "j-1/1", 1);
    t.pass(4.0 + run_s / 2.0);
    t.stop(M, "j-1/0", 1.0);
    t.stop(M, "j-1/1", 0.9);
    assert_eq!(t.tasks(M), ["saving", "halted"]);
    t.pass(1.1);
    assert_eq!(t.tasks(M), ["halted", "halted"]);
    t.pass(1.0);
    assert_eq!(t.last[M].tasks[0].checkpointed, Some(true));
    t.launch("host-000002", "j-1/0", 2);
    t.pass(4.0 + run_s * 0.35);
    assert_eq!(t.tasks("host-000002"), ["running"]);
    t.pass(run_s * 0.25);
    assert_eq!(t.tasks("host-000002"), ["done"], "it went on from what was saved");
}

#[test]
fn jobs_outlive_a_restart_of_the_site() {
    let mut t = Test::new(1);
    let run_s = t.upload("j-1", json!({"guess_s":100.0}));
    t.upload("j-2", json!({"weave":"ensemble","threads":1,"guess_s":2.0}));
    t.launch(M, "j-1/0", 1);
    t.launch(M, "j-2/0", 1);
    t.pass(8.0 + run_s / 2.0);
    assert_eq!(t.tasks(M), ["running", "done"]);
    let changes = t.site.jobs.take_changes();
    let mut after = Test::new(1);
    after.site.jobs.restore(changes);
    assert!(after.site.jobs.take_changes().is_empty(), "they are kept already");
    assert_eq!(after.site.jobs.get("j-1").map(|j| j.run_s), Some(run_s));
    after.launch(M, "j-1/0", 2);
    after.launch(M, "j-2/0", 2);
    after.pass(5.0 + run_s * 0.3);
    assert_eq!(after.tasks(M), ["running", "done"]);
    after.pass(run_s * 0.3);
    assert_eq!(after.tasks(M), ["done", "done"], "it went on from its last checkpoint");
    let mut again = Test::new(1);
    again.site.jobs.restore(after.site.jobs.snapshot());
    assert!(again.site.jobs.is_done("j-1", 0) && again.site.jobs.is_done("j-2", 0));
}

#[test]
fn leases_tokens_and_sessions() {
    let mut t = Test::new(1);
    t.upload("j-1", json!({"guess_s":900.0}));
    t.launch(M, "j-1/0", 1);
    t.pass(20.0);
    assert_eq!(t.tasks(M), ["running"], "renewed by every answer");
    // Answers with a lower token are dropped; the worker stays.
    t.token = 6;
    t.orders.insert(M.into(), json!([{"verb":"launch","thread":"j-1/1","try":1}]));
    t.pass(6.0);
    assert_eq!(t.tasks(M), ["running"], "its orders are not carried out");
    t.pass(6.5);
    assert!(t.tasks(M).is_empty(), "and it does not renew the lease");
    let worker = t.site.worker(M).expect("up");
    assert_eq!((worker.incarnation(), worker.token()), (2, 7));
    t.token = 9;
    t.orders.insert(M.into(), json!([{"verb":"launch","thread":"j-1/1","try":1}]));
    t.pass(3.0);
    assert_eq!((t.tasks(M).len(), t.site.worker(M).expect("up").token()), (1, 9));
    // Without answers it goes from one controller to the next.
    t.sent.clear();
    t.silent = true;
    t.pass(16.0);
    let to: Vec<usize> = t.sent.iter().map(|(_, s)| s.controller).collect();
    assert!(to.contains(&0) && to.contains(&1) && t.tasks(M).is_empty(), "{to:?}");
    assert!(t.sent.windows(2).all(|w| w[1].0 - w[0].0 >= Duration::from_secs(5)));
}

#[test]
fn reports_come_in_time_on_changes_and_where_they_are_sent_to() {
    let mut t = Test::new(1);
    t.pass(10.0);
    t.sent.clear();
    t.pass(60.0);
    let gaps: Vec<f64> = t.sent.windows(2).map(|w| (w[1].0 - w[0].0).as_secs_f64()).collect();
    assert!(gaps.iter().all(|g| (1.45..=2.6).contains(g)), "{gaps:?}");
    t.launch(M, "j-9/0", 1);
    t.sent.clear();
    t.pass(0.6);
    assert_eq!(t.sent.len(), 1, "a change is told soon");
    t.silent = true;
    t.pass(2.0);
    let (_, outgoing) = t.sent.pop().expect("a report");
    let elsewhere = if outgoing.controller == 0 { "b" } else { "a" };
    let body = wire::encode(&json!({ "foreman": elsewhere }));
    t.site.record_report_outcome(M, outgoing.ticket, Some(421), &body, t.now);
    t.pass(0.6);
    assert_eq!(t.sent.pop().expect("a report").1.controller, 1 - outgoing.controller);
}

#[test]
fn hanging_deaf_mute_and_faulty_machines() {
    let mut t = Test::new(1);
    t.upload("j-1", json!({"guess_s":900.0}));
    t.launch(M, "j-1/0", 1);
    t.pass(5.0);
    let status = |t: &mut Test| t.request(M, "GET", "/status", Json::Null).is_some();
    t.site.set_machine_faults(M, MachineFaults { hangs: true, ..MachineFaults::default() }, t.now);
    t.sent.clear();
    t.pass(5.0);
    assert!(t.sent.is_empty() && !status(&mut t));
    t.site.set_machine_faults(M, MachineFaults::default(), t.now);
    assert_eq!(t.tasks(M), ["running"], "within its lease");
    t.site.set_machine_faults(M, MachineFaults { reports_lost: true, ..MachineFaults::default() }, t.now);
    t.sent.clear();
    t.pass(3.0);
    assert!(t.sent.is_empty() && status(&mut t));
    t.site.set_machine_faults(M, MachineFaults { unreachable: true, ..MachineFaults::default() }, t.now);
    t.pass(11.0);
    assert!(!t.sent.is_empty() && !status(&mut t));
    t.site.set_machine_faults(M, MachineFaults { tasks_fail: true, ..MachineFaults::default() }, t.now);
    assert!(t.tasks(M).is_empty(), "answers did not reach it");
    t.launch(M, "j-1/1", 1);
    t.pass(5.0);
    assert_eq!(t.tasks(M), ["error"]);
}

#[test]
fn gangs_run_on_machines_and_end_with_one_of_them() {
    let mut t = Test::new(2);
    let gang = json!({"weave":"ensemble","threads":2,"cpus":3.0});
    let run_s = t.upload("j-1", gang.clone());
    t.upload("j-2", gang);
    t.launch(M, "j-1/0", 1);
    t.pass(5.0);
    assert_eq!(t.tasks(M), ["gathering"]);
    t.launch("host-000002", "j-1/1", 1);
    t.pass(5.0 + run_s * 1.06);
    assert_eq!((t.tasks(M), t.tasks("host-000002")), (vec!["done".into()], vec!["done".into()]));
    t.launch(M, "j-2/0", 1);
    t.launch("host-000002", "j-2/1", 1);
    t.pass(6.0);
    assert_eq!(t.tasks(M)[1], "running");
    t.site.cloud.reclaim("host-000002", None, t.now);
    t.pass(4.0);
    assert_eq!(t.tasks(M)[1], "mates_gone");
    t.site.cloud.reclaim(M, Some(Duration::from_secs(9)), t.now);
    t.pass(1.0);
    assert!(t.last[M].spot_notice_s.is_some_and(|s| (7.0..=9.0).contains(&s)));
    t.pass(9.0);
    assert_eq!(t.site.workers().count(), 0);
}
