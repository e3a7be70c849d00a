//! Names that end in a number, as most machine names and job ids do.

use crate::assignment::Name;

/// Maximum number of digits at the end of a machine name that are parsed as a number.
pub(super) const MAX_MACHINE_DIGITS: usize = 15;

/// Maximum number of digits at the end of a job id that are parsed as a number.
pub(super) const MAX_JOB_DIGITS: usize = 18;

/// Maximum number of digits in any encoded name.
const MAX_DIGITS: usize = MAX_JOB_DIGITS;

/// A parsed name. Names are ordered by prefix, then number of digits, then number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct NumberedName<'a> {
    /// The part before the number.
    pub(super) prefix: &'a str,
    /// How many digits the number has, leading zeros included.
    pub(super) digits: usize,
    /// The number; 0 if there are no digits.
    pub(super) number: u64,
}

impl<'a> NumberedName<'a> {
    /// Splits a name into its prefix and its number, which has at most `max_digits` digits.
    pub(super) fn parse(name: &'a str, max_digits: usize) -> Self {
        let digits = name.bytes().rev().take_while(u8::is_ascii_digit).take(max_digits).count();
        let (prefix, number) = name.split_at(name.len() - digits);
        Self { prefix, digits, number: number.parse().unwrap_or(0) }
    }

    /// Formats the name; `None` if it has more than [`MAX_DIGITS`] digits, so that a malformed record
    /// cannot exhaust memory.
    pub(super) fn to_name(self) -> Option<Name> {
        let Self { prefix, digits, number } = self;
        match digits {
            0 => Some(prefix.into()),
            1..=MAX_DIGITS => Some(format!("{prefix}{number:0digits$}").into()),
            _ => None,
        }
    }
}
