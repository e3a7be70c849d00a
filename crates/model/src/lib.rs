//! A model of what keeps the rules, explored exhaustively for small sizes.
//!
//! `state` holds what there is at one moment, `steps` what can happen next (in
//! `controller` and `machine` for the two sides), `explore` walks all of it in breadth
//! and gives the shortest way to a broken rule. Each mechanism can be removed. What the
//! model leaves out stands in docs/design.md.

mod controller;
mod machine;
mod order;

pub mod budget;
pub mod explore;
pub mod mechanism;
pub mod size;
pub mod state;
pub mod steps;
