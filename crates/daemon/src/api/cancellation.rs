//! Cancellation of jobs.

use sched::records::{JobRecord, Phase};
use sched::replica::RecordChange;
use store::{KeyWrite, TxnOutcome, key};
use tracing::debug;
use wire::{Condition, JobState, JobStatus};

use super::CONFLICT_TIMEOUT;
use super::error::ApiError;
use super::job_lookup::{lookup_job, replica_status};
use crate::controller::Controller;

/// How many times a cancellation is attempted when it conflicts with other writes to the job's
/// record.
const MAX_ATTEMPTS: u32 = 4;

/// Cancels a job and returns its status. A job in a final state is left as it is.
pub(super) async fn cancel(controller: &Controller, id: &str) -> Result<JobStatus, ApiError> {
    if !wire::is_job_id(id) {
        return Err(ApiError::UnknownJob);
    }
    for _ in 0..MAX_ATTEMPTS {
        match replica_status(controller, id) {
            Some(status) if status.state.is_final() => return Ok(status),
            Some(_) => {}
            None => {
                lookup_job(controller, id).await?.ok_or(ApiError::UnknownJob)?;
            }
        }
        controller.count_user_write();
        let Some((record, version)) = cancellable_record(controller, id) else { continue };
        if let Some(status) = write_cancellation(controller, id, record, version).await? {
            return Ok(status);
        }
    }
    Err(ApiError::JobChanging)
}

/// Returns a copy of the job's record and its version; `None` if the job cannot be cancelled.
fn cancellable_record(controller: &Controller, id: &str) -> Option<(Box<JobRecord>, u64)> {
    let state = controller.state();
    let job = state.records.replica.jobs.get(id)?;
    matches!(job.value.phase, Phase::Active | Phase::Waiting).then(|| (job.value.clone(), job.version))
}

/// Writes the cancellation of a job; `None` if the record's version has changed since it was read.
async fn write_cancellation(
    controller: &Controller,
    id: &str,
    mut record: Box<JobRecord>,
    version: u64,
) -> Result<Option<JobStatus>, ApiError> {
    record.phase = Phase::Cancelled;
    record.compact_if_final();
    let conditions = vec![Condition { key: key::job(id), version }];
    match controller.commit(conditions, vec![KeyWrite::new(key::job(id), &record)]).await {
        Ok(TxnOutcome::Committed { revision }) => {
            debug!(job = id, "job cancelled");
            let done = record.done.len();
            // Applying the change to the replica also cancels all jobs that depend on this one.
            let change = RecordChange::Job(id.to_owned(), Some(record));
            controller.state().records.replica.apply(change, revision);
            controller.wake_scheduler.notify_one();
            Ok(Some(JobStatus {
                id: id.to_owned(),
                state: JobState::Cancelled,
                done,
                running: 0,
                waits_for: Vec::new(),
            }))
        }
        Ok(TxnOutcome::Conflict { revision, .. }) => {
            controller.wait_for_revision(revision, CONFLICT_TIMEOUT).await;
            Ok(None)
        }
        Err(error) => {
            controller.note_refusal(&error);
            debug!(%error, job = id, "cancellation not written");
            Err(ApiError::WriteFailed)
        }
    }
}
