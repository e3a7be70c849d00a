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

/// Carries out a change as the state service would; false if it met newer records.
fn carry_out(
    replica: &mut Replica,
    version: &mut u64,
    ConditionalWrites { conditions, writes }: ConditionalWrites,
) -> bool {
    let of = |key: &str| match decode_change(key, None).0 {
        sched::replica::RecordChange::Drain(name, _) => {
            replica.drains.records.get(&name).map_or(0, |d| d.version)
        }
        sched::replica::RecordChange::Cordon(id, _) => {
            replica.drains.cordons.get(&id).map_or(0, |c| c.version)
        }
        _ => replica.drains.fence_version,
    };
    if conditions.iter().any(|c| of(&c.key) != c.version) {
        return false;
    }
    *version += 1;
    for put in writes {
        let (change, bad) = decode_change(&put.key, put.value);
        assert!(!bad);
        replica.apply(change, *version);
    }
    true
}

/// Four thousand machines in as many cordons as they need, each within the smallest value, in
/// transactions of two changes at the most.
#[test]
fn thousands_of_machines_are_cordoned_piece_by_piece() {
    let mut replica = replica_with_machines(4000);
    let machines: Vec<Name> = replica.machines.keys().cloned().collect();
    let pieces = cordon_pieces(&machines);
    assert_eq!(pieces.iter().map(Vec::len).sum::<usize>(), 4000);
    for piece in &pieces {
        let all = Some(piece.clone());
        let full = CordonRecord { emptied: all.clone(), gone: all, ..CordonRecord::new(piece.clone()) };
        assert!(KeyWrite::new(String::new(), &full).value_len() <= 2048);
    }
    let (mut version, mut changes) = (10, 0);
    while let Some(step) =
        next_start_change(&replica, "d", &request(), &machines, &pieces, Feasibility::Required)
            .expect("nothing is wrong")
    {
        assert!(step.writes.len() <= 2 && replica.drains.records.is_empty());
        assert!(carry_out(&mut replica, &mut version, step));
        changes += 1;
    }
    assert_eq!(changes, pieces.len() + 1);
    assert!(machines.iter().all(|m| replica.drains.is_cordoned(m)));
    assert_eq!(replica.drains.records["d"].value.machines, 4000);
}

/// Two commands for the same machine in the same moment: one of them has it.
#[test]
fn two_drains_of_one_machine_cannot_both_start() {
    let mut replica = replica_with_machines(2);
    let machines: Vec<Name> = replica.machines.keys().cloned().collect();
    let pieces = cordon_pieces(&machines);
    let first = |name: &str, replica: &Replica| {
        next_start_change(replica, name, &request(), &machines, &pieces, Feasibility::Required)
    };
    let a = first("a", &replica).expect("fine").expect("a change");
    let b = first("b", &replica).expect("fine").expect("a change");
    let mut version = 10;
    assert!(carry_out(&mut replica, &mut version, a));
    assert!(!carry_out(&mut replica, &mut version, b), "decided by the cordons before");
    let again = first("b", &replica).expect_err("it is another's");
    assert!(again.to_string().contains("being drained by \"a\""), "{again}");
}

#[test]
fn a_drain_is_stopped_resumed_and_removed_by_its_record() {
    let mut replica = replica_with_machines(1);
    let mut version = 20;
    let cordon = CordonRecord { active: false, ..CordonRecord::new(vec!["host-000000".into()]) };
    replica.apply(sched::replica::RecordChange::Cordon(("d".into(), 0), Some(cordon)), 11);
    replica.apply(sched::replica::RecordChange::Drain("d".into(), Some(record())), 12);
    let error = next_removal_change(&replica, "d").expect_err("active").to_string();
    assert!(error.contains("not over"), "{error}");
    let stop = drain_change(&replica, "d", Event::StopRequested).expect("active");
    assert!(carry_out(&mut replica, &mut version, stop));
    let error = next_resume_change(&replica, "d").map(|_| ()).expect_err("its cordons are not lifted yet");
    assert!(error.to_string().contains("not over"), "{error}");
    let lifted = drain_change(&replica, "d", Event::CordonsLifted).expect("closing");
    assert!(carry_out(&mut replica, &mut version, lifted));
    while let Some(step) = next_resume_change(&replica, "d").expect("over") {
        assert!(carry_out(&mut replica, &mut version, step));
    }
    assert!(replica.drains.is_cordoned("host-000000") && replica.drains.records["d"].value.is_active());
    let closed = DrainPhase::Closed(sched::drain_records::DrainEnd::Finished);
    let over = DrainRecord { phase: closed, ..record() };
    replica.apply(sched::replica::RecordChange::Drain("d".into(), Some(over)), 90);
    version = 91;
    while let Some(step) = next_removal_change(&replica, "d").expect("over") {
        assert!(carry_out(&mut replica, &mut version, step));
    }
    assert!(replica.drains.records.is_empty() && replica.drains.cordons.is_empty());
    assert!(matches!(record_of(&replica, "d"), Err(DrainError::Unknown(_))));
}

#[test]
fn errors_are_told_in_one_line() {
    for name in ["", "Rack", "rack 7", "rack/7", &"r".repeat(41)] {
        assert!(validate_name(name.into()).is_err(), "{name}");
    }
    assert!(validate_name("rack-7".into()).is_ok());
    let mut replica = replica_with_machines(1);
    let member = Member { name: "n-1".into(), zone: "a".into(), incarnation: 1 };
    replica.apply(sched::replica::RecordChange::Member("n-1".into(), Some(member)), 3);
    replica.apply(sched::replica::RecordChange::SchemaMarker("n-1".into(), Some(SCHEMA_VERSION)), 3);
    let machines: Vec<Name> = replica.machines.keys().cloned().collect();
    let old = next_start_change(
        &replica,
        "d",
        &request(),
        &machines,
        &cordon_pieces(&machines),
        Feasibility::Required,
    );
    assert!(old.expect_err("it would place on the machine").to_string().contains("\"n-1\""));
    replica.drains.unreadable.insert("d".into());
    let unreadable = known_machines(&replica, "d").expect_err("unreadable").to_string();
    assert!(unreadable.contains("sageloom/drains/d"), "{unreadable}");
    // Nobody listens there: told within seconds, with what may have been written.
    let runtime = crate::process::runtime().expect("a runtime");
    let nowhere = KeyValueClient::new(Client::new(1), "127.0.0.1:1".into(), 1 << 20);
    let error = runtime.block_on(Service::new(nowhere, None).stop("d")).expect_err("nobody answers");
    assert!(error.to_string().ends_with("nothing was written"), "{error}");
}
