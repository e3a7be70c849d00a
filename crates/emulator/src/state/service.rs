//! The state service as its callers see it: limits, leases, watches and troubles.

use std::collections::{BTreeMap, HashSet};
use std::path::Path;
use std::time::{Duration, Instant};

use net::{Reply, Request};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rmpv::Value;
use tracing::error;
use wire::{Changes, Items, Lease, NoKey, Op, StoredKey, Txn, TxnAnswer};

use super::requests::{self, Ask};
use super::{Change, Data, Write, json_len};
use crate::bucket::Bucket;
use crate::journal::{Journal, JournalError};

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StateLimits {
    pub rps: f64,
    pub write_rps: f64,
    /// KiB of a value, written as JSON.
    pub value_kb: f64,
    pub txn_ops: usize,
}

/// What goes wrong. Shares are of all requests, from 0 to 1.
#[derive(Debug, Clone, Default)]
pub struct Troubles {
    /// Everybody is refused, and no lease runs out.
    pub outage: bool,
    /// These callers are refused; their leases run out.
    pub refused: HashSet<usize>,
    /// Answers that take up to `slow` instead of a few milliseconds.
    pub slow_share: f64,
    pub slow: Duration,
    /// Requests that are carried out up to `late` after they came, and not answered.
    pub late_share: f64,
    pub late: Duration,
    /// Requests that are carried out at once and not answered.
    pub lost_share: f64,
}

/// What becomes of a request.
#[derive(Debug)]
pub enum Step {
    /// It is answered after so long.
    Answer(Reply, Duration),
    /// It is answered once `check` has an answer.
    Wait(Watch),
    /// It was carried out; nobody hears of it.
    Lost,
    /// It is to be handed to `carry_out` after so long; nobody hears of it.
    Late(Duration),
}

#[derive(Debug, Clone)]
pub struct Watch {
    caller: usize,
    prefix: String,
    after: u64,
    until: Instant,
}

impl Watch {
    /// When it has waited long enough.
    pub fn until(&self) -> Instant {
        self.until
    }
}

/// A lease may end so much later than it should, never earlier.
const LEASE_LATE: Duration = Duration::from_millis(100);
const TXN_BYTES: usize = 64 * 1024;
const PAGE_BYTES: usize = 512 * 1024;
/// What an answer usually takes.
const QUICK_MS: std::ops::Range<u64> = 1..8;

/// The service. Time is passed in and must not go back.
pub struct StateService {
    data: Data,
    limits: StateLimits,
    requests: Bucket,
    writes: Bucket,
    /// When each lease ends.
    ends: BTreeMap<u64, Instant>,
    troubles: Troubles,
    journal: Option<Journal>,
    /// The file could not be written: nothing is acknowledged any more.
    broken: bool,
    rng: StdRng,
}

/// Stands for no answer: the file failed, so that nobody knows what was carried out.
const UNKNOWN: u16 = 0;

fn unknown() -> Reply {
    fail(UNKNOWN, "")
}

fn fail(status: u16, why: &str) -> Reply {
    Reply::error(status, why)
}

impl StateService {
    /// An empty service that keeps nothing when it ends.
    pub fn new(limits: StateLimits, seed: u64, now: Instant) -> Self {
        Self {
            data: Data::default(),
            limits,
            requests: Bucket::new(limits.rps, 1.0, now),
            writes: Bucket::new(limits.write_rps, 1.0, now),
            ends: BTreeMap::new(),
            troubles: Troubles::default(),
            journal: None,
            broken: false,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// A service that keeps its data in a file. What it acknowledged before is there
    /// again, and every lease has its full time.
    pub fn open(limits: StateLimits, seed: u64, path: &Path, now: Instant) -> Result<Self, JournalError> {
        let (journal, entries) = Journal::open(path)?;
        let mut service = Self { journal: Some(journal), ..Self::new(limits, seed, now) };
        for entry in entries {
            let change = wire::decode(&entry)
                .map_err(|_| JournalError::Foreign { file: path.display().to_string() })?;
            service.data.apply(change);
        }
        service.renew_all(now);
        Ok(service)
    }

    pub fn data(&self) -> &Data {
        &self.data
    }

    pub fn troubles(&self) -> &Troubles {
        &self.troubles
    }

    /// From now on this goes wrong and nothing else. After an outage every lease has
    /// its full time again.
    pub fn set_troubles(&mut self, troubles: Troubles, now: Instant) {
        self.poll(now);
        if self.troubles.outage && !troubles.outage {
            self.renew_all(now);
        }
        self.troubles = troubles;
    }

    fn renew_all(&mut self, now: Instant) {
        let all: Vec<u64> = self.data.leases.keys().copied().collect();
        for lease in all {
            self.renew(lease, now);
        }
    }

    fn renew(&mut self, lease: u64, now: Instant) {
        if let Some((ttl_ms, _)) = self.data.leases.get(&lease) {
            let late = Duration::from_micros(self.rng.random_range(0..LEASE_LATE.as_micros() as u64));
            self.ends.insert(lease, now + Duration::from_millis(*ttl_ms) + late);
        }
    }

    /// When the next lease ends, for whoever waits for changes.
    pub fn next_end(&self) -> Option<Instant> {
        if self.troubles.outage { None } else { self.ends.values().min().copied() }
    }

    /// Ends the leases whose time is over.
    pub fn poll(&mut self, now: Instant) {
        if self.troubles.outage || self.broken {
            return;
        }
        let over: Vec<u64> = self.ends.iter().filter(|(_, end)| **end <= now).map(|(l, _)| *l).collect();
        for lease in over {
            self.commit(Change::Ended { lease });
            self.ends.remove(&lease);
        }
    }

    /// Writes a change down and then makes it; false if the file failed.
    fn commit(&mut self, change: Change) -> bool {
        if let Some(journal) = &mut self.journal
            && let Err(e) = journal.append(&wire::encode(&change))
        {
            // Whether the disk has it nobody knows, so there is no true answer any more.
            error!(error = %e, "the state service stops: its file cannot be written");
            self.broken = true;
            return false;
        }
        self.data.apply(change);
        if let Some(journal) = &mut self.journal
            && journal.wants_snapshot()
        {
            let entries: Vec<Vec<u8>> = self.data.snapshot().iter().map(wire::encode).collect();
            if let Err(e) = journal.replace(&entries) {
                error!(error = %e, "the state service stops: its file cannot be replaced");
                self.broken = true;
            }
        }
        true
    }

    fn refuses(&self, caller: usize) -> bool {
        self.broken || self.troubles.outage || self.troubles.refused.contains(&caller)
    }

    /// Takes a request. Callers are told apart by numbers of the site's choice.
    pub fn handle(&mut self, caller: usize, request: &Request, now: Instant) -> Step {
        let (late, lost, slow) =
            (self.troubles.late_share, self.troubles.lost_share, self.troubles.slow_share);
        if late > 0.0 && self.rng.random_bool(late.min(1.0)) {
            return Step::Late(self.troubles.late.mul_f64(self.rng.random_range(0.0..1.0)));
        }
        let step = self.carry_out(caller, request, now);
        if lost > 0.0 && self.rng.random_bool(lost.min(1.0)) {
            return Step::Lost;
        }
        match step {
            Step::Answer(reply, _) if slow > 0.0 && self.rng.random_bool(slow.min(1.0)) => {
                Step::Answer(reply, self.troubles.slow.mul_f64(self.rng.random_range(0.1..1.0)))
            }
            step => step,
        }
    }

    /// Carries a request out now.
    pub fn carry_out(&mut self, caller: usize, request: &Request, now: Instant) -> Step {
        self.poll(now);
        let delay = Duration::from_millis(self.rng.random_range(QUICK_MS));
        if self.refuses(caller) {
            return Step::Answer(fail(503, "unavailable"), delay);
        }
        if !self.requests.take(1.0, now) {
            return Step::Answer(fail(429, "too many requests"), delay);
        }
        let reply = match requests::read(request) {
            Err((status, why)) => fail(status, why),
            Ok(Ask::Key(key)) => self.key(key),
            Ok(Ask::List { prefix, after, page }) => {
                let (items, more) = self.data.page(&prefix, &after, page, PAGE_BYTES);
                Reply::new(200, &Items { items, more, revision: self.data.revision })
            }
            Ok(Ask::Txn(txn)) => self.txn(txn, now),
            Ok(Ask::Grant { ttl_ms }) => self.grant(ttl_ms, now),
            Ok(Ask::Touch(lease)) => self.touch(lease, now),
            Ok(Ask::End(lease)) => self.end(lease),
            Ok(Ask::Follow { prefix, after, hold_ms }) => {
                let until = now + Duration::from_millis(hold_ms);
                let watch = Watch { caller, prefix, after, until };
                return match self.check(&watch, now) {
                    Some(reply) => Step::Answer(reply, delay),
                    None => Step::Wait(watch),
                };
            }
        };
        if self.broken && reply.status == UNKNOWN {
            return Step::Lost;
        }
        Step::Answer(reply, delay)
    }

    /// The answer to a watch, once there is one.
    pub fn check(&mut self, watch: &Watch, now: Instant) -> Option<Reply> {
        self.poll(now);
        // It waits as long as its caller is refused, and longer than it asked for.
        if self.refuses(watch.caller) {
            return None;
        }
        let Some(events) = self.data.changes(&watch.prefix, watch.after) else {
            return Some(fail(410, "changes are no longer kept that far back"));
        };
        let ready = !events.is_empty() || now >= watch.until;
        ready.then(|| Reply::new(200, &Changes { revision: self.data.revision, events }))
    }

    fn key(&self, key: String) -> Reply {
        match self.data.keys.get(&key) {
            Some(e) => {
                let value = e.value.clone();
                Reply::new(200, &StoredKey { key, value, version: e.version, lease: e.lease })
            }
            None => Reply::new(404, &NoKey { revision: self.data.revision }),
        }
    }

    fn txn(&mut self, txn: Txn<Value>, now: Instant) -> Reply {
        let limits = self.limits;
        if txn.ops.len() > limits.txn_ops || txn.conditions.len() > 4 * limits.txn_ops {
            return fail(400, "too many changes or conditions");
        }
        if json_len(&txn) > TXN_BYTES {
            return fail(400, "the transaction is too large");
        }
        let values = txn.ops.iter().filter_map(|op| match op {
            Op::Put { value, .. } => Some(json_len(value)),
            Op::Delete { .. } => None,
        });
        if values.max().is_some_and(|len| len as f64 > limits.value_kb * 1024.0) {
            return fail(400, "a value is too large");
        }
        // Also when the conditions fail.
        if !self.writes.take(txn.ops.len() as f64, now) {
            return fail(429, "too many changes");
        }
        let lease = |op: &Op<Value>| match op {
            Op::Put { lease, .. } => *lease,
            Op::Delete { .. } => None,
        };
        if txn.ops.iter().filter_map(lease).any(|l| !self.data.leases.contains_key(&l)) {
            return fail(400, "no such lease");
        }
        let failed = self.data.failed(&txn.conditions);
        if !failed.is_empty() {
            return Reply::new(409, &TxnAnswer { failed, revision: self.data.revision });
        }
        if !txn.ops.is_empty() {
            let writes = txn.ops.into_iter().map(|op| match op {
                Op::Put { put, value, lease } => Write { key: put, value: Some(value), lease },
                Op::Delete { delete } => Write { key: delete, value: None, lease: None },
            });
            if !self.commit(Change::Writes(writes.collect())) {
                return unknown();
            }
        }
        Reply::new(200, &TxnAnswer { failed: Vec::new(), revision: self.data.revision })
    }

    fn grant(&mut self, ttl_ms: u64, now: Instant) -> Reply {
        let lease = self.data.next_lease();
        if !self.commit(Change::Granted { lease, ttl_ms }) {
            return unknown();
        }
        self.renew(lease, now);
        Reply::new(200, &Lease { lease })
    }

    fn touch(&mut self, lease: u64, now: Instant) -> Reply {
        if !self.data.leases.contains_key(&lease) {
            return fail(404, "no such lease");
        }
        self.renew(lease, now);
        Reply::new(200, &Lease { lease })
    }

    fn end(&mut self, lease: u64) -> Reply {
        if !self.data.leases.contains_key(&lease) {
            return fail(404, "no such lease");
        }
        if !self.commit(Change::Ended { lease }) {
            return unknown();
        }
        self.ends.remove(&lease);
        Reply::new(200, &Lease { lease })
    }
}
