//! Keys and values of the records.

use rmpv::Value;
use sched::drain_records::{DRAIN_SCHEMA, DrainRecord};
use sched::drains::CordonId;
use sched::records::{SCHEMA_VERSION, SchemaMarker};
use sched::replica::RecordChange;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Names of keys. Everything lies under one prefix, so one watch sees it all.
pub mod key {
    /// The prefix of all keys.
    pub const PREFIX: &str = "sageloom/";
    /// The prefix of the parts of records that are larger than a value.
    pub const PARTS: &str = "sageloom/parts/";
    /// The controller that leads.
    pub const LEADER: &str = "sageloom/leader";
    /// Which controllers are live, and the epoch.
    pub const MAP: &str = "sageloom/map";
    /// The machine types, as last told by the cloud.
    pub const TYPES: &str = "sageloom/types";
    /// Rentals under way, and machines that are gone.
    pub const FLEET: &str = "sageloom/fleet";

    /// A job's record.
    pub fn job(id: &str) -> String {
        format!("sageloom/jobs/{id}")
    }
    /// A machine's record.
    pub fn machine(id: &str) -> String {
        format!("sageloom/machines/{id}")
    }
    /// The record that placements of a team change.
    pub fn team(name: &str) -> String {
        format!("sageloom/teams/{}", team_id(name))
    }
    /// A team's name as its key has it, by which its record is known: names are free text,
    /// and a key has no spaces.
    pub fn team_id(name: &str) -> String {
        name.replace(char::is_whitespace, "_")
    }
    /// Left by a controller of the version that knows pipelines, without a lease: it
    /// does not come back old.
    pub fn upgraded(name: &str) -> String {
        format!("sageloom/upgraded/{name}")
    }
    /// Changes with every change of what is cordoned.
    pub const CORDON_FENCE: &str = "sageloom/cordon-fence";

    /// How far a drain is.
    pub fn drain(name: &str) -> String {
        format!("sageloom/drains/{name}")
    }
    /// Some of a drain's machines.
    pub fn cordon(drain: &str, part: u32) -> String {
        format!("sageloom/cordons/{drain}/{part}")
    }
    /// What of a team's work is down by choice.
    pub fn disruptions(team: &str) -> String {
        format!("sageloom/disruptions/{}", team_id(team))
    }
    /// A live controller's entry.
    pub fn member(name: &str) -> String {
        format!("sageloom/members/{name}")
    }
}

/// One put or delete of a transaction.
#[derive(Debug, Clone)]
pub struct KeyWrite {
    /// The key.
    pub key: String,
    /// None deletes the key.
    pub value: Option<Value>,
    /// The lease that the key is attached to.
    pub lease: Option<u64>,
}

impl KeyWrite {
    /// A put of a record.
    pub fn new<T: Serialize>(key: String, value: &T) -> Self {
        // By way of bytes, so that the value is just what a reader will see.
        let value = rmp_serde::to_vec_named(value)
            .ok()
            .and_then(|b| rmpv::decode::read_value(&mut b.as_slice()).ok())
            .unwrap_or(Value::Nil);
        Self { key, value: Some(value), lease: None }
    }

    /// A put of a record that is attached to a lease.
    pub fn leased<T: Serialize>(key: String, value: &T, lease: u64) -> Self {
        Self { lease: Some(lease), ..Self::new(key, value) }
    }

    /// About how much the change takes of a transaction, in the form that limits
    /// are measured in.
    pub fn json_len(&self) -> usize {
        self.key.len() + 20 + self.value_len()
    }

    /// The length of its value.
    pub fn value_len(&self) -> usize {
        self.value.as_ref().map_or(0, json_len)
    }

    /// A deletion.
    pub fn delete(key: String) -> Self {
        Self { key, value: None, lease: None }
    }
}

/// The length of a value written as JSON.
fn json_len(value: &Value) -> usize {
    match value {
        Value::Map(m) => m.iter().map(|(k, v)| json_len(k) + json_len(v) + 2).sum::<usize>() + 2,
        Value::Array(a) => a.iter().map(|v| json_len(v) + 1).sum::<usize>() + 2,
        Value::String(s) => {
            // Characters that JSON escapes take up to six bytes.
            let plain = s.as_bytes().iter().filter(|b| **b >= 0x20 && **b != b'"' && **b != b'\\').count();
            plain + (s.as_bytes().len() - plain) * 6 + 2
        }
        other => other.to_string().len(),
    }
}

fn parse<T: DeserializeOwned>(value: Value) -> Option<T> {
    // By way of bytes: rmpv's own deserializer does not read enums from text.
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, &value).ok()?;
    rmp_serde::from_slice(&bytes).ok()
}

fn read<T: DeserializeOwned>(value: Option<Value>, bad: &mut bool) -> Option<T> {
    let record = parse(value?);
    *bad = record.is_none();
    record
}

/// The schema that a controller had. Whatever the record says otherwise, it stands for the
/// first version that left one.
fn schema_of(value: Value) -> u32 {
    parse::<SchemaMarker>(value).map_or(SCHEMA_VERSION, |u| u.schema_version)
}

/// A drain's record; one of a later schema cannot be read.
fn read_drain(value: Option<Value>, bad: &mut bool) -> Option<DrainRecord> {
    let record = read::<DrainRecord>(value, bad)?;
    *bad = record.schema != DRAIN_SCHEMA;
    (!*bad).then_some(record)
}

fn cordon_id(rest: &str) -> Option<CordonId> {
    let (drain, part) = rest.rsplit_once('/')?;
    Some((drain.to_owned(), part.parse().ok()?))
}

/// Reads a change of a key; `None` is a deletion. The second part tells that
/// there is a value, but none that can be read.
pub fn decode_change(key: &str, value: Option<Value>) -> (RecordChange, bool) {
    let mut bad = false;
    let Some(rest) = key.strip_prefix(key::PREFIX) else { return (RecordChange::Other, false) };
    let change = match rest.split_once('/') {
        Some(("jobs", id)) => RecordChange::Job(id.to_owned(), read(value, &mut bad)),
        Some(("machines", id)) => RecordChange::Machine(id.to_owned(), read(value, &mut bad)),
        Some(("teams", id)) => RecordChange::Team(id.to_owned(), read(value, &mut bad)),
        Some(("members", id)) => RecordChange::Member(id.to_owned(), read(value, &mut bad)),
        Some(("upgraded", id)) => RecordChange::SchemaMarker(id.to_owned(), value.map(schema_of)),
        Some(("drains", name)) => RecordChange::Drain(name.to_owned(), read_drain(value, &mut bad)),
        Some(("cordons", rest)) => match cordon_id(rest) {
            Some(id) => RecordChange::Cordon(id, read(value, &mut bad)),
            None => RecordChange::Other,
        },
        Some(("disruptions", team)) => RecordChange::Disruptions(team.to_owned(), read(value, &mut bad)),
        // Only its version matters: were one that cannot be read passed over, no placement
        // would be conditional on the version that it has.
        None if rest == "cordon-fence" => {
            RecordChange::CordonFence(value.map(|v| parse(v).unwrap_or_default()))
        }
        None if rest == "leader" => RecordChange::Leader(read(value, &mut bad)),
        None if rest == "map" => RecordChange::Map(read(value, &mut bad)),
        None if rest == "types" => RecordChange::Types(read(value, &mut bad)),
        None if rest == "fleet" => RecordChange::Fleet(read(value, &mut bad)),
        _ => RecordChange::Other,
    };
    (change, bad)
}

#[cfg(test)]
#[path = "../tests/unit/codec.rs"]
mod tests;
