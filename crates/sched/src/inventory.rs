//! The machines as one round of decisions sees them.

use std::collections::{BTreeMap, BTreeSet, btree_set};

use wire::JobSpec;

use crate::hash::HashMap;
use crate::records::{JobRecord, Name};
use crate::replica::{Replica, Resources, SortedLookup};

/// A machine as placement sees it within one round.
#[derive(Debug, Clone)]
pub struct Slot {
    pub id: Name,
    /// The owner's incarnation.
    pub owner: u64,
    pub machine_type: Name,
    pub zone: Name,
    pub spot: bool,
    pub capacity: Resources,
    pub used: Resources,
    /// Whether anything may be placed there now, by its owner's word.
    pub(crate) usable: bool,
    /// What the machine costs, and how fast it fetches.
    pub(crate) price: f64,
    pub(crate) gb_per_s: f64,
    /// All machines of the same owner, type, zone and purchase have one number.
    kind: usize,
}

impl Slot {
    pub(crate) fn alike(&self) -> Alike {
        Alike {
            kind: self.kind,
            used: [self.used.cpus, self.used.gpus, self.used.memory_gb].map(f64::to_bits),
        }
    }

    pub fn free(&self) -> Resources {
        self.capacity.plus_scaled(self.used, -1.0)
    }
}

/// What machines have in common that are alike for placement, but for their names and
/// the images that they have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Alike {
    kind: usize,
    used: [u64; 3],
}

/// The machines as placement sees them, and what the teams use. It is kept from round to round
/// and brought up to date by what has changed; what a round gives away is undone after it, as
/// the records will tell what of it was committed.
#[derive(Debug, Default)]
pub struct Inventory {
    /// All machines that have an owner and are not being given back, in the order of their
    /// names. What is used is changed by `take` only.
    pub slots: Vec<Slot>,
    pub team_usage: HashMap<String, Resources>,
    /// The usable machines that are alike. Choosing looks at one of each: at every machine for
    /// every job, a round cost millions of instructions on a site of a thousand.
    pub(crate) alike: BTreeMap<Alike, BTreeSet<usize>>,
    /// The machines' places among the slots.
    positions: HashMap<Name, usize>,
    /// Of which set of machines, owners and types it was made.
    layout: u64,
    /// What was in use of the slots that were changed since [`Inventory::begin`], in that order.
    undo: Vec<(usize, Resources)>,
}

impl Inventory {
    /// All machines, of which those may be used that `usable` admits.
    pub fn new(world: &Replica, usable: impl Fn(&str) -> bool) -> Self {
        Self::made_of(world, |id, _| usable(id))
    }

    /// The same, by the machines' names and owners' incarnations; `usable` is asked in the
    /// order of the names.
    fn made_of(world: &Replica, mut usable: impl FnMut(&Name, u64) -> bool) -> Self {
        let mut slots: Vec<Slot> = Vec::with_capacity(world.machines.len());
        let mut alike: BTreeMap<Alike, BTreeSet<usize>> = BTreeMap::new();
        // The first machine of each kind.
        let mut kinds: Vec<usize> = Vec::new();
        let mut used = SortedLookup::new(&world.machine_usage);
        for (id, m, owner) in world.owned_machines() {
            let m = &m.value;
            if m.release {
                continue;
            }
            let used = used.get(id).copied().unwrap_or_default();
            let usable = usable(id, owner.incarnation) && !world.drains.is_cordoned(id);
            let like = |s: &Slot| {
                (s.owner, s.spot) == (owner.incarnation, m.spot)
                    && s.machine_type == m.machine_type
                    && s.zone == m.zone
            };
            let slot = match kinds.iter().map(|&i| &slots[i]).find(|s| like(s)) {
                Some(s) => Slot { id: id.clone(), used, usable, ..s.clone() },
                None => {
                    let Some(t) = world.machine_types.get(&*m.machine_type) else { continue };
                    kinds.push(slots.len());
                    Slot {
                        id: id.clone(),
                        owner: owner.incarnation,
                        machine_type: m.machine_type.clone(),
                        zone: m.zone.clone(),
                        spot: m.spot,
                        capacity: Resources::of_type(t),
                        used,
                        usable,
                        price: if m.spot { t.spot_price } else { t.price },
                        gb_per_s: t.fetch_gb_per_s,
                        kind: kinds.len(),
                    }
                }
            };
            if usable {
                alike.entry(slot.alike()).or_default().insert(slots.len());
            }
            slots.push(slot);
        }
        let positions = slots.iter().enumerate().map(|(i, s)| (s.id.clone(), i)).collect();
        let team_use = world.team_usage.clone();
        Self {
            slots,
            team_usage: team_use,
            alike,
            positions,
            layout: world.topology_generation(),
            undo: Vec::new(),
        }
    }

    /// Brings up to date what is in use. False if the inventory has to be made anew, as machines,
    /// owners or types are others.
    pub fn refresh_use(&mut self, world: &mut Replica) -> bool {
        if self.layout != world.topology_generation() {
            return false;
        }
        for id in world.take_machines_with_changed_usage() {
            if let Some(i) = self.positions.get(&id).copied() {
                self.set_used(i, world.machine_usage.get(&id).copied().unwrap_or_default());
            }
        }
        self.team_usage.clone_from(&world.team_usage);
        true
    }

    /// Brings all up to date. `usable` is asked for each machine in the order of the names, with
    /// its owner's incarnation.
    pub fn refresh(&mut self, world: &mut Replica, mut usable: impl FnMut(&Name, u64) -> bool) {
        if !self.refresh_use(world) {
            world.take_machines_with_changed_usage();
            *self = Self::made_of(world, usable);
            return;
        }
        for i in 0..self.slots.len() {
            let slot = &self.slots[i];
            let usable = usable(&slot.id, slot.owner) && !world.drains.is_cordoned(&slot.id);
            if usable != slot.usable {
                self.set_usable(i, usable);
            }
        }
    }

    /// From here on it is noted what is given away.
    pub fn begin(&mut self) {
        self.undo.clear();
    }

    /// All that was given away on the machines since [`Inventory::begin`] is free again, to the
    /// last bit of each number.
    pub fn roll_back(&mut self) {
        while let Some((i, used)) = self.undo.pop() {
            self.set_used(i, used);
        }
    }

    /// A machine's place among the slots, if it may be used.
    pub fn find(&self, machine: &str) -> Option<usize> {
        self.positions.get(machine).copied().filter(|i| self.slots[*i].usable)
    }

    /// The machines that may be used.
    pub fn usable(&self) -> impl Iterator<Item = &Slot> {
        self.slots.iter().filter(|s| s.usable)
    }

    /// One for each that are alike of an owner's machines that may be used, and how many they
    /// are.
    pub fn alike_of(&self, owner: u64) -> impl Iterator<Item = (&Slot, u32)> {
        let first = |set: &BTreeSet<usize>| Some((&self.slots[*set.first()?], set.len() as u32));
        self.alike.values().filter_map(first).filter(move |(s, _)| s.owner == owner)
    }

    /// The machines that may be used and that `may` admits, in the order of their names; it
    /// must not tell machines apart that are alike.
    pub(crate) fn matching(&self, may: impl Fn(&Slot) -> bool) -> Vec<usize> {
        let of_like = |set: &&BTreeSet<usize>| set.first().is_some_and(|i| may(&self.slots[*i]));
        let mut found: Vec<usize> = self.alike.values().filter(of_like).flatten().copied().collect();
        found.sort_unstable();
        found
    }

    /// Takes room on a machine, or gives it back.
    pub(crate) fn take(&mut self, i: usize, size: Resources, sign: f64) {
        let used = self.slots[i].used;
        self.undo.push((i, used));
        self.set_used(i, used.plus_scaled(size, sign));
    }

    fn set_used(&mut self, i: usize, used: Resources) {
        let before = self.slots[i].alike();
        self.slots[i].used = used;
        let after = self.slots[i].alike();
        if before != after && self.slots[i].usable {
            self.leave(before, i);
            self.alike.entry(after).or_default().insert(i);
        }
    }

    fn set_usable(&mut self, i: usize, usable: bool) {
        self.slots[i].usable = usable;
        let alike = self.slots[i].alike();
        if usable {
            self.alike.entry(alike).or_default().insert(i);
        } else {
            self.leave(alike, i);
        }
    }

    /// A machine is no longer one of those that are alike.
    fn leave(&mut self, alike: Alike, i: usize) {
        if let Some(set) = self.alike.get_mut(&alike) {
            set.remove(&i);
            if set.is_empty() {
                self.alike.remove(&alike);
            }
        }
    }

    /// Takes room on machines, or gives it back.
    pub fn reserve(&mut self, machines: &[Name], size: Resources, sign: f64) {
        for m in machines {
            if let Some(i) = self.find(m) {
                self.take(i, size, sign);
            }
        }
    }

    /// The machines that a job may go to by `may`, which must not tell machines apart
    /// that are alike, and are not in `left`. Those with the job's image and those that
    /// it avoids differ from others that are alike.
    pub(crate) fn candidates(
        &self,
        world: &Replica,
        job: &JobRecord,
        spec: &JobSpec,
        may: impl Fn(&Slot) -> bool,
    ) -> Candidates<'_> {
        let holders = world.machines_with_image(&spec.image).map(|m| &**m);
        let avoided = job.avoided_machines.iter().map(|(m, _)| m.as_str());
        let left = job.vacated_machines.iter().map(|m| &**m);
        let mut apart: Vec<usize> = holders.chain(avoided).chain(left).filter_map(|m| self.find(m)).collect();
        apart.sort_unstable();
        apart.dedup();
        let may_any = |set: &&BTreeSet<usize>| set.first().is_some_and(|i| may(&self.slots[*i]));
        let may_one = |i: &usize| may(&self.slots[*i]) && !job.vacated_machines.contains(&self.slots[*i].id);
        Candidates {
            alike: self.alike.values().filter(may_any).map(BTreeSet::iter).collect(),
            each: apart.iter().copied().filter(may_one).collect(),
            apart,
        }
    }
}

/// The machines that a job may go to.
pub(crate) struct Candidates<'a> {
    /// Those that differ in nothing but their names, in the order of these, but for
    /// those in `apart`, which are sorted.
    pub(crate) alike: Vec<btree_set::Iter<'a, usize>>,
    apart: Vec<usize>,
    pub(crate) each: Vec<usize>,
}

impl Candidates<'_> {
    pub(crate) fn list(each: &[usize]) -> Self {
        Self { alike: Vec::new(), apart: Vec::new(), each: each.to_vec() }
    }

    /// The next of those that are alike.
    pub(crate) fn next(&mut self, run: usize) -> Option<usize> {
        let Self { alike, apart, .. } = self;
        alike.get_mut(run)?.copied().find(|i| apart.binary_search(i).is_err())
    }
}

#[cfg(test)]
#[path = "../tests/unit/inventory.rs"]
mod tests;
