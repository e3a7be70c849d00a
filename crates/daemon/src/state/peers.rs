//! What the other controllers have reported about themselves and their machines.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use peer::{MachineStatusRow, PeerStatus};
use sched::records::Name;
use sched::replica::Replica;

use super::read_indexes::ReadIndexes;

/// How long a controller may be silent before it counts as unreachable.
const SILENCE_LIMIT: Duration = Duration::from_millis(3500);
/// Greatest age of a peer's status that shows whether the peer reaches the key-value store.
const MAX_STATUS_AGE: Duration = Duration::from_millis(2500);
/// A peer without contact to the key-value store for this long does not count as reaching it.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(2500);
/// How long nothing is sent to a peer after it could not be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(3);

/// The last status of a peer.
#[derive(Debug)]
pub struct ReceivedStatus {
    /// The status without its machines, which are in [`PeerTable::machines`].
    pub status: PeerStatus,
    /// When it was received.
    pub received_at: Instant,
}

impl ReceivedStatus {
    fn is_younger_than(&self, limit: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < limit
    }
}

/// What the peers last reported.
#[derive(Default)]
pub struct PeerTable {
    /// The last status of each peer, by its name.
    pub statuses: BTreeMap<String, ReceivedStatus>,
    /// The last reported status of each peer's machines.
    pub machines: BTreeMap<Name, MachineStatusRow>,
    /// The read indexes of peers, which are used while the key-value store cannot be reached.
    pub read_indexes: ReadIndexes,
    /// Peers that could not be reached, and until when nothing is sent to them.
    backoff_until: HashMap<String, Instant>,
}

impl PeerTable {
    /// Whether a peer's last status is recent enough for the peer to count as reachable.
    pub fn is_reachable(&self, name: &str, now: Instant) -> bool {
        self.statuses.get(name).is_some_and(|peer| peer.is_younger_than(SILENCE_LIMIT, now))
    }

    /// The names of the peers whose last status is younger than `limit`.
    pub fn heard_from_within(&self, limit: Duration, now: Instant) -> Vec<&str> {
        let recent = self.statuses.iter().filter(|(_, peer)| peer.is_younger_than(limit, now));
        recent.map(|(name, _)| name.as_str()).collect()
    }

    /// Whether some peer has recently been in contact with the key-value store.
    pub fn any_reaches_store(&self, now: Instant) -> bool {
        let max_silence_ms = MAX_STORE_SILENCE.as_millis() as u64;
        self.statuses.values().any(|peer| {
            peer.is_younger_than(MAX_STATUS_AGE, now) && peer.status.store_silent_ms < max_silence_ms
        })
    }

    /// Whether some peer knows a cluster map of a later epoch.
    pub fn any_knows_later_epoch(&self, epoch: u64) -> bool {
        self.statuses.values().any(|peer| peer.status.epoch > epoch)
    }

    /// Whether nothing is sent to a peer for now because it could not be reached.
    pub fn is_backing_off(&self, name: &str, now: Instant) -> bool {
        self.backoff_until.get(name).is_some_and(|until| now < *until)
    }

    /// Records that a peer could not be reached.
    pub fn note_unreachable(&mut self, name: String, now: Instant) {
        self.backoff_until.insert(name, now + UNREACHABLE_BACKOFF);
    }

    /// The incarnation of the present owner of each machine that a peer has reported.
    pub fn machine_owners(&self, replica: &Replica) -> HashMap<Name, u64> {
        let owner = |id: &Name| replica.owner_of(id).map(|owner| (id.clone(), owner.incarnation));
        self.machines.keys().filter_map(owner).collect()
    }

    /// Drops the statuses of machines whose owner has changed: the report of a controller that was
    /// partitioned must not be taken for that of its successor.
    pub fn forget_reassigned_machines(&mut self, owners_before: &HashMap<Name, u64>, replica: &Replica) {
        self.machines.retain(|id, _| {
            let owner = replica.owner_of(id).map(|owner| owner.incarnation);
            owner.as_ref() == owners_before.get(id)
        });
    }
}
