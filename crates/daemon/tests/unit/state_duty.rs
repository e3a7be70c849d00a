use super::*;
use sched::world::Change;

fn member(name: &str, incarnation: u64) -> Member {
    Member { name: name.into(), zone: "z".into(), incarnation }
}

#[test]
fn a_restarted_process_replaces_its_entry_and_the_map_gets_a_new_epoch() {
    let mut world = World::default();
    let (old, new) = (member("a", 1), member("a", 2));
    world.apply(Change::Member("a".into(), Some(old.clone())), 1);
    world.apply(Change::Leader(Some(old.clone())), 2);
    world.apply(Change::Map(Some(MapRecord { epoch: 7, live: vec![old] })), 3);
    assert!(matches!(next_claim(&world, &new), Some(Claim::Member(1, true))));
    world.apply(Change::Member("a".into(), Some(new.clone())), 4);
    assert!(matches!(next_claim(&world, &new), Some(Claim::Leader(2, 4))));
    world.apply(Change::Leader(Some(new.clone())), 5);
    match next_claim(&world, &new) {
        Some(Claim::Map(map, 3, 5)) => {
            assert_eq!(map, MapRecord { epoch: 8, live: vec![new.clone()] });
            world.apply(Change::Map(Some(map)), 6);
        }
        _ => unreachable!("a new map"),
    }
    assert!(next_claim(&world, &new).is_none());
}

/// Back within a fraction of a second, in the middle of an election: late
/// copies of what the predecessor asked for name versions that are gone.
#[test]
fn what_a_predecessor_asked_for_no_longer_applies() {
    let mut world = World::default();
    let (old, new) = (member("a", 1), member("a", 2));
    // The predecessor joined at 5 and was about to lead.
    world.apply(Change::Member("a".into(), Some(old.clone())), 5);
    let Some(Claim::Leader(0, 5)) = next_claim(&world, &old) else { unreachable!("leads") };
    let Some(Claim::Member(5, true)) = next_claim(&world, &new) else { unreachable!("joins") };
    world.apply(Change::Member("a".into(), Some(new.clone())), 6);
    // Its claims were conditional on versions 0 and 5 of the entry.
    assert_eq!(world.members["a"].version, 6);
    let Some(Claim::Leader(0, 6)) = next_claim(&world, &new) else { unreachable!("leads") };
    world.apply(Change::Leader(Some(new.clone())), 7);
    let Some(Claim::Map(map, 0, 7)) = next_claim(&world, &new) else { unreachable!("a map") };
    assert_eq!(map.live, [new]);
}
