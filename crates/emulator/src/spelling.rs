//! Ways to spell the same submission that the protocol allows: MessagePack has several forms for most
//! values, fields come in any order, and receivers ignore those that they do not know.

use rand::RngExt;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rmp::Marker;
use rmpv::Value;
use wire::JobSpec;

/// A way to spell a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spelling {
    /// The fields are in another order.
    Reordered,
    /// Every number, text, list and map has the widest form.
    Widest,
    /// Amounts without a fraction are integers, the others numbers of 32 bits if they have that value.
    Narrow,
    /// Optional fields without a value are null.
    Null,
    /// An unknown field has a long text.
    LongUnknownField,
    /// An unknown field has lists in lists, thousands deep.
    DeepUnknownField,
    /// Unknown fields have values of every type.
    UnknownFieldsOfEveryType,
    /// The submission is shorter than 64 KiB as JSON, and much longer as MessagePack.
    LongerThanAsJson,
}

impl Spelling {
    /// All ways.
    pub const ALL: [Self; 8] = [
        Self::Reordered,
        Self::Widest,
        Self::Narrow,
        Self::Null,
        Self::LongUnknownField,
        Self::DeepUnknownField,
        Self::UnknownFieldsOfEveryType,
        Self::LongerThanAsJson,
    ];

    /// Draws one of the ways.
    pub fn draw(rng: &mut StdRng) -> Self {
        Self::ALL.get(rng.random_range(0..Self::ALL.len())).copied().unwrap_or(Self::Reordered)
    }

    /// The body of a submission of this job.
    pub fn encode(self, job: &JobSpec, rng: &mut StdRng) -> Vec<u8> {
        let mut fields = fields(job);
        match self {
            Self::Reordered => fields.shuffle(rng),
            Self::Widest => {
                let pairs: Vec<Vec<u8>> =
                    fields.iter().map(|(name, value)| [widest_text(name), widest(value)].concat()).collect();
                return [map32(pairs.len() as u32), pairs.concat()].concat();
            }
            Self::Narrow => fields.iter_mut().for_each(|(_, value)| narrow(value)),
            Self::Null => {
                for name in ["shapes", "bay", "due_s", "awaits"] {
                    if !fields.iter().any(|(known, _)| known == name) {
                        fields.push((name.to_owned(), Value::Nil));
                    }
                }
            }
            Self::LongUnknownField => {
                fields.push(("remark".into(), Value::from("x".repeat(LONG_TEXT_BYTES))));
            }
            Self::DeepUnknownField => return with_unknown(&fields, &nested_lists(NESTED_LISTS)),
            Self::UnknownFieldsOfEveryType => return with_unknown(&fields, &every_type()),
            Self::LongerThanAsJson => return with_unknown(&fields, &widest_zeros(ZEROS)),
        }
        let pairs = fields.into_iter().map(|(name, value)| (Value::from(name), value)).collect();
        wire::encode(&Value::Map(pairs))
    }
}

/// Length of a text that leaves room for the job within 64 KiB.
const LONG_TEXT_BYTES: usize = 60_000;
/// A nested list takes two bytes as JSON.
const NESTED_LISTS: usize = 30_000;
/// A zero in a list takes two bytes as JSON, and up to nine as MessagePack.
const ZEROS: u32 = 31_000;

fn fields(job: &JobSpec) -> Vec<(String, Value)> {
    let encoded = wire::encode(job);
    let value: Value = wire::decode(&encoded).unwrap_or(Value::Nil);
    let Value::Map(pairs) = value else { return Vec::new() };
    pairs.into_iter().filter_map(|(name, value)| Some((name.as_str()?.to_owned(), value))).collect()
}

fn narrow(value: &mut Value) {
    let Value::F64(number) = *value else { return };
    if number.fract() == 0.0 {
        *value = Value::from(number as i64);
    } else if f64::from(number as f32) == number {
        *value = Value::F32(number as f32);
    }
}

/// A submission with an unknown field before the known ones.
fn with_unknown(fields: &[(String, Value)], unknown: &[u8]) -> Vec<u8> {
    let mut body = map32(fields.len() as u32 + 1);
    body.extend(widest_text("remark"));
    body.extend_from_slice(unknown);
    for (name, value) in fields {
        body.extend(wire::encode(&Value::from(name.as_str())));
        body.extend(wire::encode(value));
    }
    body
}

fn map32(pairs: u32) -> Vec<u8> {
    with_marker(Marker::Map32, &pairs.to_be_bytes())
}

fn with_marker(marker: Marker, rest: &[u8]) -> Vec<u8> {
    [&[marker.to_u8()], rest].concat()
}

fn widest_text(text: &str) -> Vec<u8> {
    [with_marker(Marker::Str32, &(text.len() as u32).to_be_bytes()), text.as_bytes().to_vec()].concat()
}

fn widest(value: &Value) -> Vec<u8> {
    match value {
        Value::String(text) => widest_text(text.as_str().unwrap_or_default()),
        Value::Integer(number) => match number.as_i64() {
            Some(number) => with_marker(Marker::I64, &number.to_be_bytes()),
            None => with_marker(Marker::U64, &number.as_u64().unwrap_or_default().to_be_bytes()),
        },
        Value::Array(values) => {
            let length = (values.len() as u32).to_be_bytes();
            [with_marker(Marker::Array32, &length), values.iter().flat_map(widest).collect()].concat()
        }
        other => wire::encode(other),
    }
}

fn nested_lists(depth: usize) -> Vec<u8> {
    let mut lists = vec![Marker::FixArray(1).to_u8(); depth - 1];
    lists.push(Marker::FixArray(0).to_u8());
    lists
}

fn widest_zeros(count: u32) -> Vec<u8> {
    let zeros = with_marker(Marker::U64, &0_u64.to_be_bytes()).repeat(count as usize);
    [with_marker(Marker::Array32, &count.to_be_bytes()), zeros].concat()
}

/// A list of a value of every type of MessagePack.
fn every_type() -> Vec<u8> {
    let values: [&[u8]; 33] = [
        &[0x05],
        &[0xff],
        &[0xc0],
        &[0xc2],
        &[0xc3],
        &[0xc4, 1, 7],
        &[0xc5, 0, 1, 7],
        &[0xc6, 0, 0, 0, 1, 7],
        &[0xc7, 1, 9, 7],
        &[0xc8, 0, 1, 9, 7],
        &[0xc9, 0, 0, 0, 1, 9, 7],
        &[0xca, 0x7f, 0xc0, 0, 0],
        &[0xcb, 0x40, 0, 0, 0, 0, 0, 0, 0],
        &[0xcc, 200],
        &[0xcd, 1, 2],
        &[0xce, 1, 2, 3, 4],
        &[0xcf, 1, 2, 3, 4, 5, 6, 7, 8],
        &[0xd0, 200],
        &[0xd1, 200, 2],
        &[0xd2, 200, 2, 3, 4],
        &[0xd3, 200, 2, 3, 4, 5, 6, 7, 8],
        &[0xd4, 9, 1],
        &[0xd5, 9, 1, 2],
        &[0xd6, 9, 1, 2, 3, 4],
        &[0xd7, 9, 1, 2, 3, 4, 5, 6, 7, 8],
        &[0xd8, 9, 1, 2, 3, 4, 5, 6, 7, 8, 1, 2, 3, 4, 5, 6, 7, 8],
        &[0xd9, 1, b'x'],
        &[0xda, 0, 1, b'x'],
        &[0xdb, 0, 0, 0, 1, b'x'],
        &[0x91, 0xa1, b'x'],
        &[0xdc, 0, 1, 0xc0],
        &[0xde, 0, 1, 0x05, 0x81, 0xa1, b'x', 0x90],
        &[0xdf, 0, 0, 0, 1, 0xa0, 0xdd, 0, 0, 0, 1, 0xc0],
    ];
    let length = (values.len() as u32).to_be_bytes();
    [with_marker(Marker::Array32, &length), values.concat()].concat()
}
