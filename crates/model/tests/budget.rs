//! The budget's model in full, and each of its mechanisms taken away.

use model::budget::{Budget, Mechanism, Rule};
use model::explore::{Limits, explore};

const LIMITS: Limits = Limits { threads: 3, states: 400_000 };

/// Without failures in full; with one as far as CI's time goes.
#[test]
fn two_stoppers_keep_the_budget() {
    for (failures, attempts) in [(0, 1), (1, 2)] {
        let size = Budget { failures, attempts, ..Budget::whole(None) };
        let outcome = explore(size, LIMITS);
        println!("{} states, whole: {}, {:?}", outcome.states, outcome.whole, outcome.took);
        assert!(outcome.whole || failures > 0, "{} states", outcome.states);
        assert!(outcome.broken.is_none(), "{:?}", outcome.broken.map(|b| b.0));
    }
}

#[test]
fn each_mechanism_is_needed() {
    let table = [
        (Mechanism::TeamCondition, Rule::Budget),
        (Mechanism::JobCondition, Rule::OnTop),
        (Mechanism::OpenEntries, Rule::Budget),
        (Mechanism::SeenRunning, Rule::Budget),
        (Mechanism::FailuresCount, Rule::OnTop),
    ];
    for (mechanism, rule) in table {
        let outcome = explore(Budget::whole(Some(mechanism)), LIMITS);
        let found = outcome.broken.as_ref().map(|(rule, way)| (*rule, way.len()));
        println!("{mechanism:?}: {found:?}, {} states, {:?}", outcome.states, outcome.took);
        if let Some((_, way)) = &outcome.broken {
            way.iter().enumerate().for_each(|(n, (step, _))| println!("{:4}. {step}", n + 1));
        }
        assert!(found.is_some(), "without {mechanism:?}, {rule:?}");
    }
}
