//! In which order machines are emptied, and how much at once.
//!
//! Units are moved in waves: all of a wave at the same time, the next once their replacements
//! run. A wave takes no more of anything than there is of it: a service's budget, a team's,
//! the changes that may be written. A machine is paid for until its last unit is moved. So
//! the sum of all machines' prices, each times the wave in which it is empty, is to be small:
//! that is concurrent open-shop scheduling, which is hard in general. [`greedy`] orders the
//! machines by what is on them for their price; [`solver::order`] by a linear programme.
//! [`schedule`] makes waves of either order.

mod solver;

use sched::hash::HashMap;
use sched::replica::Replica;

use crate::budget::Budgets;
use crate::step::Machine;
pub use solver::{Effort, order as solved_order};

/// Something that is moved in one wave.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedUnit {
    /// The machines that it is on.
    pub machines: Vec<usize>,
    /// The limits that it takes one of.
    pub limits: Vec<usize>,
}

/// What is to be ordered.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Problem {
    /// The machines' prices.
    pub prices: Vec<f64>,
    /// What is on them.
    pub units: Vec<PlannedUnit>,
    /// How much of each limit a wave may take.
    pub limits: Vec<u32>,
}

/// Units by wave.
pub type Waves = Vec<Vec<usize>>;

/// Moves of one wave, where nothing else bounds it: what one transaction holds, for as many
/// times as transactions fit into a wave.
const MOVES_IN_A_WAVE: u32 = 64;

/// The problem of draining these machines.
pub fn problem(world: &Replica, machines: &[Machine], budgets: &Budgets) -> Problem {
    let mut problem = Problem { limits: vec![MOVES_IN_A_WAVE], ..Problem::default() };
    let mut limits: HashMap<(bool, String), usize> = HashMap::default();
    let mut units: HashMap<crate::budget::UnitId, usize> = HashMap::default();
    let replicas = replicas_by_team(world);
    for (i, machine) in machines.iter().enumerate() {
        problem.prices.push(price(world, machine));
        for unit in &machine.units {
            if let Some(known) = units.get(&unit.id) {
                problem.units[*known].machines.push(i);
                continue;
            }
            units.insert(unit.id.clone(), problem.units.len());
            let mut of_unit = vec![0];
            let mut limit = |is_team: bool, name: &str, most: u32| {
                let next = problem.limits.len();
                let index = *limits.entry((is_team, name.to_owned())).or_insert(next);
                if index == next {
                    problem.limits.push(most.max(1));
                }
                of_unit.push(index);
            };
            if unit.work == crate::step::Work::Replica {
                limit(false, &unit.id.job, budgets.per_service);
            }
            let of_team = replicas.get(unit.team.as_str()).copied().unwrap_or(0);
            if let Some(most) = budgets.of_team(&unit.team, of_team) {
                limit(true, &unit.team, most);
            }
            problem.units.push(PlannedUnit { machines: vec![i], limits: of_unit });
        }
    }
    problem
}

fn replicas_by_team(world: &Replica) -> HashMap<&str, u32> {
    let mut replicas: HashMap<&str, u32> = HashMap::default();
    for (_, job) in world.open_jobs() {
        if let Some(spec) = job.spec.as_deref().filter(|s| s.kind == wire::JobKind::Service) {
            *replicas.entry(&spec.team).or_default() += spec.tasks;
        }
    }
    replicas
}

fn price(world: &Replica, machine: &Machine) -> f64 {
    let Some(m) = world.machines.get(&machine.name) else { return 0.0 };
    let kind = world.machine_types.get(&*m.value.machine_type);
    kind.map_or(0.0, |t| if m.value.spot { t.spot_price } else { t.price })
}

/// How many units are on each machine.
fn loads(problem: &Problem) -> Vec<u32> {
    let mut loads = vec![0; problem.prices.len()];
    for machine in problem.units.iter().flat_map(|u| &u.machines) {
        loads[*machine] += 1;
    }
    loads
}

/// The machines in the order in which the fewest units are moved for the most money.
pub fn greedy(problem: &Problem) -> Vec<usize> {
    let loads = loads(problem);
    let weight = |i: &usize| f64::from(loads[*i]) / problem.prices[*i].max(LEAST_PRICE);
    let mut order: Vec<usize> = (0..problem.prices.len()).collect();
    order.sort_by(|a, b| weight(a).total_cmp(&weight(b)).then(a.cmp(b)));
    order
}

/// A machine that costs nothing is still worth being empty.
const LEAST_PRICE: f64 = 1e-6;

/// Waves in which the machines' units are moved, each as early as the order allows.
pub fn schedule(problem: &Problem, order: &[usize]) -> Waves {
    let mut place = vec![0; problem.prices.len()];
    for (at, machine) in order.iter().enumerate() {
        place[*machine] = at;
    }
    // A unit on several machines comes with the first of them.
    let first = |unit: &usize| problem.units[*unit].machines.iter().map(|m| place[*m]).min();
    let mut left: Vec<usize> = (0..problem.units.len()).collect();
    left.sort_by_key(|unit| (first(unit), *unit));
    let mut waves = Waves::new();
    while !left.is_empty() {
        let mut free = problem.limits.clone();
        let (wave, rest): (Vec<usize>, Vec<usize>) = left.into_iter().partition(|unit| {
            let limits = &problem.units[*unit].limits;
            let fits = limits.iter().all(|l| free[*l] > 0);
            if fits {
                limits.iter().for_each(|l| free[*l] -= 1);
            }
            fits
        });
        if wave.is_empty() {
            // A limit of nothing: the rest could never be moved.
            return waves;
        }
        waves.push(wave);
        left = rest;
    }
    waves
}

/// The wave after which each machine is empty; 0 if nothing is on it.
pub fn emptied_after(problem: &Problem, waves: &Waves) -> Vec<usize> {
    let mut after = vec![0; problem.prices.len()];
    for (number, wave) in waves.iter().enumerate() {
        for machine in wave.iter().flat_map(|unit| &problem.units[*unit].machines) {
            after[*machine] = after[*machine].max(number + 1);
        }
    }
    after
}

/// What the machines cost until they are empty: the sum of their prices, each times its wave.
pub fn cost(problem: &Problem, waves: &Waves) -> f64 {
    let after = emptied_after(problem, waves);
    after.iter().zip(&problem.prices).map(|(wave, price)| *wave as f64 * price).sum()
}

/// The better of the greedy order and the solver's, with its waves; how it was found.
pub fn plan(problem: &Problem, effort: &Effort) -> (Vec<usize>, Waves, Method) {
    let order = greedy(problem);
    let waves = schedule(problem, &order);
    let Some(solved) = solver::order(problem, waves.len(), effort) else {
        return (order, waves, Method::Greedy);
    };
    let solved_waves = schedule(problem, &solved);
    let rank = |waves: &Waves| (waves.len(), cost(problem, waves));
    if rank(&solved_waves) < rank(&waves) {
        (solved, solved_waves, Method::Solver)
    } else {
        (order, waves, Method::Greedy)
    }
}

/// How an order was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// By what is on the machines for their price.
    Greedy,
    /// By a linear programme.
    Solver,
}

#[cfg(test)]
#[path = "../../tests/unit/waves.rs"]
mod tests;
