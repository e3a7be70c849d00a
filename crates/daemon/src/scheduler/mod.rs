//! The scheduling loop. Each cycle decides what has ended, what starts where and what is
//! preempted, and commits it in one transaction that is conditional on all that it was decided
//! from.
//!
//! [`run`] does the I/O; [`decide`] and what it calls change only the state of the controller.

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
pub(crate) use commands::record_response;
#[cfg(test)]
pub(crate) use commit::commit;
#[cfg(test)]
pub(crate) use cycle::OutgoingCommands;
pub(crate) use cycle::SchedulingCycle;
pub(crate) use placement::capacity_is_collected_for;
#[cfg(any(test, feature = "bench"))]
pub(crate) use {
    cycle::CycleContext,
    decisions::decide,
    transaction::{CycleTransaction, build_transaction},
};
