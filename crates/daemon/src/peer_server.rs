//! Serves the requests of peers: passes each to the module that handles it.

use std::sync::Arc;

use net::{Reply, Request};
use peer::Message;

use crate::api::heartbeats::{HeartbeatRoute, handle_heartbeat};
use crate::clock;
use crate::controller::Controller;
use crate::drains::running_tasks;
use crate::peer_client::MESSAGE_PATH;
use crate::peer_status;
use crate::read_index;

/// Answers a request of a peer.
pub async fn serve(controller: Arc<Controller>, request: Request) -> Reply {
    let path = request.path.as_str();
    if !matches!(path, MESSAGE_PATH | read_index::PATH | running_tasks::PATH) {
        return Reply::error(404, "unknown path");
    }
    if request.method != "POST" {
        return Reply::error(405, "POST only");
    }
    match path {
        read_index::PATH => read_index::serve(&controller, &request.body),
        running_tasks::PATH => running_tasks::serve(&controller, &request.body, clock::now()),
        _ => answer_message(&controller, &request.body).await,
    }
}

/// Answers a message.
async fn answer_message(controller: &Controller, body: &[u8]) -> Reply {
    let answer = match peer::decode(body) {
        Some(Message::PeerStatus(status)) => {
            peer_status::receive_status(controller, status);
            Message::PeerStatus(peer_status::own_status(controller))
        }
        Some(Message::RelayedHeartbeat(relayed)) => {
            let reply = handle_heartbeat(controller, &relayed.heartbeat, HeartbeatRoute::Relayed).await;
            Message::HeartbeatResponse { status: reply.status, body: reply.body }
        }
        Some(Message::TerminationProofs(forwarded)) => {
            controller.accept_forwarded_proofs(forwarded.epoch, forwarded.proofs, clock::now());
            Message::Acknowledged
        }
        _ => return Reply::error(400, "not a message between controllers"),
    };
    Reply { status: 200, body: peer::encode(&answer), retry_after: None }
}
