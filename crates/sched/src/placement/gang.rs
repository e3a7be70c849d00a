//! Collecting capacity for gangs that have waited long.

use std::collections::BTreeMap;

use wire::{JobKind, JobSpec};

use super::eligibility::is_allowed_on;
use super::queue::waited_s;
use crate::inventory::{Inventory, Slot};
use crate::records::{Name, Phase};
use crate::replica::{Replica, Resources};

/// From when on capacity is collected for a gang.
const COLLECT_AFTER_S: f64 = 110.0;
/// What may be collected at a time, as a share of the gang tasks that are assigned.
const MAX_COLLECTED_SHARE: f64 = 0.15;

/// Whether a job could take capacity that a gang needs.
pub fn competes_for_capacity(spec: &JobSpec, gang: &JobSpec) -> bool {
    let shares_a_type = match (&spec.types, &gang.types) {
        (Some(types), Some(gang_types)) => types.iter().any(|t| gang_types.contains(t)),
        _ => true,
    };
    shares_a_type && (gang.gpus == 0.0 || spec.gpus > 0.0)
}

/// The free capacity that a gang could use once there is enough, a machine's name for each task:
/// if all its tasks have to be in one zone, that of the zone with most of it.
pub fn collectable_capacity(
    inventory: &Inventory,
    spec: &JobSpec,
    within: impl Fn(&Slot) -> bool,
) -> Vec<Name> {
    let size = Resources::of_task(spec);
    let suits = |slot: &Slot| size.fits(slot.free()) && is_allowed_on(spec, slot) && within(slot);
    let mut by_zone: BTreeMap<&str, Vec<&Name>> = BTreeMap::new();
    for slot in inventory.matching(suits).into_iter().map(|i| &inventory.slots[i]) {
        let zone = if spec.one_zone { &*slot.zone } else { "" };
        let tasks = size.count_fitting_in(slot.free()).min(spec.tasks) as usize;
        by_zone.entry(zone).or_default().extend(std::iter::repeat_n(&slot.id, tasks));
    }
    let largest = by_zone.into_values().max_by_key(Vec::len).unwrap_or_default();
    largest.into_iter().take(spec.tasks as usize).cloned().collect()
}

/// A gang that waits, in the order of submission.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct WaitingGang<'a> {
    submitted_ms: u64,
    id: &'a str,
    tasks: u32,
}

/// The gangs that have waited longest, for which capacity is collected until they start: a large
/// one never would where smaller jobs take all capacity that comes free. Only a few at a time, at
/// least one: were it all that wait, none would start in time any more where the demand exceeds the
/// capacity.
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
