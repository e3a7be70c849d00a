//! Read indexes: cancellations that peers may have confirmed to users and that this controller has
//! not read.
//!
//! A controller that cannot reach the key-value store keeps answering heartbeats, and thereby
//! renewing leases, only if it is certain to know every cancellation that was confirmed. A
//! controller confirms a cancellation only after its own replica of the records holds it. So once
//! every other controller has answered a request with what its replica has beyond this one's,
//! everything that was confirmed before the request was sent is known here.
//!
//! - An answer counts from when its request was sent. Whatever is confirmed later, also by a response
//!   to a user that is already in flight, has its full time to take effect from then on.
//! - A process that has not read the records since it started has confirmed nothing, but its
//!   predecessor may have. Its answer counts only if it had been heard from before this controller's
//!   last linearizable read, which then holds everything that the predecessor confirmed.
//! - An answer that is too large is sent in parts, split by the versions of the records. It is
//!   complete once all parts have been applied, and counts from when the first part was requested.
//! - A new owner and its placements come with a new cluster map, so an answer from a controller that
//!   knows a later map does not count. Jobs cancelled through a dependency were never started. A
//!   released machine has no lease left to renew.

use std::time::{Duration, Instant};

use net::Reply;
use peer::{CancelledJob, ReadIndex, ReadIndexRequest};
use rand::RngExt;
use sched::records::{JobRecord, Phase};
use sched::replica::{RecordChange, Replica};
use tracing::{info, warn};

use crate::clock;
use crate::controller::Controller;
use crate::peer_client::MAX_MESSAGE_BYTES;
use crate::state::{ControllerState, PeerReadIndex};

/// The path of read index requests to peers. Answers are sorted by version. Those of the earlier
/// path `/read-index` were sorted by id, so a truncated answer could not be continued.
pub const PATH: &str = "/read-index/v2";
/// Peers are asked for their read indexes once the last linearizable read is older than this.
const MAX_REPLICA_AGE: Duration = Duration::from_millis(1800);
/// How long a peer has to answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// Bytes of records after which an answer ends; the rest follows in the next part. Well below
/// [`MAX_MESSAGE_BYTES`], because the changes of one transaction (64 KiB) are never split.
const MAX_PART_BYTES: usize = 256 << 10;
/// Most bytes that a cancelled job takes besides its id and its record.
const CANCELLED_JOB_OVERHEAD_BYTES: usize = 64;

/// A request that was sent to a peer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SentRequest<'p> {
    /// The name of the peer.
    pub(crate) peer: &'p str,
    /// The request for this part of the answer.
    pub(crate) request: &'p ReadIndexRequest,
    /// When the first part was requested.
    pub(crate) sent_at: Instant,
}

/// What a peer's answer shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadIndexOutcome {
    /// Everything that the peer had confirmed when it was asked is known here.
    Complete,
    /// The cancellations up to a revision are known; the rest has to be requested.
    Partial {
        /// The revision after which the next part begins.
        known_up_to: u64,
    },
    /// The answer does not show what the peer has confirmed.
    Inconclusive,
}

/// Returns the request to send to a peer, or `None` if the last linearizable read is recent or the
/// records are not loaded.
pub(crate) fn request_if_needed(
    state: &ControllerState,
    nonce: u64,
    now: Instant,
) -> Option<ReadIndexRequest> {
    let is_recent = |at: Instant| now.saturating_duration_since(at) < MAX_REPLICA_AGE;
    if !state.records.is_loaded || state.records.fresh_at.is_some_and(is_recent) {
        return None;
    }
    let after = state.peers.read_indexes.known_up_to(state.records.replica.revision);
    Some(ReadIndexRequest { nonce, after })
}

/// This controller's answer: the cancellations that it has read or that it knows from peers.
pub(crate) fn own_read_index(
    controller: &Controller,
    state: &ControllerState,
    request: &ReadIndexRequest,
) -> ReadIndex {
    let (cancelled, truncated) = cancelled_after(&state.records.replica, request.after);
    ReadIndex {
        nonce: request.nonce,
        name: controller.identity.name.clone(),
        incarnation: controller.identity.incarnation,
        epoch: state.epoch(),
        revision: state.records.replica.revision,
        cancelled,
        truncated,
    }
}

/// Returns cancelled jobs that still have assignments, sorted by version, and whether there are
/// more. Nothing but the assignments in its record can be on a machine of a cancelled job, and
/// nothing of it can be started any more. Jobs of one version are never split, because the next part
/// begins after that version.
fn cancelled_after(replica: &Replica, after: u64) -> (Vec<CancelledJob>, bool) {
    let cancelled = |id: &String| {
        let (id, job) = replica.jobs.get_key_value(id)?;
        (job.version > after && job.value.phase == Phase::Cancelled).then_some((id, job))
    };
    let mut found: Vec<_> = replica.open_job_ids.iter().filter_map(cancelled).collect();
    found.sort_unstable_by_key(|(id, job)| (job.version, *id));
    let (mut part, mut bytes): (Vec<CancelledJob>, usize) = (Vec::new(), 0);
    for (id, job) in found {
        let is_same_version = part.last().is_none_or(|last| last.version == job.version);
        if bytes > MAX_PART_BYTES && !is_same_version {
            return (part, true);
        }
        let record = wire::encode(&*job.value);
        bytes += record.len() + id.len() + CANCELLED_JOB_OVERHEAD_BYTES;
        part.push(CancelledJob { id: id.clone(), version: job.version, record });
    }
    (part, false)
}

/// Applies a peer's answer. Its cancellations are kept even if the answer is otherwise inconclusive.
pub(crate) fn apply_read_index(
    state: &mut ControllerState,
    sent: SentRequest<'_>,
    index: ReadIndex,
    now: Instant,
) -> ReadIndexOutcome {
    let SentRequest { peer, request, sent_at } = sent;
    if index.nonce != request.nonce || index.name != peer || !state.records.is_loaded {
        return ReadIndexOutcome::Inconclusive;
    }
    state.note_shown_epoch(peer, index.epoch, now);
    state.peers.read_indexes.record_contact(peer, index.incarnation, now);
    let is_conclusive = is_conclusive(state, &index);
    let ReadIndex { incarnation, revision, cancelled, truncated, .. } = index;
    let known_up_to = cancelled.last().map(|job| job.version);
    let are_all_readable = apply_cancellations(state, peer, cancelled);
    if !is_conclusive || !are_all_readable {
        return ReadIndexOutcome::Inconclusive;
    }
    if truncated {
        // A part that makes no progress would be requested again without end.
        let progress = known_up_to.filter(|version| *version > request.after);
        return progress
            .map_or(ReadIndexOutcome::Inconclusive, |known_up_to| ReadIndexOutcome::Partial { known_up_to });
    }
    state.peers.read_indexes.update(peer, PeerReadIndex { incarnation, revision, requested_at: sent_at });
    ReadIndexOutcome::Complete
}

/// Whether an answer shows what the peer has confirmed: the peer knows no later cluster map, and it
/// has read the records or was first heard from before this controller's last linearizable read.
fn is_conclusive(state: &ControllerState, index: &ReadIndex) -> bool {
    let first_contact_at = state.peers.read_indexes.first_contact_at(&index.name, index.incarnation);
    let was_heard_before_last_read =
        state.records.fresh_at.zip(first_contact_at).is_some_and(|(fresh, heard)| heard <= fresh);
    index.epoch <= state.epoch() && (index.revision > 0 || was_heard_before_last_read)
}

/// Applies cancellations from a peer. Returns whether all of them could be decoded.
fn apply_cancellations(state: &mut ControllerState, peer: &str, cancelled: Vec<CancelledJob>) -> bool {
    let replica = &mut state.records.replica;
    let mut are_all_readable = true;
    let mut applied = 0;
    for job in cancelled {
        // The answer holds the record and its version as they are in the key-value store, so it is
        // applied like a change from there.
        match wire::decode::<JobRecord>(&job.record) {
            Ok(record) if record.phase == Phase::Cancelled => {
                if replica.jobs.get(&job.id).is_none_or(|known| known.version < job.version) {
                    applied += 1;
                    replica.apply(RecordChange::Job(job.id, Some(Box::new(record))), job.version);
                }
            }
            _ => are_all_readable = false,
        }
    }
    if applied > 0 {
        info!(peer, jobs = applied, "cancellations received from peer");
    }
    are_all_readable
}

/// Requests all parts of the read index of the peer at an address while the key-value store cannot
/// be reached.
pub async fn query_peer(controller: &Controller, address: &str) {
    let Some(peer) = controller.settings.peers.iter().find(|p| p.address == address) else { return };
    let sent_at = clock::now();
    let Some(mut request) = request_if_needed(&controller.state(), rand::rng().random(), sent_at) else {
        return;
    };
    // All parts have to come from one incarnation: another may know less than the first did.
    let mut incarnation = None;
    loop {
        let Some(index) = send_request(controller, address, &request).await else { return };
        let revision = index.revision;
        let outcome = if *incarnation.get_or_insert(index.incarnation) == index.incarnation {
            let sent = SentRequest { peer: &peer.node_name, request: &request, sent_at };
            apply_read_index(&mut controller.state(), sent, index, clock::now())
        } else {
            ReadIndexOutcome::Inconclusive
        };
        match outcome {
            ReadIndexOutcome::Complete => {
                controller.wake_scheduler.notify_one();
                return;
            }
            ReadIndexOutcome::Partial { known_up_to } => {
                request = ReadIndexRequest { nonce: rand::rng().random(), after: known_up_to };
            }
            ReadIndexOutcome::Inconclusive => {
                warn!(peer = peer.node_name, revision, "read index of peer is inconclusive");
                return;
            }
        }
    }
}

/// Sends one request. Controllers of versions without read indexes do not know it: while one of
/// them is live, leases are renewed only within the bound after the last linearizable read.
async fn send_request(
    controller: &Controller,
    address: &str,
    request: &ReadIndexRequest,
) -> Option<ReadIndex> {
    let body = peer::encode_read_index_request(request);
    let http = &controller.peer_and_cloud_http;
    let answer = http.request(address, "POST", PATH, body, MAX_MESSAGE_BYTES, REQUEST_TIMEOUT).await.ok()?;
    if answer.status != 200 {
        return None;
    }
    peer::decode_read_index(&answer.body)
}

/// Answers a peer's request.
pub fn serve(controller: &Controller, body: &[u8]) -> Reply {
    let Some(request) = peer::decode_read_index_request(body) else {
        return Reply::error(400, "not a request for a read index");
    };
    let index = own_read_index(controller, &controller.state(), &request);
    Reply { status: 200, body: peer::encode_read_index(&index), retry_after: None }
}

#[cfg(test)]
#[path = "../tests/unit/read_index.rs"]
mod tests;
