//! What can go wrong with a request of a user or a worker, and the HTTP reply for it.

use net::Reply;

/// Seconds after which a client should repeat a request that could not be answered now.
const RETRY_AFTER_S: u64 = 1;
/// The same for what takes an operator, or the end of an upgrade, to change.
const LONG_RETRY_AFTER_S: u64 = 5;

/// Why a job can never run. The texts are sent to users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// No team of this name is configured.
    #[error("unknown team")]
    UnknownTeam,
    /// The job is larger than the maximum quota of its team.
    #[error("beyond the team's limit")]
    ExceedsTeamQuota,
    /// The job depends on itself.
    #[error("awaits: the job itself")]
    DependsOnItself,
    /// No machine type that the job allows can hold one of its tasks.
    #[error("no allowed machine type can hold a task")]
    NoSuitableMachineType,
    /// The job depends on one that is not on record.
    #[error("awaits: a job that was never accepted")]
    UnknownDependency,
    /// The job depends on a service, which never completes.
    #[error("awaits: a service is never done")]
    DependsOnService,
}

/// Why a request is not carried out. The texts are sent to clients.
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
    #[error("the description is too long to be kept")]
    DescriptionTooLong,
    /// The body of a heartbeat cannot be decoded.
    #[error("{0}")]
    InvalidHeartbeat(String),
    /// A heartbeat has no valid name of a machine.
    #[error("frame: not a machine's name")]
    InvalidMachineName,
    /// No job of this id was accepted.
    #[error("no such job")]
    UnknownJob,
    /// The job can never run.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// The records are not loaded yet.
    #[error("not ready")]
    NotReady,
    /// The request was not completed within its deadline.
    #[error("the state service takes too long")]
    DeadlineExceeded,
    /// No linearizable read could be made.
    #[error("the state service cannot be asked")]
    StoreUnavailable,
    /// The write was not accepted by the key-value store.
    #[error("the state service did not take it")]
    WriteFailed,
    /// The job's record changed at the same time.
    #[error("try again")]
    ConcurrentWrite,
    /// The job's record changed too often while it was to be cancelled.
    #[error("the job is changing; try again")]
    JobChanging,
    /// The machine types are not loaded yet.
    #[error("the machine types are not known yet")]
    UnknownMachineTypes,
    /// The job's record is of another version or origin.
    #[error("the job's record cannot be read")]
    UnreadableRecord,
    /// The record of a dependency is of another version or origin.
    #[error("the record of a job that it awaits cannot be read")]
    UnreadableDependency,
    /// A live controller could not read the record of a job with dependencies.
    #[error("a controller of an older version is live")]
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
