//! Preemption: which tasks are stopped for more urgent jobs.

use std::cmp::Reverse;

use wire::{JobKind, JobSpec, Priority};

use crate::hash::HashSet;
use crate::inventory::{Inventory, Slot};
use crate::placement::is_allowed_on;
use crate::records::{Assignment, DesiredState, JobRecord, Name};
use crate::replica::{Replica, Resources, Team};

/// A task to stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Victim {
    /// The id of its job.
    pub job: String,
    /// The number of the task.
    pub task: u32,
    /// Its attempt.
    pub attempt: u64,
    /// The machine that it is on.
    pub machine: Name,
}

impl Victim {
    fn new(job: &str, assignment: &Assignment) -> Self {
        Self {
            job: job.to_owned(),
            task: assignment.task,
            attempt: assignment.attempt,
            machine: assignment.machine.clone(),
        }
    }
}

/// A task on a machine.
#[derive(Clone, Copy)]
struct RunningTask<'a> {
    job_id: &'a str,
    job: &'a JobRecord,
    spec: &'a JobSpec,
    assignment: &'a Assignment,
}

impl RunningTask<'_> {
    /// The priority of its job, or what that inherits.
    fn priority(&self) -> Priority {
        self.job.priority().unwrap_or(self.spec.priority)
    }

    /// What stopping the task costs. Arrays lose least, services most; what can be saved is.
    fn preemption_cost(&self) -> u32 {
        match self.spec.kind {
            JobKind::Array => 0,
            // A job that was stopped before is spared: the smallest gang would be chosen again and
            // again, and never make progress.
            JobKind::Gang => {
                let attempts = self.job.attempt.clamp(1, MAX_COUNTED_ATTEMPTS) as u32;
                1 + self.spec.tasks + COST_PER_ATTEMPT * attempts
            }
            JobKind::Service => SERVICE_COST,
        }
    }
}

/// Most attempts of a gang that its cost counts.
const MAX_COUNTED_ATTEMPTS: u64 = 50;
/// What each attempt of a gang adds to its cost.
const COST_PER_ATTEMPT: u32 = 3;
/// The cost of stopping a service task.
const SERVICE_COST: u32 = 1000;

/// What runs on each machine of an inventory, gathered once for all the searches of a scheduling
/// cycle.
pub struct RunningTasks<'a> {
    tasks_by_slot: Vec<Vec<RunningTask<'a>>>,
}

impl<'a> RunningTasks<'a> {
    /// What the records assign to the usable machines of the inventory.
    pub fn new(replica: &'a Replica, inventory: &Inventory) -> Self {
        let tasks_on = |slot: &Slot| {
            if !slot.usable {
                return Vec::new();
            }
            let assignments = replica.assignments(&slot.id);
            assignments
                .filter_map(|(job_id, job, assignment)| {
                    let spec = job.spec.as_deref()?;
                    Some(RunningTask { job_id, job, spec, assignment })
                })
                .collect()
        };
        Self { tasks_by_slot: inventory.slots.iter().map(tasks_on).collect() }
    }
}

/// A search for victims.
struct Search<'a> {
    spec: &'a JobSpec,
    priority: Priority,
    size: Resources,
    guaranteed: &'a HashSet<String>,
    chosen_before: &'a [Victim],
    spare_gpu_jobs: bool,
}

/// A task that may be stopped.
struct Candidate<'a> {
    priority: Priority,
    cost: u32,
    task: &'a RunningTask<'a>,
}

/// The tasks to stop on one machine.
struct Victims {
    cost: usize,
    tasks: Vec<Victim>,
}

/// Finds the machine on which the fewest tasks have to be stopped so that one task of the job fits,
/// and these tasks. The job comes with its priority, or what it inherits.
///
/// Lower priority may always be stopped; so may other teams' work beyond their guarantee for work
/// within it, though not work of a higher priority: what runs above everything is not stopped for a
/// guarantee. `guaranteed` names the jobs that are within their teams' guarantees. That a whole
/// team is beyond is not enough: its oldest jobs are still within, and would be stopped in turns.
pub fn find_victims(
    running: &RunningTasks,
    inventory: &Inventory,
    (spec, priority): (&JobSpec, Priority),
    guaranteed: &HashSet<String>,
    chosen_before: &[Victim],
    spare_gpu_jobs: bool,
    within: impl Fn(&Slot) -> bool,
) -> Option<(Name, Vec<Victim>)> {
    let size = Resources::of_task(spec);
    let search = Search { spec, priority, size, guaranteed, chosen_before, spare_gpu_jobs };
    let suits =
        |slot: &Slot| slot.usable && is_allowed_on(spec, slot) && within(slot) && size.fits(slot.capacity);
    let mut best: Option<(&Name, Victims)> = None;
    for (slot, tasks) in inventory.slots.iter().zip(&running.tasks_by_slot).filter(|(slot, _)| suits(slot)) {
        if let Some(victims) = search.victims_on(slot, tasks)
            && best.as_ref().is_none_or(|(_, best)| victims.cost < best.cost)
        {
            best = Some((&slot.id, victims));
        }
    }
    best.map(|(machine, victims)| (machine.clone(), victims.tasks))
}

impl Search<'_> {
    /// The tasks to stop on a machine; `None` if the task does not fit nevertheless.
    fn victims_on(&self, slot: &Slot, tasks: &[RunningTask]) -> Option<Victims> {
        let mut free = slot.free();
        let mut candidates: Vec<Candidate> = Vec::new();
        for task in tasks {
            // Capacity that is being freed already counts, so that it is not freed twice.
            if self.is_stopping(task) {
                free = free.plus_scaled(Resources::of_task(task.spec), 1.0);
                continue;
            }
            let priority = task.priority();
            if self.may_stop(task, priority) {
                candidates.push(Candidate { priority, cost: task.preemption_cost(), task });
            }
        }
        candidates.sort_by_key(|c| (c.priority, c.cost, c.task.assignment.task));
        let mut victims = Victims { cost: 0, tasks: Vec::new() };
        for Candidate { cost, task, .. } in candidates {
            if self.size.fits(free) {
                break;
            }
            free = free.plus_scaled(Resources::of_task(task.spec), 1.0);
            victims.cost += 1 + cost as usize;
            victims.tasks.push(Victim::new(task.job_id, task.assignment));
        }
        self.size.fits(free).then_some(victims)
    }

    fn is_stopping(&self, task: &RunningTask) -> bool {
        let RunningTask { job_id, job, assignment, .. } = task;
        let is_chosen = |victim: &Victim| {
            victim.job == *job_id && victim.task == assignment.task && victim.attempt == assignment.attempt
        };
        self.chosen_before.iter().any(is_chosen) || !job.should_run(assignment)
    }

    fn may_stop(&self, task: &RunningTask, priority: Priority) -> bool {
        let has_lower_priority = priority < self.priority;
        let is_beyond_guarantee = self.guaranteed.contains(&self.spec.id)
            && !self.guaranteed.contains(task.job_id)
            && task.spec.team != self.spec.team
            && priority <= self.priority;
        (has_lower_priority || is_beyond_guarantee) && !(self.spare_gpu_jobs && task.spec.gpus > 0.0)
    }
}

/// A task of the job's own team that may be stopped.
struct TeamCandidate<'a> {
    priority: Priority,
    job_id: &'a String,
    assignment: &'a Assignment,
    size: Resources,
}

/// Finds array tasks of lower priority of the job's own team that have to be stopped so that `tasks`
/// tasks of the job fit into the team's quota. `None`: that is not enough, or what is being stopped
/// already is.
pub fn find_victims_within_team(
    replica: &Replica,
    inventory: &Inventory,
    (spec, priority): (&JobSpec, Priority),
    tasks: u32,
    team: &Team,
) -> Option<Vec<Victim>> {
    let required =
        Resources::default().plus_scaled(Resources::of_task(spec).without_memory(), f64::from(tasks));
    let team_usage = replica.team_usage.get(&spec.team).copied().unwrap_or_default();
    let mut free = team.limit().plus_scaled(team_usage.without_memory(), -1.0);
    let mut candidates: Vec<TeamCandidate> = Vec::new();
    // Without `Replica::open_jobs`, whose iterator costs a fifth of this search.
    for job_id in &replica.open_job_ids {
        let Some(job) = replica.jobs.get(job_id).map(|job| &job.value) else { continue };
        let Some(other) = job.spec.as_deref().filter(|other| other.team == spec.team) else { continue };
        let size = Resources::of_task(other).without_memory();
        let other_priority = job.priority().unwrap_or(other.priority);
        let may_stop = other_priority < priority && other.kind == JobKind::Array;
        for assignment in &job.assignments {
            if !job.should_run(assignment) {
                free = free.plus_scaled(size, 1.0);
            } else if may_stop && inventory.find(&assignment.machine).is_some() {
                // A machine that does not answer would not stop them soon.
                candidates.push(TeamCandidate { priority: other_priority, job_id, assignment, size });
            }
        }
    }
    // The tasks that started last lose least.
    candidates.sort_by_key(|c| (c.priority, Reverse(c.assignment.attempt)));
    let mut victims = Vec::new();
    for TeamCandidate { job_id, assignment, size, .. } in candidates {
        if required.fits(free) {
            break;
        }
        free = free.plus_scaled(size, 1.0);
        victims.push(Victim::new(job_id, assignment));
    }
    (required.fits(free) && !victims.is_empty()).then_some(victims)
}

/// Marks a victim as to be stopped in its job's record; all of a gang stops together.
pub fn mark_to_stop(job: &mut JobRecord, victim: &Victim) {
    // Only the leader knows whom the capacity is freed for; the scheduler of a shard would give it
    // straight back to the victim.
    job.shard = None;
    let is_gang = job.spec.as_ref().is_some_and(|spec| spec.kind == JobKind::Gang);
    for assignment in &mut job.assignments {
        if is_gang || (assignment.task == victim.task && assignment.attempt == victim.attempt) {
            assignment.desired = DesiredState::Stopped;
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/preempt.rs"]
mod tests;
