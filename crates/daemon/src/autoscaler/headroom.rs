//! Headroom: capacity that is kept ready for the next GPU jobs.

use std::time::{Duration, Instant};

use wire::{JobKind, JobSpec};

use super::Autoscaler;
use crate::controller::{Controller, wall_ms};
use crate::state::ControllerState;

/// How long headroom is kept after the latest GPU job.
const HEADROOM_DURATION: Duration = Duration::from_secs(300);

/// The spec of the job whose kind of tasks headroom is kept for; `None` if no headroom is kept.
pub fn headroom_spec<'a>(controller: &Controller, state: &'a ControllerState) -> Option<&'a JobSpec> {
    let replica = &state.records.replica;
    if wall_ms().saturating_sub(replica.latest_gpu_job_ms) > HEADROOM_DURATION.as_millis() as u64 {
        return None;
    }
    replica.latest_gpu_job.as_deref().filter(|spec| {
        spec.kind == JobKind::Gang
            && controller.operators.spare_gpu_tasks > 0
            && controller.settings.has_wait_objective(&spec.class)
    })
}

impl Autoscaler {
    /// The number of GPU tasks that headroom is kept for.
    pub(super) fn headroom_tasks(&self, controller: &Controller, now: Instant) -> u32 {
        controller.operators.spare_gpu_tasks.max(self.gpu_demand.growth(now))
    }
}
