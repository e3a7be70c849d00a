//! The decisions of one scheduling cycle, in order. There is no I/O: only the in-memory state of
//! this controller changes.

use sched::records::{JobRecord, Phase};

use super::cycle::{CycleContext, SchedulingCycle, record_for_update};
use super::events::SchedulingEvent;
use super::placement::place_pending_jobs;
use super::rescheduling::evict_replicas;
use super::terminations::{terminate_on_released_machines, terminate_proven};
use super::worker_reconciliation::reconcile_workers;
use crate::controller::Controller;
use crate::state::ControllerState;

/// Decides what to do in this cycle. Returns `None` if this controller is not live in the cluster
/// map or is superseded, or while its records are being reloaded.
pub(crate) fn decide(
    controller: &Controller,
    state: &mut ControllerState,
    context: CycleContext,
) -> Option<SchedulingCycle> {
    if !state.records.is_loaded || state.is_superseded() {
        // Keep the workers: the fencing tokens that were issued to them remain in effect.
        return None;
    }
    if !state.is_live(&controller.identity) {
        state.machines.workers.clear();
        return None;
    }
    let CycleContext { max_changes, now, now_ms, runs_rescheduler } = context;
    let mut cycle = SchedulingCycle {
        // Leave part of the transaction to placements. Otherwise a steady stream of terminations
        // would keep new tasks from being placed.
        max_jobs_with_terminations: (max_changes * 2 / 3).max(1),
        fences_cordons: controller.operators.drains.enabled,
        ..SchedulingCycle::default()
    };
    state.scheduling.expire(now);
    cycle.jobs_on_hold = state.scheduling.jobs_on_hold().cloned().collect();
    cancel_dependents(controller, state, &mut cycle, max_changes);
    // Terminations on released machines come first: their number is bounded, and the affected jobs
    // cannot be rescheduled before. Queued behind the endless terminations of arrays on a busy
    // site, they would wait for minutes.
    terminate_on_released_machines(controller, state, &mut cycle, now_ms);
    reconcile_workers(controller, state, &mut cycle, context);
    if max_changes == 0 {
        cycle.jobs.clear();
        cycle.events.clear();
        return Some(cycle);
    }
    terminate_proven(controller, state, &mut cycle, context);
    place_pending_jobs(controller, state, &mut cycle, context);
    if runs_rescheduler && state.is_leader(&controller.identity) {
        evict_replicas(controller, state, &mut cycle, context);
    }
    Some(cycle)
}

/// Marks jobs that depend on a cancelled job as cancelled. Users see them as cancelled already;
/// this frees the data that is kept for them. Each scheduler does so for its own jobs, up to a
/// limit per cycle.
fn cancel_dependents(
    controller: &Controller,
    state: &ControllerState,
    cycle: &mut SchedulingCycle,
    max_changes: usize,
) {
    let replica = &state.records.replica;
    let is_scheduled_here = |job: &JobRecord| replica.scheduler_of(job) == Some(&controller.identity.name);
    for id in replica.pipelines.cancelled_by_dependency() {
        if cycle.jobs.len() >= (max_changes / 2).max(1) {
            break;
        }
        if !replica.jobs.get(&**id).is_some_and(|job| is_scheduled_here(&job.value)) {
            continue;
        }
        if let Some(record) = record_for_update(cycle, replica, id) {
            record.phase = Phase::Cancelled;
            record.compact_if_final();
            cycle.events.push(SchedulingEvent::CancelledByDependency { job: id.to_string() });
        }
    }
}
