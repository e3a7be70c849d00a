//! The drains as the records have them.

use std::collections::{BTreeMap, BTreeSet};

use crate::drain_records::{CordonRecord, DisruptionRecord, DrainRecord};
use crate::hash::HashSet;
use crate::records::Name;
use crate::versioned::Versioned;

/// A cordon's key: the drain, and which of its records it is.
pub type CordonId = (String, u32);

/// The mirror of all records of drains.
#[derive(Debug, Default)]
pub struct Drains {
    /// The version of the cordon fence; 0 if there has never been a cordon.
    pub fence: u64,
    /// How often cordons have changed, by the fence's record.
    pub generation: u64,
    /// Drains by their names.
    pub records: BTreeMap<String, Versioned<DrainRecord>>,
    /// The cordons.
    pub cordons: BTreeMap<CordonId, Versioned<CordonRecord>>,
    /// What is down by choice, by the team as its key has it.
    pub disruptions: BTreeMap<String, Versioned<DisruptionRecord>>,
    /// Drains whose records cannot be read.
    pub unreadable: BTreeSet<String>,
    /// The machines that nothing may be placed on.
    cordoned: HashSet<Name>,
}

fn is_older<T>(known: Option<&Versioned<T>>, version: u64) -> bool {
    known.is_some_and(|k| k.version > version)
}

impl Drains {
    /// Takes in a drain's record, or that it is gone.
    pub fn apply_drain(&mut self, name: String, record: Option<DrainRecord>, version: u64) {
        if is_older(self.records.get(&name), version) {
            return;
        }
        self.unreadable.remove(&name);
        match record {
            Some(value) => _ = self.records.insert(name, Versioned { value, version }),
            None => _ = self.records.remove(&name),
        }
    }

    /// Takes in a cordon, or that it is gone. True if other machines are cordoned now.
    pub fn apply_cordon(&mut self, id: CordonId, record: Option<CordonRecord>, version: u64) -> bool {
        if is_older(self.cordons.get(&id), version) {
            return false;
        }
        match record {
            Some(value) => _ = self.cordons.insert(id, Versioned { value, version }),
            None => _ = self.cordons.remove(&id),
        }
        let active = self.cordons.values().filter(|c| c.value.active);
        let cordoned = active.flat_map(|c| c.value.machines()).cloned().collect();
        let changed = cordoned != self.cordoned;
        self.cordoned = cordoned;
        changed
    }

    /// Takes in what of a team's work is down by choice.
    pub fn apply_disruptions(&mut self, team: String, record: Option<DisruptionRecord>, version: u64) {
        if is_older(self.disruptions.get(&team), version) {
            return;
        }
        match record {
            Some(value) => _ = self.disruptions.insert(team, Versioned { value, version }),
            None => _ = self.disruptions.remove(&team),
        }
    }

    /// Whether nothing may be placed on a machine.
    pub fn is_cordoned(&self, machine: &str) -> bool {
        !self.cordoned.is_empty() && self.cordoned.contains(machine)
    }

    /// The cordons of a drain.
    pub fn cordons_of<'a>(
        &'a self,
        drain: &'a str,
    ) -> impl Iterator<Item = (&'a CordonId, &'a Versioned<CordonRecord>)> {
        self.cordons.iter().filter(move |((name, _), _)| name == drain)
    }

    /// Whether any drain is not over, any machine is cordoned, or anything is down by choice.
    pub fn is_busy(&self) -> bool {
        if !self.cordoned.is_empty() {
            return true;
        }
        let open = self.disruptions.values().any(|d| !d.value.open.is_empty());
        let closed = |d: &DrainRecord| matches!(d.phase, crate::drain_records::DrainPhase::Closed(_));
        open || self.records.values().any(|d| !closed(&d.value))
    }

    /// The machines that an active drain is to give back, as nothing is left on them. That is
    /// written down first: the record tells these from machines that were lost.
    pub fn machines_to_give_back(&self) -> HashSet<&Name> {
        let active = |(name, _): &CordonId| self.records.get(name).is_some_and(|d| d.value.is_active());
        let of_active = self.cordons.iter().filter(|(id, c)| c.value.active && active(id));
        of_active.flat_map(|(_, c)| c.value.emptied()).collect()
    }

    /// What of a team's work is down by choice.
    pub fn open(&self, team_id: &str) -> &[crate::drain_records::Disruption] {
        self.disruptions.get(team_id).map_or(&[], |d| &d.value.open)
    }
}
