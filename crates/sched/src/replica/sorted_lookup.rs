//! Lookup of many names in ascending order.

use std::collections::{BTreeMap, btree_map};
use std::iter::Peekable;

use crate::records::Name;

/// Looks up names in ascending order by iterating over the table in parallel. Searching several
/// tables separately for each machine would cost more than the work done with the machines.
pub struct SortedLookup<'a, V> {
    remaining: Peekable<btree_map::Iter<'a, Name, V>>,
}

impl<'a, V> SortedLookup<'a, V> {
    /// A lookup that starts at the beginning of a table.
    pub fn new(table: &'a BTreeMap<Name, V>) -> Self {
        Self { remaining: table.iter().peekable() }
    }

    /// The value of a name. The name must sort after all names that were looked up before.
    pub fn get(&mut self, name: &Name) -> Option<&'a V> {
        // Equality is checked first because names usually share one allocation, and equality of such
        // names is decided by comparing their addresses.
        while let Some((other, value)) = self.remaining.peek().copied() {
            if other == name {
                self.remaining.next();
                return Some(value);
            }
            if other > name {
                return None;
            }
            self.remaining.next();
        }
        None
    }
}
