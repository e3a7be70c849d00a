//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::emulated::{self, EmulatedError};
use crate::operators::Operators;
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

/// Runs the program by its command line.
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
        Command::Try(args) => emulated::try_out(&args)?,
        Command::Emulate(args) => emulated::emulate(&args)?,
        Command::Check(files) => {
            load(&files)?;
            println!("the settings are valid");
        }
    }
    Ok(())
}

fn serve(files: &Files) -> Result<(), ProcessError> {
    let (settings, operators) = load(files)?;
    logging::init()?;
    runtime()?.block_on(process::run(settings, operators, process::termination_signal()))
}

/// Loads and checks the settings files.
fn load(files: &Files) -> Result<(Settings, Operators), SettingsError> {
    let settings = Settings::load(&files.config)?;
    let Some(file) = &files.operators else { return Ok((settings, Operators::default())) };
    let operators = Operators::load(file)?;
    operators.check_teams(&file.display().to_string(), &settings)?;
    Ok((settings, operators))
}
