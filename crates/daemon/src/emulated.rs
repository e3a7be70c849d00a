//! The commands `sageloom try` and `sageloom emulate`, which run an emulated site: its cloud,
//! machines, state service and load balancer.

use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::thread::JoinHandle;
use std::time::Instant;

use emulator::{Emulation, SiteFile};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::logging;
use crate::operators::OperatorSettings;
use crate::process::{ProcessError, run, runtime, termination_signal};
use crate::settings::{Settings, SettingsError};

/// The name and the contents of the site file that `sageloom try` runs without `--site`.
const DEFAULT_SITE: (&str, &str) = ("examples/site.hcl", include_str!("../../../examples/site.hcl"));

#[derive(clap::Args)]
pub struct TryArgs {
    /// The file that describes the emulated site (HCL); by default a small site that is built in.
    #[arg(long, value_name = "FILE")]
    site: Option<PathBuf>,
    /// The operators' settings file (HCL); without it, the defaults apply.
    #[arg(long, value_name = "FILE")]
    operators: Option<PathBuf>,
    /// The folder for the controllers' logs, one file per controller. Without it, they log to
    /// standard error: only errors, unless LOG_LEVEL is set.
    #[arg(long, value_name = "FOLDER")]
    logs: Option<PathBuf>,
}

#[derive(clap::Args)]
pub struct EmulateArgs {
    /// The file that describes the emulated site (HCL).
    #[arg(long, value_name = "FILE")]
    site: PathBuf,
    /// The folder to which the controllers' settings files are written.
    #[arg(long, value_name = "FOLDER", default_value = "emulated")]
    settings: PathBuf,
}

/// Why an emulated site, or a controller on it, could not run.
#[derive(Debug, thiserror::Error)]
pub enum EmulatedError {
    #[error(transparent)]
    Process(#[from] ProcessError),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Site(#[from] emulator::SiteError),
    #[error(transparent)]
    Emulation(#[from] emulator::EmulationError),
    #[error("the controllers' settings cannot be written as TOML: {0}")]
    SerializeSettings(#[from] toml::ser::Error),
    #[error("{0}: cannot create or write: {1}")]
    WriteFile(String, std::io::Error),
    #[error("all controllers ended before a stop was requested")]
    ControllersEnded,
}

fn write_error(path: &Path) -> impl FnOnce(std::io::Error) -> EmulatedError {
    let file = path.display().to_string();
    |error| EmulatedError::WriteFile(file, error)
}

/// Runs an emulated site and all its controllers (three on the default site) in this process, until
/// the process is told to stop or a controller ends.
pub fn run_site_with_controllers(args: &TryArgs) -> Result<(), EmulatedError> {
    let started_at = Instant::now();
    let site = match &args.site {
        Some(file) => SiteFile::load(file)?,
        None => SiteFile::parse(DEFAULT_SITE.0, DEFAULT_SITE.1)?,
    };
    let level = match std::env::var("LOG_LEVEL") {
        Err(_) if args.logs.is_none() => tracing::Level::ERROR,
        _ => logging::level_from_environment().map_err(ProcessError::from)?,
    };
    let operators = args.operators.as_deref().map(OperatorSettings::load).transpose()?.unwrap_or_default();
    if let Some(folder) = &args.logs {
        std::fs::create_dir_all(folder).map_err(write_error(folder))?;
    }
    let _subscriber_guard = tracing::dispatcher::set_default(&subscriber(level, None));
    runtime()?.block_on(async {
        let emulation = Emulation::start(&site).await?;
        let shutdown = CancellationToken::new();
        let (outcome_sender, mut outcomes) = mpsc::unbounded_channel();
        let mut threads = Vec::new();
        for (name, text) in site.settings(&emulation)? {
            let settings = Settings::parse(&name, &text)?;
            let log_path = args.logs.as_ref().map(|folder| folder.join(format!("{name}.log")));
            let settings = (settings, operators.clone());
            threads.push(spawn_controller(
                settings,
                level,
                log_path,
                shutdown.clone(),
                outcome_sender.clone(),
            )?);
        }
        let outcome = tokio::select! {
            () = termination_signal() => Ok(()),
            () = async {
                emulation.wait_until_all_healthy().await;
                print_addresses(&emulation, started_at);
                std::future::pending().await
            } => Ok(()),
            outcome = outcomes.recv() => outcome.unwrap_or(Err(EmulatedError::ControllersEnded)),
        };
        shutdown.cancel();
        // Stopping controllers revoke their leases in the state service, so it runs until they end.
        let _ =
            tokio::task::spawn_blocking(|| threads.into_iter().for_each(|thread| drop(thread.join()))).await;
        if outcome.is_ok() {
            print_summary(&emulation);
        }
        emulation.stop().await;
        outcome
    })
}

/// Starts a controller on a thread with a runtime of its own, as if it ran in a separate process.
fn spawn_controller(
    (settings, operators): (Settings, OperatorSettings),
    level: tracing::Level,
    log_path: Option<PathBuf>,
    shutdown: CancellationToken,
    outcome_sender: mpsc::UnboundedSender<Result<(), EmulatedError>>,
) -> Result<JoinHandle<()>, EmulatedError> {
    let log_file = match &log_path {
        Some(path) => Some(std::fs::File::create(path).map_err(write_error(path))?),
        None => None,
    };
    let name = settings.node_name.clone();
    let run_thread = move || {
        let _subscriber_guard = tracing::dispatcher::set_default(&subscriber(level, log_file));
        let stopped = async move { shutdown.cancelled().await };
        let outcome = runtime().and_then(|runtime| runtime.block_on(run(settings, operators, stopped)));
        let _ = outcome_sender.send(outcome.map_err(EmulatedError::from));
    };
    std::thread::Builder::new()
        .name(name)
        .spawn(run_thread)
        .map_err(|error| ProcessError::Runtime(error).into())
}

fn subscriber(level: tracing::Level, log_file: Option<std::fs::File>) -> tracing::Dispatch {
    let fmt = tracing_subscriber::fmt().with_max_level(level).with_ansi(false).without_time();
    match log_file {
        Some(file) => fmt.with_target(false).with_writer(Mutex::new(file)).finish().into(),
        None => fmt.with_target(false).with_writer(std::io::stderr).finish().into(),
    }
}

fn print_addresses(emulation: &Emulation, started_at: Instant) {
    println!("users (load balancer)  {}", emulation.balancer_addr);
    for controller in &emulation.controllers {
        println!(
            "controller {:<12}{}  zone {}",
            controller.name, controller.proxy_addr, controller.file.zone
        );
    }
    println!("cloud                  {}", emulation.cloud_addr);
    if let Some(controller) = emulation.controllers.first() {
        println!("state service          {}", controller.state_addr);
    }
    println!("ready after {:.2} s; press Ctrl-C to stop", started_at.elapsed().as_secs_f64());
}

/// Prints the outcome of the run. All figures are simulated.
fn print_summary(emulation: &Emulation) {
    let (machines, spent) = emulation.summary();
    println!("stopped: {machines} machines were up, {spent:.4} spent (simulated)");
    let statistics = emulation.user_statistics();
    if statistics.submitted > 0 {
        println!(
            "users: {} jobs submitted, {} accepted, {} done (longest {:.1} s), {} cancelled, \
             {} refused with 400 or 422, {} given up",
            statistics.submitted,
            statistics.accepted,
            statistics.done,
            statistics.longest_completion.as_secs_f64(),
            statistics.cancelled,
            statistics.refused,
            statistics.given_up
        );
    }
    for (rule, job) in &statistics.violations {
        println!("rule broken, as seen by the job's user: {rule} {job}");
    }
}

/// Runs only the emulated site, and writes the settings files for controllers that are started by
/// hand.
pub fn run_site(args: &EmulateArgs) -> Result<(), EmulatedError> {
    let site = SiteFile::load(&args.site)?;
    logging::init().map_err(ProcessError::from)?;
    runtime()?.block_on(async {
        let emulation = Emulation::start(&site).await?;
        let folder = &args.settings;
        std::fs::create_dir_all(folder).map_err(write_error(folder))?;
        println!("users (load balancer)  {}", emulation.balancer_addr);
        println!("cloud                  {}", emulation.cloud_addr);
        for (name, text) in site.settings(&emulation)? {
            let path = folder.join(format!("{name}.toml"));
            std::fs::write(&path, text).map_err(write_error(&path))?;
            println!("sageloom serve --config {}", path.display());
        }
        for controller in &emulation.controllers {
            println!("users reach {} at {}", controller.name, controller.proxy_addr);
        }
        termination_signal().await;
        print_summary(&emulation);
        emulation.stop().await;
        Ok(())
    })
}
