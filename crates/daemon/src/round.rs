//! What one round of decisions wants to have done, as a transaction, and as lines of the log.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use peer::TerminationProof;
use sched::drain_records::{Disruption, DisruptionRecord};
use sched::preempt;
use sched::records::*;
use sched::replica::Replica;
use sched::rescheduler;
use store::{KeyWrite, key};
use tracing::{debug, info};
use wire::{Commands, Condition};

use crate::commit::TXN_BYTES;
use crate::limits::Plan;

/// What one round wants to have done.
#[derive(Default)]
pub(crate) struct Round {
    pub(crate) jobs: BTreeMap<String, Box<JobRecord>>,
    /// Teams whose share new placements use.
    pub(crate) teams: BTreeSet<String>,
    /// Jobs with new placements.
    pub(crate) placing: BTreeSet<String>,
    /// How often it was looked for what could be stopped.
    pub(crate) searches: u32,
    /// Most jobs to change for the ends of their tasks.
    pub(crate) most_ended: usize,
    /// What is stopped by choice, with its team, by job: it is written down with the job.
    pub(crate) disruptions: BTreeMap<String, (String, Disruption)>,
    /// Placements are conditional on the cordons that they were decided by.
    pub(crate) cordon_fence: bool,
    /// Jobs that have to wait for a later round.
    pub(crate) held: BTreeSet<String>,
    pub(crate) sends: Vec<(Name, String, Commands)>,
    /// Ends for other controllers to write, by their names.
    pub(crate) proofs: HashMap<String, Vec<TerminationProof>>,
    pub(crate) log: Vec<Event>,
}

impl Round {
    /// Changes that its transaction will hold.
    pub(crate) fn puts(&self) -> usize {
        let disrupted: BTreeSet<&str> = self.disruptions.values().map(|(team, _)| team.as_str()).collect();
        self.jobs.len() + self.teams.len() + disrupted.len()
    }
}

/// Told in the log once the round is committed.
pub(crate) enum Event {
    Placed { job: String, tasks: usize, attempt: u64 },
    Ended { job: String, task: u32, attempt: u64, how: TerminationReason },
    Preempted { by: String, victim: preempt::Victim },
    Evicted(rescheduler::Eviction),
    SpotNotice { job: String, task: u32, machine: Name },
    Escalated { job: String },
    Orphaned { job: String },
}

/// The record as this round has it so far.
pub(crate) fn edit<'a>(round: &'a mut Round, world: &Replica, id: &str) -> Option<&'a mut Box<JobRecord>> {
    if round.held.contains(id) {
        return None;
    }
    if !round.jobs.contains_key(id) {
        let record = world.jobs.get(id)?.value.clone();
        round.jobs.insert(id.to_owned(), record);
    }
    round.jobs.get_mut(id)
}

/// A round as a transaction.
pub(crate) struct Assembled {
    pub(crate) conditions: Vec<Condition>,
    pub(crate) puts: Vec<KeyWrite>,
    /// The jobs that it has no room for.
    pub(crate) left_out: BTreeSet<String>,
    pub(crate) teams: Vec<(String, TeamRecord)>,
    /// What is down by choice after it, by the teams' ids.
    pub(crate) disruptions: Vec<(String, DisruptionRecord)>,
    /// The job whose record is larger than a value, one at most.
    pub(crate) chunked: Option<String>,
}

pub(crate) fn assemble(world: &Replica, round: &Round, plan: &Plan, most_jobs: usize) -> Assembled {
    let mut chunked = None;
    let mut puts = Vec::new();
    // By the ids in their keys: a name with a space was never found here once another
    // controller had written its record, and nothing of the team was placed any more.
    let mut teams: BTreeMap<String, TeamRecord> = BTreeMap::new();
    let mut disruptions: BTreeMap<String, DisruptionRecord> = BTreeMap::new();
    let mut placing = false;
    let mut conditions = Vec::new();
    let mut left_out = BTreeSet::new();
    let (mut bytes, mut jobs) = (0, 0);
    let mut order: Vec<(&String, &Box<JobRecord>)> = round.jobs.iter().collect();
    // What is placed comes before what only ends, for jobs as urgent.
    order.sort_by_key(|(id, j)| std::cmp::Reverse((j.priority(), round.placing.contains(*id))));
    for (id, record) in order {
        let team = record.spec.as_ref().filter(|_| round.placing.contains(id)).map(|s| key::team_id(&s.team));
        let new_team = team.filter(|t| !teams.contains_key(t));
        let disruption = round.disruptions.get(id).map(|(team, d)| (key::team_id(team), d));
        let newly_disrupted = disruption.as_ref().is_some_and(|(t, _)| !disruptions.contains_key(t));
        let Some(old) = world.jobs.get(id) else { continue };
        let put = KeyWrite::new(key::job(id), record);
        let large = put.value_len() as f64 > plan.value_bytes;
        // Of a large one the transaction itself only has the head.
        let size = if large { 100 } else { put.json_len() };
        let fences = usize::from(new_team.is_some()) + usize::from(newly_disrupted);
        if puts.len() + disruptions.len() + 1 + fences > plan.txn_ops
            || jobs >= most_jobs
            || (bytes + size > TXN_BYTES && bytes > 0)
            || (large && (!plan.chunked || chunked.is_some()))
        {
            left_out.insert(id.clone());
            continue;
        }
        if large {
            chunked = Some(id.clone());
        }
        jobs += 1;
        bytes += size + 200;
        conditions.push(Condition { key: key::job(id), version: old.version });
        puts.push(put);
        placing |= round.placing.contains(id);
        if let Some((team, disruption)) = disruption {
            let known = || DisruptionRecord { open: world.drains.open_disruptions(&team).to_vec() };
            disruptions.entry(team.clone()).or_insert_with(known).open.push(disruption.clone());
        }
        if let Some(team) = new_team {
            let (n, version) = world.teams.get(&team).map_or((0, 0), |t| (t.value.placements, t.version));
            let record = TeamRecord { placements: n.wrapping_add(1) };
            conditions.push(Condition { key: key::team(&team), version });
            puts.push(KeyWrite::new(key::team(&team), &record));
            teams.insert(team, record);
        }
    }
    for (team, record) in &disruptions {
        conditions.push(disruption_condition(world, team));
        puts.push(KeyWrite::new(key::disruptions(team), record));
    }
    if !puts.is_empty() {
        let version = world.cluster_map.as_ref().map_or(0, |m| m.version);
        conditions.push(Condition { key: key::MAP.into(), version });
    }
    if placing && round.cordon_fence {
        // A cordon that was committed meanwhile makes the round fail: it is decided anew
        // without the machines that are drained.
        conditions.push(Condition { key: key::CORDON_FENCE.into(), version: world.drains.fence });
    }
    let teams = teams.into_iter().collect();
    let disruptions = disruptions.into_iter().collect();
    Assembled { conditions, puts, left_out, teams, disruptions, chunked }
}

/// That nobody has stopped anything else of a team by choice meanwhile: what holds its budget.
pub(crate) fn disruption_condition(world: &Replica, team_id: &str) -> Condition {
    let version = world.drains.disruptions.get(team_id).map_or(0, |d| d.version);
    Condition { key: key::disruptions(team_id), version }
}

impl Event {
    pub(crate) fn job(&self) -> &str {
        match self {
            Event::Placed { job, .. }
            | Event::Ended { job, .. }
            | Event::SpotNotice { job, .. }
            | Event::Escalated { job }
            | Event::Orphaned { job } => job,
            Event::Preempted { victim, .. } => &victim.job,
            Event::Evicted(e) => &e.job,
        }
    }

    fn log_one(&self) {
        match self {
            Event::Placed { job, tasks, attempt } => debug!(job, tasks, attempt, "placed"),
            Event::Ended { job, task, attempt, how } => debug!(job, task, attempt, ?how, "ended"),
            Event::Preempted { by, victim: v } => {
                debug!(
                    job = v.job,
                    task = v.task,
                    attempt = v.attempt,
                    machine = &*v.machine,
                    by,
                    "preempted"
                );
            }
            Event::Evicted(e) => {
                info!(job = e.job, task = e.task, machine = &*e.machine, reason = e.reason, "evicted");
            }
            Event::SpotNotice { job, task, machine } => {
                debug!(job, task, machine = &**machine, "stopped: its machine is about to be taken away");
            }
            Event::Orphaned { job } => debug!(job, "cancelled with a job that it needs"),
            Event::Escalated { job } => debug!(job, "too big for its part; the leader places it"),
        }
    }
}

/// Tells what a round has done: each event for those who debug, and what often
/// comes by the hundred as one line with its number and a few names.
pub(crate) fn log_events<'a>(events: impl Iterator<Item = &'a Event>) {
    let (mut lost, mut preempted, mut noticed) = (Vec::new(), Vec::new(), Vec::new());
    for e in events {
        e.log_one();
        match e {
            Event::Ended { job, task, how: TerminationReason::Lost, .. } => {
                lost.push(format!("{job}/{task}"))
            }
            Event::Preempted { by, victim: v } => preempted.push(format!("{}/{} by {by}", v.job, v.task)),
            Event::SpotNotice { job, task, .. } => noticed.push(format!("{job}/{task}")),
            _ => {}
        }
    }
    let kinds = [
        (lost, "proven lost"),
        (preempted, "preempted"),
        (noticed, "stopped: their machines are about to be taken away"),
    ];
    for (tasks, what) in kinds.into_iter().filter(|(t, _)| !t.is_empty()) {
        info!(count = tasks.len(), tasks = crate::load::sample_names(&tasks), "{what}");
    }
}

#[cfg(test)]
#[path = "../tests/unit/round.rs"]
mod tests;
