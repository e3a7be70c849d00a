//! The dense encoding of the lists in records.
//!
//! A record is one value of the key-value store, so that one version guards the whole job; an
//! array of more than a thousand tasks has to fit into a few KiB of text.

pub mod assignments;
pub mod bitmap;
mod digits;
pub mod job_ids;
pub mod names;
mod numbered_name;

#[cfg(test)]
#[path = "../../tests/unit/compact.rs"]
mod tests;
