//! Which limits of the state service to plan with: those it has, or those it will
//! have from some moment without notice.

use crate::settings::State;

/// What is known of the change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Seen {
    /// No controller comes back old: records may have the new form, and the limits may
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
    pub wide: bool,
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
        wide: smaller,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::NextState;

    #[test]
    fn both_limits_are_kept_from_when_all_are_new() {
        let next = NextState { rps: None, write_rps: Some(21.0), value_kb: Some(2.0), txn_ops: Some(5) };
        let mut state =
            State { rps: 80.0, write_rps: 30.0, value_kb: 8.0, txn_ops: 16, next: Some(next.clone()) };
        let of = |state: &State, all_new, fallen, slow| {
            let p = plan(state, Seen { all_new, fallen, slow });
            (p.write_rps, p.value_bytes, p.txn_ops, p.place_bytes, p.wide)
        };
        assert_eq!(of(&state, false, false, false), (30.0, 8192.0, 16, 2048.0, false));
        assert_eq!(of(&state, true, false, false), (30.0, 2048.0, 5, 2048.0, true));
        assert_eq!(of(&state, false, true, false), (30.0, 2048.0, 5, 2048.0, true));
        assert_eq!(of(&state, true, false, true), (21.0, 2048.0, 5, 2048.0, true));
        // Larger limits to come are not there yet.
        state.next = Some(NextState { value_kb: Some(64.0), txn_ops: Some(99), ..next });
        assert_eq!(of(&state, true, false, true), (21.0, 8192.0, 16, 8192.0, true));
        state.next = None;
        assert_eq!(of(&state, true, true, true), (30.0, 8192.0, 16, 8192.0, true));
    }
}
