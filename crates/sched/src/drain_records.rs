//! Records of drains: which machines are cordoned, how far each drain is, and which voluntary
//! disruptions are open.
//!
//! The machines of a drain are kept apart from its progress, in simple records of their own: if the
//! progress cannot be read, the machines stay cordoned.

use serde::{Deserialize, Serialize};

use crate::compact;
use crate::records::Name;

/// The schema of [`DrainRecord`] that this version writes and reads.
pub const DRAIN_SCHEMA: u32 = 1;

/// Changes with every change of the cordons. Placements are conditional on its version, so that none
/// that was decided before a cordon is committed after it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CordonFence {
    /// Counts the changes of the cordons.
    pub generation: u64,
}

/// Some of a drain's machines. A drain has as many of these records as its machines need.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CordonRecord {
    /// Whether nothing may be placed on the machines.
    pub active: bool,
    /// The machines.
    #[serde(with = "compact::names")]
    pub machines: Option<Vec<Name>>,
    /// Those on which nothing was left, before they are scaled in.
    #[serde(default, skip_serializing_if = "Option::is_none", with = "compact::names")]
    pub emptied: Option<Vec<Name>>,
    /// Those that are gone.
    #[serde(default, skip_serializing_if = "Option::is_none", with = "compact::names")]
    pub gone: Option<Vec<Name>>,
}

impl CordonRecord {
    /// A cordon of these machines.
    pub fn new(machines: Vec<Name>) -> Self {
        Self { active: true, machines: Some(machines), emptied: None, gone: None }
    }

    /// All machines of the record.
    pub fn machines(&self) -> &[Name] {
        self.machines.as_deref().unwrap_or_default()
    }

    /// The machines on which nothing was left.
    pub fn emptied(&self) -> &[Name] {
        self.emptied.as_deref().unwrap_or_default()
    }

    /// The machines that are gone.
    pub fn gone(&self) -> &[Name] {
        self.gone.as_deref().unwrap_or_default()
    }

    /// The machines that are not gone.
    pub fn remaining(&self) -> impl Iterator<Item = &Name> {
        self.machines().iter().filter(|m| !self.gone().contains(m))
    }

    /// Notes that nothing is left on a machine. True if that is new.
    pub fn note_emptied(&mut self, machine: &Name) -> bool {
        add_once(&mut self.emptied, machine)
    }

    /// Notes that a machine is gone. True if that is new.
    pub fn note_gone(&mut self, machine: &Name) -> bool {
        add_once(&mut self.gone, machine)
    }
}

/// Adds a machine to a list unless it is there already. True if it is new.
fn add_once(list: &mut Option<Vec<Name>>, machine: &Name) -> bool {
    let list = list.get_or_insert_default();
    let is_new = !list.contains(machine);
    if is_new {
        list.push(machine.clone());
    }
    is_new
}

/// What becomes of tasks that cannot save a checkpoint, once the drain's patience is over.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnsavedWork {
    /// They run on, and their machines are kept.
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
    /// All its machines are gone.
    #[serde(rename = "finished")]
    Finished,
    /// An operator stopped it.
    #[serde(rename = "operator")]
    ByOperator,
    /// No capacity was found for what is to be moved, after all retries.
    #[serde(rename = "no-room")]
    NoCapacity,
    /// What is left cannot save a checkpoint and was to be left running.
    #[serde(rename = "work-left")]
    WorkLeft,
    /// An obstacle persisted for longer than the operator allows.
    #[serde(rename = "gave-up")]
    GaveUp,
}

/// How far a drain is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainPhase {
    /// It moves tasks and scales in machines.
    #[serde(rename = "active")]
    Active,
    /// Nothing is stopped for it any more; its cordons are being lifted.
    #[serde(rename = "closing")]
    Closing(DrainEnd),
    /// It is over.
    #[serde(rename = "closed")]
    Closed(DrainEnd),
}

/// What a drain waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObstacleKind {
    /// As many replicas of the service are down as may be.
    #[serde(rename = "service-budget")]
    ServiceBudget,
    /// As many voluntary disruptions of the team are open as may be.
    #[serde(rename = "team-budget")]
    TeamBudget,
    /// There is no capacity for it elsewhere.
    #[serde(rename = "no-room")]
    NoCapacity,
    /// It cannot save a checkpoint, and the drain's patience is not over.
    #[serde(rename = "cannot-save")]
    CannotSave,
    /// It was told to stop and has not ended yet.
    #[serde(rename = "stopping")]
    Stopping,
    /// A controller does not know drains, or has them disabled.
    #[serde(rename = "old-controller")]
    OldController,
    /// Nothing is left on the machine; it is about to be scaled in.
    #[serde(rename = "giving-back")]
    ScalingIn,
}

/// The first thing that a drain waits for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Obstacle {
    /// What kind of obstacle it is.
    pub kind: ObstacleKind,
    /// The team of the job; empty if there is none.
    #[serde(default)]
    pub team: String,
    /// The job, or the controller in the case of an old one; empty if there is none.
    #[serde(default)]
    pub job: String,
    /// The machine that it is on.
    #[serde(default)]
    pub machine: String,
    /// Since when the drain waits for it, in milliseconds of the time of day.
    #[serde(default)]
    pub since_ms: u64,
}

impl Obstacle {
    /// Whether both are the same, since whenever.
    pub fn is_same(&self, other: &Self) -> bool {
        (self.kind, &self.team, &self.job) == (other.kind, &other.team, &other.job)
    }
}

/// The search for capacity for what is to be moved next.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacitySearch {
    /// Attempts that found no capacity.
    pub failed: u32,
    /// When the current attempt began, or will, in milliseconds of the time of day; 0: none is needed.
    pub since_ms: u64,
}

/// A drain: what its operator requested, and how far it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// The schema of the record, [`DRAIN_SCHEMA`].
    pub schema: u32,
    /// How far it is.
    pub phase: DrainPhase,
    /// How many [`CordonRecord`]s it has.
    pub cordons: u32,
    /// How many machines there were to drain.
    pub machines: u32,
    /// When it was started or resumed, in milliseconds of the time of day.
    pub started_ms: u64,
    /// How long tasks that cannot save a checkpoint may run on, in milliseconds.
    pub patience_ms: u64,
    /// What becomes of such tasks then.
    pub unsaved: UnsavedWork,
    /// How long one obstacle may persist before the drain ends, in milliseconds.
    pub give_up_ms: u64,
    /// Replicas, array tasks and gangs that it has stopped.
    pub moved: u32,
    /// The search for capacity for what is to be moved next.
    #[serde(rename = "room", default)]
    pub capacity_search: CapacitySearch,
    /// What it waits for, if anything.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub obstacle: Option<Obstacle>,
}

impl DrainRecord {
    /// Whether it may still stop tasks and scale in machines.
    pub fn is_active(&self) -> bool {
        self.phase == DrainPhase::Active
    }
}

/// What caused a voluntary disruption.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DisruptionCause {
    /// The drain of this name.
    #[serde(rename = "d")]
    Drain(String),
    /// The rescheduler.
    #[serde(rename = "r")]
    Rescheduler,
}

/// A voluntary disruption: a task, or a whole gang, that was stopped and whose replacement has not
/// been seen running.
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
    /// What caused it.
    #[serde(rename = "b")]
    pub cause: DisruptionCause,
    /// When it was stopped, in milliseconds of the time of day.
    #[serde(rename = "s")]
    pub since_ms: u64,
}

/// The open voluntary disruptions of a team. Every transaction that adds one changes this record and
/// is conditional on its version, so that the budget cannot be exceeded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DisruptionRecord {
    /// The disruptions whose replacements have not been seen running.
    pub open: Vec<Disruption>,
}

/// Most bytes that one entry of a [`DisruptionRecord`] takes of a value.
const MAX_DISRUPTION_BYTES: f64 = 200.0;

/// The share of a value that the entries may take.
const USABLE_VALUE_SHARE: f64 = 0.9;

impl DisruptionRecord {
    /// How many entries fit into a value of this size. It bounds the open disruptions of a team,
    /// whatever its budget is.
    pub fn capacity(value_bytes: f64) -> usize {
        ((value_bytes * USABLE_VALUE_SHARE / MAX_DISRUPTION_BYTES) as usize).max(1)
    }
}

#[cfg(test)]
#[path = "../tests/unit/drain_records.rs"]
mod tests;
