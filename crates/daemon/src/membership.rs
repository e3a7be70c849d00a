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
/// Shortest time between two checks whether a claim is due.
const MIN_CLAIM_INTERVAL: Duration = Duration::from_millis(40);
/// Longest time that the loop waits for a new revision before it checks again.
const MAX_CLAIM_INTERVAL: Duration = Duration::from_millis(400);
/// How long the copy of the records may take to reach the revision of a transaction.
const REVISION_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two checks whether an isolated controller may rejoin.
const ISOLATED_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Maintains this controller's membership, and claims the leadership when there is no leader, until
/// the controller stops.
pub async fn keep_membership(controller: Arc<Controller>) {
    let mut renewed_at = clock::now();
    loop {
        if leave_if_isolated(&controller).await {
            sleep(ISOLATED_CHECK_INTERVAL).await;
            continue;
        }
        let lease_result = keep_lease(&controller, &mut renewed_at).await;
        if commit_claim_if_leased(&controller, lease_result).await == ClaimOutcome::Applied {
            // The next claim follows without a pause: after a crash of all controllers, joining,
            // leadership and the cluster map have to be committed before workers' leases expire.
            continue;
        }
        let _ = timeout(MAX_CLAIM_INTERVAL, controller.replica_revision.changed()).await;
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

/// Obtains or renews this controller's lease, if that is due.
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

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimOutcome {
    /// It was committed, and this controller's copy of the records holds it.
    Applied,
    /// None was due, it was not committed, or the copy of the records does not hold it yet.
    NotApplied,
}

/// Commits the next claim under the lease, unless the lease has expired.
async fn commit_claim_if_leased(
    controller: &Controller,
    lease_result: Result<(), StoreError>,
) -> ClaimOutcome {
    match lease_result {
        Err(StoreError::LeaseExpired) => {
            info!("lease expired");
            controller.state().membership.lease = None;
            return ClaimOutcome::NotApplied;
        }
        // A late answer does not show whether the lease has expired, and a claim under an expired
        // lease is refused. If claims waited for the answer, there would be no leader for as long
        // as the key-value store takes more than a second to answer.
        Ok(()) | Err(StoreError::Network(_)) => {}
        Err(_) => return ClaimOutcome::NotApplied,
    }
    let lease = controller.state().membership.lease;
    let Some(lease) = lease else { return ClaimOutcome::NotApplied };
    match commit_next_claim(controller, lease).await {
        Ok(outcome) => outcome,
        Err(StoreError::LeaseExpired) => {
            controller.state().membership.lease = None;
            ClaimOutcome::NotApplied
        }
        Err(_) => ClaimOutcome::NotApplied,
    }
}

/// A write for membership or leadership. It is conditional on the versions of the records that it
/// was decided from.
enum Claim {
    /// This controller's entry among the members.
    Member {
        /// The version of the entry that it replaces.
        version: u64,
        /// Whether the same transaction also records the controller's schema version, because the
        /// recorded one is missing or different. The controller is not restarted with a lower one.
        records_schema: bool,
    },
    /// The leadership.
    Leader {
        /// The version of the leader's entry that it replaces.
        version: u64,
        /// The version of this controller's entry among the members.
        member_version: u64,
    },
    /// A cluster map with the members that are live now. Only the leader writes it.
    Map {
        map: ClusterMap,
        /// The version of the map that it replaces.
        version: u64,
        /// The version of the leader's entry.
        leader_version: u64,
    },
    /// The same cluster map with a new epoch. Any live controller may write it, because it changes
    /// nobody's shard.
    Epoch {
        map: ClusterMap,
        /// The version of the map that it replaces.
        version: u64,
        /// The version of this controller's entry among the members.
        member_version: u64,
    },
}

/// Returns the claim that this controller should commit now. `tokens_run_low`: its fencing tokens
/// of this epoch are nearly used up. `schema`: its schema version, which it records for the other
/// controllers.
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
        // The recorded leader is an earlier process of this controller, which no longer runs.
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

/// This controller's schema version: the one with drains only while drains are enabled.
fn schema_version(controller: &Controller) -> u32 {
    if controller.operators.drains.enabled { DRAINS_SCHEMA_VERSION } else { SCHEMA_VERSION }
}

/// A claim as a transaction.
struct ClaimTransaction {
    conditions: Vec<Condition>,
    writes: Vec<KeyWrite>,
}

impl Claim {
    /// Logs the claim that is about to be committed.
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
                // A delayed duplicate of an earlier process's request must not replace this entry.
                let conditions = vec![condition(&entry_key, version)];
                let mut writes = vec![KeyWrite::leased(entry_key, me, lease)];
                if records_schema {
                    // Together with the entry, so that no live controller is taken for one of the
                    // old version.
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
async fn commit_next_claim(controller: &Controller, lease: u64) -> Result<ClaimOutcome, StoreError> {
    let schema_version = schema_version(controller);
    let claim = {
        let state = controller.state();
        if !state.records.is_loaded {
            return Ok(ClaimOutcome::NotApplied);
        }
        let tokens_run_low = state.machines.workers.values().any(Worker::tokens_run_low);
        next_claim(&state.records.replica, &controller.identity, schema_version, tokens_run_low)
    };
    let Some(claim) = claim else { return Ok(ClaimOutcome::NotApplied) };
    claim.log(&controller.identity);
    let ClaimTransaction { conditions, writes } =
        claim.into_transaction(&controller.identity, schema_version, lease);
    // Does not wait for the rate limiter: the lease would expire in the meantime, and a controller
    // that has exceeded its rate would join again and again without ever being live.
    controller.state().writes.limiter.acquire(writes.len() as f64, 0.0, clock::now());
    controller.load.count_changes(Purpose::Members, writes.len());
    match controller.kv_client.txn(conditions, writes).await? {
        TxnOutcome::Committed { revision } => {
            let is_reached = controller.wait_for_revision(revision, REVISION_TIMEOUT).await;
            Ok(if is_reached { ClaimOutcome::Applied } else { ClaimOutcome::NotApplied })
        }
        TxnOutcome::Conflict { revision, .. } => {
            controller.wait_for_revision(revision, REVISION_TIMEOUT).await;
            Ok(ClaimOutcome::NotApplied)
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/membership.rs"]
mod tests;
