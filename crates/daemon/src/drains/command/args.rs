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
    /// The platform's settings (TOML), in the place of --state and --cloud.
    #[arg(long, value_name = "FILE", global = true)]
    pub(super) config: Option<PathBuf>,
    #[command(subcommand)]
    pub(super) verb: DrainVerb,
}

#[derive(clap::Subcommand)]
pub(super) enum DrainVerb {
    /// Start to drain machines.
    Start {
        /// A name of its own: small letters, digits and dashes.
        name: String,
        #[command(flatten)]
        machines: SelectionArgs,
        #[command(flatten)]
        policy: PolicyArgs,
        /// Start even if some of it can never be moved.
        #[arg(long)]
        as_far_as_possible: bool,
    },
    /// Tell what a drain would do, and what stands in its way; nothing is written.
    Plan {
        #[command(flatten)]
        machines: SelectionArgs,
        #[command(flatten)]
        policy: PolicyArgs,
    },
    /// All drains, a line each.
    List,
    /// How far a drain is, and what it waits for.
    Status { name: String },
    /// Stop a drain: what it has not moved yet stays.
    Stop { name: String },
    /// Go on with a drain that was stopped, or that stopped by itself.
    Resume { name: String },
    /// Forget a drain that is over.
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
    /// All machines that were rented more than so many seconds ago.
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
    /// How long work that cannot save its progress may run on.
    #[arg(long, value_name = "SECONDS", default_value_t = 600.0)]
    pub(super) patience_s: f64,
    /// What becomes of it then.
    #[arg(long, value_enum, default_value_t = Unsaved::Leave)]
    pub(super) unsaved: Unsaved,
    /// How long one obstacle may stand before the drain stops by itself.
    #[arg(long, value_name = "SECONDS", default_value_t = 3600.0)]
    pub(super) give_up_s: f64,
    /// The operators' settings (HCL), for the budgets that are planned with.
    #[arg(long, value_name = "FILE")]
    pub(super) operators: Option<PathBuf>,
}

#[derive(Debug, Clone, Copy, clap::ValueEnum)]
pub(super) enum Unsaved {
    /// It runs on, and its machine stays.
    Leave,
    /// It is stopped, and starts anew elsewhere.
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
