//! Sends messages to peers.

use std::time::Duration;

use net::Reply;
use peer::{Message, RelayedHeartbeat, TerminationProof, TerminationProofs};

use crate::controller::Controller;

/// Most bytes of a message between controllers, in either direction.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// The path of messages to a peer.
pub const MESSAGE_PATH: &str = "/peer";

/// How long the owner of a machine has to answer a relayed heartbeat.
const RELAY_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long a peer has to acknowledge termination proofs.
const PROOFS_TIMEOUT: Duration = Duration::from_millis(1200);

/// Sends a message to a peer. Returns `None` if there is no answer that can be decoded.
pub async fn send(
    controller: &Controller,
    address: &str,
    message: &Message,
    timeout: Duration,
) -> Option<Message> {
    let body = peer::encode(message);
    let http = &controller.peer_and_cloud_http;
    let answer = http.request(address, "POST", MESSAGE_PATH, body, MAX_MESSAGE_BYTES, timeout).await.ok()?;
    peer::decode(&answer.body)
}

/// Sends a message to the peer with this name. Also returns `None` if there is no such peer.
async fn send_to(
    controller: &Controller,
    name: &str,
    message: &Message,
    timeout: Duration,
) -> Option<Message> {
    let peer = controller.settings.peers.iter().find(|p| p.node_name == name)?;
    send(controller, &peer.address, message, timeout).await
}

/// Relays a worker's heartbeat to the owner of its machine. Returns the response for the worker,
/// if the owner renews its lease.
pub async fn relay_heartbeat(controller: &Controller, owner: &str, heartbeat: Vec<u8>) -> Option<Reply> {
    let message = Message::RelayedHeartbeat(RelayedHeartbeat { heartbeat });
    match send_to(controller, owner, &message, RELAY_TIMEOUT).await {
        Some(Message::HeartbeatResponse { status: 200, body }) => {
            Some(Reply { status: 200, body, retry_after: None })
        }
        _ => None,
    }
}

/// Forwards termination proofs, which are valid under the cluster map of `epoch`, to the controller
/// that schedules the jobs. Returns whether it acknowledged them.
pub async fn forward_termination_proofs(
    controller: &Controller,
    scheduler: &str,
    epoch: u64,
    proofs: Vec<TerminationProof>,
) -> bool {
    let message = Message::TerminationProofs(TerminationProofs { epoch, proofs });
    send_to(controller, scheduler, &message, PROOFS_TIMEOUT).await == Some(Message::Acknowledged)
}
