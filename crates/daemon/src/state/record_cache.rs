//! The controller's copy of the records, and what is known about its age.

use std::time::{Duration, Instant};

use rmpv::Value;
use sched::replica::Replica;
use store::RecordReader;
use tracing::warn;
use wire::Event;

/// Greatest age of the copy of the records by which machines may be scaled in or work stopped.
const MAX_AGE_TO_STOP_WORK: Duration = Duration::from_secs(4);

/// The copy of the records, kept up to date from the key-value store's change feed.
#[derive(Default)]
pub struct RecordCache {
    /// The records, with what is derived from them.
    pub replica: Replica,
    /// Reassembles records that are stored in chunks.
    pub reader: RecordReader,
    /// Whether all records have been read since the last gap in the change feed.
    pub is_loaded: bool,
    /// When the last request was sent whose answer showed that the copy was complete. The copy
    /// holds every change that was committed before then.
    pub fresh_at: Option<Instant>,
}

impl RecordCache {
    /// How long ago the copy was last known to be complete; `None` if it never was.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.fresh_at.map(|at| now.saturating_duration_since(at))
    }

    /// Whether the copy was known to be complete less than `limit` ago.
    pub fn is_fresher_than(&self, limit: Duration, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }

    /// Whether the copy is fresh enough to stop work or release machines by it.
    pub fn is_fresh_enough_to_stop_work(&self, now: Instant) -> bool {
        self.is_fresher_than(MAX_AGE_TO_STOP_WORK, now)
    }

    /// Applies one change of the feed, unless it is already known. If the record cannot be decoded,
    /// its last known value is kept and marked as unreadable.
    pub fn apply_event(&mut self, event: Event<Value>) {
        let (key, value) = match (event.put, event.delete) {
            (Some(key), _) => (key, event.value),
            (None, Some(key)) => (key, None),
            (None, None) => return,
        };
        if event.version <= self.replica.revision {
            return;
        }
        let (change, is_unreadable, version) = self.reader.apply(&key, value, event.version);
        if is_unreadable {
            warn!(key, "record cannot be decoded");
            self.replica.mark_unreadable(change);
        } else {
            self.replica.apply(change, version);
        }
    }
}
