//! The order in which a drain empties its machines.

use std::sync::Arc;

use drain::step::Machine;
use drain::view;
use drain::waves::{self, SolverLimits};
use tracing::info;

use crate::controller::Controller;
use crate::state::ControllerState;

/// Plans the order of the machines of a new drain with the solver, on a blocking thread. Until the
/// solver has found an order, and if it finds none within its time limit, the greedy order is used.
pub(super) fn plan_machine_order(controller: &Arc<Controller>) {
    let budgets = &controller.operators.drains.budgets;
    let mut state = controller.state();
    let ControllerState { records, drains, .. } = &mut *state;
    let replica = &records.replica;
    drains.planned.retain(|name| replica.drains.records.contains_key(name));
    let is_new = |name: &String| !drains.planned.contains(name);
    let mut active =
        replica.drains.records.iter().filter(|(name, drain)| drain.value.is_active() && is_new(name));
    let Some(name) = active.next().map(|(name, _)| name.clone()) else { return };
    drains.planned.insert(name.clone());
    let names = view::remaining_machines(replica, &name);
    let machines: Vec<Machine> = names
        .iter()
        .map(|machine| Machine { units: view::units_on(replica, machine), name: machine.clone() })
        .collect();
    let problem = waves::problem(replica, &machines, budgets);
    drop(state);
    let controller = controller.clone();
    let task_tracker = controller.task_tracker.clone();
    task_tracker.spawn(async move {
        let solve = move || waves::plan(&problem, &SolverLimits::LEADER);
        let Ok((order, waves, method)) = tokio::task::spawn_blocking(solve).await else { return };
        info!(
            drain = name,
            machines = names.len(),
            waves = waves.len(),
            ?method,
            "planned the order of machines of a drain"
        );
        let order = order.into_iter().map(|i| names[i].clone()).collect();
        controller.state().drains.orders.insert(name, order);
    });
}
