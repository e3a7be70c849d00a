//! A frozen copy of the record types of the version in production, which verifies that both
//! versions can read each other's records. That version ignores unknown keys and fields, drops
//! unknown fields when it rewrites a record, and reads nothing of a record in another format.
//! These types must not change when the current records do.

use rmpv::Value;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Phase {
    #[serde(rename = "a")]
    Active,
    #[serde(rename = "d")]
    Done,
    #[serde(rename = "c")]
    Cancelled,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DesiredState {
    #[serde(rename = "r")]
    Run,
    #[serde(rename = "s")]
    Stop,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobKind {
    #[serde(rename = "array")]
    Array,
    #[serde(rename = "ensemble")]
    Gang,
    #[serde(rename = "standing")]
    Service,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Priority {
    #[serde(rename = "idle")]
    Low,
    #[serde(rename = "normal")]
    Normal,
    #[serde(rename = "high")]
    High,
    #[serde(rename = "prod")]
    Production,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Spec {
    pub id: String,
    pub pattern: String,
    pub owner: String,
    pub weave: JobKind,
    pub rank: Priority,
    pub threads: u32,
    pub cpus: f64,
    pub gpus: f64,
    pub mem_gb: f64,
    pub bundle: String,
    pub size_gb: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shapes: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bay: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub loaner: bool,
    pub guess_s: f64,
    pub knot_s: f64,
    pub tie_s: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
}

type AssignmentGroup = (String, usize, u64, DesiredState, String);

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    pub phase: Phase,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Box<Spec>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub part: Option<String>,
    #[serde(default)]
    pub submitted_ms: u64,
    #[serde(default)]
    pub attempt: u64,
    #[serde(default, skip_serializing_if = "is_empty_range")]
    pub done: (u32, String),
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub run: Vec<AssignmentGroup>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub avoid: Vec<(String, u64)>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub left: Vec<String>,
    #[serde(default)]
    pub evicted_ms: u64,
    #[serde(default)]
    pub errors: u32,
    #[serde(default)]
    pub error_ms: u64,
}

fn is_empty_range(done: &(u32, String)) -> bool {
    done.0 == 0 && done.1.is_empty()
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    pub addr: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    #[serde(default)]
    pub release: bool,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    pub zone: String,
    pub incarnation: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Map {
    pub epoch: u64,
    pub live: Vec<Member>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Team {
    pub placements: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Types {
    pub types: Vec<MachineType>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineType {
    pub label: String,
    pub cpus: f64,
    pub gpus: f64,
    pub mem_gb: f64,
    pub local_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub startup_s: f64,
    pub bays: Vec<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScaleOut {
    pub r: String,
    pub t: String,
    pub z: String,
    pub s: bool,
    pub n: u32,
    pub a: u64,
    pub m: Option<Vec<(String, usize, String)>>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    pub rentals: Vec<ScaleOut>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gone: Option<Vec<(String, usize, String)>>,
}

/// How production reads the value of a key.
#[derive(Debug, Clone, PartialEq)]
pub enum Read {
    /// A key unknown to production.
    Ignored,
    /// A record that production cannot read: it keeps its last known state and answers 503 for the
    /// job.
    Unreadable,
    /// The record as production would rewrite it.
    Record(Value),
}

fn reencode<T: DeserializeOwned + Serialize>(value: &Value) -> Read {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, value).expect("into memory");
    match wire::decode::<T>(&bytes) {
        Ok(record) => {
            let bytes = wire::encode(&record);
            Read::Record(rmpv::decode::read_value(&mut bytes.as_slice()).expect("just written"))
        }
        Err(_) => Read::Unreadable,
    }
}

pub fn read(key: &str, value: &Value) -> Read {
    let Some(rest) = key.strip_prefix("sageloom/") else { return Read::Ignored };
    match rest.split_once('/') {
        Some(("jobs", _)) => reencode::<Job>(value),
        Some(("machines", _)) => reencode::<Machine>(value),
        Some(("teams", _)) => reencode::<Team>(value),
        Some(("members", _)) => reencode::<Member>(value),
        None if rest == "leader" => reencode::<Member>(value),
        None if rest == "map" => reencode::<Map>(value),
        None if rest == "types" => reencode::<Types>(value),
        None if rest == "fleet" => reencode::<Fleet>(value),
        _ => Read::Ignored,
    }
}

mod tests {
    use super::*;
    use sched::records::{self as now, JobRecord, TerminationReason};
    use sched::replica::RecordChange;
    use store::{KeyWrite, decode_change};
    use wire::JobKind;

    fn golden(section: &str) -> Vec<(String, Vec<u8>)> {
        let text = include_str!("../../testdata/production.json");
        let all: serde_json::Value = serde_json::from_str(text).expect("test data");
        let hex = |s: &str| {
            let digit = |i| u8::from_str_radix(&s[i..i + 2], 16).expect("hex");
            (0..s.len()).step_by(2).map(digit).collect()
        };
        let list = all[section].as_object().expect("a section").iter();
        list.map(|(k, v)| (k.clone(), hex(v.as_str().expect("text")))).collect()
    }

    /// A record as the current version rewrites it without any change.
    fn rewritten(key: &str, change: &RecordChange) -> KeyWrite {
        let key = key.to_owned();
        match change {
            RecordChange::Job(_, Some(r)) => KeyWrite::new(key, r),
            RecordChange::Machine(_, Some(r)) => KeyWrite::new(key, r),
            RecordChange::Team(_, Some(r)) => KeyWrite::new(key, r),
            RecordChange::Member(_, Some(r)) | RecordChange::Leader(Some(r)) => KeyWrite::new(key, r),
            RecordChange::Map(Some(r)) => KeyWrite::new(key, r),
            RecordChange::Types(Some(r)) => KeyWrite::new(key, r),
            RecordChange::Fleet(Some(r)) => KeyWrite::new(key, r),
            other => unreachable!("{other:?}"),
        }
    }

    /// Bytes from the encoders of production are read, and rewritten so that production reads the
    /// same.
    #[test]
    fn records_and_messages_of_production_are_read_and_rewritten_alike() {
        let records = golden("records");
        assert!(records.len() >= 14);
        for (key, bytes) in records {
            let value = rmpv::decode::read_value(&mut bytes.as_slice()).expect("a value");
            let (change, bad) = decode_change(&key, Some(value.clone()));
            assert!(!bad, "{key}");
            let write = rewritten(&key, &change);
            let before = read(&key, &value);
            assert!(matches!(before, Read::Record(_)), "{key}");
            assert_eq!(read(&key, &write.value.expect("a value")), before, "{key}");
        }
        for (name, bytes) in golden("messages") {
            let message = peer::decode(&bytes).unwrap_or_else(|| unreachable!("{name} is not read"));
            assert_eq!(peer::encode(&message), bytes, "{name}: old processes read this, byte for byte");
        }
    }

    /// A new feature of a record is either irrelevant to production, or makes the whole record
    /// unreadable to it, so that production does not modify it.
    #[test]
    fn production_reads_new_records_correctly_or_not_at_all() {
        let key = "sageloom/jobs/j-1";
        let spec = crate::worker::tests::spec("j-1", JobKind::Array);
        let value = |job: &JobRecord| KeyWrite::new(key.into(), job).value.expect("a value");
        let job = JobRecord::waiting(spec.clone(), None, 5, vec!["j-0".into()]);
        assert_eq!(read(key, &value(&job)), Read::Unreadable, "a job that waits for its dependencies");
        // Once its dependencies are done it is a job like any other, with times that count from
        // then.
        let mut activated = job.clone();
        activated.activate(900);
        let plain = JobRecord::new(spec.clone(), None, 900);
        assert_eq!(read(key, &value(&activated)), read(key, &value(&plain)));
        let mut done = JobRecord::new(spec, None, 5);
        let tasks = done.spec.as_ref().map_or(0, |s| s.tasks);
        for task in 0..tasks {
            let a = now::Assignment {
                task,
                attempt: 1,
                machine: "m".into(),
                desired: now::DesiredState::Running,
            };
            done.assignments = vec![a];
            done.end_assignment(task, 1, TerminationReason::Done, 77, 60);
        }
        assert_eq!((done.phase, done.ended_ms), (now::Phase::Done, 77));
        let Read::Record(old) = read(key, &value(&done)) else { unreachable!("a final record") };
        let RecordChange::Job(_, Some(back)) = decode_change(key, Some(old)).0 else { unreachable!("a job") };
        assert_eq!((back.phase, back.done.len(), back.ended_ms), (now::Phase::Done, tasks, 0));
        let chunked = store::split_record(&KeyWrite::new(key.into(), &job), 7, 100).expect("chunks");
        assert_eq!(read(key, &chunked.head.value.expect("a value")), Read::Unreadable);
        for write in chunked.chunks {
            assert_eq!(read(&write.key, &write.value.expect("a value")), Read::Ignored);
        }
        let marker = KeyWrite::new(
            store::key::schema_marker("n-1"),
            &now::SchemaMarker { schema_version: now::SCHEMA_VERSION },
        );
        assert_eq!(read(&marker.key, &marker.value.expect("a value")), Read::Ignored);
    }
}
