use super::*;
use crate::site::{add_job, replica_with_machines, spec, start_drain};
use sched::drain_records::DisruptionCause;
use sched::records::{DesiredState, TerminationReason};
use sched::replica::RecordChange;

fn names(drain: &Drain) -> Vec<&str> {
    drain.machines.iter().map(|m| &*m.name).collect()
}

fn drains(replica: &Replica, orders: &Orders) -> Vec<Drain> {
    active_drains(replica, &Budgets::default(), orders)
}

/// If a drain finished before its last machine was recorded as gone, its status would report that
/// machine as kept for good.
#[test]
fn a_drain_is_over_only_once_its_machines_are_recorded_as_gone() {
    let mut replica = replica_with_machines(&[("m-1", "a"), ("m-2", "a")]);
    start_drain(&mut replica, "d", &["m-1"], 5);
    replica.apply(RecordChange::Machine("m-1".into(), None), 6);
    assert!(drains(&replica, &Orders::default()).is_empty());
    let mut cordon = replica.drains.cordons[&("d".to_owned(), 0)].value.clone();
    assert!(cordon.mark_gone(&"m-1".into()));
    replica.apply(RecordChange::Cordon(("d".into(), 0), Some(cordon)), 7);
    let drains_to_finish = drains(&replica, &Orders::default());
    assert!(drains_to_finish.len() == 1 && drains_to_finish[0].machines.is_empty());
}

#[test]
fn machines_are_in_the_planned_order_or_else_in_the_greedy_order() {
    let mut replica = replica_with_machines(&[("m-1", "a"), ("m-2", "a"), ("m-3", "a")]);
    add_job(&mut replica, spec("j-1", JobKind::Service, 2), &[(0, "m-1"), (1, "m-1")]);
    add_job(&mut replica, spec("j-2", JobKind::Service, 1), &[(0, "m-2")]);
    start_drain(&mut replica, "d", &["m-1", "m-2", "m-3"], 5);
    assert_eq!(names(&drains(&replica, &Orders::default())[0]), ["m-3", "m-2", "m-1"]);
    let orders = [("d".to_owned(), vec!["m-2".into(), "m-1".into()])].into_iter().collect();
    assert_eq!(
        names(&drains(&replica, &orders)[0]),
        ["m-2", "m-1", "m-3"],
        "machines that the planned order lacks come last"
    );
}

#[test]
fn a_gang_is_one_unit_on_each_of_its_machines() {
    let mut replica = replica_with_machines(&[("m-1", "a"), ("m-2", "a")]);
    let gang = wire::JobSpec { checkpoint_interval_s: 5.0, ..spec("j-1", JobKind::Gang, 3) };
    add_job(&mut replica, gang, &[(0, "m-1"), (1, "m-1"), (2, "m-2")]);
    let units = units_on(&replica, "m-1");
    assert!(units.len() == 1 && units[0].work == WorkKind::Checkpointing && !units[0].stopping);
    assert_eq!(units[0].id, units_on(&replica, "m-2")[0].id);
    let mut job = replica.jobs["j-1"].value.clone();
    sched::spot_notice::mark_to_stop(&mut job, 2);
    replica.apply(RecordChange::Job("j-1".into(), Some(job)), 7);
    assert!(units_on(&replica, "m-1")[0].stopping, "the whole gang is stopping");
}

#[test]
fn a_disruption_is_resolved_once_a_later_attempt_runs_or_none_will_come() {
    let mut replica = replica_with_machines(&[("m-1", "a"), ("m-2", "a")]);
    add_job(&mut replica, spec("j-1", JobKind::Service, 1), &[(0, "m-1")]);
    let rescheduler = DisruptionCause::Rescheduler;
    let disruption = Disruption { job: "j-1".into(), task: 0, attempt: 1, cause: rescheduler, since_ms: 0 };
    let mut observed = ObservedTasks::default();
    observed.note("j-1", 0, 1);
    assert!(
        !is_resolved(&replica, &disruption, &observed),
        "the running attempt is the one that was stopped"
    );
    let mut job = replica.jobs["j-1"].value.clone();
    job.end_assignment(0, 1, TerminationReason::Stopped, 0, 0);
    let replacement =
        Assignment { task: 0, attempt: job.attempt, machine: "m-2".into(), desired: DesiredState::Running };
    job.assignments = vec![replacement];
    replica.apply(RecordChange::Job("j-1".into(), Some(job.clone())), 7);
    assert!(!is_resolved(&replica, &disruption, &observed), "the replacement is assigned but does not run");
    observed.note("j-1", 0, job.attempt);
    assert!(is_resolved(&replica, &disruption, &observed));
    job.phase = Phase::Cancelled;
    replica.apply(RecordChange::Job("j-1".into(), Some(job)), 8);
    assert!(
        is_resolved(&replica, &disruption, &ObservedTasks::default()),
        "a cancelled job gets no replacement"
    );
}
