//! The latest epoch that a worker or a peer has shown, and whether it supersedes this controller.

use std::time::Instant;

/// The latest epoch of a cluster map that this controller was shown: by the fencing token of a
/// worker, or by a message of a peer.
///
/// Tokens are issued only under a cluster map that has been committed. An epoch that is later than
/// that of the known cluster map thus means that the known one is outdated. A linearizable read that
/// began afterwards and still returns the known map disproves it, so that a worker with a corrupted
/// token does not stop a controller.
#[derive(Debug, Default)]
pub struct ShownEpoch {
    epoch: u64,
    /// When the epoch was first shown.
    shown_at: Option<Instant>,
}

impl ShownEpoch {
    /// Notes an epoch that was shown. `known`: the epoch of the known cluster map; `fresh_at`: when
    /// the last linearizable read began. Returns whether the epoch supersedes the known one and was
    /// not noted before.
    pub fn note(&mut self, epoch: u64, known: u64, fresh_at: Option<Instant>, now: Instant) -> bool {
        if epoch <= known || epoch == self.epoch {
            return false;
        }
        if epoch < self.epoch && !self.is_disproved(fresh_at) {
            return false;
        }
        *self = Self { epoch, shown_at: Some(now) };
        true
    }

    /// Whether the shown epoch is later than that of the known cluster map and is not disproved.
    pub fn supersedes(&self, known: u64, fresh_at: Option<Instant>) -> bool {
        self.epoch > known && !self.is_disproved(fresh_at)
    }

    /// Whether a linearizable read has begun since the epoch was shown. Unless the cluster map is
    /// as late as the epoch by now, there is no such epoch.
    fn is_disproved(&self, fresh_at: Option<Instant>) -> bool {
        fresh_at.zip(self.shown_at).is_some_and(|(fresh_at, shown_at)| fresh_at > shown_at)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/shown_epoch.rs"]
mod tests;
