use std::time::Instant;

/// A token bucket on the server side: limits the rate of requests and the size of bursts. Unlike
/// a client's rate limiter it never waits and never goes into debt: a request above the limit is
/// refused and takes no tokens.
#[derive(Debug)]
pub struct TokenBucket {
    per_s: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// `burst_s`: the largest burst, in seconds of the rate.
    pub fn new(per_s: f64, burst_s: f64, now: Instant) -> Self {
        let burst = per_s * burst_s;
        Self { per_s, burst, tokens: burst, refilled_at: now }
    }

    /// Takes `amount` tokens if there are enough of them; returns whether it did.
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
