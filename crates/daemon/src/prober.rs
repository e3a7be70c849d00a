//! Asks workers that have not been heard of.

use std::sync::Arc;
use std::time::{Duration, Instant};

use net::NetError;
use sched::records::Name;
use tokio::time::sleep;
use wire::Heartbeat;

use crate::clock;
use crate::controller::Controller;
use crate::worker::Worker;

/// How often silent workers are asked.
const PROBE_EVERY: Duration = Duration::from_millis(700);
const PROBE_DEADLINE: Duration = Duration::from_millis(1200);
/// Most workers asked at a time, as a part of those to ask, and at least. Those that are lost
/// must not keep the others from being asked.
const PROBED_PART: usize = 4;
const PROBED_LEAST: usize = 16;
/// And as a part of the connections to workers, as each that does not answer holds one.
const PROBED_SOCKETS_PART: usize = 2;

/// Asks owned workers that have not been heard of for their status, so that a
/// new owner need not wait for their reports.
pub async fn prober(controller: Arc<Controller>) {
    let mut turn = 0;
    loop {
        sleep(PROBE_EVERY).await;
        let mut quiet = quiet_workers(&controller, clock::now());
        let most = controller.settings.sockets().to_workers / PROBED_SOCKETS_PART;
        let at_once = probed_at_once(quiet.len(), most);
        if !quiet.is_empty() {
            let from = turn % quiet.len();
            quiet.rotate_left(from);
            turn = from + at_once;
        }
        for (machine, addr) in quiet.into_iter().take(at_once) {
            let controller = controller.clone();
            let tasks = controller.task_tracker.clone();
            tasks.spawn(async move { probe(&controller, &machine, &addr).await });
        }
    }
}

/// How many of so many silent workers are asked at a time.
fn probed_at_once(quiet: usize, most: usize) -> usize {
    (quiet / PROBED_PART).max(PROBED_LEAST).min(most.max(1)).min(quiet)
}

/// The owned workers that have not been heard of for longer than a report may take.
fn quiet_workers(controller: &Controller, now: Instant) -> Vec<(Name, String)> {
    let limit = controller.heartbeat_interval() * 3 / 2 + Duration::from_millis(500);
    let state = controller.state();
    let quiet = |w: &Worker| !w.was_heard_from() || w.silent_for(now) > limit;
    state
        .machines
        .workers
        .iter()
        .filter(|(_, w)| !w.addr.is_empty() && quiet(w))
        .map(|(id, w)| (id.clone(), w.addr.clone()))
        .collect()
}

/// Asks one worker for its status.
async fn probe(controller: &Controller, machine: &Name, addr: &str) {
    let asked = controller.worker_http.request(
        addr,
        "GET",
        "/status",
        Vec::new(),
        wire::BODY_LIMIT * 4,
        PROBE_DEADLINE,
    );
    let report = match asked.await {
        Ok(answer) => wire::decode::<Heartbeat>(&answer.body).ok().filter(|r| *r.machine == **machine),
        // It was not asked at all.
        Err(NetError::Busy(_)) => return,
        Err(_) => None,
    };
    if let Some(w) = controller.state().machines.workers.get_mut(machine) {
        match report {
            Some(report) => {
                w.receive_response(report, clock::now());
            }
            None => w.note_probe_failure(),
        }
    }
    controller.wake_scheduler.notify_one();
}

#[cfg(test)]
#[path = "../tests/unit/prober.rs"]
mod tests;
