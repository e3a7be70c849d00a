//! Requests the status of owned workers that have been silent, so that a new owner does not have to
//! wait for their heartbeats.

use std::sync::Arc;
use std::time::{Duration, Instant};

use net::NetError;
use sched::records::Name;
use tokio::time::sleep;
use wire::Heartbeat;

use crate::clock;
use crate::controller::Controller;
use crate::state::ControllerState;
use crate::worker::Worker;
use crate::worker_client::fetch_status;

/// How often silent workers are probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(700);
/// How long a worker has to answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1200);
/// At most one in this many silent workers is probed at a time, so that lost workers do not keep
/// the others from being probed.
const SILENT_WORKERS_DIVISOR: usize = 4;
/// Number of silent workers that are probed at a time even if that is a larger part of them.
const MIN_CONCURRENT_PROBES: usize = 16;
/// Probes use at most one in this many connections to workers, because each worker that does not
/// answer holds a connection.
const CONNECTIONS_DIVISOR: usize = 2;
/// How late a heartbeat may be, beyond one and a half heartbeat intervals.
const MAX_HEARTBEAT_DELAY: Duration = Duration::from_millis(500);

/// A worker that has not been heard from recently.
struct SilentWorker {
    machine: Name,
    addr: String,
}

/// Probes silent workers until the controller stops.
pub async fn probe_silent_workers(controller: Arc<Controller>) {
    let max_probes = controller.settings.sockets().to_workers / CONNECTIONS_DIVISOR;
    let mut next_index = 0;
    loop {
        sleep(PROBE_INTERVAL).await;
        let mut silent = silent_workers(&controller, clock::now());
        let probes = concurrent_probes(silent.len(), max_probes);
        if !silent.is_empty() {
            let first = next_index % silent.len();
            silent.rotate_left(first);
            next_index = first + probes;
        }
        for worker in silent.into_iter().take(probes) {
            let prober = controller.clone();
            controller.task_tracker.spawn(async move { probe(&prober, &worker).await });
        }
    }
}

/// How many workers are probed at a time if `silent` workers are silent.
fn concurrent_probes(silent: usize, max_probes: usize) -> usize {
    (silent / SILENT_WORKERS_DIVISOR).max(MIN_CONCURRENT_PROBES).min(max_probes.max(1)).min(silent)
}

/// The owned workers that have not been heard from for longer than a heartbeat may take.
fn silent_workers(controller: &Controller, now: Instant) -> Vec<SilentWorker> {
    let limit = controller.heartbeat_interval() * 3 / 2 + MAX_HEARTBEAT_DELAY;
    let state = controller.state();
    let is_silent = |w: &Worker| !w.was_heard_from() || w.silent_for(now) > limit;
    let workers = state.machines.workers.iter();
    workers
        .filter(|(_, w)| !w.addr.is_empty() && is_silent(w))
        .map(|(machine, w)| SilentWorker { machine: machine.clone(), addr: w.addr.clone() })
        .collect()
}

/// Asks one worker for its status.
async fn probe(controller: &Controller, worker: &SilentWorker) {
    let status = match fetch_status(controller, &worker.machine, &worker.addr, PROBE_TIMEOUT).await {
        Ok(status) => status,
        // No connection was free, so no request was sent to the worker.
        Err(NetError::ConnectionLimit(_)) => return,
        Err(_) => None,
    };
    record_status(&mut controller.state(), &worker.machine, status, clock::now());
    controller.wake_scheduler.notify_one();
}

/// Records the worker's status, or that it did not answer.
pub(crate) fn record_status(
    state: &mut ControllerState,
    machine: &str,
    status: Option<Heartbeat>,
    now: Instant,
) {
    if let Some(status) = &status {
        state.note_worker_token(machine, status.fencing_token, now);
    }
    let Some(known) = state.machines.workers.get_mut(machine) else { return };
    match status {
        Some(status) => {
            known.receive_response(status, now);
        }
        None => known.note_probe_failure(),
    }
}

#[cfg(test)]
#[path = "../tests/unit/prober.rs"]
mod tests;
