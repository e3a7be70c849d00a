//! The decisions of sageloom, without any input or output: callers pass in what
//! is known and what time it is.

mod board;
pub mod drain;
pub mod fleet;
pub mod forecast;
pub mod hash;
mod packed;
pub mod pipeline;
pub mod placement;
pub mod preempt;
pub mod records;
pub mod rescheduler;
pub mod world;
