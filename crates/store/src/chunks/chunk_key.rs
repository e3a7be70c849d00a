//! The keys of chunks.

use crate::key;

/// The components of the key of a chunk.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct ChunkKey {
    /// The key of the record.
    pub(super) record_key: String,
    /// Differs each time the record is written in chunks.
    pub(super) nonce: String,
    /// The number of the chunk.
    pub(super) number: usize,
}

impl ChunkKey {
    /// Parses a key; `None` if it is not the key of a chunk.
    pub(super) fn parse(key: &str) -> Option<Self> {
        let rest = key.strip_prefix(key::CHUNKS)?;
        let (rest, number) = rest.rsplit_once('/')?;
        let (record, nonce) = rest.rsplit_once('/')?;
        let record_key = format!("{}{record}", key::PREFIX);
        Some(Self { record_key, nonce: nonce.to_owned(), number: number.parse().ok()? })
    }
}

/// Formats the key of a chunk.
pub(super) fn chunk_key(record_key: &str, nonce: &str, number: usize) -> String {
    let record = record_key.strip_prefix(key::PREFIX).unwrap_or(record_key);
    format!("{}{record}/{nonce}/{number}", key::CHUNKS)
}
