//! The state service: client, record encoding, and the write budget.

mod budget;
mod client;
mod codec;
mod wide;

pub use budget::Budget;
pub use client::{Outcome, StateClient, StoreError};
pub use codec::{Put, decode_change, key};
pub use wide::{Orphans, Reader, Wide, split};
