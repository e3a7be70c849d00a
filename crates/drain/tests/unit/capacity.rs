use sched::records::{MachineRecord, MachineTypesRecord};
use sched::replica::RecordChange;

use super::*;
use crate::site::{add_job, replica_with_machines, spec, start_drain, team};

fn find(replica: &Replica, job: &str, task: u32) -> Option<Vec<Name>> {
    find_within_quota(replica, job, task, 8.0)
}

fn find_within_quota(replica: &Replica, job: &str, task: u32, cpus_max: f64) -> Option<Vec<Name>> {
    let mut inventory = Inventory::new(replica, |_| true);
    let teams = [Team { cpus_max, ..team("t") }];
    let mut capacity = InventoryCapacity {
        records: replica,
        inventory: &mut inventory,
        teams: &teams,
        gang_wait_s: 0.0,
        now_ms: 0,
    };
    capacity.find(&UnitId { job: job.into(), task })
}

#[test]
fn a_replica_finds_capacity_on_an_uncordoned_machine_that_keeps_the_zone_spread() {
    let mut replica = replica_with_machines(&[("m-1", "a"), ("m-2", "a"), ("m-3", "b")]);
    let spread = wire::JobSpec { spread: true, ..spec("j-1", JobKind::Service, 2) };
    add_job(&mut replica, spread, &[(0, "m-1"), (1, "m-3")]);
    start_drain(&mut replica, "d", &["m-1"], 5);
    assert_eq!(find(&replica, "j-1", 0), Some(vec!["m-2".into()]));
    // The only uncordoned machine of the zone is full now, and at most half of the replicas may be
    // in one zone.
    add_job(&mut replica, spec("j-2", JobKind::Array, 4), &[(0, "m-2"), (1, "m-2"), (2, "m-2"), (3, "m-2")]);
    assert_eq!(find(&replica, "j-1", 0), None);
}

#[test]
fn a_gang_may_reuse_its_own_resources_on_an_uncordoned_machine() {
    let mut replica = replica_with_machines(&[("m-1", "a"), ("m-2", "a")]);
    add_job(&mut replica, spec("j-1", JobKind::Gang, 4), &[(0, "m-1"), (1, "m-1"), (2, "m-2"), (3, "m-2")]);
    start_drain(&mut replica, "d", &["m-1"], 5);
    assert_eq!(find(&replica, "j-1", 0).map(|machines| machines.len()), Some(4), "all tasks fit on m-2");
    add_job(&mut replica, spec("j-2", JobKind::Array, 1), &[(0, "m-2")]);
    assert_eq!(find(&replica, "j-1", 0), None);
}

#[test]
fn capacity_that_was_found_is_reserved_until_the_inventory_is_rolled_back() {
    let mut replica = replica_with_machines(&[("m-1", "a"), ("m-2", "a")]);
    let large = |id: &str| wire::JobSpec { cpus: 6.0, ..spec(id, JobKind::Service, 1) };
    add_job(&mut replica, large("j-1"), &[(0, "m-1")]);
    add_job(&mut replica, wire::JobSpec { cpus: 2.0, ..large("j-2") }, &[(0, "m-1")]);
    start_drain(&mut replica, "d", &["m-1"], 5);
    let mut inventory = Inventory::new(&replica, |_| true);
    let teams = [team("t")];
    for _ in 0..2 {
        inventory.begin();
        let mut capacity = InventoryCapacity {
            records: &replica,
            inventory: &mut inventory,
            teams: &teams,
            gang_wait_s: 0.0,
            now_ms: 0,
        };
        let mut find = |job: &str| capacity.find(&UnitId { job: job.into(), task: 0 }).is_some();
        assert!(find("j-1") && find("j-2") && !find("j-1"), "six and two of eight CPUs are reserved");
        inventory.roll_back();
    }
}

/// A drain stopped tasks whose only other room was on machines that placement keeps for GPU jobs, and they
/// were not started again.
#[test]
fn capacity_that_is_kept_for_gpu_jobs_is_found_only_for_jobs_that_may_use_it() {
    let types = crate::test_records::types().types;
    let with_gpus = wire::MachineType { name: "g".into(), gpus: 2.0, cpus: 16.0, ..types[0].clone() };
    let found = |cpus: f64, kind: JobKind, from: &str| {
        let mut replica = replica_with_machines(&[("m-1", "a")]);
        let types = [types.clone(), vec![with_gpus.clone()]].concat();
        replica.apply(RecordChange::Types(Some(MachineTypesRecord { types })), 1);
        for id in ["g-1", "g-2"] {
            let record = MachineRecord { machine_type: "g".into(), ..crate::test_records::machine("a") };
            replica.apply(RecordChange::Machine(id.into(), Some(record)), 1);
        }
        add_job(&mut replica, JobSpec { cpus, ..spec("j-1", kind, 1) }, &[(0, from)]);
        start_drain(&mut replica, "d", &[from], 5);
        find_within_quota(&replica, "j-1", 0, 16.0)
    };
    assert_eq!(found(8.0, JobKind::Array, "m-1"), None);
    assert_eq!(found(8.0, JobKind::Gang, "m-1"), None);
    assert!(found(8.0, JobKind::Service, "m-1").is_some());
    // No machine without GPUs is large enough.
    assert_eq!(found(9.0, JobKind::Array, "g-1"), Some(vec!["g-2".into()]));
    assert_eq!(found(9.0, JobKind::Gang, "g-1"), Some(vec!["g-2".into()]));
}
