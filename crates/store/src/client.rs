use std::time::Duration;

use net::{Answer, Client, NetError};
use rmpv::Value;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wire::{Changes, Condition, Items, Lease, LeaseRequest, Op, Txn, TxnAnswer};

use crate::codec::{KeyWrite, key};

/// Why the state service did not do what it was asked, or may not have.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The request was not carried out and never will be.
    #[error("refused with {0}")]
    Refused(u16),
    /// Above the state service's requests or changes a second: nothing was carried out.
    #[error("above the rate limit")]
    RateLimited,
    /// It was not sent: the state service could not take it.
    #[error("larger than a value may be: {0}")]
    ValueTooLarge(String),
    /// The request may have been carried out, or may be later.
    #[error(transparent)]
    Network(#[from] NetError),
    /// The answer could not be read.
    #[error("answer not understood: {0}")]
    InvalidResponse(#[from] wire::DecodeError),
    /// They are no longer kept that far back, or are too many to be told at once.
    #[error("the changes cannot be followed from there")]
    Compacted,
    /// The lease is over: whatever was attached to it is deleted.
    #[error("the lease is over")]
    LeaseExpired,
}

/// What became of a transaction.
#[derive(Debug)]
pub enum TxnOutcome {
    /// It was carried out, at this revision.
    Committed {
        /// The state service's revision with it.
        revision: u64,
    },
    /// It was not, as these keys have other versions.
    Conflict {
        /// The keys.
        failed: Vec<String>,
        /// The state service's revision.
        revision: u64,
    },
}

/// A client of the state service.
#[derive(Clone)]
pub struct KeyValueClient {
    client: Client,
    addr: String,
    /// Most bytes of an answer with changes.
    changes_bytes: usize,
}

const DEADLINE: Duration = Duration::from_millis(2500);
/// Most bytes of an answer other than one with changes: a page has 512 KiB at most.
const ANSWER_BYTES: usize = 2 << 20;
/// What an answer with changes may have of a process's memory, as a part of it, and in bytes
/// at least and at most. It is held several times over while it is read.
const CHANGES_PART: usize = 16;
const CHANGES_LEAST: usize = 2 << 20;
const CHANGES_MOST: usize = 16 << 20;

impl KeyValueClient {
    /// `memory_bytes`: what the process may hold.
    pub fn new(client: Client, addr: String, memory_bytes: usize) -> Self {
        let changes_bytes = (memory_bytes / CHANGES_PART).clamp(CHANGES_LEAST, CHANGES_MOST);
        Self { client, addr, changes_bytes }
    }

    async fn call<T: Serialize>(
        &self,
        method: &str,
        path: &str,
        body: Option<&T>,
        deadline: Duration,
    ) -> Result<Answer, StoreError> {
        self.call_within(method, path, body, ANSWER_BYTES, deadline).await
    }

    async fn call_within<T: Serialize>(
        &self,
        method: &str,
        path: &str,
        body: Option<&T>,
        limit: usize,
        deadline: Duration,
    ) -> Result<Answer, StoreError> {
        let body = body.map(wire::encode).unwrap_or_default();
        let answer = self.client.request(&self.addr, method, path, body, limit, deadline).await?;
        match answer.status {
            429 => Err(StoreError::RateLimited),
            503 => Err(StoreError::Refused(503)),
            _ => Ok(answer),
        }
    }

    fn read<T: DeserializeOwned>(answer: Answer) -> Result<T, StoreError> {
        match answer.status {
            200 => Ok(wire::decode(&answer.body)?),
            s => Err(StoreError::Refused(s)),
        }
    }

    /// One page of all the records.
    pub async fn list(&self, after: Option<&str>) -> Result<Items<Value>, StoreError> {
        let after = after.map(|a| format!("&after={a}")).unwrap_or_default();
        let path = format!("/keys?prefix={}{after}&page=400", key::PREFIX);
        Self::read(self.call::<()>("GET", &path, None, DEADLINE).await?)
    }

    /// Waits for changes of the records after a revision. An answer has them all and may have
    /// any size; where it is too large to be held, the records have to be read again, in pages.
    pub async fn watch(&self, after: u64, wait: Duration) -> Result<Changes<Value>, StoreError> {
        let path = format!("/follow?prefix={}&after={after}&hold_ms={}", key::PREFIX, wait.as_millis());
        let answer = self.call_within::<()>("GET", &path, None, self.changes_bytes, wait + DEADLINE).await;
        if let Err(StoreError::Network(NetError::TooLarge(..))) = answer {
            return Err(StoreError::Compacted);
        }
        let answer = answer?;
        if answer.status == 410 {
            return Err(StoreError::Compacted);
        }
        Self::read(answer)
    }

    /// Carries out changes, all or none, if every key has the version that is asked for.
    pub async fn txn(
        &self,
        conditions: Vec<Condition>,
        puts: Vec<KeyWrite>,
    ) -> Result<TxnOutcome, StoreError> {
        let ops = puts
            .into_iter()
            .map(|p| match p.value {
                Some(value) => Op::Put { put: p.key, value, lease: p.lease },
                None => Op::Delete { delete: p.key },
            })
            .collect();
        let answer = self.call("POST", "/txn", Some(&Txn { conditions, ops }), DEADLINE).await?;
        match answer.status {
            200 => {
                let a: TxnAnswer = wire::decode(&answer.body)?;
                Ok(TxnOutcome::Committed { revision: a.revision })
            }
            409 => {
                let a: TxnAnswer = wire::decode(&answer.body)?;
                Ok(TxnOutcome::Conflict { failed: a.failed, revision: a.revision })
            }
            400 if answer.body.windows(13).any(|w| w == b"no such lease") => Err(StoreError::LeaseExpired),
            s => Err(StoreError::Refused(s)),
        }
    }

    /// Begins a lease.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<u64, StoreError> {
        let body = LeaseRequest { ttl_ms: ttl.as_millis() as u64 };
        let lease: Lease = Self::read(self.call("POST", "/leases", Some(&body), DEADLINE).await?)?;
        Ok(lease.lease)
    }

    /// Renews a lease.
    pub async fn renew_lease(&self, lease: u64) -> Result<(), StoreError> {
        let answer = self
            .call::<()>("POST", &format!("/leases/{lease}/touch"), None, Duration::from_millis(1500))
            .await?;
        match answer.status {
            200 => Ok(()),
            404 => Err(StoreError::LeaseExpired),
            s => Err(StoreError::Refused(s)),
        }
    }

    /// Ends a lease at once, and deletes what is attached to it.
    pub async fn revoke_lease(&self, lease: u64) -> Result<(), StoreError> {
        self.call::<()>("DELETE", &format!("/leases/{lease}"), None, DEADLINE).await.map(|_| ())
    }
}
