//! Exchange of statuses with peers: which machines each controller owns, their free capacity, and
//! whether the controller reaches the key-value store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use peer::{MachineStatusRow, Message, PeerStatus};
use sched::records::Name;
use sched::replica::{Replica, SortedLookup};
use tokio::time::{sleep, timeout};

use crate::clock;
use crate::controller::Controller;
use crate::peer_client;
use crate::read_index;
use crate::state::{ControllerState, ReceivedStatus, accepts_work};

/// How often this controller's status is sent to a peer.
const STATUS_INTERVAL: Duration = Duration::from_millis(1000);
/// Least time between two statuses to a peer.
const MIN_STATUS_INTERVAL: Duration = Duration::from_millis(100);
/// A peer whose status arrived within this time is sent none: the exchange in which it arrived also
/// sent this controller's status.
const MAX_EXCHANGE_AGE: Duration = Duration::from_millis(700);
/// How long a peer has to answer with its status.
const STATUS_TIMEOUT: Duration = Duration::from_millis(900);

/// This controller's status.
pub(crate) fn own_status(controller: &Controller) -> PeerStatus {
    let state = controller.state();
    let now = clock::now();
    let store_silence = state.records.fresh_at.map(|fresh_at| now.saturating_duration_since(fresh_at));
    PeerStatus {
        name: controller.identity.name.clone(),
        incarnation: controller.identity.incarnation,
        sequence: controller.load.peer_statuses.fetch_add(1, Ordering::Relaxed) + 1,
        epoch: state.epoch(),
        store_silent_ms: store_silence.map_or(u64::MAX, whole_millis),
        machines: own_machines(controller, &state, now),
    }
}

/// The status of each machine that this controller owns.
fn own_machines(controller: &Controller, state: &ControllerState, now: Instant) -> Vec<MachineStatusRow> {
    let replica = &state.records.replica;
    let heartbeat_interval = controller.heartbeat_interval();
    let was_paused = state.pauses.was_paused(now);
    let mut workers = SortedLookup::new(&state.machines.workers);
    let mut usages = SortedLookup::new(&replica.machine_usage);
    let owned = replica.owned_machines().filter(|(.., owner)| **owner == controller.identity);
    owned
        .filter_map(|(id, record, _)| {
            let worker = workers.get(id)?;
            let machine_type = replica.machine_types.get(&*record.value.machine_type)?;
            let used = usages.get(id).copied().unwrap_or_default();
            Some(MachineStatusRow {
                id: id.to_string(),
                usable: accepts_work(worker, heartbeat_interval, now),
                silent_ms: if was_paused { 0 } else { whole_millis(worker.silent_for(now)) },
                heard_from: worker.was_heard_from(),
                free_cpus: machine_type.cpus - used.cpus,
                free_gpus: machine_type.gpus - used.gpus,
                free_memory_gb: machine_type.memory_gb - used.memory_gb,
                unhealthy: worker.is_unhealthy(),
                spot_notice: worker.spot_notice_until().is_some(),
            })
        })
        .collect()
}

fn whole_millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

/// Stores a peer's status, unless it is a delayed duplicate.
pub(crate) fn receive_status(controller: &Controller, mut status: PeerStatus) {
    let mut state = controller.state();
    let is_peer = controller.settings.peers.iter().any(|p| p.node_name == status.name);
    if !is_peer {
        return;
    }
    let now = clock::now();
    // An outdated copy of the records does not know the present incarnation of a peer, but the epoch
    // that the peer shows counts all the same.
    state.note_shown_epoch(&status.name, status.epoch, now);
    if !is_newer(&state, &status) {
        return;
    }
    let ControllerState { records, peers, .. } = &mut *state;
    update_machines(&mut peers.machines, &records.replica, &mut status);
    peers.read_indexes.record_contact(&status.name, status.incarnation, now);
    peers.statuses.insert(status.name.clone(), ReceivedStatus { status, received_at: now });
}

/// Moves the machine rows of a status to the table of peers' machines.
fn update_machines(
    machines: &mut BTreeMap<Name, MachineStatusRow>,
    replica: &Replica,
    status: &mut PeerStatus,
) {
    for row in std::mem::take(&mut status.machines) {
        // A status may list machines that have another owner by now.
        let owner = replica.owner_of(&row.id);
        if owner.is_none_or(|o| o.name != status.name || o.incarnation != status.incarnation) {
            continue;
        }
        match machines.get_mut(row.id.as_str()) {
            Some(known) => *known = row,
            None => {
                // Uses the instance of the name that all tables share, which is compared quickly.
                let shared_name = replica.machines.get_key_value(row.id.as_str()).map(|(id, _)| id.clone());
                machines.insert(shared_name.unwrap_or_else(|| row.id.as_str().into()), row);
            }
        }
    }
    if machines.len() > replica.machines.len() {
        machines.retain(|id, _| replica.machines.contains_key(id));
    }
}

/// Whether a status is newer than the last known one of its sender. A delayed duplicate, also one of
/// an earlier incarnation, must not be taken for the sender's present status.
fn is_newer(state: &ControllerState, status: &PeerStatus) -> bool {
    let known = state.peers.statuses.get(&status.name).map(|p| &p.status);
    let member = state.records.replica.members.get(&status.name).map(|m| m.value.incarnation);
    let is_member = member.is_none_or(|incarnation| incarnation == status.incarnation);
    match known {
        Some(known) if known.incarnation == status.incarnation => status.sequence > known.sequence,
        Some(known) => status.epoch >= known.epoch && is_member,
        None => is_member,
    }
}

/// Exchanges statuses with the peer at an address until the controller stops. Either controller may
/// send its status first; the other answers with its own. Before each exchange the peer is asked
/// for its read index, if that is needed.
pub async fn exchange_statuses(controller: Arc<Controller>, address: String) {
    let mut is_urgent = true;
    loop {
        read_index::query_peer(&controller, &address).await;
        if is_urgent || !has_recent_status(&controller, &address) {
            exchange_status(&controller, &address).await;
        }
        is_urgent = timeout(STATUS_INTERVAL, controller.peer_status_due.notified()).await.is_ok();
        sleep(MIN_STATUS_INTERVAL).await;
    }
}

/// Whether a status of the peer at an address was received recently.
fn has_recent_status(controller: &Controller, address: &str) -> bool {
    let Some(peer) = controller.settings.peers.iter().find(|p| p.address == address) else { return false };
    let state = controller.state();
    let received_at = state.peers.statuses.get(&peer.node_name).map(|p| p.received_at);
    received_at.is_some_and(|at| clock::since(at) < MAX_EXCHANGE_AGE)
}

async fn exchange_status(controller: &Controller, address: &str) {
    let message = Message::PeerStatus(own_status(controller));
    if let Some(Message::PeerStatus(status)) =
        peer_client::send(controller, address, &message, STATUS_TIMEOUT).await
    {
        receive_status(controller, status);
    }
}

#[cfg(test)]
#[path = "../tests/unit/peer_status.rs"]
mod tests;
