//! The benchmark cases: the regular work of a controller, on sites of any size. Compiled
//! into the library only with the feature `bench`.

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
/// Tasks per running job.
pub const TASKS_PER_JOB: u32 = 8;
/// Tasks per machine.
pub const TASKS_PER_MACHINE: usize = 4;
/// Repetitions of most cases.
const REPETITIONS: usize = 64;
const ZONES: [&str; 2] = ["a", "b"];

/// The heartbeat interval, the lease and the cancellation bound are a thousand times as long
/// as on a real site: execution under valgrind is slow, and the workers must not be treated
/// as silent because of that.
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

/// The leader of two controllers, which owns half of the machines and has all the jobs.
pub struct Site {
    /// The controller that is measured.
    pub controller: Arc<Controller>,
    machines: usize,
    running_jobs: usize,
    sequence: u64,
    _runtime: tokio::runtime::Runtime,
}

/// A measured case: its name, and how many operations it consists of.
pub type Case = (&'static str, usize);

/// Runs work whose instructions are counted: the profiler collects only inside this function.
#[inline(never)]
pub fn measured<T>(work: impl FnOnce() -> T) -> T {
    black_box(work())
}

/// Ends a case. The profiler writes the counts since the previous case when this is called.
#[inline(never)]
pub fn case_over(cases: &mut Vec<Case>, name: &'static str, times: usize) {
    cases.push(black_box((name, times)));
}

/// Polls a future once and returns its output if it is ready.
fn poll_once<F: Future>(future: std::pin::Pin<&mut F>) -> Option<F::Output> {
    match future.poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(out) => Some(out),
        Poll::Pending => None,
    }
}

fn machine_type(name: &str, cpus: f64, gpus: f64) -> MachineType {
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

fn job_spec(n: usize, kind: JobKind, tasks: u32) -> JobSpec {
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

fn machine_record(n: usize) -> MachineRecord {
    MachineRecord {
        addr: format!("10.1.{}.{}:9000", n / 250, n % 250),
        machine_type: ["s", "m", "l", "g"][n / 2 % 4].into(),
        zone: ZONES[n % 2].into(),
        spot: false,
        release: false,
    }
}

/// A running job with all its tasks assigned to machines.
fn running_job(n: usize, machines: usize) -> JobRecord {
    let kind = if n.is_multiple_of(4) { JobKind::Service } else { JobKind::Array };
    let mut job =
        JobRecord::new(job_spec(n, kind, TASKS_PER_JOB), (n % 2 == 1).then(|| "n-1".into()), wall_ms());
    job.attempt = 1;
    let machine_of = |task: u32| machine_id((n * TASKS_PER_JOB as usize + task as usize) % machines).into();
    let assignment =
        |task| Assignment { task, attempt: 1, machine: machine_of(task), desired: DesiredState::Running };
    job.assignments = (0..TASKS_PER_JOB).map(assignment).collect();
    job
}

fn finished_job(n: usize) -> JobRecord {
    let mut job = JobRecord::new(job_spec(n, JobKind::Array, TASKS_PER_JOB), None, 1);
    (job.phase, job.done, job.ended_ms) = (Phase::Done, Ranges::all(TASKS_PER_JOB), 1_796_169_600_000);
    job.compact_if_final();
    job
}

impl Site {
    /// Applies a record to the replica as the change feed does.
    fn apply_write(&self, put: KeyWrite) {
        let mut state = self.controller.state();
        let version = state.records.replica.revision + 1;
        let (change, _, version) = state.records.reader.apply(&put.key, put.value, version);
        state.records.replica.apply(change, version);
        state.records.replica.revision = version;
    }

    /// Creates a site without machines and jobs.
    pub fn empty() -> Self {
        let settings = Settings::parse("benchmark", SETTINGS).expect("valid");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let controller = Controller::new(settings, OperatorSettings::default(), 1);
        let site = Self { controller, machines: 0, running_jobs: 0, sequence: 1, _runtime: runtime };
        let kinds = [
            machine_type("s", 8.0, 0.0),
            machine_type("m", 16.0, 0.0),
            machine_type("l", 32.0, 0.0),
            machine_type("g", 16.0, 2.0),
        ];
        let own_identity = site.controller.identity.clone();
        let other = Member { name: "n-1".into(), zone: "b".into(), incarnation: 2 };
        site.apply_write(KeyWrite::new(key::TYPES.into(), &MachineTypesRecord { types: kinds.to_vec() }));
        for member in [&own_identity, &other] {
            site.apply_write(KeyWrite::new(key::member(&member.name), member));
            site.apply_write(KeyWrite::new(
                key::schema_marker(&member.name),
                &SchemaMarker { schema_version: SCHEMA_VERSION },
            ));
        }
        site.apply_write(KeyWrite::new(key::LEADER.into(), &own_identity));
        site.apply_write(KeyWrite::new(
            key::MAP.into(),
            &ClusterMap { epoch: EPOCH, live: vec![own_identity, other] },
        ));
        let mut state = site.controller.state();
        state.records.is_loaded = true;
        state.records.fresh_at = Some(Instant::now());
        drop(state);
        site
    }

    /// Adds machine records.
    pub fn add_machines(&mut self, machines: usize) {
        self.machines = machines;
        for n in 0..machines {
            self.apply_write(KeyWrite::new(key::machine(&machine_id(n)), &machine_record(n)));
        }
    }

    /// Adds running jobs.
    pub fn add_running_jobs(&mut self, jobs: usize) {
        self.running_jobs = jobs;
        for n in 0..jobs {
            self.apply_write(KeyWrite::new(key::job(&job_id(n)), &running_job(n, self.machines)));
        }
    }

    /// Adds finished jobs.
    pub fn add_finished_jobs(&self, jobs: usize) {
        for n in 0..jobs {
            self.apply_write(KeyWrite::new(key::job(&job_id(1_000_000 + n)), &finished_job(n)));
        }
    }

    /// The heartbeat of a machine's worker: the first `ended` tasks are done and all others run.
    fn heartbeat(&self, n: usize, ended: usize) -> Heartbeat {
        let state = self.controller.state();
        let id = machine_id(n);
        let record = machine_record(n);
        let task_statuses =
            state.records.replica.assignments(&id).enumerate().map(|(i, (job, _, a))| TaskStatus {
                task: format!("{job}/{}", a.task),
                attempt: a.attempt,
                state: if i < ended { TaskState::Exited } else { TaskState::Running },
                cause: (i < ended).then_some(ExitReason::Done),
                checkpointed: None,
            });
        Heartbeat {
            addr: record.addr,
            machine_type: record.machine_type.to_string(),
            zone: record.zone.to_string(),
            spot: false,
            incarnation: 1,
            sequence: self.sequence,
            fencing_token: FencingToken::first_of_epoch(EPOCH).get(),
            spot_notice_s: None,
            tasks: task_statuses.collect(),
            machine: id,
        }
    }

    /// The machines that this controller owns.
    fn owned_machines(&self) -> Vec<usize> {
        (0..self.machines).filter(|n| n.is_multiple_of(2)).collect()
    }

    /// Adds the workers of the owned machines as after their first heartbeats.
    pub fn add_workers(&mut self) {
        for n in self.owned_machines() {
            let heartbeat = self.heartbeat(n, 0);
            let now = Instant::now();
            let mut worker = Worker::new(heartbeat.addr.clone(), EPOCH, now);
            worker.receive_heartbeat(heartbeat, now);
            worker.renew_lease(now);
            self.controller.state().machines.workers.insert(machine_id(n).into(), worker);
        }
    }

    /// The status that the other controller sends of its machines.
    fn peer_status(&self, sequence: u64) -> PeerStatus {
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
            sequence,
            epoch: EPOCH,
            store_silent_ms: 10,
            machines: (0..self.machines).filter(|n| !n.is_multiple_of(2)).map(row).collect(),
        }
    }

    /// Receives a status of the other controller.
    pub fn receive_peer_status(&self, sequence: u64) {
        peer_status::receive_status(&self.controller, self.peer_status(sequence));
    }

    /// Creates a site with this many machines and jobs.
    pub fn new(machines: usize, jobs: usize) -> Self {
        let mut site = Self::empty();
        site.add_machines(machines);
        let running_jobs = machines * TASKS_PER_MACHINE / TASKS_PER_JOB as usize;
        site.add_running_jobs(running_jobs);
        site.add_finished_jobs(jobs.saturating_sub(running_jobs));
        site.add_workers();
        site.receive_peer_status(1);
        site.evaluate_workers();
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

    /// Runs two scheduling cycles, after which all workers have been evaluated.
    fn evaluate_workers(&self) {
        self.decide(16);
        self.decide(16);
    }

    fn encoded_heartbeats(&mut self, ended: usize) -> Vec<Vec<u8>> {
        self.sequence += 1;
        let owned_machines = self.owned_machines();
        let step = (owned_machines.len() / REPETITIONS).max(1);
        let sampled = owned_machines.into_iter().step_by(step).take(REPETITIONS);
        sampled.map(|n| wire::encode(&self.heartbeat(n, ended))).collect()
    }

    fn send_heartbeat(&self, body: Vec<u8>) {
        let path = "/hello".to_owned();
        let request = Request { method: "POST".into(), path, body: body.into() };
        let mut answer = std::pin::pin!(api::serve(self.controller.clone(), request));
        let reply = poll_once(answer.as_mut()).expect("answered at once");
        assert_eq!(reply.status, 200);
    }

    /// Answers a user's status query, including the check that the replica is fresh.
    fn query_job(&self, n: usize) {
        let path = format!("/v1/jobs/{}", job_id(n));
        let request = Request { method: "GET".into(), path, body: Default::default() };
        let mut answer = std::pin::pin!(api::serve(self.controller.clone(), request));
        let reply = poll_once(answer.as_mut()).or_else(|| {
            self.controller.read_barrier.grant_all();
            poll_once(answer.as_mut())
        });
        assert_eq!(reply.map(|r| r.status), Some(200));
    }

    fn add_waiting_jobs(&self, first: usize, jobs: usize, cpus: f64) {
        for n in first..first + jobs {
            let mut spec = job_spec(n, JobKind::Array, 1);
            spec.cpus = cpus;
            self.apply_write(KeyWrite::new(key::job(&job_id(n)), &JobRecord::new(spec, None, wall_ms())));
        }
    }

    fn delete_jobs(&self, first: usize, jobs: usize) {
        (first..first + jobs).for_each(|n| self.apply_write(KeyWrite::delete(key::job(&job_id(n)))));
    }

    fn measure_scheduling(&self, cases: &mut Vec<Case>, name: &'static str, times: usize, ops: usize) {
        measured(|| {
            for _ in 0..times {
                black_box(self.decide(ops));
            }
        });
        case_over(cases, name, times);
    }

    /// Encoded changes of running jobs as the watch delivers them; each job has completed
    /// one more task.
    fn encoded_changes(&self, jobs: usize) -> Vec<u8> {
        let first = self.controller.state().records.replica.revision + 1;
        let event = |n: usize| {
            let mut job = running_job(n, self.machines);
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

    /// An encoded page of job records as a controller reads it when it starts.
    fn encoded_page(&self) -> Vec<u8> {
        let item = |n: usize| Item {
            key: key::job(&job_id(2_000_000 + n)),
            value: KeyWrite::new(
                String::new(),
                &if n.is_multiple_of(2) { finished_job(n) } else { running_job(n, self.machines) },
            )
            .value,
            version: 1,
        };
        wire::encode(&Items { items: (0..400).map(item).collect(), has_more: true, revision: 1 })
    }

    /// Requests of the size of a heartbeat on a connection that stays open. The counts
    /// include the cost of a minimal client.
    fn measure_http_requests(&self, cases: &mut Vec<Case>) {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let runtime = &self._runtime;
        let addr = start_http_server(runtime, 8);
        let connect = async { tokio::net::TcpStream::connect(addr).await };
        let mut stream = runtime.block_on(connect).expect("accepted");
        let request = http_request();
        let mut exchange = |times: usize| {
            runtime.block_on(async {
                for _ in 0..times {
                    stream.write_all(&request).await.expect("sent");
                    let n = stream.read(&mut [0; 512]).await.expect("an answer");
                    assert!(n > 0);
                }
            });
        };
        exchange(2);
        measured(|| exchange(REPETITIONS));
        case_over(cases, "request over HTTP", REPETITIONS);
    }

    /// Runs all cases twice, the first time as warm-up, and returns them in the order in
    /// which they ran.
    pub fn run(&mut self) -> Vec<Case> {
        let mut cases = Vec::new();
        let handle = self._runtime.handle().clone();
        let _inside = handle.enter();
        // The first run fills lazily initialized data.
        for _ in 0..2 {
            let mut run_cases = Vec::new();
            self.measure_idle_site(&mut run_cases);
            self.measure_placement(&mut run_cases);
            self.measure_autoscaler(&mut run_cases);
            self.measure_shards_and_peers(&mut run_cases);
            self.measure_terminations(&mut run_cases);
            self.measure_change_feed(&mut run_cases);
            self.restore();
            cases.extend(run_cases);
        }
        cases
    }

    /// Heartbeats, scheduling cycles and status queries while nothing changes.
    fn measure_idle_site(&mut self, cases: &mut Vec<Case>) {
        let bodies = self.encoded_heartbeats(0);
        let n = bodies.len();
        measured(|| bodies.into_iter().for_each(|b| self.send_heartbeat(b)));
        case_over(cases, "heartbeat without changes", n);
        self.measure_scheduling(cases, "scheduling cycle without changes", 16, 16);
        measured(|| (0..REPETITIONS).for_each(|i| self.query_job(1_000_000 + i)));
        case_over(cases, "status query, final job", REPETITIONS);
        measured(|| (0..REPETITIONS).for_each(|i| self.query_job(i % self.running_jobs)));
        case_over(cases, "status query, running job", REPETITIONS);
    }

    /// Scheduling cycles that place tasks, or find no capacity for them.
    fn measure_placement(&mut self, cases: &mut Vec<Case>) {
        let controller = self.controller.clone();
        self.add_waiting_jobs(3_000_000, 1, 1.0);
        self.measure_scheduling(cases, "scheduling cycle that places one task", 8, 16);
        self.add_waiting_jobs(3_000_001, 31, 1.0);
        self.measure_scheduling(cases, "scheduling cycle that places 32 tasks", 8, 64);
        let cycle = self.decide(16);
        measured(|| {
            let scheduler::CycleTransaction { conditions, writes: puts, .. } = scheduler::build_transaction(
                &controller.state().records.replica,
                &cycle,
                &controller.state_limits(),
                usize::MAX,
            );
            let put = |p: KeyWrite| p.value.map(|value| Op::Put { put: p.key, value, lease: p.lease });
            wire::encode(&Txn { conditions, ops: puts.into_iter().filter_map(put).collect() })
        });
        case_over(cases, "transaction, per job", cycle.jobs.len());
        self.delete_jobs(3_000_000, 32);
        self.add_waiting_jobs(3_000_100, 32, 1000.0);
        self.measure_scheduling(cases, "scheduling cycle with 32 jobs without capacity", 8, 16);
    }

    /// The scale-out and scale-in plans of the autoscaler.
    fn measure_autoscaler(&mut self, cases: &mut Vec<Case>) {
        let controller = self.controller.clone();
        let now = Instant::now();
        let mut autoscaler = Autoscaler::leading_since(now - Duration::from_secs(60));
        controller.state().refresh_inventory(&controller.identity, controller.heartbeat_interval(), now);
        measured(|| autoscaler.plan_scale_out(&controller, &controller.state(), now));
        case_over(cases, "scale-out plan for 32 jobs", 1);
        self.delete_jobs(3_000_100, 32);
        measured(|| autoscaler.plan_scale_out(&controller, &controller.state(), now));
        case_over(cases, "scale-out plan without waiting jobs", 1);
        controller.state().records.fresh_at = Some(now);
        controller.state().tick(now);
        measured(|| autoscaler.release_candidates(&controller, &controller.state(), now));
        case_over(cases, "release candidates", 1);
    }

    /// The choice of a shard, peer statuses, the isolation check and the write share.
    fn measure_shards_and_peers(&mut self, cases: &mut Vec<Case>) {
        let controller = self.controller.clone();
        controller.state().scheduling.recent_assignments.since = None;
        let new_job = job_spec(4_000_000, JobKind::Array, 1);
        measured(|| api::shard_choice::choose_shard(&controller, &new_job));
        case_over(cases, "shard choice for the first new job", 1);
        measured(|| {
            (0..4).for_each(|_| drop(black_box(api::shard_choice::choose_shard(&controller, &new_job))))
        });
        case_over(cases, "shard choice for a later new job", 4);
        measured(|| peer::encode(&Message::PeerStatus(peer_status::own_status(&controller))));
        case_over(cases, "peer status sent", 1);
        let encoded_status = peer::encode(&Message::PeerStatus(self.peer_status(self.sequence * 10)));
        measured(|| {
            if let Some(Message::PeerStatus(s)) = peer::decode(&encoded_status) {
                peer_status::receive_status(&controller, s);
            }
        });
        case_over(cases, "peer status received", 1);
        measured(|| {
            let mut state = controller.state();
            state.tick(Instant::now());
            state.update_isolation(&controller.identity, controller.heartbeat_interval(), Instant::now())
        });
        case_over(cases, "tick and isolation check", 1);
        measured(|| {
            let mut state = controller.state();
            controller
                .update_write_share(&mut state, Instant::now() + Duration::from_secs(self.sequence * 10));
        });
        case_over(cases, "write share update", 1);
    }

    /// Requests over HTTP, and heartbeats and a scheduling cycle with finished tasks.
    fn measure_terminations(&mut self, cases: &mut Vec<Case>) {
        let controller = self.controller.clone();
        self.measure_http_requests(cases);
        let bodies = self.encoded_heartbeats(1);
        let n = bodies.len();
        measured(|| bodies.into_iter().for_each(|b| self.send_heartbeat(b)));
        case_over(cases, "heartbeat with a finished task", n);
        self.measure_scheduling(cases, "scheduling cycle after 64 finished tasks", 1, 64);
        controller.state().proofs = Default::default();
    }

    /// Changes of records, and pages of records.
    fn measure_change_feed(&mut self, cases: &mut Vec<Case>) {
        let controller = self.controller.clone();
        let jobs = self.running_jobs.min(REPETITIONS);
        let changes = self.encoded_changes(jobs);
        measured(|| change_feed::apply_changes(&controller, wire::decode(&changes).expect("changes")));
        case_over(cases, "watch event", jobs);
        let page = self.encoded_page();
        let mut replica = sched::replica::Replica::default();
        let mut reader = store::RecordReader::default();
        measured(|| {
            let page: Items<Value> = wire::decode(&page).expect("a page");
            for item in page.items {
                let (change, _, version) = reader.apply(&item.key, Some(item.value), item.version);
                replica.apply(change, version);
            }
        });
        case_over(cases, "record of a listed page", 400);
    }

    /// Restores the site to its state before the cases.
    fn restore(&mut self) {
        let controller = self.controller.clone();
        // Undoes the changes of `measure_change_feed`.
        for n in 0..self.running_jobs.min(REPETITIONS) {
            self.apply_write(KeyWrite::new(key::job(&job_id(n)), &running_job(n, self.machines)));
        }
        let bodies = self.encoded_heartbeats(0);
        bodies.into_iter().for_each(|b| self.send_heartbeat(b));
        controller.state().proofs = Default::default();
        self.evaluate_workers();
        assert!(self.decide(16).jobs.is_empty(), "a job still needs scheduling");
    }
}

/// Starts a minimal HTTP server and returns its address.
fn start_http_server(runtime: &tokio::runtime::Runtime, max_connections: usize) -> std::net::SocketAddr {
    let connections = Arc::new(net::Connections::new(max_connections, &[], |_| 0));
    let (stop, tasks) = Default::default();
    let listener = runtime.block_on(tokio::net::TcpListener::bind("127.0.0.1:0")).expect("a port");
    let addr = listener.local_addr().expect("an address");
    let handler = |_| async { net::Reply::new(200, &"fine") };
    runtime.spawn(net::serve(listener, connections, wire::BODY_LIMIT, handler, stop, tasks));
    addr
}

/// An HTTP request of the size of a heartbeat.
fn http_request() -> Vec<u8> {
    let mut request = b"POST /hello HTTP/1.1\r\nhost: x\r\ncontent-length: 300\r\n\r\n".to_vec();
    request.extend([7; 300]);
    request
}

/// Serves `n` connections that have sent one request each and stay open. Returns the memory
/// that the server needs for them, as the difference of `used`.
pub fn idle_connections(n: usize, used: impl Fn() -> usize) -> usize {
    use std::io::{Read, Write};
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let addr = start_http_server(&runtime, n + 8);
    let before = used();
    let mut connections = Vec::with_capacity(n);
    let request = http_request();
    for _ in 0..n {
        let mut stream = std::net::TcpStream::connect(addr).expect("accepted");
        stream.write_all(&request).expect("sent");
        runtime.block_on(async {
            for _ in 0..20 {
                tokio::task::yield_now().await;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        });
        let n = stream.read(&mut [0; 512]).expect("an answer");
        assert!(n > 0);
        connections.push(stream);
    }
    used() - before - n * size_of::<std::net::TcpStream>()
}
