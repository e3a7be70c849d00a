use super::*;
use crate::budget::TeamBudget;
use crate::site::{add, replica_with_machines, spec};
use crate::view;

fn found(replica: &Replica, budgets: &Budgets, unsaved: UnsavedWork) -> Vec<Blocker> {
    let machine = Machine { name: "m-1".into(), units: view::units_on(replica, "m-1") };
    blockers(replica, &[machine], budgets, unsaved, 60.0)
}

#[test]
fn a_budget_of_nothing_could_never_be_kept() {
    let mut replica = replica_with_machines(&[("m-1", "a")]);
    add(&mut replica, spec("j-1", JobKind::Service, 1), &[(0, "m-1")]);
    assert_eq!(found(&replica, &Budgets::default(), UnsavedWork::Leave), []);
    let none = Budgets { per_service: 0, ..Budgets::default() };
    assert!(matches!(found(&replica, &none, UnsavedWork::Leave)[..], [Blocker::ServiceBudget { .. }]));
    let share = [("t".to_owned(), TeamBudget::Share(0.9))].into();
    let none = Budgets { teams: share, ..Budgets::default() };
    assert!(matches!(found(&replica, &none, UnsavedWork::Leave)[..], [Blocker::TeamBudget { .. }]));
}

#[test]
fn a_job_that_fits_nowhere_else_and_one_that_outlasts_the_patience() {
    let mut replica = replica_with_machines(&[("m-1", "a"), ("m-2", "b")]);
    let bound = JobSpec { types: Some(vec!["old".into()]), ..spec("j-1", JobKind::Service, 1) };
    add(&mut replica, bound, &[(0, "m-1")]);
    assert!(matches!(
        found(&replica, &Budgets::default(), UnsavedWork::Leave)[..],
        [Blocker::FitsNowhere { .. }]
    ));
    let mut replica = replica_with_machines(&[("m-1", "a")]);
    add(&mut replica, JobSpec { estimated_runtime_s: 90.0, ..spec("j-2", JobKind::Array, 1) }, &[(0, "m-1")]);
    let long = found(&replica, &Budgets::default(), UnsavedWork::Leave);
    assert!(matches!(long[..], [Blocker::OutlastsPatience { .. }]));
    assert_eq!(found(&replica, &Budgets::default(), UnsavedWork::Stop), []);
}
