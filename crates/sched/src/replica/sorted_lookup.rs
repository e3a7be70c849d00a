//! Looking up many names in ascending order.

use std::collections::{BTreeMap, btree_map};
use std::iter::Peekable;

use crate::records::Name;

/// Looks up names in a table in ascending order, walking the table alongside: searching it for
/// each machine of several tables costs more than what is done with the machines.
pub struct SortedLookup<'a, V> {
    rest: Peekable<btree_map::Iter<'a, Name, V>>,
}

impl<'a, V> SortedLookup<'a, V> {
    /// A lookup in this table, at its start.
    pub fn new(table: &'a BTreeMap<Name, V>) -> Self {
        Self { rest: table.iter().peekable() }
    }

    /// What the table has for a name, which must come after all that were looked up before.
    pub fn get(&mut self, name: &Name) -> Option<&'a V> {
        // Equality first: names are mostly shared, and then compared by their address.
        while let Some((other, value)) = self.rest.peek().copied() {
            if other == name {
                self.rest.next();
                return Some(value);
            }
            if other > name {
                return None;
            }
            self.rest.next();
        }
        None
    }
}
