//! Placement evaluates one machine of each class. It must choose the same machines as if it
//! evaluated each of them.

use super::tests::{add_job, spec, team};
use super::*;
use std::collections::BTreeSet;

use crate::records::{ClusterMap, JobRecord, MachineRecord, MachineTypesRecord, Member, Name};
use crate::replica::{RecordChange, Replica};
use wire::{JobKind, MachineType};

/// A pseudo-random generator that yields the same numbers on every run.
pub(crate) struct Rng(pub(crate) u64);

impl Rng {
    pub(crate) fn below(&mut self, n: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % n
    }

    pub(crate) fn one_in(&mut self, n: usize) -> bool {
        self.below(n) == 0
    }
}

pub(crate) fn random_replica(rng: &mut Rng, machines: usize) -> Replica {
    let mut replica = Replica::default();
    let machine_type = |name: &str, cpus, gpus, fetch_gb_per_s| MachineType {
        name: name.into(),
        cpus,
        gpus,
        memory_gb: cpus * 4.0,
        cache_gb: 6.0,
        fetch_gb_per_s,
        price: cpus + gpus * 3.0,
        spot_price: cpus / 3.0,
        boot_s: 30.0,
        zones: Vec::new(),
    };
    let types = vec![
        machine_type("s", 4.0, 0.0, 1.0),
        machine_type("m", 8.0, 0.0, 0.2),
        machine_type("g", 16.0, 2.0, 0.5),
    ];
    replica.apply(RecordChange::Types(Some(MachineTypesRecord { types })), 1);
    let member =
        |name: &str, zone: &str, incarnation| Member { name: name.into(), zone: zone.into(), incarnation };
    let live = vec![member("n", "a", 1), member("o", "b", 2), member("p", "a", 3)];
    replica.apply(RecordChange::Map(Some(ClusterMap { epoch: 1, live })), 1);
    for n in 0..machines {
        let record = MachineRecord {
            addr: "x".into(),
            machine_type: ["s", "m", "g"][rng.below(3)].into(),
            zone: ["a", "b", "c"][rng.below(3)].into(),
            spot: rng.one_in(3),
            release: rng.one_in(20),
        };
        replica.apply(RecordChange::Machine(format!("h-{n:03}"), Some(record)), 1);
    }
    replica
}

#[test]
fn placement_by_class_chooses_the_same_machines_as_evaluating_each() {
    let mut rng = Rng(7);
    let mut placed = 0;
    for _ in 0..60 {
        let machines = 1 + rng.below(60);
        let mut replica = random_replica(&mut rng, machines);
        let name = |n: usize| format!("h-{n:03}");
        for n in 0..40 {
            let kind = [JobKind::Service, JobKind::Array, JobKind::Gang][rng.below(3)];
            let mut job_spec = spec(&format!("j-{n}"), kind, 1 + rng.below(5) as u32);
            (job_spec.cpus, job_spec.memory_gb) = ([0.5, 1.0, 3.0][rng.below(3)], [0.5, 2.0][rng.below(2)]);
            (job_spec.image, job_spec.image_gb) = (format!("i-{}", rng.below(6)), 1.0 + rng.below(4) as f64);
            (job_spec.spread, job_spec.spot) = (rng.one_in(3), !rng.one_in(3));
            if kind == JobKind::Gang && rng.one_in(2) {
                (job_spec.gpus, job_spec.types) = (1.0, Some(vec!["g".into()]));
            }
            job_spec.zone = rng.one_in(6).then(|| "b".into());
            if rng.one_in(3) {
                let machine_names: Vec<String> =
                    (0..job_spec.tasks).map(|_| name(rng.below(machines))).collect();
                let assignments: Vec<(u32, &str)> =
                    (0..).zip(machine_names.iter().map(String::as_str)).collect();
                add_job(&mut replica, job_spec, &assignments);
                continue;
            }
            let mut job = JobRecord::new(job_spec, None, 0);
            job.avoided_machines =
                (0..rng.below(3)).map(|_| (name(rng.below(machines)), 2000 * rng.below(2) as u64)).collect();
            job.vacated_machines =
                (0..rng.below(2)).map(|_| name(rng.below(machines)).as_str().into()).collect();
            let limits = Limits {
                max_tasks: 1 + rng.below(5),
                task_window: 100,
                may_strand_gpus: rng.one_in(2),
                gang_wait_s: 0.0,
                now_ms: 1000,
            };
            let only_first_owner = rng.one_in(3);
            let slot_filter = |slot: &Slot| !only_first_owner || slot.owner == 1;
            let (mut inventory, mut other_inventory) =
                (Inventory::new(&replica, |_| true), Inventory::new(&replica, |_| true));
            let all_machines: Vec<Name> = other_inventory
                .slots
                .iter()
                .filter(|slot| slot_filter(slot))
                .map(|slot| slot.id.clone())
                .collect();
            let (mut job_by_class, mut job_by_machine) = (job.clone(), job);
            // Twice, because the placed tasks change the classes.
            for _ in 0..2 {
                let placed_by_class =
                    place(&replica, &mut inventory, &mut job_by_class, &team(), slot_filter, limits);
                let placed_by_machine = place_on_machines(
                    &replica,
                    &mut other_inventory,
                    &mut job_by_machine,
                    &team(),
                    &all_machines,
                    limits,
                );
                assert_eq!(placed_by_class, placed_by_machine);
                assert_eq!(job_by_class, job_by_machine);
                placed += placed_by_class.len();
            }
            let used =
                |inventory: &Inventory| inventory.slots.iter().map(|slot| slot.used).collect::<Vec<_>>();
            assert_eq!(used(&inventory), used(&other_inventory));
            // The classes are those that an inventory built from the current usage would have.
            for (class, slots) in &inventory.slots_by_class {
                assert!(!slots.is_empty() && slots.iter().all(|i| inventory.slots[*i].class() == *class));
            }
            assert_eq!(
                inventory.slots_by_class.values().map(BTreeSet::len).sum::<usize>(),
                inventory.slots.len()
            );
            let id = job_by_class.spec.as_ref().map(|spec| spec.id.clone()).expect("open");
            replica.apply(RecordChange::Job(id, Some(Box::new(job_by_class))), 2);
        }
        // The index of machines by image agrees with that of images by machine.
        for n in 0..6 {
            let image = format!("i-{n}");
            let with_image: Vec<&Name> =
                replica.machines.keys().filter(|machine| replica.has_image(machine, &image)).collect();
            assert_eq!(replica.machines_with_image(&image).collect::<Vec<_>>(), with_image);
        }
        replica.apply(RecordChange::Machine(name(0), None), 3);
        assert!(
            (0..6)
                .all(|n| replica.machines_with_image(&format!("i-{n}")).all(|machine| **machine != *name(0)))
        );
    }
    assert!(placed > 500, "{placed}");
}
