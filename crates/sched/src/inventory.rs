//! The machines as one scheduling cycle sees them.

use std::collections::{BTreeMap, BTreeSet, btree_set};

use wire::{JobSpec, MachineType};

use crate::hash::HashMap;
use crate::records::{JobRecord, MachineRecord, Member, Name};
use crate::replica::{Replica, Resources, SortedLookup};

/// A machine as placement sees it within one scheduling cycle.
#[derive(Debug, Clone)]
pub struct Slot {
    /// The machine's name.
    pub id: Name,
    /// The owner's incarnation.
    pub owner: u64,
    /// The machine type.
    pub machine_type: Name,
    /// The zone.
    pub zone: Name,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// What the machine has.
    pub capacity: Resources,
    /// What is in use of it.
    pub used: Resources,
    /// Whether anything may be placed there now, by the status of its owner.
    pub(crate) usable: bool,
    /// What the machine costs.
    pub(crate) price: f64,
    /// The rate at which the machine fetches images.
    pub(crate) gb_per_s: f64,
    /// A number that all machines of the same owner, type, zone and purchase (spot or not) share.
    kind: usize,
}

impl Slot {
    /// A machine of a kind that has not been seen yet.
    fn of_new_kind(
        id: &Name,
        machine: &MachineRecord,
        owner: &Member,
        machine_type: &MachineType,
        kind: usize,
    ) -> Self {
        Self {
            id: id.clone(),
            owner: owner.incarnation,
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            capacity: Resources::of_type(machine_type),
            used: Resources::default(),
            usable: false,
            price: if machine.spot { machine_type.spot_price } else { machine_type.price },
            gb_per_s: machine_type.fetch_gb_per_s,
            kind,
        }
    }

    fn is_of_kind(&self, machine: &MachineRecord, owner: &Member) -> bool {
        (self.owner, self.spot) == (owner.incarnation, machine.spot)
            && self.machine_type == machine.machine_type
            && self.zone == machine.zone
    }

    pub(crate) fn class(&self) -> SlotClass {
        SlotClass {
            kind: self.kind,
            used: [self.used.cpus, self.used.gpus, self.used.memory_gb].map(f64::to_bits),
        }
    }

    /// What is free on the machine.
    pub fn free(&self) -> Resources {
        self.capacity.plus_scaled(self.used, -1.0)
    }
}

/// What machines have in common that are equivalent for placement, but for their names and the
/// images that they have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SlotClass {
    kind: usize,
    /// What is in use, as the bits of the numbers.
    used: [u64; 3],
}

/// The machines as placement sees them, and what the teams use.
///
/// It is kept from cycle to cycle and brought up to date by what has changed; what a cycle reserves
/// is rolled back after it, as the records will tell what of it was committed.
#[derive(Debug, Default)]
pub struct Inventory {
    /// All machines that have an owner and are not being released, in the order of their names.
    /// What is in use is changed by the methods only.
    pub slots: Vec<Slot>,
    /// What each team uses, by its name.
    pub team_usage: HashMap<String, Resources>,
    /// The usable machines by class. Choosing looks at one of each class: with a look at every
    /// machine for every job, a cycle costs millions of instructions on a site of a thousand.
    pub(crate) slots_by_class: BTreeMap<SlotClass, BTreeSet<usize>>,
    /// The positions of the machines among the slots.
    positions: HashMap<Name, usize>,
    /// The generation of the machines, owners and types that it was made of.
    topology_generation: u64,
    /// What was in use of the slots that were changed since [`Inventory::begin`], in that order.
    undo_log: Vec<UndoEntry>,
}

/// What was in use of a slot before a change.
#[derive(Debug)]
struct UndoEntry {
    slot: usize,
    used: Resources,
}

impl Inventory {
    /// All machines; those may be used that `is_usable` admits by their names.
    pub fn new(replica: &Replica, is_usable: impl Fn(&str) -> bool) -> Self {
        Self::from_replica(replica, |id, _| is_usable(id))
    }

    /// The same, by the machines' names and owners' incarnations; `is_usable` is called in the order
    /// of the names.
    fn from_replica(replica: &Replica, mut is_usable: impl FnMut(&Name, u64) -> bool) -> Self {
        let mut slots: Vec<Slot> = Vec::with_capacity(replica.machines.len());
        let mut slots_by_class: BTreeMap<SlotClass, BTreeSet<usize>> = BTreeMap::new();
        // The first machine of each kind.
        let mut kinds: Vec<usize> = Vec::new();
        let mut machine_usage = SortedLookup::new(&replica.machine_usage);
        for (id, machine, owner) in replica.owned_machines() {
            let machine = &machine.value;
            if machine.release {
                continue;
            }
            let used = machine_usage.get(id).copied().unwrap_or_default();
            let usable = is_usable(id, owner.incarnation) && !replica.drains.is_cordoned(id);
            let same_kind = kinds.iter().map(|&i| &slots[i]).find(|slot| slot.is_of_kind(machine, owner));
            let slot = match same_kind {
                Some(other) => Slot { id: id.clone(), used, usable, ..other.clone() },
                None => {
                    let Some(t) = replica.machine_types.get(&*machine.machine_type) else { continue };
                    kinds.push(slots.len());
                    Slot { used, usable, ..Slot::of_new_kind(id, machine, owner, t, kinds.len()) }
                }
            };
            if usable {
                slots_by_class.entry(slot.class()).or_default().insert(slots.len());
            }
            slots.push(slot);
        }
        let positions = slots.iter().enumerate().map(|(i, slot)| (slot.id.clone(), i)).collect();
        Self {
            slots,
            team_usage: replica.team_usage.clone(),
            slots_by_class,
            positions,
            topology_generation: replica.topology_generation(),
            undo_log: Vec::new(),
        }
    }

    /// Brings up to date what is in use. False if the inventory has to be made anew, as the
    /// machines, owners or types have changed.
    pub fn refresh_usage(&mut self, replica: &mut Replica) -> bool {
        if self.topology_generation != replica.topology_generation() {
            return false;
        }
        for id in replica.take_machines_with_changed_usage() {
            if let Some(i) = self.positions.get(&id).copied() {
                self.set_used(i, replica.machine_usage.get(&id).copied().unwrap_or_default());
            }
        }
        self.team_usage.clone_from(&replica.team_usage);
        true
    }

    /// Brings everything up to date. `is_usable` is called for each machine in the order of the
    /// names, with its owner's incarnation.
    pub fn refresh(&mut self, replica: &mut Replica, mut is_usable: impl FnMut(&Name, u64) -> bool) {
        if !self.refresh_usage(replica) {
            replica.take_machines_with_changed_usage();
            *self = Self::from_replica(replica, is_usable);
            return;
        }
        for i in 0..self.slots.len() {
            let slot = &self.slots[i];
            let usable = is_usable(&slot.id, slot.owner) && !replica.drains.is_cordoned(&slot.id);
            if usable != slot.usable {
                self.set_usable(i, usable);
            }
        }
    }

    /// Begins a scheduling cycle: what is reserved from here on can be rolled back.
    pub fn begin(&mut self) {
        self.undo_log.clear();
    }

    /// Undoes all that was reserved on the machines since [`Inventory::begin`], to the last bit of
    /// each number.
    pub fn roll_back(&mut self) {
        while let Some(UndoEntry { slot, used }) = self.undo_log.pop() {
            self.set_used(slot, used);
        }
    }

    /// A machine's position among the slots, if it may be used.
    pub fn find(&self, machine: &str) -> Option<usize> {
        self.positions.get(machine).copied().filter(|i| self.slots[*i].usable)
    }

    /// The machines that may be used.
    pub fn usable(&self) -> impl Iterator<Item = &Slot> {
        self.slots.iter().filter(|slot| slot.usable)
    }

    /// Of an owner's machines that may be used, one for all that are equivalent but for their names,
    /// and how many these are.
    pub fn slot_classes_of(&self, owner: u64) -> impl Iterator<Item = (&Slot, u32)> {
        let first_and_count =
            |slots: &BTreeSet<usize>| Some((&self.slots[*slots.first()?], slots.len() as u32));
        self.slots_by_class.values().filter_map(first_and_count).filter(move |(slot, _)| slot.owner == owner)
    }

    /// The machines that may be used and that `suits` admits, in the order of their names; it must
    /// not tell machines of one class apart.
    pub(crate) fn matching(&self, suits: impl Fn(&Slot) -> bool) -> Vec<usize> {
        let class_suits = |slots: &&BTreeSet<usize>| slots.first().is_some_and(|i| suits(&self.slots[*i]));
        let mut found: Vec<usize> =
            self.slots_by_class.values().filter(class_suits).flatten().copied().collect();
        found.sort_unstable();
        found
    }

    /// Reserves a multiple of an amount on a machine; a negative one releases it.
    pub(crate) fn take(&mut self, i: usize, size: Resources, factor: f64) {
        let used = self.slots[i].used;
        self.undo_log.push(UndoEntry { slot: i, used });
        self.set_used(i, used.plus_scaled(size, factor));
    }

    /// Reserves a multiple of an amount on each machine that may be used; a negative one releases
    /// it. A machine that is named several times is reserved on as often.
    pub fn reserve(&mut self, machines: &[Name], size: Resources, factor: f64) {
        for machine in machines {
            if let Some(i) = self.find(machine) {
                self.take(i, size, factor);
            }
        }
    }

    fn set_used(&mut self, i: usize, used: Resources) {
        let before = self.slots[i].class();
        self.slots[i].used = used;
        let after = self.slots[i].class();
        if before != after && self.slots[i].usable {
            self.remove_from_class(before, i);
            self.slots_by_class.entry(after).or_default().insert(i);
        }
    }

    fn set_usable(&mut self, i: usize, usable: bool) {
        self.slots[i].usable = usable;
        let class = self.slots[i].class();
        if usable {
            self.slots_by_class.entry(class).or_default().insert(i);
        } else {
            self.remove_from_class(class, i);
        }
    }

    fn remove_from_class(&mut self, class: SlotClass, i: usize) {
        if let Some(slots) = self.slots_by_class.get_mut(&class) {
            slots.remove(&i);
            if slots.is_empty() {
                self.slots_by_class.remove(&class);
            }
        }
    }

    /// The machines that a job may be placed on: those that `suits` admits, which must not tell
    /// machines of one class apart, without those that its gang has vacated. Those with the job's
    /// image and those that it avoids differ from others of their class.
    pub(crate) fn candidates(
        &self,
        replica: &Replica,
        job: &JobRecord,
        spec: &JobSpec,
        suits: impl Fn(&Slot) -> bool,
    ) -> Candidates<'_> {
        let with_image = replica.machines_with_image(&spec.image).map(|machine| &**machine);
        let avoided = job.avoided_machines.iter().map(|(machine, _)| machine.as_str());
        let vacated = job.vacated_machines.iter().map(|machine| &**machine);
        let special = with_image.chain(avoided).chain(vacated);
        let mut excluded: Vec<usize> = special.filter_map(|machine| self.find(machine)).collect();
        excluded.sort_unstable();
        excluded.dedup();
        let class_suits = |slots: &&BTreeSet<usize>| slots.first().is_some_and(|i| suits(&self.slots[*i]));
        let slot_suits = |i: &usize| {
            let slot = &self.slots[*i];
            suits(slot) && !job.vacated_machines.contains(&slot.id)
        };
        Candidates {
            groups: self.slots_by_class.values().filter(class_suits).map(BTreeSet::iter).collect(),
            individual: excluded.iter().copied().filter(slot_suits).collect(),
            excluded,
        }
    }
}

/// The machines that a job may be placed on, by their positions in the inventory.
pub(crate) struct Candidates<'a> {
    /// Groups of machines that differ in nothing but their names, in the order of these, but for
    /// those that are excluded.
    pub(crate) groups: Vec<btree_set::Iter<'a, usize>>,
    /// Machines that the groups do not stand for, sorted.
    excluded: Vec<usize>,
    /// Machines that are considered one by one.
    pub(crate) individual: Vec<usize>,
}

impl Candidates<'_> {
    /// Machines that are all considered one by one.
    pub(crate) fn from_slots(slots: &[usize]) -> Self {
        Self { groups: Vec::new(), excluded: Vec::new(), individual: slots.to_vec() }
    }

    /// The next machine of a group.
    pub(crate) fn next_in_group(&mut self, group: usize) -> Option<usize> {
        let Self { groups, excluded, .. } = self;
        groups.get_mut(group)?.copied().find(|i| excluded.binary_search(i).is_err())
    }
}

#[cfg(test)]
#[path = "../tests/unit/inventory.rs"]
mod tests;
