//! The demand for capacity: tasks that wait within their team's quota, and tasks that are about to
//! lose their machines.

use std::time::{Duration, Instant};

use sched::autoscaling::Demand;
use sched::hash::{HashMap, HashSet};
use sched::placement;
use sched::records::{Assignment, JobRecord, Name};
use sched::replica::Resources;
use wire::{JobKind, JobSpec, MachineType};

use super::owner_contact::OwnerContact;
use crate::controller::Controller;
use crate::state::ControllerState;

/// Jobs whose tasks have failed to start so often get no new machines.
const MAX_FAILED_STARTS: u32 = 3;
/// How long a job waits for capacity that becomes free before machines are requested for it.
const MIN_WAIT: Duration = Duration::from_millis(300);

/// The demand of a job.
pub struct JobDemand<'a> {
    /// The job.
    pub job: &'a JobRecord,
    /// What it demands.
    pub demand: Demand<'a>,
}

/// A demand for tasks that may run anywhere.
pub fn demand_for(spec: &JobSpec, tasks: u32) -> Demand<'_> {
    Demand { spec, tasks, tasks_by_zone: HashMap::default(), unsuitable_types: Vec::new() }
}

/// The types that fetch a gang's image too slowly, unless all do.
pub fn unsuitable_types(controller: &Controller, state: &ControllerState, spec: &JobSpec) -> Vec<Name> {
    let max_wait_s = controller.settings.facts.workers.gang_wait_s;
    let is_allowed = |machine_type: &&MachineType| {
        Resources::of_task(spec).fits(Resources::of_type(machine_type))
            && spec.types.as_ref().is_none_or(|types| types.contains(&machine_type.name))
    };
    let types = state.records.replica.machine_types.values();
    let (slow, quick): (Vec<_>, Vec<_>) = types
        .filter(is_allowed)
        .partition(|machine_type| placement::image_fetch_too_slow(spec, machine_type, max_wait_s));
    if quick.is_empty() {
        return Vec::new();
    }
    slow.iter().map(|machine_type| machine_type.name.as_str().into()).collect()
}

/// The demands of the jobs that wait for capacity or will soon, in no particular order.
pub fn job_demands<'a>(
    controller: &Controller,
    state: &'a ControllerState,
    now: Instant,
    now_ms: u64,
) -> Vec<JobDemand<'a>> {
    let mut leaving = machines_about_to_be_lost(controller, state, now);
    // Tasks to be moved off drained machines get their new capacity before they are stopped.
    leaving.extend(state.drains.machines_awaiting_capacity.iter().cloned());
    let mut collector =
        DemandCollector { controller, state, now_ms, leaving, free_quotas: HashMap::default() };
    let jobs = state.records.replica.open_jobs();
    jobs.filter_map(|(_, job)| collector.demand_of(job)).collect()
}

/// Machines with tasks that have been silent for longer than placement tolerates.
fn machines_about_to_be_lost(
    controller: &Controller,
    state: &ControllerState,
    now: Instant,
) -> HashSet<Name> {
    let limit = controller.heartbeat_interval() * 5 / 2;
    // An owner that hears hardly any of its machines is itself isolated.
    let mut owners: HashMap<u64, OwnerContact> = HashMap::default();
    let mut silent: Vec<(&Name, u64)> = Vec::new();
    for view in state.machine_views(&controller.identity, now) {
        let is_silent = view.health.is_some_and(|health| health.silent > limit);
        owners.entry(view.owner.incarnation).or_default().count(is_silent);
        if is_silent && view.used.is_some() {
            silent.push((view.id, view.owner.incarnation));
        }
    }
    let is_isolated = |owner: &u64| owners.get(owner).is_some_and(|contact| contact.nearly_all_silent());
    silent.into_iter().filter(|(_, owner)| !is_isolated(owner)).map(|(id, _)| id.clone()).collect()
}

/// Collects the demands of jobs, as far as their teams' quotas go.
struct DemandCollector<'a, 'c> {
    controller: &'c Controller,
    state: &'a ControllerState,
    now_ms: u64,
    /// Machines whose tasks need capacity elsewhere.
    leaving: HashSet<Name>,
    /// What is left of each team's maximum quota.
    free_quotas: HashMap<&'a str, Resources>,
}

impl<'a> DemandCollector<'a, '_> {
    /// The demand of a job, if it has any. It is charged to the team's quota.
    fn demand_of(&mut self, job: &'a JobRecord) -> Option<JobDemand<'a>> {
        let spec = job.spec.as_deref()?;
        let replaced = self.tasks_to_replace(job, spec);
        let waiting = placement::pending_task_count(job);
        let waited_ms = self.now_ms.saturating_sub(job.submitted_ms);
        if waiting + replaced == 0
            || job.failed_starts >= MAX_FAILED_STARTS
            || waited_ms < MIN_WAIT.as_millis() as u64
        {
            return None;
        }
        let admitted = self.admit(spec, waiting)?;
        // Replaced tasks are within their team's quota already.
        let tasks = admitted + replaced;
        if tasks == 0 {
            return None;
        }
        let tasks_by_zone = self.staying_tasks_by_zone(job);
        let unsuitable_types = unsuitable_types(self.controller, self.state, spec);
        Some(JobDemand { job, demand: Demand { spec, tasks, tasks_by_zone, unsuitable_types } })
    }

    /// How many of a job's tasks get capacity elsewhere before they lose their machines: replicas
    /// on machines that are most likely lost, and what a drain moves.
    fn tasks_to_replace(&self, job: &JobRecord, spec: &JobSpec) -> u32 {
        let is_leaving = |a: &&Assignment| self.leaving.contains(&a.machine) && job.should_run(a);
        match spec.kind {
            JobKind::Service if !self.leaving.is_empty() => {
                job.assignments.iter().filter(is_leaving).count() as u32
            }
            _ if !self.state.drains.machines_awaiting_capacity.is_empty() => self.tasks_to_move(job, spec),
            _ => 0,
        }
    }

    /// How many tasks of an array or a gang a drain would move if there were capacity for them: a
    /// gang as a whole.
    fn tasks_to_move(&self, job: &JobRecord, spec: &JobSpec) -> u32 {
        let drained = &self.state.drains.machines_awaiting_capacity;
        let is_drained = |a: &&Assignment| drained.contains(&a.machine) && job.should_run(a);
        let count = job.assignments.iter().filter(is_drained).count() as u32;
        if spec.kind == JobKind::Gang && count > 0 { spec.tasks } else { count }
    }

    /// How many of a job's waiting tasks are within its team's quota, which they are charged to.
    /// `None` if the team is not known.
    fn admit(&mut self, spec: &'a JobSpec, waiting: u32) -> Option<u32> {
        let team = self.controller.team(&spec.team)?;
        let team_usage = &self.state.records.replica.team_usage;
        let free_quota = self.free_quotas.entry(&spec.team).or_insert_with(|| {
            let used = team_usage.get(&spec.team).copied().unwrap_or_default();
            team.limit().plus_scaled(used.without_memory(), -1.0)
        });
        let size = Resources::of_task(spec).without_memory();
        let admitted = waiting.min(size.count_fitting_in(*free_quota));
        *free_quota = free_quota.plus_scaled(size, -f64::from(admitted));
        Some(admitted)
    }

    /// How many of a job's tasks each zone keeps.
    fn staying_tasks_by_zone(&self, job: &JobRecord) -> HashMap<Name, u32> {
        let mut in_zone: HashMap<Name, u32> = HashMap::default();
        for assignment in job.assignments.iter().filter(|a| !self.leaving.contains(&a.machine)) {
            if let Some(machine) = self.state.records.replica.machines.get(&assignment.machine) {
                *in_zone.entry(machine.value.zone.clone()).or_default() += 1;
            }
        }
        in_zone
    }
}
