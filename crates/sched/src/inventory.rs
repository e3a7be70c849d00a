//! The machines that a scheduling cycle can place tasks on, and the resources in use on them.

use std::collections::{BTreeMap, BTreeSet, btree_set};

use wire::{JobSpec, MachineType};

use crate::hash::HashMap;
use crate::records::{JobRecord, MachineRecord, Member, Name};
use crate::replica::{Replica, Resources, SortedLookup};

/// A machine in the inventory, with the resources in use on it during a scheduling cycle.
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
    /// The total resources of the machine.
    pub capacity: Resources,
    /// The resources in use, including those reserved in this cycle.
    pub used: Resources,
    /// Whether tasks may be placed on the machine now, by the status of its owner and unless it is
    /// cordoned.
    pub(crate) usable: bool,
    /// The price of the machine.
    pub(crate) price: f64,
    /// The rate at which the machine fetches images, in GB/s.
    pub(crate) fetch_gb_per_s: f64,
    /// An identifier that all machines of the same owner, machine type, zone and purchase option
    /// (on demand or spot) share.
    kind: usize,
}

impl Slot {
    /// Creates the first slot of a kind, with nothing in use and not yet usable.
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
            fetch_gb_per_s: machine_type.fetch_gb_per_s,
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
            used: [self.used.cpus, self.used.gpus, self.used.memory_gb, self.used.tasks].map(f64::to_bits),
        }
    }

    /// What is free on the machine.
    pub fn free(&self) -> Resources {
        self.capacity.plus_scaled(self.used, -1.0)
    }
}

/// A class of machines that are equivalent for placement, apart from their names and their cached
/// images.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SlotClass {
    kind: usize,
    /// CPUs, GPUs, memory and tasks in use, as the bit patterns of the floating-point values.
    used: [u64; 4],
}

/// The machines, and the resources that each team uses.
///
/// The inventory is kept between scheduling cycles and updated with what has changed. Reservations
/// of a cycle are rolled back at its end; those that were committed come back with the updated
/// records.
#[derive(Debug, Default)]
pub struct Inventory {
    /// All machines that have an owner and are not being released, in the order of their names.
    /// Only the methods of the inventory may change `used`.
    pub slots: Vec<Slot>,
    /// The resources that each team uses, by team name.
    pub team_usage: HashMap<String, Resources>,
    /// The usable machines by class. Placement evaluates one machine of each class: evaluating
    /// every machine for every job would cost millions of instructions per cycle on a site of a
    /// thousand machines.
    pub(crate) slots_by_class: BTreeMap<SlotClass, BTreeSet<usize>>,
    /// The index of each machine in `slots`.
    positions: HashMap<Name, usize>,
    /// The generation of the machines, owners and machine types that the inventory was built from.
    topology_generation: u64,
    /// The previous usage of the slots that were changed since [`Inventory::begin`], in the order
    /// of the changes.
    undo_log: Vec<UndoEntry>,
}

/// The resources that were in use on a slot before a change.
#[derive(Debug)]
struct UndoEntry {
    slot: usize,
    used: Resources,
}

impl Inventory {
    /// Builds the inventory of all machines. `is_usable` tells by the name of a machine whether it
    /// may be used.
    pub fn new(replica: &Replica, is_usable: impl Fn(&str) -> bool) -> Self {
        Self::from_replica(replica, |id, _| is_usable(id))
    }

    /// Like [`Inventory::new`], but `is_usable` also receives the incarnation of the owner, and is
    /// called in the order of the names.
    fn from_replica(replica: &Replica, mut is_usable: impl FnMut(&Name, u64) -> bool) -> Self {
        let mut slots: Vec<Slot> = Vec::with_capacity(replica.machines.len());
        let mut slots_by_class: BTreeMap<SlotClass, BTreeSet<usize>> = BTreeMap::new();
        // The indices in `slots` of the first machine of each kind.
        let mut first_of_kinds: Vec<usize> = Vec::new();
        let mut machine_usage = SortedLookup::new(&replica.machine_usage);
        for (id, machine, owner) in replica.owned_machines() {
            let machine = &machine.value;
            if machine.release {
                continue;
            }
            let used = machine_usage.get(id).copied().unwrap_or_default();
            let usable = is_usable(id, owner.incarnation) && !replica.drains.is_cordoned(id);
            let same_kind =
                first_of_kinds.iter().map(|&i| &slots[i]).find(|slot| slot.is_of_kind(machine, owner));
            let slot = match same_kind {
                Some(other) => Slot { id: id.clone(), used, usable, ..other.clone() },
                None => {
                    let Some(machine_type) = replica.machine_types.get(&*machine.machine_type) else {
                        continue;
                    };
                    first_of_kinds.push(slots.len());
                    Slot {
                        used,
                        usable,
                        ..Slot::of_new_kind(id, machine, owner, machine_type, first_of_kinds.len())
                    }
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

    /// Updates the resources in use. Returns false if the machines, owners or machine types have
    /// changed, so that the inventory has to be rebuilt.
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

    /// Updates the whole inventory, and rebuilds it if necessary. `is_usable` is called for each
    /// machine in the order of the names, with the incarnation of its owner.
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

    /// Begins a scheduling cycle: reservations made from now on can be undone with
    /// [`Inventory::roll_back`].
    pub fn begin(&mut self) {
        self.undo_log.clear();
    }

    /// Undoes all reservations on machines since [`Inventory::begin`]. The earlier values are
    /// restored exactly, without rounding errors.
    pub fn roll_back(&mut self) {
        while let Some(UndoEntry { slot, used }) = self.undo_log.pop() {
            self.set_used(slot, used);
        }
    }

    /// The index of a machine in `slots`, if it is usable.
    pub fn find(&self, machine: &str) -> Option<usize> {
        self.positions.get(machine).copied().filter(|i| self.slots[*i].usable)
    }

    /// The usable machines.
    pub fn usable(&self) -> impl Iterator<Item = &Slot> {
        self.slots.iter().filter(|slot| slot.usable)
    }

    /// For each class of usable machines of an owner, its first machine and the number of its
    /// machines.
    pub fn slot_classes_of(&self, owner: u64) -> impl Iterator<Item = (&Slot, u32)> {
        let first_and_count =
            |slots: &BTreeSet<usize>| Some((&self.slots[*slots.first()?], slots.len() as u32));
        self.slots_by_class.values().filter_map(first_and_count).filter(move |(slot, _)| slot.owner == owner)
    }

    /// The indices of the usable machines that satisfy `suits`, in the order of their names.
    /// `suits` must have the same result for all machines of a class.
    pub(crate) fn matching_slots(&self, suits: impl Fn(&Slot) -> bool) -> Vec<usize> {
        let class_suits = |slots: &&BTreeSet<usize>| slots.first().is_some_and(|i| suits(&self.slots[*i]));
        let mut found: Vec<usize> =
            self.slots_by_class.values().filter(class_suits).flatten().copied().collect();
        found.sort_unstable();
        found
    }

    /// Reserves `size` times `factor` on a machine; a negative factor releases it.
    pub(crate) fn reserve_on_slot(&mut self, index: usize, size: Resources, factor: f64) {
        let used = self.slots[index].used;
        self.undo_log.push(UndoEntry { slot: index, used });
        self.set_used(index, used.plus_scaled(size, factor));
    }

    /// Reserves `size` times `factor` on each of the machines that is usable; a negative factor
    /// releases it. A machine that is listed several times is reserved on as many times.
    pub fn reserve(&mut self, machines: &[Name], size: Resources, factor: f64) {
        for machine in machines {
            if let Some(index) = self.find(machine) {
                self.reserve_on_slot(index, size, factor);
            }
        }
    }

    fn set_used(&mut self, index: usize, used: Resources) {
        let before = self.slots[index].class();
        self.slots[index].used = used;
        let after = self.slots[index].class();
        if before != after && self.slots[index].usable {
            self.remove_from_class(before, index);
            self.slots_by_class.entry(after).or_default().insert(index);
        }
    }

    fn set_usable(&mut self, index: usize, usable: bool) {
        self.slots[index].usable = usable;
        let class = self.slots[index].class();
        if usable {
            self.slots_by_class.entry(class).or_default().insert(index);
        } else {
            self.remove_from_class(class, index);
        }
    }

    fn remove_from_class(&mut self, class: SlotClass, index: usize) {
        if let Some(slots) = self.slots_by_class.get_mut(&class) {
            slots.remove(&index);
            if slots.is_empty() {
                self.slots_by_class.remove(&class);
            }
        }
    }

    /// The machines that a job may be placed on: those that satisfy `suits`, except those that its
    /// gang has vacated. `suits` must have the same result for all machines of a class. Machines
    /// that have the image of the job or that it avoids differ from others of their class and are
    /// ranked individually.
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
        let distinct = with_image.chain(avoided).chain(vacated);
        let mut excluded: Vec<usize> = distinct.filter_map(|machine| self.find(machine)).collect();
        excluded.sort_unstable();
        excluded.dedup();
        let class_suits = |slots: &&BTreeSet<usize>| slots.first().is_some_and(|i| suits(&self.slots[*i]));
        let slot_suits = |i: &usize| {
            let slot = &self.slots[*i];
            suits(slot) && !job.vacated_machines.contains(&slot.id)
        };
        Candidates {
            groups: self.slots_by_class.values().filter(class_suits).map(BTreeSet::iter).collect(),
            individually_ranked: excluded.iter().copied().filter(slot_suits).collect(),
            excluded,
        }
    }
}

/// The machines that a job may be placed on, by their indices in the inventory.
pub(crate) struct Candidates<'a> {
    /// Groups of machines that differ in nothing but their names, in the order of these. Those in
    /// `excluded` are skipped.
    pub(crate) groups: Vec<btree_set::Iter<'a, usize>>,
    /// Machines that are in a group but are skipped there, sorted.
    excluded: Vec<usize>,
    /// Machines that are ranked individually.
    pub(crate) individually_ranked: Vec<usize>,
}

impl Candidates<'_> {
    /// Candidates that are all ranked individually.
    pub(crate) fn from_slots(slots: &[usize]) -> Self {
        Self { groups: Vec::new(), excluded: Vec::new(), individually_ranked: slots.to_vec() }
    }

    /// Takes the next machine of a group that is not excluded.
    pub(crate) fn next_in_group(&mut self, group: usize) -> Option<usize> {
        let Self { groups, excluded, .. } = self;
        groups.get_mut(group)?.copied().find(|i| excluded.binary_search(i).is_err())
    }
}

#[cfg(test)]
#[path = "../tests/unit/inventory.rs"]
mod tests;
