//! Drains: machines that are emptied gracefully and released. The decisions are made by the package
//! `drain`. Here the leader observes the running tasks, decides and commits, in steps for all drains
//! that are not over.
//!
//! Each step closes the disruptions whose units run again, lifts the cordons of closing drains,
//! records the outcomes of machines, and stops the units that may be stopped now. Each of these is a
//! transaction of its own, conditional on the records that it was decided from. The transactions of
//! a leader that has been replaced therefore fail.

pub mod command;
mod disruptions;
mod eviction_budget;
mod execution;
mod housekeeping;
mod machine_order;
mod report;
mod run;
pub mod running_tasks;
mod step;
mod support;
mod transaction;
mod unit_stops;

pub(crate) use disruptions::disruption_condition;
pub use eviction_budget::EvictionBudget;
pub use run::run_drains;
pub use support::unsupporting_controller;

#[cfg(test)]
#[path = "../../tests/unit/drains.rs"]
mod tests;
