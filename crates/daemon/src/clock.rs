//! The current time, read from the runtime's clock, which tests can advance without waiting.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The current time of the monotonic clock.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// The time that has passed since an instant.
pub fn since(at: Instant) -> Duration {
    now().saturating_duration_since(at)
}

/// The wall-clock time, in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    #[cfg(test)]
    if let Some(simulated_ms) = simulated_clock::wall_ms() {
        return simulated_ms;
    }
    let runtime_now = now();
    let system_now = Instant::now();
    let ahead = runtime_now.saturating_duration_since(system_now);
    let behind = system_now.saturating_duration_since(runtime_now);
    // Both differences are close to zero unless a test has paused the runtime's clock.
    let wall = SystemTime::now() + ahead - behind;
    wall.duration_since(UNIX_EPOCH).map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

#[cfg(test)]
#[path = "../tests/unit/simulated_clock.rs"]
pub(crate) mod simulated_clock;
