//! Where two troubles meet, on the users' side: answers, the state service, membership.
//! docs/combined-faults.md tells what holds the rules in each of these combinations.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sched::records::*;
use sched::replica::{RecordChange, Replica};
use store::{KeyWrite, key};
use tokio::time::sleep;
use wire::{Heartbeat, JobKind, JobSpec, JobState, TaskState, TaskStatus};

use crate::controller::{Controller, MEMBER_TTL};
use crate::operators::OperatorSettings;
use crate::settings::tests::EXAMPLE;
use crate::settings::{Peer, Settings};
use crate::stand_in::*;
use crate::worker::tests::{first_token, spec};
use crate::worker::{Worker, WorkerLimits};
use crate::{change_feed, freshness_checks, membership, scheduler};

/// A description without one of its fields, or with another value in it.
fn odd(id: &str, field: &str, value: Option<serde_json::Value>) -> Vec<u8> {
    let mut map: serde_json::Value =
        wire::decode(&wire::encode(&spec(id, JobKind::Array))).expect("a description");
    match value {
        Some(v) => map[field] = v,
        None => drop(map.as_object_mut().expect("a map").remove(field)),
    }
    wire::encode(&map)
}

/// Bad input is told by the body and the settings alone, whatever state the controller is
/// in; what takes the records is not told without them; and a repetition of an accepted
/// job has its 200 whatever else is wrong with it.
#[tokio::test]
async fn bad_input_is_refused_in_every_state_and_what_was_accepted_never() {
    use serde_json::json;
    let bad = |id: &str| {
        vec![
            odd(id, "cpus", None),
            odd(id, "owner", None),
            odd(id, "threads", Some(json!(0))),
            odd(id, "threads", Some(json!(1.5))),
            odd(id, "mem_gb", Some(json!(-1.0))),
            odd(id, "guess_s", Some(json!(null))),
            odd(id, "due_s", Some(json!(1e300))),
            odd(id, "rank", Some(json!("urgent"))),
            odd(id, "rank", Some(json!(1))),
            odd(id, "weave", Some(json!({"array": null}))),
            odd(id, "awaits", Some(json!(["x"]))),
        ]
    };
    let not_a_job = [
        odd("x-1", "cpus", None),
        odd("j-1", "id", None),
        b"\xc1".to_vec(),
        Vec::new(),
        wire::encode(&"text"),
        // The fields' values in their order, without their names.
        as_list(&spec("j-7", JobKind::Array)),
    ];
    let never = |id: &str| {
        let unknown = JobSpec { team: "nobody".into(), ..spec(id, JobKind::Array) };
        let too_large = JobSpec { cpus: 30.0, tasks: 400, ..spec(id, JobKind::Gang) };
        [unknown, too_large].map(|s| wire::encode(&s))
    };
    let fits_nowhere = wire::encode(&JobSpec { cpus: 41.0, ..spec("j-6", JobKind::Array) });
    let post = async |controller: &Arc<Controller>, body: &[u8]| {
        ask(controller, "POST", "/v1/jobs", body.to_vec()).await
    };

    let service = Service::default();
    let (controller, door) = service.controller(0, 1, 1).await;
    let (other, _) = service.follower(1, 2).await;
    let all_refused = async |state: &str| {
        for body in bad("j-5").iter().chain(&not_a_job) {
            assert_eq!(post(&controller, body).await.0, 400, "{state}");
        }
        for body in never("j-5") {
            assert_eq!(post(&controller, &body).await.0, 422, "{state}");
        }
    };
    all_refused("no records read, nothing running").await;
    assert_eq!(post(&controller, &fits_nowhere).await.0, 503);
    door.set(Trouble::Refused);
    follow(&controller);
    all_refused("refused by the state service from the start").await;
    assert_eq!(post(&controller, &fits_nowhere).await.0, 503);
    door.set(Trouble::None);
    assert!(soon(20, || controller.state().records.is_loaded).await);
    all_refused("no machine types").await;
    assert_eq!(post(&controller, &fits_nowhere).await.0, 503, "nobody knows yet");
    let (key, (types, ..)) = Service::with_types().store().keys.pop_first().expect("the types");
    service.store().put(KeyWrite { key, value: Some(types), lease: None });
    caught_up(&service, &controller).await;
    all_refused("all is well").await;
    assert_eq!(again(async || (post(&controller, &fits_nowhere).await.0, None)).await.0, 422);

    // Accepted by another controller, and this one has not heard of it yet.
    door.deaf.store(true, Ordering::Relaxed);
    caught_up(&service, &other).await;
    assert_eq!(submit(&other, &spec("j-1", JobKind::Array)).await.0, 201);
    assert_eq!(submit(&other, &spec("j-2", JobKind::Array)).await.0, 201);
    assert_eq!(cancel(&other, "j-2").await.0, 200);
    for (id, state) in [("j-1", JobState::Queued), ("j-2", JobState::Cancelled)] {
        for body in bad(id).iter().chain(&never(id)) {
            let told = again(async || {
                let (status, job) = post(&controller, body).await;
                (status, job.map(|j| j.state))
            });
            assert_eq!(told.await, (200, Some(state)), "{id}");
        }
    }
    door.set(Trouble::Refused);
    for body in bad("j-1").iter().chain(&never("j-1")) {
        assert_eq!(post(&controller, body).await.0, 503, "accepted, and may be over by now");
    }
    for body in bad("j-2").iter().chain(&never("j-2")) {
        assert_eq!(post(&controller, body).await.0, 200, "what is final is known");
    }
    all_refused("refused by the state service").await;
    assert_eq!(post(&controller, &fits_nowhere).await.0, 503);
    assert!(service.store().keys.keys().filter(|k| k.starts_with("sageloom/jobs/")).count() == 2);
}

/// A message's values in their order, as MessagePack without names has them.
fn as_list(spec: &JobSpec) -> Vec<u8> {
    // All of them are there.
    let spec = JobSpec {
        types: Some(vec!["m".into()]),
        zone: Some("a".into()),
        deadline_s: Some(9.0),
        dependencies: Some(Vec::new()),
        ..spec.clone()
    };
    let map: rmpv::Value = wire::decode(&wire::encode(&spec)).expect("a map");
    let values = map.as_map().expect("a map").iter().map(|(_, v)| v.clone()).collect();
    let mut out = Vec::new();
    rmpv::encode::write_value(&mut out, &rmpv::Value::Array(values)).expect("encodes");
    out
}

/// Nothing that a worker, a user, the cloud or a record says in numbers ends a process:
/// `Duration` does for what is negative, endless or no number.
#[test]
fn no_number_from_outside_ends_the_process() {
    let now = Instant::now();
    let odd = [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, f64::MAX, f64::MIN, -1.0, 1e300, 1e-320];
    for s in odd {
        assert!(wire::seconds(s) <= Duration::from_secs(1_000_000_000));
        let mut world = Replica::default();
        let machine = MachineRecord {
            addr: "a".into(),
            machine_type: "m".into(),
            zone: "z".into(),
            spot: false,
            release: false,
        };
        world.apply(RecordChange::Machine("m-1".into(), Some(machine)), 1);
        let mut job =
            JobRecord::new(JobSpec { checkpoint_save_s: s, ..spec("j-1", JobKind::Array) }, None, 0);
        job.assignments =
            vec![Assignment { task: 0, attempt: 1, machine: "m-1".into(), desired: DesiredState::Stopped }];
        world.apply(RecordChange::Job("j-1".into(), Some(Box::new(job))), 2);
        let mut worker = Worker::new("a".into(), 1, now);
        let limits = WorkerLimits {
            gang_peer: Duration::ZERO,
            lease: Duration::from_secs(9),
            fresh_at: Some(now),
            max_launch_replica_age: MEMBER_TTL,
        };
        for n in 1..4 {
            let at = now + Duration::from_secs(n * 3);
            let mut report = report("m-1", n);
            report.spot_notice_s = Some(s);
            report.tasks = vec![TaskStatus {
                task: "j-1/0".into(),
                attempt: 1,
                state: TaskState::Running,
                cause: None,
                checkpointed: None,
            }];
            assert!(worker.receive_heartbeat(report, at));
            worker.reconcile("m-1", &world, &limits, at);
        }
        let spec = JobSpec { checkpoint_save_s: s, checkpoint_interval_s: s, ..spec("j-1", JobKind::Gang) };
        sched::spot_notice::should_stop(&spec, Duration::from_secs(5));
        let mut budget = store::RateLimiter::new(s, s, now);
        let _ = now + budget.acquire(s, s, now);
    }
}

fn report(machine: &str, n: u64) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        addr: "127.0.0.1:1".into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        sequence: n,
        fencing_token: first_token(1),
        spot_notice_s: None,
        tasks: Vec::new(),
    }
}

/// A malformed record is one that cannot be read, and takes no more memory than it has.
#[test]
fn malformed_records_are_unreadable_and_no_more() {
    // Five bits a character, the sixth tells that more follow.
    let number = |mut n: u64| {
        let digits = b"0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_";
        let mut out = String::new();
        while n >= 32 {
            out.push(char::from(digits[(n % 32 + 32) as usize]));
            n /= 32;
        }
        out + &char::from(digits[n as usize]).to_string()
    };
    let unreadable = |digits: u64, text: String| {
        let record = serde_json::json!({"phase": "a", "run": [["host-", digits, 1, "r", text]]});
        store::decode_change(&key::job("j-1"), KeyWrite::new(String::new(), &record).value).1
    };
    let row = |machine: u64, tasks: u64| number(machine) + &number(tasks * 2 + 1) + &number(0);
    assert!(!unreadable(6, row(1, 1000)), "as it is written");
    assert!(unreadable(6, row(1, 200_000)), "more tasks than any job has");
    assert!(unreadable(100_000, row(1, 1)), "a name of so many digits");
    assert!(unreadable(6, row(1 << 59, 1).repeat(40)), "numbers without end");
    assert!(unreadable(6, "?".into()));
    assert_eq!(Ranges::from((u32::MAX - 1, "3".into())).len(), u32::MAX, "the last number is none");
    let gone = |digits: u64, text: String| {
        let record = serde_json::json!({"rentals": [], "gone": [["host-", digits, text]]});
        store::decode_change(key::FLEET, KeyWrite::new(String::new(), &record).value).1
    };
    assert!(!gone(6, number(7)));
    assert!(gone(100_000, number(7)) && gone(6, number(1 << 59).repeat(40)));
}

/// A worker whose name cannot be one is told so: recorded together with it, no machine
/// would be recorded.
#[tokio::test]
async fn machines_are_recorded_by_names_that_a_key_can_have() {
    let service = Service::default();
    let (controller, _) = service.follower(0, 1).await;
    service.elect(&[&controller], 1);
    caught_up(&service, &controller).await;
    for name in ["", "host 1", "host\u{7}1", &"x".repeat(300)] {
        let body = wire::encode(&report(name, 1));
        assert_eq!(ask(&controller, "POST", "/hello", body).await.0, 400, "{name:?}");
    }
    assert_ne!(ask(&controller, "POST", "/hello", wire::encode(&report("host-1", 1))).await.0, 400);
    for body in [b"\xc1".to_vec(), Vec::new(), wire::encode(&7), odd("j-1", "cpus", None)] {
        assert_eq!(ask(&controller, "POST", "/hello", body).await.0, 400);
    }
}

/// One round that gives a job's only task to a machine.
async fn place(controller: &Arc<Controller>, id: &str, machine: &str) {
    let mut round = scheduler::SchedulingCycle::default();
    let Some(mut job) = controller.state().records.replica.jobs.get(id).map(|j| j.value.clone()) else {
        return;
    };
    job.attempt += 1;
    job.assignments = vec![Assignment {
        task: 0,
        attempt: job.attempt,
        machine: machine.into(),
        desired: DesiredState::Running,
    }];
    round.jobs.insert(id.into(), job);
    round.placed_jobs.insert(id.into());
    scheduler::commit(controller, round).await;
}

/// Names of teams are free text, and a key has no spaces: the fence of such a team must be
/// found again once another controller has written it.
#[tokio::test]
async fn a_team_with_a_space_in_its_name_is_placed_by_all_controllers_in_turn() {
    let service = Service::default();
    let (a, _) = service.follower(0, 2).await;
    let (b, _) = service.follower(1, 2).await;
    service.elect(&[&a, &b], 1);
    let team = |id: &str| JobSpec { team: "ocean desk".into(), ..spec(id, JobKind::Array) };
    for (n, controller) in [&a, &b, &a, &b].into_iter().enumerate() {
        let id = format!("j-{n}");
        let record = JobRecord::new(team(&id), None, 0);
        service.store().put(KeyWrite::new(key::job(&id), &record));
        caught_up(&service, controller).await;
        place(controller, &id, "m-1").await;
        assert_eq!(service.store().job(&id).map(|j| j.assignments.len()), Some(1), "{id} is placed");
    }
}

/// Thousands of records are read while the state service refuses every second request.
#[tokio::test]
async fn records_are_read_while_every_second_request_is_refused() {
    let service = Service::default();
    service.store().page = 2;
    for n in 0..9 {
        let record = JobRecord::new(spec(&format!("j-{n}"), JobKind::Array), None, 0);
        service.store().put(KeyWrite::new(key::job(&format!("j-{n}")), &record));
    }
    let (controller, door) = service.controller(0, 1, 1).await;
    door.set(Trouble::Flaky);
    follow(&controller);
    assert!(soon(20, || controller.state().records.is_loaded).await, "the records are read");
    assert_eq!(controller.state().records.replica.jobs.len(), 9);
}

/// The state service answers, but takes longer than users wait: they are told so in time,
/// what is final is told at once, and the controller knows that it is still entitled, as
/// else all workers would lose their leases.
#[tokio::test]
async fn slow_answers_cost_no_authority_and_keep_nobody_waiting() {
    let service = Service::with_types();
    let (controller, door) = service.follower(0, 1).await;
    for id in ["j-1", "j-2"] {
        assert_eq!(submit(&controller, &spec(id, JobKind::Array)).await.0, 201);
    }
    assert_eq!(cancel(&controller, "j-2").await.0, 200);
    door.set(Trouble::Slow(Duration::from_millis(1900)));
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(7) {
        let asked = Instant::now();
        assert_eq!(state_once(&controller, "j-2").await, (200, Some(JobState::Cancelled)));
        assert_eq!(state_once(&controller, "j-1").await.0, 503);
        assert!(asked.elapsed() < Duration::from_millis(2500), "{:?}", asked.elapsed());
    }
    let fresh = controller.state().records.fresh_at.map(|t| t.elapsed());
    assert!(fresh.is_some_and(|f| f < Duration::from_millis(5800)), "{fresh:?}");
    door.set(Trouble::Slow(Duration::from_millis(300)));
    assert!(
        soon(20, || controller
            .state()
            .records
            .fresh_at
            .is_some_and(|t| t.elapsed() < Duration::from_secs(1)))
        .await
    );
    assert_eq!(state(&controller, "j-1").await, (200, Some(JobState::Queued)), "slow, but in time");
}

/// A cancellation meets newer records while each answer takes seconds: its user has an
/// answer while he still waits, and what was under way holds.
#[tokio::test]
async fn users_are_answered_while_they_wait() {
    let service = Service::with_types();
    let (controller, door) = service.follower(0, 1).await;
    assert_eq!(submit(&controller, &spec("j-1", JobKind::Array)).await.0, 201);
    door.deaf.store(true, Ordering::Relaxed);
    let mut newer = service.store().job("j-1").expect("accepted");
    newer.failed_starts = 1;
    service.store().put(KeyWrite::new(key::job("j-1"), &newer));
    door.set(Trouble::Slow(Duration::from_millis(2400)));
    let asked = Instant::now();
    assert_eq!(cancel_once(&controller, "j-1").await.0, 503);
    assert!(asked.elapsed() < Duration::from_millis(4900), "{:?}", asked.elapsed());
    door.set(Trouble::None);
    assert_eq!(cancel(&controller, "j-1").await, (200, Some(JobState::Cancelled)));
    assert_eq!(state(&controller, "j-1").await, (200, Some(JobState::Cancelled)));
}

/// The leader ends while the state service takes longer for each answer than a lease is
/// waited for: another leads all the same.
#[tokio::test]
async fn a_leader_is_found_while_the_state_service_is_slow() {
    let service = Service::default();
    let (controller, door) = service.controller(0, 2, 1).await;
    let (other, _) = service.controller(1, 2, 2).await;
    service.elect(&[&other], 1);
    follow(&controller);
    controller.spawn_task(membership::keep_membership(controller.clone()));
    assert!(soon(20, || controller.state().records.replica.members.contains_key("n-0")).await);
    door.set(Trouble::Slow(Duration::from_millis(1700)));
    sleep(Duration::from_millis(1500)).await;
    service.store().put(KeyWrite::delete(key::LEADER.into()));
    service.store().put(KeyWrite::delete(key::member("n-1")));
    assert!(soon(20, || service.store().map().is_some_and(|m| m.epoch == 2)).await, "nobody leads");
    let map = service.store().map().expect("a map");
    assert!(map.live.len() == 1 && map.contains("n-0", 1), "{map:?}");
}

/// Reports of hundreds of workers are passed on to a controller that takes them and does
/// not answer: users are answered all the same, and this controller stays a member.
#[tokio::test]
async fn a_peer_that_hangs_takes_no_turns_from_the_state_service() {
    let service = Service::with_types();
    let (door, hangs) = service.door().await;
    door.set(Trouble::Slow(Duration::from_secs(60)));
    let (addr, mut settings) = (service.door().await.1, Settings::parse("s", EXAMPLE).expect("valid"));
    (settings.external.state, settings.facts.limits.max_connections) = (addr, 900);
    settings.peers = vec![Peer { node_name: "n-1".into(), address: hangs }];
    let controller = Controller::new(settings, OperatorSettings::default(), 1);
    follow(&controller);
    controller.spawn_task(membership::keep_membership(controller.clone()));
    assert!(soon(20, || controller.state().is_live(&controller.identity)).await);
    assert_eq!(submit(&controller, &spec("j-1", JobKind::Array)).await.0, 201);
    for n in 0..200 {
        let (controller, report) = (controller.clone(), wire::encode(&report(&format!("host-{n}"), 1)));
        tokio::spawn(async move { crate::peer_client::relay_heartbeat(&controller, "n-1", report).await });
    }
    let since = Instant::now();
    assert_eq!(state(&controller, "j-1").await, (200, Some(JobState::Queued)));
    // Each of them gives up after two seconds.
    assert!(since.elapsed() < Duration::from_millis(1900), "{:?}", since.elapsed());
}

/// Users' changes take up more than a controller's share of the changes, for minutes: what
/// it places still has its turn.
#[test]
fn users_changes_do_not_starve_the_rounds() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut budget = store::RateLimiter::new(1.0, 1.0, start);
    let (mut last, mut longest, mut written) = (0, 0, 0);
    for ms in (0..300_000).step_by(50) {
        if ms % 600 == 0 {
            budget.acquire(1.0, 0.0, at(ms));
        }
        let ops = if ms % 250 == 0 { budget.allowance(at(ms)) } else { 0 };
        if ops > 0 {
            budget.acquire(ops as f64, 0.0, at(ms));
            (longest, last) = (longest.max(ms - last), ms);
            written += ops;
        }
    }
    longest = longest.max(300_000 - last);
    assert!(longest <= 3000, "nothing written for {longest} ms");
    assert!(written <= 400, "and not much more than its share: {written}");
}

/// Small numbers without a pattern, the same on every run.
struct Dice(u64);

impl Dice {
    fn below(&mut self, n: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % n
    }
}

/// How far a user has been told that a job is.
fn rank(state: JobState) -> u32 {
    match state {
        JobState::Queued | JobState::Running => 1,
        JobState::Done | JobState::Cancelled => 2,
    }
}

/// Users ask at all nodes within milliseconds, repeat the submission and cancel, right
/// after a job was accepted, ended or cancelled, and the nodes hear of nothing unless they
/// ask: no controller answers something older than what was told before the question.
#[tokio::test]
async fn no_node_answers_something_older() {
    let service = Service::with_types();
    let mut nodes = Vec::new();
    for n in 0..3 {
        let (controller, door) = service.follower(n, 3).await;
        door.deaf.store(true, Ordering::Relaxed);
        nodes.push(controller);
    }
    service.elect(&nodes.iter().collect::<Vec<_>>(), 1);
    let mut dice = Dice(16);
    for n in 0..25 {
        let id = format!("j-{n}");
        // What users have been told of the job, at any controller.
        let told: Arc<Mutex<Option<JobState>>> = Arc::default();
        let mut users = Vec::new();
        for user in 0..12usize {
            let (controller, id, told) = (nodes[dice.below(3)].clone(), id.clone(), told.clone());
            let (what, after) = (dice.below(8), Duration::from_millis(dice.below(60) as u64));
            let service = service.clone();
            users.push(tokio::spawn(async move {
                if user > 0 {
                    sleep(Duration::from_millis(20) + after).await;
                }
                let before = *told.lock().expect("no panic");
                let (status, state) = match (user, what) {
                    (0, _) | (_, 0 | 1) => submit_once(&controller, &spec(&id, JobKind::Array)).await,
                    (1, 2..=4) => cancel_once(&controller, &id).await,
                    (2, 2..=4) => {
                        // Its last task ends, by the word of some controller.
                        let mut store = service.store();
                        let open = store.job(&id).filter(|j| j.phase == Phase::Active);
                        if let Some(mut job) = open {
                            job.phase = Phase::Done;
                            job.compact_if_final();
                            store.put(KeyWrite::new(key::job(&id), &job));
                        }
                        return;
                    }
                    _ => state_once(&controller, &id).await,
                };
                let mut told = told.lock().expect("no panic");
                if let Some(before) = before {
                    assert!(matches!(status, 200 | 503), "{id}: {status} after {before:?}");
                    if let Some(state) = state {
                        assert!(rank(state) >= rank(before), "{id}: {state:?} after {before:?}");
                        assert!(rank(before) < 2 || state == before, "{id}: {state:?} after {before:?}");
                    }
                }
                if let Some(state) = state.filter(|_| matches!(status, 200 | 201)) {
                    assert!(told.is_none_or(|t| rank(t) < 2 || rank(state) < 2 || t == state), "{id}");
                    if told.is_none_or(|t| rank(t) < rank(state)) {
                        *told = Some(state);
                    }
                }
            }));
        }
        for user in users {
            user.await.expect("nothing older");
        }
        let last = service.store().job(&id).expect("accepted").state();
        for controller in &nodes {
            assert_eq!(state(controller, &id).await, (200, Some(last)));
            assert_eq!(submit(controller, &spec(&id, JobKind::Array)).await, (200, Some(last)));
        }
    }
}

fn step(id: &str, needs: &[&str]) -> JobSpec {
    let needs = needs.iter().map(|n| (*n).to_owned()).collect();
    JobSpec { dependencies: Some(needs), ..spec(id, JobKind::Array) }
}

/// A job that needs one just cancelled is told cancelled by every controller from then on,
/// though none has heard of it, and whoever was to place it is gone: the leader, when there
/// is one again, writes it down.
#[tokio::test]
async fn what_needs_a_cancelled_job_is_cancelled_while_its_placer_changes() {
    let service = Service::with_types();
    let (a, _) = service.follower(0, 3).await;
    let (b, door) = service.follower(1, 3).await;
    let (gone, _) = service.controller(2, 3, 3).await;
    service.elect(&[&gone, &a, &b], 1);
    caught_up(&service, &a).await;
    caught_up(&service, &b).await;
    for spec in [step("j-1", &[]), step("j-2", &["j-1"]), step("j-3", &["j-2"])] {
        assert_eq!(submit(&a, &spec).await.0, 201);
        // Its part is the controller that is about to go.
        let mut record = service.store().job(&spec.id).expect("accepted");
        record.shard = Some(gone.identity.name.clone());
        service.store().put(KeyWrite::new(key::job(&spec.id), &record));
    }
    caught_up(&service, &a).await;
    caught_up(&service, &b).await;
    door.deaf.store(true, Ordering::Relaxed);
    assert_eq!(cancel(&a, "j-1").await, (200, Some(JobState::Cancelled)));
    let all_told = async || {
        for controller in [&b, &a] {
            for id in ["j-3", "j-2", "j-1"] {
                assert_eq!(state(controller, id).await, (200, Some(JobState::Cancelled)), "{id}");
                assert_eq!(cancel(controller, id).await, (200, Some(JobState::Cancelled)), "{id}");
            }
        }
    };
    all_told().await;
    // Named by a submission in the same moment, at a controller that has not heard of it.
    let (c, door) = service.follower(2, 3).await;
    assert_eq!(submit(&c, &step("j-5", &[])).await.0, 201);
    assert!(
        soon(20, || c.state().records.fresh_at.is_some_and(|t| t.elapsed() < Duration::from_millis(300)))
            .await
    );
    door.deaf.store(true, Ordering::Relaxed);
    assert_eq!(cancel(&a, "j-5").await.0, 200);
    assert!(matches!(submit(&c, &step("j-6", &["j-5"])).await, (201, Some(_))));
    for controller in [&a, &b, &c] {
        assert_eq!(state(controller, "j-6").await, (200, Some(JobState::Cancelled)));
    }
    // The placer is gone, and its leadership with it: nobody is to write it down yet.
    door.deaf.store(false, Ordering::Relaxed);
    service.store().put(KeyWrite::delete(key::LEADER.into()));
    let live = vec![a.identity.clone(), b.identity.clone()];
    service.store().put(KeyWrite::new(key::MAP.into(), &ClusterMap { epoch: 2, live }));
    caught_up(&service, &a).await;
    round(&a).await;
    all_told().await;
    assert_eq!(service.store().job("j-3").map(|j| j.phase), Some(Phase::Waiting));
    service.store().put(KeyWrite::new(key::LEADER.into(), &a.identity));
    caught_up(&service, &a).await;
    for _ in 0..4 {
        round(&a).await;
        all_told().await;
    }
    for id in ["j-2", "j-3", "j-6"] {
        assert_eq!(service.store().job(id).map(|j| j.phase), Some(Phase::Cancelled), "{id}");
    }
    assert_eq!(a.state().records.replica.pipelines.cancelled_by_dependency().count(), 0);
}

/// Transactions are carried out at once and only their answers are lost, while another
/// controller reads what they wrote: nobody hears something older, nothing is done twice.
#[tokio::test]
async fn lost_answers_are_found_out_by_reading() {
    let service = Service::with_types();
    let (a, door) = service.controller(0, 2, 1).await;
    let follows = [
        tokio::spawn(change_feed::follow_records(a.clone())),
        tokio::spawn(freshness_checks::run_freshness_checks(a.clone())),
    ];
    let (b, _) = service.follower(1, 2).await;
    service.elect(&[&a, &b], 1);
    assert!(soon(20, || a.state().is_live(&a.identity)).await);
    assert_eq!(submit(&a, &spec("j-2", JobKind::Array)).await.0, 201);
    assert_eq!(submit(&a, &spec("j-3", JobKind::Array)).await.0, 201);
    door.set(Trouble::Unanswered);
    // Nothing of it is heard here for as long as the answers take.
    follows.iter().for_each(|f| f.abort());
    let (one, two) = (spec("j-1", JobKind::Array), spec("j-3", JobKind::Array));
    let asked = [
        tokio::spawn({
            let a = a.clone();
            async move { submit_once(&a, &one).await }
        }),
        tokio::spawn({
            let a = a.clone();
            async move { cancel_once(&a, "j-2").await }
        }),
    ];
    let placed = tokio::spawn({
        let a = a.clone();
        async move { place(&a, "j-3", "m-1").await }
    });
    sleep(Duration::from_millis(300)).await;
    assert_eq!(state(&b, "j-1").await, (200, Some(JobState::Queued)));
    assert_eq!(state(&b, "j-2").await, (200, Some(JobState::Cancelled)));
    assert_eq!(state(&b, "j-3").await, (200, Some(JobState::Running)));
    for ask in asked {
        assert_eq!(ask.await.expect("an answer").0, 503, "not known");
    }
    placed.await.expect("ends");
    door.set(Trouble::None);
    // The same again, by a view from before: what it was decided from is no more.
    place(&a, "j-3", "m-2").await;
    let run = service.store().job("j-3").expect("a job").assignments;
    assert_eq!(run.iter().map(|r| &*r.machine).collect::<Vec<_>>(), ["m-1"], "placed once");
    follow(&a);
    caught_up(&service, &a).await;
    assert_eq!(submit(&a, &spec("j-1", JobKind::Array)).await, (200, Some(JobState::Queued)));
    assert_eq!(cancel(&a, "j-2").await, (200, Some(JobState::Cancelled)));
    assert_eq!(state(&a, "j-3").await, (200, Some(JobState::Running)));
    assert_eq!(submit(&a, &two).await, (200, Some(JobState::Running)));
}

/// A controller joins, leads and writes the map although no transaction of it is answered.
#[tokio::test]
async fn membership_comes_about_without_a_single_answer() {
    let service = Service::default();
    let (controller, door) = service.controller(0, 1, 7).await;
    door.set(Trouble::Unanswered);
    follow(&controller);
    controller.spawn_task(membership::keep_membership(controller.clone()));
    assert!(soon(20, || controller.state().is_leader(&controller.identity)).await);
    assert_eq!(service.store().map().map(|m| m.epoch), Some(1), "one map, written once");
}

/// Every transaction of users, rounds and membership that is carried out late, after newer
/// ones of the same controller or of another, changes nothing.
#[tokio::test]
async fn late_transactions_change_nothing() {
    let service = Service::with_types();
    let mut nodes = Vec::new();
    for n in 0..2 {
        let (controller, _) = service.controller(n, 2, 1 + n as u64).await;
        follow(&controller);
        controller.spawn_task(membership::keep_membership(controller.clone()));
        assert!(soon(20, || controller.state().is_live(&controller.identity)).await);
        nodes.push(controller);
    }
    let (a, b) = (&nodes[0], &nodes[1]);
    assert!(soon(20, || service.store().map().is_some_and(|m| m.live.len() == 2)).await);
    let late = |what: &str| {
        let mut store = service.store();
        let (sent, before) = (store.sent.clone(), store.revision);
        for txn in sent.iter().chain(sent.iter().rev()) {
            assert_ne!(store.txn(txn.clone()).status, 200, "{what}: {txn:?}");
        }
        assert_eq!(store.revision, before);
    };
    late("both are members");
    for id in ["j-1", "j-2", "j-3"] {
        assert_eq!(submit(a, &spec(id, JobKind::Array)).await.0, 201);
    }
    assert_eq!(submit(b, &step("j-4", &["j-1"])).await.0, 201);
    late("jobs are accepted");
    place(a, "j-1", "m-1").await;
    assert_eq!(cancel(b, "j-1").await, (200, Some(JobState::Cancelled)));
    assert_eq!(cancel(a, "j-2").await, (200, Some(JobState::Cancelled)));
    late("some are cancelled");
    caught_up(&service, a).await;
    place(a, "j-3", "m-1").await;
    let mut done = service.store().job("j-3").expect("placed");
    let attempt = done.assignments[0].attempt;
    done.end_assignment(0, attempt, TerminationReason::Done, 5, 0);
    service.store().put(KeyWrite::new(key::job("j-3"), &done));
    caught_up(&service, a).await;
    round(a).await;
    round(b).await;
    late("one is done");
    // A process comes back with another incarnation while its predecessor is a member still,
    // and its predecessor's requests are under way.
    let leads = if a.state().is_leader(&a.identity) { 0 } else { 1 };
    nodes[leads].shutdown.cancel();
    let (again, _) = service.controller(leads, 2, 9).await;
    follow(&again);
    again.spawn_task(membership::keep_membership(again.clone()));
    assert!(
        soon(20, || again.state().is_leader(&again.identity) && again.state().is_live(&again.identity)).await
    );
    late("the leader came back");
    let map = service.store().map().expect("a map");
    assert!(map.contains(&again.identity.name, 9) && map.live.len() == 2, "{map:?}");
    for (id, state_now) in
        [("j-1", JobState::Cancelled), ("j-3", JobState::Done), ("j-4", JobState::Cancelled)]
    {
        assert_eq!(state(&again, id).await, (200, Some(state_now)));
    }
}

/// A submission and a cancellation get no answer and are carried out seconds later, after
/// the same user's newer ones at another controller, and after the job's end.
#[tokio::test]
async fn late_requests_of_users_do_not_undo_newer_ones() {
    let service = Service::with_types();
    let (a, door) = service.follower(0, 2).await;
    let (b, _) = service.follower(1, 2).await;
    service.elect(&[&a, &b], 1);
    caught_up(&service, &a).await;
    assert_eq!(submit(&a, &spec("j-1", JobKind::Array)).await.0, 201);
    caught_up(&service, &b).await;
    door.set(Trouble::Late(Duration::from_millis(1200)));
    let (one, two) = (a.clone(), a.clone());
    let late = [
        tokio::spawn(async move { cancel_once(&one, "j-1").await.0 }),
        tokio::spawn(async move { submit_once(&two, &spec("j-2", JobKind::Array)).await.0 }),
    ];
    sleep(Duration::from_millis(200)).await;
    door.set(Trouble::None);
    let mut done = service.store().job("j-1").expect("accepted");
    done.phase = Phase::Done;
    done.compact_if_final();
    service.store().put(KeyWrite::new(key::job("j-1"), &done));
    assert_eq!(submit(&b, &spec("j-2", JobKind::Array)).await.0, 201);
    assert_eq!(cancel(&b, "j-2").await, (200, Some(JobState::Cancelled)));
    for request in late {
        assert_eq!(request.await.expect("an answer"), 503);
    }
    assert!(service.store().sent.len() >= 4);
    for controller in [&a, &b] {
        assert_eq!(state(controller, "j-1").await, (200, Some(JobState::Done)));
        assert_eq!(cancel(controller, "j-1").await, (200, Some(JobState::Done)));
        assert_eq!(state(controller, "j-2").await, (200, Some(JobState::Cancelled)));
        assert_eq!(submit(controller, &spec("j-2", JobKind::Array)).await, (200, Some(JobState::Cancelled)));
    }
}

/// Leaders end ten times, one of them inside an outage, and come back with another
/// incarnation within a fraction of a second: each time one leads, with a new epoch, and
/// what users were told stands.
#[tokio::test]
async fn leaders_change_ten_times_and_nothing_told_is_taken_back() {
    let service = Service::with_types();
    let mut nodes = Vec::new();
    for n in 0..3 {
        nodes.push(join(&service, n, 1 + n as u64).await);
    }
    let leader = |nodes: &[(Arc<Controller>, Arc<Door>)]| {
        nodes.iter().position(|(n, _)| n.state().is_leader(&n.identity) && n.state().is_live(&n.identity))
    };
    assert!(soon(20, || service.store().map().is_some_and(|m| m.live.len() == 3)).await);
    assert!(soon(20, || leader(&nodes).is_some()).await);
    let mut told: Vec<(String, JobState)> = Vec::new();
    let mut epoch = 0;
    for change in 0..10u64 {
        let id = format!("j-{change}");
        let at = change as usize % 3;
        assert_eq!(submit(&nodes[at].0, &spec(&id, JobKind::Array)).await.0, 201);
        let state_now = if change % 2 == 0 {
            assert_eq!(cancel(&nodes[(at + 1) % 3].0, &id).await.0, 200);
            JobState::Cancelled
        } else {
            JobState::Queued
        };
        told.push((id, state_now));
        if change == 5 {
            nodes.iter().for_each(|(_, door)| door.set(Trouble::Refused));
        }
        let Some(i) = leader(&nodes) else { unreachable!("somebody leads") };
        let old = nodes[i].0.identity.clone();
        nodes[i].0.shutdown.cancel();
        nodes[i] = join(&service, i, 100 + change).await;
        if change == 5 {
            nodes[i].1.set(Trouble::Refused);
            sleep(Duration::from_millis(400)).await;
            for (controller, _) in &nodes {
                assert_eq!(state_once(controller, "j-1").await.0, 503, "nobody can tell");
            }
            nodes.iter().for_each(|(_, door)| door.set(Trouble::None));
        }
        let settled = || {
            let store = service.store();
            let map = store.map().unwrap_or_default();
            map.epoch > epoch
                && nodes.iter().all(|(n, _)| map.contains(&n.identity.name, n.identity.incarnation))
        };
        assert!(soon(20, settled).await, "after change {change}: {:?}", service.store().map());
        let revision = service.store().revision;
        for (controller, _) in &nodes {
            assert!(controller.wait_for_revision(revision, Duration::from_secs(5)).await);
        }
        epoch = service.store().map().expect("a map").epoch;
        let leading: Vec<_> = nodes.iter().filter(|(n, _)| n.state().is_leader(&n.identity)).collect();
        assert_eq!(leading.len(), 1, "one leads");
        assert_ne!(leading[0].0.identity, old);
        for (controller, _) in &nodes {
            for (id, last) in &told {
                assert_eq!(state(controller, id).await, (200, Some(*last)), "{id}");
            }
        }
    }
}

/// A controller that is live as soon as it can be.
async fn join(service: &Service, n: usize, incarnation: u64) -> (Arc<Controller>, Arc<Door>) {
    let (controller, door) = service.controller(n, 3, incarnation).await;
    follow(&controller);
    controller.spawn_task(membership::keep_membership(controller.clone()));
    (controller, door)
}

/// A cancellation and the end of a job's last task meet: whichever is committed first
/// stands, and the other side hears of it.
#[tokio::test]
async fn the_end_of_the_last_task_and_a_cancellation_meet() {
    let service = Service::with_types();
    let (a, door) = service.follower(0, 2).await;
    let (b, _) = service.controller(1, 2, 2).await;
    let follows = [
        tokio::spawn(change_feed::follow_records(b.clone())),
        tokio::spawn(freshness_checks::run_freshness_checks(b.clone())),
    ];
    assert!(soon(20, || b.state().records.is_loaded).await);
    service.elect(&[&a, &b], 1);
    for id in ["j-1", "j-2"] {
        caught_up(&service, &a).await;
        assert_eq!(submit(&a, &spec(id, JobKind::Array)).await.0, 201);
        place(&a, id, "m-1").await;
    }
    caught_up(&service, &b).await;
    door.deaf.store(true, Ordering::Relaxed);
    // Done first, which this controller has not heard of.
    let done = |mut job: JobRecord| {
        let attempt = job.assignments[0].attempt;
        job.end_assignment(0, attempt, TerminationReason::Done, 5, 0);
        job
    };
    let record = done(service.store().job("j-1").expect("placed"));
    service.store().put(KeyWrite::new(key::job("j-1"), &record));
    assert_eq!(cancel(&a, "j-1").await, (200, Some(JobState::Done)));
    assert_eq!(submit(&a, &spec("j-1", JobKind::Array)).await, (200, Some(JobState::Done)));
    // Cancelled first, while the other writes that it is done, by records from before.
    follows.iter().for_each(|f| f.abort());
    let view = b.state().records.replica.jobs["j-2"].value.clone();
    assert_eq!(cancel(&a, "j-2").await, (200, Some(JobState::Cancelled)));
    let mut late = scheduler::SchedulingCycle::default();
    late.jobs.insert("j-2".into(), Box::new(done(*view)));
    scheduler::commit(&b, late).await;
    follow(&b);
    // And once more by who has heard of it: its only task is done all the same.
    caught_up(&service, &b).await;
    let record = b.state().records.replica.jobs["j-2"].value.clone();
    assert_eq!((record.phase, record.assignments.len()), (Phase::Cancelled, 1));
    let mut after = scheduler::SchedulingCycle::default();
    after.jobs.insert("j-2".into(), Box::new(done(*record)));
    scheduler::commit(&b, after).await;
    assert!(service.store().job("j-2").is_some_and(|j| j.assignments.is_empty()));
    for controller in [&a, &b] {
        assert_eq!(state(controller, "j-2").await, (200, Some(JobState::Cancelled)));
        assert_eq!(cancel(controller, "j-2").await, (200, Some(JobState::Cancelled)));
    }
}

/// The state service refuses one controller, then everybody for long, while users cancel
/// and ask: nothing is answered that may be older, at once, and all of it once it can be.
#[tokio::test]
async fn refused_alone_and_then_everybody_while_users_cancel_and_ask() {
    let service = Service::with_types();
    let (a, door_a) = service.follower(0, 2).await;
    let (b, door_b) = service.follower(1, 2).await;
    service.elect(&[&a, &b], 1);
    caught_up(&service, &a).await;
    for id in ["j-1", "j-2", "j-3"] {
        assert_eq!(submit(&a, &spec(id, JobKind::Array)).await.0, 201);
    }
    assert_eq!(cancel(&a, "j-3").await.0, 200);
    door_a.set(Trouble::Refused);
    assert_eq!(cancel(&b, "j-1").await, (200, Some(JobState::Cancelled)));
    let asked = Instant::now();
    for id in ["j-1", "j-2", "j-9"] {
        assert_eq!(state_once(&a, id).await.0, 503, "{id}: it may have changed");
        assert_eq!(submit_once(&a, &spec(id, JobKind::Array)).await.0, 503, "{id}");
        assert_eq!(cancel_once(&a, id).await.0, 503, "{id}");
    }
    assert_eq!(state(&a, "j-3").await, (200, Some(JobState::Cancelled)), "what is final stays");
    assert!(asked.elapsed() < Duration::from_secs(5), "told at once: {:?}", asked.elapsed());
    door_b.set(Trouble::Refused);
    sleep(Duration::from_millis(600)).await;
    assert_eq!(state(&b, "j-1").await, (200, Some(JobState::Cancelled)));
    assert_eq!(state_once(&b, "j-2").await.0, 503);
    assert_eq!(cancel_once(&b, "j-2").await.0, 503);
    assert_eq!(submit_once(&b, &spec("j-4", JobKind::Array)).await.0, 503);
    door_a.set(Trouble::None);
    door_b.set(Trouble::None);
    for controller in [&a, &b] {
        let since = Instant::now();
        while state_once(controller, "j-2").await.0 == 503 {
            assert!(since.elapsed() < Duration::from_secs(3), "answers soon again");
            sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(state(controller, "j-1").await, (200, Some(JobState::Cancelled)));
        assert_eq!(state(controller, "j-2").await, (200, Some(JobState::Queued)));
        assert_eq!(state(controller, "j-4").await.0, 404, "it was never accepted");
    }
}

/// One-task jobs four a second for minutes, a quarter of them cancelled, some with others
/// that need them, all of them over in the end: what is kept beside the jobs' final states
/// does not grow.
#[tokio::test]
async fn minutes_of_small_jobs_leave_nothing_but_their_final_states() {
    let service = Service::with_types();
    let (controller, _) = service.follower(0, 1).await;
    service.elect(&[&controller], 1);
    caught_up(&service, &controller).await;
    let mut version = service.store().revision;
    let mut apply = |id: &str, record: &JobRecord| {
        version += 1;
        controller
            .state()
            .records
            .replica
            .apply(RecordChange::Job(id.into(), Some(Box::new(record.clone()))), version);
    };
    for n in 0..2400u32 {
        let id = format!("j-{n}");
        let mut record = match n % 6 {
            5 => JobRecord::waiting(
                spec(&id, JobKind::Array),
                None,
                0,
                vec![format!("j-{}", n - 1).as_str().into()],
            ),
            _ => JobRecord::new(spec(&id, JobKind::Array), None, 0),
        };
        apply(&id, &record);
        if n % 6 != 5 {
            let machine = format!("m-{}", n % 40).as_str().into();
            record.assignments =
                vec![Assignment { task: 0, attempt: 1, machine, desired: DesiredState::Running }];
            apply(&id, &record);
        }
        if n >= 40 {
            let old = format!("j-{}", n - 40);
            let record = controller.state().records.replica.jobs[&old].value.clone();
            let mut record = *record;
            if (n - 40) % 4 == 0 {
                record.phase = Phase::Cancelled;
            }
            record.phase = if controller.state().records.replica.pipelines.is_cancelled_by_dependency(&old) {
                Phase::Cancelled
            } else {
                record.phase
            };
            if record.phase == Phase::Active && record.assignments.is_empty() {
                record.done = Ranges::all(1);
                record.phase = Phase::Done;
            }
            record.end_assignment(0, 1, TerminationReason::Done, 9, 0);
            record.compact_if_final();
            apply(&old, &record);
        }
    }
    let core = controller.state();
    let w = &core.records.replica;
    assert_eq!(w.jobs.len(), 2400);
    assert!(
        w.open_job_ids.len() <= 41 && w.jobs_by_machine.len() <= 40 && w.machine_usage.len() <= 40,
        "{}",
        w.open_job_ids.len()
    );
    assert!(w.pipelines.waiting().count() <= 8 && w.pipelines.cancelled_by_dependency().count() <= 8);
    let cpus = w.team_usage.get("t").map_or(0.0, |u| u.cpus);
    assert!((0.0..=41.0).contains(&cpus), "{cpus}");
    let kept = w.jobs.values().filter(|j| j.value.spec.is_some()).count();
    assert!(kept <= 41, "{kept} with a description");
    for n in 0..2340 {
        assert!(w.state_of(&format!("j-{n}")).is_some_and(|s| s.is_final()), "j-{n}");
    }
}
