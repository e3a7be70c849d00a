//! Membership of the cluster and leader election, by leases and compare-and-swap in the
//! key-value store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sched::records::{ClusterMap, DRAINS_SCHEMA_VERSION, Member, SCHEMA_VERSION, SchemaMarker};
use sched::replica::Replica;
use store::{KeyWrite, StoreError, TxnOutcome, key};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};
use wire::Condition;

use crate::clock;
use crate::controller::Controller;
use crate::load::Purpose;
use crate::timeouts::MEMBER_TTL;
use crate::worker::Worker;

/// How often a lease is renewed within its time to live.
const RENEWALS_PER_TTL: u32 = 4;
/// Least and longest time between two looks at whether something is to be claimed.
const MIN_CLAIM_INTERVAL: Duration = Duration::from_millis(40);
const MAX_CLAIM_INTERVAL: Duration = Duration::from_millis(400);
/// How long the copy of the records may take to reach the revision of a transaction.
const REVISION_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two looks at whether an isolated controller may come back.
const ISOLATED_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Keeps this controller among the members, and has it lead when nobody does, until it stops.
pub async fn keep_membership(controller: Arc<Controller>) {
    let mut renewed_at = clock::now();
    loop {
        if leave_if_isolated(&controller).await {
            sleep(ISOLATED_CHECK_INTERVAL).await;
            continue;
        }
        let kept = keep_lease(&controller, &mut renewed_at).await;
        if after_lease_request(&controller, kept).await == Progress::Committed {
            // Joining, leading and the cluster map follow each other at once: after a crash of
            // all controllers, workers' leases are about to expire.
            continue;
        }
        let next_revision = async {
            let mut revision = controller.replica_revision.subscribe();
            let _ = revision.changed().await;
        };
        let _ = timeout(MAX_CLAIM_INTERVAL, next_revision).await;
        sleep(MIN_CLAIM_INTERVAL).await;
    }
}

/// Revokes this controller's lease while it is isolated. Returns whether it is.
async fn leave_if_isolated(controller: &Controller) -> bool {
    let lease = {
        let mut state = controller.state();
        if !state.update_isolation(&controller.identity, controller.heartbeat_interval(), clock::now()) {
            return false;
        }
        state.membership.lease.take()
    };
    if let Some(lease) = lease {
        warn!("isolated from peers and workers; leaving the cluster");
        let _ = controller.kv_client.revoke_lease(lease).await;
    }
    true
}

/// Grants or renews this controller's lease, if that is due.
async fn keep_lease(controller: &Controller, renewed_at: &mut Instant) -> Result<(), StoreError> {
    let lease = controller.state().membership.lease;
    match lease {
        Some(lease) if clock::since(*renewed_at) >= MEMBER_TTL / RENEWALS_PER_TTL => {
            *renewed_at = clock::now();
            controller.kv_client.renew_lease(lease).await
        }
        Some(_) => Ok(()),
        None => {
            *renewed_at = clock::now();
            let lease = controller.kv_client.grant_lease(MEMBER_TTL).await?;
            controller.state().membership.lease = Some(lease);
            Ok(())
        }
    }
}

/// Whether something of the membership was committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Committed,
    Nothing,
}

/// Writes what is to be written under the lease, unless it has expired.
async fn after_lease_request(controller: &Controller, kept: Result<(), StoreError>) -> Progress {
    match kept {
        Err(StoreError::LeaseExpired) => {
            info!("lease expired");
            controller.state().membership.lease = None;
            return Progress::Nothing;
        }
        // An answer that is late says nothing of the lease, and a claim under an expired one is
        // refused. Were claims held back meanwhile, nobody would lead for as long as the
        // key-value store takes more than a second.
        Ok(()) | Err(StoreError::Network(_)) => {}
        Err(_) => return Progress::Nothing,
    }
    let lease = controller.state().membership.lease;
    let Some(lease) = lease else { return Progress::Nothing };
    match commit_next_claim(controller, lease).await {
        Ok(progress) => progress,
        Err(StoreError::LeaseExpired) => {
            controller.state().membership.lease = None;
            Progress::Nothing
        }
        Err(_) => Progress::Nothing,
    }
}

/// What a controller writes for membership and leadership. Each is conditional on the versions
/// of the records that it was decided from.
enum Claim {
    /// This controller's entry among the members.
    Member {
        /// The version of the entry before it.
        version: u64,
        /// Whether the controller also has to record the schema that it will not go back behind.
        records_schema: bool,
    },
    /// The leadership.
    Leader {
        /// The version of the leader's entry before it.
        version: u64,
        /// The version of this controller's entry among the members.
        member_version: u64,
    },
    /// A cluster map with the members that are live now, which only the leader writes.
    Map {
        map: ClusterMap,
        /// The version of the map before it.
        version: u64,
        /// The version of the leader's entry.
        leader_version: u64,
    },
    /// The same cluster map under a new epoch. Any live controller may write it, as it changes
    /// nobody's shard.
    Epoch {
        map: ClusterMap,
        /// The version of the map before it.
        version: u64,
        /// The version of this controller's entry among the members.
        member_version: u64,
    },
}

/// What this controller should write now for membership and leadership. `tokens_run_low`: its
/// fencing tokens of this epoch are nearly used up. `schema`: the schema version that it has,
/// which a record of its own tells the others.
fn next_claim(replica: &Replica, me: &Member, schema: u32, tokens_run_low: bool) -> Option<Claim> {
    let member_version = match replica.members.get(&me.name) {
        Some(entry) if entry.value == *me => entry.version,
        other => {
            let records_schema = replica.schema_versions.get(&me.name) != Some(&schema);
            return Some(Claim::Member { version: other.map_or(0, |m| m.version), records_schema });
        }
    };
    if tokens_run_low
        && let Some(map) = replica.cluster_map.as_ref()
        && map.value.contains(&me.name, me.incarnation)
    {
        let next = ClusterMap { epoch: map.value.epoch + 1, live: map.value.live.clone() };
        return Some(Claim::Epoch { map: next, version: map.version, member_version });
    }
    let leader_version = match &replica.leader {
        None => return Some(Claim::Leader { version: 0, member_version }),
        // An earlier process of this controller led; it is gone.
        Some(leader) if leader.value.name == me.name && leader.value != *me => {
            return Some(Claim::Leader { version: leader.version, member_version });
        }
        Some(leader) if leader.value == *me => leader.version,
        Some(_) => return None,
    };
    next_map(replica, leader_version)
}

/// The cluster map that the leader should write, if the live members have changed.
fn next_map(replica: &Replica, leader_version: u64) -> Option<Claim> {
    let live: Vec<Member> = replica.members.values().map(|member| member.value.clone()).collect();
    let (epoch, known, version) = match &replica.cluster_map {
        Some(map) => (map.value.epoch, map.value.live.as_slice(), map.version),
        None => (0, &[][..], 0),
    };
    let map = ClusterMap { epoch: epoch + 1, live };
    (map.live != known).then_some(Claim::Map { map, version, leader_version })
}

/// The schema version that this controller has: with drains only while they are switched on.
fn schema_version(controller: &Controller) -> u32 {
    if controller.operators.drains.enabled { DRAINS_SCHEMA_VERSION } else { SCHEMA_VERSION }
}

/// A claim as a transaction.
struct ClaimTransaction {
    conditions: Vec<Condition>,
    writes: Vec<KeyWrite>,
}

impl Claim {
    /// Says in the log what is about to be written.
    fn log(&self, me: &Member) {
        match self {
            Claim::Member { .. } => info!(incarnation = me.incarnation, "joining the cluster"),
            Claim::Leader { .. } => {}
            Claim::Map { map, .. } => {
                info!(epoch = map.epoch, live = map.live.len(), "writing a new cluster map");
            }
            Claim::Epoch { map, .. } => {
                info!(epoch = map.epoch, "fencing tokens nearly used up; writing a new epoch");
            }
        }
    }

    fn into_transaction(self, me: &Member, schema_version: u32, lease: u64) -> ClaimTransaction {
        let entry_key = key::member(&me.name);
        let condition = |key: &str, version| Condition { key: key.to_owned(), version };
        match self {
            Claim::Member { version, records_schema } => {
                // A late copy of a predecessor's request must not replace this entry.
                let conditions = vec![condition(&entry_key, version)];
                let mut writes = vec![KeyWrite::leased(entry_key, me, lease)];
                if records_schema {
                    // With the entry, so that no live controller passes for an old one.
                    writes
                        .push(KeyWrite::new(key::schema_marker(&me.name), &SchemaMarker { schema_version }));
                }
                ClaimTransaction { conditions, writes }
            }
            Claim::Leader { version, member_version } => ClaimTransaction {
                conditions: vec![condition(key::LEADER, version), condition(&entry_key, member_version)],
                writes: vec![KeyWrite::leased(key::LEADER.into(), me, lease)],
            },
            Claim::Map { map, version, leader_version } => ClaimTransaction {
                conditions: vec![condition(key::MAP, version), condition(key::LEADER, leader_version)],
                writes: vec![KeyWrite::new(key::MAP.into(), &map)],
            },
            Claim::Epoch { map, version, member_version } => ClaimTransaction {
                conditions: vec![condition(key::MAP, version), condition(&entry_key, member_version)],
                writes: vec![KeyWrite::new(key::MAP.into(), &map)],
            },
        }
    }
}

/// Commits the next claim, if there is one.
async fn commit_next_claim(controller: &Controller, lease: u64) -> Result<Progress, StoreError> {
    let schema_version = schema_version(controller);
    let claim = {
        let state = controller.state();
        if !state.records.is_loaded {
            return Ok(Progress::Nothing);
        }
        let tokens_run_low = state.machines.workers.values().any(Worker::tokens_run_low);
        next_claim(&state.records.replica, &controller.identity, schema_version, tokens_run_low)
    };
    let Some(claim) = claim else { return Ok(Progress::Nothing) };
    claim.log(&controller.identity);
    let ClaimTransaction { conditions, writes } =
        claim.into_transaction(&controller.identity, schema_version, lease);
    // Never behind other changes: the lease would expire meanwhile, and a controller in debt
    // would join again and again without ever being live.
    controller.state().writes.limiter.acquire(writes.len() as f64, 0.0, clock::now());
    controller.load.spend(Purpose::Members, writes.len());
    match controller.kv_client.txn(conditions, writes).await? {
        TxnOutcome::Committed { revision } => {
            let is_known = controller.wait_for_revision(revision, REVISION_TIMEOUT).await;
            Ok(if is_known { Progress::Committed } else { Progress::Nothing })
        }
        TxnOutcome::Conflict { revision, .. } => {
            controller.wait_for_revision(revision, REVISION_TIMEOUT).await;
            Ok(Progress::Nothing)
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/membership.rs"]
mod tests;
