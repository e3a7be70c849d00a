//! The HTTP interface for users (`/v1/jobs`) and workers (`/hello`).
//!
//! This module routes requests. Submissions, cancellations, status requests and heartbeats have a
//! module each. Only [`error`] converts errors into replies.

mod cancellation;
mod error;
pub(crate) mod heartbeats;
mod job_lookup;
pub(crate) mod machine_registration;
pub(crate) mod shard_choice;
pub(crate) mod submission;
mod validation;

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use net::{Reply, Request};
use percent_encoding::percent_decode_str;
use tokio::time::timeout;
use tracing::info;
use wire::JobStatus;

use crate::clock;
use crate::controller::Controller;
use crate::server_connections::HEARTBEAT_PATH;
use cancellation::cancel;
use error::ApiError;
use heartbeats::{HeartbeatRoute, handle_heartbeat};
use job_lookup::status;
use submission::{SubmitOutcome, submit};

const HEALTH_PATH: &str = "/healthz";
const JOBS_PATH: &str = "/v1/jobs";
/// The sub-resource of a job that cancels it.
const CANCEL_ACTION: &str = "withdraw";

/// How long a submission or a cancellation may take. It is less than the 5 s that users wait.
const WRITE_DEADLINE: Duration = Duration::from_millis(4500);
/// How long to wait, after a conflict, for the conflicting change to reach the replica.
const CONFLICT_TIMEOUT: Duration = Duration::from_secs(1);

/// A resource of this interface.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Resource<'p> {
    Heartbeats,
    Health,
    Jobs,
    Job { id: Cow<'p, str> },
    JobCancellation { id: Cow<'p, str> },
}

impl<'p> Resource<'p> {
    /// Parses the path of a request; the query is ignored.
    fn parse(path: &'p str) -> Option<Self> {
        let path = path.split('?').next().unwrap_or_default();
        match path {
            HEARTBEAT_PATH => return Some(Self::Heartbeats),
            HEALTH_PATH => return Some(Self::Health),
            JOBS_PATH => return Some(Self::Jobs),
            _ => {}
        }
        let below_jobs = path.strip_prefix(JOBS_PATH)?.strip_prefix('/')?;
        match below_jobs.split_once('/') {
            None => Some(Self::Job { id: decode_segment(below_jobs) }),
            Some((id, CANCEL_ACTION)) => Some(Self::JobCancellation { id: decode_segment(id) }),
            Some(_) => None,
        }
    }
}

/// A segment of a path, in which any character may be percent-encoded.
fn decode_segment(segment: &str) -> Cow<'_, str> {
    percent_decode_str(segment).decode_utf8_lossy()
}

/// Answers a request of a user or a worker.
pub async fn serve(controller: Arc<Controller>, request: Request) -> Reply {
    let Some(resource) = Resource::parse(&request.path) else {
        return refuse(&controller, &request, None, ApiError::UnknownPath);
    };
    match (resource, request.method.as_str()) {
        (Resource::Heartbeats, "POST") => {
            handle_heartbeat(&controller, &request.body, HeartbeatRoute::Direct).await
        }
        (Resource::Health, "GET") => health(&controller),
        (Resource::Jobs, "POST") => {
            let submitted = with_deadline(submit(&controller, &request.body)).await;
            submitted.map_or_else(
                |error| refuse(&controller, &request, wire::submitted_id(&request.body).as_deref(), error),
                Reply::from,
            )
        }
        (Resource::Job { id }, "GET") => {
            job_reply(&controller, &request, &id, status(&controller, &id).await)
        }
        (Resource::JobCancellation { id }, "POST") => {
            let cancelled = with_deadline(cancel(&controller, &id)).await;
            job_reply(&controller, &request, &id, cancelled)
        }
        _ => refuse(&controller, &request, None, ApiError::MethodNotAllowed),
    }
}

/// The reply for an error. A refusal that the client does not repeat is counted and logged.
fn refuse(controller: &Controller, request: &Request, job: Option<&str>, error: ApiError) -> Reply {
    let reason = error.to_string();
    let reply = Reply::from(error);
    if controller.load.count_refusal(reply.status) {
        let (status, method) = (reply.status, request.method.as_str());
        info!(job, status, reason, method, path = request.path, "request refused");
    }
    reply
}

/// Returns the outcome, or an error at the deadline. Without it, reads, transactions and conflicts
/// that each take seconds could add up to more than users wait. After the deadline, as after any
/// 503, the request may still be carried out; a repeated request shows whether it was.
async fn with_deadline<T>(outcome: impl Future<Output = Result<T, ApiError>>) -> Result<T, ApiError> {
    timeout(WRITE_DEADLINE, outcome).await.unwrap_or(Err(ApiError::DeadlineExceeded))
}

fn job_reply(
    controller: &Controller,
    request: &Request,
    id: &str,
    outcome: Result<JobStatus, ApiError>,
) -> Reply {
    outcome
        .map_or_else(|error| refuse(controller, request, Some(id), error), |status| Reply::new(200, &status))
}

impl From<SubmitOutcome> for Reply {
    fn from(outcome: SubmitOutcome) -> Self {
        match outcome {
            SubmitOutcome::Accepted(status) => Self::new(201, &status),
            SubmitOutcome::Existing(status) => Self::new(200, &status),
        }
    }
}

/// Replies whether this controller can answer users.
fn health(controller: &Controller) -> Reply {
    let state = controller.state();
    if state.records.is_loaded && !state.only_peers_reach_store(clock::now()) {
        Reply { status: 200, body: wire::encode(&"ok"), retry_after: None }
    } else {
        ApiError::NotReady.into()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/api.rs"]
mod tests;
