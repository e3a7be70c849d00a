use super::*;
use sched::records::{Assignment, DesiredState, JobRecord, Phase};
use sched::replica::RecordChange;

fn member(name: &str, incarnation: u64) -> Member {
    Member { name: name.into(), zone: "z".into(), incarnation }
}

#[test]
fn a_restarted_process_replaces_its_entry_and_the_map_gets_a_new_epoch() {
    let mut world = Replica::default();
    let (old, new) = (member("a", 1), member("a", 2));
    world.apply(RecordChange::Member("a".into(), Some(old.clone())), 1);
    world.apply(RecordChange::Leader(Some(old.clone())), 2);
    world.apply(RecordChange::Map(Some(ClusterMap { epoch: 7, live: vec![old] })), 3);
    assert!(matches!(next_claim(&world, &new, SCHEMA_VERSION, false), Some(Claim::Member(1, true))));
    world.apply(RecordChange::Member("a".into(), Some(new.clone())), 4);
    assert!(matches!(next_claim(&world, &new, SCHEMA_VERSION, false), Some(Claim::Leader(2, 4))));
    world.apply(RecordChange::Leader(Some(new.clone())), 5);
    match next_claim(&world, &new, SCHEMA_VERSION, false) {
        Some(Claim::Map(map, 3, 5)) => {
            assert_eq!(map, ClusterMap { epoch: 8, live: vec![new.clone()] });
            world.apply(RecordChange::Map(Some(map)), 6);
        }
        _ => unreachable!("a new map"),
    }
    assert!(next_claim(&world, &new, SCHEMA_VERSION, false).is_none());
}

/// A controller that is not the leader has nearly used up its tokens: it raises the epoch
/// itself, and nobody's part changes. What it asked for does not apply to a later map, nor
/// after it has lost its membership.
#[test]
fn a_controller_short_of_tokens_raises_the_epoch() {
    let mut world = Replica::default();
    let (leader, other) = (member("a", 1), member("b", 2));
    let live = vec![leader.clone(), other.clone()];
    world.apply(RecordChange::Member("a".into(), Some(leader.clone())), 1);
    world.apply(RecordChange::Member("b".into(), Some(other.clone())), 2);
    world.apply(RecordChange::Leader(Some(leader)), 3);
    world.apply(RecordChange::Map(Some(ClusterMap { epoch: 7, live: live.clone() })), 4);
    assert!(next_claim(&world, &other, SCHEMA_VERSION, false).is_none());
    match next_claim(&world, &other, SCHEMA_VERSION, true) {
        Some(Claim::Epoch(map, 4, 2)) => assert_eq!(map, ClusterMap { epoch: 8, live }),
        _ => unreachable!("a new epoch"),
    }
    // Not one that the map does not hold: it has no part, and so no tokens of this epoch.
    let stranger = member("c", 3);
    world.apply(RecordChange::Member("c".into(), Some(stranger.clone())), 5);
    assert!(next_claim(&world, &stranger, SCHEMA_VERSION, true).is_none());
}

/// Back within a fraction of a second, in the middle of an election: late
/// copies of what the predecessor asked for name versions that are gone.
#[test]
fn what_a_predecessor_asked_for_no_longer_applies() {
    let mut world = Replica::default();
    let (old, new) = (member("a", 1), member("a", 2));
    // The predecessor joined at 5 and was about to lead.
    world.apply(RecordChange::Member("a".into(), Some(old.clone())), 5);
    let Some(Claim::Leader(0, 5)) = next_claim(&world, &old, SCHEMA_VERSION, false) else {
        unreachable!("leads")
    };
    let Some(Claim::Member(5, true)) = next_claim(&world, &new, SCHEMA_VERSION, false) else {
        unreachable!("joins")
    };
    world.apply(RecordChange::Member("a".into(), Some(new.clone())), 6);
    // Its claims were conditional on versions 0 and 5 of the entry.
    assert_eq!(world.members["a"].version, 6);
    let Some(Claim::Leader(0, 6)) = next_claim(&world, &new, SCHEMA_VERSION, false) else {
        unreachable!("leads")
    };
    world.apply(RecordChange::Leader(Some(new.clone())), 7);
    let Some(Claim::Map(map, 0, 7)) = next_claim(&world, &new, SCHEMA_VERSION, false) else {
        unreachable!("a map")
    };
    assert_eq!(map.live, [new]);
}

/// All records are read anew, as the changes are too far back. A cancellation that was
/// committed and confirmed after the first page stays known, though a page from before
/// it comes last: a peer that asks for the read index has to hear of it.
#[test]
fn what_was_confirmed_while_records_are_read_anew_stays_known() {
    let record = |phase| {
        let mut job = JobRecord::new(crate::worker::tests::spec("j-1", wire::JobKind::Array), None, 0);
        job.assignments = vec![Assignment {
            task: 0,
            attempt: 1,
            machine: "host-1".into(),
            desired: DesiredState::Running,
        }];
        job.phase = phase;
        Box::new(job)
    };
    let (mut read, mut known) = (Replica::default(), Replica::default());
    read.revision = 10;
    for id in ["j-1", "j-2"] {
        read.apply(RecordChange::Job(id.into(), Some(record(Phase::Active))), 5);
    }
    known.apply(RecordChange::Job("j-1".into(), Some(record(Phase::Cancelled))), 12);
    // What it knew from before is no newer than what was read.
    known.apply(RecordChange::Job("j-2".into(), Some(record(Phase::Cancelled))), 4);
    keep_newer(&mut read, &known);
    let seen = |id: &str| (read.jobs[id].value.phase, read.jobs[id].version);
    assert_eq!((seen("j-1"), seen("j-2")), ((Phase::Cancelled, 12), (Phase::Active, 5)));
    assert_eq!(read.revision, 10, "the changes in between are still to come");
}
