use std::time::{Duration, Instant};

/// A token bucket that callers wait on before they use the state service.
#[derive(Debug)]
pub struct RateLimiter {
    per_s: f64,
    burst: f64,
    level: f64,
    at: Instant,
    /// Since when rounds have had nothing.
    denied: Option<Instant>,
}

/// How long rounds wait for others' debt before they have a change and its fence all the
/// same: where users' changes take up a controller's whole share, what it places would
/// wait for as long as they go on.
const DENIED_FOR: Duration = Duration::from_secs(2);
const ALLOWED_THEN: usize = 2;

/// Most debt, in seconds of the rate, and longest wait.
const DEBT_S: f64 = 2.0;

impl RateLimiter {
    /// A bucket that is full now and fills at this rate.
    pub fn new(per_s: f64, burst: f64, now: Instant) -> Self {
        Self { per_s, burst, level: burst, at: now, denied: None }
    }

    /// The rate at which it fills.
    pub fn per_second(&self) -> f64 {
        self.per_s
    }

    fn fill(&mut self, now: Instant) {
        let gained = now.saturating_duration_since(self.at).as_secs_f64() * self.per_s;
        self.level = (self.level + gained).min(self.burst);
        self.at = now;
    }

    /// How long until there are `n` units.
    fn wait(&mut self, n: f64, now: Instant) -> Duration {
        self.fill(now);
        wire::seconds(((n - self.level) / self.per_s).min(DEBT_S))
    }

    /// Takes `n` units, going into debt, and tells how long to wait first.
    /// `reserve` is left for more urgent callers.
    pub fn acquire(&mut self, n: f64, reserve: f64, now: Instant) -> Duration {
        let wait = self.wait(n + reserve, now);
        // Debt does not pile up: what could not be done is not done later.
        self.level = (self.level - n).max(-DEBT_S * self.per_s);
        wait
    }

    /// The service refused for its rate: whatever was thought left is gone.
    pub fn note_refusal(&mut self, now: Instant) {
        self.fill(now);
        self.level = self.level.min(0.0);
    }

    /// How many changes a round may have now: nothing while there is debt, but not for
    /// ever, and more the more has been saved up.
    pub fn allowance(&mut self, now: Instant) -> usize {
        self.fill(now);
        if self.level >= 1.0 {
            self.denied = None;
            return (self.level + self.per_s * 0.5) as usize + 2;
        }
        let since = *self.denied.get_or_insert(now);
        if now.saturating_duration_since(since) < DENIED_FOR {
            return 0;
        }
        self.denied = Some(now);
        ALLOWED_THEN
    }

    /// A controller's share changes with the number of controllers.
    pub fn set_rate(&mut self, per_s: f64, now: Instant) {
        self.fill(now);
        self.per_s = per_s;
        self.burst = per_s;
    }

    /// How many units are there now.
    pub fn available(&mut self, now: Instant) -> f64 {
        self.fill(now);
        self.level
    }
}

#[cfg(test)]
#[path = "../tests/unit/rate_limiter.rs"]
mod tests;
