//! Applies record changes to the replica.

use super::{RecordChange, Replica};
use crate::records::{
    ClusterMap, FleetRecord, JobRecord, MachineRecord, MachineTypesRecord, Name, Phase, TeamRecord,
};
use crate::versioned::{Versioned, is_newer};

impl Replica {
    /// Marks a record as unreadable. Its last known value is kept, because an unreadable record proves
    /// nothing about a change.
    pub fn mark_unreadable(&mut self, change: RecordChange) {
        match change {
            RecordChange::Job(id, _) => _ = self.unreadable.insert(id),
            RecordChange::Drain(name, _) => _ = self.drains.unreadable.insert(name),
            _ => {}
        }
    }

    /// Applies a change that happened at a version of the key-value store.
    pub fn apply(&mut self, change: RecordChange, version: u64) {
        match change {
            RecordChange::Job(id, record) => self.apply_job(id, record, version),
            RecordChange::Machine(id, Some(record)) => self.apply_machine(id.into(), record, version),
            RecordChange::Machine(id, None) => self.apply_machine_deletion(&id, version),
            RecordChange::Team(id, record) => self.apply_team(id, record, version),
            RecordChange::Member(id, Some(value)) => {
                _ = self.members.insert(id, Versioned { value, version });
            }
            RecordChange::Member(id, None) => _ = self.members.remove(&id),
            RecordChange::Leader(leader) => self.leader = leader.map(|value| Versioned { value, version }),
            RecordChange::Map(map) => self.apply_cluster_map(map, version),
            RecordChange::Types(types) => self.apply_machine_types(types, version),
            RecordChange::Fleet(fleet) => self.apply_fleet(fleet, version),
            RecordChange::SchemaMarker(name, Some(schema)) => _ = self.schema_versions.insert(name, schema),
            RecordChange::Drain(name, record) => self.drains.apply_drain(name, record, version),
            RecordChange::Cordon(id, record) => {
                if self.drains.apply_cordon(id, record, version) {
                    self.renew_topology_generation();
                }
            }
            RecordChange::CordonFence(record) => self.drains.apply_fence(record, version),
            RecordChange::Disruptions(team, record) => self.drains.apply_disruptions(team, record, version),
            RecordChange::SchemaMarker(_, None) | RecordChange::Other => {}
        }
    }

    fn apply_job(&mut self, id: String, record: Option<Box<JobRecord>>, version: u64) {
        if is_newer(self.jobs.get(&id), version) {
            return;
        }
        self.unreadable.remove(&id);
        let old = self.jobs.remove(&id);
        let old = old.as_ref().map(|old| old.value.as_ref());
        let old_phase = old.map(|old| old.phase);
        let former_dependencies = self.pipelines.remove_waiting(&id);
        let record = record.map(|record| self.resolve_dependencies(&id, record, old));
        self.account(&id, old, record.as_deref());
        let was_open = self.open_job_ids.remove(&id);
        let phase = record.as_ref().map(|record| record.phase);
        let dependencies = record.as_ref().map_or_else(Vec::new, |record| record.dependencies.clone());
        if let Some(record) = record {
            self.insert_job(&id, record, version);
        }
        if phase != old_phase || was_open != self.open_job_ids.contains(&id) {
            self.renew_open_jobs_generation();
        }
        if phase == Some(Phase::Waiting) {
            self.propagate_urgency(&id);
        } else {
            former_dependencies
                .iter()
                .filter(|dependency| !dependencies.contains(dependency))
                .for_each(|dependency| self.recompute_urgency(dependency));
        }
        if phase != old_phase {
            match phase {
                Some(Phase::Done) => self.activate_dependents(&id),
                Some(Phase::Cancelled) => self.pipelines.mark_cancelled(&id),
                _ => {}
            }
        }
    }

    fn insert_job(&mut self, id: &str, record: Box<JobRecord>, version: u64) {
        if let Some(spec) = record.spec.as_ref().filter(|spec| spec.gpus > 0.0)
            && record.submitted_ms >= self.latest_gpu_job_ms
        {
            self.latest_gpu_job = Some(spec.clone());
            self.latest_gpu_job_ms = record.submitted_ms;
        }
        if record.phase == Phase::Active || !record.assignments.is_empty() {
            self.open_job_ids.insert(id.to_owned());
        }
        self.jobs.insert(id.to_owned(), Versioned { value: record, version });
    }

    fn apply_machine(&mut self, id: Name, value: MachineRecord, version: u64) {
        if is_newer(self.machines.get(&id), version) {
            return;
        }
        if self.removed_machine_names.contains(&id) {
            self.removed_machines.insert(id, Versioned { value, version });
            return;
        }
        self.assign_owner(&id, &value.zone);
        self.changed_machines.insert(id.clone());
        self.machines_without_record.remove(&id);
        self.renew_topology_generation();
        self.machines.insert(id, Versioned { value, version });
    }

    fn apply_machine_deletion(&mut self, id: &str, version: u64) {
        if is_newer(self.machines.get(id), version) {
            return;
        }
        self.removed_machines.remove(id);
        self.remove_machine(id);
    }

    fn apply_team(&mut self, id: String, record: Option<TeamRecord>, version: u64) {
        let Some(value) = record else {
            self.teams.remove(&id);
            return;
        };
        if !is_newer(self.teams.get(&id), version) {
            self.teams.insert(id, Versioned { value, version });
        }
    }

    fn apply_cluster_map(&mut self, map: Option<ClusterMap>, version: u64) {
        self.cluster_map = map.map(|value| Versioned { value, version });
        self.assign_owners();
    }

    fn apply_machine_types(&mut self, record: Option<MachineTypesRecord>, version: u64) {
        let types = record.map(|record| record.types).unwrap_or_default();
        self.machine_types = types.into_iter().map(|t| (t.name.clone(), t)).collect();
        self.machine_types_version = version;
        self.renew_topology_generation();
    }

    fn apply_fleet(&mut self, fleet: Option<FleetRecord>, version: u64) {
        if is_newer(self.fleet.as_ref(), version) {
            return;
        }
        let removed = fleet.iter().flat_map(|fleet| fleet.removed_machines.iter().flatten());
        self.removed_machine_names = removed.cloned().collect();
        // Every version of the record lists all removed machines; only those that the replica still
        // has must be removed.
        let still_known: Vec<Name> =
            self.removed_machine_names.iter().filter(|id| self.machines.contains_key(*id)).cloned().collect();
        for id in still_known {
            if let Some(record) = self.remove_machine(&id) {
                self.removed_machines.insert(id, record);
            }
        }
        self.fleet = fleet.map(|value| Versioned { value, version });
    }

    fn remove_machine(&mut self, id: &str) -> Option<Versioned<MachineRecord>> {
        self.renew_topology_generation();
        self.owners.remove(id);
        self.image_caches.remove_machine(id);
        self.changed_machines.insert(id.into());
        if self.jobs_by_machine.contains_key(id) {
            self.machines_without_record.insert(id.into());
        }
        self.machines.remove(id)
    }
}
