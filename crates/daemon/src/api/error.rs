//! Errors of requests from users and workers, and the HTTP replies that report them.

use net::Reply;

/// `Retry-After`, in seconds, of a request that may succeed soon.
const RETRY_AFTER_S: u64 = 1;
/// `Retry-After`, in seconds, of a request that fails until an operator acts or an upgrade ends.
const LONG_RETRY_AFTER_S: u64 = 5;

/// Why a job can never run. The messages are sent to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// No team of this name is configured.
    #[error("owner: no team of this name is configured")]
    UnknownTeam,
    /// The job, or one task of an array, needs more CPUs or GPUs than the team's maximum quota.
    #[error("cpus, gpus: the job, or one task of an array, exceeds the team's maximum quota")]
    ExceedsTeamQuota,
    /// The job depends on itself.
    #[error("awaits: a job cannot depend on itself")]
    DependsOnItself,
    /// No machine type that the job allows is large enough for one of its tasks.
    #[error("no machine type that the job allows is large enough for one of its tasks")]
    NoSuitableMachineType,
    /// The job depends on a job that has no record.
    #[error("awaits: names a job that was never accepted")]
    UnknownDependency,
    /// The job depends on a service, which never completes.
    #[error("awaits: names a service, which is never done")]
    DependsOnService,
}

/// Why a request is not carried out. The messages are sent to clients.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ApiError {
    /// The path is not one of this API.
    #[error("unknown path")]
    UnknownPath,
    /// The path has no such method.
    #[error("method not allowed")]
    MethodNotAllowed,
    /// The body of a submission is not a valid job description.
    #[error("{0}")]
    InvalidDescription(String),
    /// The job description does not fit in a record.
    #[error("the job description is too long to be stored")]
    DescriptionTooLong,
    /// The body of a heartbeat cannot be decoded.
    #[error("{0}")]
    InvalidHeartbeat(String),
    /// The machine name in a heartbeat is invalid.
    #[error("frame: not a valid machine name")]
    InvalidMachineName,
    /// No job with this id was accepted.
    #[error("no such job")]
    UnknownJob,
    /// The job can never run.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// The records are not loaded yet, or only this controller has lost the key-value store.
    #[error("not ready: the controller has not loaded the records or has lost the state service")]
    NotReady,
    /// The request was not completed within its deadline.
    #[error("the state service took too long; the request may still be carried out")]
    DeadlineExceeded,
    /// The records could not be read linearizably.
    #[error("the state service cannot be read now")]
    StoreUnavailable,
    /// The key-value store did not confirm the write.
    #[error("the state service did not confirm the write")]
    WriteFailed,
    /// The job's record was changed by a concurrent write.
    #[error("the job's record changed at the same time; try again")]
    ConcurrentWrite,
    /// Each attempt to cancel the job conflicted with another write.
    #[error("the job's record keeps changing; try again")]
    JobChanging,
    /// The machine types are not loaded yet.
    #[error("the machine types are not loaded yet")]
    UnknownMachineTypes,
    /// The job's record was written in a format that this version cannot read.
    #[error("the job's record cannot be read")]
    UnreadableRecord,
    /// The record of a dependency was written in a format that this version cannot read.
    #[error("awaits: the record of a dependency cannot be read")]
    UnreadableDependency,
    /// A live controller of an older version cannot read the record of a job with dependencies.
    #[error("awaits: a live controller of an older version cannot read jobs with dependencies")]
    OlderVersionLive,
}

impl From<ApiError> for Reply {
    fn from(error: ApiError) -> Self {
        let message = error.to_string();
        match error {
            ApiError::InvalidDescription(_)
            | ApiError::DescriptionTooLong
            | ApiError::InvalidHeartbeat(_)
            | ApiError::InvalidMachineName => Self::error(400, &message),
            ApiError::UnknownPath | ApiError::UnknownJob => Self::error(404, &message),
            ApiError::MethodNotAllowed => Self::error(405, &message),
            ApiError::Rejected(_) => Self::error(422, &message),
            ApiError::NotReady
            | ApiError::DeadlineExceeded
            | ApiError::StoreUnavailable
            | ApiError::WriteFailed
            | ApiError::ConcurrentWrite
            | ApiError::JobChanging
            | ApiError::UnknownMachineTypes => Self::busy(&message, RETRY_AFTER_S),
            ApiError::UnreadableRecord | ApiError::UnreadableDependency | ApiError::OlderVersionLive => {
                Self::busy(&message, LONG_RETRY_AFTER_S)
            }
        }
    }
}
