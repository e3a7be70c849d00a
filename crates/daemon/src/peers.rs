//! Free-room summaries among the controllers, and relayed reports.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use net::{Reply, Request};
use peer::{MachineStatusRow, Message, PeerStatus};
use sched::replica::SortedLookup;
use tokio::time::timeout;

use crate::api;
use crate::clock;
use crate::controller::Controller;
use crate::drains::running_tasks;
use crate::read_index;
use crate::state::{ControllerState, ReceivedStatus, accepts_work};

pub(crate) const LARGE: usize = 1 << 20;

pub(crate) fn summary(controller: &Controller) -> PeerStatus {
    let state = controller.state();
    let now = clock::now();
    let report = controller.heartbeat_interval();
    let stood_still = state.pauses.was_paused(now);
    let mut workers = SortedLookup::new(&state.machines.workers);
    let mut used = SortedLookup::new(&state.records.replica.machine_usage);
    let owned = state.records.replica.owned_machines().filter(|(.., owner)| **owner == controller.identity);
    let machines = owned
        .filter_map(|(id, record, _)| {
            let worker = workers.get(id)?;
            let kind = state.records.replica.machine_types.get(&*record.value.machine_type)?;
            let used = used.get(id).copied().unwrap_or_default();
            Some(MachineStatusRow {
                id: id.to_string(),
                usable: accepts_work(worker, report, now),
                silent_ms: if stood_still { 0 } else { millis(worker.silent_for(now)) },
                heard_from: worker.heard.is_some(),
                free_cpus: kind.cpus - used.cpus,
                free_gpus: kind.gpus - used.gpus,
                free_memory_gb: kind.memory_gb - used.memory_gb,
                unhealthy: worker.sick(),
                spot_notice: worker.notice_until.is_some(),
            })
        })
        .collect();
    PeerStatus {
        name: controller.identity.name.clone(),
        incarnation: controller.identity.incarnation,
        sequence: controller.load.summaries.fetch_add(1, Ordering::Relaxed) + 1,
        epoch: state.cluster_map().map_or(0, |m| m.epoch),
        state_silent_ms: state
            .records
            .fresh_at
            .map_or(u64::MAX, |f| millis(now.saturating_duration_since(f))),
        machines,
    }
}

fn millis(d: Duration) -> u64 {
    d.as_millis() as u64
}

pub(crate) fn take(controller: &Controller, mut summary: PeerStatus) {
    let mut state = controller.state();
    if !controller.settings.peers.iter().any(|p| p.node_name == summary.name) || !newer(&state, &summary) {
        return;
    }
    let ControllerState { records, peers, .. } = &mut *state;
    let (world, rows) = (&records.replica, &mut peers.machines);
    for row in std::mem::take(&mut summary.machines) {
        // Not what a controller says of machines that are another's by now.
        let owner = world.owner_of(&row.id);
        if owner.is_none_or(|o| o.name != summary.name || o.incarnation != summary.incarnation) {
            continue;
        }
        match rows.get_mut(row.id.as_str()) {
            Some(known) => *known = row,
            None => {
                // By the name that all tables share, so that it is compared quickly.
                let known = world.machines.get_key_value(row.id.as_str()).map(|(id, _)| id.clone());
                rows.insert(known.unwrap_or_else(|| row.id.as_str().into()), row);
            }
        }
    }
    if rows.len() > world.machines.len() {
        rows.retain(|id, _| world.machines.contains_key(id));
    }
    let now = clock::now();
    state.peers.read_indexes.heard(&summary.name, summary.incarnation, now);
    state.peers.statuses.insert(summary.name.clone(), ReceivedStatus { status: summary, received_at: now });
}

/// Whether a summary is newer than what is known of its sender. A late copy, of an
/// earlier process too, must not pass for the sender's word of now.
fn newer(state: &ControllerState, summary: &PeerStatus) -> bool {
    let known = state.peers.statuses.get(&summary.name).map(|p| &p.status);
    let member = state.records.replica.members.get(&summary.name).map(|m| m.value.incarnation);
    match known {
        Some(k) if k.incarnation == summary.incarnation => summary.sequence > k.sequence,
        Some(k) => summary.epoch >= k.epoch && member.is_none_or(|m| m == summary.incarnation),
        None => member.is_none_or(|m| m == summary.incarnation),
    }
}

/// How often a peer is told of this controller's machines.
const SUMMARY_EVERY: Duration = Duration::from_millis(1000);
/// A peer that has told of its own machines within this time was answered with a summary then.
const ANSWERED_FOR: Duration = Duration::from_millis(700);
/// Least time between two summaries to a peer.
const SUMMARY_PAUSE: Duration = Duration::from_millis(100);

/// Tells one peer about this controller's machines, and hears of its own. Of two controllers
/// one asks and the other answers, whoever comes first.
pub async fn exchange_summaries(controller: Arc<Controller>, address: String) {
    let mut urgent = true;
    loop {
        read_index::ask(&controller, &address).await;
        if urgent || !answered_lately(&controller, &address) {
            exchange(&controller, &address).await;
        }
        urgent = timeout(SUMMARY_EVERY, controller.peer_status_due.notified()).await.is_ok();
        tokio::time::sleep(SUMMARY_PAUSE).await;
    }
}

fn answered_lately(controller: &Controller, address: &str) -> bool {
    let Some(peer) = controller.settings.peers.iter().find(|p| p.address == address) else { return false };
    let state = controller.state();
    let asked_at = state.peers.statuses.get(&peer.node_name).map(|p| p.received_at);
    asked_at.is_some_and(|t| clock::since(t) < ANSWERED_FOR)
}

async fn exchange(controller: &Controller, address: &str) {
    let body = peer::encode(&Message::PeerStatus(summary(controller)));
    let answer = controller
        .peer_and_cloud_http
        .request(address, "POST", "/peer", body, LARGE, Duration::from_millis(900))
        .await;
    if let Ok(answer) = answer
        && let Some(Message::PeerStatus(s)) = peer::decode(&answer.body)
    {
        take(controller, s);
    }
}

/// Passes a worker's report on to the machine's owner.
pub async fn relay(controller: &Controller, owner: &str, report: Vec<u8>) -> Option<Reply> {
    let peer = controller.settings.peers.iter().find(|p| p.node_name == owner)?;
    let body = peer::encode(&Message::RelayedHeartbeat(peer::RelayedHeartbeat { heartbeat: report }));
    let answer = controller
        .peer_and_cloud_http
        .request(&peer.address, "POST", "/peer", body, LARGE, Duration::from_millis(2000))
        .await
        .ok()?;
    match peer::decode(&answer.body) {
        Some(Message::HeartbeatResponse { status: 200, body }) => {
            Some(Reply { status: 200, body, retry_after: None })
        }
        _ => None,
    }
}

/// Hands proofs over to a peer; false if it did not take them.
pub async fn hand_over(
    controller: &Controller,
    to: &str,
    epoch: u64,
    list: Vec<peer::TerminationProof>,
) -> bool {
    let Some(peer) = controller.settings.peers.iter().find(|p| p.node_name == to) else { return false };
    let body = peer::encode(&Message::TerminationProofs(peer::TerminationProofs { epoch, proofs: list }));
    let deadline = Duration::from_millis(1200);
    let answer =
        controller.peer_and_cloud_http.request(&peer.address, "POST", "/peer", body, LARGE, deadline).await;
    answer.is_ok_and(|a| peer::decode(&a.body) == Some(Message::Acknowledged))
}

/// Serves the peers.
pub async fn serve(controller: Arc<Controller>, request: Request) -> Reply {
    if !matches!(request.path.as_str(), "/peer" | read_index::PATH | running_tasks::PATH) {
        return Reply::error(404, "unknown path");
    }
    if request.method != "POST" {
        return Reply::error(405, "POST only");
    }
    if request.path == read_index::PATH {
        return read_index::serve(&controller, &request.body);
    }
    if request.path == running_tasks::PATH {
        return running_tasks::serve(&controller, &request.body);
    }
    let answer = match peer::decode(&request.body) {
        Some(Message::PeerStatus(s)) => {
            take(&controller, s);
            Message::PeerStatus(summary(&controller))
        }
        Some(Message::RelayedHeartbeat(r)) => {
            let reply = api::report(&controller, &r.heartbeat, true).await;
            Message::HeartbeatResponse { status: reply.status, body: reply.body }
        }
        Some(Message::TerminationProofs(p)) => {
            controller.accept_forwarded_proofs(p.epoch, p.proofs, clock::now());
            Message::Acknowledged
        }
        _ => return Reply::error(400, "not a message between controllers"),
    };
    Reply { status: 200, body: peer::encode(&answer), retry_after: None }
}

#[cfg(test)]
#[path = "../tests/unit/peers.rs"]
mod tests;
