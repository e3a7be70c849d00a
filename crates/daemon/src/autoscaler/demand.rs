//! The demand for capacity: waiting tasks within their team's quota, and tasks that are about to
//! lose their machines.

use std::time::{Duration, Instant};

use sched::autoscaling::Demand;
use sched::hash::{HashMap, HashSet};
use sched::placement;
use sched::records::{Assignment, JobRecord, Name};
use sched::replica::Resources;
use wire::{JobKind, JobSpec, MachineType};

use super::owner_reachability::OwnerReachability;
use crate::controller::Controller;
use crate::state::ControllerState;

/// Minimum age of a job before machines are requested for it; capacity that becomes free may
/// suffice until then.
const MIN_WAIT_BEFORE_SCALE_OUT: Duration = Duration::from_millis(300);

/// A job and its demand.
pub struct JobDemand<'a> {
    /// The job.
    pub job: &'a JobRecord,
    /// The capacity that it needs.
    pub demand: Demand<'a>,
    /// Whether its starts keep failing, so that the demand is for one retry only.
    pub is_retry: bool,
}

/// A demand with no tasks on machines so far, no unsuitable machine types and no avoided machines.
pub fn demand_for(spec: &JobSpec, tasks: u32) -> Demand<'_> {
    Demand {
        spec,
        tasks,
        tasks_by_zone: HashMap::default(),
        unsuitable_types: Vec::new(),
        avoided_machines: Vec::new(),
    }
}

/// The machine types that fetch a gang's image too slowly; empty if all types do that the gang may use.
pub fn unsuitable_types(controller: &Controller, state: &ControllerState, spec: &JobSpec) -> Vec<Name> {
    let max_wait_s = controller.settings.facts.workers.gang_wait_s;
    let types = &state.records.replica.machine_types;
    let may_use_gpu_machines = placement::may_use_gpu_machines(spec, types);
    let is_allowed = |machine_type: &&MachineType| {
        Resources::of_task(spec).fits(Resources::of_type(machine_type))
            && spec.types.as_ref().is_none_or(|types| types.contains(&machine_type.name))
            && (may_use_gpu_machines || machine_type.gpus == 0.0)
    };
    let types = types.values();
    let (slow, fast): (Vec<_>, Vec<_>) = types
        .filter(is_allowed)
        .partition(|machine_type| placement::image_fetch_too_slow(spec, machine_type, max_wait_s));
    if fast.is_empty() {
        return Vec::new();
    }
    slow.iter().map(|machine_type| machine_type.name.as_str().into()).collect()
}

/// The demands of jobs that wait for capacity or will soon, in no particular order.
pub fn job_demands<'a>(
    controller: &Controller,
    state: &'a ControllerState,
    now: Instant,
    now_ms: u64,
) -> Vec<JobDemand<'a>> {
    let mut leaving = machines_likely_lost(controller, state, now);
    // Tasks on drained machines get their new capacity before they are stopped.
    leaving.extend(state.drains.machines_awaiting_capacity.iter().cloned());
    let mut collector =
        DemandCollector { controller, state, now_ms, leaving, free_quotas: HashMap::default() };
    let jobs = state.records.replica.open_jobs();
    jobs.filter_map(|(_, job)| collector.demand_of(job)).collect()
}

/// The number of tasks that show whether the starts of a job still fail: one, but all of a gang,
/// which starts as a whole.
fn tasks_of_retry(spec: &JobSpec) -> u32 {
    match spec.kind {
        JobKind::Array | JobKind::Service => 1,
        JobKind::Gang => spec.tasks,
    }
}

/// Machines with tasks that have been silent for longer than placement tolerates, without those
/// whose owner is itself isolated.
fn machines_likely_lost(controller: &Controller, state: &ControllerState, now: Instant) -> HashSet<Name> {
    let limit = controller.heartbeat_interval() * 5 / 2;
    // An owner that gets heartbeats from hardly any of its machines is itself isolated.
    let mut owners: HashMap<u64, OwnerReachability> = HashMap::default();
    let mut silent: Vec<(&Name, u64)> = Vec::new();
    for view in state.machine_views(&controller.identity, now) {
        let is_silent = view.health.is_some_and(|health| health.silent > limit);
        owners.entry(view.owner.incarnation).or_default().add_machine(is_silent);
        if is_silent && view.used.is_some() {
            silent.push((view.id, view.owner.incarnation));
        }
    }
    let is_isolated =
        |owner: &u64| owners.get(owner).is_some_and(|reachability| reachability.nearly_all_silent());
    silent.into_iter().filter(|(_, owner)| !is_isolated(owner)).map(|(id, _)| id.clone()).collect()
}

/// Collects the demands of jobs within their teams' quotas.
struct DemandCollector<'a, 'c> {
    controller: &'c Controller,
    state: &'a ControllerState,
    now_ms: u64,
    /// Machines whose tasks need capacity elsewhere.
    leaving: HashSet<Name>,
    /// The unused part of each team's maximum quota.
    free_quotas: HashMap<&'a str, Resources>,
}

impl<'a> DemandCollector<'a, '_> {
    /// The demand of a job, if any. Its waiting tasks are charged to the team's quota.
    fn demand_of(&mut self, job: &'a JobRecord) -> Option<JobDemand<'a>> {
        let spec = job.spec.as_deref()?;
        let tasks_to_replace = self.tasks_to_replace(job, spec);
        let is_retry = job.keeps_failing(self.now_ms);
        let pending = placement::pending_task_count(job);
        let waiting = if is_retry { pending.min(tasks_of_retry(spec)) } else { pending };
        let waited_ms = self.now_ms.saturating_sub(job.submitted_ms);
        if waiting + tasks_to_replace == 0 || waited_ms < MIN_WAIT_BEFORE_SCALE_OUT.as_millis() as u64 {
            return None;
        }
        let admitted = if self.state.scheduling.shortfalls.contains(&spec.id) {
            self.admit_without_charge(spec, waiting)?
        } else {
            self.admit(spec, waiting)?
        };
        // Tasks to replace already count towards their team's quota.
        let tasks = admitted + tasks_to_replace;
        if tasks == 0 {
            return None;
        }
        let tasks_by_zone = self.staying_tasks_by_zone(job);
        let unsuitable_types = unsuitable_types(self.controller, self.state, spec);
        let avoided_machines = job.avoided_machines_at(self.now_ms).collect();
        let demand = Demand { spec, tasks, tasks_by_zone, unsuitable_types, avoided_machines };
        Some(JobDemand { job, demand, is_retry })
    }

    /// How many of a job's tasks get capacity elsewhere before they lose their machines: service
    /// replicas on machines that are most likely lost, and tasks that a drain moves.
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

    /// How many tasks of an array or a gang a drain would move if there were capacity for them. A
    /// gang is moved as a whole.
    fn tasks_to_move(&self, job: &JobRecord, spec: &JobSpec) -> u32 {
        let drained = &self.state.drains.machines_awaiting_capacity;
        let is_drained = |a: &&Assignment| drained.contains(&a.machine) && job.should_run(a);
        let count = job.assignments.iter().filter(is_drained).count() as u32;
        if spec.kind == JobKind::Gang && count > 0 { spec.tasks } else { count }
    }

    /// Charges a job's waiting tasks to its team's quota and returns how many of them fit; `None`
    /// if the team is unknown.
    fn admit(&mut self, spec: &'a JobSpec, waiting: u32) -> Option<u32> {
        let team = self.controller.team(&spec.team)?;
        let team_usage = &self.state.records.replica.team_usage;
        let free_quota = self.free_quotas.entry(&spec.team).or_insert_with(|| {
            let used = team_usage.get(&spec.team).copied().unwrap_or_default();
            team.limit().plus_scaled(used.counted_in_quota(), -1.0)
        });
        let size = Resources::of_task(spec).counted_in_quota();
        let admitted = waiting.min(size.count_fitting_in(*free_quota));
        *free_quota = free_quota.plus_scaled(size, -f64::from(admitted));
        Some(admitted)
    }

    /// Like [`Self::admit`], for a job that the cloud has no more machines for: other jobs may use the
    /// quota meanwhile. Arrays that do so yield to the job once there is capacity for it, so their usage
    /// is not counted.
    fn admit_without_charge(&self, spec: &JobSpec, waiting: u32) -> Option<u32> {
        let team = self.controller.team(&spec.team)?;
        let mut free_quota = team.limit();
        for (_, job) in self.state.records.replica.open_jobs() {
            let Some(other) = job.spec.as_deref() else { continue };
            if other.team == spec.team && other.kind != JobKind::Array {
                let size = Resources::of_task(other).counted_in_quota();
                free_quota = free_quota.plus_scaled(size, -(job.assignments.len() as f64));
            }
        }
        Some(waiting.min(Resources::of_task(spec).counted_in_quota().count_fitting_in(free_quota)))
    }

    /// How many of a job's tasks stay in each zone.
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
