//! The state service, as far as the test plays it.

use super::*;

/// The state service: conditional transactions and an ordered log of changes.
#[derive(Default)]
pub(super) struct State {
    pub(super) keys: HashMap<String, u64>,
    pub(super) log: Vec<(u64, KeyWrite)>,
    pub(super) revision: u64,
    /// The smaller limits are there.
    pub(super) small: bool,
}

#[derive(PartialEq)]
pub(super) enum Outcome {
    Committed,
    Conflict,
    /// Larger than the limits.
    Refused,
}

impl State {
    pub(super) fn txn(&mut self, conditions: &[Condition], puts: Vec<KeyWrite>) -> Outcome {
        let large = |p: &KeyWrite| p.value_len() as f64 > NEXT_KB * 1024.0;
        if self.small && (puts.len() > NEXT_OPS || puts.iter().any(large)) {
            return Outcome::Refused;
        }
        if conditions.iter().any(|c| self.keys.get(&c.key).copied().unwrap_or(0) != c.version) {
            return Outcome::Conflict;
        }
        self.revision += 1;
        for put in puts {
            match put.value {
                Some(_) => self.keys.insert(put.key.clone(), self.revision),
                None => self.keys.remove(&put.key),
            };
            self.log.push((self.revision, put));
        }
        Outcome::Committed
    }

    pub(super) fn world(&self) -> Replica {
        let (mut world, mut reader) = (Replica::default(), RecordReader::default());
        for (revision, put) in &self.log {
            let (change, bad, version) = reader.apply(&put.key, put.value.clone(), *revision);
            if bad { world.mark_unreadable(change) } else { world.apply(change, version) }
        }
        world
    }

    /// Writes what is larger than a value in parts, as the service does.
    pub(super) fn widen(
        &mut self,
        conditions: &mut Vec<Condition>,
        puts: &mut [KeyWrite],
        nonce: u64,
        bytes: f64,
    ) {
        for put in puts.iter_mut().filter(|p| p.value_len() as f64 > bytes) {
            let wide = split_record(put, nonce, bytes as usize).expect("a value");
            let first = wide.chunks.last().expect("parts").key.clone();
            for part in wide.chunks {
                assert!(self.txn(&[], vec![part]) == Outcome::Committed);
            }
            conditions.push(Condition { key: first, version: self.revision });
            *put = wide.head;
        }
    }
}

/// A change as production sees it.
pub(super) fn by_production(put: &KeyWrite) -> (RecordChange, bool) {
    let Some(value) = &put.value else { return decode_change(&put.key, None) };
    match production::read(&put.key, value) {
        production::Read::Ignored => (RecordChange::Other, false),
        production::Read::Unreadable => (decode_change(&put.key, Some(rmpv::Value::Nil)).0, true),
        production::Read::Record(value) => decode_change(&put.key, Some(value)),
    }
}
