//! Builds the transaction of a scheduling cycle: the writes of as many jobs as the limits allow,
//! conditional on the record versions that the decisions are based on.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use sched::drain_records::{Disruption, DisruptionRecord};
use sched::records::{JobRecord, TeamRecord};
use sched::replica::Replica;
use store::{KeyWrite, key};
use wire::Condition;

use super::cycle::SchedulingCycle;
use crate::commit::MAX_TXN_BYTES;
use crate::drains::disruption_condition;
use crate::limits::StateLimits;

/// Size in bytes that the head of a record stored in chunks adds to a transaction.
const CHUNKED_HEAD_BYTES: usize = 100;
/// Size in bytes that each write adds to a transaction beside its value.
const WRITE_OVERHEAD_BYTES: usize = 200;

/// The transaction of a cycle.
pub(crate) struct CycleTransaction {
    /// The record versions that the transaction is conditional on.
    pub(crate) conditions: Vec<Condition>,
    /// The records that it writes.
    pub(crate) writes: Vec<KeyWrite>,
    /// The jobs that do not fit into it.
    pub(crate) left_out: BTreeSet<String>,
    /// The records of teams with new assignments, by the teams' ids.
    pub(crate) teams: Vec<(String, TeamRecord)>,
    /// The records of voluntary disruptions, by the teams' ids.
    pub(crate) disruptions: Vec<(String, DisruptionRecord)>,
    /// The job whose record exceeds the size of a value and is stored in chunks; at most one per
    /// transaction.
    pub(crate) chunked_job: Option<String>,
}

/// Builds the transaction of a cycle with at most `max_jobs` jobs.
pub(crate) fn build_transaction(
    replica: &Replica,
    cycle: &SchedulingCycle,
    limits: &StateLimits,
    max_jobs: usize,
) -> CycleTransaction {
    let mut jobs: Vec<(&String, &JobRecord)> = cycle.jobs.iter().map(|(id, job)| (id, &**job)).collect();
    // Of jobs with the same priority, those with new assignments come first.
    jobs.sort_by_key(|(id, job)| Reverse((job.priority(), cycle.placed_jobs.contains(*id))));
    let mut builder = TransactionBuilder::new(replica, cycle, limits, max_jobs);
    for (id, job) in jobs {
        builder.add_job(id, job);
    }
    builder.finish()
}

/// A transaction to which jobs are added one by one.
struct TransactionBuilder<'a> {
    replica: &'a Replica,
    cycle: &'a SchedulingCycle,
    limits: &'a StateLimits,
    max_jobs: usize,
    conditions: Vec<Condition>,
    writes: Vec<KeyWrite>,
    left_out: BTreeSet<String>,
    /// By team id, as in the keys. With team names, the record that another controller has written
    /// would not be found if the name contains a space.
    teams: BTreeMap<String, TeamRecord>,
    /// By team id. Written last, when the entries of all jobs are collected.
    disruptions: BTreeMap<String, DisruptionRecord>,
    chunked_job: Option<String>,
    /// Bytes of the writes so far.
    bytes: usize,
    /// Jobs so far.
    job_count: usize,
    /// Whether a job so far has new assignments.
    has_placements: bool,
}

/// A job's write and the room that it needs in a transaction.
struct JobWrite<'a> {
    write: KeyWrite,
    /// Whether the record exceeds the size of a value.
    is_chunked: bool,
    /// Size in bytes that it adds to the transaction.
    bytes: usize,
    /// The team whose record is to be written for this job, by its id.
    new_team: Option<String>,
    /// The disruption to be recorded, with the id of its team.
    disruption: Option<(String, &'a Disruption)>,
}

impl<'a> TransactionBuilder<'a> {
    fn new(
        replica: &'a Replica,
        cycle: &'a SchedulingCycle,
        limits: &'a StateLimits,
        max_jobs: usize,
    ) -> Self {
        Self {
            replica,
            cycle,
            limits,
            max_jobs,
            conditions: Vec::new(),
            writes: Vec::new(),
            left_out: BTreeSet::new(),
            teams: BTreeMap::new(),
            disruptions: BTreeMap::new(),
            chunked_job: None,
            bytes: 0,
            job_count: 0,
            has_placements: false,
        }
    }

    /// Adds a job, or leaves it out if there is no room for it.
    fn add_job(&mut self, id: &str, record: &JobRecord) {
        let Some(current) = self.replica.jobs.get(id) else { return };
        let job = self.job_write(id, record);
        if !self.has_room_for(&job) {
            self.left_out.insert(id.to_owned());
            return;
        }
        if job.is_chunked {
            self.chunked_job = Some(id.to_owned());
        }
        self.job_count += 1;
        self.bytes += job.bytes + WRITE_OVERHEAD_BYTES;
        self.conditions.push(Condition { key: key::job(id), version: current.version });
        self.writes.push(job.write);
        self.has_placements |= self.cycle.placed_jobs.contains(id);
        if let Some((team, disruption)) = job.disruption {
            self.add_disruption(team, disruption);
        }
        if let Some(team) = job.new_team {
            self.add_team(team);
        }
    }

    fn job_write(&self, id: &str, record: &JobRecord) -> JobWrite<'a> {
        let placed = record.spec.as_ref().filter(|_| self.cycle.placed_jobs.contains(id));
        let team = placed.map(|spec| key::team_id(&spec.team));
        let disruption = self.cycle.disruptions.get(id);
        let write = KeyWrite::new(key::job(id), record);
        let is_chunked = write.value_len() as f64 > self.limits.value_bytes;
        JobWrite {
            // Only the head of a chunked record is part of this transaction.
            bytes: if is_chunked { CHUNKED_HEAD_BYTES } else { write.json_len() },
            write,
            is_chunked,
            new_team: team.filter(|team| !self.teams.contains_key(team)),
            disruption: disruption.map(|(team, disruption)| (key::team_id(team), disruption)),
        }
    }

    fn has_room_for(&self, job: &JobWrite) -> bool {
        let adds_disruption_record =
            job.disruption.as_ref().is_some_and(|(team, _)| !self.disruptions.contains_key(team));
        let team_writes = usize::from(job.new_team.is_some()) + usize::from(adds_disruption_record);
        let fits_operations =
            self.writes.len() + self.disruptions.len() + 1 + team_writes <= self.limits.txn_ops;
        let fits_bytes = self.bytes + job.bytes <= MAX_TXN_BYTES || self.bytes == 0;
        let may_be_chunked = self.limits.chunked && self.chunked_job.is_none();
        fits_operations && self.job_count < self.max_jobs && fits_bytes && (!job.is_chunked || may_be_chunked)
    }

    fn add_disruption(&mut self, team: String, disruption: &Disruption) {
        let stored = || DisruptionRecord { open: self.replica.drains.open_disruptions(&team).to_vec() };
        let record = self.disruptions.entry(team.clone()).or_insert_with(stored);
        record.open.push(disruption.clone());
    }

    /// Writes the record of a team with new assignments. The condition on its version keeps two
    /// controllers from using the same quota.
    fn add_team(&mut self, team: String) {
        let stored = self.replica.teams.get(&team);
        let (placements, version) = stored.map_or((0, 0), |team| (team.value.placements, team.version));
        let record = TeamRecord { placements: placements.wrapping_add(1) };
        self.conditions.push(Condition { key: key::team(&team), version });
        self.writes.push(KeyWrite::new(key::team(&team), &record));
        self.teams.insert(team, record);
    }

    /// Adds the disruption records and the conditions that apply to the transaction as a whole.
    fn finish(mut self) -> CycleTransaction {
        for (team, record) in &self.disruptions {
            self.conditions.push(disruption_condition(self.replica, team));
            self.writes.push(KeyWrite::new(key::disruptions(team), record));
        }
        if !self.writes.is_empty() {
            let version = self.replica.cluster_map.as_ref().map_or(0, |map| map.version);
            self.conditions.push(Condition { key: key::MAP.into(), version });
        }
        if self.has_placements && self.cycle.fences_cordons {
            // If a cordon is committed in the meantime, the transaction fails, and a later cycle
            // decides again without the cordoned machines.
            let version = self.replica.drains.fence_version;
            self.conditions.push(Condition { key: key::CORDON_FENCE.into(), version });
        }
        CycleTransaction {
            conditions: self.conditions,
            writes: self.writes,
            left_out: self.left_out,
            teams: self.teams.into_iter().collect(),
            disruptions: self.disruptions.into_iter().collect(),
            chunked_job: self.chunked_job,
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/scheduler_transaction.rs"]
mod tests;
