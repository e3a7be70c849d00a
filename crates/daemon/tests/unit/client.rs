use super::*;

#[test]
fn unmet_dependencies_of_a_queued_job_are_shown() {
    let waits_for = vec!["j-1".to_owned(), "j-7".to_owned()];
    let status =
        JobStatus { id: "j-9".into(), state: wire::JobState::Queued, done: 0, running: 0, waits_for };
    let line =
        describe_answer(&Response { status: 200, body: wire::encode(&status).into() }).expect("an answer");
    assert_eq!(line, "j-9 queued, 0 tasks done, 0 running, waits for j-1 j-7");
}

#[test]
fn a_refusal_is_shown_with_its_status_and_reason() {
    let body = wire::encode(&ErrorBody { error: "unknown team".into() });
    let error = describe_answer(&Response { status: 422, body: body.into() }).expect_err("a refusal");
    assert_eq!(error.to_string(), "the controller answered 422: unknown team");
}
