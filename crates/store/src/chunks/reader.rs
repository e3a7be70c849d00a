//! Reading records, whether they are chunked or not.

use std::collections::{BTreeMap, HashMap, HashSet};

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use rmpv::Value;
use sched::replica::RecordChange;

use super::chunk_key::{ChunkKey, chunk_key};
use super::head::Head;
use crate::codec::decode_change;

/// A head that has been read, and its state.
struct KnownHead {
    head: Head,
    version: u64,
    /// Whether some of the chunks have not been read yet.
    is_incomplete: bool,
}

/// Translates changes of keys to changes of records. It keeps the heads and chunks of chunked records
/// for this.
#[derive(Default)]
pub struct RecordReader {
    /// The heads, by the keys of their records.
    heads: HashMap<String, KnownHead>,
    /// The texts of the chunks, by their keys.
    chunks: BTreeMap<String, String>,
}

/// Chunks that no head refers to.
#[derive(Debug, PartialEq, Eq)]
pub struct OrphanedChunks {
    /// The key of the record.
    pub record_key: String,
    /// The nonce in the keys of the chunks.
    pub nonce: String,
    /// The keys of the chunks, the first chunk first: once it is deleted, no head that refers to these
    /// chunks can be committed.
    pub keys: Vec<String>,
}

impl RecordReader {
    /// Applies a change of a key; a value of `None` is its deletion. Returns the change of the record,
    /// whether there is a value that cannot be decoded (yet), and the version at which the record
    /// changed.
    pub fn apply(&mut self, key: &str, value: Option<Value>, version: u64) -> (RecordChange, bool, u64) {
        if let Some(chunk) = ChunkKey::parse(key) {
            return self.apply_chunk(key, &chunk, value, version);
        }
        if let Some(head) = value.as_ref().and_then(Head::from_value) {
            self.heads.insert(key.to_owned(), KnownHead { head, version, is_incomplete: true });
            return self.assemble(key, version);
        }
        self.heads.remove(key);
        let (change, is_unreadable) = decode_change(key, value);
        (change, is_unreadable, version)
    }

    fn apply_chunk(
        &mut self,
        key: &str,
        chunk: &ChunkKey,
        value: Option<Value>,
        version: u64,
    ) -> (RecordChange, bool, u64) {
        match value.as_ref().and_then(Value::as_str) {
            Some(text) => _ = self.chunks.insert(key.to_owned(), text.to_owned()),
            None => _ = self.chunks.remove(key),
        }
        let incomplete = self.heads.get(&chunk.record_key).filter(|known| known.is_incomplete);
        match incomplete.filter(|known| known.head.nonce == chunk.nonce).map(|known| known.version) {
            Some(head_version) if self.value_of(&chunk.record_key).is_some() => {
                self.assemble(&chunk.record_key, head_version)
            }
            _ => (RecordChange::Other, false, version),
        }
    }

    /// Assembles the value of a chunked record; `None` if some of its chunks have not been read.
    fn value_of(&self, record_key: &str) -> Option<Value> {
        let Head { nonce, count } = &self.heads.get(record_key)?.head;
        let mut text = String::new();
        for number in 0..*count {
            text.push_str(self.chunks.get(&chunk_key(record_key, nonce, number))?);
        }
        let bytes = STANDARD_NO_PAD.decode(text).ok()?;
        rmpv::decode::read_value(&mut bytes.as_slice()).ok()
    }

    /// Returns the change of a chunked record whose head changed at this version.
    fn assemble(&mut self, record_key: &str, version: u64) -> (RecordChange, bool, u64) {
        let value = self.value_of(record_key);
        let is_incomplete = value.is_none();
        if let Some(known) = self.heads.get_mut(record_key) {
            known.is_incomplete = is_incomplete;
        }
        // Without its chunks the record exists but cannot be decoded: nil stands for it, because no
        // value would mean a deletion.
        let (change, is_unreadable) = decode_change(record_key, value.or(Some(Value::Nil)));
        (change, is_unreadable || is_incomplete, version)
    }

    /// Whether a record is chunked.
    pub fn is_chunked(&self, key: &str) -> bool {
        self.heads.contains_key(key)
    }

    /// The chunks that no head refers to, ordered by their records' keys and nonces.
    pub fn orphans(&self) -> Vec<OrphanedChunks> {
        let referenced: HashSet<(&str, &str)> =
            self.heads.iter().map(|(key, known)| (key.as_str(), known.head.nonce.as_str())).collect();
        let mut orphans: BTreeMap<(String, String), Vec<(usize, String)>> = BTreeMap::new();
        for key in self.chunks.keys() {
            let Some(ChunkKey { record_key, nonce, number }) = ChunkKey::parse(key) else { continue };
            if !referenced.contains(&(record_key.as_str(), nonce.as_str())) {
                orphans.entry((record_key, nonce)).or_default().push((number, key.clone()));
            }
        }
        let by_record = orphans.into_iter().map(|((record_key, nonce), mut keys)| {
            keys.sort_unstable();
            OrphanedChunks { record_key, nonce, keys: keys.into_iter().map(|(_, key)| key).collect() }
        });
        by_record.collect()
    }
}
