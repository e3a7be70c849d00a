//! The wall-clock time in simulations, which follows from the runtime's paused clock alone. With the
//! system's clock, the milliseconds that a simulation records would differ from run to run.

use std::cell::Cell;
use std::time::{Duration, Instant};

use super::{now, since};

/// The wall-clock time at which every simulation begins.
const EPOCH: Duration = Duration::from_secs(1_700_000_000);

thread_local! {
    /// When the simulation of this thread began; `None` if there is none.
    static STARTED_AT: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Simulates the wall-clock time of this thread from now on, until the result is dropped.
pub(crate) fn start() -> SimulatedClock {
    STARTED_AT.set(Some(now()));
    SimulatedClock
}

/// Simulates the wall-clock time of this thread.
pub(crate) struct SimulatedClock;

impl Drop for SimulatedClock {
    fn drop(&mut self) {
        STARTED_AT.set(None);
    }
}

/// The simulated time in milliseconds since the Unix epoch; `None` without a simulation.
pub(super) fn wall_ms() -> Option<u64> {
    STARTED_AT.get().map(|started_at| (EPOCH + since(started_at)).as_millis() as u64)
}
