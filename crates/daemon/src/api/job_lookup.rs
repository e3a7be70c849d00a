//! Look-up of a job's status, for status requests and for repeated submissions and cancellations,
//! which are idempotent.

use sched::records::{Name, Phase};
use wire::JobStatus;

use super::error::ApiError;
use crate::controller::Controller;

/// Maximum number of unmet dependencies listed in the status of a waiting job.
const MAX_DEPENDENCIES_SHOWN: usize = 20;

/// The status of a job in the local replica of the records, which may be out of date.
pub(super) fn replica_status(controller: &Controller, id: &str) -> Option<JobStatus> {
    let state = controller.state();
    let replica = &state.records.replica;
    let job = replica.jobs.get(id).map(|j| &j.value)?;
    let job_state = replica.state_of(id)?;
    let running = if job.phase == Phase::Active { job.assignments.len() as u32 } else { 0 };
    let is_done = |job: &Name| replica.jobs.get(&**job).is_some_and(|j| j.value.phase == Phase::Done);
    let dependencies = if job_state.is_final() { &[][..] } else { &job.dependencies };
    let unmet = dependencies.iter().filter(|job| !is_done(job));
    let waits_for = unmet.take(MAX_DEPENDENCIES_SHOWN).map(|job| job.to_string()).collect();
    Some(JobStatus { id: id.to_owned(), state: job_state, done: job.done.len(), running, waits_for })
}

/// Whether the replica has a record of the job, including a record that cannot be read.
pub(super) fn is_on_record(controller: &Controller, id: &str) -> bool {
    replica_status(controller, id).is_some() || controller.state().records.replica.unreadable.contains(id)
}

/// The status of a job, or `None` if it was never accepted. A final status in the replica is
/// returned at once; any other status, or absence, needs a linearizable read.
pub(super) async fn lookup_job(controller: &Controller, id: &str) -> Result<Option<JobStatus>, ApiError> {
    if let Some(status) = replica_status(controller, id).filter(|s| s.state.is_final()) {
        return Ok(Some(status));
    }
    let is_loaded = controller.state().records.is_loaded;
    if !is_loaded || !controller.read_barrier.wait().await {
        return Err(ApiError::StoreUnavailable);
    }
    if controller.state().records.replica.unreadable.contains(id) {
        return Err(ApiError::UnreadableRecord);
    }
    Ok(replica_status(controller, id))
}

/// Answers a user's request for the status of a job.
pub(super) async fn status(controller: &Controller, id: &str) -> Result<JobStatus, ApiError> {
    if !wire::is_job_id(id) {
        return Err(ApiError::UnknownJob);
    }
    lookup_job(controller, id).await?.ok_or(ApiError::UnknownJob)
}
