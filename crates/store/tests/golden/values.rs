//! Encoding of values of the key-value store.

use rmpv::Value;

/// Encodes a value as it is sent.
pub fn to_bytes(value: &Value) -> Vec<u8> {
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, value).expect("encoded into memory");
    bytes
}

/// Decodes a value, which has to take up all of the bytes.
pub fn from_bytes(mut bytes: &[u8]) -> Value {
    let value = rmpv::decode::read_value(&mut bytes).expect("MessagePack");
    assert!(bytes.is_empty(), "there is more than one value");
    value
}
