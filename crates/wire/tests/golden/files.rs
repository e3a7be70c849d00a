//! The files with golden data.

use std::path::Path;

/// The bytes of a file, whose path is relative to the `testdata` folder of the package.
pub fn read(file: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("testdata").join(file);
    std::fs::read(&path).unwrap_or_else(|error| unreachable!("{}: {error}", path.display()))
}

/// Bytes as text that a failing assertion can show.
pub fn printable(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}
