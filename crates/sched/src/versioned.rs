//! A record together with its version in the key-value store.

/// A record and the version at which it last changed.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// The record.
    pub value: T,
    /// The revision of the key-value store at which the record last changed.
    pub version: u64,
}

/// Whether the known record is newer than a change. A controller's own writes may be applied before
/// it receives the changes that precede them.
pub(crate) fn is_newer<T>(known: Option<&Versioned<T>>, version: u64) -> bool {
    known.is_some_and(|known| known.version > version)
}
