//! Detection of pauses of this process, during which it could not hear anybody.

use std::time::{Duration, Instant};

/// A gap of this length between two ticks is a pause: more than the processor's share makes
/// timers late, less than workers need to count as silent.
pub const MIN_PAUSE: Duration = Duration::from_secs(2);

/// Notices pauses by ticks of a task that does nothing else.
#[derive(Debug)]
pub struct PauseDetector {
    last_tick: Instant,
}

impl PauseDetector {
    /// A process that runs now.
    pub fn new(now: Instant) -> Self {
        Self { last_tick: now }
    }

    /// Whether the process was paused until just now: the silence of others that it knows of is
    /// then its own.
    pub fn was_paused(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tick) > MIN_PAUSE
    }

    /// The process runs. Returns whether it was paused before.
    pub fn tick(&mut self, now: Instant) -> bool {
        let was_paused = self.was_paused(now);
        self.last_tick = now;
        was_paused
    }
}
