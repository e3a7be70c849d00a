//! Changes of keys: how records are put, and how each key's value is read.

use rmpv::Value;
use sched::records::SCHEMA_VERSION;
use sched::replica::RecordChange;
use serde::Serialize;
use store::{KeyWrite, decode_change, key};
use wire::{Condition, Op, Txn};

use crate::fixture::Fixture;
use crate::values::{from_bytes, to_bytes};
use crate::{drain_records, files, jobs, records};

/// The file of a record, which lies in the package `sched`.
fn read_record(file: &str) -> Vec<u8> {
    files::read(&format!("../../sched/testdata/{file}"))
}

/// Checks that the records are put as the bytes of their files, and that these are read as the
/// expected change.
fn check<T: Serialize + Clone>(
    key: &str,
    fixtures: &[Fixture<T>],
    expected: impl Fn(Option<T>) -> RecordChange,
) {
    for Fixture { file, record } in fixtures {
        let golden = read_record(file);
        let put = KeyWrite::new(key.to_owned(), record);
        let written = put.value.as_ref().map(to_bytes).expect("a value");
        assert_eq!(files::printable(&written), files::printable(&golden), "{file} is put");
        check_change(key, Some(from_bytes(&golden)), &expected(Some(record.clone())), false);
    }
    check_change(key, None, &expected(None), false);
}

fn check_change(key: &str, value: Option<Value>, expected: &RecordChange, expected_bad: bool) {
    let (change, bad) = decode_change(key, value);
    assert_eq!(format!("{change:?}"), format!("{expected:?}"), "{key}");
    assert_eq!(bad, expected_bad, "{key}");
}

/// A value that is no record is flagged, and read as if there were none.
fn check_unreadable(key: &str, expected: &RecordChange) {
    check_change(key, Some(Value::from("no record")), expected, true);
}

#[test]
fn jobs_by_key() {
    let job = |record| RecordChange::Job("j-000412".into(), record);
    check("sageloom/jobs/j-000412", &jobs::job_records(), |record| job(record.map(Box::new)));
    check_unreadable("sageloom/jobs/j-000412", &job(None));
}

#[test]
fn machines_by_key() {
    let machine = |record| RecordChange::Machine("host-000231".into(), record);
    check("sageloom/machines/host-000231", &records::machine_records(), machine);
    check_unreadable("sageloom/machines/host-000231", &machine(None));
}

#[test]
fn teams_by_key() {
    let team = |record| RecordChange::Team("team_a".into(), record);
    check("sageloom/teams/team_a", &records::team_records(), team);
    check_unreadable("sageloom/teams/team_a", &team(None));
}

#[test]
fn members_by_key() {
    let member = |record| RecordChange::Member("controller-1".into(), record);
    check("sageloom/members/controller-1", &records::members(), member);
    check_unreadable("sageloom/members/controller-1", &member(None));
}

#[test]
fn leader_by_key() {
    check("sageloom/leader", &records::members(), RecordChange::Leader);
    check_unreadable("sageloom/leader", &RecordChange::Leader(None));
}

#[test]
fn map_by_key() {
    check("sageloom/map", &records::cluster_maps(), RecordChange::Map);
    check_unreadable("sageloom/map", &RecordChange::Map(None));
}

#[test]
fn types_by_key() {
    check("sageloom/types", &records::machine_types_records(), RecordChange::Types);
    check_unreadable("sageloom/types", &RecordChange::Types(None));
}

#[test]
fn fleet_by_key() {
    check("sageloom/fleet", &records::fleet_records(), RecordChange::Fleet);
    check_unreadable("sageloom/fleet", &RecordChange::Fleet(None));
}

/// A record that cannot be read stands for the first schema that left one.
#[test]
fn upgraded_by_key() {
    let key = "sageloom/upgraded/controller-1";
    let upgraded = |schema| RecordChange::SchemaMarker("controller-1".into(), schema);
    check(key, &records::schema_markers(), |record| upgraded(record.map(|r| r.schema_version)));
    assert_eq!(SCHEMA_VERSION, 2);
    check_change(key, Some(Value::from("no record")), &upgraded(Some(2)), false);
}

#[test]
fn drains_by_key() {
    let drain = |record| RecordChange::Drain("drain-a".into(), record);
    check("sageloom/drains/drain-a", &drain_records::drain_records(), drain);
    check_unreadable("sageloom/drains/drain-a", &drain(None));
}

#[test]
fn drains_of_another_schema_cannot_be_read() {
    for mut record in drain_records::drain_records().into_iter().map(|fixture| fixture.record) {
        record.schema += 1;
        let put = KeyWrite::new("sageloom/drains/drain-a".into(), &record);
        check_change(&put.key, put.value, &RecordChange::Drain("drain-a".into(), None), true);
    }
}

#[test]
fn cordons_by_key() {
    let cordon = |record| RecordChange::Cordon(("drain-a".into(), 7), record);
    check("sageloom/cordons/drain-a/7", &drain_records::cordon_records(), cordon);
    check_unreadable("sageloom/cordons/drain-a/7", &cordon(None));
    for key in ["sageloom/cordons/drain-a", "sageloom/cordons/drain-a/x"] {
        check_change(key, None, &RecordChange::Other, false);
    }
}

/// Only the version of the fence matters, so one that cannot be read is as good as any.
#[test]
fn cordon_fence_by_key() {
    let key = "sageloom/cordon-fence";
    check(key, &drain_records::cordon_fences(), RecordChange::CordonFence);
    let fence = sched::drain_records::CordonFence { generation: 0 };
    check_change(key, Some(Value::from("no record")), &RecordChange::CordonFence(Some(fence)), false);
}

#[test]
fn disruptions_by_key() {
    let disruptions = |record| RecordChange::Disruptions("team_a".into(), record);
    check("sageloom/disruptions/team_a", &drain_records::disruption_records(), disruptions);
    check_unreadable("sageloom/disruptions/team_a", &disruptions(None));
}

#[test]
fn other_keys_are_passed_over() {
    let keys =
        ["sageloom/", "sageloom/other", "sageloom/other/a", "sageloom/parts/map/7/0", "other", "jobs/j-1"];
    for key in keys {
        check_change(key, Some(Value::from("no record")), &RecordChange::Other, false);
        check_change(key, None, &RecordChange::Other, false);
    }
}

/// A transaction as the state service gets it, with records and a lease.
#[test]
fn transaction_with_records() {
    let member = records::members().remove(0).record;
    let team = records::team_records().remove(0).record;
    let puts = [
        KeyWrite::new(key::team("team-a"), &team),
        KeyWrite::leased(key::LEADER.into(), &member, 76_001),
        KeyWrite::delete(key::job("j-000412")),
    ];
    let operation = |put: KeyWrite| match put.value {
        Some(value) => Op::Put { put: put.key, value, lease: put.lease },
        None => Op::Delete { delete: put.key },
    };
    let transaction = Txn {
        conditions: vec![Condition { key: key::MAP.into(), version: 76_002 }],
        ops: puts.into_iter().map(operation).collect(),
    };
    let golden = files::read("transaction-with-records.msgpack");
    assert_eq!(files::printable(&wire::encode(&transaction)), files::printable(&golden));
    let decoded: Txn<Value> = wire::decode(&golden).expect("a transaction");
    assert_eq!(format!("{decoded:?}"), format!("{transaction:?}"));
}
