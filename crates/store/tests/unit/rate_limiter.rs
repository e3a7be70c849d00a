use super::*;

#[test]
fn callers_wait_for_missing_tokens() {
    let t = Instant::now();
    let mut b = RateLimiter::new(10.0, 5.0, t);
    assert_eq!(b.acquire(5.0, 0.0, t), Duration::ZERO);
    assert_eq!(b.acquire(1.0, 0.0, t), Duration::from_millis(100));
    assert_eq!(b.acquire(1.0, 2.0, t + Duration::from_millis(200)), Duration::from_millis(200));
    for _ in 0..100 {
        assert!(b.acquire(5.0, 0.0, t) <= Duration::from_secs(2));
    }
    assert!(b.available(t + Duration::from_secs(3)) > 0.0, "debt is bounded");
    b.note_refusal(t + Duration::from_secs(9));
    assert!(b.available(t + Duration::from_secs(9)) <= 0.0);
}
