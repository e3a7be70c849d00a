//! The head of a chunked record.

use rmpv::Value;

/// The only field of a head, by which it is told from a record.
const FIELD: &str = "wide";

/// Names the chunks of a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Head {
    /// The nonce in the keys of the chunks.
    pub(super) nonce: String,
    /// How many chunks there are.
    pub(super) count: usize,
}

impl Head {
    /// The head as a value.
    pub(super) fn to_value(&self) -> Value {
        let names = Value::Array(vec![Value::from(self.nonce.as_str()), Value::from(self.count)]);
        Value::Map(vec![(Value::from(FIELD), names)])
    }

    /// Reads a head; `None` if the value is a record that is not chunked.
    pub(super) fn from_value(value: &Value) -> Option<Self> {
        let [(field, names)] = value.as_map()?.as_slice() else { return None };
        if field.as_str() != Some(FIELD) {
            return None;
        }
        let [nonce, count] = names.as_array()?.as_slice() else { return None };
        Some(Self { nonce: nonce.as_str()?.to_owned(), count: usize::try_from(count.as_u64()?).ok()? })
    }
}
