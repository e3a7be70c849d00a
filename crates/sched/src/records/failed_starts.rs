//! Failed starts of a job: how they are counted, and how long the next start is delayed.

use super::JobRecord;

/// The number of consecutive failed starts after which the next attempt is not yet delayed.
const FAILED_STARTS_WITHOUT_BACKOFF: u32 = 2;
/// The first retry delay; it doubles with each further failed start.
const FIRST_RETRY_BACKOFF_MS: u64 = 1000;
/// The most times that the delay doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// The longest retry delay.
const MAX_RETRY_BACKOFF_MS: u64 = FIRST_RETRY_BACKOFF_MS << MAX_BACKOFF_DOUBLINGS;
/// How long a job with tasks on machines has to go without a failed start for its earlier ones to
/// count no longer. Longer than the longest delay: a task that fails at each retry must not look
/// like one that runs.
const RECOVERY_MS: u64 = 2 * MAX_RETRY_BACKOFF_MS;

impl JobRecord {
    /// The time of day, in Unix milliseconds, from which a job whose starts keep failing may be
    /// retried. A job that was submitted with a mistake fails on every machine and must not keep
    /// machines busy.
    pub fn retry_at_ms(&self) -> u64 {
        let failures_with_backoff = self.failed_starts.saturating_sub(FAILED_STARTS_WITHOUT_BACKOFF);
        let backoff_ms = match failures_with_backoff {
            0 => 0,
            n => FIRST_RETRY_BACKOFF_MS << (n - 1).min(MAX_BACKOFF_DOUBLINGS),
        };
        self.last_failure_ms + backoff_ms
    }

    /// The number of consecutive failed starts as of now; 0 if tasks have been on machines for long
    /// enough since the last one.
    pub fn consecutive_failed_starts(&self, now_ms: u64) -> u32 {
        let has_recovered =
            !self.assignments.is_empty() && now_ms.saturating_sub(self.last_failure_ms) >= RECOVERY_MS;
        if has_recovered { 0 } else { self.failed_starts }
    }

    /// Whether the job's starts keep failing: the first one after a retry delay has failed, too.
    pub fn keeps_failing(&self, now_ms: u64) -> bool {
        self.consecutive_failed_starts(now_ms) > FAILED_STARTS_WITHOUT_BACKOFF + 1
    }

    /// Counts a failed start. A machine may fail any number of tasks at a time: a task that fails
    /// while the next start is delayed was started before the failures that delay it, and neither
    /// counts nor prolongs the delay.
    pub(super) fn record_failed_start(&mut self, now_ms: u64) {
        if now_ms < self.retry_at_ms() {
            return;
        }
        self.failed_starts = self.failed_starts.saturating_add(1);
        self.last_failure_ms = now_ms;
    }
}
