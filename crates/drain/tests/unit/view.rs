use super::*;
use crate::site::{add, spec, start_drain, world};
use sched::drain_records::DisruptionCause;
use sched::records::{DesiredState, TerminationReason};
use sched::replica::RecordChange;

fn names(drain: &Drain) -> Vec<&str> {
    drain.machines.iter().map(|m| &*m.name).collect()
}

fn drains(w: &Replica, orders: &Orders) -> Vec<Drain> {
    active_drains(w, &Budgets::default(), orders)
}

/// A drain that ended before its last machine was written down as gone told of that one for good
/// that it was kept.
#[test]
fn a_drain_is_over_once_all_that_is_gone_is_written_down() {
    let mut w = world(&[("m-1", "a"), ("m-2", "a")]);
    start_drain(&mut w, "d", &["m-1"], 5);
    w.apply(RecordChange::Machine("m-1".into(), None), 6);
    assert!(drains(&w, &Orders::default()).is_empty());
    let mut cordon = w.drains.cordons[&("d".to_owned(), 0)].value.clone();
    assert!(cordon.mark_gone(&"m-1".into()));
    w.apply(RecordChange::Cordon(("d".into(), 0), Some(cordon)), 7);
    let over = drains(&w, &Orders::default());
    assert!(over.len() == 1 && over[0].machines.is_empty());
}

#[test]
fn machines_come_in_the_order_that_is_given_or_the_greedy_one() {
    let mut w = world(&[("m-1", "a"), ("m-2", "a"), ("m-3", "a")]);
    add(&mut w, spec("j-1", JobKind::Service, 2), &[(0, "m-1"), (1, "m-1")]);
    add(&mut w, spec("j-2", JobKind::Service, 1), &[(0, "m-2")]);
    start_drain(&mut w, "d", &["m-1", "m-2", "m-3"], 5);
    assert_eq!(names(&drains(&w, &Orders::default())[0]), ["m-3", "m-2", "m-1"]);
    let orders = [("d".to_owned(), vec!["m-2".into(), "m-1".into()])].into_iter().collect();
    assert_eq!(names(&drains(&w, &orders)[0]), ["m-2", "m-1", "m-3"], "what it does not name comes last");
}

#[test]
fn a_gang_is_one_unit_on_each_of_its_machines() {
    let mut w = world(&[("m-1", "a"), ("m-2", "a")]);
    let gang = wire::JobSpec { checkpoint_interval_s: 5.0, ..spec("j-1", JobKind::Gang, 3) };
    add(&mut w, gang, &[(0, "m-1"), (1, "m-1"), (2, "m-2")]);
    let units = units_on(&w, "m-1");
    assert!(units.len() == 1 && units[0].work == Work::Saving && !units[0].stopping);
    assert_eq!(units[0].id, units_on(&w, "m-2")[0].id);
    let mut job = w.jobs["j-1"].value.clone();
    sched::spot_notice::mark_to_stop(&mut job, 2);
    w.apply(RecordChange::Job("j-1".into(), Some(job)), 7);
    assert!(units_on(&w, "m-1")[0].stopping, "all of it stops");
}

#[test]
fn an_entry_goes_once_a_later_attempt_runs_or_none_will() {
    let mut w = world(&[("m-1", "a"), ("m-2", "a")]);
    add(&mut w, spec("j-1", JobKind::Service, 1), &[(0, "m-1")]);
    let by = DisruptionCause::Rescheduler;
    let entry = Disruption { job: "j-1".into(), task: 0, attempt: 1, cause: by, since_ms: 0 };
    let mut seen = ObservedTasks::default();
    seen.note("j-1", 0, 1);
    assert!(!is_settled(&w, &entry, &seen), "that is the one that was stopped");
    let mut job = w.jobs["j-1"].value.clone();
    job.end_assignment(0, 1, TerminationReason::Stopped, 0, 0);
    let place =
        Assignment { task: 0, attempt: job.attempt, machine: "m-2".into(), desired: DesiredState::Running };
    job.assignments = vec![place];
    w.apply(RecordChange::Job("j-1".into(), Some(job.clone())), 7);
    assert!(!is_settled(&w, &entry, &seen), "its replacement has a place and does not run");
    seen.note("j-1", 0, job.attempt);
    assert!(is_settled(&w, &entry, &seen));
    job.phase = Phase::Cancelled;
    w.apply(RecordChange::Job("j-1".into(), Some(job)), 8);
    assert!(is_settled(&w, &entry, &ObservedTasks::default()), "none will come");
}
