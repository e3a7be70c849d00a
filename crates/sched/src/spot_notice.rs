//! What is stopped on a machine that the cloud will soon take away.

use std::time::Duration;

use wire::{JobKind, JobSpec};

use crate::records::{DesiredState, JobRecord};

/// For commands to arrive, and for a gang's tasks to be told within one another.
const MARGIN: Duration = Duration::from_secs(1);

/// Whether a task should be stopped now, with so much time left on its machine.
/// A service gets its next place at once; what can save its progress does so
/// while there is time. The rest runs on: it loses nothing by it and may finish.
pub fn stops(spec: &JobSpec, left: Duration) -> bool {
    let saves = spec.checkpoint_interval_s > 0.0;
    let save = wire::seconds(spec.checkpoint_save_s.min(3600.0));
    match spec.kind {
        JobKind::Service => true,
        JobKind::Array | JobKind::Gang => saves && left >= save + MARGIN,
    }
}

/// Marks what has to stop; all of a gang together. True if anything changed.
pub fn mark(job: &mut JobRecord, task: u32) -> bool {
    let gang = job.spec.as_ref().is_some_and(|s| s.kind == JobKind::Gang);
    let mut changed = false;
    for a in job.assignments.iter_mut().filter(|a| gang || a.task == task) {
        changed |= a.desired == DesiredState::Running;
        a.desired = DesiredState::Stopped;
    }
    changed
}

#[cfg(test)]
#[path = "../tests/unit/spot_notice.rs"]
mod tests;
