//! Identifiers of assignments.

/// One attempt of a task. Ordered by job, task and attempt.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AssignmentId {
    /// The id of the job.
    pub job: String,
    /// The number of the task within its job.
    pub task: u32,
    /// The number of the attempt, never reused for the same task.
    pub attempt: u64,
}

impl AssignmentId {
    /// The attempt of a task with this name, for example `j-7/3`. `None` if it is no task's name.
    pub(super) fn from_task_name(name: &str, attempt: u64) -> Option<Self> {
        let (job, task) = name.split_once('/')?;
        Some(Self { job: job.to_owned(), task: task.parse().ok()?, attempt })
    }
}
