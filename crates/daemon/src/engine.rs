//! Rounds of decisions: what has ended, what starts where, what makes way. One
//! transaction a round, conditional on everything it was decided from.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use sched::placement::{self, Board};
use sched::preempt;
use sched::records::*;
use sched::rescheduler;
use sched::world::{Amount, Team, World};
use store::{Outcome, Put, key};
use tokio::time::{sleep, timeout};
use tracing::{debug, info, warn};
use wire::{Command, Commands, Condition, JobKind, JobSpec, Report};

use crate::node::{Core, Node, wall_ms};
use crate::worker::{Limits, Worker, refused};

/// What one round wants to have done.
#[derive(Default)]
pub(crate) struct Round {
    pub(crate) jobs: BTreeMap<String, Box<JobRecord>>,
    /// Teams whose share new placements use.
    teams: BTreeSet<String>,
    /// Jobs with new placements.
    placing: BTreeSet<String>,
    pub(crate) sends: Vec<(String, String, Commands)>,
    pub(crate) log: Vec<Event>,
}

impl Round {
    /// Nothing was stopped after all: no room is being made.
    fn release(&self, node: &Node) {
        let mut core = node.core();
        for e in &self.log {
            if let Event::Preempted { by, .. } = e {
                core.reserved.remove(by);
            }
        }
    }
}

/// Told in the log once the round is committed.
pub(crate) enum Event {
    Placed { job: String, machine: String, task: u32, attempt: u64 },
    Ended { job: String, task: u32, attempt: u64, how: End },
    Preempted { by: String, victim: preempt::Victim },
    Evicted(rescheduler::Eviction),
    Escalated { job: String },
}

const GAP: Duration = Duration::from_millis(40);
/// Most tasks of an array or service that room is made for at a time.
const PREEMPT_MOST: u32 = 4;
/// How long room is held beyond the time that its tasks need to save.
const RESERVE_FOR: Duration = Duration::from_millis(1800);

pub async fn rounds(node: Node) {
    let mut scanned = Instant::now();
    loop {
        let _ = timeout(Duration::from_millis(250), node.kick.notified()).await;
        let now = Instant::now();
        let scan = now.saturating_duration_since(scanned) >= node.operators.rescheduler.scan;
        if scan {
            scanned = now;
        }
        let round = {
            let mut core = node.core();
            decide(&node, &mut core, scan, now, wall_ms())
        };
        let Some(mut round) = round else {
            sleep(GAP).await;
            continue;
        };
        for (machine, addr, commands) in std::mem::take(&mut round.sends) {
            send(&node, machine, addr, commands);
        }
        if !round.jobs.is_empty() {
            commit(&node, round).await;
        }
        // The further the budget is used up, the more a round collects.
        let level = node.core().writes.level(Instant::now()) / (node.settings.facts.state.write_rps * 0.5);
        let widen = if level < 0.25 {
            6
        } else if level < 0.5 {
            3
        } else {
            1
        };
        sleep(GAP * widen).await;
    }
}

/// The record as this round has it so far.
fn edit<'a>(round: &'a mut Round, world: &World, id: &str) -> Option<&'a mut Box<JobRecord>> {
    if !round.jobs.contains_key(id) {
        let record = world.jobs.get(id)?.value.clone();
        round.jobs.insert(id.to_owned(), record);
    }
    round.jobs.get_mut(id)
}

pub(crate) fn decide(node: &Node, core: &mut Core, scan: bool, now: Instant, now_ms: u64) -> Option<Round> {
    if !core.ready {
        // The records are being read again; the tokens given out still count.
        return None;
    }
    if !core.in_map(&node.me) {
        core.workers.clear();
        return None;
    }
    let mut round = Round::default();
    own_machines(node, core, &mut round, now, now_ms);
    drop_gone(node, core, &mut round, now_ms);
    place(node, core, &mut round, now, now_ms);
    if scan && core.leads(&node.me) {
        reschedule(node, core, &mut round, now, now_ms);
    }
    Some(round)
}

/// Reconciles every owned worker with the records.
fn own_machines(node: &Node, core: &mut Core, round: &mut Round, now: Instant, now_ms: u64) {
    let Core { world, workers, fresh_at, .. } = core;
    let Some(map) = world.map_record() else { return };
    let mine: BTreeMap<&String, &MachineRecord> = world
        .machines
        .iter()
        .filter(|(id, m)| map.owner(id, &m.value.zone).is_some_and(|o| *o == node.me))
        .map(|(id, m)| (id, &m.value))
        .collect();
    workers.retain(|id, _| mine.contains_key(id));
    let gang_peer = Duration::from_secs_f64(node.settings.facts.workers.gang_peer_s);
    let limits = Limits { gang_peer, fresh_at: *fresh_at };
    for (id, record) in mine {
        let worker =
            workers.entry(id.clone()).or_insert_with(|| Worker::new(record.addr.clone(), map.epoch, now));
        worker.enter_epoch(map.epoch);
        let plan = worker.reconcile(id, world, &limits, now);
        for ((job, task, attempt), how, cause) in plan.ends {
            let Some(record) = edit(round, world, &job) else { continue };
            record.end(task, attempt, how, now_ms, 60);
            if refused(cause) {
                // The machine said no: something else is there that the records
                // do not show yet. Look elsewhere for a while.
                record.avoid.retain(|(m, _)| m != id);
                record.avoid.push((id.clone(), now_ms + 5000));
                let surplus = record.avoid.len().saturating_sub(AVOID_MAX);
                record.avoid.drain(..surplus);
            }
            worker.note_end(&job, how);
            round.log.push(Event::Ended { job, task, attempt, how });
        }
        let only_clears =
            !plan.commands.is_empty() && plan.commands.iter().all(|c| matches!(c, Command::Forget { .. }));
        let urgent = plan.poke || !plan.commands.is_empty() && (!only_clears || plan.commands.len() > 4);
        let due = only_clears && worker.clear_due(now);
        if (urgent || due) && worker.may_send(now) {
            let session = worker.session;
            let token = worker.begin(now);
            let commands = Commands { token, session, commands: plan.commands };
            round.sends.push((id.clone(), worker.addr.clone(), commands));
        }
    }
}

/// Ends assignments on machines without a record: a record goes only after the
/// cloud has confirmed the release, and nothing is launched without one.
fn drop_gone(node: &Node, core: &Core, round: &mut Round, now_ms: u64) {
    for id in &core.world.open {
        let Some(job) = core.world.jobs.get(id) else { continue };
        if core.world.placer_of(&job.value) != Some(&node.me.name) {
            continue;
        }
        let gone = |a: &&Assignment| !core.world.machines.contains_key(&a.machine);
        let lost: Vec<(u32, u64)> = job.value.run.iter().filter(gone).map(|a| (a.task, a.attempt)).collect();
        for (task, attempt) in lost {
            if let Some(record) = edit(round, &core.world, id) {
                record.end(task, attempt, End::Lost, now_ms, 0);
                round.log.push(Event::Ended { job: id.clone(), task, attempt, how: End::Lost });
            }
        }
    }
}

/// Whether the job fits into its team's guarantee along with the team's earlier
/// unfinished jobs, for every open job.
fn guaranteed(world: &World, teams: &[Team]) -> BTreeSet<String> {
    let mut by_age: Vec<(&String, &JobRecord, &JobSpec)> = world
        .open
        .iter()
        .filter_map(|id| world.jobs.get_key_value(id))
        .filter(|(_, j)| j.value.phase == Phase::Active)
        .filter_map(|(id, j)| Some((id, j.value.as_ref(), j.value.spec.as_deref()?)))
        .collect();
    by_age.sort_by_key(|(id, j, _)| (j.submitted_ms, id.as_str()));
    let mut used: BTreeMap<&str, Amount> = BTreeMap::new();
    let mut out = BTreeSet::new();
    for (id, _, spec) in by_age {
        let Some(team) = teams.iter().find(|t| t.name == spec.team) else { continue };
        let sum = used.entry(&spec.team).or_default();
        *sum = sum.plus(Amount { memory_gb: 0.0, ..Amount::of_task(spec) }, f64::from(spec.tasks));
        if sum.fits(team.guarantee()) {
            out.insert(id.clone());
        }
    }
    out
}

fn place(node: &Node, core: &mut Core, round: &mut Round, now: Instant, now_ms: u64) {
    let me = &node.me;
    let report = node.report_every();
    let waits = |id: &String| {
        let job = round.jobs.get(id).or_else(|| core.world.jobs.get(id).map(|j| &j.value));
        job.is_some_and(|j| placement::pending_count(j) > 0 && core.world.placer_of(j) == Some(&me.name))
    };
    let mut queue: Vec<String> = core.world.open.iter().filter(|id| waits(id)).cloned().collect();
    if queue.is_empty() {
        return;
    }
    let Some(map) = core.map().cloned() else { return };
    let mut board = Board::new(&core.world, &map, |m| core.usable(m, me, report, now));
    // What this round has ended is free already.
    for (id, record) in &round.jobs {
        let Some(old) = core.world.jobs.get(id) else { continue };
        let Some(spec) = old.value.spec.as_deref() else { continue };
        let size = Amount::of_task(spec);
        let ended = old
            .value
            .run
            .iter()
            .filter(|a| !record.run.iter().any(|b| b.task == a.task && b.attempt == a.attempt));
        for a in ended {
            if let Some(s) = board.slots.iter_mut().find(|s| s.id == a.machine) {
                s.used = s.used.plus(size, -1.0);
            }
            if let Some(u) = board.team_use.get_mut(&spec.team) {
                *u = u.plus(size, -1.0);
            }
        }
    }
    let within = guaranteed(&core.world, &node.teams);
    queue.sort_by(|a, b| {
        let job = |id: &String| core.world.jobs.get(id).map(|j| (j.value.as_ref(), within.contains(id)));
        match (job(a), job(b)) {
            (Some(x), Some(y)) => placement::queue_order(x, y).then_with(|| a.cmp(b)),
            _ => a.cmp(b),
        }
    });
    // The share of its team's limit that a service or a gang waits for is not for
    // arrays: their small tasks would take it piece by piece, for as long as one
    // of them lasts.
    // A gang's claim ends for an array whose own deadline comes near.
    let mut claims: BTreeMap<(&String, bool), Amount> = BTreeMap::new();
    for id in &core.world.open {
        let Some(job) = core.world.jobs.get(id).map(|j| &j.value) else { continue };
        let Some(spec) = job.spec.as_deref().filter(|s| s.kind != JobKind::Array) else { continue };
        let waiting = placement::pending_count(round.jobs.get(id).unwrap_or(job));
        if waiting > 0 {
            let claim = claims.entry((&spec.team, spec.kind == JobKind::Gang)).or_default();
            *claim = claim.plus(Amount::of_task(spec), f64::from(waiting));
        }
    }
    let leads = core.leads(me);
    core.reserved.retain(|id, (_, until)| queue.contains(id) && now < *until);
    for (id, (machines, _)) in &core.reserved {
        let Some(spec) = core.world.jobs.get(id).and_then(|j| j.value.spec.as_deref()) else { continue };
        reserve(&mut board, machines, Amount::of_task(spec), 1.0);
    }
    let ops = node.settings.facts.state.txn_ops;
    for id in queue {
        let (puts, full) = (round.jobs.len() + round.teams.len(), node.run_max());
        if puts + 2 > ops {
            break;
        }
        let Some(old) = round.jobs.get(&id).or_else(|| core.world.jobs.get(&id).map(|j| &j.value)) else {
            continue;
        };
        let mut job = old.clone();
        let Some(spec) = job.spec.clone() else { continue };
        let Some(team) = node.team(&spec.team) else { continue };
        let in_part = job.part.as_deref() == Some(me.name.as_str());
        let reach = |s: &placement::Slot| leads && !in_part || s.owner == me.name;
        let most = full.saturating_sub(job.run.len());
        let size = Amount::of_task(&spec);
        let held = core.reserved.get(&id).map(|(m, _)| m.clone()).unwrap_or_default();
        reserve(&mut board, &held, size, -1.0);
        let limits = placement::Limits { most, lossy: false, now_ms };
        let claim = if spec.kind == JobKind::Array {
            let of = |gangs| claims.get(&(&spec.team, gangs)).copied().unwrap_or_default();
            if placement::pressed(&job, now_ms) { of(false) } else { of(false).plus(of(true), 1.0) }
        } else {
            Amount::default()
        };
        claim_share(&mut board, &spec.team, claim, 1.0);
        let mut placed = placement::place(&core.world, &mut board, &mut job, team, reach, limits);
        claim_share(&mut board, &spec.team, claim, -1.0);
        let whole = |s: &placement::Slot| placement::gpu_loss(&core.world, &spec, s) == 0;
        // A service that finds no other room takes, in this order: room that was
        // made for it, room of array tasks, room that GPU jobs could use, and at
        // last the place of a GPU job.
        let mut last_resort = spec.gpus > 0.0;
        if placed.is_empty() && spec.kind == JobKind::Service && !in_part {
            let limits = placement::Limits { lossy: true, ..limits };
            if !held.is_empty() {
                let here = |s: &placement::Slot| held.contains(&s.id);
                placed = placement::place(&core.world, &mut board, &mut job, team, here, limits);
            } else if preempt::victims(&core.world, &board, &spec, &within, &[], true, whole).is_none() {
                placed = placement::place(&core.world, &mut board, &mut job, team, reach, limits);
                last_resort = placed.is_empty();
            }
        }
        if !placed.is_empty() {
            for a in placed {
                round.log.push(Event::Placed {
                    job: id.clone(),
                    machine: a.machine,
                    task: a.task,
                    attempt: a.attempt,
                });
            }
            round.teams.insert(spec.team.clone());
            round.placing.insert(id.clone());
            core.reserved.remove(&id);
            round.jobs.insert(id, job);
            continue;
        }
        reserve(&mut board, &held, size, 1.0);
        if in_part && placement::retry_at_ms(&job) <= now_ms {
            job.part = None;
            round.log.push(Event::Escalated { job: id.clone() });
            round.jobs.insert(id.clone(), job);
            continue;
        }
        if in_part {
            continue;
        }
        let quiet =
            placement::retry_at_ms(&job) <= now_ms && (spec.kind != JobKind::Gang || job.run.is_empty());
        if !held.is_empty() || !quiet {
            continue;
        }
        // A gang needs room for all its tasks; others start as room is made.
        let gang = spec.kind == JobKind::Gang;
        let tasks = if gang { spec.tasks } else { placement::pending_count(&job).min(PREEMPT_MOST) };
        let in_use = core.world.team_use.get(&spec.team).copied().unwrap_or_default();
        let quota = team.limit().plus(Amount { memory_gb: 0.0, ..in_use }, -1.0);
        if size.times_in(quota) < tasks {
            if core.reserved.contains_key(&id) {
                continue;
            }
            let Some(victims) = preempt::within_team(&core.world, &board, &spec, tasks, team) else {
                continue;
            };
            core.reserved.insert(id.clone(), (Vec::new(), now + RESERVE_FOR));
            for v in victims {
                let Some(record) = edit(round, &core.world, &v.job) else { continue };
                preempt::mark(record, &v);
                round.log.push(Event::Preempted { by: id.clone(), victim: v });
            }
            continue;
        }
        let mut machines = Vec::new();
        let mut all = Vec::new();
        for _ in 0..tasks {
            let found = preempt::victims(&core.world, &board, &spec, &within, &all, !last_resort, |s| {
                last_resort || whole(s)
            });
            let Some((machine, victims)) = found else { break };
            reserve(&mut board, std::slice::from_ref(&machine), size, 1.0);
            machines.push(machine);
            all.extend(victims);
        }
        if all.is_empty() || (gang && machines.len() < tasks as usize) {
            reserve(&mut board, &machines, size, -1.0);
            continue;
        }
        let save = |v: &preempt::Victim| {
            core.world.jobs.get(&v.job).and_then(|j| j.value.spec.as_ref()).map_or(0.0, |s| s.save_s)
        };
        let save = all.iter().map(save).fold(0.0, f64::max).min(600.0);
        core.reserved.insert(id.clone(), (machines, now + RESERVE_FOR + Duration::from_secs_f64(save)));
        for v in all {
            let Some(record) = edit(round, &core.world, &v.job) else { continue };
            preempt::mark(record, &v);
            round.log.push(Event::Preempted { by: id.clone(), victim: v });
        }
    }
}

/// Counts a part of a team's limit as used, or gives it back.
fn claim_share(board: &mut Board, team: &str, amount: Amount, sign: f64) {
    if amount != Amount::default() {
        let used = board.team_use.entry(team.to_owned()).or_default();
        *used = used.plus(amount, sign);
    }
}

/// Takes room off the board for a job that it is being made for, or gives it back.
fn reserve(board: &mut Board, machines: &[String], size: Amount, sign: f64) {
    for m in machines {
        if let Some(s) = board.slots.iter_mut().find(|s| s.id == *m) {
            s.used = s.used.plus(size, sign);
        }
    }
}

fn reschedule(node: &Node, core: &Core, round: &mut Round, now: Instant, now_ms: u64) {
    let Some(map) = core.map() else { return };
    let policy = &node.operators.rescheduler;
    let report = node.report_every();
    let board = Board::new(&core.world, map, |m| core.usable(m, &node.me, report, now));
    for e in rescheduler::scan(&core.world, &board, policy, now_ms) {
        if round.jobs.contains_key(&e.job)
            || round.jobs.len() + round.teams.len() >= node.settings.facts.state.txn_ops
        {
            continue;
        }
        let Some(record) = edit(round, &core.world, &e.job) else { continue };
        rescheduler::evict(record, &e, policy, now_ms);
        round.log.push(Event::Evicted(e));
    }
}

/// Commits a round in one transaction, as far as the limits of one go.
async fn commit(node: &Node, round: Round) {
    let (conditions, puts, left_out) = {
        let core = node.core();
        assemble(&core.world, &round, node.settings.facts.state.txn_ops)
    };
    if puts.is_empty() {
        return;
    }
    node.may_write(puts.len(), 2.0).await;
    match node.state.txn(conditions, puts).await {
        Ok(Outcome::Committed { revision }) => {
            for e in round.log.iter().filter(|e| !left_out.contains(e.job())) {
                e.tell();
            }
            node.reach(revision, Duration::from_secs(2)).await;
        }
        Ok(Outcome::Conflict { failed, revision }) => {
            debug!(?failed, "a round met newer records");
            round.release(node);
            node.reach(revision, Duration::from_secs(2)).await;
        }
        Err(e) => {
            debug!(error = %e, "a round was not committed, as far as is known");
            round.release(node);
            if matches!(e, store::StoreError::Rate) {
                node.core().writes.drained(Instant::now());
            }
            sleep(Duration::from_millis(200)).await;
        }
    }
    node.kick.notify_one();
}

/// The transaction of a round, and the jobs that it has no room for.
pub(crate) fn assemble(
    world: &World,
    round: &Round,
    ops: usize,
) -> (Vec<Condition>, Vec<Put>, BTreeSet<String>) {
    let mut puts = Vec::new();
    let mut teams: BTreeSet<&String> = BTreeSet::new();
    let mut conditions = Vec::new();
    let mut left_out = BTreeSet::new();
    let mut bytes = 0;
    let mut order: Vec<(&String, &Box<JobRecord>)> = round.jobs.iter().collect();
    order.sort_by_key(|(_, j)| std::cmp::Reverse(j.spec.as_ref().map(|s| s.priority)));
    for (id, record) in order {
        let team = record.spec.as_ref().map(|s| &s.team).filter(|_| round.placing.contains(id));
        let new_team = team.filter(|t| !teams.contains(*t));
        let cost = 1000 + record.run.len() * 40;
        let Some(old) = world.jobs.get(id) else { continue };
        if puts.len() + 1 + usize::from(new_team.is_some()) > ops || (bytes + cost > 56 * 1024 && bytes > 0) {
            left_out.insert(id.clone());
            continue;
        }
        bytes += cost;
        conditions.push(Condition { key: key::job(id), version: old.version });
        puts.push(Put::new(key::job(id), record));
        if let Some(team) = new_team {
            teams.insert(team);
            let (n, version) = world.teams.get(team).map_or((0, 0), |t| (t.value.placements, t.version));
            conditions.push(Condition { key: key::team(team), version });
            puts.push(Put::new(key::team(team), &TeamRecord { placements: n + 1 }));
        }
    }
    if !teams.is_empty() || round.log.iter().any(|e| matches!(e, Event::Evicted(_))) {
        conditions
            .push(Condition { key: key::MAP.into(), version: world.map.as_ref().map_or(0, |m| m.version) });
    }
    (conditions, puts, left_out)
}

impl Event {
    fn job(&self) -> &str {
        match self {
            Event::Placed { job, .. } | Event::Ended { job, .. } | Event::Escalated { job } => job,
            Event::Preempted { victim, .. } => &victim.job,
            Event::Evicted(e) => &e.job,
        }
    }

    fn tell(&self) {
        match self {
            Event::Placed { job, machine, task, attempt } => {
                debug!(job, task, attempt, machine, "placed");
            }
            Event::Ended { job, task, attempt, how: End::Lost } => {
                info!(job, task, attempt, "proven lost");
            }
            Event::Ended { job, task, attempt, how } => debug!(job, task, attempt, ?how, "ended"),
            Event::Preempted { by, victim: v } => {
                info!(job = v.job, task = v.task, attempt = v.attempt, machine = v.machine, by, "preempted");
            }
            Event::Evicted(e) => {
                info!(job = e.job, task = e.task, machine = e.machine, reason = e.reason, "evicted");
            }
            Event::Escalated { job } => debug!(job, "too big for its part; the leader places it"),
        }
    }
}

/// Sends commands to a worker and takes in the report that answers them.
fn send(node: &Node, machine: String, addr: String, commands: Commands) {
    let token = commands.token;
    let node = node.clone();
    let tasks = node.tasks.clone();
    tasks.spawn(async move {
        debug!(machine, token = commands.token, orders = ?commands.commands, "commands");
        let body = wire::encode(&commands);
        let deadline = Duration::from_millis(2500);
        let answer =
            node.http.request(&addr, "POST", "/commands", body, wire::BODY_LIMIT * 4, deadline).await;
        let report = match answer {
            Ok(a) if a.status == 200 || a.status == 409 => wire::decode::<Report>(&a.body).ok(),
            Ok(a) => {
                warn!(machine, status = a.status, "commands were refused");
                None
            }
            Err(e) => {
                debug!(machine, error = %e, "no answer to commands");
                None
            }
        };
        {
            let mut core = node.core();
            if let Some(w) = core.workers.get_mut(&machine) {
                let now = Instant::now();
                w.finish(token, report.is_some(), now);
                if let Some(report) = report {
                    w.ingest(report, false, now);
                }
            }
        }
        node.kick.notify_one();
    });
}

/// Asks owned workers that have not been heard of for their status, so that a
/// new owner need not wait for their reports.
pub async fn prober(node: Node) {
    loop {
        sleep(Duration::from_millis(700)).await;
        let quiet: Vec<(String, String)> = {
            let core = node.core();
            let now = Instant::now();
            let limit = node.report_every() * 3 / 2 + Duration::from_millis(500);
            core.workers
                .iter()
                .filter(|(_, w)| !w.addr.is_empty())
                .filter(|(_, w)| w.heard.is_none() || w.silent_for(now) > limit)
                .map(|(id, w)| (id.clone(), w.addr.clone()))
                .collect()
        };
        for (machine, addr) in quiet.into_iter().take(16) {
            let node = node.clone();
            let tasks = node.tasks.clone();
            tasks.spawn(async move {
                let deadline = Duration::from_millis(1200);
                let answer = node
                    .http
                    .request(&addr, "GET", "/status", Vec::new(), wire::BODY_LIMIT * 4, deadline)
                    .await;
                let Ok(answer) = answer else { return };
                let Ok(report) = wire::decode::<Report>(&answer.body) else { return };
                if report.machine != machine {
                    return;
                }
                if let Some(w) = node.core().workers.get_mut(&machine) {
                    w.ingest(report, false, Instant::now());
                }
                node.kick.notify_one();
            });
        }
    }
}
