//! Read indexes of peers: what they have confirmed to users while the key-value store cannot be
//! reached.

use std::collections::HashMap;
use std::time::Instant;

/// How many incarnations are remembered per controller.
const MAX_INCARNATIONS: usize = 16;

/// A peer's read index of which all parts have been applied.
#[derive(Debug, Clone, Copy)]
pub struct PeerReadIndex {
    /// The peer's incarnation.
    pub incarnation: u64,
    /// All cancellations that the peer knew up to this revision have been applied.
    pub revision: u64,
    /// When the peer was asked. Everything that it had confirmed by then is known here.
    pub requested_at: Instant,
}

/// The read indexes of peers, and when their incarnations were first heard from.
#[derive(Debug, Default)]
pub struct ReadIndexes {
    by_peer: HashMap<String, PeerReadIndex>,
    /// When each incarnation of each controller was first heard from, the oldest first.
    first_contact_at: HashMap<String, Vec<(u64, Instant)>>,
}

impl ReadIndexes {
    /// Records that an incarnation of a controller has been heard from.
    pub fn record_contact(&mut self, name: &str, incarnation: u64, now: Instant) {
        let incarnations = self.first_contact_at.entry(name.to_owned()).or_default();
        if incarnations.iter().all(|(known, _)| *known != incarnation) {
            // It is safe to forget the oldest: fewer of its read indexes are then conclusive.
            if incarnations.len() >= MAX_INCARNATIONS {
                incarnations.remove(0);
            }
            incarnations.push((incarnation, now));
        }
    }

    /// When an incarnation of a controller was first heard from.
    pub fn first_contact_at(&self, name: &str, incarnation: u64) -> Option<Instant> {
        let incarnations = self.first_contact_at.get(name)?;
        incarnations.iter().find(|(known, _)| *known == incarnation).map(|(_, at)| *at)
    }

    /// The time up to which everything that a peer has confirmed to users is known here.
    pub fn complete_as_of(&self, name: &str) -> Option<Instant> {
        self.by_peer.get(name).map(|index| index.requested_at)
    }

    /// The revision up to which all cancellations are known, either read here or received from a
    /// peer.
    pub fn known_up_to(&self, read_revision: u64) -> u64 {
        self.by_peer.values().map(|index| index.revision).fold(read_revision, u64::max)
    }

    /// Stores a peer's read index, unless a later one of the same incarnation is known. One of
    /// another incarnation is always replaced, because its answers no longer show what the peer
    /// knows.
    pub fn update(&mut self, name: &str, index: PeerReadIndex) {
        let entry = self.by_peer.entry(name.to_owned()).or_insert(index);
        if entry.incarnation != index.incarnation || index.requested_at >= entry.requested_at {
            *entry = index;
        }
    }
}
