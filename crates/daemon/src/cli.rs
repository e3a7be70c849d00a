//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::emulated::{self, EmulatedError};
use crate::operators::OperatorSettings;
use crate::process::{self, ProcessError, runtime};
use crate::settings::{Settings, SettingsError};
use crate::{client, drains, logging};

/// A cluster scheduler: jobs from users, machines from a cloud.
#[derive(Parser)]
#[command(name = "sageloom", version, about, propagate_version = true)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller until it receives SIGTERM or SIGINT.
    Serve(SettingsFiles),
    /// Check the settings files and report the first mistake.
    Check(SettingsFiles),
    /// Submit jobs, show their status and withdraw them.
    Job(client::JobArgs),
    /// Drain machines in steps, within the disruption budgets of services and teams.
    Drain(drains::command::DrainArgs),
    /// Run controllers on an emulated site in one process, until Ctrl-C.
    Try(emulated::TryArgs),
    /// Run only the emulated site, for controllers that are started by hand, until Ctrl-C.
    Emulate(emulated::EmulateArgs),
}

#[derive(clap::Args)]
struct SettingsFiles {
    /// The platform's settings file (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' settings file (HCL); without it, the defaults apply.
    #[arg(long, value_name = "FILE")]
    operators: Option<PathBuf>,
}

/// Why the program failed. The message is one line that names what has to be changed.
#[derive(Debug, thiserror::Error)]
enum ProgramError {
    #[error(transparent)]
    Process(#[from] ProcessError),
    #[error(transparent)]
    Client(#[from] client::ClientError),
    #[error(transparent)]
    Drain(#[from] drains::command::DrainError),
    #[error(transparent)]
    Emulated(#[from] EmulatedError),
}

impl From<SettingsError> for ProgramError {
    fn from(error: SettingsError) -> Self {
        ProcessError::from(error).into()
    }
}

/// Parses the command line, runs the command and returns the exit code of the process.
pub fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sageloom: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), ProgramError> {
    match command {
        Command::Serve(files) => serve(&files)?,
        Command::Job(args) => runtime()?.block_on(client::run(args))?,
        Command::Drain(args) => runtime()?.block_on(drains::command::run(args))?,
        Command::Try(args) => emulated::run_site_with_controllers(&args)?,
        Command::Emulate(args) => emulated::run_site(&args)?,
        Command::Check(files) => {
            load(&files)?;
            println!("the settings are valid");
        }
    }
    Ok(())
}

fn serve(files: &SettingsFiles) -> Result<(), ProcessError> {
    let (settings, operators) = load(files)?;
    logging::init()?;
    runtime()?.block_on(process::run(settings, operators, process::termination_signal()))
}

/// Loads and checks the settings files.
fn load(files: &SettingsFiles) -> Result<(Settings, OperatorSettings), SettingsError> {
    let settings = Settings::load(&files.config)?;
    let Some(file) = &files.operators else { return Ok((settings, OperatorSettings::default())) };
    let operators = OperatorSettings::load(file)?;
    operators.check_teams(&file.display().to_string(), &settings)?;
    Ok((settings, operators))
}
