//! Heartbeats of workers, received directly or relayed by a peer.

use std::time::Instant;

use net::Reply;
use sched::records::{MachineRecord, Member};
use sched::replica::Replica;
use wire::{Heartbeat, HeartbeatResponse, Redirect};

use super::error::ApiError;
use crate::clock;
use crate::controller::Controller;
use crate::load::LoadCounters;
use crate::peer_client;
use crate::state::ControllerState;
use crate::worker::{FencingToken, Worker, stops_of_cancelled_jobs};

/// The HTTP status that redirects a worker to another controller.
const MISDIRECTED_REQUEST: u16 = 421;

/// The route by which a heartbeat reached this controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatRoute {
    /// Sent by the worker itself.
    Direct,
    /// Relayed by a controller that does not own the machine.
    Relayed,
}

/// How a heartbeat is to be answered.
#[derive(Debug, PartialEq)]
pub(crate) enum HeartbeatOutcome {
    /// Send this response, which renews the worker's lease.
    Respond(HeartbeatResponse),
    /// Redirect the worker to the named controller, or to any other if none is named.
    Redirect(Option<String>),
    /// Relay the heartbeat to the named controller, which owns the machine but may be partitioned
    /// from it.
    Relay(String),
    /// Record the machine, and respond with the first token of the epoch.
    RegisterMachine {
        /// The epoch of the cluster map.
        epoch: u64,
    },
}

/// Answers a heartbeat.
pub async fn handle_heartbeat(controller: &Controller, body: &[u8], route: HeartbeatRoute) -> Reply {
    let heartbeat: Heartbeat = match wire::decode_request(body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return ApiError::InvalidHeartbeat(error.to_string()).into(),
    };
    if !heartbeat.has_valid_machine_name() {
        return ApiError::InvalidMachineName.into();
    }
    LoadCounters::add(&controller.load.heartbeats, 1);
    match process_heartbeat(controller, &heartbeat, route, clock::now()) {
        HeartbeatOutcome::Respond(response) => Reply::new(200, &response),
        HeartbeatOutcome::Redirect(owner) => {
            LoadCounters::add(&controller.load.heartbeats_not_renewed, 1);
            redirect(owner)
        }
        HeartbeatOutcome::Relay(owner) => {
            let relayed = peer_client::relay_heartbeat(controller, &owner, body.to_vec()).await;
            relayed.unwrap_or_else(|| redirect(None))
        }
        HeartbeatOutcome::RegisterMachine { epoch } => {
            // Nothing is launched on the machine before its record is written.
            request_registration(controller, &heartbeat);
            Reply::new(200, &renewal(FencingToken::first_of_epoch(epoch)))
        }
    }
}

/// The reply that redirects a worker to another controller.
pub(super) fn redirect(report_to: Option<String>) -> Reply {
    Reply::new(MISDIRECTED_REQUEST, &Redirect { report_to })
}

/// A response that renews the lease and has no commands.
fn renewal(token: FencingToken) -> HeartbeatResponse {
    HeartbeatResponse { fencing_token: token.get(), commands: Vec::new() }
}

/// Updates the worker's state and decides how its heartbeat is answered.
pub(crate) fn process_heartbeat(
    controller: &Controller,
    heartbeat: &Heartbeat,
    route: HeartbeatRoute,
    now: Instant,
) -> HeartbeatOutcome {
    let machine = &heartbeat.machine;
    let mut guard = controller.state();
    let state = &mut *guard;
    state.note_worker_token(machine, heartbeat.fencing_token, now);
    if state.is_superseded() {
        return HeartbeatOutcome::Redirect(None);
    }
    let replica = &state.records.replica;
    let Some(map) = replica.current_map() else { return HeartbeatOutcome::Redirect(None) };
    let recorded_owner = replica.owner_of(machine);
    let Some(owner) = recorded_owner.or_else(|| map.owner(machine, &heartbeat.zone)).cloned() else {
        return HeartbeatOutcome::Redirect(None);
    };
    let epoch = map.epoch;
    if owner != controller.identity {
        return process_for_other_owner(controller, state, &owner, heartbeat, route, now);
    }
    if !controller.may_renew_leases(state, now) {
        return HeartbeatOutcome::Redirect(None);
    }
    if !state.records.replica.machines.contains_key(machine.as_str()) {
        // A higher token of this epoch means that the machine had a record, and that this heartbeat
        // is a delayed duplicate. The worker would drop a response with a lower token.
        let has_seen_commands =
            FencingToken::from(heartbeat.fencing_token) > FencingToken::first_of_epoch(epoch);
        return if has_seen_commands || must_stop_tasks(heartbeat, &state.records.replica) {
            HeartbeatOutcome::Redirect(None)
        } else {
            HeartbeatOutcome::RegisterMachine { epoch }
        };
    }
    process_for_own_worker(controller, state, heartbeat, epoch, now)
}

/// Whether the worker has to stop tasks of cancelled jobs. If so, only the owner may renew its
/// lease, because only the owner's responses carry commands.
fn must_stop_tasks(heartbeat: &Heartbeat, replica: &Replica) -> bool {
    !stops_of_cancelled_jobs(&heartbeat.tasks, replica).is_empty()
}

/// Decides how to answer a heartbeat from a machine that another controller owns.
fn process_for_other_owner(
    controller: &Controller,
    state: &mut ControllerState,
    owner: &Member,
    heartbeat: &Heartbeat,
    route: HeartbeatRoute,
    now: Instant,
) -> HeartbeatOutcome {
    if route == HeartbeatRoute::Relayed || owner.name == controller.identity.name {
        return HeartbeatOutcome::Redirect(None);
    }
    // A worker that has seen no token of this epoch may hold a lease that is about to expire, for
    // example after several controllers crashed. Any live controller renews it once, with the first
    // token of the epoch; the next heartbeat is redirected.
    let token = FencingToken::first_of_epoch(state.epoch());
    let replica = &state.records.replica;
    if FencingToken::from(heartbeat.fencing_token) < token
        && controller.may_renew_leases(state, now)
        && !must_stop_tasks(heartbeat, replica)
    {
        return HeartbeatOutcome::Respond(renewal(token));
    }
    state.machines.prune_redirections(state.records.replica.machines.len(), now);
    if state.machines.was_redirected(&heartbeat.machine, now) {
        // The worker was redirected to its owner a short time ago and has come back.
        return HeartbeatOutcome::Relay(owner.name.clone());
    }
    state.machines.note_redirection(&heartbeat.machine, now);
    HeartbeatOutcome::Redirect(Some(owner.name.clone()))
}

/// Handles a heartbeat from a machine that this controller owns: renews the lease and responds
/// with commands.
fn process_for_own_worker(
    controller: &Controller,
    state: &mut ControllerState,
    heartbeat: &Heartbeat,
    epoch: u64,
    now: Instant,
) -> HeartbeatOutcome {
    let machine = heartbeat.machine.as_str();
    let ControllerState { records, machines, .. } = state;
    let replica = &records.replica;
    let limits = controller.worker_limits(records.fresh_at);
    let owned_since = replica.owned_since_epoch(machine);
    if machines.workers.get(machine).is_some_and(|worker| worker.predates_ownership(owned_since)) {
        machines.workers.remove(machine);
    }
    let new_worker = || Worker::new(heartbeat.addr.clone(), epoch, now);
    let worker = machines.workers.entry(machine.into()).or_insert_with(new_worker);
    worker.enter_epoch(epoch);
    if worker.is_superseded_by(heartbeat) {
        return HeartbeatOutcome::Redirect(None);
    }
    let is_newest = worker.receive_heartbeat(heartbeat.clone(), now);
    // A duplicate or older heartbeat gets no new commands, but its lease is renewed: it may be the
    // one whose response the worker is waiting for.
    worker.renew_lease(now);
    let commands = if is_newest {
        worker.commands_for_heartbeat(machine, replica, &limits, now)
    } else {
        worker.stops_of_cancelled_jobs(replica)
    };
    let response = HeartbeatResponse { fencing_token: worker.token().get(), commands };
    if worker.is_reconciliation_due(now) {
        controller.wake_scheduler.notify_one();
    }
    HeartbeatOutcome::Respond(response)
}

/// Queues the machine of a first heartbeat for registration.
fn request_registration(controller: &Controller, heartbeat: &Heartbeat) {
    let record = MachineRecord {
        addr: heartbeat.addr.clone(),
        machine_type: heartbeat.machine_type.as_str().into(),
        zone: heartbeat.zone.as_str().into(),
        spot: heartbeat.spot,
        release: false,
    };
    controller.state().machines.unrecorded.insert(heartbeat.machine.as_str().into(), record);
    controller.unrecorded_machine.notify_one();
}
