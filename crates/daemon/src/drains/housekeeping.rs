//! What is committed before each step: ends of disruptions and of drains, and outcomes of
//! machines.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use drain::lifecycle::Event;
use drain::view;
use sched::drain_records::{CordonRecord, Disruption, DisruptionRecord, DrainPhase, DrainRecord};
use store::key;
use tracing::info;

use super::running_tasks::observed_tasks;
use super::transaction::{Transaction, updated};
use crate::clock;
use crate::controller::Controller;
use crate::state::ControllerState;

/// How long a cordon may exist without a drain's record before it is lifted: the command that
/// starts a drain writes its cordons first.
const ORPHANED_CORDON_TIMEOUT: Duration = Duration::from_secs(60);

/// Closes the disruptions of replicas that run again, or never will.
pub(super) fn close_disruptions(controller: &Controller, state: &mut ControllerState) -> Option<Transaction> {
    let observed = observed_tasks(controller, state, clock::now());
    let replica = &state.records.replica;
    let mut transaction = Transaction::new(replica);
    for (team, record) in &replica.drains.disruptions {
        let open = &record.value.open;
        let is_open = |d: &&Disruption| !view::is_settled(replica, d, &observed);
        let still_open: Vec<Disruption> = open.iter().filter(is_open).cloned().collect();
        let has_room = transaction.write_count() < controller.state_limits().txn_ops;
        if still_open.len() < open.len() && has_room {
            transaction.write_disruptions(replica, team, DisruptionRecord { open: still_open });
        }
    }
    transaction.unless_empty()
}

/// Lifts the cordons of drains that end, and closes the drains that have none any more. Cordons
/// whose drain was never written are lifted after a while.
pub(super) fn lift_cordons(controller: &Controller, state: &mut ControllerState) -> Option<Transaction> {
    let orphaned = drains_with_orphaned_cordons(state);
    let replica = &state.records.replica;
    let max_writes = controller.state_limits().txn_ops;
    let mut transaction = Transaction::new(replica);
    for (id, cordon) in replica.drains.cordons.iter().filter(|(_, cordon)| cordon.value.active) {
        let drain = replica.drains.records.get(&id.0);
        let is_orphaned = orphaned.contains(&id.0);
        let is_closing = matches!(drain.map(|d| &d.value.phase), Some(DrainPhase::Closing(_)));
        // The fence is a write, too.
        if (is_closing || is_orphaned) && transaction.write_count() + 1 < max_writes {
            if is_orphaned {
                transaction.condition(key::drain(&id.0), drain.map_or(0, |d| d.version));
            }
            let record = CordonRecord { active: false, ..cordon.value.clone() };
            transaction.write_cordon(id, record, cordon.version);
        }
    }
    if transaction.write_count() > 0 {
        transaction.write_fence(replica);
        return Some(transaction);
    }
    for (name, record) in &replica.drains.records {
        let is_lifted = replica.drains.cordons_of(name).all(|(_, cordon)| !cordon.value.active);
        if is_lifted
            && transaction.write_count() < max_writes
            && let Some(closed) = updated(&record.value, Event::CordonsLifted)
        {
            info!(drain = name, phase = ?closed.phase, moved = closed.moved, "drain closed");
            transaction.write_drain(name, closed, record.version);
        }
    }
    transaction.unless_empty()
}

/// The drains that have had cordons without a record for a while.
fn drains_with_orphaned_cordons(state: &mut ControllerState) -> Vec<String> {
    let now = clock::now();
    let ControllerState { records, drains, .. } = state;
    let known = &records.replica.drains;
    // A drain that is over is resumed by its cordons first, too.
    let is_over = |drain: &DrainRecord| matches!(drain.phase, DrainPhase::Closed(_));
    let is_open = |name: &str| known.records.get(name).is_some_and(|drain| !is_over(&drain.value));
    let has_record = |name: &str| is_open(name) || known.unreadable.contains(name);
    let active = known.cordons.iter().filter(|(_, cordon)| cordon.value.active);
    let orphaned: BTreeSet<&str> =
        active.map(|((name, _), _)| name.as_str()).filter(|name| !has_record(name)).collect();
    drains.orphaned_since.retain(|name, _| orphaned.contains(name.as_str()));
    for name in &orphaned {
        drains.orphaned_since.entry((*name).to_owned()).or_insert(now);
    }
    let has_timed_out = |since: &Instant| now.saturating_duration_since(*since) > ORPHANED_CORDON_TIMEOUT;
    let timed_out = drains.orphaned_since.iter().filter(|(_, since)| has_timed_out(since));
    timed_out.map(|(name, _)| name.clone()).collect()
}

/// Records which machines are empty, and which no longer exist.
pub(super) fn record_machine_outcomes(
    controller: &Controller,
    state: &mut ControllerState,
) -> Option<Transaction> {
    let replica = &state.records.replica;
    let mut transaction = Transaction::new(replica);
    let is_active =
        |name: &str| replica.drains.records.get(name).is_some_and(|drain| drain.value.is_active());
    for (id, cordon) in replica.drains.cordons.iter().filter(|(id, _)| is_active(&id.0)) {
        let mut record = cordon.value.clone();
        let mut has_changed = false;
        for machine in cordon.value.remaining() {
            if !replica.machines.contains_key(machine) {
                has_changed |= record.mark_gone(machine);
            } else if !replica.jobs_by_machine.contains_key(machine) {
                has_changed |= record.mark_emptied(machine);
            }
        }
        if has_changed && transaction.write_count() < controller.state_limits().txn_ops {
            transaction.write_cordon(id, record, cordon.version);
        }
    }
    transaction.unless_empty()
}
