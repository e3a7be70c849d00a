//! Rounds of decisions: what has ended, what starts where, what makes way. One
//! transaction a round, conditional on everything it was decided from.

use std::collections::BTreeMap;
use std::sync::Arc;
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
use crate::load::{LoadCounters, Purpose};
use crate::peer_client;
use crate::placer;
use crate::round::{Assembled, Event, Round, assemble, edit, log_events};
use crate::state::{ControllerState, FORWARDED_PROOF_TIMEOUT, PendingProof};
use crate::worker::{AssignmentId, FencingToken, Worker};

/// Nothing was stopped after all: no room is being made.
fn release(round: &Round, controller: &Controller) {
    let mut state = controller.state();
    for e in &round.log {
        if let Event::Preempted { by, .. } = e {
            state.scheduling.reservations.remove(by);
        }
    }
}

const GAP: Duration = Duration::from_millis(40);
/// A round leaves this many times its own processor time to everything else.
const LEAVE: u32 = 4;

pub async fn rounds(controller: Arc<Controller>) {
    let mut scanned = clock::now();
    loop {
        let _ = timeout(Duration::from_millis(250), controller.wake_scheduler.notified()).await;
        let now = clock::now();
        let scan = now.saturating_duration_since(scanned) >= controller.operators.rescheduler.scan;
        if scan {
            scanned = now;
        }
        let round = {
            let mut state = controller.state();
            // Without changes to spend, a round only sees to the workers. What
            // waits meanwhile goes into a larger round later.
            let ops = state.writes.limiter.allowance(now).min(controller.state_limits().txn_ops);
            decide(&controller, &mut state, scan, ops, now, wall_ms())
        };
        let cost = clock::since(now);
        LoadCounters::add(&controller.load.rounds, 1);
        LoadCounters::add(&controller.load.round_us, cost.as_micros() as u64);
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
    state: &mut ControllerState,
    scan: bool,
    ops: usize,
    now: Instant,
    now_ms: u64,
) -> Option<Round> {
    if !state.records.is_loaded {
        // The records are being read again; the tokens given out still count.
        return None;
    }
    if !state.is_live(&controller.identity) {
        state.machines.workers.clear();
        return None;
    }
    // Ends leave some of the round for what starts: where much ends all the time,
    // nothing would ever take its place.
    let cordon_fence = controller.operators.drains.enabled;
    let mut round = Round { most_ended: (ops * 2 / 3).max(1), cordon_fence, ..Round::default() };
    state.scheduling.expire(now);
    round.held = state.scheduling.jobs_on_hold().cloned().collect();
    cascade(controller, state, &mut round, ops);
    // First what was on machines that are gone: it is bounded, and its jobs can go on
    // nowhere else meanwhile. Behind the ends of arrays, which come without end on a
    // busy site, it waited for minutes.
    drop_gone(controller, state, &mut round, now_ms);
    own_machines(controller, state, &mut round, now, now_ms);
    if ops == 0 {
        round.jobs.clear();
        round.log.clear();
        return Some(round);
    }
    handed(controller, state, &mut round, now, now_ms);
    placer::place(controller, state, &mut round, ops, now, now_ms);
    if scan && state.is_leader(&controller.identity) {
        reschedule(controller, state, &mut round, ops, now, now_ms);
    }
    Some(round)
}

/// Writes down that jobs are cancelled with one before them. Users are told so from
/// the records as they are; this lets go of what is kept of them, a few at a time, and
/// whoever places such a job goes on with it whenever it gets to it.
fn cascade(controller: &Controller, state: &ControllerState, round: &mut Round, ops: usize) {
    for id in state.records.replica.pipelines.cancelled_by_dependency() {
        if round.jobs.len() >= (ops / 2).max(1) {
            break;
        }
        let mine = |j: &JobRecord| state.records.replica.scheduler_of(j) == Some(&controller.identity.name);
        if !state.records.replica.jobs.get(&**id).is_some_and(|j| mine(&j.value)) {
            continue;
        }
        if let Some(record) = edit(round, &state.records.replica, id) {
            record.phase = Phase::Cancelled;
            record.compact_if_final();
            round.log.push(Event::Orphaned { job: id.to_string() });
        }
    }
}

/// Reconciles the owned workers with the records, as far as either has changed.
fn own_machines(
    controller: &Controller,
    state: &mut ControllerState,
    round: &mut Round,
    now: Instant,
    now_ms: u64,
) {
    let ControllerState { records, machines, peers, proofs, .. } = state;
    let (fresh_at, world, workers) = (records.fresh_at, &mut records.replica, &mut machines.workers);
    let Some(epoch) = world.current_map().map(|m| m.epoch) else { return };
    let changed: Vec<Name> = match world.take_changed_machines() {
        Some(touched) => touched.into_iter().collect(),
        None => {
            let kept = |id: &Name, w: &Worker| {
                world.owner_of(id) == Some(&controller.identity)
                    && !w.predates_ownership(world.owned_since_epoch(id))
            };
            workers.retain(|id, w| kept(id, w));
            world.owned_by(&controller.identity).cloned().collect()
        }
    };
    for id in changed {
        match world.machines.get(&id).filter(|_| world.owner_of(&id) == Some(&controller.identity)) {
            Some(record) => {
                let new = || Worker::new(record.value.addr.clone(), epoch, now);
                workers.entry(id).or_insert_with(new).request_reconciliation();
            }
            None => {
                workers.remove(&id);
            }
        }
    }
    let limits = controller.worker_limits(fresh_at);
    for (id, worker) in workers.iter_mut() {
        worker.enter_epoch(epoch);
        if !worker.is_reconciliation_due(now) {
            continue;
        }
        let plan = worker.reconcile(id, world, &limits, now);
        for (key, how) in plan.terminations {
            let Some(job) = world.jobs.get(&key.job) else { continue };
            let placer = world.scheduler_of(&job.value).unwrap_or_default();
            let since = worker.first_proven_at(&key, now);
            // One writer for each job: two owners that write the same record at
            // the same time only make each other's transactions fail.
            if placer == controller.identity.name {
                // Written with all that is known to have ended of its job.
                let machine = id.to_string();
                let proof = PendingProof { machine, reason: how, epoch, received_at: now, proven_at: since };
                proofs.insert(key, proof);
                continue;
            }
            let by_itself = now.saturating_duration_since(since) > FORWARDED_PROOF_TIMEOUT
                || peers.is_backing_off(placer, now)
                || !peers.statuses.contains_key(placer);
            if by_itself {
                end(round, world, &key, id, how, now_ms);
            } else if since == now {
                let proof = TerminationProof {
                    job: key.job,
                    task: key.task,
                    attempt: key.attempt,
                    machine: id.to_string(),
                    reason_code: how.code(),
                };
                round.proofs.entry(placer.to_owned()).or_default().push(proof);
            }
        }
        if let Some(until) = worker.spot_notice_until() {
            let left = until.saturating_duration_since(now);
            for (job, record, a) in world.assignments(id) {
                let stops = record.spec.as_ref().is_some_and(|s| spot_notice::stops(s, left));
                if stops
                    && record.should_run(a)
                    && let Some(record) = edit(round, world, job)
                    && spot_notice::mark(record, a.task)
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
        let urgent = plan.needs_token_acknowledgement
            || !plan.commands.is_empty() && (!only_clears || plan.commands.len() > 12);
        let due = only_clears && worker.is_cleanup_due(now);
        if (urgent || due)
            && worker.may_send_commands(now)
            && let Some(token) = worker.begin_commands(&plan.commands, now)
        {
            let session = worker.incarnation();
            let commands =
                Commands { fencing_token: token.get(), incarnation: session, commands: plan.commands };
            round.sends.push((id.clone(), worker.addr.clone(), commands));
        }
    }
}

/// Ends an assignment in its job's record, as this round has it.
fn end(
    round: &mut Round,
    world: &Replica,
    AssignmentId { job, task, attempt }: &AssignmentId,
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
fn handed(
    controller: &Controller,
    state: &mut ControllerState,
    round: &mut Round,
    now: Instant,
    now_ms: u64,
) {
    let Some(epoch) = state.cluster_map().map(|m| m.epoch) else { return };
    let ControllerState { records, proofs, .. } = state;
    let world = &records.replica;
    proofs.retain_valid(world, &controller.identity.name, epoch, now);
    let mut jobs: BTreeMap<&str, Vec<(&AssignmentId, &PendingProof)>> = BTreeMap::new();
    for (key, proof) in proofs.iter() {
        jobs.entry(&key.job).or_default().push((key, proof));
    }
    // A change tells of all that has ended of a job. Where changes are short, those
    // come first that complete a job, tell of much, or have waited long: by names
    // alone, some would wait while others are written for every single task.
    let mut order: Vec<(f64, Vec<(&AssignmentId, &PendingProof)>)> = jobs
        .into_iter()
        .filter_map(|(id, ends)| {
            let job = &world.jobs.get(id)?.value;
            let news = if round.jobs.contains_key(id) { f64::INFINITY } else { worth(job, &ends, now) };
            Some((news, ends))
        })
        .collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (key, proof) in order.into_iter().flat_map(|(_, ends)| ends) {
        end(round, world, key, &proof.machine, proof.reason, now_ms);
    }
}

/// How much a change is worth that tells of these ends of a job.
fn worth(job: &JobRecord, ends: &[(&AssignmentId, &PendingProof)], now: Instant) -> f64 {
    let done = ends.iter().filter(|(_, p)| p.reason == TerminationReason::Done).count() as u32;
    let tasks = job.spec.as_ref().map_or(0, |s| s.tasks);
    let gang = job.spec.as_ref().is_some_and(|s| s.kind == JobKind::Gang);
    let completes = done > 0 && (gang || job.done.len() + done >= tasks);
    let oldest =
        ends.iter().map(|(_, p)| now.saturating_duration_since(p.proven_at)).max().unwrap_or_default();
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
fn hand_over(controller: &Arc<Controller>, to: String, proofs: Vec<TerminationProof>) {
    let Some(epoch) = controller.state().cluster_map().map(|m| m.epoch) else { return };
    let controller = controller.clone();
    let tasks = controller.task_tracker.clone();
    tasks.spawn(async move {
        for some in proofs.chunks(PROOFS_AT_ONCE) {
            if !peer_client::forward_termination_proofs(&controller, &to, epoch, some.to_vec()).await {
                // Its jobs' ends are written here for a while.
                controller.state().peers.note_unreachable(to, clock::now());
                controller.wake_scheduler.notify_one();
                return;
            }
        }
    });
}

/// Keeps proofs that a peer has forwarded until they are written.
pub fn take_proofs(controller: &Controller, epoch: u64, proofs: Vec<TerminationProof>, now: Instant) {
    controller.state().proofs.insert_forwarded(epoch, proofs, now);
    controller.wake_scheduler.notify_one();
}

/// Ends assignments on machines without a record: a record goes only after the
/// cloud has confirmed the release, and nothing is launched without one.
fn drop_gone(controller: &Controller, state: &ControllerState, round: &mut Round, now_ms: u64) {
    for machine in &state.records.replica.machines_without_record {
        for (id, job, a) in state.records.replica.assignments(machine) {
            if state.records.replica.scheduler_of(job) != Some(&controller.identity.name) {
                continue;
            }
            // The rest has its turn in the next rounds: what ends in this one can
            // be placed in it, too.
            if round.jobs.len() >= round.most_ended && !round.jobs.contains_key(id) {
                continue;
            }
            if let Some(record) = edit(round, &state.records.replica, id) {
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
    state: &mut ControllerState,
    round: &mut Round,
    ops: usize,
    now: Instant,
    now_ms: u64,
) {
    let policy = &controller.operators.rescheduler;
    state.refresh_inventory(&controller.identity, controller.heartbeat_interval(), now);
    let evictions = rescheduler::scan(&state.records.replica, &state.scheduling.inventory, policy, now_ms);
    if evictions.is_empty() {
        return;
    }
    let mut budget = drains::EvictionBudget::of_round(controller, state, &evictions);
    for e in evictions {
        // With its team's record of what is down by choice.
        let changes = 1 + usize::from(budget.is_some());
        let taken = round.jobs.contains_key(&e.job) || round.held.contains(&e.job);
        if taken || round.puts() + changes > ops {
            continue;
        }
        if let Some(budget) = &mut budget {
            let Some(disruption) = budget.debit(&state.records.replica, &e, now_ms) else { continue };
            round.disruptions.insert(e.job.clone(), disruption);
        }
        let Some(record) = edit(round, &state.records.replica, &e.job) else { continue };
        rescheduler::evict(record, &e, policy, now_ms);
        round.log.push(Event::Evicted(e));
    }
}

/// Commits a round in one transaction, as far as the limits of one go.
pub(crate) async fn commit(controller: &Controller, round: Round) {
    let Assembled { conditions, puts, left_out, teams, disruptions, chunked } = {
        let mut state = controller.state();
        let most_jobs = if state.scheduling.writes_single_jobs(clock::now()) { 1 } else { usize::MAX };
        let assembled = assemble(&state.records.replica, &round, &controller.state_limits(), most_jobs);
        state.writes.limiter.acquire(assembled.puts.len() as f64, 0.0, clock::now());
        controller.load.spend(Purpose::Rounds, assembled.puts.len());
        assembled
    };
    if puts.is_empty() {
        return;
    }
    let limits = controller.limit_changes.get();
    let sent: Vec<String> = round.jobs.keys().filter(|id| !left_out.contains(*id)).cloned().collect();
    let result = controller.commit(conditions, puts).await;
    if let Some(id) = chunked {
        controller.state().scheduling.note_chunked_write(id, clock::now());
    }
    match result {
        Ok(TxnOutcome::Committed { revision }) => {
            log_events(round.log.iter().filter(|e| !left_out.contains(e.job())));
            // The next round need not wait until the news of this one arrives.
            let mut state = controller.state();
            for (id, record) in round.jobs {
                if !left_out.contains(&id) {
                    state.records.replica.apply(RecordChange::Job(id, Some(record)), revision);
                }
            }
            for (team, record) in teams {
                state.records.replica.apply(RecordChange::Team(team, Some(record)), revision);
            }
            for (team, record) in disruptions {
                state.records.replica.apply(RecordChange::Disruptions(team, Some(record)), revision);
            }
        }
        Ok(TxnOutcome::Conflict { failed, revision }) => {
            LoadCounters::add(&controller.load.conflicts, 1);
            debug!(?failed, puts = round.puts(), "a round met newer records");
            release(&round, controller);
            controller.wait_for_revision(revision, Duration::from_secs(2)).await;
        }
        Err(e) => {
            debug!(error = %e, "a round was not committed, as far as is known");
            release(&round, controller);
            controller.note_refusal(&e);
            if matches!(e, StoreError::Refused(400) | StoreError::ValueTooLarge(_))
                && controller.limit_changes.get() == limits
            {
                set_apart(controller, sent);
            }
            sleep(Duration::from_millis(200)).await;
        }
    }
    controller.wake_scheduler.notify_one();
}

/// The state service refuses a round for what it is, though it keeps the limits that
/// are known: its jobs have rounds of their own for a while, and the one that is
/// refused alone waits. None of the others is to wait with it.
fn set_apart(controller: &Controller, jobs: Vec<String>) {
    let mut state = controller.state();
    let now = clock::now();
    match <[String; 1]>::try_from(jobs) {
        Ok([job]) => {
            warn!(job, "its record is refused; it is left alone for a while");
            state.scheduling.hold_back(job, now);
        }
        Err(_) => state.scheduling.write_single_jobs(now),
    }
}

/// Sends commands to a worker and takes in the report that answers them.
fn send(controller: &Arc<Controller>, machine: Name, addr: String, commands: Commands) {
    let token = commands.fencing_token;
    let controller = controller.clone();
    let tasks = controller.task_tracker.clone();
    tasks.spawn(async move {
        debug!(machine = &*machine, token = commands.fencing_token, orders = ?commands.commands, "commands");
        let body = wire::encode(&commands);
        let deadline = Duration::from_millis(2500);
        let answer = controller
            .worker_http
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
        answered(&mut controller.state(), &machine, token, report, clock::now());
        controller.wake_scheduler.notify_one();
    });
}

/// Takes in what became of commands: the report that answers them, if any. An address may
/// have become another machine's, whose word says nothing of the one that was meant.
pub(crate) fn answered(
    state: &mut ControllerState,
    machine: &str,
    token: u64,
    report: Option<Heartbeat>,
    now: Instant,
) {
    let report = report.filter(|r| r.machine == machine);
    let Some(w) = state.machines.workers.get_mut(machine) else { return };
    let token = FencingToken::from(token);
    match report {
        Some(report) => {
            w.commands_answered(token);
            w.receive_response(report, now);
        }
        None => w.commands_failed(token, now),
    }
}

/// Notices when the process has stood still.
pub async fn heartbeat(controller: Arc<Controller>) {
    loop {
        controller.state().tick(clock::now());
        sleep(Duration::from_millis(250)).await;
    }
}
