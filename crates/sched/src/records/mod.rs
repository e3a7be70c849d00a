//! What is kept in the state service. These records are the truth: a task is on
//! a machine exactly as long as its job's record holds the assignment.

mod ranges;

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use wire::{JobKind, JobSpec, JobState, MachineType, Priority};

use crate::compact;
pub use ranges::Ranges;

/// A machine's name. Many assignments share one.
pub type Name = Arc<str>;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    #[serde(rename = "a")]
    Active,
    #[serde(rename = "d")]
    Done,
    #[serde(rename = "c")]
    Cancelled,
    /// Waits for other jobs. The version before pipelines cannot read it, and so
    /// answers 503 and starts nothing of it.
    #[serde(rename = "w")]
    Waiting,
}

/// What a job inherits from those that need it. Derived from the records by each
/// controller, and never written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Urgency {
    pub priority: Option<Priority>,
    /// When it should be done at the latest, so that those after it are in time.
    pub deadline_ms: Option<u64>,
}

impl Urgency {
    /// The more urgent of both in each respect.
    pub fn and(self, other: Self) -> Self {
        let earlier = self.deadline_ms.into_iter().chain(other.deadline_ms).min();
        Self { priority: self.priority.max(other.priority), deadline_ms: earlier }
    }
}

/// Whether an assignment is to go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DesiredState {
    #[serde(rename = "r")]
    Running,
    /// Stop with enough time to save.
    #[serde(rename = "s")]
    Stopped,
}

/// One task's place. A task has at most one at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    pub task: u32,
    pub attempt: u64,
    pub machine: Name,
    pub desired: DesiredState,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    pub phase: Phase,
    /// Dropped once the job is final and nothing of it is on any machine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Box<JobSpec>>,
    /// The controller that places the job's tasks; None: the leader.
    #[serde(rename = "part", default, skip_serializing_if = "Option::is_none")]
    pub shard: Option<String>,
    /// Time of day of the submission, in milliseconds.
    #[serde(default)]
    pub submitted_ms: u64,
    /// The number that the next placement of a gang follows; for other jobs the
    /// attempt that placements have now. A task that ends without being done
    /// raises it, so that no task ever gets the same number twice.
    #[serde(default)]
    pub attempt: u64,
    #[serde(default, skip_serializing_if = "Ranges::is_empty")]
    pub done: Ranges,
    /// Sorted by task.
    #[serde(rename = "run", default, skip_serializing_if = "Vec::is_empty", with = "compact::assignments")]
    pub assignments: Vec<Assignment>,
    /// Machines that placement avoids, and until what time of day.
    #[serde(rename = "avoid", default, skip_serializing_if = "Vec::is_empty")]
    pub avoided_machines: Vec<(String, u64)>,
    /// Machines that a task of the gang's current attempt was on and is no longer.
    /// No task of that attempt is placed there again: a late copy of the word of
    /// its end would else be taken for the end of the later one.
    #[serde(rename = "left", default, skip_serializing_if = "Vec::is_empty")]
    pub vacated_machines: Vec<Name>,
    /// When the rescheduler last took from the disruption budget.
    #[serde(rename = "evicted_ms", default)]
    pub last_eviction_ms: u64,
    /// Starts in a row that failed by error, and when the last one did.
    #[serde(rename = "errors", default)]
    pub failed_starts: u32,
    #[serde(rename = "error_ms", default)]
    pub last_failure_ms: u64,
    /// The jobs that a waiting one needs, but for those that were done before.
    #[serde(rename = "needs", default, skip_serializing_if = "Vec::is_empty", with = "compact::ids")]
    pub dependencies: Vec<Name>,
    /// When a job that had to wait was accepted: its deadline counts from then, all
    /// else from `submitted_ms`, which is when the last job that it needed was done.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub accepted_ms: u64,
    /// When the last task was done.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub ended_ms: u64,
    #[serde(skip)]
    pub urgency: Urgency,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// About how long an image takes and a start and an end take to be told.
const STEP_OVERHEAD_S: f64 = 5.0;

impl JobRecord {
    pub fn new(spec: JobSpec, part: Option<String>, submitted_ms: u64) -> Self {
        Self {
            phase: Phase::Active,
            spec: Some(Box::new(spec)),
            shard: part,
            submitted_ms,
            attempt: 0,
            done: Ranges::default(),
            assignments: Vec::new(),
            avoided_machines: Vec::new(),
            vacated_machines: Vec::new(),
            // The disruption budget fills from the submission on.
            last_eviction_ms: submitted_ms,
            failed_starts: 0,
            last_failure_ms: 0,
            dependencies: Vec::new(),
            accepted_ms: 0,
            ended_ms: 0,
            urgency: Urgency::default(),
        }
    }

    /// A job that waits for others.
    pub fn waiting(spec: JobSpec, part: Option<String>, submitted_ms: u64, needs: Vec<Name>) -> Self {
        Self { phase: Phase::Waiting, dependencies: needs, ..Self::new(spec, part, submitted_ms) }
    }

    /// All that the job needs is done, the last of it at this time. Ageing, turns,
    /// guarantees and the disruption budget count from now on.
    pub fn activate(&mut self, ready_ms: u64) {
        self.phase = Phase::Active;
        self.dependencies = Vec::new();
        self.accepted_ms = self.submitted_ms;
        self.submitted_ms = self.submitted_ms.max(ready_ms);
        self.last_eviction_ms = self.submitted_ms;
    }

    /// The job's priority, or that of a job that needs it if that is higher.
    pub fn priority(&self) -> Option<Priority> {
        self.spec.as_ref().map(|s| s.priority).max(self.urgency.priority)
    }

    /// When the job should be done: by its own deadline and by those of the jobs
    /// that need it.
    pub fn deadline_ms(&self) -> Option<u64> {
        let accepted = if self.accepted_ms > 0 { self.accepted_ms } else { self.submitted_ms };
        let own = self.spec.as_ref().and_then(|s| s.deadline_s);
        let own = own.map(|due| accepted.saturating_add((due.clamp(0.0, 1e9) * 1000.0) as u64));
        own.into_iter().chain(self.urgency.deadline_ms).min()
    }

    /// When the job should start at the latest.
    pub fn latest_start_ms(&self) -> Option<u64> {
        let takes =
            self.spec.as_ref().map_or(0.0, |s| s.estimated_runtime_s.clamp(0.0, 1e9)) + STEP_OVERHEAD_S;
        self.deadline_ms().map(|due| due.saturating_sub((takes * 1000.0) as u64))
    }

    /// What those inherit that this one needs.
    pub fn urgency_for_dependencies(&self) -> Urgency {
        Urgency { priority: self.priority(), deadline_ms: self.latest_start_ms() }
    }

    /// Whether the job is a step of a pipeline with a deadline.
    pub fn in_pipeline(&self) -> bool {
        (self.accepted_ms > 0 || self.urgency != Urgency::default()) && self.deadline_ms().is_some()
    }

    pub fn state(&self) -> JobState {
        match self.phase {
            Phase::Done => JobState::Done,
            Phase::Cancelled => JobState::Cancelled,
            Phase::Waiting => JobState::Queued,
            Phase::Active if self.assignments.is_empty() => JobState::Queued,
            Phase::Active => JobState::Running,
        }
    }

    /// Whether an assignment should be on its machine.
    pub fn should_run(&self, a: &Assignment) -> bool {
        self.phase == Phase::Active && a.desired == DesiredState::Running
    }

    /// Removes an assignment that is proven to be over.
    pub fn end_assignment(
        &mut self,
        task: u32,
        attempt: u64,
        how: TerminationReason,
        now_ms: u64,
        avoid_s: u64,
    ) {
        let found = self.assignments.binary_search_by_key(&task, |a| a.task).ok();
        let Some(i) = found.filter(|i| self.assignments[*i].attempt == attempt) else {
            return;
        };
        let ended = self.assignments.remove(i);
        let Some(spec) = self.spec.as_deref() else { return };
        let gang = spec.kind == JobKind::Gang;
        if !gang && (how != TerminationReason::Done || spec.kind == JobKind::Service) {
            self.attempt = self.attempt.max(attempt + 1);
        }
        if how == TerminationReason::Done && spec.kind != JobKind::Service {
            if gang {
                // The tasks of a gang complete together: one done means all are.
                self.done = Ranges::all(spec.tasks);
            } else {
                self.done.insert(task);
            }
            self.failed_starts = 0;
            if self.phase == Phase::Active && self.done.len() == spec.tasks {
                self.phase = Phase::Done;
                self.ended_ms = now_ms;
            }
        } else if gang {
            // If a task is only lost, or gave up waiting for others that still fetch
            // their image, its gang may take another machine for it; a gang that
            // runs tells by its other tasks' ends that it broke up. Were the others
            // stopped, they would give up fetching, and each further try would take
            // as long and fail alike.
            let may_wait = matches!(
                how,
                TerminationReason::Lost | TerminationReason::Rejected | TerminationReason::GangIncomplete
            );
            if !may_wait || self.vacated_machines.len() >= MAX_VACATED_MACHINES {
                self.assignments.iter_mut().for_each(|a| a.desired = DesiredState::Stopped);
            }
            match self.assignments.is_empty() {
                true => self.vacated_machines.clear(),
                false => self.vacated_machines.push(ended.machine.clone()),
            }
        }
        if how == TerminationReason::Error {
            self.failed_starts = self.failed_starts.saturating_add(1);
            self.last_failure_ms = now_ms;
            self.avoided_machines.retain(|(m, until)| *until > now_ms && **m != *ended.machine);
            self.avoided_machines.push((ended.machine.to_string(), now_ms + avoid_s * 1000));
            let surplus = self.avoided_machines.len().saturating_sub(MAX_AVOIDED_MACHINES);
            self.avoided_machines.drain(..surplus);
        }
        self.compact_if_final();
    }

    /// Drops everything but the final state, once nothing else is needed.
    pub fn compact_if_final(&mut self) {
        if matches!(self.phase, Phase::Done | Phase::Cancelled) && self.assignments.is_empty() {
            let done = std::mem::take(&mut self.done);
            *self = Self {
                phase: self.phase,
                spec: None,
                shard: None,
                submitted_ms: 0,
                attempt: 0,
                // The count is still shown to users who ask later.
                done: if done.pieces() <= 1 { done } else { Ranges::all(done.len()) },
                assignments: Vec::new(),
                avoided_machines: Vec::new(),
                vacated_machines: Vec::new(),
                last_eviction_ms: 0,
                failed_starts: 0,
                last_failure_ms: 0,
                dependencies: Vec::new(),
                accepted_ms: 0,
                // Those that need it count from then.
                ended_ms: self.ended_ms,
                urgency: Urgency::default(),
            };
        }
    }
}

/// Longest list of avoided machines in a job's record.
pub const MAX_AVOIDED_MACHINES: usize = 8;

/// Most machines that the tasks of one attempt of a gang may leave before it is
/// started anew.
pub const MAX_VACATED_MACHINES: usize = 8;

/// How an assignment ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TerminationReason {
    Done,
    /// Stopped, or its gang broke up.
    Stopped,
    /// The machine did not take it.
    Rejected,
    Error,
    /// Proven gone without a word of its own.
    Lost,
    /// Its gang was not complete in time.
    GangIncomplete,
}

impl TerminationReason {
    /// As controllers tell each other.
    pub fn code(self) -> u8 {
        match self {
            TerminationReason::Done => 0,
            TerminationReason::Stopped => 1,
            TerminationReason::Error => 2,
            TerminationReason::Lost => 3,
            TerminationReason::Rejected => 4,
            TerminationReason::GangIncomplete => 5,
        }
    }

    pub fn from_code(code: u8) -> Option<Self> {
        [
            TerminationReason::Done,
            TerminationReason::Stopped,
            TerminationReason::Error,
            TerminationReason::Lost,
            TerminationReason::Rejected,
            TerminationReason::GangIncomplete,
        ]
        .into_iter()
        .find(|e| e.code() == code)
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord {
    pub addr: String,
    pub machine_type: Name,
    pub zone: Name,
    pub spot: bool,
    /// The machine is to be emptied and given back.
    #[serde(default)]
    pub release: bool,
}

/// A controller's entry in the map and among the members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    pub zone: String,
    /// Drawn at the start of the process.
    pub incarnation: u64,
}

/// What a controller leaves under its name for good: which form of the records it
/// knows. The version before did not leave any.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchemaMarker {
    #[serde(rename = "form")]
    pub schema_version: u32,
}

/// The schema with pipelines and chunked records.
pub const SCHEMA_VERSION: u32 = 2;
/// The schema with drains, of a controller that has them switched on: it places nothing on
/// machines that are cordoned.
pub const DRAINS_SCHEMA_VERSION: u32 = 3;

/// Who is entitled to act. Every token given out carries the epoch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterMap {
    pub epoch: u64,
    pub live: Vec<Member>,
}

impl ClusterMap {
    /// The owner of a machine: a hash over the live controllers of its zone, or
    /// over all of them where the zone has none. A worker can then be reached
    /// by its owner while zones are cut off from each other.
    pub fn owner(&self, machine: &str, zone: &str) -> Option<&Member> {
        let near = self.live.iter().any(|m| m.zone == zone);
        self.live.iter().filter(|m| !near || m.zone == zone).max_by_key(|m| hash(machine, &m.name))
    }

    pub fn contains(&self, name: &str, incarnation: u64) -> bool {
        self.live.iter().any(|m| m.name == name && m.incarnation == incarnation)
    }
}

/// Rendezvous hash (FNV-1a with a final mix), the same on every controller.
fn hash(machine: &str, node: &str) -> u64 {
    let mut h = 0xcbf2_9ce4_8422_2325_u64;
    for b in machine.bytes().chain([0]).chain(node.bytes()) {
        h = (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    }
    h ^= h >> 32;
    h = h.wrapping_mul(0xd6e8_feb8_6659_fd93);
    h ^ (h >> 32)
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MachineTypesRecord {
    pub types: Vec<MachineType>,
}

/// Put by every placement that uses a team's share; its version is the fence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamRecord {
    pub placements: u64,
}

/// A rental that has been asked for and whose machines are not all up yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScaleOut {
    #[serde(rename = "r")]
    pub request: String,
    #[serde(rename = "t")]
    pub machine_type: Name,
    #[serde(rename = "z")]
    pub zone: Name,
    #[serde(rename = "s")]
    pub spot: bool,
    #[serde(rename = "n")]
    pub count: u32,
    #[serde(rename = "a")]
    pub requested_ms: u64,
    /// None: not answered yet.
    #[serde(rename = "m", with = "compact::names")]
    pub machines: Option<Vec<Name>>,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetRecord {
    #[serde(rename = "rentals")]
    pub scale_outs: Vec<ScaleOut>,
    /// Machines whose release the cloud has confirmed, while their own records
    /// are still to be deleted. One change tells of hundreds.
    #[serde(rename = "gone", default, skip_serializing_if = "Option::is_none", with = "compact::names")]
    pub removed_machines: Option<Vec<Name>>,
}

#[cfg(test)]
#[path = "../../tests/unit/records.rs"]
mod tests;
