use std::time::Instant;

/// What a service that limits its callers lets through: so much a second, and so much
/// at once after a pause. Unlike a client's budget it never waits and never goes into
/// debt: what is above the limit is refused and costs nothing.
#[derive(Debug)]
pub struct Bucket {
    per_s: f64,
    burst: f64,
    level: f64,
    at: Instant,
}

impl Bucket {
    /// `burst_s`: how many seconds' worth may come at once.
    pub fn new(per_s: f64, burst_s: f64, now: Instant) -> Self {
        let burst = per_s * burst_s;
        Self { per_s, burst, level: burst, at: now }
    }

    /// Whether `n` more may pass now; if so, they have.
    pub fn take(&mut self, n: f64, now: Instant) -> bool {
        let gained = now.saturating_duration_since(self.at).as_secs_f64() * self.per_s;
        self.level = (self.level + gained).min(self.burst);
        self.at = self.at.max(now);
        let passes = self.level >= n;
        if passes {
            self.level -= n;
        }
        passes
    }
}
