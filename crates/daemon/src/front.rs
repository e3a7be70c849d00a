//! What users and workers ask.

use std::time::{Duration, Instant};

use net::{Reply, Request};
use sched::fleet;
use sched::placement::{Board, Slot, fits_whole, gpu_loss};
use sched::records::*;
use store::{Outcome, Put, StoreError, key};
use tracing::{debug, info};
use wire::{Condition, JobSpec, JobState, JobStatus, Redirect, Report, ReportAnswer};

use crate::gossip;
use crate::node::{Node, wall_ms};
use crate::worker::{Limits, Worker, first_token};

pub async fn serve(node: Node, request: Request) -> Reply {
    let path = request.path.split('?').next().unwrap_or_default();
    let post = request.method == "POST";
    let get = request.method == "GET";
    let wrong = || Reply::error(405, "method not allowed");
    match path {
        "/hello" if post => report(&node, &request.body, false).await,
        "/healthz" if get => healthz(&node),
        "/v1/jobs" if post => submit(&node, &request.body).await,
        "/hello" | "/healthz" | "/v1/jobs" => wrong(),
        _ => match path
            .strip_prefix("/v1/jobs/")
            .map(|rest| rest.split_once('/').map_or((rest, None), |(a, b)| (a, Some(b))))
        {
            Some((id, None)) if get => status(&node, id).await,
            Some((id, Some("withdraw"))) if post => cancel(&node, id).await,
            Some((_, None | Some("withdraw"))) => wrong(),
            _ => Reply::error(404, "unknown path"),
        },
    }
}

fn healthz(node: &Node) -> Reply {
    let core = node.core();
    if core.ready && !core.alone_without_state(Instant::now()) {
        Reply { status: 200, body: wire::encode(&"ok"), retry_after: None }
    } else {
        Reply::busy("not ready", 1)
    }
}

fn show(id: &str, job: &JobRecord) -> JobStatus {
    let running = if job.phase == Phase::Active { job.run.len() as u32 } else { 0 };
    JobStatus { id: id.to_owned(), state: job.state(), done: job.done.len(), running }
}

/// What the mirror knows of a job.
fn look(node: &Node, id: &str) -> Option<JobStatus> {
    let core = node.core();
    core.world.jobs.get(id).map(|j| show(id, &j.value))
}

/// The job's state as an answer must have it: a final state as soon as it is
/// committed, anything else only after a check that the mirror is fresh.
async fn known(node: &Node, id: &str) -> Result<Option<JobStatus>, Reply> {
    if let Some(s) = look(node, id).filter(|s| s.state.is_final()) {
        return Ok(Some(s));
    }
    let ready = node.core().ready;
    if !ready || !node.fresh().await {
        return Err(Reply::busy("the state service cannot be asked", 1));
    }
    Ok(look(node, id))
}

async fn status(node: &Node, id: &str) -> Reply {
    if !wire::is_job_id(id) {
        return Reply::error(404, "no such job");
    }
    match known(node, id).await {
        Ok(Some(s)) => Reply::new(200, &s),
        Ok(None) => Reply::error(404, "no such job"),
        Err(reply) => reply,
    }
}

/// The part that a new job goes to: the one with most room, if any holds it.
fn choose_part(node: &Node, spec: &JobSpec) -> Option<String> {
    let core = node.core();
    let map = core.map()?;
    let (now, report) = (Instant::now(), node.report_every());
    let board = Board::new(&core.world, map, |m| core.usable(m, &node.me, report, now));
    let parts = map.live.iter().filter_map(|m| {
        let whole = |s: &&Slot| s.owner == m.name && gpu_loss(&core.world, spec, s) == 0;
        let rooms: Vec<_> = board.slots.iter().filter(whole).cloned().collect();
        let room: f64 = rooms.iter().map(|s| s.free().cpus).sum();
        fits_whole(spec, &rooms).then_some((room, m))
    });
    parts.max_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, m)| m.name.clone())
}

async fn submit(node: &Node, body: &[u8]) -> Reply {
    let spec: JobSpec = match wire::decode(body) {
        Ok(spec) => spec,
        Err(e) => return Reply::error(400, &e.to_string()),
    };
    if let Some(field) = spec.invalid_field() {
        return Reply::error(400, &format!("invalid field: {field}"));
    }
    if body.len() as f64 > node.value_bytes() * 0.3 {
        return Reply::error(400, "the description is too long to be kept");
    }
    let id = spec.id.clone();
    if look(node, &id).is_some() {
        return match known(node, &id).await {
            Ok(Some(s)) => Reply::new(200, &s),
            Ok(None) => Reply::busy("try again", 1),
            Err(reply) => reply,
        };
    }
    if !node.core().ready {
        return Reply::busy("not ready", 1);
    }
    let refusal = {
        let core = node.core();
        match node.team(&spec.team) {
            None => Some("unknown team"),
            Some(_) if core.world.types.is_empty() => {
                return Reply::busy("the machine types are not known yet", 1);
            }
            Some(_) if !fleet::possible(&spec, &core.world.types) => {
                Some("no allowed machine type can hold a task")
            }
            Some(team) if !fleet::within_limit(&spec, team) => Some("beyond the team's limit"),
            Some(_) => None,
        }
    };
    if let Some(why) = refusal {
        // A job that was accepted must never be refused: look again, freshly.
        return match known(node, &id).await {
            Ok(Some(s)) => Reply::new(200, &s),
            Ok(None) => Reply::error(422, why),
            Err(reply) => reply,
        };
    }
    let part = choose_part(node, &spec);
    let (class, tasks) = (spec.class.clone(), spec.tasks);
    let record = JobRecord::new(spec, part, wall_ms());
    let put = Put::new(key::job(&id), &record);
    if !node.may_write_now().await {
        return Reply::busy("too much is being written", 2);
    }
    let conditions = vec![Condition { key: key::job(&id), version: 0 }];
    match node.state.txn(conditions, vec![put]).await {
        Ok(Outcome::Committed { .. }) => {
            debug!(job = id, part = record.part, class, tasks, "accepted");
            Reply::new(201, &JobStatus { id, state: JobState::Queued, done: 0, running: 0 })
        }
        Ok(Outcome::Conflict { revision, .. }) => {
            node.reach(revision, Duration::from_secs(1)).await;
            match known(node, &id).await {
                Ok(Some(s)) => Reply::new(200, &s),
                Ok(None) => Reply::busy("try again", 1),
                Err(reply) => reply,
            }
        }
        Err(e) => not_written(node, &e),
    }
}

fn not_written(node: &Node, e: &StoreError) -> Reply {
    if matches!(e, StoreError::Rate) {
        node.core().writes.drained(Instant::now());
    }
    debug!(error = %e, "not written");
    Reply::busy("the state service did not take it", 1)
}

async fn cancel(node: &Node, id: &str) -> Reply {
    if !wire::is_job_id(id) {
        return Reply::error(404, "no such job");
    }
    for _ in 0..4 {
        match look(node, id) {
            Some(s) if s.state.is_final() => return Reply::new(200, &s),
            Some(_) => {}
            None => match known(node, id).await {
                Ok(Some(_)) => {}
                Ok(None) => return Reply::error(404, "no such job"),
                Err(reply) => return reply,
            },
        }
        if !node.may_write_now().await {
            return Reply::busy("too much is being written", 2);
        }
        let Some((mut record, version)) =
            node.core().world.jobs.get(id).map(|j| (j.value.clone(), j.version))
        else {
            continue;
        };
        if record.phase != Phase::Active {
            continue;
        }
        record.phase = Phase::Cancelled;
        record.shrink();
        let conditions = vec![Condition { key: key::job(id), version }];
        match node.state.txn(conditions, vec![Put::new(key::job(id), &record)]).await {
            Ok(Outcome::Committed { .. }) => {
                debug!(job = id, "cancelled");
                let done = record.done.len();
                return Reply::new(
                    200,
                    &JobStatus { id: id.to_owned(), state: JobState::Cancelled, done, running: 0 },
                );
            }
            Ok(Outcome::Conflict { revision, .. }) => {
                node.reach(revision, Duration::from_secs(1)).await;
            }
            Err(e) => return not_written(node, &e),
        }
    }
    Reply::busy("the job is changing; try again", 1)
}

fn elsewhere(report_to: Option<String>) -> Reply {
    Reply::new(421, &Redirect { report_to })
}

/// What becomes of a report.
enum Disposal {
    Answer(Reply),
    /// The machine's owner cannot reach it, perhaps: pass the report on.
    Relay(String),
    /// No record of the machine yet.
    Adopt(u64),
}

/// A worker's report, straight from it or passed on by a peer.
pub async fn report(node: &Node, body: &[u8], relayed: bool) -> Reply {
    let report: Report = match wire::decode(body) {
        Ok(r) => r,
        Err(e) => return Reply::error(400, &e.to_string()),
    };
    match take_report(node, &report, relayed) {
        Disposal::Answer(reply) => reply,
        Disposal::Relay(owner) => {
            gossip::relay(node, &owner, body.to_vec()).await.unwrap_or_else(|| elsewhere(None))
        }
        Disposal::Adopt(epoch) => {
            // Nobody knows this machine yet: record it before anything is launched.
            adopt_machine(node, &report).await;
            Reply::new(200, &ReportAnswer { token: first_token(epoch), commands: Vec::new() })
        }
    }
}

fn take_report(node: &Node, report: &Report, relayed: bool) -> Disposal {
    let now = Instant::now();
    let machine = &report.machine;
    let mut guard = node.core();
    let core = &mut *guard;
    let Some(map) = core.world.map_record() else { return Disposal::Answer(elsewhere(None)) };
    let Some(owner) = map.owner(machine, &report.zone).cloned() else {
        return Disposal::Answer(elsewhere(None));
    };
    let epoch = map.epoch;
    if owner != node.me {
        if relayed || owner.name == node.me.name {
            return Disposal::Answer(elsewhere(None));
        }
        // The worker has seen nobody of this epoch yet: after a crash of several
        // controllers its lease may be about to end. Any live controller renews
        // it once, with the epoch's first token; the next report is sent on.
        let bound = node.settings.renewal_bound();
        let token = first_token(epoch);
        if report.token < token && core.may_renew(&node.me, node.settings.peers.len(), bound, now) {
            return Disposal::Answer(Reply::new(200, &ReportAnswer { token, commands: Vec::new() }));
        }
        if core.misdirected.len() > 4096 {
            core.misdirected.clear();
        }
        let before = core.misdirected.insert(machine.clone(), now);
        let again = before.is_some_and(|t| now.saturating_duration_since(t) < Duration::from_secs(8));
        // It has been sent to its owner before and came back.
        return if again {
            Disposal::Relay(owner.name)
        } else {
            Disposal::Answer(elsewhere(Some(owner.name)))
        };
    }
    let bound = node.settings.renewal_bound();
    if !core.may_renew(&node.me, node.settings.peers.len(), bound, now) {
        return Disposal::Answer(elsewhere(None));
    }
    if !core.world.machines.contains_key(machine) {
        return Disposal::Adopt(epoch);
    }
    let worker =
        core.workers.entry(machine.clone()).or_insert_with(|| Worker::new(report.addr.clone(), epoch, now));
    worker.enter_epoch(epoch);
    if worker.overtaken_by(report) {
        return Disposal::Answer(elsewhere(None));
    }
    worker.ingest(report.clone(), true, now);
    worker.renewed = Some(now);
    let gang_peer = Duration::from_secs_f64(node.settings.facts.workers.gang_peer_s);
    let limits = Limits { gang_peer, fresh_at: core.fresh_at };
    let commands = worker.answer(machine, &core.world, &limits, now);
    let answer = ReportAnswer { token: worker.token(), commands };
    node.kick.notify_one();
    Disposal::Answer(Reply::new(200, &answer))
}

async fn adopt_machine(node: &Node, report: &Report) {
    let record = MachineRecord {
        addr: report.addr.clone(),
        machine_type: report.machine_type.clone(),
        zone: report.zone.clone(),
        spot: report.spot,
        release: false,
    };
    let k = key::machine(&report.machine);
    node.may_write(1, 0.0).await;
    let conditions = vec![Condition { key: k.clone(), version: 0 }];
    if let Ok(Outcome::Committed { .. }) = node.state.txn(conditions, vec![Put::new(k, &record)]).await {
        info!(
            machine = report.machine,
            zone = record.zone,
            kind = record.machine_type,
            spot = record.spot,
            "machine is up"
        );
        node.gossip.notify_one();
    }
}
