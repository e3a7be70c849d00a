//! Transactions within the limits of the state service, whichever it has by now.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use rand::RngExt;
use store::{KeyWrite, OrphanedChunks, StoreError, TxnOutcome, key, split_record};
use tokio::time::sleep;
use tracing::{info, warn};
use wire::Condition;

use crate::clock;
use crate::controller::{Controller, Inner};
use crate::load::Purpose;

/// Most bytes of a transaction, which may have 64 KiB, that records take.
pub const TXN_BYTES: usize = 52 * 1024;
/// Most parts of a record.
const PARTS_MOST: usize = 120;
/// How often parts are tried again that come too fast, and after what pause.
const RETRIES: usize = 8;
const PAUSE: Duration = Duration::from_millis(250);
/// How long parts lie that no head names before they are deleted.
const ORPHANED_FOR: Duration = Duration::from_secs(60);

impl Inner {
    /// Commits a transaction. What is larger than a value is written in parts before.
    pub async fn commit(
        &self,
        mut conditions: Vec<Condition>,
        mut puts: Vec<KeyWrite>,
    ) -> Result<TxnOutcome, StoreError> {
        let plan = self.plan();
        let mut sizes = Vec::with_capacity(puts.len());
        for put in &mut puts {
            let size = put.value_len();
            if size as f64 > plan.value_bytes {
                if !plan.chunked {
                    return Err(StoreError::ValueTooLarge(put.key.clone()));
                }
                let (head, first) = self.write_parts(put, plan.value_bytes as usize, plan.txn_ops).await?;
                conditions.push(first);
                *put = head;
            }
            sizes.push((put.key.clone(), put.value_len()));
        }
        let result = self.state.txn(conditions, puts).await;
        if let Err(StoreError::Refused(400)) = &result {
            self.note_400(&sizes);
        }
        result
    }

    /// Writes a record's parts, and gives back its head and the condition that the
    /// first part is there.
    async fn write_parts(
        &self,
        put: &KeyWrite,
        value_bytes: usize,
        txn_ops: usize,
    ) -> Result<(KeyWrite, Condition), StoreError> {
        let large = || StoreError::ValueTooLarge(put.key.clone());
        let chunked = split_record(put, rand::rng().random(), value_bytes).ok_or_else(large)?;
        if chunked.chunks.len() > PARTS_MOST {
            return Err(large());
        }
        let first = chunked.chunks.last().map(|p| p.key.clone()).ok_or_else(large)?;
        let at_once = txn_ops.min(TXN_BYTES / (value_bytes + 300)).max(1);
        let mut written = 0;
        for some in chunked.chunks.chunks(at_once) {
            let mut tries = 0;
            written = loop {
                self.core().writes.acquire(some.len() as f64, 0.0, clock::now());
                self.counts.spend(Purpose::Parts, some.len());
                match self.state.txn(Vec::new(), some.to_vec()).await {
                    Ok(TxnOutcome::Committed { revision } | TxnOutcome::Conflict { revision, .. }) => {
                        break revision;
                    }
                    Err(StoreError::RateLimited) if tries < RETRIES => {
                        tries += 1;
                        self.note_refusal(&StoreError::RateLimited);
                        sleep(PAUSE).await;
                    }
                    Err(e) => {
                        if let StoreError::Refused(400) = &e {
                            self.note_400(&[(put.key.clone(), value_bytes)]);
                        }
                        return Err(e);
                    }
                }
            };
        }
        Ok((chunked.head, Condition { key: first, version: written }))
    }

    /// A transaction was refused as it was. It is never sent again unchanged: either the
    /// limits have become smaller, or its records are told apart.
    fn note_400(&self, puts: &[(String, usize)]) {
        let before = self.plan();
        let next = self.settings.facts.state.next.clone().unwrap_or_default();
        let largest = puts.iter().max_by_key(|p| p.1);
        let (key, bytes) = largest.map_or(("", 0), |p| (p.0.as_str(), p.1));
        warn!(key, bytes, changes = puts.len(), "the state service refused a transaction");
        let beyond = next.value_kb.is_some_and(|kb| bytes as f64 > kb * 1024.0)
            || next.txn_ops.is_some_and(|ops| puts.len() > ops);
        if beyond && !before.chunked {
            self.seen.fallen.store(true, Ordering::Relaxed);
            let plan = self.plan();
            info!(
                value_bytes = plan.value_bytes,
                txn_ops = plan.txn_ops,
                "the state service has its next limits"
            );
        }
    }

    /// Takes note of why a transaction was not carried out. Above the rate: the rate to
    /// come is there, and is kept from now on.
    pub fn note_refusal(&self, e: &StoreError) {
        if !matches!(e, StoreError::RateLimited) {
            return;
        }
        let (now, seen) = (clock::now(), self.seen.get());
        let mut core = self.core();
        core.writes.note_refusal(now);
        let next = self.settings.facts.state.next.clone().unwrap_or_default();
        let slower = next.write_rps.is_some() || next.rps.is_some();
        if slower && !seen.slow && (seen.all_new || seen.fallen) {
            self.seen.slow.store(true, Ordering::Relaxed);
            let plan = self.plan();
            info!(write_rps = plan.write_rps, rps = plan.rps, "the state service takes less a second");
            self.share_writes(&mut core, now);
        }
    }
}

/// Deletes parts that no record names any more, or never did. Conditional on the
/// record that does not name them, and the first part first: a head that was put off
/// asks for that one.
#[derive(Default)]
pub struct Sweeper {
    seen: std::collections::HashMap<(String, String), Instant>,
    looked: Option<Instant>,
}

const LOOK: Duration = Duration::from_secs(2);

impl Sweeper {
    /// What to delete now: a transaction's conditions and keys.
    pub fn next(&mut self, controller: &Controller, now: Instant) -> Option<(Vec<Condition>, Vec<KeyWrite>)> {
        if self.looked.is_some_and(|t| now.saturating_duration_since(t) < LOOK) {
            return None;
        }
        self.looked = Some(now);
        let mut core = controller.core();
        // While changes are short, they only cost memory.
        if core.writes.available(now) < 0.0 {
            return None;
        }
        let orphans = core.reader.orphans();
        let id = |o: &OrphanedChunks| (o.record_key.clone(), o.nonce.clone());
        self.seen.retain(|k, _| orphans.iter().any(|o| id(o) == *k));
        let ops = controller.plan().txn_ops;
        let due = orphans.into_iter().find(|o| {
            let since = *self.seen.entry(id(o)).or_insert(now);
            now.saturating_duration_since(since) >= ORPHANED_FOR
        })?;
        let version = version_of(&core.world, &due.record_key)?;
        let puts = due.keys.iter().take(ops).map(|k| KeyWrite::delete(k.clone())).collect();
        Some((vec![Condition { key: due.record_key, version }], puts))
    }
}

/// The version of a record that may lie in parts; 0 if there is none.
fn version_of(world: &sched::replica::Replica, of: &str) -> Option<u64> {
    let rest = of.strip_prefix(key::PREFIX)?;
    match rest.split_once('/') {
        Some(("jobs", id)) if world.unreadable.contains(id) => None,
        Some(("jobs", id)) => Some(world.jobs.get(id).map_or(0, |j| j.version)),
        None if of == key::FLEET => Some(world.fleet.as_ref().map_or(0, |f| f.version)),
        None if of == key::TYPES => Some(world.machine_types_version),
        _ => None,
    }
}
