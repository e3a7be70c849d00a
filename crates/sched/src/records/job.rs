//! The record of a job.

use serde::{Deserialize, Serialize};
use wire::{JobKind, JobSpec, JobState, Priority};

use super::{Ranges, TerminationReason};
use crate::assignment::{Assignment, DesiredState, Name};
use crate::compact;

/// The phase of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Its tasks run or wait to be placed.
    #[serde(rename = "a")]
    Active,
    /// All its tasks are done. The phase is final.
    #[serde(rename = "d")]
    Done,
    /// It was cancelled. The phase is final.
    #[serde(rename = "c")]
    Cancelled,
    /// It waits for its dependencies. Releases without pipelines cannot read this phase, so they
    /// answer 503 and do not start the job.
    #[serde(rename = "w")]
    Waiting,
}

/// The priority and deadline that a job inherits from its dependents. Each controller derives them
/// from the records; they are never stored.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Urgency {
    /// The highest priority of the dependents.
    pub priority: Option<Priority>,
    /// The latest time at which the job may end for its dependents to meet their deadlines, in Unix
    /// milliseconds.
    pub deadline_ms: Option<u64>,
}

impl Urgency {
    /// The higher priority and the earlier deadline of both.
    pub fn combine(self, other: Self) -> Self {
        let earlier = self.deadline_ms.into_iter().chain(other.deadline_ms).min();
        Self { priority: self.priority.max(other.priority), deadline_ms: earlier }
    }
}

/// A job: its specification, progress and assignments.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The phase of the job.
    pub phase: Phase,
    /// The specification; removed once the job is final and has no assignments.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Box<JobSpec>>,
    /// The controller that places the job's tasks; the leader if `None`.
    #[serde(rename = "part", default, skip_serializing_if = "Option::is_none")]
    pub shard: Option<String>,
    /// When the job was submitted, in Unix milliseconds. For a job that had to wait for its
    /// dependencies, when the last of them was done.
    #[serde(default)]
    pub submitted_ms: u64,
    /// For a gang, the number of its last attempt; the next attempt gets the number after it. For
    /// other jobs, the number that placements get now. It is increased when a task ends without
    /// being done, so that no task ever gets the same attempt number twice.
    #[serde(default)]
    pub attempt: u64,
    /// The tasks that are done.
    #[serde(default, skip_serializing_if = "Ranges::is_empty")]
    pub done: Ranges,
    /// The assignments, sorted by task.
    #[serde(rename = "run", default, skip_serializing_if = "Vec::is_empty", with = "compact::assignments")]
    pub assignments: Vec<Assignment>,
    /// Machines that placement avoids, and until when, in Unix milliseconds.
    #[serde(rename = "avoid", default, skip_serializing_if = "Vec::is_empty")]
    pub avoided_machines: Vec<(String, u64)>,
    /// Machines that tasks of the gang's current attempt have left. No task of that attempt is placed
    /// on them again, because a delayed duplicate of the first assignment's termination proof would
    /// be taken for a proof that the second one has ended.
    #[serde(rename = "left", default, skip_serializing_if = "Vec::is_empty")]
    pub vacated_machines: Vec<Name>,
    /// When the rescheduler last used the job's disruption budget, in Unix milliseconds.
    #[serde(rename = "evicted_ms", default)]
    pub last_eviction_ms: u64,
    /// The number of consecutive starts that failed with an error, as of the last change of the
    /// record; see [`JobRecord::consecutive_failed_starts`].
    #[serde(rename = "errors", default)]
    pub failed_starts: u32,
    /// When the last of these starts failed, in Unix milliseconds.
    #[serde(rename = "error_ms", default)]
    pub last_failure_ms: u64,
    /// The dependencies of a waiting job, without those that were done when it was submitted.
    #[serde(rename = "needs", default, skip_serializing_if = "Vec::is_empty", with = "compact::job_ids")]
    pub dependencies: Vec<Name>,
    /// When a job that had to wait was accepted, in Unix milliseconds. Its deadline counts from this
    /// time, everything else from `submitted_ms`. 0 if the job did not have to wait.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub accepted_ms: u64,
    /// When the last task was done, in Unix milliseconds; 0 until then.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub ended_ms: u64,
    /// The priority and deadline inherited from the job's dependents.
    #[serde(skip)]
    pub urgency: Urgency,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// Estimated total time to fetch an image and to report the start and the end of a task.
const STEP_OVERHEAD_S: f64 = 5.0;

/// Upper limit for deadlines and runtimes in calculations.
const MAX_DURATION_S: f64 = 1e9;

/// Maximum number of avoided machines in a job's record.
const MAX_AVOIDED_MACHINES: usize = 8;

/// Maximum number of machines that tasks of one attempt of a gang may vacate before the gang is
/// restarted.
pub const MAX_VACATED_MACHINES: usize = 8;

impl JobRecord {
    /// An active job without assignments.
    pub fn new(spec: JobSpec, shard: Option<String>, submitted_ms: u64) -> Self {
        Self {
            spec: Some(Box::new(spec)),
            shard,
            submitted_ms,
            // The disruption budget accrues from the time of submission.
            last_eviction_ms: submitted_ms,
            ..Self::empty(Phase::Active)
        }
    }

    /// A job that waits for its dependencies.
    pub fn waiting(spec: JobSpec, shard: Option<String>, submitted_ms: u64, dependencies: Vec<Name>) -> Self {
        Self { phase: Phase::Waiting, dependencies, ..Self::new(spec, shard, submitted_ms) }
    }

    fn empty(phase: Phase) -> Self {
        Self {
            phase,
            spec: None,
            shard: None,
            submitted_ms: 0,
            attempt: 0,
            done: Ranges::default(),
            assignments: Vec::new(),
            avoided_machines: Vec::new(),
            vacated_machines: Vec::new(),
            last_eviction_ms: 0,
            failed_starts: 0,
            last_failure_ms: 0,
            dependencies: Vec::new(),
            accepted_ms: 0,
            ended_ms: 0,
            urgency: Urgency::default(),
        }
    }

    /// Activates a waiting job whose last dependency was done at `ready_ms`. Ageing, queue ranks,
    /// guarantees and the disruption budget count from that time.
    pub fn activate(&mut self, ready_ms: u64) {
        self.phase = Phase::Active;
        self.dependencies = Vec::new();
        self.accepted_ms = self.submitted_ms;
        self.submitted_ms = self.submitted_ms.max(ready_ms);
        self.last_eviction_ms = self.submitted_ms;
    }

    /// The job's own priority or the highest priority of its dependents, whichever is higher.
    pub fn priority(&self) -> Option<Priority> {
        self.spec.as_ref().map(|spec| spec.priority).max(self.urgency.priority)
    }

    /// When the job was accepted, in Unix milliseconds. Its deadline counts from this time.
    pub(crate) fn deadline_start_ms(&self) -> u64 {
        if self.accepted_ms > 0 { self.accepted_ms } else { self.submitted_ms }
    }

    /// When the job should be done, in Unix milliseconds, to meet its own deadline and those of its
    /// dependents.
    pub fn deadline_ms(&self) -> Option<u64> {
        let own = self.spec.as_ref().and_then(|spec| spec.deadline_s).map(|deadline_s| {
            self.deadline_start_ms().saturating_add((deadline_s.clamp(0.0, MAX_DURATION_S) * 1000.0) as u64)
        });
        own.into_iter().chain(self.urgency.deadline_ms).min()
    }

    /// When the job should start at the latest, in Unix milliseconds.
    pub fn latest_start_ms(&self) -> Option<u64> {
        let runtime_s =
            self.spec.as_ref().map_or(0.0, |spec| spec.estimated_runtime_s.clamp(0.0, MAX_DURATION_S));
        let duration_s = runtime_s + STEP_OVERHEAD_S;
        self.deadline_ms().map(|deadline_ms| deadline_ms.saturating_sub((duration_s * 1000.0) as u64))
    }

    /// The urgency that the dependencies of this job inherit from it.
    pub fn urgency_for_dependencies(&self) -> Urgency {
        Urgency { priority: self.priority(), deadline_ms: self.latest_start_ms() }
    }

    /// Whether the job is a step of a pipeline with a deadline.
    pub fn has_pipeline_deadline(&self) -> bool {
        (self.accepted_ms > 0 || self.urgency != Urgency::default()) && self.deadline_ms().is_some()
    }

    /// The state that users are shown.
    pub fn state(&self) -> JobState {
        match self.phase {
            Phase::Done => JobState::Done,
            Phase::Cancelled => JobState::Cancelled,
            Phase::Waiting => JobState::Queued,
            Phase::Active if self.assignments.is_empty() => JobState::Queued,
            Phase::Active => JobState::Running,
        }
    }

    /// Whether an assignment of this job should be running on its machine.
    pub fn should_run(&self, assignment: &Assignment) -> bool {
        self.phase == Phase::Active && assignment.desired == DesiredState::Running
    }

    /// Removes an assignment that is proven to have ended. After an error, placement avoids its
    /// machine for `avoid_s` seconds. Does nothing if the task has no assignment with this attempt
    /// number.
    pub fn end_assignment(
        &mut self,
        task: u32,
        attempt: u64,
        reason: TerminationReason,
        now_ms: u64,
        avoid_s: u64,
    ) {
        let found = self.assignments.binary_search_by_key(&task, |a| a.task).ok();
        let Some(i) = found.filter(|i| self.assignments[*i].attempt == attempt) else {
            return;
        };
        // Before the removal: a job that loses its last tasks has recovered if these ran for long.
        self.failed_starts = self.consecutive_failed_starts(now_ms);
        let ended = self.assignments.remove(i);
        let Some(spec) = self.spec.as_deref() else { return };
        let (kind, tasks) = (spec.kind, spec.tasks);
        let is_done = reason == TerminationReason::Done && kind != JobKind::Service;
        if kind != JobKind::Gang && !is_done {
            self.attempt = self.attempt.max(attempt + 1);
        }
        if is_done {
            self.record_done(task, kind, tasks, now_ms);
        } else if kind == JobKind::Gang {
            self.handle_ended_gang_task(&ended, reason);
        }
        if reason == TerminationReason::Error {
            self.record_failed_start(now_ms);
            self.avoid_machine(&ended.machine, now_ms, avoid_s * 1000);
        }
        self.compact_if_final();
    }

    fn record_done(&mut self, task: u32, kind: JobKind, tasks: u32, now_ms: u64) {
        if kind == JobKind::Gang {
            // The tasks of a gang complete together: if one is done, all are.
            self.done = Ranges::all(tasks);
        } else {
            self.done.insert(task);
        }
        self.failed_starts = 0;
        if self.phase == Phase::Active && self.done.len() == tasks {
            self.phase = Phase::Done;
            self.ended_ms = now_ms;
        }
    }

    /// Records that a task of a gang ended without being done, and decides whether the gang's other
    /// tasks must stop.
    ///
    /// If the task was lost or rejected, or timed out while other tasks were still fetching their
    /// images, only that task is placed again on another machine, for up to [`MAX_VACATED_MACHINES`]
    /// machines per attempt. If the gang was already running, the other tasks end as well and thereby
    /// show that it broke up. Stopping the other tasks here would abort their image fetches, and each
    /// further attempt would take as long and fail again.
    fn handle_ended_gang_task(&mut self, ended: &Assignment, reason: TerminationReason) {
        let is_replaceable = matches!(
            reason,
            TerminationReason::Lost | TerminationReason::Rejected | TerminationReason::GangIncomplete
        );
        if !is_replaceable || self.vacated_machines.len() >= MAX_VACATED_MACHINES {
            self.assignments.iter_mut().for_each(|a| a.desired = DesiredState::Stopped);
        }
        if self.assignments.is_empty() {
            self.vacated_machines.clear();
        } else {
            self.vacated_machines.push(ended.machine.clone());
        }
    }

    /// The machines that placement avoids now.
    pub fn avoided_machines_at(&self, now_ms: u64) -> impl Iterator<Item = &str> {
        let is_avoided = move |(_, until_ms): &&(String, u64)| *until_ms > now_ms;
        self.avoided_machines.iter().filter(is_avoided).map(|(machine, _)| machine.as_str())
    }

    /// Makes placement avoid a machine for `duration_ms`. The oldest entries are dropped if there
    /// are too many for the record.
    pub fn avoid_machine(&mut self, machine: &str, now_ms: u64, duration_ms: u64) {
        self.avoided_machines.retain(|(m, until_ms)| *until_ms > now_ms && **m != *machine);
        self.avoided_machines.push((machine.to_owned(), now_ms + duration_ms));
        let surplus = self.avoided_machines.len().saturating_sub(MAX_AVOIDED_MACHINES);
        self.avoided_machines.drain(..surplus);
    }

    /// Removes everything except the final state if the job is final and has no assignments.
    pub fn compact_if_final(&mut self) {
        if !matches!(self.phase, Phase::Done | Phase::Cancelled) || !self.assignments.is_empty() {
            return;
        }
        let done = std::mem::take(&mut self.done);
        *self = Self {
            // The number of done tasks is still shown to users.
            done: if done.range_count() <= 1 { done } else { Ranges::all(done.len()) },
            // The submission time of dependents is derived from it.
            ended_ms: self.ended_ms,
            ..Self::empty(self.phase)
        };
    }
}
