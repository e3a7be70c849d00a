//! The command line of `sageloom drain`. The doc comments of its fields are the help texts.

use std::path::PathBuf;

use drain::selection::Selection;
use sched::drain_records::UnsavedWork;

/// The arguments of `sageloom drain`.
#[derive(clap::Args)]
pub struct DrainArgs {
    /// The state service.
    #[arg(long, value_name = "IP:PORT", env = "SAGELOOM_STATE", global = true)]
    pub(super) state: Option<String>,
    /// The cloud, for --rented-before-s.
    #[arg(long, value_name = "IP:PORT", env = "SAGELOOM_CLOUD", global = true)]
    pub(super) cloud: Option<String>,
    /// The platform's settings (TOML), instead of --state and --cloud.
    #[arg(long, value_name = "FILE", global = true)]
    pub(super) config: Option<PathBuf>,
    #[command(subcommand)]
    pub(super) verb: DrainVerb,
}

#[derive(clap::Subcommand)]
pub(super) enum DrainVerb {
    /// Start to drain machines.
    Start {
        /// A new name for the drain: lower-case letters, digits and dashes.
        name: String,
        #[command(flatten)]
        machines: SelectionArgs,
        #[command(flatten)]
        policy: PolicyArgs,
        /// Start even if some of the work can never be moved.
        #[arg(long)]
        as_far_as_possible: bool,
    },
    /// Show what a drain would do, and what would keep it from finishing; nothing is written.
    Plan {
        #[command(flatten)]
        machines: SelectionArgs,
        #[command(flatten)]
        policy: PolicyArgs,
    },
    /// List all drains, one per line.
    List,
    /// Show the progress of a drain, and what it waits for.
    Status { name: String },
    /// Stop a drain; work that it has not moved yet stays where it is.
    Stop { name: String },
    /// Resume a drain that was stopped, or that stopped by itself.
    Resume { name: String },
    /// Delete the records of a drain that is over.
    Remove { name: String },
}

#[derive(clap::Args)]
pub(super) struct SelectionArgs {
    /// A machine; may be given several times.
    #[arg(long = "machine", value_name = "NAME")]
    pub(super) machines: Vec<String>,
    /// All machines of a zone.
    #[arg(long, value_name = "NAME")]
    pub(super) zone: Option<String>,
    /// All machines of a type.
    #[arg(long = "type", value_name = "NAME")]
    pub(super) machine_type: Option<String>,
    /// All machines that were rented more than this number of seconds ago.
    #[arg(long, value_name = "SECONDS")]
    pub(super) rented_before_s: Option<f64>,
}

impl From<SelectionArgs> for Selection {
    fn from(args: SelectionArgs) -> Self {
        let SelectionArgs { machines, zone, machine_type, rented_before_s } = args;
        Self { machines, zone, machine_type, older_than_s: rented_before_s }
    }
}

#[derive(clap::Args)]
pub(super) struct PolicyArgs {
    /// How long work that cannot save its progress may keep running.
    #[arg(long, value_name = "SECONDS", default_value_t = 600.0)]
    pub(super) patience_s: f64,
    /// What to do with such work after that time.
    #[arg(long, value_enum, default_value_t = Unsaved::Leave)]
    pub(super) unsaved: Unsaved,
    /// How long one obstacle may last before the drain stops by itself.
    #[arg(long, value_name = "SECONDS", default_value_t = 3600.0)]
    pub(super) give_up_s: f64,
    /// The operators' settings (HCL), for the disruption budgets to plan with.
    #[arg(long, value_name = "FILE")]
    pub(super) operators: Option<PathBuf>,
}

#[derive(Debug, Clone, Copy, clap::ValueEnum)]
pub(super) enum Unsaved {
    /// It keeps running, and its machine stays.
    Leave,
    /// It is stopped, and starts again from the beginning elsewhere.
    Stop,
}

impl From<Unsaved> for UnsavedWork {
    fn from(unsaved: Unsaved) -> Self {
        match unsaved {
            Unsaved::Leave => Self::Leave,
            Unsaved::Stop => Self::Stop,
        }
    }
}
