//! A copy of the records, with what is derived from them.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

use wire::{JobSpec, MachineType};

use crate::records::*;

/// What tasks take and machines have.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Amount {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

const SLACK: f64 = 1e-6;

impl Amount {
    pub fn of_task(spec: &JobSpec) -> Self {
        Self { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    pub fn of_type(t: &MachineType) -> Self {
        Self { cpus: t.cpus, gpus: t.gpus, memory_gb: t.memory_gb }
    }

    pub fn plus(self, o: Self, times: f64) -> Self {
        Self {
            cpus: self.cpus + o.cpus * times,
            gpus: self.gpus + o.gpus * times,
            memory_gb: self.memory_gb + o.memory_gb * times,
        }
    }

    pub fn fits(self, room: Self) -> bool {
        self.cpus <= room.cpus + SLACK
            && self.gpus <= room.gpus + SLACK
            && self.memory_gb <= room.memory_gb + SLACK
    }

    /// How many tasks of this size the room holds.
    pub fn times_in(self, room: Self) -> u32 {
        let one = |need: f64, have: f64| {
            if need <= 0.0 { f64::from(u32::MAX) } else { ((have + SLACK) / need).floor().max(0.0) }
        };
        let n =
            one(self.cpus, room.cpus).min(one(self.gpus, room.gpus)).min(one(self.memory_gb, room.memory_gb));
        n as u32
    }

    /// The share in use of the most-used resource.
    pub fn share_of(self, whole: Self) -> f64 {
        let one = |used: f64, all: f64| if all > 0.0 { used / all } else { 0.0 };
        one(self.cpus, whole.cpus).max(one(self.gpus, whole.gpus)).max(one(self.memory_gb, whole.memory_gb))
    }
}

/// A team's guarantee and limit. Memory is not limited.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    pub name: String,
    pub cpus: f64,
    pub cpus_max: f64,
    pub gpus: f64,
    pub gpus_max: f64,
}

impl Team {
    pub fn limit(&self) -> Amount {
        Amount { cpus: self.cpus_max, gpus: self.gpus_max, memory_gb: f64::INFINITY }
    }

    pub fn guarantee(&self) -> Amount {
        Amount { cpus: self.cpus, gpus: self.gpus, memory_gb: f64::INFINITY }
    }
}

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
    Other,
}

#[derive(Debug, Default)]
pub struct World {
    pub revision: u64,
    pub jobs: HashMap<String, Versioned<Box<JobRecord>>>,
    /// Jobs that are not final, or still have something on a machine.
    pub open: BTreeSet<String>,
    pub machines: BTreeMap<String, Versioned<MachineRecord>>,
    pub teams: HashMap<String, Versioned<TeamRecord>>,
    pub members: BTreeMap<String, Versioned<Member>>,
    pub leader: Option<Versioned<Member>>,
    pub map: Option<Versioned<MapRecord>>,
    pub types: HashMap<String, MachineType>,
    pub types_version: u64,
    pub fleet: Option<Versioned<FleetRecord>>,
    /// What each team's assignments take.
    pub team_use: HashMap<String, Amount>,
    pub machine_use: HashMap<String, Amount>,
    /// The jobs with something on a machine.
    pub on_machine: HashMap<String, HashSet<String>>,
    /// Images used on each machine, the latest last. A guess at its cache.
    pub images: HashMap<String, VecDeque<(String, f64)>>,
    /// The job that last asked for GPUs: what room on their machines is kept for.
    pub gpu_spec: Option<Box<JobSpec>>,
    /// When it was submitted, by the time of day.
    pub gpu_spec_ms: u64,
}

impl World {
    fn account(&mut self, id: &str, record: &JobRecord, sign: f64) {
        let Some(spec) = record.spec.as_deref() else { return };
        let size = Amount::of_task(spec);
        if !record.run.is_empty() {
            let used = self.team_use.entry(spec.team.clone()).or_default();
            *used = used.plus(size, sign * record.run.len() as f64);
        }
        for a in &record.run {
            let used = self.machine_use.entry(a.machine.clone()).or_default();
            *used = used.plus(size, sign);
            let jobs = self.on_machine.entry(a.machine.clone()).or_default();
            if sign > 0.0 {
                jobs.insert(id.to_owned());
            } else {
                jobs.remove(id);
            }
        }
        if sign > 0.0 {
            let machines: BTreeSet<&String> = record.run.iter().map(|a| &a.machine).collect();
            for m in machines {
                self.note_image(m, &spec.image, spec.image_gb);
            }
        } else {
            for a in &record.run {
                if self.on_machine.get(&a.machine).is_some_and(HashSet::is_empty) {
                    self.on_machine.remove(&a.machine);
                    self.machine_use.remove(&a.machine);
                }
            }
        }
    }

    fn note_image(&mut self, machine: &str, image: &str, gb: f64) {
        let Some(record) = self.machines.get(machine) else { return };
        let room = self.types.get(&record.value.machine_type).map_or(0.0, |t| t.cache_gb);
        let list = self.images.entry(machine.to_owned()).or_default();
        list.retain(|(i, _)| i != image);
        list.push_back((image.to_owned(), gb));
        while list.len() > 1 && list.iter().map(|(_, g)| g).sum::<f64>() > room {
            list.pop_front();
        }
    }

    pub fn has_image(&self, machine: &str, image: &str) -> bool {
        self.images.get(machine).is_some_and(|l| l.iter().any(|(i, _)| i == image))
    }

    /// Applies one change and the version it happened at.
    pub fn apply(&mut self, change: Change, version: u64) {
        match change {
            Change::Job(id, record) => {
                if let Some(old) = self.jobs.remove(&id) {
                    self.account(&id, &old.value, -1.0);
                    self.open.remove(&id);
                }
                if let Some(value) = record {
                    self.account(&id, &value, 1.0);
                    if let Some(spec) = value.spec.as_ref().filter(|s| s.gpus > 0.0)
                        && value.submitted_ms >= self.gpu_spec_ms
                    {
                        self.gpu_spec = Some(spec.clone());
                        self.gpu_spec_ms = value.submitted_ms;
                    }
                    if value.phase == Phase::Active || !value.run.is_empty() {
                        self.open.insert(id.clone());
                    }
                    self.jobs.insert(id, Versioned { value, version });
                }
            }
            Change::Machine(id, Some(value)) => {
                self.machines.insert(id, Versioned { value, version });
            }
            Change::Machine(id, None) => {
                self.machines.remove(&id);
                self.images.remove(&id);
            }
            Change::Team(id, Some(value)) => {
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
            Change::Map(m) => self.map = m.map(|value| Versioned { value, version }),
            Change::Types(t) => {
                self.types =
                    t.map(|t| t.types.into_iter().map(|t| (t.name.clone(), t)).collect()).unwrap_or_default();
                self.types_version = version;
            }
            Change::Fleet(f) => self.fleet = f.map(|value| Versioned { value, version }),
            Change::Other => {}
        }
    }

    /// The assignments on a machine, with their jobs.
    pub fn assignments<'a>(
        &'a self,
        machine: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a JobRecord, &'a Assignment)> {
        self.on_machine
            .get(machine)
            .into_iter()
            .flatten()
            .filter_map(|id| self.jobs.get_key_value(id))
            .flat_map(move |(id, job)| {
                let run = job.value.run.iter().filter(move |a| a.machine == machine);
                run.map(move |a| (id.as_str(), job.value.as_ref(), a))
            })
    }

    pub fn map_record(&self) -> Option<&MapRecord> {
        self.map.as_ref().map(|m| &m.value)
    }

    pub fn owner_of(&self, machine: &str) -> Option<&Member> {
        let record = self.machines.get(machine)?;
        self.map_record()?.owner(machine, &record.value.zone)
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
