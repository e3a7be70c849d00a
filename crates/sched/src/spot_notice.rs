//! Which tasks are stopped on a spot instance that the cloud will soon reclaim.

use std::time::Duration;

use wire::{JobKind, JobSpec};

use crate::records::{DesiredState, JobRecord};

/// The time for commands to arrive, and for all tasks of a gang to receive them.
const COMMAND_MARGIN: Duration = Duration::from_secs(1);
/// The longest time for saving a checkpoint that is taken into account.
const MAX_CHECKPOINT_SAVE_S: f64 = 3600.0;

/// Whether a task should be stopped now, with this much time left on its machine. A service is
/// stopped so that it is placed elsewhere at once. A task that can save a checkpoint is stopped
/// while there is time to save. Other tasks keep running: they lose nothing by it and may finish.
pub fn should_stop(spec: &JobSpec, time_left: Duration) -> bool {
    let saves_checkpoints = spec.checkpoint_interval_s > 0.0;
    let save_time = wire::seconds(spec.checkpoint_save_s.min(MAX_CHECKPOINT_SAVE_S));
    match spec.kind {
        JobKind::Service => true,
        JobKind::Array | JobKind::Gang => saves_checkpoints && time_left >= save_time + COMMAND_MARGIN,
    }
}

/// Marks a task to be stopped; all tasks of a gang are marked together. Returns true if anything
/// changed.
pub fn mark_to_stop(job: &mut JobRecord, task: u32) -> bool {
    let is_gang = job.spec.as_ref().is_some_and(|spec| spec.kind == JobKind::Gang);
    let mut changed = false;
    for assignment in job.assignments.iter_mut().filter(|assignment| is_gang || assignment.task == task) {
        changed |= assignment.desired == DesiredState::Running;
        assignment.desired = DesiredState::Stopped;
    }
    changed
}

#[cfg(test)]
#[path = "../tests/unit/spot_notice.rs"]
mod tests;
