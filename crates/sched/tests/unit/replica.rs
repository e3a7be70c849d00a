use super::*;
use crate::placement::tests::{add_job, replica_with, spec};
use crate::records::Phase;
use wire::JobKind;

fn fleet(gone: &[&str]) -> RecordChange {
    let gone = Some(gone.iter().map(|g| (*g).into()).collect());
    RecordChange::Fleet(Some(FleetRecord { scale_outs: Vec::new(), removed_machines: gone }))
}

/// Hundreds of machines of a lost zone are told gone with one change; their
/// own records follow when there is time.
#[test]
fn machines_are_removed_by_the_fleet_record_in_any_order_of_changes() {
    let mut w = replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false)]);
    add_job(&mut w, spec("j-1", JobKind::Array, 1), &[(0, "a1")]);
    w.apply(fleet(&["a1"]), 5);
    assert!(!w.machines.contains_key("a1") && w.machines.contains_key("a2"));
    assert!(w.owner_of("a1").is_none() && w.removed_machines.contains_key("a1"));
    assert_eq!(
        w.machines_without_record.iter().map(|n| &**n).collect::<Vec<_>>(),
        ["a1"],
        "what is to be ended"
    );
    let record = w.removed_machines["a1"].value.clone();
    // Read anew, the records may come in any order.
    w.apply(RecordChange::Machine("a1".into(), Some(record)), 6);
    assert!(!w.machines.contains_key("a1"));
    w.apply(fleet(&[]), 7);
    w.apply(RecordChange::Machine("a1".into(), None), 7);
    assert!(w.removed_machines.is_empty() && !w.machines.contains_key("a1"));
    assert_eq!(w.team_usage["t"].cpus, 2.0, "the task's end is for its job's record");
    w.apply(RecordChange::Job("j-1".into(), None), 8);
    assert!(w.machines_without_record.is_empty());
    // Read anew, a job may come before its machine.
    add_job(&mut w, spec("j-2", JobKind::Array, 1), &[(0, "a3")]);
    assert_eq!(w.machines_without_record.len(), 1);
    let record = w.machines["a2"].value.clone();
    w.apply(RecordChange::Machine("a3".into(), Some(record)), 9);
    assert!(w.machines_without_record.is_empty());
}

/// News that comes after what this controller wrote itself.
#[test]
fn older_changes_do_not_undo_newer_ones() {
    let mut w = replica_with(&[("a1", "m", "a", false)]);
    let job = JobRecord::new(spec("j-1", JobKind::Array, 2), None, 0);
    let mut newer = job.clone();
    newer.phase = Phase::Cancelled;
    w.apply(RecordChange::Job("j-1".into(), Some(Box::new(newer))), 9);
    w.apply(RecordChange::Job("j-1".into(), Some(Box::new(job))), 8);
    assert_eq!(w.jobs["j-1"].value.phase, Phase::Cancelled);
    w.mark_unreadable(RecordChange::Job("j-2".into(), None));
    assert!(w.unreadable.contains("j-2"));
}
