//! Which tasks make way for more urgent work.

use wire::{JobKind, JobSpec, Priority};

use crate::hash::HashSet;
use crate::placement::{Inventory, Slot, is_allowed};
use crate::records::{Assignment, DesiredState, JobRecord, Name};
use crate::replica::{Replica, Resources, Team};

/// A task to stop, and whether it is an array's (others lose more).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Victim {
    pub job: String,
    pub task: u32,
    pub attempt: u64,
    pub machine: Name,
}

/// What runs on each machine of a inventory, gathered once for all the searches of a
/// round.
pub struct Running<'a> {
    slots: Vec<Vec<(&'a str, &'a JobRecord, &'a Assignment, &'a JobSpec)>>,
}

impl<'a> Running<'a> {
    pub fn new(world: &'a Replica, inventory: &Inventory) -> Self {
        let of_slot = |slot: &Slot| {
            if !slot.usable {
                return Vec::new();
            }
            let specs = |(id, job, a): (&'a str, &'a JobRecord, &'a Assignment)| {
                job.spec.as_deref().map(|spec| (id, job, a, spec))
            };
            world.assignments(&slot.id).filter_map(specs).collect()
        };
        Self { slots: inventory.slots.iter().map(of_slot).collect() }
    }
}

/// Finds the machine on which the fewest tasks have to go so that one task of
/// the job fits. Lower priority may always be stopped; other teams' work beyond
/// their guarantee may be stopped for work within it, though not work of a higher
/// priority: what runs above everything is not stopped for a guarantee. `guaranteed` names the
/// jobs that are within their teams' guarantees. A whole team being beyond does
/// not do: its oldest jobs are still within, and would be stopped in turns.
/// `priority` is the job's own or what it inherits; so it is for those that run.
pub fn find_victims(
    running: &Running,
    inventory: &Inventory,
    (spec, priority): (&JobSpec, Priority),
    guaranteed: &HashSet<String>,
    chosen_before: &[Victim],
    spare_gpu_jobs: bool,
    within: impl Fn(&Slot) -> bool,
) -> Option<(Name, Vec<Victim>)> {
    let size = Resources::of_task(spec);
    let mut best: Option<(usize, &Name, Vec<Victim>)> = None;
    for (slot, on_it) in inventory.slots.iter().zip(&running.slots) {
        if !slot.usable
            || !is_allowed(spec, &slot.machine_type, &slot.zone, slot.spot)
            || !within(slot)
            || !size.fits(slot.capacity)
        {
            continue;
        }
        let mut free = slot.free();
        // Room that is being made already counts, so that it is not made twice.
        let mut list = Vec::new();
        for &(id, job, a, other) in on_it {
            let chosen =
                chosen_before.iter().any(|v| v.job == id && v.task == a.task && v.attempt == a.attempt);
            if chosen || !job.should_run(a) {
                free = free.plus_scaled(Resources::of_task(other), 1.0);
                continue;
            }
            let rank = job.priority().unwrap_or(other.priority);
            let lower = rank < priority;
            let beyond = guaranteed.contains(&spec.id)
                && !guaranteed.contains(id)
                && other.team != spec.team
                && rank <= priority;
            if (lower || beyond) && !(spare_gpu_jobs && other.gpus > 0.0) {
                // Arrays lose least, services most; save what can be saved.
                let cost = match other.kind {
                    JobKind::Array => 0,
                    // A job that was stopped before is spared: the smallest gang
                    // would be chosen again and again, and never get on.
                    JobKind::Gang => 1 + other.tasks + 3 * job.attempt.clamp(1, 50) as u32,
                    JobKind::Service => 1000,
                };
                list.push((cost, rank, id, a, Resources::of_task(other)));
            }
        }
        list.sort_by_key(|x| (x.1, x.0, x.3.task));
        let mut cost = 0;
        let mut chosen = Vec::new();
        for (c, _, id, a, amount) in list {
            if size.fits(free) {
                break;
            }
            free = free.plus_scaled(amount, 1.0);
            cost += 1 + c as usize;
            chosen.push(Victim {
                job: id.to_owned(),
                task: a.task,
                attempt: a.attempt,
                machine: a.machine.clone(),
            });
        }
        if size.fits(free) && best.as_ref().is_none_or(|(c, ..)| cost < *c) {
            best = Some((cost, &slot.id, chosen));
        }
    }
    best.map(|(_, m, v)| (m.clone(), v))
}

/// Finds work of lower priority of the job's own team that has to go so that
/// `tasks` of the job fit into the team's limit. None: that does not help, or
/// what is being stopped already will do.
pub fn find_victims_within_team(
    world: &Replica,
    inventory: &Inventory,
    (spec, priority): (&JobSpec, Priority),
    tasks: u32,
    team: &Team,
) -> Option<Vec<Victim>> {
    // A machine that does not answer would not stop them soon.
    let flat = |a: Resources| Resources { memory_gb: 0.0, ..a };
    let need = flat(Resources::default()).plus_scaled(flat(Resources::of_task(spec)), f64::from(tasks));
    let in_use = world.team_usage.get(&spec.team).copied().unwrap_or_default();
    let mut free = team.limit().plus_scaled(flat(in_use), -1.0);
    let mut list = Vec::new();
    for id in &world.open_job_ids {
        let Some(job) = world.jobs.get(id).map(|j| j.value.as_ref()) else { continue };
        let Some(other) = job.spec.as_deref().filter(|o| o.team == spec.team) else { continue };
        let rank = job.priority().unwrap_or(other.priority);
        for a in &job.assignments {
            if !job.should_run(a) {
                free = free.plus_scaled(flat(Resources::of_task(other)), 1.0);
            } else if rank < priority && other.kind == JobKind::Array && inventory.find(&a.machine).is_some()
            {
                list.push((rank, id, a, flat(Resources::of_task(other))));
            }
        }
    }
    // The latest starts have lost least.
    list.sort_by_key(|(p, _, a, _)| (*p, std::cmp::Reverse(a.attempt)));
    let mut out = Vec::new();
    for (_, id, a, size) in list {
        if need.fits(free) {
            break;
        }
        free = free.plus_scaled(size, 1.0);
        out.push(Victim { job: id.clone(), task: a.task, attempt: a.attempt, machine: a.machine.clone() });
    }
    (need.fits(free) && !out.is_empty()).then_some(out)
}

/// Marks a victim in its job's record; all of a gang stops together.
pub fn mark(job: &mut crate::records::JobRecord, victim: &Victim) {
    // Only the leader knows whom the room is made for; a part would give it
    // straight back to the victim.
    job.shard = None;
    let gang = job.spec.as_ref().is_some_and(|s| s.kind == JobKind::Gang);
    for a in &mut job.assignments {
        if gang || (a.task == victim.task && a.attempt == victim.attempt) {
            a.desired = DesiredState::Stopped;
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/preempt.rs"]
mod tests;
