//! What the version in production reads and writes: a frozen copy of its record types,
//! kept to see that both versions understand each other. It ignores keys and fields
//! that it does not know, drops the latter when it writes a record again, and reads
//! nothing of a record in another form. Never to be changed with the records.

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
pub enum Want {
    #[serde(rename = "r")]
    Run,
    #[serde(rename = "s")]
    Stop,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Kind {
    #[serde(rename = "array")]
    Array,
    #[serde(rename = "ensemble")]
    Gang,
    #[serde(rename = "standing")]
    Service,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Rank {
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
    pub weave: Kind,
    pub rank: Rank,
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

type Group = (String, usize, u64, Want, String);

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
    #[serde(default, skip_serializing_if = "nothing")]
    pub done: (u32, String),
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub run: Vec<Group>,
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

fn nothing(done: &(u32, String)) -> bool {
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
    pub types: Vec<Kinds>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Kinds {
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
pub struct Rental {
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
    pub rentals: Vec<Rental>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gone: Option<Vec<(String, usize, String)>>,
}

/// What production makes of a key's value.
#[derive(Debug, Clone, PartialEq)]
pub enum Read {
    /// A key that it does not know.
    Ignored,
    /// There is a record, but none that it can read: what it knew of it stands, and it
    /// answers 503 for the job.
    Unreadable,
    /// The record, as it would write it again.
    Record(Value),
}

fn again<T: DeserializeOwned + Serialize>(value: &Value) -> Read {
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
        Some(("jobs", _)) => again::<Job>(value),
        Some(("machines", _)) => again::<Machine>(value),
        Some(("teams", _)) => again::<Team>(value),
        Some(("members", _)) => again::<Member>(value),
        None if rest == "leader" => again::<Member>(value),
        None if rest == "map" => again::<Map>(value),
        None if rest == "types" => again::<Types>(value),
        None if rest == "fleet" => again::<Fleet>(value),
        _ => Read::Ignored,
    }
}

mod tests {
    use super::*;
    use sched::records::{self as now, JobRecord, TerminationReason};
    use sched::replica::RecordChange;
    use store::{KeyWrite, decode_change};
    use wire::JobKind;

    fn golden(part: &str) -> Vec<(String, Vec<u8>)> {
        let text = include_str!("../../testdata/production.json");
        let all: serde_json::Value = serde_json::from_str(text).expect("test data");
        let hex = |s: &str| {
            let digit = |i| u8::from_str_radix(&s[i..i + 2], 16).expect("hex");
            (0..s.len()).step_by(2).map(digit).collect()
        };
        let list = all[part].as_object().expect("a part").iter();
        list.map(|(k, v)| (k.clone(), hex(v.as_str().expect("text")))).collect()
    }

    /// A record as it is written again by the version of now, without any change.
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

    /// Bytes that production's own encoders wrote: all is read, and written again so
    /// that production reads the same.
    #[test]
    fn what_production_wrote_is_read_and_written_back_alike() {
        let records = golden("records");
        assert!(records.len() >= 14);
        for (key, bytes) in records {
            let value = rmpv::decode::read_value(&mut bytes.as_slice()).expect("a value");
            let (change, bad) = decode_change(&key, Some(value.clone()));
            assert!(!bad, "{key}");
            let put = rewritten(&key, &change);
            let before = read(&key, &value);
            assert!(matches!(before, Read::Record(_)), "{key}");
            assert_eq!(read(&key, &put.value.expect("a value")), before, "{key}");
        }
        for (name, bytes) in golden("messages") {
            let message = peer::decode(&bytes).unwrap_or_else(|| unreachable!("{name} is not read"));
            assert_eq!(peer::encode(&message), bytes, "{name}: old processes read this, byte for byte");
        }
    }

    /// What is new in a record is either nothing that production has to know, or it
    /// cannot read the record at all and touches nothing of it.
    #[test]
    fn production_reads_new_records_right_or_not_at_all() {
        let key = "sageloom/jobs/j-1";
        let spec = crate::worker::tests::spec("j-1", JobKind::Array);
        let value = |job: &JobRecord| KeyWrite::new(key.into(), job).value.expect("a value");
        let job = JobRecord::waiting(spec.clone(), None, 5, vec!["j-0".into()]);
        assert_eq!(read(key, &value(&job)), Read::Unreadable, "a job that waits");
        // Once it may begin it is a job like any other, with its times counted from then.
        let mut begun = job.clone();
        begun.activate(900);
        let plain = JobRecord::new(spec.clone(), None, 900);
        assert_eq!(read(key, &value(&begun)), read(key, &value(&plain)));
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
        let chunked = store::split_record(&KeyWrite::new(key.into(), &job), 7, 100).expect("parts");
        assert_eq!(read(key, &chunked.head.value.expect("a value")), Read::Unreadable);
        for put in chunked.chunks {
            assert_eq!(read(&put.key, &put.value.expect("a value")), Read::Ignored);
        }
        let mark = KeyWrite::new(
            store::key::schema_marker("n-1"),
            &now::SchemaMarker { schema_version: now::SCHEMA_VERSION },
        );
        assert_eq!(read(&mark.key, &mark.value.expect("a value")), Read::Ignored);
    }
}
