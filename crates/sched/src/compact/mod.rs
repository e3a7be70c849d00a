//! Compact encodings of the lists in records.
//!
//! A job's record is a single value in the key-value store, so that one version guards the whole
//! job. The record of an array with more than a thousand tasks must therefore fit into a few KiB of
//! text.

pub mod assignments;
pub mod bitmap;
mod digits;
pub mod job_ids;
pub mod names;
mod numbered_name;

#[cfg(test)]
#[path = "../../tests/unit/compact.rs"]
mod tests;
