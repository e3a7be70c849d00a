//! What the records say of drains: their machines, what is on these, and how the services
//! are whose replicas are there.

use std::collections::{BTreeMap, BTreeSet};

use sched::drain_records::Disruption;
use sched::drains::Drains;
use sched::hash::{HashMap, HashSet};
use sched::records::{Assignment, JobRecord, Name, Phase};
use sched::replica::Replica;
use wire::JobKind;

use crate::budget::{Budgets, Ledger, ServiceHealth, UnitId};
use crate::step::{Drain, Machine, Unit, Work};
use crate::waves;

/// The tasks that machines' owners see running, with their attempts.
pub trait Running {
    /// Whether this attempt of a task is seen running.
    fn is_running(&self, job: &str, task: u32, attempt: u64) -> bool;
}

/// What is recorded on a machine is taken for running: all that the rescheduler knows, which
/// looks at services only whose replicas all have a place.
pub struct ByRecords;

impl Running for ByRecords {
    fn is_running(&self, _job: &str, _task: u32, _attempt: u64) -> bool {
        true
    }
}

fn kind_of(job: &JobRecord) -> Option<JobKind> {
    job.spec.as_ref().map(|s| s.kind)
}

fn unit(id: &str, job: &JobRecord, assignment: &Assignment) -> Option<Unit> {
    let spec = job.spec.as_deref()?;
    let work = match spec.kind {
        JobKind::Service => Work::Replica,
        JobKind::Array | JobKind::Gang if spec.checkpoint_interval_s > 0.0 => Work::Saving,
        JobKind::Array | JobKind::Gang => Work::Unsaved,
    };
    let task = if spec.kind == JobKind::Gang { 0 } else { assignment.task };
    let id = UnitId { job: id.into(), task };
    Some(Unit { id, team: spec.team.clone(), work, stopping: !job.should_run(assignment) })
}

/// What is on a machine, each gang once.
pub fn units_on(world: &Replica, machine: &str) -> Vec<Unit> {
    let mut units: Vec<Unit> = Vec::new();
    for (id, job, assignment) in world.assignments(machine) {
        let Some(unit) = unit(id, job, assignment) else { continue };
        match units.iter_mut().find(|u| u.id == unit.id) {
            Some(known) => known.stopping |= unit.stopping,
            None => units.push(unit),
        }
    }
    units
}

/// The machines of a drain that are still there, in the order of their names.
pub fn machines_left(world: &Replica, drain: &str) -> Vec<Name> {
    let there = |m: &&Name| world.machines.contains_key(*m);
    let cordons = world.drains.cordons_of(drain);
    cordons.flat_map(|(_, c)| c.value.remaining()).filter(there).cloned().collect()
}

/// Orders of drains' machines, by the drains' names.
pub type Orders = HashMap<String, Vec<Name>>;

/// The drains that are active, with their machines in the order in which they should be
/// emptied: that which is given for a drain, or the greedy one.
pub fn active_drains(world: &Replica, budgets: &Budgets, orders: &Orders) -> Vec<Drain> {
    let active = world.drains.records.iter().filter(|(_, d)| d.value.is_active());
    // What is gone is written down first.
    let is_noted =
        |name: &str| world.drains.cordons_of(name).all(|(_, c)| c.value.remaining().next().is_none());
    let drains = active.filter_map(|(name, record)| {
        let machines = machines_left(world, name).into_iter();
        let mut machines: Vec<Machine> =
            machines.map(|name| Machine { units: units_on(world, &name), name }).collect();
        match orders.get(name) {
            Some(order) => {
                let places: HashMap<&Name, usize> = order.iter().enumerate().map(|(i, m)| (m, i)).collect();
                machines.sort_by_key(|m| places.get(&m.name).copied().unwrap_or(usize::MAX));
            }
            None => {
                let order = waves::greedy(&waves::problem(world, &machines, budgets));
                machines = order.into_iter().map(|i| machines[i].clone()).collect();
            }
        }
        let is_known = !machines.is_empty() || is_noted(name);
        is_known.then(|| Drain { name: name.clone(), record: record.value.clone(), machines })
    });
    drains.collect()
}

/// The services that the budgets of these units depend on: their own, and all of teams that
/// have a budget of their own.
pub fn services_concerned<'w>(
    world: &'w Replica,
    drains: &[Drain],
    budgets: &Budgets,
) -> Vec<(&'w String, &'w JobRecord)> {
    let units = drains.iter().flat_map(|d| &d.machines).flat_map(|m| &m.units);
    let jobs: HashSet<&str> = units.clone().map(|u| &*u.id.job).collect();
    let teams: HashSet<&str> =
        units.map(|u| u.team.as_str()).filter(|t| budgets.teams.contains_key(*t)).collect();
    let concerned = |(id, job): &(&String, &JobRecord)| {
        let Some(spec) = job.spec.as_deref() else { return false };
        let is_service = spec.kind == JobKind::Service && job.phase == Phase::Active;
        is_service && (jobs.contains(id.as_str()) || teams.contains(spec.team.as_str()))
    };
    world.open_jobs().filter(concerned).collect()
}

/// The jobs whose running tasks have to be known for a step: the services concerned, and all
/// of which something is down by choice.
pub fn jobs_to_ask(world: &Replica, drains: &[Drain], budgets: &Budgets) -> BTreeSet<String> {
    let services = services_concerned(world, drains, budgets).into_iter().map(|(id, _)| id.clone());
    let open = all_open(&world.drains).map(|(_, d)| d.job.to_string());
    services.chain(open.filter(|id| world.open_job_ids.contains(id))).collect()
}

/// How a service is.
pub fn health(id: &str, job: &JobRecord, running: &impl Running) -> Option<ServiceHealth> {
    let spec = job.spec.as_deref().filter(|s| s.kind == JobKind::Service)?;
    let is_up = |a: &&Assignment| job.should_run(a) && running.is_running(id, a.task, a.attempt);
    Some(ServiceHealth {
        job: id.into(),
        team: spec.team.clone(),
        replicas: spec.tasks,
        up: job.assignments.iter().filter(is_up).map(|a| a.task).collect(),
        // The first end of a replica raises the attempt.
        starting: job.attempt <= FIRST_ATTEMPT,
    })
}

/// The attempt of a service's replicas none of which has ended yet.
const FIRST_ATTEMPT: u64 = 1;

/// All that is down by choice, with the team's id.
pub fn all_open(drains: &Drains) -> impl Iterator<Item = (&str, &Disruption)> {
    drains.disruptions.iter().flat_map(|(team, d)| d.value.open.iter().map(move |o| (team.as_str(), o)))
}

/// The ledger of a step: what is down of these services, and all that is down by choice.
/// `team_of`: the name of the team that an id stands for.
pub fn ledger<'b>(
    world: &Replica,
    services: &[(&String, &JobRecord)],
    budgets: &'b Budgets,
    running: &impl Running,
    team_of: impl Fn(&str) -> String,
    capacity: usize,
) -> Ledger<'b> {
    let health = services.iter().filter_map(|(id, job)| health(id, job, running));
    let open: Vec<(String, &Disruption)> =
        all_open(&world.drains).map(|(team, d)| (team_of(team), d)).collect();
    Ledger::new(budgets, health, open.iter().map(|(team, d)| (team.as_str(), *d)), capacity)
}

/// Whether what was stopped is over with: its replacement runs, or none will come.
pub fn is_settled(world: &Replica, disruption: &Disruption, running: &impl Running) -> bool {
    let Some(job) = world.jobs.get(&*disruption.job).map(|j| &j.value) else { return true };
    if job.phase != Phase::Active {
        return true;
    }
    let gang = kind_of(job) == Some(JobKind::Gang);
    if !gang && job.done.contains(disruption.task) {
        return true;
    }
    let replaced = |a: &&Assignment| {
        (gang || a.task == disruption.task)
            && a.attempt > disruption.attempt
            && running.is_running(&disruption.job, a.task, a.attempt)
    };
    job.assignments.iter().any(|a| replaced(&a))
}

/// The attempt of a unit that is on a machine now: the highest of a gang's tasks.
pub fn attempt_of(job: &JobRecord, unit: &UnitId) -> Option<u64> {
    let gang = kind_of(job) == Some(JobKind::Gang);
    job.assignments.iter().filter(|a| gang || a.task == unit.task).map(|a| a.attempt).max()
}

/// What is running by the words of the machines' owners.
#[derive(Debug, Clone, Default)]
pub struct ObservedTasks(HashMap<String, BTreeMap<u32, u64>>);

impl ObservedTasks {
    /// Notes that an attempt of a task is seen running.
    pub fn note(&mut self, job: &str, task: u32, attempt: u64) {
        self.0.entry(job.to_owned()).or_default().insert(task, attempt);
    }

    /// Adds what another owner sees.
    pub fn extend(&mut self, other: Self) {
        for (job, tasks) in other.0 {
            self.0.entry(job).or_default().extend(tasks);
        }
    }
}

impl Running for ObservedTasks {
    fn is_running(&self, job: &str, task: u32, attempt: u64) -> bool {
        self.0.get(job).and_then(|tasks| tasks.get(&task)) == Some(&attempt)
    }
}

#[cfg(test)]
#[path = "../tests/unit/view.rs"]
mod tests;
