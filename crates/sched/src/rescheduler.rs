//! Controlled rescheduling: which service task should move, after the design's
//! threshold-gated evictions under a disruption budget.

use std::collections::BTreeMap;
use std::time::Duration;

use wire::{JobKind, JobSpec};

use crate::hash::HashMap;
use crate::placement::{Inventory, gpu_slots_lost_at, is_allowed};
use crate::records::{Assignment, DesiredState, JobRecord, MAX_AVOIDED_MACHINES, Name};
use crate::replica::{Replica, Resources};

#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    pub scan: Duration,
    pub threshold: f64,
    pub budget: Duration,
    pub avoid: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            scan: Duration::from_secs(10),
            threshold: 0.3,
            budget: Duration::from_secs(60),
            avoid: Duration::from_secs(300),
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct Eviction {
    pub job: String,
    pub task: u32,
    pub machine: Name,
    /// Why, for the log.
    pub reason: &'static str,
}

/// Each service's budget refills on a clock of its own, so that evictions do
/// not bunch: the budget is stretched by up to a quarter, by the job's id.
pub fn refill_ms(id: &str, policy: &Policy) -> u64 {
    let base = policy.budget.as_millis() as u64;
    let spread = id.bytes().fold(7u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b))) % 256;
    base + base * spread / 1024
}

/// Finds at most one eviction for each service.
pub fn scan(world: &Replica, inventory: &Inventory, policy: &Policy, now_ms: u64) -> Vec<Eviction> {
    let mut planned_use: Vec<Resources> = inventory.slots.iter().map(|s| s.used).collect();
    let mut out = Vec::new();
    // The least-used fitting machines, for every kind of task met so far.
    let mut least = Vec::new();
    for id in &world.open_job_ids {
        let Some(job) = world.jobs.get(id).map(|j| &j.value) else { continue };
        let Some(spec) = job.spec.as_deref() else { continue };
        if spec.kind != JobKind::Service || spec.tasks < 2 || job.assignments.len() < spec.tasks as usize {
            continue;
        }
        if job.assignments.iter().any(|a| !job.should_run(a))
            || job.last_eviction_ms + refill_ms(id, policy) > now_ms
        {
            continue;
        }
        let size = Resources::of_task(spec);
        let mut in_zone: HashMap<&str, u32> = HashMap::default();
        for a in &job.assignments {
            if let Some(i) = inventory.find(&a.machine) {
                *in_zone.entry(&*inventory.slots[i].zone).or_default() += 1;
            }
        }
        let misplaced = (spec.gpus == 0.0).then(|| {
            let rooms = Rooms { world, inventory, used: &planned_use, in_zone: &in_zone };
            rooms.better_than_gpus(job, spec)
        });
        let kind = (size, &spec.types, &spec.zone, spec.spot);
        if !least.iter().any(|(k, _)| *k == kind) {
            least.push((kind, least_used(inventory, &planned_use, spec, size)));
        }
        let rooms = least.iter().find(|(k, _)| *k == kind).map(|(_, rooms)| rooms);
        let found = misplaced.flatten().or_else(|| {
            job.assignments.iter().find_map(|a| {
                let from = inventory.find(&a.machine)?;
                let here = &*inventory.slots[from].zone;
                let mine = in_zone.get(here).copied().unwrap_or(0);
                let share = planned_use[from].share_of(inventory.slots[from].capacity);
                rooms.into_iter().flatten().find_map(|(zone, to, least)| {
                    let there = in_zone.get(*zone).copied().unwrap_or(0);
                    if *to == from {
                        None
                    } else if spec.spread && there + 1 < mine {
                        Some((a, from, *to, "zone spread"))
                    } else if (*zone == here || there < mine) && share - least > policy.threshold {
                        Some((a, from, *to, "crowded machine"))
                    } else {
                        None
                    }
                })
            })
        });
        if let Some((a, from, to, reason)) = found {
            planned_use[from] = planned_use[from].plus_scaled(size, -1.0);
            planned_use[to] = planned_use[to].plus_scaled(size, 1.0);
            least.clear();
            out.push(Eviction { job: id.clone(), task: a.task, machine: a.machine.clone(), reason });
        }
    }
    out
}

/// The least-used machine of each zone that a task of this kind fits on, and the
/// share that is used of it.
fn least_used<'a>(
    inventory: &'a Inventory,
    used: &[Resources],
    spec: &JobSpec,
    size: Resources,
) -> Vec<(&'a str, usize, f64)> {
    let mut zones: BTreeMap<&str, (usize, f64)> = BTreeMap::new();
    for (i, s) in inventory.slots.iter().enumerate() {
        let gpus_kept = s.capacity.gpus > 0.0 && spec.gpus == 0.0;
        if gpus_kept
            || !s.usable
            || !size.fits(s.capacity.plus_scaled(used[i], -1.0))
            || !is_allowed(spec, &s.machine_type, &s.zone, s.spot)
        {
            continue;
        }
        let share = used[i].share_of(s.capacity);
        let best = zones.entry(&*s.zone).or_insert((i, share));
        if share < best.1 {
            *best = (i, share);
        }
    }
    zones.into_iter().map(|(z, (i, share))| (z, i, share)).collect()
}

/// Where one service's tasks are, and what room there is.
struct Rooms<'a> {
    world: &'a Replica,
    inventory: &'a Inventory,
    used: &'a [Resources],
    in_zone: &'a HashMap<&'a str, u32>,
}

impl Rooms<'_> {
    /// A task that sits on a machine with GPUs although there is other room, or
    /// room there that no GPU job could use: the task on the emptiest of those
    /// machines, so that whole machines come free.
    fn better_than_gpus<'j>(
        &self,
        job: &'j JobRecord,
        spec: &JobSpec,
    ) -> Option<(&'j Assignment, usize, usize, &'static str)> {
        let Self { world, inventory, used, in_zone } = self;
        let size = Resources::of_task(spec);
        let share = |i: usize| used[i].share_of(inventory.slots[i].capacity);
        let on_gpus = job.assignments.iter().filter_map(|a| {
            let from = inventory.find(&a.machine)?;
            let only_services = || {
                let kinds = world.assignments(&a.machine).filter_map(|(_, j, _)| j.spec.as_ref());
                kinds.map(|s| s.kind).all(|k| k == JobKind::Service)
            };
            (inventory.slots[from].capacity.gpus > 0.0 && only_services()).then_some((a, from))
        });
        let (a, from) = on_gpus.min_by(|x, y| share(x.1).total_cmp(&share(y.1)))?;
        let here = &*inventory.slots[from].zone;
        let mine = in_zone.get(here).copied().unwrap_or(0);
        let to = (0..inventory.slots.len()).find(|&i| {
            let s = &inventory.slots[i];
            let there = in_zone.get(&*s.zone).copied().unwrap_or(0);
            let lossless = || gpu_slots_lost_at(world, spec, s, used[i]) == 0;
            i != from
                && s.usable
                && size.fits(s.capacity.plus_scaled(used[i], -1.0))
                && is_allowed(spec, &s.machine_type, &s.zone, s.spot)
                && (*s.zone == *here || !spec.spread || there < mine)
                && (s.capacity.gpus == 0.0 || share(i) > share(from) && lossless())
        })?;
        Some((a, from, to, "holds a machine with GPUs"))
    }
}

/// The record after an eviction: budget debited, avoid entry added, stop marked.
pub fn evict(job: &mut JobRecord, eviction: &Eviction, policy: &Policy, now_ms: u64) {
    for a in &mut job.assignments {
        if a.task == eviction.task && a.machine == eviction.machine {
            a.desired = DesiredState::Stopped;
        }
    }
    job.last_eviction_ms = now_ms;
    job.avoided_machines.retain(|(m, until)| *until > now_ms && **m != *eviction.machine);
    job.avoided_machines.push((eviction.machine.to_string(), now_ms + policy.avoid.as_millis() as u64));
    let surplus = job.avoided_machines.len().saturating_sub(MAX_AVOIDED_MACHINES);
    job.avoided_machines.drain(..surplus);
}

#[cfg(test)]
#[path = "../tests/unit/rescheduler.rs"]
mod tests;
