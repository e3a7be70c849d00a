//! Sets of numbers as bitmaps in text, six bits per character.

use super::digits::{BITS_PER_DIGIT, digit_char, digit_value};

/// Encodes half-open ranges of numbers as a bitmap.
pub fn encode(ranges: impl Iterator<Item = (u32, u32)>) -> String {
    let mut digits: Vec<u8> = Vec::new();
    for number in ranges.flat_map(|(from, to)| from..to) {
        let position = (number / BITS_PER_DIGIT) as usize;
        if digits.len() <= position {
            digits.resize(position + 1, 0);
        }
        digits[position] |= 1 << (number % BITS_PER_DIGIT);
    }
    digits.into_iter().map(digit_char).collect()
}

/// Calls `visit` with each number in a bitmap, in ascending order. A character that is not a digit
/// counts as six unset bits.
pub fn for_each_number(bitmap: &str, mut visit: impl FnMut(u32)) {
    for (position, digit) in (0u32..).zip(bitmap.bytes().map(digit_value)) {
        let digit = digit.unwrap_or(0);
        (0..BITS_PER_DIGIT)
            .filter(|bit| digit & 1 << bit != 0)
            .for_each(|bit| visit(position * BITS_PER_DIGIT + bit));
    }
}
