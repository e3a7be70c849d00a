use super::*;

#[test]
fn answered_requests_of_an_offer_are_recorded_as_one_scale_out_when_close_in_time() {
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
    let granted = |names: &[&str]| Some(names.iter().map(|n| (*n).into()).collect::<Vec<Name>>());
    let result = |request: &str, machines| ScaleOutResult { request: request.into(), machines };
    record_results(
        &mut scale_outs,
        &[result("1", granted(&["x", "y"])), result("2", granted(&["z"])), result("3", None)],
    );
    record_results(&mut scale_outs, &[result("5", granted(&["w"])), result("9", granted(&["v"]))]);
    let recorded: Vec<_> =
        scale_outs.iter().map(|scale_out| (scale_out.request.as_str(), scale_out.machines.clone())).collect();
    // The unanswered request keeps its id, so that the next leader knows which machines may still
    // come up.
    assert_eq!(recorded, [("4", None), ("", granted(&["x", "y", "z"])), ("", granted(&["w"]))]);
}

/// The transaction that records requests was committed and only its response was lost, so it is
/// repeated on the record that it wrote. If the requests were then recorded twice, they would count
/// as expected machines and prevent other machines from being requested.
#[test]
fn requests_are_recorded_once_when_the_transaction_is_repeated() {
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
    assert_eq!(
        scale_outs.iter().map(|scale_out| scale_out.request.as_str()).collect::<Vec<_>>(),
        ["1", "2", "3"]
    );
}
