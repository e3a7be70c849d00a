//! What the scheduling loop keeps from one cycle to the next.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use sched::placement::Inventory;
use sched::records::Name;

use super::capacity_shortfalls::CapacityShortfalls;
use super::guaranteed_jobs::GuaranteedJobs;

/// Least time between two writes of a record that is stored in chunks, because each write costs one
/// change per chunk.
const MIN_CHUNKED_WRITE_INTERVAL: Duration = Duration::from_millis(1200);
/// How long a record is not written again after the key-value store has rejected it.
pub const REJECTED_RECORD_BACKOFF: Duration = Duration::from_secs(20);
/// How long each cycle writes only one job after a rejection.
const SINGLE_JOB_PERIOD: Duration = Duration::from_secs(4);

/// Capacity that is being freed for a job.
#[derive(Debug, Clone)]
pub struct Reservation {
    /// The machines, each listed once per task that it is to hold.
    pub machines: Vec<Name>,
    /// Until when the capacity is reserved.
    pub until: Instant,
}

/// CPUs of the jobs that were recently assigned to each shard, by its controller's incarnation.
/// These jobs do not appear in the usage of machines yet.
#[derive(Debug, Default)]
pub struct RecentAssignments {
    /// Since when the CPUs have been counted.
    pub since: Option<Instant>,
    /// The epoch of the cluster map that the shards belong to.
    pub epoch: u64,
    /// The CPUs by the incarnation of the shard's controller.
    pub cpus: HashMap<u64, f64>,
}

/// What the scheduling loop keeps between cycles.
#[derive(Debug, Default)]
pub struct SchedulingState {
    /// Capacity that is being freed, by job. Without a reservation, capacity that is freed for one
    /// job would be taken by the next.
    pub reservations: BTreeMap<String, Reservation>,
    /// When preemption victims were last searched for, by job.
    pub last_victim_search: HashMap<String, Instant>,
    /// Free and used capacity by machine.
    pub inventory: Inventory,
    /// When all machines were last checked for whether they may be used.
    pub usability_checked_at: Option<Instant>,
    /// Jobs within their teams' guaranteed quota.
    pub guaranteed: GuaranteedJobs,
    /// Jobs that the cloud has no more machines for.
    pub shortfalls: CapacityShortfalls,
    /// Jobs recently assigned to shards.
    pub recent_assignments: RecentAssignments,
    chunked_writes: HashMap<String, Instant>,
    rejected_until: HashMap<String, Instant>,
    single_job_until: Option<Instant>,
}

impl SchedulingState {
    /// Removes expired entries: jobs stored in chunks that may be written again, and rejected
    /// records that may be retried.
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < MIN_CHUNKED_WRITE_INTERVAL;
        self.chunked_writes.retain(|_, at| is_recent(at));
        self.rejected_until.retain(|_, until| now < *until);
    }

    /// The jobs whose records must not be written now.
    pub fn jobs_on_hold(&self) -> impl Iterator<Item = &String> {
        self.chunked_writes.keys().chain(self.rejected_until.keys())
    }

    /// Records that a job's record was written in chunks.
    pub fn note_chunked_write(&mut self, job: String, now: Instant) {
        self.chunked_writes.insert(job, now);
    }

    /// Puts off the writes of a job's record for a while, because it cannot be written.
    pub fn defer_writes(&mut self, job: String, now: Instant) {
        self.rejected_until.insert(job, now + REJECTED_RECORD_BACKOFF);
    }

    /// Makes each cycle write only one job for a while, to find the job whose record is rejected.
    pub fn write_single_jobs(&mut self, now: Instant) {
        self.single_job_until = Some(now + SINGLE_JOB_PERIOD);
    }

    /// Whether each cycle writes only one job.
    pub fn writes_single_jobs(&self, now: Instant) -> bool {
        self.single_job_until.is_some_and(|until| now < until)
    }
}
