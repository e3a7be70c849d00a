//! Finds the services and gangs that the cloud has no more machines for.

use std::collections::BTreeSet;
use std::time::Instant;

use sched::autoscaling::{Demand, DemandCoverage, ExpectedCapacity, count_fitting_tasks};
use sched::hash::HashMap;
use sched::placement::pending_task_count;
use sched::records::JobRecord;
use sched::replica::{Replica, Resources};
use tracing::info;
use wire::JobKind;

use super::Autoscaler;
use super::demand::JobDemand;
use crate::state::{CapacityShortfalls, ControllerState};

/// The jobs that are short of capacity, as far as this term of leadership has found them.
#[derive(Debug, Default)]
pub(super) struct ShortfallFinder {
    pub(super) shortfalls: CapacityShortfalls,
    /// When the capacity for each job was last counted.
    counted_at: HashMap<String, Instant>,
}

impl ShortfallFinder {
    /// Forgets all jobs but these.
    fn retain(&mut self, jobs: &BTreeSet<&str>) {
        self.shortfalls.retain(jobs);
        self.counted_at.retain(|job, _| jobs.contains(job.as_str()));
    }

    /// Notes that there is capacity for the job.
    fn note_capacity(&mut self, job: &str) {
        if self.shortfalls.remove(job) {
            info!(job, "there may be enough machines for the job again");
        }
    }

    /// Notes how many of the job's pending tasks could get capacity.
    fn note_shortfall(&mut self, job: &str, attainable_tasks: u32) {
        if self.shortfalls.note(job, attainable_tasks) {
            info!(job, attainable_tasks, "not enough machines for the job");
        }
    }
}

impl Autoscaler {
    /// Updates which of the waiting jobs are short of capacity, by how the plan covers their demands.
    /// `expected` is the capacity that is up or will be.
    ///
    /// A job whose demand is covered only with machines that are still to be granted stays what it was:
    /// the cloud may refuse them again. Until a job has been found short, it counts as one that gets
    /// capacity.
    pub(super) fn update_shortfalls(
        &mut self,
        state: &ControllerState,
        waiting: &[JobDemand],
        coverage: &[DemandCoverage],
        expected: &[ExpectedCapacity],
        now: Instant,
    ) {
        let finder = &mut self.shortfall_finder;
        finder.retain(&waiting.iter().map(|job| job.demand.spec.id.as_str()).collect());
        let mut short = Vec::new();
        for (job, coverage) in waiting.iter().zip(coverage) {
            match coverage {
                _ if job.demand.spec.kind == JobKind::Array => {}
                DemandCoverage::Expected => finder.note_capacity(&job.demand.spec.id),
                DemandCoverage::Requested => {}
                DemandCoverage::Short => short.push(job),
            }
        }
        // Counting goes through all machines, so one job is counted at a time, in turns.
        let last_counted = |job: &&&JobDemand| finder.counted_at.get(&job.demand.spec.id).copied();
        if let Some(job) = short.iter().min_by_key(last_counted) {
            finder.counted_at.insert(job.demand.spec.id.clone(), now);
            self.count_attainable_tasks(state, job, expected);
        }
    }

    /// Counts how many of a job's pending tasks could run on the machines that are up or expected once
    /// arrays and gangs have ended, and those services that the job may preempt.
    fn count_attainable_tasks(
        &mut self,
        state: &ControllerState,
        JobDemand { job, demand, .. }: &JobDemand,
        expected: &[ExpectedCapacity],
    ) {
        let pending = pending_task_count(job);
        let all_pending = Demand { tasks: pending, ..demand.clone() };
        let capacity = expected.iter().map(|capacity| without_finite_work(state, job, capacity)).collect();
        let replica = &state.records.replica;
        let gpu_spec = replica.latest_gpu_job.as_deref();
        let fitting = count_fitting_tasks(&all_pending, capacity, &replica.machine_types, gpu_spec);
        let id = demand.spec.id.as_str();
        match demand.spec.kind {
            _ if fitting >= pending => self.shortfall_finder.note_capacity(id),
            JobKind::Gang => self.shortfall_finder.note_shortfall(id, 0),
            JobKind::Service | JobKind::Array => self.shortfall_finder.note_shortfall(id, fitting),
        }
    }
}

/// The capacity of a machine beside what will stay on it for the whole of the job's wait.
fn without_finite_work(
    state: &ControllerState,
    job: &JobRecord,
    capacity: &ExpectedCapacity,
) -> ExpectedCapacity {
    let ControllerState { records, scheduling, .. } = state;
    let replica = &records.replica;
    let Some(machine) = &capacity.machine else { return capacity.clone() };
    let Some(slot) = scheduling.inventory.find(machine) else { return capacity.clone() };
    let is_guaranteed = |id: &str| scheduling.guaranteed.ids().contains(id);
    let used = staying_usage(replica, machine, job, is_guaranteed);
    let free = scheduling.inventory.slots[slot].capacity.plus_scaled(used, -1.0);
    ExpectedCapacity { free, ..capacity.clone() }
}

/// The resources of the replicas of services on a machine that the job may not preempt.
fn staying_usage(
    replica: &Replica,
    machine: &str,
    job: &JobRecord,
    is_guaranteed: impl Fn(&str) -> bool,
) -> Resources {
    let job_spec = job.spec.as_deref();
    let is_job_guaranteed = job_spec.is_some_and(|spec| is_guaranteed(&spec.id));
    let mut used = Resources::default();
    for (_, other, _) in replica.assignments(machine) {
        let Some(spec) = other.spec.as_deref().filter(|spec| spec.kind == JobKind::Service) else { continue };
        let is_of_team = job_spec.is_some_and(|own| own.team == spec.team);
        let is_preemptible =
            other.priority() < job.priority() || is_job_guaranteed && !is_of_team && !is_guaranteed(&spec.id);
        if !is_preemptible {
            used = used.plus_scaled(Resources::of_task(spec), 1.0);
        }
    }
    used
}
