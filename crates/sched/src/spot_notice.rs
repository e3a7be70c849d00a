//! What is stopped on a spot instance that the cloud will soon reclaim.

use std::time::Duration;

use wire::{JobKind, JobSpec};

use crate::records::{DesiredState, JobRecord};

/// For commands to arrive, and for all tasks of a gang to receive them.
const COMMAND_MARGIN: Duration = Duration::from_secs(1);
/// Longest time for saving a checkpoint that is counted with.
const MAX_CHECKPOINT_SAVE_S: f64 = 3600.0;

/// Whether a task should be stopped now, with this much time left on its machine. A service gets its
/// next place at once; what can save a checkpoint does so while there is time. The rest runs on: it
/// loses nothing by it and may finish.
pub fn should_stop(spec: &JobSpec, left: Duration) -> bool {
    let saves_checkpoints = spec.checkpoint_interval_s > 0.0;
    let save_time = wire::seconds(spec.checkpoint_save_s.min(MAX_CHECKPOINT_SAVE_S));
    match spec.kind {
        JobKind::Service => true,
        JobKind::Array | JobKind::Gang => saves_checkpoints && left >= save_time + COMMAND_MARGIN,
    }
}

/// Marks a task as to be stopped; all of a gang stops together. True if anything changed.
pub fn mark_to_stop(job: &mut JobRecord, task: u32) -> bool {
    let is_gang = job.spec.as_ref().is_some_and(|spec| spec.kind == JobKind::Gang);
    let mut changed = false;
    for assignment in job.assignments.iter_mut().filter(|a| is_gang || a.task == task) {
        changed |= assignment.desired == DesiredState::Running;
        assignment.desired = DesiredState::Stopped;
    }
    changed
}

#[cfg(test)]
#[path = "../tests/unit/spot_notice.rs"]
mod tests;
