use super::*;

#[test]
fn waits_for_what_is_missing() {
    let t = Instant::now();
    let mut b = Budget::new(10.0, 5.0, t);
    assert_eq!(b.take(5.0, 0.0, t), Duration::ZERO);
    assert_eq!(b.take(1.0, 0.0, t), Duration::from_millis(100));
    assert_eq!(b.take(1.0, 2.0, t + Duration::from_millis(200)), Duration::from_millis(200));
    for _ in 0..100 {
        assert!(b.take(5.0, 0.0, t) <= Duration::from_secs(2));
    }
    assert!(b.level(t + Duration::from_secs(3)) > 0.0, "debt is bounded");
    b.drained(t + Duration::from_secs(9));
    assert!(b.level(t + Duration::from_secs(9)) <= 0.0);
}
