//! Records other than those of jobs and drains, with another value in every field.

use sched::records::{
    ClusterMap, FleetRecord, MachineRecord, MachineTypesRecord, Member, ScaleOut, SchemaMarker, TeamRecord,
};
use wire::MachineType;

use crate::fixture::{Fixture, fixture};
use crate::machine_types;

/// Records of machines. The two tell the flags from each other.
pub fn machine_records() -> Vec<Fixture<MachineRecord>> {
    let spot = MachineRecord {
        addr: "10.1.0.232:9000".into(),
        machine_type: "type-a".into(),
        zone: "zone-b".into(),
        spot: true,
        release: false,
    };
    let released = MachineRecord {
        addr: "10.1.0.233:9000".into(),
        machine_type: "type-c".into(),
        zone: "zone-d".into(),
        spot: false,
        release: true,
    };
    vec![fixture("machine-spot", spot), fixture("machine-to-be-released", released)]
}

fn member() -> Member {
    Member { name: "controller-1".into(), zone: "zone-a".into(), incarnation: 7_300_000_000_000_000_001 }
}

/// Entries of controllers.
pub fn members() -> Vec<Fixture<Member>> {
    vec![fixture("member", member())]
}

/// What controllers leave for good.
pub fn upgraded_records() -> Vec<Fixture<SchemaMarker>> {
    vec![fixture("upgraded", SchemaMarker { schema_version: 73_002 })]
}

/// Maps of controllers.
pub fn map_records() -> Vec<Fixture<ClusterMap>> {
    let other = Member { name: "controller-2".into(), zone: "zone-b".into(), incarnation: 73_003 };
    vec![
        fixture("map-full", ClusterMap { epoch: 73_004, live: vec![other, member()] }),
        fixture("map-empty", ClusterMap { epoch: 0, live: Vec::new() }),
    ]
}

/// Machine types, as the cloud last told them.
pub fn types_records() -> Vec<Fixture<MachineTypesRecord>> {
    let smaller = MachineType {
        name: "type-e".into(),
        cpus: 4.5,
        gpus: 0.5,
        memory_gb: 16.5,
        cache_gb: 20.5,
        fetch_gb_per_s: 0.25,
        price: 3.25,
        spot_price: 1.75,
        boot_s: 30.5,
        zones: Vec::new(),
    };
    vec![
        fixture("types-full", MachineTypesRecord { types: vec![machine_types::full(), smaller] }),
        fixture("types-empty", MachineTypesRecord { types: Vec::new() }),
    ]
}

/// Fences of teams.
pub fn team_records() -> Vec<Fixture<TeamRecord>> {
    vec![fixture("team", TeamRecord { placements: 73_005 })]
}

fn answered_rental() -> ScaleOut {
    ScaleOut {
        request: "request-a".into(),
        machine_type: "type-b".into(),
        zone: "zone-c".into(),
        spot: true,
        count: 73_006,
        requested_ms: 1_800_000_000_301,
        machines: Some(vec![
            "00000000000000000012".into(),
            "host-000101".into(),
            "host-000102".into(),
            "host-000140".into(),
            "spare".into(),
        ]),
    }
}

fn rental_without_answer() -> ScaleOut {
    ScaleOut {
        request: "request-d".into(),
        machine_type: "type-e".into(),
        zone: "zone-f".into(),
        spot: false,
        count: 73_007,
        requested_ms: 1_800_000_000_302,
        machines: None,
    }
}

/// Rentals under way and machines that are gone.
pub fn fleet_records() -> Vec<Fixture<FleetRecord>> {
    let full = FleetRecord {
        scale_outs: vec![rental_without_answer(), answered_rental()],
        removed_machines: Some(vec!["host-000007".into(), "host-000070".into(), "host-000700".into()]),
    };
    let without_optional_fields =
        FleetRecord { scale_outs: vec![rental_without_answer()], removed_machines: None };
    vec![
        fixture("fleet-full", full),
        fixture("fleet-without-optional-fields", without_optional_fields),
        fixture("fleet-empty", FleetRecord { scale_outs: Vec::new(), removed_machines: None }),
        fixture("fleet-with-empty-lists", with_empty_lists()),
    ]
}

/// Lists that are there and empty, other than those that are not there.
fn with_empty_lists() -> FleetRecord {
    let mut rental = rental_without_answer();
    rental.machines = Some(Vec::new());
    FleetRecord { scale_outs: vec![rental], removed_machines: Some(Vec::new()) }
}
