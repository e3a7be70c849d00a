//! Which controller owns each machine, and which controller places the tasks of each job.

use super::{Replica, SortedLookup};
use crate::records::{ClusterMap, JobRecord, MachineRecord, Member, Name};
use crate::versioned::Versioned;

/// The owner of a machine.
#[derive(Debug, Clone)]
pub(super) struct Ownership {
    owner: Member,
    /// The epoch since which the owner has owned the machine without interruption.
    since_epoch: u64,
}

impl Ownership {
    fn new(owner: &Member, epoch: u64, previous: Option<&Self>) -> Self {
        let unchanged = previous.filter(|previous| previous.owner == *owner);
        let since_epoch = unchanged.map_or(epoch, |previous| previous.since_epoch);
        Self { owner: owner.clone(), since_epoch }
    }
}

impl Replica {
    /// Recomputes the owners of all machines.
    pub(super) fn assign_owners(&mut self) {
        self.renew_topology_generation();
        self.all_machines_changed = true;
        let Some(map) = self.cluster_map.as_ref().map(|map| &map.value) else {
            self.owners.clear();
            return;
        };
        let previous = std::mem::take(&mut self.owners);
        self.owners = self
            .machines
            .iter()
            .filter_map(|(id, machine)| Some((id, map.owner(id, &machine.value.zone)?)))
            .map(|(id, owner)| (id.clone(), Ownership::new(owner, map.epoch, previous.get(id))))
            .collect();
    }

    /// Recomputes the owner of one machine.
    pub(super) fn assign_owner(&mut self, id: &Name, zone: &str) {
        if let Some(map) = self.cluster_map.as_ref().map(|map| &map.value)
            && let Some(owner) = map.owner(id, zone)
        {
            let ownership = Ownership::new(owner, map.epoch, self.owners.get(id));
            self.owners.insert(id.clone(), ownership);
        }
    }

    /// The cluster map; `None` if there is none.
    pub fn current_map(&self) -> Option<&ClusterMap> {
        self.cluster_map.as_ref().map(|map| &map.value)
    }

    /// All machines that have an owner, sorted by name.
    pub fn owned_machines(&self) -> impl Iterator<Item = (&Name, &Versioned<MachineRecord>, &Member)> {
        let mut owners = SortedLookup::new(&self.owners);
        self.machines.iter().filter_map(move |(id, machine)| Some((id, machine, &owners.get(id)?.owner)))
    }

    /// The owner of a machine.
    pub fn owner_of(&self, machine: &str) -> Option<&Member> {
        self.owners.get(machine).map(|ownership| &ownership.owner)
    }

    /// The epoch since which a machine's owner has owned it without interruption; 0 if it has no
    /// owner. Several cluster maps may be received at once, and the owner in an intermediate map may
    /// have acted on the machine.
    pub fn owned_since_epoch(&self, machine: &str) -> u64 {
        self.owners.get(machine).map_or(0, |ownership| ownership.since_epoch)
    }

    /// The machines that a controller owns, sorted by name.
    pub fn owned_by<'a>(&'a self, member: &'a Member) -> impl Iterator<Item = &'a Name> {
        self.owners.iter().filter(move |(_, ownership)| ownership.owner == *member).map(|(id, _)| id)
    }

    /// The name of the controller that places the tasks of a job: the controller of its shard while
    /// that is live, otherwise the leader.
    pub fn scheduler_of<'a>(&'a self, job: &'a JobRecord) -> Option<&'a str> {
        let is_live =
            |name: &str| self.current_map().is_some_and(|map| map.live.iter().any(|m| m.name == name));
        match &job.shard {
            Some(shard) if is_live(shard) => Some(shard),
            _ => self.leader.as_ref().map(|leader| leader.value.name.as_str()),
        }
    }
}
