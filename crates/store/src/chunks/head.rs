//! The head of a chunked record: the value under the record's key.

use rmpv::Value;

/// The only field of a head, which distinguishes it from a record that is not chunked.
const FIELD: &str = "wide";

/// Identifies the chunks of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Head {
    /// The nonce in the keys of the chunks.
    pub(super) nonce: String,
    /// The number of chunks.
    pub(super) count: usize,
}

impl Head {
    /// Encodes the head.
    pub(super) fn to_value(&self) -> Value {
        let chunks = Value::Array(vec![Value::from(self.nonce.as_str()), Value::from(self.count)]);
        Value::Map(vec![(Value::from(FIELD), chunks)])
    }

    /// Decodes a head; `None` if the value is a record that is not chunked.
    pub(super) fn from_value(value: &Value) -> Option<Self> {
        let [(field, chunks)] = value.as_map()?.as_slice() else { return None };
        if field.as_str() != Some(FIELD) {
            return None;
        }
        let [nonce, count] = chunks.as_array()?.as_slice() else { return None };
        Some(Self { nonce: nonce.as_str()?.to_owned(), count: usize::try_from(count.as_u64()?).ok()? })
    }
}
