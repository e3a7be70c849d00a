//! The state service, as in "Controller nodes -> state service" of the protocol.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response, response};
use crate::value::{Value, int, map, text};

#[derive(Clone, Copy)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

struct Entry {
    value: Value,
    stamp: u64,
    hold: Option<u64>,
}

struct Bucket {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Self { rate, tokens: rate, at: Instant::now() }
    }

    fn take(&mut self, tokens: f64) -> bool {
        let now = Instant::now();
        self.tokens = (self.tokens + (now - self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        let is_allowed = self.tokens >= tokens;
        if is_allowed {
            self.tokens -= tokens;
        }
        is_allowed
    }
}

struct Data {
    epoch: u64,
    keys: BTreeMap<String, Entry>,
    log: VecDeque<(u64, String, Option<Value>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    requests: Bucket,
    writes: Bucket,
}

pub struct StateService {
    limits: Limits,
    data: Mutex<Data>,
    changed: Condvar,
}

const KEPT_CHANGES: usize = 10_000;
const BODY_LIMIT: usize = 64 * 1024;
const PAGE_LIMIT: usize = 512 * 1024;

fn error(status: u16, why: &str) -> Option<Response> {
    response(status, map(vec![("error", text(why))]))
}

impl StateService {
    pub fn start(limits: Limits) -> Arc<Self> {
        let data = Data {
            epoch: 0,
            keys: BTreeMap::new(),
            log: VecDeque::new(),
            leases: HashMap::new(),
            next_lease: 1,
            requests: Bucket::new(limits.rps),
            writes: Bucket::new(limits.write_rps),
        };
        let service = Arc::new(Self { limits, data: Mutex::new(data), changed: Condvar::new() });
        let expiring = service.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        service
    }

    fn expire(&self) {
        let mut data = self.data.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> =
            data.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            data.end_lease(lease);
            self.changed.notify_all();
        }
    }

    pub fn handle(&self, request: Request) -> Option<Response> {
        let body = Value::decode(&request.body).unwrap_or(Value::Nil);
        if !self.data.lock().unwrap().requests.take(1.0) {
            return error(429, "too many requests");
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/keys") => self.list(&request),
            ("GET", "/follow") => self.follow(&request),
            ("POST", "/txn") => self.transaction(&body),
            ("POST", "/leases") => {
                let mut data = self.data.lock().unwrap();
                let lease = data.next_lease;
                data.next_lease += 1;
                let life = Duration::from_millis(body.int("life_ms"));
                data.leases.insert(lease, (life, Instant::now() + life));
                response(200, map(vec![("hold", int(lease))]))
            }
            (method, path) => self.lease(method, path),
        }
    }

    fn lease(&self, method: &str, path: &str) -> Option<Response> {
        let mut data = self.data.lock().unwrap();
        let Some(rest) = path.strip_prefix("/leases/") else { return error(404, "no such path") };
        let id = rest.trim_end_matches("/touch").parse().unwrap_or(0);
        let Some((life, _)) = data.leases.get(&id).copied() else { return error(404, "no such lease") };
        if method == "DELETE" {
            data.end_lease(id);
            self.changed.notify_all();
        } else {
            data.leases.insert(id, (life, Instant::now() + life));
        }
        response(200, map(vec![("hold", int(id))]))
    }

    fn list(&self, request: &Request) -> Option<Response> {
        let data = self.data.lock().unwrap();
        let prefix = request.parameter("prefix").unwrap_or("");
        let after = request.parameter("after").unwrap_or("");
        let page = request.number("page").unwrap_or(1000).min(1000) as usize;
        let (mut entries, mut bytes, mut has_next) = (Vec::new(), 0, false);
        for (key, entry) in
            data.keys.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
        {
            if entries.len() >= page || bytes > PAGE_LIMIT - 32 * 1024 {
                has_next = true;
                break;
            }
            let entry = map(vec![("k", text(key)), ("v", entry.value.clone()), ("stamp", int(entry.stamp))]);
            bytes += entry.json().len();
            entries.push(entry);
        }
        let fields = vec![
            ("entries", Value::List(entries)),
            ("has_next", Value::Bool(has_next)),
            ("epoch", int(data.epoch)),
        ];
        response(200, map(fields))
    }

    fn follow(&self, request: &Request) -> Option<Response> {
        let prefix = request.parameter("prefix").unwrap_or("").to_owned();
        let after = request.number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(request.number("hold_ms").unwrap_or(0));
        let mut data = self.data.lock().unwrap();
        loop {
            if data.log.len() >= KEPT_CHANGES
                && data.log.front().is_some_and(|(epoch, ..)| *epoch > after + 1)
            {
                return error(410, "too old");
            }
            let is_new =
                |(epoch, key, _): &&(u64, String, Option<Value>)| *epoch > after && key.starts_with(&prefix);
            let news: Vec<Value> = data.log.iter().filter(is_new).map(change).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                return response(200, map(vec![("epoch", int(data.epoch)), ("news", Value::List(news))]));
            }
            data = self.changed.wait_timeout(data, left).unwrap().0;
        }
    }

    fn transaction(&self, body: &Value) -> Option<Response> {
        let (conditions, changes) = (body.list("if"), body.list("then"));
        let is_too_large = |change: &Value| {
            change.get("v").is_some_and(|v| v.json().len() as f64 > self.limits.value_kb * 1024.0)
        };
        if changes.len() > self.limits.txn_ops
            || conditions.len() > self.limits.txn_ops * 4
            || body.json().len() > BODY_LIMIT
            || changes.iter().any(is_too_large)
        {
            return error(400, "too large");
        }
        let mut data = self.data.lock().unwrap();
        if !data.writes.take(changes.len() as f64) {
            return error(429, "too many changes");
        }
        let has_lease =
            |change: &Value| change.get("hold").is_none_or(|_| data.leases.contains_key(&change.int("hold")));
        if !changes.iter().all(has_lease) {
            return error(400, "no such lease");
        }
        let stamp = |key: &str| data.keys.get(key).map_or(0, |entry| entry.stamp);
        let failed: Vec<Value> = conditions
            .iter()
            .filter(|condition| stamp(&condition.str("k")) != condition.int("stamp"))
            .map(|condition| text(&condition.str("k")))
            .collect();
        if !failed.is_empty() {
            return response(409, map(vec![("failed", Value::List(failed)), ("epoch", int(data.epoch))]));
        }
        if !changes.is_empty() {
            data.epoch += 1;
            for change in changes {
                match change.get("v") {
                    Some(value) => {
                        let hold = change.get("hold").map(|_| change.int("hold"));
                        data.put(&change.str("put"), value.clone(), hold);
                    }
                    None => data.remove(&change.str("remove")),
                }
            }
            self.changed.notify_all();
        }
        response(200, map(vec![("epoch", int(data.epoch))]))
    }
}

fn change((epoch, key, value): &(u64, String, Option<Value>)) -> Value {
    match value {
        Some(value) => map(vec![("put", text(key)), ("v", value.clone()), ("stamp", int(*epoch))]),
        None => map(vec![("remove", text(key)), ("stamp", int(*epoch))]),
    }
}

impl Data {
    fn put(&mut self, key: &str, value: Value, hold: Option<u64>) {
        let stamp = self.epoch;
        self.keys.insert(key.to_owned(), Entry { value: value.clone(), stamp, hold });
        self.note(key, Some(value));
    }

    fn remove(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.note(key, None);
        }
    }

    fn note(&mut self, key: &str, value: Option<Value>) {
        self.log.push_back((self.epoch, key.to_owned(), value));
        if self.log.len() > KEPT_CHANGES {
            self.log.pop_front();
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.hold == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        if !held.is_empty() {
            self.epoch += 1;
            held.iter().for_each(|key| self.remove(key));
        }
    }
}
