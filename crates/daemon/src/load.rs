//! Counters of a controller's own work.

use std::sync::atomic::{AtomicU64, Ordering};

/// Most names in one log line; hundreds of names would make it unreadable.
const MAX_SAMPLE_NAMES: usize = 5;

/// The purpose of changes that are written to the key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Transactions of the scheduling loop.
    Scheduling,
    /// Submissions and cancellations.
    Users,
    /// Membership and leadership.
    Members,
    /// Records of new machines.
    Machines,
    /// Scale-outs and scale-ins.
    Autoscaler,
    /// Chunks of records that are larger than a value.
    Chunks,
    /// Graceful evictions.
    Drains,
}

/// All purposes, in the order in which they are logged, with their names in the log.
const PURPOSES: [(Purpose, &str); 7] = [
    (Purpose::Scheduling, "scheduling"),
    (Purpose::Users, "users"),
    (Purpose::Members, "members"),
    (Purpose::Machines, "machines"),
    (Purpose::Autoscaler, "autoscaler"),
    (Purpose::Chunks, "chunks"),
    (Purpose::Drains, "drains"),
];

/// The HTTP statuses of refusals that clients do not repeat, in the order in which they are logged.
const FINAL_REFUSALS: [u16; 3] = [400, 404, 422];
/// How many refusals of each status are logged, one line each, until the counters are reset.
const MAX_LOGGED_REFUSALS: u64 = 10;

/// Counters. They are reset when they are logged, unless noted otherwise.
#[derive(Debug, Default)]
pub struct LoadCounters {
    changes: [AtomicU64; PURPOSES.len()],
    refusals: [AtomicU64; FINAL_REFUSALS.len()],
    /// Scheduling transactions that conflicted with newer records.
    pub conflicts: AtomicU64,
    /// Scheduling cycles.
    pub cycles: AtomicU64,
    /// Processor time of scheduling cycles, in microseconds.
    pub cycle_us: AtomicU64,
    /// Heartbeats of workers.
    pub heartbeats: AtomicU64,
    /// Statuses sent to peers, since the process started.
    pub peer_statuses: AtomicU64,
    /// Heartbeats that were redirected or answered without renewing a lease.
    pub heartbeats_not_renewed: AtomicU64,
}

impl LoadCounters {
    /// Counts changes that are sent to the key-value store.
    pub fn count_changes(&self, purpose: Purpose, changes: usize) {
        if let Some(index) = PURPOSES.iter().position(|(known, _)| *known == purpose) {
            self.changes[index].fetch_add(changes as u64, Ordering::Relaxed);
        }
    }

    /// Counts a refusal that its client does not repeat. Returns whether to log it; `false` for every
    /// other status.
    pub fn count_refusal(&self, status: u16) -> bool {
        let index = FINAL_REFUSALS.iter().position(|known| *known == status);
        index.is_some_and(|index| self.refusals[index].fetch_add(1, Ordering::Relaxed) < MAX_LOGGED_REFUSALS)
    }

    /// Returns the final refusals by status since the last call, as text.
    pub fn take_refusals(&self) -> String {
        let counted = FINAL_REFUSALS.iter().zip(&self.refusals);
        let texts = counted.map(|(status, count)| format!("{status}: {}", take(count)));
        texts.collect::<Vec<_>>().join(", ")
    }

    /// Adds to a counter.
    pub fn add(counter: &AtomicU64, n: u64) {
        counter.fetch_add(n, Ordering::Relaxed);
    }

    /// Returns the changes by purpose since the last call, as text.
    pub fn take_changes(&self) -> String {
        let counted = PURPOSES.iter().zip(&self.changes);
        let texts = counted.map(|((_, name), count)| format!("{name} {}", take(count)));
        texts.collect::<Vec<_>>().join(", ")
    }
}

/// Reads a counter and sets it back to 0.
pub fn take(counter: &AtomicU64) -> u64 {
    counter.swap(0, Ordering::Relaxed)
}

/// Joins the first few names to text for one log line.
pub fn sample_names<T: AsRef<str>>(names: &[T]) -> String {
    let sample: Vec<&str> = names.iter().take(MAX_SAMPLE_NAMES).map(AsRef::as_ref).collect();
    sample.join(" ") + if names.len() > sample.len() { " …" } else { "" }
}

#[cfg(test)]
#[path = "../tests/unit/load.rs"]
mod tests;
