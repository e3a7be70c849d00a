use super::error::Rejection;
use super::heartbeats::{HeartbeatOutcome, process_heartbeat, redirect};
use super::machine_registration::{confirms_name, next_batch};
use super::*;
use crate::operators::OperatorSettings;
use crate::settings::Settings;
use crate::settings::tests::EXAMPLE;
use crate::worker::tests::{first_token, spec};
use crate::{change_feed, freshness_checks};
use bytes::Bytes;
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

/// Starts a fake key-value store that holds an active job, a completed job and a record that cannot
/// be read. It refuses all requests while `outage` is set. Returns its address.
async fn start_key_value_store(outage: Arc<AtomicBool>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let serve = move |request: Request| {
        let outage = outage.clone();
        async move {
            if outage.load(Ordering::Relaxed) {
                return Reply::error(503, "outage");
            }
            if request.path.starts_with("/follow") {
                let hold = if request.path.ends_with("hold_ms=0") { 0 } else { 8000 };
                sleep(Duration::from_millis(hold)).await;
                return Reply::new(200, &serde_json::json!({"epoch": 7, "news": []}));
            }
            let active = JobRecord::new(spec("j-1", JobKind::Array), None, 0);
            let mut done = JobRecord::new(spec("j-2", JobKind::Array), None, 0);
            done.phase = Phase::Done;
            done.compact_if_final();
            let item = |id: &str, put: KeyWrite| Item {
                key: key::job(id),
                value: put.value.expect("a value"),
                version: 3,
            };
            let items = vec![
                item("j-1", KeyWrite::new(key::job("j-1"), &active)),
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
    let controller = Controller::new(settings, OperatorSettings::default(), 1);
    controller.spawn_task(change_feed::follow_records(controller.clone()));
    controller.spawn_task(freshness_checks::run_freshness_checks(controller.clone()));
    controller
}

/// A controller that cannot read the records must not answer a status request for an accepted job
/// with 404: not at start, during an outage or after one.
#[tokio::test]
async fn an_accepted_job_is_never_unknown_during_and_after_an_outage() {
    let outage = Arc::new(AtomicBool::new(true));
    let controller = controller(start_key_value_store(outage.clone()).await).await;
    let request_status = async |id: &str| {
        let path = format!("/v1/jobs/{id}");
        serve(controller.clone(), Request { method: "GET".into(), path, body: Bytes::new() }).await
    };
    for id in ["j-1", "j-2", "j-3", "j-4"] {
        let reply = request_status(id).await;
        assert_eq!(
            (reply.status, reply.retry_after),
            (503, Some(1)),
            "{id}: the records have not been read yet"
        );
    }
    outage.store(false, Ordering::Relaxed);
    let since = Instant::now();
    while request_status("j-1").await.status == 503 {
        assert!(since.elapsed() < Duration::from_secs(10), "the status is known soon after the outage");
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(request_status("j-1").await.status, 200);
    assert_eq!(request_status("j-2").await.status, 200);
    assert_eq!(request_status("j-3").await.status, 503, "a job whose record cannot be read is not unknown");
    assert_eq!(request_status("j-4").await.status, 404);
    outage.store(true, Ordering::Relaxed);
    let since = Instant::now();
    assert_eq!(request_status("j-2").await.status, 200, "a final status does not change");
    for id in ["j-1", "j-4"] {
        assert_eq!(
            request_status(id).await.status,
            503,
            "{id}: the record may have changed during the outage"
        );
    }
    assert!(since.elapsed() < Duration::from_secs(4), "refused at once, not held until the outage ends");
    controller.shutdown.cancel();
}

/// A worker that comes back after a redirection cannot reach its owner: its heartbeats are relayed,
/// and it is redirected again once a minute in case the owner can be reached by then.
#[test]
fn a_returning_worker_is_relayed_and_redirected_again_after_a_minute() {
    let controller = crate::scale::controller(40, 2);
    let machine = {
        let state = controller.state();
        let is_owned_by_peer =
            |id: &&Name| state.records.replica.owner_of(id).is_some_and(|owner| owner.name == "n-1");
        state.records.replica.machines.keys().find(is_owned_by_peer).cloned().expect("a machine of the peer")
    };
    // A token of the present epoch, so that only the owner renews the lease.
    let token = first_token(controller.state().epoch()) + 1;
    let heartbeat: Heartbeat =
        wire::decode(&wire::encode(&serde_json::json!({"frame": &*machine, "addr": "a",
        "shape": "m", "bay": "z", "loaner": false, "stint": 1, "tally": 1, "baton": token,
        "threads": []})))
        .expect("a heartbeat");
    let start = Instant::now();
    let is_relayed = |elapsed_s: u64| {
        let at = start + Duration::from_secs(elapsed_s);
        match process_heartbeat(&controller, &heartbeat, HeartbeatRoute::Direct, at) {
            HeartbeatOutcome::Relay(owner) => {
                assert_eq!(owner, "n-1");
                true
            }
            HeartbeatOutcome::Redirect(owner) => {
                assert_eq!(redirect(owner).status, 421);
                false
            }
            outcome @ (HeartbeatOutcome::Respond(_) | HeartbeatOutcome::RegisterMachine { .. }) => {
                unreachable!("the machine is recorded and owned by the peer: {outcome:?}")
            }
        }
    };
    let outcomes: Vec<bool> = [0, 1, 2, 10, 59, 60, 61, 119, 120].map(is_relayed).to_vec();
    assert_eq!(outcomes, [false, true, true, true, true, false, true, true, false]);
}

/// A delayed duplicate of a heartbeat must not record a released machine again.
#[tokio::test]
async fn a_machine_is_recorded_only_if_it_confirms_its_name() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let serve = |_| async {
        Reply::new(
            200,
            &serde_json::json!({"frame": "host-2", "addr": "a", "shape": "m", "bay": "z",
                "loaner": false, "stint": 1, "tally": 1, "baton": first_token(9), "threads": []}),
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
    assert!(controller.state().is_superseded(), "the worker has shown the token of a later epoch");
    assert!(
        !confirms_name(&controller, "host-1", &record(&addr)).await,
        "another machine uses the recorded address now"
    );
    assert!(
        !confirms_name(&controller, "host-1", &record("127.0.0.1:1")).await,
        "no worker listens at the recorded address"
    );
}

/// Guards against a machine that is passed over for good because others that came later go first.
#[tokio::test]
async fn machines_are_recorded_in_the_order_of_their_first_heartbeats() {
    let controller = controller("127.0.0.1:1".into()).await;
    let record = || MachineRecord {
        addr: "127.0.0.1:1".into(),
        machine_type: "m".into(),
        zone: "z".into(),
        spot: false,
        release: false,
    };
    let names: Vec<Name> = (0..100).rev().map(|n| format!("host-{n}").as_str().into()).collect();
    for name in &names {
        controller.state().machines.unrecorded.insert(name.clone(), record());
    }
    controller.state().machines.unrecorded.insert(names[0].clone(), record());
    let batch: Vec<Name> = next_batch(&controller).into_iter().map(|(name, _)| name).collect();
    assert!((1..names.len()).contains(&batch.len()));
    assert_eq!(batch[..], names[..batch.len()]);
}

#[test]
fn each_error_has_its_status_message_and_retry_after() {
    let cases = [
        (ApiError::UnknownPath, 404, "unknown path", None),
        (ApiError::MethodNotAllowed, 405, "method not allowed", None),
        (ApiError::InvalidDescription("not a map".into()), 400, "not a map", None),
        (ApiError::DescriptionTooLong, 400, "the job description is too long to be stored", None),
        (ApiError::InvalidHeartbeat("end of input".into()), 400, "end of input", None),
        (ApiError::InvalidMachineName, 400, "frame: not a valid machine name", None),
        (ApiError::UnknownJob, 404, "no such job", None),
        (Rejection::UnknownTeam.into(), 422, "owner: no team of this name is configured", None),
        (
            Rejection::ExceedsTeamQuota.into(),
            422,
            "cpus, gpus: the job, or one task of an array, exceeds the team's maximum quota",
            None,
        ),
        (Rejection::DependsOnItself.into(), 422, "awaits: a job cannot depend on itself", None),
        (
            Rejection::NoSuitableMachineType.into(),
            422,
            "no machine type that the job allows is large enough for one of its tasks",
            None,
        ),
        (Rejection::UnknownDependency.into(), 422, "awaits: names a job that was never accepted", None),
        (Rejection::DependsOnService.into(), 422, "awaits: names a service, which is never done", None),
        (
            ApiError::NotReady,
            503,
            "not ready: the controller has not loaded the records or has lost the state service",
            Some(1),
        ),
        (
            ApiError::DeadlineExceeded,
            503,
            "the state service took too long; the request may still be carried out",
            Some(1),
        ),
        (ApiError::StoreUnavailable, 503, "the state service cannot be read now", Some(1)),
        (ApiError::WriteFailed, 503, "the state service did not confirm the write", Some(1)),
        (ApiError::ConcurrentWrite, 503, "the job's record changed at the same time; try again", Some(1)),
        (ApiError::JobChanging, 503, "the job's record keeps changing; try again", Some(1)),
        (ApiError::UnknownMachineTypes, 503, "the machine types are not loaded yet", Some(1)),
        (ApiError::UnreadableRecord, 503, "the job's record cannot be read", Some(5)),
        (ApiError::UnreadableDependency, 503, "awaits: the record of a dependency cannot be read", Some(5)),
        (
            ApiError::OlderVersionLive,
            503,
            "awaits: a live controller of an older version cannot read jobs with dependencies",
            Some(5),
        ),
    ];
    for (error, status, message, retry_after) in cases {
        let reply = Reply::from(error);
        let body = wire::encode(&wire::ErrorBody { error: message.to_owned() });
        assert_eq!((reply.status, reply.retry_after), (status, retry_after), "{message}");
        assert_eq!(reply.body, body, "{message}");
    }
}

#[test]
fn a_path_is_parsed_to_a_resource_without_its_query() {
    let cases = [
        ("/hello", Some(Resource::Heartbeats)),
        ("/healthz?verbose", Some(Resource::Health)),
        ("/v1/jobs", Some(Resource::Jobs)),
        ("/v1/jobs/", Some(Resource::Job { id: "".into() })),
        ("/v1/jobs/j-1?x=/y", Some(Resource::Job { id: "j-1".into() })),
        ("/v1/jobs/%6a%2D1", Some(Resource::Job { id: "j-1".into() })),
        ("/v1/jobs/j-1%2Fwithdraw", Some(Resource::Job { id: "j-1/withdraw".into() })),
        ("/v1/jobs/j-1/withdraw", Some(Resource::JobCancellation { id: "j-1".into() })),
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
