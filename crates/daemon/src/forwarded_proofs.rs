//! Termination proofs that peers forward to the controller that schedules the jobs.

use std::time::Instant;

use peer::TerminationProof;

use crate::controller::Controller;

impl Controller {
    /// Keeps proofs that a peer has made under the cluster map of `epoch` until the scheduling
    /// loop has written them to the jobs' records.
    pub fn accept_forwarded_proofs(&self, epoch: u64, proofs: Vec<TerminationProof>, now: Instant) {
        let mut state = self.state();
        state.note_shown_epoch("a peer's termination proofs", epoch, now);
        state.proofs.insert_forwarded(epoch, proofs, now);
        drop(state);
        self.wake_scheduler.notify_one();
    }
}
