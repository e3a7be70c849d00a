//! Decides on one step of all drains. Does no I/O.

use std::time::Duration;

use drain::capacity::InventoryCapacity;
use drain::step::{self, Decision, Drain, Limits};
use drain::view::{self, ObservedTasks};
use sched::drain_records::DisruptionRecord;
use sched::placement::Inventory;
use sched::replica::{Replica, Resources};

use super::running_tasks::observed_tasks;
use super::support::{team_name, unsupporting_controller};
use crate::clock;
use crate::controller::{Controller, wall_ms};
use crate::state::ControllerState;

/// The most units that one step stops.
const MAX_MOVES_PER_STEP: usize = 16;
/// Machines are expected to come up within this many times their usual boot time.
const MAX_BOOT_FACTOR: f64 = 3.0;
/// The time that an attempt to get capacity has in addition to the boot, for scaling out and for the
/// first heartbeat, in seconds.
const CAPACITY_ATTEMPT_RESERVE_S: f64 = 45.0;
/// The longest boot time that an attempt to get capacity allows for, in seconds.
const MAX_BOOT_S: f64 = 600.0;

/// The decisions of a step.
pub(super) struct DrainStep {
    pub(super) decision: Decision,
    /// The most changes that may be written for it.
    pub(super) max_changes: usize,
}

/// Decides on a step. None: no drain is active.
pub(super) fn decide(controller: &Controller) -> Option<DrainStep> {
    let now = clock::now();
    let mut state = controller.state();
    let budgets = &controller.operators.drains.budgets;
    let drains = view::active_drains(&state.records.replica, budgets, &state.drains.orders);
    state.drains.observed_jobs = view::jobs_to_observe(&state.records.replica, &drains, budgets);
    let observed = observed_tasks(controller, &state, now);
    if drains.is_empty() {
        state.drains.machines_awaiting_capacity.clear();
        return None;
    }
    let state_limits = controller.state_limits();
    let max_changes = state.writes.limiter.allowance(now).min(state_limits.txn_ops);
    let limits = Limits {
        moves: max_changes.min(MAX_MOVES_PER_STEP),
        capacity_attempt_timeout: capacity_attempt_timeout(&state.records.replica),
        paused: unsupporting_controller(controller, &state.records.replica),
        now_ms: wall_ms(),
    };
    state.refresh_inventory(&controller.identity, controller.heartbeat_interval(), now);
    let mut inventory = std::mem::take(&mut state.scheduling.inventory);
    inventory.begin();
    reserve_held_capacity(&state, &mut inventory);
    let input = StepInput {
        controller,
        replica: &state.records.replica,
        drains: &drains,
        observed: &observed,
        limits: &limits,
        max_disruptions_per_team: DisruptionRecord::capacity(state_limits.value_bytes),
    };
    let decision = input.decide(&mut inventory);
    inventory.roll_back();
    state.scheduling.inventory = inventory;
    state.drains.machines_awaiting_capacity = decision.machines_awaiting_capacity.iter().cloned().collect();
    Some(DrainStep { decision, max_changes })
}

/// Reserves the capacity that earlier steps have found, so that it is not found again.
fn reserve_held_capacity(state: &ControllerState, inventory: &mut Inventory) {
    let replica = &state.records.replica;
    for (job, hold) in state.drains.holds.iter().filter(|(job, hold)| hold.is_needed(replica, job)) {
        let Some(spec) = replica.jobs.get(job).and_then(|job| job.value.spec.as_deref()) else { continue };
        inventory.reserve(&hold.machines, Resources::of_task(spec), 1.0);
    }
}

/// The input of a step's decisions, except for the inventory.
struct StepInput<'a> {
    controller: &'a Controller,
    replica: &'a Replica,
    drains: &'a [Drain],
    /// The tasks that are observed to run.
    observed: &'a ObservedTasks,
    limits: &'a Limits,
    /// The most open disruptions that a team's record holds.
    max_disruptions_per_team: usize,
}

impl StepInput<'_> {
    fn decide(&self, inventory: &mut Inventory) -> Decision {
        let Self { controller, replica, drains, observed, limits, max_disruptions_per_team } = *self;
        let budgets = &controller.operators.drains.budgets;
        let services = view::affected_services(replica, drains, budgets);
        let team_of = |id: &str| team_name(controller, id);
        let mut ledger =
            view::ledger(replica, &services, budgets, observed, team_of, max_disruptions_per_team);
        let mut capacity = InventoryCapacity {
            records: replica,
            inventory,
            teams: &controller.teams,
            gang_wait_s: controller.settings.facts.workers.gang_wait_s,
            now_ms: limits.now_ms,
        };
        step::decide(drains, &mut ledger, &mut capacity, limits)
    }
}

/// The longest time of an attempt to get capacity.
fn capacity_attempt_timeout(replica: &Replica) -> Duration {
    let boot_s = replica.machine_types.values().map(|t| t.boot_s).fold(0.0, f64::max).min(MAX_BOOT_S);
    wire::seconds(boot_s * MAX_BOOT_FACTOR + CAPACITY_ATTEMPT_RESERVE_S)
}
