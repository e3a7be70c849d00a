//! An inventory that is updated incrementally equals one that is built from scratch.

use std::cell::RefCell;
use std::collections::BTreeSet;

use super::*;
use crate::placement::slot_classes::{Rng, random_replica};
use crate::placement::tests::{add_job, spec};
use crate::records::{ClusterMap, JobRecord, Member, Phase};
use crate::replica::RecordChange;
use wire::JobKind;

fn assert_same(updated: &Inventory, rebuilt: &Inventory) {
    let slots = |inventory: &Inventory| {
        let fields = |slot: &Slot| (slot.id.clone(), slot.owner, slot.used, slot.usable);
        inventory.slots.iter().map(fields).collect::<Vec<_>>()
    };
    assert_eq!(slots(updated), slots(rebuilt));
    // The identifiers of kinds may differ, but the classes must consist of the same machines.
    let classes = |inventory: &Inventory| inventory.slots_by_class.values().cloned().collect::<BTreeSet<_>>();
    assert_eq!(classes(updated), classes(rebuilt));
    assert_eq!(updated.team_usage, rebuilt.team_usage);
}

#[test]
fn an_updated_inventory_equals_a_rebuilt_one() {
    let mut rng = Rng(11);
    let machines = 50;
    let mut replica = random_replica(&mut rng, machines);
    let mut inventory = Inventory::default();
    let unusable: RefCell<BTreeSet<String>> = RefCell::default();
    let name = |n: usize| format!("h-{n:03}");
    let (mut update_count, mut rebuild_count) = (0, 0);
    for step in 0..2000u64 {
        match rng.below(12) {
            0..=5 => {
                let mut job_spec = spec(&format!("j-{}", rng.below(30)), JobKind::Array, 3);
                job_spec.cpus = [0.5, 1.0, 0.1][rng.below(3)];
                let machine_names: Vec<String> =
                    (0..rng.below(4)).map(|_| name(rng.below(machines))).collect();
                let assignments: Vec<(u32, &str)> =
                    (0..).zip(machine_names.iter().map(String::as_str)).collect();
                add_job(&mut replica, job_spec, &assignments);
            }
            6 => {
                let id = format!("j-{}", rng.below(30));
                if let Some(job) = replica.jobs.get(&id) {
                    let record = Box::new(JobRecord { phase: Phase::Cancelled, ..(*job.value).clone() });
                    replica.apply(RecordChange::Job(id, Some(record)), 10 + step);
                }
            }
            7..=9 => {
                let id = name(rng.below(machines));
                if !unusable.borrow_mut().remove(&id) {
                    unusable.borrow_mut().insert(id);
                }
            }
            10 if rng.one_in(4) => {
                let id = name(rng.below(machines));
                let record = replica.machines.get(id.as_str()).map(|machine| machine.value.clone());
                replica.apply(RecordChange::Machine(id.clone(), None), 10 + step);
                if rng.one_in(2) {
                    replica.apply(RecordChange::Machine(id, record), 10 + step);
                }
            }
            11 if rng.one_in(8) => {
                let member =
                    |name: &str, incarnation| Member { name: name.into(), zone: "a".into(), incarnation };
                let live = vec![member("n", 1), member("o", 2 + step)];
                replica.apply(RecordChange::Map(Some(ClusterMap { epoch: 2 + step, live })), 10 + step);
            }
            _ => {}
        }
        let generation_before = inventory.topology_generation;
        inventory.refresh(&mut replica, |id, _| !unusable.borrow().contains(&**id));
        let rebuilt = Inventory::new(&replica, |id| !unusable.borrow().contains(id));
        assert_same(&inventory, &rebuilt);
        *(if inventory.topology_generation == generation_before {
            &mut update_count
        } else {
            &mut rebuild_count
        }) += 1;
        // The reservations of a cycle are gone once they are rolled back.
        inventory.begin();
        for _ in 0..rng.below(6) {
            let machine: Name = name(rng.below(machines)).as_str().into();
            let size = Resources { cpus: 0.1, gpus: 0.0, memory_gb: 0.3, tasks: 1.0 };
            inventory.reserve(&[machine], size, [1.0, -1.0][rng.below(2)]);
        }
        inventory.roll_back();
        assert_same(&inventory, &rebuilt);
    }
    assert!(update_count > 1000 && rebuild_count > 20, "{update_count} updates, {rebuild_count} rebuilds");
}
