use super::*;
use crate::settings::NextStoreSettings;

#[test]
fn both_limits_are_kept_from_when_all_are_new() {
    let next = NextStoreSettings { rps: None, write_rps: Some(21.0), value_kb: Some(2.0), txn_ops: Some(5) };
    let mut state =
        StoreSettings { rps: 80.0, write_rps: 30.0, value_kb: 8.0, txn_ops: 16, next: Some(next.clone()) };
    let of = |state: &StoreSettings, all_upgraded, sizes_reduced, rates_reduced| {
        let p = effective_limits(state, LimitChanges { all_upgraded, sizes_reduced, rates_reduced });
        (p.write_rps, p.value_bytes, p.txn_ops, p.assignment_record_bytes, p.chunked)
    };
    assert_eq!(of(&state, false, false, false), (30.0, 8192.0, 16, 2048.0, false));
    assert_eq!(of(&state, true, false, false), (30.0, 2048.0, 5, 2048.0, true));
    assert_eq!(of(&state, false, true, false), (30.0, 2048.0, 5, 2048.0, true));
    assert_eq!(of(&state, true, false, true), (21.0, 2048.0, 5, 2048.0, true));
    // Larger limits to come are not there yet.
    state.next = Some(NextStoreSettings { value_kb: Some(64.0), txn_ops: Some(99), ..next });
    assert_eq!(of(&state, true, false, true), (21.0, 8192.0, 16, 8192.0, true));
    state.next = None;
    assert_eq!(of(&state, true, true, true), (30.0, 8192.0, 16, 8192.0, true));
}
