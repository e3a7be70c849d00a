//! The duties of one controller, and the command line that starts them.

mod api;
#[cfg(feature = "bench")]
#[path = "../benches/load/cases.rs"]
pub mod cases;
mod change_feed;
mod client;
mod clock;
mod commit;
mod controller;
mod drains;
mod emulated;
#[cfg(test)]
#[path = "../tests/unit/fault_days/mod.rs"]
mod fault_days;
#[cfg(test)]
#[path = "../tests/unit/faults_machines.rs"]
mod faults_machines;
#[cfg(test)]
#[path = "../tests/unit/faults_users.rs"]
mod faults_users;
mod fleet_duty;
mod forwarded_proofs;
#[cfg(test)]
#[path = "../tests/unit/large_site.rs"]
mod large_site;
mod limits;
mod load;
mod membership;
mod operators;
mod peers;
#[cfg(test)]
#[path = "../tests/unit/pipelines.rs"]
mod pipelines;
mod prober;
#[cfg(test)]
#[path = "../tests/unit/production.rs"]
mod production;
mod read_barrier;
mod read_index;
mod read_records;
#[cfg(test)]
#[path = "../tests/unit/scale.rs"]
mod scale;
mod scheduler;
mod settings;
#[cfg(test)]
#[path = "../tests/unit/sim/mod.rs"]
mod sim;
#[cfg(test)]
#[path = "../tests/unit/stand_in.rs"]
mod stand_in;
mod state;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::{Parser, Subcommand};
use rand::RngExt;
use tokio::net::TcpListener;
use tracing::info;

use controller::Controller;
use operators::Operators;
use settings::Settings;

/// A cluster scheduler: jobs from users, machines from a cloud.
#[derive(Parser)]
#[command(name = "sageloom", version, about, propagate_version = true)]
struct Cli {
    #[command(subcommand)]
    command: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Run a controller until it is told to stop.
    Serve(Files),
    /// Check the settings files and say what is wrong with them.
    Check(Files),
    /// Submit, look at and withdraw jobs.
    Job(client::JobArgs),
    /// Retire machines in steps, within the teams' disruption budgets.
    Drain(drains::command::DrainArgs),
    /// Try the service: controllers on an emulated site, until Ctrl-C.
    Try(emulated::TryArgs),
    /// Run an emulated site for controllers that are started by hand, until Ctrl-C.
    Emulate(emulated::EmulateArgs),
}

#[derive(clap::Args)]
struct Files {
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (HCL).
    #[arg(long, value_name = "FILE")]
    operators: Option<PathBuf>,
}

/// Why the program ends with an error: one line that names what is to be changed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    #[error(transparent)]
    Settings(#[from] settings::SettingsError),
    #[error("LOG_LEVEL: \"{0}\" is none of error, warn, info, debug")]
    LogLevel(String),
    #[error("{field}: cannot listen on {addr}: {source}")]
    Listen { field: &'static str, addr: String, source: std::io::Error },
    #[error(transparent)]
    Client(#[from] client::ClientError),
    #[error(transparent)]
    Drain(#[from] drains::command::DrainError),
    #[error(transparent)]
    Emulated(#[from] emulated::EmulatedError),
    #[error("the runtime cannot start: {0}")]
    Runtime(std::io::Error),
}

/// Runs the program by its command line.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    let outcome = match cli.command {
        Verb::Serve(files) => serve(&files),
        Verb::Job(args) => runtime().and_then(|r| Ok(r.block_on(client::run(args))?)),
        Verb::Drain(args) => runtime().and_then(|r| Ok(r.block_on(drains::command::run(args))?)),
        Verb::Try(args) => emulated::try_out(&args),
        Verb::Emulate(args) => emulated::emulate(&args),
        Verb::Check(files) => load(&files).map(|_| println!("the settings are valid")),
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("sageloom: {e}");
            ExitCode::FAILURE
        }
    }
}

fn load(files: &Files) -> Result<(Settings, Operators), Failure> {
    let settings = Settings::load(&files.config)?;
    let operators = match &files.operators {
        Some(file) => {
            let operators = Operators::load(file)?;
            operators.check_teams(&file.display().to_string(), &settings)?;
            operators
        }
        None => Operators::default(),
    };
    Ok((settings, operators))
}

fn log_level() -> Result<tracing::Level, Failure> {
    let text = std::env::var("LOG_LEVEL").unwrap_or_default();
    match text.as_str() {
        "" | "info" => Ok(tracing::Level::INFO),
        "error" => Ok(tracing::Level::ERROR),
        "warn" => Ok(tracing::Level::WARN),
        "debug" => Ok(tracing::Level::DEBUG),
        _ => Err(Failure::LogLevel(text)),
    }
}

fn init_log() -> Result<(), Failure> {
    tracing_subscriber::fmt()
        .with_max_level(log_level()?)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false)
        .init();
    Ok(())
}

fn serve(files: &Files) -> Result<(), Failure> {
    let (settings, operators) = load(files)?;
    init_log()?;
    runtime()?.block_on(run(settings, operators, stopped_by_signal()))
}

fn runtime() -> Result<tokio::runtime::Runtime, Failure> {
    tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build().map_err(Failure::Runtime)
}

async fn listen(field: &'static str, addr: &str) -> Result<TcpListener, Failure> {
    TcpListener::bind(addr).await.map_err(|source| Failure::Listen { field, addr: addr.to_owned(), source })
}

/// Runs a controller until `stop` is there. `file` is the name that mistakes in the
/// settings (TOML) are told with. Of the tokio runtime it needs time and I/O.
pub async fn controller(file: &str, settings: &str, stop: impl Future<Output = ()>) -> Result<(), Failure> {
    run(Settings::parse(file, settings)?, Operators::default(), stop).await
}

/// Runs a controller until `stop` is there, and leaves the others in good order.
async fn run(
    settings: Settings,
    operators: Operators,
    stop: impl Future<Output = ()>,
) -> Result<(), Failure> {
    let front_listener = listen("front", &settings.front).await?;
    let peer_listener = listen("internal_addr", &settings.internal_addr).await?;
    // Also part of names that must never be used again, hence drawn anew.
    let incarnation = rand::rng().random::<u64>() >> 12;
    info!(name = settings.node_name, zone = settings.zone, incarnation, "starting");
    let controller = Controller::new(settings, operators, incarnation);
    spawn_duties(&controller);
    let n = controller.clone();
    let peers = move |request| peers::serve(n.clone(), request);
    controller.spawn_task(net::serve(
        peer_listener,
        controller.peer_connections.clone(),
        1 << 20,
        peers,
        controller.shutdown.clone(),
        controller.task_tracker.clone(),
    ));
    let n = controller.clone();
    let users = move |request| api::serve(n.clone(), request);
    controller.spawn_task(net::serve(
        front_listener,
        controller.public_connections.clone(),
        wire::BODY_LIMIT,
        users,
        controller.shutdown.clone(),
        controller.task_tracker.clone(),
    ));
    stop.await;
    info!("stopping");
    controller.shutdown.cancel();
    controller.task_tracker.close();
    let _ = tokio::time::timeout(Duration::from_secs(2), controller.task_tracker.wait()).await;
    leave(&controller).await;
    Ok(())
}

/// Starts all duties but the servers.
fn spawn_duties(controller: &Arc<Controller>) {
    controller.spawn_task(change_feed::follow_records(controller.clone()));
    controller.spawn_task(read_barrier::serve_read_barrier(controller.clone()));
    controller.spawn_task(membership::keep_membership(controller.clone()));
    controller.spawn_task(scheduler::detect_pauses(controller.clone()));
    controller.spawn_task(scheduler::run_scheduler(controller.clone()));
    controller.spawn_task(prober::prober(controller.clone()));
    controller.spawn_task(api::arrivals(controller.clone()));
    controller.spawn_task(fleet_duty::fleet(controller.clone()));
    controller.spawn_task(load::log_regularly(controller.clone()));
    if controller.operators.drains.enabled {
        controller.spawn_task(drains::run_drains(controller.clone()));
    }
    for peer in &controller.settings.peers {
        if controller.operators.drains.enabled {
            let (name, address) = (peer.node_name.clone(), peer.address.clone());
            controller.spawn_task(drains::running_tasks::observe_peer(controller.clone(), name, address));
        }
        controller.spawn_task(peers::exchange_summaries(controller.clone(), peer.address.clone()));
    }
}

/// Leaving at once saves the others the wait for the lease's end.
async fn leave(controller: &Controller) {
    let lease = controller.state().membership.lease;
    if let Some(lease) = lease {
        let _ = controller.kv_client.revoke_lease(lease).await;
    }
}

/// Waits for a termination signal, where the platform has them.
async fn stopped_by_signal() {
    use tokio::signal::unix::{SignalKind, signal};
    let wait = async |kind| match signal(kind) {
        Ok(mut s) => {
            s.recv().await;
        }
        Err(_) => std::future::pending().await,
    };
    tokio::select! {
        _ = wait(SignalKind::terminate()) => {}
        _ = wait(SignalKind::interrupt()) => {}
    }
}
