use super::*;

#[test]
fn callers_wait_when_tokens_are_missing() {
    let start = Instant::now();
    let mut limiter = RateLimiter::new(10.0, 5.0, start);
    assert_eq!(limiter.acquire(5.0, 0.0, start), Duration::ZERO);
    assert_eq!(limiter.acquire(1.0, 0.0, start), Duration::from_millis(100));
    assert_eq!(limiter.acquire(1.0, 2.0, start + Duration::from_millis(200)), Duration::from_millis(200));
    for _ in 0..100 {
        assert!(limiter.acquire(5.0, 0.0, start) <= Duration::from_secs(2));
    }
    assert!(limiter.available(start + Duration::from_secs(3)) > 0.0, "debt is bounded");
    limiter.note_refusal(start + Duration::from_secs(9));
    assert!(limiter.available(start + Duration::from_secs(9)) <= 0.0);
}
