//! Which limits of the state service to plan with: those it has, or those it will
//! have from some moment without notice.

use crate::settings::State;

/// What is known of the change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LimitChanges {
    /// No controller comes back old: records may be chunked, and the limits may
    /// change from now on.
    pub all_upgraded: bool,
    /// The state service refused what the present limits allow, which it only does
    /// after the change, and that comes after the upgrade.
    pub sizes_reduced: bool,
    /// It takes fewer requests or changes a second.
    pub rates_reduced: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    /// Most bytes of a value, written as JSON.
    pub value_bytes: f64,
    /// Most changes of a transaction.
    pub txn_ops: usize,
    /// What the records of jobs should fit into, by what is placed at a time: even the
    /// old form may be smaller than it has to be.
    pub assignment_record_bytes: f64,
    /// Whether records that are larger may be written in parts.
    pub chunked: bool,
}

pub fn effective_limits(state: &State, changes: LimitChanges) -> StateLimits {
    let next = state.next.clone().unwrap_or_default();
    let least = |now: f64, next: Option<f64>| next.map_or(now, |n| n.min(now));
    let smaller = changes.all_upgraded || changes.sizes_reduced;
    let value = least(state.value_kb, next.value_kb) * 1024.0;
    let ops = next.txn_ops.map_or(state.txn_ops, |n| n.min(state.txn_ops));
    StateLimits {
        rps: if changes.rates_reduced { least(state.rps, next.rps) } else { state.rps },
        write_rps: if changes.rates_reduced {
            least(state.write_rps, next.write_rps)
        } else {
            state.write_rps
        },
        value_bytes: if smaller { value } else { state.value_kb * 1024.0 },
        txn_ops: if smaller { ops } else { state.txn_ops },
        assignment_record_bytes: value,
        chunked: smaller,
    }
}

#[cfg(test)]
#[path = "../tests/unit/limits.rs"]
mod tests;
