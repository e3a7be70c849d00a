//! Explores the model of the disruption budget, with all mechanisms and with each of them removed.

use model::budget::{BudgetModel, Invariant, Mechanism};
use model::explore::{Limits, explore};

const LIMITS: Limits = Limits { threads: 3, states: 400_000 };

/// Explores all states without failures, and with one failure as many as fit into CI's time.
#[test]
fn budget_holds_when_two_stoppers_act_on_outdated_views() {
    for (failures, attempts) in [(0, 1), (1, 2)] {
        let model = BudgetModel { failures, attempts, ..BudgetModel::full(None) };
        let outcome = explore(model, LIMITS);
        println!("{} states, within limit: {}, {:?}", outcome.states, outcome.within_limit, outcome.duration);
        assert!(outcome.within_limit || failures > 0, "{} states", outcome.states);
        assert!(outcome.violation.is_none(), "{:?}", outcome.violation.map(|violation| violation.0));
    }
}

#[test]
fn an_invariant_is_violated_when_any_mechanism_is_removed() {
    let table = [
        (Mechanism::TeamCondition, Invariant::WithinBudget),
        (Mechanism::JobCondition, Invariant::NoDrainStopWhileSiblingDown),
        (Mechanism::OpenEntries, Invariant::WithinBudget),
        (Mechanism::SeenRunning, Invariant::WithinBudget),
        (Mechanism::FailuresCountAsDown, Invariant::NoDrainStopWhileSiblingDown),
    ];
    for (mechanism, invariant) in table {
        let outcome = explore(BudgetModel::full(Some(mechanism)), LIMITS);
        let found = outcome.violation.as_ref().map(|(invariant, trace)| (*invariant, trace.len()));
        println!("{mechanism:?}: {found:?}, {} states, {:?}", outcome.states, outcome.duration);
        if let Some((_, trace)) = &outcome.violation {
            trace.iter().enumerate().for_each(|(n, (step, _))| println!("{:4}. {step}", n + 1));
        }
        assert!(found.is_some(), "without {mechanism:?}, {invariant:?}");
    }
}
