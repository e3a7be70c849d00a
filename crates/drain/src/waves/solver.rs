//! Orders machines by the solution of a linear program.
//!
//! The variable `empty[m][w]` is the fraction of machine `m` that is empty after wave `w`. It never
//! decreases from wave to wave. For each limit and wave, the units moved up to and including that
//! wave are at most the limit times the number of waves so far. The objective is the cost of the
//! machines while they are not empty. With integer variables this is the planning problem itself,
//! except for units that count against several limits at once. With continuous variables (the
//! relaxation) the solution still gives a good order.

use std::time::Duration;

use good_lp::solvers::microlp::microlp;
use good_lp::{
    Expression, ProblemVariables, Solution, SolverModel, Variable, WithTimeLimit, constraint, variable,
};

use super::{Problem, unit_counts};

/// The limits of the solver.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SolverLimits {
    /// The most variables for which integer values are required. Larger problems are relaxed.
    pub max_integer_variables: usize,
    /// The most variables in all. Larger problems are not solved.
    pub max_variables: usize,
    /// The time limit.
    pub time_limit: Duration,
}

impl SolverLimits {
    /// For the `plan` command, where an operator waits for the answer.
    pub const PLAN: Self =
        Self { max_integer_variables: 160, max_variables: 20_000, time_limit: Duration::from_secs(3) };
    /// For the leader, which solves one problem for each drain beside its other work: a few
    /// milliseconds.
    pub const LEADER: Self =
        Self { max_integer_variables: 0, max_variables: 600, time_limit: Duration::from_millis(20) };
}

/// The machines in the order of a solution; None if there is nothing to solve, the problem exceeds
/// the limits, or the solver fails. `waves`: a number of waves in which all units can be moved.
pub fn order(problem: &Problem, waves: usize, solver_limits: &SolverLimits) -> Option<Vec<usize>> {
    let machines = problem.prices.len();
    let count = machines * waves.saturating_sub(1);
    if count == 0 || count > solver_limits.max_variables {
        return None;
    }
    let is_integer = count <= solver_limits.max_integer_variables;
    let mut variables = ProblemVariables::new();
    let empty: Vec<Vec<Variable>> = (0..machines)
        .map(|_| {
            let new_variable = || if is_integer { variable().binary() } else { variable().min(0.0).max(1.0) };
            (1..waves).map(|_| variables.add(new_variable())).collect()
        })
        .collect();
    let mut total_cost = Expression::from(0.0);
    for (machine, price) in problem.prices.iter().enumerate() {
        for after in &empty[machine] {
            total_cost += *price * (1.0 - *after);
        }
    }
    let mut model =
        variables.minimise(total_cost).using(microlp).with_time_limit(solver_limits.time_limit.as_secs_f64());
    for waves_of_machine in &empty {
        for pair in waves_of_machine.windows(2) {
            model = model.with(constraint!(pair[0] <= pair[1]));
        }
    }
    for (limit, max_units) in problem.limits.iter().enumerate() {
        let taken = taken(problem, limit);
        for wave in (1..waves).map(|after| after - 1) {
            let sum: Expression = taken.iter().map(|(m, n)| *n * empty[*m][wave]).sum();
            let max_so_far = f64::from(*max_units) * (wave + 1) as f64;
            model = model.with(constraint!(sum <= max_so_far));
        }
    }
    let solution = model.solve().ok()?;
    let unit_counts = unit_counts(problem);
    let emptied_at = |m: &usize| empty[*m].iter().map(|v| 1.0 - solution.value(*v)).sum::<f64>();
    let mut order: Vec<(f64, u32, usize)> =
        (0..machines).map(|m| (emptied_at(&m), unit_counts[m], m)).collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
    Some(order.into_iter().map(|(.., machine)| machine).collect())
}

/// The machines with units that count against a limit, each with their number.
fn taken(problem: &Problem, limit: usize) -> Vec<(usize, f64)> {
    let mut taken = vec![0.0; problem.prices.len()];
    for unit in problem.units.iter().filter(|u| u.limits.contains(&limit)) {
        unit.machines.iter().for_each(|m| taken[*m] += 1.0);
    }
    taken.into_iter().enumerate().filter(|(_, n)| *n > 0.0).collect()
}
