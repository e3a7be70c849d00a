//! Hash tables with a hash that is quick for short keys.
//!
//! Jobs and machines are looked up by their names many thousand times a second; the standard
//! library's hash took a quarter of a round. The hash is seeded anew in each process. It is no
//! cryptographic one, so tables that hold what strangers choose without limit should not use it.

use foldhash::fast::RandomState;

pub type HashMap<K, V> = std::collections::HashMap<K, V, RandomState>;
pub type HashSet<T> = std::collections::HashSet<T, RandomState>;
