//! A copy of the records, with what is derived from them.

mod pipelines;
mod resources;
mod sorted_lookup;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};

use wire::{JobSpec, MachineType};

use crate::drain_records::{CordonFence, CordonRecord, DisruptionRecord, DrainRecord};
use crate::drains::{CordonId, Drains};
use crate::hash::{HashMap, HashSet};
use crate::pipeline::Pipelines;
use crate::records::{
    Assignment, ClusterMap, FleetRecord, JobRecord, MachineRecord, MachineTypesRecord, Member, Name, Phase,
    TeamRecord,
};
pub use crate::versioned::Versioned;
pub use resources::{Resources, Team};
pub use sorted_lookup::SortedLookup;

/// One change of a record.
#[derive(Debug, Clone)]
pub enum RecordChange {
    Job(String, Option<Box<JobRecord>>),
    Machine(String, Option<MachineRecord>),
    Team(String, Option<TeamRecord>),
    Member(String, Option<Member>),
    Leader(Option<Member>),
    Map(Option<ClusterMap>),
    Types(Option<MachineTypesRecord>),
    Fleet(Option<FleetRecord>),
    /// The controller of this name has the version that knows pipelines, and this schema.
    /// Its record lasts, whoever lives.
    SchemaMarker(String, Option<u32>),
    Drain(String, Option<DrainRecord>),
    Cordon(CordonId, Option<CordonRecord>),
    CordonFence(Option<CordonFence>),
    Disruptions(String, Option<DisruptionRecord>),
    Other,
}

/// Numbers of layouts, so that no two copies of the records share one.
static LAYOUTS: AtomicU64 = AtomicU64::new(1);

#[derive(Debug, Default)]
pub struct Replica {
    pub revision: u64,
    pub jobs: HashMap<String, Versioned<Box<JobRecord>>>,
    /// Jobs that are not final, or still have something on a machine.
    pub open_job_ids: BTreeSet<String>,
    pub machines: BTreeMap<Name, Versioned<MachineRecord>>,
    pub teams: HashMap<String, Versioned<TeamRecord>>,
    pub members: BTreeMap<String, Versioned<Member>>,
    pub leader: Option<Versioned<Member>>,
    pub cluster_map: Option<Versioned<ClusterMap>>,
    pub machine_types: HashMap<String, MachineType>,
    pub machine_types_version: u64,
    pub fleet: Option<Versioned<FleetRecord>>,
    /// Records of machines that are gone by the fleet's record.
    pub removed_machines: BTreeMap<Name, Versioned<MachineRecord>>,
    /// All machines that are gone by the fleet's record.
    removed_machine_names: HashSet<Name>,
    /// Jobs whose records cannot be read. They are known all the same.
    pub unreadable: HashSet<String>,
    /// What each team's assignments take.
    pub team_usage: HashMap<String, Resources>,
    pub machine_usage: BTreeMap<Name, Resources>,
    /// The jobs with something on a machine, and which tasks.
    pub jobs_by_machine: HashMap<Name, BTreeMap<Name, Vec<u32>>>,
    /// Machines that hold assignments and have no record.
    pub machines_without_record: BTreeSet<Name>,
    /// Images used on each machine, the latest last. A guess at its cache.
    images_by_machine: HashMap<Name, VecDeque<(String, f64)>>,
    /// The machines that have an image.
    machines_by_image: HashMap<String, BTreeSet<Name>>,
    /// Each machine's owner by the map, and the epoch since which it has been that without a
    /// break: hashing them all anew takes long.
    owners: BTreeMap<Name, (Member, u64)>,
    /// Machines on which something has changed since [`Replica::take_touched`].
    changed_machines: BTreeSet<Name>,
    all_machines_changed: bool,
    /// Machines of which more or less is in use since [`Replica::take_use_changes`].
    machines_with_changed_usage: BTreeSet<Name>,
    /// Changes with the set of machines, their owners and the types.
    topology_generation: u64,
    /// Changes with the set of open jobs and their phases.
    open_jobs_generation: u64,
    /// The job that last asked for GPUs: what room on their machines is kept for.
    pub latest_gpu_job: Option<Box<JobSpec>>,
    /// When it was submitted, by the time of day.
    pub latest_gpu_job_ms: u64,
    pub pipelines: Pipelines,
    /// Controllers that will not come back old, and the schema that each last had.
    pub schema_versions: BTreeMap<String, u32>,
    pub drains: Drains,
}

impl Replica {
    /// Books what a job's record changes. Only the difference counts: arrays hold
    /// more than a thousand assignments, and a few of them end at a time.
    fn account(&mut self, id: &str, old: Option<&JobRecord>, new: Option<&JobRecord>) {
        let Some(spec) = new.and_then(|j| j.spec.as_deref()).or(old.and_then(|j| j.spec.as_deref())) else {
            return;
        };
        let size = Resources::of_task(spec);
        let none: &[Assignment] = &[];
        let (before, after) = (old.map_or(none, |j| &j.assignments), new.map_or(none, |j| &j.assignments));
        let went_on = old.map(|j| j.phase) == new.map(|j| j.phase);
        let job: Name = id.into();
        let (mut i, mut k) = (0, 0);
        while i < before.len() || k < after.len() {
            match (before.get(i), after.get(k)) {
                (Some(x), Some(y)) if x.task == y.task => {
                    if x.machine != y.machine || x.attempt != y.attempt {
                        self.free(&job, x, size);
                        self.occupy(&job, y, size, spec);
                    } else if x.desired != y.desired || !went_on {
                        self.changed_machines.insert(y.machine.clone());
                    }
                    (i, k) = (i + 1, k + 1);
                }
                (Some(x), y) if y.is_none_or(|y| x.task < y.task) => {
                    self.free(&job, x, size);
                    i += 1;
                }
                (_, Some(y)) => {
                    self.occupy(&job, y, size, spec);
                    k += 1;
                }
                (_, None) => break,
            }
        }
        if before.len() != after.len() {
            let used = self.team_usage.entry(spec.team.clone()).or_default();
            *used = used.plus_scaled(size, after.len() as f64 - before.len() as f64);
        }
    }

    fn occupy(&mut self, job: &Name, a: &Assignment, size: Resources, spec: &JobSpec) {
        let used = self.machine_usage.entry(a.machine.clone()).or_default();
        *used = used.plus_scaled(size, 1.0);
        let tasks =
            self.jobs_by_machine.entry(a.machine.clone()).or_default().entry(job.clone()).or_default();
        let first = tasks.is_empty();
        tasks.push(a.task);
        if first && !self.machines.contains_key(&a.machine) {
            self.machines_without_record.insert(a.machine.clone());
        }
        if first {
            self.note_image(&a.machine, &spec.image, spec.image_gb);
        }
        self.machines_with_changed_usage.insert(a.machine.clone());
        self.changed_machines.insert(a.machine.clone());
    }

    fn free(&mut self, job: &Name, a: &Assignment, size: Resources) {
        if let Some(used) = self.machine_usage.get_mut(&a.machine) {
            *used = used.plus_scaled(size, -1.0);
        }
        if let Some(jobs) = self.jobs_by_machine.get_mut(&a.machine) {
            if let Some(tasks) = jobs.get_mut(job) {
                tasks.retain(|t| *t != a.task);
                if tasks.is_empty() {
                    jobs.remove(job);
                }
            }
            if jobs.is_empty() {
                self.jobs_by_machine.remove(&a.machine);
                self.machines_without_record.remove(&a.machine);
                self.machine_usage.remove(&a.machine);
            }
        }
        self.machines_with_changed_usage.insert(a.machine.clone());
        self.changed_machines.insert(a.machine.clone());
    }

    /// The jobs that are not final, or still have something on a machine, in the order of
    /// their ids.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&String, &JobRecord)> {
        self.open_job_ids.iter().filter_map(|id| Some((id, self.jobs.get(id)?.value.as_ref())))
    }

    /// The machines on which something has changed since the last call; None
    /// if that may be any.
    pub fn take_changed_machines(&mut self) -> Option<BTreeSet<Name>> {
        let all = std::mem::take(&mut self.all_machines_changed);
        let touched = std::mem::take(&mut self.changed_machines);
        (!all).then_some(touched)
    }

    /// The machines of which more or less is in use since the last call.
    pub fn take_machines_with_changed_usage(&mut self) -> BTreeSet<Name> {
        std::mem::take(&mut self.machines_with_changed_usage)
    }

    /// A number that stands for the set of machines, their owners and the types: another one
    /// after each change of these, also in another copy of the records.
    pub fn topology_generation(&self) -> u64 {
        self.topology_generation
    }

    /// A number that stands for the set of open jobs and their phases, like [`Replica::layout`].
    pub fn open_jobs_generation(&self) -> u64 {
        self.open_jobs_generation
    }

    fn new_layout(&mut self) {
        self.topology_generation = LAYOUTS.fetch_add(1, Ordering::Relaxed);
    }

    fn new_open_layout(&mut self) {
        self.open_jobs_generation = LAYOUTS.fetch_add(1, Ordering::Relaxed);
    }

    fn find_owners(&mut self) {
        self.new_layout();
        self.all_machines_changed = true;
        let Some(map) = self.cluster_map.as_ref().map(|m| &m.value) else {
            self.owners.clear();
            return;
        };
        let before = std::mem::take(&mut self.owners);
        let since =
            |id: &Name, owner: &Member| before.get(id).filter(|o| o.0 == *owner).map_or(map.epoch, |o| o.1);
        self.owners = self
            .machines
            .iter()
            .filter_map(|(id, m)| Some((id, map.owner(id, &m.value.zone)?)))
            .map(|(id, owner)| (id.clone(), (owner.clone(), since(id, owner))))
            .collect();
    }

    fn note_image(&mut self, machine: &Name, image: &str, gb: f64) {
        let Some(record) = self.machines.get(machine) else { return };
        let room = self.machine_types.get(&*record.value.machine_type).map_or(0.0, |t| t.cache_gb);
        let list = self.images_by_machine.entry(machine.clone()).or_default();
        list.retain(|(i, _)| i != image);
        list.push_back((image.to_owned(), gb));
        let mut dropped = Vec::new();
        while list.len() > 1 && list.iter().map(|(_, g)| g).sum::<f64>() > room {
            dropped.extend(list.pop_front());
        }
        if !self.machines_by_image.get(image).is_some_and(|h| h.contains(machine)) {
            self.machines_by_image.entry(image.to_owned()).or_default().insert(machine.clone());
        }
        dropped.iter().for_each(|(i, _)| self.no_longer_holds(i, machine));
    }

    fn no_longer_holds(&mut self, image: &str, machine: &str) {
        if let Some(holders) = self.machines_by_image.get_mut(image) {
            holders.remove(machine);
            if holders.is_empty() {
                self.machines_by_image.remove(image);
            }
        }
    }

    /// The machines that have an image, most likely.
    pub fn machines_with_image(&self, image: &str) -> impl Iterator<Item = &Name> {
        self.machines_by_image.get(image).into_iter().flatten()
    }

    pub fn has_image(&self, machine: &str, image: &str) -> bool {
        self.images_by_machine.get(machine).is_some_and(|l| l.iter().any(|(i, _)| i == image))
    }

    /// A record that cannot be read proves nothing: what was known of it stands.
    pub fn mark_unreadable(&mut self, change: RecordChange) {
        match change {
            RecordChange::Job(id, _) => _ = self.unreadable.insert(id),
            RecordChange::Drain(name, _) => _ = self.drains.unreadable.insert(name),
            _ => {}
        }
    }

    /// Applies one change and the version it happened at.
    pub fn apply(&mut self, change: RecordChange, version: u64) {
        match change {
            RecordChange::Job(id, record) => {
                // What this controller wrote itself may be known before the news
                // of what came before.
                if self.jobs.get(&id).is_some_and(|j| j.version > version) {
                    return;
                }
                self.unreadable.remove(&id);
                let old = self.jobs.remove(&id);
                let before = old.as_ref().map(|o| o.value.phase);
                let left = self.pipelines.leave(&id);
                let record = record.map(|r| self.enter_pipelines(&id, r, old.as_ref().map(|o| &*o.value)));
                self.account(&id, old.as_ref().map(|o| o.value.as_ref()), record.as_deref());
                let was_open = self.open_job_ids.remove(&id);
                let (phase, needs) = match &record {
                    Some(r) => (Some(r.phase), r.dependencies.clone()),
                    None => (None, Vec::new()),
                };
                if let Some(value) = record {
                    if let Some(spec) = value.spec.as_ref().filter(|s| s.gpus > 0.0)
                        && value.submitted_ms >= self.latest_gpu_job_ms
                    {
                        self.latest_gpu_job = Some(spec.clone());
                        self.latest_gpu_job_ms = value.submitted_ms;
                    }
                    if value.phase == Phase::Active || !value.assignments.is_empty() {
                        self.open_job_ids.insert(id.clone());
                    }
                    self.jobs.insert(id.clone(), Versioned { value, version });
                }
                if phase != before || was_open != self.open_job_ids.contains(&id) {
                    self.new_open_layout();
                }
                if phase == Some(Phase::Waiting) {
                    self.pass_on(&id);
                } else {
                    left.iter().filter(|n| !needs.contains(n)).for_each(|n| self.reckon(n));
                }
                if phase != before {
                    match phase {
                        Some(Phase::Done) => self.let_begin(&id),
                        Some(Phase::Cancelled) => self.pipelines.cancelled(&id),
                        _ => {}
                    }
                }
            }
            RecordChange::Machine(id, Some(value)) => {
                let id: Name = id.into();
                if self.machines.get(&id).is_some_and(|m| m.version > version) {
                    return;
                }
                if self.removed_machine_names.contains(&id) {
                    self.removed_machines.insert(id, Versioned { value, version });
                    return;
                }
                if let Some(map) = self.cluster_map.as_ref().map(|m| &m.value)
                    && let Some(owner) = map.owner(&id, &value.zone)
                {
                    let since = self.owners.get(&id).filter(|o| o.0 == *owner).map_or(map.epoch, |o| o.1);
                    self.owners.insert(id.clone(), (owner.clone(), since));
                }
                self.changed_machines.insert(id.clone());
                self.machines_without_record.remove(&id);
                self.new_layout();
                self.machines.insert(id, Versioned { value, version });
            }
            RecordChange::Machine(id, None) => {
                if self.machines.get(id.as_str()).is_some_and(|m| m.version > version) {
                    return;
                }
                self.removed_machines.remove(id.as_str());
                self.drop_machine(&id);
            }
            RecordChange::Team(id, Some(value)) => {
                if self.teams.get(&id).is_some_and(|t| t.version > version) {
                    return;
                }
                self.teams.insert(id, Versioned { value, version });
            }
            RecordChange::Team(id, None) => {
                self.teams.remove(&id);
            }
            RecordChange::Member(id, Some(value)) => {
                self.members.insert(id, Versioned { value, version });
            }
            RecordChange::Member(id, None) => {
                self.members.remove(&id);
            }
            RecordChange::Leader(l) => self.leader = l.map(|value| Versioned { value, version }),
            RecordChange::Map(m) => {
                self.cluster_map = m.map(|value| Versioned { value, version });
                self.find_owners();
            }
            RecordChange::Types(t) => {
                self.machine_types =
                    t.map(|t| t.types.into_iter().map(|t| (t.name.clone(), t)).collect()).unwrap_or_default();
                self.machine_types_version = version;
                self.new_layout();
            }
            RecordChange::Fleet(f) => {
                if self.fleet.as_ref().is_some_and(|f| f.version > version) {
                    return;
                }
                self.removed_machine_names =
                    f.iter().flat_map(|f| f.removed_machines.iter().flatten()).cloned().collect();
                // The record names them again with each of its changes: only those count that
                // were still there.
                let known: Vec<Name> = self
                    .removed_machine_names
                    .iter()
                    .filter(|id| self.machines.contains_key(*id))
                    .cloned()
                    .collect();
                for id in known {
                    if let Some(record) = self.drop_machine(&id) {
                        self.removed_machines.insert(id, record);
                    }
                }
                self.fleet = f.map(|value| Versioned { value, version });
            }
            RecordChange::SchemaMarker(name, Some(schema)) => {
                self.schema_versions.insert(name, schema);
            }
            RecordChange::Drain(name, record) => self.drains.apply_drain(name, record, version),
            RecordChange::Cordon(id, record) => {
                if self.drains.apply_cordon(id, record, version) {
                    self.new_layout();
                }
            }
            RecordChange::CordonFence(record) => {
                self.drains.fence = if record.is_some() { version } else { 0 };
                self.drains.generation = record.map_or(0, |f| f.generation);
            }
            RecordChange::Disruptions(team, record) => self.drains.apply_disruptions(team, record, version),
            RecordChange::SchemaMarker(_, None) | RecordChange::Other => {}
        }
    }

    fn drop_machine(&mut self, id: &str) -> Option<Versioned<MachineRecord>> {
        self.new_layout();
        self.owners.remove(id);
        for (image, _) in self.images_by_machine.remove(id).into_iter().flatten() {
            self.no_longer_holds(&image, id);
        }
        self.changed_machines.insert(id.into());
        if self.jobs_by_machine.contains_key(id) {
            self.machines_without_record.insert(id.into());
        }
        self.machines.remove(id)
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
                let run = &job.value.assignments;
                let find = |t: &u32| run.binary_search_by_key(t, |a| a.task).ok().map(|i| &run[i]);
                tasks.iter().filter_map(find).map(move |a| (id.as_str(), job.value.as_ref(), a))
            })
    }

    pub fn current_map(&self) -> Option<&ClusterMap> {
        self.cluster_map.as_ref().map(|m| &m.value)
    }

    /// All machines that have an owner, in the order of their names.
    pub fn owned_machines(&self) -> impl Iterator<Item = (&Name, &Versioned<MachineRecord>, &Member)> {
        let mut owners = SortedLookup::new(&self.owners);
        self.machines.iter().filter_map(move |(id, m)| Some((id, m, &owners.get(id)?.0)))
    }

    pub fn owner_of(&self, machine: &str) -> Option<&Member> {
        self.owners.get(machine).map(|o| &o.0)
    }

    /// The epoch since which a machine's owner has been that. Several maps may become known
    /// at a time, and who had the machine between them may have acted on it.
    pub fn owned_since_epoch(&self, machine: &str) -> u64 {
        self.owners.get(machine).map_or(0, |o| o.1)
    }

    /// The machines that a controller owns by the map.
    pub fn owned_by<'a>(&'a self, member: &'a Member) -> impl Iterator<Item = &'a Name> {
        self.owners.iter().filter(move |(_, o)| o.0 == *member).map(|(id, _)| id)
    }

    /// The name of the controller that places this job's tasks.
    pub fn scheduler_of<'a>(&'a self, job: &'a JobRecord) -> Option<&'a str> {
        let live = |n: &str| self.current_map().is_some_and(|m| m.live.iter().any(|l| l.name == n));
        match &job.shard {
            Some(part) if live(part) => Some(part),
            _ => self.leader.as_ref().map(|l| l.value.name.as_str()),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/replica.rs"]
mod tests;
