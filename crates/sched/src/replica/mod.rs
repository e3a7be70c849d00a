//! A replica of the records, with what is derived from them.

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

/// The next generation. They are numbered across all replicas of the process, so that no two
/// replicas share one.
static NEXT_GENERATION: AtomicU64 = AtomicU64::new(1);

/// All records, and the indexes that are derived from them.
#[derive(Debug, Default)]
pub struct Replica {
    /// The revision of the key-value store up to which all changes are applied.
    pub revision: u64,
    /// All jobs by their ids.
    pub jobs: HashMap<String, Versioned<Box<JobRecord>>>,
    /// Jobs that are active, or still have assignments.
    pub open_job_ids: BTreeSet<String>,
    /// The machines by their names.
    pub machines: BTreeMap<Name, Versioned<MachineRecord>>,
    /// The records of teams, by their names as their keys have them.
    pub teams: HashMap<String, Versioned<TeamRecord>>,
    /// The controllers that hold a lease, by their names.
    pub members: BTreeMap<String, Versioned<Member>>,
    /// The leader.
    pub leader: Option<Versioned<Member>>,
    /// The controllers that may act.
    pub cluster_map: Option<Versioned<ClusterMap>>,
    /// The machine types by their names.
    pub machine_types: HashMap<String, MachineType>,
    /// The version of the record of the machine types.
    pub machine_types_version: u64,
    /// The scale-outs in progress and the machines that are gone.
    pub fleet: Option<Versioned<FleetRecord>>,
    /// Records of machines that are gone by the fleet's record.
    pub removed_machines: BTreeMap<Name, Versioned<MachineRecord>>,
    /// All machines that are gone by the fleet's record.
    removed_machine_names: HashSet<Name>,
    /// Jobs whose records cannot be read. That they exist is known all the same.
    pub unreadable: HashSet<String>,
    /// What the assignments of each team use.
    pub team_usage: HashMap<String, Resources>,
    /// What the assignments on each machine use.
    pub machine_usage: BTreeMap<Name, Resources>,
    /// The jobs with assignments on a machine, and their tasks.
    pub jobs_by_machine: HashMap<Name, BTreeMap<Name, Vec<u32>>>,
    /// Machines that have assignments and no record.
    pub machines_without_record: BTreeSet<Name>,
    image_caches: ImageCaches,
    /// Each machine's owner by the cluster map. Hashing all of them again for each query takes
    /// too long.
    owners: BTreeMap<Name, Ownership>,
    /// Machines of which anything has changed since [`Replica::take_changed_machines`].
    changed_machines: BTreeSet<Name>,
    all_machines_changed: bool,
    /// Machines whose usage has changed since [`Replica::take_machines_with_changed_usage`].
    machines_with_changed_usage: BTreeSet<Name>,
    topology_generation: u64,
    open_jobs_generation: u64,
    /// The job with GPUs that was submitted last: what capacity on GPU machines is kept for.
    pub latest_gpu_job: Option<Box<JobSpec>>,
    /// When it was submitted, in milliseconds of the time of day.
    pub latest_gpu_job_ms: u64,
    /// The jobs that wait for others.
    pub pipelines: Pipelines,
    /// The schema version that each controller last had, by its name. A controller with an entry
    /// does not restart with a version that writes none.
    pub schema_versions: BTreeMap<String, u32>,
    /// The drains.
    pub drains: Drains,
}

impl Replica {
    /// The jobs that are active, or still have assignments, in the order of their ids.
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

    /// The machines that most likely have an image, in the order of their names.
    pub fn machines_with_image(&self, image: &str) -> impl Iterator<Item = &Name> {
        self.image_caches.machines_with(image)
    }

    /// Whether a machine most likely has an image.
    pub fn has_image(&self, machine: &str, image: &str) -> bool {
        self.image_caches.has(machine, image)
    }

    /// The machines of which anything has changed since the last call; `None` if that may be any.
    pub fn take_changed_machines(&mut self) -> Option<BTreeSet<Name>> {
        let all = std::mem::take(&mut self.all_machines_changed);
        let changed = std::mem::take(&mut self.changed_machines);
        (!all).then_some(changed)
    }

    /// The machines whose usage has changed since the last call.
    pub fn take_machines_with_changed_usage(&mut self) -> BTreeSet<Name> {
        std::mem::take(&mut self.machines_with_changed_usage)
    }

    /// A number that stands for the set of machines, their owners, cordons and types: a different
    /// one after each change of these, also in another replica.
    pub fn topology_generation(&self) -> u64 {
        self.topology_generation
    }

    /// A number that stands for the set of open jobs and their phases, like
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
