//! Whether a job could ever run.

use wire::{JobKind, JobSpec, MachineType};

use crate::hash::HashMap;
use crate::replica::{Resources, Team};

/// Whether any machine type could hold a task of the job.
pub fn fits_some_machine_type(spec: &JobSpec, machine_types: &HashMap<String, MachineType>) -> bool {
    machine_types.values().any(|t| {
        Resources::of_task(spec).fits(Resources::of_type(t))
            && spec.types.as_ref().is_none_or(|allowed| allowed.contains(&t.name))
            && spec.zone.as_ref().is_none_or(|zone| t.zones.contains(zone))
    })
}

/// Whether the job stays within a team's quota at all: one task of an array, and all tasks of
/// others.
pub fn within_quota(spec: &JobSpec, team: &Team) -> bool {
    let tasks = if spec.kind == JobKind::Array { 1 } else { spec.tasks };
    Resources::default()
        .plus_scaled(Resources::of_task(spec).without_memory(), f64::from(tasks))
        .fits(team.limit())
}
