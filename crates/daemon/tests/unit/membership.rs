use super::*;
use sched::replica::RecordChange;

fn member(name: &str, incarnation: u64) -> Member {
    Member { name: name.into(), zone: "z".into(), incarnation }
}

#[test]
fn a_restarted_process_replaces_its_entry_and_the_map_gets_a_new_epoch() {
    let mut replica = Replica::default();
    let (old, new) = (member("a", 1), member("a", 2));
    replica.apply(RecordChange::Member("a".into(), Some(old.clone())), 1);
    replica.apply(RecordChange::Leader(Some(old.clone())), 2);
    replica.apply(RecordChange::Map(Some(ClusterMap { epoch: 7, live: vec![old] })), 3);
    assert!(matches!(
        next_claim(&replica, &new, SCHEMA_VERSION, false),
        Some(Claim::Member { version: 1, records_schema: true })
    ));
    replica.apply(RecordChange::Member("a".into(), Some(new.clone())), 4);
    assert!(matches!(
        next_claim(&replica, &new, SCHEMA_VERSION, false),
        Some(Claim::Leader { version: 2, member_version: 4 })
    ));
    replica.apply(RecordChange::Leader(Some(new.clone())), 5);
    match next_claim(&replica, &new, SCHEMA_VERSION, false) {
        Some(Claim::Map { map, version: 3, leader_version: 5 }) => {
            assert_eq!(map, ClusterMap { epoch: 8, live: vec![new.clone()] });
            replica.apply(RecordChange::Map(Some(map)), 6);
        }
        _ => unreachable!("a new map"),
    }
    assert!(next_claim(&replica, &new, SCHEMA_VERSION, false).is_none());
}

/// A controller that is not the leader has nearly used up its fencing tokens: it raises the epoch
/// itself, and nobody's shard changes. Its claim is conditional on the versions of the map and of
/// its own entry, so it fails against a later map or after the membership is lost.
#[test]
fn epoch_is_raised_when_a_controller_runs_low_on_tokens() {
    let mut replica = Replica::default();
    let (leader, other) = (member("a", 1), member("b", 2));
    let live = vec![leader.clone(), other.clone()];
    replica.apply(RecordChange::Member("a".into(), Some(leader.clone())), 1);
    replica.apply(RecordChange::Member("b".into(), Some(other.clone())), 2);
    replica.apply(RecordChange::Leader(Some(leader)), 3);
    replica.apply(RecordChange::Map(Some(ClusterMap { epoch: 7, live: live.clone() })), 4);
    assert!(next_claim(&replica, &other, SCHEMA_VERSION, false).is_none());
    match next_claim(&replica, &other, SCHEMA_VERSION, true) {
        Some(Claim::Epoch { map, version: 4, member_version: 2 }) => {
            assert_eq!(map, ClusterMap { epoch: 8, live })
        }
        _ => unreachable!("a new epoch"),
    }
    // A controller that is missing from the map has no shard, and so no tokens of this epoch.
    let not_in_map = member("c", 3);
    replica.apply(RecordChange::Member("c".into(), Some(not_in_map.clone())), 5);
    assert!(next_claim(&replica, &not_in_map, SCHEMA_VERSION, true).is_none());
}

/// A process is restarted within a fraction of a second, during an election. Delayed duplicates of
/// its predecessor's requests must conflict: they are conditional on versions that are outdated.
#[test]
fn claims_of_a_predecessor_are_outdated_when_a_process_restarts() {
    let mut replica = Replica::default();
    let (old, new) = (member("a", 1), member("a", 2));
    // The predecessor joined at version 5 and was about to claim the leadership.
    replica.apply(RecordChange::Member("a".into(), Some(old.clone())), 5);
    let Some(Claim::Leader { version: 0, member_version: 5 }) =
        next_claim(&replica, &old, SCHEMA_VERSION, false)
    else {
        unreachable!("leads")
    };
    let Some(Claim::Member { version: 5, records_schema: true }) =
        next_claim(&replica, &new, SCHEMA_VERSION, false)
    else {
        unreachable!("joins")
    };
    replica.apply(RecordChange::Member("a".into(), Some(new.clone())), 6);
    // Its claims were conditional on versions 0 and 5 of the entry.
    assert_eq!(replica.members["a"].version, 6);
    let Some(Claim::Leader { version: 0, member_version: 6 }) =
        next_claim(&replica, &new, SCHEMA_VERSION, false)
    else {
        unreachable!("leads")
    };
    replica.apply(RecordChange::Leader(Some(new.clone())), 7);
    let Some(Claim::Map { map, version: 0, leader_version: 7 }) =
        next_claim(&replica, &new, SCHEMA_VERSION, false)
    else {
        unreachable!("a map")
    };
    assert_eq!(map.live, [new]);
}
