//! Free-room summaries among the controllers, and relayed reports.

use std::sync::atomic::Ordering;
use std::time::Duration;

use net::{Reply, Request};
use peer::{MachineRow, Message, Summary};
use tokio::time::timeout;

use crate::clock;
use crate::engine;
use crate::front;
use crate::node::{Core, Node, PeerView};
use crate::read_index;

pub(crate) const LARGE: usize = 1 << 20;

pub(crate) fn summary(node: &Node) -> Summary {
    let core = node.core();
    let now = clock::now();
    let ms = |d: Duration| d.as_millis() as u64;
    let report = node.report_every();
    let machines = core
        .workers
        .iter()
        .filter_map(|(id, w)| {
            let record = core.world.machines.get(id)?;
            let kind = core.world.types.get(&*record.value.machine_type)?;
            let used = core.world.machine_use.get(id).copied().unwrap_or_default();
            Some(MachineRow {
                id: id.to_string(),
                usable: core.usable(id, &node.me, report, now),
                silent_ms: if core.stood_still(now) { 0 } else { ms(w.silent_for(now)) },
                met: w.heard.is_some(),
                free_cpus: kind.cpus - used.cpus,
                free_gpus: kind.gpus - used.gpus,
                free_memory_gb: kind.memory_gb - used.memory_gb,
                sick: w.sick(),
                notice: w.notice_until.is_some(),
            })
        })
        .collect();
    Summary {
        name: node.me.name.clone(),
        incarnation: node.me.incarnation,
        count: node.counts.summaries.fetch_add(1, Ordering::Relaxed) + 1,
        epoch: core.map().map_or(0, |m| m.epoch),
        state_silent_ms: core.fresh_at.map_or(u64::MAX, |f| ms(now.saturating_duration_since(f))),
        machines,
    }
}

pub(crate) fn take(node: &Node, summary: Summary) {
    let mut core = node.core();
    if !node.settings.peers.iter().any(|p| p.node_name == summary.name) || !newer(&core, &summary) {
        return;
    }
    let Core { world, rows, .. } = &mut *core;
    for row in &summary.machines {
        // Not what a controller says of machines that are another's by now.
        let owner = world.owner_of(&row.id);
        if owner.is_some_and(|o| o.name == summary.name && o.incarnation == summary.incarnation) {
            rows.insert(row.id.as_str().into(), row.clone());
        }
    }
    if rows.len() > world.machines.len() {
        rows.retain(|id, _| world.machines.contains_key(id));
    }
    let now = clock::now();
    core.read_indexes.heard(&summary.name, summary.incarnation, now);
    core.peers.insert(summary.name.clone(), PeerView { summary, at: now });
}

/// Whether a summary is newer than what is known of its sender. A late copy, of an
/// earlier process too, must not pass for the sender's word of now.
fn newer(core: &Core, summary: &Summary) -> bool {
    let known = core.peers.get(&summary.name).map(|p| &p.summary);
    let member = core.world.members.get(&summary.name).map(|m| m.value.incarnation);
    match known {
        Some(k) if k.incarnation == summary.incarnation => summary.count > k.count,
        Some(k) => summary.epoch >= k.epoch && member.is_none_or(|m| m == summary.incarnation),
        None => member.is_none_or(|m| m == summary.incarnation),
    }
}

/// Tells one peer about this controller's machines, and hears of its own.
pub async fn tell(node: Node, address: String) {
    loop {
        read_index::ask(&node, &address).await;
        let body = peer::encode(&Message::Summary(summary(&node)));
        let answer =
            node.http.request(&address, "POST", "/peer", body, LARGE, Duration::from_millis(900)).await;
        if let Ok(answer) = answer
            && let Some(Message::Summary(s)) = peer::decode(&answer.body)
        {
            take(&node, s);
        }
        let _ = timeout(Duration::from_millis(1000), node.gossip.notified()).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Passes a worker's report on to the machine's owner.
pub async fn relay(node: &Node, owner: &str, report: Vec<u8>) -> Option<Reply> {
    let peer = node.settings.peers.iter().find(|p| p.node_name == owner)?;
    let body = peer::encode(&Message::Relay(peer::Relay { report }));
    let answer = node
        .http
        .request(&peer.address, "POST", "/peer", body, LARGE, Duration::from_millis(2000))
        .await
        .ok()?;
    match peer::decode(&answer.body) {
        Some(Message::Relayed { status: 200, body }) => Some(Reply { status: 200, body, retry_after: None }),
        _ => None,
    }
}

/// Hands proofs over to a peer; false if it did not take them.
pub async fn hand_over(node: &Node, to: &str, epoch: u64, list: Vec<peer::Proof>) -> bool {
    let Some(peer) = node.settings.peers.iter().find(|p| p.node_name == to) else { return false };
    let body = peer::encode(&Message::Proofs(peer::Proofs { epoch, list }));
    let deadline = Duration::from_millis(1200);
    let answer = node.http.request(&peer.address, "POST", "/peer", body, LARGE, deadline).await;
    answer.is_ok_and(|a| peer::decode(&a.body) == Some(Message::Taken))
}

/// Serves the peers.
pub async fn serve(node: Node, request: Request) -> Reply {
    if !matches!(request.path.as_str(), "/peer" | read_index::PATH) {
        return Reply::error(404, "unknown path");
    }
    if request.method != "POST" {
        return Reply::error(405, "POST only");
    }
    if request.path == read_index::PATH {
        return read_index::serve(&node, &request.body);
    }
    let answer = match peer::decode(&request.body) {
        Some(Message::Summary(s)) => {
            take(&node, s);
            Message::Summary(summary(&node))
        }
        Some(Message::Relay(r)) => {
            let reply = front::report(&node, &r.report, true).await;
            Message::Relayed { status: reply.status, body: reply.body }
        }
        Some(Message::Proofs(p)) => {
            engine::take_proofs(&node, p.epoch, p.list, clock::now());
            Message::Taken
        }
        _ => return Reply::error(400, "not a message between controllers"),
    };
    Reply { status: 200, body: peer::encode(&answer), retry_after: None }
}

#[cfg(test)]
#[path = "../tests/unit/gossip.rs"]
mod tests;
