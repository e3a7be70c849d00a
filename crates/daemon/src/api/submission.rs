//! Submission of jobs.
//!
//! A submission is idempotent: a job that was accepted is not rejected later, whatever a repeated
//! submission contains. So the records are read before any rejection.

use std::time::Duration;

use sched::records::{JobRecord, Name, Phase};
use sched::replica::RecordChange;
use store::{KeyWrite, TxnOutcome, key};
use tracing::debug;
use wire::{Condition, InvalidJobSpec, JobSpec, JobState, JobStatus};

use super::CONFLICT_TIMEOUT;
use super::error::ApiError;
use super::job_lookup::{is_on_record, lookup_job, replica_status};
use super::shard_choice::choose_shard;
use super::validation::{validate_against_records, validate_against_settings};
use crate::clock;
use crate::controller::{Controller, wall_ms};

/// Maximum age of the replica from which the state of a job's dependencies is decided.
const MAX_DEPENDENCY_AGE: Duration = Duration::from_millis(1500);

/// The answer to a submission.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum SubmitOutcome {
    /// The job was accepted by this submission.
    Accepted(JobStatus),
    /// A job with this id was accepted before.
    Existing(JobStatus),
}

/// A parsed submission that is not accepted yet.
struct Submission {
    spec: JobSpec,
    /// The jobs that have to complete first, sorted and without duplicates.
    dependencies: Vec<Name>,
    /// Size of the description in the job's record, in bytes.
    description_bytes: usize,
}

impl Submission {
    fn parse(body: &[u8]) -> Result<Self, InvalidJobSpec> {
        let mut spec = JobSpec::from_submission(body)?;
        let mut dependencies: Vec<Name> =
            spec.dependencies.take().unwrap_or_default().iter().map(|job| job.as_str().into()).collect();
        dependencies.sort_unstable();
        dependencies.dedup();
        let description_bytes = wire::encode(&spec).len();
        Ok(Self { spec, dependencies, description_bytes })
    }
}

/// Accepts a job, unless it already has a record or can never run.
pub(super) async fn submit(controller: &Controller, body: &[u8]) -> Result<SubmitOutcome, ApiError> {
    let submission = match Submission::parse(body) {
        Ok(submission) => submission,
        Err(invalid) => {
            let error = ApiError::InvalidDescription(invalid.reason);
            return reject_unless_accepted(controller, invalid.id.as_deref(), error).await;
        }
    };
    let Submission { spec, dependencies, description_bytes } = &submission;
    let id = spec.id.clone();
    if is_on_record(controller, &id) {
        return existing_job(controller, &id).await;
    }
    if let Err(rejection) = validate_against_settings(controller, spec, dependencies) {
        return reject_unless_accepted(controller, Some(&id), rejection.into()).await;
    }
    if !controller.state().records.is_loaded {
        return Err(ApiError::NotReady);
    }
    if *description_bytes > controller.max_description_bytes() {
        // The job may have been accepted when the limits were larger.
        return reject_unless_accepted(controller, Some(&id), ApiError::DescriptionTooLong).await;
    }
    // An outdated replica would report the job as queued after a dependency's cancellation was
    // already confirmed to the user.
    if !dependencies.is_empty() && !is_replica_fresh(controller) && !controller.read_barrier.wait().await {
        return Err(ApiError::StoreUnavailable);
    }
    match validate_against_records(controller, spec, dependencies) {
        Ok(()) => {}
        Err(ApiError::Rejected(_)) => {
            // The replica may be outdated and lack the accepted job itself or an accepted job that
            // it depends on. So validation is repeated after a linearizable read.
            if let Some(status) = lookup_job(controller, &id).await? {
                return Ok(SubmitOutcome::Existing(status));
            }
            validate_against_records(controller, spec, dependencies)?;
        }
        Err(error) => return Err(error),
    }
    create(controller, submission).await
}

/// Rejects a submission, unless a job with its id was accepted before, which is answered with its
/// status. While the records cannot be read, a submission with a valid id is not decided.
async fn reject_unless_accepted(
    controller: &Controller,
    id: Option<&str>,
    rejection: ApiError,
) -> Result<SubmitOutcome, ApiError> {
    let Some(id) = id else { return Err(rejection) };
    let existing = lookup_job(controller, id).await?;
    existing.map(SubmitOutcome::Existing).ok_or(rejection)
}

/// The status of a job that already has a record.
async fn existing_job(controller: &Controller, id: &str) -> Result<SubmitOutcome, ApiError> {
    let status = lookup_job(controller, id).await?;
    status.map(SubmitOutcome::Existing).ok_or(ApiError::ConcurrentWrite)
}

fn is_replica_fresh(controller: &Controller) -> bool {
    controller.state().records.fresh_at.is_some_and(|fresh_at| clock::since(fresh_at) < MAX_DEPENDENCY_AGE)
}

/// Writes the record of a new job.
async fn create(controller: &Controller, submission: Submission) -> Result<SubmitOutcome, ApiError> {
    let Submission { spec, dependencies, .. } = submission;
    let id = spec.id.clone();
    let shard = choose_shard(controller, &spec);
    let (class, tasks) = (spec.class.clone(), spec.tasks);
    let record = new_record(controller, spec, shard, dependencies);
    controller.count_user_write();
    let conditions = vec![Condition { key: key::job(&id), version: 0 }];
    match controller.commit(conditions, vec![KeyWrite::new(key::job(&id), &record)]).await {
        Ok(TxnOutcome::Committed { revision }) => {
            debug!(
                job = id,
                shard = record.shard,
                class,
                tasks,
                dependencies = record.dependencies.len(),
                "job accepted"
            );
            let change = RecordChange::Job(id.clone(), Some(Box::new(record)));
            controller.state().records.replica.apply(change, revision);
            controller.wake_scheduler.notify_one();
            Ok(SubmitOutcome::Accepted(accepted_status(controller, id)))
        }
        Ok(TxnOutcome::Conflict { revision, .. }) => {
            controller.wait_for_revision(revision, CONFLICT_TIMEOUT).await;
            existing_job(controller, &id).await
        }
        Err(error) => {
            controller.note_refusal(&error);
            debug!(%error, job = id, "submission not written");
            Err(ApiError::WriteFailed)
        }
    }
}

/// The status of a newly accepted job: queued, unless a dependency was cancelled.
fn accepted_status(controller: &Controller, id: String) -> JobStatus {
    replica_status(controller, &id).filter(|status| status.state.is_final()).unwrap_or(JobStatus {
        id,
        state: JobState::Queued,
        done: 0,
        running: 0,
        waits_for: Vec::new(),
    })
}

/// The record of a new job: cancelled if a dependency is cancelled, waiting if a dependency has not
/// completed, otherwise active.
pub(crate) fn new_record(
    controller: &Controller,
    spec: JobSpec,
    shard: Option<String>,
    dependencies: Vec<Name>,
) -> JobRecord {
    let state = controller.state();
    let replica = &state.records.replica;
    let now_ms = wall_ms();
    let phase = |job: &Name| replica.jobs.get(&**job).map(|entry| entry.value.phase);
    let is_cancelled = |job: &Name| {
        phase(job) == Some(Phase::Cancelled) || replica.pipelines.is_cancelled_by_dependency(job)
    };
    if dependencies.iter().any(is_cancelled) {
        let mut record = JobRecord::new(spec, None, now_ms);
        record.phase = Phase::Cancelled;
        record.compact_if_final();
        return record;
    }
    // Completion is final, so completed dependencies need not be recorded.
    let unmet: Vec<Name> = dependencies.into_iter().filter(|job| phase(job) != Some(Phase::Done)).collect();
    if unmet.is_empty() {
        JobRecord::new(spec, shard, now_ms)
    } else {
        JobRecord::waiting(spec, shard, now_ms, unmet)
    }
}
