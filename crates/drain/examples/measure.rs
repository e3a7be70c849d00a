//! Measures on simulated fleets how long drains take, what they cost, and how much the solver
//! improves the order of machines: `cargo run --release -p sageloom-drain --example measure`. The
//! decisions are those of the product; machines, rentals and the rate limit of the key-value store
//! are simulated.

#[path = "../tests/unit/site.rs"]
mod site;
#[path = "../tests/unit/test_records.rs"]
mod test_records;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use drain::budget::{Budgets, TeamBudget};
use drain::capacity::InventoryCapacity;
use drain::step::{self, Limits, Machine};
use drain::view::{self, ObservedTasks};
use drain::waves::{self, SolverLimits};
use sched::drain_records::{Disruption, DisruptionCause, DisruptionRecord, DrainPhase};
use sched::placement::{self, Inventory};
use sched::records::{Assignment, DesiredState, JobRecord, Name, TerminationReason};
use sched::replica::{RecordChange, Replica};
use wire::JobKind;

/// The replicas of each service.
const REPLICAS: u32 = 4;
/// The replicas on each machine, which has capacity for four.
const REPLICAS_PER_MACHINE: usize = 3;
/// The time between two steps of the drains, and how long a stopped task takes to exit and a rented
/// machine to boot, in milliseconds.
const STEP_MS: u64 = 500;
const EXIT_MS: u64 = 1500;
const BOOT_MS: u64 = 30_000;
/// The changes per second that the key-value store accepts, and the most in one transaction.
const CHANGES_PER_SECOND: f64 = 30.0;
const TXN_OPS: usize = 16;
/// A simulation ends after this time at the latest.
const MAX_DURATION_MS: u64 = 4 * 3600 * 1000;

/// A pseudo-random number generator that returns the same numbers in every run.
struct RandomNumbers(u64);

impl RandomNumbers {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

fn machine_name(i: usize) -> String {
    format!("host-{i:06}")
}

/// A fleet with the replicas of its services on randomly drawn machines.
fn fleet(machines: usize, numbers: &mut RandomNumbers) -> Replica {
    let names: Vec<String> = (0..machines).map(machine_name).collect();
    let named: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
    let mut replica = site::replica_with_machines(&named);
    let mut slots: Vec<usize> = (0..machines).flat_map(|m| [m; REPLICAS_PER_MACHINE]).collect();
    let mut service = 0;
    while slots.len() >= REPLICAS as usize {
        let mut draw = || slots.swap_remove(numbers.below(slots.len() as u64) as usize);
        let on: Vec<usize> = (0..REPLICAS).map(|_| draw()).collect();
        let mut spec = site::spec(&format!("j-{service}"), JobKind::Service, REPLICAS);
        spec.team = format!("t{}", service % 4);
        let run: Vec<(u32, &str)> =
            on.iter().enumerate().map(|(t, m)| (t as u32, names[*m].as_str())).collect();
        site::add_job(&mut replica, spec, &run);
        service += 1;
    }
    replica
}

/// The outcome of a drain.
#[derive(Default)]
struct Outcome {
    seconds: f64,
    moves: usize,
    changes: usize,
    lost_replica_s: f64,
    /// The most replicas of one service that were down at the same time.
    max_replicas_down: usize,
    /// Seconds in which all replicas of some service were down.
    service_down_s: f64,
    /// Machine hours beyond those of the fleet before the drain.
    extra_machine_h: f64,
    /// Processor time of the longest step.
    longest_step: Duration,
}

struct Simulation {
    replica: Replica,
    version: u64,
    /// The simulated time, in milliseconds.
    now: u64,
    running: BTreeSet<(String, u32, u64)>,
    /// When stopped tasks exit, by job and task.
    exits: BTreeMap<(String, u32), u64>,
    /// The attempts of starting tasks, and when they run, by job and task.
    starts: BTreeMap<(String, u32), (u64, u64)>,
    /// Since when stopped tasks are down, by job and task.
    down_since: BTreeMap<(String, u32), u64>,
    /// When rented machines will have booted.
    boots: Vec<u64>,
    /// The number of machines that ever existed, for the names of new ones.
    machine_count: usize,
    /// The changes that the rate limit of the key-value store allows now.
    changes: f64,
    numbers: RandomNumbers,
    outcome: Outcome,
}

impl Simulation {
    fn new(machines: usize, drained: usize) -> Self {
        let mut numbers = RandomNumbers(26);
        let mut replica = fleet(machines, &mut numbers);
        let names: Vec<String> = (0..drained).map(machine_name).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        site::start_drain(&mut replica, "d", &names, 10);
        let all = replica
            .open_jobs()
            .flat_map(|(id, job)| job.assignments.iter().map(move |a| (id.clone(), a.task, a.attempt)));
        let running = all.collect();
        Self {
            replica,
            version: 10,
            now: 1000,
            running,
            exits: BTreeMap::new(),
            starts: BTreeMap::new(),
            down_since: BTreeMap::new(),
            boots: Vec::new(),
            machine_count: machines,
            changes: CHANGES_PER_SECOND,
            numbers,
            outcome: Outcome::default(),
        }
    }

    fn apply_change(&mut self, change: RecordChange) {
        self.version += 1;
        self.changes -= 1.0;
        self.outcome.changes += 1;
        self.replica.apply(change, self.version);
    }

    fn job(&self, id: &str) -> Box<JobRecord> {
        self.replica.jobs[id].value.clone()
    }

    fn observed(&self) -> ObservedTasks {
        let mut observed = ObservedTasks::default();
        self.running.iter().for_each(|(job, task, attempt)| observed.note(job, *task, *attempt));
        observed
    }

    /// Simulates the machines up to now: tasks exit, start and run, and rented machines boot.
    fn advance_machines(&mut self, inventory: &mut Inventory) {
        let due: Vec<(String, u32)> =
            self.exits.iter().filter(|(_, at)| **at <= self.now).map(|(k, _)| k.clone()).collect();
        for (id, task) in due {
            self.exits.remove(&(id.clone(), task));
            let mut job = self.job(&id);
            let Some(attempt) = job.assignments.iter().find(|a| a.task == task).map(|a| a.attempt) else {
                continue;
            };
            job.end_assignment(task, attempt, TerminationReason::Stopped, self.now, 0);
            let team = site::team("");
            let limits = placement::Limits {
                max_tasks: 9,
                task_window: 99,
                may_strand_gpus: true,
                gang_wait_s: 0.0,
                now_ms: self.now,
            };
            inventory.refresh(&mut self.replica, |_, _| true);
            inventory.begin();
            let placed = placement::place(&self.replica, inventory, &mut job, &team, |_| true, limits);
            inventory.roll_back();
            for a in placed {
                let fetch = 2000 + self.numbers.below(6000);
                self.starts.insert((id.clone(), a.task), (a.attempt, self.now + fetch));
            }
            self.apply_change(RecordChange::Job(id, Some(job)));
        }
        let up: Vec<((String, u32), u64)> = self
            .starts
            .iter()
            .filter(|(_, (_, at))| *at <= self.now)
            .map(|(k, (attempt, _))| (k.clone(), *attempt))
            .collect();
        for ((id, task), attempt) in up {
            self.starts.remove(&(id.clone(), task));
            if let Some(since) = self.down_since.remove(&(id.clone(), task)) {
                self.outcome.lost_replica_s += (self.now - since) as f64 / 1000.0;
            }
            self.running.insert((id, task, attempt));
        }
        let booted = self.boots.iter().filter(|at| **at <= self.now).count();
        self.boots.retain(|at| *at > self.now);
        for _ in 0..booted {
            let name = machine_name(self.machine_count);
            self.machine_count += 1;
            self.apply_change(RecordChange::Machine(name, Some(site::machine("a"))));
        }
    }

    fn close_disruptions(&mut self) {
        let observed = self.observed();
        let teams: Vec<String> = self.replica.drains.disruptions.keys().cloned().collect();
        for team in teams {
            let open = self.replica.drains.open_disruptions(&team).to_vec();
            let left: Vec<Disruption> =
                open.iter().filter(|d| !view::is_resolved(&self.replica, d, &observed)).cloned().collect();
            if left.len() < open.len() {
                self.apply_change(RecordChange::Disruptions(team, Some(DisruptionRecord { open: left })));
            }
        }
    }

    fn stop(&mut self, m: &step::Move) {
        let id = m.unit.id.job.to_string();
        let mut job = self.job(&id);
        let Some(a) = job.assignments.iter_mut().find(|a| a.task == m.unit.id.task) else { return };
        a.desired = DesiredState::Stopped;
        let Assignment { task, attempt, .. } = a.clone();
        self.apply_change(RecordChange::Job(id.clone(), Some(job)));
        let team = m.unit.team.clone();
        let mut open = self.replica.drains.open_disruptions(&team).to_vec();
        let drain = DisruptionCause::Drain("d".into());
        open.push(Disruption { job: m.unit.id.job.clone(), task, attempt, cause: drain, since_ms: self.now });
        // The records of the team and the drain count once for the whole transaction, in `step`.
        self.replica.apply(RecordChange::Disruptions(team, Some(DisruptionRecord { open })), self.version);
        self.running.remove(&(id.clone(), task, attempt));
        self.exits.insert((id.clone(), task), self.now + EXIT_MS);
        self.down_since.insert((id, task), self.now);
        self.outcome.moves += 1;
    }

    /// Takes one step of the drain. Returns false once the drain is over.
    fn step(&mut self, budgets: &Budgets, inventory: &mut Inventory) -> bool {
        // Not counted into the time of a step: in the product the scheduling cycles keep the inventory
        // up to date, and only the running tasks of a few jobs are observed.
        inventory.refresh(&mut self.replica, |_, _| true);
        let observed = self.observed();
        let started_at = Instant::now();
        let drains = view::active_drains(&self.replica, budgets, &view::Orders::default());
        let services = view::affected_services(&self.replica, &drains, budgets);
        let mut ledger = view::ledger(&self.replica, &services, budgets, &observed, str::to_owned, 90);
        let ops = (self.changes.max(0.0) as usize).min(TXN_OPS);
        let limits = Limits {
            moves: ops.saturating_sub(3),
            capacity_attempt_timeout: Duration::from_millis(BOOT_MS * 4),
            paused: None,
            now_ms: self.now,
        };
        inventory.begin();
        let teams: Vec<_> = (0..4).map(|t| site::team(&format!("t{t}"))).collect();
        let mut capacity = InventoryCapacity {
            records: &self.replica,
            inventory,
            teams: &teams,
            gang_wait_s: 0.0,
            now_ms: self.now,
        };
        let decision = step::decide(&drains, &mut ledger, &mut capacity, &limits);
        inventory.roll_back();
        self.outcome.longest_step = self.outcome.longest_step.max(started_at.elapsed());
        if !decision.moves.is_empty() {
            decision.moves.iter().for_each(|m| self.stop(m));
            self.changes -= 2.0;
            self.outcome.changes += 2;
        }
        if !decision.machines_awaiting_capacity.is_empty() && self.boots.is_empty() {
            let places: usize =
                decision.machines_awaiting_capacity.iter().map(|m| self.replica.assignments(m).count()).sum();
            let count = places.div_ceil(4).max(1);
            self.boots.extend(std::iter::repeat_n(self.now + BOOT_MS, count));
            self.changes -= 2.0;
            self.outcome.changes += 2;
        }
        for (name, record) in decision.records {
            if !matches!(record.phase, DrainPhase::Active) {
                return false;
            }
            self.replica.apply(RecordChange::Drain(name, Some(record)), self.version);
        }
        true
    }

    fn release_empty_machines(&mut self) {
        let empty: Vec<Name> = view::remaining_machines(&self.replica, "d")
            .into_iter()
            .filter(|m| !self.replica.jobs_by_machine.contains_key(m))
            .collect();
        for machine in empty {
            // Recorded as empty, marked for release, and deleted: two changes beside the deletion.
            self.changes -= 2.0;
            self.outcome.changes += 2;
            let mut cordon = self.replica.drains.cordons[&("d".to_owned(), 0)].value.clone();
            cordon.mark_gone(&machine);
            self.replica.apply(RecordChange::Cordon(("d".into(), 0), Some(cordon)), self.version);
            self.apply_change(RecordChange::Machine(machine.to_string(), None));
        }
    }

    fn run(mut self, machines_before: usize, budgets: &Budgets) -> Outcome {
        let mut inventory = Inventory::new(&self.replica, |_| true);
        let mut ended_at = None;
        while self.now < MAX_DURATION_MS && (ended_at.is_none() || !self.down_since.is_empty()) {
            self.now += STEP_MS;
            self.changes =
                (self.changes + CHANGES_PER_SECOND * STEP_MS as f64 / 1000.0).min(CHANGES_PER_SECOND);
            self.advance_machines(&mut inventory);
            self.close_disruptions();
            self.release_empty_machines();
            if ended_at.is_none() && !self.step(budgets, &mut inventory) {
                ended_at = Some(self.now);
            }
            let mut down: BTreeMap<&str, usize> = BTreeMap::new();
            self.down_since.keys().for_each(|(job, _)| *down.entry(job).or_default() += 1);
            let replicas_down = down.values().copied().max().unwrap_or(0);
            self.outcome.max_replicas_down = self.outcome.max_replicas_down.max(replicas_down);
            if replicas_down >= REPLICAS as usize {
                self.outcome.service_down_s += STEP_MS as f64 / 1000.0;
            }
            let extra = (self.replica.machines.len() + self.boots.len()).saturating_sub(machines_before);
            self.outcome.extra_machine_h += extra as f64 * STEP_MS as f64 / 3.6e6;
        }
        self.outcome.seconds = (ended_at.unwrap_or(self.now) - 1000) as f64 / 1000.0;
        self.outcome
    }
}

fn measure_drains() {
    println!(
        "| fleet | drained | scenario | s | moves | changes | max replicas of a service down | service down s | lost replica s | extra machine h | longest step |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let one_per_team = (0..4).map(|t| (format!("t{t}"), TeamBudget::Count(1))).collect();
    let scenarios = [
        ("budget of one per service", Budgets::default()),
        ("budget of one per team", Budgets { per_service: 1, teams: one_per_team }),
        ("all at once", Budgets { per_service: u32::MAX, teams: BTreeMap::new() }),
    ];
    for (machines, drained) in [(20, 1), (20, 5), (20, 20), (1000, 50), (4000, 200)] {
        for (scenario, budgets) in &scenarios {
            let outcome = Simulation::new(machines, drained).run(machines, budgets);
            println!(
                "| {machines} | {drained} | {scenario} | {:.0} | {} | {} | {} | {:.0} | {:.0} | {:.2} | {:.1} ms |",
                outcome.seconds,
                outcome.moves,
                outcome.changes,
                outcome.max_replicas_down,
                outcome.service_down_s,
                outcome.lost_replica_s,
                outcome.extra_machine_h,
                outcome.longest_step.as_secs_f64() * 1000.0
            );
        }
    }
}

fn measure_orders() {
    println!();
    println!(
        "| machines drained | services on them | units | greedy: waves, cost, time | solver: waves, cost, time |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for drained in [5, 10, 20, 50, 200, 1000, 4000] {
        let mut numbers = RandomNumbers(7 + drained as u64);
        // Few services on many machines, so that machines share services: there the order matters.
        let services = (drained as u64 / 2).max(3);
        let names: Vec<String> = (0..drained).map(machine_name).collect();
        let named: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
        let mut replica = site::replica_with_machines(&named);
        let mut of_service: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        for m in 0..drained {
            for _ in 0..1 + numbers.below(4) {
                of_service.entry(numbers.below(services)).or_default().push(m);
            }
        }
        for (service, on) in &of_service {
            let spec = site::spec(&format!("j-{service}"), JobKind::Service, on.len() as u32);
            let run: Vec<(u32, &str)> =
                on.iter().enumerate().map(|(t, m)| (t as u32, names[*m].as_str())).collect();
            site::add_job(&mut replica, spec, &run);
        }
        let machine = |n: &String| Machine { units: view::units_on(&replica, n), name: n.as_str().into() };
        let machines: Vec<Machine> = names.iter().map(machine).collect();
        let mut problem = waves::problem(&replica, &machines, &Budgets::default());
        problem.prices.iter_mut().for_each(|p| *p = 1.0 + numbers.below(8) as f64);
        let begun = Instant::now();
        let greedy = waves::schedule(&problem, &waves::greedy(&problem));
        let greedy_took = begun.elapsed();
        let begun = Instant::now();
        let solved = waves::solved_order(&problem, greedy.len(), &SolverLimits::PLAN);
        let solver_took = begun.elapsed();
        let solver = match solved {
            Some(order) => {
                let solved = waves::schedule(&problem, &order);
                let cost = waves::cost(&problem, &solved);
                format!("{}, {cost:.0}, {:.0} ms", solved.len(), solver_took.as_secs_f64() * 1000.0)
            }
            None => format!("too large or not solved, {:.0} ms", solver_took.as_secs_f64() * 1000.0),
        };
        println!(
            "| {drained} | {} | {} | {}, {:.0}, {:.1} ms | {solver} |",
            of_service.len(),
            problem.units.len(),
            greedy.len(),
            waves::cost(&problem, &greedy),
            greedy_took.as_secs_f64() * 1000.0
        );
    }
}

fn main() {
    measure_drains();
    measure_orders();
}
