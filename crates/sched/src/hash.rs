//! Hash tables with a hash function that is fast for short keys.
//!
//! Jobs and machines are looked up by their names many thousand times a second; with the standard
//! library's hash function that takes a quarter of a scheduling cycle. The hash is seeded anew in
//! each process. It is not a cryptographic one: tables whose keys are chosen by untrusted users
//! without limit should not use it.

use foldhash::fast::RandomState;

/// A hash map with the fast hash function.
pub type HashMap<K, V> = std::collections::HashMap<K, V, RandomState>;

/// A hash set with the fast hash function.
pub type HashSet<T> = std::collections::HashSet<T, RandomState>;
