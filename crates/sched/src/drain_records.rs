//! Records of drains in the state service: which machines are cordoned, how far each drain
//! is, and which tasks are down by choice.
//!
//! The machines of a drain stand apart from its progress, in records of their own that are
//! kept simple: if the progress cannot be read, the machines stay cordoned.

use serde::{Deserialize, Serialize};

use crate::compact;
use crate::records::Name;

/// The form of [`DrainRecord`] that this version writes and reads.
pub const DRAIN_SCHEMA: u32 = 1;

/// Changes with every change of what is cordoned. Placements are conditional on its version,
/// so that none that was decided before a cordon is committed after it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CordonFence {
    /// Counts the changes.
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
    /// Those on which nothing was left, before they were given back.
    #[serde(default, skip_serializing_if = "Option::is_none", with = "compact::names")]
    pub emptied: Option<Vec<Name>>,
    /// Those that are no longer there.
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

    /// The machines that are no longer there.
    pub fn gone(&self) -> &[Name] {
        self.gone.as_deref().unwrap_or_default()
    }

    /// The machines that the drain has still to do with.
    pub fn left(&self) -> impl Iterator<Item = &Name> {
        self.machines().iter().filter(|m| !self.gone().contains(m))
    }

    /// Notes that nothing is left on a machine. True if that is new.
    pub fn note_emptied(&mut self, machine: &Name) -> bool {
        note(&mut self.emptied, machine)
    }

    /// Notes that a machine is no longer there. True if that is new.
    pub fn note_gone(&mut self, machine: &Name) -> bool {
        note(&mut self.gone, machine)
    }
}

fn note(list: &mut Option<Vec<Name>>, machine: &Name) -> bool {
    let list = list.get_or_insert_default();
    let is_new = !list.contains(machine);
    if is_new {
        list.push(machine.clone());
    }
    is_new
}

/// What becomes of work that cannot save its progress, once the drain's patience is over.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnsavedWork {
    /// It runs on, and its machine is kept.
    #[default]
    #[serde(rename = "leave")]
    Leave,
    /// It is stopped and starts anew elsewhere.
    #[serde(rename = "stop")]
    Stop,
}

/// How a drain ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainEnd {
    /// All its machines are gone.
    #[serde(rename = "finished")]
    Finished,
    /// Its operator stopped it.
    #[serde(rename = "operator")]
    ByOperator,
    /// No room was found for what is to be moved, however often it was tried.
    #[serde(rename = "no-room")]
    NoRoom,
    /// What is left cannot save its progress and was to be left running.
    #[serde(rename = "work-left")]
    WorkLeft,
    /// An obstacle stood for longer than the operator allowed.
    #[serde(rename = "gave-up")]
    GaveUp,
}

/// How far a drain is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum DrainPhase {
    /// It moves work and gives machines back.
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
    /// The service has as many replicas down as it may.
    #[serde(rename = "service-budget")]
    ServiceBudget,
    /// The team has as much down as it may.
    #[serde(rename = "team-budget")]
    TeamBudget,
    /// There is no room for it elsewhere.
    #[serde(rename = "no-room")]
    NoRoom,
    /// It cannot save its progress, and the drain's patience is not over.
    #[serde(rename = "cannot-save")]
    CannotSave,
    /// It was told to stop and has not ended yet.
    #[serde(rename = "stopping")]
    Stopping,
    /// A controller knows no drains, or has them switched off.
    #[serde(rename = "old-controller")]
    OldController,
    /// Nothing is left on the machine; it is about to be given back.
    #[serde(rename = "giving-back")]
    GivingBack,
}

/// The first thing that a drain waits for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Obstacle {
    /// What kind of thing it is.
    pub kind: ObstacleKind,
    /// The team whose work it is; empty if it is nobody's.
    #[serde(default)]
    pub team: String,
    /// The job, or the controller in the case of an old one; empty if there is none.
    #[serde(default)]
    pub job: String,
    /// The machine that it is on.
    #[serde(default)]
    pub machine: String,
    /// Since when the drain waits for it, by the time of day.
    #[serde(default)]
    pub since_ms: u64,
}

impl Obstacle {
    /// Whether both are the same, whenever they began.
    pub fn is_same(&self, other: &Self) -> bool {
        (self.kind, &self.team, &self.job) == (other.kind, &other.team, &other.job)
    }
}

/// The search for room for what is to be moved next.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomSearch {
    /// Attempts that brought no room.
    pub failed: u32,
    /// When the present attempt began, or begins if that is still to come; 0: none is needed.
    pub since_ms: u64,
}

/// A drain: what its operator wants, and how far it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainRecord {
    /// The form of the record, [`DRAIN_SCHEMA`].
    pub schema: u32,
    /// How far it is.
    pub phase: DrainPhase,
    /// How many [`CordonRecord`]s it has.
    pub cordons: u32,
    /// How many machines there were to drain.
    pub machines: u32,
    /// When it was started, or resumed, by the time of day.
    pub started_ms: u64,
    /// How long work that cannot save may run on.
    pub patience_ms: u64,
    /// What becomes of such work then.
    pub unsaved: UnsavedWork,
    /// How long one obstacle may stand before the drain stops by itself.
    pub give_up_ms: u64,
    /// Replicas, array tasks and gangs that it has stopped.
    pub moved: u32,
    /// The search for room for what comes next.
    #[serde(default)]
    pub room: RoomSearch,
    /// What it waits for, if anything.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub obstacle: Option<Obstacle>,
}

impl DrainRecord {
    /// Whether it may still stop tasks and give machines back.
    pub fn is_active(&self) -> bool {
        self.phase == DrainPhase::Active
    }
}

/// Who stopped a task by choice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stopper {
    /// The drain of this name.
    #[serde(rename = "d")]
    Drain(String),
    /// The rescheduler.
    #[serde(rename = "r")]
    Rescheduler,
}

/// A task, or a whole gang, that was stopped by choice and whose replacement has not been seen
/// running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Disruption {
    /// The job.
    #[serde(rename = "j")]
    pub job: Name,
    /// The task; 0 for a gang.
    #[serde(rename = "t")]
    pub task: u32,
    /// The attempt that was stopped. The replacement has a higher one.
    #[serde(rename = "a")]
    pub attempt: u64,
    /// Who stopped it.
    #[serde(rename = "b")]
    pub by: Stopper,
    /// When, by the time of day.
    #[serde(rename = "s")]
    pub since_ms: u64,
}

/// What of a team's work is down by choice. Every transaction that stops some of it changes
/// this record and is conditional on its version: that is what holds the budget.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DisruptionRecord {
    /// What was stopped and has not been seen running again.
    pub open: Vec<Disruption>,
}

/// Bytes that one entry of a [`DisruptionRecord`] takes of a value, at most.
const DISRUPTION_BYTES: f64 = 200.0;

impl DisruptionRecord {
    /// How many entries fit into a value of this size. It bounds what a team may have down by
    /// choice at a time, whatever its budget is.
    pub fn capacity(value_bytes: f64) -> usize {
        ((value_bytes * 0.9 / DISRUPTION_BYTES) as usize).max(1)
    }
}

#[cfg(test)]
#[path = "../tests/unit/drain_records.rs"]
mod tests;
