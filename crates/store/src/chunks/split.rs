//! Splitting a record into chunks.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use rmpv::Value;

use super::chunk_key::chunk_key;
use super::head::Head;
use crate::codec::KeyWrite;

/// Size of a chunk's value in addition to its text, in bytes.
const CHUNK_OVERHEAD_BYTES: usize = 16;
/// Lower bound of the length at which the text is split, in bytes.
const MIN_CHUNK_BYTES: usize = 64;

/// A record in chunks. The chunks are written before the head.
#[derive(Debug)]
pub struct ChunkedRecord {
    /// The chunks, in the order in which they are written: the first chunk last.
    pub chunks: Vec<KeyWrite>,
    /// The head that refers to the chunks.
    pub head: KeyWrite,
}

/// Splits the value of a write into chunks that each fit into a value of `value_bytes`. The nonce must
/// never have been used for this key. Returns `None` if the write is a deletion.
pub fn split_record(write: &KeyWrite, nonce: u64, value_bytes: usize) -> Option<ChunkedRecord> {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, write.value.as_ref()?).ok()?;
    let text = STANDARD_NO_PAD.encode(bytes);
    let nonce = format!("{nonce:x}");
    let chunk_bytes = value_bytes.saturating_sub(CHUNK_OVERHEAD_BYTES).max(MIN_CHUNK_BYTES);
    let mut chunks: Vec<KeyWrite> = text
        .as_bytes()
        .chunks(chunk_bytes)
        .enumerate()
        .map(|(number, chunk)| KeyWrite {
            key: chunk_key(&write.key, &nonce, number),
            value: Some(Value::from(String::from_utf8_lossy(chunk).into_owned())),
            lease: None,
        })
        .collect();
    chunks.reverse();
    let head = Head { nonce, count: chunks.len() }.to_value();
    Some(ChunkedRecord { chunks, head: KeyWrite { key: write.key.clone(), value: Some(head), lease: None } })
}
