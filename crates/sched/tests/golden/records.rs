//! Records other than those of jobs and drains, with a distinct value in every field.

use sched::records::{
    ClusterMap, FleetRecord, MachineRecord, MachineTypesRecord, Member, ScaleOut, SchemaMarker, TeamRecord,
};
use wire::MachineType;

use crate::fixture::{Fixture, fixture};
use crate::machine_types;

/// Records of machines, each with a different flag set.
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

/// Membership records of controllers.
pub fn members() -> Vec<Fixture<Member>> {
    vec![fixture("member", member())]
}

/// The schema markers that controllers write permanently.
pub fn schema_markers() -> Vec<Fixture<SchemaMarker>> {
    vec![fixture("upgraded", SchemaMarker { schema_version: 73_002 })]
}

/// Cluster maps.
pub fn cluster_maps() -> Vec<Fixture<ClusterMap>> {
    let other_member = Member { name: "controller-2".into(), zone: "zone-b".into(), incarnation: 73_003 };
    vec![
        fixture("map-full", ClusterMap { epoch: 73_004, live: vec![other_member, member()] }),
        fixture("map-empty", ClusterMap { epoch: 0, live: Vec::new() }),
    ]
}

/// Machine types, as last read from the cloud.
pub fn machine_types_records() -> Vec<Fixture<MachineTypesRecord>> {
    let smaller_type = MachineType {
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
        fixture("types-full", MachineTypesRecord { types: vec![machine_types::full(), smaller_type] }),
        fixture("types-empty", MachineTypesRecord { types: Vec::new() }),
    ]
}

/// Records of teams.
pub fn team_records() -> Vec<Fixture<TeamRecord>> {
    vec![fixture("team", TeamRecord { placements: 73_005 })]
}

fn granted_scale_out() -> ScaleOut {
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

fn pending_scale_out() -> ScaleOut {
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

/// Scale-outs in progress and removed machines.
pub fn fleet_records() -> Vec<Fixture<FleetRecord>> {
    let full = FleetRecord {
        scale_outs: vec![pending_scale_out(), granted_scale_out()],
        removed_machines: Some(vec!["host-000007".into(), "host-000070".into(), "host-000700".into()]),
    };
    let without_optional_fields =
        FleetRecord { scale_outs: vec![pending_scale_out()], removed_machines: None };
    vec![
        fixture("fleet-full", full),
        fixture("fleet-without-optional-fields", without_optional_fields),
        fixture("fleet-empty", FleetRecord { scale_outs: Vec::new(), removed_machines: None }),
        fixture("fleet-with-empty-lists", with_empty_lists()),
    ]
}

/// Empty lists, which are encoded differently from absent ones.
fn with_empty_lists() -> FleetRecord {
    let mut scale_out = pending_scale_out();
    scale_out.machines = Some(Vec::new());
    FleetRecord { scale_outs: vec![scale_out], removed_machines: Some(Vec::new()) }
}
