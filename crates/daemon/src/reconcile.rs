//! Rounds of decisions: what has ended, what starts where, what makes way. One
//! transaction a round, conditional on everything it was decided from.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use peer::TerminationProof;
use sched::records::*;
use sched::replica::{RecordChange, Replica};
use sched::rescheduler;
use sched::spot_notice;
use store::{StoreError, TxnOutcome};
use tokio::time::{sleep, timeout};
use tracing::{debug, warn};
use wire::{Command, Commands, Heartbeat, JobKind, Priority};

use crate::clock;
use crate::controller::{Controller, wall_ms};
use crate::drains;
use crate::load::{Counts, Purpose};
use crate::peers;
use crate::placer;
use crate::round::{Assembled, Event, Round, assemble, edit, log_events};
use crate::state::{Core, HandedProof};
use crate::worker::{Key, Worker};

/// Nothing was stopped after all: no room is being made.
fn release(round: &Round, controller: &Controller) {
    let mut core = controller.core();
    for e in &round.log {
        if let Event::Preempted { by, .. } = e {
            core.reserved.remove(by);
        }
    }
}

const GAP: Duration = Duration::from_millis(40);
/// A round leaves this many times its own processor time to everything else.
const LEAVE: u32 = 4;
/// How long another controller has to write an end that was handed to it.
const HANDED_FOR: Duration = Duration::from_millis(5000);
/// How often a record in parts is written at the most.
const CHUNKED_EVERY: Duration = Duration::from_millis(1200);
/// How long a record that is refused is left alone.
pub(crate) const REFUSED_FOR: Duration = Duration::from_secs(20);
/// How long rounds hold one job each after a refusal.
const CAUTIOUS_FOR: Duration = Duration::from_secs(4);
/// How long a controller that could not be reached is left alone.
const SHUN: Duration = Duration::from_secs(3);

pub async fn rounds(controller: Controller) {
    let mut scanned = clock::now();
    loop {
        let _ = timeout(Duration::from_millis(250), controller.kick.notified()).await;
        let now = clock::now();
        let scan = now.saturating_duration_since(scanned) >= controller.operators.rescheduler.scan_interval;
        if scan {
            scanned = now;
        }
        let round = {
            let mut core = controller.core();
            // Without changes to spend, a round only sees to the workers. What
            // waits meanwhile goes into a larger round later.
            let ops = core.writes.allowance(now).min(controller.plan().txn_ops);
            decide(&controller, &mut core, scan, ops, now, wall_ms())
        };
        let cost = clock::since(now);
        Counts::add(&controller.counts.rounds, 1);
        Counts::add(&controller.counts.round_us, cost.as_micros() as u64);
        let Some(mut round) = round else {
            sleep(GAP).await;
            continue;
        };
        for (machine, addr, commands) in std::mem::take(&mut round.sends) {
            send(&controller, machine, addr, commands);
        }
        for (to, proofs) in std::mem::take(&mut round.proofs) {
            hand_over(&controller, to, proofs);
        }
        if !round.jobs.is_empty() {
            commit(&controller, round).await;
        }
        sleep(GAP.max(cost * LEAVE)).await;
    }
}

pub(crate) fn decide(
    controller: &Controller,
    core: &mut Core,
    scan: bool,
    ops: usize,
    now: Instant,
    now_ms: u64,
) -> Option<Round> {
    if !core.ready {
        // The records are being read again; the tokens given out still count.
        return None;
    }
    if !core.in_map(&controller.me) {
        core.workers.clear();
        return None;
    }
    // Ends leave some of the round for what starts: where much ends all the time,
    // nothing would ever take its place.
    let cordon_fence = controller.operators.drains.enabled;
    let mut round = Round { most_ended: (ops * 2 / 3).max(1), cordon_fence, ..Round::default() };
    core.written_in_chunks.retain(|_, t| now.saturating_duration_since(*t) < CHUNKED_EVERY);
    core.refused.retain(|_, until| now < *until);
    round.held = core.written_in_chunks.keys().chain(core.refused.keys()).cloned().collect();
    cascade(controller, core, &mut round, ops);
    // First what was on machines that are gone: it is bounded, and its jobs can go on
    // nowhere else meanwhile. Behind the ends of arrays, which come without end on a
    // busy site, it waited for minutes.
    drop_gone(controller, core, &mut round, now_ms);
    own_machines(controller, core, &mut round, now, now_ms);
    if ops == 0 {
        round.jobs.clear();
        round.log.clear();
        return Some(round);
    }
    handed(controller, core, &mut round, now, now_ms);
    placer::place(controller, core, &mut round, ops, now, now_ms);
    if scan && core.leads(&controller.me) {
        reschedule(controller, core, &mut round, ops, now, now_ms);
    }
    Some(round)
}

/// Writes down that jobs are cancelled with one before them. Users are told so from
/// the records as they are; this lets go of what is kept of them, a few at a time, and
/// whoever places such a job goes on with it whenever it gets to it.
fn cascade(controller: &Controller, core: &Core, round: &mut Round, ops: usize) {
    for id in core.world.pipelines.cancelled_by_dependency() {
        if round.jobs.len() >= (ops / 2).max(1) {
            break;
        }
        let mine = |j: &JobRecord| core.world.scheduler_of(j) == Some(&controller.me.name);
        if !core.world.jobs.get(&**id).is_some_and(|j| mine(&j.value)) {
            continue;
        }
        if let Some(record) = edit(round, &core.world, id) {
            record.phase = Phase::Cancelled;
            record.compact_if_final();
            round.log.push(Event::Orphaned { job: id.to_string() });
        }
    }
}

/// Reconciles the owned workers with the records, as far as either has changed.
fn own_machines(controller: &Controller, core: &mut Core, round: &mut Round, now: Instant, now_ms: u64) {
    let Core { world, workers, peers, shunned, fresh_at, handed, .. } = core;
    let Some(epoch) = world.current_map().map(|m| m.epoch) else { return };
    let changed: Vec<Name> = match world.take_changed_machines() {
        Some(touched) => touched.into_iter().collect(),
        None => {
            let kept = |id: &Name, w: &Worker| {
                world.owner_of(id) == Some(&controller.me) && !w.lapsed(world.owned_since_epoch(id))
            };
            workers.retain(|id, w| kept(id, w));
            world.owned_by(&controller.me).cloned().collect()
        }
    };
    for id in changed {
        match world.machines.get(&id).filter(|_| world.owner_of(&id) == Some(&controller.me)) {
            Some(record) => {
                let new = || Worker::new(record.value.addr.clone(), epoch, now);
                workers.entry(id).or_insert_with(new).look_again();
            }
            None => {
                workers.remove(&id);
            }
        }
    }
    let limits = controller.worker_limits(*fresh_at);
    for (id, worker) in workers.iter_mut() {
        worker.enter_epoch(epoch);
        if !worker.due(now) {
            continue;
        }
        let plan = worker.reconcile(id, world, &limits, now);
        for (key, how) in plan.ends {
            let Some(job) = world.jobs.get(&key.0) else { continue };
            let placer = world.scheduler_of(&job.value).unwrap_or_default();
            let since = worker.ended_since(&key, now);
            // One writer for each job: two owners that write the same record at
            // the same time only make each other's transactions fail.
            if placer == controller.me.name {
                // Written with all that is known to have ended of its job.
                let machine = id.to_string();
                handed.insert(key, HandedProof { machine, how, epoch, at: now, since });
                continue;
            }
            let by_itself = now.saturating_duration_since(since) > HANDED_FOR
                || shunned.get(placer).is_some_and(|t| now < *t)
                || !peers.contains_key(placer);
            if by_itself {
                end(round, world, &key, id, how, now_ms);
            } else if since == now {
                let proof = TerminationProof {
                    job: key.0,
                    task: key.1,
                    attempt: key.2,
                    machine: id.to_string(),
                    reason_code: how.code(),
                };
                round.proofs.entry(placer.to_owned()).or_default().push(proof);
            }
        }
        if let Some(until) = worker.notice_until {
            let left = until.saturating_duration_since(now);
            for (job, record, a) in world.assignments(id) {
                let stops = record.spec.as_ref().is_some_and(|s| spot_notice::should_stop(s, left));
                if stops
                    && record.should_run(a)
                    && let Some(record) = edit(round, world, job)
                    && spot_notice::mark_to_stop(record, a.task)
                {
                    round.log.push(Event::SpotNotice {
                        job: job.to_owned(),
                        task: a.task,
                        machine: id.clone(),
                    });
                }
            }
        }
        let only_clears =
            !plan.commands.is_empty() && plan.commands.iter().all(|c| matches!(c, Command::Forget { .. }));
        let urgent = plan.poke || !plan.commands.is_empty() && (!only_clears || plan.commands.len() > 12);
        let due = only_clears && worker.clear_due(now);
        if (urgent || due)
            && worker.may_send(now)
            && let Some(token) = worker.begin(&plan.commands, now)
        {
            let session = worker.session;
            let commands = Commands { fencing_token: token, incarnation: session, commands: plan.commands };
            round.sends.push((id.clone(), worker.addr.clone(), commands));
        }
    }
}

/// Ends an assignment in its job's record, as this round has it.
fn end(
    round: &mut Round,
    world: &Replica,
    (job, task, attempt): &Key,
    machine: &str,
    how: TerminationReason,
    now_ms: u64,
) {
    if round.jobs.len() >= round.most_ended && !round.jobs.contains_key(job) {
        return;
    }
    let Some(record) = edit(round, world, job) else { return };
    record.end_assignment(*task, *attempt, how, now_ms, 60);
    if how == TerminationReason::Rejected {
        // The machine said no: something else is there that the records
        // do not show yet. Look elsewhere for a while.
        record.avoided_machines.retain(|(m, _)| m != machine);
        record.avoided_machines.push((machine.to_owned(), now_ms + 5000));
        let surplus = record.avoided_machines.len().saturating_sub(MAX_AVOIDED_MACHINES);
        record.avoided_machines.drain(..surplus);
    }
    round.log.push(Event::Ended { job: job.clone(), task: *task, attempt: *attempt, how });
}

/// Takes in the ends that owners have proven and handed over. A proof holds
/// under the map it was made under: a later owner may launch what is absent.
fn handed(controller: &Controller, core: &mut Core, round: &mut Round, now: Instant, now_ms: u64) {
    let Some(epoch) = core.map().map(|m| m.epoch) else { return };
    let Core { world, handed, .. } = core;
    handed.retain(|key, proof| {
        let stands = world.jobs.get(&key.0).is_some_and(|job| {
            world.scheduler_of(&job.value) == Some(&controller.me.name)
                && job.value.assignments.binary_search_by_key(&key.1, |a| a.task).is_ok_and(|i| {
                    let a = &job.value.assignments[i];
                    a.attempt == key.2 && *a.machine == *proof.machine
                })
        });
        stands && proof.epoch == epoch && now.saturating_duration_since(proof.at) < HANDED_FOR * 4
    });
    let mut jobs: BTreeMap<&str, Vec<(&Key, &HandedProof)>> = BTreeMap::new();
    for (key, proof) in handed.iter() {
        jobs.entry(&key.0).or_default().push((key, proof));
    }
    // A change tells of all that has ended of a job. Where changes are short, those
    // come first that complete a job, tell of much, or have waited long: by names
    // alone, some would wait while others are written for every single task.
    let mut order: Vec<(f64, Vec<(&Key, &HandedProof)>)> = jobs
        .into_iter()
        .filter_map(|(id, ends)| {
            let job = &world.jobs.get(id)?.value;
            let news = if round.jobs.contains_key(id) { f64::INFINITY } else { worth(job, &ends, now) };
            Some((news, ends))
        })
        .collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (key, proof) in order.into_iter().flat_map(|(_, ends)| ends) {
        end(round, world, key, &proof.machine, proof.how, now_ms);
    }
}

/// How much a change is worth that tells of these ends of a job.
fn worth(job: &JobRecord, ends: &[(&Key, &HandedProof)], now: Instant) -> f64 {
    let done = ends.iter().filter(|(_, p)| p.how == TerminationReason::Done).count() as u32;
    let tasks = job.spec.as_ref().map_or(0, |s| s.tasks);
    let gang = job.spec.as_ref().is_some_and(|s| s.kind == JobKind::Gang);
    let completes = done > 0 && (gang || job.done.len() + done >= tasks);
    let oldest = ends.iter().map(|(_, p)| now.saturating_duration_since(p.since)).max().unwrap_or_default();
    let urgent = match job.priority() {
        Some(Priority::Production) => 6.0,
        Some(Priority::High) => 4.0,
        Some(Priority::Normal) => 1.0,
        Some(Priority::Low) | None => 0.0,
    };
    f64::from(u8::from(completes)) * 20.0 + ends.len() as f64 + oldest.as_secs_f64() * 2.0 + urgent
}

/// Most proofs in one message, so that it stays far below what a peer reads, whatever is lost
/// at once.
const PROOFS_AT_ONCE: usize = 2048;

/// Hands ends over to the controller that places the jobs.
fn hand_over(controller: &Controller, to: String, proofs: Vec<TerminationProof>) {
    let Some(epoch) = controller.core().map().map(|m| m.epoch) else { return };
    let controller = controller.clone();
    let tasks = controller.tasks.clone();
    tasks.spawn(async move {
        for some in proofs.chunks(PROOFS_AT_ONCE) {
            if !peers::hand_over(&controller, &to, epoch, some.to_vec()).await {
                // Its jobs' ends are written here for a while.
                controller.core().shunned.insert(to, clock::now() + SHUN);
                controller.kick.notify_one();
                return;
            }
        }
    });
}

/// Keeps proofs that a peer has handed over until they are written.
pub fn take_proofs(controller: &Controller, epoch: u64, proofs: Vec<TerminationProof>, at: Instant) {
    let mut core = controller.core();
    for p in proofs {
        let Some(how) = TerminationReason::from_code(p.reason_code) else { continue };
        let proof = HandedProof { machine: p.machine, how, epoch, at, since: at };
        core.handed.insert((p.job, p.task, p.attempt), proof);
    }
    drop(core);
    controller.kick.notify_one();
}

/// Ends assignments on machines without a record: a record goes only after the
/// cloud has confirmed the release, and nothing is launched without one.
fn drop_gone(controller: &Controller, core: &Core, round: &mut Round, now_ms: u64) {
    for machine in &core.world.machines_without_record {
        for (id, job, a) in core.world.assignments(machine) {
            if core.world.scheduler_of(job) != Some(&controller.me.name) {
                continue;
            }
            // The rest has its turn in the next rounds: what ends in this one can
            // be placed in it, too.
            if round.jobs.len() >= round.most_ended && !round.jobs.contains_key(id) {
                continue;
            }
            if let Some(record) = edit(round, &core.world, id) {
                record.end_assignment(a.task, a.attempt, TerminationReason::Lost, now_ms, 0);
                round.log.push(Event::Ended {
                    job: id.to_owned(),
                    task: a.task,
                    attempt: a.attempt,
                    how: TerminationReason::Lost,
                });
            }
        }
    }
}

fn reschedule(
    controller: &Controller,
    core: &mut Core,
    round: &mut Round,
    ops: usize,
    now: Instant,
    now_ms: u64,
) {
    let policy = &controller.operators.rescheduler;
    core.refresh_inventory(&controller.me, controller.report_every(), now);
    let evictions = rescheduler::scan(&core.world, &core.inventory, policy, now_ms);
    if evictions.is_empty() {
        return;
    }
    let mut budget = drains::EvictionBudget::of_round(controller, core, &evictions);
    for e in evictions {
        // With its team's record of what is down by choice.
        let changes = 1 + usize::from(budget.is_some());
        let taken = round.jobs.contains_key(&e.job) || round.held.contains(&e.job);
        if taken || round.puts() + changes > ops {
            continue;
        }
        if let Some(budget) = &mut budget {
            let Some(disruption) = budget.debit(&core.world, &e, now_ms) else { continue };
            round.disruptions.insert(e.job.clone(), disruption);
        }
        let Some(record) = edit(round, &core.world, &e.job) else { continue };
        rescheduler::evict(record, &e, policy, now_ms);
        round.log.push(Event::Evicted(e));
    }
}

/// Commits a round in one transaction, as far as the limits of one go.
pub(crate) async fn commit(controller: &Controller, round: Round) {
    let Assembled { conditions, puts, left_out, teams, disruptions, chunked } = {
        let mut core = controller.core();
        let cautious = core.cautious.is_some_and(|until| clock::now() < until);
        let most_jobs = if cautious { 1 } else { usize::MAX };
        let assembled = assemble(&core.world, &round, &controller.plan(), most_jobs);
        core.writes.acquire(assembled.puts.len() as f64, 0.0, clock::now());
        controller.counts.spend(Purpose::Rounds, assembled.puts.len());
        assembled
    };
    if puts.is_empty() {
        return;
    }
    let limits = controller.seen.get();
    let sent: Vec<String> = round.jobs.keys().filter(|id| !left_out.contains(*id)).cloned().collect();
    let result = controller.commit(conditions, puts).await;
    if let Some(id) = chunked {
        controller.core().written_in_chunks.insert(id, clock::now());
    }
    match result {
        Ok(TxnOutcome::Committed { revision }) => {
            log_events(round.log.iter().filter(|e| !left_out.contains(e.job())));
            // The next round need not wait until the news of this one arrives.
            let mut core = controller.core();
            for (id, record) in round.jobs {
                if !left_out.contains(&id) {
                    core.world.apply(RecordChange::Job(id, Some(record)), revision);
                }
            }
            for (team, record) in teams {
                core.world.apply(RecordChange::Team(team, Some(record)), revision);
            }
            for (team, record) in disruptions {
                core.world.apply(RecordChange::Disruptions(team, Some(record)), revision);
            }
        }
        Ok(TxnOutcome::Conflict { failed, revision }) => {
            Counts::add(&controller.counts.conflicts, 1);
            debug!(?failed, puts = round.puts(), "a round met newer records");
            release(&round, controller);
            controller.reach(revision, Duration::from_secs(2)).await;
        }
        Err(e) => {
            debug!(error = %e, "a round was not committed, as far as is known");
            release(&round, controller);
            controller.note_refusal(&e);
            if matches!(e, StoreError::Refused(400) | StoreError::ValueTooLarge(_))
                && controller.seen.get() == limits
            {
                set_apart(controller, sent);
            }
            sleep(Duration::from_millis(200)).await;
        }
    }
    controller.kick.notify_one();
}

/// The state service refuses a round for what it is, though it keeps the limits that
/// are known: its jobs have rounds of their own for a while, and the one that is
/// refused alone waits. None of the others is to wait with it.
fn set_apart(controller: &Controller, jobs: Vec<String>) {
    let mut core = controller.core();
    let now = clock::now();
    match <[String; 1]>::try_from(jobs) {
        Ok([job]) => {
            warn!(job, "its record is refused; it is left alone for a while");
            core.refused.insert(job, now + REFUSED_FOR);
        }
        Err(_) => core.cautious = Some(now + CAUTIOUS_FOR),
    }
}

/// Sends commands to a worker and takes in the report that answers them.
fn send(controller: &Controller, machine: Name, addr: String, commands: Commands) {
    let token = commands.fencing_token;
    let controller = controller.clone();
    let tasks = controller.tasks.clone();
    tasks.spawn(async move {
        debug!(machine = &*machine, token = commands.fencing_token, orders = ?commands.commands, "commands");
        let body = wire::encode(&commands);
        let deadline = Duration::from_millis(2500);
        let answer = controller
            .workers_http
            .request(&addr, "POST", "/commands", body, wire::BODY_LIMIT * 4, deadline)
            .await;
        let report = match answer {
            Ok(a) if a.status == 200 || a.status == 409 => wire::decode::<Heartbeat>(&a.body).ok(),
            Ok(a) => {
                warn!(machine = &*machine, status = a.status, "commands were refused");
                None
            }
            Err(e) => {
                debug!(machine = &*machine, error = %e, "no answer to commands");
                None
            }
        };
        answered(&mut controller.core(), &machine, token, report, clock::now());
        controller.kick.notify_one();
    });
}

/// Takes in what became of commands: the report that answers them, if any. An address may
/// have become another machine's, whose word says nothing of the one that was meant.
pub(crate) fn answered(core: &mut Core, machine: &str, token: u64, report: Option<Heartbeat>, now: Instant) {
    let report = report.filter(|r| r.machine == machine);
    let Some(w) = core.workers.get_mut(machine) else { return };
    w.finish(token, report.is_some(), now);
    if let Some(report) = report {
        w.ingest(report, false, now);
    }
}

/// Notices when the process has stood still.
pub async fn heartbeat(controller: Controller) {
    loop {
        controller.core().beat(clock::now());
        sleep(Duration::from_millis(250)).await;
    }
}
