//! Tests of pipelines and of lowered limits of the state service, with controllers that talk to a
//! fake one: conditional transactions, lists, watches, limits and outages.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use net::{Reply, Request};
use rmpv::Value;
use sched::records::*;
use store::{KeyWrite, StoreError, TxnOutcome, key};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::{Changes, Condition, Event, Item, Items, JobKind, JobSpec, JobState, JobStatus, Op, Txn};

use crate::chunk_collector::{ChunkCollector, ChunkDeletion};
use crate::controller::Controller;
use crate::operators::OperatorSettings;
use crate::settings::Settings;
use crate::settings::tests::EXAMPLE;
use crate::worker::tests::spec;
use crate::{api, change_feed, freshness_checks, scheduler};

#[derive(Default)]
struct Store {
    keys: BTreeMap<String, (Value, u64)>,
    log: Vec<Event<Value>>,
    revision: u64,
    in_outage: bool,
    /// Maximum bytes of a value and operations of a transaction, if they are limited.
    limits: Option<(usize, usize)>,
    /// Transactions that are still accepted before the rate limit applies.
    accepted_txns: Option<usize>,
    refused: Vec<u16>,
}

impl Store {
    fn put(&mut self, put: KeyWrite) {
        self.revision += 1;
        let version = self.revision;
        let (key, value) = (put.key, put.value);
        self.log.push(Event {
            put: value.is_some().then(|| key.clone()),
            delete: value.is_none().then(|| key.clone()),
            value: value.clone(),
            version,
        });
        match value {
            Some(v) => self.keys.insert(key, (v, version)),
            None => self.keys.remove(&key),
        };
    }

    fn txn(&mut self, txn: Txn<Value>) -> Reply {
        if let Some(left) = &mut self.accepted_txns {
            if *left == 0 {
                self.refused.push(429);
                return Reply::error(429, "too many");
            }
            *left -= 1;
        }
        let writes: Vec<KeyWrite> = txn
            .ops
            .into_iter()
            .map(|op| match op {
                Op::Put { put, value, .. } => KeyWrite { key: put, value: Some(value), lease: None },
                Op::Delete { delete } => KeyWrite::delete(delete),
            })
            .collect();
        let json =
            |p: &KeyWrite| p.value.as_ref().map_or(0, |v| serde_json::to_string(v).expect("JSON").len());
        if let Some((bytes, ops)) = self.limits
            && (writes.len() > ops
                || txn.conditions.len() > ops * 4
                || writes.iter().any(|p| json(p) > bytes))
        {
            self.refused.push(400);
            return Reply::error(400, "too large");
        }
        let version = |k: &str| self.keys.get(k).map_or(0, |e| e.1);
        let failed: Vec<&String> =
            txn.conditions.iter().filter(|c| version(&c.key) != c.version).map(|c| &c.key).collect();
        if !failed.is_empty() {
            return Reply::new(409, &serde_json::json!({"failed": failed, "epoch": self.revision}));
        }
        // The whole transaction has one revision.
        let revision = self.revision + 1;
        for put in writes {
            self.revision = revision - 1;
            self.put(put);
        }
        Reply::new(200, &serde_json::json!({"epoch": self.revision}))
    }
}

#[derive(Clone, Default)]
struct Service(Arc<Mutex<Store>>);

impl Service {
    fn store(&self) -> MutexGuard<'_, Store> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(self, request: Request) -> Reply {
        if self.store().in_outage {
            return Reply::error(503, "outage");
        }
        if request.path == "/txn" {
            let txn = wire::decode(&request.body).expect("a transaction");
            return self.store().txn(txn);
        }
        let query_parameter = |name: &str| {
            let query = request.path.split_once('?')?.1;
            query.split('&').find_map(|f| f.strip_prefix(name)?.strip_prefix('=')).map(str::to_owned)
        };
        if request.path.starts_with("/follow") {
            let after: u64 = query_parameter("after").and_then(|a| a.parse().ok()).unwrap_or(0);
            let hold: u64 = query_parameter("hold_ms").and_then(|a| a.parse().ok()).unwrap_or(0);
            let until = Instant::now() + Duration::from_millis(hold);
            while self.store().revision <= after && Instant::now() < until {
                sleep(Duration::from_millis(5)).await;
            }
            let store = self.store();
            let events = store.log.iter().filter(|e| e.version > after).cloned().collect();
            return Reply::new(200, &Changes { revision: store.revision, events });
        }
        let store = self.store();
        let after = query_parameter("after").unwrap_or_default();
        let entries = store.keys.iter().filter(|(k, _)| **k > after);
        let items: Vec<Item<Value>> = entries
            .take(3)
            .map(|(k, (v, at))| Item { key: k.clone(), value: v.clone(), version: *at })
            .collect();
        let more = items.last().is_some_and(|i| store.keys.keys().next_back() != Some(&i.key));
        Reply::new(200, &Items { items, has_more: more, revision: store.revision })
    }

    async fn listen(&self) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address").to_string();
        let service = self.clone();
        let connections = Arc::new(net::Connections::new(64, &[], |_| 0));
        let serve = move |request| service.clone().answer(request);
        tokio::spawn(net::serve(
            listener,
            connections,
            1 << 20,
            serve,
            CancellationToken::new(),
            TaskTracker::new(),
        ));
        addr
    }

    /// The only controller, which follows the records and has loaded them.
    async fn controller(&self, incarnation: u64, text: &str) -> Arc<Controller> {
        let mut settings = Settings::parse("example", text).expect("valid");
        settings.external.state = self.listen().await;
        (settings.facts.teams[0].cpus, settings.facts.teams[0].cpus_max) = (1e4, 1e4);
        let controller = Controller::new(settings, OperatorSettings::default(), incarnation);
        controller.spawn_task(change_feed::follow_records(controller.clone()));
        controller.spawn_task(freshness_checks::run_freshness_checks(controller.clone()));
        assert!(
            timeout(Duration::from_secs(5), async {
                while !controller.state().records.is_loaded {
                    sleep(Duration::from_millis(5)).await;
                }
            })
            .await
            .is_ok()
        );
        controller
    }

    /// Makes this controller the leader and the only live one.
    fn elect(&self, controller: &Arc<Controller>, epoch: u64) {
        let mut store = self.store();
        store.put(KeyWrite::new(
            key::MAP.into(),
            &ClusterMap { epoch, live: vec![controller.identity.clone()] },
        ));
        store.put(KeyWrite::new(key::LEADER.into(), &controller.identity));
        store.put(KeyWrite::new(key::member(&controller.identity.name), &controller.identity));
        store.put(KeyWrite::new(
            key::schema_marker(&controller.identity.name),
            &SchemaMarker { schema_version: SCHEMA_VERSION },
        ));
    }

    fn with_types() -> Self {
        let service = Self::default();
        let machine_type = crate::worker::tests::machine_type(4000.0, 9000.0, &["a"]);
        service
            .store()
            .put(KeyWrite::new(key::TYPES.into(), &MachineTypesRecord { types: vec![machine_type] }));
        service
    }
}

/// Waits until the controller's replica has the newest revision.
async fn wait_until_caught_up(service: &Service, controller: &Arc<Controller>) {
    let revision = service.store().revision;
    assert!(controller.wait_for_revision(revision, Duration::from_secs(5)).await);
}

async fn send_request(
    controller: &Arc<Controller>,
    method: &str,
    path: &str,
    body: Vec<u8>,
) -> (u16, Option<JobStatus>) {
    let request = Request { method: method.into(), path: path.into(), body: body.into() };
    let reply = api::serve(controller.clone(), request).await;
    (reply.status, wire::decode(&reply.body).ok())
}

async fn submit(controller: &Arc<Controller>, spec: &JobSpec) -> (u16, Option<JobState>) {
    let (status, job) = send_request(controller, "POST", "/v1/jobs", wire::encode(spec)).await;
    (status, job.map(|j| j.state))
}

async fn job_state(controller: &Arc<Controller>, id: &str) -> Option<JobState> {
    send_request(controller, "GET", &format!("/v1/jobs/{id}"), Vec::new()).await.1.map(|j| j.state)
}

fn spec_with_dependencies(id: &str, dependencies: &[&str]) -> JobSpec {
    let dependencies = dependencies.iter().map(|n| (*n).to_owned()).collect();
    JobSpec { dependencies: Some(dependencies), ..spec(id, JobKind::Array) }
}

/// Runs and commits one scheduling cycle of a controller.
async fn run_cycle(controller: &Arc<Controller>) {
    let decided = {
        let mut state = controller.state();
        let ops = controller.state_limits().txn_ops;
        scheduler::decide(
            controller,
            &mut state,
            scheduler::CycleContext::new(ops, Instant::now(), crate::controller::wall_ms()),
        )
    };
    if let Some(cycle) = decided {
        scheduler::commit(controller, cycle).await;
    }
}

#[tokio::test]
async fn submissions_with_dependencies_are_checked_against_known_jobs() {
    let service = Service::with_types();
    let controller = service.controller(1, &settings_with_lowered_limits()).await;
    service.elect(&controller, 1);
    wait_until_caught_up(&service, &controller).await;
    assert_eq!(submit(&controller, &spec("j-1", JobKind::Array)).await, (201, Some(JobState::Queued)));
    assert_eq!(submit(&controller, &spec("j-2", JobKind::Service)).await.0, 201);
    // Null, absent and empty lists mean no dependencies; duplicates count once.
    assert_eq!(submit(&controller, &spec_with_dependencies("j-3", &[])).await.0, 201);
    assert_eq!(
        submit(&controller, &spec_with_dependencies("j-4", &["j-1", "j-1", "j-3"])).await,
        (201, Some(JobState::Queued))
    );
    let shown = send_request(&controller, "GET", "/v1/jobs/j-4", Vec::new()).await.1.expect("a job");
    assert_eq!(shown.waits_for, ["j-1", "j-3"]);
    for (dependencies, status) in [(&["j-9"], 422), (&["j-2"], 422), (&["j-5"], 422), (&["x-1"], 400)] {
        assert_eq!(
            submit(&controller, &spec_with_dependencies("j-5", dependencies)).await.0,
            status,
            "{dependencies:?}"
        );
    }
    let mut raw_spec: serde_json::Value =
        wire::decode(&wire::encode(&spec_with_dependencies("j-6", &[]))).expect("a description");
    for (awaits, status) in
        [(serde_json::json!("j-1"), 400), (serde_json::json!([7]), 400), (serde_json::Value::Null, 201)]
    {
        raw_spec["awaits"] = awaits;
        assert_eq!(
            send_request(&controller, "POST", "/v1/jobs", wire::encode(&raw_spec)).await.0,
            status,
            "{raw_spec}"
        );
    }
    // A late copy of an accepted submission gets 200, whatever dependencies it names.
    assert_eq!(
        submit(&controller, &spec_with_dependencies("j-4", &["j-9"])).await,
        (200, Some(JobState::Queued))
    );
    // A description that is too long now may have been accepted under higher limits.
    let text = |n: usize| "x".repeat(n);
    let long = JobSpec { types: Some(vec![text(200); 20]), ..spec("j-66", JobKind::Array) };
    assert_eq!(submit(&controller, &long).await.0, 400);
    let short = spec("j-66", JobKind::Array);
    service.store().put(KeyWrite::new(key::job("j-66"), &JobRecord::new(short, None, 0)));
    assert_eq!(submit(&controller, &long).await, (200, Some(JobState::Queued)));
    // A description near the current limit is accepted, with thousands of dependencies.
    let ids: Vec<String> = (0..6000).map(|n| format!("j-{}", 10_000 + n)).collect();
    for id in &ids {
        let mut record = JobRecord::new(spec(id, JobKind::Array), None, 0);
        record.phase = Phase::Active;
        service.store().put(KeyWrite::new(key::job(id), &record));
    }
    wait_until_caught_up(&service, &controller).await;
    let long = JobSpec { dependencies: Some(ids), ..spec("j-7", JobKind::Array) };
    service.store().limits = Some((2048, 4));
    assert_eq!(submit(&controller, &long).await, (201, Some(JobState::Queued)));
    wait_until_caught_up(&service, &controller).await;
    assert!(
        service.store().refused.is_empty() && controller.state().records.reader.is_chunked(&key::job("j-7"))
    );
    assert_eq!(controller.state().records.replica.jobs["j-7"].value.dependencies.len(), 6000);
    // Dependencies cannot be checked during an outage.
    service.store().in_outage = true;
    sleep(Duration::from_millis(1700)).await;
    assert_eq!(submit(&controller, &spec_with_dependencies("j-8", &["j-1"])).await.0, 503);
    service.store().in_outage = false;
    // While a controller of the old version is live, no job that it could not read is accepted.
    let old = Member { name: "n-9".into(), zone: "a".into(), incarnation: 9 };
    service.store().put(KeyWrite::new(key::member("n-9"), &old));
    let since = Instant::now();
    while !controller.state().old_version_is_live() && since.elapsed() < Duration::from_secs(5) {
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(submit(&controller, &spec_with_dependencies("j-8", &["j-1"])).await.0, 503);
    assert_eq!(submit(&controller, &spec("j-8", JobKind::Array)).await.0, 201);
    controller.shutdown.cancel();
}

/// A job of a dependency chain is cancelled, and the controller ends at once; later the next one
/// ends too, and the state service has an outage. Every controller reports the dependants as
/// cancelled before their records have been updated, and the records follow.
#[tokio::test]
async fn cancellation_reaches_dependants_across_controller_ends_and_an_outage() {
    let service = Service::with_types();
    let first = service.controller(1, EXAMPLE).await;
    service.elect(&first, 1);
    wait_until_caught_up(&service, &first).await;
    assert_eq!(submit(&first, &spec("j-0", JobKind::Array)).await.0, 201);
    for n in 1..40 {
        let dependency = format!("j-{}", n - 1);
        assert_eq!(submit(&first, &spec_with_dependencies(&format!("j-{n}"), &[&dependency])).await.0, 201);
    }
    assert_eq!(submit(&first, &spec_with_dependencies("j-90", &["j-0"])).await.0, 201);
    let (status, job) = send_request(&first, "POST", "/v1/jobs/j-1/withdraw", Vec::new()).await;
    assert_eq!((status, job.map(|t| t.state)), (200, Some(JobState::Cancelled)));
    first.shutdown.cancel();
    // None of the dependants' records has been updated yet.
    let second = service.controller(2, EXAMPLE).await;
    for id in ["j-2", "j-20", "j-39"] {
        assert_eq!(job_state(&second, id).await, Some(JobState::Cancelled), "{id}");
    }
    assert_eq!(job_state(&second, "j-0").await, Some(JobState::Queued));
    assert_eq!(job_state(&second, "j-90").await, Some(JobState::Queued), "j-90 does not depend on j-1");
    // A job submitted meanwhile that depends on them is cancelled too, and a request to cancel a
    // dependant is answered with its state, cancelled.
    assert_eq!(
        submit(&second, &spec_with_dependencies("j-50", &["j-39"])).await,
        (201, Some(JobState::Cancelled))
    );
    let (_, job) = send_request(&second, "POST", "/v1/jobs/j-39/withdraw", Vec::new()).await;
    assert_eq!(job.map(|t| t.state), Some(JobState::Cancelled));
    service.elect(&second, 2);
    wait_until_caught_up(&service, &second).await;
    run_cycle(&second).await;
    service.store().in_outage = true;
    run_cycle(&second).await;
    service.store().in_outage = false;
    let unrecorded_cancellations = |controller: &Arc<Controller>| {
        controller.state().records.replica.pipelines.cancelled_by_dependency().count()
    };
    assert!((1..38).contains(&unrecorded_cancellations(&second)), "not all in one cycle");
    second.shutdown.cancel();
    let third = service.controller(3, EXAMPLE).await;
    service.elect(&third, 3);
    wait_until_caught_up(&service, &third).await;
    for _ in 0..40 {
        run_cycle(&third).await;
    }
    assert_eq!(unrecorded_cancellations(&third), 0);
    let cancelled =
        third.state().records.replica.jobs.values().filter(|j| j.value.phase == Phase::Cancelled).count();
    assert_eq!(cancelled, 40, "j-1 to j-39 and j-50");
    assert_eq!(job_state(&third, "j-2").await, Some(JobState::Cancelled));
    third.shutdown.cancel();
}

/// The first committed outcome stands: the cancellation of a job that is done by then is answered
/// with done.
#[tokio::test]
async fn cancellation_of_a_job_that_is_already_done_is_answered_with_done() {
    let service = Service::with_types();
    let controller = service.controller(1, EXAMPLE).await;
    service.elect(&controller, 1);
    wait_until_caught_up(&service, &controller).await;
    assert_eq!(submit(&controller, &spec("j-0", JobKind::Array)).await.0, 201);
    assert_eq!(submit(&controller, &spec_with_dependencies("j-1", &["j-0"])).await.0, 201);
    // Another controller has recorded the end; this one does not know it.
    let mut done = JobRecord::new(spec("j-0", JobKind::Array), None, 0);
    (done.phase, done.ended_ms) = (Phase::Done, 5);
    done.compact_if_final();
    service.store().put(KeyWrite::new(key::job("j-0"), &done));
    let (status, job) = send_request(&controller, "POST", "/v1/jobs/j-0/withdraw", Vec::new()).await;
    assert_eq!((status, job.map(|t| t.state)), (200, Some(JobState::Done)));
    wait_until_caught_up(&service, &controller).await;
    assert!(controller.state().records.replica.open_job_ids.contains("j-1"), "its dependency is done");
    controller.shutdown.cancel();
}

const LOWERED_LIMITS: &str = "txn_ops = 16\nnext = { value_kb = 2, txn_ops = 4, write_rps = 20 }";

fn settings_with_lowered_limits() -> String {
    EXAMPLE.replacen("txn_ops = 16", LOWERED_LIMITS, 1)
}

/// An array as the version in production leaves it: 1,300 assigned tasks in one value of 6 KiB.
fn production_array() -> JobRecord {
    let mut job = JobRecord::new(JobSpec { tasks: 2000, ..spec("j-1", JobKind::Array) }, None, 1000);
    (0..480).for_each(|t| job.done.insert(t));
    let machine_of = |t: u32| format!("host-{:06}", 100 + (t * 7919) % 157).into();
    job.assignments = (500..1800)
        .map(|t| Assignment { task: t, attempt: 1, machine: machine_of(t), desired: DesiredState::Running })
        .collect();
    job.attempt = 1;
    job
}

/// The limits are lowered a second after the upgrade: every record stays writable, every reader
/// sees each change whole, and chunks that no head refers to are deleted.
#[tokio::test]
async fn large_record_stays_writable_after_the_limits_are_lowered() {
    let service = Service::with_types();
    service.store().put(KeyWrite::new(key::job("j-1"), &production_array()));
    let mut fleet = FleetRecord::default();
    for n in 0..100u32 {
        fleet.scale_outs.push(ScaleOut {
            request: format!("n-0-{:x}-{n}", 1u64 << 50),
            machine_type: "m".into(),
            zone: "a".into(),
            spot: false,
            count: 9,
            requested_ms: 5,
            machines: Some(
                (0..9).map(|k| format!("host-{:06}", 5000 + n * 31 + k).as_str().into()).collect(),
            ),
        });
    }
    service.store().put(KeyWrite::new(key::FLEET.into(), &fleet));
    let controller = service.controller(1, &settings_with_lowered_limits()).await;
    service.elect(&controller, 1);
    wait_until_caught_up(&service, &controller).await;
    assert!(controller.state_limits().chunked, "all controllers have announced the new version");
    service.store().limits = Some((2048, 4));
    let mut tasks: Vec<u32> = (500..1800).collect();
    let mut commits = 0;
    while !tasks.is_empty() {
        let (mut record, version) = {
            let state = controller.state();
            (state.records.replica.jobs["j-1"].value.clone(), state.records.replica.jobs["j-1"].version)
        };
        let some: Vec<u32> = tasks.drain(..tasks.len().min(130)).collect();
        some.iter().for_each(|t| record.end_assignment(*t, 1, TerminationReason::Done, 2000, 60));
        let conditions = vec![Condition { key: key::job("j-1"), version }];
        let put = KeyWrite::new(key::job("j-1"), &record);
        let Ok(TxnOutcome::Committed { .. }) = controller.commit(conditions, vec![put]).await else {
            unreachable!("the record stays writable")
        };
        wait_until_caught_up(&service, &controller).await;
        assert_eq!(controller.state().records.replica.jobs["j-1"].value.assignments.len(), tasks.len());
        // A controller that reads all records from the start sees the same.
        let other = service.controller(9, &settings_with_lowered_limits()).await;
        assert_eq!(other.state().records.replica.jobs["j-1"].value.assignments, record.assignments);
        other.shutdown.cancel();
        commits += 1;
    }
    assert!(commits >= 10);
    // The fleet record: a hundred scale-outs, one of which is removed.
    let version = controller.state().records.replica.fleet.as_ref().map_or(0, |f| f.version);
    fleet.scale_outs.pop();
    let put = KeyWrite::new(key::FLEET.into(), &fleet);
    let conditions = vec![Condition { key: key::FLEET.into(), version }];
    assert!(matches!(controller.commit(conditions, vec![put]).await, Ok(TxnOutcome::Committed { .. })));
    wait_until_caught_up(&service, &controller).await;
    assert_eq!(controller.state().records.replica.fleet.as_ref().map(|f| f.value.scale_outs.len()), Some(99));
    assert!(service.store().refused.is_empty(), "{:?}", service.store().refused);
    // Chunks that no head refers to are deleted after a while, and nothing else.
    let before = service.store().keys.len();
    let (mut collector, mut now) = (ChunkCollector::default(), Instant::now());
    for _ in 0..200 {
        now += Duration::from_secs(6);
        if let Some(ChunkDeletion { condition, deletions }) = collector.next(&controller, now) {
            let outcome = controller.commit(vec![condition], deletions).await;
            assert!(matches!(outcome, Ok(TxnOutcome::Committed { .. })));
            wait_until_caught_up(&service, &controller).await;
        }
    }
    assert!(service.store().keys.len() + 8 < before);
    assert!(controller.state().records.reader.orphans().is_empty());
    let last = service.controller(8, &settings_with_lowered_limits()).await;
    assert_eq!(last.state().records.replica.fleet.as_ref().map(|f| f.value.scale_outs.len()), Some(99));
    controller.shutdown.cancel();
    last.shutdown.cancel();
}

/// A head that is applied late, after its chunks were deleted, must conflict.
#[tokio::test]
async fn late_head_record_does_not_refer_to_deleted_chunks() {
    let service = Service::with_types();
    let job = production_array();
    service.store().put(KeyWrite::new(key::job("j-1"), &job));
    let controller = service.controller(1, &settings_with_lowered_limits()).await;
    service.elect(&controller, 1);
    wait_until_caught_up(&service, &controller).await;
    let version = controller.state().records.replica.jobs["j-1"].version;
    let chunked = store::split_record(&KeyWrite::new(key::job("j-1"), &job), 77, 2048).expect("chunks");
    let first = chunked.chunks.last().expect("chunks").key.clone();
    chunked.chunks.into_iter().for_each(|p| service.store().put(p));
    let at = service.store().revision;
    wait_until_caught_up(&service, &controller).await;
    let (mut collector, mut now) = (ChunkCollector::default(), Instant::now());
    for _ in 0..20 {
        now += Duration::from_secs(6);
        if let Some(ChunkDeletion { condition, deletions }) = collector.next(&controller, now) {
            let outcome = controller.commit(vec![condition], deletions).await;
            assert!(matches!(outcome, Ok(TxnOutcome::Committed { .. })));
            wait_until_caught_up(&service, &controller).await;
        }
    }
    let conditions = vec![Condition { key: key::job("j-1"), version }, Condition { key: first, version: at }];
    let late = controller.kv_client.txn(conditions, vec![chunked.head]).await;
    assert!(matches!(late, Ok(TxnOutcome::Conflict { .. })));
    controller.shutdown.cancel();
}

/// The lower limits apply although one controller has not announced the new version: a refused
/// write reveals them. Then the rate limit drops in the middle of a burst.
#[tokio::test]
async fn refused_writes_reveal_the_lowered_limits() {
    let service = Service::with_types();
    let text = settings_with_lowered_limits().replacen(
        "[external]",
        "[[peers]]\nnode_name = \"n-1\"\naddress = \"127.0.0.1:3\"\n[external]",
        1,
    );
    let job = production_array();
    service.store().put(KeyWrite::new(key::job("j-1"), &job));
    let controller = service.controller(1, &text).await;
    service.elect(&controller, 1);
    wait_until_caught_up(&service, &controller).await;
    assert!(!controller.state_limits().chunked, "the other controller may still run the old version");
    service.store().limits = Some((2048, 4));
    let write = async || {
        let version = controller.state().records.replica.jobs["j-1"].version;
        let conditions = vec![Condition { key: key::job("j-1"), version }];
        controller.commit(conditions, vec![KeyWrite::new(key::job("j-1"), &job)]).await
    };
    assert!(matches!(write().await, Err(StoreError::Refused(400))));
    assert!(controller.state_limits().chunked && controller.state_limits().txn_ops == 4);
    assert!(matches!(write().await, Ok(TxnOutcome::Committed { .. })), "committed in chunks");
    wait_until_caught_up(&service, &controller).await;
    assert_eq!(service.store().refused, [400], "the refused write is not repeated unchanged");
    assert_eq!(controller.state_limits().write_rps, 30.0, "the full rate until a refusal");
    service.store().accepted_txns = Some(0);
    let e =
        controller.kv_client.txn(Vec::new(), vec![KeyWrite::delete(key::job("j-2"))]).await.expect_err("429");
    controller.note_refusal(&e);
    assert_eq!(controller.state_limits().write_rps, 20.0, "the lowered rate after a refusal");
    controller.update_write_share(&mut controller.state(), Instant::now());
    assert!(controller.state().writes.limiter.per_second() <= 20.0);
    controller.shutdown.cancel();
}
