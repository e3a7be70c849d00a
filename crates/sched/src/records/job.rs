//! The record of a job.

use serde::{Deserialize, Serialize};
use wire::{JobKind, JobSpec, JobState, Priority};

use super::{Ranges, TerminationReason};
use crate::assignment::{Assignment, DesiredState, Name};
use crate::compact;

/// How far a job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Its tasks run, or are to.
    #[serde(rename = "a")]
    Active,
    /// All its tasks are done. The phase is final.
    #[serde(rename = "d")]
    Done,
    /// It was cancelled. The phase is final.
    #[serde(rename = "c")]
    Cancelled,
    /// It waits for its dependencies. The version before pipelines cannot read it, and so answers
    /// 503 and starts nothing of it.
    #[serde(rename = "w")]
    Waiting,
}

/// What a job inherits from the jobs that depend on it. Each controller derives it from the
/// records; it is never written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Urgency {
    /// The highest priority among them.
    pub priority: Option<Priority>,
    /// When it has to be done at the latest, so that they meet their deadlines, in milliseconds
    /// of the time of day.
    pub deadline_ms: Option<u64>,
}

impl Urgency {
    /// The more urgent of both in each respect.
    pub fn and(self, other: Self) -> Self {
        let earlier = self.deadline_ms.into_iter().chain(other.deadline_ms).min();
        Self { priority: self.priority.max(other.priority), deadline_ms: earlier }
    }
}

/// A job: its specification, progress and assignments.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// How far it is.
    pub phase: Phase,
    /// Dropped once the job is final and has no assignments.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Box<JobSpec>>,
    /// The controller that places the job's tasks; `None`: the leader.
    #[serde(rename = "part", default, skip_serializing_if = "Option::is_none")]
    pub shard: Option<String>,
    /// When it was submitted, in milliseconds of the time of day; for a job that had to wait for
    /// its dependencies, when the last of them was done.
    #[serde(default)]
    pub submitted_ms: u64,
    /// For a gang, the number that precedes that of its next placement; for other jobs, the
    /// attempt that placements have now. A task that ends without being done raises it, so that
    /// no task ever gets the same number twice.
    #[serde(default)]
    pub attempt: u64,
    /// The tasks that are done.
    #[serde(default, skip_serializing_if = "Ranges::is_empty")]
    pub done: Ranges,
    /// The assignments, sorted by task.
    #[serde(rename = "run", default, skip_serializing_if = "Vec::is_empty", with = "compact::assignments")]
    pub assignments: Vec<Assignment>,
    /// Machines that placement avoids, and until when, in milliseconds of the time of day.
    #[serde(rename = "avoid", default, skip_serializing_if = "Vec::is_empty")]
    pub avoided_machines: Vec<(String, u64)>,
    /// Machines that a task of the gang's current attempt was on and is no longer. No task of that
    /// attempt is placed there again: a delayed duplicate of the proof of its termination would
    /// otherwise be taken for that of the later one.
    #[serde(rename = "left", default, skip_serializing_if = "Vec::is_empty")]
    pub vacated_machines: Vec<Name>,
    /// When the rescheduler last used the disruption budget, in milliseconds of the time of day.
    #[serde(rename = "evicted_ms", default)]
    pub last_eviction_ms: u64,
    /// Consecutive starts that failed by an error.
    #[serde(rename = "errors", default)]
    pub failed_starts: u32,
    /// When the last one failed, in milliseconds of the time of day.
    #[serde(rename = "error_ms", default)]
    pub last_failure_ms: u64,
    /// The dependencies of a waiting job, but for those that were done before.
    #[serde(rename = "needs", default, skip_serializing_if = "Vec::is_empty", with = "compact::job_ids")]
    pub dependencies: Vec<Name>,
    /// When a job that had to wait was accepted, in milliseconds of the time of day: its deadline
    /// counts from then, everything else from `submitted_ms`. 0 if it did not have to wait.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub accepted_ms: u64,
    /// When the last task was done, in milliseconds of the time of day; 0 before.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub ended_ms: u64,
    /// What it inherits from the jobs that depend on it.
    #[serde(skip)]
    pub urgency: Urgency,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// About how long fetching an image and reporting a start and an end take together.
const STEP_OVERHEAD_S: f64 = 5.0;

/// Longest deadline or runtime that is counted with.
const MAX_DURATION_S: f64 = 1e9;

/// Longest list of avoided machines in a job's record.
pub const MAX_AVOIDED_MACHINES: usize = 8;

/// Most machines that the tasks of one attempt of a gang may vacate before the gang is restarted.
pub const MAX_VACATED_MACHINES: usize = 8;

impl JobRecord {
    /// An active job of which nothing is placed.
    pub fn new(spec: JobSpec, shard: Option<String>, submitted_ms: u64) -> Self {
        Self {
            spec: Some(Box::new(spec)),
            shard,
            submitted_ms,
            // The disruption budget fills from the submission on.
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

    /// Makes a waiting job active whose last dependency was done at this time. Ageing, queue
    /// ranks, guarantees and the disruption budget count from then on.
    pub fn activate(&mut self, ready_ms: u64) {
        self.phase = Phase::Active;
        self.dependencies = Vec::new();
        self.accepted_ms = self.submitted_ms;
        self.submitted_ms = self.submitted_ms.max(ready_ms);
        self.last_eviction_ms = self.submitted_ms;
    }

    /// The job's priority, or that of a job that depends on it if that is higher.
    pub fn priority(&self) -> Option<Priority> {
        self.spec.as_ref().map(|spec| spec.priority).max(self.urgency.priority)
    }

    /// When the job was accepted, in milliseconds of the time of day: its deadline counts from
    /// then.
    pub(crate) fn deadline_start_ms(&self) -> u64 {
        if self.accepted_ms > 0 { self.accepted_ms } else { self.submitted_ms }
    }

    /// When the job should be done, in milliseconds of the time of day: by its own deadline and by
    /// those of the jobs that depend on it.
    pub fn deadline_ms(&self) -> Option<u64> {
        let own = self.spec.as_ref().and_then(|spec| spec.deadline_s).map(|deadline_s| {
            self.deadline_start_ms().saturating_add((deadline_s.clamp(0.0, MAX_DURATION_S) * 1000.0) as u64)
        });
        own.into_iter().chain(self.urgency.deadline_ms).min()
    }

    /// When the job should start at the latest, in milliseconds of the time of day.
    pub fn latest_start_ms(&self) -> Option<u64> {
        let runtime_s =
            self.spec.as_ref().map_or(0.0, |spec| spec.estimated_runtime_s.clamp(0.0, MAX_DURATION_S));
        let duration_s = runtime_s + STEP_OVERHEAD_S;
        self.deadline_ms().map(|deadline_ms| deadline_ms.saturating_sub((duration_s * 1000.0) as u64))
    }

    /// What the dependencies of this job inherit from it.
    pub fn urgency_for_dependencies(&self) -> Urgency {
        Urgency { priority: self.priority(), deadline_ms: self.latest_start_ms() }
    }

    /// Whether the job is a step of a pipeline with a deadline.
    pub fn in_pipeline(&self) -> bool {
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

    /// Whether an assignment of this job should be on its machine.
    pub fn should_run(&self, assignment: &Assignment) -> bool {
        self.phase == Phase::Active && assignment.desired == DesiredState::Running
    }

    /// Removes an assignment that is proven to be over. After an error, placement avoids its
    /// machine for `avoid_s` seconds. Nothing is changed if the task has no assignment of this
    /// attempt.
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
        let ended = self.assignments.remove(i);
        let Some(spec) = self.spec.as_deref() else { return };
        let (kind, tasks) = (spec.kind, spec.tasks);
        let is_done = reason == TerminationReason::Done && kind != JobKind::Service;
        if kind != JobKind::Gang && !is_done {
            self.attempt = self.attempt.max(attempt + 1);
        }
        if is_done {
            self.note_done(task, kind, tasks, now_ms);
        } else if kind == JobKind::Gang {
            self.note_gang_task_ended(&ended, reason);
        }
        if reason == TerminationReason::Error {
            self.failed_starts = self.failed_starts.saturating_add(1);
            self.last_failure_ms = now_ms;
            self.avoid_machine(&ended.machine, now_ms, avoid_s * 1000);
        }
        self.compact_if_final();
    }

    fn note_done(&mut self, task: u32, kind: JobKind, tasks: u32, now_ms: u64) {
        if kind == JobKind::Gang {
            // The tasks of a gang complete together: one done means all are.
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

    /// A gang whose task is only lost, or stopped waiting for others that still fetch their image,
    /// may take another machine for it; if the gang runs, the ends of its other tasks show that it
    /// broke up. Were the others stopped, they would abort their fetches, and each further attempt
    /// would take as long and fail alike.
    fn note_gang_task_ended(&mut self, ended: &Assignment, reason: TerminationReason) {
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

    /// Makes placement avoid a machine for a while. The oldest entries are dropped if there are
    /// more than [`MAX_AVOIDED_MACHINES`].
    pub(crate) fn avoid_machine(&mut self, machine: &str, now_ms: u64, duration_ms: u64) {
        self.avoided_machines.retain(|(m, until_ms)| *until_ms > now_ms && **m != *machine);
        self.avoided_machines.push((machine.to_owned(), now_ms + duration_ms));
        let surplus = self.avoided_machines.len().saturating_sub(MAX_AVOIDED_MACHINES);
        self.avoided_machines.drain(..surplus);
    }

    /// Drops everything but the final state, once the job is final and has no assignments.
    pub fn compact_if_final(&mut self) {
        if !matches!(self.phase, Phase::Done | Phase::Cancelled) || !self.assignments.is_empty() {
            return;
        }
        let done = std::mem::take(&mut self.done);
        *self = Self {
            // The count is still shown to users who ask later.
            done: if done.range_count() <= 1 { done } else { Ranges::all(done.len()) },
            // The start of the jobs that depend on it counts from then.
            ended_ms: self.ended_ms,
            ..Self::empty(self.phase)
        };
    }
}
