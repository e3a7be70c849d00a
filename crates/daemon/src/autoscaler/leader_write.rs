//! Transactions that only the leader may commit.

use std::time::Duration;

use store::{KeyWrite, TxnOutcome, key};
use tokio::time::sleep;
use tracing::debug;
use wire::Condition;

use crate::clock;
use crate::controller::Controller;
use crate::load::Purpose;

/// How long is waited for the replica to contain what was committed.
const REPLICA_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after a transaction that was refused, or whose outcome is unknown.
const WRITE_BACKOFF: Duration = Duration::from_millis(200);

/// Commits a transaction as the leader: on the condition also that the cluster map is the one by
/// which this controller is the leader. Returns whether it was committed and the replica contains
/// it.
pub async fn write_as_leader(
    controller: &Controller,
    mut conditions: Vec<Condition>,
    writes: Vec<KeyWrite>,
) -> bool {
    let Some(map_condition) = leadership_condition(controller) else { return false };
    conditions.push(map_condition);
    // Machines take long to boot: a request for some does not wait behind scheduling cycles that
    // have overdrawn the rate limit.
    controller.state().writes.limiter.acquire(writes.len() as f64, 0.0, clock::now());
    controller.load.count_changes(Purpose::Autoscaler, writes.len());
    match controller.commit(conditions, writes).await {
        Ok(TxnOutcome::Committed { revision }) => {
            controller.wait_for_revision(revision, REPLICA_TIMEOUT).await
        }
        Ok(TxnOutcome::Conflict { revision, .. }) => {
            controller.wait_for_revision(revision, REPLICA_TIMEOUT).await;
            false
        }
        Err(error) => {
            debug!(%error, "autoscaler transaction not committed");
            controller.note_refusal(&error);
            sleep(WRITE_BACKOFF).await;
            false
        }
    }
}

/// That the cluster map has not changed; `None` if this controller is not the leader by it.
fn leadership_condition(controller: &Controller) -> Option<Condition> {
    let state = controller.state();
    let cluster_map = state.records.replica.cluster_map.as_ref();
    let cluster_map = cluster_map.filter(|_| state.is_leader(&controller.identity))?;
    Some(Condition { key: key::MAP.into(), version: cluster_map.version })
}
