//! A record together with the name of its golden file.

/// A record and the golden file with its encoded bytes.
pub struct Fixture<T> {
    /// The name of the file in `testdata`.
    pub file: String,
    /// The record.
    pub record: T,
}

/// Creates a fixture from the name of its golden file without the suffix, and a record.
pub fn fixture<T>(name: &str, record: T) -> Fixture<T> {
    Fixture { file: format!("{name}.msgpack"), record }
}
