//! The simulated key-value store: conditional transactions, leases and its faults.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use net::Request;
use rand::RngExt;
use rmpv::Value;
use serde::Serialize;
use store::key;
use tokio::time::{sleep, timeout};
use wire::{Changes, Condition, Event, Item, Items, Lease, LeaseRequest, Op, Txn, TxnResponse};

use super::{Defect, Simulation, Site};
use crate::watched_value::WatchedValue;

/// Requests and write operations admitted per second.
pub(super) const RPS: f64 = 150.0;
pub(super) const WRITE_RPS: f64 = 50.0;

struct Entry {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

pub(super) struct KeyValueStore {
    keys: BTreeMap<String, Entry>,
    log: Vec<(u64, String, Option<Value>)>,
    revision: u64,
    /// The TTL and the expiry time of each lease.
    leases: BTreeMap<u64, (u64, u64)>,
    last_lease: u64,
    revision_watch: Arc<WatchedValue<u64>>,
    pub(super) outage_until: u64,
    /// Until when the requests of individual controllers are refused.
    pub(super) refused_until: BTreeMap<usize, u64>,
    pub(super) slow_until: u64,
    pub(super) delayed_writes: DelayedWrites,
    /// Keys on which every transaction conflicts, as if another writer were always faster.
    pub(super) contended: BTreeSet<String>,
    /// Token buckets of requests and of write operations, with room for one second's worth.
    rate_budget: (f64, f64),
    /// When the token buckets were last refilled.
    refilled_at: u64,
}

/// Leaves a share of the transactions unanswered; they are applied at once or late.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct DelayedWrites {
    pub(super) share: f64,
    pub(super) until: u64,
    pub(super) at_once: bool,
}

impl Default for KeyValueStore {
    fn default() -> Self {
        Self {
            keys: BTreeMap::new(),
            log: Vec::new(),
            revision: 0,
            leases: BTreeMap::new(),
            last_lease: 0,
            revision_watch: Arc::default(),
            outage_until: 0,
            refused_until: BTreeMap::new(),
            slow_until: 0,
            delayed_writes: DelayedWrites::default(),
            contended: BTreeSet::new(),
            rate_budget: (RPS, WRITE_RPS),
            refilled_at: 0,
        }
    }
}

fn ok<T: Serialize>(body: &T) -> (u16, Vec<u8>) {
    (200, wire::encode(body))
}

fn error(status: u16, reason: &str) -> (u16, Vec<u8>) {
    (status, wire::encode(&wire::ErrorBody { error: reason.into() }))
}

impl KeyValueStore {
    pub(super) fn refuses(&self, n: usize, now: u64) -> bool {
        now < self.outage_until || self.refused_until.get(&n).is_some_and(|t| now < *t)
    }

    /// Counts a request and its write operations; false if they exceed the rate limits.
    fn admits(&mut self, changes: usize, now: u64) -> bool {
        let elapsed_s = (now - self.refilled_at) as f64 / 1000.0;
        self.refilled_at = now;
        self.rate_budget = (
            (self.rate_budget.0 + elapsed_s * RPS).min(RPS),
            (self.rate_budget.1 + elapsed_s * WRITE_RPS).min(WRITE_RPS),
        );
        let changes = changes as f64;
        if self.rate_budget.0 < 1.0 || self.rate_budget.1 < changes {
            return false;
        }
        self.rate_budget = (self.rate_budget.0 - 1.0, self.rate_budget.1 - changes);
        true
    }

    /// Ends expired leases. Each lease has its full TTL again after an outage.
    pub(super) fn expire_leases(&mut self, now: u64) {
        if now < self.outage_until {
            for (ttl_ms, expires_at) in self.leases.values_mut() {
                *expires_at = now + *ttl_ms;
            }
            return;
        }
        let expired: Vec<u64> = self.leases.iter().filter(|(_, l)| now > l.1).map(|(id, _)| *id).collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let existed = self.leases.remove(&lease).is_some();
        let attached: Vec<String> =
            self.keys.iter().filter(|(_, e)| e.lease == Some(lease)).map(|(k, _)| k.clone()).collect();
        for k in attached {
            self.revision += 1;
            self.set(k, None, None);
        }
        self.revision_watch.set(self.revision);
        existed
    }

    fn set(&mut self, k: String, value: Option<Value>, lease: Option<u64>) {
        match value.clone() {
            Some(value) => {
                self.keys.insert(k.clone(), Entry { value, version: self.revision, lease });
            }
            None => {
                self.keys.remove(&k);
            }
        }
        self.log.push((self.revision, k, value));
    }

    fn txn(&mut self, txn: &Txn<Value>) -> (u16, Vec<u8>) {
        let version = |k: &str| self.keys.get(k).map_or(0, |e| e.version);
        let conflicts = |c: &&Condition| version(&c.key) != c.version || self.contended.contains(&c.key);
        let failed: Vec<String> = txn.conditions.iter().filter(conflicts).map(|c| c.key.clone()).collect();
        let names_unknown_lease =
            |op: &Op<Value>| matches!(op, Op::Put { lease: Some(l), .. } if !self.leases.contains_key(l));
        if txn.ops.iter().any(names_unknown_lease) {
            return error(400, "no such lease");
        }
        if !failed.is_empty() {
            return (409, wire::encode(&TxnResponse { failed, revision: self.revision }));
        }
        self.revision += 1;
        for op in txn.ops.iter().cloned() {
            match op {
                Op::Put { put, value, lease } => self.set(put, Some(value), lease),
                Op::Delete { delete } => self.set(delete, None, None),
            }
        }
        self.revision_watch.set(self.revision);
        ok(&TxnResponse { failed: Vec::new(), revision: self.revision })
    }

    fn list(&self, after: &str) -> (u16, Vec<u8>) {
        let remaining = self.keys.iter().filter(|(k, _)| k.as_str() > after);
        let item =
            |(k, e): (&String, &Entry)| Item { key: k.clone(), value: e.value.clone(), version: e.version };
        let items: Vec<_> = remaining.map(item).take(201).collect();
        let has_more = items.len() > 200;
        ok(&Items { items: items.into_iter().take(200).collect(), has_more, revision: self.revision })
    }

    fn changes(&self, after: u64) -> (u16, Vec<u8>) {
        let from = self.log.partition_point(|(revision, ..)| *revision <= after);
        let event = |(version, k, value): &(u64, String, Option<Value>)| Event {
            put: value.is_some().then(|| k.clone()),
            delete: value.is_none().then(|| k.clone()),
            value: value.clone(),
            version: *version,
        };
        ok(&Changes { revision: self.revision, events: self.log[from..].iter().map(event).collect() })
    }

    /// The keys and values of all records.
    pub(super) fn records(&self) -> impl Iterator<Item = (&String, &Value)> {
        self.keys.iter().map(|(key, entry)| (key, &entry.value))
    }

    /// The name of the controller that leads.
    pub(super) fn leader(&self) -> Option<String> {
        let value = &self.keys.get(key::LEADER)?.value;
        let name = value.as_map()?.iter().find(|(k, _)| k.as_str() == Some("name"))?;
        name.1.as_str().map(str::to_owned)
    }

    /// Overwrites a record without a transaction, as a defective store would.
    pub(super) fn overwrite(&mut self, k: &str, value: Option<Value>) {
        self.revision += 1;
        self.set(k.to_owned(), value, None);
        self.revision_watch.set(self.revision);
    }

    /// The value that was first written to a key.
    pub(super) fn first_value(&self, k: &str) -> Option<Value> {
        self.log.iter().find(|(_, name, _)| name == k).and_then(|(.., value)| value.clone())
    }
}

enum WriteOutcome {
    Applied,
    AppliedWithoutAnswer,
    /// Applied after this many milliseconds, without an answer.
    Delayed(u64),
}

impl Simulation {
    fn draw_write_outcome(&mut self) -> WriteOutcome {
        let delayed_writes = self.store.delayed_writes;
        if self.ms() >= delayed_writes.until || !self.rng.random_bool(delayed_writes.share) {
            return WriteOutcome::Applied;
        }
        if delayed_writes.at_once {
            WriteOutcome::AppliedWithoutAnswer
        } else {
            WriteOutcome::Delayed(self.rng.random_range(2000..12_000))
        }
    }

    fn apply_transaction(&mut self, txn: &Txn<Value>) -> (u16, Vec<u8>) {
        let answer = self.store.txn(txn);
        let is_map = |op: &Op<Value>| matches!(op, Op::Put { put, .. } if put == key::MAP);
        if answer.0 == 200 && txn.ops.iter().any(is_map) {
            self.cluster_map_changed = true;
        }
        answer
    }
}

fn query_parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}

impl Site {
    pub(super) async fn serve_store(&self, n: usize, request: Request) -> (u16, Vec<u8>) {
        let is_refused = || self.lock().store.refuses(n, self.ms());
        if is_refused() {
            return error(503, "outage");
        }
        let path = request.path.as_str();
        let txn = (path == "/txn").then(|| wire::decode::<Txn<Value>>(&request.body));
        let changes = txn.as_ref().and_then(|t| t.as_ref().ok()).map_or(0, |t| t.ops.len());
        if !self.lock().store.admits(changes, self.ms()) {
            return error(429, "too many");
        }
        let parse_number = |text: Option<&str>| text.and_then(|t| t.parse::<u64>().ok()).unwrap_or_default();
        if path.starts_with("/follow") {
            let (after, hold_ms) = (
                parse_number(query_parameter(path, "after")),
                parse_number(query_parameter(path, "hold_ms")),
            );
            let revision_watch = self.lock().store.revision_watch.clone();
            let _ = timeout(Duration::from_millis(hold_ms), revision_watch.wait_for(|r| *r > after)).await;
            // An open watch stays open until the outage ends.
            while is_refused() {
                sleep(Duration::from_millis(50)).await;
            }
            return self.lock().store.changes(after);
        }
        if path.starts_with("/keys?") {
            return self.lock().store.list(query_parameter(path, "after").unwrap_or_default());
        }
        if let Some(txn) = txn {
            let Ok(txn) = txn else { return error(400, "malformed") };
            let outcome = self.lock().draw_write_outcome();
            return match outcome {
                WriteOutcome::Applied => self.lock().apply_transaction(&txn),
                WriteOutcome::AppliedWithoutAnswer => {
                    self.lock().apply_transaction(&txn);
                    std::future::pending().await
                }
                WriteOutcome::Delayed(ms) => {
                    sleep(Duration::from_millis(ms)).await;
                    while self.ms() < self.lock().store.outage_until {
                        sleep(Duration::from_millis(50)).await;
                    }
                    self.lock().apply_transaction(&txn);
                    std::future::pending().await
                }
            };
        }
        let mut simulation = self.lock();
        let now = self.ms();
        if path == "/leases" {
            let ttl_ms = wire::decode::<LeaseRequest>(&request.body).map_or(5000, |l| l.ttl_ms);
            simulation.store.last_lease += 1;
            let lease = simulation.store.last_lease;
            simulation.store.leases.insert(lease, (ttl_ms, now + ttl_ms));
            return ok(&Lease { lease });
        }
        let Some(rest) = path.strip_prefix("/leases/") else { return error(404, "unknown path") };
        let id = parse_number(rest.split('/').next());
        if request.method == "DELETE" {
            return if simulation.store.end_lease(id) { ok(&()) } else { error(404, "no such lease") };
        }
        match simulation.store.leases.get_mut(&id) {
            Some((ttl_ms, expires_at)) => {
                *expires_at = now + *ttl_ms;
                ok(&())
            }
            None => error(404, "no such lease"),
        }
    }
}

impl Simulation {
    /// Corrupts a record once as the injected defect demands, after all faults have ended. Returns
    /// the id of the job whose status queries reveal it.
    pub(super) fn corrupt_records(&mut self) -> Option<String> {
        let cancelled = self.defect == Defect::RecordReverted;
        let mut jobs = self.jobs.iter().filter(|(_, j)| j.accepted_at.is_some());
        let id = jobs.find(|(_, j)| j.cancelled_at.is_some() == cancelled)?.0.clone();
        let first = self.store.first_value(&key::job(&id))?;
        match self.defect {
            Defect::RecordDeleted => self.store.overwrite(&key::job(&id), None),
            Defect::RecordReverted => self.store.overwrite(&key::job(&id), Some(first)),
            Defect::RecordFabricated => {
                self.store.overwrite(&key::job(super::users::UNKNOWN_JOB), Some(first));
                return Some(super::users::UNKNOWN_JOB.into());
            }
            _ => return None,
        }
        Some(id)
    }
}
