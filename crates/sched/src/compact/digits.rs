//! Base-64 digits, and variable-length integers composed of them.

/// Bits per digit.
pub(super) const BITS_PER_DIGIT: u32 = 6;

/// Bits of a variable-length integer per digit; the remaining bit is the continuation flag.
const NUMBER_BITS_PER_DIGIT: usize = 5;

/// Flag that is set in every digit of a number except the last.
const CONTINUATION: u64 = 1 << NUMBER_BITS_PER_DIGIT;

/// Maximum size of a variable-length integer, in bits.
const MAX_NUMBER_BITS: usize = 60;

const DIGITS: &[u8; 64] = b"0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_";

/// The character for a digit value, which must be below 64.
pub(super) fn digit_char(value: u8) -> char {
    char::from(DIGITS[usize::from(value)])
}

/// The value of a digit character; `None` if the character is not a digit.
pub(super) fn digit_value(character: u8) -> Option<u32> {
    let value = match character {
        b'0'..=b'9' => character - b'0',
        b'a'..=b'z' => character - b'a' + 10,
        b'A'..=b'Z' => character - b'A' + 36,
        b'-' => 62,
        b'_' => 63,
        _ => return None,
    };
    Some(value.into())
}

/// Appends a variable-length integer, least significant digit first.
pub(super) fn write_number(out: &mut String, mut number: u64) {
    while number >= CONTINUATION {
        out.push(digit_char((number % CONTINUATION + CONTINUATION) as u8));
        number /= CONTINUATION;
    }
    out.push(digit_char(number as u8));
}

/// Reads the next variable-length integer; `None` if it is truncated, too long or contains a
/// character that is not a digit.
pub(super) fn read_number(text: &mut impl Iterator<Item = u8>) -> Option<u64> {
    let mut number = 0u64;
    for shift in (0..MAX_NUMBER_BITS).step_by(NUMBER_BITS_PER_DIGIT) {
        let digit = u64::from(digit_value(text.next()?)?);
        number |= (digit % CONTINUATION) << shift;
        if digit < CONTINUATION {
            return Some(number);
        }
    }
    None
}
