use super::*;
use crate::budget::TeamBudget;
use crate::site::{add, spec, world};
use crate::view;

fn found(w: &Replica, budgets: &Budgets, unsaved: UnsavedWork) -> Vec<Blocker> {
    let machine = Machine { name: "m-1".into(), units: view::units_on(w, "m-1") };
    blockers(w, &[machine], budgets, unsaved, 60.0)
}

#[test]
fn a_budget_of_nothing_could_never_be_kept() {
    let mut w = world(&[("m-1", "a")]);
    add(&mut w, spec("j-1", JobKind::Service, 1), &[(0, "m-1")]);
    assert_eq!(found(&w, &Budgets::default(), UnsavedWork::Leave), []);
    let none = Budgets { per_service: 0, ..Budgets::default() };
    assert!(matches!(found(&w, &none, UnsavedWork::Leave)[..], [Blocker::ServiceBudget { .. }]));
    let share = [("t".to_owned(), TeamBudget::Share(0.9))].into();
    let none = Budgets { teams: share, ..Budgets::default() };
    assert!(matches!(found(&w, &none, UnsavedWork::Leave)[..], [Blocker::TeamBudget { .. }]));
}

#[test]
fn a_job_that_fits_nowhere_else_and_one_that_outlasts_the_patience() {
    let mut w = world(&[("m-1", "a"), ("m-2", "b")]);
    let bound = JobSpec { types: Some(vec!["old".into()]), ..spec("j-1", JobKind::Service, 1) };
    add(&mut w, bound, &[(0, "m-1")]);
    assert!(matches!(found(&w, &Budgets::default(), UnsavedWork::Leave)[..], [Blocker::FitsNowhere { .. }]));
    let mut w = world(&[("m-1", "a")]);
    add(&mut w, JobSpec { estimated_runtime_s: 90.0, ..spec("j-2", JobKind::Array, 1) }, &[(0, "m-1")]);
    let long = found(&w, &Budgets::default(), UnsavedWork::Leave);
    assert!(matches!(long[..], [Blocker::OutlastsPatience { .. }]));
    assert_eq!(found(&w, &Budgets::default(), UnsavedWork::Stop), []);
}
