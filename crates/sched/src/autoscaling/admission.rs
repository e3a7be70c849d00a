//! Checks whether a job could ever run.

use wire::{JobKind, JobSpec, MachineType};

use crate::hash::HashMap;
use crate::replica::{Resources, Team};

/// Whether a task of the job fits on any machine type that the job may use.
pub fn fits_some_machine_type(spec: &JobSpec, machine_types: &HashMap<String, MachineType>) -> bool {
    machine_types.values().any(|machine_type| {
        Resources::of_task(spec).fits(Resources::of_type(machine_type))
            && spec.types.as_ref().is_none_or(|allowed| allowed.contains(&machine_type.name))
            && spec.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone))
    })
}

/// Whether the job can run within the quota of its team: one task of an array, and all tasks of
/// other jobs.
pub fn within_quota(spec: &JobSpec, team: &Team) -> bool {
    let tasks = if spec.kind == JobKind::Array { 1 } else { spec.tasks };
    Resources::default()
        .plus_scaled(Resources::of_task(spec).counted_in_quota(), f64::from(tasks))
        .fits(team.limit())
}
