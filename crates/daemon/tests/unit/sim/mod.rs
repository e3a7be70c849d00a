//! A seeded random-fault simulation of decisions, records and workers on an emulated clock, with a
//! checker for the guarantees. Messages are delayed, lost, reordered and delivered minutes late;
//! heartbeats are also duplicated and sent to the wrong controller. Owners change. Controllers
//! restart with an empty replica, or pause and resume with a stale one. Requests that were already
//! applied are repeated. Workers lose their lease, go deaf (their heartbeats arrive but they
//! receive nothing) or fail every task. Machines are released, several at a time. Jobs are
//! cancelled.
//!
//! The simulation begins with the version in production: controllers read and write what that
//! version does, and are upgraded one by one under these faults; one that ends before its upgrade
//! restarts with the old version. Then come pipelines and, at a random moment, lower limits, which
//! force nearly every job's record into chunks.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sched::records::*;
use sched::replica::{RecordChange, Replica};
use store::{KeyWrite, RecordReader, decode_change, key, split_record};
use wire::{Command, Commands, Condition, ExitReason, Heartbeat, JobKind, TaskState, TaskStatus};

use crate::api;
use crate::controller::Controller;
use crate::operators::OperatorSettings;
use crate::production;
use crate::scheduler;
use crate::settings::tests::EXAMPLE;
use crate::settings::{NextStoreSettings, Peer, Settings};
use crate::worker::tests::spec;

mod checker;
mod controllers;
mod machines;
mod messages;
mod state_service;
mod users;

use machines::{Machine, is_spot, machine_id, zone_of};
use messages::Message;
use state_service::{Outcome, StateService, decode_as_production};

const STEP: Duration = Duration::from_millis(100);
const MACHINES: usize = 8;
const CONTROLLERS: usize = 4;
const LEASE_STEPS: u64 = 60;
/// Steps within which the tasks of a cancelled job must end: the bound of the example settings,
/// less an allowance for the skew of the workers' clocks.
const CANCEL_STEPS: u64 = 400;
/// CPU limit of the team; each task uses one CPU.
const TEAM_CPU_LIMIT: f64 = 14.0;
/// Tasks of the large job: more than there is ever room for.
const LARGE_JOB_TASKS: u32 = 150;

/// A defect that is injected to verify that the checker finds it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Defect {
    None,
    /// Workers accept commands and responses with outdated fencing tokens.
    IgnoredTokens,
    /// The controllers are configured with a higher team limit.
    RaisedTeamLimit,
    /// Workers report failed tasks as done.
    FailuresReportedDone,
    /// Workers ignore stop commands.
    IgnoredStops,
    /// The records say that the spot machines are on-demand ones.
    SpotRecordedAsOnDemand,
    /// Records omit the dependencies of a job.
    OmittedDependencies,
    /// Controllers do not know the lower limits before they apply.
    UnknownLowerLimits,
}

/// The lower limits, in KiB of a value and in operations of a transaction.
const LOWERED_VALUE_KB: f64 = 0.45;
const LOWERED_TXN_OPS: usize = 4;
/// Number of the initial jobs; later jobs depend on others.
const INITIAL_JOBS: usize = 9;
/// Tasks of every job except the large one.
const TASKS_PER_JOB: u32 = 3;

struct Simulation {
    rng: StdRng,
    start: Instant,
    step: u64,
    state_service: StateService,
    controllers: Vec<Arc<Controller>>,
    /// Whether each controller runs the version in production.
    runs_old_version: Vec<bool>,
    /// The step at which the lower limits apply.
    limits_lowered_at: Option<u64>,
    /// The dependencies that users gave for each job.
    dependencies: HashMap<String, Vec<String>>,
    submitted_at: HashMap<String, u64>,
    next_job: usize,
    /// Number of log entries that each controller has applied.
    applied_len: Vec<usize>,
    /// The step until which each controller is paused.
    paused_until: Vec<u64>,
    /// No more faults are injected.
    faults_ended: bool,
    machines: Vec<Machine>,
    in_flight: Vec<(u64, Message)>,
    /// Requests in flight: the token by controller and machine.
    pending_requests: BTreeMap<(usize, usize), u64>,
    defect: Defect,
    /// The step at which each cancellation was committed.
    cancelled_at: HashMap<String, u64>,
    violations: HashSet<&'static str>,
    done_tasks: HashSet<String>,
    tasks_started: u64,
}

impl Simulation {
    fn new(seed: u64, defect: Defect) -> Self {
        let controllers: Vec<Arc<Controller>> =
            (0..CONTROLLERS).map(|n| Self::new_controller(n, n as u64 + 1, defect, true)).collect();
        let machine = || Machine {
            up: true,
            incarnation: 1,
            sequence: 0,
            token: 0,
            renewed_at: 0,
            tasks: BTreeMap::new(),
            deaf_until: 0,
            failing_until: 0,
        };
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            step: 0,
            state_service: StateService::default(),
            applied_len: vec![0; controllers.len()],
            paused_until: vec![0; controllers.len()],
            faults_ended: false,
            controllers,
            runs_old_version: vec![true; CONTROLLERS],
            limits_lowered_at: None,
            dependencies: HashMap::new(),
            submitted_at: HashMap::new(),
            next_job: INITIAL_JOBS,
            machines: (0..MACHINES).map(|_| machine()).collect(),
            in_flight: Vec::new(),
            pending_requests: BTreeMap::new(),
            defect,
            cancelled_at: HashMap::new(),
            violations: HashSet::new(),
            done_tasks: HashSet::new(),
            tasks_started: 0,
        };
        let machine_type = crate::worker::tests::machine_type(4.0, 64.0, &["z", "y"]);
        let mut writes = vec![
            KeyWrite::new(key::TYPES.into(), &MachineTypesRecord { types: vec![machine_type] }),
            KeyWrite::new(key::LEADER.into(), &simulation.controllers[0].identity),
        ];
        for m in 0..MACHINES {
            let record = MachineRecord {
                addr: machine_id(m),
                machine_type: "m".into(),
                zone: zone_of(&machine_id(m)).into(),
                spot: is_spot(&machine_id(m)) && defect != Defect::SpotRecordedAsOnDemand,
                release: false,
            };
            writes.push(KeyWrite::new(key::machine(&machine_id(m)), &record));
        }
        for n in 0..INITIAL_JOBS {
            let s = Self::job(n);
            writes.push(KeyWrite::new(key::job(&s.id), &JobRecord::new(s.clone(), None, 0)));
        }
        assert!(simulation.state_service.txn(&[], writes) == Outcome::Committed);
        simulation.publish_random_map();
        simulation
    }

    fn now(&self) -> Instant {
        self.start + STEP * self.step as u32
    }

    fn run(mut self, steps: u64, check_progress: bool) -> (HashSet<&'static str>, u64, u64) {
        for _ in 0..steps {
            self.step += 1;
            self.deliver_due();
            for n in 0..self.controllers.len() {
                self.step_controller(n);
            }
            for m in 0..MACHINES {
                self.step_worker(m);
            }
            if self.rng.random_bool(0.01) {
                self.publish_random_map();
            }
            if self.rng.random_bool(0.004) {
                self.restart_random_controller();
                self.publish_random_map();
            }
            if self.rng.random_bool(0.005) {
                self.cancel_random_job();
            }
            if self.rng.random_bool(0.004) {
                let n = self.rng.random_range(0..CONTROLLERS);
                self.paused_until[n] = self.step + self.rng.random_range(10..400);
            }
            self.check_cancelled();
            if self.step > 150 && self.rng.random_bool(0.02) {
                self.upgrade_next_controller();
            }
            if self.limits_lowered_at.is_some_and(|at| self.step >= at) {
                self.state_service.limits_lowered = true;
            }
            if self.limits_lowered_at.is_some() && self.submitted_at.len() < 60 && self.rng.random_bool(0.06)
            {
                self.submit_random_job();
            }
            if self.step.is_multiple_of(100) {
                self.check_orphaned();
            }
            if self.step.is_multiple_of(400) {
                // The leader releases machines, several in one change: they are listed as removed
                // first, and their records go later.
                let mut gone = Vec::new();
                for _ in 0..self.rng.random_range(1..3) {
                    let m = self.rng.random_range(1..MACHINES);
                    if self.machines.iter().filter(|m| m.up).count() > 4 {
                        self.machines[m].up = false;
                        gone.push(machine_id(m).as_str().into());
                    }
                }
                let fleet = FleetRecord { scale_outs: Vec::new(), removed_machines: Some(gone) };
                let write = KeyWrite::new(key::FLEET.into(), &fleet);
                assert!(self.state_service.txn(&[], vec![write]) == Outcome::Committed);
            }
        }
        if check_progress {
            self.check_served();
        }
        self.check_records();
        let jobs_begun = self
            .dependencies
            .keys()
            .filter(|id| self.done_tasks.iter().any(|t| t.starts_with(&format!("{id}/"))));
        let jobs_begun = jobs_begun.count() as u64;
        (self.violations, self.tasks_started, jobs_begun)
    }
}

const STEPS: u64 = 1800;
const PROGRESS_STEPS: u64 = 1200;

#[test]
fn all_guarantees_hold_under_random_faults() {
    let mut jobs_with_progress = 0;
    for seed in 0..30 {
        let (violations, tasks_started, jobs_begun) =
            Simulation::new(seed, Defect::None).run(STEPS, seed % 4 == 0);
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
        assert!(tasks_started > 60, "seed {seed}: only {tasks_started} starts");
        jobs_with_progress += jobs_begun;
    }
    assert!(jobs_with_progress > 60, "only {jobs_with_progress} jobs with dependencies had a task done");
}

/// The checker finds each injected defect by the rule that it violates.
#[test]
fn checker_finds_each_injected_defect() {
    let cases = [
        (Defect::IgnoredTokens, "ran_twice"),
        (Defect::RaisedTeamLimit, "quota"),
        (Defect::FailuresReportedDone, "not_done"),
        (Defect::IgnoredStops, "ran_cancelled"),
        (Defect::SpotRecordedAsOnDemand, "wrong_place"),
        (Defect::OmittedDependencies, "too_early"),
        (Defect::OmittedDependencies, "orphaned"),
        (Defect::UnknownLowerLimits, "refused"),
    ];
    for (defect, rule) in cases {
        let found = (0..30).any(|seed| Simulation::new(seed, defect).run(STEPS, false).0.contains(rule));
        assert!(found, "{rule}");
    }
}
