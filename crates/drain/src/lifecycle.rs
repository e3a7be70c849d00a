//! How a drain's record changes: a state machine of what has come to pass.

use std::time::Duration;

use sched::drain_records::{CapacitySearch, DrainEnd, DrainPhase, DrainRecord, Obstacle};

/// How often room is searched for before a drain stops.
pub const ROOM_ATTEMPTS: u32 = 4;
/// The pause after the first attempt that brought no room; it doubles with each further one.
const ROOM_PAUSE: Duration = Duration::from_secs(15);

/// What has come to pass with a drain.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// So many units were stopped, as there is room for them elsewhere.
    Moved(u32),
    /// Something may be stopped as far as the budgets go, but there is no room for it. An
    /// attempt to get some takes so long at most.
    RoomMissing {
        /// How long machines take to be rented and to boot, with a reserve.
        attempt: Duration,
    },
    /// Nothing waits for room.
    RoomNotNeeded,
    /// The first thing that it waits for, if it waits for any.
    Waits(Option<Obstacle>),
    /// All its machines are gone.
    AllGone,
    /// Only work is left that cannot save and is to be left running.
    OnlyUnsavedLeft,
    /// Its operator wants it to stop.
    StopRequested,
    /// Its operator wants it to go on with what is left.
    ResumeRequested,
    /// Its cordons are lifted.
    CordonsLifted,
}

/// What an event does not fit: the drain is over, or is not over yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LifecycleError {
    /// The drain is over, or ends already.
    #[error("the drain is over, or about to end")]
    Over,
    /// The drain goes on.
    #[error("the drain is not over")]
    NotOver,
    /// All its machines are gone.
    #[error("the drain has finished; nothing of it is left")]
    Finished,
}

/// Brings a drain's record up to date with an event.
pub fn apply(record: &mut DrainRecord, event: Event, now_ms: u64) -> Result<(), LifecycleError> {
    match (record.phase, event) {
        (DrainPhase::Active, Event::Moved(count)) => {
            record.moved += count;
            record.capacity_search = CapacitySearch::default();
        }
        (DrainPhase::Active, Event::RoomMissing { attempt }) => room_missing(record, attempt, now_ms),
        (DrainPhase::Active, Event::RoomNotNeeded) => record.capacity_search = CapacitySearch::default(),
        (DrainPhase::Active, Event::Waits(obstacle)) => waits(record, obstacle, now_ms),
        (DrainPhase::Active, Event::AllGone) => {
            record.phase = DrainPhase::Closing(DrainEnd::Finished);
            record.obstacle = None;
        }
        (DrainPhase::Active, Event::OnlyUnsavedLeft) => close(record, DrainEnd::WorkLeft),
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

/// The obstacle stays with the record: it tells why the drain has stopped.
fn close(record: &mut DrainRecord, end: DrainEnd) {
    record.phase = DrainPhase::Closing(end);
    record.capacity_search = CapacitySearch::default();
}

/// The pause after so many attempts that brought no room.
fn pause_ms(failed: u32) -> u64 {
    (ROOM_PAUSE.as_millis() as u64) << failed.saturating_sub(1).min(8)
}

/// Goes on with the search for room, or with the pause before the next attempt.
fn room_missing(record: &mut DrainRecord, attempt: Duration, now_ms: u64) {
    let search = &mut record.capacity_search;
    if search.since_ms == 0 {
        search.since_ms = now_ms.max(1);
        return;
    }
    let ends_ms = search.since_ms.saturating_add(attempt.as_millis() as u64);
    if now_ms < ends_ms {
        return;
    }
    search.failed += 1;
    search.since_ms = now_ms + pause_ms(search.failed);
    if search.failed >= ROOM_ATTEMPTS {
        close(record, DrainEnd::NoCapacity);
    }
}

/// Whether an attempt to get room is under way, rather than a pause between two.
pub fn wants_room(record: &DrainRecord, now_ms: u64) -> bool {
    record.is_active() && record.capacity_search.since_ms > 0 && now_ms >= record.capacity_search.since_ms
}

/// Notes what the drain waits for. What it has waited for all along keeps its beginning, and
/// ends the drain once that is too long ago.
fn waits(record: &mut DrainRecord, obstacle: Option<Obstacle>, now_ms: u64) {
    record.obstacle = obstacle.map(|new| match record.obstacle.take() {
        Some(old) if old.is_same(&new) => old,
        _ => Obstacle { since_ms: now_ms, ..new },
    });
    let stands = record.obstacle.as_ref().map_or(0, |o| now_ms.saturating_sub(o.since_ms));
    if stands >= record.give_up_ms {
        close(record, DrainEnd::GaveUp);
    }
}

#[cfg(test)]
#[path = "../tests/unit/lifecycle.rs"]
mod tests;
