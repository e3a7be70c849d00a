//! The state machine of a drain's record: how each event changes it.

use std::time::Duration;

use sched::drain_records::{CapacitySearch, DrainEnd, DrainPhase, DrainRecord, Obstacle};

/// After this many failed attempts to get capacity a drain stops.
pub const MAX_CAPACITY_ATTEMPTS: u32 = 4;
/// The pause after the first failed attempt to get capacity. It doubles with each further one.
const FIRST_CAPACITY_PAUSE: Duration = Duration::from_secs(15);

/// What has happened to a drain.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// This number of units were stopped, with capacity for them elsewhere.
    Moved(u32),
    /// The budgets allow a unit to be stopped, but there is no capacity for it elsewhere.
    CapacityMissing {
        /// The longest time of one attempt to get capacity: for machines to be rented and to boot,
        /// with a reserve.
        attempt: Duration,
    },
    /// No unit waits for capacity.
    CapacityNotNeeded,
    /// The first obstacle of the present step, if there is one.
    ObstacleObserved(Option<Obstacle>),
    /// None of its machines exists any more.
    AllMachinesGone,
    /// The only work left cannot save its progress and is to be left running.
    OnlyUnsavedWorkLeft,
    /// The operator has asked for the drain to stop.
    StopRequested,
    /// The operator has asked for the drain to go on with the remaining machines.
    ResumeRequested,
    /// All its cordons have been lifted.
    CordonsLifted,
}

/// Why an event is not valid in the phase of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LifecycleError {
    /// The drain is closed or closing.
    #[error("the drain is over, or about to end")]
    Over,
    /// The drain is active or closing.
    #[error("the drain is not over")]
    NotOver,
    /// The drain has finished: none of its machines is left.
    #[error("the drain has finished; none of its machines is left")]
    Finished,
}

/// Applies an event to a drain's record.
pub fn apply(record: &mut DrainRecord, event: Event, now_ms: u64) -> Result<(), LifecycleError> {
    match (record.phase, event) {
        (DrainPhase::Active, Event::Moved(count)) => {
            record.moved += count;
            record.capacity_search = CapacitySearch::default();
        }
        (DrainPhase::Active, Event::CapacityMissing { attempt }) => {
            continue_capacity_search(record, attempt, now_ms)
        }
        (DrainPhase::Active, Event::CapacityNotNeeded) => record.capacity_search = CapacitySearch::default(),
        (DrainPhase::Active, Event::ObstacleObserved(obstacle)) => update_obstacle(record, obstacle, now_ms),
        (DrainPhase::Active, Event::AllMachinesGone) => {
            record.phase = DrainPhase::Closing(DrainEnd::Finished);
            record.obstacle = None;
        }
        (DrainPhase::Active, Event::OnlyUnsavedWorkLeft) => close(record, DrainEnd::WorkLeft),
        (DrainPhase::Active, Event::StopRequested) => close(record, DrainEnd::ByOperator),
        (DrainPhase::Closing(end), Event::CordonsLifted) => record.phase = DrainPhase::Closed(end),
        (DrainPhase::Closed(DrainEnd::Finished), Event::ResumeRequested) => {
            return Err(LifecycleError::Finished);
        }
        (DrainPhase::Closed(_), Event::ResumeRequested) => {
            record.phase = DrainPhase::Active;
            record.started_ms = now_ms;
            record.capacity_search = CapacitySearch::default();
            record.obstacle = None;
        }
        (_, Event::ResumeRequested) => return Err(LifecycleError::NotOver),
        (_, _) => return Err(LifecycleError::Over),
    }
    Ok(())
}

/// Starts to close a drain. The record keeps the obstacle, which tells why the drain has stopped.
fn close(record: &mut DrainRecord, end: DrainEnd) {
    record.phase = DrainPhase::Closing(end);
    record.capacity_search = CapacitySearch::default();
}

/// The pause after the given number of failed attempts to get capacity.
fn capacity_pause_ms(failed: u32) -> u64 {
    (FIRST_CAPACITY_PAUSE.as_millis() as u64) << failed.saturating_sub(1).min(8)
}

/// Starts an attempt to get capacity, lets it or the pause after it go on, or ends the attempt once
/// its time is over. Ends the drain after the last attempt.
fn continue_capacity_search(record: &mut DrainRecord, attempt: Duration, now_ms: u64) {
    let search = &mut record.capacity_search;
    if search.since_ms == 0 {
        search.since_ms = now_ms.max(1);
        return;
    }
    let attempt_ends_ms = search.since_ms.saturating_add(attempt.as_millis() as u64);
    if now_ms < attempt_ends_ms {
        return;
    }
    search.failed += 1;
    search.since_ms = now_ms + capacity_pause_ms(search.failed);
    if search.failed >= MAX_CAPACITY_ATTEMPTS {
        close(record, DrainEnd::NoCapacity);
    }
}

/// Whether an attempt to get capacity is under way. False in the pause between two attempts.
pub fn is_seeking_capacity(record: &DrainRecord, now_ms: u64) -> bool {
    record.is_active() && record.capacity_search.since_ms > 0 && now_ms >= record.capacity_search.since_ms
}

/// Records the present obstacle. An obstacle that was there before keeps its start time. The drain
/// gives up once the obstacle has lasted for `give_up_ms`.
fn update_obstacle(record: &mut DrainRecord, obstacle: Option<Obstacle>, now_ms: u64) {
    record.obstacle = obstacle.map(|new| match record.obstacle.take() {
        Some(old) if old.is_same(&new) => old,
        _ => Obstacle { since_ms: now_ms, ..new },
    });
    let blocked_ms = record.obstacle.as_ref().map_or(0, |o| now_ms.saturating_sub(o.since_ms));
    if blocked_ms >= record.give_up_ms {
        close(record, DrainEnd::GaveUp);
    }
}

#[cfg(test)]
#[path = "../tests/unit/lifecycle.rs"]
mod tests;
