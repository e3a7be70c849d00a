//! The decisions of one scheduling cycle, collected before they are committed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use peer::TerminationProof;
use sched::drain_records::Disruption;
use sched::records::{JobRecord, Name};
use sched::replica::Replica;
use wire::Commands;

use super::events::SchedulingEvent;

/// The time of a cycle and the limits that it has to keep.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CycleContext {
    /// Maximum number of changes in its transaction. With 0, the cycle only reconciles workers.
    pub(crate) max_changes: usize,
    /// The monotonic time.
    pub(crate) now: Instant,
    /// The wall-clock time, in milliseconds since the Unix epoch.
    pub(crate) now_ms: u64,
    /// Whether the leader runs the rescheduler, which looks for replicas to evict.
    pub(crate) runs_rescheduler: bool,
}

impl CycleContext {
    /// A cycle without the rescheduler.
    pub(crate) fn new(max_changes: usize, now: Instant, now_ms: u64) -> Self {
        Self { max_changes, now, now_ms, runs_rescheduler: false }
    }

    /// The same cycle, with the rescheduler if its scan is due.
    pub(crate) fn with_rescheduler(self, is_due: bool) -> Self {
        Self { runs_rescheduler: is_due, ..self }
    }
}

/// Commands for one worker, ready to be sent.
#[derive(Debug)]
pub(crate) struct OutgoingCommands {
    /// The worker's machine.
    pub(crate) machine: Name,
    /// The worker's address.
    pub(crate) address: String,
    /// The request.
    pub(crate) commands: Commands,
}

/// The changes, commands and proofs that one cycle has decided on.
#[derive(Default)]
pub(crate) struct SchedulingCycle {
    /// The records of jobs as the cycle changes them, by job.
    pub(crate) jobs: BTreeMap<String, Box<JobRecord>>,
    /// Teams whose quota new assignments use.
    pub(crate) teams: BTreeSet<String>,
    /// Jobs with new assignments.
    pub(crate) placed_jobs: BTreeSet<String>,
    /// Number of searches for preemption victims.
    pub(crate) victim_searches: u32,
    /// Once this many jobs are changed, terminations in further jobs wait for a later cycle.
    pub(crate) max_jobs_with_terminations: usize,
    /// Voluntary disruptions and their teams, by job. Written in the same transaction as the job.
    pub(crate) disruptions: BTreeMap<String, (String, Disruption)>,
    /// Whether new assignments are conditional on the cordon fence, so that a cordon which is
    /// committed in the meantime makes the transaction fail.
    pub(crate) fences_cordons: bool,
    /// Jobs whose records must not be written in this cycle.
    pub(crate) jobs_on_hold: BTreeSet<String>,
    /// Commands for workers, sent without waiting for the commit.
    pub(crate) commands: Vec<OutgoingCommands>,
    /// Termination proofs to forward to the schedulers of the jobs, by name of the controller.
    pub(crate) forwarded_proofs: BTreeMap<String, Vec<TerminationProof>>,
    /// Events to log once the cycle is committed.
    pub(crate) events: Vec<SchedulingEvent>,
}

impl SchedulingCycle {
    /// The number of writes that its transaction will hold.
    pub(crate) fn write_count(&self) -> usize {
        let disrupted_teams: BTreeSet<&str> =
            self.disruptions.values().map(|(team, _)| team.as_str()).collect();
        self.jobs.len() + self.teams.len() + disrupted_teams.len()
    }

    /// Whether the termination of a task of this job has to wait for a later cycle.
    pub(super) fn must_defer_termination(&self, job: &str) -> bool {
        self.jobs.len() >= self.max_jobs_with_terminations && !self.jobs.contains_key(job)
    }
}

/// The job's record as this cycle has changed it so far, for further changes. `None` if there is no
/// such job, or if it is on hold.
pub(crate) fn record_for_update<'a>(
    cycle: &'a mut SchedulingCycle,
    replica: &Replica,
    job: &str,
) -> Option<&'a mut Box<JobRecord>> {
    if cycle.jobs_on_hold.contains(job) {
        return None;
    }
    if !cycle.jobs.contains_key(job) {
        let record = replica.jobs.get(job)?.value.clone();
        cycle.jobs.insert(job.to_owned(), record);
    }
    cycle.jobs.get_mut(job)
}
