//! Encoding records as values of the key-value store, and decoding changes of keys.

use rmpv::Value;
use sched::drain_records::{DRAIN_SCHEMA, DrainRecord};
use sched::drains::CordonId;
use sched::records::{SCHEMA_VERSION, SchemaMarker};
use sched::replica::RecordChange;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::key;

/// Size of a write in a transaction in addition to its key and value, in bytes.
const WRITE_OVERHEAD_BYTES: usize = 20;

/// A put or a deletion of a key, as part of a transaction.
#[derive(Debug, Clone)]
pub struct KeyWrite {
    /// The key.
    pub key: String,
    /// The value; `None` deletes the key.
    pub value: Option<Value>,
    /// The lease to which the key is attached.
    pub lease: Option<u64>,
}

impl KeyWrite {
    /// Puts a record.
    pub fn new<T: Serialize>(key: String, record: &T) -> Self {
        // Encoded to bytes and decoded again, so that the value is exactly what a reader will see.
        let value = rmp_serde::to_vec_named(record)
            .ok()
            .and_then(|bytes| rmpv::decode::read_value(&mut bytes.as_slice()).ok())
            .unwrap_or(Value::Nil);
        Self { key, value: Some(value), lease: None }
    }

    /// Puts a record whose key is attached to a lease.
    pub fn leased<T: Serialize>(key: String, record: &T, lease: u64) -> Self {
        Self { lease: Some(lease), ..Self::new(key, record) }
    }

    /// Deletes a key.
    pub fn delete(key: String) -> Self {
        Self { key, value: None, lease: None }
    }

    /// Approximate size of the write in a transaction, in bytes of JSON, which is how the limits are
    /// measured.
    pub fn json_len(&self) -> usize {
        self.key.len() + WRITE_OVERHEAD_BYTES + self.value_len()
    }

    /// Length of the value written as JSON, in bytes.
    pub fn value_len(&self) -> usize {
        self.value.as_ref().map_or(0, json_len)
    }
}

/// Most bytes of a character that is escaped in JSON.
const MAX_ESCAPED_BYTES: usize = 6;

/// Length of a value written as JSON, in bytes; that of escaped characters is an upper bound.
fn json_len(value: &Value) -> usize {
    match value {
        Value::Map(entries) => entries.iter().map(|(k, v)| json_len(k) + json_len(v) + 2).sum::<usize>() + 2,
        Value::Array(items) => items.iter().map(|item| json_len(item) + 1).sum::<usize>() + 2,
        Value::String(text) => {
            let bytes = text.as_bytes();
            let unescaped = bytes.iter().filter(|b| **b >= 0x20 && **b != b'"' && **b != b'\\').count();
            unescaped + (bytes.len() - unescaped) * MAX_ESCAPED_BYTES + 2
        }
        other => other.to_string().len(),
    }
}

/// Decodes a value; `None` if it is not a valid `T`.
fn decode_value<T: DeserializeOwned>(value: &Value) -> Option<T> {
    // Encoded to bytes first: rmpv's own deserializer does not read enums from text.
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, value).ok()?;
    rmp_serde::from_slice(&bytes).ok()
}

/// A decoded value of a key.
struct Decoded<T> {
    /// `None` if there is no value, or it cannot be decoded.
    record: Option<T>,
    /// Whether there is a value that cannot be decoded.
    is_unreadable: bool,
}

impl<T: DeserializeOwned> Decoded<T> {
    fn from_value(value: Option<Value>) -> Self {
        let record = value.as_ref().and_then(decode_value);
        let is_unreadable = value.is_some() && record.is_none();
        Self { record, is_unreadable }
    }
}

impl<T> Decoded<T> {
    /// The change of the record, and whether there is a value that cannot be decoded.
    fn into_change(self, change: impl FnOnce(Option<T>) -> RecordChange) -> (RecordChange, bool) {
        (change(self.record), self.is_unreadable)
    }
}

/// Decodes a key's value to the change of a record.
fn decode<T: DeserializeOwned>(
    value: Option<Value>,
    change: impl FnOnce(Option<T>) -> RecordChange,
) -> (RecordChange, bool) {
    Decoded::from_value(value).into_change(change)
}

/// Decodes a drain's record. A record of another schema counts as one that cannot be decoded.
fn decode_drain(value: Option<Value>) -> Decoded<DrainRecord> {
    let decoded = Decoded::<DrainRecord>::from_value(value);
    let has_other_schema = decoded.record.as_ref().is_some_and(|record| record.schema != DRAIN_SCHEMA);
    if has_other_schema { Decoded { record: None, is_unreadable: true } } else { decoded }
}

/// Decodes the schema version of a controller. A marker that cannot be decoded stands for
/// [`SCHEMA_VERSION`], the first version that wrote markers.
fn decode_schema_version(value: &Value) -> u32 {
    decode_value::<SchemaMarker>(value).map_or(SCHEMA_VERSION, |marker| marker.schema_version)
}

fn parse_cordon_id(rest: &str) -> Option<CordonId> {
    let (drain, number) = rest.rsplit_once('/')?;
    Some((drain.to_owned(), number.parse().ok()?))
}

/// Decodes the change of a key; a value of `None` is its deletion. The second part of the result is
/// true if there is a value that cannot be decoded.
pub fn decode_change(key: &str, value: Option<Value>) -> (RecordChange, bool) {
    const UNKNOWN: (RecordChange, bool) = (RecordChange::Other, false);
    let Some(rest) = key.strip_prefix(key::PREFIX) else { return UNKNOWN };
    let Some((kind, id)) = rest.split_once('/') else { return decode_single(key, value) };
    let owned_id = || id.to_owned();
    match kind {
        "jobs" => decode(value, |record| RecordChange::Job(owned_id(), record)),
        "machines" => decode(value, |record| RecordChange::Machine(owned_id(), record)),
        "teams" => decode(value, |record| RecordChange::Team(owned_id(), record)),
        "members" => decode(value, |record| RecordChange::Member(owned_id(), record)),
        "disruptions" => decode(value, |record| RecordChange::Disruptions(owned_id(), record)),
        "drains" => decode_drain(value).into_change(|record| RecordChange::Drain(owned_id(), record)),
        "cordons" => match parse_cordon_id(id) {
            Some(id) => decode(value, |record| RecordChange::Cordon(id, record)),
            None => UNKNOWN,
        },
        "upgraded" => {
            let schema_version = value.as_ref().map(decode_schema_version);
            (RecordChange::SchemaMarker(owned_id(), schema_version), false)
        }
        _ => UNKNOWN,
    }
}

/// Decodes the change of a key without an id, such as that of the cluster map.
fn decode_single(key: &str, value: Option<Value>) -> (RecordChange, bool) {
    match key {
        // Only the version of the fence matters. If a fence that cannot be decoded were ignored, no
        // placement would be conditional on its version.
        key::CORDON_FENCE => {
            let fence = value.map(|value| decode_value(&value).unwrap_or_default());
            (RecordChange::CordonFence(fence), false)
        }
        key::LEADER => decode(value, RecordChange::Leader),
        key::MAP => decode(value, RecordChange::Map),
        key::TYPES => decode(value, RecordChange::Types),
        key::FLEET => decode(value, RecordChange::Fleet),
        _ => (RecordChange::Other, false),
    }
}

#[cfg(test)]
#[path = "../tests/unit/codec.rs"]
mod tests;
