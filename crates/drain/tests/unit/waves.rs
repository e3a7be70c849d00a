use super::*;
use std::time::Duration;

const SOLVER_LIMITS: SolverLimits =
    SolverLimits { time_limit: Duration::from_secs(20), ..SolverLimits::PLAN };

/// A problem of machines with the given prices and services, each service number standing for one
/// replica on the machine. `budgets` are those of the services.
fn problem_of(machines: &[(f64, &[usize])], budgets: &[u32]) -> Problem {
    let mut problem = Problem { limits: vec![MAX_MOVES_PER_WAVE], ..Problem::default() };
    problem.limits.extend(budgets);
    for (i, (price, services)) in machines.iter().enumerate() {
        problem.prices.push(*price);
        problem
            .units
            .extend(services.iter().map(|s| PlannedUnit { machines: vec![i], limits: vec![0, s + 1] }));
    }
    problem
}

#[test]
fn waves_keep_to_the_limits_and_move_each_unit_once() {
    let problem = problem_of(&[(1.0, &[0, 0, 1]), (1.0, &[0, 1, 1]), (2.0, &[0])], &[1, 2]);
    let waves = schedule(&problem, &greedy(&problem));
    assert_eq!(waves.len(), 4, "four replicas of a service, one at a time");
    let mut moved: Vec<usize> = waves.iter().flatten().copied().collect();
    moved.sort_unstable();
    assert_eq!(moved, (0..problem.units.len()).collect::<Vec<_>>());
    for wave in &waves {
        for (limit, most) in problem.limits.iter().enumerate() {
            let taken = wave.iter().filter(|u| problem.units[**u].limits.contains(&limit)).count();
            assert!(taken <= *most as usize);
        }
    }
    assert_eq!(
        emptied_after(&problem, &waves)[2],
        1,
        "the most expensive machine with the fewest units comes first"
    );
}

#[test]
fn the_plan_has_the_lowest_cost_of_all_orders() {
    // By its number of units alone the first machine would come last. All machines have replicas of
    // service 0, of which one may be down; service 1 allows three moves in a wave.
    let problem = problem_of(&[(3.0, &[0, 0, 0]), (1.0, &[1, 0]), (1.0, &[1, 0]), (1.0, &[1, 0])], &[1, 3]);
    let greedy_cost = cost(&problem, &schedule(&problem, &greedy(&problem)));
    let (_, waves, _) = plan(&problem, &SOLVER_LIMITS);
    let best = lowest_cost_of_all_orders(&problem);
    assert!(cost(&problem, &waves) <= greedy_cost);
    assert!(
        (cost(&problem, &waves) - best).abs() < 1e-9,
        "cost {} is not the lowest, {best}",
        cost(&problem, &waves)
    );
}

fn lowest_cost_of_all_orders(problem: &Problem) -> f64 {
    fn orders(left: &[usize]) -> Vec<Vec<usize>> {
        if left.is_empty() {
            return vec![Vec::new()];
        }
        let with = |i: usize| {
            let mut rest = left.to_vec();
            let first = rest.remove(i);
            orders(&rest).into_iter().map(move |mut o| {
                o.insert(0, first);
                o
            })
        };
        (0..left.len()).flat_map(with).collect()
    }
    let all: Vec<usize> = (0..problem.prices.len()).collect();
    orders(&all).iter().map(|o| cost(problem, &schedule(problem, o))).fold(f64::INFINITY, f64::min)
}

#[test]
fn a_problem_beyond_the_solver_limits_is_ordered_greedily() {
    let services: Vec<usize> = (0..50).collect();
    let machines: Vec<(f64, &[usize])> = (0..200).map(|_| (1.0, services.as_slice())).collect();
    let problem = problem_of(&machines, &[1; 50]);
    let (_, waves, method) = plan(&problem, &SOLVER_LIMITS);
    assert_eq!((waves.len(), method), (200, Method::Greedy));
}

#[test]
fn scheduling_terminates_with_a_limit_of_zero_and_without_machines() {
    let problem = problem_of(&[(1.0, &[0])], &[0]);
    assert!(schedule(&problem, &[0]).is_empty());
    let no_machines = problem_of(&[], &[]);
    assert_eq!(plan(&no_machines, &SOLVER_LIMITS).1, Waves::new());
}
