//! Reconciliation of one worker with the recorded assignments: which terminations its status
//! proves, and which commands it needs.

use std::time::{Duration, Instant};

use sched::records::TerminationReason;
use sched::replica::Replica;
use wire::{Command, JobState, TaskState, TaskStatus, split_off_excess_commands};

use super::command_channel::is_launch;
use super::tracked_tasks::{ComparisonContext, Findings};
use super::{AssignmentId, Worker, WorkerLimits};

/// How soon a worker is reconciled again while a termination, command or acknowledgement is
/// outstanding.
const OUTSTANDING_INTERVAL: Duration = Duration::from_millis(300);
/// How soon a worker is reconciled again if nothing is outstanding.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);

/// The outcome of a reconciliation.
#[derive(Debug, Default, PartialEq)]
pub struct ReconciliationPlan {
    /// Assignments that are proven to be over, and how they ended.
    pub terminations: Vec<(AssignmentId, TerminationReason)>,
    /// The commands for the worker: as many of those that it needs as fit into a message. The others
    /// follow once it has answered.
    pub commands: Vec<Command>,
    /// Whether the worker has to show a newer token before more can be proven. It is then sent a
    /// request even without commands.
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
        let context = ComparisonContext {
            limits,
            now,
            lease_expired: self.has_lease_expired(limits, now),
            absence_is_proof: self.commands.are_launches_ruled_out(),
            highest_seen: self.commands.highest_seen(),
            may_launch: limits.is_replica_fresh_to_launch(now),
        };
        let mut findings = self.tasks.begin_comparison();
        for (job_id, job, assignment) in replica.assignments(machine) {
            self.tasks.compare_assignment(&mut findings, job_id, job, assignment, &context);
        }
        self.note_terminations(&findings.terminations);
        self.tasks.retain_assigned(&findings);
        self.tasks.find_orphans(&mut findings, &context);
        self.plan(findings, now)
    }

    /// Updates the machine's health from terminations, counting each of them once.
    fn note_terminations(&mut self, terminations: &[(AssignmentId, TerminationReason)]) {
        for (id, reason) in terminations {
            if !self.tasks.is_proven_over(id) {
                self.failures.note_termination(&id.job, *reason);
            }
        }
    }

    /// Builds the plan from the findings. The next reconciliation is soon if anything is
    /// outstanding.
    fn plan(&mut self, findings: Findings<'_>, now: Instant) -> ReconciliationPlan {
        let Findings { terminations, stops: mut commands, needs_token_acknowledgement, .. } = findings;
        commands.extend(findings.forgets);
        commands.extend(findings.launches);
        let unsent = split_off_excess_commands(&mut commands, self.commands.max_command_bytes());
        self.tasks.note_unsent_stops(&unsent, now);
        let is_outstanding = !terminations.is_empty()
            || !commands.is_empty()
            || needs_token_acknowledgement
            || findings.has_withheld_launch;
        if is_outstanding || self.tasks.has_outstanding_tasks() {
            self.next_reconciliation_at = Some(now + OUTSTANDING_INTERVAL);
        }
        ReconciliationPlan { terminations, commands, needs_token_acknowledgement }
    }

    /// The stop commands that every response which renews the worker's lease has to contain, as many as
    /// fit. A response that takes effect leaves fewer for the next.
    pub fn stops_of_cancelled_jobs(&self, replica: &Replica) -> Vec<Command> {
        let mut stops = stops_of_cancelled_jobs(self.tasks.statuses(), replica);
        split_off_excess_commands(&mut stops, self.commands.max_command_bytes());
        stops
    }

    /// The commands for the response to a heartbeat: launches and stops. Forget commands are never
    /// sent in a response, because they need a higher token than every launch.
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
        split_off_excess_commands(&mut commands, self.commands.max_command_bytes());
        if commands.iter().any(is_launch) {
            self.commands.note_launches_in_response();
        }
        // Terminations found here are left to the next scheduling cycle.
        self.request_reconciliation();
        commands
    }
}

/// Stop commands for the tasks of cancelled jobs. A controller that renews a worker's lease sends
/// them in the same response, or does not renew the lease. Otherwise each response would keep a
/// task alive after its cancellation, while the requests that should stop it are lost or one of
/// them is still unanswered.
pub fn stops_of_cancelled_jobs(tasks: &[TaskStatus], replica: &Replica) -> Vec<Command> {
    let is_cancelled = |t: &&TaskStatus| {
        let job_state = t.job_and_task_number().and_then(|(job, _)| replica.state_of(job));
        t.state != TaskState::Exited && job_state == Some(JobState::Cancelled)
    };
    let stop = |t: &TaskStatus| Command::Stop { task: t.task.clone(), attempt: t.attempt, grace_s: 0.0 };
    tasks.iter().filter(is_cancelled).map(stop).collect()
}
