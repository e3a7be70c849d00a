//! Which jobs wait here, and in which order they are served.

use sched::hash::{HashMap, HashSet};
use sched::placement;
use sched::records::*;
use sched::replica::{Replica, Resources, Team};
use wire::JobSpec;

use crate::controller::Controller;
use crate::scheduler::SchedulingCycle;
use crate::state::ControllerState;

/// The open jobs that fit into their teams' guarantees along with the earlier unfinished
/// jobs of the same team. Kept until the open jobs are others: a job's tasks do not matter.
#[derive(Debug, Default)]
pub struct Guaranteed {
    /// Of which set of open jobs.
    open_layout: u64,
    pub(super) jobs: HashSet<String>,
}

impl Guaranteed {
    pub(super) fn refresh(&mut self, world: &Replica, teams: &[Team]) {
        if self.open_layout != world.open_jobs_generation() {
            self.open_layout = world.open_jobs_generation();
            self.jobs = guaranteed(world, teams);
        }
    }
}

pub(super) fn guaranteed(world: &Replica, teams: &[Team]) -> HashSet<String> {
    let mut by_age: Vec<(u64, &str, &JobSpec)> = Vec::new();
    for (id, job) in world.open_jobs().filter(|(_, job)| job.phase == Phase::Active) {
        by_age.extend(job.spec.as_deref().map(|spec| (job.submitted_ms, id.as_str(), spec)));
    }
    by_age.sort_unstable_by_key(|(submitted_ms, id, _)| (*submitted_ms, *id));
    let mut used: HashMap<&str, Resources> = HashMap::default();
    let mut within = HashSet::default();
    for (_, id, spec) in by_age {
        let Some(team) = teams.iter().find(|t| t.name == spec.team) else { continue };
        let sum = used.entry(&spec.team).or_default();
        *sum = sum.plus_scaled(Resources::of_task(spec).without_memory(), f64::from(spec.tasks));
        if sum.fits(team.guarantee()) {
            within.insert(id.to_owned());
        }
    }
    within
}

/// The jobs with tasks that wait and that this controller places.
pub(super) fn waiting_here(
    controller: &Controller,
    state: &ControllerState,
    cycle: &SchedulingCycle,
) -> Vec<String> {
    let waits = |(id, job): &(&String, &JobRecord)| {
        let job = cycle.jobs.get(*id).map_or(*job, |j| j);
        placement::pending_task_count(job) > 0
            && state.records.replica.scheduler_of(job) == Some(&controller.identity.name)
            && !cycle.jobs_on_hold.contains(*id)
    };
    state.records.replica.open_jobs().filter(waits).map(|(id, _)| id.clone()).collect()
}

/// The queue in the order in which it is served.
pub(super) fn in_order(
    controller: &Controller,
    world: &Replica,
    queue: Vec<String>,
    guaranteed: &HashSet<String>,
    longest: &HashSet<&str>,
    now_ms: u64,
) -> Vec<String> {
    let with_turn = |id: String| {
        let job = world.jobs.get(&id)?.value.as_ref();
        let in_guarantee = guaranteed.contains(&id);
        let turn = turn(controller, job, in_guarantee, longest.contains(id.as_str()), now_ms);
        Some((id, job, turn))
    };
    let mut jobs: Vec<(String, &JobRecord, placement::QueueRank)> =
        queue.into_iter().filter_map(with_turn).collect();
    jobs.sort_by(|a, b| placement::queue_order((a.1, a.2), (b.1, b.2)).then_with(|| a.0.cmp(&b.0)));
    jobs.into_iter().map(|(id, ..)| id).collect()
}

/// The job's turn, by the times that the settings state for its class.
pub(super) fn turn(
    controller: &Controller,
    job: &JobRecord,
    guaranteed: bool,
    longest: bool,
    now_ms: u64,
) -> placement::QueueRank {
    let times = job.spec.as_ref().and_then(|s| controller.settings.start_times(&s.class));
    let standing = placement::QueueStanding { within_guarantee: guaranteed, is_longest_waiting: longest };
    placement::queue_rank(job, standing, times, now_ms)
}
