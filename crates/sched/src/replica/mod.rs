//! An in-memory replica of the records, with indexes derived from them.

mod apply;
mod change;
mod image_caches;
mod ownership;
mod pipelines;
mod resources;
mod sorted_lookup;
mod usage;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};

use wire::{JobSpec, MachineType};

use crate::drains::Drains;
use crate::hash::{HashMap, HashSet};
use crate::pipeline::Pipelines;
use crate::records::{
    Assignment, ClusterMap, FleetRecord, JobRecord, MachineRecord, Member, Name, TeamRecord,
};
pub use crate::versioned::Versioned;
pub use change::RecordChange;
use image_caches::ImageCaches;
use ownership::Ownership;
pub use resources::{Resources, Team};
pub use sorted_lookup::SortedLookup;

/// The next generation number. Generations are numbered across all replicas of the process, so that
/// no two replicas share one.
static NEXT_GENERATION: AtomicU64 = AtomicU64::new(1);

/// All records and the indexes derived from them.
#[derive(Debug, Default)]
pub struct Replica {
    /// The revision of the key-value store up to which all changes have been applied.
    pub revision: u64,
    /// All jobs by id.
    pub jobs: HashMap<String, Versioned<Box<JobRecord>>>,
    /// Jobs that are active or still have assignments.
    pub open_job_ids: BTreeSet<String>,
    /// The machines by name.
    pub machines: BTreeMap<Name, Versioned<MachineRecord>>,
    /// The records of teams, by the team's name as encoded in its key.
    pub teams: HashMap<String, Versioned<TeamRecord>>,
    /// The controllers that hold a lease, by name.
    pub members: BTreeMap<String, Versioned<Member>>,
    /// The leader.
    pub leader: Option<Versioned<Member>>,
    /// The cluster map, with the controllers that may act.
    pub cluster_map: Option<Versioned<ClusterMap>>,
    /// The machine types by name.
    pub machine_types: HashMap<String, MachineType>,
    /// The version of the machine types record.
    pub machine_types_version: u64,
    /// The scale-outs in progress and the machines that are gone.
    pub fleet: Option<Versioned<FleetRecord>>,
    /// Records of machines that are listed as removed in the fleet record.
    pub removed_machines: BTreeMap<Name, Versioned<MachineRecord>>,
    /// All machines that are listed as removed in the fleet record, with or without their own record.
    removed_machine_names: HashSet<Name>,
    /// Jobs that exist but whose records cannot be read.
    pub unreadable: HashSet<String>,
    /// The resources that the assignments of each team use.
    pub team_usage: HashMap<String, Resources>,
    /// The resources that the assignments on each machine use.
    pub machine_usage: BTreeMap<Name, Resources>,
    /// The jobs with assignments on each machine, and their tasks there.
    pub jobs_by_machine: HashMap<Name, BTreeMap<Name, Vec<u32>>>,
    /// Machines that have assignments but no record.
    pub machines_without_record: BTreeSet<Name>,
    image_caches: ImageCaches,
    /// The owner of each machine according to the cluster map, cached because hashing all machines
    /// for each query takes too long.
    owners: BTreeMap<Name, Ownership>,
    /// Machines that have changed since the last call of [`Replica::take_changed_machines`].
    changed_machines: BTreeSet<Name>,
    all_machines_changed: bool,
    /// Machines whose usage has changed since the last call of
    /// [`Replica::take_machines_with_changed_usage`].
    machines_with_changed_usage: BTreeSet<Name>,
    topology_generation: u64,
    open_jobs_generation: u64,
    /// The GPU job that was submitted last. Spare capacity on GPU machines is kept for jobs like it.
    pub latest_gpu_job: Option<Box<JobSpec>>,
    /// When [`Replica::latest_gpu_job`] was submitted, in Unix milliseconds.
    pub latest_gpu_job_ms: u64,
    /// The jobs that wait for other jobs.
    pub pipelines: Pipelines,
    /// The schema version that each controller last wrote, by controller name. A controller with an
    /// entry is never restarted with a release that writes none.
    pub schema_versions: BTreeMap<String, u32>,
    /// The drains.
    pub drains: Drains,
}

impl Replica {
    /// The jobs that are active or still have assignments, sorted by id.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&String, &JobRecord)> {
        self.open_job_ids.iter().filter_map(|id| Some((id, self.jobs.get(id)?.value.as_ref())))
    }

    /// The assignments on a machine, with their jobs.
    pub fn assignments<'a>(
        &'a self,
        machine: &str,
    ) -> impl Iterator<Item = (&'a str, &'a JobRecord, &'a Assignment)> {
        self.jobs_by_machine
            .get(machine)
            .into_iter()
            .flatten()
            .filter_map(|(id, tasks)| Some((self.jobs.get_key_value(&**id)?, tasks)))
            .flat_map(move |((id, job), tasks)| {
                let assignments = &job.value.assignments;
                let find = |task: &u32| {
                    assignments.binary_search_by_key(task, |a| a.task).ok().map(|i| &assignments[i])
                };
                tasks.iter().filter_map(find).map(move |a| (id.as_str(), job.value.as_ref(), a))
            })
    }

    /// The machines that most likely have an image in their cache, sorted by name.
    pub fn machines_with_image(&self, image: &str) -> impl Iterator<Item = &Name> {
        self.image_caches.machines_with(image)
    }

    /// Whether a machine most likely has an image in its cache.
    pub fn has_image(&self, machine: &str, image: &str) -> bool {
        self.image_caches.has(machine, image)
    }

    /// The machines that have changed since the last call; `None` if any machine may have changed.
    pub fn take_changed_machines(&mut self) -> Option<BTreeSet<Name>> {
        let all = std::mem::take(&mut self.all_machines_changed);
        let changed = std::mem::take(&mut self.changed_machines);
        (!all).then_some(changed)
    }

    /// The machines whose usage has changed since the last call.
    pub fn take_machines_with_changed_usage(&mut self) -> BTreeSet<Name> {
        std::mem::take(&mut self.machines_with_changed_usage)
    }

    /// A number that identifies a state of the machines, their owners, cordons and types. Each change
    /// to these sets it to a value that no replica of the process has had before.
    pub fn topology_generation(&self) -> u64 {
        self.topology_generation
    }

    /// A number that identifies a state of the set of open jobs and their phases, like
    /// [`Replica::topology_generation`].
    pub fn open_jobs_generation(&self) -> u64 {
        self.open_jobs_generation
    }

    fn renew_topology_generation(&mut self) {
        self.topology_generation = NEXT_GENERATION.fetch_add(1, Ordering::Relaxed);
    }

    fn renew_open_jobs_generation(&mut self) {
        self.open_jobs_generation = NEXT_GENERATION.fetch_add(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/replica.rs"]
mod tests;
