//! Which limits of the state service to plan with: those it has, or those it will
//! have from some moment without notice.

use crate::settings::State;

/// What is known of the change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Seen {
    /// No controller comes back old: records may be chunked, and the limits may
    /// change from now on.
    pub all_new: bool,
    /// The state service refused what the present limits allow, which it only does
    /// after the change, and that comes after the upgrade.
    pub fallen: bool,
    /// It takes fewer requests or changes a second.
    pub slow: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Plan {
    pub rps: f64,
    pub write_rps: f64,
    /// Most bytes of a value, written as JSON.
    pub value_bytes: f64,
    /// Most changes of a transaction.
    pub txn_ops: usize,
    /// What the records of jobs should fit into, by what is placed at a time: even the
    /// old form may be smaller than it has to be.
    pub place_bytes: f64,
    /// Whether records that are larger may be written in parts.
    pub chunked: bool,
}

pub fn plan(state: &State, seen: Seen) -> Plan {
    let next = state.next.clone().unwrap_or_default();
    let least = |now: f64, next: Option<f64>| next.map_or(now, |n| n.min(now));
    let smaller = seen.all_new || seen.fallen;
    let value = least(state.value_kb, next.value_kb) * 1024.0;
    let ops = next.txn_ops.map_or(state.txn_ops, |n| n.min(state.txn_ops));
    Plan {
        rps: if seen.slow { least(state.rps, next.rps) } else { state.rps },
        write_rps: if seen.slow { least(state.write_rps, next.write_rps) } else { state.write_rps },
        value_bytes: if smaller { value } else { state.value_kb * 1024.0 },
        txn_ops: if smaller { ops } else { state.txn_ops },
        place_bytes: value,
        chunked: smaller,
    }
}

#[cfg(test)]
#[path = "../tests/unit/limits.rs"]
mod tests;
