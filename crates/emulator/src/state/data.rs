//! The keys, leases and recent changes of the state service, and the entries of its file.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rmpv::Value;
use serde::{Deserialize, Serialize};
use wire::{Condition, Event, Item};

/// Number of changes that are retained for watches.
pub const MAX_RETAINED_CHANGES: usize = 10_000;

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub value: Value,
    pub version: u64,
    pub lease: Option<u64>,
}

/// A change of a key. Without a value, the key is deleted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Write {
    pub key: String,
    pub value: Option<Value>,
    pub lease: Option<u64>,
}

/// A change of the data, stored as one entry of the file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// The writes of one transaction.
    Writes(Vec<Write>),
    Granted {
        lease: u64,
        ttl_ms: u64,
    },
    /// The lease ends and its keys are deleted.
    Ended {
        lease: u64,
    },
    /// The first entry of a snapshot, which resets the data to these numbers.
    Base {
        revision: u64,
        last_lease: u64,
    },
    /// A key in a snapshot.
    Held {
        key: String,
        entry: Entry,
    },
}

#[derive(Debug, Clone)]
struct RetainedChange {
    revision: u64,
    key: String,
    value: Option<Value>,
}

/// The data. Only `apply` changes it, so replaying the log restores all of it.
#[derive(Debug, Clone, Default)]
pub struct Data {
    pub revision: u64,
    pub keys: BTreeMap<String, Entry>,
    /// Time to live in milliseconds and attached keys of each lease.
    pub leases: BTreeMap<u64, (u64, BTreeSet<String>)>,
    last_lease: u64,
    retained: VecDeque<RetainedChange>,
    /// Changes up to this revision are no longer retained.
    compacted_revision: u64,
}

impl Data {
    pub fn version(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |e| e.version)
    }

    /// The keys whose versions differ from those in the conditions.
    pub fn failed_conditions(&self, conditions: &[Condition]) -> Vec<String> {
        let fails = |c: &&Condition| self.version(&c.key) != c.version;
        conditions.iter().filter(fails).map(|c| c.key.clone()).collect()
    }

    pub fn next_lease(&self) -> u64 {
        self.last_lease + 1
    }

    pub fn apply(&mut self, change: Change) {
        match change {
            Change::Writes(writes) => {
                self.revision += 1;
                for write in writes {
                    self.write(write);
                }
            }
            Change::Granted { lease, ttl_ms } => {
                self.last_lease = self.last_lease.max(lease);
                self.leases.insert(lease, (ttl_ms, BTreeSet::new()));
            }
            Change::Ended { lease } => {
                let Some((_, keys)) = self.leases.remove(&lease) else { return };
                if !keys.is_empty() {
                    self.revision += 1;
                }
                for key in keys {
                    self.write(Write { key, value: None, lease: None });
                }
            }
            Change::Base { revision, last_lease } => {
                *self = Self { revision, last_lease, compacted_revision: revision, ..Self::default() };
            }
            Change::Held { key, entry } => {
                if let Some((_, keys)) = entry.lease.and_then(|l| self.leases.get_mut(&l)) {
                    keys.insert(key.clone());
                }
                self.keys.insert(key, entry);
            }
        }
    }

    fn write(&mut self, write: Write) {
        let Write { key, value, lease } = write;
        let old = match &value {
            Some(v) => {
                let entry = Entry { value: v.clone(), version: self.revision, lease };
                self.keys.insert(key.clone(), entry)
            }
            None => match self.keys.remove(&key) {
                Some(old) => Some(old),
                // Deleting a missing key is not a change.
                None => return,
            },
        };
        if let Some((_, keys)) = old.and_then(|e| e.lease).and_then(|l| self.leases.get_mut(&l)) {
            keys.remove(&key);
        }
        if let Some((_, keys)) = lease.and_then(|l| self.leases.get_mut(&l)) {
            keys.insert(key.clone());
        }
        self.retained.push_back(RetainedChange { revision: self.revision, key, value });
        while self.retained.len() > MAX_RETAINED_CHANGES
            && let Some(dropped) = self.retained.pop_front()
        {
            self.compacted_revision = dropped.revision;
        }
    }

    /// The changes of keys with a prefix after a revision; None if they are no longer all retained.
    pub fn changes(&self, prefix: &str, after: u64) -> Option<Vec<Event<Value>>> {
        if after < self.compacted_revision {
            return None;
        }
        let begin = self.retained.partition_point(|p| p.revision <= after);
        let event = |p: &RetainedChange| Event {
            put: p.value.is_some().then(|| p.key.clone()),
            delete: p.value.is_none().then(|| p.key.clone()),
            value: p.value.clone(),
            version: p.revision,
        };
        Some(self.retained.range(begin..).filter(|p| p.key.starts_with(prefix)).map(event).collect())
    }

    /// Returns a page of the keys with a prefix that follow the key `after`, of at most `count`
    /// items and `bytes` bytes of JSON, and whether there are more. A page has at least one item if
    /// there is one, even if it is larger.
    pub fn page(&self, prefix: &str, after: &str, count: usize, bytes: usize) -> (Vec<Item<Value>>, bool) {
        use std::ops::Bound::{Excluded, Included, Unbounded};
        let from = if after < prefix { Included(prefix) } else { Excluded(after) };
        let (mut items, mut size) = (Vec::new(), 0);
        for (key, entry) in self.keys.range::<str, _>((from, Unbounded)) {
            if !key.starts_with(prefix) {
                break;
            }
            let item = Item { key: key.clone(), value: entry.value.clone(), version: entry.version };
            size += super::json_len(&item) + 1;
            if items.len() == count || (size > bytes && !items.is_empty()) {
                return (items, true);
            }
            items.push(item);
        }
        (items, false)
    }

    /// The data as changes that restore it. Recent changes are not included, so watches have to
    /// start from the snapshot's revision.
    pub fn snapshot(&self) -> Vec<Change> {
        let mut all = vec![Change::Base { revision: self.revision, last_lease: self.last_lease }];
        all.extend(self.leases.iter().map(|(l, (ttl_ms, _))| Change::Granted { lease: *l, ttl_ms: *ttl_ms }));
        all.extend(self.keys.iter().map(|(k, e)| Change::Held { key: k.clone(), entry: e.clone() }));
        all
    }
}
