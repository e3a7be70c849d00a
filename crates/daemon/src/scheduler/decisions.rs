//! The decisions of one scheduling cycle, in their order. No I/O: they change only the state of
//! this controller.

use sched::records::{JobRecord, Phase};

use super::cycle::{CycleContext, SchedulingCycle, record_for_update};
use super::events::SchedulingEvent;
use super::placement::place_pending_jobs;
use super::rescheduling::evict_replicas;
use super::terminations::{terminate_on_released_machines, terminate_proven};
use super::worker_reconciliation::reconcile_workers;
use crate::controller::Controller;
use crate::state::ControllerState;

/// Decides what is to be done now. None: this controller is not live, or its records are being
/// read again.
pub(crate) fn decide(
    controller: &Controller,
    state: &mut ControllerState,
    context: CycleContext,
) -> Option<SchedulingCycle> {
    if !state.records.is_loaded {
        // The workers stay known: tokens that were given out to them still count.
        return None;
    }
    if !state.is_live(&controller.identity) {
        state.machines.workers.clear();
        return None;
    }
    let CycleContext { max_changes, now, now_ms, runs_rescheduler } = context;
    let mut cycle = SchedulingCycle {
        // Terminations leave some of the transaction for placements: where tasks end all the
        // time, nothing would ever take their place.
        max_jobs_with_terminations: (max_changes * 2 / 3).max(1),
        fences_cordons: controller.operators.drains.enabled,
        ..SchedulingCycle::default()
    };
    state.scheduling.expire(now);
    cycle.jobs_on_hold = state.scheduling.jobs_on_hold().cloned().collect();
    cancel_dependents(controller, state, &mut cycle, max_changes);
    // Released machines come first: what was on them is bounded, and its jobs cannot go on
    // elsewhere meanwhile. Behind the terminations of arrays, which come without end on a busy
    // site, it would wait for minutes.
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

/// Records that jobs are cancelled by a dependency. Users are told so from the records as they
/// are; this frees what is kept of the jobs, a few in each cycle, and the scheduler of such a job
/// goes on whenever it gets to it.
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
