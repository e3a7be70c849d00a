//! The order in which jobs are served.

use std::cmp::Ordering;

use wire::JobKind;

use crate::records::JobRecord;

/// The share of the time to its deadline after which a job no longer yields to others.
const PRESSING_DEADLINE_SHARE: f64 = 0.35;

/// The rank among jobs of the same priority; the lowest is served first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueRank {
    /// The job is served after those that have waited longest and those that have to start within a
    /// given time.
    pub is_deferred: bool,
    /// The job is beyond its team's guarantee.
    pub beyond_guarantee: bool,
    /// How many of its target start times the job has missed.
    pub missed_start_times: u8,
}

/// The standing of a job in comparison with others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueStanding {
    /// The job is within its team's guarantee.
    pub within_guarantee: bool,
    /// The job is one of the gangs of [`longest_waiting`](super::longest_waiting).
    pub is_longest_waiting: bool,
}

/// How long the job has waited since its submission, or since its last dependency was done.
pub(super) fn waited_s(job: &JobRecord, now_ms: u64) -> f64 {
    now_ms.saturating_sub(job.submitted_ms) as f64 / 1000.0
}

/// Whether a job has used up so much of the time to its deadline that it should no longer yield to
/// others.
pub fn is_deadline_pressing(job: &JobRecord, now_ms: u64) -> bool {
    let deadline_s = job.spec.as_ref().and_then(|spec| spec.deadline_s);
    let passed_s = now_ms.saturating_sub(job.deadline_start_ms()) as f64 / 1000.0;
    deadline_s.is_some_and(|deadline_s| passed_s > deadline_s * PRESSING_DEADLINE_SHARE)
}

/// The rank of a job in the queue. `start_times_s` are its two target start times, in seconds of
/// waiting, the lower one first.
///
/// When demand exceeds capacity, serving jobs strictly by age makes every job late. A gang that has
/// missed a target therefore yields to gangs that can still meet theirs, until it is one of those
/// that have waited longest.
pub fn queue_rank(
    job: &JobRecord,
    standing: QueueStanding,
    start_times_s: Option<(f64, f64)>,
    now_ms: u64,
) -> QueueRank {
    let waited_s = waited_s(job, now_ms);
    let is_gang = job.spec.as_ref().is_some_and(|spec| spec.kind == JobKind::Gang);
    let missed_start_times = match start_times_s {
        Some((lower_s, upper_s)) if is_gang => u8::from(waited_s >= lower_s) + u8::from(waited_s >= upper_s),
        _ => 0,
    };
    QueueRank {
        is_deferred: !standing.is_longest_waiting,
        beyond_guarantee: !standing.within_guarantee,
        missed_start_times,
    }
}

/// The order in which jobs are served: by priority, then by rank, then steps of pipelines by their
/// latest start, then by age.
pub fn queue_order(a: (&JobRecord, QueueRank), b: (&JobRecord, QueueRank)) -> Ordering {
    let ((job_a, rank_a), (job_b, rank_b)) = (a, b);
    let latest_start_ms = |job: &JobRecord| {
        let latest_start_ms = if job.has_pipeline_deadline() { job.latest_start_ms() } else { None };
        latest_start_ms.unwrap_or(u64::MAX)
    };
    (job_b.priority().cmp(&job_a.priority()))
        .then(rank_a.cmp(&rank_b))
        .then_with(|| latest_start_ms(job_a).cmp(&latest_start_ms(job_b)))
        .then(job_a.submitted_ms.cmp(&job_b.submitted_ms))
}
