//! This controller's membership of the cluster: its lease, and whether it stays out because it is
//! isolated.

use std::time::{Duration, Instant};

/// Least time for which an isolated controller stays out of the cluster.
const MIN_ISOLATION: Duration = Duration::from_secs(5);
/// Least time after the start before a controller may judge itself isolated.
const MIN_UPTIME: Duration = Duration::from_secs(10);
/// Least time between rejoining and leaving again, because machines change owners each time.
const MIN_TIME_BETWEEN_ISOLATIONS: Duration = Duration::from_secs(20);

/// The membership of this controller.
#[derive(Debug)]
pub struct Membership {
    /// The lease that this controller's entry among the members is attached to.
    pub lease: Option<u64>,
    started_at: Instant,
    /// Since when this controller has been isolated and left its machines to the others.
    isolated_since: Option<Instant>,
    rejoined_at: Option<Instant>,
}

impl Membership {
    /// The membership of a process that has just started and has not joined.
    pub fn new(now: Instant) -> Self {
        Self { lease: None, started_at: now, isolated_since: None, rejoined_at: None }
    }

    /// Whether this controller stays out of the cluster because it is isolated.
    pub fn is_isolated(&self) -> bool {
        self.isolated_since.is_some()
    }

    /// Whether an isolated controller has been out of the cluster for long enough to rejoin.
    pub fn may_rejoin(&self, now: Instant) -> bool {
        self.isolated_since.is_some_and(|since| now.saturating_duration_since(since) >= MIN_ISOLATION)
    }

    /// Whether enough time has passed to leave the cluster: since the start of the process, and
    /// since the controller last rejoined.
    pub fn may_leave(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started_at) >= MIN_UPTIME
            && self
                .rejoined_at
                .is_none_or(|at| now.saturating_duration_since(at) >= MIN_TIME_BETWEEN_ISOLATIONS)
    }

    /// Marks this controller as isolated: it leaves its machines to the others.
    pub fn isolate(&mut self, now: Instant) {
        self.isolated_since = Some(now);
    }

    /// Ends the isolation.
    pub fn rejoin(&mut self, now: Instant) {
        self.isolated_since = None;
        self.rejoined_at = Some(now);
    }
}
