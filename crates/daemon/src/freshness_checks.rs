//! Checks that the copy of the records is complete, for callers that wait at the read barrier.
//!
//! A check requests all changes up to now from the key-value store, and thereby also brings the
//! copy up to date. A check is made on each request, and once a second without one.

use std::sync::Arc;
use std::time::Duration;

use rmpv::Value;
use store::StoreError;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};
use wire::Changes;

use crate::change_feed::apply_changes;
use crate::clock;
use crate::controller::Controller;

/// How long callers wait for a check, at most.
const CHECK_TIMEOUT: Duration = Duration::from_millis(1500);
/// How often a check is made without a request.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause before the next request after an error of the key-value store.
const RETRY_BACKOFF: Duration = Duration::from_millis(250);

/// Answers requests for linearizable reads until the controller stops.
pub async fn run_freshness_checks(controller: Arc<Controller>) {
    let mut failing = false;
    loop {
        controller.read_barrier.wait_for_request(CHECK_INTERVAL).await;
        let (request, is_loaded, revision) = {
            let state = controller.state();
            let records = &state.records;
            (controller.read_barrier.newest_request(), records.is_loaded, records.replica.revision)
        };
        if !is_loaded {
            controller.read_barrier.refuse(request);
            sleep(RETRY_BACKOFF).await;
            continue;
        }
        let sent_at = clock::now();
        match check(&controller, request, revision).await {
            Ok(changes) => {
                if failing {
                    info!("key-value store reachable again");
                }
                failing = false;
                apply_changes(&controller, changes);
                controller.state().records.fresh_at = Some(sent_at);
                controller.read_barrier.grant(request);
                sleep(controller.watch_interval()).await;
            }
            Err(error) => {
                if !failing {
                    warn!(%error, "key-value store unreachable");
                }
                // A refusal by the rate limit is not an outage: the next check follows soon.
                failing = !matches!(error, StoreError::RateLimited);
                controller.read_barrier.refuse(request);
                sleep(RETRY_BACKOFF).await;
            }
        }
    }
}

/// Requests all changes after a revision. If the answer takes too long, the waiting callers are
/// refused, but the answer is still awaited: it shows that this controller is entitled to act. If
/// a new request were sent instead, a key-value store that takes two seconds to answer would cost
/// the leases of all workers.
async fn check(controller: &Controller, request: u64, revision: u64) -> Result<Changes<Value>, StoreError> {
    let answer = controller.kv_client.watch(revision, Duration::ZERO);
    tokio::pin!(answer);
    match timeout(CHECK_TIMEOUT, &mut answer).await {
        Ok(result) => result,
        Err(_) => {
            controller.read_barrier.refuse(request);
            answer.await
        }
    }
}
