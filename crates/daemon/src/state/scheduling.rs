//! What the scheduling loop remembers from one cycle to the next.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use sched::placement::Inventory;
use sched::records::Name;

use super::guaranteed_jobs::GuaranteedJobs;

/// Least time between two writes of a record that is stored in chunks, as each write costs one
/// change per chunk.
const MIN_CHUNKED_WRITE_INTERVAL: Duration = Duration::from_millis(1200);
/// How long a record that the key-value store rejects is left alone.
pub const REJECTED_RECORD_BACKOFF: Duration = Duration::from_secs(20);
/// How long cycles write one job each after a rejection.
const SINGLE_JOB_PERIOD: Duration = Duration::from_secs(4);

/// Capacity that is being freed for a job.
#[derive(Debug, Clone)]
pub struct Reservation {
    /// The machines, each as often as it is to hold a task.
    pub machines: Vec<Name>,
    /// Until when the capacity is reserved.
    pub until: Instant,
}

/// CPUs of the jobs that were lately assigned to each shard, by its owner's incarnation: they
/// do not show on the machines yet.
#[derive(Debug, Default)]
pub struct RecentAssignments {
    /// Since when they have been counted.
    pub since: Option<Instant>,
    /// The epoch of the cluster map that the shards belong to.
    pub epoch: u64,
    /// The CPUs by the incarnation of the shard's controller.
    pub cpus: HashMap<u64, f64>,
}

/// What the scheduling loop remembers.
#[derive(Debug, Default)]
pub struct SchedulingState {
    /// Capacity that is being freed, by job. Without it, what one job has freed is taken by the
    /// next.
    pub reservations: HashMap<String, Reservation>,
    /// When victims were last looked for, by job.
    pub last_victim_search: HashMap<String, Instant>,
    /// Free and used capacity by machine.
    pub inventory: Inventory,
    /// When it was last asked of each machine whether it may be used.
    pub usability_checked_at: Option<Instant>,
    /// Jobs within their teams' guaranteed quota.
    pub guaranteed: GuaranteedJobs,
    /// Jobs lately assigned to shards.
    pub recent_assignments: RecentAssignments,
    chunked_writes: HashMap<String, Instant>,
    rejected_until: HashMap<String, Instant>,
    single_job_until: Option<Instant>,
}

impl SchedulingState {
    /// Drops what is over: jobs stored in chunks that may be written again, and records that
    /// may be tried again.
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < MIN_CHUNKED_WRITE_INTERVAL;
        self.chunked_writes.retain(|_, at| is_recent(at));
        self.rejected_until.retain(|_, until| now < *until);
    }

    /// The jobs whose records are not to be written now.
    pub fn jobs_on_hold(&self) -> impl Iterator<Item = &String> {
        self.chunked_writes.keys().chain(self.rejected_until.keys())
    }

    /// Notes that a job's record was written in chunks.
    pub fn note_chunked_write(&mut self, job: String, now: Instant) {
        self.chunked_writes.insert(job, now);
    }

    /// Leaves a job's record alone for a while, as it cannot be written.
    pub fn hold_back(&mut self, job: String, now: Instant) {
        self.rejected_until.insert(job, now + REJECTED_RECORD_BACKOFF);
    }

    /// Has cycles write one job each for a while, to find the one whose record is rejected.
    pub fn write_single_jobs(&mut self, now: Instant) {
        self.single_job_until = Some(now + SINGLE_JOB_PERIOD);
    }

    /// Whether cycles write one job each.
    pub fn writes_single_jobs(&self, now: Instant) -> bool {
        self.single_job_until.is_some_and(|until| now < until)
    }
}
