//! Which machines a job may use, and which of its tasks are pending.

use wire::JobSpec;

use crate::hash::HashMap;
use crate::inventory::Slot;
use crate::records::{JobRecord, Phase};
use crate::replica::Resources;

/// Whether the job may use machines of this type, zone and purchase option (on demand or spot).
pub fn is_allowed(spec: &JobSpec, machine_type: &str, zone: &str, spot: bool) -> bool {
    spec.types.as_ref().is_none_or(|types| types.iter().any(|allowed| allowed == machine_type))
        && spec.zone.as_ref().is_none_or(|required| required == zone)
        && (spec.spot || !spot)
}

/// Whether the job may use a machine.
pub(crate) fn is_allowed_on(spec: &JobSpec, slot: &Slot) -> bool {
    is_allowed(spec, &slot.machine_type, &slot.zone, slot.spot)
}

/// The most tasks of the job that may be in one zone.
pub fn zone_limit(spec: &JobSpec) -> u32 {
    if spec.spread { spec.tasks.div_ceil(2) } else { u32::MAX }
}

/// The tasks that are neither done nor assigned, in ascending order; none if the job is not active.
pub fn pending_tasks(job: &JobRecord) -> impl Iterator<Item = u32> + '_ {
    let count = match (&job.spec, job.phase) {
        (Some(spec), Phase::Active) => spec.tasks,
        _ => 0,
    };
    let is_assigned =
        |task: u32| job.assignments.binary_search_by_key(&task, |assignment| assignment.task).is_ok();
    (job.done.first_missing()..count).filter(move |task| !job.done.contains(*task) && !is_assigned(*task))
}

/// How many tasks are neither done nor assigned; 0 if the job is not active.
pub fn pending_task_count(job: &JobRecord) -> u32 {
    match (&job.spec, job.phase) {
        (Some(spec), Phase::Active) => {
            // A task that is done is no longer assigned.
            spec.tasks.saturating_sub(job.done.len() + job.assignments.len() as u32)
        }
        _ => 0,
    }
}

/// Whether all tasks of the job fit into the free capacity of the machines. Each machine comes with
/// the number of equivalent machines that it represents.
pub fn fits_entire_job<'a>(spec: &JobSpec, machines: impl Iterator<Item = (&'a Slot, u32)>) -> bool {
    let size = Resources::of_task(spec);
    let mut tasks_by_zone: HashMap<&str, u32> = HashMap::default();
    for (slot, count) in machines.filter(|(slot, _)| is_allowed_on(spec, slot)) {
        let tasks = tasks_by_zone.entry(&*slot.zone).or_default();
        *tasks = tasks.saturating_add(size.count_fitting_in(slot.free()).saturating_mul(count));
    }
    let limit = zone_limit(spec);
    if spec.one_zone {
        tasks_by_zone.values().any(|tasks| *tasks >= spec.tasks)
    } else {
        let total: u64 = tasks_by_zone.values().map(|tasks| u64::from((*tasks).min(limit))).sum();
        total >= u64::from(spec.tasks)
    }
}
