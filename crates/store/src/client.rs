//! The client of the key-value store.

use std::time::Duration;

use net::{Client, NetError, Response};
use rmpv::Value;
use serde::de::DeserializeOwned;
use wire::{Changes, Condition, Items, Lease, LeaseRequest, Op, Txn, TxnResponse};

use crate::codec::KeyWrite;
use crate::key;

/// Why the key-value store did not carry out a request, or may not have.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The request was refused with this HTTP status: it was not carried out and never will be.
    #[error("refused with {0}")]
    Refused(u16),
    /// It exceeds the rate limit of the key-value store: nothing was carried out.
    #[error("above the rate limit")]
    RateLimited,
    /// It was not sent, as the value of this key is too large.
    #[error("larger than a value may be: {0}")]
    ValueTooLarge(String),
    /// The request may have been carried out, or may be later.
    #[error(transparent)]
    Network(#[from] NetError),
    /// The response could not be decoded.
    #[error("answer not understood: {0}")]
    InvalidResponse(#[from] wire::DecodeError),
    /// The changes are no longer kept that far back, or are too many for one response.
    #[error("the changes cannot be followed from there")]
    Compacted,
    /// The lease has expired: whatever was attached to it is deleted.
    #[error("the lease is over")]
    LeaseExpired,
}

/// What became of a transaction.
#[derive(Debug)]
pub enum TxnOutcome {
    /// It was committed.
    Committed {
        /// The revision that it made.
        revision: u64,
    },
    /// It was not, as some keys have other versions than its conditions ask for.
    Conflict {
        /// These keys.
        failed: Vec<String>,
        /// The current revision.
        revision: u64,
    },
}

/// A client of the key-value store.
#[derive(Clone)]
pub struct KeyValueClient {
    client: Client,
    addr: String,
    /// Most bytes of a response with changes.
    max_changes_bytes: usize,
}

const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
const LEASE_RENEWAL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Most records of one page of a list.
const LIST_PAGE_RECORDS: usize = 400;
/// Most bytes of a response other than one with changes: a page has 512 KiB at most.
const MAX_RESPONSE_BYTES: usize = 2 << 20;
/// The part of a process's memory that a response with changes may take, as a divisor, within the
/// bounds below. The response is held several times over while it is read.
const CHANGES_MEMORY_DIVISOR: usize = 16;
/// Lower bound of the limit for a response with changes.
const MIN_CHANGES_BYTES: usize = 2 << 20;
/// Upper bound of the limit for a response with changes.
const MAX_CHANGES_BYTES: usize = 16 << 20;

const STATUS_OK: u16 = 200;
const STATUS_BAD_REQUEST: u16 = 400;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_CONFLICT: u16 = 409;
const STATUS_GONE: u16 = 410;
const STATUS_TOO_MANY_REQUESTS: u16 = 429;
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;

/// What the body of a response says if a transaction names a lease that has expired.
const NO_SUCH_LEASE: &[u8] = b"no such lease";

/// A request.
struct Request<'a> {
    method: &'a str,
    path: &'a str,
    max_response_bytes: usize,
    timeout: Duration,
}

impl<'a> Request<'a> {
    fn new(method: &'a str, path: &'a str) -> Self {
        Self { method, path, max_response_bytes: MAX_RESPONSE_BYTES, timeout: REQUEST_TIMEOUT }
    }
}

impl KeyValueClient {
    /// A client of the key-value store at this address, in a process that may hold `memory_bytes`.
    pub fn new(client: Client, addr: String, memory_bytes: usize) -> Self {
        let max_changes_bytes =
            (memory_bytes / CHANGES_MEMORY_DIVISOR).clamp(MIN_CHANGES_BYTES, MAX_CHANGES_BYTES);
        Self { client, addr, max_changes_bytes }
    }

    async fn send(&self, request: Request<'_>, body: Vec<u8>) -> Result<Response, StoreError> {
        let Request { method, path, max_response_bytes, timeout } = request;
        let response =
            self.client.request(&self.addr, method, path, body, max_response_bytes, timeout).await?;
        match response.status {
            STATUS_TOO_MANY_REQUESTS => Err(StoreError::RateLimited),
            STATUS_SERVICE_UNAVAILABLE => Err(StoreError::Refused(STATUS_SERVICE_UNAVAILABLE)),
            _ => Ok(response),
        }
    }

    fn decode<T: DeserializeOwned>(response: &Response) -> Result<T, StoreError> {
        match response.status {
            STATUS_OK => Ok(wire::decode(&response.body)?),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Reads one page of all records, those after a key.
    ///
    /// # Errors
    ///
    /// Those of the request; nothing has changed.
    pub async fn list(&self, after: Option<&str>) -> Result<Items<Value>, StoreError> {
        let after = after.map(|key| format!("&after={key}")).unwrap_or_default();
        let path = format!("/keys?prefix={}{after}&page={LIST_PAGE_RECORDS}", key::PREFIX);
        Self::decode(&self.send(Request::new("GET", &path), Vec::new()).await?)
    }

    /// Waits up to `wait` for changes of the records after a revision. A response has them all and
    /// may have any size.
    ///
    /// # Errors
    ///
    /// [`StoreError::Compacted`] if the changes are no longer kept or the response is too large: the
    /// records have to be read again, in pages. Others are those of the request.
    pub async fn watch(&self, after: u64, wait: Duration) -> Result<Changes<Value>, StoreError> {
        let path = format!("/follow?prefix={}&after={after}&hold_ms={}", key::PREFIX, wait.as_millis());
        let request = Request {
            max_response_bytes: self.max_changes_bytes,
            timeout: wait + REQUEST_TIMEOUT,
            ..Request::new("GET", &path)
        };
        match self.send(request, Vec::new()).await {
            Err(StoreError::Network(NetError::TooLarge(..))) => Err(StoreError::Compacted),
            Ok(response) if response.status == STATUS_GONE => Err(StoreError::Compacted),
            Ok(response) => Self::decode(&response),
            Err(error) => Err(error),
        }
    }

    /// Commits a transaction: all writes or none, if every key has the version that its condition
    /// asks for.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseExpired`] if a write names a lease that has expired. After
    /// [`StoreError::Network`] and [`StoreError::InvalidResponse`] it may have been committed, or may
    /// be later.
    pub async fn txn(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<KeyWrite>,
    ) -> Result<TxnOutcome, StoreError> {
        let ops = writes.into_iter().map(operation).collect();
        let body = wire::encode(&Txn { conditions, ops });
        let response = self.send(Request::new("POST", "/txn"), body).await?;
        match response.status {
            STATUS_OK => {
                let TxnResponse { revision, .. } = wire::decode(&response.body)?;
                Ok(TxnOutcome::Committed { revision })
            }
            STATUS_CONFLICT => {
                let TxnResponse { failed, revision } = wire::decode(&response.body)?;
                Ok(TxnOutcome::Conflict { failed, revision })
            }
            STATUS_BAD_REQUEST if is_expired_lease(&response) => Err(StoreError::LeaseExpired),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Grants a lease and returns its id.
    ///
    /// # Errors
    ///
    /// Those of the request; the lease may have been granted nevertheless.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<u64, StoreError> {
        let body = wire::encode(&LeaseRequest { ttl_ms: ttl.as_millis() as u64 });
        let lease: Lease = Self::decode(&self.send(Request::new("POST", "/leases"), body).await?)?;
        Ok(lease.lease)
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseExpired`] if it has expired. Others are those of the request; the lease may
    /// have been renewed nevertheless.
    pub async fn renew_lease(&self, lease: u64) -> Result<(), StoreError> {
        let path = format!("/leases/{lease}/touch");
        let request = Request { timeout: LEASE_RENEWAL_TIMEOUT, ..Request::new("POST", &path) };
        match self.send(request, Vec::new()).await?.status {
            STATUS_OK => Ok(()),
            STATUS_NOT_FOUND => Err(StoreError::LeaseExpired),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Revokes a lease at once, which deletes what is attached to it.
    ///
    /// # Errors
    ///
    /// Those of the request; the lease may have been revoked nevertheless.
    pub async fn revoke_lease(&self, lease: u64) -> Result<(), StoreError> {
        let path = format!("/leases/{lease}");
        self.send(Request::new("DELETE", &path), Vec::new()).await.map(|_| ())
    }
}

/// The operation of a transaction that a write stands for.
fn operation(write: KeyWrite) -> Op<Value> {
    let KeyWrite { key, value, lease } = write;
    match value {
        Some(value) => Op::Put { put: key, value, lease },
        None => Op::Delete { delete: key },
    }
}

fn is_expired_lease(response: &Response) -> bool {
    response.body.windows(NO_SUCH_LEASE.len()).any(|window| window == NO_SUCH_LEASE)
}
