use std::time::Instant;

/// What a service that limits its callers lets through: so much a second, and so much
/// at once after a pause. Unlike a client's budget it never waits and never goes into
/// debt: what is above the limit is refused and costs nothing.
#[derive(Debug)]
pub struct TokenBucket {
    per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// `burst_s`: how many seconds' worth may come at once.
    pub fn new(per_s: f64, burst_s: f64, now: Instant) -> Self {
        let burst = per_s * burst_s;
        Self { per_s, burst, tokens: burst, refilled_at: now }
    }

    /// Whether `n` more may pass now; if so, they have.
    pub fn take(&mut self, amount: f64, now: Instant) -> bool {
        let gained = now.saturating_duration_since(self.refilled_at).as_secs_f64() * self.per_s;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
        let admitted = self.tokens >= amount;
        if admitted {
            self.tokens -= amount;
        }
        admitted
    }
}
