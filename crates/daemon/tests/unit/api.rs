use super::error::Rejection;
use super::heartbeats::{HeartbeatOutcome, process_heartbeat, redirect};
use super::machine_registration::confirms_name;
use super::*;
use crate::operators::Operators;
use crate::settings::Settings;
use crate::settings::tests::EXAMPLE;
use crate::worker::tests::spec;
use crate::{change_feed, freshness_checks};
use sched::records::{JobRecord, MachineRecord, Name, Phase};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;
use store::{KeyWrite, key};
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::{Heartbeat, Item, Items, JobKind};

/// A stand-in for the key-value store with one job waiting, one done and one
/// record that nobody can read. It refuses while `out`.
async fn state_service(out: Arc<AtomicBool>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let serve = move |request: Request| {
        let out = out.clone();
        async move {
            if out.load(Ordering::Relaxed) {
                return Reply::error(503, "outage");
            }
            if request.path.starts_with("/follow") {
                let hold = if request.path.ends_with("hold_ms=0") { 0 } else { 8000 };
                sleep(Duration::from_millis(hold)).await;
                return Reply::new(200, &serde_json::json!({"epoch": 7, "news": []}));
            }
            let waiting = JobRecord::new(spec("j-1", JobKind::Array), None, 0);
            let mut done = JobRecord::new(spec("j-2", JobKind::Array), None, 0);
            done.phase = Phase::Done;
            done.compact_if_final();
            let item = |id: &str, put: KeyWrite| Item {
                key: key::job(id),
                value: put.value.expect("a value"),
                version: 3,
            };
            let items = vec![
                item("j-1", KeyWrite::new(key::job("j-1"), &waiting)),
                item("j-2", KeyWrite::new(key::job("j-2"), &done)),
                item("j-3", KeyWrite::new(key::job("j-3"), &"from another version")),
            ];
            Reply::new(200, &Items { items, has_more: false, revision: 7 })
        }
    };
    let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
    let connections = Arc::new(net::Connections::new(64, &[], |_| 0));
    tokio::spawn(net::serve(listener, connections, 1 << 16, serve, stop, tasks));
    addr
}

async fn controller(state: String) -> Arc<Controller> {
    let mut settings = Settings::parse("example", EXAMPLE).expect("the example is valid");
    settings.external.state = state;
    let controller = Controller::new(settings, Operators::default(), 1);
    controller.spawn_task(change_feed::follow_records(controller.clone()));
    controller.spawn_task(freshness_checks::run_freshness_checks(controller.clone()));
    controller
}

/// During start, outage and recovery, the status of an accepted job is answered as soon as the
/// key-value store answers, and never with a 404.
#[tokio::test]
async fn an_accepted_job_is_never_unknown_during_and_after_an_outage() {
    let out = Arc::new(AtomicBool::new(true));
    let controller = controller(state_service(out.clone()).await).await;
    let ask = async |id: &str| job_reply(status(&controller, id).await);
    for id in ["j-1", "j-2", "j-3", "j-4"] {
        let reply = ask(id).await;
        assert_eq!((reply.status, reply.retry_after), (503, Some(1)), "{id}: nothing is known yet");
    }
    out.store(false, Ordering::Relaxed);
    let since = Instant::now();
    while ask("j-1").await.status == 503 {
        assert!(since.elapsed() < Duration::from_secs(10), "answers soon after the outage");
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(ask("j-1").await.status, 200);
    assert_eq!(ask("j-2").await.status, 200);
    assert_eq!(ask("j-3").await.status, 503, "a record that cannot be read is no 404");
    assert_eq!(ask("j-4").await.status, 404);
    out.store(true, Ordering::Relaxed);
    let since = Instant::now();
    assert_eq!(ask("j-2").await.status, 200, "what is final stays final");
    for id in ["j-1", "j-4"] {
        assert_eq!(ask(id).await.status, 503, "{id}: it may have changed meanwhile");
    }
    assert!(since.elapsed() < Duration::from_secs(4), "refused, not held back");
    controller.shutdown.cancel();
}

/// The heartbeats of a worker that cannot reach its owner are relayed for a while only.
#[test]
fn a_worker_that_comes_back_is_relayed_for_a_while_and_redirected_again() {
    let controller = crate::scale::controller(40, 2);
    let machine = {
        let state = controller.state();
        let others = |id: &&Name| state.records.replica.owner_of(id).is_some_and(|o| o.name == "n-1");
        state.records.replica.machines.keys().find(others).cloned().expect("one of the other's")
    };
    let report: Heartbeat = wire::decode(&wire::encode(&serde_json::json!({"frame": &*machine, "addr": "a",
        "shape": "m", "bay": "z", "loaner": false, "stint": 1, "tally": 1, "baton": u64::MAX >> 1,
        "threads": []})))
    .expect("a report");
    let start = Instant::now();
    let relayed = |s: u64| {
        let at = start + Duration::from_secs(s);
        match process_heartbeat(&controller, &report, HeartbeatRoute::Direct, at) {
            HeartbeatOutcome::Relay(owner) => {
                assert_eq!(owner, "n-1");
                true
            }
            HeartbeatOutcome::Redirect(owner) => {
                assert_eq!(redirect(owner).status, 421);
                false
            }
            outcome @ (HeartbeatOutcome::Respond(_) | HeartbeatOutcome::RegisterMachine { .. }) => {
                unreachable!("its record is there, and its owner is another: {outcome:?}")
            }
        }
    };
    let seen: Vec<bool> = [0, 1, 2, 10, 59, 60, 61, 119, 120].map(relayed).to_vec();
    assert_eq!(seen, [false, true, true, true, true, false, true, true, false]);
}

/// A delayed duplicate of a heartbeat must not bring back a machine that was released.
#[tokio::test]
async fn a_machine_is_recorded_only_if_it_confirms_its_name() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let serve = |_| async {
        Reply::new(
            200,
            &serde_json::json!({"frame": "host-2", "addr": "a", "shape": "m", "bay": "z",
                "loaner": false, "stint": 1, "tally": 1, "baton": 0, "threads": []}),
        )
    };
    let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
    let connections = Arc::new(net::Connections::new(64, &[], |_| 0));
    tokio::spawn(net::serve(listener, connections, 1 << 16, serve, stop, tasks));
    let controller = controller("127.0.0.1:1".into()).await;
    let record = |addr: &str| MachineRecord {
        addr: addr.into(),
        machine_type: "m".into(),
        zone: "z".into(),
        spot: false,
        release: false,
    };
    assert!(confirms_name(&controller, "host-2", &record(&addr)).await);
    assert!(
        !confirms_name(&controller, "host-1", &record(&addr)).await,
        "another machine has its address now"
    );
    assert!(!confirms_name(&controller, "host-1", &record("127.0.0.1:1")).await, "nobody is there");
}

#[test]
fn each_error_is_answered_with_its_status_text_and_retry_time() {
    let cases = [
        (ApiError::UnknownPath, 404, "unknown path", None),
        (ApiError::MethodNotAllowed, 405, "method not allowed", None),
        (ApiError::InvalidDescription("not a map".into()), 400, "not a map", None),
        (ApiError::DescriptionTooLong, 400, "the description is too long to be kept", None),
        (ApiError::InvalidHeartbeat("end of input".into()), 400, "end of input", None),
        (ApiError::InvalidMachineName, 400, "frame: not a machine's name", None),
        (ApiError::UnknownJob, 404, "no such job", None),
        (Rejection::UnknownTeam.into(), 422, "unknown team", None),
        (Rejection::ExceedsTeamQuota.into(), 422, "beyond the team's limit", None),
        (Rejection::DependsOnItself.into(), 422, "awaits: the job itself", None),
        (Rejection::NoSuitableMachineType.into(), 422, "no allowed machine type can hold a task", None),
        (Rejection::UnknownDependency.into(), 422, "awaits: a job that was never accepted", None),
        (Rejection::DependsOnService.into(), 422, "awaits: a service is never done", None),
        (ApiError::NotReady, 503, "not ready", Some(1)),
        (ApiError::DeadlineExceeded, 503, "the state service takes too long", Some(1)),
        (ApiError::StoreUnavailable, 503, "the state service cannot be asked", Some(1)),
        (ApiError::WriteFailed, 503, "the state service did not take it", Some(1)),
        (ApiError::ConcurrentWrite, 503, "try again", Some(1)),
        (ApiError::JobChanging, 503, "the job is changing; try again", Some(1)),
        (ApiError::UnknownMachineTypes, 503, "the machine types are not known yet", Some(1)),
        (ApiError::UnreadableRecord, 503, "the job's record cannot be read", Some(5)),
        (ApiError::UnreadableDependency, 503, "the record of a job that it awaits cannot be read", Some(5)),
        (ApiError::OlderVersionLive, 503, "a controller of an older version is live", Some(5)),
    ];
    for (error, status, text, retry_after) in cases {
        let reply = Reply::from(error);
        let body = wire::encode(&wire::ErrorBody { error: text.to_owned() });
        assert_eq!((reply.status, reply.retry_after), (status, retry_after), "{text}");
        assert_eq!(reply.body, body, "{text}");
    }
}

#[test]
fn a_path_names_one_resource_whatever_its_query_is() {
    let cases = [
        ("/hello", Some(Resource::Heartbeats)),
        ("/healthz?verbose", Some(Resource::Health)),
        ("/v1/jobs", Some(Resource::Jobs)),
        ("/v1/jobs/", Some(Resource::Job { id: "" })),
        ("/v1/jobs/j-1?x=/y", Some(Resource::Job { id: "j-1" })),
        ("/v1/jobs/j-1/withdraw", Some(Resource::JobCancellation { id: "j-1" })),
        ("/v1/jobs/j-1/withdraw/", None),
        ("/v1/jobs/j-1/other", None),
        ("/v1/jobsx", None),
        ("/", None),
        ("", None),
    ];
    for (path, resource) in cases {
        assert_eq!(Resource::parse(path), resource, "{path}");
    }
}
