//! Messages between workers and controllers.

use serde::{Deserialize, Serialize};

/// The state of a task on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// The task's image is being fetched.
    #[serde(rename = "pulling")]
    Fetching,
    /// The task waits for the other tasks of its gang.
    #[serde(rename = "gathering")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    /// The task saves a checkpoint before it stops.
    #[serde(rename = "saving")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "halted")]
    Stopped,
    /// Other tasks of its gang were lost.
    #[serde(rename = "mates_gone")]
    PeersGone,
    /// The other tasks of its gang did not start in time.
    #[serde(rename = "alone")]
    GangIncomplete,
    #[serde(rename = "error")]
    Error,
    /// The task does not fit on the machine.
    #[serde(rename = "no_room")]
    NoCapacity,
    /// Another attempt of the task has not exited yet.
    #[serde(rename = "in_use")]
    TaskInUse,
    /// The worker does not know the job.
    #[serde(rename = "no_such")]
    UnknownJob,
    /// A reason that this version does not know. The task has exited nevertheless.
    #[serde(other)]
    Other,
}

/// A task in a worker's heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The name of the task: the job's id, a slash and the number of the task.
    #[serde(rename = "thread")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "status")]
    pub state: TaskState,
    #[serde(default)]
    pub cause: Option<ExitReason>,
    /// Whether the task saved a checkpoint before it exited.
    #[serde(rename = "stored", default)]
    pub checkpointed: Option<bool>,
}

impl TaskStatus {
    /// The job's id and the number of the task, or `None` if the task's name has another form.
    pub fn job_and_task_number(&self) -> Option<(&str, u32)> {
        let (job, number) = self.task.split_once('/')?;
        Some((job, number.parse().ok()?))
    }
}

/// A worker's heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "frame")]
    pub machine: String,
    pub addr: String,
    #[serde(rename = "shape")]
    pub machine_type: String,
    #[serde(rename = "bay")]
    pub zone: String,
    #[serde(rename = "loaner")]
    pub spot: bool,
    /// The incarnation of the worker.
    #[serde(rename = "stint")]
    pub incarnation: u64,
    /// Increases with every heartbeat.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The newest fencing token that the worker has received.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// The time until the cloud reclaims the machine, if it has given notice.
    #[serde(rename = "warning_s", default)]
    pub spot_notice_s: Option<f64>,
    #[serde(rename = "threads", default)]
    pub tasks: Vec<TaskStatus>,
}

/// Longest name of a machine, in bytes. The name is part of a key in the key-value store, which has at
/// most 200 bytes.
const MAX_MACHINE_NAME_BYTES: usize = 120;

impl Heartbeat {
    /// Whether the machine's name is valid. A record with an invalid name would fail the whole
    /// transaction that it is written in.
    pub fn has_valid_machine_name(&self) -> bool {
        let is_allowed = |c: char| !c.is_whitespace() && !c.is_control();
        (1..=MAX_MACHINE_NAME_BYTES).contains(&self.machine.len()) && self.machine.chars().all(is_allowed)
    }
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum Command {
    #[serde(rename = "launch")]
    Start {
        #[serde(rename = "thread")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    #[serde(rename = "stop")]
    Stop {
        #[serde(rename = "thread")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "leeway_s")]
        grace_s: f64,
    },
    /// Removes an exited task from the worker's heartbeats.
    #[serde(rename = "clear")]
    Forget {
        #[serde(rename = "thread")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands that are sent to a worker without waiting for its heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Commands {
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    #[serde(rename = "stint")]
    pub incarnation: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The body of a 421: the controller to which the worker should send its heartbeats instead.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
