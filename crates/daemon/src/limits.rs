//! The limits of the key-value store to plan with: the present ones, or the smaller of the present
//! and the next ones, which come into force at some moment without notice.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use crate::settings::StoreSettings;

/// Bytes of a job's record besides its two lists, the assignments and the finished tasks: the
/// description and the fields.
const RECORD_BYTES_OUTSIDE_LISTS: f64 = 750.0;
/// Least bytes that the two lists of a job's record may take together.
const MIN_LIST_BYTES: f64 = 512.0;
/// Fraction of the list bytes that assignments may take.
const ASSIGNMENTS_FRACTION: f64 = 0.55;
/// Bytes of an assignment: at most three characters for its task. Its machine takes up to six
/// characters, which other assignments share.
const BYTES_PER_ASSIGNMENT: f64 = 3.0;
/// Fraction of the list bytes that the bitmap of finished tasks may take.
const DONE_TASKS_FRACTION: f64 = 0.22;
/// Number of tasks that one character of this bitmap holds.
const DONE_TASKS_PER_CHARACTER: f64 = 6.0;
/// Fraction of a value that a job's description may take.
const DESCRIPTION_FRACTION: f64 = 0.3;
/// A description up to this size is accepted whatever the limits are.
const MIN_DESCRIPTION_BYTES: f64 = 2048.0;
/// Bytes per KiB.
const KIB: f64 = 1024.0;

/// What is known about changes of the limits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LimitChanges {
    /// No controller will return to the old version: records may be chunked, and the limits may
    /// change from now on.
    pub all_upgraded: bool,
    /// The key-value store refused sizes that the present limits allow. It does so only after its
    /// limits have changed, and they change only after the upgrade.
    pub sizes_reduced: bool,
    /// The key-value store accepts fewer requests or changes a second than before.
    pub rates_reduced: bool,
}

/// What is known about changes of the limits, shared by the tasks of a controller.
#[derive(Debug, Default)]
pub struct LimitChangeFlags {
    /// See [`LimitChanges::all_upgraded`].
    pub all_upgraded: AtomicBool,
    /// See [`LimitChanges::sizes_reduced`].
    pub sizes_reduced: AtomicBool,
    /// See [`LimitChanges::rates_reduced`].
    pub rates_reduced: AtomicBool,
    /// How many controllers were not upgraded when that was last logged.
    logged_not_upgraded: AtomicUsize,
}

impl LimitChangeFlags {
    /// Stores how many controllers are not upgraded. Returns whether the number has changed since
    /// the last call.
    pub fn not_upgraded_count_has_changed(&self, count: usize) -> bool {
        self.logged_not_upgraded.swap(count, Ordering::Relaxed) != count
    }

    /// All flags as they are now.
    pub fn get(&self) -> LimitChanges {
        let load = |flag: &AtomicBool| flag.load(Ordering::Relaxed);
        LimitChanges {
            all_upgraded: load(&self.all_upgraded),
            sizes_reduced: load(&self.sizes_reduced),
            rates_reduced: load(&self.rates_reduced),
        }
    }
}

/// The limits of the key-value store to plan with. A size that may be reduced at any moment counts
/// as reduced already.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StateLimits {
    /// Requests a second, of all controllers together.
    pub rps: f64,
    /// Changes a second, of all controllers together.
    pub write_rps: f64,
    /// Most bytes of a value, written as JSON.
    pub value_bytes: f64,
    /// Most changes of a transaction.
    pub txn_ops: usize,
    /// Size that the assignments placed at a time should keep a job's record within. It is the
    /// smaller of the present and the next value size even before the change, when unchunked
    /// records could still be larger.
    pub assignment_record_bytes: f64,
    /// Whether larger records may be written in chunks.
    pub chunked: bool,
}

impl StateLimits {
    /// Bytes of a job's record for its assignments and its finished tasks.
    fn list_bytes(&self) -> f64 {
        (self.assignment_record_bytes - RECORD_BYTES_OUTSIDE_LISTS).max(MIN_LIST_BYTES)
    }

    /// Most assignments that one job's record holds within a value's size.
    pub fn max_assignments_per_record(&self) -> usize {
        (self.list_bytes() * ASSIGNMENTS_FRACTION / BYTES_PER_ASSIGNMENT) as usize
    }

    /// How far beyond an array's first unfinished task its other tasks may start.
    pub fn task_window(&self) -> u32 {
        (self.list_bytes() * DONE_TASKS_FRACTION * DONE_TASKS_PER_CHARACTER) as u32
    }
}

/// Computes the limits to plan with from the settings and from what is known about changes. Sizes
/// are the smaller ones as soon as they may change, rates only once they are known to be reduced.
pub fn effective_limits(state: &StoreSettings, changes: LimitChanges) -> StateLimits {
    let next = state.next.clone().unwrap_or_default();
    let smaller_of = |now: f64, next: Option<f64>| next.map_or(now, |next| next.min(now));
    let sizes_may_change = changes.all_upgraded || changes.sizes_reduced;
    let smallest_value = smaller_of(state.value_kb, next.value_kb) * KIB;
    let smallest_txn = next.txn_ops.map_or(state.txn_ops, |ops| ops.min(state.txn_ops));
    let rate = |now, next| if changes.rates_reduced { smaller_of(now, next) } else { now };
    StateLimits {
        rps: rate(state.rps, next.rps),
        write_rps: rate(state.write_rps, next.write_rps),
        value_bytes: if sizes_may_change { smallest_value } else { state.value_kb * KIB },
        txn_ops: if sizes_may_change { smallest_txn } else { state.txn_ops },
        assignment_record_bytes: smallest_value,
        chunked: sizes_may_change,
    }
}

/// Most bytes of a job's description. It stays the same after the limits of the key-value store
/// have become smaller.
pub fn max_description_bytes(state: &StoreSettings) -> usize {
    (state.value_kb * KIB * DESCRIPTION_FRACTION).max(MIN_DESCRIPTION_BYTES) as usize
}

#[cfg(test)]
#[path = "../tests/unit/limits.rs"]
mod tests;
