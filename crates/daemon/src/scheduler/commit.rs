//! Commits a scheduling cycle and handles conflicts and failures of the commit.

use std::mem::take;
use std::time::Duration;

use sched::replica::RecordChange;
use store::{StoreError, TxnOutcome};
use tokio::time::sleep;
use tracing::{debug, warn};

use super::cycle::SchedulingCycle;
use super::events::{SchedulingEvent, log_events};
use super::transaction::{CycleTransaction, build_transaction};
use crate::clock;
use crate::controller::Controller;
use crate::load::{LoadCounters, Purpose};

/// How long to wait after a conflict until the replica has reached the conflicting revision.
const CONFLICT_CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a transaction that failed for a reason other than a conflict.
const FAILED_COMMIT_BACKOFF: Duration = Duration::from_millis(200);

/// Commits a cycle in one transaction. Jobs beyond the limits of a transaction are left out.
pub(crate) async fn commit(controller: &Controller, cycle: SchedulingCycle) {
    let mut transaction = prepare(controller, &cycle);
    if transaction.writes.is_empty() {
        return;
    }
    let limits_before = controller.limit_changes.get();
    let is_written = |id: &&String| !transaction.left_out.contains(*id);
    let written_jobs: Vec<String> = cycle.jobs.keys().filter(is_written).cloned().collect();
    let (conditions, writes) = (take(&mut transaction.conditions), take(&mut transaction.writes));
    let result = controller.commit(conditions, writes).await;
    if let Some(id) = transaction.chunked_job.take() {
        controller.state().scheduling.note_chunked_write(id, clock::now());
    }
    match result {
        Ok(TxnOutcome::Committed { revision }) => apply_committed(controller, cycle, transaction, revision),
        Ok(TxnOutcome::Conflict { failed, revision }) => {
            LoadCounters::add(&controller.load.conflicts, 1);
            debug!(?failed, writes = cycle.write_count(), "scheduling transaction conflicted");
            release_reservations(controller, &cycle);
            controller.wait_for_revision(revision, CONFLICT_CATCH_UP_TIMEOUT).await;
        }
        Err(error) => {
            debug!(%error, "scheduling transaction failed or its outcome is unknown");
            release_reservations(controller, &cycle);
            controller.note_refusal(&error);
            let is_rejected = matches!(error, StoreError::Refused(400) | StoreError::ValueTooLarge(_));
            if is_rejected && controller.limit_changes.get() == limits_before {
                isolate_rejected_job(controller, written_jobs);
            }
            sleep(FAILED_COMMIT_BACKOFF).await;
        }
    }
    controller.wake_scheduler.notify_one();
}

/// Builds the transaction of a cycle and debits its writes from the rate limiter.
fn prepare(controller: &Controller, cycle: &SchedulingCycle) -> CycleTransaction {
    let mut state = controller.state();
    let max_jobs = if state.scheduling.writes_single_jobs(clock::now()) { 1 } else { usize::MAX };
    let replica = &state.records.replica;
    let transaction = build_transaction(replica, cycle, &controller.state_limits(), max_jobs);
    let writes = transaction.writes.len();
    state.writes.limiter.acquire(writes as f64, 0.0, clock::now());
    controller.load.count_changes(Purpose::Scheduling, writes);
    transaction
}

/// Applies the committed records to the replica, so that the next cycle does not have to wait for
/// the change feed.
fn apply_committed(
    controller: &Controller,
    cycle: SchedulingCycle,
    transaction: CycleTransaction,
    revision: u64,
) {
    let CycleTransaction { left_out, teams, disruptions, .. } = transaction;
    log_events(cycle.events.iter().filter(|event| !left_out.contains(event.job())));
    let mut state = controller.state();
    let replica = &mut state.records.replica;
    for (id, record) in cycle.jobs {
        if !left_out.contains(&id) {
            replica.apply(RecordChange::Job(id, Some(record)), revision);
        }
    }
    for (team, record) in teams {
        replica.apply(RecordChange::Team(team, Some(record)), revision);
    }
    for (team, record) in disruptions {
        replica.apply(RecordChange::Disruptions(team, Some(record)), revision);
    }
}

/// Drops the reservations for the preemptions of this cycle: without the commit, no task is
/// stopped.
fn release_reservations(controller: &Controller, cycle: &SchedulingCycle) {
    let mut state = controller.state();
    for event in &cycle.events {
        if let SchedulingEvent::Preempted { by, .. } = event {
            state.scheduling.reservations.remove(by);
        }
    }
}

/// Handles a transaction that the key-value store rejects although it is within all known limits,
/// so that one bad job record does not block the other jobs. Cycles write one job each for a while,
/// and a job that is rejected on its own is held back.
fn isolate_rejected_job(controller: &Controller, written_jobs: Vec<String>) {
    let mut state = controller.state();
    let now = clock::now();
    match <[String; 1]>::try_from(written_jobs) {
        Ok([job]) => {
            warn!(job, "job record rejected by the key-value store; backing off");
            state.scheduling.defer_writes(job, now);
        }
        Err(_) => state.scheduling.write_single_jobs(now),
    }
}
