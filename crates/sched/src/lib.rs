//! The scheduler's records and decisions. This crate performs no I/O: callers pass in the cluster
//! state and the current time.

#![deny(missing_docs)]
#![cfg_attr(not(test), deny(clippy::too_many_lines))]

mod assignment;
pub mod autoscaling;
mod compact;
pub mod drain_records;
pub mod drains;
pub mod forecast;
pub mod hash;
mod inventory;
pub mod pipeline;
pub mod placement;
pub mod preempt;
pub mod records;
pub mod replica;
pub mod rescheduler;
pub mod spot_notice;
mod versioned;
