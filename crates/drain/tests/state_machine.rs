//! Random interleavings of two leaders that drain, a rescheduler, placers with old views and
//! machines that fail, on the records and decisions of the product itself. What is checked is
//! what runs on the machines.
//!
//! `SAGELOOM_PROPTEST_CASES` plays more cases than CI does.

#[path = "unit/test_records.rs"]
mod test_records;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use drain::budget::{Budgets, Ledger, TeamBudget, UnitId};
use drain::step::{self, Decision, Drain, FindRoom, Limits, Move};
use drain::view::{self, ByRecords, ObservedTasks, Running};
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

/// A mechanism that is taken away, to see that it is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// A stop is conditional on the team's record of what is down by choice.
    TeamCondition,
    /// And on the job's record.
    JobCondition,
    /// An entry goes only once the replacement is seen running.
    SettleByRunning,
    /// What is down by choice counts.
    OpenEntries,
    /// Drains go by what is seen running.
    ObserveRunning,
    /// Placements are conditional on the cordons.
    Fence,
}

const ALL: [Without; 7] = [
    Without::Nothing,
    Without::TeamCondition,
    Without::JobCondition,
    Without::SettleByRunning,
    Without::OpenEntries,
    Without::ObserveRunning,
    Without::Fence,
];

#[derive(Debug, Clone)]
enum Op {
    /// A leader reads the records and hears what runs.
    Read(usize),
    /// It does so and decides a step of its drains.
    Look(usize),
    /// What it has decided is committed, if it still may be.
    Commit(usize),
    /// It takes off what runs again.
    Settle(usize),
    /// It evicts a replica, as the rescheduler would.
    Evict(usize, usize),
    /// It forgets all, and so does its successor.
    Restart(usize),
    /// A placer with this leader's view chooses machines for what waits.
    Choose(usize),
    /// What it has chosen is committed, if it still may be.
    Place(usize),
    /// A machine does what the records want.
    Run(usize),
    RunAll,
    /// What starts on a machine runs.
    Up(usize),
    UpAll,
    /// A machine loses all that is on it.
    Fail(usize),
    /// A machine is drained.
    Cordon(usize),
}

fn op() -> impl Strategy<Value = Op> {
    let (leader, machine, service) = (0..LEADERS, 0..MACHINES.len(), 0..SERVICES.len());
    prop_oneof![
        3 => leader.clone().prop_map(Op::Read),
        6 => leader.clone().prop_map(Op::Look),
        6 => leader.clone().prop_map(Op::Commit),
        5 => leader.clone().prop_map(Op::Settle),
        2 => (leader.clone(), service).prop_map(|(l, s)| Op::Evict(l, s)),
        1 => leader.clone().prop_map(Op::Restart),
        5 => leader.clone().prop_map(Op::Choose),
        5 => leader.prop_map(Op::Place),
        2 => machine.clone().prop_map(Op::Run),
        4 => Just(Op::RunAll),
        2 => machine.clone().prop_map(Op::Up),
        4 => Just(Op::UpAll),
        1 => machine.clone().prop_map(Op::Fail),
        1 => machine.prop_map(Op::Cordon),
    ]
}

/// What is drawn does not depend on what came before: the records are the system under test.
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

/// There is always room: what bounds a drain here are its budgets.
struct Everywhere;

impl FindRoom for Everywhere {
    fn find(&mut self, _: &UnitId) -> Option<Vec<Name>> {
        Some(Vec::new())
    }
}

/// What a leader has decided and not committed yet: the change of one job, and the versions
/// that it was decided by.
struct Stop {
    unit: UnitId,
    by: DisruptionCause,
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
    world: Replica,
    seen: usize,
    observed: ObservedTasks,
    stops: Vec<Stop>,
    placements: Vec<Placement>,
}

/// The attempts that are on a machine, and whether each runs yet.
type Tasks = BTreeMap<(String, u32), (u64, bool)>;

struct Site {
    without: Without,
    budgets: Budgets,
    /// The records, and how they came about.
    store: Replica,
    log: Vec<(RecordChange, u64)>,
    version: u64,
    leaders: Vec<Leader>,
    machines: Vec<Tasks>,
    /// What was stopped by choice and has not run since, with the attempt.
    down_by_choice: BTreeMap<(String, u32), u64>,
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
            down_by_choice: BTreeMap::new(),
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
            // Some replica has ended before: the service does not start for the first time.
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

    fn read(&mut self, n: usize) {
        let mut observed = ObservedTasks::default();
        for ((job, task), (attempt, runs)) in self.machines.iter().flatten() {
            if *runs {
                observed.note(job, *task, *attempt);
            }
        }
        let leader = &mut self.leaders[n];
        for (change, version) in &self.log[leader.seen..] {
            leader.world.apply(change.clone(), *version);
        }
        leader.seen = self.log.len();
        leader.observed = observed;
    }

    fn ledger<'a>(
        &'a self,
        world: &Replica,
        jobs: &[(&String, &JobRecord)],
        running: &impl Running,
    ) -> Ledger<'a> {
        if self.without == Without::OpenEntries {
            let health = jobs.iter().filter_map(|(id, job)| view::health(id, job, running));
            return Ledger::new(&self.budgets, health, [], 99);
        }
        view::ledger(world, jobs, &self.budgets, running, str::to_owned, 99)
    }

    fn decide(&mut self, n: usize) {
        let leader = &self.leaders[n];
        let drains = view::active_drains(&leader.world, &self.budgets, &view::Orders::default());
        let jobs = view::services_concerned(&leader.world, &drains, &self.budgets);
        let limits = Limits { moves: 9, room_attempt: Duration::from_secs(60), paused: None, now_ms: 2000 };
        let mut ledger = match self.without {
            Without::ObserveRunning => self.ledger(&leader.world, &jobs, &ByRecords),
            _ => self.ledger(&leader.world, &jobs, &leader.observed),
        };
        let Decision { moves, .. } = step::decide(&drains, &mut ledger, &mut Everywhere, &limits);
        let world = &leader.world;
        let stops = moves.iter().filter_map(|m: &Move| {
            let by = DisruptionCause::Drain(m.drain.clone());
            stop(world, &m.unit.id, by)
        });
        let stops = stops.collect();
        self.leaders[n].stops = stops;
    }

    /// As the rescheduler: only of services whose replicas all have a place, by the records.
    fn evict(&mut self, n: usize, service: usize) {
        let (id, replicas) = SERVICES[service];
        let leader = &self.leaders[n];
        let Some((id, job)) = leader.world.open_jobs().find(|(job, _)| *job == id) else { return };
        if job.assignments.len() < replicas as usize || job.assignments.iter().any(|a| !job.should_run(a)) {
            return;
        }
        let jobs: Vec<_> = leader.world.open_jobs().collect();
        let unit = UnitId { job: id.as_str().into(), task: 0 };
        let ledger = self.ledger(&leader.world, &jobs, &ByRecords);
        if ledger.check(TEAM, &unit).is_ok() {
            let stop = stop(&leader.world, &unit, DisruptionCause::Rescheduler);
            self.leaders[n].stops.extend(stop);
        }
    }

    fn commit(&mut self, n: usize) {
        for s in std::mem::take(&mut self.leaders[n].stops) {
            let id = s.unit.job.to_string();
            let version = self.store.jobs.get(&id).map_or(0, |j| j.version);
            let team = self.store.drains.disruptions.get(TEAM).map_or(0, |d| d.version);
            let job_is_old = version != s.job_version && self.without != Without::JobCondition;
            let team_is_old = team != s.team_version && self.without != Without::TeamCondition;
            if job_is_old || team_is_old {
                continue;
            }
            if s.by != DisruptionCause::Rescheduler {
                self.check_stop(&s);
            }
            let attempt = s.open.last().map_or(0, |d| d.attempt);
            self.down_by_choice.insert((id.clone(), s.unit.task), attempt);
            self.change(RecordChange::Job(id, Some(s.job)));
            let open = s.open;
            self.change(RecordChange::Disruptions(TEAM.into(), Some(DisruptionRecord { open })));
        }
    }

    /// Nothing is stopped by a drain on top of what is down for whatever reason.
    fn check_stop(&self, s: &Stop) {
        let id = s.unit.job.to_string();
        let replicas = SERVICES.iter().find(|(job, _)| *job == id).map_or(0, |s| s.1);
        let runs = |t: u32| self.machines.iter().any(|m| m.get(&(id.clone(), t)).is_some_and(|t| t.1));
        let others_down = (0..replicas).filter(|t| *t != s.unit.task && !runs(*t)).count();
        assert_eq!(others_down, 0, "{id}/{} is stopped while others are down", s.unit.task);
    }

    fn settle(&mut self, n: usize) {
        let leader = &self.leaders[n];
        let Some(known) = leader.world.drains.disruptions.get(TEAM) else { return };
        let version = self.store.drains.disruptions.get(TEAM).map_or(0, |d| d.version);
        if version != known.version && self.without != Without::TeamCondition {
            return;
        }
        let settled = |d: &Disruption| match self.without {
            Without::SettleByRunning => view::is_settled(&leader.world, d, &ByRecords),
            _ => view::is_settled(&leader.world, d, &leader.observed),
        };
        let open: Vec<Disruption> = known.value.open.iter().filter(|d| !settled(d)).cloned().collect();
        if open.len() < known.value.open.len() {
            self.change(RecordChange::Disruptions(TEAM.into(), Some(DisruptionRecord { open })));
        }
    }

    fn choose(&mut self, n: usize) {
        let world = &self.leaders[n].world;
        let mut inventory = placement::Inventory::new(world, |_| true);
        let limits = placement::Limits {
            max_tasks: 9,
            task_window: 99,
            may_strand_gpus: true,
            gang_wait_s: 0.0,
            now_ms: 2000,
        };
        let mut chosen = Vec::new();
        for (id, known) in &world.jobs {
            let mut job = known.value.clone();
            let team = test_records::team(TEAM);
            let placed = placement::place(world, &mut inventory, &mut job, &team, |_| true, limits);
            if !placed.is_empty() {
                let (job_version, fence) = (known.version, world.drains.fence_version);
                chosen.push(Placement { job, id: id.clone(), job_version, fence });
            }
        }
        self.leaders[n].placements = chosen;
    }

    fn place(&mut self, n: usize) {
        for p in std::mem::take(&mut self.leaders[n].placements) {
            let version = self.store.jobs.get(&p.id).map_or(0, |j| j.version);
            let fenced = p.fence != self.store.drains.fence_version && self.without != Without::Fence;
            if version != p.job_version || fenced {
                continue;
            }
            let before: BTreeSet<u32> =
                self.store.jobs[&p.id].value.assignments.iter().map(|a| a.task).collect();
            for a in p.job.assignments.iter().filter(|a| !before.contains(&a.task)) {
                let cordoned = self.store.drains.is_cordoned(&a.machine);
                assert!(!cordoned, "{} is placed on a cordoned machine", p.id);
            }
            self.change(RecordChange::Job(p.id, Some(p.job)));
        }
    }

    /// Ends an assignment that is proven over.
    fn end(&mut self, id: &str, task: u32, attempt: u64, how: TerminationReason) {
        let mut job = self.store.jobs[id].value.clone();
        job.end_assignment(task, attempt, how, 2000, 0);
        if *job != *self.store.jobs[id].value {
            self.change(RecordChange::Job(id.to_owned(), Some(job)));
        }
    }

    fn run(&mut self, m: usize) {
        let wanted: Vec<(String, u32, u64, bool)> = self
            .store
            .assignments(MACHINES[m].0)
            .map(|(id, job, a)| (id.to_owned(), a.task, a.attempt, job.should_run(a)))
            .collect();
        for (id, task, attempt, wants) in wanted {
            if wants {
                self.machines[m].entry((id, task)).or_insert((attempt, false));
            } else {
                self.machines[m].remove(&(id.clone(), task));
                self.end(&id, task, attempt, TerminationReason::Stopped);
            }
        }
    }

    fn up(&mut self, m: usize) {
        for ((id, task), (attempt, runs)) in &mut self.machines[m] {
            *runs = true;
            let key = (id.clone(), *task);
            if self.down_by_choice.get(&key).is_some_and(|stopped| *attempt > *stopped) {
                self.down_by_choice.remove(&key);
            }
        }
    }

    fn fail(&mut self, m: usize) {
        self.machines[m].clear();
        let lost: Vec<(String, u32, u64)> = self
            .store
            .assignments(MACHINES[m].0)
            .map(|(id, _, a)| (id.to_owned(), a.task, a.attempt))
            .collect();
        for (id, task, attempt) in lost {
            self.end(&id, task, attempt, TerminationReason::Lost);
        }
    }

    fn cordon(&mut self, m: usize) {
        let (machine, _) = MACHINES[m];
        let cordoned = self.store.drains.cordons.len();
        // Half of the machines stay.
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

    /// No more of a service, and of the team, is down by choice than its budget is.
    fn check_budgets(&self) {
        for (id, _) in SERVICES {
            let down = self.down_by_choice.keys().filter(|(job, _)| job == id).count();
            assert!(down <= self.budgets.per_service as usize, "{down} of {id} are down by choice");
        }
        let down = self.down_by_choice.len();
        assert!(down <= TEAM_BUDGET as usize, "{down} of the team are down by choice");
    }
}

/// A stop as a leader with these records would commit it.
fn stop(world: &Replica, unit: &UnitId, by: DisruptionCause) -> Option<Stop> {
    let known = world.jobs.get(&*unit.job)?;
    let mut job = known.value.clone();
    let attempt = view::attempt_of(&job, unit)?;
    sched::spot_notice::mark_to_stop(&mut job, unit.task);
    let mut open = world.drains.open_disruptions(TEAM).to_vec();
    let disruption =
        Disruption { job: unit.job.clone(), task: unit.task, attempt, cause: by.clone(), since_ms: 0 };
    open.push(disruption);
    let team_version = world.drains.disruptions.get(TEAM).map_or(0, |d| d.version);
    Some(Stop { unit: unit.clone(), by, job, job_version: known.version, team_version, open })
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
            Op::Look(n) => {
                site.read(n);
                site.decide(n);
            }
            Op::Commit(n) => site.commit(n),
            Op::Settle(n) => site.settle(n),
            Op::Evict(n, service) => site.evict(n, service),
            Op::Restart(n) => site.leaders[n] = Leader::default(),
            Op::Choose(n) => site.choose(n),
            Op::Place(n) => site.place(n),
            Op::Run(m) => site.run(m),
            Op::RunAll => (0..MACHINES.len()).for_each(|m| site.run(m)),
            Op::Up(m) => site.up(m),
            Op::UpAll => (0..MACHINES.len()).for_each(|m| site.up(m)),
            Op::Fail(m) => site.fail(m),
            Op::Cordon(m) => site.cordon(m),
        }
        site
    }

    fn check_invariants(site: &Site, _: &Without) {
        site.check_budgets();
    }
}

/// Cases that CI plays with nothing taken away, and until a missing mechanism shows.
const CASES: u32 = 300;
const CASES_UNTIL_RED: u32 = 3000;
const STEPS: std::ops::Range<usize> = 40..240;

fn config(cases: u32) -> Config {
    let cases = std::env::var("SAGELOOM_PROPTEST_CASES").ok().and_then(|n| n.parse().ok()).unwrap_or(cases);
    Config { cases, rng_seed: RngSeed::Fixed(26), failure_persistence: None, ..Config::default() }
}

fn play<const WITHOUT: usize>(config: Config) -> Result<(), String> {
    let mut runner = TestRunner::new(config.clone());
    let strategy = Operations::<WITHOUT>::sequential_strategy(STEPS);
    let test = |(state, ops, seen): (Without, Vec<Op>, Option<Arc<_>>)| {
        Operations::<WITHOUT>::test_sequential(config.clone(), state, ops, seen);
        Ok(())
    };
    runner.run(&strategy, test).map_err(|e| e.to_string())
}

#[test]
fn budgets_and_cordons_hold_whoever_stops_what() {
    play::<0>(config(CASES)).expect("no budget is exceeded");
}

/// Whether the drains get anywhere in the cases that are played.
#[test]
fn drains_move_replicas_in_the_cases_that_are_played() {
    let moved = std::cell::Cell::new(0);
    let config = config(CASES);
    let strategy = Operations::<0>::sequential_strategy(STEPS);
    let test = |(state, ops, _): (Without, Vec<Op>, Option<Arc<_>>)| {
        let site = ops
            .into_iter()
            .fold(Site::new(state), |site, op| <Operations<0> as StateMachineTest>::apply(site, &state, op));
        let stopped = site.log.iter().filter(|(c, _)| matches!(c, RecordChange::Disruptions(..))).count();
        moved.set(moved.get() + stopped);
        Ok(())
    };
    TestRunner::new(config).run(&strategy, test).expect("nothing fails");
    println!("{} stops and settlements", moved.get());
    assert!(moved.get() > CASES as usize, "{} stops and settlements", moved.get());
}

fn needed<const WITHOUT: usize>(says: &str) {
    let broken = play::<WITHOUT>(config(CASES_UNTIL_RED));
    let broken = broken.expect_err(&format!("{:?} is not needed", ALL[WITHOUT]));
    assert!(broken.contains(says), "{:?}: {broken}", ALL[WITHOUT]);
}

#[test]
fn each_mechanism_is_needed() {
    needed::<1>("down by choice");
    needed::<2>("down");
    needed::<3>("down by choice");
    needed::<4>("down by choice");
    needed::<5>("while others are down");
    needed::<6>("on a cordoned machine");
}

/// Drains that share a budget do not wait for each other for good.
#[test]
fn a_step_moves_something_while_the_budget_is_free() {
    let mut site = Site::new(Without::Nothing);
    for m in 0..3 {
        site.cordon(m);
    }
    site.read(0);
    let drains: Vec<Drain> =
        view::active_drains(&site.leaders[0].world, &site.budgets, &view::Orders::default());
    assert_eq!(drains.len(), 2);
    site.decide(0);
    assert_eq!(site.leaders[0].stops.len(), TEAM_BUDGET as usize, "of different services");
}
