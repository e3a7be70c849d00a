//! Sets of task numbers.

use serde::{Deserialize, Serialize};

use crate::compact::bitmap;

/// A set of task numbers as sorted, disjoint, half-open ranges.
///
/// It is encoded as the number of consecutive members from 0 on and a bitmap of the numbers after
/// them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, String)", into = "(u32, String)")]
pub struct Ranges(pub(crate) Vec<(u32, u32)>);

impl From<(u32, String)> for Ranges {
    fn from((prefix, bits): (u32, String)) -> Self {
        let mut ranges = Self(if prefix > 0 { vec![(0, prefix)] } else { Vec::new() });
        bitmap::for_each_number(&bits, |offset| {
            // `u32::MAX` cannot be a member, because the exclusive end of its range would overflow.
            if let Some(number) = prefix.checked_add(offset).filter(|number| *number < u32::MAX) {
                ranges.insert(number);
            }
        });
        ranges
    }
}

impl From<Ranges> for (u32, String) {
    fn from(ranges: Ranges) -> Self {
        let prefix = ranges.first_missing();
        let ranges_after_prefix =
            ranges.0.into_iter().filter(|r| r.0 >= prefix).map(|r| (r.0 - prefix, r.1 - prefix));
        (prefix, bitmap::encode(ranges_after_prefix))
    }
}

impl Ranges {
    /// Adds a number to the set if it is not a member yet.
    pub fn insert(&mut self, number: u32) {
        let i = self.0.partition_point(|range| range.1 < number);
        match self.0.get_mut(i) {
            Some(range) if range.0 <= number && number < range.1 => return,
            Some(range) if range.1 == number => range.1 += 1,
            Some(range) if range.0 == number + 1 => range.0 = number,
            _ => self.0.insert(i, (number, number + 1)),
        }
        if i + 1 < self.0.len() && self.0[i].1 == self.0[i + 1].0 {
            self.0[i].1 = self.0[i + 1].1;
            self.0.remove(i + 1);
        }
    }

    /// Whether a number is a member.
    pub fn contains(&self, number: u32) -> bool {
        let i = self.0.partition_point(|range| range.1 <= number);
        self.0.get(i).is_some_and(|range| range.0 <= number)
    }

    /// The number of members.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|range| range.1 - range.0).sum()
    }

    /// The lowest number that is not a member.
    pub fn first_missing(&self) -> u32 {
        self.0.first().filter(|range| range.0 == 0).map_or(0, |range| range.1)
    }

    /// Whether the set has no members.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The set of all numbers below `count`.
    pub fn all(count: u32) -> Self {
        Self(vec![(0, count)])
    }

    /// The number of ranges that the set consists of.
    pub fn range_count(&self) -> usize {
        self.0.len()
    }
}
