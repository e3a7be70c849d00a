//! Which tasks a controller sees running on its machines.

use rkyv::{Archive, Deserialize, Serialize};

/// Asks a controller which tasks of some jobs it sees running on its machines. It has a path and a
/// type of its own, as controllers without drains know neither.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct RunningTasksRequest {
    /// Identifies this request, so that a delayed duplicate of another's response is not taken for
    /// its own.
    pub nonce: u64,
    /// The epoch of the newest cluster map that the sender knows.
    pub epoch: u64,
    /// The ids of the jobs.
    pub jobs: Vec<String>,
}

/// The tasks that its sender sees running on the machines that it owns, by heartbeats that are not
/// older than a worker may be silent for.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct RunningTasks {
    /// The nonce of the request.
    pub nonce: u64,
    /// The sender's name.
    pub name: String,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The epoch of the cluster map by which it owns its machines.
    pub epoch: u64,
    /// The running tasks by job.
    pub jobs: Vec<RunningTasksOfJob>,
}

/// The running tasks of one job.
#[derive(Debug, Clone, PartialEq, Archive, Serialize, Deserialize)]
pub struct RunningTasksOfJob {
    /// The id of the job.
    pub job: String,
    /// The tasks.
    pub tasks: Vec<RunningTask>,
}

/// A task that runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RunningTask {
    /// The number of the task.
    pub task: u32,
    /// Its attempt.
    pub attempt: u64,
}
