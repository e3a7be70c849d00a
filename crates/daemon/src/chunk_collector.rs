//! Garbage collection of chunks that no record names.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use sched::replica::Replica;
use store::{KeyWrite, OrphanedChunks, key};
use wire::Condition;

use crate::controller::Controller;

/// How long chunks lie that no head names before they are deleted.
const MIN_ORPHAN_AGE: Duration = Duration::from_secs(60);
/// How often orphaned chunks are looked for.
const COLLECTION_INTERVAL: Duration = Duration::from_secs(2);

/// A record's key, and the nonce of some of its chunks.
type ChunkSet = (String, String);

/// Deletes chunks that no record names any more, or never did. A deletion is conditional on the
/// record that does not name them, and the first chunk goes first: a transaction that writes a
/// head late asks for that one.
#[derive(Default)]
pub struct ChunkCollector {
    first_seen: HashMap<ChunkSet, Instant>,
    last_run: Option<Instant>,
}

/// Chunks to delete, as a transaction.
#[derive(Debug)]
pub struct ChunkDeletion {
    /// That the record has not changed.
    pub condition: Condition,
    /// The deletions.
    pub deletions: Vec<KeyWrite>,
}

impl ChunkCollector {
    /// What to delete now.
    pub fn next(&mut self, controller: &Controller, now: Instant) -> Option<ChunkDeletion> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < COLLECTION_INTERVAL;
        if self.last_run.is_some_and(is_recent) {
            return None;
        }
        self.last_run = Some(now);
        let mut state = controller.state();
        // While changes are short, orphaned chunks only cost memory.
        if state.writes.limiter.available(now) < 0.0 {
            return None;
        }
        let orphans = state.records.reader.orphans();
        let due = self.oldest_due(orphans, now)?;
        let version = record_version(&state.records.replica, &due.record_key)?;
        let max_deletions = controller.state_limits().txn_ops;
        let deletions =
            due.keys.iter().take(max_deletions).map(|key| KeyWrite::delete(key.clone())).collect();
        Some(ChunkDeletion { condition: Condition { key: due.record_key, version }, deletions })
    }

    /// The first of the orphans that has been one for long enough.
    fn oldest_due(&mut self, orphans: Vec<OrphanedChunks>, now: Instant) -> Option<OrphanedChunks> {
        let id = |chunks: &OrphanedChunks| (chunks.record_key.clone(), chunks.nonce.clone());
        self.first_seen.retain(|known, _| orphans.iter().any(|chunks| id(chunks) == *known));
        orphans.into_iter().find(|chunks| {
            let since = *self.first_seen.entry(id(chunks)).or_insert(now);
            now.saturating_duration_since(since) >= MIN_ORPHAN_AGE
        })
    }
}

/// The version of a record that may be chunked; 0 if there is none. `None` if it cannot be told.
fn record_version(replica: &Replica, record_key: &str) -> Option<u64> {
    let rest = record_key.strip_prefix(key::PREFIX)?;
    match rest.split_once('/') {
        Some(("jobs", id)) if replica.unreadable.contains(id) => None,
        Some(("jobs", id)) => Some(replica.jobs.get(id).map_or(0, |job| job.version)),
        None if record_key == key::FLEET => Some(replica.fleet.as_ref().map_or(0, |fleet| fleet.version)),
        None if record_key == key::TYPES => Some(replica.machine_types_version),
        _ => None,
    }
}
