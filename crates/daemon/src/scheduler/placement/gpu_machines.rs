//! Arrays and gangs that need no GPUs, on machines with GPUs that GPU jobs could use.

use sched::placement::{self, Limits, Slot, pending_task_count};
use sched::records::{Assignment, JobRecord};
use wire::JobSpec;

use super::pass::{Candidate, PlacementAttempt, PlacementPass};

impl<'r> PlacementPass<'_, 'r> {
    /// Places an array or a gang that has found no capacity but what is kept for GPU jobs.
    ///
    /// A job that fits on no machine type without GPUs may use such capacity where no GPU job waits for
    /// it. After a while, one task of an array, or a gang, is placed even if GPU jobs wait, so that it
    /// does not wait without end; of a job that has other machine types, where none waits.
    pub(super) fn place_beside_gpu_jobs(
        &mut self,
        candidate: &Candidate,
        job: &mut JobRecord,
        limits: Limits,
    ) -> PlacementAttempt {
        let has_alternative = placement::fits_without_gpus(candidate.spec, &self.replica.machine_types);
        let mut assignments = Vec::new();
        if !has_alternative {
            assignments = self.place_where_no_gpu_job_waits(candidate, job, limits);
        }
        if assignments.is_empty() && placement::is_overdue_for_gpu_capacity(job, self.context.now_ms) {
            let limits = Limits { max_tasks: 1, ..limits };
            assignments = if has_alternative {
                self.place_where_no_gpu_job_waits(candidate, job, limits)
            } else {
                self.place_within_claims(candidate, job, self.slot_filter(candidate), limits)
            };
        }
        PlacementAttempt { assignments, may_displace_gpu_jobs: !has_alternative }
    }

    fn place_where_no_gpu_job_waits(
        &mut self,
        candidate: &Candidate,
        job: &mut JobRecord,
        limits: Limits,
    ) -> Vec<Assignment> {
        let waiting = self.waiting_gpu_jobs().to_vec();
        let is_in_reach = self.slot_filter(candidate);
        let is_awaited = |slot: &Slot| waiting.iter().any(|spec| placement::could_be_placed_on(spec, slot));
        let slot_filter = |slot: &Slot| is_in_reach(slot) && !is_awaited(slot);
        self.place_within_claims(candidate, job, slot_filter, limits)
    }

    /// The GPU jobs with pending tasks, also those that other controllers schedule, but for those that
    /// the cloud has no machines for.
    fn waiting_gpu_jobs(&mut self) -> &[&'r JobSpec] {
        let (replica, cycle, shortfalls) = (self.replica, &*self.cycle, &self.scheduling.shortfalls);
        self.waiting_gpu_jobs.get_or_insert_with(|| {
            let waiting_spec = |(id, job): (&'r String, &'r JobRecord)| {
                let spec = job.spec.as_deref().filter(|spec| spec.gpus > 0.0)?;
                let is_attainable = !shortfalls.is_unattainable(id);
                let updated = cycle.jobs.get(id).map_or(job, |updated| updated);
                (is_attainable && pending_task_count(updated) > 0).then_some(spec)
            };
            replica.open_jobs().filter_map(waiting_spec).collect()
        })
    }
}
