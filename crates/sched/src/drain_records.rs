//! Records of drains: which machines are cordoned, the progress of each drain, and which voluntary
//! disruptions are open.
//!
//! The machines of a drain are stored separately from its progress, in simple records of their own,
//! so that they stay cordoned even if the progress record cannot be read.

use serde::{Deserialize, Serialize};

use crate::compact;
use crate::records::Name;

/// The schema version of [`DrainRecord`] that this release writes and reads.
pub const DRAIN_SCHEMA: u32 = 1;

/// A record that is rewritten with every change to the cordons. Placements are conditional on its
/// version, so that no placement decided before a cordon is committed after it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CordonFence {
    /// The number of changes to the cordons.
    pub generation: u64,
}

/// Some of the machines of a drain. A drain with many machines has several of these records.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CordonRecord {
    /// Whether placement on the machines is forbidden.
    pub active: bool,
    /// The machines of this cordon.
    #[serde(with = "compact::names")]
    pub machines: Option<Vec<Name>>,
    /// Machines that had no tasks left; recorded before they are scaled in.
    #[serde(default, skip_serializing_if = "Option::is_none", with = "compact::names")]
    pub emptied: Option<Vec<Name>>,
    /// Machines that are gone from the cluster.
    #[serde(default, skip_serializing_if = "Option::is_none", with = "compact::names")]
    pub gone: Option<Vec<Name>>,
}

impl CordonRecord {
    /// An active cordon of these machines.
    pub fn new(machines: Vec<Name>) -> Self {
        Self { active: true, machines: Some(machines), emptied: None, gone: None }
    }

    /// All machines of the record.
    pub fn machines(&self) -> &[Name] {
        self.machines.as_deref().unwrap_or_default()
    }

    /// The machines that had no tasks left.
    pub fn emptied(&self) -> &[Name] {
        self.emptied.as_deref().unwrap_or_default()
    }

    /// The machines that are gone from the cluster.
    pub fn gone(&self) -> &[Name] {
        self.gone.as_deref().unwrap_or_default()
    }

    /// The machines that are still in the cluster.
    pub fn remaining(&self) -> impl Iterator<Item = &Name> {
        self.machines().iter().filter(|m| !self.gone().contains(m))
    }

    /// Records that a machine has no tasks left. Returns whether this was not yet recorded.
    pub fn mark_emptied(&mut self, machine: &Name) -> bool {
        insert_if_absent(&mut self.emptied, machine)
    }

    /// Records that a machine is gone. Returns whether this was not yet recorded.
    pub fn mark_gone(&mut self, machine: &Name) -> bool {
        insert_if_absent(&mut self.gone, machine)
    }
}

/// Adds a machine to a list unless the list contains it. Returns whether the machine was added.
fn insert_if_absent(list: &mut Option<Vec<Name>>, machine: &Name) -> bool {
    let list = list.get_or_insert_default();
    let is_new = !list.contains(machine);
    if is_new {
        list.push(machine.clone());
    }
    is_new
}

/// What happens to tasks that cannot save a checkpoint when the drain's `patience_ms` has elapsed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnsavedWork {
    /// They keep running, and their machines are not scaled in.
    #[default]
    #[serde(rename = "leave")]
    Leave,
    /// They are stopped and restarted elsewhere.
    #[serde(rename = "stop")]
    Stop,
}

/// How a drain ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainEnd {
    /// All machines of the drain are gone.
    #[serde(rename = "finished")]
    Finished,
    /// An operator stopped the drain.
    #[serde(rename = "operator")]
    ByOperator,
    /// No capacity was found for the tasks to be moved, after all retries.
    #[serde(rename = "no-room")]
    NoCapacity,
    /// The remaining tasks cannot save a checkpoint, and the drain leaves such tasks running.
    #[serde(rename = "work-left")]
    WorkLeft,
    /// An obstacle persisted for longer than `give_up_ms`.
    #[serde(rename = "gave-up")]
    GaveUp,
}

/// The phase of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainPhase {
    /// The drain moves tasks and scales in machines.
    #[serde(rename = "active")]
    Active,
    /// The drain no longer stops tasks; its cordons are being lifted.
    #[serde(rename = "closing")]
    Closing(DrainEnd),
    /// The drain has ended.
    #[serde(rename = "closed")]
    Closed(DrainEnd),
}

/// The kinds of obstacles that a drain waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObstacleKind {
    /// The maximum number of replicas of the service is already down.
    #[serde(rename = "service-budget")]
    ServiceBudget,
    /// The team already has the maximum number of open voluntary disruptions.
    #[serde(rename = "team-budget")]
    TeamBudget,
    /// There is no capacity for the task or gang on other machines.
    #[serde(rename = "no-room")]
    NoCapacity,
    /// The task cannot save a checkpoint, and the drain's `patience_ms` has not elapsed.
    #[serde(rename = "cannot-save")]
    CannotSave,
    /// The task has been requested to stop and has not ended yet.
    #[serde(rename = "stopping")]
    Stopping,
    /// A controller does not support drains, or has them disabled.
    #[serde(rename = "old-controller")]
    OldController,
    /// The machine has no tasks left and is about to be scaled in.
    #[serde(rename = "giving-back")]
    ScalingIn,
}

/// The first obstacle that a drain waits for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Obstacle {
    /// The kind of obstacle.
    pub kind: ObstacleKind,
    /// The team of the job; empty if no job is involved.
    #[serde(default)]
    pub team: String,
    /// The job, or the controller for [`ObstacleKind::OldController`]; empty if there is neither.
    #[serde(default)]
    pub job: String,
    /// The machine with the obstacle.
    #[serde(default)]
    pub machine: String,
    /// When the drain began to wait, in Unix milliseconds.
    #[serde(default)]
    pub since_ms: u64,
}

impl Obstacle {
    /// Whether both have the same kind, team and job, regardless of machine and time.
    pub fn is_same(&self, other: &Self) -> bool {
        (self.kind, &self.team, &self.job) == (other.kind, &other.team, &other.job)
    }
}

/// The search for capacity for the tasks to be moved next.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacitySearch {
    /// The number of attempts that found no capacity.
    pub failed: u32,
    /// When the current attempt began or will begin, in Unix milliseconds; 0 if none is needed.
    pub since_ms: u64,
}

/// A drain: its operator's request and its progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// The schema version of the record, [`DRAIN_SCHEMA`].
    pub schema: u32,
    /// The phase of the drain.
    pub phase: DrainPhase,
    /// The number of [`CordonRecord`]s of the drain.
    pub cordons: u32,
    /// The number of machines that the drain had when it was created.
    pub machines: u32,
    /// When the drain was started or resumed, in Unix milliseconds.
    pub started_ms: u64,
    /// How long tasks that cannot save a checkpoint may keep running, in milliseconds.
    pub patience_ms: u64,
    /// What happens to such tasks afterwards.
    pub unsaved: UnsavedWork,
    /// How long one obstacle may persist before the drain ends, in milliseconds.
    pub give_up_ms: u64,
    /// The number of replicas, array tasks and gangs that the drain has stopped.
    pub moved: u32,
    /// The search for capacity for the tasks to be moved next.
    #[serde(rename = "room", default)]
    pub capacity_search: CapacitySearch,
    /// What the drain waits for, if anything.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub obstacle: Option<Obstacle>,
}

impl DrainRecord {
    /// Whether the drain may still stop tasks and scale in machines.
    pub fn is_active(&self) -> bool {
        self.phase == DrainPhase::Active
    }
}

/// What caused a voluntary disruption.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DisruptionCause {
    /// The drain with this name.
    #[serde(rename = "d")]
    Drain(String),
    /// The rescheduler.
    #[serde(rename = "r")]
    Rescheduler,
}

/// A voluntary disruption: a task or a whole gang that was stopped and whose replacement has not
/// been seen running yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Disruption {
    /// The id of the job.
    #[serde(rename = "j")]
    pub job: Name,
    /// The number of the task; 0 for a gang.
    #[serde(rename = "t")]
    pub task: u32,
    /// The attempt that was stopped. The replacement has a higher one.
    #[serde(rename = "a")]
    pub attempt: u64,
    /// What caused the disruption.
    #[serde(rename = "b")]
    pub cause: DisruptionCause,
    /// When the task or gang was stopped, in Unix milliseconds.
    #[serde(rename = "s")]
    pub since_ms: u64,
}

/// The open voluntary disruptions of a team. Every transaction that adds one changes this record and
/// is conditional on its version, so that the budget cannot be exceeded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DisruptionRecord {
    /// The disruptions whose replacements have not been seen running yet.
    pub open: Vec<Disruption>,
}

/// Maximum size of an encoded entry of a [`DisruptionRecord`], in bytes.
const MAX_DISRUPTION_BYTES: f64 = 200.0;

/// The fraction of a value that the entries may occupy.
const USABLE_VALUE_SHARE: f64 = 0.9;

impl DisruptionRecord {
    /// How many entries fit into a value of `value_bytes`. This limits the open disruptions of a
    /// team in addition to its budget.
    pub fn capacity(value_bytes: f64) -> usize {
        ((value_bytes * USABLE_VALUE_SHARE / MAX_DISRUPTION_BYTES) as usize).max(1)
    }
}

#[cfg(test)]
#[path = "../tests/unit/drain_records.rs"]
mod tests;
