//! Values of the state service as bytes.

use rmpv::Value;

/// A value as it is sent.
pub fn to_bytes(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, value).expect("written into memory");
    bytes
}

/// The value that these bytes are, all of them.
pub fn from_bytes(mut bytes: &[u8]) -> Value {
    let value = rmpv::decode::read_value(&mut bytes).expect("MessagePack");
    assert!(bytes.is_empty(), "there is more than one value");
    value
}
