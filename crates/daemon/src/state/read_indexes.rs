//! What peers have confirmed to users while the key-value store cannot be asked.

use std::collections::HashMap;
use std::time::Instant;

/// How many incarnations of a controller are remembered.
const MAX_INCARNATIONS: usize = 16;

/// A peer's read index that was taken in entirely.
#[derive(Debug, Clone, Copy)]
pub struct PeerReadIndex {
    /// The peer's incarnation.
    pub incarnation: u64,
    /// All that the peer knew up to this revision has been taken in.
    pub revision: u64,
    /// When the peer was asked: all that it had confirmed by then is known here.
    pub asked_at: Instant,
}

/// The read indexes of peers, and when their incarnations were first heard from.
#[derive(Debug, Default)]
pub struct ReadIndexes {
    by_peer: HashMap<String, PeerReadIndex>,
    /// When each incarnation of each controller was first heard from, the oldest first.
    first_heard_at: HashMap<String, Vec<(u64, Instant)>>,
}

impl ReadIndexes {
    /// Notes that an incarnation of a controller has been heard from.
    pub fn note_heard(&mut self, name: &str, incarnation: u64, now: Instant) {
        let incarnations = self.first_heard_at.entry(name.to_owned()).or_default();
        if incarnations.iter().all(|(known, _)| *known != incarnation) {
            // The oldest may be forgotten: its read indexes then count for less.
            if incarnations.len() >= MAX_INCARNATIONS {
                incarnations.remove(0);
            }
            incarnations.push((incarnation, now));
        }
    }

    /// When an incarnation of a controller was first heard from.
    pub fn first_heard_at(&self, name: &str, incarnation: u64) -> Option<Instant> {
        let incarnations = self.first_heard_at.get(name)?;
        incarnations.iter().find(|(known, _)| *known == incarnation).map(|(_, at)| *at)
    }

    /// Up to when all that a peer has confirmed to users is known here.
    pub fn vouched_at(&self, name: &str) -> Option<Instant> {
        self.by_peer.get(name).map(|index| index.asked_at)
    }

    /// Up to which revision all cancellations are known, read here or taken in from a peer.
    pub fn known_up_to(&self, read_revision: u64) -> u64 {
        self.by_peer.values().map(|index| index.revision).fold(read_revision, u64::max)
    }

    /// Keeps a peer's read index, unless a later one of the same incarnation is known: on the
    /// answers of an earlier incarnation nothing can be built.
    pub fn update(&mut self, name: &str, index: PeerReadIndex) {
        let entry = self.by_peer.entry(name.to_owned()).or_insert(index);
        if entry.incarnation != index.incarnation || index.asked_at >= entry.asked_at {
            *entry = index;
        }
    }
}
