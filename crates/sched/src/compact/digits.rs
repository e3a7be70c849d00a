//! Digits to the base of 64, and numbers of variable length that are written in them.

/// Bits that one digit holds.
pub(super) const BITS_PER_DIGIT: u32 = 6;

/// Bits of a number that one digit holds; the remaining bit tells that more digits follow.
const NUMBER_BITS_PER_DIGIT: usize = 5;

/// The flag of a digit that is not the last one of its number.
const CONTINUATION: u64 = 1 << NUMBER_BITS_PER_DIGIT;

/// Most bits of a number that can be read.
const MAX_NUMBER_BITS: usize = 60;

const DIGITS: &[u8; 64] = b"0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_";

/// The character of a digit below 64.
pub(super) fn digit_char(value: u8) -> char {
    char::from(DIGITS[usize::from(value)])
}

/// The value of a digit's character; `None` if it is not one.
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

/// Appends a number, its lowest bits first.
pub(super) fn write_number(out: &mut String, mut number: u64) {
    while number >= CONTINUATION {
        out.push(digit_char((number % CONTINUATION + CONTINUATION) as u8));
        number /= CONTINUATION;
    }
    out.push(digit_char(number as u8));
}

/// Reads the number that comes next; `None` if the text ends within it or has another character.
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
