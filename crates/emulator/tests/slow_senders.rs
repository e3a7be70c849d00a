//! Clients that send their requests slowly or in part, or send no requests at all, on complete
//! controllers over real connections.

mod common;

use std::time::{Duration, Instant};

use common::{RawConnection, RunningSite, User, hello, site};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use wire::{JobKind, JobSpec, JobState, TaskState};

/// Each of them more clients than one controller has sockets for.
const HALF_A_HEAD: usize = 500;
const HALF_A_BODY: usize = 250;
/// How long the slow clients come back, longer than a worker's lease.
const DURATION: Duration = Duration::from_secs(17);
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a part of a request again and again, on a new connection once the last one is closed.
async fn send_partly(addr: String, has_head: bool) {
    loop {
        let Some(mut connection) = RawConnection::try_open(&addr).await else { continue };
        if has_head {
            connection.send_head("POST", "/hello", 100).await;
        }
        connection.send(b"POST /v1/jobs HTTP/1.1\r\nho").await;
        connection.status().await;
    }
}

/// Starts the slow clients of these addresses on a thread of their own, until the token is cancelled.
fn start_slow_clients(addresses: Vec<String>, stop: CancellationToken) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async {
            for address in addresses {
                for n in 0..HALF_A_HEAD + HALF_A_BODY {
                    tokio::spawn(send_partly(address.clone(), n < HALF_A_BODY));
                }
            }
            stop.cancelled().await;
        });
    })
}

/// Guards against slow clients that use up the connections of workers, health checks and users.
#[tokio::test]
async fn workers_keep_their_leases_and_users_get_answers_while_many_clients_send_slowly() {
    let few_sockets = ("max_connections = 1024", "max_connections = 900");
    let site = RunningSite::start(&site(&[few_sockets])).await;
    let service = JobSpec { kind: JobKind::Service, estimated_runtime_s: 0.0, spot: false, ..hello() };
    let user = User::new(&site.emulation.balancer_addr);
    assert_eq!(user.submit(wire::encode(&service)).await, 201);
    user.wait_for_state(&service.id, JobState::Running).await;
    let running = || -> Vec<(String, u64)> {
        let tasks = site.emulation.tasks().into_iter().filter(|task| task.state == TaskState::Running);
        tasks.map(|task| (task.task, task.attempt)).collect()
    };
    let before = running();
    let fronts: Vec<String> = site.emulation.controllers.iter().map(|c| c.file.front.clone()).collect();
    let stop = CancellationToken::new();
    let slow_clients = start_slow_clients(fronts.clone(), stop.clone());
    let since = Instant::now();
    let mut number = 10;
    while since.elapsed() < DURATION {
        sleep(Duration::from_millis(500)).await;
        for front in &fronts {
            let checker = User::new(front);
            let health = timeout(HEALTH_CHECK_TIMEOUT, checker.request("GET", "/healthz", Vec::new()));
            let health = health.await.ok().flatten().map(|response| response.status);
            assert_eq!(health, Some(200), "{front} after {:?}", since.elapsed());
        }
        number += 1;
        let job = JobSpec { id: format!("j-{number}"), ..hello() };
        assert_eq!(user.submit(wire::encode(&job)).await, 201, "{} after {:?}", job.id, since.elapsed());
    }
    stop.cancel();
    slow_clients.join().expect("no panic");
    let after = running();
    assert!(before.iter().all(|task| after.contains(task)), "{before:?} {after:?}");
    site.stop().await;
}
