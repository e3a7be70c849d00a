//! Read indexes: what peers may have confirmed to users that this controller has not read.
//!
//! A controller that cannot reach the state service goes on answering reports, and so
//! renewing leases, only if it surely knows of every cancellation that was confirmed.
//! Whatever a controller confirms stands in its own copy of the records before. So if
//! every other controller answers a request with what its copy has beyond this one's, all
//! that was confirmed before the request was sent is known here.
//!
//! - An answer counts from when its request was sent: what is confirmed later, the answer
//!   to a user already on its way too, has its full time from then on.
//! - A process that has not read the records since it started has confirmed nothing, but
//!   its predecessor may have. It counts only if it had been heard of before this
//!   controller's last fresh reading, which then holds all that the predecessor confirmed.
//! - What one answer cannot hold comes in parts, by the versions of the records. The word
//!   counts once all parts were taken in, and from when the first was asked for.
//! - A new owner, and whatever it places, comes with a new map: an answer from one who
//!   knows a newer map does not count. Jobs cancelled through `awaits` were never started.
//!   A released machine has nothing left to renew.

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

/// Answers in parts are in the order of versions. Those of `/read-index`, which came before,
/// were in the order of ids, and could not be continued.
pub const PATH: &str = "/read-index/v2";
/// After how long without a fresh reading peers are asked.
const ASK_AFTER: Duration = Duration::from_millis(1800);
const DEADLINE: Duration = Duration::from_millis(900);
/// Bytes of records after which an answer ends; the rest comes with the next part. Well below
/// [`LARGE`], as what was changed by one transaction (64 KiB) is never parted.
const PART_BYTES: usize = 256 << 10;
/// What to ask a peer, if there is need to.
pub(crate) fn request(state: &ControllerState, nonce: u64, now: Instant) -> Option<ReadIndexRequest> {
    let fresh = state.records.fresh_at.is_some_and(|f| now.saturating_duration_since(f) < ASK_AFTER);
    (state.records.is_loaded && !fresh).then(|| ReadIndexRequest {
        nonce,
        after: state.peers.read_indexes.known_up_to(state.records.replica.revision),
    })
}

/// This controller's answer: what it has read, and what it knows of beyond.
pub(crate) fn answer(
    controller: &Controller,
    state: &ControllerState,
    request: &ReadIndexRequest,
) -> ReadIndex {
    let (cancelled, truncated) = cancelled_after(&state.records.replica, request.after);
    ReadIndex {
        nonce: request.nonce,
        name: controller.identity.name.clone(),
        incarnation: controller.identity.incarnation,
        epoch: state.cluster_map().map_or(0, |m| m.epoch),
        revision: state.records.replica.revision,
        cancelled,
        truncated,
    }
}

/// Cancelled jobs with something on a machine, in the order of their versions, and whether
/// there are more. By its record, nothing else of a cancelled job can be on one, nor be
/// started any more. Those of one version are never parted: whoever asks goes on after it.
fn cancelled_after(world: &Replica, after: u64) -> (Vec<CancelledJob>, bool) {
    let cancelled = |id: &String| {
        let (id, job) = world.jobs.get_key_value(id)?;
        (job.version > after && job.value.phase == Phase::Cancelled).then_some((job.version, id, job))
    };
    let mut found: Vec<_> = world.open_job_ids.iter().filter_map(cancelled).collect();
    found.sort_unstable_by_key(|(version, id, _)| (*version, *id));
    let (mut list, mut bytes) = (Vec::new(), 0);
    for (version, id, job) in found {
        let same_version = list.last().is_none_or(|l: &CancelledJob| l.version == version);
        if bytes > PART_BYTES && !same_version {
            return (list, true);
        }
        let record = wire::encode(&*job.value);
        bytes += record.len() + id.len() + 64;
        list.push(CancelledJob { id: id.clone(), version, record });
    }
    (list, false)
}

/// What an answer is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Word {
    /// All that the peer had confirmed when it was asked is known here.
    LoadCounters,
    /// What changed up to this revision is; the rest has to be asked for.
    Continues(u64),
    /// It says nothing of what the peer has confirmed.
    Void,
}

/// Takes in a peer's answer to a request that was sent at a time, from which on its word
/// counts.
pub(crate) fn take(
    state: &mut ControllerState,
    peer: &str,
    asked: &ReadIndexRequest,
    index: ReadIndex,
    sent: Instant,
    now: Instant,
) -> Word {
    if index.nonce != asked.nonce || index.name != peer || !state.records.is_loaded {
        return Word::Void;
    }
    state.peers.read_indexes.note_heard(peer, index.incarnation, now);
    let known = state.peers.read_indexes.first_heard_at(peer, index.incarnation);
    let before = state.records.fresh_at.zip(known).is_some_and(|(fresh, heard)| heard <= fresh);
    let epoch = state.cluster_map().map_or(0, |m| m.epoch);
    let mut counts = index.epoch <= epoch && (index.revision > 0 || before);
    let known_up_to = index.cancelled.last().map(|job| job.version);
    let mut learnt = 0;
    for job in index.cancelled {
        // The record as it lies in the state service, at its own version: as if the news
        // of it had come from there.
        match wire::decode::<JobRecord>(&job.record) {
            Ok(record) if record.phase == Phase::Cancelled => {
                let newer = state.records.replica.jobs.get(&job.id).is_none_or(|j| j.version < job.version);
                if newer {
                    learnt += 1;
                    state
                        .records
                        .replica
                        .apply(RecordChange::Job(job.id, Some(Box::new(record))), job.version);
                }
            }
            _ => counts = false,
        }
    }
    if learnt > 0 {
        info!(peer, jobs = learnt, "cancellations learnt from a peer");
    }
    if !counts {
        return Word::Void;
    }
    if index.truncated {
        // A part that does not get further would be asked for without end.
        return known_up_to.filter(|v| *v > asked.after).map_or(Word::Void, Word::Continues);
    }
    let found = PeerReadIndex { incarnation: index.incarnation, revision: index.revision, asked_at: sent };
    state.peers.read_indexes.update(peer, found);
    Word::LoadCounters
}

/// Asks a peer while the state service cannot be asked, for as many parts as there are.
pub async fn ask(controller: &Controller, address: &str) {
    let Some(peer) = controller.settings.peers.iter().find(|p| p.address == address) else { return };
    let sent = clock::now();
    let Some(mut asked) = request(&controller.state(), rand::rng().random(), sent) else { return };
    // All parts have to be one process's: another may know less than the first did.
    let mut incarnation = None;
    loop {
        let Some(index) = exchange(controller, address, &asked).await else { return };
        let revision = index.revision;
        let same = *incarnation.get_or_insert(index.incarnation) == index.incarnation;
        let word = match same {
            true => take(&mut controller.state(), &peer.node_name, &asked, index, sent, clock::now()),
            false => Word::Void,
        };
        match word {
            Word::LoadCounters => {
                controller.wake_scheduler.notify_one();
                return;
            }
            Word::Continues(after) => asked = ReadIndexRequest { nonce: rand::rng().random(), after },
            Word::Void => {
                warn!(peer = peer.node_name, revision, "a peer's word does not count for leases");
                return;
            }
        }
    }
}

/// Sends one request. A controller of the version in production knows none of its kind: for
/// as long as it is there, leases are renewed within the bound alone.
async fn exchange(controller: &Controller, address: &str, asked: &ReadIndexRequest) -> Option<ReadIndex> {
    let body = peer::encode_request(asked);
    let answer = controller
        .peer_and_cloud_http
        .request(address, "POST", PATH, body, MAX_MESSAGE_BYTES, DEADLINE)
        .await
        .ok()?;
    (answer.status == 200).then(|| peer::decode_index(&answer.body)).flatten()
}

/// Answers a peer's request.
pub fn serve(controller: &Controller, body: &[u8]) -> Reply {
    let Some(request) = peer::decode_request(body) else {
        return Reply::error(400, "not a request for a read index");
    };
    let index = answer(controller, &controller.state(), &request);
    Reply { status: 200, body: peer::encode_index(&index), retry_after: None }
}

#[cfg(test)]
#[path = "../tests/unit/read_index.rs"]
mod tests;
