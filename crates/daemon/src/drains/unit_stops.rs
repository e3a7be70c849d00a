//! The transaction that stops units on machines that are drained.

use std::collections::BTreeMap;

use drain::lifecycle::Event;
use drain::step::{Move, WorkKind};
use drain::view;
use sched::drain_records::{Disruption, DisruptionCause, DisruptionRecord, DrainRecord};
use sched::records::{JobRecord, Name};
use sched::replica::Replica;
use sched::rescheduler::{self, Eviction};
use sched::spot_notice;
use store::{KeyWrite, key};

use super::transaction::{Transaction, updated};
use crate::commit::MAX_TXN_BYTES;
use crate::controller::{Controller, wall_ms};
use crate::state::ControllerState;

/// The writes that stopping one unit takes: the records of its job, its team and its drain.
const WRITES_PER_STOP: usize = 3;
/// The bytes of a transaction that are counted for all records but the job's, for each unit.
const BYTES_BESIDES_JOB_RECORD: usize = 700;

/// The transaction that stops the first units of a list.
pub(super) struct UnitStops {
    pub(super) transaction: Transaction,
    /// How many units it stops.
    pub(super) count: usize,
}

/// Builds the transaction that stops the first of these units, as many as fit into it. It writes the
/// records of their jobs, the disruption records of their teams, and the records of the drains.
/// None: it cannot stop even the first, or some drain is over.
pub(super) fn stop_units(
    controller: &Controller,
    state: &ControllerState,
    moves: &[Move],
    max_writes: usize,
) -> Option<UnitStops> {
    let mut stops = PendingStops {
        controller,
        replica: &state.records.replica,
        max_writes,
        now_ms: wall_ms(),
        counts_moves: controller.state_limits().txn_ops >= WRITES_PER_STOP,
        jobs: BTreeMap::new(),
        teams: BTreeMap::new(),
        drains: BTreeMap::new(),
        bytes: 0,
    };
    let mut count = 0;
    for unit_move in moves {
        match stops.add(unit_move) {
            Addition::Added => count += 1,
            Addition::LeftOut => break,
            Addition::DrainIsOver => return None,
        }
    }
    if count == 0 {
        return None;
    }
    Some(UnitStops { transaction: stops.into_transaction()?, count })
}

/// The outcome of adding a unit.
enum Addition {
    Added,
    /// The unit does not fit into the transaction, or its job or drain does not exist any more.
    LeftOut,
    /// Its drain is over, so that nothing may be stopped for it.
    DrainIsOver,
}

/// The records of units that are stopped together.
struct PendingStops<'a> {
    controller: &'a Controller,
    replica: &'a Replica,
    max_writes: usize,
    now_ms: u64,
    /// Whether the moves are counted in the drains' records. If a transaction has only two writes, a
    /// drain's record is only a condition.
    counts_moves: bool,
    jobs: BTreeMap<Name, Box<JobRecord>>,
    teams: BTreeMap<String, DisruptionRecord>,
    drains: BTreeMap<String, DrainRecord>,
    /// The bytes of the records that were added.
    bytes: usize,
}

impl PendingStops<'_> {
    /// Adds a unit to be stopped.
    fn add(&mut self, unit_move: &Move) -> Addition {
        let replica = self.replica;
        let id = &unit_move.unit.id;
        let team = key::team_id(&unit_move.unit.team);
        let known_job = replica.jobs.get(&*id.job);
        let known_drain = replica.drains.records.get(&unit_move.drain);
        let (Some(known_job), Some(known_drain)) = (known_job, known_drain) else { return Addition::LeftOut };
        let job = self.jobs.get(&id.job).unwrap_or(&known_job.value);
        let Some(attempt) = view::attempt_of(job, id) else { return Addition::LeftOut };
        let mut job = job.clone();
        mark_stopped(self.controller, &mut job, unit_move, self.now_ms);
        let bytes = KeyWrite::new(key::job(&id.job), &job).json_len() + BYTES_BESIDES_JOB_RECORD;
        let fits_bytes = self.jobs.is_empty() || self.bytes + bytes <= MAX_TXN_BYTES;
        if self.writes_with(unit_move, &team) > self.max_writes || !fits_bytes {
            return Addition::LeftOut;
        }
        self.bytes += bytes;
        self.jobs.insert(id.job.clone(), job);
        let drain_cause = DisruptionCause::Drain(unit_move.drain.clone());
        let since_ms = self.now_ms;
        let disruption =
            Disruption { job: id.job.clone(), task: id.task, attempt, cause: drain_cause, since_ms };
        let known = || DisruptionRecord { open: replica.drains.open_disruptions(&team).to_vec() };
        self.teams.entry(team.clone()).or_insert_with(known).open.push(disruption);
        let drain = self.drains.entry(unit_move.drain.clone()).or_insert_with(|| known_drain.value.clone());
        let Some(updated) = updated(drain, Event::Moved(1)) else { return Addition::DrainIsOver };
        *drain = updated;
        Addition::Added
    }

    /// The number of writes if this unit is added.
    fn writes_with(&self, unit_move: &Move, team: &str) -> usize {
        let new_job = usize::from(!self.jobs.contains_key(&unit_move.unit.id.job));
        let new_team = usize::from(!self.teams.contains_key(team));
        let new_drain = usize::from(!self.drains.contains_key(&unit_move.drain));
        let drains = if self.counts_moves { self.drains.len() + new_drain } else { 0 };
        self.jobs.len() + new_job + self.teams.len() + new_team + drains
    }

    fn into_transaction(self) -> Option<Transaction> {
        let replica = self.replica;
        let mut transaction = Transaction::new(replica);
        for (id, job) in self.jobs {
            let version = replica.jobs.get(&*id)?.version;
            transaction.write_job(&id, job, version);
        }
        for (team, record) in self.teams {
            transaction.write_disruptions(replica, &team, record);
        }
        for (name, record) in self.drains {
            let version = replica.drains.records.get(&name)?.version;
            if self.counts_moves {
                transaction.write_drain(&name, record, version);
            } else {
                transaction.condition(key::drain(&name), version);
            }
        }
        Some(transaction)
    }
}

/// Marks a unit to be stopped, and leaves the placement of its replacement to the leader, which holds
/// the capacity for it.
fn mark_stopped(controller: &Controller, job: &mut JobRecord, unit_move: &Move, now_ms: u64) {
    let id = &unit_move.unit.id;
    match unit_move.unit.work {
        WorkKind::Replica => {
            let (job_id, machine) = (id.job.to_string(), unit_move.machine.clone());
            let eviction = Eviction { job: job_id, task: id.task, machine, reason: "drain" };
            rescheduler::evict(job, &eviction, &controller.operators.rescheduler, now_ms);
        }
        WorkKind::Checkpointing | WorkKind::Unsaved => _ = spot_notice::mark_to_stop(job, id.task),
    }
    job.shard = None;
}
