//! Reading the golden files.

use std::path::Path;

/// Reads a file whose path is relative to the `testdata` folder of the package.
pub fn read(file: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("testdata").join(file);
    std::fs::read(&path).unwrap_or_else(|error| unreachable!("{}: {error}", path.display()))
}

/// Converts bytes to text that is readable in the message of a failed assertion.
pub fn printable(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}
