use super::*;
use crate::settings::NextStoreSettings;

#[test]
fn smaller_next_limits_apply_when_all_controllers_are_upgraded() {
    let next = NextStoreSettings { rps: None, write_rps: Some(21.0), value_kb: Some(2.0), txn_ops: Some(5) };
    let mut state =
        StoreSettings { rps: 80.0, write_rps: 30.0, value_kb: 8.0, txn_ops: 16, next: Some(next.clone()) };
    let limits_of = |state: &StoreSettings, all_upgraded, sizes_reduced, rates_reduced| {
        let limits = effective_limits(state, LimitChanges { all_upgraded, sizes_reduced, rates_reduced });
        (limits.write_rps, limits.value_bytes, limits.txn_ops, limits.assignment_record_bytes, limits.chunked)
    };
    assert_eq!(limits_of(&state, false, false, false), (30.0, 8192.0, 16, 2048.0, false));
    assert_eq!(limits_of(&state, true, false, false), (30.0, 2048.0, 5, 2048.0, true));
    assert_eq!(limits_of(&state, false, true, false), (30.0, 2048.0, 5, 2048.0, true));
    assert_eq!(limits_of(&state, true, false, true), (21.0, 2048.0, 5, 2048.0, true));
    // Next limits that are larger than the present ones do not apply.
    state.next = Some(NextStoreSettings { value_kb: Some(64.0), txn_ops: Some(99), ..next });
    assert_eq!(limits_of(&state, true, false, true), (21.0, 8192.0, 16, 8192.0, true));
    state.next = None;
    assert_eq!(limits_of(&state, true, true, true), (30.0, 8192.0, 16, 8192.0, true));
}
