//! A record together with its version in the key-value store.

/// A record and the version at which it last changed.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// The record.
    pub value: T,
    /// The revision of the key-value store at which the record last changed.
    pub version: u64,
}
