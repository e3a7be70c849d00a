//! The tasks on a worker: what it reports, compared with the assignments on record.

use std::time::{Duration, Instant};

use sched::hash::{HashMap, HashSet};
use sched::records::{Assignment, JobRecord, Phase, TerminationReason};
use wire::{Command, ExitReason, TaskState, TaskStatus};

use super::{AssignmentId, WorkerLimits};

/// How long after the first stop of a task it is repeated.
const STOP_RETRY_DELAY: Duration = Duration::from_secs(2);
/// The longest time for a checkpoint that is waited for, in seconds.
const MAX_CHECKPOINT_S: f64 = 600.0;
/// How long a task without an assignment is left alone: its assignment may be on its way here.
const ORPHAN_GRACE_PERIOD: Duration = Duration::from_millis(1500);

/// What decides on the tasks of a worker beside its status and the records.
#[derive(Debug)]
pub(super) struct Context<'l> {
    pub(super) limits: &'l WorkerLimits,
    pub(super) now: Instant,
    /// Whether the worker's lease has expired, so that all its tasks are over.
    pub(super) lease_expired: bool,
    /// Whether absence from the worker's status proves that an assignment is over.
    pub(super) absence_is_proof: bool,
    /// Whether the replica of the records is fresh enough to launch tasks by it.
    pub(super) may_launch: bool,
}

/// The findings of one comparison.
#[derive(Debug, Default)]
pub(super) struct Findings<'r> {
    /// The assigned attempt of each task, by job and task.
    attempts: HashMap<(&'r str, u32), u64>,
    assigned: HashSet<AssignmentId>,
    pub(super) terminations: Vec<(AssignmentId, TerminationReason)>,
    pub(super) forgets: Vec<Command>,
    pub(super) stops: Vec<Command>,
    pub(super) launches: Vec<Command>,
    /// Whether the worker has to show a newer token before absence proves anything.
    pub(super) needs_token_acknowledgement: bool,
    /// Whether a launch waits for a fresher replica.
    pub(super) has_withheld_launch: bool,
}

/// What is known of the tasks on a worker.
#[derive(Debug, Default)]
pub(super) struct TrackedTasks {
    /// The tasks by the worker's last status.
    statuses: Vec<TaskStatus>,
    /// The statuses are from after this controller became the owner: they came with a token from
    /// since then. Any other status may be a delayed duplicate from long before, and what ended
    /// then may have been started anew since.
    is_current: bool,
    /// Assignments that were seen on the worker.
    present: HashSet<AssignmentId>,
    /// When assignments were first stopped.
    stopped_at: HashMap<AssignmentId, Instant>,
    /// Since when tasks have been seen without an assignment, by task and attempt.
    orphaned_since: HashMap<(String, u64), Instant>,
    /// When the end of an assignment was first proven: another controller may be writing it.
    proven_at: HashMap<AssignmentId, Instant>,
}

impl TrackedTasks {
    /// The tasks by the worker's last status.
    pub(super) fn statuses(&self) -> &[TaskStatus] {
        &self.statuses
    }

    /// Notes that the worker has shown a token from since this controller owns the machine.
    pub(super) fn mark_current(&mut self) {
        self.is_current = true;
    }

    /// Takes in the tasks of a newer status.
    pub(super) fn update(&mut self, statuses: Vec<TaskStatus>) {
        if self.statuses == statuses {
            return;
        }
        self.statuses = statuses;
        for status in &self.statuses {
            if let Some((job, task)) = status.job_and_task_number() {
                let attempt = status.attempt;
                self.present.insert(AssignmentId { job: job.to_owned(), task, attempt });
            }
        }
    }

    /// Whether the worker last reported that this attempt of a task runs.
    pub(super) fn is_running(&self, task: &str, attempt: u64) -> bool {
        let runs = |t: &TaskStatus| t.state == TaskState::Running && t.attempt == attempt && t.task == task;
        self.is_current && self.statuses.iter().any(runs)
    }

    /// When the end of an assignment was first proven.
    pub(super) fn first_proven_at(&mut self, assignment: &AssignmentId, now: Instant) -> Instant {
        *self.proven_at.entry(assignment.clone()).or_insert(now)
    }

    /// Whether the end of an assignment was proven before.
    pub(super) fn is_proven_over(&self, assignment: &AssignmentId) -> bool {
        self.proven_at.contains_key(assignment)
    }

    /// Whether some task is being stopped, or has no assignment.
    pub(super) fn has_open_tasks(&self) -> bool {
        !self.orphaned_since.is_empty() || !self.stopped_at.is_empty()
    }

    /// Compares an assignment with the worker's status.
    pub(super) fn compare_assignment<'r>(
        &mut self,
        findings: &mut Findings<'r>,
        job_id: &'r str,
        job: &JobRecord,
        assignment: &Assignment,
        context: &Context<'_>,
    ) {
        let (task, attempt) = (assignment.task, assignment.attempt);
        let id = AssignmentId { job: job_id.to_owned(), task, attempt };
        findings.attempts.insert((job_id, task), attempt);
        if context.lease_expired {
            findings.terminations.push((id.clone(), TerminationReason::Lost));
            findings.assigned.insert(id);
            return;
        }
        let name = format!("{job_id}/{task}");
        let status = self.statuses.iter().find(|t| t.attempt == attempt && t.task == name);
        let should_run = job.should_run(assignment);
        match status.map(|t| (t.state, t.cause)) {
            Some((TaskState::Exited, _)) if !self.is_current => findings.needs_token_acknowledgement = true,
            Some((TaskState::Exited, cause)) => {
                findings.terminations.push((id.clone(), termination_reason(cause)));
            }
            Some((state, _)) if !should_run => {
                findings.stops.extend(self.stop_if_due(&id, name, state, job, context));
            }
            Some(_) => {}
            // An end that was proven once may be written at any moment: the assignment must never
            // start after all.
            None if should_run && !self.present.contains(&id) && !self.is_proven_over(&id) => {
                if context.may_launch {
                    findings.launches.push(Command::Start { task: name, attempt });
                } else {
                    findings.has_withheld_launch = true;
                }
            }
            // Seen before and gone now: the worker was restarted.
            None if context.absence_is_proof => {
                findings.terminations.push((id.clone(), TerminationReason::Lost));
            }
            None => findings.needs_token_acknowledgement = true,
        }
        findings.assigned.insert(id);
    }

    /// The command that stops a task, if it is to be sent now. The task has time for a checkpoint,
    /// unless its job is over or that time has passed.
    fn stop_if_due(
        &mut self,
        id: &AssignmentId,
        task: String,
        state: TaskState,
        job: &JobRecord,
        context: &Context<'_>,
    ) -> Option<Command> {
        let elapsed = self.stopped_at.get(id).map(|at| context.now.saturating_duration_since(*at));
        if elapsed.is_some_and(|elapsed| elapsed < STOP_RETRY_DELAY) {
            return None;
        }
        let checkpoint_s = job.spec.as_ref().map_or(0.0, |s| s.checkpoint_save_s);
        let patience =
            wire::seconds(checkpoint_s.min(MAX_CHECKPOINT_S)) + context.limits.gang_peer + STOP_RETRY_DELAY;
        let kill = job.phase != Phase::Active || elapsed.is_some_and(|elapsed| elapsed > patience);
        if elapsed.is_none() {
            self.stopped_at.insert(id.clone(), context.now);
        } else if !kill && state == TaskState::Saving {
            return None;
        }
        let grace_s = if kill { 0.0 } else { checkpoint_s };
        Some(Command::Stop { task, attempt: id.attempt, grace_s })
    }

    /// Forgets assignments that are not on record any more.
    pub(super) fn retain_assigned(&mut self, findings: &Findings<'_>) {
        self.proven_at.retain(|id, _| findings.assigned.contains(id));
        self.present.retain(|id| findings.assigned.contains(id));
        self.stopped_at.retain(|id, _| findings.assigned.contains(id));
    }

    /// Finds tasks without an assignment: those that run are stopped, those that have ended
    /// forgotten.
    pub(super) fn find_orphans(&mut self, findings: &mut Findings<'_>, context: &Context<'_>) {
        let mut orphaned_since = HashMap::default();
        for status in &self.statuses {
            let assigned_attempt =
                status.job_and_task_number().and_then(|(job, task)| findings.attempts.get(&(job, task)));
            if assigned_attempt == Some(&status.attempt) {
                continue;
            }
            let (task, attempt) = (&status.task, status.attempt);
            let key = (task.clone(), attempt);
            let since = self.orphaned_since.get(&key).copied().unwrap_or(context.now);
            orphaned_since.insert(key, since);
            // The replica may be older than the assignment: it has to be read after the task was
            // first seen.
            if context.limits.fresh_at.is_none_or(|fresh_at| fresh_at <= since) {
                continue;
            }
            let grace_is_over = context.now.saturating_duration_since(since) >= ORPHAN_GRACE_PERIOD;
            if status.state == TaskState::Exited {
                if assigned_attempt.is_some() || grace_is_over {
                    findings.forgets.push(Command::Forget { task: task.clone(), attempt });
                }
            } else if grace_is_over {
                findings.stops.push(Command::Stop { task: task.clone(), attempt, grace_s: 0.0 });
            }
        }
        self.orphaned_since = orphaned_since;
    }
}

/// How an assignment has ended, by the worker's reason for the exit of its task.
fn termination_reason(cause: Option<ExitReason>) -> TerminationReason {
    match cause {
        Some(ExitReason::Done) => TerminationReason::Done,
        Some(ExitReason::Error) => TerminationReason::Error,
        Some(ExitReason::GangIncomplete) => TerminationReason::GangIncomplete,
        // The machine did not take the task: it is avoided for a while.
        Some(ExitReason::NoCapacity | ExitReason::TaskInUse | ExitReason::UnknownJob) => {
            TerminationReason::Rejected
        }
        _ => TerminationReason::Stopped,
    }
}
