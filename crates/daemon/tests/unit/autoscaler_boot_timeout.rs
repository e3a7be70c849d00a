use std::time::Duration;

use sched::records::FleetRecord;
use sched::replica::RecordChange;

use super::*;

/// A leader's process is paused, or the key-value store refuses its requests alone, while machines
/// that it requested come up and get tasks from the next leader. In its stale replica these
/// machines never came up; it must not release them, because the cloud would accept its request.
#[test]
fn no_machine_is_overdue_when_the_replica_is_stale() {
    let controller = crate::scale::controller(4, 1);
    let now = Instant::now();
    let mut state = controller.state();
    let scale_out = ScaleOut {
        request: String::new(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        count: 1,
        requested_ms: 1000,
        machines: Some(vec!["host-000009".into()]),
    };
    let record = FleetRecord { scale_outs: vec![scale_out], removed_machines: None };
    state.records.replica.apply(RecordChange::Fleet(Some(record)), 1 << 40);
    let autoscaler = Autoscaler::default();
    let overdue_count = |state: &ControllerState, now: Instant, now_ms: u64| {
        autoscaler.overdue_machines(state, now, now_ms).len()
    };
    (state.records.fresh_at, state.pauses) = (Some(now), crate::state::PauseDetector::new(now));
    assert_eq!(overdue_count(&state, now, 60_000), 0, "the machine may still come up");
    assert_eq!(overdue_count(&state, now, 200_000), 1);
    let later = now + Duration::from_secs(5);
    assert_eq!(overdue_count(&state, later, 200_000), 0);
    state.records.fresh_at = Some(later);
    assert_eq!(overdue_count(&state, later, 200_000), 0, "the leader's process was paused");
    (state.records.fresh_at, state.pauses) = (Some(now), crate::state::PauseDetector::new(later));
    assert_eq!(overdue_count(&state, later, 200_000), 0, "the leader's replica is stale");
    state.records.fresh_at = Some(later);
    assert_eq!(overdue_count(&state, later, 200_000), 1);
}
