//! Garbage collection of chunks that no record references.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use sched::replica::Replica;
use store::{KeyWrite, OrphanedChunks, key};
use wire::Condition;

use crate::controller::Controller;

/// How long chunks have to be orphaned before they are deleted.
const MIN_ORPHAN_AGE: Duration = Duration::from_secs(60);
/// Least time between two collections of orphaned chunks.
const COLLECTION_INTERVAL: Duration = Duration::from_secs(2);

/// Identifies the chunks of one write of a record: the record's key and the nonce of the chunks.
type ChunkSet = (String, String);

/// Deletes chunks that no record references any more, or never did. A deletion is conditional on
/// the version of the record that does not reference them. It starts with the first chunk, because
/// a delayed transaction that writes the head is conditional on that chunk.
#[derive(Default)]
pub struct ChunkCollector {
    first_seen: HashMap<ChunkSet, Instant>,
    last_run: Option<Instant>,
}

/// A transaction that deletes orphaned chunks.
#[derive(Debug)]
pub struct ChunkDeletion {
    /// Requires that the record has not changed.
    pub condition: Condition,
    /// The deletions.
    pub deletions: Vec<KeyWrite>,
}

impl ChunkCollector {
    /// Returns the next deletion, if one is due.
    pub fn next(&mut self, controller: &Controller, now: Instant) -> Option<ChunkDeletion> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < COLLECTION_INTERVAL;
        if self.last_run.is_some_and(is_recent) {
            return None;
        }
        self.last_run = Some(now);
        let mut state = controller.state();
        // Nothing is deleted while the write rate is used up: orphaned chunks only cost memory.
        if state.writes.limiter.available(now) < 0.0 {
            return None;
        }
        let orphans = state.records.reader.orphans();
        let expired = self.first_expired(orphans, now)?;
        let version = record_version(&state.records.replica, &expired.record_key)?;
        let max_deletions = controller.state_limits().txn_ops;
        let deletions =
            expired.keys.iter().take(max_deletions).map(|key| KeyWrite::delete(key.clone())).collect();
        Some(ChunkDeletion { condition: Condition { key: expired.record_key, version }, deletions })
    }

    /// Returns the first chunks that have been orphaned for [`MIN_ORPHAN_AGE`].
    fn first_expired(&mut self, orphans: Vec<OrphanedChunks>, now: Instant) -> Option<OrphanedChunks> {
        let id = |chunks: &OrphanedChunks| (chunks.record_key.clone(), chunks.nonce.clone());
        self.first_seen.retain(|known, _| orphans.iter().any(|chunks| id(chunks) == *known));
        orphans.into_iter().find(|chunks| {
            let orphaned_at = *self.first_seen.entry(id(chunks)).or_insert(now);
            now.saturating_duration_since(orphaned_at) >= MIN_ORPHAN_AGE
        })
    }
}

/// The version of a record that may be chunked: 0 if there is no such record, `None` if the version
/// cannot be determined.
fn record_version(replica: &Replica, record_key: &str) -> Option<u64> {
    let relative_key = record_key.strip_prefix(key::PREFIX)?;
    match relative_key.split_once('/') {
        Some(("jobs", id)) if replica.unreadable.contains(id) => None,
        Some(("jobs", id)) => Some(replica.jobs.get(id).map_or(0, |job| job.version)),
        None if record_key == key::FLEET => Some(replica.fleet.as_ref().map_or(0, |fleet| fleet.version)),
        None if record_key == key::TYPES => Some(replica.machine_types_version),
        _ => None,
    }
}
