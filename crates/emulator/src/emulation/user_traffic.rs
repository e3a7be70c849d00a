//! Sends the requests of the emulated users over HTTP.

use std::sync::Arc;
use std::time::{Duration, Instant};

use net::Client;
use tokio::time::{MissedTickBehavior, interval};
use wire::JobStatus;

use super::Shared;
use crate::users::{UserRequest, UserResponse};

const TICK: Duration = Duration::from_millis(50);
/// Largest number of open connections of all users.
const MAX_CONNECTIONS: usize = 256;

/// Sends the users' requests to the load balancer until the emulation stops.
pub async fn run_users(shared: Arc<Shared>, balancer_addr: String) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let client = Client::new(MAX_CONNECTIONS);
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let requests = shared.users.lock().poll(Instant::now());
        for request in requests {
            shared.tasks.spawn(send_request(shared.clone(), client.clone(), balancer_addr.clone(), request));
        }
    }
}

async fn send_request(shared: Arc<Shared>, client: Client, balancer_addr: String, request: UserRequest) {
    let UserRequest { method, path, body, timeout, .. } = &request;
    let answer = client.request(&balancer_addr, method, path, body.clone(), wire::BODY_LIMIT, *timeout).await;
    let response = answer.map_or_else(
        |_| UserResponse::default(),
        |a| {
            let state = wire::decode::<JobStatus>(&a.body).ok().map(|s| s.state);
            UserResponse { status: Some(a.status), retry_after: None, state }
        },
    );
    shared.users.lock().record_response(&request, response, Instant::now());
}
