//! Linearizable reads: whoever needs them waits until the copy of the records is known to hold
//! every change that was committed before the request.
//!
//! One check at a time asks the key-value store for all changes up to now, and serves all who
//! wait when it begins. It is also made once a second by itself.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rmpv::Value;
use store::StoreError;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};
use wire::Changes;

use crate::change_feed::apply_changes;
use crate::clock;
use crate::controller::Controller;

/// How long those who wait for a check are kept waiting, at most.
const CHECK_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a caller waits for the outcome of a check, at most.
const WAIT_TIMEOUT: Duration = Duration::from_millis(1600);
/// How often a check is made without being asked for.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause before the key-value store is asked again after an error.
const RETRY_BACKOFF: Duration = Duration::from_millis(250);

/// The newest requests that checks have answered.
#[derive(Debug, Clone, Copy, Default)]
struct Outcome {
    /// All requests up to this one were granted: the copy of the records was complete.
    granted: u64,
    /// All requests up to this one were refused, unless they were granted.
    refused: u64,
}

/// Requests for linearizable reads, numbered in the order in which they are made.
#[derive(Debug)]
pub struct ReadBarrier {
    requested: AtomicU64,
    wake: Notify,
    outcome: watch::Sender<Outcome>,
}

impl Default for ReadBarrier {
    fn default() -> Self {
        Self {
            requested: AtomicU64::new(0),
            wake: Notify::new(),
            outcome: watch::Sender::new(Outcome::default()),
        }
    }
}

impl ReadBarrier {
    /// Waits for a check, begun after this call, that the copy of the records is complete.
    /// Returns whether it is; `false` if the key-value store refused or took too long: whoever
    /// asks is better off told than kept waiting.
    pub async fn wait(&self) -> bool {
        let request = self.requested.fetch_add(1, Ordering::Relaxed) + 1;
        self.wake.notify_one();
        let mut outcome = self.outcome.subscribe();
        let answered = outcome.wait_for(|o| o.granted >= request || o.refused >= request);
        match timeout(WAIT_TIMEOUT, answered).await {
            Ok(Ok(outcome)) => outcome.granted >= request,
            _ => false,
        }
    }

    /// Grants all requests that have been made, without a check.
    #[cfg(feature = "bench")]
    pub(crate) fn grant_all(&self) {
        self.grant(self.newest_request());
    }

    fn newest_request(&self) -> u64 {
        self.requested.load(Ordering::Relaxed)
    }

    fn grant(&self, up_to: u64) {
        self.outcome.send_modify(|o| o.granted = up_to);
    }

    fn refuse(&self, up_to: u64) {
        self.outcome.send_modify(|o| o.refused = up_to);
    }
}

/// Answers requests for linearizable reads until the controller stops.
pub async fn serve_read_barrier(controller: Arc<Controller>) {
    let mut failing = false;
    loop {
        let _ = timeout(CHECK_INTERVAL, controller.read_barrier.wake.notified()).await;
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
                // Its rate limit is no sign of failure: the next check is soon.
                failing = !matches!(error, StoreError::RateLimited);
                controller.read_barrier.refuse(request);
                sleep(RETRY_BACKOFF).await;
            }
        }
    }
}

/// Asks for all changes after a revision. A request that takes too long is refused, but its
/// answer is still waited for: it shows that this controller is entitled to act. Were it asked
/// anew instead, a key-value store that takes two seconds would cost the leases of all workers.
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
