//! Messages about the tasks that run on a controller's machines.

use rkyv::{Archive, Deserialize, Serialize};

/// Asks a controller which tasks of the given jobs run on its machines. The message has its own path
/// and type, because controllers of versions without drains know neither.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct RunningTasksRequest {
    /// Identifies the request, so that a delayed response to another request is not taken for the
    /// response to this one.
    pub nonce: u64,
    /// The epoch of the newest cluster map that the sender knows.
    pub epoch: u64,
    /// The ids of the jobs.
    pub jobs: Vec<String>,
}

/// The tasks that run on the machines that the sender owns, according to heartbeats that are no older
/// than the longest time for which a worker may be silent.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct RunningTasks {
    /// The nonce of the request.
    pub nonce: u64,
    /// The sender's name.
    pub name: String,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The epoch of the cluster map under which the sender owns the machines.
    pub epoch: u64,
    /// The running tasks, grouped by job.
    pub tasks_by_job: Vec<RunningTasksOfJob>,
}

/// The running tasks of one job.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct RunningTasksOfJob {
    /// The id of the job.
    pub job: String,
    /// The tasks.
    pub tasks: Vec<RunningTask>,
}

/// A running task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RunningTask {
    /// The number of the task.
    pub task: u32,
    /// Its attempt.
    pub attempt: u64,
}
