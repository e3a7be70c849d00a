//! Read indexes: what peers may have confirmed to users that this controller has not read.
//!
//! A controller that cannot reach the key-value store goes on answering heartbeats, and so renewing
//! leases, only if it surely knows of every cancellation that was confirmed. Whatever a controller
//! confirms is in its own replica of the records before. So if every other controller answers a
//! request with what its replica has beyond this one's, all that was confirmed before the request
//! was sent is known here.
//!
//! - An answer counts from when its request was sent: what is confirmed later, also by an answer to
//!   a user that is already on its way, has its full time from then on.
//! - A process that has not read the records since it started has confirmed nothing, but its
//!   predecessor may have. It counts only if it had been heard from before this controller's last
//!   linearizable read, which then holds all that the predecessor confirmed.
//! - What one answer cannot hold comes in parts, by the versions of the records. The peer is vouched
//!   for once all parts were taken in, and from when the first was asked for.
//! - A new owner, and whatever it places, comes with a new map: an answer from a controller that
//!   knows a later map does not count. Jobs cancelled by a dependency were never started. A released
//!   machine has no lease left to renew.

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

/// Where peers are asked. Their answers are in the order of versions; those of `/read-index`, which
/// came before, were in the order of ids, and could not be continued.
pub const PATH: &str = "/read-index/v2";
/// After how long without a linearizable read peers are asked.
const MAX_REPLICA_AGE: Duration = Duration::from_millis(1800);
/// How long a peer has to answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// Bytes of records after which an answer ends; the rest comes with the next part. Well below
/// [`MAX_MESSAGE_BYTES`], as what one transaction changed (64 KiB) is never split.
const MAX_PART_BYTES: usize = 256 << 10;
/// Bytes that a cancelled job takes beside its id and its record, at most.
const CANCELLED_JOB_OVERHEAD_BYTES: usize = 64;

/// A request that was sent to a peer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SentRequest<'p> {
    /// The name of the peer.
    pub(crate) peer: &'p str,
    /// The request for this part of the answer.
    pub(crate) request: &'p ReadIndexRequest,
    /// When the first part was asked for.
    pub(crate) sent_at: Instant,
}

/// What a peer's answer shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadIndexOutcome {
    /// All that the peer had confirmed when it was asked is known here.
    Complete,
    /// What changed up to this revision is known; the rest has to be asked for.
    Partial {
        /// The revision after which the next part begins.
        known_up_to: u64,
    },
    /// It does not show what the peer has confirmed.
    Inconclusive,
}

/// The request to a peer, unless the last linearizable read is recent.
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

/// This controller's answer: what it has read, and what it knows from peers beyond that.
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

/// Cancelled jobs with something on a machine, in the order of their versions, and whether there
/// are more. By its record, nothing else of a cancelled job can be on a machine, nor be started any
/// more. Those of one version are never split, as the next part begins after it.
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

/// Takes in a peer's answer. Cancellations are kept whatever else the answer shows.
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
    state.peers.read_indexes.note_heard(peer, index.incarnation, now);
    let is_conclusive = is_conclusive(state, &index);
    let ReadIndex { incarnation, revision, cancelled, truncated, .. } = index;
    let known_up_to = cancelled.last().map(|job| job.version);
    let are_all_readable = apply_cancellations(state, peer, cancelled);
    if !is_conclusive || !are_all_readable {
        return ReadIndexOutcome::Inconclusive;
    }
    if truncated {
        // A part that makes no progress would be asked for without end.
        let progress = known_up_to.filter(|version| *version > request.after);
        return progress
            .map_or(ReadIndexOutcome::Inconclusive, |known_up_to| ReadIndexOutcome::Partial { known_up_to });
    }
    state.peers.read_indexes.update(peer, PeerReadIndex { incarnation, revision, asked_at: sent_at });
    ReadIndexOutcome::Complete
}

/// Whether a peer's answer shows what it has confirmed: it knows no later map, and has read the
/// records, or was heard from before this controller last read them.
fn is_conclusive(state: &ControllerState, index: &ReadIndex) -> bool {
    let first_heard_at = state.peers.read_indexes.first_heard_at(&index.name, index.incarnation);
    let read_since = state.records.fresh_at.zip(first_heard_at).is_some_and(|(fresh, heard)| heard <= fresh);
    index.epoch <= state.epoch() && (index.revision > 0 || read_since)
}

/// Applies cancellations that a peer knows of. Returns whether all could be read.
fn apply_cancellations(state: &mut ControllerState, peer: &str, cancelled: Vec<CancelledJob>) -> bool {
    let replica = &mut state.records.replica;
    let mut are_all_readable = true;
    let mut applied = 0;
    for job in cancelled {
        // The record is as it is in the key-value store, at its own version: as if the change had
        // come from there.
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

/// Asks the peer at an address for its read index while the key-value store cannot be asked, for as
/// many parts as there are.
pub async fn query_peer(controller: &Controller, address: &str) {
    let Some(peer) = controller.settings.peers.iter().find(|p| p.address == address) else { return };
    let sent_at = clock::now();
    let Some(mut request) = request_if_needed(&controller.state(), rand::rng().random(), sent_at) else {
        return;
    };
    // All parts have to be of one incarnation: another may know less than the first did.
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

/// Sends one request. A controller of the version in production knows none of its kind: for as long
/// as it is live, leases are renewed within the time after the last linearizable read alone.
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
