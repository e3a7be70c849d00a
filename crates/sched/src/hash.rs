//! Hash tables with a hash function that is fast for short keys.
//!
//! Jobs and machines are looked up by name many thousand times a second; with the hash function of
//! the standard library, the lookups take a quarter of a scheduling cycle. The hash function is
//! seeded at random in each process. It is not cryptographic: do not use it for tables whose keys
//! untrusted users can choose without limit.

use foldhash::fast::RandomState;

/// A hash map with the fast hash function.
pub type HashMap<K, V> = std::collections::HashMap<K, V, RandomState>;

/// A hash set with the fast hash function.
pub type HashSet<T> = std::collections::HashSet<T, RandomState>;
