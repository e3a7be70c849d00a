//! Requests to workers.

use std::time::Duration;

use net::NetError;
use wire::Heartbeat;

use crate::controller::Controller;

/// Most bytes of a worker's status.
const MAX_STATUS_BYTES: usize = wire::BODY_LIMIT * 4;

/// Asks the worker at an address for its status. `None`: what answered is not the worker of this
/// machine.
pub async fn fetch_status(
    controller: &Controller,
    machine: &str,
    addr: &str,
    timeout: Duration,
) -> Result<Option<Heartbeat>, NetError> {
    let request =
        controller.worker_http.request(addr, "GET", "/status", Vec::new(), MAX_STATUS_BYTES, timeout);
    let answer = request.await?;
    Ok(wire::decode::<Heartbeat>(&answer.body).ok().filter(|status| status.machine == machine))
}
