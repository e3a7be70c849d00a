//! A fake state service for several controllers. Each controller has its own link to it with its
//! own faults: refused requests, slow or lost responses, and transactions that are applied late.

use std::collections::{BTreeMap, HashMap};
use std::future::pending;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use net::{Reply, Request};
use rmpv::Value;
use sched::records::*;
use store::{KeyWrite, key};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::{Changes, Event, Item, Items, JobSpec, JobState, JobStatus, Lease, LeaseRequest, Op, Txn};

use crate::controller::Controller;
use crate::operators::OperatorSettings;
use crate::settings::tests::EXAMPLE;
use crate::settings::{Peer, Settings};
use crate::{api, change_feed, freshness_checks, scheduler};

/// Fault on a controller's link to the state service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LinkFault {
    #[default]
    None,
    Refused,
    /// Every second request is refused.
    Flaky,
    /// Requests are applied at once; each response is delayed by this time.
    Slow(Duration),
    /// Transactions are applied at once, and their responses are lost.
    Unanswered,
    /// Transactions get no response and are applied after this delay.
    Late(Duration),
}

#[derive(Default)]
pub struct StoreLink {
    fault: Mutex<LinkFault>,
    /// Watches deliver no changes: the controller knows only what it requests.
    pub watches_stalled: AtomicBool,
    requests: AtomicU32,
}

impl StoreLink {
    pub fn set_fault(&self, fault: LinkFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    fn fault(&self) -> LinkFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Default)]
pub struct Store {
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    log: Vec<Event<Value>>,
    pub revision: u64,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
    /// All transactions received, in order of arrival.
    pub sent: Vec<Txn<Value>>,
    /// Maximum items of a page; 0 for the default of 400.
    pub page: usize,
}

impl Store {
    fn change(&mut self, key: String, value: Option<Value>, lease: Option<u64>, version: u64) {
        self.revision = version;
        self.log.push(Event {
            put: value.is_some().then(|| key.clone()),
            delete: value.is_none().then(|| key.clone()),
            value: value.clone(),
            version,
        });
        match value {
            Some(v) => self.keys.insert(key, (v, version, lease)),
            None => self.keys.remove(&key),
        };
    }

    pub fn put(&mut self, put: KeyWrite) {
        self.change(put.key, put.value, put.lease, self.revision + 1);
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, until)| now < *until);
        let expired: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, (_, _, lease))| lease.is_some_and(|l| !self.leases.contains_key(&l)))
            .map(|(k, _)| k.clone())
            .collect();
        for key in expired {
            self.change(key, None, None, self.revision + 1);
        }
    }

    pub fn txn(&mut self, txn: Txn<Value>) -> Reply {
        self.end_leases();
        let version = |k: &str| self.keys.get(k).map_or(0, |e| e.1);
        let failed: Vec<&String> =
            txn.conditions.iter().filter(|c| version(&c.key) != c.version).map(|c| &c.key).collect();
        if !failed.is_empty() {
            return Reply::new(409, &serde_json::json!({"failed": failed, "epoch": self.revision}));
        }
        let has_ended_lease =
            |op: &Op<Value>| matches!(op, Op::Put { lease: Some(l), .. } if !self.leases.contains_key(l));
        if txn.ops.iter().any(has_ended_lease) {
            return Reply::error(400, "no such lease");
        }
        let revision = self.revision + 1;
        for op in txn.ops {
            match op {
                Op::Put { put, value, lease } => self.change(put, Some(value), lease, revision),
                Op::Delete { delete } => self.change(delete, None, None, revision),
            }
        }
        Reply::new(200, &serde_json::json!({"epoch": self.revision}))
    }

    /// The current record of a job.
    pub fn job(&self, id: &str) -> Option<JobRecord> {
        let (value, ..) = self.keys.get(&key::job(id))?;
        match store::decode_change(&key::job(id), Some(value.clone())) {
            (sched::replica::RecordChange::Job(_, record), false) => record.map(|r| *r),
            _ => None,
        }
    }

    /// The current cluster map.
    pub fn map(&self) -> Option<ClusterMap> {
        let (value, ..) = self.keys.get(key::MAP)?;
        match store::decode_change(key::MAP, Some(value.clone())) {
            (sched::replica::RecordChange::Map(map), false) => map,
            _ => None,
        }
    }
}

#[derive(Clone, Default)]
pub struct Service(Arc<Mutex<Store>>);

impl Service {
    pub fn store(&self) -> MutexGuard<'_, Store> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn receive(self, link: Arc<StoreLink>, request: Request) -> Reply {
        let n = link.requests.fetch_add(1, Ordering::Relaxed);
        let txn = request.path == "/txn";
        if txn {
            let sent = wire::decode(&request.body).expect("a transaction");
            self.store().sent.push(sent);
        }
        match link.fault() {
            LinkFault::Refused => return Reply::error(503, "outage"),
            LinkFault::Flaky if n % 2 == 1 => return Reply::error(503, "outage"),
            LinkFault::Slow(delay) => {
                let reply = self.answer(&link, request).await;
                sleep(delay).await;
                return reply;
            }
            LinkFault::Unanswered if txn => {
                self.answer(&link, request).await;
                return pending().await;
            }
            LinkFault::Late(delay) if txn => {
                tokio::spawn(async move {
                    sleep(delay).await;
                    self.answer(&link, request).await;
                });
                return pending().await;
            }
            _ => {}
        }
        self.answer(&link, request).await
    }

    async fn answer(&self, link: &StoreLink, request: Request) -> Reply {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let query_parameter = |name: &str| {
            query.split('&').find_map(|f| f.strip_prefix(name)?.strip_prefix('=')).map(str::to_owned)
        };
        let number = |name: &str| query_parameter(name).and_then(|n| n.parse().ok()).unwrap_or(0u64);
        if path == "/txn" {
            return self.store().txn(wire::decode(&request.body).expect("a transaction"));
        }
        if path == "/follow" {
            let (after, hold) = (number("after"), number("hold_ms"));
            let until = Instant::now() + Duration::from_millis(hold);
            let waits = || {
                let mut store = self.store();
                store.end_leases();
                store.revision <= after || hold > 0 && link.watches_stalled.load(Ordering::Relaxed)
            };
            while waits() && Instant::now() < until {
                sleep(Duration::from_millis(5)).await;
            }
            let store = self.store();
            let events = store.log.iter().filter(|e| e.version > after).cloned().collect();
            return Reply::new(200, &Changes { revision: store.revision, events });
        }
        let mut store = self.store();
        store.end_leases();
        if let Some(rest) = path.strip_prefix("/leases") {
            let id: u64 = rest.split('/').find_map(|n| n.parse().ok()).unwrap_or(0);
            if rest.is_empty() {
                let asked: LeaseRequest = wire::decode(&request.body).expect("a lease request");
                let ttl = Duration::from_millis(asked.ttl_ms);
                store.last_lease += 1;
                let lease = store.last_lease;
                store.leases.insert(lease, (ttl, Instant::now() + ttl));
                return Reply::new(200, &Lease { lease });
            }
            if request.method == "DELETE" {
                store.leases.remove(&id);
                store.end_leases();
                return Reply::new(200, &"ended");
            }
            let Some((ttl, until)) = store.leases.get_mut(&id) else { return Reply::error(404, "no lease") };
            *until = Instant::now() + *ttl;
            return Reply::new(200, &"kept");
        }
        let after = query_parameter("after").unwrap_or_default();
        let page = if store.page == 0 { 400 } else { store.page };
        let items: Vec<Item<Value>> = store
            .keys
            .iter()
            .filter(|(k, _)| **k > after)
            .take(page)
            .map(|(k, (v, at, _))| Item { key: k.clone(), value: v.clone(), version: *at })
            .collect();
        let more = items.last().is_some_and(|i| store.keys.keys().next_back() != Some(&i.key));
        Reply::new(200, &Items { items, has_more: more, revision: store.revision })
    }

    /// A link to the state service for one controller, and its address.
    pub async fn link(&self) -> (Arc<StoreLink>, String) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address").to_string();
        let link = Arc::new(StoreLink::default());
        let (service, link_of_requests) = (self.clone(), link.clone());
        let connections = Arc::new(net::Connections::new(256, &[], |_| 0));
        let serve = move |request| service.clone().receive(link_of_requests.clone(), request);
        let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
        tokio::spawn(net::serve(listener, connections, 1 << 20, serve, stop, tasks));
        (link, addr)
    }

    /// One of `size` controllers, without any background task.
    pub async fn controller(
        &self,
        n: usize,
        size: usize,
        incarnation: u64,
    ) -> (Arc<Controller>, Arc<StoreLink>) {
        let (link, addr) = self.link().await;
        let mut settings = Settings::parse("example", EXAMPLE).expect("valid");
        settings.node_name = format!("n-{n}");
        settings.external.state = addr;
        // A high rate, so that freshness checks follow each other closely.
        settings.facts.state.rps = 2000.0;
        let others = (0..size).filter(|p| *p != n);
        settings.peers =
            others.map(|p| Peer { node_name: format!("n-{p}"), address: "127.0.0.1:1".into() }).collect();
        (settings.facts.teams[0].cpus, settings.facts.teams[0].cpus_max) = (1e4, 1e4);
        (Controller::new(settings, OperatorSettings::default(), incarnation), link)
    }

    /// A controller that follows the records and has loaded them.
    pub async fn follower(&self, n: usize, size: usize) -> (Arc<Controller>, Arc<StoreLink>) {
        let (controller, link) = self.controller(n, size, 1 + n as u64).await;
        start_following(&controller);
        assert!(eventually(20, || controller.state().records.is_loaded).await);
        (controller, link)
    }

    /// Makes these controllers live and the first of them the leader.
    pub fn elect(&self, controllers: &[&Arc<Controller>], epoch: u64) {
        let mut store = self.store();
        let live = controllers.iter().map(|n| n.identity.clone()).collect();
        store.put(KeyWrite::new(key::MAP.into(), &ClusterMap { epoch, live }));
        store.put(KeyWrite::new(key::LEADER.into(), &controllers[0].identity));
        for controller in controllers {
            store.put(KeyWrite::new(key::member(&controller.identity.name), &controller.identity));
            store.put(KeyWrite::new(
                key::schema_marker(&controller.identity.name),
                &SchemaMarker { schema_version: SCHEMA_VERSION },
            ));
        }
    }

    pub fn with_types() -> Self {
        let service = Self::default();
        let machine_type = crate::worker::tests::machine_type(40.0, 90.0, &["a"]);
        service
            .store()
            .put(KeyWrite::new(key::TYPES.into(), &MachineTypesRecord { types: vec![machine_type] }));
        service
    }
}

/// Starts the background tasks that keep the replica up to date.
pub fn start_following(controller: &Arc<Controller>) {
    controller.spawn_task(change_feed::follow_records(controller.clone()));
    controller.spawn_task(freshness_checks::run_freshness_checks(controller.clone()));
}

/// Whether the condition becomes true within so many seconds.
pub async fn eventually(seconds: u64, mut condition: impl FnMut() -> bool) -> bool {
    timeout(Duration::from_secs(seconds), async {
        while !condition() {
            sleep(Duration::from_millis(5)).await;
        }
    })
    .await
    .is_ok()
}

/// Waits until the change feed has brought the controller's replica to the newest revision.
pub async fn wait_until_caught_up(service: &Service, controller: &Arc<Controller>) {
    let revision = service.store().revision;
    assert!(controller.wait_for_revision(revision, Duration::from_secs(20)).await);
}

pub async fn send_request(
    controller: &Arc<Controller>,
    method: &str,
    path: &str,
    body: Vec<u8>,
) -> (u16, Option<JobStatus>) {
    let request = Request { method: method.into(), path: path.into(), body: body.into() };
    let reply = api::serve(controller.clone(), request).await;
    (reply.status, wire::decode(&reply.body).ok())
}

pub async fn submit_once(controller: &Arc<Controller>, spec: &JobSpec) -> (u16, Option<JobState>) {
    let (status, job) = send_request(controller, "POST", "/v1/jobs", wire::encode(spec)).await;
    (status, job.map(|j| j.state))
}

pub async fn state_once(controller: &Arc<Controller>, id: &str) -> (u16, Option<JobState>) {
    let (status, job) = send_request(controller, "GET", &format!("/v1/jobs/{id}"), Vec::new()).await;
    (status, job.map(|j| j.state))
}

pub async fn cancel_once(controller: &Arc<Controller>, id: &str) -> (u16, Option<JobState>) {
    let (status, job) =
        send_request(controller, "POST", &format!("/v1/jobs/{id}/withdraw"), Vec::new()).await;
    (status, job.map(|j| j.state))
}

/// Retries a request on 503, as users do. On a busy machine a 503 may come at any time.
pub async fn retry_while_unavailable(
    request: impl AsyncFn() -> (u16, Option<JobState>),
) -> (u16, Option<JobState>) {
    let since = Instant::now();
    loop {
        let response = request().await;
        if response.0 != 503 || since.elapsed() > Duration::from_secs(20) {
            return response;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

pub async fn submit(controller: &Arc<Controller>, spec: &JobSpec) -> (u16, Option<JobState>) {
    retry_while_unavailable(async || submit_once(controller, spec).await).await
}

pub async fn job_state(controller: &Arc<Controller>, id: &str) -> (u16, Option<JobState>) {
    retry_while_unavailable(async || state_once(controller, id).await).await
}

pub async fn cancel(controller: &Arc<Controller>, id: &str) -> (u16, Option<JobState>) {
    retry_while_unavailable(async || cancel_once(controller, id).await).await
}

/// Runs and commits one scheduling cycle of a controller.
pub async fn run_cycle(controller: &Arc<Controller>) {
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
