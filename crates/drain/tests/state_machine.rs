//! Property test of random interleavings: two leaders that drain machines, a rescheduler,
//! schedulers with stale replicas of the records, and machines that fail. The records and decisions
//! are those of the product; the checks are made on the tasks that run on the machines.
//!
//! `SAGELOOM_PROPTEST_CASES` sets the number of cases, to run more than CI does.

#[path = "unit/test_records.rs"]
mod test_records;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use drain::budget::{Budgets, Ledger, TeamBudget, UnitId};
use drain::step::{self, Decision, Drain, FindCapacity, Limits, Move};
use drain::view::{self, AssumeRunning, ObservedTasks, RunningTaskLookup};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use sched::drain_records::{CordonFence, CordonRecord, Disruption, DisruptionCause, DisruptionRecord};
use sched::placement;
use sched::records::{Assignment, DesiredState, JobRecord, Name, TerminationReason};
use sched::replica::{RecordChange, Replica};
use wire::JobKind;

const MACHINES: [(&str, &str); 6] =
    [("m-0", "a"), ("m-1", "a"), ("m-2", "a"), ("m-3", "a"), ("m-4", "a"), ("m-5", "a")];
const SERVICES: [(&str, u32); 3] = [("j-0", 3), ("j-1", 2), ("j-2", 2)];
const TEAM: &str = "t";
const TEAM_BUDGET: u32 = 2;
const LEADERS: usize = 2;

/// A safety mechanism that a run leaves out, to show that the checks fail without it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// A stop is conditional on the team's disruption record.
    TeamCondition,
    /// A stop is conditional on the job's record.
    JobCondition,
    /// A disruption is closed only once the replacement is observed to run.
    CloseByObservation,
    /// Open disruptions count against the budgets.
    OpenDisruptions,
    /// Drains count a replica as up only if it is observed to run.
    ObservedTasks,
    /// Placements are conditional on the cordon fence.
    CordonFence,
}

const ALL: [Without; 7] = [
    Without::Nothing,
    Without::TeamCondition,
    Without::JobCondition,
    Without::CloseByObservation,
    Without::OpenDisruptions,
    Without::ObservedTasks,
    Without::CordonFence,
];

#[derive(Debug, Clone)]
enum Op {
    /// A leader reads the records and observes the running tasks.
    Read(usize),
    /// A leader reads the same and decides on a step of its drains.
    DecideStep(usize),
    /// A leader commits its decided stops, each if its conditions still hold.
    Commit(usize),
    /// A leader closes the disruptions whose replacements run.
    CloseDisruptions(usize),
    /// A leader decides on an eviction from a service, as the rescheduler does.
    Evict(usize, usize),
    /// A leader restarts without any state.
    Restart(usize),
    /// The scheduler of a leader chooses machines for pending tasks.
    DecidePlacements(usize),
    /// A leader commits its decided placements, each if its conditions still hold.
    CommitPlacements(usize),
    /// A machine starts and stops tasks as the records demand.
    Reconcile(usize),
    ReconcileAll,
    /// The tasks that a machine has started become ready.
    BecomeReady(usize),
    BecomeReadyAll,
    /// A machine loses all its tasks.
    Fail(usize),
    /// An operator starts to drain a machine.
    Cordon(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let (leader, machine, service) = (0..LEADERS, 0..MACHINES.len(), 0..SERVICES.len());
    prop_oneof![
        3 => leader.clone().prop_map(Op::Read),
        6 => leader.clone().prop_map(Op::DecideStep),
        6 => leader.clone().prop_map(Op::Commit),
        5 => leader.clone().prop_map(Op::CloseDisruptions),
        2 => (leader.clone(), service).prop_map(|(l, s)| Op::Evict(l, s)),
        1 => leader.clone().prop_map(Op::Restart),
        5 => leader.clone().prop_map(Op::DecidePlacements),
        5 => leader.prop_map(Op::CommitPlacements),
        2 => machine.clone().prop_map(Op::Reconcile),
        4 => Just(Op::ReconcileAll),
        2 => machine.clone().prop_map(Op::BecomeReady),
        4 => Just(Op::BecomeReadyAll),
        1 => machine.clone().prop_map(Op::Fail),
        1 => machine.prop_map(Op::Cordon),
    ]
}

/// The operations. They are drawn independently of the state; the records are the system under
/// test.
struct Operations<const WITHOUT: usize>;

impl<const WITHOUT: usize> ReferenceStateMachine for Operations<WITHOUT> {
    type State = Without;
    type Transition = Op;

    fn init_state() -> BoxedStrategy<Without> {
        Just(ALL[WITHOUT]).boxed()
    }

    fn transitions(_: &Without) -> BoxedStrategy<Op> {
        op().boxed()
    }

    fn apply(state: Without, _: &Op) -> Without {
        state
    }
}

/// Always finds capacity, so that only the budgets limit a drain.
struct UnlimitedCapacity;

impl FindCapacity for UnlimitedCapacity {
    fn find(&mut self, _: &UnitId) -> Option<Vec<Name>> {
        Some(Vec::new())
    }
}

/// A stop that a leader has decided on and not committed yet: the changed records, and the versions
/// of those that it was decided from.
struct Stop {
    unit: UnitId,
    cause: DisruptionCause,
    job: Box<JobRecord>,
    job_version: u64,
    team_version: u64,
    open: Vec<Disruption>,
}

struct Placement {
    job: Box<JobRecord>,
    id: String,
    job_version: u64,
    fence: u64,
}

#[derive(Default)]
struct Leader {
    replica: Replica,
    /// The number of committed changes that its replica contains.
    changes_read: usize,
    observed: ObservedTasks,
    stops: Vec<Stop>,
    placements: Vec<Placement>,
}

/// The tasks on a machine: the attempt of each, and whether it is ready.
type Tasks = BTreeMap<(String, u32), (u64, bool)>;

struct Site {
    without: Without,
    budgets: Budgets,
    /// The committed records.
    store: Replica,
    /// All committed changes with their versions.
    log: Vec<(RecordChange, u64)>,
    version: u64,
    leaders: Vec<Leader>,
    machines: Vec<Tasks>,
    /// The tasks that were stopped voluntarily and have not run since, with the stopped attempt.
    down_voluntarily: BTreeMap<(String, u32), u64>,
}

impl Site {
    fn new(without: Without) -> Self {
        let teams = [(TEAM.to_owned(), TeamBudget::Count(TEAM_BUDGET))].into();
        let mut site = Self {
            without,
            budgets: Budgets { per_service: 1, teams },
            store: Replica::default(),
            log: Vec::new(),
            version: 1,
            leaders: (0..LEADERS).map(|_| Leader::default()).collect(),
            machines: vec![Tasks::new(); MACHINES.len()],
            down_voluntarily: BTreeMap::new(),
        };
        site.change(RecordChange::Types(Some(test_records::types())));
        for (id, zone) in MACHINES {
            site.change(RecordChange::Machine(id.into(), Some(test_records::machine(zone))));
        }
        let live = vec![sched::records::Member { name: "n".into(), zone: "a".into(), incarnation: 1 }];
        site.change(RecordChange::Map(Some(sched::records::ClusterMap { epoch: 1, live })));
        let mut next = 0;
        for (id, replicas) in SERVICES {
            let mut job = JobRecord::new(test_records::spec(id, JobKind::Service, replicas), None, 0);
            // The second attempt, as if a replica had ended before: the service does not count as
            // starting for the first time.
            job.attempt = 2;
            for task in 0..replicas {
                let machine = next % MACHINES.len();
                next += 1;
                site.machines[machine].insert((id.to_owned(), task), (2, true));
                let machine = MACHINES[machine].0.into();
                job.assignments.push(Assignment {
                    task,
                    attempt: 2,
                    machine,
                    desired: DesiredState::Running,
                });
            }
            site.change(RecordChange::Job(id.into(), Some(Box::new(job))));
        }
        site
    }

    fn change(&mut self, change: RecordChange) {
        self.version += 1;
        self.store.apply(change.clone(), self.version);
        self.log.push((change, self.version));
    }

    fn read(&mut self, leader_index: usize) {
        let mut observed = ObservedTasks::default();
        for ((job, task), (attempt, is_ready)) in self.machines.iter().flatten() {
            if *is_ready {
                observed.note(job, *task, *attempt);
            }
        }
        let leader = &mut self.leaders[leader_index];
        for (change, version) in &self.log[leader.changes_read..] {
            leader.replica.apply(change.clone(), *version);
        }
        leader.changes_read = self.log.len();
        leader.observed = observed;
    }

    fn ledger<'a>(
        &'a self,
        replica: &Replica,
        jobs: &[(&String, &JobRecord)],
        running: &impl RunningTaskLookup,
    ) -> Ledger<'a> {
        if self.without == Without::OpenDisruptions {
            let health = jobs.iter().filter_map(|(id, job)| view::service_health(id, job, running));
            return Ledger::new(&self.budgets, health, [], 99);
        }
        view::ledger(replica, jobs, &self.budgets, running, str::to_owned, 99)
    }

    fn decide(&mut self, leader_index: usize) {
        let leader = &self.leaders[leader_index];
        let drains = view::active_drains(&leader.replica, &self.budgets, &view::Orders::default());
        let jobs = view::affected_services(&leader.replica, &drains, &self.budgets);
        let limits = Limits {
            moves: 9,
            capacity_attempt_timeout: Duration::from_secs(60),
            paused: None,
            now_ms: 2000,
        };
        let mut ledger = match self.without {
            Without::ObservedTasks => self.ledger(&leader.replica, &jobs, &AssumeRunning),
            _ => self.ledger(&leader.replica, &jobs, &leader.observed),
        };
        let Decision { moves, .. } = step::decide(&drains, &mut ledger, &mut UnlimitedCapacity, &limits);
        let replica = &leader.replica;
        let stops = moves.iter().filter_map(|m: &Move| {
            let drain = DisruptionCause::Drain(m.drain.clone());
            stop(replica, &m.unit.id, drain)
        });
        let stops = stops.collect();
        self.leaders[leader_index].stops = stops;
    }

    /// Decides on an eviction as the rescheduler does: by the records alone, and only from services
    /// whose replicas are all assigned.
    fn evict(&mut self, leader_index: usize, service: usize) {
        let (id, replicas) = SERVICES[service];
        let leader = &self.leaders[leader_index];
        let Some((id, job)) = leader.replica.open_jobs().find(|(job, _)| *job == id) else { return };
        if job.assignments.len() < replicas as usize || job.assignments.iter().any(|a| !job.should_run(a)) {
            return;
        }
        let jobs: Vec<_> = leader.replica.open_jobs().collect();
        let unit = UnitId { job: id.as_str().into(), task: 0 };
        let ledger = self.ledger(&leader.replica, &jobs, &AssumeRunning);
        if ledger.check(TEAM, &unit).is_ok() {
            let stop = stop(&leader.replica, &unit, DisruptionCause::Rescheduler);
            self.leaders[leader_index].stops.extend(stop);
        }
    }

    fn commit(&mut self, leader_index: usize) {
        for decided in std::mem::take(&mut self.leaders[leader_index].stops) {
            let id = decided.unit.job.to_string();
            let version = self.store.jobs.get(&id).map_or(0, |j| j.version);
            let team = self.store.drains.disruptions.get(TEAM).map_or(0, |d| d.version);
            let job_changed = version != decided.job_version && self.without != Without::JobCondition;
            let team_changed = team != decided.team_version && self.without != Without::TeamCondition;
            if job_changed || team_changed {
                continue;
            }
            if decided.cause != DisruptionCause::Rescheduler {
                self.check_stop(&decided);
            }
            let attempt = decided.open.last().map_or(0, |d| d.attempt);
            self.down_voluntarily.insert((id.clone(), decided.unit.task), attempt);
            self.change(RecordChange::Job(id, Some(decided.job)));
            let open = decided.open;
            self.change(RecordChange::Disruptions(TEAM.into(), Some(DisruptionRecord { open })));
        }
    }

    /// Checks that a drain stops a replica only while all others of its service run.
    fn check_stop(&self, decided: &Stop) {
        let id = decided.unit.job.to_string();
        let replicas = SERVICES.iter().find(|(job, _)| *job == id).map_or(0, |s| s.1);
        let runs = |t: u32| self.machines.iter().any(|m| m.get(&(id.clone(), t)).is_some_and(|t| t.1));
        let others_down = (0..replicas).filter(|t| *t != decided.unit.task && !runs(*t)).count();
        assert_eq!(others_down, 0, "{id}/{} is stopped while others are down", decided.unit.task);
    }

    fn close_disruptions(&mut self, leader_index: usize) {
        let leader = &self.leaders[leader_index];
        let Some(known) = leader.replica.drains.disruptions.get(TEAM) else { return };
        let version = self.store.drains.disruptions.get(TEAM).map_or(0, |d| d.version);
        if version != known.version && self.without != Without::TeamCondition {
            return;
        }
        let is_resolved = |d: &Disruption| match self.without {
            Without::CloseByObservation => view::is_resolved(&leader.replica, d, &AssumeRunning),
            _ => view::is_resolved(&leader.replica, d, &leader.observed),
        };
        let open: Vec<Disruption> = known.value.open.iter().filter(|d| !is_resolved(d)).cloned().collect();
        if open.len() < known.value.open.len() {
            self.change(RecordChange::Disruptions(TEAM.into(), Some(DisruptionRecord { open })));
        }
    }

    fn decide_placements(&mut self, leader_index: usize) {
        let replica = &self.leaders[leader_index].replica;
        let mut inventory = placement::Inventory::new(replica, |_| true);
        let limits = placement::Limits {
            max_tasks: 9,
            task_window: 99,
            may_strand_gpus: true,
            gang_wait_s: 0.0,
            now_ms: 2000,
        };
        let mut chosen = Vec::new();
        let by_id: BTreeMap<_, _> = replica.jobs.iter().collect();
        for (id, known) in by_id {
            let mut job = known.value.clone();
            let team = test_records::team(TEAM);
            let placed = placement::place(replica, &mut inventory, &mut job, &team, |_| true, limits);
            if !placed.is_empty() {
                let (job_version, fence) = (known.version, replica.drains.fence_version);
                chosen.push(Placement { job, id: id.clone(), job_version, fence });
            }
        }
        self.leaders[leader_index].placements = chosen;
    }

    fn commit_placements(&mut self, leader_index: usize) {
        for decided in std::mem::take(&mut self.leaders[leader_index].placements) {
            let version = self.store.jobs.get(&decided.id).map_or(0, |j| j.version);
            let is_fenced =
                decided.fence != self.store.drains.fence_version && self.without != Without::CordonFence;
            if version != decided.job_version || is_fenced {
                continue;
            }
            let before: BTreeSet<u32> =
                self.store.jobs[&decided.id].value.assignments.iter().map(|a| a.task).collect();
            for a in decided.job.assignments.iter().filter(|a| !before.contains(&a.task)) {
                let cordoned = self.store.drains.is_cordoned(&a.machine);
                assert!(!cordoned, "{} is placed on a cordoned machine", decided.id);
            }
            self.change(RecordChange::Job(decided.id, Some(decided.job)));
        }
    }

    /// Records the end of an assignment whose task no longer runs.
    fn end(&mut self, id: &str, task: u32, attempt: u64, reason: TerminationReason) {
        let mut job = self.store.jobs[id].value.clone();
        job.end_assignment(task, attempt, reason, 2000, 0);
        if *job != *self.store.jobs[id].value {
            self.change(RecordChange::Job(id.to_owned(), Some(job)));
        }
    }

    fn reconcile(&mut self, machine_index: usize) {
        let wanted: Vec<(String, u32, u64, bool)> = self
            .store
            .assignments(MACHINES[machine_index].0)
            .map(|(id, job, a)| (id.to_owned(), a.task, a.attempt, job.should_run(a)))
            .collect();
        for (id, task, attempt, wants) in wanted {
            if wants {
                self.machines[machine_index].entry((id, task)).or_insert((attempt, false));
            } else {
                self.machines[machine_index].remove(&(id.clone(), task));
                self.end(&id, task, attempt, TerminationReason::Stopped);
            }
        }
    }

    fn become_ready(&mut self, machine_index: usize) {
        for ((id, task), (attempt, is_ready)) in &mut self.machines[machine_index] {
            *is_ready = true;
            let key = (id.clone(), *task);
            if self.down_voluntarily.get(&key).is_some_and(|stopped| *attempt > *stopped) {
                self.down_voluntarily.remove(&key);
            }
        }
    }

    fn fail(&mut self, machine_index: usize) {
        self.machines[machine_index].clear();
        let lost: Vec<(String, u32, u64)> = self
            .store
            .assignments(MACHINES[machine_index].0)
            .map(|(id, _, a)| (id.to_owned(), a.task, a.attempt))
            .collect();
        for (id, task, attempt) in lost {
            self.end(&id, task, attempt, TerminationReason::Lost);
        }
    }

    fn start_drain(&mut self, machine_index: usize) {
        let (machine, _) = MACHINES[machine_index];
        let cordoned = self.store.drains.cordons.len();
        // At most half of the machines are drained.
        if self.store.drains.is_cordoned(machine) || cordoned >= MACHINES.len() / 2 {
            return;
        }
        let name = format!("d-{}", cordoned % 2);
        let id = (name.clone(), cordoned as u32);
        self.change(RecordChange::Cordon(id, Some(CordonRecord::new(vec![machine.into()]))));
        self.change(RecordChange::CordonFence(Some(CordonFence { generation: self.version })));
        if !self.store.drains.records.contains_key(&name) {
            self.change(RecordChange::Drain(name, Some(test_records::drain_record(1))));
        }
    }

    /// Checks that the tasks that are down voluntarily exceed no budget of a service or the team.
    fn check_budgets(&self) {
        for (id, _) in SERVICES {
            let down = self.down_voluntarily.keys().filter(|(job, _)| job == id).count();
            assert!(down <= self.budgets.per_service as usize, "{down} of {id} are down voluntarily");
        }
        let down = self.down_voluntarily.len();
        assert!(down <= TEAM_BUDGET as usize, "{down} of the team are down voluntarily");
    }
}

/// The stop of a unit as a leader with this replica would commit it.
fn stop(replica: &Replica, unit: &UnitId, cause: DisruptionCause) -> Option<Stop> {
    let known = replica.jobs.get(&*unit.job)?;
    let mut job = known.value.clone();
    let attempt = view::attempt_of(&job, unit)?;
    sched::spot_notice::mark_to_stop(&mut job, unit.task);
    let mut open = replica.drains.open_disruptions(TEAM).to_vec();
    let disruption =
        Disruption { job: unit.job.clone(), task: unit.task, attempt, cause: cause.clone(), since_ms: 0 };
    open.push(disruption);
    let team_version = replica.drains.disruptions.get(TEAM).map_or(0, |d| d.version);
    Some(Stop { unit: unit.clone(), cause, job, job_version: known.version, team_version, open })
}

impl<const WITHOUT: usize> StateMachineTest for Operations<WITHOUT> {
    type SystemUnderTest = Site;
    type Reference = Self;

    fn init_test(without: &Without) -> Site {
        Site::new(*without)
    }

    fn apply(mut site: Site, _: &Without, op: Op) -> Site {
        match op {
            Op::Read(n) => site.read(n),
            Op::DecideStep(n) => {
                site.read(n);
                site.decide(n);
            }
            Op::Commit(n) => site.commit(n),
            Op::CloseDisruptions(n) => site.close_disruptions(n),
            Op::Evict(n, service) => site.evict(n, service),
            Op::Restart(n) => site.leaders[n] = Leader::default(),
            Op::DecidePlacements(n) => site.decide_placements(n),
            Op::CommitPlacements(n) => site.commit_placements(n),
            Op::Reconcile(m) => site.reconcile(m),
            Op::ReconcileAll => (0..MACHINES.len()).for_each(|m| site.reconcile(m)),
            Op::BecomeReady(m) => site.become_ready(m),
            Op::BecomeReadyAll => (0..MACHINES.len()).for_each(|m| site.become_ready(m)),
            Op::Fail(m) => site.fail(m),
            Op::Cordon(m) => site.start_drain(m),
        }
        site
    }

    fn check_invariants(site: &Site, _: &Without) {
        site.check_budgets();
    }
}

/// The number of cases that CI runs with all mechanisms, and the most within which the lack of a
/// mechanism must show.
const CASES: u32 = 300;
const MAX_CASES_UNTIL_FAILURE: u32 = 3000;
const STEPS: std::ops::Range<usize> = 40..240;

fn config(cases: u32) -> Config {
    let cases = std::env::var("SAGELOOM_PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(cases);
    Config { cases, rng_seed: RngSeed::Fixed(26), failure_persistence: None, ..Config::default() }
}

fn run_cases<const WITHOUT: usize>(config: Config) -> Result<(), String> {
    let mut runner = TestRunner::new(config.clone());
    let strategy = Operations::<WITHOUT>::sequential_strategy(STEPS);
    let test = |(state, ops, seen): (Without, Vec<Op>, Option<Arc<_>>)| {
        Operations::<WITHOUT>::test_sequential(config.clone(), state, ops, seen);
        Ok(())
    };
    runner.run(&strategy, test).map_err(|e| e.to_string())
}

#[test]
fn budgets_and_cordons_hold_in_all_interleavings() {
    run_cases::<0>(config(CASES)).expect("no budget is exceeded");
}

/// Guards against cases in which the drains stop nothing, where no budget could be exceeded.
#[test]
fn drains_move_replicas_in_the_generated_cases() {
    let changes = std::cell::Cell::new(0);
    let config = config(CASES);
    let strategy = Operations::<0>::sequential_strategy(STEPS);
    let test = |(state, ops, _): (Without, Vec<Op>, Option<Arc<_>>)| {
        let site = ops
            .into_iter()
            .fold(Site::new(state), |site, op| <Operations<0> as StateMachineTest>::apply(site, &state, op));
        let in_case = site.log.iter().filter(|(c, _)| matches!(c, RecordChange::Disruptions(..))).count();
        changes.set(changes.get() + in_case);
        Ok(())
    };
    TestRunner::new(config).run(&strategy, test).expect("nothing fails");
    println!("{} changes of disruption records", changes.get());
    assert!(changes.get() > CASES as usize, "{} changes of disruption records", changes.get());
}

fn assert_needed<const WITHOUT: usize>(expected_message: &str) {
    let result = run_cases::<WITHOUT>(config(MAX_CASES_UNTIL_FAILURE));
    let failure = result.expect_err(&format!("{:?} is not needed", ALL[WITHOUT]));
    assert!(failure.contains(expected_message), "{:?}: {failure}", ALL[WITHOUT]);
}

#[test]
fn each_mechanism_is_needed() {
    assert_needed::<1>("down voluntarily");
    assert_needed::<2>("down");
    assert_needed::<3>("down voluntarily");
    assert_needed::<4>("down voluntarily");
    assert_needed::<5>("while others are down");
    assert_needed::<6>("on a cordoned machine");
}

/// Drains that share a budget do not block each other.
#[test]
fn a_step_uses_the_whole_free_budget_of_a_team() {
    let mut site = Site::new(Without::Nothing);
    for m in 0..3 {
        site.start_drain(m);
    }
    site.read(0);
    let drains: Vec<Drain> =
        view::active_drains(&site.leaders[0].replica, &site.budgets, &view::Orders::default());
    assert_eq!(drains.len(), 2);
    site.decide(0);
    assert_eq!(site.leaders[0].stops.len(), TEAM_BUDGET as usize, "one replica of each of two services");
}
