//! Compares the tasks that a worker reports with the recorded assignments.

use std::time::{Duration, Instant};

use sched::hash::{HashMap, HashSet};
use sched::records::{Assignment, JobRecord, Phase, TerminationReason};
use wire::{Command, ExitReason, HeartbeatSpace, TaskState, TaskStatus};

use super::{AssignmentId, FencingToken, WorkerLimits};

/// Time after the first stop command for a task before the command is repeated.
const STOP_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Maximum time to wait for a checkpoint, in seconds.
const MAX_CHECKPOINT_S: f64 = 600.0;
/// How long a task without an assignment is left running: its assignment may not have reached the
/// replica yet.
const ORPHAN_GRACE_PERIOD: Duration = Duration::from_millis(1500);

/// The inputs of a comparison, apart from the worker's status and the records.
#[derive(Debug)]
pub(super) struct ComparisonContext<'l> {
    pub(super) limits: &'l WorkerLimits,
    pub(super) now: Instant,
    /// Whether the worker's lease has expired, so that all its tasks are over.
    pub(super) lease_expired: bool,
    /// Whether absence from the worker's status proves that an assignment is over.
    pub(super) absence_is_proof: bool,
    /// The highest token that the worker is known to have seen.
    pub(super) highest_seen: FencingToken,
    /// Whether the replica of the records is fresh enough to launch tasks based on it.
    pub(super) may_launch: bool,
}

impl Findings<'_> {
    /// Launches a task, unless the replica is too old for that, or the worker could not report the
    /// task beside all others.
    fn launch_if_possible(&mut self, command: Command, context: &ComparisonContext<'_>) {
        let Command::Start { task, .. } = &command else { return };
        if context.may_launch && self.heartbeat_space.take(task) {
            self.launches.push(command);
        } else {
            self.has_withheld_launch = true;
        }
    }
}

/// The findings of a comparison.
#[derive(Debug)]
pub(super) struct Findings<'r> {
    /// The space for further tasks in the worker's heartbeats.
    heartbeat_space: HeartbeatSpace,
    /// The assigned attempt of each task, by job and task.
    attempts: HashMap<(&'r str, u32), u64>,
    assigned: HashSet<AssignmentId>,
    pub(super) terminations: Vec<(AssignmentId, TerminationReason)>,
    pub(super) forgets: Vec<Command>,
    pub(super) stops: Vec<Command>,
    pub(super) launches: Vec<Command>,
    /// Whether the worker has to show a newer token before the absence of tasks proves anything.
    pub(super) needs_token_acknowledgement: bool,
    /// Whether a launch waits for a fresher replica, or until the worker has forgotten other tasks.
    pub(super) has_withheld_launch: bool,
}

/// What is known of the tasks on a worker.
#[derive(Debug, Default)]
pub(super) struct TrackedTasks {
    /// The tasks in the worker's last status.
    statuses: Vec<TaskStatus>,
    /// Whether the statuses are from the time since this controller became the owner, as their
    /// token showed. Any other status may be a delayed duplicate from long before, and tasks that
    /// it shows as ended may have been restarted since.
    is_current: bool,
    /// Assignments that were seen on the worker, and their indices in `statuses` if they are among
    /// these. A machine may have hundreds of tasks, so that none is searched for in the whole list.
    seen: HashMap<AssignmentId, Option<usize>>,
    /// The token of the last request that launched each assignment. A copy of it may arrive at any
    /// time until the worker has seen a higher token; a worker that has lost its tasks in a restart
    /// would execute it.
    launched_with: HashMap<AssignmentId, FencingToken>,
    /// When the first stop command for each assignment was issued.
    stopped_at: HashMap<AssignmentId, Instant>,
    /// Since when tasks have been seen without an assignment, by task and attempt.
    orphaned_since: HashMap<(String, u64), Instant>,
    /// When the end of each assignment was first proven. Another controller may already be
    /// recording it.
    proven_at: HashMap<AssignmentId, Instant>,
}

impl TrackedTasks {
    /// The tasks in the worker's last status.
    pub(super) fn statuses(&self) -> &[TaskStatus] {
        &self.statuses
    }

    /// Notes that the worker has shown a token from the time since this controller owns the
    /// machine.
    pub(super) fn mark_current(&mut self) {
        self.is_current = true;
    }

    /// Updates the tasks from a newer status.
    pub(super) fn update(&mut self, statuses: Vec<TaskStatus>) {
        if self.statuses == statuses {
            return;
        }
        self.statuses = statuses;
        self.seen.values_mut().for_each(|index| *index = None);
        for (index, status) in self.statuses.iter().enumerate() {
            if let Some((job, task)) = status.job_and_task_number() {
                let id = AssignmentId { job: job.to_owned(), task, attempt: status.attempt };
                self.seen.entry(id).or_default().get_or_insert(index);
            }
        }
    }

    /// The task's status in the worker's last one.
    fn status_of(&self, id: &AssignmentId) -> Option<&TaskStatus> {
        let index = self.seen.get(id).copied().flatten()?;
        self.statuses.get(index)
    }

    /// Whether the worker last reported that this attempt of a task runs.
    pub(super) fn is_running(&self, task: &str, attempt: u64) -> bool {
        let runs = |t: &TaskStatus| t.state == TaskState::Running && t.attempt == attempt && t.task == task;
        self.is_current && self.statuses.iter().any(runs)
    }

    /// Notes the launches in a request with this token.
    pub(super) fn note_launches(&mut self, commands: &[Command], token: FencingToken) {
        for command in commands {
            let Command::Start { task, attempt } = command else { continue };
            if let Some(id) = AssignmentId::from_task_name(task, *attempt) {
                self.launched_with.insert(id, token);
            }
        }
    }

    /// Whether no copy of the request that launched an assignment can take effect any more.
    fn is_launch_fenced(&self, id: &AssignmentId, context: &ComparisonContext<'_>) -> bool {
        self.launched_with.get(id).is_none_or(|token| context.highest_seen > *token)
    }

    /// When the end of an assignment was first proven.
    pub(super) fn first_proven_at(&mut self, assignment: &AssignmentId, now: Instant) -> Instant {
        *self.proven_at.entry(assignment.clone()).or_insert(now)
    }

    /// Whether the end of an assignment was proven before.
    pub(super) fn is_proven_over(&self, assignment: &AssignmentId) -> bool {
        self.proven_at.contains_key(assignment)
    }

    /// Whether any task is being stopped or has no assignment.
    pub(super) fn has_outstanding_tasks(&self) -> bool {
        !self.orphaned_since.is_empty() || !self.stopped_at.is_empty()
    }

    /// Begins a comparison.
    pub(super) fn begin_comparison<'r>(&self) -> Findings<'r> {
        Findings {
            heartbeat_space: HeartbeatSpace::beside(&self.statuses),
            attempts: HashMap::default(),
            assigned: HashSet::default(),
            terminations: Vec::new(),
            forgets: Vec::new(),
            stops: Vec::new(),
            launches: Vec::new(),
            needs_token_acknowledgement: false,
            has_withheld_launch: false,
        }
    }

    /// Compares an assignment with the worker's status.
    pub(super) fn compare_assignment<'r>(
        &mut self,
        findings: &mut Findings<'r>,
        job_id: &'r str,
        job: &JobRecord,
        assignment: &Assignment,
        context: &ComparisonContext<'_>,
    ) {
        let (task, attempt) = (assignment.task, assignment.attempt);
        let id = AssignmentId { job: job_id.to_owned(), task, attempt };
        findings.attempts.insert((job_id, task), attempt);
        if context.lease_expired {
            findings.terminations.push((id.clone(), TerminationReason::Lost));
            findings.assigned.insert(id);
            return;
        }
        let name = || format!("{job_id}/{task}");
        let status = self.status_of(&id).map(|status| (status.state, status.cause));
        let should_run = job.should_run(assignment);
        let is_fenced = self.is_launch_fenced(&id, context);
        match status {
            Some((TaskState::Exited, _)) if !self.is_current || !is_fenced => {
                findings.needs_token_acknowledgement = true;
            }
            Some((TaskState::Exited, cause)) => {
                findings.terminations.push((id.clone(), termination_reason(cause)));
            }
            Some((state, _)) if !should_run => {
                findings.stops.extend(self.stop_if_due(&id, name(), state, job, context));
            }
            Some(_) => {}
            // A proven termination may be recorded at any moment, so the assignment must not be
            // launched any more.
            None if should_run && !self.seen.contains_key(&id) && !self.is_proven_over(&id) => {
                findings.launch_if_possible(Command::Start { task: name(), attempt }, context);
            }
            // The task was seen before and is gone now: the worker was restarted.
            None if context.absence_is_proof && is_fenced => {
                findings.terminations.push((id.clone(), TerminationReason::Lost));
            }
            None => findings.needs_token_acknowledgement = true,
        }
        findings.assigned.insert(id);
    }

    /// The stop command for a task, if it is due. The task gets time to save a checkpoint, unless
    /// its job is over or that time has passed.
    fn stop_if_due(
        &mut self,
        id: &AssignmentId,
        task: String,
        state: TaskState,
        job: &JobRecord,
        context: &ComparisonContext<'_>,
    ) -> Option<Command> {
        let elapsed = self.stopped_at.get(id).map(|at| context.now.saturating_duration_since(*at));
        if elapsed.is_some_and(|elapsed| elapsed < STOP_RETRY_DELAY) {
            return None;
        }
        let checkpoint_s = job.spec.as_ref().map_or(0.0, |s| s.checkpoint_save_s);
        let stop_timeout =
            wire::seconds(checkpoint_s.min(MAX_CHECKPOINT_S)) + context.limits.gang_peer + STOP_RETRY_DELAY;
        let kill = job.phase != Phase::Active || elapsed.is_some_and(|elapsed| elapsed > stop_timeout);
        if elapsed.is_none() {
            self.stopped_at.insert(id.clone(), context.now);
        } else if !kill && state == TaskState::Saving {
            return None;
        }
        let grace_s = if kill { 0.0 } else { checkpoint_s };
        Some(Command::Stop { task, attempt: id.attempt, grace_s })
    }

    /// Notes that the stop commands among these were not sent for lack of space in the message, after
    /// they were issued at this time.
    pub(super) fn note_unsent_stops(&mut self, commands: &[Command], issued_at: Instant) {
        for command in commands {
            let Command::Stop { task, attempt, .. } = command else { continue };
            let Some(id) = AssignmentId::from_task_name(task, *attempt) else { continue };
            if self.stopped_at.get(&id) == Some(&issued_at) {
                self.stopped_at.remove(&id);
            }
        }
    }

    /// Drops the state of assignments that are no longer on record.
    pub(super) fn retain_assigned(&mut self, findings: &Findings<'_>) {
        self.proven_at.retain(|id, _| findings.assigned.contains(id));
        self.seen.retain(|id, index| index.is_some() || findings.assigned.contains(id));
        self.launched_with.retain(|id, _| findings.assigned.contains(id));
        self.stopped_at.retain(|id, _| findings.assigned.contains(id));
    }

    /// Finds tasks without an assignment. Running tasks are to be stopped, exited ones to be
    /// forgotten by the worker.
    pub(super) fn find_orphans(&mut self, findings: &mut Findings<'_>, context: &ComparisonContext<'_>) {
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
            // The replica may be older than the assignment: it has to be refreshed after the task
            // was first seen without one.
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

/// Maps the worker's exit reason of a task to the termination reason of its assignment.
fn termination_reason(cause: Option<ExitReason>) -> TerminationReason {
    match cause {
        Some(ExitReason::Done) => TerminationReason::Done,
        Some(ExitReason::Error) => TerminationReason::Error,
        Some(ExitReason::GangIncomplete) => TerminationReason::GangIncomplete,
        // The machine rejected the task: the job avoids it for a while.
        Some(ExitReason::NoCapacity | ExitReason::TaskInUse | ExitReason::UnknownJob) => {
            TerminationReason::Rejected
        }
        _ => TerminationReason::Stopped,
    }
}
