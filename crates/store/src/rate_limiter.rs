//! Rate limit for requests to the key-value store.

use std::time::{Duration, Instant};

/// A token bucket: callers take tokens and wait as long as it says before they send a request to the
/// key-value store.
#[derive(Debug)]
pub struct RateLimiter {
    /// Tokens that are added per second.
    per_s: f64,
    /// The capacity of the bucket, in tokens.
    burst: f64,
    /// Tokens in the bucket as of `filled_at`; negative while there is debt.
    tokens: f64,
    filled_at: Instant,
    /// Since when scheduling cycles have had no allowance.
    denied_since: Option<Instant>,
}

/// Longest time for which scheduling cycles get no allowance because of the debt of other callers.
/// Without this bound, placements would wait for as long as users' changes take up the controller's
/// whole rate.
const MAX_DENIAL: Duration = Duration::from_secs(2);
/// The allowance after [`MAX_DENIAL`], in changes: enough for a change and its fence.
const ALLOWANCE_AFTER_DENIAL: usize = 2;
/// Changes that a cycle may make beyond the available tokens.
const EXTRA_ALLOWANCE: usize = 2;
/// A cycle may use in advance the tokens that will be added within this time, in seconds.
const TOKENS_IN_ADVANCE_S: f64 = 0.5;

/// Longest wait in seconds, and the most debt: as many tokens as are added in this time.
const MAX_DEBT_S: f64 = 2.0;

impl RateLimiter {
    /// Creates a full bucket.
    pub fn new(per_s: f64, burst: f64, now: Instant) -> Self {
        Self { per_s, burst, tokens: burst, filled_at: now, denied_since: None }
    }

    /// The rate at which the bucket fills, in tokens per second.
    pub fn per_second(&self) -> f64 {
        self.per_s
    }

    fn fill(&mut self, now: Instant) {
        let added = now.saturating_duration_since(self.filled_at).as_secs_f64() * self.per_s;
        self.tokens = (self.tokens + added).min(self.burst);
        self.filled_at = now;
    }

    /// The time until the bucket has this many tokens, at most [`MAX_DEBT_S`].
    fn time_until(&mut self, tokens: f64, now: Instant) -> Duration {
        self.fill(now);
        wire::seconds(((tokens - self.tokens) / self.per_s).min(MAX_DEBT_S))
    }

    /// Takes tokens, if need be by going into debt, and returns how long the caller has to wait before
    /// it uses them. `reserve` tokens are left for more urgent callers.
    pub fn acquire(&mut self, tokens: f64, reserve: f64, now: Instant) -> Duration {
        let wait = self.time_until(tokens + reserve, now);
        // The debt is bounded: requests that could not be made are not made up for later.
        self.tokens = (self.tokens - tokens).max(-MAX_DEBT_S * self.per_s);
        wait
    }

    /// Records that the key-value store refused a request by its own rate limit: no tokens are left.
    pub fn note_refusal(&mut self, now: Instant) {
        self.fill(now);
        self.tokens = self.tokens.min(0.0);
    }

    /// How many changes a scheduling cycle may make now. The number grows with the tokens; it is zero
    /// while there is less than one token, but for no longer than `MAX_DENIAL` at a time.
    pub fn allowance(&mut self, now: Instant) -> usize {
        self.fill(now);
        if self.tokens >= 1.0 {
            self.denied_since = None;
            return (self.tokens + self.per_s * TOKENS_IN_ADVANCE_S) as usize + EXTRA_ALLOWANCE;
        }
        let since = *self.denied_since.get_or_insert(now);
        if now.saturating_duration_since(since) < MAX_DENIAL {
            return 0;
        }
        self.denied_since = Some(now);
        ALLOWANCE_AFTER_DENIAL
    }

    /// Changes the rate: each controller's share depends on the number of controllers.
    pub fn set_rate(&mut self, per_s: f64, now: Instant) {
        self.fill(now);
        self.per_s = per_s;
        self.burst = per_s;
    }

    /// The number of tokens in the bucket; negative while there is debt.
    pub fn available(&mut self, now: Instant) -> f64 {
        self.fill(now);
        self.tokens
    }
}

#[cfg(test)]
#[path = "../tests/unit/rate_limiter.rs"]
mod tests;
