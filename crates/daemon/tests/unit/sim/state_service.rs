//! A fake of the state service.

use super::*;

/// A fake of the state service: conditional transactions and an ordered log of changes.
#[derive(Default)]
pub(super) struct StateService {
    pub(super) versions: HashMap<String, u64>,
    pub(super) log: Vec<(u64, KeyWrite)>,
    pub(super) revision: u64,
    /// Whether the lower limits apply.
    pub(super) limits_lowered: bool,
}

#[derive(PartialEq)]
pub(super) enum Outcome {
    Committed,
    Conflict,
    /// The transaction exceeds the limits.
    Refused,
}

impl StateService {
    pub(super) fn txn(&mut self, conditions: &[Condition], writes: Vec<KeyWrite>) -> Outcome {
        let large = |p: &KeyWrite| p.value_len() as f64 > LOWERED_VALUE_KB * 1024.0;
        if self.limits_lowered && (writes.len() > LOWERED_TXN_OPS || writes.iter().any(large)) {
            return Outcome::Refused;
        }
        if conditions.iter().any(|c| self.versions.get(&c.key).copied().unwrap_or(0) != c.version) {
            return Outcome::Conflict;
        }
        self.revision += 1;
        for write in writes {
            match write.value {
                Some(_) => self.versions.insert(write.key.clone(), self.revision),
                None => self.versions.remove(&write.key),
            };
            self.log.push((self.revision, write));
        }
        Outcome::Committed
    }

    pub(super) fn replica(&self) -> Replica {
        let (mut replica, mut reader) = (Replica::default(), RecordReader::default());
        for (revision, write) in &self.log {
            let (change, unreadable, version) = reader.apply(&write.key, write.value.clone(), *revision);
            if unreadable { replica.mark_unreadable(change) } else { replica.apply(change, version) }
        }
        replica
    }

    /// Writes records that are larger than a value in chunks, as the controllers do.
    pub(super) fn write_in_chunks(
        &mut self,
        conditions: &mut Vec<Condition>,
        writes: &mut [KeyWrite],
        nonce: u64,
        bytes: f64,
    ) {
        for write in writes.iter_mut().filter(|p| p.value_len() as f64 > bytes) {
            let chunked = split_record(write, nonce, bytes as usize).expect("a value");
            let first = chunked.chunks.last().expect("chunks").key.clone();
            for chunk in chunked.chunks {
                assert!(self.txn(&[], vec![chunk]) == Outcome::Committed);
            }
            conditions.push(Condition { key: first, version: self.revision });
            *write = chunked.head;
        }
    }
}

/// A change as the version in production decodes it.
pub(super) fn decode_as_production(write: &KeyWrite) -> (RecordChange, bool) {
    let Some(value) = &write.value else { return decode_change(&write.key, None) };
    match production::read(&write.key, value) {
        production::Read::Ignored => (RecordChange::Other, false),
        production::Read::Unreadable => (decode_change(&write.key, Some(rmpv::Value::Nil)).0, true),
        production::Read::Record(value) => decode_change(&write.key, Some(value)),
    }
}
