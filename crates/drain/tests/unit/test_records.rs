//! Records of a small site, for tests.

use sched::drain_records::*;
use sched::records::*;
use sched::replica::Team;
use wire::{JobKind, JobSpec, MachineType, Priority};

/// A job whose tasks take two CPUs each.
pub fn spec(id: &str, kind: JobKind, tasks: u32) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        kind,
        priority: Priority::Normal,
        tasks,
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimated_runtime_s: 1.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 0.0,
        deadline_s: None,
        dependencies: None,
    }
}

/// A team without quotas.
pub fn team(name: &str) -> Team {
    Team { name: name.into(), cpus: 0.0, cpus_max: f64::INFINITY, gpus: 0.0, gpus_max: f64::INFINITY }
}

/// The record of a machine in this zone. All machines are of the same type, with eight CPUs.
pub fn machine(zone: &str) -> MachineRecord {
    MachineRecord {
        addr: "x".into(),
        machine_type: "m".into(),
        zone: zone.into(),
        spot: false,
        release: false,
    }
}

/// The only machine type.
pub fn types() -> MachineTypesRecord {
    let kind = MachineType {
        name: "m".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.5,
        boot_s: 30.0,
        zones: vec!["a".into(), "b".into()],
    };
    MachineTypesRecord { types: vec![kind] }
}

/// The record of an active drain that has just started.
pub fn drain_record(machines: u32) -> DrainRecord {
    DrainRecord {
        schema: DRAIN_SCHEMA,
        phase: DrainPhase::Active,
        cordons: 1,
        machines,
        started_ms: 1000,
        patience_ms: 10_000,
        unsaved: UnsavedWork::Leave,
        give_up_ms: 3_600_000,
        moved: 0,
        capacity_search: CapacitySearch::default(),
        obstacle: None,
    }
}
