//! Rescheduling: which service tasks should move to other machines. The disruption budget limits
//! how often a task of a service is evicted, and a crowded machine is left only if the difference
//! in usage exceeds a threshold.

use std::collections::BTreeMap;
use std::time::Duration;

use wire::{JobKind, JobSpec};

use crate::hash::HashMap;
use crate::inventory::{Inventory, Slot};
use crate::placement::{is_allowed_on, stranded_gpu_tasks_at_usage};
use crate::records::{Assignment, DesiredState, JobRecord, Name};
use crate::replica::{Replica, Resources};

/// The settings of the rescheduler.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// The time between two scans.
    pub scan_interval: Duration,
    /// By how much the used share of a machine has to exceed that of another one for a task to move
    /// there.
    pub usage_threshold: f64,
    /// The disruption budget: the least time between two evictions of a service, before
    /// [`refill_ms`] lengthens it.
    pub eviction_interval: Duration,
    /// How long placement avoids the machine for the evicted service.
    pub avoid_duration: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            scan_interval: Duration::from_secs(10),
            usage_threshold: 0.3,
            eviction_interval: Duration::from_secs(60),
            avoid_duration: Duration::from_secs(300),
        }
    }
}

/// A task to stop so that it is placed on another machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Eviction {
    /// The id of its job.
    pub job: String,
    /// The number of the task.
    pub task: u32,
    /// The machine that the task is evicted from.
    pub machine: Name,
    /// The reason, for the log.
    pub reason: &'static str,
}

const REASON_ZONE_SPREAD: &str = "zone spread";
const REASON_CROWDED_MACHINE: &str = "crowded machine";
const REASON_HOLDS_GPU_MACHINE: &str = "holds a machine with GPUs";

/// The least number of tasks that a service needs to be rescheduled.
const MIN_REPLICAS: u32 = 2;

/// How long the disruption budget of a service takes to refill, in milliseconds. The interval is
/// lengthened by up to a quarter, depending on the job id, so that the evictions of different
/// services do not coincide.
pub fn refill_ms(id: &str, policy: &Policy) -> u64 {
    let interval_ms = policy.eviction_interval.as_millis() as u64;
    let id_hash = id.bytes().fold(7u64, |hash, byte| hash.wrapping_mul(31).wrapping_add(u64::from(byte)));
    interval_ms + interval_ms * (id_hash % 256) / 1024
}

/// Finds at most one eviction for each service.
pub fn find_evictions(
    replica: &Replica,
    inventory: &Inventory,
    policy: &Policy,
    now_ms: u64,
) -> Vec<Eviction> {
    let planned_usage = inventory.slots.iter().map(|slot| slot.used).collect();
    let mut scan = Scan { replica, inventory, policy, planned_usage, least_used: Vec::new() };
    let mut evictions = Vec::new();
    for (id, job) in replica.open_jobs() {
        let Some(spec) = job.spec.as_deref() else { continue };
        if may_evict(id, job, spec, policy, now_ms)
            && let Some(eviction) = scan.plan_eviction(id, job, spec)
        {
            evictions.push(eviction);
        }
    }
    evictions
}

/// Whether the job is a service whose tasks are all assigned and meant to run, and whose disruption
/// budget has refilled.
fn may_evict(id: &str, job: &JobRecord, spec: &JobSpec, policy: &Policy, now_ms: u64) -> bool {
    spec.kind == JobKind::Service
        && spec.tasks >= MIN_REPLICAS
        && job.assignments.len() >= spec.tasks as usize
        && job.assignments.iter().all(|assignment| job.should_run(assignment))
        && job.last_eviction_ms + refill_ms(id, policy) <= now_ms
}

/// The properties of a task that determine which machines it can use.
#[derive(PartialEq)]
struct TaskKind<'a> {
    size: Resources,
    types: &'a Option<Vec<String>>,
    zone: &'a Option<String>,
    spot: bool,
}

/// The least used machine of a zone that a kind of task fits on.
#[derive(Clone, Copy)]
struct LeastUsed<'a> {
    zone: &'a str,
    slot: usize,
    /// The used share of its capacity.
    usage: f64,
}

/// The move of a task from one machine to another.
struct Move<'a> {
    assignment: &'a Assignment,
    from: usize,
    to: usize,
    reason: &'static str,
}

/// One scan over all services.
struct Scan<'a> {
    replica: &'a Replica,
    inventory: &'a Inventory,
    policy: &'a Policy,
    /// The resources in use on each slot, including the moves planned so far.
    planned_usage: Vec<Resources>,
    /// The least used machine of each zone, for the kinds of tasks seen since the last planned
    /// move.
    least_used: Vec<(TaskKind<'a>, Vec<LeastUsed<'a>>)>,
}

/// The number of tasks of a service in each zone.
type TasksByZone<'a> = HashMap<&'a str, u32>;

impl<'a> Scan<'a> {
    /// Plans the eviction of one task of a service, if any should move.
    fn plan_eviction(&mut self, id: &str, job: &'a JobRecord, spec: &'a JobSpec) -> Option<Eviction> {
        let size = Resources::of_task(spec);
        let tasks_by_zone = self.tasks_by_zone(job);
        let off_gpus = if spec.gpus == 0.0 { self.move_off_gpus(job, spec, &tasks_by_zone) } else { None };
        let found = off_gpus.or_else(|| self.move_to_least_used(job, spec, &tasks_by_zone));
        let Move { assignment, from, to, reason } = found?;
        self.planned_usage[from] = self.planned_usage[from].plus_scaled(size, -1.0);
        self.planned_usage[to] = self.planned_usage[to].plus_scaled(size, 1.0);
        self.least_used.clear();
        let machine = assignment.machine.clone();
        Some(Eviction { job: id.to_owned(), task: assignment.task, machine, reason })
    }

    fn tasks_by_zone(&self, job: &JobRecord) -> TasksByZone<'a> {
        let mut tasks_by_zone = TasksByZone::default();
        for assignment in &job.assignments {
            if let Some(i) = self.inventory.find(&assignment.machine) {
                *tasks_by_zone.entry(&*self.inventory.slots[i].zone).or_default() += 1;
            }
        }
        tasks_by_zone
    }

    fn usage_of(&self, slot: usize) -> f64 {
        self.planned_usage[slot].share_of(self.inventory.slots[slot].capacity)
    }

    /// Whether a further task of the job may be placed on a machine.
    fn has_room_for(&self, spec: &JobSpec, size: Resources, index: usize, slot: &Slot) -> bool {
        let free = slot.capacity.plus_scaled(self.planned_usage[index], -1.0);
        slot.usable && size.fits(free) && is_allowed_on(spec, slot)
    }

    /// A move of a task to the least used machine of a zone, to improve the zone spread or to leave
    /// a crowded machine.
    fn move_to_least_used(
        &mut self,
        job: &'a JobRecord,
        spec: &'a JobSpec,
        tasks_by_zone: &TasksByZone,
    ) -> Option<Move<'a>> {
        let kind = self.kind_index(spec);
        let (_, least_used) = &self.least_used[kind];
        job.assignments.iter().find_map(|assignment| {
            let from = self.inventory.find(&assignment.machine)?;
            let from_zone = &*self.inventory.slots[from].zone;
            let tasks_here = tasks_in(tasks_by_zone, from_zone);
            let usage = self.usage_of(from);
            least_used.iter().filter(|to| to.slot != from).find_map(|to| {
                let tasks_there = tasks_in(tasks_by_zone, to.zone);
                let is_better_spread = spec.spread && tasks_there + 1 < tasks_here;
                let keeps_spread = to.zone == from_zone || tasks_there < tasks_here;
                let reason = if is_better_spread {
                    REASON_ZONE_SPREAD
                } else if keeps_spread && usage - to.usage > self.policy.usage_threshold {
                    REASON_CROWDED_MACHINE
                } else {
                    return None;
                };
                Some(Move { assignment, from, to: to.slot, reason })
            })
        })
    }

    /// The index in `least_used` of the kind of this job's tasks, which is added if it is missing.
    fn kind_index(&mut self, spec: &'a JobSpec) -> usize {
        let size = Resources::of_task(spec);
        let kind = TaskKind { size, types: &spec.types, zone: &spec.zone, spot: spec.spot };
        let known = self.least_used.iter().position(|(other, _)| *other == kind);
        known.unwrap_or_else(|| {
            let least_used = self.least_used_machines(spec, size);
            self.least_used.push((kind, least_used));
            self.least_used.len() - 1
        })
    }

    /// The least used machine of each zone that a task of this kind fits on, in the order of the
    /// zone names. Machines with GPUs are left out for tasks that need none.
    fn least_used_machines(&self, spec: &JobSpec, size: Resources) -> Vec<LeastUsed<'a>> {
        let mut by_zone: BTreeMap<&str, LeastUsed> = BTreeMap::new();
        for (i, slot) in self.inventory.slots.iter().enumerate() {
            let has_unneeded_gpus = slot.capacity.gpus > 0.0 && spec.gpus == 0.0;
            if has_unneeded_gpus || !self.has_room_for(spec, size, i, slot) {
                continue;
            }
            let machine = LeastUsed { zone: &slot.zone, slot: i, usage: self.usage_of(i) };
            let least_used = by_zone.entry(machine.zone).or_insert(machine);
            if machine.usage < least_used.usage {
                *least_used = machine;
            }
        }
        by_zone.into_values().collect()
    }

    /// A move of a task that needs no GPU off a machine with GPUs that holds only services. The
    /// destination has no GPUs, or is a more heavily used machine with GPUs where the task strands
    /// no GPU tasks. The task on the least used machine moves first, so that whole machines become
    /// free.
    fn move_off_gpus(
        &self,
        job: &'a JobRecord,
        spec: &JobSpec,
        tasks_by_zone: &TasksByZone,
    ) -> Option<Move<'a>> {
        let inventory = self.inventory;
        let on_gpus = job.assignments.iter().filter_map(|assignment| {
            let from = inventory.find(&assignment.machine)?;
            let has_gpus = inventory.slots[from].capacity.gpus > 0.0;
            (has_gpus && self.has_only_services(&assignment.machine)).then_some((assignment, from))
        });
        let (assignment, from) = on_gpus.min_by(|a, b| self.usage_of(a.1).total_cmp(&self.usage_of(b.1)))?;
        let from_zone = &*inventory.slots[from].zone;
        let tasks_here = tasks_in(tasks_by_zone, from_zone);
        let size = Resources::of_task(spec);
        let suits = |i: usize, slot: &Slot| {
            let keeps_spread =
                *slot.zone == *from_zone || !spec.spread || tasks_in(tasks_by_zone, &slot.zone) < tasks_here;
            let strands_no_gpu_tasks =
                || stranded_gpu_tasks_at_usage(self.replica, spec, slot, self.planned_usage[i]) == 0;
            i != from
                && self.has_room_for(spec, size, i, slot)
                && keeps_spread
                && (slot.capacity.gpus == 0.0
                    || (self.usage_of(i) > self.usage_of(from) && strands_no_gpu_tasks()))
        };
        let (to, _) = inventory.slots.iter().enumerate().find(|(i, slot)| suits(*i, slot))?;
        Some(Move { assignment, from, to, reason: REASON_HOLDS_GPU_MACHINE })
    }

    /// Whether all tasks on a machine belong to services.
    fn has_only_services(&self, machine: &str) -> bool {
        let specs = self.replica.assignments(machine).filter_map(|(_, job, _)| job.spec.as_ref());
        specs.map(|spec| spec.kind).all(|kind| kind == JobKind::Service)
    }
}

fn tasks_in(tasks_by_zone: &TasksByZone, zone: &str) -> u32 {
    tasks_by_zone.get(zone).copied().unwrap_or(0)
}

/// Applies an eviction to the record of its job: debits the disruption budget, makes placement
/// avoid the machine and marks the task to be stopped.
pub fn evict(job: &mut JobRecord, eviction: &Eviction, policy: &Policy, now_ms: u64) {
    for assignment in &mut job.assignments {
        if assignment.task == eviction.task && assignment.machine == eviction.machine {
            assignment.desired = DesiredState::Stopped;
        }
    }
    job.last_eviction_ms = now_ms;
    job.avoid_machine(&eviction.machine, now_ms, policy.avoid_duration.as_millis() as u64);
}

#[cfg(test)]
#[path = "../tests/unit/rescheduler.rs"]
mod tests;
