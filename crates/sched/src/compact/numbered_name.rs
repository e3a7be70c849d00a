//! Names that end in a number, as those of machines and jobs mostly do.

use crate::assignment::Name;

/// Most digits of the number at the end of a machine's name that are read as a number.
pub(super) const MAX_MACHINE_DIGITS: usize = 15;

/// Most digits of the number at the end of a job's id that are read as a number.
pub(super) const MAX_JOB_DIGITS: usize = 18;

/// Most digits of a number that is ever written.
const MAX_DIGITS: usize = MAX_JOB_DIGITS;

/// A name, taken apart. Names are ordered by stem, then number of digits, then number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct NumberedName<'a> {
    /// What precedes the digits.
    pub(super) stem: &'a str,
    /// How many digits the number has, leading zeros included.
    pub(super) digits: usize,
    /// The number; 0 if there are no digits.
    pub(super) number: u64,
}

impl<'a> NumberedName<'a> {
    /// Takes a name apart, of which at most so many digits are read as the number.
    pub(super) fn parse(name: &'a str, max_digits: usize) -> Self {
        let digits = name.bytes().rev().take_while(u8::is_ascii_digit).take(max_digits).count();
        let (stem, number) = name.split_at(name.len() - digits);
        Self { stem, digits, number: number.parse().unwrap_or(0) }
    }

    /// The name. `None` where the number of digits is not one that is ever written: a malformed
    /// record must not take all memory.
    pub(super) fn to_name(self) -> Option<Name> {
        let Self { stem, digits, number } = self;
        match digits {
            0 => Some(stem.into()),
            1..=MAX_DIGITS => Some(format!("{stem}{number:0digits$}").into()),
            _ => None,
        }
    }
}
