//! Requests to workers.

use std::time::Duration;

use net::NetError;
use wire::Heartbeat;

use crate::controller::Controller;

/// Requests the status of the worker at an address. Returns `None` if the response is not from the
/// worker of this machine.
pub async fn fetch_status(
    controller: &Controller,
    machine: &str,
    addr: &str,
    timeout: Duration,
) -> Result<Option<Heartbeat>, NetError> {
    let max_bytes = wire::ENCODED_BODY_LIMIT;
    let request = controller.worker_http.request(addr, "GET", "/status", Vec::new(), max_bytes, timeout);
    let response = request.await?;
    Ok(wire::decode::<Heartbeat>(&response.body).ok().filter(|status| status.machine == machine))
}
