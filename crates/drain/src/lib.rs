//! Graceful drains: machines are emptied in steps and retired, within the disruption budgets of
//! services and teams.
//!
//! This package only makes decisions. It does no I/O, and the time is passed in.
//!
//! - [`budget`]: what may be stopped without exceeding a disruption budget.
//! - [`step`]: the decisions of one step for all drains.
//! - [`lifecycle`]: the state machine of a drain's record.
//! - [`selection`]: the machines that an operator selects.
//! - [`feasibility`]: whether a drain can finish at all.
//! - [`waves`]: the order of the machines in which a drain takes the least time and money.
//! - [`view`]: reads the input of these decisions from the records.
//! - [`capacity`]: looks for capacity in the inventory.
//!
//! The order is only a hint. The budgets hold because every transaction that stops a unit
//! voluntarily writes the team's disruption record and is conditional on that record's version.

#![warn(missing_docs)]

pub mod budget;
pub mod capacity;
pub mod feasibility;
pub mod lifecycle;
pub mod selection;
pub mod step;
pub mod view;
pub mod waves;

#[cfg(test)]
#[path = "../tests/unit/site.rs"]
mod site;
#[cfg(test)]
#[path = "../tests/unit/test_records.rs"]
mod test_records;
