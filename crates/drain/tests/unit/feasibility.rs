use super::*;
use crate::budget::TeamBudget;
use crate::site::{add_job, replica_with_machines, spec};
use crate::view;

fn blockers_of_m1(replica: &Replica, budgets: &Budgets, unsaved: UnsavedWork) -> Vec<Blocker> {
    let machine = Machine { name: "m-1".into(), units: view::units_on(replica, "m-1") };
    blockers(replica, &[machine], budgets, unsaved, 60.0)
}

#[test]
fn a_budget_of_zero_blocks_the_drain() {
    let mut replica = replica_with_machines(&[("m-1", "a")]);
    add_job(&mut replica, spec("j-1", JobKind::Service, 1), &[(0, "m-1")]);
    assert_eq!(blockers_of_m1(&replica, &Budgets::default(), UnsavedWork::Leave), []);
    let none = Budgets { per_service: 0, ..Budgets::default() };
    assert!(matches!(
        blockers_of_m1(&replica, &none, UnsavedWork::Leave)[..],
        [Blocker::ServiceBudget { .. }]
    ));
    let share = [("t".to_owned(), TeamBudget::Share(0.9))].into();
    let none = Budgets { teams: share, ..Budgets::default() };
    assert!(matches!(blockers_of_m1(&replica, &none, UnsavedWork::Leave)[..], [Blocker::TeamBudget { .. }]));
}

#[test]
fn a_job_that_fits_nowhere_else_or_outlasts_the_patience_blocks_the_drain() {
    let mut replica = replica_with_machines(&[("m-1", "a"), ("m-2", "b")]);
    let bound = JobSpec { types: Some(vec!["old".into()]), ..spec("j-1", JobKind::Service, 1) };
    add_job(&mut replica, bound, &[(0, "m-1")]);
    assert!(matches!(
        blockers_of_m1(&replica, &Budgets::default(), UnsavedWork::Leave)[..],
        [Blocker::FitsNowhere { .. }]
    ));
    let mut replica = replica_with_machines(&[("m-1", "a")]);
    add_job(
        &mut replica,
        JobSpec { estimated_runtime_s: 90.0, ..spec("j-2", JobKind::Array, 1) },
        &[(0, "m-1")],
    );
    let long = blockers_of_m1(&replica, &Budgets::default(), UnsavedWork::Leave);
    assert!(matches!(long[..], [Blocker::OutlastsPatience { .. }]));
    assert_eq!(blockers_of_m1(&replica, &Budgets::default(), UnsavedWork::Stop), []);
}
