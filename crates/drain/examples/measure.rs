//! How long drains take, what they cost, and what the solver's order is worth, on simulated
//! fleets: `cargo run --release -p sageloom-drain --example measure`. The decisions are those
//! of the product; machines, rentals and the state service's rate are simulated.

#[path = "../tests/unit/site.rs"]
mod site;
#[path = "../tests/unit/test_records.rs"]
mod test_records;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use drain::budget::{Budgets, TeamBudget};
use drain::room::InventoryRoom;
use drain::step::{self, Limits, Machine};
use drain::view::{self, ObservedTasks};
use drain::waves::{self, Effort};
use sched::drain_records::{Disruption, DisruptionCause, DisruptionRecord, DrainPhase};
use sched::placement::{self, Inventory};
use sched::records::{Assignment, DesiredState, JobRecord, Name, TerminationReason};
use sched::replica::{RecordChange, Replica};
use wire::JobKind;

/// Replicas of a service, and how many of a machine's four places are in use.
const REPLICAS: u32 = 4;
const USED: usize = 3;
/// A step of the drains' duty, and how long what happens takes, in milliseconds.
const STEP_MS: u64 = 500;
const EXIT_MS: u64 = 1500;
const BOOT_MS: u64 = 30_000;
/// Changes that the state service takes a second, and most of a transaction.
const CHANGES_A_SECOND: f64 = 30.0;
const TXN_OPS: usize = 16;
/// No drain here takes longer.
const MOST_MS: u64 = 4 * 3600 * 1000;

/// Numbers that look like any, the same in every run.
struct Numbers(u64);

impl Numbers {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

fn machine_name(i: usize) -> String {
    format!("host-{i:06}")
}

/// A fleet whose services are spread over it at random.
fn fleet(machines: usize, numbers: &mut Numbers) -> Replica {
    let names: Vec<String> = (0..machines).map(machine_name).collect();
    let named: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
    let mut world = site::world(&named);
    let mut places: Vec<usize> = (0..machines).flat_map(|m| [m; USED]).collect();
    let mut service = 0;
    while places.len() >= REPLICAS as usize {
        let mut draw = || places.swap_remove(numbers.below(places.len() as u64) as usize);
        let on: Vec<usize> = (0..REPLICAS).map(|_| draw()).collect();
        let mut spec = site::spec(&format!("j-{service}"), JobKind::Service, REPLICAS);
        spec.team = format!("t{}", service % 4);
        let run: Vec<(u32, &str)> =
            on.iter().enumerate().map(|(t, m)| (t as u32, names[*m].as_str())).collect();
        site::add(&mut world, spec, &run);
        service += 1;
    }
    world
}

/// What a drain came to.
#[derive(Default)]
struct Outcome {
    seconds: f64,
    moves: usize,
    changes: usize,
    lost_replica_s: f64,
    /// Most replicas of one service down at a time, and seconds with all of one down.
    worst: usize,
    dark_s: f64,
    /// Machine hours beyond those of the fleet before.
    extra_machine_h: f64,
    /// Processor time of the longest step.
    longest_step: Duration,
}

struct Simulation {
    world: Replica,
    version: u64,
    now: u64,
    running: BTreeSet<(String, u32, u64)>,
    /// When stopped tasks exit, and when starting ones run.
    exits: BTreeMap<(String, u32), u64>,
    starts: BTreeMap<(String, u32), (u64, u64)>,
    down_since: BTreeMap<(String, u32), u64>,
    boots: Vec<u64>,
    rented: usize,
    changes: f64,
    numbers: Numbers,
    outcome: Outcome,
}

impl Simulation {
    fn new(machines: usize, drained: usize) -> Self {
        let mut numbers = Numbers(26);
        let mut world = fleet(machines, &mut numbers);
        let names: Vec<String> = (0..drained).map(machine_name).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        site::start_drain(&mut world, "d", &names, 10);
        let all = world
            .open_jobs()
            .flat_map(|(id, job)| job.assignments.iter().map(move |a| (id.clone(), a.task, a.attempt)));
        let running = all.collect();
        Self {
            world,
            version: 10,
            now: 1000,
            running,
            exits: BTreeMap::new(),
            starts: BTreeMap::new(),
            down_since: BTreeMap::new(),
            boots: Vec::new(),
            rented: machines,
            changes: CHANGES_A_SECOND,
            numbers,
            outcome: Outcome::default(),
        }
    }

    fn put(&mut self, change: RecordChange) {
        self.version += 1;
        self.changes -= 1.0;
        self.outcome.changes += 1;
        self.world.apply(change, self.version);
    }

    fn job(&self, id: &str) -> Box<JobRecord> {
        self.world.jobs[id].value.clone()
    }

    fn observed(&self) -> ObservedTasks {
        let mut observed = ObservedTasks::default();
        self.running.iter().for_each(|(job, task, attempt)| observed.note(job, *task, *attempt));
        observed
    }

    /// What machines do: tasks exit, start and run; rented machines boot.
    fn machines_go_on(&mut self, inventory: &mut Inventory) {
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
            inventory.refresh(&mut self.world, |_, _| true);
            inventory.begin();
            let placed = placement::place(&self.world, inventory, &mut job, &team, |_| true, limits);
            inventory.roll_back();
            for a in placed {
                let fetch = 2000 + self.numbers.below(6000);
                self.starts.insert((id.clone(), a.task), (a.attempt, self.now + fetch));
            }
            self.put(RecordChange::Job(id, Some(job)));
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
            let name = machine_name(self.rented);
            self.rented += 1;
            self.put(RecordChange::Machine(name, Some(site::machine("a"))));
        }
    }

    fn settle(&mut self) {
        let observed = self.observed();
        let teams: Vec<String> = self.world.drains.disruptions.keys().cloned().collect();
        for team in teams {
            let open = self.world.drains.open_disruptions(&team).to_vec();
            let left: Vec<Disruption> =
                open.iter().filter(|d| !view::is_settled(&self.world, d, &observed)).cloned().collect();
            if left.len() < open.len() {
                self.put(RecordChange::Disruptions(team, Some(DisruptionRecord { open: left })));
            }
        }
    }

    fn stop(&mut self, m: &step::Move) {
        let id = m.unit.id.job.to_string();
        let mut job = self.job(&id);
        let Some(a) = job.assignments.iter_mut().find(|a| a.task == m.unit.id.task) else { return };
        a.desired = DesiredState::Stopped;
        let Assignment { task, attempt, .. } = a.clone();
        self.put(RecordChange::Job(id.clone(), Some(job)));
        let team = m.unit.team.clone();
        let mut open = self.world.drains.open_disruptions(&team).to_vec();
        let by = DisruptionCause::Drain("d".into());
        open.push(Disruption { job: m.unit.id.job.clone(), task, attempt, cause: by, since_ms: self.now });
        // The team's and the drain's records are one change each for a whole transaction.
        self.world.apply(RecordChange::Disruptions(team, Some(DisruptionRecord { open })), self.version);
        self.running.remove(&(id.clone(), task, attempt));
        self.exits.insert((id.clone(), task), self.now + EXIT_MS);
        self.down_since.insert((id, task), self.now);
        self.outcome.moves += 1;
    }

    /// One step of the duty; false once the drain is over.
    fn step(&mut self, budgets: &Budgets, inventory: &mut Inventory) -> bool {
        // Rounds keep the inventory up to date, and owners tell of few jobs only.
        inventory.refresh(&mut self.world, |_, _| true);
        let observed = self.observed();
        let begun = Instant::now();
        let drains = view::active_drains(&self.world, budgets, &view::Orders::default());
        let services = view::services_concerned(&self.world, &drains, budgets);
        let mut ledger = view::ledger(&self.world, &services, budgets, &observed, str::to_owned, 90);
        let ops = (self.changes.max(0.0) as usize).min(TXN_OPS);
        let limits = Limits {
            moves: ops.saturating_sub(3),
            room_attempt: Duration::from_millis(BOOT_MS * 4),
            paused: None,
            now_ms: self.now,
        };
        inventory.begin();
        let teams: Vec<_> = (0..4).map(|t| site::team(&format!("t{t}"))).collect();
        let mut room = InventoryRoom {
            world: &self.world,
            inventory,
            teams: &teams,
            gang_wait_s: 0.0,
            now_ms: self.now,
        };
        let decision = step::decide(&drains, &mut ledger, &mut room, &limits);
        inventory.roll_back();
        self.outcome.longest_step = self.outcome.longest_step.max(begun.elapsed());
        if !decision.moves.is_empty() {
            decision.moves.iter().for_each(|m| self.stop(m));
            self.changes -= 2.0;
            self.outcome.changes += 2;
        }
        if !decision.wants_room.is_empty() && self.boots.is_empty() {
            let places: usize = decision.wants_room.iter().map(|m| self.world.assignments(m).count()).sum();
            let count = places.div_ceil(4).max(1);
            self.boots.extend(std::iter::repeat_n(self.now + BOOT_MS, count));
            self.changes -= 2.0;
            self.outcome.changes += 2;
        }
        for (name, record) in decision.records {
            if !matches!(record.phase, DrainPhase::Active) {
                return false;
            }
            self.world.apply(RecordChange::Drain(name, Some(record)), self.version);
        }
        true
    }

    fn give_back(&mut self) {
        let empty: Vec<Name> = view::machines_left(&self.world, "d")
            .into_iter()
            .filter(|m| !self.world.jobs_by_machine.contains_key(m))
            .collect();
        for machine in empty {
            // Noted as empty, marked, given back.
            self.changes -= 2.0;
            self.outcome.changes += 2;
            let mut cordon = self.world.drains.cordons[&("d".to_owned(), 0)].value.clone();
            cordon.mark_gone(&machine);
            self.world.apply(RecordChange::Cordon(("d".into(), 0), Some(cordon)), self.version);
            self.put(RecordChange::Machine(machine.to_string(), None));
        }
    }

    fn run(mut self, before: usize, budgets: &Budgets) -> Outcome {
        let mut inventory = Inventory::new(&self.world, |_| true);
        let mut over = None;
        while self.now < MOST_MS && (over.is_none() || !self.down_since.is_empty()) {
            self.now += STEP_MS;
            self.changes = (self.changes + CHANGES_A_SECOND * STEP_MS as f64 / 1000.0).min(CHANGES_A_SECOND);
            self.machines_go_on(&mut inventory);
            self.settle();
            self.give_back();
            if over.is_none() && !self.step(budgets, &mut inventory) {
                over = Some(self.now);
            }
            let mut down: BTreeMap<&str, usize> = BTreeMap::new();
            self.down_since.keys().for_each(|(job, _)| *down.entry(job).or_default() += 1);
            let worst = down.values().copied().max().unwrap_or(0);
            self.outcome.worst = self.outcome.worst.max(worst);
            if worst >= REPLICAS as usize {
                self.outcome.dark_s += STEP_MS as f64 / 1000.0;
            }
            let extra = (self.world.machines.len() + self.boots.len()).saturating_sub(before);
            self.outcome.extra_machine_h += extra as f64 * STEP_MS as f64 / 3.6e6;
        }
        self.outcome.seconds = (over.unwrap_or(self.now) - 1000) as f64 / 1000.0;
        self.outcome
    }
}

fn drains() {
    println!(
        "| fleet | drained | how | s | moves | changes | worst of a service | dark s | lost replica s | extra machine h | longest step |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let one = (0..4).map(|t| (format!("t{t}"), TeamBudget::Count(1))).collect();
    let ways = [
        ("budget of one a service", Budgets::default()),
        ("one of a team at a time", Budgets { per_service: 1, teams: one }),
        ("all at once", Budgets { per_service: u32::MAX, teams: BTreeMap::new() }),
    ];
    for (machines, drained) in [(20, 1), (20, 5), (20, 20), (1000, 50), (4000, 200)] {
        for (how, budgets) in &ways {
            let o = Simulation::new(machines, drained).run(machines, budgets);
            println!(
                "| {machines} | {drained} | {how} | {:.0} | {} | {} | {} | {:.0} | {:.0} | {:.2} | {:.1} ms |",
                o.seconds,
                o.moves,
                o.changes,
                o.worst,
                o.dark_s,
                o.lost_replica_s,
                o.extra_machine_h,
                o.longest_step.as_secs_f64() * 1000.0
            );
        }
    }
}

fn orders() {
    println!();
    println!(
        "| machines drained | services on them | units | greedy: waves, cost, time | solver: waves, cost, time |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for drained in [5, 10, 20, 50, 200, 1000, 4000] {
        let mut numbers = Numbers(7 + drained as u64);
        // Few services on many machines: the order matters where machines share them.
        let services = (drained as u64 / 2).max(3);
        let names: Vec<String> = (0..drained).map(machine_name).collect();
        let named: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "a")).collect();
        let mut world = site::world(&named);
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
            site::add(&mut world, spec, &run);
        }
        let machine = |n: &String| Machine { units: view::units_on(&world, n), name: n.as_str().into() };
        let machines: Vec<Machine> = names.iter().map(machine).collect();
        let mut problem = waves::problem(&world, &machines, &Budgets::default());
        problem.prices.iter_mut().for_each(|p| *p = 1.0 + numbers.below(8) as f64);
        let begun = Instant::now();
        let greedy = waves::schedule(&problem, &waves::greedy(&problem));
        let greedy_took = begun.elapsed();
        let begun = Instant::now();
        let solved = waves::solved_order(&problem, greedy.len(), &Effort::PLAN);
        let solver_took = begun.elapsed();
        let solver = match solved {
            Some(order) => {
                let solved = waves::schedule(&problem, &order);
                let cost = waves::cost(&problem, &solved);
                format!("{}, {cost:.0}, {:.0} ms", solved.len(), solver_took.as_secs_f64() * 1000.0)
            }
            None => format!("not tried or not solved, {:.0} ms", solver_took.as_secs_f64() * 1000.0),
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
    drains();
    orders();
}
