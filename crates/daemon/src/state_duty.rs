//! Dealings with the state service: mirror, freshness, membership, leadership.

use std::sync::atomic::Ordering;
use std::time::Duration;

use rmpv::Value;
use sched::records::{ClusterMap, DRAINS_SCHEMA_VERSION, Member, SCHEMA_VERSION, SchemaMarker};
use sched::replica::{RecordChange, Replica};
use store::{KeyWrite, StoreError, TxnOutcome, key};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};
use wire::{Changes, Condition};

use crate::clock;
use crate::controller::{Controller, MEMBER_TTL};
use crate::load::Purpose;
use crate::read_records::read_records;
use crate::state::Core;
use crate::worker::Worker;

const WATCH: Duration = Duration::from_secs(8);
const RETRY: Duration = Duration::from_millis(250);
/// How long those who wait for a check are kept waiting, at most.
const CHECK: Duration = Duration::from_millis(1500);

/// Keeps the mirror: reads all records once, then follows the changes.
pub async fn mirror(controller: Controller) {
    let mut failing = false;
    loop {
        let ready = controller.core().ready;
        let step = if ready { follow(&controller).await } else { read_all(&controller).await };
        match step {
            Ok(()) => failing = false,
            Err(StoreError::Compacted) => {
                info!("changes are too far back; reading all records again");
                controller.core().ready = false;
            }
            Err(e) => {
                if !failing {
                    warn!(error = %e, "no news from the state service");
                }
                failing = true;
                sleep(RETRY).await;
            }
        }
    }
}

async fn read_all(controller: &Controller) -> Result<(), StoreError> {
    let (mut world, reader) = read_records(&controller.state).await?;
    let revision = world.revision;
    let (jobs, machines) = (world.jobs.len(), world.machines.len());
    {
        let mut core = controller.core();
        keep_newer(&mut world, &core.world);
        core.world = world;
        core.reader = reader;
        core.ready = true;
        check_schema_version(controller, &core);
    }
    info!(revision, jobs, machines, "records read");
    controller.revision.send_replace(revision);
    controller.kick.notify_one();
    Ok(())
}

/// Takes over what this controller has committed or learnt since the first page was read. A
/// cancellation that it confirmed meanwhile would else be missing from its read index, and
/// another controller would go on renewing the leases of its tasks.
fn keep_newer(read: &mut Replica, known: &Replica) {
    let since = read.revision;
    for (id, job) in known.jobs.iter().filter(|(_, j)| j.version > since) {
        read.apply(RecordChange::Job(id.clone(), Some(job.value.clone())), job.version);
    }
    for (id, m) in known.machines.iter().filter(|(_, m)| m.version > since) {
        read.apply(RecordChange::Machine(id.to_string(), Some(m.value.clone())), m.version);
    }
    for (id, team) in known.teams.iter().filter(|(_, t)| t.version > since) {
        read.apply(RecordChange::Team(id.clone(), Some(team.value.clone())), team.version);
    }
    if let Some(fleet) = known.fleet.as_ref().filter(|f| f.version > since) {
        read.apply(RecordChange::Fleet(Some(fleet.value.clone())), fleet.version);
    }
}

/// Waits for changes and takes them in.
async fn follow(controller: &Controller) -> Result<(), StoreError> {
    let after = controller.core().world.revision;
    let changes = controller.state.watch(after, WATCH).await?;
    take_in(controller, changes);
    // Each answer is a request more, and the news of many changes can come in
    // one of them.
    sleep(controller.watch_pause()).await;
    Ok(())
}

/// Applies changes to the mirror. Answers may overlap and cross each other: what
/// is known already is passed over.
pub(crate) fn take_in(controller: &Controller, mut changes: Changes<Value>) {
    // The latest of a key's changes has to come last, in whatever order they are told.
    changes.events.sort_by_key(|e| e.version);
    let mut core = controller.core();
    let known = core.world.revision;
    if changes.revision <= known {
        return;
    }
    let map_before = core.map().map(|m| m.epoch);
    let new_map = changes.events.iter().any(|e| e.put.as_deref() == Some(key::MAP));
    let owners_before = if new_map { core.row_owners() } else { Default::default() };
    for e in changes.events {
        let (k, value) = match (e.put, e.delete) {
            (Some(k), _) => (k, e.value),
            (None, Some(k)) => (k, None),
            _ => continue,
        };
        if e.version <= known {
            continue;
        }
        let core = &mut *core;
        let (change, bad, version) = core.reader.apply(&k, value, e.version);
        if bad {
            warn!(key = k, "a record could not be read");
            core.world.mark_unreadable(change);
        } else {
            core.world.apply(change, version);
        }
    }
    check_schema_version(controller, &core);
    core.world.revision = changes.revision;
    if core.map().map(|m| m.epoch) != map_before {
        core.forget_rows(&owners_before);
        let (epoch, live) = core.map().map_or((0, 0), |m| (m.epoch, m.live.len()));
        info!(epoch, live, entitled = core.in_map(&controller.me), "new map");
    }
    controller.share_writes(&mut core, clock::now());
    drop(core);
    controller.revision.send_replace(changes.revision);
    controller.kick.notify_one();
}

/// Allows chunked records once every controller that there is has said that it will not
/// come back old; one that is dead or cut off still may, until it has.
fn check_schema_version(controller: &Controller, core: &Core) {
    if controller.seen.all_new.load(Ordering::Relaxed) {
        return;
    }
    let names =
        controller.settings.peers.iter().map(|p| &p.node_name).chain([&controller.settings.node_name]);
    let missing: Vec<&String> = names.filter(|n| !core.world.schema_versions.contains_key(*n)).collect();
    if missing.is_empty() {
        controller.seen.all_new.store(true, Ordering::Relaxed);
        let plan = controller.plan();
        info!(value_bytes = plan.value_bytes, txn_ops = plan.txn_ops, "records may be chunked from now on");
    } else if controller.seen.waits_for(&missing) {
        info!(controllers = crate::load::sample_names(&missing), "chunked records wait for");
    }
}

/// Answers freshness requests, all that wait with one check, and makes one a
/// second by itself. The check asks for all changes up to now, so that it also
/// brings the mirror up to date.
pub async fn verifier(controller: Controller) {
    let mut failing = false;
    loop {
        let _ = timeout(Duration::from_secs(1), controller.verify.notified()).await;
        let (asked, ready, after) = {
            let core = controller.core();
            (core.asked, core.ready, core.world.revision)
        };
        if !ready {
            controller.verified.send_modify(|v| v.refused = asked);
            sleep(RETRY).await;
            continue;
        }
        let sent = clock::now();
        let answer = controller.state.watch(after, Duration::ZERO);
        tokio::pin!(answer);
        let result = match timeout(CHECK, &mut answer).await {
            Ok(result) => result,
            Err(_) => {
                // Whoever waits is better off told, but the answer still shows that this
                // controller is entitled. Were it asked anew instead, a state service
                // that takes two seconds would cost the leases of all workers.
                controller.verified.send_modify(|v| v.refused = asked);
                answer.await
            }
        };
        match result {
            Ok(changes) => {
                if failing {
                    info!("the state service answers again");
                }
                failing = false;
                take_in(&controller, changes);
                controller.core().fresh_at = Some(sent);
                controller.verified.send_modify(|v| v.granted = asked);
                sleep(controller.watch_pause()).await;
            }
            Err(e) => {
                if !failing {
                    warn!(error = %e, "the state service does not answer");
                }
                // Its rate limit is no sign of failure: the next check is soon.
                failing = !matches!(e, StoreError::RateLimited);
                controller.verified.send_modify(|v| v.refused = asked);
                sleep(RETRY).await;
            }
        }
    }
}

/// Keeps this controller among the members, and leads when nobody does.
pub async fn membership(controller: Controller) {
    let mut touched = clock::now();
    loop {
        let aside = controller.core().stands_aside(&controller.me, controller.report_every(), clock::now());
        if aside {
            let lease = controller.core().lease.take();
            if let Some(lease) = lease {
                warn!("out of reach of the others and of its workers; the others go on without it");
                let _ = controller.state.revoke_lease(lease).await;
            }
            sleep(RETRY).await;
            continue;
        }
        let lease = controller.core().lease;
        let kept = match lease {
            Some(lease) if clock::since(touched) >= MEMBER_TTL / 4 => {
                touched = clock::now();
                controller.state.renew_lease(lease).await
            }
            Some(_) => Ok(()),
            None => {
                touched = clock::now();
                match controller.state.grant_lease(MEMBER_TTL).await {
                    Ok(lease) => {
                        controller.core().lease = Some(lease);
                        Ok(())
                    }
                    Err(e) => Err(e),
                }
            }
        };
        if let Err(StoreError::LeaseExpired) = kept {
            info!("this controller's lease has run out");
            controller.core().lease = None;
        } else if matches!(kept, Ok(()) | Err(StoreError::Network(_))) {
            // An answer that is late says nothing of the lease, and a claim by one that is
            // over is refused. Were claims held back meanwhile, nobody would lead for as
            // long as the state service takes more than a second.
            let lease = controller.core().lease;
            if let Some(lease) = lease {
                match claim(&controller, lease).await {
                    // Joining, leading and the map follow each other at once:
                    // after a crash of all, workers' leases are about to end.
                    Ok(true) => continue,
                    Err(StoreError::LeaseExpired) => controller.core().lease = None,
                    Ok(false) | Err(_) => {}
                }
            }
        }
        let moved = async {
            let mut r = controller.revision.subscribe();
            let _ = r.changed().await;
        };
        let _ = timeout(Duration::from_millis(400), moved).await;
        sleep(Duration::from_millis(40)).await;
    }
}

enum Claim {
    /// The version of this controller's entry, and whether it has to leave its lasting
    /// word that it will not come back old.
    Member(u64, bool),
    /// The versions of the leader's entry and of this controller's.
    Leader(u64, u64),
    /// A new map, and the versions of the map and the leader's entry before it.
    Map(ClusterMap, u64, u64),
    /// The same map under a new epoch, and the versions of the map and of this controller's
    /// entry. Any live controller may write it, as it changes nobody's part.
    Epoch(ClusterMap, u64, u64),
}

/// What this controller should write now for membership and leadership. `tokens_run_low`: its
/// fencing tokens of this epoch are nearly used up. `schema`: what it has, which a record of
/// its own tells the others.
fn next_claim(world: &Replica, me: &Member, schema: u32, tokens_run_low: bool) -> Option<Claim> {
    let member = match world.members.get(&me.name) {
        Some(m) if m.value == *me => m.version,
        other => {
            let other_schema = world.schema_versions.get(&me.name) != Some(&schema);
            return Some(Claim::Member(other.map_or(0, |m| m.version), other_schema));
        }
    };
    if tokens_run_low
        && let Some(map) = world.cluster_map.as_ref().filter(|m| m.value.contains(&me.name, me.incarnation))
    {
        let next = ClusterMap { epoch: map.value.epoch + 1, live: map.value.live.clone() };
        return Some(Claim::Epoch(next, map.version, member));
    }
    let leader = match &world.leader {
        None => return Some(Claim::Leader(0, member)),
        // An earlier process of this controller led; it is gone.
        Some(l) if l.value.name == me.name && l.value != *me => {
            return Some(Claim::Leader(l.version, member));
        }
        Some(l) if l.value == *me => l,
        Some(_) => return None,
    };
    let live: Vec<Member> = world.members.values().map(|m| m.value.clone()).collect();
    let (old, version) =
        world.cluster_map.as_ref().map_or((ClusterMap::default(), 0), |m| (m.value.clone(), m.version));
    (old.live != live).then(|| Claim::Map(ClusterMap { epoch: old.epoch + 1, live }, version, leader.version))
}

/// The schema that this controller has: with drains only while they are switched on.
fn schema_of(controller: &Controller) -> u32 {
    if controller.operators.drains.enabled { DRAINS_SCHEMA_VERSION } else { SCHEMA_VERSION }
}

/// Makes the next claim, if there is one; true if it was committed.
async fn claim(controller: &Controller, lease: u64) -> Result<bool, StoreError> {
    let claim = {
        let core = controller.core();
        if !core.ready {
            return Ok(false);
        }
        let tokens_run_low = core.workers.values().any(Worker::tokens_run_low);
        next_claim(&core.world, &controller.me, schema_of(controller), tokens_run_low)
    };
    let (conditions, puts) = match claim {
        None => return Ok(false),
        Some(Claim::Member(version, other_schema)) => {
            info!(incarnation = controller.me.incarnation, "joining the members");
            // A late copy of a predecessor's request must not push this one out.
            let me = key::member(&controller.me.name);
            let mut puts = vec![KeyWrite::leased(me.clone(), &controller.me, lease)];
            if other_schema {
                // With the entry, so that no live controller passes for an old one.
                let schema_version = schema_of(controller);
                puts.push(KeyWrite::new(
                    key::upgraded(&controller.me.name),
                    &SchemaMarker { schema_version },
                ));
            }
            (vec![Condition { key: me, version }], puts)
        }
        Some(Claim::Leader(version, member)) => {
            let conditions = vec![
                Condition { key: key::LEADER.into(), version },
                Condition { key: key::member(&controller.me.name), version: member },
            ];
            (conditions, vec![KeyWrite::leased(key::LEADER.into(), &controller.me, lease)])
        }
        Some(Claim::Map(map, version, leader)) => {
            info!(epoch = map.epoch, live = map.live.len(), "writing a new map");
            let conditions = vec![
                Condition { key: key::MAP.into(), version },
                Condition { key: key::LEADER.into(), version: leader },
            ];
            (conditions, vec![KeyWrite::new(key::MAP.into(), &map)])
        }
        Some(Claim::Epoch(map, version, member)) => {
            info!(epoch = map.epoch, "a new epoch, as the tokens of the last are nearly used up");
            let conditions = vec![
                Condition { key: key::MAP.into(), version },
                Condition { key: key::member(&controller.me.name), version: member },
            ];
            (conditions, vec![KeyWrite::new(key::MAP.into(), &map)])
        }
    };
    // Never behind other changes: the lease would run out meanwhile, and a
    // controller in debt would join again and again without ever being live.
    controller.core().writes.acquire(puts.len() as f64, 0.0, clock::now());
    controller.counts.spend(Purpose::Members, puts.len());
    match controller.state.txn(conditions, puts).await? {
        TxnOutcome::Committed { revision } => Ok(controller.reach(revision, Duration::from_secs(2)).await),
        TxnOutcome::Conflict { revision, .. } => {
            controller.reach(revision, Duration::from_secs(2)).await;
            Ok(false)
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/state_duty.rs"]
mod tests;
