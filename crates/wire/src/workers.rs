//! Workers <-> controllers.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    #[serde(rename = "pulling")]
    Fetching,
    #[serde(rename = "gathering")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "saving")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExitReason {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "halted")]
    Stopped,
    #[serde(rename = "mates_gone")]
    PeersGone,
    #[serde(rename = "alone")]
    GangIncomplete,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "no_room")]
    NoCapacity,
    #[serde(rename = "in_use")]
    TaskInUse,
    #[serde(rename = "no_such")]
    UnknownJob,
    /// A cause that this version does not know; the task has ended all the same.
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    #[serde(rename = "thread")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "status")]
    pub state: TaskState,
    #[serde(default)]
    pub cause: Option<ExitReason>,
    #[serde(rename = "stored", default)]
    pub checkpointed: Option<bool>,
}

impl TaskStatus {
    /// The job and the task's number, or None if the name has another form.
    pub fn job_and_task_number(&self) -> Option<(&str, u32)> {
        let (job, n) = self.task.split_once('/')?;
        Some((job, n.parse().ok()?))
    }
}

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
    #[serde(rename = "stint")]
    pub incarnation: u64,
    #[serde(rename = "tally")]
    pub sequence: u64,
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    #[serde(rename = "warning_s", default)]
    pub spot_notice_s: Option<f64>,
    #[serde(rename = "threads", default)]
    pub tasks: Vec<TaskStatus>,
}

/// Longest name of a machine: it is part of a key of the state service, which has 200
/// bytes at most.
const NAME_MOST: usize = 120;

impl Heartbeat {
    /// Whether the machine's name can be one: recorded with any other, it would make the
    /// records of all that are written with it fail.
    pub fn has_valid_machine_name(&self) -> bool {
        let plain = |c: char| !c.is_whitespace() && !c.is_control();
        (1..=NAME_MOST).contains(&self.machine.len()) && self.machine.chars().all(plain)
    }
}

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
    #[serde(rename = "clear")]
    Forget {
        #[serde(rename = "thread")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Commands {
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    #[serde(rename = "stint")]
    pub incarnation: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// The body of a 421: where the worker should report instead.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
