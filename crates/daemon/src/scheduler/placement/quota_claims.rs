//! Quota that services and gangs claim against arrays of the same team.

use sched::hash::HashMap;
use sched::placement::{Inventory, pending_task_count};
use sched::records::JobRecord;
use sched::replica::{Replica, Resources};
use wire::{JobKind, JobSpec, Priority};

use crate::controller::Controller;
use crate::scheduler::SchedulingCycle;

/// A part of its team's quota that a service or a gang waits for.
pub(super) struct QuotaClaim {
    /// The team's name.
    pub(super) team: String,
    /// Whether a gang claims it.
    pub(super) is_gang: bool,
    /// The job's priority.
    pub(super) priority: Priority,
    /// What is claimed.
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

/// The parts of their teams' quotas that services and gangs wait for. They are kept from arrays,
/// whose small tasks would take them piece by piece, for as long as one of them lasts.
///
/// A gang's claim does not hold against an array whose own deadline is pressing. No claim holds
/// against a job of higher priority: what an array has preempted would claim the capacity that
/// was freed, be placed there and be preempted again, without end. Nor is more claimed than
/// arrays could ever leave: replicas end with their jobs only, and a gang that does not fit
/// beside them would keep arrays out of the rest for good.
pub(super) fn quota_claims(
    controller: &Controller,
    replica: &Replica,
    cycle: &SchedulingCycle,
    queue: &[String],
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
    let replicas = usage_of_replicas(&claimants);
    claimants
        .iter()
        .filter_map(|(job, spec)| {
            let used = replicas.get(spec.team.as_str()).copied().unwrap_or_default();
            claim_of(controller, job, spec, used)
        })
        .collect()
}

/// What running replicas of services use, by team.
fn usage_of_replicas<'a>(jobs: &[(&JobRecord, &'a JobSpec)]) -> HashMap<&'a str, Resources> {
    let mut usage: HashMap<&str, Resources> = HashMap::default();
    for (job, spec) in jobs.iter().filter(|(_, spec)| spec.kind == JobKind::Service) {
        let running = job.assignments.iter().filter(|a| job.should_run(a)).count();
        let used = usage.entry(&spec.team).or_default();
        *used = used.plus_scaled(Resources::of_task(spec), running as f64);
    }
    usage
}

/// What a service or gang claims, beside what its team's replicas use.
fn claim_of(
    controller: &Controller,
    job: &JobRecord,
    spec: &JobSpec,
    used_by_replicas: Resources,
) -> Option<QuotaClaim> {
    let pending = pending_task_count(job);
    let team = controller.team(&spec.team).filter(|_| pending > 0)?;
    let is_gang = spec.kind == JobKind::Gang;
    let size = Resources::of_task(spec).without_memory();
    let max_tasks = size.count_fitting_in(team.limit().plus_scaled(used_by_replicas.without_memory(), -1.0));
    let tasks = if is_gang && pending > max_tasks { 0 } else { pending.min(max_tasks) };
    (tasks > 0).then(|| QuotaClaim {
        team: spec.team.clone(),
        is_gang,
        priority: job.priority().unwrap_or(spec.priority),
        amount: Resources::default().plus_scaled(size, f64::from(tasks)),
    })
}
