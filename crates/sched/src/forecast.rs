//! What will be asked for before a machine that is rented now could be up.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use wire::{JobKind, JobSpec};

use crate::placement::pending_task_count;
use crate::records::{Name, Phase};
use crate::replica::Replica;

/// How far ahead: about what it takes to rent and boot a machine.
pub const AHEAD: Duration = Duration::from_secs(60);
/// Most room kept ready for services, as a share of what runs of them: the
/// services of a cluster's first minute are no sign of what comes.
const SERVICE_SHARE: f64 = 0.08;
/// Most room kept ready for GPU tasks, as a share of all that run or wait.
const GPU_SHARE: f64 = 0.25;

/// The service tasks to expect: as many as came in the last while, each like
/// those of the latest service. Room for them has to be there when they come,
/// as they are to start within seconds; else they stop gangs.
pub fn expected_services(world: &Replica, now_ms: u64) -> Option<(JobSpec, u32)> {
    let since = now_ms.saturating_sub(AHEAD.as_millis() as u64);
    let (mut came, mut running) = (0, 0);
    let mut latest: Option<(u64, &JobSpec)> = None;
    for job in world.open_job_ids.iter().filter_map(|id| world.jobs.get(id)).map(|j| &j.value) {
        let Some(spec) = job.spec.as_deref().filter(|s| s.kind == JobKind::Service) else { continue };
        running += job.assignments.len();
        if job.submitted_ms >= since {
            came += spec.tasks;
        }
        if latest.is_none_or(|l| job.submitted_ms > l.0) {
            latest = Some((job.submitted_ms, spec));
        }
    }
    let tasks = came.min((running as f64 * SERVICE_SHARE) as u32);
    latest.filter(|_| tasks > 0).map(|(_, spec)| (JobSpec { spread: false, ..spec.clone() }, tasks))
}

/// The jobs that will be ready about when a machine rented now is up: all that they
/// still need runs its last tasks, and takes no longer than that.
pub fn next_steps(world: &Replica) -> impl Iterator<Item = &JobSpec> {
    let ends = |id: &Name| {
        let Some(job) = world.jobs.get(&**id).map(|j| &j.value) else { return false };
        let short = |s: &JobSpec| s.estimated_runtime_s <= AHEAD.as_secs_f64();
        job.phase == Phase::Done
            || job.phase == Phase::Active
                && job.spec.as_deref().is_some_and(short)
                && !job.assignments.is_empty()
                && pending_task_count(job) == 0
    };
    let waiting = world.pipelines.waiting().filter_map(|id| world.jobs.get(&**id));
    waiting.filter(move |j| j.value.dependencies.iter().all(ends)).filter_map(|j| j.value.spec.as_deref())
}

/// How the demand for GPU tasks has grown.
#[derive(Debug, Default)]
pub struct GpuDemand {
    samples: VecDeque<(Instant, u32)>,
}

impl GpuDemand {
    /// Notes what runs and waits now.
    pub fn note(&mut self, world: &Replica, now: Instant) {
        let often = Duration::from_secs(3);
        if self.samples.back().is_some_and(|s| now.saturating_duration_since(s.0) < often) {
            return;
        }
        let open = world.open_job_ids.iter().filter_map(|id| world.jobs.get(id)).map(|j| &j.value);
        let of_gpus = open.filter(|j| j.spec.as_ref().is_some_and(|s| s.gpus > 0.0));
        let sum = of_gpus.map(|j| j.assignments.len() as u32 + pending_task_count(j)).sum();
        self.samples.push_back((now, sum));
        while self.samples.get(1).is_some_and(|s| now.saturating_duration_since(s.0) >= AHEAD) {
            self.samples.pop_front();
        }
    }

    /// By how many tasks the demand may grow until machines rented now are up.
    /// Nothing, as long as it is not known how it has grown.
    pub fn growth(&self, now: Instant) -> u32 {
        let (Some(first), Some(last)) = (self.samples.front(), self.samples.back()) else { return 0 };
        if now.saturating_duration_since(first.0) < AHEAD {
            return 0;
        }
        last.1.saturating_sub(first.1).min((f64::from(last.1) * GPU_SHARE) as u32)
    }
}

#[cfg(test)]
#[path = "../tests/unit/forecast.rs"]
mod tests;
