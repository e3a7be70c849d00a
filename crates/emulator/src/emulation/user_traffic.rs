//! Sends the requests of the emulated users over HTTP.

use std::sync::Arc;
use std::time::{Duration, Instant};

use net::Client;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{MissedTickBehavior, interval, sleep};
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
    let UserRequest { method, path, body, timeout, body_delay, .. } = &request;
    let answer = if body_delay.is_zero() {
        let sent = client.request(&balancer_addr, method, path, body.clone(), wire::BODY_LIMIT, *timeout);
        sent.await.ok().map(|answer| (answer.status, answer.body.to_vec()))
    } else {
        tokio::time::timeout(*timeout, send_slowly(&balancer_addr, &request)).await.ok().flatten()
    };
    let response = answer.map_or_else(UserResponse::default, |(status, body)| UserResponse {
        status: Some(status),
        retry_after: None,
        state: wire::decode::<JobStatus>(&body).ok().map(|s| s.state),
    });
    shared.users.lock().record_response(&request, response, Instant::now());
}

/// Sends the body of a request some time after its head, on a connection of its own. Returns the status
/// and the body of the response, or `None` if the connection is closed without one.
async fn send_slowly(addr: &str, request: &UserRequest) -> Option<(u16, Vec<u8>)> {
    let UserRequest { method, path, body, body_delay, .. } = request;
    let mut stream = TcpStream::connect(addr).await.ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    sleep(*body_delay).await;
    // The response may come before the body has been sent.
    let _ = stream.write_all(body).await;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    let head_end = response.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let status = std::str::from_utf8(response.strip_prefix(b"HTTP/1.1 ")?.get(..3)?).ok()?;
    Some((status.parse().ok()?, response.get(head_end..)?.to_vec()))
}
