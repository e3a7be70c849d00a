//! Checks workers against "Workers -> controller nodes" of the protocol document, on a simulated
//! clock.

#![allow(clippy::panic)]

use std::collections::HashMap;
use std::time::{Duration, Instant};

use emulator::{CloudSettings, MachineFaults, OutgoingReport, Site, SiteSettings};
use net::Request;
use serde_json::{Value as Json, json};
use wire::{Heartbeat, MachineType};

const FIRST_MACHINE: &str = "host-000001";

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
        report_interval: s(2),
        lease_duration: s(10),
        gang_wait: s(30),
        gang_peer: s(3),
        controllers: vec!["a".into(), "b".into()],
        seed: 5,
    }
}

/// A site with machines that are up, and a controller that gives every report the same answer.
struct Test {
    site: Site,
    now: Instant,
    token: u64,
    /// The commands in the next answer to each machine.
    commands: HashMap<String, Json>,
    last_reports: HashMap<String, Heartbeat>,
    sent_reports: Vec<(Instant, OutgoingReport)>,
    is_silent: bool,
}

impl Test {
    fn new(machines: u32) -> Self {
        let now = Instant::now();
        let addresses = Box::new(|name: &str| Some(format!("{name}:9000")));
        let site = Site::new(settings(), addresses, now);
        let (commands, last_reports, sent_reports) = Default::default();
        let mut t = Self { site, now, token: 7, commands, last_reports, sent_reports, is_silent: false };
        let rental = json!({"hire":"r","shape":"m4","bay":"east","loaner":true,"number":machines});
        let request =
            Request { method: "POST".into(), path: "/machines".into(), body: wire::encode(&rental).into() };
        t.site.cloud_request(&request, t.now);
        t.advance(3.0);
        assert_eq!(t.last_reports.len(), machines as usize);
        t
    }

    fn advance(&mut self, seconds: f64) {
        for _ in 0..(seconds * 20.0).round() as u32 {
            self.now += Duration::from_millis(50);
            for outgoing in self.site.poll(self.now) {
                self.last_reports.insert(outgoing.machine.clone(), outgoing.report.clone());
                if !self.is_silent {
                    let commands = self.commands.remove(&outgoing.machine).unwrap_or(json!([]));
                    let body = wire::encode(&json!({"baton":self.token,"orders":commands}));
                    self.site.record_report_outcome(
                        &outgoing.machine,
                        outgoing.ticket,
                        Some(200),
                        &body,
                        self.now,
                    );
                }
                self.sent_reports.push((self.now, outgoing));
            }
        }
    }

    fn request(&mut self, machine: &str, method: &str, path: &str, body: Json) -> Option<(u16, Json)> {
        let body = wire::encode(&body).into();
        let request = Request { method: method.into(), path: path.into(), body };
        let reply = self.site.machine_request(machine, &request, self.now)?;
        Some((reply.status, wire::decode(&reply.body).expect("MessagePack")))
    }

    fn command(&mut self, machine: &str, command: Json) -> (u16, Json) {
        let incarnation = self.site.worker(machine).expect("up").incarnation();
        let body = json!({"baton":self.token,"stint":incarnation,"orders":[command]});
        self.request(machine, "POST", "/commands", body).expect("reached")
    }

    fn launch(&mut self, machine: &str, task: &str, attempt: u64) {
        assert_eq!(self.command(machine, json!({"verb":"launch","thread":task,"try":attempt})).0, 200);
    }

    fn stop(&mut self, machine: &str, task: &str, leeway_s: f64) {
        self.command(machine, json!({"verb":"stop","thread":task,"try":1,"leeway_s":leeway_s}));
    }

    /// Each task's exit reason, or its state if it has none, as the machine reports it.
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
fn a_task_fetches_its_image_runs_and_its_result_is_kept() {
    let mut t = Test::new(2);
    let run_s = t.upload("j-1", json!({}));
    t.launch(FIRST_MACHINE, "j-1/0", 1);
    t.launch(FIRST_MACHINE, "j-1/1", 1);
    t.advance(0.2);
    assert_eq!(t.tasks(FIRST_MACHINE), ["pulling", "pulling"]);
    t.advance(4.0);
    assert_eq!(t.tasks(FIRST_MACHINE), ["running", "running"], "one fetch for both");
    t.advance(run_s * 1.06);
    assert_eq!(t.tasks(FIRST_MACHINE), ["done", "done"]);
    t.launch("host-000002", "j-1/0", 2);
    t.advance(4.0);
    assert_eq!(t.tasks("host-000002"), ["done"], "as soon as the image is fetched");
    // After a clear command the task is forgotten and the same attempt may be started again.
    t.launch(FIRST_MACHINE, "j-1/0", 1);
    t.command(FIRST_MACHINE, json!({"verb":"clear","thread":"j-1/0","try":1}));
    assert_eq!(t.tasks(FIRST_MACHINE), ["done"]);
    t.launch(FIRST_MACHINE, "j-1/0", 1);
    t.advance(0.2);
    assert_eq!(t.tasks(FIRST_MACHINE), ["done", "done"]);
}

#[test]
fn refused_starts_report_the_reason() {
    let mut t = Test::new(1);
    t.upload("j-1", json!({"cpus":2.0}));
    for (task, attempt) in
        [("j-1/0", 1), ("j-1/0", 2), ("j-1/1", 1), ("j-1/2", 1), ("j-1/4", 1), ("j-2/0", 1)]
    {
        t.launch(FIRST_MACHINE, task, attempt);
    }
    assert_eq!(t.tasks(FIRST_MACHINE), ["pulling", "in_use", "pulling", "no_room", "no_such", "no_such"]);
    let (status, report) =
        t.request(FIRST_MACHINE, "POST", "/commands", json!({"baton":6,"stint":1,"orders":[]})).expect("up");
    assert_eq!((status, &report["baton"]), (409, &json!(7)), "an old token");
    let body = json!({"baton":9,"stint":2,"orders":[]});
    assert_eq!(
        t.request(FIRST_MACHINE, "POST", "/commands", body).expect("up").0,
        409,
        "another incarnation"
    );
    assert_eq!(t.request(FIRST_MACHINE, "POST", "/commands", json!({"stint":1})).expect("up").0, 400);
}

#[test]
fn a_stopped_task_saves_and_the_next_attempt_continues() {
    let mut t = Test::new(2);
    let run_s = t.upload("j-1", json!({"guess_s":100.0}));
    t.launch(FIRST_MACHINE, "j-1/0", 1);
    t.launch(FIRST_MACHINE, "j-1/1", 1);
    t.advance(4.0 + run_s / 2.0);
    t.stop(FIRST_MACHINE, "j-1/0", 1.0);
    t.stop(FIRST_MACHINE, "j-1/1", 0.9);
    assert_eq!(t.tasks(FIRST_MACHINE), ["saving", "halted"]);
    t.advance(1.1);
    assert_eq!(t.tasks(FIRST_MACHINE), ["halted", "halted"]);
    t.advance(1.0);
    assert_eq!(t.last_reports[FIRST_MACHINE].tasks[0].checkpointed, Some(true));
    t.launch("host-000002", "j-1/0", 2);
    t.advance(4.0 + run_s * 0.35);
    assert_eq!(t.tasks("host-000002"), ["running"]);
    t.advance(run_s * 0.25);
    assert_eq!(t.tasks("host-000002"), ["done"], "it continued from the saved progress");
}

#[test]
fn jobs_are_restored_after_a_restart_of_the_site() {
    let mut t = Test::new(1);
    let run_s = t.upload("j-1", json!({"guess_s":100.0}));
    t.upload("j-2", json!({"weave":"ensemble","threads":1,"guess_s":2.0}));
    t.launch(FIRST_MACHINE, "j-1/0", 1);
    t.launch(FIRST_MACHINE, "j-2/0", 1);
    t.advance(8.0 + run_s / 2.0);
    assert_eq!(t.tasks(FIRST_MACHINE), ["running", "done"]);
    let changes = t.site.jobs.take_changes();
    let mut restarted = Test::new(1);
    restarted.site.jobs.restore(changes);
    assert!(restarted.site.jobs.take_changes().is_empty(), "restored changes are stored already");
    assert_eq!(restarted.site.jobs.get("j-1").map(|j| j.run_s), Some(run_s));
    restarted.launch(FIRST_MACHINE, "j-1/0", 2);
    restarted.launch(FIRST_MACHINE, "j-2/0", 2);
    restarted.advance(5.0 + run_s * 0.3);
    assert_eq!(restarted.tasks(FIRST_MACHINE), ["running", "done"]);
    restarted.advance(run_s * 0.3);
    assert_eq!(restarted.tasks(FIRST_MACHINE), ["done", "done"], "it continued from its last checkpoint");
    let mut restarted_twice = Test::new(1);
    restarted_twice.site.jobs.restore(restarted.site.jobs.snapshot());
    assert!(restarted_twice.site.jobs.is_done("j-1", 0) && restarted_twice.site.jobs.is_done("j-2", 0));
}

#[test]
fn an_expired_lease_starts_a_new_incarnation_and_lower_tokens_are_ignored() {
    let mut t = Test::new(1);
    t.upload("j-1", json!({"guess_s":900.0}));
    t.launch(FIRST_MACHINE, "j-1/0", 1);
    t.advance(20.0);
    assert_eq!(t.tasks(FIRST_MACHINE), ["running"], "renewed by every answer");
    // Answers with a lower token are ignored; the worker keeps its controller.
    t.token = 6;
    t.commands.insert(FIRST_MACHINE.into(), json!([{"verb":"launch","thread":"j-1/1","try":1}]));
    t.advance(6.0);
    assert_eq!(t.tasks(FIRST_MACHINE), ["running"], "its commands are not executed");
    t.advance(6.5);
    assert!(t.tasks(FIRST_MACHINE).is_empty(), "the answer does not renew the lease");
    let worker = t.site.worker(FIRST_MACHINE).expect("up");
    assert_eq!((worker.incarnation(), worker.token()), (2, 7));
    t.token = 9;
    t.commands.insert(FIRST_MACHINE.into(), json!([{"verb":"launch","thread":"j-1/1","try":1}]));
    t.advance(3.0);
    assert_eq!((t.tasks(FIRST_MACHINE).len(), t.site.worker(FIRST_MACHINE).expect("up").token()), (1, 9));
    // Without answers the worker tries one controller after the other.
    t.sent_reports.clear();
    t.is_silent = true;
    t.advance(16.0);
    let to: Vec<usize> = t.sent_reports.iter().map(|(_, s)| s.controller).collect();
    assert!(to.contains(&0) && to.contains(&1) && t.tasks(FIRST_MACHINE).is_empty(), "{to:?}");
    assert!(t.sent_reports.windows(2).all(|w| w[1].0 - w[0].0 >= Duration::from_secs(5)));
}

#[test]
fn reports_are_sent_periodically_on_changes_and_after_redirects() {
    let mut t = Test::new(1);
    t.advance(10.0);
    t.sent_reports.clear();
    t.advance(60.0);
    let intervals: Vec<f64> = t.sent_reports.windows(2).map(|w| (w[1].0 - w[0].0).as_secs_f64()).collect();
    assert!(intervals.iter().all(|g| (1.45..=2.6).contains(g)), "{intervals:?}");
    t.launch(FIRST_MACHINE, "j-9/0", 1);
    t.sent_reports.clear();
    t.advance(0.6);
    assert_eq!(t.sent_reports.len(), 1, "a change is reported at once");
    t.is_silent = true;
    t.advance(2.0);
    let (_, outgoing) = t.sent_reports.pop().expect("a report");
    let other_controller = if outgoing.controller == 0 { "b" } else { "a" };
    let body = wire::encode(&json!({ "foreman": other_controller }));
    t.site.record_report_outcome(FIRST_MACHINE, outgoing.ticket, Some(421), &body, t.now);
    t.advance(0.6);
    assert_eq!(t.sent_reports.pop().expect("a report").1.controller, 1 - outgoing.controller);
}

#[test]
fn each_machine_fault_has_its_effect() {
    let mut t = Test::new(1);
    t.upload("j-1", json!({"guess_s":900.0}));
    t.launch(FIRST_MACHINE, "j-1/0", 1);
    t.advance(5.0);
    let status = |t: &mut Test| t.request(FIRST_MACHINE, "GET", "/status", Json::Null).is_some();
    t.site.set_machine_faults(
        FIRST_MACHINE,
        MachineFaults { hangs: true, ..MachineFaults::default() },
        t.now,
    );
    t.sent_reports.clear();
    t.advance(5.0);
    assert!(t.sent_reports.is_empty() && !status(&mut t));
    t.site.set_machine_faults(FIRST_MACHINE, MachineFaults::default(), t.now);
    assert_eq!(t.tasks(FIRST_MACHINE), ["running"], "within its lease");
    t.site.set_machine_faults(
        FIRST_MACHINE,
        MachineFaults { reports_lost: true, ..MachineFaults::default() },
        t.now,
    );
    t.sent_reports.clear();
    t.advance(3.0);
    assert!(t.sent_reports.is_empty() && status(&mut t));
    t.site.set_machine_faults(
        FIRST_MACHINE,
        MachineFaults { unreachable: true, ..MachineFaults::default() },
        t.now,
    );
    t.advance(11.0);
    assert!(!t.sent_reports.is_empty() && !status(&mut t));
    t.site.set_machine_faults(
        FIRST_MACHINE,
        MachineFaults { tasks_fail: true, ..MachineFaults::default() },
        t.now,
    );
    assert!(t.tasks(FIRST_MACHINE).is_empty(), "answers did not reach it");
    t.launch(FIRST_MACHINE, "j-1/1", 1);
    t.advance(5.0);
    assert_eq!(t.tasks(FIRST_MACHINE), ["error"]);
}

#[test]
fn a_gang_ends_when_one_of_its_machines_ends() {
    let mut t = Test::new(2);
    let gang = json!({"weave":"ensemble","threads":2,"cpus":3.0});
    let run_s = t.upload("j-1", gang.clone());
    t.upload("j-2", gang);
    t.launch(FIRST_MACHINE, "j-1/0", 1);
    t.advance(5.0);
    assert_eq!(t.tasks(FIRST_MACHINE), ["gathering"]);
    t.launch("host-000002", "j-1/1", 1);
    t.advance(5.0 + run_s * 1.06);
    assert_eq!((t.tasks(FIRST_MACHINE), t.tasks("host-000002")), (vec!["done".into()], vec!["done".into()]));
    t.launch(FIRST_MACHINE, "j-2/0", 1);
    t.launch("host-000002", "j-2/1", 1);
    t.advance(6.0);
    assert_eq!(t.tasks(FIRST_MACHINE)[1], "running");
    t.site.cloud.reclaim("host-000002", None, t.now);
    t.advance(4.0);
    assert_eq!(t.tasks(FIRST_MACHINE)[1], "mates_gone");
    t.site.cloud.reclaim(FIRST_MACHINE, Some(Duration::from_secs(9)), t.now);
    t.advance(1.0);
    assert!(t.last_reports[FIRST_MACHINE].spot_notice_s.is_some_and(|s| (7.0..=9.0).contains(&s)));
    t.advance(9.0);
    assert_eq!(t.site.workers().count(), 0);
}

/// Bodies were measured as MessagePack, in which more commands fit into 64 KiB than the protocol allows.
#[test]
fn messages_that_exceed_the_limit_as_json_are_refused_or_dropped() {
    /// Start commands that exceed 64 KiB as JSON, by less than a hundred.
    const EXCESSIVE_COMMANDS: usize = 1300;
    let mut t = Test::new(1);
    let incarnation = t.site.worker(FIRST_MACHINE).expect("up").incarnation();
    let launch = json!({"verb":"launch","thread":"j-000412/1000","try":1});
    let mut request_with = |commands: usize| {
        let orders = vec![launch.clone(); commands];
        let body = json!({"baton":t.token,"stint":incarnation,"orders":orders});
        assert!(wire::encode(&body).len() < wire::BODY_LIMIT);
        t.request(FIRST_MACHINE, "POST", "/commands", body).expect("reached").0
    };
    assert_eq!((request_with(EXCESSIVE_COMMANDS), request_with(EXCESSIVE_COMMANDS - 100)), (413, 200));
    let token_before = t.site.worker(FIRST_MACHINE).expect("up").token();
    t.token += 1;
    t.commands.insert(FIRST_MACHINE.into(), vec![launch; EXCESSIVE_COMMANDS].into());
    t.advance(0.6);
    assert!(t.commands.is_empty(), "a report was answered");
    assert_eq!(t.site.worker(FIRST_MACHINE).expect("up").token(), token_before, "the answer is dropped");
}
