//! Assignments of tasks to machines, as stored in job records.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The name of a machine, machine type, zone or job. Clones share one allocation.
pub type Name = Arc<str>;

/// Whether an assigned task should run or stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DesiredState {
    /// The task should run.
    #[serde(rename = "r")]
    Running,
    /// The task should stop, with enough time to save a checkpoint.
    #[serde(rename = "s")]
    Stopped,
}

/// The assignment of a task to a machine. A task has at most one assignment at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The number of the task within its job.
    pub task: u32,
    /// The number of this attempt to run the task.
    pub attempt: u64,
    /// The machine that the task is assigned to.
    pub machine: Name,
    /// Whether the task should run or stop.
    pub desired: DesiredState,
}
