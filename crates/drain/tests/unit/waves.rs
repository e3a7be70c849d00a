use super::*;
use std::time::Duration;

const SOLVER_LIMITS: SolverLimits =
    SolverLimits { time_limit: Duration::from_secs(20), ..SolverLimits::PLAN };

/// Machines by their prices, and the services whose replicas are on each.
fn site(machines: &[(f64, &[usize])], budgets: &[u32]) -> Problem {
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
fn a_wave_takes_no_more_than_its_limits_and_all_is_moved_once() {
    let problem = site(&[(1.0, &[0, 0, 1]), (1.0, &[0, 1, 1]), (2.0, &[0])], &[1, 2]);
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
    assert_eq!(emptied_after(&problem, &waves)[2], 1, "the dearest with the least on it comes first");
}

#[test]
fn the_solver_finds_a_cheaper_order_where_counting_misleads() {
    // By number, the first machine comes last; but it alone is bound by the slow service, so
    // that it can be emptied beside the others.
    let problem = site(&[(3.0, &[0, 0, 0]), (1.0, &[1, 0]), (1.0, &[1, 0]), (1.0, &[1, 0])], &[1, 3]);
    let greedy_cost = cost(&problem, &schedule(&problem, &greedy(&problem)));
    let (_, waves, _) = plan(&problem, &SOLVER_LIMITS);
    let best = best_by_trying_all(&problem);
    assert!(cost(&problem, &waves) <= greedy_cost);
    assert!(
        (cost(&problem, &waves) - best).abs() < 1e-9,
        "{} is not the best, {best}",
        cost(&problem, &waves)
    );
}

fn best_by_trying_all(problem: &Problem) -> f64 {
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
fn what_is_too_large_is_ordered_without_the_solver() {
    let services: Vec<usize> = (0..50).collect();
    let machines: Vec<(f64, &[usize])> = (0..200).map(|_| (1.0, services.as_slice())).collect();
    let problem = site(&machines, &[1; 50]);
    let (_, waves, method) = plan(&problem, &SOLVER_LIMITS);
    assert_eq!((waves.len(), method), (200, Method::Greedy));
}

#[test]
fn a_limit_of_nothing_and_no_machines_at_all_come_to_an_end() {
    let problem = site(&[(1.0, &[0])], &[0]);
    assert!(schedule(&problem, &[0]).is_empty());
    let nothing = site(&[], &[]);
    assert_eq!(plan(&nothing, &SOLVER_LIMITS).1, Waves::new());
}
