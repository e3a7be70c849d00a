//! Runs the example site with three controllers over sockets, in real time.

mod common;

use std::time::{Duration, Instant};

use common::{RunningSite, User, hello, site};
use emulator::Emulation;
use wire::{JobSpec, JobState, TaskState};

#[tokio::test]
async fn a_job_is_done_and_a_service_is_withdrawn() {
    let site = RunningSite::start(&site(&[])).await;
    let emulation = &site.emulation;
    // The job goes through the load balancer, the service through the proxy of one controller.
    let (balancer, proxy) = (User::new(&emulation.balancer_addr), site.user(1));
    let hello = hello();
    let kind = wire::JobKind::Service;
    let service = JobSpec { id: "j-2".into(), kind, estimated_runtime_s: 0.0, spot: false, ..hello.clone() };
    assert!(balancer.send("POST", "/v1/jobs", wire::encode(&hello)).await.is_some());
    assert!(proxy.send("POST", "/v1/jobs", wire::encode(&service)).await.is_some());
    balancer.wait_for_state("j-1", JobState::Done).await;
    balancer.wait_for_state("j-2", JobState::Running).await;
    let running_tasks = |e: &Emulation| {
        e.tasks().iter().filter(|t| t.task.starts_with("j-2/") && t.state != TaskState::Exited).count()
    };
    assert!(running_tasks(emulation) > 0);
    let withdrawn = proxy.send("POST", "/v1/jobs/j-2/withdraw", Vec::new()).await.expect("an answer");
    assert_eq!(withdrawn.state, JobState::Cancelled);
    let started = Instant::now();
    while running_tasks(emulation) > 0 {
        assert!(started.elapsed() < Duration::from_secs(20), "its tasks do not end");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(emulation.summary().1 > 0.0, "machines cost money");
    site.stop().await;
}
