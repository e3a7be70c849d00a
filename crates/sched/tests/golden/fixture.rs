//! A record together with its golden data.

/// A record, and the file that has it as it lies in the state service.
pub struct Fixture<T> {
    /// The name of the file in `testdata`.
    pub file: String,
    /// The record.
    pub record: T,
}

/// A record and the name of its file, without the suffix.
pub fn fixture<T>(name: &str, record: T) -> Fixture<T> {
    Fixture { file: format!("{name}.msgpack"), record }
}
