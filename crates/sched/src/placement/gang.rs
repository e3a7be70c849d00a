//! Collects capacity for gangs that have waited long: free capacity is reserved for them until all
//! their tasks fit.

use std::collections::BTreeMap;

use wire::{JobKind, JobSpec};

use super::eligibility::is_allowed_on;
use super::queue::waited_s;
use crate::inventory::{Inventory, Slot};
use crate::records::{Name, Phase};
use crate::replica::{Replica, Resources};

/// How long a gang waits before capacity is collected for it.
const COLLECT_AFTER_S: f64 = 110.0;
/// The most capacity that is collected at a time, as a share of the gang tasks that are assigned.
const MAX_COLLECTED_SHARE: f64 = 0.15;

/// Whether a job could use capacity that a gang needs.
pub fn competes_for_capacity(spec: &JobSpec, gang: &JobSpec) -> bool {
    let shares_a_type = match (&spec.types, &gang.types) {
        (Some(types), Some(gang_types)) => types.iter().any(|machine_type| gang_types.contains(machine_type)),
        _ => true,
    };
    shares_a_type && (gang.gpus == 0.0 || spec.gpus > 0.0)
}

/// The free capacity that can be collected for a gang, as one machine name for each task that fits.
/// If all tasks have to be in one zone, only the zone with the most such capacity counts.
pub fn collectable_capacity(
    inventory: &Inventory,
    spec: &JobSpec,
    within: impl Fn(&Slot) -> bool,
) -> Vec<Name> {
    let size = Resources::of_task(spec);
    let suits = |slot: &Slot| size.fits(slot.free()) && is_allowed_on(spec, slot) && within(slot);
    let mut machines_by_zone: BTreeMap<&str, Vec<&Name>> = BTreeMap::new();
    for slot in inventory.matching_slots(suits).into_iter().map(|i| &inventory.slots[i]) {
        let zone = if spec.one_zone { &*slot.zone } else { "" };
        let tasks = size.count_fitting_in(slot.free()).min(spec.tasks) as usize;
        machines_by_zone.entry(zone).or_default().extend(std::iter::repeat_n(&slot.id, tasks));
    }
    let largest = machines_by_zone.into_values().max_by_key(Vec::len).unwrap_or_default();
    largest.into_iter().take(spec.tasks as usize).cloned().collect()
}

/// A gang that has not started; it sorts by the time of submission.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct WaitingGang<'a> {
    submitted_ms: u64,
    id: &'a str,
    tasks: u32,
}

/// The gangs that have waited longest, for which capacity is collected until they start. A large
/// gang would otherwise never start where smaller jobs take all capacity that becomes free.
/// Capacity is collected for a few gangs only, but for at least one: if it were collected for all
/// that wait, none would start in time when demand exceeds capacity.
pub fn longest_waiting(replica: &Replica, now_ms: u64) -> Vec<&str> {
    let mut assigned = 0;
    let mut waiting: Vec<WaitingGang> = Vec::new();
    for (id, job) in replica.open_jobs() {
        let Some(spec) = job.spec.as_deref().filter(|spec| spec.kind == JobKind::Gang) else { continue };
        assigned += job.assignments.len();
        let has_not_started = job.assignments.is_empty() && job.phase == Phase::Active;
        if has_not_started && waited_s(job, now_ms) >= COLLECT_AFTER_S {
            waiting.push(WaitingGang { submitted_ms: job.submitted_ms, id, tasks: spec.tasks });
        }
    }
    waiting.sort_unstable();
    let mut remaining = assigned as f64 * MAX_COLLECTED_SHARE;
    let collected_for = waiting.iter().enumerate().take_while(|(i, gang)| {
        remaining -= f64::from(gang.tasks);
        *i == 0 || remaining >= 0.0
    });
    collected_for.map(|(_, gang)| gang.id).collect()
}
