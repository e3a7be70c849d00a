//! Commits transactions within the limits that the key-value store currently has.

use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use store::{KeyWrite, StoreError, TxnOutcome, split_record};
use tokio::time::sleep;
use tracing::{info, warn};
use wire::Condition;

use crate::clock;
use crate::controller::Controller;
use crate::limits::StateLimits;
use crate::load::Purpose;

/// Most bytes of records in a transaction. A whole transaction may have 64 KiB.
pub const MAX_TXN_BYTES: usize = 52 * 1024;
/// Most chunks of a record.
const MAX_CHUNKS: usize = 120;
/// Bytes that a chunk takes in a transaction besides its text.
const CHUNK_OVERHEAD_BYTES: usize = 300;
/// How often a write of chunks is retried when it exceeds the rate limit.
const MAX_CHUNK_RETRIES: usize = 8;
/// Pause before each of these retries.
const CHUNK_RETRY_BACKOFF: Duration = Duration::from_millis(250);
/// The HTTP status of a transaction that is malformed or too large.
const BAD_REQUEST: u16 = 400;

/// A key that a transaction writes, and the size of its value.
struct WrittenValue {
    key: String,
    bytes: usize,
}

/// A record whose chunks have been written.
struct StoredChunks {
    /// The write of the head that references the chunks.
    head: KeyWrite,
    /// Requires that the first chunk exists.
    first_chunk_exists: Condition,
}

impl Controller {
    /// Commits a transaction. Records larger than the value limit are first written in chunks.
    pub async fn commit(
        &self,
        mut conditions: Vec<Condition>,
        mut writes: Vec<KeyWrite>,
    ) -> Result<TxnOutcome, StoreError> {
        let limits = self.state_limits();
        let mut written = Vec::with_capacity(writes.len());
        for write in &mut writes {
            if write.value_len() as f64 > limits.value_bytes {
                if !limits.chunked {
                    return Err(StoreError::ValueTooLarge(write.key.clone()));
                }
                let stored = self.write_chunks(write, &limits).await?;
                conditions.push(stored.first_chunk_exists);
                *write = stored.head;
            }
            written.push(WrittenValue { key: write.key.clone(), bytes: write.value_len() });
        }
        let result = self.kv_client.txn(conditions, writes).await;
        if let Err(StoreError::Refused(BAD_REQUEST)) = &result {
            self.handle_bad_request(&written);
        }
        result
    }

    /// Writes a record's chunks.
    async fn write_chunks(&self, write: &KeyWrite, limits: &StateLimits) -> Result<StoredChunks, StoreError> {
        let too_large = || StoreError::ValueTooLarge(write.key.clone());
        let value_bytes = limits.value_bytes as usize;
        let chunked = split_record(write, rand::rng().random(), value_bytes).ok_or_else(too_large)?;
        if chunked.chunks.len() > MAX_CHUNKS {
            return Err(too_large());
        }
        let first_key = chunked.chunks.last().map(|chunk| chunk.key.clone()).ok_or_else(too_large)?;
        let chunks_per_txn = limits.txn_ops.min(MAX_TXN_BYTES / (value_bytes + CHUNK_OVERHEAD_BYTES)).max(1);
        let mut revision = 0;
        for chunks in chunked.chunks.chunks(chunks_per_txn) {
            revision = self.write_chunks_with_retries(&write.key, chunks, value_bytes).await?;
        }
        let first_chunk_exists = Condition { key: first_key, version: revision };
        Ok(StoredChunks { head: chunked.head, first_chunk_exists })
    }

    /// Writes some chunks of a record in one transaction and returns its revision.
    async fn write_chunks_with_retries(
        &self,
        record_key: &str,
        chunks: &[KeyWrite],
        value_bytes: usize,
    ) -> Result<u64, StoreError> {
        let mut retries = 0;
        loop {
            self.state().writes.limiter.acquire(chunks.len() as f64, 0.0, clock::now());
            self.load.count_changes(Purpose::Chunks, chunks.len());
            match self.kv_client.txn(Vec::new(), chunks.to_vec()).await {
                Ok(TxnOutcome::Committed { revision } | TxnOutcome::Conflict { revision, .. }) => {
                    return Ok(revision);
                }
                Err(StoreError::RateLimited) if retries < MAX_CHUNK_RETRIES => {
                    retries += 1;
                    self.note_refusal(&StoreError::RateLimited);
                    sleep(CHUNK_RETRY_BACKOFF).await;
                }
                Err(error) => {
                    if let StoreError::Refused(BAD_REQUEST) = &error {
                        self.handle_bad_request(&[WrittenValue {
                            key: record_key.to_owned(),
                            bytes: value_bytes,
                        }]);
                    }
                    return Err(error);
                }
            }
        }
    }

    /// Handles the refusal of a transaction as malformed or too large. It is never sent again
    /// unchanged: either the limits have become smaller, or its records are written one by one.
    fn handle_bad_request(&self, written: &[WrittenValue]) {
        let already_chunked = self.state_limits().chunked;
        let next = self.settings.facts.state.next.clone().unwrap_or_default();
        let largest = written.iter().max_by_key(|value| value.bytes);
        let (key, bytes) = largest.map_or(("", 0), |value| (value.key.as_str(), value.bytes));
        warn!(key, bytes, changes = written.len(), "transaction refused as malformed or too large");
        let exceeds_next = next.value_kb.is_some_and(|kb| bytes as f64 > kb * 1024.0)
            || next.txn_ops.is_some_and(|ops| written.len() > ops);
        if exceeds_next && !already_chunked {
            self.limit_changes.sizes_reduced.store(true, Ordering::Relaxed);
            let StateLimits { value_bytes, txn_ops, .. } = self.state_limits();
            info!(value_bytes, txn_ops, "key-value store has reduced its size limits");
        }
    }

    /// Adapts the write rate if a transaction was refused for exceeding the rate limit. If reduced
    /// rates are configured and may already be in force, they are kept from now on.
    pub fn note_refusal(&self, error: &StoreError) {
        if !matches!(error, StoreError::RateLimited) {
            return;
        }
        let now = clock::now();
        let changes = self.limit_changes.get();
        let mut state = self.state();
        state.writes.limiter.note_refusal(now);
        let next = self.settings.facts.state.next.clone().unwrap_or_default();
        let has_next_rates = next.write_rps.is_some() || next.rps.is_some();
        let limits_may_have_changed = changes.all_upgraded || changes.sizes_reduced;
        if has_next_rates && !changes.rates_reduced && limits_may_have_changed {
            self.limit_changes.rates_reduced.store(true, Ordering::Relaxed);
            let StateLimits { write_rps, rps, .. } = self.state_limits();
            info!(write_rps, rps, "key-value store has reduced its rate limits");
            self.update_write_share(&mut state, now);
        }
    }
}
