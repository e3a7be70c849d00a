//! Access to the key-value store: a client, the encoding of records, and a rate limit for requests.

#![deny(missing_docs)]
#![cfg_attr(not(test), deny(clippy::too_many_lines))]

mod chunks;
mod client;
mod codec;
pub mod key;
mod rate_limiter;

pub use chunks::{ChunkedRecord, OrphanedChunks, RecordReader, split_record};
pub use client::{KeyValueClient, StoreError, TxnOutcome};
pub use codec::{KeyWrite, decode_change};
pub use rate_limiter::RateLimiter;
