//! Plans the order in which the machines of a drain are emptied, and the waves in which their units
//! are moved.
//!
//! All units of a wave are moved at the same time; the next wave starts once their replacements
//! run. A wave takes no more of each limit than there is: the budgets of services and teams, and
//! the number of moves. A machine is paid for until its last unit has been moved. The cost to be
//! minimized is therefore the sum over all machines of the price times the number of the wave after
//! which the machine is empty. This is concurrent open-shop scheduling, which is NP-hard in
//! general. [`greedy`] orders the machines by their number of units in relation to their price,
//! [`solver::order`] by a linear program. [`schedule`] computes the waves of either order.

mod solver;

use sched::hash::HashMap;
use sched::replica::Replica;

use crate::budget::Budgets;
use crate::step::Machine;
pub use solver::{SolverLimits, order as solved_order};

/// A unit of the planning problem. It is moved as a whole in one wave.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedUnit {
    /// The indices of the machines that it is on.
    pub machines: Vec<usize>,
    /// The indices of the limits that it counts against, with one each.
    pub limits: Vec<usize>,
}

/// The planning problem: machines to be ordered, their units, and the limits of a wave.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Problem {
    /// The price of each machine.
    pub prices: Vec<f64>,
    /// The units on the machines.
    pub units: Vec<PlannedUnit>,
    /// For each limit, how many of the units that count against it a wave may hold.
    pub limits: Vec<u32>,
}

/// The indices of the units of each wave.
pub type Waves = Vec<Vec<usize>>;

/// The most moves of one wave, where no other limit applies: the moves of one transaction, times
/// the number of transactions that fit into the time of a wave.
const MAX_MOVES_PER_WAVE: u32 = 64;

/// The planning problem for these machines.
pub fn problem(replica: &Replica, machines: &[Machine], budgets: &Budgets) -> Problem {
    let mut problem = Problem { limits: vec![MAX_MOVES_PER_WAVE], ..Problem::default() };
    let mut limit_indices: HashMap<(bool, String), usize> = HashMap::default();
    let mut unit_indices: HashMap<crate::budget::UnitId, usize> = HashMap::default();
    let replicas = replicas_by_team(replica);
    for (machine_index, machine) in machines.iter().enumerate() {
        problem.prices.push(price(replica, machine));
        for unit in &machine.units {
            if let Some(known) = unit_indices.get(&unit.id) {
                problem.units[*known].machines.push(machine_index);
                continue;
            }
            unit_indices.insert(unit.id.clone(), problem.units.len());
            let mut limits_of_unit = vec![0];
            let mut add_limit = |is_team: bool, name: &str, max_units: u32| {
                let next = problem.limits.len();
                let index = *limit_indices.entry((is_team, name.to_owned())).or_insert(next);
                if index == next {
                    problem.limits.push(max_units.max(1));
                }
                limits_of_unit.push(index);
            };
            if unit.work == crate::step::WorkKind::Replica {
                add_limit(false, &unit.id.job, budgets.per_service);
            }
            let team_replicas = replicas.get(unit.team.as_str()).copied().unwrap_or(0);
            if let Some(max_units) = budgets.of_team(&unit.team, team_replicas) {
                add_limit(true, &unit.team, max_units);
            }
            problem.units.push(PlannedUnit { machines: vec![machine_index], limits: limits_of_unit });
        }
    }
    problem
}

fn replicas_by_team(replica: &Replica) -> HashMap<&str, u32> {
    let mut replicas: HashMap<&str, u32> = HashMap::default();
    for (_, job) in replica.open_jobs() {
        if let Some(spec) = job.spec.as_deref().filter(|s| s.kind == wire::JobKind::Service) {
            *replicas.entry(&spec.team).or_default() += spec.tasks;
        }
    }
    replicas
}

fn price(replica: &Replica, machine: &Machine) -> f64 {
    let Some(m) = replica.machines.get(&machine.name) else { return 0.0 };
    let machine_type = replica.machine_types.get(&*m.value.machine_type);
    machine_type.map_or(0.0, |t| if m.value.spot { t.spot_price } else { t.price })
}

/// How many units are on each machine.
fn unit_counts(problem: &Problem) -> Vec<u32> {
    let mut unit_counts = vec![0; problem.prices.len()];
    for machine in problem.units.iter().flat_map(|u| &u.machines) {
        unit_counts[*machine] += 1;
    }
    unit_counts
}

/// The machines sorted by the number of units that have to be moved per price, lowest first.
pub fn greedy(problem: &Problem) -> Vec<usize> {
    let unit_counts = unit_counts(problem);
    let weight = |i: &usize| f64::from(unit_counts[*i]) / problem.prices[*i].max(MIN_PRICE);
    let mut order: Vec<usize> = (0..problem.prices.len()).collect();
    order.sort_by(|a, b| weight(a).total_cmp(&weight(b)).then(a.cmp(b)));
    order
}

/// The price that is assumed for machines that cost nothing, to order them by their units, too.
const MIN_PRICE: f64 = 1e-6;

/// The waves in which the units are moved: each wave is filled with units in the order of their
/// machines as far as the limits allow.
pub fn schedule(problem: &Problem, order: &[usize]) -> Waves {
    let mut position = vec![0; problem.prices.len()];
    for (at, machine) in order.iter().enumerate() {
        position[*machine] = at;
    }
    // A unit on several machines is moved with the first of them.
    let first_position = |unit: &usize| problem.units[*unit].machines.iter().map(|m| position[*m]).min();
    let mut left: Vec<usize> = (0..problem.units.len()).collect();
    left.sort_by_key(|unit| (first_position(unit), *unit));
    let mut waves = Waves::new();
    while !left.is_empty() {
        let mut available = problem.limits.clone();
        let (wave, rest): (Vec<usize>, Vec<usize>) = left.into_iter().partition(|unit| {
            let limits = &problem.units[*unit].limits;
            let fits = limits.iter().all(|l| available[*l] > 0);
            if fits {
                limits.iter().for_each(|l| available[*l] -= 1);
            }
            fits
        });
        if wave.is_empty() {
            // Some limit is 0: the remaining units could never be moved.
            return waves;
        }
        waves.push(wave);
        left = rest;
    }
    waves
}

/// For each machine the number of the wave after which it is empty, counted from 1; 0 if it is
/// empty from the start.
pub fn emptied_after(problem: &Problem, waves: &Waves) -> Vec<usize> {
    let mut after = vec![0; problem.prices.len()];
    for (number, wave) in waves.iter().enumerate() {
        for machine in wave.iter().flat_map(|unit| &problem.units[*unit].machines) {
            after[*machine] = after[*machine].max(number + 1);
        }
    }
    after
}

/// The cost of the machines until they are empty: the sum over all machines of the price times the
/// number of the wave after which the machine is empty.
pub fn cost(problem: &Problem, waves: &Waves) -> f64 {
    let after = emptied_after(problem, waves);
    after.iter().zip(&problem.prices).map(|(wave, price)| *wave as f64 * price).sum()
}

/// The better of the greedy order and the solver's order, with its waves and its method. Fewer
/// waves are better, then lower cost.
pub fn plan(problem: &Problem, solver_limits: &SolverLimits) -> (Vec<usize>, Waves, Method) {
    let order = greedy(problem);
    let waves = schedule(problem, &order);
    let Some(solved) = solver::order(problem, waves.len(), solver_limits) else {
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
    /// By the number of units per price.
    Greedy,
    /// By a linear program.
    Solver,
}

#[cfg(test)]
#[path = "../../tests/unit/waves.rs"]
mod tests;
