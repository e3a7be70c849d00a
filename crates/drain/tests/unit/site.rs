//! A small site's records, for tests.

use sched::drain_records::*;
use sched::records::*;
use sched::world::{Change, Team, World};
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
        estimate_s: 1.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        needs: None,
    }
}

/// A team without a limit.
pub fn team(name: &str) -> Team {
    Team { name: name.into(), cpus: 0.0, cpus_max: f64::INFINITY, gpus: 0.0, gpus_max: f64::INFINITY }
}

/// The record of a machine of this zone. All are of one type, with eight CPUs.
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
pub fn types() -> TypesRecord {
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
    TypesRecord { types: vec![kind] }
}

/// Machines by names and zones, all owned by one controller.
pub fn world(machines: &[(&str, &str)]) -> World {
    let mut w = World::default();
    w.apply(Change::Types(Some(types())), 1);
    for (id, zone) in machines {
        w.apply(Change::Machine((*id).into(), Some(machine(zone))), 1);
    }
    let me = Member { name: "n".into(), zone: "a".into(), incarnation: 1 };
    w.apply(Change::Map(Some(MapRecord { epoch: 1, live: vec![me] })), 1);
    w
}

/// A job with its tasks on machines.
pub fn add(w: &mut World, spec: JobSpec, run: &[(u32, &str)]) {
    let mut job = JobRecord::new(spec.clone(), None, 0);
    job.attempt = 1;
    let place = |(task, m): &(u32, &str)| Assignment {
        task: *task,
        attempt: 1,
        machine: (*m).into(),
        want: Want::Run,
    };
    job.run = run.iter().map(place).collect();
    w.apply(Change::Job(spec.id, Some(Box::new(job))), 2);
}

/// The record of an active drain that has just begun.
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
        room: RoomSearch::default(),
        obstacle: None,
    }
}

/// An active drain of these machines.
pub fn start_drain(w: &mut World, name: &str, machines: &[&str], version: u64) {
    let cordon = CordonRecord::new(machines.iter().map(|m| (*m).into()).collect());
    w.apply(Change::Cordon((name.into(), 0), Some(cordon)), version);
    w.apply(Change::CordonFence(Some(CordonFence { generation: version })), version);
    w.apply(Change::Drain(name.into(), Some(drain_record(machines.len() as u32))), version);
}
