use std::time::Duration;

use sched::replica::RecordChange;

use super::*;

/// A leader's process is paused, or the key-value store refuses it alone, while machines that it
/// requested come up and get tasks from the next leader. By its stale replica they never came up,
/// and the cloud would still release them at its request.
#[test]
fn machines_that_came_up_unnoticed_are_not_released() {
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
    let overdue = |state: &ControllerState, now: Instant, now_ms: u64| {
        autoscaler.scale_out_completion(state, now, now_ms).map_or(0, |completion| completion.overdue.len())
    };
    (state.records.fresh_at, state.pauses) = (Some(now), crate::state::PauseDetector::new(now));
    assert_eq!(overdue(&state, now, 60_000), 0, "it may still come up");
    assert_eq!(overdue(&state, now, 200_000), 1);
    let later = now + Duration::from_secs(5);
    assert_eq!(overdue(&state, later, 200_000), 0);
    state.records.fresh_at = Some(later);
    assert_eq!(overdue(&state, later, 200_000), 0, "its process was paused");
    (state.records.fresh_at, state.pauses) = (Some(now), crate::state::PauseDetector::new(later));
    assert_eq!(overdue(&state, later, 200_000), 0, "its replica is stale");
    state.records.fresh_at = Some(later);
    assert_eq!(overdue(&state, later, 200_000), 1);
}
