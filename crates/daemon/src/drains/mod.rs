//! Drains: machines that are emptied gracefully and released. The decisions are in the package
//! `drain`; here the leader observes, decides and commits, one step after the other for all
//! drains that are not over.
//!
//! In each step, disruptions whose replicas run again are closed; cordons of drains that end are
//! lifted; outcomes of machines are recorded; and what may be stopped now is stopped. Each is a
//! transaction of its own, conditional on all records that it was decided from, so that a step of
//! a leader that has been replaced comes to nothing.

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
