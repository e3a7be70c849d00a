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
/// The HTTP status of a worker that refuses a request for its size.
const CONTENT_TOO_LARGE: u16 = 413;

/// What became of commands.
#[derive(Debug)]
pub(crate) enum CommandsOutcome {
    /// The worker answered with its status: it has executed the commands, or refused their token.
    Answered(Heartbeat),
    /// The worker refused the request for its size and executed nothing.
    TooLarge,
    /// No usable answer: the commands may have been executed, or may still be.
    Unknown,
}

/// Sends commands to a worker in a separate async task, and records the heartbeat that it responds
/// with.
pub(super) fn send_commands(controller: &Arc<Controller>, outgoing: OutgoingCommands) {
    let controller = controller.clone();
    let task_tracker = controller.task_tracker.clone();
    task_tracker.spawn(async move {
        let OutgoingCommands { machine, address, commands } = outgoing;
        let token = FencingToken::from(commands.fencing_token);
        let outcome = post_commands(&controller, &machine, &address, &commands).await;
        record_outcome(&mut controller.state(), &machine, token, outcome, clock::now());
        controller.wake_scheduler.notify_one();
    });
}

/// Posts commands to a worker.
async fn post_commands(
    controller: &Controller,
    machine: &str,
    address: &str,
    commands: &Commands,
) -> CommandsOutcome {
    debug!(machine, token = commands.fencing_token, commands = ?commands.commands, "sending commands");
    let body = wire::encode(commands);
    let response = controller
        .worker_http
        .request(address, "POST", "/commands", body, wire::ENCODED_BODY_LIMIT, COMMANDS_TIMEOUT)
        .await;
    match response {
        // A worker that has seen a later token responds with status 409; that response has a
        // heartbeat, too.
        Ok(response) if matches!(response.status, 200 | 409) => {
            wire::decode(&response.body).map_or(CommandsOutcome::Unknown, CommandsOutcome::Answered)
        }
        Ok(response) => {
            let count = commands.commands.len();
            warn!(machine, status = response.status, commands = count, "worker rejected commands");
            match response.status {
                CONTENT_TOO_LARGE => CommandsOutcome::TooLarge,
                _ => CommandsOutcome::Unknown,
            }
        }
        Err(error) => {
            debug!(machine, %error, "commands request failed");
            CommandsOutcome::Unknown
        }
    }
}

/// Records the outcome of commands. A heartbeat of another machine counts as no answer: the address
/// may have been reassigned, and the status of its new machine says nothing about the intended one.
pub(crate) fn record_outcome(
    state: &mut ControllerState,
    machine: &str,
    token: FencingToken,
    outcome: CommandsOutcome,
    now: Instant,
) {
    if let CommandsOutcome::Answered(heartbeat) = &outcome
        && heartbeat.machine == machine
    {
        state.note_worker_token(machine, heartbeat.fencing_token, now);
    }
    let Some(worker) = state.machines.workers.get_mut(machine) else { return };
    match outcome {
        CommandsOutcome::Answered(heartbeat) if heartbeat.machine == machine => {
            worker.commands_answered(token);
            worker.receive_response(heartbeat, now);
        }
        CommandsOutcome::TooLarge => worker.commands_too_large(token, now),
        CommandsOutcome::Answered(_) | CommandsOutcome::Unknown => worker.commands_failed(token, now),
    }
}
