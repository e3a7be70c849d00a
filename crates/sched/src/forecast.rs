//! What will be asked for before a machine that is rented now could be up.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use wire::{JobKind, JobSpec};

use crate::placement::pending_count;
use crate::records::{Name, Phase};
use crate::world::World;

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
pub fn services(world: &World, now_ms: u64) -> Option<(JobSpec, u32)> {
    let since = now_ms.saturating_sub(AHEAD.as_millis() as u64);
    let (mut came, mut running) = (0, 0);
    let mut latest: Option<(u64, &JobSpec)> = None;
    for job in world.open.iter().filter_map(|id| world.jobs.get(id)).map(|j| &j.value) {
        let Some(spec) = job.spec.as_deref().filter(|s| s.kind == JobKind::Service) else { continue };
        running += job.run.len();
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
pub fn next_steps(world: &World) -> impl Iterator<Item = &JobSpec> {
    let ends = |id: &Name| {
        let Some(job) = world.jobs.get(&**id).map(|j| &j.value) else { return false };
        let short = |s: &JobSpec| s.estimate_s <= AHEAD.as_secs_f64();
        job.phase == Phase::Done
            || job.phase == Phase::Active
                && job.spec.as_deref().is_some_and(short)
                && !job.run.is_empty()
                && pending_count(job) == 0
    };
    let waiting = world.pipelines.waiting().filter_map(|id| world.jobs.get(&**id));
    waiting.filter(move |j| j.value.needs.iter().all(ends)).filter_map(|j| j.value.spec.as_deref())
}

/// How the demand for GPU tasks has grown.
#[derive(Debug, Default)]
pub struct GpuDemand {
    samples: VecDeque<(Instant, u32)>,
}

impl GpuDemand {
    /// Notes what runs and waits now.
    pub fn note(&mut self, world: &World, now: Instant) {
        let often = Duration::from_secs(3);
        if self.samples.back().is_some_and(|s| now.saturating_duration_since(s.0) < often) {
            return;
        }
        let open = world.open.iter().filter_map(|id| world.jobs.get(id)).map(|j| &j.value);
        let of_gpus = open.filter(|j| j.spec.as_ref().is_some_and(|s| s.gpus > 0.0));
        let sum = of_gpus.map(|j| j.run.len() as u32 + pending_count(j)).sum();
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
mod tests {
    use super::*;
    use crate::placement::tests::{add, spec, world};

    #[test]
    fn services_to_come_are_a_small_share_of_what_runs() {
        let mut w = world(&[("a1", "m", "a", false)]);
        assert!(services(&w, 1000).is_none());
        let run: Vec<(u32, &str)> = (0..50).map(|t| (t, "a1")).collect();
        add(&mut w, spec("j-1", JobKind::Service, 50), &run);
        assert_eq!(services(&w, 1000).map(|s| s.1), Some(4));
        assert!(services(&w, 100_000).is_none(), "none has come lately");
    }

    #[test]
    fn the_next_step_is_foreseen_when_the_last_tasks_before_it_run() {
        let mut w = world(&[("a1", "m", "a", false)]);
        add(&mut w, spec("j-1", JobKind::Array, 2), &[(0, "a1")]);
        let next =
            crate::records::JobRecord::waiting(spec("j-2", JobKind::Array, 3), None, 0, vec!["j-1".into()]);
        w.apply(crate::world::Change::Job("j-2".into(), Some(Box::new(next))), 3);
        let foreseen = |w: &World| next_steps(w).map(|s| s.id.clone()).collect::<Vec<_>>();
        assert!(foreseen(&w).is_empty(), "one task before it has no place yet");
        add(&mut w, spec("j-1", JobKind::Array, 2), &[(0, "a1"), (1, "a1")]);
        assert_eq!(foreseen(&w), ["j-2"]);
        let mut long = spec("j-1", JobKind::Array, 2);
        long.estimate_s = 600.0;
        add(&mut w, long, &[(0, "a1"), (1, "a1")]);
        assert!(foreseen(&w).is_empty(), "it would stand idle for long");
    }

    #[test]
    fn growth_is_known_only_after_a_while_and_bounded() {
        let mut w = world(&[("a1", "g", "a", false)]);
        let mut gang = spec("j-1", JobKind::Gang, 40);
        gang.gpus = 1.0;
        add(&mut w, gang.clone(), &[]);
        let (start, mut demand) = (Instant::now(), GpuDemand::default());
        demand.note(&w, start);
        gang.id = "j-2".into();
        gang.tasks = 8;
        add(&mut w, gang, &[]);
        demand.note(&w, start + AHEAD / 2);
        assert_eq!(demand.growth(start + AHEAD / 2), 0);
        demand.note(&w, start + AHEAD);
        assert_eq!(demand.growth(start + AHEAD), 8);
        let later = start + AHEAD * 3;
        demand.note(&w, later);
        assert_eq!(demand.growth(later), 0);
    }
}
