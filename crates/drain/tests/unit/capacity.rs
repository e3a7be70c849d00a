use super::*;
use crate::site::{add_job, replica_with_machines, spec, start_drain, team};

fn find(replica: &Replica, job: &str, task: u32) -> Option<Vec<Name>> {
    let mut inventory = Inventory::new(replica, |_| true);
    let teams = [Team { cpus_max: 8.0, ..team("t") }];
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
