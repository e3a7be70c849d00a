//! Preemption: chooses the running tasks that are stopped for more urgent jobs.

use std::cmp::Reverse;

use wire::{JobKind, JobSpec, Priority};

use crate::hash::HashSet;
use crate::inventory::{Inventory, Slot};
use crate::placement::is_allowed_on;
use crate::records::{Assignment, DesiredState, JobRecord, Name};
use crate::replica::{Replica, Resources, Team};

/// A task to preempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Victim {
    /// The id of its job.
    pub job: String,
    /// The number of the task.
    pub task: u32,
    /// The attempt at the task.
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

/// A task that is assigned to a machine.
#[derive(Clone, Copy)]
struct RunningTask<'a> {
    job_id: &'a str,
    job: &'a JobRecord,
    spec: &'a JobSpec,
    assignment: &'a Assignment,
}

impl RunningTask<'_> {
    /// The priority of the job, including what it inherits from jobs that depend on it.
    fn priority(&self) -> Priority {
        self.job.priority().unwrap_or(self.spec.priority)
    }

    /// The relative cost of stopping the task. Arrays lose least, services most; tasks that can
    /// save a checkpoint do so before they stop.
    fn preemption_cost(&self) -> u32 {
        match self.spec.kind {
            JobKind::Array => 0,
            // Each earlier attempt raises the cost: otherwise the smallest gang would be preempted
            // again and again, and never make progress.
            JobKind::Gang => {
                let attempts = self.job.attempt.clamp(1, MAX_COUNTED_ATTEMPTS) as u32;
                1 + self.spec.tasks + COST_PER_ATTEMPT * attempts
            }
            JobKind::Service => SERVICE_COST,
        }
    }
}

/// The most attempts that are counted in the cost of a gang.
const MAX_COUNTED_ATTEMPTS: u64 = 50;
/// The cost that each attempt of a gang adds.
const COST_PER_ATTEMPT: u32 = 3;
/// The cost of stopping a service task.
const SERVICE_COST: u32 = 1000;

/// The tasks on each machine of an inventory, collected once for all searches of a scheduling
/// cycle.
pub struct RunningTasks<'a> {
    tasks_by_slot: Vec<Vec<RunningTask<'a>>>,
}

impl<'a> RunningTasks<'a> {
    /// Collects the tasks that are assigned to the usable machines of the inventory.
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
    already_chosen: &'a [Victim],
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

/// Finds the machine where one task of the job fits at the lowest total cost of stopped tasks, and
/// these tasks. The job is given with its priority, including what it inherits. Tasks in
/// `already_chosen` count as stopping; with `spare_gpu_jobs`, no task with GPUs is stopped.
///
/// Tasks of lower priority may always be stopped. For a job within its team's guarantee, tasks of
/// other teams' jobs beyond their guarantees may be stopped too, unless their priority is higher: a
/// guarantee does not override a higher priority. `guaranteed` contains the ids of all jobs within
/// their teams' guarantees. It is not enough that a team as a whole exceeds its guarantee: its
/// oldest jobs are still within it, and would be preempted and preempt others in turns.
pub fn find_victims(
    running: &RunningTasks,
    inventory: &Inventory,
    (spec, priority): (&JobSpec, Priority),
    guaranteed: &HashSet<String>,
    already_chosen: &[Victim],
    spare_gpu_jobs: bool,
    slot_filter: impl Fn(&Slot) -> bool,
) -> Option<(Name, Vec<Victim>)> {
    let size = Resources::of_task(spec);
    let search = Search { spec, priority, size, guaranteed, already_chosen, spare_gpu_jobs };
    let suits = |slot: &Slot| {
        slot.usable && is_allowed_on(spec, slot) && slot_filter(slot) && size.fits(slot.capacity)
    };
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
    /// The tasks to stop on a machine; `None` if the new task does not fit even without them.
    fn victims_on(&self, slot: &Slot, tasks: &[RunningTask]) -> Option<Victims> {
        let mut free = slot.free();
        let mut candidates: Vec<Candidate> = Vec::new();
        for task in tasks {
            // Capacity of tasks that are already stopping counts as free, so that no others are
            // stopped for it.
            if self.is_stopping(task) {
                free = free.plus_scaled(Resources::of_task(task.spec), 1.0);
                continue;
            }
            let priority = task.priority();
            if self.may_stop(task, priority) {
                candidates.push(Candidate { priority, cost: task.preemption_cost(), task });
            }
        }
        candidates
            .sort_by_key(|candidate| (candidate.priority, candidate.cost, candidate.task.assignment.task));
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
        self.already_chosen.iter().any(is_chosen) || !job.should_run(assignment)
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

/// A task of the same team that may be stopped.
struct TeamCandidate<'a> {
    priority: Priority,
    job_id: &'a String,
    assignment: &'a Assignment,
    size: Resources,
}

/// Finds array tasks of lower priority in the job's own team that have to be stopped so that
/// `tasks` tasks of the job fit into the team's quota. `None` if stopping them does not free
/// enough, or if no more tasks need to be stopped than are stopping already.
pub fn find_victims_within_team(
    replica: &Replica,
    inventory: &Inventory,
    (spec, priority): (&JobSpec, Priority),
    tasks: u32,
    team: &Team,
) -> Option<Vec<Victim>> {
    let required =
        Resources::default().plus_scaled(Resources::of_task(spec).counted_in_quota(), f64::from(tasks));
    let team_usage = replica.team_usage.get(&spec.team).copied().unwrap_or_default();
    let mut free = team.limit().plus_scaled(team_usage.counted_in_quota(), -1.0);
    let mut candidates: Vec<TeamCandidate> = Vec::new();
    // Does not use `Replica::open_jobs`: its iterator takes a fifth of the time of this search.
    for job_id in &replica.open_job_ids {
        let Some(job) = replica.jobs.get(job_id).map(|job| &job.value) else { continue };
        let Some(other) = job.spec.as_deref().filter(|other| other.team == spec.team) else { continue };
        let size = Resources::of_task(other).counted_in_quota();
        let other_priority = job.priority().unwrap_or(other.priority);
        let may_stop = other_priority < priority && other.kind == JobKind::Array;
        for assignment in &job.assignments {
            if !job.should_run(assignment) {
                free = free.plus_scaled(size, 1.0);
            } else if may_stop && inventory.find(&assignment.machine).is_some() {
                // Only tasks on usable machines: a machine that does not answer would not stop its
                // task soon.
                candidates.push(TeamCandidate { priority: other_priority, job_id, assignment, size });
            }
        }
    }
    // Tasks that started last lose the least progress.
    candidates.sort_by_key(|candidate| (candidate.priority, Reverse(candidate.assignment.attempt)));
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

/// Marks a victim to be stopped in the record of its job; all tasks of a gang are marked together.
pub fn mark_to_stop(job: &mut JobRecord, victim: &Victim) {
    // The leader has to place the job again: only the leader knows which job the capacity is freed
    // for. The scheduler of the job's shard would give it back to the victim at once.
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
