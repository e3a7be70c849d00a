//! Logs a controller's load every ten seconds.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tracing::info;

use crate::controller::Controller;
use crate::load::take;

/// How often the load is logged.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Logs the load regularly until the controller stops.
pub async fn log_regularly(controller: Arc<Controller>) {
    loop {
        sleep(LOG_INTERVAL).await;
        log_load(&controller);
    }
}

fn log_load(controller: &Controller) {
    let counters = &controller.load;
    let cycles = take(&counters.cycles);
    let cycle_us = take(&counters.cycle_us);
    info!(
        connections = open_connections(controller),
        closed_for_want =
            controller.public_connections.take_rejected() + controller.peer_connections.take_rejected(),
        displaced =
            controller.public_connections.take_displaced() + controller.peer_connections.take_displaced(),
        not_read = controller.public_connections.take_unread() + controller.peer_connections.take_unread(),
        refused = counters.take_refusals(),
        changes = counters.take_changes(),
        conflicts = take(&counters.conflicts),
        cycles,
        cycle_us = cycle_us / cycles.max(1),
        heartbeats = take(&counters.heartbeats),
        not_renewed = take(&counters.heartbeats_not_renewed),
        "load"
    );
}

/// The numbers of open connections by remote side, as text.
fn open_connections(controller: &Controller) -> String {
    let public = controller.public_connections.open_by_class();
    let public: Vec<String> = public.map(|(name, n)| format!("{name} {n}")).collect();
    format!(
        "{}, peers {}, to workers {}, to the key-value store {}, to peers and the cloud {}",
        public.join(", "),
        controller.peer_connections.open_connections(),
        controller.worker_http.open_connections(),
        controller.kv_http.open_connections(),
        controller.peer_and_cloud_http.open_connections()
    )
}
