//! In-memory replica of the records of drains.

use std::collections::{BTreeMap, BTreeSet};

use crate::drain_records::{
    CordonFence, CordonRecord, Disruption, DisruptionRecord, DrainPhase, DrainRecord,
};
use crate::hash::HashSet;
use crate::records::Name;
use crate::versioned::{Versioned, is_newer};

/// The key of a cordon: the name of its drain and its number within the drain.
pub type CordonId = (String, u32);

/// All records of drains, and the cordoned machines.
#[derive(Debug, Default)]
pub struct Drains {
    /// The version of the cordon fence; 0 if there has never been a cordon.
    pub fence_version: u64,
    /// The number of changes to the cordons, from the record of the fence.
    pub generation: u64,
    /// Drains by name.
    pub records: BTreeMap<String, Versioned<DrainRecord>>,
    /// Cordons by key.
    pub cordons: BTreeMap<CordonId, Versioned<CordonRecord>>,
    /// Voluntary disruptions, by the team's name as encoded in its key.
    pub disruptions: BTreeMap<String, Versioned<DisruptionRecord>>,
    /// Drains whose records cannot be read.
    pub unreadable: BTreeSet<String>,
    /// The machines on which placement is forbidden.
    cordoned: HashSet<Name>,
}

impl Drains {
    /// Applies a change to the cordon fence.
    pub fn apply_fence(&mut self, record: Option<CordonFence>, version: u64) {
        self.fence_version = if record.is_some() { version } else { 0 };
        self.generation = record.map_or(0, |fence| fence.generation);
    }

    /// Applies a change to a drain's record; `None` deletes it.
    pub fn apply_drain(&mut self, name: String, record: Option<DrainRecord>, version: u64) {
        if is_newer(self.records.get(&name), version) {
            return;
        }
        self.unreadable.remove(&name);
        match record {
            Some(value) => _ = self.records.insert(name, Versioned { value, version }),
            None => _ = self.records.remove(&name),
        }
    }

    /// Applies a change to a cordon; `None` deletes it. Returns whether the set of cordoned machines
    /// has changed.
    pub fn apply_cordon(&mut self, id: CordonId, record: Option<CordonRecord>, version: u64) -> bool {
        if is_newer(self.cordons.get(&id), version) {
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

    /// Applies a change to a team's voluntary disruptions; `None` deletes them.
    pub fn apply_disruptions(&mut self, team: String, record: Option<DisruptionRecord>, version: u64) {
        if is_newer(self.disruptions.get(&team), version) {
            return;
        }
        match record {
            Some(value) => _ = self.disruptions.insert(team, Versioned { value, version }),
            None => _ = self.disruptions.remove(&team),
        }
    }

    /// Whether placement on a machine is forbidden.
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

    /// Whether any drain is not closed, any machine is cordoned, or any voluntary disruption is open.
    pub fn is_busy(&self) -> bool {
        if !self.cordoned.is_empty() {
            return true;
        }
        let has_disruptions = self.disruptions.values().any(|d| !d.value.open.is_empty());
        let is_closed = |drain: &DrainRecord| matches!(drain.phase, DrainPhase::Closed(_));
        has_disruptions || self.records.values().any(|drain| !is_closed(&drain.value))
    }

    /// The machines that active drains should scale in because they are recorded as emptied. The
    /// record is written first, to distinguish these machines from lost ones.
    pub fn machines_to_scale_in(&self) -> HashSet<&Name> {
        let is_active = |(name, _): &CordonId| self.records.get(name).is_some_and(|d| d.value.is_active());
        let active = self.cordons.iter().filter(|(id, cordon)| cordon.value.active && is_active(id));
        active.flat_map(|(_, cordon)| cordon.value.emptied()).collect()
    }

    /// The open voluntary disruptions of a team, given its name as encoded in its key.
    pub fn open_disruptions(&self, team_id: &str) -> &[Disruption] {
        self.disruptions.get(team_id).map_or(&[], |d| &d.value.open)
    }
}
