//! A record together with its version in the key-value store.

/// A record and the version at which it last changed.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// The record.
    pub value: T,
    /// The revision of the key-value store at which the record last changed.
    pub version: u64,
}

/// Whether the record that is known is newer than a change. What this controller wrote itself may
/// be known before the changes that precede it.
pub(crate) fn is_newer<T>(known: Option<&Versioned<T>>, version: u64) -> bool {
    known.is_some_and(|known| known.version > version)
}
