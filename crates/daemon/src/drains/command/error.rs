//! Errors of `sageloom drain`.

use drain::feasibility::Blocker;
use drain::lifecycle::LifecycleError;
use drain::selection::SelectionError;
use store::{StoreError, key};

use crate::settings::SettingsError;

/// Why a command has failed. Nothing was written unless the message says so.
#[derive(Debug, thiserror::Error)]
pub enum DrainError {
    /// A settings file is invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// No address of the key-value store was given.
    #[error("the address of the state service is missing: give --state or --config")]
    NoState,
    /// An option is not an address.
    #[error("{option}: \"{value}\" is not an IP address and a port")]
    Address { option: &'static str, value: String },
    /// An option is not a number of seconds in its range.
    #[error("{option}: {value} is not a number of seconds from 0 to {MAX_OPTION_S}")]
    Seconds { option: &'static str, value: f64 },
    /// The name of the drain is invalid.
    #[error("\"{0}\" is not a valid name for a drain: 1 to 40 lower-case letters, digits and dashes")]
    Name(String),
    /// Another drain has this name.
    #[error("the name \"{0}\" is in use; `drain remove` deletes a drain that is over")]
    InUse(String),
    /// No drain has this name.
    #[error("there is no drain \"{0}\"")]
    Unknown(String),
    /// The drain's record cannot be read.
    #[error("{}: its record cannot be read", key::drain(.0))]
    Unreadable(String),
    /// The machines cannot be selected.
    #[error(transparent)]
    Selection(#[from] SelectionError),
    /// A live controller does not support drains.
    #[error("controller \"{0}\" does not support drains, or has them disabled")]
    OldController(String),
    /// Some unit can never be moved, so that the drain could never finish.
    #[error("the drain could never finish: {0}; --as-far-as-possible starts it in any case")]
    Infeasible(Blocker),
    /// The command does not fit the drain's phase.
    #[error("drain \"{name}\": {why}")]
    Lifecycle { name: String, why: LifecycleError },
    /// The records could not be read.
    #[error("the state service cannot be read: {0}; nothing was written")]
    NotRead(StoreError),
    /// A transaction failed, or its outcome is unknown.
    #[error("the state service did not confirm the change: {0}; {PARTIAL_WRITE_NOTICE}")]
    NotWritten(StoreError),
    /// Transactions conflicted too often.
    #[error("the change conflicted with changes by others too often; {PARTIAL_WRITE_NOTICE}")]
    Contended,
    /// The cloud's list of machines could not be read.
    #[error("the cloud's list of machines cannot be read: {0}; nothing was written")]
    Cloud(#[from] cloud::CloudError),
}

/// The end of messages after which some records may have been written.
const PARTIAL_WRITE_NOTICE: &str = "some changes may have been written; the command can safely be repeated";
/// The largest number of seconds that an option accepts.
pub(super) const MAX_OPTION_S: f64 = 1e7;
