//! An order of machines by a linear programme.
//!
//! `empty[m][w]` tells how far machine `m` is empty after wave `w`. It never falls from wave
//! to wave, and what the machines take of a limit up to a wave is no more than as many times
//! the limit. What is summed up to be small is what each machine costs while it is not empty.
//! With whole numbers that is the problem itself, but for units that several limits bound at
//! once; without, its solution still gives a good order.

use std::time::Duration;

use good_lp::solvers::microlp::microlp;
use good_lp::{
    Expression, ProblemVariables, Solution, SolverModel, Variable, WithTimeLimit, constraint, variable,
};

use super::{Problem, loads};

/// How much a solver may do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Effort {
    /// Most variables with whole numbers, and with any.
    pub whole: usize,
    /// Most variables with any numbers.
    pub any: usize,
    /// Most time.
    pub time: Duration,
}

impl Effort {
    /// For an operator who waits for the answer.
    pub const PLAN: Self = Self { whole: 160, any: 20_000, time: Duration::from_secs(3) };
    /// For a leader beside all that it does: some milliseconds, once for each drain.
    pub const LEADER: Self = Self { whole: 0, any: 600, time: Duration::from_millis(20) };
}

/// The machines in the order of a solution; None if it takes more than the effort allows.
/// `waves`: in how many waves all can be moved.
pub fn order(problem: &Problem, waves: usize, effort: &Effort) -> Option<Vec<usize>> {
    let machines = problem.prices.len();
    let count = machines * waves.saturating_sub(1);
    if count == 0 || count > effort.any {
        return None;
    }
    let whole = count <= effort.whole;
    let mut variables = ProblemVariables::new();
    let empty: Vec<Vec<Variable>> = (0..machines)
        .map(|_| {
            let one = || if whole { variable().binary() } else { variable().min(0.0).max(1.0) };
            (1..waves).map(|_| variables.add(one())).collect()
        })
        .collect();
    let mut paid = Expression::from(0.0);
    for (machine, price) in problem.prices.iter().enumerate() {
        for after in &empty[machine] {
            paid += *price * (1.0 - *after);
        }
    }
    let mut model = variables.minimise(paid).using(microlp).with_time_limit(effort.time.as_secs_f64());
    for of_machine in &empty {
        for pair in of_machine.windows(2) {
            model = model.with(constraint!(pair[0] <= pair[1]));
        }
    }
    for (limit, most) in problem.limits.iter().enumerate() {
        let taken = taken(problem, limit);
        for wave in (1..waves).map(|after| after - 1) {
            let sum: Expression = taken.iter().map(|(m, n)| *n * empty[*m][wave]).sum();
            let so_far = f64::from(*most) * (wave + 1) as f64;
            model = model.with(constraint!(sum <= so_far));
        }
    }
    let solution = model.solve().ok()?;
    let loads = loads(problem);
    let emptied_at = |m: &usize| empty[*m].iter().map(|v| 1.0 - solution.value(*v)).sum::<f64>();
    let mut order: Vec<(f64, u32, usize)> = (0..machines).map(|m| (emptied_at(&m), loads[m], m)).collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0).then((a.1, a.2).cmp(&(b.1, b.2))));
    Some(order.into_iter().map(|(.., machine)| machine).collect())
}

/// How many units of a limit each machine takes that takes any.
fn taken(problem: &Problem, limit: usize) -> Vec<(usize, f64)> {
    let mut taken = vec![0.0; problem.prices.len()];
    for unit in problem.units.iter().filter(|u| u.limits.contains(&limit)) {
        unit.machines.iter().for_each(|m| taken[*m] += 1.0);
    }
    taken.into_iter().enumerate().filter(|(_, n)| *n > 0.0).collect()
}
