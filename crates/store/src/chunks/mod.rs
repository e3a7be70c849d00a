//! Records that are larger than one value of the key-value store.
//!
//! Such a record is stored in chunks, under keys of their own that are written once and never
//! changed; a small head under the record's key names them. The chunks are written first, the first
//! of them last, and the transaction that writes the head is conditional on the first chunk: so a
//! head never names chunks that do not exist, however late it is committed.

mod chunk_key;
mod head;
mod reader;
mod split;

pub use reader::{OrphanedChunks, RecordReader};
pub use split::{ChunkedRecord, split_record};

#[cfg(test)]
#[path = "../../tests/unit/chunks.rs"]
mod tests;
