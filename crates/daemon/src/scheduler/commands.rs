//! Sends commands to workers and records the heartbeats that they respond with.

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

/// Sends commands to a worker in a separate async task, and records the heartbeat that it responds
/// with.
pub(super) fn send_commands(controller: &Arc<Controller>, outgoing: OutgoingCommands) {
    let controller = controller.clone();
    let task_tracker = controller.task_tracker.clone();
    task_tracker.spawn(async move {
        let OutgoingCommands { machine, address, commands } = outgoing;
        let token = FencingToken::from(commands.fencing_token);
        let heartbeat = post_commands(&controller, &machine, &address, &commands).await;
        record_response(&mut controller.state(), &machine, token, heartbeat, clock::now());
        controller.wake_scheduler.notify_one();
    });
}

/// Posts commands to a worker. Returns the heartbeat in its response, if any.
async fn post_commands(
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
        // A worker that has seen a later token responds with status 409; that response has a
        // heartbeat, too.
        Ok(response) if matches!(response.status, 200 | 409) => {
            wire::decode::<Heartbeat>(&response.body).ok()
        }
        Ok(response) => {
            warn!(machine, status = response.status, "worker rejected commands");
            None
        }
        Err(error) => {
            debug!(machine, %error, "commands request failed");
            None
        }
    }
}

/// Records the outcome of commands: the heartbeat in the response, if any. A heartbeat of another
/// machine counts as no response: the address may have been reassigned, and the status of its new
/// machine says nothing about the intended one.
pub(crate) fn record_response(
    state: &mut ControllerState,
    machine: &str,
    token: FencingToken,
    heartbeat: Option<Heartbeat>,
    now: Instant,
) {
    let heartbeat = heartbeat.filter(|heartbeat| heartbeat.machine == machine);
    if let Some(heartbeat) = &heartbeat {
        state.note_worker_token(machine, heartbeat.fencing_token, now);
    }
    let Some(worker) = state.machines.workers.get_mut(machine) else { return };
    match heartbeat {
        Some(heartbeat) => {
            worker.commands_answered(token);
            worker.receive_response(heartbeat, now);
        }
        None => worker.commands_failed(token, now),
    }
}
