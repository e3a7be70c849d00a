//! The state service: client, record encoding, and the write budget.

#![warn(missing_docs)]

mod budget;
mod chunks;
mod client;
mod codec;

pub use budget::Budget;
pub use chunks::{Chunked, Orphans, Reader, split};
pub use client::{Outcome, StateClient, StoreError};
pub use codec::{Put, decode_change, key};
