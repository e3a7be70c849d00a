//! Reconciliation of one worker: what its status proves, and what it is to be told, by the
//! assignments on record.

use std::time::{Duration, Instant};

use sched::records::TerminationReason;
use sched::replica::Replica;
use wire::{Command, JobState, TaskState, TaskStatus};

use super::command_channel::is_launch;
use super::tracked_tasks::{Context, Findings};
use super::{AssignmentId, Worker, WorkerLimits};

/// How soon a worker is reconciled again while something is open.
const OPEN_INTERVAL: Duration = Duration::from_millis(300);
/// How soon a worker is reconciled again when nothing is open.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);

/// The outcome of a reconciliation.
#[derive(Debug, Default, PartialEq)]
pub struct ReconciliationPlan {
    /// Assignments that are proven to be over, and how they ended.
    pub terminations: Vec<(AssignmentId, TerminationReason)>,
    /// What the worker is to be told.
    pub commands: Vec<Command>,
    /// Whether the worker has to show a newer token before anything more is proven, so that it
    /// has to be sent a request even without commands.
    pub needs_token_acknowledgement: bool,
}

impl Worker {
    /// Compares the assignments of a machine with its worker's status.
    pub fn reconcile(
        &mut self,
        machine: &str,
        replica: &Replica,
        limits: &WorkerLimits,
        now: Instant,
    ) -> ReconciliationPlan {
        self.next_reconciliation_at = Some(now + IDLE_INTERVAL);
        if !self.has_status() {
            return ReconciliationPlan::default();
        }
        let context = Context {
            limits,
            now,
            lease_expired: self.has_lease_expired(limits, now),
            absence_is_proof: self.commands.are_launches_ruled_out(),
            may_launch: limits.is_replica_fresh_to_launch(now),
        };
        let mut findings = Findings::default();
        for (job_id, job, assignment) in replica.assignments(machine) {
            self.tasks.compare_assignment(&mut findings, job_id, job, assignment, &context);
        }
        self.note_terminations(&findings.terminations);
        self.tasks.retain_assigned(&findings);
        self.tasks.find_orphans(&mut findings, &context);
        self.plan(findings, now)
    }

    /// Takes note of what the ends of tasks say of the machine's health, each once.
    fn note_terminations(&mut self, terminations: &[(AssignmentId, TerminationReason)]) {
        for (id, reason) in terminations {
            if !self.tasks.is_proven_over(id) {
                self.failures.note_termination(&id.job, *reason);
            }
        }
    }

    /// The plan that follows from the findings; it is made anew soon if anything is open.
    fn plan(&mut self, findings: Findings<'_>, now: Instant) -> ReconciliationPlan {
        let Findings { terminations, forgets: mut commands, needs_token_acknowledgement, .. } = findings;
        commands.extend(findings.stops);
        commands.extend(findings.launches);
        let is_open = !terminations.is_empty()
            || !commands.is_empty()
            || needs_token_acknowledgement
            || findings.has_withheld_launch;
        if is_open || self.tasks.has_open_tasks() {
            self.next_reconciliation_at = Some(now + OPEN_INTERVAL);
        }
        ReconciliationPlan { terminations, commands, needs_token_acknowledgement }
    }

    /// The stops that every response has to hold which renews the worker's lease.
    pub fn stops_of_cancelled_jobs(&self, replica: &Replica) -> Vec<Command> {
        stops_of_cancelled_jobs(self.tasks.statuses(), replica)
    }

    /// The commands for the response to a heartbeat: launches and stops. A worker is never told in
    /// a response to forget tasks, as that needs a token above every launch.
    pub fn commands_for_heartbeat(
        &mut self,
        machine: &str,
        replica: &Replica,
        limits: &WorkerLimits,
        now: Instant,
    ) -> Vec<Command> {
        let mut commands = self.stops_of_cancelled_jobs(replica);
        if self.commands.has_pending_request() || !self.is_reconciliation_due(now) {
            return commands;
        }
        let planned = self.reconcile(machine, replica, limits, now).commands;
        let further: Vec<Command> = planned.into_iter().filter(|c| !commands.contains(c)).collect();
        commands.extend(further);
        commands.retain(|c| !matches!(c, Command::Forget { .. }));
        if commands.iter().any(is_launch) {
            self.commands.note_offer();
        }
        // The ends that were found are for the next scheduling cycle.
        self.request_reconciliation();
        commands
    }
}

/// Stops for the tasks of cancelled jobs. Whoever renews a worker's lease sends them with the same
/// response, or does not renew it: a task that went on after its cancellation would otherwise be
/// kept alive by one response after the other, while the requests that are to stop it are lost, or
/// one of them is not answered yet.
pub fn stops_of_cancelled_jobs(tasks: &[TaskStatus], replica: &Replica) -> Vec<Command> {
    let is_cancelled = |t: &&TaskStatus| {
        let job_state = t.job_and_task_number().and_then(|(job, _)| replica.state_of(job));
        t.state != TaskState::Exited && job_state == Some(JobState::Cancelled)
    };
    let stop = |t: &TaskStatus| Command::Stop { task: t.task.clone(), attempt: t.attempt, grace_s: 0.0 };
    tasks.iter().filter(is_cancelled).map(stop).collect()
}
