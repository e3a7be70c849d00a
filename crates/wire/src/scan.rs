//! Scans MessagePack without recursion and without building its values.
//!
//! A receiver must ignore fields that it does not know, whatever they contain and however deeply they
//! are nested. The fields that it does know are copied, and only the copy is decoded.

use std::ops::Range;

use rmp::Marker;

use crate::DecodeError;

/// Bytes of a boolean or null as JSON, at most.
const JSON_TRUE_BYTES: usize = 4;
const JSON_FALSE_BYTES: usize = 5;
/// Bytes of the quotes of a text, and of the brackets of a list or map.
const JSON_DELIMITER_BYTES: usize = 2;
/// Bytes of an escaped control character.
const JSON_CONTROL_CHARACTER_BYTES: usize = 6;

/// The fields of a message that its receiver knows.
pub(crate) struct KnownFields {
    /// A map of these fields, as they were sent.
    pub(crate) encoded: Vec<u8>,
    /// Size of the whole message, written as JSON, in bytes.
    pub(crate) json_bytes: usize,
    /// Whether all keys of the message are texts.
    pub(crate) has_text_keys_only: bool,
}

impl KnownFields {
    /// Copies the fields with these names from a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is not a single, complete MessagePack map.
    pub(crate) fn copy(message: &[u8], names: &[&str]) -> Result<Self, DecodeError> {
        let mut scanner = Scanner { message, position: 0 };
        let Token { contents: Contents::Map { pairs }, json_bytes } = scanner.next_token()? else {
            return Err(DecodeError("not a map".into()));
        };
        let mut known: Vec<Range<usize>> = Vec::new();
        let (mut json_bytes, mut has_text_keys_only) = (json_bytes, true);
        for _ in 0..pairs {
            let start = scanner.position;
            let key = scanner.next_token()?;
            json_bytes += key.json_bytes;
            let is_known = match key.contents {
                Contents::Text(name) => names.iter().any(|known| known.as_bytes() == name),
                contents => {
                    has_text_keys_only = false;
                    json_bytes += scanner.skip(contents.values())?;
                    false
                }
            };
            json_bytes += scanner.skip(1)?;
            if is_known {
                known.push(start..scanner.position);
            }
        }
        if scanner.position != message.len() {
            return Err(DecodeError("more than one value".into()));
        }
        Ok(Self { encoded: encode_map(message, &known), json_bytes, has_text_keys_only })
    }
}

/// The size of a message written as JSON, in bytes; `None` if it is not one complete MessagePack value.
pub fn json_bytes(message: &[u8]) -> Option<usize> {
    let mut scanner = Scanner { message, position: 0 };
    let bytes = scanner.skip(1).ok()?;
    (scanner.position == message.len()).then_some(bytes)
}

/// Encodes a map of pairs that are part of a message.
fn encode_map(message: &[u8], pairs: &[Range<usize>]) -> Vec<u8> {
    let mut encoded = vec![Marker::Map32.to_u8()];
    encoded.extend_from_slice(&(pairs.len() as u32).to_be_bytes());
    for pair in pairs {
        encoded.extend_from_slice(message.get(pair.clone()).unwrap_or_default());
    }
    encoded
}

/// Copies a message with null in place of every list and map below this depth.
///
/// # Errors
///
/// Returns an error if the message does not begin with a complete MessagePack value.
pub(crate) fn without_deep_values(message: &[u8], max_depth: usize) -> Result<Vec<u8>, DecodeError> {
    let mut scanner = Scanner { message, position: 0 };
    let mut copy = Vec::new();
    // The number of values left at each depth.
    let mut left_at_depth: Vec<u64> = vec![1];
    while let Some(left) = left_at_depth.last_mut() {
        if *left == 0 {
            left_at_depth.pop();
            continue;
        }
        *left -= 1;
        let start = scanner.position;
        let values = scanner.next_token()?.contents.values();
        if values > 0 && left_at_depth.len() > max_depth {
            scanner.skip(values)?;
            copy.push(Marker::Null.to_u8());
            continue;
        }
        copy.extend_from_slice(message.get(start..scanner.position).unwrap_or_default());
        if values > 0 {
            left_at_depth.push(values);
        }
    }
    Ok(copy)
}

/// A value, or the beginning of a list or map.
struct Token<'m> {
    contents: Contents<'m>,
    /// Bytes as JSON, without the values in a list or map.
    json_bytes: usize,
}

enum Contents<'m> {
    Text(&'m [u8]),
    List { values: u64 },
    Map { pairs: u64 },
    Other,
}

impl Contents<'_> {
    /// The number of values that follow and belong to this one.
    fn values(&self) -> u64 {
        match self {
            Self::List { values } => *values,
            Self::Map { pairs } => pairs * 2,
            Self::Text(_) | Self::Other => 0,
        }
    }
}

struct Scanner<'m> {
    message: &'m [u8],
    position: usize,
}

impl<'m> Scanner<'m> {
    /// Skips values with everything in them. Returns their size as JSON.
    fn skip(&mut self, values: u64) -> Result<usize, DecodeError> {
        let (mut left, mut json_bytes) = (values, 0);
        while left > 0 {
            let token = self.next_token()?;
            json_bytes += token.json_bytes;
            left = (left - 1).saturating_add(token.contents.values());
        }
        Ok(json_bytes)
    }

    fn take(&mut self, bytes: usize) -> Result<&'m [u8], DecodeError> {
        let end = self.position.saturating_add(bytes);
        let taken = self.message.get(self.position..end);
        let taken = taken.ok_or_else(|| DecodeError("it ends within a value".into()))?;
        self.position = end;
        Ok(taken)
    }

    fn unsigned(&mut self, bytes: usize) -> Result<u64, DecodeError> {
        Ok(self.take(bytes)?.iter().fold(0, |number, byte| number << 8 | u64::from(*byte)))
    }

    fn signed(&mut self, bytes: usize) -> Result<i64, DecodeError> {
        let unused_bits = 64 - 8 * bytes as u32;
        Ok((self.unsigned(bytes)? << unused_bits).cast_signed() >> unused_bits)
    }

    fn length(&mut self, bytes: usize) -> Result<usize, DecodeError> {
        Ok(usize::try_from(self.unsigned(bytes)?).unwrap_or(usize::MAX))
    }

    fn next_token(&mut self) -> Result<Token<'m>, DecodeError> {
        let marker = Marker::from_u8(self.take(1)?.first().copied().unwrap_or_default());
        let token = match marker {
            Marker::Null | Marker::True => scalar(JSON_TRUE_BYTES),
            Marker::False => scalar(JSON_FALSE_BYTES),
            Marker::FixPos(n) => scalar(n.to_string().len()),
            Marker::FixNeg(n) => scalar(n.to_string().len()),
            Marker::U8 => scalar(self.unsigned(1)?.to_string().len()),
            Marker::U16 => scalar(self.unsigned(2)?.to_string().len()),
            Marker::U32 => scalar(self.unsigned(4)?.to_string().len()),
            Marker::U64 => scalar(self.unsigned(8)?.to_string().len()),
            Marker::I8 => scalar(self.signed(1)?.to_string().len()),
            Marker::I16 => scalar(self.signed(2)?.to_string().len()),
            Marker::I32 => scalar(self.signed(4)?.to_string().len()),
            Marker::I64 => scalar(self.signed(8)?.to_string().len()),
            Marker::F32 => scalar(format!("{:?}", f32::from_bits(self.unsigned(4)? as u32)).len()),
            Marker::F64 => scalar(format!("{:?}", f64::from_bits(self.unsigned(8)?)).len()),
            Marker::FixStr(length) => self.text(usize::from(length))?,
            Marker::Str8 => self.text_with_length(1)?,
            Marker::Str16 => self.text_with_length(2)?,
            Marker::Str32 => self.text_with_length(4)?,
            Marker::FixArray(values) => list(u64::from(values)),
            Marker::Array16 => list(self.unsigned(2)?),
            Marker::Array32 => list(self.unsigned(4)?),
            Marker::FixMap(pairs) => map(u64::from(pairs)),
            Marker::Map16 => map(self.unsigned(2)?),
            Marker::Map32 => map(self.unsigned(4)?),
            Marker::Bin8 => self.binary_with_length(1, 0)?,
            Marker::Bin16 => self.binary_with_length(2, 0)?,
            Marker::Bin32 => self.binary_with_length(4, 0)?,
            Marker::Ext8 => self.binary_with_length(1, 1)?,
            Marker::Ext16 => self.binary_with_length(2, 1)?,
            Marker::Ext32 => self.binary_with_length(4, 1)?,
            Marker::FixExt1 => self.binary(2)?,
            Marker::FixExt2 => self.binary(3)?,
            Marker::FixExt4 => self.binary(5)?,
            Marker::FixExt8 => self.binary(9)?,
            Marker::FixExt16 => self.binary(17)?,
            Marker::Reserved => return Err(DecodeError("not MessagePack".into())),
        };
        Ok(token)
    }

    fn text_with_length(&mut self, length_bytes: usize) -> Result<Token<'m>, DecodeError> {
        let length = self.length(length_bytes)?;
        self.text(length)
    }

    fn text(&mut self, length: usize) -> Result<Token<'m>, DecodeError> {
        let text = self.take(length)?;
        let json_bytes = json_bytes_of_bytes(text);
        Ok(Token { contents: Contents::Text(text), json_bytes: json_bytes + JSON_DELIMITER_BYTES })
    }

    fn binary_with_length(
        &mut self,
        length_bytes: usize,
        type_bytes: usize,
    ) -> Result<Token<'m>, DecodeError> {
        let length = self.length(length_bytes)?;
        self.binary(length.saturating_add(type_bytes))
    }

    /// Binary data has no form in JSON; each byte counts as one.
    fn binary(&mut self, length: usize) -> Result<Token<'m>, DecodeError> {
        Ok(scalar(self.take(length)?.len()))
    }
}

fn scalar(json_bytes: usize) -> Token<'static> {
    Token { contents: Contents::Other, json_bytes }
}

fn list(values: u64) -> Token<'static> {
    let commas = values.saturating_sub(1) as usize;
    Token { contents: Contents::List { values }, json_bytes: JSON_DELIMITER_BYTES + commas }
}

fn map(pairs: u64) -> Token<'static> {
    let (colons, commas) = (pairs as usize, pairs.saturating_sub(1) as usize);
    Token { contents: Contents::Map { pairs }, json_bytes: JSON_DELIMITER_BYTES + colons + commas }
}

/// Bytes that a text takes in JSON, without its quotes.
pub(crate) fn json_bytes_of_text(text: &str) -> usize {
    json_bytes_of_bytes(text.as_bytes())
}

fn json_bytes_of_bytes(text: &[u8]) -> usize {
    text.iter().map(|byte| json_bytes_in_text(*byte)).sum()
}

/// Bytes that a byte of a text takes in JSON.
fn json_bytes_in_text(byte: u8) -> usize {
    match byte {
        b'"' | b'\\' | b'\n' | b'\r' | b'\t' | 0x08 | 0x0c => 2,
        0..=0x1f => JSON_CONTROL_CHARACTER_BYTES,
        _ => 1,
    }
}

#[cfg(test)]
#[path = "../tests/unit/scan.rs"]
mod tests;
