//! The state service: conditional transactions, leases, and what goes wrong with it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use net::Request;
use rand::RngExt;
use rmpv::Value;
use serde::Serialize;
use store::key;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use wire::{Changes, Event, Item, Items, Lease, LeaseRequest, Op, Txn, TxnResponse};

use super::{All, Sabotage, Site};

/// Requests and changes that it takes a second.
pub(super) const RPS: f64 = 150.0;
pub(super) const WRITE_RPS: f64 = 50.0;

struct Entry {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

pub(super) struct State {
    keys: BTreeMap<String, Entry>,
    log: Vec<(u64, String, Option<Value>)>,
    revision: u64,
    /// The leases' times, and when each ends.
    leases: HashMap<u64, (u64, u64)>,
    lease: u64,
    news: watch::Sender<u64>,
    pub(super) outage_until: u64,
    /// Until when each controller is refused alone.
    pub(super) refused_until: HashMap<usize, u64>,
    pub(super) slow_until: u64,
    pub(super) late: LateWrites,
    /// What is left of a second's worth of requests and of changes, and since when.
    left: (f64, f64),
    filled: u64,
}

/// A share of the transactions has no answer, and is carried out late or at once.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LateWrites {
    pub(super) share: f64,
    pub(super) until: u64,
    pub(super) at_once: bool,
}

impl Default for State {
    fn default() -> Self {
        Self {
            keys: BTreeMap::new(),
            log: Vec::new(),
            revision: 0,
            leases: HashMap::new(),
            lease: 0,
            news: watch::Sender::new(0),
            outage_until: 0,
            refused_until: HashMap::new(),
            slow_until: 0,
            late: LateWrites::default(),
            left: (RPS, WRITE_RPS),
            filled: 0,
        }
    }
}

fn ok<T: Serialize>(body: &T) -> (u16, Vec<u8>) {
    (200, wire::encode(body))
}

fn error(status: u16, why: &str) -> (u16, Vec<u8>) {
    (status, wire::encode(&wire::ErrorBody { error: why.into() }))
}

impl State {
    pub(super) fn refuses(&self, n: usize, now: u64) -> bool {
        now < self.outage_until || self.refused_until.get(&n).is_some_and(|t| now < *t)
    }

    /// Counts a request and its changes; false if that is above the limits.
    fn admits(&mut self, changes: usize, now: u64) -> bool {
        let s = (now - self.filled) as f64 / 1000.0;
        self.filled = now;
        self.left = ((self.left.0 + s * RPS).min(RPS), (self.left.1 + s * WRITE_RPS).min(WRITE_RPS));
        let changes = changes as f64;
        if self.left.0 < 1.0 || self.left.1 < changes {
            return false;
        }
        self.left = (self.left.0 - 1.0, self.left.1 - changes);
        true
    }

    /// Leases that have run out end; after an outage each has its full time again.
    pub(super) fn tick(&mut self, now: u64) {
        if now < self.outage_until {
            for (life, ends) in self.leases.values_mut() {
                *ends = now + *life;
            }
            return;
        }
        let over: Vec<u64> = self.leases.iter().filter(|(_, l)| now > l.1).map(|(id, _)| *id).collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let attached: Vec<String> =
            self.keys.iter().filter(|(_, e)| e.lease == Some(lease)).map(|(k, _)| k.clone()).collect();
        for k in attached {
            self.revision += 1;
            self.set(k, None, None);
        }
        self.news.send_replace(self.revision);
        known
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
        let failed: Vec<String> =
            txn.conditions.iter().filter(|c| version(&c.key) != c.version).map(|c| c.key.clone()).collect();
        let lost =
            |op: &Op<Value>| matches!(op, Op::Put { lease: Some(l), .. } if !self.leases.contains_key(l));
        if txn.ops.iter().any(lost) {
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
        self.news.send_replace(self.revision);
        ok(&TxnResponse { failed: Vec::new(), revision: self.revision })
    }

    fn list(&self, after: &str) -> (u16, Vec<u8>) {
        let some = self.keys.iter().filter(|(k, _)| k.as_str() > after);
        let item =
            |(k, e): (&String, &Entry)| Item { key: k.clone(), value: e.value.clone(), version: e.version };
        let items: Vec<_> = some.map(item).take(201).collect();
        let more = items.len() > 200;
        ok(&Items { items: items.into_iter().take(200).collect(), has_more: more, revision: self.revision })
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

    /// All keys and values.
    pub(super) fn records(&self) -> impl Iterator<Item = (&String, &Value)> {
        self.keys.iter().map(|(key, entry)| (key, &entry.value))
    }

    /// The name of the controller that leads.
    pub(super) fn leader(&self) -> Option<String> {
        let value = &self.keys.get(key::LEADER)?.value;
        let name = value.as_map()?.iter().find(|(k, _)| k.as_str() == Some("name"))?;
        name.1.as_str().map(str::to_owned)
    }

    /// Breaks a record, as a state service that the rules don't allow would.
    pub(super) fn spoil(&mut self, k: &str, value: Option<Value>) {
        self.revision += 1;
        self.set(k.to_owned(), value, None);
        self.news.send_replace(self.revision);
    }

    /// What a job's record was when it was first written.
    pub(super) fn first_of(&self, k: &str) -> Option<Value> {
        self.log.iter().find(|(_, name, _)| name == k).and_then(|(.., value)| value.clone())
    }
}

enum Fate {
    Plain,
    NoAnswer,
    Late(u64),
}

impl All {
    fn fate(&mut self) -> Fate {
        let late = self.state.late;
        if self.ms() >= late.until || !self.rng.random_bool(late.share) {
            return Fate::Plain;
        }
        if late.at_once { Fate::NoAnswer } else { Fate::Late(self.rng.random_range(2000..12_000)) }
    }

    fn carry_out(&mut self, txn: &Txn<Value>) -> (u16, Vec<u8>) {
        let answer = self.state.txn(txn);
        let is_map = |op: &Op<Value>| matches!(op, Op::Put { put, .. } if put == key::MAP);
        if answer.0 == 200 && txn.ops.iter().any(is_map) {
            self.new_map = true;
        }
        answer
    }
}

fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))
}

impl Site {
    pub(super) async fn state_serves(&self, n: usize, request: Request) -> (u16, Vec<u8>) {
        let refused = || self.lock().state.refuses(n, self.ms());
        if refused() {
            return error(503, "outage");
        }
        let path = request.path.as_str();
        let txn = (path == "/txn").then(|| wire::decode::<Txn<Value>>(&request.body));
        let changes = txn.as_ref().and_then(|t| t.as_ref().ok()).map_or(0, |t| t.ops.len());
        if !self.lock().state.admits(changes, self.ms()) {
            return error(429, "too many");
        }
        let number = |text: Option<&str>| text.and_then(|t| t.parse::<u64>().ok()).unwrap_or_default();
        if path.starts_with("/follow") {
            let (after, hold) = (number(query(path, "after")), number(query(path, "hold_ms")));
            let mut news = self.lock().state.news.subscribe();
            let _ = timeout(Duration::from_millis(hold), news.wait_for(|r| *r > after)).await;
            // An open watch waits for the end of an outage.
            while refused() {
                sleep(Duration::from_millis(50)).await;
            }
            return self.lock().state.changes(after);
        }
        if path.starts_with("/keys?") {
            return self.lock().state.list(query(path, "after").unwrap_or_default());
        }
        if let Some(txn) = txn {
            let Ok(txn) = txn else { return error(400, "malformed") };
            let fate = self.lock().fate();
            return match fate {
                Fate::Plain => self.lock().carry_out(&txn),
                Fate::NoAnswer => {
                    self.lock().carry_out(&txn);
                    std::future::pending().await
                }
                Fate::Late(ms) => {
                    sleep(Duration::from_millis(ms)).await;
                    while self.ms() < self.lock().state.outage_until {
                        sleep(Duration::from_millis(50)).await;
                    }
                    self.lock().carry_out(&txn);
                    std::future::pending().await
                }
            };
        }
        let mut all = self.lock();
        let now = self.ms();
        if path == "/leases" {
            let life = wire::decode::<LeaseRequest>(&request.body).map_or(5000, |l| l.ttl_ms);
            all.state.lease += 1;
            let lease = all.state.lease;
            all.state.leases.insert(lease, (life, now + life));
            return ok(&Lease { lease });
        }
        let Some(rest) = path.strip_prefix("/leases/") else { return error(404, "unknown path") };
        let id = number(rest.split('/').next());
        if request.method == "DELETE" {
            return if all.state.end_lease(id) { ok(&()) } else { error(404, "no such lease") };
        }
        match all.state.leases.get_mut(&id) {
            Some((life, ends)) => {
                *ends = now + *life;
                ok(&())
            }
            None => error(404, "no such lease"),
        }
    }
}

impl All {
    /// Planted breaches of the records, once, when troubles are over; tells which job's
    /// user would notice.
    pub(super) fn spoil_records(&mut self) -> Option<String> {
        let cancelled = self.sabotage == Sabotage::Flip;
        let mut jobs = self.jobs.iter().filter(|(_, j)| j.accepted.is_some());
        let id = jobs.find(|(_, j)| j.cancelled.is_some() == cancelled)?.0.clone();
        let first = self.state.first_of(&key::job(&id))?;
        match self.sabotage {
            Sabotage::Forget => self.state.spoil(&key::job(&id), None),
            Sabotage::Flip => self.state.spoil(&key::job(&id), Some(first)),
            Sabotage::Invent => {
                self.state.spoil(&key::job(super::users::NOBODYS), Some(first));
                return Some(super::users::NOBODYS.into());
            }
            _ => return None,
        }
        Some(id)
    }
}
