//! `sageloom try` and `sageloom emulate`: the service on an emulated site.

use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::thread::JoinHandle;
use std::time::Instant;

use emulator::{Emulation, SiteFile};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::logging;
use crate::operators::Operators;
use crate::process::{ProcessError, run, runtime, termination_signal};
use crate::settings::{Settings, SettingsError};

/// What `sageloom try` runs without a file.
const SITE: (&str, &str) = ("examples/site.hcl", include_str!("../../../examples/site.hcl"));

#[derive(clap::Args)]
pub struct TryArgs {
    /// The emulated site (HCL); by default a small one that is built in.
    #[arg(long, value_name = "FILE")]
    site: Option<PathBuf>,
    /// The operators' own settings (HCL).
    #[arg(long, value_name = "FILE")]
    operators: Option<PathBuf>,
    /// A folder for the controllers' logs, one file each. Without it, and without
    /// LOG_LEVEL, only errors are shown.
    #[arg(long, value_name = "FOLDER")]
    logs: Option<PathBuf>,
}

#[derive(clap::Args)]
pub struct EmulateArgs {
    /// The emulated site (HCL).
    #[arg(long, value_name = "FILE")]
    site: PathBuf,
    /// The folder that the controllers' settings files are written to.
    #[arg(long, value_name = "FOLDER", default_value = "emulated")]
    settings: PathBuf,
}

/// Why an emulated site could not run.
#[derive(Debug, thiserror::Error)]
pub enum EmulatedError {
    #[error(transparent)]
    Process(#[from] ProcessError),
    #[error(transparent)]
    OperatorSettings(#[from] SettingsError),
    #[error(transparent)]
    Site(#[from] emulator::SiteError),
    #[error(transparent)]
    Live(#[from] emulator::EmulationError),
    #[error("the settings cannot be written as TOML: {0}")]
    Settings(#[from] toml::ser::Error),
    #[error("{0}: {1}")]
    Write(String, std::io::Error),
    #[error("the controllers ended")]
    Ended,
}

fn failed(path: &Path) -> impl FnOnce(std::io::Error) -> EmulatedError {
    let file = path.display().to_string();
    |e| EmulatedError::Write(file, e)
}

/// Three controllers, or as many as the file has, on an emulated site in one process.
pub fn try_out(args: &TryArgs) -> Result<(), EmulatedError> {
    let begun = Instant::now();
    let site = match &args.site {
        Some(file) => SiteFile::load(file)?,
        None => SiteFile::parse(SITE.0, SITE.1)?,
    };
    let level = match std::env::var("LOG_LEVEL") {
        Err(_) if args.logs.is_none() => tracing::Level::ERROR,
        _ => logging::level_from_environment().map_err(ProcessError::from)?,
    };
    let operators = args.operators.as_deref().map(Operators::load).transpose()?.unwrap_or_default();
    if let Some(folder) = &args.logs {
        std::fs::create_dir_all(folder).map_err(failed(folder))?;
    }
    let _quiet = tracing::dispatcher::set_default(&subscriber(level, None));
    runtime()?.block_on(async {
        let emulation = Emulation::start(&site).await?;
        let stop = CancellationToken::new();
        let (ends, mut ended) = mpsc::unbounded_channel();
        let mut threads = Vec::new();
        for (name, text) in site.settings(&emulation)? {
            let settings = Settings::parse(&name, &text)?;
            let log = args.logs.as_ref().map(|folder| folder.join(format!("{name}.log")));
            let settings = (settings, operators.clone());
            threads.push(controller(settings, level, log, stop.clone(), ends.clone())?);
        }
        let outcome = tokio::select! {
            () = termination_signal() => Ok(()),
            () = async {
                emulation.wait_until_all_healthy().await;
                tell(&emulation, begun);
                std::future::pending().await
            } => Ok(()),
            end = ended.recv() => end.unwrap_or(Err(EmulatedError::Ended)),
        };
        stop.cancel();
        // They leave the state service on their own; it has to be there for that.
        let _ = tokio::task::spawn_blocking(|| threads.into_iter().for_each(|t| drop(t.join()))).await;
        if outcome.is_ok() {
            tell_end(&emulation);
        }
        emulation.stop().await;
        outcome
    })
}

/// A controller on a thread and a runtime of its own, as it would be in a process.
fn controller(
    (settings, operators): (Settings, Operators),
    level: tracing::Level,
    log: Option<PathBuf>,
    stop: CancellationToken,
    ends: mpsc::UnboundedSender<Result<(), EmulatedError>>,
) -> Result<JoinHandle<()>, EmulatedError> {
    let file = match &log {
        Some(path) => Some(std::fs::File::create(path).map_err(failed(path))?),
        None => None,
    };
    let name = settings.node_name.clone();
    let body = move || {
        let _log = tracing::dispatcher::set_default(&subscriber(level, file));
        let stopped = async move { stop.cancelled().await };
        let end = runtime().and_then(|r| r.block_on(run(settings, operators, stopped)));
        let _ = ends.send(end.map_err(EmulatedError::from));
    };
    std::thread::Builder::new().name(name).spawn(body).map_err(|e| ProcessError::Runtime(e).into())
}

fn subscriber(level: tracing::Level, file: Option<std::fs::File>) -> tracing::Dispatch {
    let fmt = tracing_subscriber::fmt().with_max_level(level).with_ansi(false).without_time();
    match file {
        Some(file) => fmt.with_target(false).with_writer(Mutex::new(file)).finish().into(),
        None => fmt.with_target(false).with_writer(std::io::stderr).finish().into(),
    }
}

fn tell(emulation: &Emulation, begun: Instant) {
    println!("users (load balancer)  {}", emulation.balancer_addr);
    for c in &emulation.controllers {
        println!("controller {:<12}{}  zone {}", c.name, c.proxy_addr, c.file.zone);
    }
    println!("cloud                  {}", emulation.cloud_addr);
    if let Some(c) = emulation.controllers.first() {
        println!("state service          {}", c.state_addr);
    }
    println!("ready after {:.2} s; Ctrl-C ends it", begun.elapsed().as_secs_f64());
}

/// What came of it, all of it simulated.
fn tell_end(emulation: &Emulation) {
    let (machines, spent) = emulation.summary();
    println!("stopped: {machines} machines were up, {spent:.4} spent (simulated)");
    let t = emulation.user_statistics();
    if t.submitted > 0 {
        println!(
            "users: {} jobs submitted, {} accepted, {} done (longest {:.1} s), {} cancelled, {} refused, \
             {} given up",
            t.submitted,
            t.accepted,
            t.done,
            t.longest_completion.as_secs_f64(),
            t.cancelled,
            t.refused,
            t.given_up
        );
    }
    for (rule, job) in &t.violations {
        println!("broken, as its user saw it: {rule} {job}");
    }
}

/// The stand-ins alone, for controllers that are started by hand.
pub fn emulate(args: &EmulateArgs) -> Result<(), EmulatedError> {
    let site = SiteFile::load(&args.site)?;
    logging::init().map_err(ProcessError::from)?;
    runtime()?.block_on(async {
        let emulation = Emulation::start(&site).await?;
        let folder = &args.settings;
        std::fs::create_dir_all(folder).map_err(failed(folder))?;
        println!("users (load balancer)  {}", emulation.balancer_addr);
        println!("cloud                  {}", emulation.cloud_addr);
        for (name, text) in site.settings(&emulation)? {
            let path = folder.join(format!("{name}.toml"));
            std::fs::write(&path, text).map_err(failed(&path))?;
            println!("sageloom serve --config {}", path.display());
        }
        for c in &emulation.controllers {
            println!("users reach {} at {}", c.name, c.proxy_addr);
        }
        termination_signal().await;
        tell_end(&emulation);
        emulation.stop().await;
        Ok(())
    })
}
