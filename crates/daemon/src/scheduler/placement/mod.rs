//! Placement: which pending jobs start in a cycle, and which tasks are preempted for them.

mod drain_holds;
mod gang_capacity;
mod gpu_machines;
mod pass;
mod preemption;
mod queue;
mod quota_claims;

use std::time::Instant;

use sched::forecast;
use sched::hash::HashSet;
use sched::placement::{Inventory, longest_waiting};
use sched::replica::{Replica, Resources};

use super::cycle::{CycleContext, SchedulingCycle};
use crate::controller::Controller;
use crate::state::ControllerState;
use drain_holds::reserve_held_capacity;
pub(crate) use gang_capacity::competes_with_longest_waiting_gang;
use pass::PlacementPass;
use preemption::VICTIM_SEARCH_INTERVAL;
use queue::{QueueOrder, pending_jobs};
use quota_claims::quota_claims;

/// Places pending jobs in the order of priority, guaranteed quota and age, and preempts other tasks
/// for jobs that find no capacity.
pub(super) fn place_pending_jobs(
    controller: &Controller,
    state: &mut ControllerState,
    cycle: &mut SchedulingCycle,
    context: CycleContext,
) {
    let queue = pending_jobs(controller, state, cycle);
    if queue.is_empty() {
        return;
    }
    state.refresh_inventory(&controller.identity, controller.heartbeat_interval(), context.now);
    let mut inventory = std::mem::take(&mut state.scheduling.inventory);
    inventory.begin();
    place_queue(controller, state, &mut inventory, cycle, queue, context);
    inventory.roll_back();
    state.scheduling.inventory = inventory;
}

/// Places the jobs of the queue on the machines of the inventory.
fn place_queue(
    controller: &Controller,
    state: &mut ControllerState,
    inventory: &mut Inventory,
    cycle: &mut SchedulingCycle,
    queue: Vec<String>,
    context: CycleContext,
) {
    let CycleContext { now, now_ms, .. } = context;
    let is_leader = state.is_leader(&controller.identity);
    let ControllerState { records, scheduling, drains, .. } = state;
    let replica: &Replica = &records.replica;
    scheduling.guaranteed.refresh(replica, &controller.teams);
    free_terminated(replica, inventory, cycle);
    scheduling.reservations.retain(|id, reservation| now < reservation.until && queue.contains(id));
    let is_recent = |at: &Instant| now.saturating_duration_since(*at) < VICTIM_SEARCH_INTERVAL;
    scheduling.last_victim_search.retain(|_, at| is_recent(at));
    for (id, reservation) in &scheduling.reservations {
        let Some(spec) = replica.jobs.get(id).and_then(|job| job.value.spec.as_deref()) else { continue };
        inventory.reserve(&reservation.machines, Resources::of_task(spec), 1.0);
    }
    let reservations = &mut scheduling.reservations;
    reserve_held_capacity(replica, inventory, &mut drains.holds, reservations, &queue, now);
    let longest_waiting: HashSet<&str> = longest_waiting(replica, now_ms).into_iter().collect();
    let guaranteed = scheduling.guaranteed.ids();
    let order = QueueOrder { controller, replica, guaranteed, longest_waiting: &longest_waiting, now_ms };
    let queue = order.sort(queue);
    let mut pass = PlacementPass {
        controller,
        replica,
        inventory,
        quota_claims: quota_claims(controller, replica, cycle, &queue, &scheduling.shortfalls),
        cycle,
        context,
        is_leader,
        longest_waiting,
        scheduling,
        running: None,
        waiting_gpu_jobs: None,
        machines_awaited_by_gpu_jobs: None,
        held_for_gpu_jobs: Vec::new(),
        expected_services: forecast::expected_services(replica, now_ms),
    };
    for id in queue {
        pass.place_job(id);
    }
}

/// Frees the capacity and quota of assignments that this cycle has ended.
fn free_terminated(replica: &Replica, inventory: &mut Inventory, cycle: &SchedulingCycle) {
    for (id, record) in &cycle.jobs {
        let Some(stored) = replica.jobs.get(id) else { continue };
        let Some(spec) = stored.value.spec.as_deref() else { continue };
        let size = Resources::of_task(spec);
        for assignment in &stored.value.assignments {
            if record.assignments.binary_search_by_key(&assignment.task, |kept| kept.task).is_ok() {
                continue;
            }
            inventory.reserve(std::slice::from_ref(&assignment.machine), size, -1.0);
            if let Some(used) = inventory.team_usage.get_mut(&spec.team) {
                *used = used.plus_scaled(size, -1.0);
            }
        }
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/scheduler_placement.rs"]
mod tests;
