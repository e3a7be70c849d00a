//! The time, by the runtime's clock: tests let it run without waiting for it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The time by the monotonic clock.
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// How long ago a time was.
pub fn since(at: Instant) -> Duration {
    now().saturating_duration_since(at)
}

/// The time of day, in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let runtime = now();
    let machine = Instant::now();
    let ahead = runtime.saturating_duration_since(machine);
    let behind = machine.saturating_duration_since(runtime);
    // Unless the runtime's clock is paused by a test, both are next to nothing.
    let wall = SystemTime::now() + ahead - behind;
    wall.duration_since(UNIX_EPOCH).map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}
