//! Parsing and validation of requests to the state service.

use net::Request;
use percent_encoding::percent_decode_str;
use rmpv::Value;
use wire::{LeaseRequest, Op, Txn};

/// A valid request.
#[derive(Debug)]
pub enum StateRequest {
    GetKey(String),
    List { prefix: String, after: String, page: usize },
    Txn(Txn<Value>),
    GrantLease { ttl_ms: u64 },
    RenewLease(u64),
    RevokeLease(u64),
    Watch { prefix: String, after: u64, hold_ms: u64 },
}

const MAX_PAGE_KEYS: usize = 1000;
/// Longest time that a watch may wait for changes.
const MAX_HOLD_MS: u64 = 60_000;

/// HTTP status and reason of a rejected request.
pub type Malformed = (u16, &'static str);

fn decode_text(encoded: &str) -> Result<String, Malformed> {
    let decoded = percent_decode_str(encoded).decode_utf8();
    decoded.map(|t| t.into_owned()).map_err(|_| (400, "the path is not valid UTF-8"))
}

/// Splits a path from its query and decodes both. A parameter without `=` has an empty value.
pub fn query(path: &str) -> Result<(String, Vec<(String, String)>), Malformed> {
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let pairs = query.split('&').filter(|p| !p.is_empty()).map(|pair| {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        Ok((decode_text(name)?, decode_text(value)?))
    });
    Ok((decode_text(path)?, pairs.collect::<Result<_, Malformed>>()?))
}

pub fn is_key(key: &str) -> bool {
    (1..=200).contains(&key.len()) && !key.contains(char::is_whitespace)
}

/// Whether all map keys of a value are text and it has no binary data. The interfaces allow only
/// such values.
fn is_plain(value: &Value) -> bool {
    match value {
        Value::Map(m) => m.iter().all(|(k, v)| k.is_str() && is_plain(v)),
        Value::Array(a) => a.iter().all(is_plain),
        Value::Binary(_) | Value::Ext(..) => false,
        _ => true,
    }
}

pub fn parse(request: &Request) -> Result<StateRequest, Malformed> {
    let (path, query) = query(&request.path)?;
    let value = |name: &str| query.iter().find(|(n, _)| n == name).map(|(_, v)| v.clone());
    let number = |name: &str, default: u64| match value(name) {
        None => Ok(default),
        Some(v) => v.parse::<u64>().map_err(|_| (400, "a number in the query is malformed")),
    };
    let prefix = || {
        let prefix = value("prefix").unwrap_or_default();
        let valid = prefix.is_empty() || is_key(&prefix);
        valid.then_some(prefix).ok_or((400, "the prefix is not the beginning of a valid key"))
    };
    let suffix_after = |beginning: &str| path.strip_prefix(beginning).map(str::to_owned);
    match (request.method.as_str(), path.as_str()) {
        ("GET", "/keys") => {
            let page = number("page", MAX_PAGE_KEYS as u64)? as usize;
            let after = value("after").unwrap_or_default();
            if page == 0 || page > MAX_PAGE_KEYS {
                return Err((400, "page must be 1 to 1000"));
            }
            Ok(StateRequest::List { prefix: prefix()?, after, page })
        }
        ("GET", "/follow") => {
            let hold_ms = number("hold_ms", 0)?;
            if hold_ms > MAX_HOLD_MS {
                return Err((400, "hold_ms must be at most 60000"));
            }
            Ok(StateRequest::Watch { prefix: prefix()?, after: number("after", 0)?, hold_ms })
        }
        ("POST", "/txn") => {
            let txn: Txn<Value> =
                wire::decode(&request.body).map_err(|_| (400, "the body is not a transaction"))?;
            validate_txn(&txn)?;
            Ok(StateRequest::Txn(txn))
        }
        ("POST", "/leases") => {
            let body: LeaseRequest =
                wire::decode_request(&request.body).map_err(|_| (400, "life_ms is missing"))?;
            if !(100..=600_000).contains(&body.ttl_ms) {
                return Err((400, "life_ms must be 100 to 600000"));
            }
            Ok(StateRequest::GrantLease { ttl_ms: body.ttl_ms })
        }
        (method, _) => {
            if let ("GET", Some(key)) = (method, suffix_after("/keys/")) {
                return if is_key(&key) {
                    Ok(StateRequest::GetKey(key))
                } else {
                    Err((400, "the path has no valid key"))
                };
            }
            let id = |text: &str| text.parse::<u64>().map_err(|_| (404, "no such lease"));
            match (method, suffix_after("/leases/")) {
                ("POST", Some(lease)) => match lease.strip_suffix("/touch") {
                    Some(lease) => Ok(StateRequest::RenewLease(id(lease)?)),
                    None => Err((404, "no such path")),
                },
                ("DELETE", Some(lease)) => Ok(StateRequest::RevokeLease(id(&lease)?)),
                _ => Err((404, "no such path")),
            }
        }
    }
}

fn validate_txn(txn: &Txn<Value>) -> Result<(), Malformed> {
    if !txn.conditions.iter().all(|c| is_key(&c.key)) {
        return Err((400, "a condition has an invalid key"));
    }
    for op in &txn.ops {
        let (key, value) = match op {
            Op::Put { put, value, .. } => (put, Some(value)),
            Op::Delete { delete } => (delete, None),
        };
        if !is_key(key) {
            return Err((400, "a change has an invalid key"));
        }
        if !value.is_none_or(is_plain) {
            return Err((400, "a value has binary data or keys that are not text"));
        }
    }
    Ok(())
}
