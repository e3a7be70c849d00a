use super::*;

#[test]
fn ranges_merge_and_count() {
    let mut r = Ranges::default();
    for n in [5, 3, 4, 0, 1, 2, 9, 4] {
        r.insert(n);
    }
    assert_eq!(r, Ranges(vec![(0, 6), (9, 10)]));
    assert_eq!((r.len(), r.first_missing()), (7, 6));
    assert!(r.contains(5) && !r.contains(6) && r.contains(9));
}

#[test]
fn owner_stays_in_the_zone_while_it_has_a_controller() {
    let member = |n: &str, z: &str| Member { name: n.into(), zone: z.into(), incarnation: 1 };
    let map = ClusterMap { epoch: 1, live: vec![member("a", "x"), member("b", "y"), member("c", "x")] };
    for i in 0..50 {
        let owner = map.owner(&format!("host-{i:06}"), "y").map(|m| m.name.as_str());
        assert_eq!(owner, Some("b"));
    }
    let of =
        |z| (0..50).filter_map(|i| map.owner(&format!("host-{i:06}"), z)).filter(|m| m.name == "a").count();
    assert!((10..40).contains(&of("x")));
    assert!((5..30).contains(&of("z")));
}
