//! Commands to workers, and the heartbeats that answer them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{debug, warn};
use wire::{Commands, Heartbeat};

use super::cycle::OutgoingCommands;
use crate::clock;
use crate::controller::Controller;
use crate::state::ControllerState;
use crate::worker::FencingToken;

/// How long a worker has to answer commands.
const COMMANDS_TIMEOUT: Duration = Duration::from_millis(2500);

/// Sends commands to a worker, in a task of its own, and records the heartbeat that answers
/// them.
pub(super) fn send_commands(controller: &Arc<Controller>, outgoing: OutgoingCommands) {
    let controller = controller.clone();
    let task_tracker = controller.task_tracker.clone();
    task_tracker.spawn(async move {
        let OutgoingCommands { machine, address, commands } = outgoing;
        let token = FencingToken::from(commands.fencing_token);
        let heartbeat = request_commands(&controller, &machine, &address, &commands).await;
        record_response(&mut controller.state(), &machine, token, heartbeat, clock::now());
        controller.wake_scheduler.notify_one();
    });
}

/// Sends commands to a worker. Returns the heartbeat that it answers with, if any.
async fn request_commands(
    controller: &Controller,
    machine: &str,
    address: &str,
    commands: &Commands,
) -> Option<Heartbeat> {
    debug!(machine, token = commands.fencing_token, commands = ?commands.commands, "sending commands");
    let body = wire::encode(commands);
    let max_bytes = wire::BODY_LIMIT * 4;
    let response =
        controller.worker_http.request(address, "POST", "/commands", body, max_bytes, COMMANDS_TIMEOUT).await;
    match response {
        // A worker that has seen a later token answers with 409, and with its heartbeat, too.
        Ok(response) if matches!(response.status, 200 | 409) => {
            wire::decode::<Heartbeat>(&response.body).ok()
        }
        Ok(response) => {
            warn!(machine, status = response.status, "worker rejected commands");
            None
        }
        Err(error) => {
            debug!(machine, %error, "commands not answered");
            None
        }
    }
}

/// Records the outcome of commands: the heartbeat that answers them, if any. A heartbeat of
/// another machine is none: an address may have become another machine's, whose status says
/// nothing of the one that was meant.
pub(crate) fn record_response(
    state: &mut ControllerState,
    machine: &str,
    token: FencingToken,
    heartbeat: Option<Heartbeat>,
    now: Instant,
) {
    let heartbeat = heartbeat.filter(|heartbeat| heartbeat.machine == machine);
    let Some(worker) = state.machines.workers.get_mut(machine) else { return };
    match heartbeat {
        Some(heartbeat) => {
            worker.commands_answered(token);
            worker.receive_response(heartbeat, now);
        }
        None => worker.commands_failed(token, now),
    }
}
