use super::*;
use crate::placement::tests::{add_job, replica_with, spec};
use crate::records::Phase;
use wire::JobKind;

fn fleet_change(removed: &[&str]) -> RecordChange {
    let removed = Some(removed.iter().map(|name| (*name).into()).collect());
    RecordChange::Fleet(Some(FleetRecord { scale_outs: Vec::new(), removed_machines: removed }))
}

/// When a zone is lost, one change to the fleet record removes hundreds of machines. Their own
/// records are deleted later.
#[test]
fn machines_are_removed_by_the_fleet_record_in_any_order_of_changes() {
    let mut replica = replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false)]);
    add_job(&mut replica, spec("j-1", JobKind::Array, 1), &[(0, "a1")]);
    replica.apply(fleet_change(&["a1"]), 5);
    assert!(!replica.machines.contains_key("a1") && replica.machines.contains_key("a2"));
    assert!(replica.owner_of("a1").is_none() && replica.removed_machines.contains_key("a1"));
    assert_eq!(
        replica.machines_without_record.iter().map(|n| &**n).collect::<Vec<_>>(),
        ["a1"],
        "assignments on the removed machine still have to be ended"
    );
    let record = replica.removed_machines["a1"].value.clone();
    // When the records are read again, they may arrive in any order.
    replica.apply(RecordChange::Machine("a1".into(), Some(record)), 6);
    assert!(!replica.machines.contains_key("a1"));
    replica.apply(fleet_change(&[]), 7);
    replica.apply(RecordChange::Machine("a1".into(), None), 7);
    assert!(replica.removed_machines.is_empty() && !replica.machines.contains_key("a1"));
    assert_eq!(replica.team_usage["t"].cpus, 2.0, "usage counts until the job's record ends the task");
    replica.apply(RecordChange::Job("j-1".into(), None), 8);
    assert!(replica.machines_without_record.is_empty());
    // When the records are read again, a job may arrive before its machine.
    add_job(&mut replica, spec("j-2", JobKind::Array, 1), &[(0, "a3")]);
    assert_eq!(replica.machines_without_record.len(), 1);
    let record = replica.machines["a2"].value.clone();
    replica.apply(RecordChange::Machine("a3".into(), Some(record)), 9);
    assert!(replica.machines_without_record.is_empty());
}

/// A controller's own writes may be applied before earlier changes arrive.
#[test]
fn older_changes_do_not_undo_newer_ones() {
    let mut replica = replica_with(&[("a1", "m", "a", false)]);
    let job = JobRecord::new(spec("j-1", JobKind::Array, 2), None, 0);
    let mut newer = job.clone();
    newer.phase = Phase::Cancelled;
    replica.apply(RecordChange::Job("j-1".into(), Some(Box::new(newer))), 9);
    replica.apply(RecordChange::Job("j-1".into(), Some(Box::new(job))), 8);
    assert_eq!(replica.jobs["j-1"].value.phase, Phase::Cancelled);
    replica.mark_unreadable(RecordChange::Job("j-2".into(), None));
    assert!(replica.unreadable.contains("j-2"));
}
