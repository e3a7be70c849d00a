//! The rate limit for requests to the key-value store.

use std::time::{Duration, Instant};

/// A token bucket that callers wait on before they use the key-value store.
#[derive(Debug)]
pub struct RateLimiter {
    /// Tokens that are added a second.
    per_s: f64,
    /// Most tokens that the bucket holds.
    burst: f64,
    /// Tokens that it holds as of `filled_at`; negative while there is debt.
    tokens: f64,
    filled_at: Instant,
    /// Since when scheduling cycles have had no allowance.
    denied_since: Option<Instant>,
}

/// How long scheduling cycles wait for the debt of others before they have an allowance all the
/// same: where users' changes take up a controller's whole rate, placements would otherwise wait for
/// as long as these go on.
const MAX_DENIAL: Duration = Duration::from_secs(2);
/// The allowance after that: a change and its fence.
const ALLOWANCE_AFTER_DENIAL: usize = 2;
/// Changes that a cycle may have beyond those that there are tokens for.
const EXTRA_ALLOWANCE: usize = 2;
/// For how long a cycle may use up the rate ahead of time.
const ALLOWANCE_AHEAD_S: f64 = 0.5;

/// Most debt, in seconds of the rate, and longest wait.
const MAX_DEBT_S: f64 = 2.0;

impl RateLimiter {
    /// A bucket that is full now and fills at this rate.
    pub fn new(per_s: f64, burst: f64, now: Instant) -> Self {
        Self { per_s, burst, tokens: burst, filled_at: now, denied_since: None }
    }

    /// The rate at which it fills, in tokens a second.
    pub fn per_second(&self) -> f64 {
        self.per_s
    }

    fn fill(&mut self, now: Instant) {
        let gained = now.saturating_duration_since(self.filled_at).as_secs_f64() * self.per_s;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.filled_at = now;
    }

    /// How long until there are this many tokens.
    fn time_until(&mut self, tokens: f64, now: Instant) -> Duration {
        self.fill(now);
        wire::seconds(((tokens - self.tokens) / self.per_s).min(MAX_DEBT_S))
    }

    /// Takes tokens, going into debt, and returns how long to wait first. `reserve` tokens are left
    /// for more urgent callers.
    pub fn acquire(&mut self, tokens: f64, reserve: f64, now: Instant) -> Duration {
        let wait = self.time_until(tokens + reserve, now);
        // Debt is bounded: what could not be done is not done later.
        self.tokens = (self.tokens - tokens).max(-MAX_DEBT_S * self.per_s);
        wait
    }

    /// Notes that the key-value store refused a request by its own rate limit: there are no tokens.
    pub fn note_refusal(&mut self, now: Instant) {
        self.fill(now);
        self.tokens = self.tokens.min(0.0);
    }

    /// How many changes a scheduling cycle may have now: none while there is debt, though not for
    /// more than a while, and the more the more tokens there are.
    pub fn allowance(&mut self, now: Instant) -> usize {
        self.fill(now);
        if self.tokens >= 1.0 {
            self.denied_since = None;
            return (self.tokens + self.per_s * ALLOWANCE_AHEAD_S) as usize + EXTRA_ALLOWANCE;
        }
        let since = *self.denied_since.get_or_insert(now);
        if now.saturating_duration_since(since) < MAX_DENIAL {
            return 0;
        }
        self.denied_since = Some(now);
        ALLOWANCE_AFTER_DENIAL
    }

    /// Changes the rate: the share of a controller depends on how many there are.
    pub fn set_rate(&mut self, per_s: f64, now: Instant) {
        self.fill(now);
        self.per_s = per_s;
        self.burst = per_s;
    }

    /// How many tokens there are now.
    pub fn available(&mut self, now: Instant) -> f64 {
        self.fill(now);
        self.tokens
    }
}

#[cfg(test)]
#[path = "../tests/unit/rate_limiter.rs"]
mod tests;
