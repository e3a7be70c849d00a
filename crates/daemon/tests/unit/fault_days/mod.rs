//! Simulation tests with overlapping faults. Complete controllers run against a network,
//! key-value store, cloud, workers and users simulated in memory. Time is paused and
//! advances automatically, so a scenario of several minutes takes about a second. The
//! answers that users receive and the tasks on the machines are checked against the rules.
//!
//! A scenario that violates a rule is shrunk: faults are removed one by one while the
//! violation still occurs. `SAGELOOM_SIM_SEEDS=FROM..TO` selects other seeds than those
//! that CI runs, `SAGELOOM_SIM_TRACE=1` prints the trace of each failed scenario instead of
//! shrinking it, and `SAGELOOM_SIM_LOG=1` prints the log of the controllers.

mod checker;
mod cloud;
mod command_copies;
mod controllers;
mod drains;
mod failing_machines;
mod faults;
mod gpu_machines;
mod key_value_store;
mod large_messages;
mod late_copies;
mod late_requests;
mod machines;
mod network;
mod overdue_machines;
mod refused_requests;
mod short_capacity;
mod single_job;
mod superseded_controllers;
mod tests;
mod users;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use net::Request;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{Instant, sleep};
use wire::Heartbeat;

use controllers::Process;
use faults::ScheduledFault;
use machines::{LEASE_MS, Machine};
use network::{Endpoint, MessageDelay, Partition};
use users::Job;

const CONTROLLERS: usize = 3;
/// CPU limits of the teams "t", unless a test sets another, and "u".
const TEAM_T_MAX_CPUS: f64 = 16.0;
const TEAM_U_MAX_CPUS: f64 = 8.0;
const TICK_MS: u64 = 100;
/// Duration of a scenario after its last fault: longer than any job may wait.
const RECOVERY_MS: u64 = 110_000;
/// Duration of submissions before the recovery period in a scenario without faults.
const FAULT_FREE_MS: u64 = 30_000;

/// Defects injected to verify that the checker finds them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// The cloud confirms releases but keeps the machines running.
    ReleasesIgnored,
    /// As `ReleasesIgnored`; also, workers keep their tasks when their leases expire.
    LeasesIgnored,
    /// The controllers' settings have a higher team limit than the checker.
    RaisedTeamLimit,
    /// Workers report failed tasks as done.
    FailureReportedDone,
    /// Workers ignore stop commands.
    StopsIgnored,
    /// Workers ignore start commands.
    StartsIgnored,
    /// Workers start tasks again that were stopped.
    StoppedTaskRestarted,
    /// Spot machines report that they are not spot machines.
    SpotReportedOnDemand,
    /// Submitted jobs lose their dependencies on the way.
    DependenciesDropped,
    /// A job record is deleted.
    RecordDeleted,
    /// A job record is reset to its first value.
    RecordReverted,
    /// A record appears of a job that nobody submitted.
    RecordFabricated,
    /// Some status queries are answered with 404.
    FalseNotFound,
    /// Users receive no answers in the recovery period.
    AnswersDropped,
    /// Workers report tasks as running that are still fetching their images.
    RunningReportedEarly,
    /// Rejected submissions are reported as accepted.
    RejectionReportedAccepted,
    /// Jobs are sometimes reported as cancelled whatever their state.
    OpenReportedCancelled,
}

/// A scenario: its faults, and the seed of all other random choices.
#[derive(Debug, Clone)]
struct Scenario {
    seed: u64,
    faults: Vec<ScheduledFault>,
    defect: Defect,
    /// Duration of the recovery period after the last fault.
    recovery_ms: u64,
    /// Whether drains are enabled in the operators' settings.
    drains: bool,
}

/// The result of a scenario.
#[derive(Debug, Default)]
struct Outcome {
    /// The violated rules with the details of the first violation of each.
    violations: BTreeMap<&'static str, String>,
    started: u64,
    done: usize,
    cancelled: usize,
    /// Tasks of cancelled jobs that started soon after the cancellation was confirmed, which
    /// is allowed while faults delay commands.
    late_starts: u64,
    /// Running replicas that were stopped although their users had not cancelled them.
    voluntary_stops: usize,
    trace: Vec<String>,
    /// The messages between controllers, machines, users, store and cloud, in the order of sending.
    messages: Vec<String>,
}

/// Delivers a share of the heartbeats a second time.
#[derive(Debug, Clone, Copy, Default)]
struct HeartbeatDuplication {
    share: f64,
    until: u64,
    for_next_leader: bool,
}

struct Simulation {
    start: Instant,
    rng: StdRng,
    defect: Defect,
    drains: bool,
    /// CPU limit of team "t".
    team_t_max_cpus: f64,
    /// GPU limit of each team.
    team_max_gpus: f64,
    voluntary_disruptions: drains::VoluntaryDisruptions,
    store: key_value_store::KeyValueStore,
    cloud: cloud::Cloud,
    controllers: Vec<Process>,
    incarnations: u64,
    machines: BTreeMap<String, Machine>,
    /// Machines that fail every task that they start, and until when.
    tasks_fail_until: BTreeMap<String, u64>,
    jobs: BTreeMap<String, Job>,
    submitted_jobs: u64,
    invalid_requests: u64,
    /// Tasks that completed on a machine, whatever was reported.
    done_tasks: BTreeSet<String>,
    /// Jobs that completed since the last tick.
    ended_jobs: Vec<String>,
    /// Network partitions and when each ends.
    partitions: Vec<(Partition, u64)>,
    command_delay: MessageDelay,
    held_starts: network::HeldStarts,
    command_copies: command_copies::CommandCopies,
    other_spellings_until: u64,
    peer_message_delay: MessageDelay,
    duplication: HeartbeatDuplication,
    duplicates_for_next_leader: Vec<Heartbeat>,
    /// Heartbeats to deliver again: time, controller, heartbeat.
    pending_duplicates: Vec<(u64, usize, Heartbeat)>,
    cluster_map_changed: bool,
    /// Workers refuse larger requests and drop larger answers, in bytes.
    max_worker_message_bytes: usize,
    /// Heartbeats that showed a later epoch than the controller knew that received them.
    heartbeats_to_superseded: usize,
    /// Stopped tasks that `StoppedTaskRestarted` will restart: time, machine, task, attempt.
    pending_restarts: Vec<(u64, String, String, u64)>,
    /// The share of completing jobs that are cancelled, and until when.
    cancel_on_completion: (f64, u64),
    concurrent_queries_until: u64,
    /// When the recovery period begins: 10 s after the end of the last fault.
    settled_at: u64,
    faults_until: u64,
    /// Times of recent status queries, and whether each was answered.
    recent_queries: VecDeque<(u64, bool)>,
    violations: BTreeMap<&'static str, String>,
    started: u64,
    late_starts: u64,
    trace: Vec<String>,
    messages: Vec<String>,
}

/// A shared handle to the simulation.
#[derive(Clone)]
struct Site {
    start: Instant,
    simulation: Arc<Mutex<Simulation>>,
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or_default()
}

impl Simulation {
    fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn is_settled(&self) -> bool {
        self.ms() > self.settled_at
    }

    /// Schedules, with the set probability, a second delivery of a sent heartbeat.
    fn duplicate_heartbeat(&mut self, heartbeat: &Heartbeat, to: usize) {
        let now = self.ms();
        let HeartbeatDuplication { share, until, for_next_leader } = self.duplication;
        if now >= until || !self.rng.random_bool(share) {
            return;
        }
        if for_next_leader {
            self.duplicates_for_next_leader.push(heartbeat.clone());
        } else {
            let to = if self.rng.random_bool(0.7) { to } else { self.rng.random_range(0..CONTROLLERS) };
            let delay_ms = self.rng.random_range(2000..LEASE_MS * 5 / 2);
            self.pending_duplicates.push((now + delay_ms, to, heartbeat.clone()));
        }
    }

    /// Takes the duplicates that are due. Duplicates kept for the next leader become due
    /// shortly after the cluster map changes.
    fn take_due_duplicates(&mut self) -> Vec<(usize, Heartbeat)> {
        let now = self.ms();
        if std::mem::take(&mut self.cluster_map_changed) {
            for heartbeat in std::mem::take(&mut self.duplicates_for_next_leader) {
                for n in 0..CONTROLLERS {
                    let at = now + self.rng.random_range(0..400);
                    self.pending_duplicates.push((at, n, heartbeat.clone()));
                }
            }
        }
        let (due, rest) =
            std::mem::take(&mut self.pending_duplicates).into_iter().partition(|(at, ..)| *at <= now);
        self.pending_duplicates = rest;
        due.into_iter().map(|(_, n, heartbeat)| (n, heartbeat)).collect()
    }
}

impl Site {
    fn new(scenario: &Scenario) -> Self {
        let start = Instant::now();
        let last_fault_end = scenario
            .faults
            .iter()
            .map(|e| e.starts_at + e.fault.duration_ms())
            .max()
            .unwrap_or(FAULT_FREE_MS);
        let simulation = Simulation {
            start,
            rng: StdRng::seed_from_u64(scenario.seed),
            defect: scenario.defect,
            drains: scenario.drains,
            team_t_max_cpus: TEAM_T_MAX_CPUS,
            team_max_gpus: 0.0,
            voluntary_disruptions: drains::VoluntaryDisruptions::default(),
            store: key_value_store::KeyValueStore::default(),
            cloud: cloud::Cloud::default(),
            controllers: (0..CONTROLLERS).map(|_| Process::default()).collect(),
            incarnations: 0,
            machines: BTreeMap::new(),
            tasks_fail_until: BTreeMap::new(),
            jobs: BTreeMap::new(),
            submitted_jobs: 0,
            invalid_requests: 0,
            done_tasks: BTreeSet::new(),
            ended_jobs: Vec::new(),
            partitions: Vec::new(),
            command_delay: MessageDelay::default(),
            held_starts: network::HeldStarts::default(),
            command_copies: command_copies::CommandCopies::default(),
            other_spellings_until: 0,
            peer_message_delay: MessageDelay::default(),
            duplication: HeartbeatDuplication::default(),
            duplicates_for_next_leader: Vec::new(),
            pending_duplicates: Vec::new(),
            cluster_map_changed: false,
            max_worker_message_bytes: usize::MAX,
            heartbeats_to_superseded: 0,
            pending_restarts: Vec::new(),
            cancel_on_completion: (0.0, 0),
            concurrent_queries_until: 0,
            settled_at: last_fault_end + 10_000,
            faults_until: 0,
            recent_queries: VecDeque::new(),
            violations: BTreeMap::new(),
            started: 0,
            late_starts: 0,
            trace: Vec::new(),
            messages: Vec::new(),
        };
        Self { start, simulation: Arc::new(Mutex::new(simulation)) }
    }

    fn lock(&self) -> MutexGuard<'_, Simulation> {
        self.simulation.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Appends a line to the trace.
    fn add_trace(&self, line: impl FnOnce() -> String) {
        let line = format!("{:>7} {}", self.ms(), line());
        self.lock().trace.push(line);
    }

    async fn run_scenario(&self, scenario: &Scenario) {
        for n in 0..CONTROLLERS {
            self.start_controller(n);
        }
        let mut due: VecDeque<ScheduledFault> = scenario.faults.iter().copied().collect();
        let settled_at = self.lock().settled_at;
        let mut next_job = 3000;
        let mut corrupted = false;
        let mut ticks = 0u64;
        while self.ms() < settled_at + scenario.recovery_ms {
            sleep(Duration::from_millis(TICK_MS)).await;
            ticks += 1;
            let now = self.ms();
            while due.front().is_some_and(|e| e.starts_at <= now)
                && let Some(e) = due.pop_front()
            {
                self.inject(e.fault);
            }
            {
                let mut simulation = self.lock();
                simulation.store.expire_leases(now);
                simulation.advance_machines();
                if ticks.is_multiple_of(5) {
                    simulation.check_cancelled();
                }
                if now > settled_at && ticks.is_multiple_of(10) {
                    simulation.check_after_faults();
                }
                if now > settled_at && !corrupted {
                    corrupted = true;
                    if let Some(id) = simulation.corrupt_records() {
                        let site = self.clone();
                        tokio::spawn(async move {
                            sleep(Duration::from_secs(3)).await;
                            site.query_status(0, &id).await;
                        });
                    }
                }
            }
            self.start_booted_machines();
            self.deliver_due_copies();
            let ended = std::mem::take(&mut self.lock().ended_jobs);
            ended.into_iter().for_each(|id| self.job_ended(id));
            let duplicates = self.lock().take_due_duplicates();
            for (n, heartbeat) in duplicates {
                let body = Bytes::from(wire::encode(&heartbeat));
                let request = Request { method: "POST".into(), path: "/hello".into(), body };
                let (site, from) = (self.clone(), Endpoint::Machine(heartbeat.machine));
                // The response to a duplicate is discarded.
                tokio::spawn(async move { site.exchange(from, Endpoint::Controller(n), request).await });
            }
            if now >= next_job && now < settled_at + 10_000 {
                let (id, pause) = {
                    let mut simulation = self.lock();
                    (simulation.next_job(), simulation.rng.random_range(500..2500))
                };
                next_job = now + pause;
                let site = self.clone();
                tokio::spawn(async move { site.run_user(id, false).await });
            }
            if ticks.is_multiple_of(50) {
                let (n, id) = {
                    let mut simulation = self.lock();
                    let jobs = simulation.jobs.len().max(1);
                    let i = simulation.rng.random_range(0..jobs);
                    (simulation.rng.random_range(0..CONTROLLERS), simulation.jobs.keys().nth(i).cloned())
                };
                let site = self.clone();
                tokio::spawn(async move {
                    site.query_status(n, users::UNKNOWN_JOB).await;
                    // Users may query a job at any later time.
                    if let Some(id) = id {
                        site.query_status(n, &id).await;
                    }
                });
            }
        }
        let mut simulation = self.lock();
        if scenario.drains && scenario.recovery_ms > 0 {
            simulation.check_drains_closed();
        }
        if simulation.started == 0 {
            simulation.record_violation("nothing_ran", String::new());
        }
    }
}

/// Prints the log of the controllers with the simulated time.
fn show_log() {
    struct SimulatedTime(Mutex<Option<Instant>>);
    impl tracing_subscriber::fmt::time::FormatTime for SimulatedTime {
        fn format_time(&self, w: &mut tracing_subscriber::fmt::format::Writer<'_>) -> std::fmt::Result {
            let now = Instant::now();
            let mut start = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            write!(w, "{:>7}", (now - *start.get_or_insert(now)).as_millis())
        }
    }
    let log = tracing_subscriber::fmt().with_max_level(tracing::Level::DEBUG).with_ansi(false);
    let _ = log
        .with_timer(SimulatedTime(Mutex::new(None)))
        .with_target(false)
        .with_writer(std::io::stderr)
        .try_init();
}

/// Runs one scenario.
fn run_scenario(scenario: &Scenario) -> Outcome {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime");
    runtime.block_on(async {
        let _clock = crate::clock::simulated_clock::start();
        let site = Site::new(scenario);
        site.run_scenario(scenario).await;
        for n in 0..CONTROLLERS {
            site.kill_controller(n);
        }
        let mut simulation = site.lock();
        Outcome {
            violations: std::mem::take(&mut simulation.violations),
            started: simulation.started,
            done: simulation.jobs.values().filter(|j| j.done_at.is_some()).count(),
            cancelled: simulation.jobs.values().filter(|j| j.cancelled_at.is_some()).count(),
            late_starts: simulation.late_starts,
            voluntary_stops: simulation.voluntary_disruptions.stops,
            trace: std::mem::take(&mut simulation.trace),
            messages: std::mem::take(&mut simulation.messages),
        }
    })
}

/// Removes faults one by one while the rule is still violated, and returns the scenario
/// that remains. Not necessarily minimal, as each fault is tried once.
fn shrink(scenario: &Scenario, rule: &str) -> Scenario {
    let mut scenario = scenario.clone();
    let still_violates =
        |scenario: &Scenario| (0..2).any(|_| run_scenario(scenario).violations.contains_key(rule));
    let mut i = 0;
    while i < scenario.faults.len() {
        let mut reduced = scenario.clone();
        reduced.faults.remove(i);
        if still_violates(&reduced) { scenario = reduced } else { i += 1 }
    }
    scenario
}
