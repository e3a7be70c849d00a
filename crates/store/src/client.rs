//! The client of the key-value store.

use std::time::Duration;

use net::{Client, NetError, Response};
use rmpv::Value;
use serde::de::DeserializeOwned;
use wire::{Changes, Condition, Items, Lease, LeaseRequest, Op, Txn, TxnResponse};

use crate::codec::KeyWrite;
use crate::key;

/// Why a request to the key-value store failed, or may have failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The key-value store refused the request with this HTTP status: it was not carried out and never
    /// will be.
    #[error("the key-value store responded with HTTP status {0}")]
    Refused(u16),
    /// The request exceeds the rate limit of the key-value store: it was not carried out.
    #[error("the rate limit of the key-value store is exceeded")]
    RateLimited,
    /// The request was not sent, because the value of this key is too large.
    #[error("the value of key {0} is too large")]
    ValueTooLarge(String),
    /// The request may have been carried out, or may still be carried out later.
    #[error(transparent)]
    Network(#[from] NetError),
    /// The response could not be decoded.
    #[error("invalid response from the key-value store: {0}")]
    InvalidResponse(#[from] wire::DecodeError),
    /// The changes since the requested revision are no longer kept, or are too many for one response.
    #[error("the changes since the requested revision are no longer kept or too large")]
    Compacted,
    /// The lease has expired: the keys attached to it are deleted.
    #[error("the lease has expired")]
    LeaseExpired,
}

/// The outcome of a transaction.
#[derive(Debug)]
pub enum TxnOutcome {
    /// The transaction was committed.
    Committed {
        /// The revision of the commit.
        revision: u64,
    },
    /// The transaction was not committed, because some keys do not have the versions that its
    /// conditions require.
    Conflict {
        /// The keys with other versions.
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
/// Most records in one page of a list.
const LIST_PAGE_RECORDS: usize = 400;
/// Most bytes of a response other than one with changes: a page has 512 KiB at most.
const MAX_RESPONSE_BYTES: usize = 2 << 20;
/// A response with changes may take the process's memory divided by this, within the bounds below:
/// several copies of the response are held while it is decoded.
const CHANGES_MEMORY_DIVISOR: usize = 16;
/// Lower bound of the limit for a response with changes, in bytes.
const MIN_CHANGES_BYTES: usize = 2 << 20;
/// Upper bound of the limit for a response with changes, in bytes.
const MAX_CHANGES_BYTES: usize = 16 << 20;

const STATUS_OK: u16 = 200;
const STATUS_BAD_REQUEST: u16 = 400;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_CONFLICT: u16 = 409;
const STATUS_GONE: u16 = 410;
const STATUS_TOO_MANY_REQUESTS: u16 = 429;
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;

/// The text in the body of a response to a transaction that names an expired lease.
const NO_SUCH_LEASE: &[u8] = b"no such lease";

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
    /// Creates a client of the key-value store at this address, for a process with a memory limit of
    /// `memory_bytes`.
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

    /// Reads one page of the list of all records: those after this key, or the first ones.
    ///
    /// # Errors
    ///
    /// Those of the request. Nothing was changed.
    pub async fn list(&self, after: Option<&str>) -> Result<Items<Value>, StoreError> {
        let after = after.map(|key| format!("&after={key}")).unwrap_or_default();
        let path = format!("/keys?prefix={}{after}&page={LIST_PAGE_RECORDS}", key::PREFIX);
        Self::decode(&self.send(Request::new("GET", &path), Vec::new()).await?)
    }

    /// Waits up to `wait` for changes of the records after a revision. A response has all changes since
    /// then and may be of any size.
    ///
    /// # Errors
    ///
    /// [`StoreError::Compacted`] if the changes are no longer kept or the response is too large: the
    /// records have to be read again with [`Self::list`]. Other errors are those of the request.
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

    /// Commits a transaction: all writes if every key has the version that its condition requires,
    /// otherwise none.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseExpired`] if a write names a lease that has expired. After
    /// [`StoreError::Network`] and [`StoreError::InvalidResponse`] the transaction may have been
    /// committed, or may still be committed later.
    pub async fn txn(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<KeyWrite>,
    ) -> Result<TxnOutcome, StoreError> {
        let ops = writes.into_iter().map(to_operation).collect();
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
    /// [`StoreError::LeaseExpired`] if the lease has expired. Other errors are those of the request; the
    /// lease may have been renewed nevertheless.
    pub async fn renew_lease(&self, lease: u64) -> Result<(), StoreError> {
        let path = format!("/leases/{lease}/touch");
        let request = Request { timeout: LEASE_RENEWAL_TIMEOUT, ..Request::new("POST", &path) };
        match self.send(request, Vec::new()).await?.status {
            STATUS_OK => Ok(()),
            STATUS_NOT_FOUND => Err(StoreError::LeaseExpired),
            status => Err(StoreError::Refused(status)),
        }
    }

    /// Revokes a lease, which deletes the keys attached to it.
    ///
    /// # Errors
    ///
    /// Those of the request; the lease may have been revoked nevertheless.
    pub async fn revoke_lease(&self, lease: u64) -> Result<(), StoreError> {
        let path = format!("/leases/{lease}");
        self.send(Request::new("DELETE", &path), Vec::new()).await.map(|_| ())
    }
}

/// Converts a write to an operation of a transaction.
fn to_operation(write: KeyWrite) -> Op<Value> {
    let KeyWrite { key, value, lease } = write;
    match value {
        Some(value) => Op::Put { put: key, value, lease },
        None => Op::Delete { delete: key },
    }
}

fn is_expired_lease(response: &Response) -> bool {
    response.body.windows(NO_SUCH_LEASE.len()).any(|window| window == NO_SUCH_LEASE)
}
