//! This controller's share of the changes that the key-value store takes a second.

use std::time::{Duration, Instant};

use store::RateLimiter;

/// How often the share is computed anew.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// What the share was last computed from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShareBasis {
    /// How many controllers are live.
    pub live_controllers: usize,
    /// Whether this controller leads.
    pub is_leader: bool,
    /// The changes a second of all controllers together, as the bits of the number.
    pub total_rate_bits: u64,
}

/// The rate limiter of this controller's changes.
#[derive(Debug)]
pub struct WriteShare {
    /// Limits the changes a second.
    pub limiter: RateLimiter,
    basis: ShareBasis,
    updated_at: Option<Instant>,
}

impl WriteShare {
    /// Half of the `rate` of changes a second, until the cluster map is known.
    pub fn new(rate: f64, now: Instant) -> Self {
        let limiter = RateLimiter::new(rate * 0.5, rate * 0.5, now);
        Self { limiter, basis: ShareBasis::default(), updated_at: None }
    }

    /// Whether the share has to be computed anew: what it depends on has changed, or, for
    /// shares that follow the jobs, some time has passed. If so, it counts as updated.
    pub fn begin_update(&mut self, basis: ShareBasis, follows_jobs: bool, now: Instant) -> bool {
        let is_old = self.updated_at.is_none_or(|at| now.saturating_duration_since(at) >= UPDATE_INTERVAL);
        if self.basis == basis && !(follows_jobs && is_old) {
            return false;
        }
        self.basis = basis;
        self.updated_at = Some(now);
        true
    }
}
