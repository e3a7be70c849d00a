//! Quota that services and gangs claim against arrays of the same team.

use sched::hash::HashMap;
use sched::placement::{Inventory, pending_task_count};
use sched::records::JobRecord;
use sched::replica::{Replica, Resources};
use wire::{JobKind, JobSpec, Priority};

use crate::controller::Controller;
use crate::scheduler::SchedulingCycle;
use crate::state::CapacityShortfalls;

/// Team quota that a service or a gang waits for.
pub(super) struct QuotaClaim {
    /// The team's name.
    pub(super) team: String,
    /// Whether a gang claims it.
    pub(super) is_gang: bool,
    /// The job's priority.
    pub(super) priority: Priority,
    /// The resources that are claimed.
    pub(super) amount: Resources,
}

/// Counts a part of a team's quota as used.
pub(super) fn claim_quota(inventory: &mut Inventory, team: &str, amount: Resources) {
    add_team_usage(inventory, team, amount, 1.0);
}

/// Undoes [`claim_quota`].
pub(super) fn release_quota(inventory: &mut Inventory, team: &str, amount: Resources) {
    add_team_usage(inventory, team, amount, -1.0);
}

fn add_team_usage(inventory: &mut Inventory, team: &str, amount: Resources, factor: f64) {
    if amount != Resources::default() {
        let used = inventory.team_usage.entry(team.to_owned()).or_default();
        *used = used.plus_scaled(amount, factor);
    }
}

/// The team quota that pending services and gangs wait for. Arrays must not use it: their small
/// tasks would take it piece by piece for as long as the array runs.
///
/// A gang's claim does not apply to an array whose own deadline is pressing. No claim applies to an
/// array of higher priority: a job that the array has preempted would claim the freed capacity, be
/// placed there and be preempted again, without end. Claims are limited to the quota that replicas
/// of services leave: replicas run until their jobs end, so the claim of a gang that does not fit
/// beside them would keep arrays out of the remaining quota for good. For the same reason there is no
/// claim for tasks that the cloud has no machines for, until it has.
pub(super) fn quota_claims(
    controller: &Controller,
    replica: &Replica,
    cycle: &SchedulingCycle,
    queue: &[String],
    shortfalls: &CapacityShortfalls,
) -> Vec<QuotaClaim> {
    let is_array = |id: &String| {
        let spec = replica.jobs.get(id).and_then(|job| job.value.spec.as_ref());
        spec.is_some_and(|spec| spec.kind == JobKind::Array)
    };
    if !queue.iter().any(is_array) {
        return Vec::new();
    }
    let claimants: Vec<(&JobRecord, &JobSpec)> = replica
        .open_jobs()
        .filter_map(|(id, job)| {
            let job = cycle.jobs.get(id).map_or(job, |updated| updated);
            Some((job, job.spec.as_deref().filter(|spec| spec.kind != JobKind::Array)?))
        })
        .collect();
    let replica_usage_by_team = replica_usage(&claimants);
    claimants
        .iter()
        .filter_map(|(job, spec)| {
            let used = replica_usage_by_team.get(spec.team.as_str()).copied().unwrap_or_default();
            claim_for_job(controller, job, spec, used, shortfalls)
        })
        .collect()
}

/// Resources that running replicas of services use, by team.
fn replica_usage<'a>(jobs: &[(&JobRecord, &'a JobSpec)]) -> HashMap<&'a str, Resources> {
    let mut usage: HashMap<&str, Resources> = HashMap::default();
    for (job, spec) in jobs.iter().filter(|(_, spec)| spec.kind == JobKind::Service) {
        let running = job.assignments.iter().filter(|a| job.should_run(a)).count();
        let used = usage.entry(&spec.team).or_default();
        *used = used.plus_scaled(Resources::of_task(spec), running as f64);
    }
    usage
}

/// The claim of a service or gang, within the quota that the replicas of its team leave.
fn claim_for_job(
    controller: &Controller,
    job: &JobRecord,
    spec: &JobSpec,
    used_by_replicas: Resources,
    shortfalls: &CapacityShortfalls,
) -> Option<QuotaClaim> {
    let pending = shortfalls.attainable_tasks(&spec.id, pending_task_count(job));
    let team = controller.team(&spec.team).filter(|_| pending > 0)?;
    let is_gang = spec.kind == JobKind::Gang;
    let size = Resources::of_task(spec).counted_in_quota();
    let max_tasks =
        size.count_fitting_in(team.limit().plus_scaled(used_by_replicas.counted_in_quota(), -1.0));
    let tasks = if is_gang && pending > max_tasks { 0 } else { pending.min(max_tasks) };
    (tasks > 0).then(|| QuotaClaim {
        team: spec.team.clone(),
        is_gang,
        priority: job.priority().unwrap_or(spec.priority),
        amount: Resources::default().plus_scaled(size, f64::from(tasks)),
    })
}
