//! Records that are larger than one value of the state service. The record lies in
//! parts, under keys of their own that are written once and never changed; a small
//! head under the record's key names them. The parts come first, the first of them
//! last, and the head's transaction asks that the first part is there: so a head
//! never names parts that are not, however late it is carried out.

use std::collections::{BTreeMap, HashMap, HashSet};

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use rmpv::Value;
use sched::replica::RecordChange;

use crate::codec::{KeyWrite, decode_change, key};

const FIELD: &str = "wide";
/// What a part's value takes beside its text.
const PART_EXTRA: usize = 16;

fn part_key(of: &str, nonce: &str, n: usize) -> String {
    format!("{}{}/{nonce}/{n}", key::PARTS, of.strip_prefix(key::PREFIX).unwrap_or(of))
}

/// The record's key, the nonce and the number that a part's key holds.
fn parse_part(key: &str) -> Option<(String, String, usize)> {
    let rest = key.strip_prefix(key::PARTS)?;
    let (rest, n) = rest.rsplit_once('/')?;
    let (of, nonce) = rest.rsplit_once('/')?;
    Some((format!("{}{of}", key::PREFIX), nonce.to_owned(), n.parse().ok()?))
}

/// A record in parts: these are written first, in this order; then the head.
#[derive(Debug)]
pub struct ChunkedRecord {
    /// Its parts, in the order in which they are written.
    pub parts: Vec<KeyWrite>,
    /// The head that names them.
    pub head: KeyWrite,
}

/// Splits a record's value. The nonce must never have been used for this key.
pub fn split_record(put: &KeyWrite, nonce: u64, value_bytes: usize) -> Option<ChunkedRecord> {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, put.value.as_ref()?).ok()?;
    let text = STANDARD_NO_PAD.encode(bytes);
    let nonce = format!("{nonce:x}");
    let each = value_bytes.saturating_sub(PART_EXTRA).max(64);
    let mut parts: Vec<KeyWrite> = text
        .as_bytes()
        .chunks(each)
        .enumerate()
        .map(|(n, chunk)| KeyWrite {
            key: part_key(&put.key, &nonce, n),
            value: Some(Value::from(String::from_utf8_lossy(chunk).into_owned())),
            lease: None,
        })
        .collect();
    let count = parts.len();
    parts.reverse();
    let names = Value::Array(vec![Value::from(nonce), Value::from(count)]);
    let head = Value::Map(vec![(Value::from(FIELD), names)]);
    Some(ChunkedRecord { parts, head: KeyWrite { key: put.key.clone(), value: Some(head), lease: None } })
}

/// The nonce and the number of parts, if the value is the head of a chunked record.
fn head_of(value: &Value) -> Option<(String, usize)> {
    let [(field, names)] = value.as_map()?.as_slice() else { return None };
    let [nonce, count] = names.as_array().filter(|_| field.as_str() == Some(FIELD))?.as_slice() else {
        return None;
    };
    Some((nonce.as_str()?.to_owned(), usize::try_from(count.as_u64()?).ok()?))
}

struct Head {
    nonce: String,
    count: usize,
    version: u64,
    /// Not all of its parts have been seen.
    pending: bool,
}

/// What is known of chunked records: reads changes of keys as changes of records.
#[derive(Default)]
pub struct RecordReader {
    heads: HashMap<String, Head>,
    texts: BTreeMap<String, String>,
}

/// Parts that no head names.
#[derive(Debug, PartialEq, Eq)]
pub struct OrphanedChunks {
    /// The record's key.
    pub of: String,
    /// The nonce of the parts' keys.
    pub nonce: String,
    /// Their keys, the first part first: once it is gone no head can name them.
    pub keys: Vec<String>,
}

impl RecordReader {
    /// Takes in a change of a key: what it means for the records, whether there is a
    /// value that cannot be read (yet), and at which version the record changed.
    pub fn apply(&mut self, key: &str, value: Option<Value>, version: u64) -> (RecordChange, bool, u64) {
        if let Some((of, nonce, _)) = parse_part(key) {
            match value.as_ref().and_then(Value::as_str) {
                Some(text) => self.texts.insert(key.to_owned(), text.to_owned()),
                None => self.texts.remove(key),
            };
            return match self.heads.get(&of) {
                Some(h) if h.pending && h.nonce == nonce && self.whole(&of).is_some() => {
                    let version = h.version;
                    self.resolve(&of, version)
                }
                _ => (RecordChange::Other, false, version),
            };
        }
        match value.as_ref().and_then(head_of) {
            Some((nonce, count)) => {
                self.heads.insert(key.to_owned(), Head { nonce, count, version, pending: true });
                self.resolve(key, version)
            }
            None => {
                self.heads.remove(key);
                let (change, bad) = decode_change(key, value);
                (change, bad, version)
            }
        }
    }

    fn whole(&self, of: &str) -> Option<Value> {
        let head = self.heads.get(of)?;
        let mut text = String::new();
        for n in 0..head.count {
            text.push_str(self.texts.get(&part_key(of, &head.nonce, n))?);
        }
        let bytes = STANDARD_NO_PAD.decode(text).ok()?;
        rmpv::decode::read_value(&mut bytes.as_slice()).ok()
    }

    fn resolve(&mut self, of: &str, version: u64) -> (RecordChange, bool, u64) {
        let whole = self.whole(of);
        if let Some(head) = self.heads.get_mut(of) {
            head.pending = whole.is_none();
        }
        // Without its parts there is a record, but none that can be read.
        let missing = whole.is_none();
        let (change, bad) = decode_change(of, whole.or(Some(Value::Nil)));
        (change, bad || missing, version)
    }

    /// Whether a record lies in parts.
    pub fn is_chunked(&self, key: &str) -> bool {
        self.heads.contains_key(key)
    }

    /// The parts that no head names, by their records.
    pub fn orphans(&self) -> Vec<OrphanedChunks> {
        let named: HashSet<(&str, &str)> =
            self.heads.iter().map(|(k, h)| (k.as_str(), h.nonce.as_str())).collect();
        let mut lost: BTreeMap<(String, String), Vec<(usize, String)>> = BTreeMap::new();
        for k in self.texts.keys() {
            let Some((of, nonce, n)) = parse_part(k) else { continue };
            if !named.contains(&(of.as_str(), nonce.as_str())) {
                lost.entry((of, nonce)).or_default().push((n, k.clone()));
            }
        }
        let orphans = lost.into_iter().map(|((of, nonce), mut keys)| {
            keys.sort_unstable();
            OrphanedChunks { of, nonce, keys: keys.into_iter().map(|k| k.1).collect() }
        });
        orphans.collect()
    }
}

#[cfg(test)]
#[path = "../tests/unit/chunks.rs"]
mod tests;
