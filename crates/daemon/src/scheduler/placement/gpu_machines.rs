//! Arrays and gangs that need no GPUs, on machines with GPUs that GPU jobs could use.

use sched::placement::{self, Limits, Slot, pending_task_count};
use sched::records::{Assignment, JobRecord, Name};
use sched::replica::Resources;
use wire::{JobKind, JobSpec};

use super::pass::{Candidate, PlacementAttempt, PlacementPass};

/// What is free on a machine, and held for GPU jobs.
pub(super) struct HeldCapacity {
    machine: Name,
    amount: Resources,
}

impl<'r> PlacementPass<'_, 'r> {
    /// Places an array or a gang that has found no capacity but what is kept for GPU jobs.
    ///
    /// A job that fits on no machine type without GPUs may use such capacity where no GPU job waits for
    /// it. So that it does not wait without end, one task of such arrays at a time, or one such gang, is
    /// placed even if GPU jobs wait, once it has waited long.
    pub(super) fn place_beside_gpu_jobs(
        &mut self,
        candidate: &Candidate,
        job: &mut JobRecord,
        limits: Limits,
    ) -> PlacementAttempt {
        if placement::fits_without_gpus(candidate.spec, &self.replica.machine_types) {
            return PlacementAttempt { assignments: Vec::new(), may_displace_gpu_jobs: false };
        }
        self.release_held();
        let mut assignments = self.place_where_no_gpu_job_waits(candidate, job, limits);
        if assignments.is_empty()
            && placement::is_overdue_for_gpu_capacity(job, self.context.now_ms)
            && !self.runs_beside_gpu_jobs()
        {
            let limits = Limits { max_tasks: 1, ..limits };
            assignments = self.place_within_claims(candidate, job, self.slot_filter(candidate), limits);
            // GPU jobs may wait for this machine now.
            self.machines_awaited_by_gpu_jobs = None;
        }
        PlacementAttempt { assignments, may_displace_gpu_jobs: true }
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

    /// Whether a task of an array or a gang that fits on no machine type without GPUs is on a machine.
    fn runs_beside_gpu_jobs(&self) -> bool {
        let (replica, cycle) = (self.replica, &*self.cycle);
        replica.open_jobs().any(|(id, job)| {
            let job = cycle.jobs.get(id).map_or(job, |updated| updated);
            let spec = job.spec.as_deref().filter(|spec| spec.kind != JobKind::Service && spec.gpus == 0.0);
            !job.assignments.is_empty()
                && spec.is_some_and(|spec| !placement::fits_without_gpus(spec, &replica.machine_types))
        })
    }

    /// The GPU jobs that wait for capacity, also those that other controllers schedule.
    fn waiting_gpu_jobs(&mut self) -> &[&'r JobSpec] {
        if self.waiting_gpu_jobs.is_none() {
            let jobs = self.replica.open_jobs();
            let specs = jobs.filter(|(id, job)| self.is_waiting_gpu_job(id, job));
            self.waiting_gpu_jobs = Some(specs.filter_map(|(_, job)| job.spec.as_deref()).collect());
        }
        self.waiting_gpu_jobs.as_deref().unwrap_or_default()
    }

    /// Whether a job is a GPU job with pending tasks, for which its team has quota and the cloud has
    /// machines.
    fn is_waiting_gpu_job(&self, id: &str, job: &JobRecord) -> bool {
        let Some(spec) = job.spec.as_deref().filter(|spec| spec.gpus > 0.0) else { return false };
        let updated = self.cycle.jobs.get(id).map_or(job, |updated| updated);
        let pending = pending_task_count(updated);
        let needed = if spec.kind == JobKind::Gang { pending } else { pending.min(1) };
        let Some(team) = self.controller.team(&spec.team) else { return false };
        let used = self.inventory.team_usage.get(&spec.team).copied().unwrap_or_default();
        let remaining_quota = team.limit().plus_scaled(used.counted_in_quota(), -1.0);
        needed > 0
            && !self.scheduling.shortfalls.is_unattainable(id)
            && Resources::of_task(spec).counted_in_quota().count_fitting_in(remaining_quota) >= needed
    }

    /// Holds what is free on the machines that waiting GPU jobs get once arrays and gangs without GPUs
    /// have ended there, while such a job is placed. If others took it, the GPU jobs would wait for as
    /// long as there are any. Nothing is held against GPU jobs and services, nor against a job that
    /// capacity was freed for on machines that are reserved for it.
    pub(super) fn hold_for_gpu_jobs_against(&mut self, spec: &JobSpec, reserved: &[Name]) {
        if spec.gpus > 0.0 || spec.kind == JobKind::Service || !reserved.is_empty() {
            self.release_held();
        } else if self.held_for_gpu_jobs.is_empty() {
            for machine in self.machines_awaited_by_gpu_jobs().to_vec() {
                let Some(slot) = self.inventory.find(&machine) else { continue };
                let amount = self.inventory.slots[slot].free();
                self.inventory.reserve(std::slice::from_ref(&machine), amount, 1.0);
                self.held_for_gpu_jobs.push(HeldCapacity { machine, amount });
            }
        }
    }

    fn release_held(&mut self) {
        for HeldCapacity { machine, amount } in std::mem::take(&mut self.held_for_gpu_jobs) {
            self.inventory.reserve(&[machine], amount, -1.0);
        }
    }

    /// The machines where a waiting GPU job does not fit, but would if arrays and gangs without GPUs had
    /// ended.
    fn machines_awaited_by_gpu_jobs(&mut self) -> &[Name] {
        if self.machines_awaited_by_gpu_jobs.is_none() {
            let waiting = distinct_shapes(self.waiting_gpu_jobs());
            let is_awaited = |slot: &&Slot| waiting.iter().any(|spec| self.waits_for_arrays_on(spec, slot));
            let machines = self.inventory.usable().filter(|slot| slot.capacity.gpus > 0.0);
            let awaited = machines.filter(is_awaited).map(|slot| slot.id.clone()).collect();
            self.machines_awaited_by_gpu_jobs = Some(awaited);
        }
        self.machines_awaited_by_gpu_jobs.as_deref().unwrap_or_default()
    }

    /// Whether a task of the GPU job finds free GPUs on the machine, but not the other resources, because
    /// arrays and gangs without GPUs use them.
    fn waits_for_arrays_on(&self, gpu_job: &JobSpec, slot: &Slot) -> bool {
        let (size, free) = (Resources::of_task(gpu_job), slot.free());
        if size.gpus > free.gpus || size.fits(free) || !placement::could_be_placed_on(gpu_job, slot) {
            return false;
        }
        let stays = |spec: &JobSpec| spec.kind == JobKind::Service || spec.gpus > 0.0;
        let mut without_arrays = slot.capacity;
        for (_, job, _) in self.replica.assignments(&slot.id) {
            if let Some(spec) = job.spec.as_deref().filter(|spec| stays(spec)) {
                without_arrays = without_arrays.plus_scaled(Resources::of_task(spec), -1.0);
            }
        }
        size.fits(without_arrays)
    }
}

/// One job of each shape, as far as the machines that suit its tasks are concerned.
fn distinct_shapes<'r>(jobs: &[&'r JobSpec]) -> Vec<&'r JobSpec> {
    let mut distinct: Vec<&JobSpec> = Vec::new();
    for job in jobs {
        let is_same_shape = |known: &&JobSpec| {
            (&known.types, &known.zone, known.spot) == (&job.types, &job.zone, job.spot)
                && Resources::of_task(known) == Resources::of_task(job)
        };
        if !distinct.iter().any(is_same_shape) {
            distinct.push(job);
        }
    }
    distinct
}
