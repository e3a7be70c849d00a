//! The state service: client, record encoding, and the write budget.

#![warn(missing_docs)]

mod chunks;
mod client;
mod codec;
mod rate_limiter;

pub use chunks::{ChunkedRecord, OrphanedChunks, RecordReader, split_record};
pub use client::{KeyValueClient, StoreError, TxnOutcome};
pub use codec::{KeyWrite, decode_change, key};
pub use rate_limiter::RateLimiter;
