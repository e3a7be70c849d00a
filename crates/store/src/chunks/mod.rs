//! Records that are too large for one value of the key-value store.
//!
//! Such a record is stored in chunks, whose keys are written once and never changed. A small head
//! under the record's key identifies them. The chunks are written before the head, and the first chunk
//! last. The transaction that writes the head is conditional on the first chunk, so that a head never
//! refers to chunks that do not exist, however late it is committed.

mod chunk_key;
mod head;
mod reader;
mod split;

pub use reader::{OrphanedChunks, RecordReader};
pub use split::{ChunkedRecord, split_record};

#[cfg(test)]
#[path = "../../tests/unit/chunks.rs"]
mod tests;
