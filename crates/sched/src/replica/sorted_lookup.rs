//! Looking up many names in order.

use std::collections::{BTreeMap, btree_map};
use std::iter::Peekable;

use crate::records::Name;

/// Looks up names in a table in their order, each but a step from the one before: finding
/// each machine anew in several tables cost more than what was done with them.
pub struct SortedLookup<'a, V> {
    rest: Peekable<btree_map::Iter<'a, Name, V>>,
}

impl<'a, V> SortedLookup<'a, V> {
    pub fn new(table: &'a BTreeMap<Name, V>) -> Self {
        Self { rest: table.iter().peekable() }
    }

    /// What the table has for a name, which must come after all that were asked for before.
    pub fn get(&mut self, id: &Name) -> Option<&'a V> {
        // Equal first: names are mostly shared, and then compared by their place in memory.
        while let Some((other, value)) = self.rest.peek().copied() {
            if other == id {
                self.rest.next();
                return Some(value);
            }
            if other > id {
                return None;
            }
            self.rest.next();
        }
        None
    }
}
