//! Checks of all records against golden data.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use std::fmt::Debug;

use sched::drain_records::{
    CapacitySearch, CordonRecord, DisruptionRecord, DrainPhase, DrainRecord, Obstacle, ObstacleKind,
    UnsavedWork,
};
use sched::records::{FleetRecord, JobRecord, MachineRecord, Phase, Ranges, ScaleOut, Urgency};
use wire::Priority;

use crate::fixture::Fixture;
use crate::messages::{check, check_read};
use crate::{drain_records, jobs, records};

fn check_all<T: Serialize + DeserializeOwned + Debug>(fixtures: &[Fixture<T>]) {
    for fixture in fixtures {
        check(&fixture.file, &fixture.record);
    }
}

#[test]
fn job_records() {
    check_all(&jobs::job_records());
}

#[test]
fn machine_records() {
    check_all(&records::machine_records());
}

#[test]
fn members() {
    check_all(&records::members());
}

#[test]
fn schema_markers() {
    check_all(&records::schema_markers());
}

#[test]
fn cluster_maps() {
    check_all(&records::cluster_maps());
}

#[test]
fn machine_types_records() {
    check_all(&records::machine_types_records());
}

#[test]
fn team_records() {
    check_all(&records::team_records());
}

#[test]
fn fleet_records() {
    check_all(&records::fleet_records());
}

#[test]
fn cordon_fences() {
    check_all(&drain_records::cordon_fences());
}

#[test]
fn cordon_records() {
    check_all(&drain_records::cordon_records());
}

#[test]
fn drain_records_of_every_form() {
    check_all(&drain_records::drain_records());
}

#[test]
fn disruption_records() {
    check_all(&drain_records::disruption_records());
}

/// The urgency that a job inherits from its dependents is derived and never stored.
#[test]
fn urgency_of_a_job_is_not_stored() {
    let mut urgent = jobs::full();
    urgent.urgency = Urgency { priority: Some(Priority::Production), deadline_ms: Some(75_001) };
    assert_eq!(wire::encode(&urgent), wire::encode(&jobs::full()));
}

#[test]
fn final_jobs_are_compacted_to_the_golden_record() {
    for phase in [Phase::Done, Phase::Cancelled] {
        let mut record = jobs::full();
        record.phase = phase;
        record.assignments = Vec::new();
        record.compact_if_final();
        assert_eq!(record, jobs::compacted(phase));
    }
}

#[test]
fn job_record_with_only_a_phase_gets_default_values() {
    let expected = JobRecord {
        phase: Phase::Cancelled,
        spec: None,
        shard: None,
        submitted_ms: 0,
        attempt: 0,
        done: Ranges::default(),
        assignments: Vec::new(),
        avoided_machines: Vec::new(),
        vacated_machines: Vec::new(),
        last_eviction_ms: 0,
        failed_starts: 0,
        last_failure_ms: 0,
        dependencies: Vec::new(),
        accepted_ms: 0,
        ended_ms: 0,
        urgency: Urgency { priority: None, deadline_ms: None },
    };
    check_read(&json!({ "phase": "c", "unknown": 1 }), &expected);
}

/// Guards the compact encoding of lists against changes, with literal values.
#[test]
fn lists_of_a_job_are_decoded_from_their_compact_encoding() {
    let mut expected = jobs::compacted(Phase::Done);
    expected.done = jobs::scattered_tasks();
    expected.dependencies = vec!["j-000007".into(), "j-000009".into()];
    let message = json!({ "phase": "d", "done": [3, "4300002"], "needs": [["j-", 6, "72"]], "ended_ms": 1_800_000_000_005_u64 });
    check_read(&message, &expected);
}

#[test]
fn machine_record_without_optional_fields() {
    let expected = MachineRecord {
        addr: "10.1.0.234:9000".into(),
        machine_type: "type-f".into(),
        zone: "zone-g".into(),
        spot: true,
        release: false,
    };
    let message = json!({
        "addr": "10.1.0.234:9000", "machine_type": "type-f", "zone": "zone-g", "spot": true,
    });
    check_read(&message, &expected);
}

#[test]
fn fleet_record_without_optional_fields() {
    let scale_out = ScaleOut {
        request: "request-a".into(),
        machine_type: "type-b".into(),
        zone: "zone-c".into(),
        spot: true,
        count: 4,
        requested_ms: 5,
        machines: None,
    };
    let message = json!({
        "rentals": [{ "r": "request-a", "t": "type-b", "z": "zone-c", "s": true, "n": 4, "a": 5, "m": null }],
    });
    check_read(&message, &FleetRecord { scale_outs: vec![scale_out], removed_machines: None });
}

#[test]
fn cordon_record_without_optional_fields() {
    let expected = CordonRecord { active: true, machines: None, emptied: None, gone: None };
    check_read(&json!({ "active": true, "machines": null }), &expected);
}

#[test]
fn drain_record_without_optional_fields() {
    let obstacle = Obstacle {
        kind: ObstacleKind::NoCapacity,
        team: String::new(),
        job: String::new(),
        machine: String::new(),
        since_ms: 0,
    };
    let mut expected = DrainRecord {
        schema: 1,
        phase: DrainPhase::Active,
        cordons: 2,
        machines: 3,
        started_ms: 4,
        patience_ms: 5,
        unsaved: UnsavedWork::Leave,
        give_up_ms: 6,
        moved: 7,
        capacity_search: CapacitySearch { failed: 0, since_ms: 0 },
        obstacle: None,
    };
    let mut message = json!({
        "schema": 1, "phase": "active", "cordons": 2, "machines": 3, "started_ms": 4, "patience_ms": 5,
        "unsaved": "leave", "give_up_ms": 6, "moved": 7,
    });
    check_read(&message, &expected);
    message["obstacle"] = json!({ "kind": "no-room" });
    expected.obstacle = Some(obstacle);
    check_read(&message, &expected);
}

#[test]
fn disruption_record_without_entries() {
    check_read(&json!({ "open": [] }), &DisruptionRecord { open: Vec::new() });
}
