//! Linearizable reads: a caller waits until the copy of the records is known to hold every change
//! that was committed before its request.
//!
//! [`crate::freshness_checks`] answers the requests: one check at a time answers all requests that
//! are waiting when it begins.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

use crate::watched_value::WatchedValue;

/// How long a caller waits for the outcome of a check, at most.
const WAIT_TIMEOUT: Duration = Duration::from_millis(1600);

/// The numbers of the newest requests that have been granted and refused.
#[derive(Debug, Clone, Copy, Default)]
struct AnsweredUpTo {
    /// All requests up to this one were granted: the copy of the records was complete.
    granted: u64,
    /// All requests up to this one were refused, unless they were granted.
    refused: u64,
}

/// Requests for linearizable reads, numbered in the order in which they are made.
#[derive(Debug, Default)]
pub struct ReadBarrier {
    newest: AtomicU64,
    wake: Notify,
    answered_up_to: WatchedValue<AnsweredUpTo>,
}

impl ReadBarrier {
    /// Waits for a check, begun after this call, that the copy of the records is complete. Returns
    /// `false` if the key-value store refused the check or took too long, because an error serves
    /// the caller better than a longer wait.
    pub async fn wait(&self) -> bool {
        let request = self.newest.fetch_add(1, Ordering::Relaxed) + 1;
        self.wake.notify_one();
        let is_answered = |up_to: &AnsweredUpTo| up_to.granted >= request || up_to.refused >= request;
        let answer = timeout(WAIT_TIMEOUT, self.answered_up_to.wait_for(is_answered)).await;
        answer.is_ok_and(|up_to| up_to.granted >= request)
    }

    /// Grants all requests that have been made, without a check.
    #[cfg(feature = "bench")]
    pub(crate) fn grant_all(&self) {
        self.grant(self.newest_request());
    }

    /// Waits for a request, at most for `limit`.
    pub async fn wait_for_request(&self, limit: Duration) {
        let _ = timeout(limit, self.wake.notified()).await;
    }

    /// The number of the newest request.
    pub fn newest_request(&self) -> u64 {
        self.newest.load(Ordering::Relaxed)
    }

    /// Grants all requests up to this one.
    pub fn grant(&self, up_to: u64) {
        self.answered_up_to.modify(|answered| answered.granted = up_to);
    }

    /// Refuses all requests up to this one that are not granted.
    pub fn refuse(&self, up_to: u64) {
        self.answered_up_to.modify(|answered| answered.refused = up_to);
    }
}
