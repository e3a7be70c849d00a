//! The assignment of one task to one machine, which job records are made of.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The name of a machine, a machine type, a zone or a job. Many values share one allocation.
pub type Name = Arc<str>;

/// Whether an assignment is to go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DesiredState {
    /// The task is to run.
    #[serde(rename = "r")]
    Running,
    /// The task is to stop, with enough time to save a checkpoint.
    #[serde(rename = "s")]
    Stopped,
}

/// The machine that a task is assigned to. A task has at most one assignment at a time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assignment {
    /// The number of the task within its job.
    pub task: u32,
    /// The attempt at the task that this assignment is.
    pub attempt: u64,
    /// The machine.
    pub machine: Name,
    /// Whether the task is to run or to stop.
    pub desired: DesiredState,
}
