//! The leader's task that carries out drains, in steps.

use std::sync::Arc;
use std::time::Duration;

use store::key;
use tokio::time::sleep;
use tracing::warn;

use super::execution::carry_out;
use super::housekeeping::{close_disruptions, lift_cordons, record_machine_outcomes};
use super::machine_order::plan_machine_order;
use super::step::{DrainStep, decide};
use crate::clock;
use crate::controller::Controller;
use crate::state::{ControllerState, DrainState};

/// The least time between two steps.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(500);
/// After each step the task sleeps for at least this many times the processor time of the step.
const PAUSE_PER_PROCESSOR_TIME: u32 = 8;

/// Carries out drains whenever this controller is the leader. Never returns.
pub async fn run_drains(controller: Arc<Controller>) {
    let mut processor_time = Duration::ZERO;
    loop {
        sleep(MIN_STEP_INTERVAL.max(processor_time * PAUSE_PER_PROCESSOR_TIME)).await;
        processor_time = Duration::ZERO;
        if !is_due(&controller) {
            continue;
        }
        processor_time = take_step(&controller).await;
    }
}

/// Whether a step is due: this controller is the leader, some drain is not over, and the replica is
/// fresh enough to stop work. If the controller is not the leader or there are no drains, the state
/// kept between steps is dropped, because another leader may carry out drains meanwhile.
fn is_due(controller: &Controller) -> bool {
    let mut state = controller.state();
    let is_busy = state.records.replica.drains.is_busy();
    let is_leader = state.is_leader(&controller.identity);
    if !is_leader || !is_busy {
        if !state.drains.observed_jobs.is_empty() || !state.drains.holds.is_empty() {
            state.drains = DrainState::default();
        }
        return false;
    }
    state.may_stop_work(clock::now())
}

/// Takes one step. Returns how long the decisions took.
async fn take_step(controller: &Arc<Controller>) -> Duration {
    warn_of_unreadable_drains(&mut controller.state());
    for housekeeping in [close_disruptions, lift_cordons, record_machine_outcomes] {
        let transaction = housekeeping(controller, &mut controller.state());
        if let Some(transaction) = transaction {
            transaction.commit(controller).await;
        }
    }
    plan_machine_order(controller);
    let started_at = clock::now();
    let Some(DrainStep { decision, max_changes }) = decide(controller) else {
        return clock::since(started_at);
    };
    let processor_time = clock::since(started_at);
    carry_out(controller, decision, max_changes).await;
    processor_time
}

/// Warns once of each drain whose record cannot be read. Its machines stay cordoned.
fn warn_of_unreadable_drains(state: &mut ControllerState) {
    let ControllerState { records, drains, .. } = state;
    let unreadable = &records.replica.drains.unreadable;
    drains.unreadable.retain(|name| unreadable.contains(name));
    for name in unreadable {
        if drains.unreadable.insert(name.clone()) {
            warn!(key = key::drain(name), "drain record cannot be read; its machines stay cordoned");
        }
    }
}
