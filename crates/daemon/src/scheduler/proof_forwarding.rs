//! Forwards termination proofs to the controllers that schedule the jobs.

use std::sync::Arc;

use peer::TerminationProof;

use crate::clock;
use crate::controller::Controller;
use crate::peer_client;

/// Maximum number of proofs per message. It keeps messages far below the size limit of peers, even
/// if many tasks are lost at once.
const MAX_PROOFS_PER_MESSAGE: usize = 2048;

/// Sends proofs to the controller `scheduler` in a separate async task.
pub(super) fn forward_proofs(controller: &Arc<Controller>, scheduler: String, proofs: Vec<TerminationProof>) {
    let Some(epoch) = controller.state().cluster_map().map(|map| map.epoch) else { return };
    let controller = controller.clone();
    let task_tracker = controller.task_tracker.clone();
    task_tracker.spawn(async move {
        for chunk in proofs.chunks(MAX_PROOFS_PER_MESSAGE) {
            if !peer_client::forward_termination_proofs(&controller, &scheduler, epoch, chunk.to_vec()).await
            {
                // During the back-off, this controller writes the proofs itself.
                controller.state().peers.note_unreachable(scheduler, clock::now());
                controller.wake_scheduler.notify_one();
                return;
            }
        }
    });
}
