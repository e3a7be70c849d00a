//! Runs the example site with three controllers over sockets, in real time.

use std::net::TcpListener;
use std::time::{Duration, Instant};

use emulator::{Emulation, SiteFile};
use net::Client;
use tokio_util::sync::CancellationToken;
use wire::{JobSpec, JobState, JobStatus, TaskState};

const SITE: &str = include_str!("../../../examples/site.hcl");
const HELLO: &str = include_str!("../../../examples/hello.toml");

/// The example site with its ports replaced by free ones.
fn site() -> SiteFile {
    let free_ports: Vec<TcpListener> =
        (0..14).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
    let mut text = SITE.to_owned();
    let ports = (8070..=8073).chain(8080..=8083).chain(8091..=8096);
    for (port, free) in ports.zip(&free_ports) {
        let free = free.local_addr().expect("an address").to_string();
        text = text.replace(&format!("127.0.0.1:{port}\""), &format!("{free}\""));
    }
    SiteFile::parse("site.hcl", &text).expect("the example is valid")
}

struct User {
    client: Client,
    addr: String,
}

impl User {
    async fn send(&self, method: &str, path: &str, body: Vec<u8>) -> Option<JobStatus> {
        let wait = Duration::from_secs(5);
        let answer =
            self.client.request(&self.addr, method, path, body, wire::BODY_LIMIT, wait).await.ok()?;
        matches!(answer.status, 200 | 201).then(|| wire::decode(&answer.body).expect("a status"))
    }

    async fn wait_for_state(&self, id: &str, state: JobState) {
        let started = Instant::now();
        while self.send("GET", &format!("/v1/jobs/{id}"), Vec::new()).await.is_none_or(|s| s.state != state) {
            assert!(started.elapsed() < Duration::from_secs(40), "{id} does not reach the state {state:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

#[tokio::test]
async fn a_job_is_done_and_a_service_is_withdrawn() {
    let site = site();
    let emulation = Emulation::start(&site).await.expect("free ports");
    let stop = CancellationToken::new();
    let mut controllers = Vec::new();
    for (name, settings) in site.settings(&emulation).expect("TOML") {
        let stop = stop.clone();
        let run = async move { daemon::run_controller(&name, &settings, stop.cancelled()).await };
        controllers.push(tokio::spawn(run));
    }
    tokio::time::timeout(Duration::from_secs(20), emulation.wait_until_all_healthy()).await.expect("healthy");
    // The job goes through the load balancer, the service through the proxy of one controller.
    let user = |addr: &String| User { client: Client::new(1), addr: addr.clone() };
    let (balancer, proxy) = (user(&emulation.balancer_addr), user(&emulation.controllers[1].proxy_addr));
    let hello: JobSpec = toml::from_str(HELLO).expect("a job");
    let kind = wire::JobKind::Service;
    let service = JobSpec { id: "j-2".into(), kind, estimated_runtime_s: 0.0, spot: false, ..hello.clone() };
    assert!(balancer.send("POST", "/v1/jobs", wire::encode(&hello)).await.is_some());
    assert!(proxy.send("POST", "/v1/jobs", wire::encode(&service)).await.is_some());
    balancer.wait_for_state("j-1", JobState::Done).await;
    balancer.wait_for_state("j-2", JobState::Running).await;
    let running_tasks = |e: &Emulation| {
        e.tasks().iter().filter(|t| t.task.starts_with("j-2/") && t.state != TaskState::Exited).count()
    };
    assert!(running_tasks(&emulation) > 0);
    let withdrawn = proxy.send("POST", "/v1/jobs/j-2/withdraw", Vec::new()).await.expect("an answer");
    assert_eq!(withdrawn.state, JobState::Cancelled);
    let started = Instant::now();
    while running_tasks(&emulation) > 0 {
        assert!(started.elapsed() < Duration::from_secs(20), "its tasks do not end");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(emulation.summary().1 > 0.0, "machines cost money");
    stop.cancel();
    for controller in controllers {
        controller.await.expect("ends").expect("without an error");
    }
    emulation.stop().await;
}
