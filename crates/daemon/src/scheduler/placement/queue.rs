//! The placement queue: the pending jobs that this controller schedules, and their order.

use std::cmp::Ordering;

use sched::hash::HashSet;
use sched::placement::{QueueRank, QueueStanding, pending_task_count, queue_order, queue_rank};
use sched::records::JobRecord;
use sched::replica::Replica;

use crate::controller::Controller;
use crate::scheduler::SchedulingCycle;
use crate::state::ControllerState;

/// The jobs with pending tasks that this controller schedules.
pub(super) fn pending_jobs(
    controller: &Controller,
    state: &ControllerState,
    cycle: &SchedulingCycle,
) -> Vec<String> {
    let replica = &state.records.replica;
    let is_pending = |(id, job): &(&String, &JobRecord)| {
        let job = cycle.jobs.get(*id).map_or(*job, |updated| updated);
        pending_task_count(job) > 0
            && replica.scheduler_of(job) == Some(&controller.identity.name)
            && !cycle.jobs_on_hold.contains(*id)
    };
    replica.open_jobs().filter(is_pending).map(|(id, _)| id.clone()).collect()
}

/// The inputs for the order of the queue, apart from the records of the jobs.
pub(super) struct QueueOrder<'a> {
    pub(super) controller: &'a Controller,
    pub(super) replica: &'a Replica,
    /// Jobs within their teams' guaranteed quota.
    pub(super) guaranteed: &'a HashSet<String>,
    /// The gangs that have waited longest.
    pub(super) longest_waiting: &'a HashSet<&'a str>,
    /// The wall-clock time, in milliseconds since the Unix epoch.
    pub(super) now_ms: u64,
}

/// A job of the queue.
struct QueuedJob<'a> {
    id: String,
    record: &'a JobRecord,
    rank: QueueRank,
}

impl QueuedJob<'_> {
    fn order(&self, other: &Self) -> Ordering {
        queue_order((self.record, self.rank), (other.record, other.rank)).then_with(|| self.id.cmp(&other.id))
    }
}

impl<'a> QueueOrder<'a> {
    /// Sorts the queue into the order of placement. Jobs without a record are dropped.
    pub(super) fn sort(&self, queue: Vec<String>) -> Vec<String> {
        let mut jobs: Vec<QueuedJob> = queue.into_iter().filter_map(|id| self.queued_job(id)).collect();
        jobs.sort_by(QueuedJob::order);
        jobs.into_iter().map(|job| job.id).collect()
    }

    fn queued_job(&self, id: String) -> Option<QueuedJob<'a>> {
        let record: &JobRecord = self.replica.jobs.get(&id)?.value.as_ref();
        let start_times =
            record.spec.as_ref().and_then(|spec| self.controller.settings.wait_objective_range(&spec.class));
        let is_guaranteed = self.guaranteed.contains(&id);
        let has_waited_longest = self.longest_waiting.contains(id.as_str());
        let standing =
            QueueStanding { within_guarantee: is_guaranteed, is_longest_waiting: has_waited_longest };
        let rank = queue_rank(record, standing, start_times, self.now_ms);
        Some(QueuedJob { id, record, rank })
    }
}
