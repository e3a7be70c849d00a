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
