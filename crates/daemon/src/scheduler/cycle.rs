//! What one scheduling cycle has decided so far.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

use peer::TerminationProof;
use sched::drain_records::Disruption;
use sched::records::{JobRecord, Name};
use sched::replica::Replica;
use wire::Commands;

use super::events::SchedulingEvent;

/// When a cycle takes place, and what it may do.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CycleContext {
    /// Changes that its transaction may hold. With 0, a cycle only sees to the workers.
    pub(crate) max_changes: usize,
    /// The monotonic time.
    pub(crate) now: Instant,
    /// The wall-clock time, in milliseconds since the Unix epoch.
    pub(crate) now_ms: u64,
    /// Whether the leader looks for replicas to evict.
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

/// What one cycle wants to have done.
#[derive(Default)]
pub(crate) struct SchedulingCycle {
    /// The records of jobs as the cycle changes them, by job.
    pub(crate) jobs: BTreeMap<String, Box<JobRecord>>,
    /// Teams whose quota new assignments use.
    pub(crate) teams: BTreeSet<String>,
    /// Jobs with new assignments.
    pub(crate) placed_jobs: BTreeSet<String>,
    /// How often victims of a preemption were looked for.
    pub(crate) victim_searches: u32,
    /// Most jobs to change for the ends of their tasks.
    pub(crate) max_jobs_with_terminations: usize,
    /// Voluntary disruptions with their teams, by job. They are written with the job.
    pub(crate) disruptions: BTreeMap<String, (String, Disruption)>,
    /// Whether new assignments are conditional on the cordons that they were decided by.
    pub(crate) fences_cordons: bool,
    /// Jobs whose records must not be written in this cycle.
    pub(crate) jobs_on_hold: BTreeSet<String>,
    /// Commands for workers. They do not wait for the commit.
    pub(crate) commands: Vec<OutgoingCommands>,
    /// Termination proofs for other controllers to write, by the controllers' names.
    pub(crate) forwarded_proofs: HashMap<String, Vec<TerminationProof>>,
    /// What is logged once the cycle is committed.
    pub(crate) events: Vec<SchedulingEvent>,
}

impl SchedulingCycle {
    /// The number of writes that its transaction will hold.
    pub(crate) fn write_count(&self) -> usize {
        let disrupted: BTreeSet<&str> = self.disruptions.values().map(|(team, _)| team.as_str()).collect();
        self.jobs.len() + self.teams.len() + disrupted.len()
    }

    /// Whether the end of a task of this job has to wait for a later cycle.
    pub(super) fn has_no_room_for_termination(&self, job: &str) -> bool {
        self.jobs.len() >= self.max_jobs_with_terminations && !self.jobs.contains_key(job)
    }
}

/// The job's record as this cycle has it so far, to be changed. None: there is no such job, or
/// it is on hold.
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
