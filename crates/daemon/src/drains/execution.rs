//! Commits the decisions of a step.

use std::collections::HashSet;
use std::time::Duration;

use drain::step::{Decision, Move};
use sched::drain_records::{DrainPhase, DrainRecord};
use tracing::info;

use super::transaction::Transaction;
use super::unit_stops::{UnitStops, stop_units};
use crate::clock;
use crate::controller::Controller;
use crate::state::{CapacityHold, ControllerState};

/// The least time between two writes of an active drain's record that only update its progress.
const MIN_PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// How long capacity is held for a stopped unit, in addition to the time to save its checkpoint.
const HOLD_PERIOD: Duration = Duration::from_secs(60);
/// The longest time to save a checkpoint for which capacity is held, in seconds.
const MAX_CHECKPOINT_SAVE_S: f64 = 600.0;

/// Commits the decisions of a step: first the moves, as many at a time as fit into one transaction,
/// then the records of drains without moves.
pub(super) async fn carry_out(controller: &Controller, decision: Decision, max_changes: usize) {
    let Decision { moves, mut records, .. } = decision;
    let mut pending = moves.as_slice();
    let mut drains_with_moves: HashSet<String> = HashSet::new();
    let mut changes_left = max_changes;
    while !pending.is_empty() && changes_left > 1 {
        let built = stop_units(controller, &controller.state(), pending, changes_left);
        let Some(UnitStops { transaction, count }) = built else { break };
        changes_left = changes_left.saturating_sub(transaction.write_count());
        let (stopped, rest) = pending.split_at(count);
        if !transaction.commit(controller).await {
            return;
        }
        hold_capacity(controller, stopped);
        for unit_move in stopped {
            drains_with_moves.insert(unit_move.drain.clone());
            log_stop(unit_move);
        }
        pending = rest;
    }
    records.retain(|(name, _)| !drains_with_moves.contains(name));
    for (name, record) in records {
        record_progress(controller, &name, record).await;
    }
}

fn log_stop(unit_move: &Move) {
    let (job, task, machine) = (&*unit_move.unit.id.job, unit_move.unit.id.task, &*unit_move.machine);
    info!(drain = unit_move.drain, job, task, machine, "stopping a unit on a drained machine");
}

/// Holds the capacity that was found for stopped units until they are placed there.
fn hold_capacity(controller: &Controller, moves: &[Move]) {
    let now = clock::now();
    let mut state = controller.state();
    let ControllerState { records, drains, .. } = &mut *state;
    for Move { unit, destinations, .. } in moves {
        let Some(job) = records.replica.jobs.get(&*unit.id.job).map(|job| &job.value) else { continue };
        let save_s = job.spec.as_ref().map_or(0.0, |spec| spec.checkpoint_save_s.min(MAX_CHECKPOINT_SAVE_S));
        let until = now + HOLD_PERIOD + wire::seconds(save_s);
        let hold = drains.holds.entry(unit.id.job.to_string());
        let hold = hold.or_insert_with(|| CapacityHold { machines: Vec::new(), until });
        hold.machines.extend(destinations.iter().cloned());
        hold.until = until;
    }
}

/// Writes a drain's record: at once if the drain ends, else at most once per interval.
async fn record_progress(controller: &Controller, name: &str, record: DrainRecord) {
    let Some(transaction) = progress_transaction(controller, name, &record) else { return };
    if transaction.commit(controller).await
        && let DrainPhase::Closing(end) = record.phase
    {
        info!(drain = name, ?end, obstacle = ?record.obstacle, "drain closing");
    }
}

fn progress_transaction(controller: &Controller, name: &str, record: &DrainRecord) -> Option<Transaction> {
    let mut state = controller.state();
    let now = clock::now();
    let is_recent = state
        .drains
        .progress_recorded_at
        .get(name)
        .is_some_and(|at| now.saturating_duration_since(*at) < MIN_PROGRESS_INTERVAL);
    if is_recent && record.is_active() {
        return None;
    }
    state.drains.progress_recorded_at.insert(name.to_owned(), now);
    let known = state.records.replica.drains.records.get(name)?;
    let mut transaction = Transaction::new(&state.records.replica);
    transaction.write_drain(name, record.clone(), known.version);
    Some(transaction)
}
