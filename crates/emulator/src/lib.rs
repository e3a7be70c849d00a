//! An emulated site: stand-ins for everything the service speaks with, written by the
//! protocols alone. They are state machines that time is passed into, so that the same
//! code runs on a test's clock without sockets and behind HTTP on loopback.

mod bucket;
mod journal;
mod state;

pub use journal::{Journal, JournalError};
pub use state::{Data, StateLimits, StateService, Step, Troubles, Watch};
