//! Detection of pauses of this process, during which it could not receive anything.

use std::time::{Duration, Instant};

/// A longer gap than this between two ticks is a pause. Contention for the processor delays timers by
/// less, and workers have to be silent for longer to count as silent.
pub const MIN_PAUSE: Duration = Duration::from_secs(2);

/// Detects pauses by the ticks of a task that does nothing else.
#[derive(Debug)]
pub struct PauseDetector {
    last_tick: Instant,
}

impl PauseDetector {
    /// Starts with a first tick at `now`.
    pub fn new(now: Instant) -> Self {
        Self { last_tick: now }
    }

    /// Whether the process has just been paused. The silence of others may then be due to the pause.
    pub fn was_paused(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tick) > MIN_PAUSE
    }

    /// Records that the process is running. Returns whether it was paused before.
    pub fn tick(&mut self, now: Instant) -> bool {
        let was_paused = self.was_paused(now);
        self.last_tick = now;
        was_paused
    }
}
