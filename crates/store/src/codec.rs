//! Encoding of records as values of the key-value store.

use rmpv::Value;
use sched::drain_records::{DRAIN_SCHEMA, DrainRecord};
use sched::drains::CordonId;
use sched::records::{SCHEMA_VERSION, SchemaMarker};
use sched::replica::RecordChange;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::key;

/// What a write takes of a transaction beside its key and value, in bytes.
const WRITE_OVERHEAD_BYTES: usize = 20;

/// A put or a deletion of a key, as part of a transaction.
#[derive(Debug, Clone)]
pub struct KeyWrite {
    /// The key.
    pub key: String,
    /// The value; `None` deletes the key.
    pub value: Option<Value>,
    /// The lease that the key is attached to.
    pub lease: Option<u64>,
}

impl KeyWrite {
    /// A put of a record.
    pub fn new<T: Serialize>(key: String, record: &T) -> Self {
        // By way of bytes, so that the value is exactly what a reader will see.
        let value = rmp_serde::to_vec_named(record)
            .ok()
            .and_then(|bytes| rmpv::decode::read_value(&mut bytes.as_slice()).ok())
            .unwrap_or(Value::Nil);
        Self { key, value: Some(value), lease: None }
    }

    /// A put of a record that is attached to a lease.
    pub fn leased<T: Serialize>(key: String, record: &T, lease: u64) -> Self {
        Self { lease: Some(lease), ..Self::new(key, record) }
    }

    /// A deletion.
    pub fn delete(key: String) -> Self {
        Self { key, value: None, lease: None }
    }

    /// About how many bytes the write takes of a transaction, written as JSON: the limits are
    /// measured so.
    pub fn json_len(&self) -> usize {
        self.key.len() + WRITE_OVERHEAD_BYTES + self.value_len()
    }

    /// The length of its value written as JSON, in bytes.
    pub fn value_len(&self) -> usize {
        self.value.as_ref().map_or(0, json_len)
    }
}

/// The most bytes that a character takes that JSON escapes.
const MAX_ESCAPED_BYTES: usize = 6;

/// The length of a value written as JSON.
fn json_len(value: &Value) -> usize {
    match value {
        Value::Map(entries) => entries.iter().map(|(k, v)| json_len(k) + json_len(v) + 2).sum::<usize>() + 2,
        Value::Array(items) => items.iter().map(|item| json_len(item) + 1).sum::<usize>() + 2,
        Value::String(text) => {
            let bytes = text.as_bytes();
            let plain = bytes.iter().filter(|b| **b >= 0x20 && **b != b'"' && **b != b'\\').count();
            plain + (bytes.len() - plain) * MAX_ESCAPED_BYTES + 2
        }
        other => other.to_string().len(),
    }
}

/// Decodes a value; `None` if it is not a `T`.
fn decode_value<T: DeserializeOwned>(value: &Value) -> Option<T> {
    // By way of bytes: rmpv's own deserializer does not read enums from text.
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, value).ok()?;
    rmp_serde::from_slice(&bytes).ok()
}

/// What a key holds.
struct Decoded<T> {
    /// `None` if there is no value, or none that can be read.
    record: Option<T>,
    /// There is a value that cannot be read.
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
    /// The change of the record, and whether there is a value that cannot be read.
    fn into_change(self, change: impl FnOnce(Option<T>) -> RecordChange) -> (RecordChange, bool) {
        (change(self.record), self.is_unreadable)
    }
}

/// The change of a record that a key's value decodes to.
fn decode<T: DeserializeOwned>(
    value: Option<Value>,
    change: impl FnOnce(Option<T>) -> RecordChange,
) -> (RecordChange, bool) {
    Decoded::from_value(value).into_change(change)
}

/// A drain's record; one of a later schema cannot be read.
fn decode_drain(value: Option<Value>) -> Decoded<DrainRecord> {
    let decoded = Decoded::<DrainRecord>::from_value(value);
    let has_other_schema = decoded.record.as_ref().is_some_and(|record| record.schema != DRAIN_SCHEMA);
    if has_other_schema { Decoded { record: None, is_unreadable: true } } else { decoded }
}

/// The schema version that a controller had. Whatever the record says otherwise, it stands for the
/// first version that wrote one.
fn decode_schema_version(value: &Value) -> u32 {
    decode_value::<SchemaMarker>(value).map_or(SCHEMA_VERSION, |marker| marker.schema_version)
}

fn parse_cordon_id(rest: &str) -> Option<CordonId> {
    let (drain, number) = rest.rsplit_once('/')?;
    Some((drain.to_owned(), number.parse().ok()?))
}

/// Decodes the change of a key; a value of `None` is its deletion. The second part tells that there
/// is a value that cannot be read.
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

/// Decodes the change of a key of which there is only one.
fn decode_single(key: &str, value: Option<Value>) -> (RecordChange, bool) {
    match key {
        // Only its version matters: were one that cannot be read ignored, no placement would be
        // conditional on the version that it has.
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
