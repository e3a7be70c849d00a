use drain::lifecycle::Event;
use drain::selection::Selection;
use net::Client;
use sched::drain_records::{DrainPhase, DrainRecord, UnsavedWork};
use sched::replica::Replica;
use store::{KeyValueClient, KeyWrite};

use super::changes::*;
use super::*;
use crate::drains::tests::record;
use crate::operators::OperatorSettings;
use sched::drain_records::CordonRecord;
use sched::records::*;
use store::decode_change;

fn replica_with_machines(machines: usize) -> Replica {
    let mut replica = Replica::default();
    for i in 0..machines {
        let (machine_type, zone) = ("m".into(), "a".into());
        let record = MachineRecord { addr: "x".into(), machine_type, zone, spot: false, release: false };
        replica.apply(sched::replica::RecordChange::Machine(format!("host-{i:06}"), Some(record)), 1);
    }
    replica
}

fn request() -> Request {
    Request {
        selection: Selection::default(),
        patience_s: 10.0,
        give_up_s: 100.0,
        unsaved: UnsavedWork::Leave,
        operators: OperatorSettings::default(),
    }
}

/// Commits a change as the key-value store does. Returns false if a condition fails.
fn commit(
    replica: &mut Replica,
    version: &mut u64,
    ConditionalWrites { conditions, writes }: ConditionalWrites,
) -> bool {
    let version_of = |key: &str| match decode_change(key, None).0 {
        sched::replica::RecordChange::Drain(name, _) => {
            replica.drains.records.get(&name).map_or(0, |d| d.version)
        }
        sched::replica::RecordChange::Cordon(id, _) => {
            replica.drains.cordons.get(&id).map_or(0, |c| c.version)
        }
        _ => replica.drains.fence_version,
    };
    if conditions.iter().any(|c| version_of(&c.key) != c.version) {
        return false;
    }
    *version += 1;
    for write in writes {
        let (change, is_unreadable) = decode_change(&write.key, write.value);
        assert!(!is_unreadable);
        replica.apply(change, *version);
    }
    true
}

/// Four thousand machines are split into cordons that fit the smallest limit of a value, even once
/// all their machines are emptied and gone, and are written in transactions of at most two changes.
#[test]
fn thousands_of_machines_are_cordoned_in_small_transactions() {
    let mut replica = replica_with_machines(4000);
    let machines: Vec<Name> = replica.machines.keys().cloned().collect();
    let groups = split_into_cordons(&machines);
    assert_eq!(groups.iter().map(Vec::len).sum::<usize>(), 4000);
    for group in &groups {
        let all_machines = Some(group.clone());
        let largest = CordonRecord {
            emptied: all_machines.clone(),
            gone: all_machines,
            ..CordonRecord::new(group.clone())
        };
        assert!(KeyWrite::new(String::new(), &largest).value_len() <= 2048);
    }
    let (mut version, mut changes) = (10, 0);
    while let Some(change) =
        next_start_change(&replica, "d", &request(), &machines, &groups, Feasibility::Required)
            .expect("a valid start")
    {
        assert!(change.writes.len() <= 2 && replica.drains.records.is_empty());
        assert!(commit(&mut replica, &mut version, change));
        changes += 1;
    }
    assert_eq!(changes, groups.len() + 1);
    assert!(machines.iter().all(|m| replica.drains.is_cordoned(m)));
    assert_eq!(replica.drains.records["d"].value.machines, 4000);
}

/// If two commands start drains of the same machine at the same time, only one of them succeeds.
#[test]
fn two_drains_of_one_machine_cannot_both_start() {
    let mut replica = replica_with_machines(2);
    let machines: Vec<Name> = replica.machines.keys().cloned().collect();
    let groups = split_into_cordons(&machines);
    let first_change = |name: &str, replica: &Replica| {
        next_start_change(replica, name, &request(), &machines, &groups, Feasibility::Required)
    };
    let a = first_change("a", &replica).expect("fine").expect("a change");
    let b = first_change("b", &replica).expect("fine").expect("a change");
    let mut version = 10;
    assert!(commit(&mut replica, &mut version, a));
    assert!(
        !commit(&mut replica, &mut version, b),
        "the second start is decided from cordons before the first"
    );
    let again = first_change("b", &replica).expect_err("the machine has another drain");
    assert!(again.to_string().contains("being drained by \"a\""), "{again}");
}

#[test]
fn a_drain_is_stopped_resumed_and_removed_through_its_records() {
    let mut replica = replica_with_machines(1);
    let mut version = 20;
    let cordon = CordonRecord { active: false, ..CordonRecord::new(vec!["host-000000".into()]) };
    replica.apply(sched::replica::RecordChange::Cordon(("d".into(), 0), Some(cordon)), 11);
    replica.apply(sched::replica::RecordChange::Drain("d".into(), Some(record())), 12);
    let error = next_removal_change(&replica, "d").expect_err("active").to_string();
    assert!(error.contains("not over"), "{error}");
    let stop = drain_change(&replica, "d", Event::StopRequested).expect("active");
    assert!(commit(&mut replica, &mut version, stop));
    let error = next_resume_change(&replica, "d").map(|_| ()).expect_err("the cordons are not lifted yet");
    assert!(error.to_string().contains("not over"), "{error}");
    let lifted = drain_change(&replica, "d", Event::CordonsLifted).expect("closing");
    assert!(commit(&mut replica, &mut version, lifted));
    while let Some(change) = next_resume_change(&replica, "d").expect("over") {
        assert!(commit(&mut replica, &mut version, change));
    }
    assert!(replica.drains.is_cordoned("host-000000") && replica.drains.records["d"].value.is_active());
    let closed = DrainPhase::Closed(sched::drain_records::DrainEnd::Finished);
    let closed_drain = DrainRecord { phase: closed, ..record() };
    replica.apply(sched::replica::RecordChange::Drain("d".into(), Some(closed_drain)), 90);
    version = 91;
    while let Some(change) = next_removal_change(&replica, "d").expect("over") {
        assert!(commit(&mut replica, &mut version, change));
    }
    assert!(replica.drains.records.is_empty() && replica.drains.cordons.is_empty());
    assert!(matches!(record_of(&replica, "d"), Err(DrainError::Unknown(_))));
}

#[test]
fn invalid_commands_are_refused_naming_the_cause() {
    for name in ["", "Rack", "rack 7", "rack/7", &"r".repeat(41)] {
        assert!(validate_name(name.into()).is_err(), "{name}");
    }
    assert!(validate_name("rack-7".into()).is_ok());
    let mut replica = replica_with_machines(1);
    let member = Member { name: "n-1".into(), zone: "a".into(), incarnation: 1 };
    replica.apply(sched::replica::RecordChange::Member("n-1".into(), Some(member)), 3);
    replica.apply(sched::replica::RecordChange::SchemaMarker("n-1".into(), Some(SCHEMA_VERSION)), 3);
    let machines: Vec<Name> = replica.machines.keys().cloned().collect();
    let refused = next_start_change(
        &replica,
        "d",
        &request(),
        &machines,
        &split_into_cordons(&machines),
        Feasibility::Required,
    );
    assert!(
        refused
            .expect_err("the old controller could place tasks on the machine")
            .to_string()
            .contains("\"n-1\"")
    );
    replica.drains.unreadable.insert("d".into());
    let unreadable = machines_of_drain(&replica, "d").expect_err("unreadable").to_string();
    assert!(unreadable.contains("sageloom/drains/d"), "{unreadable}");
    // Nothing listens at this address: the command fails within seconds, and tells
    // whether anything was written.
    let runtime = crate::process::runtime().expect("a runtime");
    let unreachable_store = KeyValueClient::new(Client::new(1), "127.0.0.1:1".into(), 1 << 20);
    let error = runtime
        .block_on(Service::new(unreachable_store, None).stop("d"))
        .expect_err("the store does not answer");
    assert!(error.to_string().ends_with("nothing was written"), "{error}");
}
