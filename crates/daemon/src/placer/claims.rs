//! Shares of teams' limits that services and gangs wait for, and arrays must leave.

use sched::hash::HashMap;
use sched::placement::{self, Inventory};
use sched::records::*;
use sched::replica::{Replica, Resources};
use wire::{JobKind, JobSpec, Priority};

use crate::controller::Controller;
use crate::scheduler::SchedulingCycle;

/// A share of its team's limit that a service or a gang waits for.
pub(super) struct Claim {
    pub(super) team: String,
    pub(super) gang: bool,
    pub(super) priority: Priority,
    pub(super) amount: Resources,
}

/// Counts a part of a team's limit as used, or gives it back.
pub(super) fn claim_share(inventory: &mut Inventory, team: &str, amount: Resources, sign: f64) {
    if amount != Resources::default() {
        let used = inventory.team_usage.entry(team.to_owned()).or_default();
        *used = used.plus_scaled(amount, sign);
    }
}

/// The shares of their teams' limits that services and gangs wait for. They are not for
/// arrays, whose small tasks would take them piece by piece, for as long as one of them
/// lasts.
///
/// A gang's claim ends for an array whose own deadline comes near. No claim holds
/// against work of a higher priority: what an array has stopped to make room for itself
/// would claim that room at once, be placed there and be stopped again, without end.
/// Nor is more claimed than arrays could ever leave: replicas end with their jobs only,
/// and a gang that does not fit beside them would keep arrays out of the rest for good.
pub(super) fn claims(
    controller: &Controller,
    world: &Replica,
    cycle: &SchedulingCycle,
    queue: &[String],
) -> Vec<Claim> {
    let is_array = |id: &String| {
        let spec = world.jobs.get(id).and_then(|j| j.value.spec.as_ref());
        spec.is_some_and(|s| s.kind == JobKind::Array)
    };
    if !queue.iter().any(is_array) {
        return Vec::new();
    }
    let open: Vec<(&JobRecord, &JobSpec)> = world
        .open_jobs()
        .filter_map(|(id, job)| {
            let job = cycle.jobs.get(id).map_or(job, |j| j);
            Some((job, job.spec.as_deref().filter(|s| s.kind != JobKind::Array)?))
        })
        .collect();
    let mut replicas: HashMap<&str, Resources> = HashMap::default();
    for (job, spec) in open.iter().filter(|(_, s)| s.kind == JobKind::Service) {
        let run = job.assignments.iter().filter(|a| job.should_run(a)).count();
        let used = replicas.entry(&spec.team).or_default();
        *used = used.plus_scaled(Resources::of_task(spec), run as f64);
    }
    let mut claims: Vec<Claim> = Vec::new();
    for (job, spec) in open {
        let waiting = placement::pending_task_count(job);
        let Some(team) = controller.team(&spec.team).filter(|_| waiting > 0) else { continue };
        let gang = spec.kind == JobKind::Gang;
        let size = Resources::of_task(spec).without_memory();
        let used = replicas.get(spec.team.as_str()).copied().unwrap_or_default();
        let most = size.count_fitting_in(team.limit().plus_scaled(used.without_memory(), -1.0));
        let claimed = if gang && waiting > most { 0 } else { waiting.min(most) };
        if claimed > 0 {
            claims.push(Claim {
                team: spec.team.clone(),
                gang,
                priority: job.priority().unwrap_or(spec.priority),
                amount: Resources::default().plus_scaled(size, f64::from(claimed)),
            });
        }
    }
    claims
}
