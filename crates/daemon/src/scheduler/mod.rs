//! The scheduling loop. Each cycle decides which tasks have ended, which start on which machines
//! and which are preempted. It commits these decisions in one transaction, conditional on the
//! versions of the records that they are based on.
//!
//! [`run`] does the I/O; [`decide`] and the functions that it calls only change the in-memory state
//! of the controller.

mod commands;
mod commit;
mod cycle;
mod decisions;
mod events;
mod placement;
mod proof_forwarding;
mod rescheduling;
mod run;
mod terminations;
mod transaction;
mod worker_reconciliation;

pub use run::{detect_pauses, run_scheduler};

#[cfg(test)]
pub(crate) use commands::{CommandsOutcome, record_outcome};
#[cfg(test)]
pub(crate) use commit::commit;
#[cfg(test)]
pub(crate) use cycle::OutgoingCommands;
pub(crate) use cycle::SchedulingCycle;
pub(crate) use placement::competes_with_longest_waiting_gang;
#[cfg(any(test, feature = "bench"))]
pub(crate) use {
    cycle::CycleContext,
    decisions::decide,
    transaction::{CycleTransaction, build_transaction},
};
