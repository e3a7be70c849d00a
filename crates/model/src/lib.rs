//! A model of the protocol between controllers and workers, checked exhaustively for small sizes.
//!
//! `state` defines the state of the system, `steps` the possible transitions (`controller` and
//! `worker` define those of the two sides), and `explore` searches all states breadth-first for the
//! shortest trace to a violated invariant. Each mechanism of the protocol can be removed.
//! docs/design.md lists what the model leaves out.

mod canonical;
mod controller;
mod worker;

pub mod budget;
pub mod explore;
pub mod mechanism;
pub mod size;
pub mod state;
pub mod steps;
