//! The state service: a small consistent key-value store with leases and watches.

mod data;
mod request;
pub(crate) use request::query;
mod service;

pub use data::Data;
pub(crate) use data::{Change, Write};
pub use service::{ExecutionOutcome, StateLimits, StateService, Watch};

use serde::Serialize;

/// Length as JSON, the form to which the size limits apply.
pub(crate) fn json_len<T: Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX / 2, |v| v.len())
}
