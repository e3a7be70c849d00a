//! The state service as its callers see it: limits, leases, watches and injected faults.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use net::{Reply, Request};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rmpv::Value;
use tracing::error;
use wire::{Changes, Items, KeyNotFound, Lease, Op, StoredKey, Txn, TxnResponse};

use super::request::{self, StateRequest};
use super::{Change, Data, Write, json_len};
use crate::journal::{Journal, JournalError};
use crate::service_faults::{RequestOutcome, ServiceFaults};
use crate::token_bucket::TokenBucket;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    /// Maximum size of a value as JSON, in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in a transaction.
    pub txn_ops: usize,
}

/// A request that waits for changes of keys with a prefix.
#[derive(Debug, Clone)]
pub struct Watch {
    caller: usize,
    prefix: String,
    after: u64,
    until: Instant,
}

impl Watch {
    /// When the watch is answered even without changes.
    pub fn until(&self) -> Instant {
        self.until
    }
}

/// A lease may end this much after its time to live, but never before.
const MAX_LEASE_DELAY: Duration = Duration::from_millis(100);
const MAX_TXN_BYTES: usize = 64 * 1024;
const MAX_PAGE_BYTES: usize = 512 * 1024;

/// The state service. The current time is passed as an argument and must not decrease.
pub struct StateService {
    data: Data,
    limits: StateLimits,
    requests: TokenBucket,
    writes: TokenBucket,
    /// Expiration time of each lease.
    lease_ends: BTreeMap<u64, Instant>,
    faults: ServiceFaults,
    journal: Option<Journal>,
    /// The file could not be written; requests are no longer acknowledged.
    journal_failed: bool,
    rng: StdRng,
}

/// The result of executing a request.
#[derive(Debug)]
pub enum ExecutionOutcome {
    Reply(Reply),
    /// The reply is sent when `poll_watch` returns one.
    Wait(Watch),
    /// Writing the file failed, so it is unknown whether the request took effect.
    Unknown,
}

fn error_reply(status: u16, why: &str) -> Reply {
    Reply::error(status, why)
}

impl StateService {
    /// An empty service that stores nothing on disk.
    pub fn new(limits: StateLimits, seed: u64, now: Instant) -> Self {
        Self {
            data: Data::default(),
            limits,
            requests: TokenBucket::new(limits.rps, 1.0, now),
            writes: TokenBucket::new(limits.write_rps, 1.0, now),
            lease_ends: BTreeMap::new(),
            faults: ServiceFaults::default(),
            journal: None,
            journal_failed: false,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Opens a service that stores its data in a file. All data acknowledged before is restored,
    /// and every lease has its full time to live again.
    pub fn open(limits: StateLimits, seed: u64, path: &Path, now: Instant) -> Result<Self, JournalError> {
        let (journal, entries) = Journal::open(path)?;
        let mut service = Self { journal: Some(journal), ..Self::new(limits, seed, now) };
        for entry in entries {
            let change = wire::decode(&entry)
                .map_err(|_| JournalError::Foreign { file: path.display().to_string() })?;
            service.data.apply(change);
        }
        service.extend_all_leases(now);
        Ok(service)
    }

    pub fn data(&self) -> &Data {
        &self.data
    }

    pub fn faults(&self) -> &ServiceFaults {
        &self.faults
    }

    /// Replaces the injected faults. After an outage every lease has its full time to live again.
    pub fn set_faults(&mut self, faults: ServiceFaults, now: Instant) {
        self.poll(now);
        if self.faults.outage && !faults.outage {
            self.extend_all_leases(now);
        }
        self.faults = faults;
    }

    fn extend_all_leases(&mut self, now: Instant) {
        let all: Vec<u64> = self.data.leases.keys().copied().collect();
        for lease in all {
            self.extend_lease(lease, now);
        }
    }

    fn extend_lease(&mut self, lease: u64, now: Instant) {
        if let Some((ttl_ms, _)) = self.data.leases.get(&lease) {
            let delay = Duration::from_micros(self.rng.random_range(0..MAX_LEASE_DELAY.as_micros() as u64));
            self.lease_ends.insert(lease, now + Duration::from_millis(*ttl_ms) + delay);
        }
    }

    /// When the next lease expires, which may change keys. None during an outage.
    pub fn next_lease_end(&self) -> Option<Instant> {
        if self.faults.outage { None } else { self.lease_ends.values().min().copied() }
    }

    /// Ends the leases that have expired.
    pub fn poll(&mut self, now: Instant) {
        if self.faults.outage || self.journal_failed {
            return;
        }
        let expired: Vec<u64> =
            self.lease_ends.iter().filter(|(_, end)| **end <= now).map(|(l, _)| *l).collect();
        for lease in expired {
            self.commit(Change::Ended { lease });
            self.lease_ends.remove(&lease);
        }
    }

    /// Writes a change to the file and then applies it. If the write fails, the service refuses all
    /// further requests.
    fn commit(&mut self, change: Change) {
        if let Some(journal) = &mut self.journal
            && let Err(e) = journal.append(&wire::encode(&change))
        {
            // The change may or may not be on the disk, so any further answer could be wrong.
            error!(error = %e, "the state service refuses all further requests: its file cannot be written");
            self.journal_failed = true;
            return;
        }
        self.data.apply(change);
        if let Some(journal) = &mut self.journal
            && journal.snapshot_due()
        {
            let entries: Vec<Vec<u8>> = self.data.snapshot().iter().map(wire::encode).collect();
            if let Err(e) = journal.replace(&entries) {
                error!(
                    error = %e,
                    "the state service refuses all further requests: its snapshot cannot be written"
                );
                self.journal_failed = true;
            }
        }
    }

    fn is_unavailable_to(&self, caller: usize) -> bool {
        self.journal_failed || self.faults.outage || self.faults.refused.contains(&caller)
    }

    /// Handles a request and applies the injected faults. `caller` is the number that the site
    /// assigned to the caller.
    pub fn handle(&mut self, caller: usize, request: &Request, now: Instant) -> RequestOutcome {
        if let Some(delay) = self.faults.draw_execution_delay(&mut self.rng) {
            return RequestOutcome::Late(delay);
        }
        match self.execute(caller, request, now) {
            ExecutionOutcome::Reply(reply) => self.faults.draw_answer_outcome(reply, &mut self.rng),
            ExecutionOutcome::Wait(watch) => RequestOutcome::Wait(watch),
            ExecutionOutcome::Unknown => RequestOutcome::Lost,
        }
    }

    /// Executes a request now.
    pub fn execute(&mut self, caller: usize, request: &Request, now: Instant) -> ExecutionOutcome {
        self.poll(now);
        if self.is_unavailable_to(caller) {
            return ExecutionOutcome::Reply(error_reply(503, "unavailable"));
        }
        if !self.requests.take(1.0, now) {
            return ExecutionOutcome::Reply(error_reply(429, "too many requests"));
        }
        let reply = match request::parse(request) {
            Err((status, why)) => error_reply(status, why),
            Ok(StateRequest::GetKey(key)) => self.get_key(key),
            Ok(StateRequest::List { prefix, after, page }) => {
                let (items, more) = self.data.page(&prefix, &after, page, MAX_PAGE_BYTES);
                Reply::new(200, &Items { items, has_more: more, revision: self.data.revision })
            }
            Ok(StateRequest::Txn(txn)) => self.execute_txn(txn, now),
            Ok(StateRequest::GrantLease { ttl_ms }) => self.grant_lease(ttl_ms, now),
            Ok(StateRequest::RenewLease(lease)) => self.renew_lease(lease, now),
            Ok(StateRequest::RevokeLease(lease)) => self.revoke_lease(lease),
            Ok(StateRequest::Watch { prefix, after, hold_ms }) => {
                let until = now + Duration::from_millis(hold_ms);
                let watch = Watch { caller, prefix, after, until };
                return match self.poll_watch(&watch, now) {
                    Some(reply) => ExecutionOutcome::Reply(reply),
                    None => ExecutionOutcome::Wait(watch),
                };
            }
        };
        if self.journal_failed { ExecutionOutcome::Unknown } else { ExecutionOutcome::Reply(reply) }
    }

    /// Returns the reply to a watch if there are changes or its time is over.
    pub fn poll_watch(&mut self, watch: &Watch, now: Instant) -> Option<Reply> {
        self.poll(now);
        // While its caller is refused, a watch stays open, even beyond the time it asked for.
        if self.is_unavailable_to(watch.caller) {
            return None;
        }
        let Some(events) = self.data.changes(&watch.prefix, watch.after) else {
            return Some(error_reply(410, "changes are no longer kept that far back"));
        };
        let ready = !events.is_empty() || now >= watch.until;
        ready.then(|| Reply::new(200, &Changes { revision: self.data.revision, events }))
    }

    fn get_key(&self, key: String) -> Reply {
        match self.data.keys.get(&key) {
            Some(e) => {
                let value = e.value.clone();
                Reply::new(200, &StoredKey { key, value, version: e.version, lease: e.lease })
            }
            None => Reply::new(404, &KeyNotFound { revision: self.data.revision }),
        }
    }

    fn execute_txn(&mut self, txn: Txn<Value>, now: Instant) -> Reply {
        let limits = self.limits;
        if txn.ops.len() > limits.txn_ops || txn.conditions.len() > 4 * limits.txn_ops {
            return error_reply(400, "too many changes or conditions");
        }
        if json_len(&txn) > MAX_TXN_BYTES {
            return error_reply(400, "the transaction is too large");
        }
        let values = txn.ops.iter().filter_map(|op| match op {
            Op::Put { value, .. } => Some(json_len(value)),
            Op::Delete { .. } => None,
        });
        if values.max().is_some_and(|len| len as f64 > limits.value_kb * 1024.0) {
            return error_reply(400, "a value is too large");
        }
        // Changes count towards the limit even if the conditions fail.
        if !self.writes.take(txn.ops.len() as f64, now) {
            return error_reply(429, "too many changes");
        }
        let lease = |op: &Op<Value>| match op {
            Op::Put { lease, .. } => *lease,
            Op::Delete { .. } => None,
        };
        if txn.ops.iter().filter_map(lease).any(|l| !self.data.leases.contains_key(&l)) {
            return error_reply(400, "no such lease");
        }
        let failed = self.data.failed_conditions(&txn.conditions);
        if !failed.is_empty() {
            return Reply::new(409, &TxnResponse { failed, revision: self.data.revision });
        }
        if !txn.ops.is_empty() {
            let writes = txn.ops.into_iter().map(|op| match op {
                Op::Put { put, value, lease } => Write { key: put, value: Some(value), lease },
                Op::Delete { delete } => Write { key: delete, value: None, lease: None },
            });
            self.commit(Change::Writes(writes.collect()));
        }
        Reply::new(200, &TxnResponse { failed: Vec::new(), revision: self.data.revision })
    }

    fn grant_lease(&mut self, ttl_ms: u64, now: Instant) -> Reply {
        let lease = self.data.next_lease();
        self.commit(Change::Granted { lease, ttl_ms });
        self.extend_lease(lease, now);
        Reply::new(200, &Lease { lease })
    }

    fn renew_lease(&mut self, lease: u64, now: Instant) -> Reply {
        if !self.data.leases.contains_key(&lease) {
            return error_reply(404, "no such lease");
        }
        self.extend_lease(lease, now);
        Reply::new(200, &Lease { lease })
    }

    fn revoke_lease(&mut self, lease: u64) -> Reply {
        if !self.data.leases.contains_key(&lease) {
            return error_reply(404, "no such lease");
        }
        self.commit(Change::Ended { lease });
        self.lease_ends.remove(&lease);
        Reply::new(200, &Lease { lease })
    }
}
