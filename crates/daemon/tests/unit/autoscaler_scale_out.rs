use super::*;
use sched::replica::RecordChange;

#[test]
fn answered_requests_of_a_kind_count_as_one_rental() {
    let rental = |request: &str, zone: &str, asked_ms| ScaleOut {
        request: request.into(),
        machine_type: "m".into(),
        zone: zone.into(),
        spot: false,
        count: 2,
        requested_ms: asked_ms,
        machines: None,
    };
    let mut list = vec![rental("1", "a", 0), rental("2", "a", 5000), rental("3", "b", 5000)];
    list.extend([rental("4", "a", 5000), rental("5", "a", 20_000)]);
    let some = |names: &[&str]| Some(names.iter().map(|n| (*n).into()).collect::<Vec<Name>>());
    settle(&mut list, &[("1".into(), some(&["x", "y"])), ("2".into(), some(&["z"])), ("3".into(), None)]);
    settle(&mut list, &[("5".into(), some(&["w"])), ("9".into(), some(&["v"]))]);
    let all: Vec<_> = list.iter().map(|r| (r.request.as_str(), r.machines.clone())).collect();
    // The one that was not answered keeps its name: a successor knows what may come.
    assert_eq!(all, [("4", None), ("", some(&["x", "y", "z"])), ("", some(&["w"]))]);
}

/// A leader stands still, or the state service refuses it alone, while machines that it
/// rented come up and get work from the next leader. By its old view they never came up,
/// and the cloud would still take them back at its word.
#[test]
fn machines_that_came_up_unseen_are_not_released() {
    let controller = crate::scale::controller(4, 1);
    let now = Instant::now();
    let mut state = controller.state();
    let rental = ScaleOut {
        request: String::new(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        count: 1,
        requested_ms: 1000,
        machines: Some(vec!["host-000009".into()]),
    };
    let record = FleetRecord { scale_outs: vec![rental], removed_machines: None };
    state.records.replica.apply(RecordChange::Fleet(Some(record)), 1 << 40);
    let fleet = Autoscaler::default();
    let late = |state: &ControllerState, now: Instant, now_ms: u64| {
        fleet.settled(state, now, now_ms).map_or(0, |(_, _, late)| late.len())
    };
    (state.records.fresh_at, state.pauses) = (Some(now), crate::state::PauseDetector::new(now));
    assert_eq!(late(&state, now, 60_000), 0, "it may still come up");
    assert_eq!(late(&state, now, 200_000), 1);
    let later = now + Duration::from_secs(5);
    assert_eq!(late(&state, later, 200_000), 0);
    state.records.fresh_at = Some(later);
    assert_eq!(late(&state, later, 200_000), 0, "it stood still");
    (state.records.fresh_at, state.pauses) = (Some(now), crate::state::PauseDetector::new(later));
    assert_eq!(late(&state, later, 200_000), 0, "it has not heard what came up");
    state.records.fresh_at = Some(later);
    assert_eq!(late(&state, later, 200_000), 1);
}

/// The change that writes requests down was carried out and only its answer was lost: it is
/// made again on what it wrote, and must not write them twice. As machines that are to
/// come, they would keep others from being rented.
#[test]
fn requests_are_written_down_once() {
    let rental = |request: &str| ScaleOut {
        request: request.into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        count: 2,
        requested_ms: 0,
        machines: None,
    };
    let mut list = vec![rental("1")];
    ask(&mut list, &[rental("2"), rental("3")]);
    ask(&mut list, &[rental("2"), rental("3")]);
    assert_eq!(list.iter().map(|r| r.request.as_str()).collect::<Vec<_>>(), ["1", "2", "3"]);
}
