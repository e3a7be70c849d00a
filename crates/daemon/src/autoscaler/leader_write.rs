//! Transactions that only the leader may commit.

use std::time::Duration;

use store::{KeyWrite, TxnOutcome, key};
use tokio::time::sleep;
use tracing::debug;
use wire::Condition;

use crate::clock;
use crate::controller::Controller;
use crate::load::Purpose;

/// Maximum time to wait until the replica contains a committed transaction.
const REPLICA_CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a transaction that was refused or whose outcome is unknown.
const WRITE_BACKOFF: Duration = Duration::from_millis(200);

/// Commits a transaction on the additional condition that the cluster map still names this
/// controller as the leader. Returns whether it was committed and the replica contains it.
pub async fn write_as_leader(
    controller: &Controller,
    mut conditions: Vec<Condition>,
    writes: Vec<KeyWrite>,
) -> bool {
    let Some(leadership) = leadership_condition(controller) else { return false };
    conditions.push(leadership);
    // The writes count towards the rate limit but do not wait for it: machines take long to boot,
    // so a scale-out must not queue behind scheduling cycles that have overdrawn the limit.
    controller.state().writes.limiter.acquire(writes.len() as f64, 0.0, clock::now());
    controller.load.count_changes(Purpose::Autoscaler, writes.len());
    match controller.commit(conditions, writes).await {
        Ok(TxnOutcome::Committed { revision }) => {
            controller.wait_for_revision(revision, REPLICA_CATCH_UP_TIMEOUT).await
        }
        Ok(TxnOutcome::Conflict { revision, .. }) => {
            controller.wait_for_revision(revision, REPLICA_CATCH_UP_TIMEOUT).await;
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

/// The condition that the cluster map has not changed; `None` if this controller is not its leader.
fn leadership_condition(controller: &Controller) -> Option<Condition> {
    let state = controller.state();
    let cluster_map = state.records.replica.cluster_map.as_ref();
    let cluster_map = cluster_map.filter(|_| state.is_leader(&controller.identity))?;
    Some(Condition { key: key::MAP.into(), version: cluster_map.version })
}
