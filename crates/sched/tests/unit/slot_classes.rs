//! Machines that are alike are looked at together. That must choose just what a look at
//! each of them does.

use super::tests::{add_job, spec, team};
use super::*;
use std::collections::BTreeSet;

use crate::records::{ClusterMap, JobRecord, MachineRecord, MachineTypesRecord, Member, Name};
use crate::replica::{RecordChange, Replica};
use wire::{JobKind, MachineType};

/// Numbers that are the same on every run.
pub(crate) struct Draw(pub(crate) u64);

impl Draw {
    pub(crate) fn below(&mut self, n: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % n
    }

    pub(crate) fn one_in(&mut self, n: usize) -> bool {
        self.below(n) == 0
    }
}

pub(crate) fn site(draw: &mut Draw, machines: usize) -> Replica {
    let mut w = Replica::default();
    let kind = |name: &str, cpus, gpus, rate| MachineType {
        name: name.into(),
        cpus,
        gpus,
        memory_gb: cpus * 4.0,
        cache_gb: 6.0,
        fetch_gb_per_s: rate,
        price: cpus + gpus * 3.0,
        spot_price: cpus / 3.0,
        boot_s: 30.0,
        zones: Vec::new(),
    };
    let types = vec![kind("s", 4.0, 0.0, 1.0), kind("m", 8.0, 0.0, 0.2), kind("g", 16.0, 2.0, 0.5)];
    w.apply(RecordChange::Types(Some(MachineTypesRecord { types })), 1);
    let member = |n: &str, z: &str, incarnation| Member { name: n.into(), zone: z.into(), incarnation };
    let live = vec![member("n", "a", 1), member("o", "b", 2), member("p", "a", 3)];
    w.apply(RecordChange::Map(Some(ClusterMap { epoch: 1, live })), 1);
    for n in 0..machines {
        let record = MachineRecord {
            addr: "x".into(),
            machine_type: ["s", "m", "g"][draw.below(3)].into(),
            zone: ["a", "b", "c"][draw.below(3)].into(),
            spot: draw.one_in(3),
            release: draw.one_in(20),
        };
        w.apply(RecordChange::Machine(format!("h-{n:03}"), Some(record)), 1);
    }
    w
}

#[test]
fn equivalent_machines_are_chosen_as_if_each_were_considered() {
    let mut draw = Draw(7);
    let mut placed = 0;
    for _ in 0..60 {
        let machines = 1 + draw.below(60);
        let mut w = site(&mut draw, machines);
        let name = |n: usize| format!("h-{n:03}");
        for n in 0..40 {
            let kind = [JobKind::Service, JobKind::Array, JobKind::Gang][draw.below(3)];
            let mut s = spec(&format!("j-{n}"), kind, 1 + draw.below(5) as u32);
            (s.cpus, s.memory_gb) = ([0.5, 1.0, 3.0][draw.below(3)], [0.5, 2.0][draw.below(2)]);
            (s.image, s.image_gb) = (format!("i-{}", draw.below(6)), 1.0 + draw.below(4) as f64);
            (s.spread, s.spot) = (draw.one_in(3), !draw.one_in(3));
            if kind == JobKind::Gang && draw.one_in(2) {
                (s.gpus, s.types) = (1.0, Some(vec!["g".into()]));
            }
            s.zone = draw.one_in(6).then(|| "b".into());
            if draw.one_in(3) {
                let on: Vec<String> = (0..s.tasks).map(|_| name(draw.below(machines))).collect();
                let run: Vec<(u32, &str)> = (0..).zip(on.iter().map(String::as_str)).collect();
                add_job(&mut w, s, &run);
                continue;
            }
            let mut job = JobRecord::new(s, None, 0);
            job.avoided_machines = (0..draw.below(3))
                .map(|_| (name(draw.below(machines)), 2000 * draw.below(2) as u64))
                .collect();
            job.vacated_machines =
                (0..draw.below(2)).map(|_| name(draw.below(machines)).as_str().into()).collect();
            let limits = Limits {
                max_tasks: 1 + draw.below(5),
                task_window: 100,
                may_strand_gpus: draw.one_in(2),
                gang_wait_s: 0.0,
                now_ms: 1000,
            };
            let mine = draw.one_in(3);
            let within = |s: &Slot| !mine || s.owner == 1;
            let (mut inventory, mut other) = (Inventory::new(&w, |_| true), Inventory::new(&w, |_| true));
            let all: Vec<Name> = other.slots.iter().filter(|s| within(s)).map(|s| s.id.clone()).collect();
            let (mut by_kind, mut by_each) = (job.clone(), job);
            // Twice, as what was placed changes who is alike.
            for _ in 0..2 {
                let a = place(&w, &mut inventory, &mut by_kind, &team(), within, limits);
                let b = place_on_machines(&w, &mut other, &mut by_each, &team(), &all, limits);
                assert_eq!(a, b);
                assert_eq!(by_kind, by_each);
                placed += a.len();
            }
            let used = |b: &Inventory| b.slots.iter().map(|s| s.used).collect::<Vec<_>>();
            assert_eq!(used(&inventory), used(&other));
            // Who is alike is the same as if the inventory were made of what is used now.
            for (alike, set) in &inventory.slots_by_class {
                assert!(!set.is_empty() && set.iter().all(|i| inventory.slots[*i].class() == *alike));
            }
            assert_eq!(
                inventory.slots_by_class.values().map(BTreeSet::len).sum::<usize>(),
                inventory.slots.len()
            );
            let id = by_kind.spec.as_ref().map(|s| s.id.clone()).expect("open");
            w.apply(RecordChange::Job(id, Some(Box::new(by_kind))), 2);
        }
        // Which machines have an image is kept both ways.
        for n in 0..6 {
            let image = format!("i-{n}");
            let each: Vec<&Name> = w.machines.keys().filter(|m| w.has_image(m, &image)).collect();
            assert_eq!(w.machines_with_image(&image).collect::<Vec<_>>(), each);
        }
        w.apply(RecordChange::Machine(name(0), None), 3);
        assert!((0..6).all(|n| w.machines_with_image(&format!("i-{n}")).all(|m| **m != *name(0))));
    }
    assert!(placed > 500, "{placed}");
}
