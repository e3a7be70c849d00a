use super::*;

#[test]
fn answered_requests_of_an_offer_are_recorded_as_one_scale_out() {
    let scale_out = |request: &str, zone: &str, requested_ms| ScaleOut {
        request: request.into(),
        machine_type: "m".into(),
        zone: zone.into(),
        spot: false,
        count: 2,
        requested_ms,
        machines: None,
    };
    let mut scale_outs = vec![scale_out("1", "a", 0), scale_out("2", "a", 5000), scale_out("3", "b", 5000)];
    scale_outs.extend([scale_out("4", "a", 5000), scale_out("5", "a", 20_000)]);
    let some = |names: &[&str]| Some(names.iter().map(|n| (*n).into()).collect::<Vec<Name>>());
    let result = |request: &str, machines| ScaleOutResult { request: request.into(), machines };
    record_results(
        &mut scale_outs,
        &[result("1", some(&["x", "y"])), result("2", some(&["z"])), result("3", None)],
    );
    record_results(&mut scale_outs, &[result("5", some(&["w"])), result("9", some(&["v"]))]);
    let all: Vec<_> = scale_outs.iter().map(|r| (r.request.as_str(), r.machines.clone())).collect();
    // The unanswered one keeps its id: the next leader knows which machines may still come.
    assert_eq!(all, [("4", None), ("", some(&["x", "y", "z"])), ("", some(&["w"]))]);
}

/// The transaction that records requests was committed and only its response was lost: it is
/// repeated on what it wrote, and must not record them twice. As expected machines they would
/// prevent others from being requested.
#[test]
fn requests_are_recorded_once() {
    let scale_out = |request: &str| ScaleOut {
        request: request.into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        count: 2,
        requested_ms: 0,
        machines: None,
    };
    let mut scale_outs = vec![scale_out("1")];
    add_requests(&mut scale_outs, &[scale_out("2"), scale_out("3")]);
    add_requests(&mut scale_outs, &[scale_out("2"), scale_out("3")]);
    assert_eq!(scale_outs.iter().map(|r| r.request.as_str()).collect::<Vec<_>>(), ["1", "2", "3"]);
}
