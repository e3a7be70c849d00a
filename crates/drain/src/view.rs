//! Reads the input of drain decisions from the records: the machines of each drain, the units on
//! them, and the health of the services whose replicas run there.

use std::collections::{BTreeMap, BTreeSet};

use sched::drain_records::Disruption;
use sched::drains::Drains;
use sched::hash::{HashMap, HashSet};
use sched::records::{Assignment, JobRecord, Name, Phase};
use sched::replica::Replica;
use wire::JobKind;

use crate::budget::{Budgets, Ledger, ServiceHealth, UnitId};
use crate::step::{Drain, Machine, Unit, WorkKind};
use crate::waves;

/// Tells which attempts of tasks run.
pub trait RunningTaskLookup {
    /// Whether this attempt of a task is known to run.
    fn is_running(&self, job: &str, task: u32, attempt: u64) -> bool;
}

/// Assumes that every assigned task runs. The rescheduler has no other information; it only
/// considers services whose replicas are all assigned to machines.
pub struct AssumeRunning;

impl RunningTaskLookup for AssumeRunning {
    fn is_running(&self, _job: &str, _task: u32, _attempt: u64) -> bool {
        true
    }
}

fn kind_of(job: &JobRecord) -> Option<JobKind> {
    job.spec.as_ref().map(|s| s.kind)
}

fn unit_of(id: &str, job: &JobRecord, assignment: &Assignment) -> Option<Unit> {
    let spec = job.spec.as_deref()?;
    let work = match spec.kind {
        JobKind::Service => WorkKind::Replica,
        JobKind::Array | JobKind::Gang if spec.checkpoint_interval_s > 0.0 => WorkKind::Checkpointing,
        JobKind::Array | JobKind::Gang => WorkKind::Unsaved,
    };
    let task = if spec.kind == JobKind::Gang { 0 } else { assignment.task };
    let id = UnitId { job: id.into(), task };
    Some(Unit { id, team: spec.team.clone(), work, stopping: !job.should_run(assignment) })
}

/// The units on a machine. A gang is one unit, however many of its tasks are on the machine.
pub fn units_on(replica: &Replica, machine: &str) -> Vec<Unit> {
    let mut units: Vec<Unit> = Vec::new();
    for (id, job, assignment) in replica.assignments(machine) {
        let Some(unit) = unit_of(id, job, assignment) else { continue };
        match units.iter_mut().find(|u| u.id == unit.id) {
            Some(known) => known.stopping |= unit.stopping,
            None => units.push(unit),
        }
    }
    units
}

/// The machines of a drain that still exist, in the order of its cordons, which is
/// that of the names.
pub fn remaining_machines(replica: &Replica, drain: &str) -> Vec<Name> {
    let exists = |m: &&Name| replica.machines.contains_key(*m);
    let cordons = replica.drains.cordons_of(drain);
    cordons.flat_map(|(_, c)| c.value.remaining()).filter(exists).cloned().collect()
}

/// The planned order of each drain's machines, by drain name.
pub type Orders = HashMap<String, Vec<Name>>;

/// The active drains, sorted by name, with their machines in the order in which they should be
/// emptied: the planned order of the drain if there is one, else the greedy order.
pub fn active_drains(replica: &Replica, budgets: &Budgets, orders: &Orders) -> Vec<Drain> {
    let active = replica.drains.records.iter().filter(|(_, d)| d.value.is_active());
    // A drain without machines is passed on, and thereby finished, only once all its machines are
    // recorded as gone. Otherwise a machine that vanished last would be reported as kept.
    let all_recorded_gone =
        |name: &str| replica.drains.cordons_of(name).all(|(_, c)| c.value.remaining().next().is_none());
    let drains = active.filter_map(|(name, record)| {
        let machines = remaining_machines(replica, name).into_iter();
        let mut machines: Vec<Machine> =
            machines.map(|name| Machine { units: units_on(replica, &name), name }).collect();
        match orders.get(name) {
            Some(order) => {
                let positions: HashMap<&Name, usize> =
                    order.iter().enumerate().map(|(i, m)| (m, i)).collect();
                machines.sort_by_key(|m| positions.get(&m.name).copied().unwrap_or(usize::MAX));
            }
            None => {
                let order = waves::greedy(&waves::problem(replica, &machines, budgets));
                machines = order.into_iter().map(|i| machines[i].clone()).collect();
            }
        }
        let is_consistent = !machines.is_empty() || all_recorded_gone(name);
        is_consistent.then(|| Drain { name: name.clone(), record: record.value.clone(), machines })
    });
    drains.collect()
}

/// The services whose health is needed to check the budgets for these drains: those with units
/// on the machines, and all services of teams that have a budget and units there.
pub fn affected_services<'r>(
    replica: &'r Replica,
    drains: &[Drain],
    budgets: &Budgets,
) -> Vec<(&'r String, &'r JobRecord)> {
    let units = drains.iter().flat_map(|d| &d.machines).flat_map(|m| &m.units);
    let jobs: HashSet<&str> = units.clone().map(|u| &*u.id.job).collect();
    let teams: HashSet<&str> =
        units.map(|u| u.team.as_str()).filter(|t| budgets.teams.contains_key(*t)).collect();
    let is_affected = |(id, job): &(&String, &JobRecord)| {
        let Some(spec) = job.spec.as_deref() else { return false };
        let is_service = spec.kind == JobKind::Service && job.phase == Phase::Active;
        is_service && (jobs.contains(id.as_str()) || teams.contains(spec.team.as_str()))
    };
    replica.open_jobs().filter(is_affected).collect()
}

/// The jobs whose running tasks have to be observed for a step: the affected services, and all
/// open jobs with open disruptions.
pub fn jobs_to_observe(replica: &Replica, drains: &[Drain], budgets: &Budgets) -> BTreeSet<String> {
    let services = affected_services(replica, drains, budgets).into_iter().map(|(id, _)| id.clone());
    let open = open_disruptions_by_team(&replica.drains).map(|(_, d)| d.job.to_string());
    services.chain(open.filter(|id| replica.open_job_ids.contains(id))).collect()
}

/// The health of a service; None if the job is not one.
pub fn service_health(id: &str, job: &JobRecord, running: &impl RunningTaskLookup) -> Option<ServiceHealth> {
    let spec = job.spec.as_deref().filter(|s| s.kind == JobKind::Service)?;
    let is_up = |a: &&Assignment| job.should_run(a) && running.is_running(id, a.task, a.attempt);
    Some(ServiceHealth {
        job: id.into(),
        team: spec.team.clone(),
        replicas: spec.tasks,
        up: job.assignments.iter().filter(is_up).map(|a| a.task).collect(),
        // The attempt is raised when a replica ends for the first time.
        starting: job.attempt <= FIRST_ATTEMPT,
    })
}

/// The attempt of a service none of whose replicas has ended yet.
const FIRST_ATTEMPT: u64 = 1;

/// All open disruptions, each with the id of its team.
pub fn open_disruptions_by_team(drains: &Drains) -> impl Iterator<Item = (&str, &Disruption)> {
    drains.disruptions.iter().flat_map(|(team, d)| d.value.open.iter().map(move |o| (team.as_str(), o)))
}

/// The ledger of a step: the replicas of these services that are down, and all open disruptions.
/// `team_of` maps a team's id to its name; `max_open` is the most open disruptions that a team's
/// record holds.
pub fn ledger<'b>(
    replica: &Replica,
    services: &[(&String, &JobRecord)],
    budgets: &'b Budgets,
    running: &impl RunningTaskLookup,
    team_of: impl Fn(&str) -> String,
    max_open: usize,
) -> Ledger<'b> {
    let health = services.iter().filter_map(|(id, job)| service_health(id, job, running));
    let open: Vec<(String, &Disruption)> =
        open_disruptions_by_team(&replica.drains).map(|(team, d)| (team_of(team), d)).collect();
    Ledger::new(budgets, health, open.iter().map(|(team, d)| (team.as_str(), *d)), max_open)
}

/// Whether a disruption can be closed: the replacement runs, or there will be none because the
/// job or the task is finished.
pub fn is_resolved(replica: &Replica, disruption: &Disruption, running: &impl RunningTaskLookup) -> bool {
    let Some(job) = replica.jobs.get(&*disruption.job).map(|j| &j.value) else { return true };
    if job.phase != Phase::Active {
        return true;
    }
    let is_gang = kind_of(job) == Some(JobKind::Gang);
    if !is_gang && job.done.contains(disruption.task) {
        return true;
    }
    let replaced = |a: &&Assignment| {
        (is_gang || a.task == disruption.task)
            && a.attempt > disruption.attempt
            && running.is_running(&disruption.job, a.task, a.attempt)
    };
    job.assignments.iter().any(|a| replaced(&a))
}

/// The current attempt of a unit that is assigned; of a gang, the highest of its tasks' attempts.
pub fn attempt_of(job: &JobRecord, unit: &UnitId) -> Option<u64> {
    let is_gang = kind_of(job) == Some(JobKind::Gang);
    job.assignments.iter().filter(|a| is_gang || a.task == unit.task).map(|a| a.attempt).max()
}

/// The tasks that run, as the controllers that own their machines observe them.
#[derive(Debug, Clone, Default)]
pub struct ObservedTasks(BTreeMap<String, BTreeMap<u32, u64>>);

impl ObservedTasks {
    /// Adds a running attempt of a task.
    pub fn note(&mut self, job: &str, task: u32, attempt: u64) {
        self.0.entry(job.to_owned()).or_default().insert(task, attempt);
    }

    /// Adds the tasks that another controller observes.
    pub fn extend(&mut self, other: Self) {
        for (job, tasks) in other.0 {
            self.0.entry(job).or_default().extend(tasks);
        }
    }
}

impl RunningTaskLookup for ObservedTasks {
    fn is_running(&self, job: &str, task: u32, attempt: u64) -> bool {
        self.0.get(job).and_then(|tasks| tasks.get(&task)) == Some(&attempt)
    }
}

#[cfg(test)]
#[path = "../tests/unit/view.rs"]
mod tests;
