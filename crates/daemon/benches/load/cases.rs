//! What a controller does all day, on sites of any size: the cases that the benchmark
//! counts. Part of the library with the feature `bench` only.

use std::hint::black_box;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use net::Request;
use peer::{MachineStatusRow, Message, PeerStatus};
use rmpv::Value;
use sched::records::*;
use store::{KeyWrite, key};
use wire::{
    Changes, Event, ExitReason, Heartbeat, Item, Items, JobKind, JobSpec, MachineType, Op, Priority,
    TaskState, TaskStatus, Txn,
};

use crate::api;
use crate::autoscaler::Autoscaler;
use crate::change_feed;
use crate::controller::{Controller, wall_ms};
use crate::operators::OperatorSettings;
use crate::peer_status;
use crate::scheduler;
use crate::settings::Settings;
use crate::worker::{FencingToken, Worker};

const EPOCH: u64 = 7;
/// Tasks of a job.
pub const TASKS: u32 = 8;
/// Tasks on a machine.
pub const ON_EACH: usize = 4;
/// How often most cases are repeated.
const TIMES: usize = 64;
const ZONES: [&str; 2] = ["a", "b"];

/// Times are a thousand times as long as on a real site: under valgrind all is slow, and
/// the workers must not become silent for it.
const SETTINGS: &str = r#"
    node_name = "n-0"
    zone = "a"
    front = "127.0.0.1:8080"
    internal_addr = "127.0.0.1:8081"
    [[peers]]
    node_name = "n-1"
    address = "127.0.0.1:3"
    [external]
    cloud = "127.0.0.1:1"
    state = "127.0.0.1:2"
    [facts]
    size = 1
    [[facts.teams]]
    name = "t"
    cpus = 1e6
    cpus_max = 1e6
    [facts.workers]
    report_s = 4000.0
    lease_s = 24000.0
    gang_wait_s = 30.0
    gang_peer_s = 5.0
    cancel_s = 44000.0
    [facts.state]
    rps = 80.0
    write_rps = 30.0
    value_kb = 8.0
    txn_ops = 16
    [facts.cloud]
    rps = 4.0
    list_lag_s = 10.0
    [facts.limits]
    cores = 0.04
    memory_mb = 66.0
    max_connections = 1800
"#;

/// A controller that leads two, with its half of the machines and all the jobs.
pub struct Site {
    /// The controller that is measured.
    pub controller: Arc<Controller>,
    machines: usize,
    open: usize,
    seq: u64,
    _runtime: tokio::runtime::Runtime,
}

/// What was counted: a name, and for how many of it.
pub type Case = (&'static str, usize);

/// Whatever runs in here is counted.
#[inline(never)]
pub fn measured<T>(work: impl FnOnce() -> T) -> T {
    black_box(work())
}

/// A case is over: what was counted since the last is its own.
#[inline(never)]
pub fn case_over(cases: &mut Vec<Case>, name: &'static str, times: usize) {
    cases.push(black_box((name, times)));
}

/// Runs a future for as long as it does not wait.
fn poll<F: Future>(future: std::pin::Pin<&mut F>) -> Option<F::Output> {
    match future.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(out) => Some(out),
        Poll::Pending => None,
    }
}

fn kind(name: &str, cpus: f64, gpus: f64) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus,
        memory_gb: cpus * 4.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 0.5,
        price: cpus * 0.05 + gpus * 2.0,
        spot_price: cpus * 0.01 + gpus * 0.7,
        boot_s: 30.0,
        zones: ZONES.map(Into::into).to_vec(),
    }
}

fn spec(n: usize, kind: JobKind, tasks: u32) -> JobSpec {
    JobSpec {
        id: job_id(n),
        class: "nightly".into(),
        team: "t".into(),
        kind,
        priority: Priority::Normal,
        tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: format!("img-{:02}", n % 40),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimated_runtime_s: 60.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 2.0,
        deadline_s: None,
        dependencies: None,
    }
}

fn job_id(n: usize) -> String {
    format!("j-{n:018}")
}

fn machine_id(n: usize) -> String {
    format!("host-{n:06}")
}

fn machine(n: usize) -> MachineRecord {
    MachineRecord {
        addr: format!("10.1.{}.{}:9000", n / 250, n % 250),
        machine_type: ["s", "m", "l", "g"][n / 2 % 4].into(),
        zone: ZONES[n % 2].into(),
        spot: false,
        release: false,
    }
}

/// A job that runs, all its tasks on machines.
fn running(n: usize, machines: usize) -> JobRecord {
    let kind = if n.is_multiple_of(4) { JobKind::Service } else { JobKind::Array };
    let mut job = JobRecord::new(spec(n, kind, TASKS), (n % 2 == 1).then(|| "n-1".into()), wall_ms());
    job.attempt = 1;
    let on = |task: u32| machine_id((n * TASKS as usize + task as usize) % machines).into();
    let run = |task| Assignment { task, attempt: 1, machine: on(task), desired: DesiredState::Running };
    job.assignments = (0..TASKS).map(run).collect();
    job
}

fn finished(n: usize) -> JobRecord {
    let mut job = JobRecord::new(spec(n, JobKind::Array, TASKS), None, 1);
    (job.phase, job.done, job.ended_ms) = (Phase::Done, Ranges::all(TASKS), 1_796_169_600_000);
    job.compact_if_final();
    job
}

impl Site {
    /// Takes in a record as it comes from the state service.
    fn apply(&self, put: KeyWrite) {
        let mut state = self.controller.state();
        let version = state.records.replica.revision + 1;
        let (change, _, version) = state.records.reader.apply(&put.key, put.value, version);
        state.records.replica.apply(change, version);
        state.records.replica.revision = version;
    }

    /// A site without machines and jobs.
    pub fn empty() -> Self {
        let settings = Settings::parse("benchmark", SETTINGS).expect("valid");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let controller = Controller::new(settings, OperatorSettings::default(), 1);
        let site = Self { controller, machines: 0, open: 0, seq: 1, _runtime: runtime };
        let kinds = [kind("s", 8.0, 0.0), kind("m", 16.0, 0.0), kind("l", 32.0, 0.0), kind("g", 16.0, 2.0)];
        let me = site.controller.identity.clone();
        let other = Member { name: "n-1".into(), zone: "b".into(), incarnation: 2 };
        site.apply(KeyWrite::new(key::TYPES.into(), &MachineTypesRecord { types: kinds.to_vec() }));
        for m in [&me, &other] {
            site.apply(KeyWrite::new(key::member(&m.name), m));
            site.apply(KeyWrite::new(
                key::schema_marker(&m.name),
                &SchemaMarker { schema_version: SCHEMA_VERSION },
            ));
        }
        site.apply(KeyWrite::new(key::LEADER.into(), &me));
        site.apply(KeyWrite::new(key::MAP.into(), &ClusterMap { epoch: EPOCH, live: vec![me, other] }));
        let mut state = site.controller.state();
        state.records.is_loaded = true;
        state.records.fresh_at = Some(Instant::now());
        drop(state);
        site
    }

    /// Adds records of machines.
    pub fn add_machines(&mut self, machines: usize) {
        self.machines = machines;
        for n in 0..machines {
            self.apply(KeyWrite::new(key::machine(&machine_id(n)), &machine(n)));
        }
    }

    /// Adds jobs that run.
    pub fn add_open(&mut self, jobs: usize) {
        self.open = jobs;
        for n in 0..jobs {
            self.apply(KeyWrite::new(key::job(&job_id(n)), &running(n, self.machines)));
        }
    }

    /// Adds jobs that are done.
    pub fn add_finished(&self, jobs: usize) {
        for n in 0..jobs {
            self.apply(KeyWrite::new(key::job(&job_id(1_000_000 + n)), &finished(n)));
        }
    }

    /// What the machine's worker reports: all that is on it runs, but that the first
    /// `ended` tasks are done.
    fn report(&self, n: usize, ended: usize) -> Heartbeat {
        let state = self.controller.state();
        let id = machine_id(n);
        let m = machine(n);
        let on = state.records.replica.assignments(&id).enumerate().map(|(i, (job, _, a))| TaskStatus {
            task: format!("{job}/{}", a.task),
            attempt: a.attempt,
            state: if i < ended { TaskState::Exited } else { TaskState::Running },
            cause: (i < ended).then_some(ExitReason::Done),
            checkpointed: None,
        });
        Heartbeat {
            addr: m.addr,
            machine_type: m.machine_type.to_string(),
            zone: m.zone.to_string(),
            spot: false,
            incarnation: 1,
            sequence: self.seq,
            fencing_token: FencingToken::first_of_epoch(EPOCH).get(),
            spot_notice_s: None,
            tasks: on.collect(),
            machine: id,
        }
    }

    /// The machines that this controller owns.
    fn owned(&self) -> Vec<usize> {
        (0..self.machines).filter(|n| n.is_multiple_of(2)).collect()
    }

    /// Has the workers of owned machines send their first heartbeats.
    pub fn add_workers(&mut self) {
        for n in self.owned() {
            let report = self.report(n, 0);
            let now = Instant::now();
            let mut worker = Worker::new(report.addr.clone(), EPOCH, now);
            worker.receive_heartbeat(report, now);
            worker.renew_lease(now);
            self.controller.state().machines.workers.insert(machine_id(n).into(), worker);
        }
    }

    /// What the other controller says of its machines.
    fn rows(&self, count: u64) -> PeerStatus {
        let row = |n: usize| MachineStatusRow {
            id: machine_id(n),
            usable: true,
            silent_ms: 1000,
            heard_from: true,
            free_cpus: 4.0,
            free_gpus: 0.0,
            free_memory_gb: 10.0,
            unhealthy: false,
            spot_notice: false,
        };
        PeerStatus {
            name: "n-1".into(),
            incarnation: 2,
            sequence: count,
            epoch: EPOCH,
            store_silent_ms: 10,
            machines: (0..self.machines).filter(|n| !n.is_multiple_of(2)).map(row).collect(),
        }
    }

    /// Has the peer send its status.
    pub fn hear_peer(&self, count: u64) {
        peer_status::receive_status(&self.controller, self.rows(count));
    }

    /// A site of this size.
    pub fn new(machines: usize, jobs: usize) -> Self {
        let mut site = Self::empty();
        site.add_machines(machines);
        let open = machines * ON_EACH / TASKS as usize;
        site.add_open(open);
        site.add_finished(jobs.saturating_sub(open));
        site.add_workers();
        site.hear_peer(1);
        site.settle();
        site
    }

    fn decide(&self, ops: usize) -> scheduler::SchedulingCycle {
        let mut state = self.controller.state();
        scheduler::decide(
            &self.controller,
            &mut state,
            scheduler::CycleContext::new(ops, Instant::now(), wall_ms()),
        )
        .expect("entitled")
    }

    /// Lets all workers be looked at once.
    fn settle(&self) {
        self.decide(16);
        self.decide(16);
    }

    fn reports(&mut self, ended: usize) -> Vec<Vec<u8>> {
        self.seq += 1;
        let owned = self.owned();
        let each = (owned.len() / TIMES).max(1);
        let some = owned.into_iter().step_by(each).take(TIMES);
        some.map(|n| wire::encode(&self.report(n, ended))).collect()
    }

    fn hello(&self, body: Vec<u8>) {
        let path = "/hello".to_owned();
        let request = Request { method: "POST".into(), path, body: body.into() };
        let mut answer = std::pin::pin!(api::serve(self.controller.clone(), request));
        let reply = poll(answer.as_mut()).expect("answered at once");
        assert_eq!(reply.status, 200);
    }

    /// A user's question, with its check that the view is fresh.
    fn ask(&self, n: usize) {
        let path = format!("/v1/jobs/{}", job_id(n));
        let request = Request { method: "GET".into(), path, body: Default::default() };
        let mut answer = std::pin::pin!(api::serve(self.controller.clone(), request));
        let reply = poll(answer.as_mut()).or_else(|| {
            self.controller.read_barrier.grant_all();
            poll(answer.as_mut())
        });
        assert_eq!(reply.map(|r| r.status), Some(200));
    }

    fn add_waiting(&self, first: usize, jobs: usize, cpus: f64) {
        for n in first..first + jobs {
            let mut s = spec(n, JobKind::Array, 1);
            s.cpus = cpus;
            self.apply(KeyWrite::new(key::job(&job_id(n)), &JobRecord::new(s, None, wall_ms())));
        }
    }

    fn drop_jobs(&self, first: usize, jobs: usize) {
        (first..first + jobs).for_each(|n| self.apply(KeyWrite::delete(key::job(&job_id(n)))));
    }

    fn round(&self, cases: &mut Vec<Case>, name: &'static str, times: usize, ops: usize) {
        measured(|| {
            for _ in 0..times {
                black_box(self.decide(ops));
            }
        });
        case_over(cases, name, times);
    }

    /// Changes of running jobs, each with one task less, as the watch tells them.
    fn news(&self, jobs: usize) -> Vec<u8> {
        let first = self.controller.state().records.replica.revision + 1;
        let event = |n: usize| {
            let mut job = running(n, self.machines);
            job.assignments.remove(1);
            job.done.insert(1);
            let version = first + n as u64;
            Event {
                put: Some(key::job(&job_id(n))),
                delete: None,
                value: KeyWrite::new(String::new(), &job).value,
                version,
            }
        };
        let events: Vec<Event<Value>> = (0..jobs).map(event).collect();
        wire::encode(&Changes { revision: first + jobs as u64, events })
    }

    /// A page of all records, as it is read at a start.
    fn page(&self) -> Vec<u8> {
        let item = |n: usize| Item {
            key: key::job(&job_id(2_000_000 + n)),
            value: KeyWrite::new(
                String::new(),
                &if n.is_multiple_of(2) { finished(n) } else { running(n, self.machines) },
            )
            .value,
            version: 1,
        };
        wire::encode(&Items { items: (0..400).map(item).collect(), has_more: true, revision: 1 })
    }

    /// Requests of a report's size on a connection that stays open, with what a bare
    /// client of one line costs.
    fn over_http(&self, cases: &mut Vec<Case>) {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let runtime = &self._runtime;
        let addr = listen(runtime, 8);
        let connect = async { tokio::net::TcpStream::connect(addr).await };
        let mut stream = runtime.block_on(connect).expect("accepted");
        let ask = request();
        let mut exchange = |times: usize| {
            runtime.block_on(async {
                for _ in 0..times {
                    stream.write_all(&ask).await.expect("sent");
                    let n = stream.read(&mut [0; 512]).await.expect("an answer");
                    assert!(n > 0);
                }
            });
        };
        exchange(2);
        measured(|| exchange(TIMES));
        case_over(cases, "request over HTTP", TIMES);
    }

    /// Runs each case once and tells in which order.
    pub fn run(&mut self) -> Vec<Case> {
        let mut cases = Vec::new();
        let handle = self._runtime.handle().clone();
        let _inside = handle.enter();
        // The first time warms up what is filled lazily.
        for _ in 0..2 {
            let mut done = Vec::new();
            self.measure_quiet_site(&mut done);
            self.measure_placement(&mut done);
            self.measure_autoscaler(&mut done);
            self.measure_shards_and_peers(&mut done);
            self.measure_terminations(&mut done);
            self.measure_change_feed(&mut done);
            self.restore();
            cases.extend(done);
        }
        cases
    }

    /// Heartbeats and questions while nothing changes.
    fn measure_quiet_site(&mut self, done: &mut Vec<Case>) {
        let bodies = self.reports(0);
        let n = bodies.len();
        measured(|| bodies.into_iter().for_each(|b| self.hello(b)));
        case_over(done, "report without news", n);
        self.round(done, "quiet round", 16, 16);
        measured(|| (0..TIMES).for_each(|i| self.ask(1_000_000 + i)));
        case_over(done, "question, final job", TIMES);
        measured(|| (0..TIMES).for_each(|i| self.ask(i % self.open)));
        case_over(done, "question, running job", TIMES);
    }

    /// Scheduling cycles that place tasks, or find no capacity for them.
    fn measure_placement(&mut self, done: &mut Vec<Case>) {
        let controller = self.controller.clone();
        self.add_waiting(3_000_000, 1, 1.0);
        self.round(done, "round that places one task", 8, 16);
        self.add_waiting(3_000_001, 31, 1.0);
        self.round(done, "round that places 32 tasks", 8, 64);
        let round = self.decide(16);
        measured(|| {
            let scheduler::CycleTransaction { conditions, writes: puts, .. } = scheduler::build_transaction(
                &controller.state().records.replica,
                &round,
                &controller.state_limits(),
                usize::MAX,
            );
            let put = |p: KeyWrite| p.value.map(|value| Op::Put { put: p.key, value, lease: p.lease });
            wire::encode(&Txn { conditions, ops: puts.into_iter().filter_map(put).collect() })
        });
        case_over(done, "transaction, a job of it", round.jobs.len());
        self.drop_jobs(3_000_000, 32);
        self.add_waiting(3_000_100, 32, 1000.0);
        self.round(done, "round with 32 jobs without room", 8, 16);
    }

    /// What the autoscaler plans.
    fn measure_autoscaler(&mut self, done: &mut Vec<Case>) {
        let controller = self.controller.clone();
        let now = Instant::now();
        let mut autoscaler = Autoscaler::leading_since(now - Duration::from_secs(60));
        controller.state().refresh_inventory(&controller.identity, controller.heartbeat_interval(), now);
        measured(|| autoscaler.plan_scale_out(&controller, &controller.state(), now));
        case_over(done, "rentals planned for 32 jobs", 1);
        self.drop_jobs(3_000_100, 32);
        measured(|| autoscaler.plan_scale_out(&controller, &controller.state(), now));
        case_over(done, "rentals planned for none", 1);
        controller.state().records.fresh_at = Some(now);
        controller.state().tick(now);
        measured(|| autoscaler.release_candidates(&controller, &controller.state(), now));
        case_over(done, "returns planned", 1);
    }

    /// The choice of a shard, statuses of peers, membership and shares of the changes.
    fn measure_shards_and_peers(&mut self, done: &mut Vec<Case>) {
        let controller = self.controller.clone();
        controller.state().scheduling.recent_assignments.since = None;
        let new = spec(4_000_000, JobKind::Array, 1);
        measured(|| api::shard_choice::choose_shard(&controller, &new));
        case_over(done, "part for a first new job", 1);
        measured(|| (0..4).for_each(|_| drop(black_box(api::shard_choice::choose_shard(&controller, &new)))));
        case_over(done, "part for a new job", 4);
        measured(|| peer::encode(&Message::PeerStatus(peer_status::own_status(&controller))));
        case_over(done, "summary told", 1);
        let told = peer::encode(&Message::PeerStatus(self.rows(self.seq * 10)));
        measured(|| {
            if let Some(Message::PeerStatus(s)) = peer::decode(&told) {
                peer_status::receive_status(&controller, s);
            }
        });
        case_over(done, "summary heard", 1);
        measured(|| {
            let mut state = controller.state();
            state.tick(Instant::now());
            state.update_isolation(&controller.identity, controller.heartbeat_interval(), Instant::now())
        });
        case_over(done, "pulse and membership", 1);
        measured(|| {
            let mut state = controller.state();
            controller.update_write_share(&mut state, Instant::now() + Duration::from_secs(self.seq * 10));
        });
        case_over(done, "shares of the changes", 1);
    }

    /// Requests over HTTP, and tasks that end.
    fn measure_terminations(&mut self, done: &mut Vec<Case>) {
        let controller = self.controller.clone();
        self.over_http(done);
        let bodies = self.reports(1);
        let n = bodies.len();
        measured(|| bodies.into_iter().for_each(|b| self.hello(b)));
        case_over(done, "report with news", n);
        self.round(done, "round after 64 ends", 1, 64);
        controller.state().proofs = Default::default();
    }

    /// Changes and pages of the records.
    fn measure_change_feed(&mut self, done: &mut Vec<Case>) {
        let controller = self.controller.clone();
        let jobs = self.open.min(TIMES);
        let news = self.news(jobs);
        measured(|| change_feed::apply_changes(&controller, wire::decode(&news).expect("changes")));
        case_over(done, "watch event", jobs);
        let page = self.page();
        let mut world = sched::replica::Replica::default();
        let mut reader = store::RecordReader::default();
        measured(|| {
            let page: Items<Value> = wire::decode(&page).expect("a page");
            for i in page.items {
                let (change, _, version) = reader.apply(&i.key, Some(i.value), i.version);
                world.apply(change, version);
            }
        });
        case_over(done, "record of a page", 400);
    }

    /// Brings the site back to what it was before the cases.
    fn restore(&mut self) {
        let controller = self.controller.clone();
        // As it was before the news.
        for n in 0..self.open.min(TIMES) {
            self.apply(KeyWrite::new(key::job(&job_id(n)), &running(n, self.machines)));
        }
        let bodies = self.reports(0);
        bodies.into_iter().for_each(|b| self.hello(b));
        controller.state().proofs = Default::default();
        self.settle();
        assert!(self.decide(16).jobs.is_empty(), "nothing is open");
    }
}

/// A server that has little to say; its address.
fn listen(runtime: &tokio::runtime::Runtime, most: usize) -> std::net::SocketAddr {
    let connections = Arc::new(net::Connections::new(most, &[], |_| 0));
    let (stop, tasks) = Default::default();
    let listener = runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).expect("a port");
    let addr = listener.local_addr().expect("an address");
    let handler = |_| async { net::Reply::new(200, &"fine") };
    runtime.spawn(net::serve(listener, connections, wire::BODY_LIMIT, handler, stop, tasks));
    addr
}

/// A request of a report's size.
fn request() -> Vec<u8> {
    let mut ask = b"POST /hello HTTP/1.1\r\nhost: x\r\ncontent-length: 300\r\n\r\n".to_vec();
    ask.extend([7; 300]);
    ask
}

/// Serves `n` connections, each of which has asked once and stays open; tells how much
/// memory that took by `used`.
pub fn idle_connections(n: usize, used: impl Fn() -> usize) -> usize {
    use std::io::{Read, Write};
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let addr = listen(&runtime, n + 8);
    let before = used();
    let mut open = Vec::with_capacity(n);
    let ask = request();
    for _ in 0..n {
        let mut stream = std::net::TcpStream::connect(addr).expect("accepted");
        stream.write_all(&ask).expect("sent");
        runtime.block_on(async {
            for _ in 0..20 {
                tokio::task::yield_now().await;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        });
        let n = stream.read(&mut [0; 512]).expect("an answer");
        assert!(n > 0);
        open.push(stream);
    }
    used() - before - n * size_of::<std::net::TcpStream>()
}
