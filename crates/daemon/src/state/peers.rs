//! What the other controllers have said of themselves and of their machines.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use peer::{MachineStatusRow, PeerStatus};
use sched::records::Name;
use sched::replica::Replica;

use super::read_indexes::ReadIndexes;

/// How long nothing may be heard of a controller before it counts as unreachable.
const SILENCE_LIMIT: Duration = Duration::from_millis(3500);
/// How old a peer's status may be to say whether it reaches the key-value store.
const MAX_STATUS_AGE: Duration = Duration::from_millis(2500);
/// How long a controller may go without contact to the key-value store before that counts.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(2500);
/// For how long nothing is sent to a peer that could not be reached.
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

/// The peers, by what they last said.
#[derive(Default)]
pub struct PeerTable {
    /// The last status of each peer, by its name.
    pub statuses: HashMap<String, ReceivedStatus>,
    /// What peers last said of their machines.
    pub machines: BTreeMap<Name, MachineStatusRow>,
    /// What peers have confirmed to users while the key-value store cannot be asked.
    pub read_indexes: ReadIndexes,
    /// Peers that could not be reached, and until when nothing is sent to them.
    backoff_until: HashMap<String, Instant>,
}

impl PeerTable {
    /// Whether a peer was heard of lately enough to count as reachable.
    pub fn is_reachable(&self, name: &str, now: Instant) -> bool {
        self.statuses.get(name).is_some_and(|peer| peer.is_younger_than(SILENCE_LIMIT, now))
    }

    /// The peers that were heard of within this time.
    pub fn heard_within(&self, limit: Duration, now: Instant) -> Vec<&str> {
        let heard = self.statuses.iter().filter(|(_, peer)| peer.is_younger_than(limit, now));
        heard.map(|(name, _)| name.as_str()).collect()
    }

    /// Whether some peer has lately been in contact with the key-value store.
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

    /// Whether nothing is sent to a peer for now, as it could not be reached.
    pub fn is_backing_off(&self, name: &str, now: Instant) -> bool {
        self.backoff_until.get(name).is_some_and(|until| now < *until)
    }

    /// Notes that a peer could not be reached.
    pub fn note_unreachable(&mut self, name: String, now: Instant) {
        self.backoff_until.insert(name, now + UNREACHABLE_BACKOFF);
    }

    /// The incarnation of the owner of each machine that a peer has spoken of.
    pub fn machine_owners(&self, replica: &Replica) -> HashMap<Name, u64> {
        let owner = |id: &Name| replica.owner_of(id).map(|owner| (id.clone(), owner.incarnation));
        self.machines.keys().filter_map(owner).collect()
    }

    /// Forgets what was said of machines that have another owner than before: the word of a
    /// controller that was cut off must not pass for that of its successor.
    pub fn forget_reassigned_machines(&mut self, owners_before: &HashMap<Name, u64>, replica: &Replica) {
        self.machines.retain(|id, _| {
            let owner = replica.owner_of(id).map(|owner| owner.incarnation);
            owner.as_ref() == owners_before.get(id)
        });
    }
}
