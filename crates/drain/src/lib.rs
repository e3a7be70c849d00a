//! Gentle drains: machines are retired in steps, with every team's disruption budget held.
//!
//! Decisions only, without input or output; time is passed in. [`budget`] tells what may be
//! stopped, [`step`] what one look at all drains does, [`lifecycle`] how a drain's record
//! changes by it, [`selection`] which machines an operator means, [`feasibility`] whether a
//! drain could ever finish, and [`waves`] in which order it is over soonest and cheapest.
//! [`view`] reads all that from the records, [`room`] looks for room on the inventory.
//!
//! The order is advice. What holds the budget is that every transaction that stops something
//! changes the team's record of what is down by choice, and is conditional on its version.

#![warn(missing_docs)]

pub mod budget;
pub mod feasibility;
pub mod lifecycle;
pub mod room;
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
