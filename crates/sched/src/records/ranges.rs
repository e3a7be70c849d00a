//! Sets of task numbers.

use serde::{Deserialize, Serialize};

use crate::compact;

/// A set of task numbers as sorted, disjoint, half-open ranges.
/// Written as the number of leading members and a bitmap of what follows.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, String)", into = "(u32, String)")]
pub struct Ranges(pub(crate) Vec<(u32, u32)>);

impl From<(u32, String)> for Ranges {
    fn from((prefix, bits): (u32, String)) -> Self {
        let mut out = Self(if prefix > 0 { vec![(0, prefix)] } else { Vec::new() });
        compact::each_bit(&bits, |i| {
            // A range ends before a number that has to be one, too.
            if let Some(n) = prefix.checked_add(i).filter(|n| *n < u32::MAX) {
                out.insert(n);
            }
        });
        out
    }
}

impl From<Ranges> for (u32, String) {
    fn from(ranges: Ranges) -> Self {
        let prefix = ranges.first_missing();
        let rest = ranges.0.into_iter().filter(|r| r.0 >= prefix).map(|r| (r.0 - prefix, r.1 - prefix));
        (prefix, compact::bitmap(rest))
    }
}

impl Ranges {
    pub fn insert(&mut self, n: u32) {
        let i = self.0.partition_point(|r| r.1 < n);
        match self.0.get_mut(i) {
            Some(r) if r.0 <= n && n < r.1 => return,
            Some(r) if r.1 == n => r.1 += 1,
            Some(r) if r.0 == n + 1 => r.0 = n,
            _ => self.0.insert(i, (n, n + 1)),
        }
        if i + 1 < self.0.len() && self.0[i].1 == self.0[i + 1].0 {
            self.0[i].1 = self.0[i + 1].1;
            self.0.remove(i + 1);
        }
    }

    pub fn contains(&self, n: u32) -> bool {
        let i = self.0.partition_point(|r| r.1 <= n);
        self.0.get(i).is_some_and(|r| r.0 <= n)
    }

    pub fn len(&self) -> u32 {
        self.0.iter().map(|r| r.1 - r.0).sum()
    }

    /// The lowest number that is not in the set.
    pub fn first_missing(&self) -> u32 {
        self.0.first().filter(|r| r.0 == 0).map_or(0, |r| r.1)
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn all(count: u32) -> Self {
        Self(vec![(0, count)])
    }

    /// How many ranges the record holds.
    pub fn pieces(&self) -> usize {
        self.0.len()
    }
}
