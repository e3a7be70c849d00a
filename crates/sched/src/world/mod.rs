//! A copy of the records, with what is derived from them.

mod amount;
mod in_order;
mod pipelines;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};

use wire::{JobSpec, MachineType};

use crate::drain_records::{CordonFence, CordonRecord, DisruptionRecord, DrainRecord};
use crate::drains::{CordonId, Drains};
use crate::hash::{HashMap, HashSet};
use crate::pipeline::Pipelines;
use crate::records::*;
pub use amount::{Amount, Team};
pub use in_order::InOrder;

#[derive(Debug, Clone)]
pub struct Versioned<T> {
    pub value: T,
    pub version: u64,
}

/// One change of a record.
#[derive(Debug, Clone)]
pub enum Change {
    Job(String, Option<Box<JobRecord>>),
    Machine(String, Option<MachineRecord>),
    Team(String, Option<TeamRecord>),
    Member(String, Option<Member>),
    Leader(Option<Member>),
    Map(Option<MapRecord>),
    Types(Option<TypesRecord>),
    Fleet(Option<FleetRecord>),
    /// The controller of this name has the version that knows pipelines, and this schema.
    /// Its record lasts, whoever lives.
    Upgraded(String, Option<u32>),
    Drain(String, Option<DrainRecord>),
    Cordon(CordonId, Option<CordonRecord>),
    CordonFence(Option<CordonFence>),
    Disruptions(String, Option<DisruptionRecord>),
    Other,
}

/// Numbers of layouts, so that no two copies of the records share one.
static LAYOUTS: AtomicU64 = AtomicU64::new(1);

#[derive(Debug, Default)]
pub struct World {
    pub revision: u64,
    pub jobs: HashMap<String, Versioned<Box<JobRecord>>>,
    /// Jobs that are not final, or still have something on a machine.
    pub open: BTreeSet<String>,
    pub machines: BTreeMap<Name, Versioned<MachineRecord>>,
    pub teams: HashMap<String, Versioned<TeamRecord>>,
    pub members: BTreeMap<String, Versioned<Member>>,
    pub leader: Option<Versioned<Member>>,
    pub map: Option<Versioned<MapRecord>>,
    pub types: HashMap<String, MachineType>,
    pub types_version: u64,
    pub fleet: Option<Versioned<FleetRecord>>,
    /// Records of machines that are gone by the fleet's record.
    pub gone: BTreeMap<Name, Versioned<MachineRecord>>,
    /// All machines that are gone by the fleet's record.
    gone_names: HashSet<Name>,
    /// Jobs whose records cannot be read. They are known all the same.
    pub unreadable: HashSet<String>,
    /// What each team's assignments take.
    pub team_use: HashMap<String, Amount>,
    pub machine_use: BTreeMap<Name, Amount>,
    /// The jobs with something on a machine, and which tasks.
    pub on_machine: HashMap<Name, BTreeMap<Name, Vec<u32>>>,
    /// Machines that hold assignments and have no record.
    pub orphaned: BTreeSet<Name>,
    /// Images used on each machine, the latest last. A guess at its cache.
    images: HashMap<Name, VecDeque<(String, f64)>>,
    /// The machines that have an image.
    holders: HashMap<String, BTreeSet<Name>>,
    /// Each machine's owner by the map, and the epoch since which it has been that without a
    /// break: hashing them all anew takes long.
    owners: BTreeMap<Name, (Member, u64)>,
    /// Machines on which something has changed since [`World::take_touched`].
    touched: BTreeSet<Name>,
    all_touched: bool,
    /// Machines of which more or less is in use since [`World::take_use_changes`].
    use_changes: BTreeSet<Name>,
    /// Changes with the set of machines, their owners and the types.
    layout: u64,
    /// Changes with the set of open jobs and their phases.
    open_layout: u64,
    /// The job that last asked for GPUs: what room on their machines is kept for.
    pub gpu_spec: Option<Box<JobSpec>>,
    /// When it was submitted, by the time of day.
    pub gpu_spec_ms: u64,
    pub pipelines: Pipelines,
    /// Controllers that will not come back old, and the schema that each last had.
    pub upgraded: BTreeMap<String, u32>,
    pub drains: Drains,
}

impl World {
    /// Books what a job's record changes. Only the difference counts: arrays hold
    /// more than a thousand assignments, and a few of them end at a time.
    fn account(&mut self, id: &str, old: Option<&JobRecord>, new: Option<&JobRecord>) {
        let Some(spec) = new.and_then(|j| j.spec.as_deref()).or(old.and_then(|j| j.spec.as_deref())) else {
            return;
        };
        let size = Amount::of_task(spec);
        let none: &[Assignment] = &[];
        let (before, after) = (old.map_or(none, |j| &j.run), new.map_or(none, |j| &j.run));
        let went_on = old.map(|j| j.phase) == new.map(|j| j.phase);
        let job: Name = id.into();
        let (mut i, mut k) = (0, 0);
        while i < before.len() || k < after.len() {
            match (before.get(i), after.get(k)) {
                (Some(x), Some(y)) if x.task == y.task => {
                    if x.machine != y.machine || x.attempt != y.attempt {
                        self.free(&job, x, size);
                        self.occupy(&job, y, size, spec);
                    } else if x.want != y.want || !went_on {
                        self.touched.insert(y.machine.clone());
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
            let used = self.team_use.entry(spec.team.clone()).or_default();
            *used = used.plus(size, after.len() as f64 - before.len() as f64);
        }
    }

    fn occupy(&mut self, job: &Name, a: &Assignment, size: Amount, spec: &JobSpec) {
        let used = self.machine_use.entry(a.machine.clone()).or_default();
        *used = used.plus(size, 1.0);
        let tasks = self.on_machine.entry(a.machine.clone()).or_default().entry(job.clone()).or_default();
        let first = tasks.is_empty();
        tasks.push(a.task);
        if first && !self.machines.contains_key(&a.machine) {
            self.orphaned.insert(a.machine.clone());
        }
        if first {
            self.note_image(&a.machine, &spec.image, spec.image_gb);
        }
        self.use_changes.insert(a.machine.clone());
        self.touched.insert(a.machine.clone());
    }

    fn free(&mut self, job: &Name, a: &Assignment, size: Amount) {
        if let Some(used) = self.machine_use.get_mut(&a.machine) {
            *used = used.plus(size, -1.0);
        }
        if let Some(jobs) = self.on_machine.get_mut(&a.machine) {
            if let Some(tasks) = jobs.get_mut(job) {
                tasks.retain(|t| *t != a.task);
                if tasks.is_empty() {
                    jobs.remove(job);
                }
            }
            if jobs.is_empty() {
                self.on_machine.remove(&a.machine);
                self.orphaned.remove(&a.machine);
                self.machine_use.remove(&a.machine);
            }
        }
        self.use_changes.insert(a.machine.clone());
        self.touched.insert(a.machine.clone());
    }

    /// The jobs that are not final, or still have something on a machine, in the order of
    /// their ids.
    pub fn open_jobs(&self) -> impl Iterator<Item = (&String, &JobRecord)> {
        self.open.iter().filter_map(|id| Some((id, self.jobs.get(id)?.value.as_ref())))
    }

    /// The machines on which something has changed since the last call; None
    /// if that may be any.
    pub fn take_touched(&mut self) -> Option<BTreeSet<Name>> {
        let all = std::mem::take(&mut self.all_touched);
        let touched = std::mem::take(&mut self.touched);
        (!all).then_some(touched)
    }

    /// The machines of which more or less is in use since the last call.
    pub fn take_use_changes(&mut self) -> BTreeSet<Name> {
        std::mem::take(&mut self.use_changes)
    }

    /// A number that stands for the set of machines, their owners and the types: another one
    /// after each change of these, also in another copy of the records.
    pub fn layout(&self) -> u64 {
        self.layout
    }

    /// A number that stands for the set of open jobs and their phases, like [`World::layout`].
    pub fn open_layout(&self) -> u64 {
        self.open_layout
    }

    fn new_layout(&mut self) {
        self.layout = LAYOUTS.fetch_add(1, Ordering::Relaxed);
    }

    fn new_open_layout(&mut self) {
        self.open_layout = LAYOUTS.fetch_add(1, Ordering::Relaxed);
    }

    fn find_owners(&mut self) {
        self.new_layout();
        self.all_touched = true;
        let Some(map) = self.map.as_ref().map(|m| &m.value) else {
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
        let room = self.types.get(&*record.value.machine_type).map_or(0.0, |t| t.cache_gb);
        let list = self.images.entry(machine.clone()).or_default();
        list.retain(|(i, _)| i != image);
        list.push_back((image.to_owned(), gb));
        let mut dropped = Vec::new();
        while list.len() > 1 && list.iter().map(|(_, g)| g).sum::<f64>() > room {
            dropped.extend(list.pop_front());
        }
        if !self.holders.get(image).is_some_and(|h| h.contains(machine)) {
            self.holders.entry(image.to_owned()).or_default().insert(machine.clone());
        }
        dropped.iter().for_each(|(i, _)| self.no_longer_holds(i, machine));
    }

    fn no_longer_holds(&mut self, image: &str, machine: &str) {
        if let Some(holders) = self.holders.get_mut(image) {
            holders.remove(machine);
            if holders.is_empty() {
                self.holders.remove(image);
            }
        }
    }

    /// The machines that have an image, most likely.
    pub fn holders(&self, image: &str) -> impl Iterator<Item = &Name> {
        self.holders.get(image).into_iter().flatten()
    }

    pub fn has_image(&self, machine: &str, image: &str) -> bool {
        self.images.get(machine).is_some_and(|l| l.iter().any(|(i, _)| i == image))
    }

    /// A record that cannot be read proves nothing: what was known of it stands.
    pub fn unread(&mut self, change: Change) {
        match change {
            Change::Job(id, _) => _ = self.unreadable.insert(id),
            Change::Drain(name, _) => _ = self.drains.unreadable.insert(name),
            _ => {}
        }
    }

    /// Applies one change and the version it happened at.
    pub fn apply(&mut self, change: Change, version: u64) {
        match change {
            Change::Job(id, record) => {
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
                let was_open = self.open.remove(&id);
                let (phase, needs) = match &record {
                    Some(r) => (Some(r.phase), r.needs.clone()),
                    None => (None, Vec::new()),
                };
                if let Some(value) = record {
                    if let Some(spec) = value.spec.as_ref().filter(|s| s.gpus > 0.0)
                        && value.submitted_ms >= self.gpu_spec_ms
                    {
                        self.gpu_spec = Some(spec.clone());
                        self.gpu_spec_ms = value.submitted_ms;
                    }
                    if value.phase == Phase::Active || !value.run.is_empty() {
                        self.open.insert(id.clone());
                    }
                    self.jobs.insert(id.clone(), Versioned { value, version });
                }
                if phase != before || was_open != self.open.contains(&id) {
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
            Change::Machine(id, Some(value)) => {
                let id: Name = id.into();
                if self.machines.get(&id).is_some_and(|m| m.version > version) {
                    return;
                }
                if self.gone_names.contains(&id) {
                    self.gone.insert(id, Versioned { value, version });
                    return;
                }
                if let Some(map) = self.map.as_ref().map(|m| &m.value)
                    && let Some(owner) = map.owner(&id, &value.zone)
                {
                    let since = self.owners.get(&id).filter(|o| o.0 == *owner).map_or(map.epoch, |o| o.1);
                    self.owners.insert(id.clone(), (owner.clone(), since));
                }
                self.touched.insert(id.clone());
                self.orphaned.remove(&id);
                self.new_layout();
                self.machines.insert(id, Versioned { value, version });
            }
            Change::Machine(id, None) => {
                if self.machines.get(id.as_str()).is_some_and(|m| m.version > version) {
                    return;
                }
                self.gone.remove(id.as_str());
                self.drop_machine(&id);
            }
            Change::Team(id, Some(value)) => {
                if self.teams.get(&id).is_some_and(|t| t.version > version) {
                    return;
                }
                self.teams.insert(id, Versioned { value, version });
            }
            Change::Team(id, None) => {
                self.teams.remove(&id);
            }
            Change::Member(id, Some(value)) => {
                self.members.insert(id, Versioned { value, version });
            }
            Change::Member(id, None) => {
                self.members.remove(&id);
            }
            Change::Leader(l) => self.leader = l.map(|value| Versioned { value, version }),
            Change::Map(m) => {
                self.map = m.map(|value| Versioned { value, version });
                self.find_owners();
            }
            Change::Types(t) => {
                self.types =
                    t.map(|t| t.types.into_iter().map(|t| (t.name.clone(), t)).collect()).unwrap_or_default();
                self.types_version = version;
                self.new_layout();
            }
            Change::Fleet(f) => {
                if self.fleet.as_ref().is_some_and(|f| f.version > version) {
                    return;
                }
                self.gone_names = f.iter().flat_map(|f| f.gone.iter().flatten()).cloned().collect();
                // The record names them again with each of its changes: only those count that
                // were still there.
                let known: Vec<Name> =
                    self.gone_names.iter().filter(|id| self.machines.contains_key(*id)).cloned().collect();
                for id in known {
                    if let Some(record) = self.drop_machine(&id) {
                        self.gone.insert(id, record);
                    }
                }
                self.fleet = f.map(|value| Versioned { value, version });
            }
            Change::Upgraded(name, Some(schema)) => {
                self.upgraded.insert(name, schema);
            }
            Change::Drain(name, record) => self.drains.apply_drain(name, record, version),
            Change::Cordon(id, record) => {
                if self.drains.apply_cordon(id, record, version) {
                    self.new_layout();
                }
            }
            Change::CordonFence(record) => {
                self.drains.fence = if record.is_some() { version } else { 0 };
                self.drains.generation = record.map_or(0, |f| f.generation);
            }
            Change::Disruptions(team, record) => self.drains.apply_disruptions(team, record, version),
            Change::Upgraded(_, None) | Change::Other => {}
        }
    }

    fn drop_machine(&mut self, id: &str) -> Option<Versioned<MachineRecord>> {
        self.new_layout();
        self.owners.remove(id);
        for (image, _) in self.images.remove(id).into_iter().flatten() {
            self.no_longer_holds(&image, id);
        }
        self.touched.insert(id.into());
        if self.on_machine.contains_key(id) {
            self.orphaned.insert(id.into());
        }
        self.machines.remove(id)
    }

    /// The assignments on a machine, with their jobs.
    pub fn assignments<'a>(
        &'a self,
        machine: &str,
    ) -> impl Iterator<Item = (&'a str, &'a JobRecord, &'a Assignment)> {
        self.on_machine
            .get(machine)
            .into_iter()
            .flatten()
            .filter_map(|(id, tasks)| Some((self.jobs.get_key_value(&**id)?, tasks)))
            .flat_map(move |((id, job), tasks)| {
                let run = &job.value.run;
                let find = |t: &u32| run.binary_search_by_key(t, |a| a.task).ok().map(|i| &run[i]);
                tasks.iter().filter_map(find).map(move |a| (id.as_str(), job.value.as_ref(), a))
            })
    }

    pub fn map_record(&self) -> Option<&MapRecord> {
        self.map.as_ref().map(|m| &m.value)
    }

    /// All machines that have an owner, in the order of their names.
    pub fn owned_machines(&self) -> impl Iterator<Item = (&Name, &Versioned<MachineRecord>, &Member)> {
        let mut owners = InOrder::new(&self.owners);
        self.machines.iter().filter_map(move |(id, m)| Some((id, m, &owners.get(id)?.0)))
    }

    pub fn owner_of(&self, machine: &str) -> Option<&Member> {
        self.owners.get(machine).map(|o| &o.0)
    }

    /// The epoch since which a machine's owner has been that. Several maps may become known
    /// at a time, and who had the machine between them may have acted on it.
    pub fn owned_since(&self, machine: &str) -> u64 {
        self.owners.get(machine).map_or(0, |o| o.1)
    }

    /// The machines that a controller owns by the map.
    pub fn owned_by<'a>(&'a self, member: &'a Member) -> impl Iterator<Item = &'a Name> {
        self.owners.iter().filter(move |(_, o)| o.0 == *member).map(|(id, _)| id)
    }

    /// The name of the controller that places this job's tasks.
    pub fn placer_of<'a>(&'a self, job: &'a JobRecord) -> Option<&'a str> {
        let live = |n: &str| self.map_record().is_some_and(|m| m.live.iter().any(|l| l.name == n));
        match &job.part {
            Some(part) if live(part) => Some(part),
            _ => self.leader.as_ref().map(|l| l.value.name.as_str()),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/world.rs"]
mod tests;
