//! Which limits of the key-value store to plan with: those it has, or those it will have from
//! some moment without notice.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use crate::settings::StoreSettings;

/// What a job's record takes beside its lists, in bytes: the description and its fields.
const RECORD_BYTES_BESIDE_LISTS: f64 = 750.0;
/// Least bytes that the lists of a job's record may take.
const MIN_LIST_BYTES: f64 = 512.0;
/// The part of the lists that assignments may take. Each takes at most three characters for its
/// task; its machine takes up to six, which others share.
const ASSIGNMENTS_PART: f64 = 0.55;
const BYTES_PER_ASSIGNMENT: f64 = 3.0;
/// The part of the lists that the bitmap of tasks that are done may take, and how many tasks a
/// character of it holds.
const DONE_PART: f64 = 0.22;
const DONE_TASKS_PER_CHARACTER: f64 = 6.0;
/// The part of a value that a job's description may take.
const DESCRIPTION_PART: f64 = 0.3;
/// A description of so many bytes is taken whatever the limits are.
const MIN_DESCRIPTION_BYTES: f64 = 2048.0;
/// Bytes of a KiB.
const KIB: f64 = 1024.0;

/// What is known of a change of the limits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LimitChanges {
    /// No controller comes back old: records may be chunked, and the limits may change from now
    /// on.
    pub all_upgraded: bool,
    /// The key-value store refused sizes that the present limits allow, which it only does after
    /// the change, and that comes after the upgrade.
    pub sizes_reduced: bool,
    /// It takes fewer requests or changes a second.
    pub rates_reduced: bool,
}

/// What is known of a change of the limits, shared by the tasks of a controller.
#[derive(Debug, Default)]
pub struct LimitChangeFlags {
    /// See [`LimitChanges::all_upgraded`].
    pub all_upgraded: AtomicBool,
    /// See [`LimitChanges::sizes_reduced`].
    pub sizes_reduced: AtomicBool,
    /// See [`LimitChanges::rates_reduced`].
    pub rates_reduced: AtomicBool,
    /// How many controllers chunked records wait for, as last logged.
    logged_missing: AtomicUsize,
}

impl LimitChangeFlags {
    /// Whether another number of controllers is missing than when this was last asked.
    pub fn missing_has_changed(&self, missing: usize) -> bool {
        self.logged_missing.swap(missing, Ordering::Relaxed) != missing
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

/// The limits of the key-value store to plan with.
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
    /// What the records of jobs should fit into, by what is placed at a time: even the old form
    /// may be smaller than it has to be.
    pub assignment_record_bytes: f64,
    /// Whether records that are larger may be written in chunks.
    pub chunked: bool,
}

impl StateLimits {
    /// What a job's record has for its assignments and for what is done, in bytes.
    fn list_bytes(&self) -> f64 {
        (self.assignment_record_bytes - RECORD_BYTES_BESIDE_LISTS).max(MIN_LIST_BYTES)
    }

    /// Most assignments that one job's record holds within a value's size.
    pub fn max_assignments_per_record(&self) -> usize {
        (self.list_bytes() * ASSIGNMENTS_PART / BYTES_PER_ASSIGNMENT) as usize
    }

    /// How far beyond the first unfinished task an array's others may start.
    pub fn task_window(&self) -> u32 {
        (self.list_bytes() * DONE_PART * DONE_TASKS_PER_CHARACTER) as u32
    }
}

/// The limits by the settings and by what is known of their change.
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

/// Most bytes of a job's description: what the present limits take, also after they have become
/// smaller.
pub fn max_description_bytes(state: &StoreSettings) -> usize {
    (state.value_kb * KIB * DESCRIPTION_PART).max(MIN_DESCRIPTION_BYTES) as usize
}

#[cfg(test)]
#[path = "../tests/unit/limits.rs"]
mod tests;
