use super::*;

#[test]
fn ranges_merge_adjacent_numbers_and_count_members() {
    let mut ranges = Ranges::default();
    for n in [5, 3, 4, 0, 1, 2, 9, 4] {
        ranges.insert(n);
    }
    assert_eq!(ranges, Ranges(vec![(0, 6), (9, 10)]));
    assert_eq!((ranges.len(), ranges.first_missing()), (7, 6));
    assert!(ranges.contains(5) && !ranges.contains(6) && ranges.contains(9));
}

#[test]
fn owner_is_in_the_zone_of_the_machine_while_the_zone_has_a_controller() {
    let member = |n: &str, z: &str| Member { name: n.into(), zone: z.into(), incarnation: 1 };
    let map = ClusterMap { epoch: 1, live: vec![member("a", "x"), member("b", "y"), member("c", "x")] };
    for i in 0..50 {
        let owner = map.owner(&format!("host-{i:06}"), "y").map(|m| m.name.as_str());
        assert_eq!(owner, Some("b"));
    }
    let count_owned_by_a =
        |z| (0..50).filter_map(|i| map.owner(&format!("host-{i:06}"), z)).filter(|m| m.name == "a").count();
    assert!((10..40).contains(&count_owned_by_a("x")));
    assert!((5..30).contains(&count_owned_by_a("z")));
}
