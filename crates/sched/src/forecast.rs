//! Forecasts the demand until a machine that is requested now could be up.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use wire::{JobKind, JobSpec};

use crate::placement::pending_task_count;
use crate::records::{JobRecord, Name, Phase};
use crate::replica::Replica;

/// How far ahead demand is forecast: about the time to request and boot a machine.
pub const FORECAST_HORIZON: Duration = Duration::from_secs(60);
/// The most capacity kept ready for services, as a share of the service tasks that run: the
/// services of a cluster's first minute say little about later demand.
const MAX_SERVICE_SHARE: f64 = 0.08;
/// The most capacity kept ready for GPU tasks, as a share of all that run or wait.
const MAX_GPU_SHARE: f64 = 0.25;
/// The least time between two samples of the demand for GPU tasks.
const GPU_SAMPLE_INTERVAL: Duration = Duration::from_secs(3);

/// The service tasks to expect: as many as were submitted within the last [`FORECAST_HORIZON`],
/// with the specification of the latest service. Capacity for them has to be ready when they are
/// submitted, because services have to start within seconds; otherwise they preempt gangs.
pub fn expected_services(replica: &Replica, now_ms: u64) -> Option<(JobSpec, u32)> {
    let since_ms = now_ms.saturating_sub(FORECAST_HORIZON.as_millis() as u64);
    let (mut submitted, mut running) = (0, 0);
    let mut latest: Option<(u64, &JobSpec)> = None;
    for (_, job) in replica.open_jobs() {
        let Some(spec) = job.spec.as_deref().filter(|spec| spec.kind == JobKind::Service) else { continue };
        running += job.assignments.len();
        if job.submitted_ms >= since_ms {
            submitted += spec.tasks;
        }
        if latest.is_none_or(|(submitted_ms, _)| job.submitted_ms > submitted_ms) {
            latest = Some((job.submitted_ms, spec));
        }
    }
    let tasks = submitted.min((running as f64 * MAX_SERVICE_SHARE) as u32);
    let (_, spec) = latest.filter(|_| tasks > 0)?;
    Some((JobSpec { spread: false, ..spec.clone() }, tasks))
}

/// The waiting jobs that will be ready at about the time when a machine requested now is up: the
/// last tasks of all their dependencies are running, and take no longer than [`FORECAST_HORIZON`].
pub fn next_pipeline_steps(replica: &Replica) -> impl Iterator<Item = &JobSpec> {
    let ends_soon = |id: &Name| replica.jobs.get(&**id).is_some_and(|job| ends_within_horizon(&job.value));
    let waiting = replica.pipelines.waiting().filter_map(|id| replica.jobs.get(&**id));
    waiting
        .filter(move |job| job.value.dependencies.iter().all(ends_soon))
        .filter_map(|job| job.value.spec.as_deref())
}

fn ends_within_horizon(job: &JobRecord) -> bool {
    let is_short = |spec: &JobSpec| spec.estimated_runtime_s <= FORECAST_HORIZON.as_secs_f64();
    let runs_last_tasks = || {
        job.spec.as_deref().is_some_and(is_short)
            && !job.assignments.is_empty()
            && pending_task_count(job) == 0
    };
    job.phase == Phase::Done || (job.phase == Phase::Active && runs_last_tasks())
}

/// The number of GPU tasks, running or waiting, at one time.
#[derive(Debug, Clone, Copy)]
struct GpuSample {
    at: Instant,
    tasks: u32,
}

/// The recent growth of the demand for GPU tasks.
#[derive(Debug, Default)]
pub struct GpuDemand {
    samples: VecDeque<GpuSample>,
}

impl GpuDemand {
    /// Samples the number of GPU tasks that run or wait, unless the last sample is recent.
    pub fn sample(&mut self, replica: &Replica, now: Instant) {
        let age = |sample: &GpuSample| now.saturating_duration_since(sample.at);
        if self.samples.back().is_some_and(|sample| age(sample) < GPU_SAMPLE_INTERVAL) {
            return;
        }
        let gpu_jobs = replica
            .open_jobs()
            .map(|(_, job)| job)
            .filter(|job| job.spec.as_ref().is_some_and(|spec| spec.gpus > 0.0));
        let tasks = gpu_jobs.map(|job| job.assignments.len() as u32 + pending_task_count(job)).sum();
        self.samples.push_back(GpuSample { at: now, tasks });
        while self.samples.get(1).is_some_and(|sample| age(sample) >= FORECAST_HORIZON) {
            self.samples.pop_front();
        }
    }

    /// By how many tasks the demand may grow until machines requested now are up. 0 until samples
    /// cover [`FORECAST_HORIZON`].
    pub fn growth(&self, now: Instant) -> u32 {
        let (Some(first), Some(last)) = (self.samples.front(), self.samples.back()) else { return 0 };
        if now.saturating_duration_since(first.at) < FORECAST_HORIZON {
            return 0;
        }
        last.tasks.saturating_sub(first.tasks).min((f64::from(last.tasks) * MAX_GPU_SHARE) as u32)
    }
}

#[cfg(test)]
#[path = "../tests/unit/forecast.rs"]
mod tests;
