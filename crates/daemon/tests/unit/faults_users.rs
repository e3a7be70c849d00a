//! Tests of two faults at once as users see them: responses, the state service and membership.
//! docs/combined-faults.md explains what upholds the guarantees in each combination.

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

/// An encoded job description without one of its fields, or with another value in it.
fn malformed_spec(id: &str, field: &str, value: Option<serde_json::Value>) -> Vec<u8> {
    let mut map: serde_json::Value =
        wire::decode(&wire::encode(&spec(id, JobKind::Array))).expect("a description");
    match value {
        Some(v) => map[field] = v,
        None => drop(map.as_object_mut().expect("a map").remove(field)),
    }
    wire::encode(&map)
}

/// Bad input without the id of a job is refused in every state. Otherwise it is refused only once the
/// records show that the job was not accepted, and a repeated submission of an accepted job gets 200
/// whatever else is wrong with it.
#[tokio::test]
async fn bad_input_is_refused_when_no_such_job_was_accepted_and_accepted_jobs_get_200() {
    use serde_json::json;
    let bad_specs = |id: &str| {
        vec![
            malformed_spec(id, "cpus", None),
            malformed_spec(id, "owner", None),
            malformed_spec(id, "threads", Some(json!(0))),
            malformed_spec(id, "threads", Some(json!(1.5))),
            malformed_spec(id, "mem_gb", Some(json!(-1.0))),
            malformed_spec(id, "guess_s", Some(json!(null))),
            malformed_spec(id, "due_s", Some(json!(1e300))),
            malformed_spec(id, "rank", Some(json!("urgent"))),
            malformed_spec(id, "rank", Some(json!(1))),
            malformed_spec(id, "weave", Some(json!({"array": null}))),
            malformed_spec(id, "awaits", Some(json!(["x"]))),
        ]
    };
    let not_a_job = [
        malformed_spec("x-1", "cpus", None),
        malformed_spec("j-1", "id", None),
        b"\xc1".to_vec(),
        Vec::new(),
        wire::encode(&"text"),
        // A list of the fields' values without their names.
        as_list(&spec("j-7", JobKind::Array)),
    ];
    let unschedulable = |id: &str| {
        let unknown = JobSpec { team: "nobody".into(), ..spec(id, JobKind::Array) };
        let too_large = JobSpec { cpus: 30.0, tasks: 400, ..spec(id, JobKind::Gang) };
        [unknown, too_large].map(|s| wire::encode(&s))
    };
    let fits_nowhere = wire::encode(&JobSpec { cpus: 41.0, ..spec("j-6", JobKind::Array) });
    let submit_body = async |controller: &Arc<Controller>, body: &[u8]| {
        send_request(controller, "POST", "/v1/jobs", body.to_vec()).await
    };

    let service = Service::default();
    let (controller, link) = service.controller(0, 1, 1).await;
    let (other, _) = service.follower(1, 2).await;
    let all_refused = async |state: &str, are_records_readable: bool| {
        let if_readable = |status| if are_records_readable { status } else { 503 };
        for body in &not_a_job {
            assert_eq!(submit_body(&controller, body).await.0, 400, "{state}");
        }
        for body in bad_specs("j-5") {
            assert_eq!(submit_body(&controller, &body).await.0, if_readable(400), "{state}");
        }
        for body in unschedulable("j-5") {
            assert_eq!(submit_body(&controller, &body).await.0, if_readable(422), "{state}");
        }
    };
    all_refused("no records read, nothing running", false).await;
    assert_eq!(submit_body(&controller, &fits_nowhere).await.0, 503);
    link.set_fault(LinkFault::Refused);
    start_following(&controller);
    all_refused("refused by the state service from the start", false).await;
    assert_eq!(submit_body(&controller, &fits_nowhere).await.0, 503);
    link.set_fault(LinkFault::None);
    assert!(eventually(20, || controller.state().records.is_loaded).await);
    all_refused("no machine types", true).await;
    assert_eq!(submit_body(&controller, &fits_nowhere).await.0, 503, "unknown without machine types");
    let (key, (types, ..)) = Service::with_types().store().keys.pop_first().expect("the types");
    service.store().put(KeyWrite { key, value: Some(types), lease: None });
    wait_until_caught_up(&service, &controller).await;
    all_refused("no fault", true).await;
    assert_eq!(
        retry_while_unavailable(async || (submit_body(&controller, &fits_nowhere).await.0, None)).await.0,
        422
    );

    // Accepted by another controller; this one has not seen the record yet.
    link.watches_stalled.store(true, Ordering::Relaxed);
    wait_until_caught_up(&service, &other).await;
    assert_eq!(submit(&other, &spec("j-1", JobKind::Array)).await.0, 201);
    assert_eq!(submit(&other, &spec("j-2", JobKind::Array)).await.0, 201);
    assert_eq!(cancel(&other, "j-2").await.0, 200);
    for (id, state) in [("j-1", JobState::Queued), ("j-2", JobState::Cancelled)] {
        for body in bad_specs(id).iter().chain(&unschedulable(id)) {
            let reported = retry_while_unavailable(async || {
                let (status, job) = submit_body(&controller, body).await;
                (status, job.map(|j| j.state))
            });
            assert_eq!(reported.await, (200, Some(state)), "{id}");
        }
    }
    link.set_fault(LinkFault::Refused);
    for body in bad_specs("j-1").iter().chain(&unschedulable("j-1")) {
        assert_eq!(submit_body(&controller, body).await.0, 503, "accepted, but may have ended");
    }
    for body in bad_specs("j-2").iter().chain(&unschedulable("j-2")) {
        assert_eq!(submit_body(&controller, body).await.0, 200, "a final state cannot change");
    }
    all_refused("refused by the state service", false).await;
    assert_eq!(submit_body(&controller, &fits_nowhere).await.0, 503);
    assert!(service.store().keys.keys().filter(|k| k.starts_with("sageloom/jobs/")).count() == 2);
}

/// Guards against accepted jobs that are refused by a controller that has not read their records.
#[tokio::test]
async fn a_repeated_submission_is_not_refused_for_good_while_the_records_cannot_be_read() {
    let service = Service::with_types();
    let (controller, link) = service.controller(0, 1, 1).await;
    let (other, _) = service.follower(1, 2).await;
    link.set_fault(LinkFault::Refused);
    start_following(&controller);
    wait_until_caught_up(&service, &other).await;
    assert_eq!(submit(&other, &spec("j-1", JobKind::Array)).await.0, 201);
    assert_not_decided(&controller, "j-1").await;
    link.set_fault(LinkFault::None);
    assert!(eventually(20, || controller.state().records.is_loaded).await);
    link.watches_stalled.store(true, Ordering::Relaxed);
    assert_eq!(submit(&other, &spec("j-2", JobKind::Array)).await.0, 201);
    link.set_fault(LinkFault::Refused);
    assert_not_decided(&controller, "j-2").await;
}

/// Asserts that repeated submissions that would be refused if the job had not been accepted get 503.
async fn assert_not_decided(controller: &Arc<Controller>, id: &str) {
    let unknown_team = wire::encode(&JobSpec { team: "nobody".into(), ..spec(id, JobKind::Array) });
    for body in [unknown_team, malformed_spec(id, "cpus", None)] {
        assert_eq!(send_request(controller, "POST", "/v1/jobs", body).await.0, 503, "{id}");
    }
}

/// A message as a MessagePack list of its values, without field names.
fn as_list(spec: &JobSpec) -> Vec<u8> {
    // Every optional field is set.
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

/// No number from a worker, a user, the cloud or a record ends the process.
/// `Duration::from_secs_f64` panics on values that are negative, infinite or not a number.
#[test]
fn invalid_numbers_from_outside_do_not_end_the_process() {
    let now = Instant::now();
    let invalid_numbers =
        [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, f64::MAX, f64::MIN, -1.0, 1e300, 1e-320];
    for s in invalid_numbers {
        assert!(wire::seconds(s) <= Duration::from_secs(1_000_000_000));
        let mut replica = Replica::default();
        let machine = MachineRecord {
            addr: "a".into(),
            machine_type: "m".into(),
            zone: "z".into(),
            spot: false,
            release: false,
        };
        replica.apply(RecordChange::Machine("m-1".into(), Some(machine)), 1);
        let mut job =
            JobRecord::new(JobSpec { checkpoint_save_s: s, ..spec("j-1", JobKind::Array) }, None, 0);
        job.assignments =
            vec![Assignment { task: 0, attempt: 1, machine: "m-1".into(), desired: DesiredState::Stopped }];
        replica.apply(RecordChange::Job("j-1".into(), Some(Box::new(job))), 2);
        let mut worker = Worker::new("a".into(), 1, now);
        let limits = WorkerLimits {
            gang_peer: Duration::ZERO,
            lease: Duration::from_secs(9),
            fresh_at: Some(now),
            max_launch_replica_age: MEMBER_TTL,
        };
        for n in 1..4 {
            let at = now + Duration::from_secs(n * 3);
            let mut heartbeat = heartbeat("m-1", n);
            heartbeat.spot_notice_s = Some(s);
            heartbeat.tasks = vec![TaskStatus {
                task: "j-1/0".into(),
                attempt: 1,
                state: TaskState::Running,
                cause: None,
                checkpointed: None,
            }];
            assert!(worker.receive_heartbeat(heartbeat, at));
            worker.reconcile("m-1", &replica, &limits, at);
        }
        let spec = JobSpec { checkpoint_save_s: s, checkpoint_interval_s: s, ..spec("j-1", JobKind::Gang) };
        sched::spot_notice::should_stop(&spec, Duration::from_secs(5));
        let mut limiter = store::RateLimiter::new(s, s, now);
        let _ = now + limiter.acquire(s, s, now);
    }
}

fn heartbeat(machine: &str, n: u64) -> Heartbeat {
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

/// A malformed record counts as unreadable, and decoding it takes no more memory than its size
/// warrants.
#[test]
fn malformed_records_are_unreadable_and_do_no_other_harm() {
    // Five bits a character; the sixth says that more characters follow.
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
    assert!(!unreadable(6, row(1, 1000)), "a valid row");
    assert!(unreadable(6, row(1, 200_000)), "more tasks than any job has");
    assert!(unreadable(100_000, row(1, 1)), "a machine name with too many digits");
    assert!(unreadable(6, row(1 << 59, 1).repeat(40)), "numbers that are far too large");
    assert!(unreadable(6, "?".into()));
    assert_eq!(Ranges::from((u32::MAX - 1, "3".into())).len(), u32::MAX, "u32::MAX is not a task number");
    let fleet_unreadable = |digits: u64, text: String| {
        let record = serde_json::json!({"rentals": [], "gone": [["host-", digits, text]]});
        store::decode_change(key::FLEET, KeyWrite::new(String::new(), &record).value).1
    };
    assert!(!fleet_unreadable(6, number(7)));
    assert!(fleet_unreadable(100_000, number(7)) && fleet_unreadable(6, number(1 << 59).repeat(40)));
}

/// A worker with an invalid name gets a 400: a transaction that recorded it together with other
/// machines would be refused, and none of them would be recorded.
#[tokio::test]
async fn heartbeat_with_an_invalid_machine_name_is_refused() {
    let service = Service::default();
    let (controller, _) = service.follower(0, 1).await;
    service.elect(&[&controller], 1);
    wait_until_caught_up(&service, &controller).await;
    for name in ["", "host 1", "host\u{7}1", &"x".repeat(300)] {
        let body = wire::encode(&heartbeat(name, 1));
        assert_eq!(send_request(&controller, "POST", "/hello", body).await.0, 400, "{name:?}");
    }
    assert_ne!(
        send_request(&controller, "POST", "/hello", wire::encode(&heartbeat("host-1", 1))).await.0,
        400
    );
    for body in [b"\xc1".to_vec(), Vec::new(), wire::encode(&7), malformed_spec("j-1", "cpus", None)] {
        assert_eq!(send_request(&controller, "POST", "/hello", body).await.0, 400);
    }
}

/// Runs a scheduling cycle that places a job's only task on a machine.
async fn place(controller: &Arc<Controller>, id: &str, machine: &str) {
    let mut cycle = scheduler::SchedulingCycle::default();
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
    cycle.jobs.insert(id.into(), job);
    cycle.placed_jobs.insert(id.into());
    scheduler::commit(controller, cycle).await;
}

/// Team names are free text, and a key has no spaces: every controller must find the fence of such
/// a team again after another one has written it.
#[tokio::test]
async fn jobs_of_a_team_with_a_space_in_its_name_are_placed_by_all_controllers() {
    let service = Service::default();
    let (a, _) = service.follower(0, 2).await;
    let (b, _) = service.follower(1, 2).await;
    service.elect(&[&a, &b], 1);
    let team = |id: &str| JobSpec { team: "ocean desk".into(), ..spec(id, JobKind::Array) };
    for (n, controller) in [&a, &b, &a, &b].into_iter().enumerate() {
        let id = format!("j-{n}");
        let record = JobRecord::new(team(&id), None, 0);
        service.store().put(KeyWrite::new(key::job(&id), &record));
        wait_until_caught_up(&service, controller).await;
        place(controller, &id, "m-1").await;
        assert_eq!(service.store().job(&id).map(|j| j.assignments.len()), Some(1), "{id} is placed");
    }
}

/// The initial read completes although the state service refuses every second request.
#[tokio::test]
async fn records_are_read_while_every_second_request_is_refused() {
    let service = Service::default();
    service.store().page = 2;
    for n in 0..9 {
        let record = JobRecord::new(spec(&format!("j-{n}"), JobKind::Array), None, 0);
        service.store().put(KeyWrite::new(key::job(&format!("j-{n}")), &record));
    }
    let (controller, link) = service.controller(0, 1, 1).await;
    link.set_fault(LinkFault::Flaky);
    start_following(&controller);
    assert!(eventually(20, || controller.state().records.is_loaded).await, "the records are read");
    assert_eq!(controller.state().records.replica.jobs.len(), 9);
}

/// The state service answers more slowly than users wait. Users are told so in time, final states
/// are answered at once, and the controller still knows that it may renew leases; otherwise all
/// workers would lose theirs.
#[tokio::test]
async fn slow_state_service_neither_delays_users_nor_stops_lease_renewal() {
    let service = Service::with_types();
    let (controller, link) = service.follower(0, 1).await;
    for id in ["j-1", "j-2"] {
        assert_eq!(submit(&controller, &spec(id, JobKind::Array)).await.0, 201);
    }
    assert_eq!(cancel(&controller, "j-2").await.0, 200);
    link.set_fault(LinkFault::Slow(Duration::from_millis(1900)));
    let since = Instant::now();
    while since.elapsed() < Duration::from_secs(7) {
        let asked_at = Instant::now();
        assert_eq!(state_once(&controller, "j-2").await, (200, Some(JobState::Cancelled)));
        assert_eq!(state_once(&controller, "j-1").await.0, 503);
        assert!(asked_at.elapsed() < Duration::from_millis(2500), "{:?}", asked_at.elapsed());
    }
    let fresh = controller.state().records.fresh_at.map(|t| t.elapsed());
    assert!(fresh.is_some_and(|f| f < Duration::from_millis(5800)), "{fresh:?}");
    link.set_fault(LinkFault::Slow(Duration::from_millis(300)));
    assert!(
        eventually(20, || controller
            .state()
            .records
            .fresh_at
            .is_some_and(|t| t.elapsed() < Duration::from_secs(1)))
        .await
    );
    assert_eq!(
        job_state(&controller, "j-1").await,
        (200, Some(JobState::Queued)),
        "slow, but within the time limit"
    );
}

/// A cancellation conflicts with a newer record while each response takes seconds: the user is
/// answered within the request's time limit, and the cancellation holds once it is repeated.
#[tokio::test]
async fn cancellation_is_answered_in_time_when_conflicts_meet_slow_responses() {
    let service = Service::with_types();
    let (controller, link) = service.follower(0, 1).await;
    assert_eq!(submit(&controller, &spec("j-1", JobKind::Array)).await.0, 201);
    link.watches_stalled.store(true, Ordering::Relaxed);
    let mut newer = service.store().job("j-1").expect("accepted");
    newer.failed_starts = 1;
    service.store().put(KeyWrite::new(key::job("j-1"), &newer));
    link.set_fault(LinkFault::Slow(Duration::from_millis(2400)));
    let asked_at = Instant::now();
    assert_eq!(cancel_once(&controller, "j-1").await.0, 503);
    assert!(asked_at.elapsed() < Duration::from_millis(4900), "{:?}", asked_at.elapsed());
    link.set_fault(LinkFault::None);
    assert_eq!(cancel(&controller, "j-1").await, (200, Some(JobState::Cancelled)));
    assert_eq!(job_state(&controller, "j-1").await, (200, Some(JobState::Cancelled)));
}

/// The leader ends while each response of the state service takes longer than the timeout of lease
/// renewals: another controller must become leader all the same.
#[tokio::test]
async fn new_leader_is_elected_while_the_state_service_is_slow() {
    let service = Service::default();
    let (controller, link) = service.controller(0, 2, 1).await;
    let (other, _) = service.controller(1, 2, 2).await;
    service.elect(&[&other], 1);
    start_following(&controller);
    controller.spawn_task(membership::keep_membership(controller.clone()));
    assert!(eventually(20, || controller.state().records.replica.members.contains_key("n-0")).await);
    link.set_fault(LinkFault::Slow(Duration::from_millis(1700)));
    sleep(Duration::from_millis(1500)).await;
    service.store().put(KeyWrite::delete(key::LEADER.into()));
    service.store().put(KeyWrite::delete(key::member("n-1")));
    assert!(eventually(20, || service.store().map().is_some_and(|m| m.epoch == 2)).await, "no new leader");
    let map = service.store().map().expect("a map");
    assert!(map.live.len() == 1 && map.contains("n-0", 1), "{map:?}");
}

/// Heartbeats of hundreds of workers are relayed to a controller that accepts and never answers:
/// users are answered all the same, and this controller stays a member.
#[tokio::test]
async fn hanging_peer_does_not_block_requests_to_the_state_service() {
    let service = Service::with_types();
    let (link, hanging_addr) = service.link().await;
    link.set_fault(LinkFault::Slow(Duration::from_secs(60)));
    let (addr, mut settings) = (service.link().await.1, Settings::parse("s", EXAMPLE).expect("valid"));
    (settings.external.state, settings.facts.limits.max_connections) = (addr, 900);
    settings.peers = vec![Peer { node_name: "n-1".into(), address: hanging_addr }];
    let controller = Controller::new(settings, OperatorSettings::default(), 1);
    start_following(&controller);
    controller.spawn_task(membership::keep_membership(controller.clone()));
    assert!(eventually(20, || controller.state().is_live(&controller.identity)).await);
    assert_eq!(submit(&controller, &spec("j-1", JobKind::Array)).await.0, 201);
    for n in 0..200 {
        let (controller, heartbeat) = (controller.clone(), wire::encode(&heartbeat(&format!("host-{n}"), 1)));
        tokio::spawn(async move { crate::peer_client::relay_heartbeat(&controller, "n-1", heartbeat).await });
    }
    let since = Instant::now();
    assert_eq!(job_state(&controller, "j-1").await, (200, Some(JobState::Queued)));
    // Each relayed heartbeat times out after two seconds.
    assert!(since.elapsed() < Duration::from_millis(1900), "{:?}", since.elapsed());
}

/// Users' writes exceed a controller's share of the write rate for minutes: scheduling cycles
/// still get their turn.
#[test]
fn user_writes_do_not_starve_scheduling_cycles() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut limiter = store::RateLimiter::new(1.0, 1.0, start);
    let (mut last, mut longest, mut written) = (0, 0, 0);
    for ms in (0..300_000).step_by(50) {
        if ms % 600 == 0 {
            limiter.acquire(1.0, 0.0, at(ms));
        }
        let ops = if ms % 250 == 0 { limiter.allowance(at(ms)) } else { 0 };
        if ops > 0 {
            limiter.acquire(ops as f64, 0.0, at(ms));
            (longest, last) = (longest.max(ms - last), ms);
            written += ops;
        }
    }
    longest = longest.max(300_000 - last);
    assert!(longest <= 3000, "nothing written for {longest} ms");
    assert!(written <= 400, "more than its share: {written}");
}

/// A deterministic pseudo-random number generator.
struct PseudoRandom(u64);

impl PseudoRandom {
    fn below(&mut self, n: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % n
    }
}

/// The order in which users may see the states of a job.
fn rank(state: JobState) -> u32 {
    match state {
        JobState::Queued | JobState::Running => 1,
        JobState::Done | JobState::Cancelled => 2,
    }
}

/// Users query, resubmit and cancel at all controllers within milliseconds after a job was
/// accepted, ended or cancelled, and the controllers receive no changes unless they ask. No
/// controller must answer with a state older than one answered before the request.
#[tokio::test]
async fn no_controller_answers_with_an_older_state() {
    let service = Service::with_types();
    let mut controllers = Vec::new();
    for n in 0..3 {
        let (controller, link) = service.follower(n, 3).await;
        link.watches_stalled.store(true, Ordering::Relaxed);
        controllers.push(controller);
    }
    service.elect(&controllers.iter().collect::<Vec<_>>(), 1);
    let mut random = PseudoRandom(16);
    for n in 0..25 {
        let id = format!("j-{n}");
        // The latest state that any controller has answered for the job.
        let reported: Arc<Mutex<Option<JobState>>> = Arc::default();
        let mut users = Vec::new();
        for user in 0..12usize {
            let (controller, id, reported) =
                (controllers[random.below(3)].clone(), id.clone(), reported.clone());
            let (action, after) = (random.below(8), Duration::from_millis(random.below(60) as u64));
            let service = service.clone();
            users.push(tokio::spawn(async move {
                if user > 0 {
                    sleep(Duration::from_millis(20) + after).await;
                }
                let before = *reported.lock().expect("no panic");
                let (status, state) = match (user, action) {
                    (0, _) | (_, 0 | 1) => submit_once(&controller, &spec(&id, JobKind::Array)).await,
                    (1, 2..=4) => cancel_once(&controller, &id).await,
                    (2, 2..=4) => {
                        // Another controller records the end of the last task.
                        let mut store = service.store();
                        let active_job = store.job(&id).filter(|j| j.phase == Phase::Active);
                        if let Some(mut job) = active_job {
                            job.phase = Phase::Done;
                            job.compact_if_final();
                            store.put(KeyWrite::new(key::job(&id), &job));
                        }
                        return;
                    }
                    _ => state_once(&controller, &id).await,
                };
                let mut reported = reported.lock().expect("no panic");
                if let Some(before) = before {
                    assert!(matches!(status, 200 | 503), "{id}: {status} after {before:?}");
                    if let Some(state) = state {
                        assert!(rank(state) >= rank(before), "{id}: {state:?} after {before:?}");
                        assert!(rank(before) < 2 || state == before, "{id}: {state:?} after {before:?}");
                    }
                }
                if let Some(state) = state.filter(|_| matches!(status, 200 | 201)) {
                    assert!(reported.is_none_or(|t| rank(t) < 2 || rank(state) < 2 || t == state), "{id}");
                    if reported.is_none_or(|t| rank(t) < rank(state)) {
                        *reported = Some(state);
                    }
                }
            }));
        }
        for user in users {
            user.await.expect("no older state");
        }
        let last = service.store().job(&id).expect("accepted").state();
        for controller in &controllers {
            assert_eq!(job_state(controller, &id).await, (200, Some(last)));
            assert_eq!(submit(controller, &spec(&id, JobKind::Array)).await, (200, Some(last)));
        }
    }
}

fn spec_with_dependencies(id: &str, dependencies: &[&str]) -> JobSpec {
    let dependencies = dependencies.iter().map(|n| (*n).to_owned()).collect();
    JobSpec { dependencies: Some(dependencies), ..spec(id, JobKind::Array) }
}

/// A job that depends on one just cancelled is reported cancelled by every controller from then
/// on, although none has seen the change and the controller that was to place it is gone. The next
/// leader records the cancellations.
#[tokio::test]
async fn dependants_of_a_cancelled_job_are_cancelled_while_the_leader_changes() {
    let service = Service::with_types();
    let (a, _) = service.follower(0, 3).await;
    let (b, link) = service.follower(1, 3).await;
    let (gone, _) = service.controller(2, 3, 3).await;
    service.elect(&[&gone, &a, &b], 1);
    wait_until_caught_up(&service, &a).await;
    wait_until_caught_up(&service, &b).await;
    for spec in [
        spec_with_dependencies("j-1", &[]),
        spec_with_dependencies("j-2", &["j-1"]),
        spec_with_dependencies("j-3", &["j-2"]),
    ] {
        assert_eq!(submit(&a, &spec).await.0, 201);
        // Its shard belongs to the controller that is about to go.
        let mut record = service.store().job(&spec.id).expect("accepted");
        record.shard = Some(gone.identity.name.clone());
        service.store().put(KeyWrite::new(key::job(&spec.id), &record));
    }
    wait_until_caught_up(&service, &a).await;
    wait_until_caught_up(&service, &b).await;
    link.watches_stalled.store(true, Ordering::Relaxed);
    assert_eq!(cancel(&a, "j-1").await, (200, Some(JobState::Cancelled)));
    let assert_all_cancelled = async || {
        for controller in [&b, &a] {
            for id in ["j-3", "j-2", "j-1"] {
                assert_eq!(job_state(controller, id).await, (200, Some(JobState::Cancelled)), "{id}");
                assert_eq!(cancel(controller, id).await, (200, Some(JobState::Cancelled)), "{id}");
            }
        }
    };
    assert_all_cancelled().await;
    // A submission depends on the job at the same moment, at a controller that has not seen the
    // cancellation.
    let (c, link) = service.follower(2, 3).await;
    assert_eq!(submit(&c, &spec_with_dependencies("j-5", &[])).await.0, 201);
    assert!(
        eventually(20, || c
            .state()
            .records
            .fresh_at
            .is_some_and(|t| t.elapsed() < Duration::from_millis(300)))
        .await
    );
    link.watches_stalled.store(true, Ordering::Relaxed);
    assert_eq!(cancel(&a, "j-5").await.0, 200);
    assert!(matches!(submit(&c, &spec_with_dependencies("j-6", &["j-5"])).await, (201, Some(_))));
    for controller in [&a, &b, &c] {
        assert_eq!(job_state(controller, "j-6").await, (200, Some(JobState::Cancelled)));
    }
    // The placing controller, which led, is gone: nobody may record the cancellations yet.
    link.watches_stalled.store(false, Ordering::Relaxed);
    service.store().put(KeyWrite::delete(key::LEADER.into()));
    let live = vec![a.identity.clone(), b.identity.clone()];
    service.store().put(KeyWrite::new(key::MAP.into(), &ClusterMap { epoch: 2, live }));
    wait_until_caught_up(&service, &a).await;
    run_cycle(&a).await;
    assert_all_cancelled().await;
    assert_eq!(service.store().job("j-3").map(|j| j.phase), Some(Phase::Waiting));
    service.store().put(KeyWrite::new(key::LEADER.into(), &a.identity));
    wait_until_caught_up(&service, &a).await;
    for _ in 0..4 {
        run_cycle(&a).await;
        assert_all_cancelled().await;
    }
    for id in ["j-2", "j-3", "j-6"] {
        assert_eq!(service.store().job(id).map(|j| j.phase), Some(Phase::Cancelled), "{id}");
    }
    assert_eq!(a.state().records.replica.pipelines.cancelled_by_dependency().count(), 0);
}

/// Transactions are applied at once and only their responses are lost, while another controller
/// reads what they wrote: no answer is older than an earlier one, and nothing is done twice.
#[tokio::test]
async fn outcome_of_transactions_with_lost_responses_is_found_by_reading() {
    let service = Service::with_types();
    let (a, link) = service.controller(0, 2, 1).await;
    let feed_tasks = [
        tokio::spawn(change_feed::follow_records(a.clone())),
        tokio::spawn(freshness_checks::run_freshness_checks(a.clone())),
    ];
    let (b, _) = service.follower(1, 2).await;
    service.elect(&[&a, &b], 1);
    assert!(eventually(20, || a.state().is_live(&a.identity)).await);
    assert_eq!(submit(&a, &spec("j-2", JobKind::Array)).await.0, 201);
    assert_eq!(submit(&a, &spec("j-3", JobKind::Array)).await.0, 201);
    link.set_fault(LinkFault::Unanswered);
    // This controller sees none of the changes while the responses are missing.
    feed_tasks.iter().for_each(|f| f.abort());
    let (job_1, job_3) = (spec("j-1", JobKind::Array), spec("j-3", JobKind::Array));
    let requests = [
        tokio::spawn({
            let a = a.clone();
            async move { submit_once(&a, &job_1).await }
        }),
        tokio::spawn({
            let a = a.clone();
            async move { cancel_once(&a, "j-2").await }
        }),
    ];
    let placement = tokio::spawn({
        let a = a.clone();
        async move { place(&a, "j-3", "m-1").await }
    });
    sleep(Duration::from_millis(300)).await;
    assert_eq!(job_state(&b, "j-1").await, (200, Some(JobState::Queued)));
    assert_eq!(job_state(&b, "j-2").await, (200, Some(JobState::Cancelled)));
    assert_eq!(job_state(&b, "j-3").await, (200, Some(JobState::Running)));
    for request in requests {
        assert_eq!(request.await.expect("an answer").0, 503, "the outcome is unknown");
    }
    placement.await.expect("ends");
    link.set_fault(LinkFault::None);
    // The same placement from a stale replica must conflict.
    place(&a, "j-3", "m-2").await;
    let run = service.store().job("j-3").expect("a job").assignments;
    assert_eq!(run.iter().map(|r| &*r.machine).collect::<Vec<_>>(), ["m-1"], "the task is placed once");
    start_following(&a);
    wait_until_caught_up(&service, &a).await;
    assert_eq!(submit(&a, &spec("j-1", JobKind::Array)).await, (200, Some(JobState::Queued)));
    assert_eq!(cancel(&a, "j-2").await, (200, Some(JobState::Cancelled)));
    assert_eq!(job_state(&a, "j-3").await, (200, Some(JobState::Running)));
    assert_eq!(submit(&a, &job_3).await, (200, Some(JobState::Running)));
}

/// A controller joins, becomes leader and writes the map although none of its transactions is
/// answered.
#[tokio::test]
async fn controller_joins_and_leads_without_a_single_response() {
    let service = Service::default();
    let (controller, link) = service.controller(0, 1, 7).await;
    link.set_fault(LinkFault::Unanswered);
    start_following(&controller);
    controller.spawn_task(membership::keep_membership(controller.clone()));
    assert!(eventually(20, || controller.state().is_leader(&controller.identity)).await);
    assert_eq!(service.store().map().map(|m| m.epoch), Some(1), "the map is written once");
}

/// Every transaction of users, scheduling cycles and membership that is applied late, after newer
/// ones of the same or another controller, changes nothing.
#[tokio::test]
async fn late_transactions_change_nothing() {
    let service = Service::with_types();
    let mut controllers = Vec::new();
    for n in 0..2 {
        let (controller, _) = service.controller(n, 2, 1 + n as u64).await;
        start_following(&controller);
        controller.spawn_task(membership::keep_membership(controller.clone()));
        assert!(eventually(20, || controller.state().is_live(&controller.identity)).await);
        controllers.push(controller);
    }
    let (a, b) = (&controllers[0], &controllers[1]);
    assert!(eventually(20, || service.store().map().is_some_and(|m| m.live.len() == 2)).await);
    let assert_late_copies_change_nothing = |moment: &str| {
        let mut store = service.store();
        let (sent, before) = (store.sent.clone(), store.revision);
        for txn in sent.iter().chain(sent.iter().rev()) {
            assert_ne!(store.txn(txn.clone()).status, 200, "{moment}: {txn:?}");
        }
        assert_eq!(store.revision, before);
    };
    assert_late_copies_change_nothing("both are members");
    for id in ["j-1", "j-2", "j-3"] {
        assert_eq!(submit(a, &spec(id, JobKind::Array)).await.0, 201);
    }
    assert_eq!(submit(b, &spec_with_dependencies("j-4", &["j-1"])).await.0, 201);
    assert_late_copies_change_nothing("jobs are accepted");
    place(a, "j-1", "m-1").await;
    assert_eq!(cancel(b, "j-1").await, (200, Some(JobState::Cancelled)));
    assert_eq!(cancel(a, "j-2").await, (200, Some(JobState::Cancelled)));
    assert_late_copies_change_nothing("some are cancelled");
    wait_until_caught_up(&service, a).await;
    place(a, "j-3", "m-1").await;
    let mut done = service.store().job("j-3").expect("placed");
    let attempt = done.assignments[0].attempt;
    done.end_assignment(0, attempt, TerminationReason::Done, 5, 0);
    service.store().put(KeyWrite::new(key::job("j-3"), &done));
    wait_until_caught_up(&service, a).await;
    run_cycle(a).await;
    run_cycle(b).await;
    assert_late_copies_change_nothing("one is done");
    // A process restarts with another incarnation while its predecessor is still a member and has
    // requests in flight.
    let leader = if a.state().is_leader(&a.identity) { 0 } else { 1 };
    controllers[leader].shutdown.cancel();
    let (restarted, _) = service.controller(leader, 2, 9).await;
    start_following(&restarted);
    restarted.spawn_task(membership::keep_membership(restarted.clone()));
    assert!(
        eventually(20, || restarted.state().is_leader(&restarted.identity)
            && restarted.state().is_live(&restarted.identity))
        .await
    );
    assert_late_copies_change_nothing("the leader came back");
    let map = service.store().map().expect("a map");
    assert!(map.contains(&restarted.identity.name, 9) && map.live.len() == 2, "{map:?}");
    for (id, state_now) in
        [("j-1", JobState::Cancelled), ("j-3", JobState::Done), ("j-4", JobState::Cancelled)]
    {
        assert_eq!(job_state(&restarted, id).await, (200, Some(state_now)));
    }
}

/// A submission and a cancellation get no response and are applied seconds later: after newer ones
/// of the same user at another controller, and after the end of the job.
#[tokio::test]
async fn late_user_requests_do_not_undo_newer_ones() {
    let service = Service::with_types();
    let (a, link) = service.follower(0, 2).await;
    let (b, _) = service.follower(1, 2).await;
    service.elect(&[&a, &b], 1);
    wait_until_caught_up(&service, &a).await;
    assert_eq!(submit(&a, &spec("j-1", JobKind::Array)).await.0, 201);
    wait_until_caught_up(&service, &b).await;
    link.set_fault(LinkFault::Late(Duration::from_millis(1200)));
    let (canceller, submitter) = (a.clone(), a.clone());
    let late = [
        tokio::spawn(async move { cancel_once(&canceller, "j-1").await.0 }),
        tokio::spawn(async move { submit_once(&submitter, &spec("j-2", JobKind::Array)).await.0 }),
    ];
    sleep(Duration::from_millis(200)).await;
    link.set_fault(LinkFault::None);
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
        assert_eq!(job_state(controller, "j-1").await, (200, Some(JobState::Done)));
        assert_eq!(cancel(controller, "j-1").await, (200, Some(JobState::Done)));
        assert_eq!(job_state(controller, "j-2").await, (200, Some(JobState::Cancelled)));
        assert_eq!(submit(controller, &spec("j-2", JobKind::Array)).await, (200, Some(JobState::Cancelled)));
    }
}

/// Leaders end ten times, one of them during an outage, and come back with another incarnation
/// within a fraction of a second. Each time there is one leader with a new epoch, and the states
/// that users were given still hold.
#[tokio::test]
async fn reported_states_hold_over_ten_leader_changes() {
    let service = Service::with_types();
    let mut controllers = Vec::new();
    for n in 0..3 {
        controllers.push(join(&service, n, 1 + n as u64).await);
    }
    let leader = |controllers: &[(Arc<Controller>, Arc<StoreLink>)]| {
        controllers
            .iter()
            .position(|(n, _)| n.state().is_leader(&n.identity) && n.state().is_live(&n.identity))
    };
    assert!(eventually(20, || service.store().map().is_some_and(|m| m.live.len() == 3)).await);
    assert!(eventually(20, || leader(&controllers).is_some()).await);
    let mut reported: Vec<(String, JobState)> = Vec::new();
    let mut epoch = 0;
    for change in 0..10u64 {
        let id = format!("j-{change}");
        let at = change as usize % 3;
        assert_eq!(submit(&controllers[at].0, &spec(&id, JobKind::Array)).await.0, 201);
        let state_now = if change % 2 == 0 {
            assert_eq!(cancel(&controllers[(at + 1) % 3].0, &id).await.0, 200);
            JobState::Cancelled
        } else {
            JobState::Queued
        };
        reported.push((id, state_now));
        if change == 5 {
            controllers.iter().for_each(|(_, link)| link.set_fault(LinkFault::Refused));
        }
        let Some(i) = leader(&controllers) else { unreachable!("there is a leader") };
        let old = controllers[i].0.identity.clone();
        controllers[i].0.shutdown.cancel();
        controllers[i] = join(&service, i, 100 + change).await;
        if change == 5 {
            controllers[i].1.set_fault(LinkFault::Refused);
            sleep(Duration::from_millis(400)).await;
            for (controller, _) in &controllers {
                assert_eq!(state_once(controller, "j-1").await.0, 503, "no controller can know the state");
            }
            controllers.iter().for_each(|(_, link)| link.set_fault(LinkFault::None));
        }
        let all_joined = || {
            let store = service.store();
            let map = store.map().unwrap_or_default();
            map.epoch > epoch
                && controllers.iter().all(|(n, _)| map.contains(&n.identity.name, n.identity.incarnation))
        };
        assert!(eventually(20, all_joined).await, "after change {change}: {:?}", service.store().map());
        let revision = service.store().revision;
        for (controller, _) in &controllers {
            assert!(controller.wait_for_revision(revision, Duration::from_secs(5)).await);
        }
        epoch = service.store().map().expect("a map").epoch;
        let leading: Vec<_> = controllers.iter().filter(|(n, _)| n.state().is_leader(&n.identity)).collect();
        assert_eq!(leading.len(), 1, "exactly one leader");
        assert_ne!(leading[0].0.identity, old);
        for (controller, _) in &controllers {
            for (id, last) in &reported {
                assert_eq!(job_state(controller, id).await, (200, Some(*last)), "{id}");
            }
        }
    }
}

/// Starts a controller that joins the membership as soon as it can.
async fn join(service: &Service, n: usize, incarnation: u64) -> (Arc<Controller>, Arc<StoreLink>) {
    let (controller, link) = service.controller(n, 3, incarnation).await;
    start_following(&controller);
    controller.spawn_task(membership::keep_membership(controller.clone()));
    (controller, link)
}

/// A cancellation races with the end of a job's last task: whichever is committed first stands,
/// and both sides report it.
#[tokio::test]
async fn first_commit_wins_between_end_of_last_task_and_cancellation() {
    let service = Service::with_types();
    let (a, link) = service.follower(0, 2).await;
    let (b, _) = service.controller(1, 2, 2).await;
    let feed_tasks = [
        tokio::spawn(change_feed::follow_records(b.clone())),
        tokio::spawn(freshness_checks::run_freshness_checks(b.clone())),
    ];
    assert!(eventually(20, || b.state().records.is_loaded).await);
    service.elect(&[&a, &b], 1);
    for id in ["j-1", "j-2"] {
        wait_until_caught_up(&service, &a).await;
        assert_eq!(submit(&a, &spec(id, JobKind::Array)).await.0, 201);
        place(&a, id, "m-1").await;
    }
    wait_until_caught_up(&service, &b).await;
    link.watches_stalled.store(true, Ordering::Relaxed);
    // The end is committed first, and this controller has not seen it.
    let done = |mut job: JobRecord| {
        let attempt = job.assignments[0].attempt;
        job.end_assignment(0, attempt, TerminationReason::Done, 5, 0);
        job
    };
    let record = done(service.store().job("j-1").expect("placed"));
    service.store().put(KeyWrite::new(key::job("j-1"), &record));
    assert_eq!(cancel(&a, "j-1").await, (200, Some(JobState::Done)));
    assert_eq!(submit(&a, &spec("j-1", JobKind::Array)).await, (200, Some(JobState::Done)));
    // The cancellation is committed first, while the other controller records the end from a stale
    // replica.
    feed_tasks.iter().for_each(|f| f.abort());
    let stale_record = b.state().records.replica.jobs["j-2"].value.clone();
    assert_eq!(cancel(&a, "j-2").await, (200, Some(JobState::Cancelled)));
    let mut late = scheduler::SchedulingCycle::default();
    late.jobs.insert("j-2".into(), Box::new(done(*stale_record)));
    scheduler::commit(&b, late).await;
    start_following(&b);
    // The end is recorded again by a controller that has seen the cancellation: the assignment is
    // removed all the same.
    wait_until_caught_up(&service, &b).await;
    let record = b.state().records.replica.jobs["j-2"].value.clone();
    assert_eq!((record.phase, record.assignments.len()), (Phase::Cancelled, 1));
    let mut after = scheduler::SchedulingCycle::default();
    after.jobs.insert("j-2".into(), Box::new(done(*record)));
    scheduler::commit(&b, after).await;
    assert!(service.store().job("j-2").is_some_and(|j| j.assignments.is_empty()));
    for controller in [&a, &b] {
        assert_eq!(job_state(controller, "j-2").await, (200, Some(JobState::Cancelled)));
        assert_eq!(cancel(controller, "j-2").await, (200, Some(JobState::Cancelled)));
    }
}

/// The state service refuses one controller and then all of them for long, while users cancel and
/// query. No possibly stale state is answered; the refusal comes at once; and everything is
/// answered once it can be.
#[tokio::test]
async fn no_stale_state_is_answered_while_the_state_service_refuses_requests() {
    let service = Service::with_types();
    let (a, link_a) = service.follower(0, 2).await;
    let (b, link_b) = service.follower(1, 2).await;
    service.elect(&[&a, &b], 1);
    wait_until_caught_up(&service, &a).await;
    for id in ["j-1", "j-2", "j-3"] {
        assert_eq!(submit(&a, &spec(id, JobKind::Array)).await.0, 201);
    }
    assert_eq!(cancel(&a, "j-3").await.0, 200);
    link_a.set_fault(LinkFault::Refused);
    assert_eq!(cancel(&b, "j-1").await, (200, Some(JobState::Cancelled)));
    let asked_at = Instant::now();
    for id in ["j-1", "j-2", "j-9"] {
        assert_eq!(state_once(&a, id).await.0, 503, "{id}: its state may have changed");
        assert_eq!(submit_once(&a, &spec(id, JobKind::Array)).await.0, 503, "{id}");
        assert_eq!(cancel_once(&a, id).await.0, 503, "{id}");
    }
    assert_eq!(
        job_state(&a, "j-3").await,
        (200, Some(JobState::Cancelled)),
        "a final state is still answered"
    );
    assert!(asked_at.elapsed() < Duration::from_secs(5), "refused too late: {:?}", asked_at.elapsed());
    link_b.set_fault(LinkFault::Refused);
    sleep(Duration::from_millis(600)).await;
    assert_eq!(job_state(&b, "j-1").await, (200, Some(JobState::Cancelled)));
    assert_eq!(state_once(&b, "j-2").await.0, 503);
    assert_eq!(cancel_once(&b, "j-2").await.0, 503);
    assert_eq!(submit_once(&b, &spec("j-4", JobKind::Array)).await.0, 503);
    link_a.set_fault(LinkFault::None);
    link_b.set_fault(LinkFault::None);
    for controller in [&a, &b] {
        let since = Instant::now();
        while state_once(controller, "j-2").await.0 == 503 {
            assert!(since.elapsed() < Duration::from_secs(3), "no answer within 3 s after the fault");
            sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(job_state(controller, "j-1").await, (200, Some(JobState::Cancelled)));
        assert_eq!(job_state(controller, "j-2").await, (200, Some(JobState::Queued)));
        assert_eq!(job_state(controller, "j-4").await.0, 404, "it was never accepted");
    }
}

/// One-task jobs, four a second for ten minutes, all end; a quarter of them are cancelled and some
/// have dependants. What is kept besides their final states does not grow.
#[tokio::test]
async fn ended_jobs_leave_only_their_final_states_in_memory() {
    let service = Service::with_types();
    let (controller, _) = service.follower(0, 1).await;
    service.elect(&[&controller], 1);
    wait_until_caught_up(&service, &controller).await;
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
    let state = controller.state();
    let w = &state.records.replica;
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
    assert!(kept <= 41, "{kept} jobs still have their description");
    for n in 0..2340 {
        assert!(w.state_of(&format!("j-{n}")).is_some_and(|s| s.is_final()), "j-{n}");
    }
}
