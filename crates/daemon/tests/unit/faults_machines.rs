//! Tests of two faults at once between controllers and workers, on an emulated clock. The
//! controllers are real; the state service is scripted, and the workers follow the protocol. Each
//! test scripts one combination of faults.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use sched::records::*;
use store::{KeyWrite, decode_change, key};
use wire::{
    Command, Commands, Condition, ExitReason, Heartbeat, HeartbeatResponse, JobKind, JobSpec, MachineType,
    TaskState, TaskStatus,
};

use crate::api::heartbeats::{HeartbeatOutcome, HeartbeatRoute, process_heartbeat};
use crate::controller::Controller;
use crate::operators::OperatorSettings;
use crate::scheduler::{self, CommandsOutcome};
use crate::settings::Settings;
use crate::settings::tests::EXAMPLE;
use crate::worker::tests::spec;

/// Lease duration of the example settings.
const LEASE_DURATION: Duration = Duration::from_secs(24);
/// Time within which a cancelled task must have ended, by the example settings.
const CANCELLATION_BOUND: Duration = Duration::from_secs(44);

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A cluster of controllers with a scripted state service.
struct FakeCluster {
    controllers: Vec<Arc<Controller>>,
    versions: HashMap<String, u64>,
    log: Vec<(u64, KeyWrite)>,
    /// Number of log entries that each controller's replica has applied.
    applied_len: Vec<usize>,
    epoch: u64,
    now: Instant,
}

impl FakeCluster {
    /// All controllers are live and the first one leads. Each machine has eight CPUs.
    fn new(controllers: usize, machines: &[(&str, &str)]) -> Self {
        let controller = |n: usize| {
            let mut settings = Settings::parse("example", EXAMPLE).expect("the example is valid");
            settings.node_name = format!("n-{n}");
            Controller::new(settings, OperatorSettings::default(), 100 + n as u64)
        };
        let mut cluster = Self {
            controllers: (0..controllers).map(controller).collect(),
            versions: HashMap::new(),
            log: Vec::new(),
            applied_len: vec![0; controllers],
            epoch: 0,
            now: Instant::now(),
        };
        let machine_type = MachineType {
            name: "m".into(),
            cpus: 8.0,
            gpus: 0.0,
            memory_gb: 64.0,
            cache_gb: 50.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 0.5,
            boot_s: 30.0,
            zones: vec!["a".into(), "b".into()],
        };
        cluster
            .write(vec![KeyWrite::new(key::TYPES.into(), &MachineTypesRecord { types: vec![machine_type] })]);
        for (id, zone) in machines {
            cluster.add_machine(id, zone);
        }
        cluster.publish_map(&(0..controllers).collect::<Vec<_>>());
        (0..controllers).for_each(|n| cluster.catch_up(n));
        cluster
    }

    fn add_machine(&mut self, id: &str, zone: &str) {
        let record = MachineRecord {
            addr: id.into(),
            machine_type: "m".into(),
            zone: zone.into(),
            spot: false,
            release: false,
        };
        self.write(vec![KeyWrite::new(key::machine(id), &record)]);
    }

    fn txn(&mut self, conditions: &[Condition], writes: Vec<KeyWrite>) -> bool {
        if conditions.iter().any(|c| self.versions.get(&c.key).copied().unwrap_or(0) != c.version) {
            return false;
        }
        let revision = self.log.last().map_or(1, |l| l.0 + 1);
        for write in writes {
            match write.value {
                Some(_) => self.versions.insert(write.key.clone(), revision),
                None => self.versions.remove(&write.key),
            };
            self.log.push((revision, write));
        }
        true
    }

    fn write(&mut self, writes: Vec<KeyWrite>) {
        assert!(self.txn(&[], writes));
    }

    /// Commits a cluster map with the next epoch; the first of these controllers leads.
    fn publish_map(&mut self, live: &[usize]) {
        self.epoch += 1;
        let live: Vec<Member> = live.iter().map(|n| self.controllers[*n].identity.clone()).collect();
        self.write(vec![
            KeyWrite::new(key::LEADER.into(), &live[0]),
            KeyWrite::new(key::MAP.into(), &ClusterMap { epoch: self.epoch, live }),
        ]);
    }

    /// Replaces a controller by a new process of the same name, with an empty replica.
    fn restart(&mut self, n: usize) {
        let settings = self.controllers[n].settings.clone();
        let incarnation = self.controllers[n].identity.incarnation + 1000;
        self.controllers[n] = Controller::new(settings, OperatorSettings::default(), incarnation);
        self.applied_len[n] = 0;
    }

    /// Applies all committed changes to a controller's replica.
    fn catch_up(&mut self, n: usize) {
        let mut state = self.controllers[n].state();
        for (revision, write) in &self.log[self.applied_len[n]..] {
            let (change, unreadable) = decode_change(&write.key, write.value.clone());
            assert!(!unreadable, "{}", write.key);
            state.records.replica.apply(change, *revision);
            state.records.replica.revision = *revision;
        }
        self.applied_len[n] = self.log.len();
        (state.records.is_loaded, state.records.fresh_at) = (true, Some(self.now));
        state.pauses = crate::state::PauseDetector::new(self.now);
    }

    /// Runs a scheduling cycle and commits it unless its records changed meanwhile. Returns the
    /// commands to send.
    fn run_cycle(&mut self, n: usize) -> Vec<(Name, Commands)> {
        let (outgoing, conditions, writes) = {
            let controller = &self.controllers[n];
            let mut state = controller.state();
            let Some(cycle) = scheduler::decide(
                controller,
                &mut state,
                scheduler::CycleContext::new(16, self.now, 1_000_000),
            ) else {
                return Vec::new();
            };
            let assembled = scheduler::build_transaction(
                &state.records.replica,
                &cycle,
                &controller.state_limits(),
                usize::MAX,
            );
            (cycle.commands, assembled.conditions, assembled.writes)
        };
        self.txn(&conditions, writes);
        outgoing.into_iter().map(|sent| (sent.machine, sent.commands)).collect()
    }

    /// Delivers a heartbeat to a controller. Returns the response that renews the lease, if there
    /// is one.
    fn receive_heartbeat(&mut self, n: usize, heartbeat: &Heartbeat) -> Option<HeartbeatResponse> {
        match process_heartbeat(&self.controllers[n], heartbeat, HeartbeatRoute::Direct, self.now) {
            HeartbeatOutcome::Respond(response) => wire::decode(&wire::encode(&response)).ok(),
            _ => None,
        }
    }

    fn record_response(
        &mut self,
        n: usize,
        machine: &str,
        commands: &Commands,
        heartbeat: Option<Heartbeat>,
    ) {
        let outcome = heartbeat.map_or(CommandsOutcome::Unknown, CommandsOutcome::Answered);
        let token = commands.fencing_token.into();
        scheduler::record_outcome(&mut self.controllers[n].state(), machine, token, outcome, self.now);
    }

    fn job(&self, id: &str) -> Box<JobRecord> {
        let write = self.log.iter().rfind(|(_, write)| write.key == key::job(id)).map(|(_, write)| write);
        let (change, _) = decode_change(&key::job(id), write.and_then(|write| write.value.clone()));
        match change {
            sched::replica::RecordChange::Job(_, Some(job)) => job,
            other => unreachable!("{other:?}"),
        }
    }

    /// The recorded attempt of a job's first assignment.
    fn attempt(&self, id: &str) -> Option<u64> {
        self.job(id).assignments.first().map(|a| a.attempt)
    }

    /// Commits the cancellation of a job, as another controller would.
    fn cancel(&mut self, id: &str) {
        let mut job = self.job(id);
        job.phase = Phase::Cancelled;
        job.compact_if_final();
        self.write(vec![KeyWrite::new(key::job(id), &job)]);
    }

    /// Records a job with these assignments: task, attempt and machine.
    fn assign(&mut self, spec: JobSpec, placements: &[(u32, u64, &str)]) {
        let mut job = JobRecord::new(spec.clone(), None, 1000);
        job.attempt = placements.iter().map(|placement| placement.1).max().unwrap_or(0);
        job.assignments = placements
            .iter()
            .map(|(task, attempt, machine)| Assignment {
                task: *task,
                attempt: *attempt,
                machine: (*machine).into(),
                desired: DesiredState::Running,
            })
            .collect();
        self.write(vec![KeyWrite::new(key::job(&spec.id), &job)]);
    }

    fn advance(&mut self, seconds: f64) {
        self.now += secs(seconds);
    }

    /// Sends a worker's heartbeat to a controller and the response back.
    fn exchange_heartbeat(&mut self, n: usize, worker: &mut FakeWorker) {
        worker.expire_lease(self.now);
        let response = self.receive_heartbeat(n, &worker.heartbeat());
        worker.receive_response(self.now, response);
    }

    /// Polls a worker's status, as its owner does.
    fn poll_status(&mut self, n: usize, worker: &mut FakeWorker) {
        worker.expire_lease(self.now);
        let heartbeat = worker.heartbeat();
        if let Some(w) = self.controllers[n].state().machines.workers.get_mut(worker.id) {
            w.receive_response(heartbeat, self.now);
        }
    }

    /// Runs a scheduling cycle and delivers its commands to these workers and their responses
    /// back; other workers do not respond. Returns the commands sent.
    fn run_cycle_and_deliver(&mut self, n: usize, workers: &mut [&mut FakeWorker]) -> Vec<Command> {
        let mut sent = Vec::new();
        for (machine, commands) in self.run_cycle(n) {
            let worker = workers.iter_mut().find(|w| *machine == *w.id);
            let heartbeat = worker.map(|w| w.receive_commands(&commands, self.now));
            self.record_response(n, &machine, &commands, heartbeat);
            sent.extend(commands.commands);
        }
        sent
    }
}

/// A worker that follows the protocol.
struct FakeWorker {
    id: &'static str,
    zone: &'static str,
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    /// When the last answered heartbeat was sent, or the incarnation began.
    renewed_at: Instant,
    tasks: BTreeMap<(String, u64), (TaskState, Option<ExitReason>)>,
}

impl FakeWorker {
    fn new(id: &'static str, zone: &'static str, now: Instant) -> Self {
        Self {
            id,
            zone,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            renewed_at: now,
            tasks: BTreeMap::new(),
        }
    }

    /// Kills and forgets all tasks once the lease has expired, and begins a new incarnation.
    fn expire_lease(&mut self, now: Instant) {
        if now.saturating_duration_since(self.renewed_at) > LEASE_DURATION {
            self.incarnation += 1;
            self.renewed_at = now;
            self.tasks.clear();
        }
    }

    fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|((task, attempt), (state, cause))| TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            state: *state,
            cause: *cause,
            checkpointed: None,
        });
        Heartbeat {
            machine: self.id.into(),
            addr: self.id.into(),
            machine_type: "m".into(),
            zone: self.zone.into(),
            spot: false,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            spot_notice_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Handles the response to a heartbeat that was sent at `sent`.
    fn receive_response(&mut self, sent: Instant, response: Option<HeartbeatResponse>) {
        let Some(response) = response.filter(|a| a.fencing_token >= self.fencing_token) else { return };
        (self.fencing_token, self.renewed_at) = (response.fencing_token, sent);
        self.apply_commands(&response.commands);
    }

    /// Handles a command request and returns the status, as the worker's endpoint does.
    fn receive_commands(&mut self, commands: &Commands, now: Instant) -> Heartbeat {
        self.expire_lease(now);
        if commands.fencing_token >= self.fencing_token && commands.incarnation == self.incarnation {
            self.fencing_token = commands.fencing_token;
            self.apply_commands(&commands.commands);
        }
        self.heartbeat()
    }

    fn apply_commands(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    let start = (TaskState::Running, None);
                    self.tasks.entry((task.clone(), *attempt)).or_insert(start);
                }
                Command::Stop { task, attempt, grace_s } if *grace_s > 0.0 => {
                    let saving = (TaskState::Running, None);
                    if let Some(state) =
                        self.tasks.get_mut(&(task.clone(), *attempt)).filter(|s| **s == saving)
                    {
                        state.0 = TaskState::Saving;
                    }
                }
                Command::Stop { task, attempt, .. } => self.exit_task(task, *attempt, ExitReason::Stopped),
                Command::Forget { task, attempt } => {
                    let exited = |s: &(TaskState, Option<ExitReason>)| s.0 == TaskState::Exited;
                    let key = (task.clone(), *attempt);
                    if self.tasks.get(&key).is_some_and(exited) {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
    }

    fn exit_task(&mut self, task: &str, attempt: u64, cause: ExitReason) {
        if let Some(state) = self.tasks.get_mut(&(task.to_owned(), attempt))
            && state.0 != TaskState::Exited
        {
            *state = (TaskState::Exited, Some(cause));
        }
    }

    fn is_running(&self, task: &str) -> bool {
        self.tasks.iter().any(|((t, _), (state, _))| t == task && *state != TaskState::Exited)
    }
}

/// A cluster in which a recorded task runs on the only worker.
fn cluster_with_running_task(controllers: usize) -> (FakeCluster, FakeWorker) {
    let mut cluster = FakeCluster::new(controllers, &[("host-1", "a")]);
    let mut worker = FakeWorker::new("host-1", "a", cluster.now);
    cluster.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
    let owner = first_machine_owner(&cluster);
    cluster.catch_up(owner);
    cluster.exchange_heartbeat(owner, &mut worker);
    cluster.exchange_heartbeat(owner, &mut worker);
    cluster.run_cycle_and_deliver(owner, &mut [&mut worker]);
    assert!(worker.is_running("j-1/0"));
    (cluster, worker)
}

/// The index of the controller that owns the first machine by the newest map.
fn first_machine_owner(cluster: &FakeCluster) -> usize {
    let write = cluster.log.iter().rfind(|(_, write)| write.key == key::MAP).map(|(_, write)| write.clone());
    let write = write.expect("a cluster map");
    let (sched::replica::RecordChange::Map(Some(map)), false) = decode_change(&write.key, write.value) else {
        unreachable!("a cluster map")
    };
    let owner = map.owner("host-1", "a").expect("an owner").name.clone();
    cluster.controllers.iter().position(|n| n.identity.name == owner).expect("a controller")
}

#[path = "faults_records.rs"]
mod records;
#[path = "faults_reports.rs"]
mod reports;
#[path = "faults_superseded.rs"]
mod superseded;
