//! Linearizable reads: whoever needs them waits until the copy of the records is known to hold
//! every change that was committed before the request.
//!
//! [`crate::freshness_checks`] answers the requests: one check at a time serves all who wait when
//! it begins.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::timeout;

/// How long a caller waits for the outcome of a check, at most.
const WAIT_TIMEOUT: Duration = Duration::from_millis(1600);

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

    /// Waits until somebody asks, at most for so long.
    pub async fn requested(&self, limit: Duration) {
        let _ = timeout(limit, self.wake.notified()).await;
    }

    /// The number of the newest request.
    pub fn newest_request(&self) -> u64 {
        self.requested.load(Ordering::Relaxed)
    }

    /// Grants all requests up to this one.
    pub fn grant(&self, up_to: u64) {
        self.outcome.send_modify(|o| o.granted = up_to);
    }

    /// Refuses all requests up to this one that are not granted.
    pub fn refuse(&self, up_to: u64) {
        self.outcome.send_modify(|o| o.refused = up_to);
    }
}
