//! A inventory that is kept up to date is the one that would be made anew.

use std::cell::RefCell;
use std::collections::BTreeSet;

use super::*;
use crate::placement::slot_classes::{Draw, site};
use crate::placement::tests::{add_job, spec};
use crate::records::{ClusterMap, JobRecord, Member, Phase};
use crate::replica::RecordChange;
use wire::JobKind;

fn assert_same(kept: &Inventory, new: &Inventory) {
    let of = |b: &Inventory| {
        let slot = |s: &Slot| (s.id.clone(), s.owner, s.used, s.usable);
        b.slots.iter().map(slot).collect::<Vec<_>>()
    };
    assert_eq!(of(kept), of(new));
    // The numbers of kinds may differ, who is alike may not.
    let alike = |b: &Inventory| b.slots_by_class.values().cloned().collect::<BTreeSet<_>>();
    assert_eq!(alike(kept), alike(new));
    assert_eq!(kept.team_usage, new.team_usage);
}

#[test]
fn an_inventory_kept_up_to_date_equals_a_new_one() {
    let mut draw = Draw(11);
    let machines = 50;
    let mut replica = site(&mut draw, machines);
    let mut inventory = Inventory::default();
    let unusable: RefCell<BTreeSet<String>> = RefCell::default();
    let name = |n: usize| format!("h-{n:03}");
    let (mut kept, mut made) = (0, 0);
    for step in 0..2000u64 {
        match draw.below(12) {
            0..=5 => {
                let mut s = spec(&format!("j-{}", draw.below(30)), JobKind::Array, 3);
                s.cpus = [0.5, 1.0, 0.1][draw.below(3)];
                let on: Vec<String> = (0..draw.below(4)).map(|_| name(draw.below(machines))).collect();
                let run: Vec<(u32, &str)> = (0..).zip(on.iter().map(String::as_str)).collect();
                add_job(&mut replica, s, &run);
            }
            6 => {
                let id = format!("j-{}", draw.below(30));
                if let Some(job) = replica.jobs.get(&id) {
                    let record = Box::new(JobRecord { phase: Phase::Cancelled, ..(*job.value).clone() });
                    replica.apply(RecordChange::Job(id, Some(record)), 10 + step);
                }
            }
            7..=9 => {
                let id = name(draw.below(machines));
                if !unusable.borrow_mut().remove(&id) {
                    unusable.borrow_mut().insert(id);
                }
            }
            10 if draw.one_in(4) => {
                let id = name(draw.below(machines));
                let record = replica.machines.get(id.as_str()).map(|m| m.value.clone());
                replica.apply(RecordChange::Machine(id.clone(), None), 10 + step);
                if draw.one_in(2) {
                    replica.apply(RecordChange::Machine(id, record), 10 + step);
                }
            }
            11 if draw.one_in(8) => {
                let member = |n: &str, incarnation| Member { name: n.into(), zone: "a".into(), incarnation };
                let live = vec![member("n", 1), member("o", 2 + step)];
                replica.apply(RecordChange::Map(Some(ClusterMap { epoch: 2 + step, live })), 10 + step);
            }
            _ => {}
        }
        let before = inventory.topology_generation;
        inventory.refresh(&mut replica, |id, _| !unusable.borrow().contains(&**id));
        let new = Inventory::new(&replica, |id| !unusable.borrow().contains(id));
        assert_same(&inventory, &new);
        *(if inventory.topology_generation == before { &mut kept } else { &mut made }) += 1;
        // What a round gives away is gone after it.
        inventory.begin();
        for _ in 0..draw.below(6) {
            let machine: Name = name(draw.below(machines)).as_str().into();
            let size = Resources { cpus: 0.1, gpus: 0.0, memory_gb: 0.3 };
            inventory.reserve(&[machine], size, [1.0, -1.0][draw.below(2)]);
        }
        inventory.roll_back();
        assert_same(&inventory, &new);
    }
    assert!(kept > 1000 && made > 20, "{kept} kept, {made} made anew");
}
