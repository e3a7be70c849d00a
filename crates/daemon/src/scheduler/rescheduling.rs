//! Evictions by the rescheduler, within the disruption budgets.

use sched::rescheduler;

use super::cycle::{CycleContext, SchedulingCycle, record_for_update};
use super::events::SchedulingEvent;
use crate::controller::Controller;
use crate::drains::EvictionBudget;
use crate::state::ControllerState;

/// Evicts replicas that would be better placed on other machines, as far as the transaction has
/// room for the changes.
pub(super) fn evict_replicas(
    controller: &Controller,
    state: &mut ControllerState,
    cycle: &mut SchedulingCycle,
    context: CycleContext,
) {
    let CycleContext { max_changes, now, now_ms, .. } = context;
    let policy = &controller.operators.rescheduler;
    state.refresh_inventory(&controller.identity, controller.heartbeat_interval(), now);
    let replica = &state.records.replica;
    let evictions = rescheduler::find_evictions(replica, &state.scheduling.inventory, policy, now_ms);
    if evictions.is_empty() {
        return;
    }
    let mut budget = EvictionBudget::for_cycle(controller, state, &evictions);
    // With a budget, the team's disruption record is written, too.
    let writes = 1 + usize::from(budget.is_some());
    for eviction in evictions {
        let job = &eviction.job;
        let is_unavailable = cycle.jobs.contains_key(job) || cycle.jobs_on_hold.contains(job);
        if is_unavailable || cycle.write_count() + writes > max_changes {
            continue;
        }
        if let Some(budget) = &mut budget {
            let Some(disruption) = budget.debit(replica, &eviction, now_ms) else { continue };
            cycle.disruptions.insert(job.clone(), disruption);
        }
        let Some(record) = record_for_update(cycle, replica, job) else { continue };
        rescheduler::evict(record, &eviction, policy, now_ms);
        cycle.events.push(SchedulingEvent::Evicted(eviction));
    }
}
