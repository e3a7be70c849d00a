//! Starts the servers and tasks of a controller, and shuts them down in order.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tracing::info;

use crate::controller::Controller;
use crate::logging::LogLevelError;
use crate::operators::OperatorSettings;
use crate::peer_client::MAX_MESSAGE_BYTES;
use crate::settings::{Settings, SettingsError};
use crate::{
    api, autoscaler, change_feed, drains, freshness_checks, load_log, membership, peer_server, peer_status,
    prober, scheduler,
};

/// How long tasks that are under way may take to finish when the process stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// How many random bits an incarnation has.
const INCARNATION_BITS: u32 = 52;

/// Why a controller could not run. The message is one line that names what has to be changed.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// A settings file is missing or has a mistake.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The environment names an unknown log level.
    #[error(transparent)]
    LogLevel(#[from] LogLevelError),
    /// An address that the settings name cannot be listened on.
    #[error("{field}: cannot listen on {addr}: {source}")]
    Listen {
        /// The field of the settings.
        field: &'static str,
        /// The address.
        addr: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The runtime could not be started.
    #[error("the runtime cannot start: {0}")]
    Runtime(std::io::Error),
}

/// Creates a runtime that runs on the calling thread.
pub fn runtime() -> Result<Runtime, ProcessError> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_io().enable_time().build().map_err(ProcessError::Runtime)
}

/// Runs a controller until `stop` completes. `file` is the name of the settings file (TOML) in error
/// messages. Needs a tokio runtime with time and I/O enabled.
pub async fn run_controller(
    file: &str,
    settings: &str,
    stop: impl Future<Output = ()>,
) -> Result<(), ProcessError> {
    run(Settings::parse(file, settings)?, OperatorSettings::default(), stop).await
}

/// Runs a controller until `stop` completes, then stops its tasks and leaves the cluster.
pub(crate) async fn run(
    settings: Settings,
    operators: OperatorSettings,
    stop: impl Future<Output = ()>,
) -> Result<(), ProcessError> {
    let public_listener = listen("front", &settings.front)?;
    let peer_listener = listen("internal_addr", &settings.internal_addr)?;
    // Random, because it is also part of names that must never be reused.
    let incarnation = rand::rng().random::<u64>() >> (u64::BITS - INCARNATION_BITS);
    info!(name = settings.node_name, zone = settings.zone, incarnation, "starting");
    let controller = Controller::new(settings, operators, incarnation);
    spawn_tasks(&controller);
    serve_peers(&controller, peer_listener);
    serve_public(&controller, public_listener);
    stop.await;
    info!("stopping");
    controller.shutdown.cancel();
    controller.task_tracker.close();
    let _ = tokio::time::timeout(SHUTDOWN_TIMEOUT, controller.task_tracker.wait()).await;
    leave_cluster(&controller).await;
    Ok(())
}

fn listen(field: &'static str, addr: &str) -> Result<TcpListener, ProcessError> {
    let error = |source| ProcessError::Listen { field, addr: addr.to_owned(), source };
    net::listen(addr).map_err(error)
}

/// Starts all tasks except the servers.
pub(crate) fn spawn_tasks(controller: &Arc<Controller>) {
    controller.spawn_task(change_feed::follow_records(controller.clone()));
    controller.spawn_task(freshness_checks::run_freshness_checks(controller.clone()));
    controller.spawn_task(membership::keep_membership(controller.clone()));
    controller.spawn_task(scheduler::detect_pauses(controller.clone()));
    controller.spawn_task(scheduler::run_scheduler(controller.clone()));
    controller.spawn_task(prober::probe_silent_workers(controller.clone()));
    controller.spawn_task(api::machine_registration::register_machines(controller.clone()));
    controller.spawn_task(autoscaler::run_autoscaler(controller.clone()));
    controller.spawn_task(load_log::log_regularly(controller.clone()));
    let drains_enabled = controller.operators.drains.enabled;
    if drains_enabled {
        controller.spawn_task(drains::run_drains(controller.clone()));
    }
    for peer in &controller.settings.peers {
        if drains_enabled {
            let (name, address) = (peer.node_name.clone(), peer.address.clone());
            controller.spawn_task(drains::running_tasks::observe_peer(controller.clone(), name, address));
        }
        controller.spawn_task(peer_status::exchange_statuses(controller.clone(), peer.address.clone()));
    }
}

/// Serves the other controllers.
fn serve_peers(controller: &Arc<Controller>, listener: TcpListener) {
    let context = controller.clone();
    let handler = move |request| peer_server::serve(context.clone(), request);
    controller.spawn_task(net::serve(
        listener,
        controller.peer_connections.clone(),
        MAX_MESSAGE_BYTES,
        handler,
        controller.shutdown.clone(),
        controller.task_tracker.clone(),
    ));
}

/// Serves users and workers.
fn serve_public(controller: &Arc<Controller>, listener: TcpListener) {
    let context = controller.clone();
    let handler = move |request| api::serve(context.clone(), request);
    controller.spawn_task(net::serve(
        listener,
        controller.public_connections.clone(),
        wire::ENCODED_BODY_LIMIT,
        handler,
        controller.shutdown.clone(),
        controller.task_tracker.clone(),
    ));
}

/// Revokes the lease, so that the other controllers do not have to wait for its expiry.
pub(crate) async fn leave_cluster(controller: &Controller) {
    let lease = controller.state().membership.lease;
    if let Some(lease) = lease {
        let _ = controller.kv_client.revoke_lease(lease).await;
    }
}

/// Waits for a termination signal.
pub(crate) async fn termination_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let wait = async |kind| match signal(kind) {
        Ok(mut signals) => {
            signals.recv().await;
        }
        Err(_) => std::future::pending().await,
    };
    tokio::select! {
        () = wait(SignalKind::terminate()) => {}
        () = wait(SignalKind::interrupt()) => {}
    }
}
