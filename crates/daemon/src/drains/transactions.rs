//! The transactions of drains.

use std::collections::BTreeMap;
use std::time::Duration;

use drain::lifecycle::Event;
use drain::step::{Move, Work};
use drain::view;
use sched::drain_records::{
    CordonFence, CordonRecord, Disruption, DisruptionCause, DisruptionRecord, DrainPhase, DrainRecord,
};
use sched::drains::CordonId;
use sched::records::{JobRecord, Name};
use sched::replica::{RecordChange, Replica};
use sched::rescheduler::{self, Eviction};
use sched::spot_notice;
use store::{KeyWrite, TxnOutcome, key};
use tracing::{debug, info};
use wire::Condition;

use super::disruptions::disruption_condition;
use super::{after, observe};
use crate::clock;
use crate::commit::MAX_TXN_BYTES;
use crate::controller::{Controller, wall_ms};
use crate::load::Purpose;
use crate::state::ControllerState;

/// How long a cordon may lie without a drain's record before it is taken away: the command
/// that starts a drain writes its cordons first.
const ABANDONED_AFTER: Duration = Duration::from_secs(60);

/// Changes of records that are committed together or not at all.
pub struct Transaction {
    conditions: Vec<Condition>,
    puts: Vec<KeyWrite>,
    /// What becomes known at once if it is committed.
    changes: Vec<RecordChange>,
}

impl Transaction {
    /// One that fails if the map has changed, and with it the leader perhaps.
    pub fn new(world: &Replica) -> Self {
        let version = world.cluster_map.as_ref().map_or(0, |m| m.version);
        let map = Condition { key: key::MAP.into(), version };
        Self { conditions: vec![map], puts: Vec::new(), changes: Vec::new() }
    }

    /// How many changes it holds.
    pub fn puts(&self) -> usize {
        self.puts.len()
    }

    fn condition(&mut self, key: String, version: u64) {
        if !self.conditions.iter().any(|c| c.key == key) {
            self.conditions.push(Condition { key, version });
        }
    }

    /// Writes a drain's record in the place of the version that it was made of.
    pub fn put_drain(&mut self, name: &str, record: DrainRecord, version: u64) {
        self.condition(key::drain(name), version);
        self.puts.push(KeyWrite::new(key::drain(name), &record));
        self.changes.push(RecordChange::Drain(name.to_owned(), Some(record)));
    }

    fn put_cordon(&mut self, id: &CordonId, record: CordonRecord, version: u64) {
        let key = key::cordon(&id.0, id.1);
        self.condition(key.clone(), version);
        self.puts.push(KeyWrite::new(key, &record));
        self.changes.push(RecordChange::Cordon(id.clone(), Some(record)));
    }

    fn put_fence(&mut self, world: &Replica) {
        let fence = CordonFence { generation: world.drains.generation + 1 };
        self.condition(key::CORDON_FENCE.into(), world.drains.fence);
        self.puts.push(KeyWrite::new(key::CORDON_FENCE.into(), &fence));
        self.changes.push(RecordChange::CordonFence(Some(fence)));
    }

    fn put_disruptions(&mut self, world: &Replica, team_id: &str, record: DisruptionRecord) {
        self.conditions.push(disruption_condition(world, team_id));
        self.puts.push(KeyWrite::new(key::disruptions(team_id), &record));
        self.changes.push(RecordChange::Disruptions(team_id.to_owned(), Some(record)));
    }

    fn put_job(&mut self, id: &str, record: Box<JobRecord>, version: u64) {
        self.condition(key::job(id), version);
        self.puts.push(KeyWrite::new(key::job(id), &record));
        self.changes.push(RecordChange::Job(id.to_owned(), Some(record)));
    }

    /// What it is conditional on, and what it changes.
    #[cfg(test)]
    pub(super) fn parts(&self) -> (&[Condition], &[KeyWrite]) {
        (&self.conditions, &self.puts)
    }

    /// Commits it. True if it surely was; what it changed is then known here.
    pub async fn commit(self, controller: &Controller) -> bool {
        let Self { conditions, puts, changes } = self;
        controller.state().writes.limiter.acquire(puts.len() as f64, 0.0, clock::now());
        controller.load.spend(Purpose::Drains, puts.len());
        match controller.commit(conditions, puts).await {
            Ok(TxnOutcome::Committed { revision }) => {
                let mut state = controller.state();
                for change in changes {
                    state.records.replica.apply(change, revision);
                }
                drop(state);
                controller.wake_scheduler.notify_one();
                true
            }
            Ok(TxnOutcome::Conflict { failed, revision }) => {
                debug!(?failed, "a step of a drain met newer records");
                controller.wait_for_revision(revision, Duration::from_secs(2)).await;
                false
            }
            Err(e) => {
                debug!(error = %e, "a step of a drain was not committed, as far as is known");
                controller.note_refusal(&e);
                false
            }
        }
    }
}

/// Takes off the teams' records what runs again, or never will.
pub fn settle(controller: &Controller, state: &mut ControllerState) -> Option<Transaction> {
    let running = observe::running(controller, state, clock::now());
    let world = &state.records.replica;
    let mut transaction = Transaction::new(world);
    for (team, record) in &world.drains.disruptions {
        let open = &record.value.open;
        let is_left = |d: &&Disruption| !view::is_settled(world, d, &running);
        let left: Vec<Disruption> = open.iter().filter(is_left).cloned().collect();
        if left.len() < open.len() && transaction.puts() < controller.state_limits().txn_ops {
            transaction.put_disruptions(world, team, DisruptionRecord { open: left });
        }
    }
    (transaction.puts() > 0).then_some(transaction)
}

/// Lifts the cordons of drains that end, and closes those that have none any more. Cordons
/// whose drain was never written go after a while.
pub fn lift_cordons(controller: &Controller, state: &mut ControllerState) -> Option<Transaction> {
    let abandoned = abandoned(state);
    let world = &state.records.replica;
    let most = controller.state_limits().txn_ops;
    let mut transaction = Transaction::new(world);
    let closing = |name: &str| world.drains.records.get(name).map(|d| &d.value.phase);
    for (id, cordon) in world.drains.cordons.iter().filter(|(_, c)| c.value.active) {
        let ends = matches!(closing(&id.0), Some(DrainPhase::Closing(_)));
        let ends = ends || abandoned.contains(&id.0);
        // The fence is a change, too.
        if ends && transaction.puts() + 1 < most {
            if abandoned.contains(&id.0) {
                let version = world.drains.records.get(&id.0).map_or(0, |d| d.version);
                transaction.condition(key::drain(&id.0), version);
            }
            let record = CordonRecord { active: false, ..cordon.value.clone() };
            transaction.put_cordon(id, record, cordon.version);
        }
    }
    if transaction.puts() > 0 {
        transaction.put_fence(world);
        return Some(transaction);
    }
    for (name, record) in &world.drains.records {
        let lifted = world.drains.cordons_of(name).all(|(_, c)| !c.value.active);
        if lifted
            && transaction.puts() < most
            && let Some(closed) = after(&record.value, Event::CordonsLifted)
        {
            info!(drain = name, phase = ?closed.phase, moved = closed.moved, "the drain is over");
            transaction.put_drain(name, closed, record.version);
        }
    }
    (transaction.puts() > 0).then_some(transaction)
}

/// The drains of which there have been cordons alone for a while.
fn abandoned(state: &mut ControllerState) -> Vec<String> {
    let now = clock::now();
    let ControllerState { records, drains, .. } = state;
    let world = &records.replica;
    // A drain that is over is resumed by its cordons first, too.
    let is_over = |d: &DrainRecord| matches!(d.phase, DrainPhase::Closed(_));
    let goes_on = |name: &str| world.drains.records.get(name).is_some_and(|d| !is_over(&d.value));
    let known = |name: &str| goes_on(name) || world.drains.unreadable.contains(name);
    let active = world.drains.cordons.iter().filter(|(_, c)| c.value.active);
    let alone: std::collections::BTreeSet<&str> =
        active.map(|((name, _), _)| name.as_str()).filter(|name| !known(name)).collect();
    drains.abandoned.retain(|name, _| alone.contains(name.as_str()));
    for name in &alone {
        drains.abandoned.entry((*name).to_owned()).or_insert(now);
    }
    let long = drains.abandoned.iter().filter(|(_, t)| now.saturating_duration_since(**t) > ABANDONED_AFTER);
    long.map(|(name, _)| name.clone()).collect()
}

/// Notes on which machines nothing is left, and which are no longer there.
pub fn note_outcomes(controller: &Controller, state: &mut ControllerState) -> Option<Transaction> {
    let world = &state.records.replica;
    let mut transaction = Transaction::new(world);
    let active = |name: &str| world.drains.records.get(name).is_some_and(|d| d.value.is_active());
    for (id, cordon) in world.drains.cordons.iter().filter(|(id, _)| active(&id.0)) {
        let mut record = cordon.value.clone();
        let mut changed = false;
        for machine in cordon.value.remaining() {
            if !world.machines.contains_key(machine) {
                changed |= record.note_gone(machine);
            } else if !world.jobs_by_machine.contains_key(machine) {
                changed |= record.note_emptied(machine);
            }
        }
        if changed && transaction.puts() < controller.state_limits().txn_ops {
            transaction.put_cordon(id, record, cordon.version);
        }
    }
    (transaction.puts() > 0).then_some(transaction)
}

/// Stops the first of these units, as many as one transaction holds: their jobs, their teams'
/// records of what is down by choice, and the drains' own records. Tells how many they are.
pub fn stop(
    controller: &Controller,
    state: &ControllerState,
    moves: &[Move],
    ops: usize,
) -> Option<(Transaction, usize)> {
    let world = &state.records.replica;
    let now_ms = wall_ms();
    let mut jobs: BTreeMap<Name, Box<JobRecord>> = BTreeMap::new();
    let mut teams: BTreeMap<String, DisruptionRecord> = BTreeMap::new();
    let mut drains: BTreeMap<String, DrainRecord> = BTreeMap::new();
    // Where a transaction has two changes only, the drain's record is a condition alone, and does
    // not count what was moved.
    let counts = controller.state_limits().txn_ops >= CHANGES_OF_A_STOP;
    let (mut taken, mut bytes) = (0, 0);
    for m in moves {
        let id = &m.unit.id;
        let team = key::team_id(&m.unit.team);
        let (Some(old), Some(drain)) = (world.jobs.get(&*id.job), world.drains.records.get(&m.drain)) else {
            break;
        };
        let new_drain = counts && !drains.contains_key(&m.drain);
        let new = [!jobs.contains_key(&id.job), !teams.contains_key(&team), new_drain];
        let of_drains = if counts { drains.len() } else { 0 };
        let puts = jobs.len() + teams.len() + of_drains + new.into_iter().filter(|n| *n).count();
        let job = jobs.get(&id.job).unwrap_or(&old.value);
        let Some(attempt) = view::attempt_of(job, id) else { break };
        let mut job = job.clone();
        mark_stop(controller, &mut job, m, now_ms);
        let size = KeyWrite::new(key::job(&id.job), &job).json_len() + RECORDS_BYTES;
        if puts > ops || taken > 0 && bytes + size > MAX_TXN_BYTES {
            break;
        }
        bytes += size;
        jobs.insert(id.job.clone(), job);
        let known = || DisruptionRecord { open: world.drains.open_disruptions(&team).to_vec() };
        let by = DisruptionCause::Drain(m.drain.clone());
        let disruption =
            Disruption { job: id.job.clone(), task: id.task, attempt, cause: by, since_ms: now_ms };
        teams.entry(team.clone()).or_insert_with(known).open.push(disruption);
        let record = drains.entry(m.drain.clone()).or_insert_with(|| drain.value.clone());
        *record = after(record, Event::Moved(1))?;
        taken += 1;
    }
    let mut transaction = Transaction::new(world);
    for (id, job) in jobs {
        let version = world.jobs.get(&*id)?.version;
        transaction.put_job(&id, job, version);
    }
    for (team, record) in teams {
        transaction.put_disruptions(world, &team, record);
    }
    for (name, record) in drains {
        let version = world.drains.records.get(&name)?.version;
        match counts {
            true => transaction.put_drain(&name, record, version),
            false => transaction.condition(key::drain(&name), version),
        }
    }
    (taken > 0).then_some((transaction, taken))
}

/// Changes that stopping one unit takes: its job, its team's record, its drain's.
const CHANGES_OF_A_STOP: usize = 3;
/// What the records beside a job's take of a transaction, for each unit.
const RECORDS_BYTES: usize = 700;

/// Marks a unit to be stopped. The leader places its replacement, as it holds the room.
fn mark_stop(controller: &Controller, job: &mut JobRecord, m: &Move, now_ms: u64) {
    match m.unit.work {
        Work::Replica => {
            let (id, machine) = (m.unit.id.job.to_string(), m.machine.clone());
            let eviction = Eviction { job: id, task: m.unit.id.task, machine, reason: "drain" };
            rescheduler::evict(job, &eviction, &controller.operators.rescheduler, now_ms);
        }
        Work::Saving | Work::Unsaved => _ = spot_notice::mark_to_stop(job, m.unit.id.task),
    }
    job.shard = None;
}
