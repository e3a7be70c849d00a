//! What users and workers ask.

use std::time::{Duration, Instant};

use net::{Reply, Request};
use sched::fleet;
use sched::placement::{fits_whole, gpu_loss};
use sched::records::*;
use sched::world::{Change, World};
use store::{Outcome, Put, StoreError, key};
use tokio::time::{sleep, timeout};
use tracing::{debug, info};
use wire::{Condition, JobKind, JobSpec, JobState, JobStatus, Redirect, Report, ReportAnswer};

use crate::clock;
use crate::controller::{Controller, wall_ms};
use crate::load::{Counts, Purpose, sample_names};
use crate::peers;
use crate::placer;
use crate::state::{Core, GivenToParts};
use crate::worker::{Worker, final_stops, first_token};

pub async fn serve(controller: Controller, request: Request) -> Reply {
    let path = request.path.split('?').next().unwrap_or_default();
    let post = request.method == "POST";
    let get = request.method == "GET";
    let wrong = || Reply::error(405, "method not allowed");
    match path {
        "/hello" if post => report(&controller, &request.body, false).await,
        "/healthz" if get => healthz(&controller),
        "/v1/jobs" if post => in_time(submit(&controller, &request.body)).await,
        "/hello" | "/healthz" | "/v1/jobs" => wrong(),
        _ => match path
            .strip_prefix("/v1/jobs/")
            .map(|rest| rest.split_once('/').map_or((rest, None), |(a, b)| (a, Some(b))))
        {
            Some((id, None)) if get => status(&controller, id).await,
            Some((id, Some("withdraw"))) if post => in_time(cancel(&controller, id)).await,
            Some((_, None | Some("withdraw"))) => wrong(),
            _ => Reply::error(404, "unknown path"),
        },
    }
}

/// How long a submission or a cancellation may take: users wait for 5 s.
const IN_TIME: Duration = Duration::from_millis(4500);

/// The answer, or that there is none yet. With checks, transactions and conflicts that
/// each take seconds, users were left without one. What is under way may still be carried
/// out, as after any 503, and is found when they ask again.
async fn in_time(answer: impl Future<Output = Reply>) -> Reply {
    timeout(IN_TIME, answer).await.unwrap_or_else(|_| Reply::busy("the state service takes too long", 1))
}

/// The kinds of connections that share the front's sockets: their names, and of
/// which kind a request is.
pub const SHARES: [&str; 2] = ["workers", "users"];

pub fn share_of(path: &str) -> usize {
    usize::from(path != "/hello")
}

fn healthz(controller: &Controller) -> Reply {
    let core = controller.core();
    if core.ready && !core.alone_without_state(clock::now()) {
        Reply { status: 200, body: wire::encode(&"ok"), retry_after: None }
    } else {
        Reply::busy("not ready", 1)
    }
}

/// Most jobs named that a waiting one still needs.
const NEEDS_SHOWN: usize = 20;

/// What the mirror knows of a job.
fn look(controller: &Controller, id: &str) -> Option<JobStatus> {
    let core = controller.core();
    let job = core.world.jobs.get(id).map(|j| &j.value)?;
    let state = core.world.state_of(id)?;
    let running = if job.phase == Phase::Active { job.run.len() as u32 } else { 0 };
    let is_done = |n: &Name| core.world.jobs.get(&**n).is_some_and(|j| j.value.phase == Phase::Done);
    let waits_for = if state.is_final() { &[][..] } else { &job.needs };
    let waits_for =
        waits_for.iter().filter(|n| !is_done(n)).take(NEEDS_SHOWN).map(|n| n.to_string()).collect();
    Some(JobStatus { id: id.to_owned(), state, done: job.done.len(), running, waits_for })
}

/// The job's state as an answer must have it: a final state as soon as it is
/// committed, anything else only after a check that the mirror is fresh.
async fn known(controller: &Controller, id: &str) -> Result<Option<JobStatus>, Reply> {
    if let Some(s) = look(controller, id).filter(|s| s.state.is_final()) {
        return Ok(Some(s));
    }
    let ready = controller.core().ready;
    if !ready || !controller.fresh().await {
        return Err(Reply::busy("the state service cannot be asked", 1));
    }
    if controller.core().world.unreadable.contains(id) {
        return Err(Reply::busy("the job's record cannot be read", 5));
    }
    Ok(look(controller, id))
}

async fn status(controller: &Controller, id: &str) -> Reply {
    if !wire::is_job_id(id) {
        return Reply::error(404, "no such job");
    }
    match known(controller, id).await {
        Ok(Some(s)) => Reply::new(200, &s),
        Ok(None) => Reply::error(404, "no such job"),
        Err(reply) => reply,
    }
}

/// How long a new job counts as given to a part before it is taken to be seen on the machines.
/// It is only a choice of who looks for a place; placement looks anew.
const GIVEN_FOR: Duration = Duration::from_millis(500);

/// The part that a new job goes to: the one with most room, if any holds it.
pub(crate) fn choose_part(controller: &Controller, spec: &JobSpec) -> Option<String> {
    let mut guard = controller.core();
    let core = &mut *guard;
    if placer::collected_for(&core.world, spec, wall_ms()) {
        return None;
    }
    let now = clock::now();
    let epoch = core.map()?.epoch;
    let recent = core.given.since.is_some_and(|t| now.saturating_duration_since(t) < GIVEN_FOR);
    if core.given.epoch != epoch || !recent {
        core.refresh_inventory(&controller.me, controller.report_every(), now);
        core.given = GivenToParts { since: Some(now), epoch, ..GivenToParts::default() };
    }
    let Core { world, inventory, given, .. } = core;
    let world: &World = world;
    let parts = world.map_record()?.live.iter().filter_map(|m| {
        let rooms = || inventory.alike_of(m.incarnation).filter(|(s, _)| gpu_loss(world, spec, s) == 0);
        let taken = given.cpus.get(&m.incarnation).copied().unwrap_or(0.0);
        let free = rooms().map(|(s, machines)| s.free().cpus * f64::from(machines)).sum::<f64>() - taken;
        fits_whole(spec, rooms()).then_some((free, m))
    });
    let (_, chosen) = parts.max_by(|a, b| a.0.total_cmp(&b.0))?;
    *given.cpus.entry(chosen.incarnation).or_default() += spec.cpus * f64::from(spec.tasks);
    Some(chosen.name.clone())
}

/// The refusal of a submission by what it says itself, or by the settings, which takes
/// no records: it is told whatever state this controller is in. But a job that was
/// accepted is never refused, whatever else a repetition of its submission says, so the
/// records are asked first, if they can be.
async fn refuse(controller: &Controller, id: Option<&str>, status: u16, why: &str) -> Reply {
    let refused = Reply::error(status, why);
    let Some(id) = id else { return refused };
    let listed = || look(controller, id).is_some() || controller.core().world.unreadable.contains(id);
    match known(controller, id).await {
        Ok(Some(s)) => Reply::new(200, &s),
        Ok(None) => refused,
        Err(reply) if listed() => reply,
        Err(_) => refused,
    }
}

/// Why a job can never run, as far as the settings and its own words tell.
fn never_runs(controller: &Controller, spec: &JobSpec, needs: &[Name]) -> Option<&'static str> {
    let Some(team) = controller.team(&spec.team) else { return Some("unknown team") };
    if !fleet::within_limit(spec, team) {
        return Some("beyond the team's limit");
    }
    needs.iter().any(|n| **n == *spec.id).then_some("awaits: the job itself")
}

/// Why a job can never run by the records; Err if that cannot be told now.
fn refusal(controller: &Controller, spec: &JobSpec, needs: &[Name]) -> Result<Option<&'static str>, Reply> {
    let core = controller.core();
    if core.world.types.is_empty() {
        return Err(Reply::busy("the machine types are not known yet", 1));
    }
    if !fleet::possible(spec, &core.world.types) {
        return Ok(Some("no allowed machine type can hold a task"));
    }
    for need in needs {
        if core.world.unreadable.contains(&**need) {
            return Err(Reply::busy("the record of a job that it awaits cannot be read", 5));
        }
        let Some(job) = core.world.jobs.get(&**need) else {
            return Ok(Some("awaits: a job that was never accepted"));
        };
        if job.value.spec.as_ref().is_some_and(|s| s.kind == JobKind::Service) {
            return Ok(Some("awaits: a service is never done"));
        }
    }
    // Only asked once all controllers have this version. An old one cannot read the
    // record of a job that waits, and would have no answer for its user.
    if !needs.is_empty() && core.old_is_live() {
        return Err(Reply::busy("a controller of an older version is live", 5));
    }
    Ok(None)
}

/// The record of a new job, by what has become of those that it needs.
pub(crate) fn new_record(
    controller: &Controller,
    spec: JobSpec,
    part: Option<String>,
    needs: Vec<Name>,
) -> JobRecord {
    let core = controller.core();
    let now_ms = wall_ms();
    let phase = |n: &Name| core.world.jobs.get(&**n).map(|j| j.value.phase);
    let cancelled = |n: &Name| phase(n) == Some(Phase::Cancelled) || core.world.pipelines.is_doomed(n);
    if needs.iter().any(cancelled) {
        let mut record = JobRecord::new(spec, None, now_ms);
        record.phase = Phase::Cancelled;
        record.shrink();
        return record;
    }
    // What is done is final, and was done before.
    let unmet: Vec<Name> = needs.into_iter().filter(|n| phase(n) != Some(Phase::Done)).collect();
    match unmet.is_empty() {
        true => JobRecord::new(spec, part, now_ms),
        false => JobRecord::waiting(spec, part, now_ms, unmet),
    }
}

/// How old the view may be by which it is told what became of a job's needs.
const NEEDS_FRESH: Duration = Duration::from_millis(1500);

async fn submit(controller: &Controller, body: &[u8]) -> Reply {
    let mut spec = match JobSpec::read(body) {
        Ok(spec) => spec,
        Err(bad) => return refuse(controller, bad.id.as_deref(), 400, &bad.why).await,
    };
    let mut needs: Vec<Name> =
        spec.needs.take().unwrap_or_default().iter().map(|n| n.as_str().into()).collect();
    needs.sort_unstable();
    needs.dedup();
    let described = if needs.is_empty() { body.len() } else { wire::encode(&spec).len() };
    let id = spec.id.clone();
    if look(controller, &id).is_some() || controller.core().world.unreadable.contains(&id) {
        return match known(controller, &id).await {
            Ok(Some(s)) => Reply::new(200, &s),
            Ok(None) => Reply::busy("try again", 1),
            Err(reply) => reply,
        };
    }
    if let Some(why) = never_runs(controller, &spec, &needs) {
        return refuse(controller, Some(&id), 422, why).await;
    }
    if !controller.core().ready {
        return Reply::busy("not ready", 1);
    }
    if described > controller.describe_bytes() {
        // It may have been accepted when the limits were larger.
        return match known(controller, &id).await {
            Ok(Some(s)) => Reply::new(200, &s),
            Ok(None) => Reply::error(400, "the description is too long to be kept"),
            Err(reply) => reply,
        };
    }
    // What became of its needs must not be told by an old view: a job whose user was
    // told long ago that one before it is cancelled would be called queued.
    let fresh =
        |controller: &Controller| controller.core().fresh_at.is_some_and(|f| clock::since(f) < NEEDS_FRESH);
    if !needs.is_empty() && !fresh(controller) && !controller.fresh().await {
        return Reply::busy("the state service cannot be asked", 1);
    }
    match refusal(controller, &spec, &needs) {
        Ok(None) => {}
        Err(reply) => return reply,
        Ok(Some(_)) => {
            // A job that was accepted must never be refused, nor for the sake of one that
            // was: look again, freshly.
            match known(controller, &id).await {
                Ok(Some(s)) => return Reply::new(200, &s),
                Ok(None) => {}
                Err(reply) => return reply,
            }
            match refusal(controller, &spec, &needs) {
                Ok(None) => {}
                Ok(Some(why)) => return Reply::error(422, why),
                Err(reply) => return reply,
            }
        }
    }
    let part = choose_part(controller, &spec);
    let (class, tasks) = (spec.class.clone(), spec.tasks);
    let record = new_record(controller, spec, part, needs);
    controller.write_for_user();
    let conditions = vec![Condition { key: key::job(&id), version: 0 }];
    match controller.commit(conditions, vec![Put::new(key::job(&id), &record)]).await {
        Ok(Outcome::Committed { revision }) => {
            debug!(job = id, part = record.part, class, tasks, needs = record.needs.len(), "accepted");
            controller.core().world.apply(Change::Job(id.clone(), Some(Box::new(record))), revision);
            controller.kick.notify_one();
            let queued = JobStatus {
                id: id.clone(),
                state: JobState::Queued,
                done: 0,
                running: 0,
                waits_for: Vec::new(),
            };
            Reply::new(201, &look(controller, &id).filter(|s| s.state.is_final()).unwrap_or(queued))
        }
        Ok(Outcome::Conflict { revision, .. }) => {
            controller.reach(revision, Duration::from_secs(1)).await;
            match known(controller, &id).await {
                Ok(Some(s)) => Reply::new(200, &s),
                Ok(None) => Reply::busy("try again", 1),
                Err(reply) => reply,
            }
        }
        Err(e) => not_written(controller, &e),
    }
}

fn not_written(controller: &Controller, e: &StoreError) -> Reply {
    controller.note_refusal(e);
    debug!(error = %e, "not written");
    Reply::busy("the state service did not take it", 1)
}

async fn cancel(controller: &Controller, id: &str) -> Reply {
    if !wire::is_job_id(id) {
        return Reply::error(404, "no such job");
    }
    for _ in 0..4 {
        match look(controller, id) {
            Some(s) if s.state.is_final() => return Reply::new(200, &s),
            Some(_) => {}
            None => match known(controller, id).await {
                Ok(Some(_)) => {}
                Ok(None) => return Reply::error(404, "no such job"),
                Err(reply) => return reply,
            },
        }
        controller.write_for_user();
        let Some((mut record, version)) =
            controller.core().world.jobs.get(id).map(|j| (j.value.clone(), j.version))
        else {
            continue;
        };
        if !matches!(record.phase, Phase::Active | Phase::Waiting) {
            continue;
        }
        record.phase = Phase::Cancelled;
        record.shrink();
        let conditions = vec![Condition { key: key::job(id), version }];
        match controller.commit(conditions, vec![Put::new(key::job(id), &record)]).await {
            Ok(Outcome::Committed { revision }) => {
                debug!(job = id, "cancelled");
                let done = record.done.len();
                // All that need it are cancelled with it from now on.
                controller.core().world.apply(Change::Job(id.to_owned(), Some(record)), revision);
                controller.kick.notify_one();
                return Reply::new(
                    200,
                    &JobStatus {
                        id: id.to_owned(),
                        state: JobState::Cancelled,
                        done,
                        running: 0,
                        waits_for: Vec::new(),
                    },
                );
            }
            Ok(Outcome::Conflict { revision, .. }) => {
                controller.reach(revision, Duration::from_secs(1)).await;
            }
            Err(e) => return not_written(controller, &e),
        }
    }
    Reply::busy("the job is changing; try again", 1)
}

fn elsewhere(report_to: Option<String>) -> Reply {
    Reply::new(421, &Redirect { report_to })
}

/// What becomes of a report.
pub(crate) enum Disposal {
    Answer(Reply),
    /// The machine's owner cannot reach it, perhaps: pass the report on.
    Relay(String),
    /// No record of the machine yet.
    Adopt(u64),
}

/// A worker's report, straight from it or passed on by a peer.
pub async fn report(controller: &Controller, body: &[u8], relayed: bool) -> Reply {
    let report: Report = match wire::decode(body) {
        Ok(r) => r,
        Err(e) => return Reply::error(400, &e.to_string()),
    };
    if !report.is_named() {
        return Reply::error(400, "frame: not a machine's name");
    }
    Counts::add(&controller.counts.reports, 1);
    match take_report(controller, &report, relayed, clock::now()) {
        Disposal::Answer(reply) => {
            Counts::add(&controller.counts.turned_away, u64::from(reply.status != 200));
            reply
        }
        Disposal::Relay(owner) => {
            peers::relay(controller, &owner, body.to_vec()).await.unwrap_or_else(|| elsewhere(None))
        }
        Disposal::Adopt(epoch) => {
            // Nobody knows this machine yet: it is recorded before anything is launched.
            arrived(controller, &report);
            Reply::new(200, &ReportAnswer { token: first_token(epoch), commands: Vec::new() })
        }
    }
}

/// How long a worker's reports are passed on before it is sent to its machine's owner
/// once more. Passed on without end, hundreds of workers kept reporting to controllers
/// in other zones after an upgrade, and a cut between the zones cost their leases. While
/// a controller is cut off from its workers, being sent there costs each of them the
/// better part of a lease: this is longer than such cuts mostly last.
const RELAY_FOR: Duration = Duration::from_secs(60);

/// So many more machines than there are records of may be remembered as sent on, before
/// those are forgotten that were sent long ago.
const MISDIRECTED_SPARE: usize = 1024;

pub(crate) fn take_report(controller: &Controller, report: &Report, relayed: bool, now: Instant) -> Disposal {
    let machine = &report.machine;
    let mut guard = controller.core();
    let core = &mut *guard;
    let Some(map) = core.world.map_record() else { return Disposal::Answer(elsewhere(None)) };
    let known = core.world.owner_of(machine);
    let Some(owner) = known.or_else(|| map.owner(machine, &report.zone)).cloned() else {
        return Disposal::Answer(elsewhere(None));
    };
    let epoch = map.epoch;
    // Only the owner can renew the lease of a worker that has to stop something: the
    // answers of others have no commands.
    let must_stop = |core: &Core| !final_stops(&report.tasks, &core.world).is_empty();
    if owner != controller.me {
        if relayed || owner.name == controller.me.name {
            return Disposal::Answer(elsewhere(None));
        }
        // The worker has seen nobody of this epoch yet: after a crash of several
        // controllers its lease may be about to end. Any live controller renews
        // it once, with the epoch's first token; the next report is sent on.
        let token = first_token(epoch);
        if report.token < token && controller.may_renew(core, now) && !must_stop(core) {
            return Disposal::Answer(Reply::new(200, &ReportAnswer { token, commands: Vec::new() }));
        }
        if core.misdirected.len() > core.world.machines.len() + MISDIRECTED_SPARE {
            core.misdirected.retain(|_, sent| now.saturating_duration_since(*sent) < RELAY_FOR);
        }
        let sent = core.misdirected.get(machine);
        if sent.is_some_and(|t| now.saturating_duration_since(*t) < RELAY_FOR) {
            // It was sent to its owner just now and came back.
            return Disposal::Relay(owner.name);
        }
        core.misdirected.insert(machine.clone(), now);
        return Disposal::Answer(elsewhere(Some(owner.name)));
    }
    if !controller.may_renew(core, now) {
        return Disposal::Answer(elsewhere(None));
    }
    if !core.world.machines.contains_key(machine.as_str()) {
        return if must_stop(core) { Disposal::Answer(elsewhere(None)) } else { Disposal::Adopt(epoch) };
    }
    let limits = controller.worker_limits(core.fresh_at);
    let owned_since = core.world.owned_since(machine);
    if core.workers.get(machine.as_str()).is_some_and(|w| w.lapsed(owned_since)) {
        core.workers.remove(machine.as_str());
    }
    let worker = core
        .workers
        .entry(machine.as_str().into())
        .or_insert_with(|| Worker::new(report.addr.clone(), epoch, now));
    worker.enter_epoch(epoch);
    if worker.overtaken_by(report) {
        return Disposal::Answer(elsewhere(None));
    }
    let news = worker.ingest(report.clone(), true, now);
    // A copy of an older report gets nothing new to do; it may still be the one that
    // the worker waits to have answered.
    worker.renew(now);
    let commands = match news {
        true => worker.answer(machine, &core.world, &limits, now),
        false => worker.final_stops(&core.world),
    };
    let answer = ReportAnswer { token: worker.token(), commands };
    if worker.due(now) {
        controller.kick.notify_one();
    }
    Disposal::Answer(Reply::new(200, &answer))
}

fn arrived(controller: &Controller, report: &Report) {
    let record = MachineRecord {
        addr: report.addr.clone(),
        machine_type: report.machine_type.as_str().into(),
        zone: report.zone.as_str().into(),
        spot: report.spot,
        release: false,
    };
    controller.core().arrivals.insert(report.machine.as_str().into(), record);
    controller.arrival.notify_one();
}

/// Records machines that have reported for the first time, many at once. Each
/// is asked itself first: a late copy of a report must not bring back a machine
/// that was returned.
pub async fn arrivals(controller: Controller) {
    loop {
        controller.arrival.notified().await;
        sleep(Duration::from_millis(150)).await;
        loop {
            let list: Vec<(Name, MachineRecord)> = {
                let mut core = controller.core();
                let Core { arrivals, world, .. } = &mut *core;
                arrivals.retain(|id, _| !world.machines.contains_key(id));
                let ops = controller.plan().txn_ops;
                let some: Vec<Name> = arrivals.keys().take(ops).cloned().collect();
                some.into_iter().filter_map(|id| arrivals.remove_entry(&id)).collect()
            };
            if list.is_empty() {
                break;
            }
            let asked: Vec<_> = list
                .into_iter()
                .map(|(id, record)| {
                    let controller = controller.clone();
                    let tasks = controller.tasks.clone();
                    tasks.spawn(
                        async move { answers(&controller, &id, &record).await.then_some((id, record)) },
                    )
                })
                .collect();
            let mut there = Vec::new();
            for a in asked {
                there.extend(a.await.ok().flatten());
            }
            record_machines(&controller, there).await;
        }
    }
}

async fn answers(controller: &Controller, machine: &str, record: &MachineRecord) -> bool {
    let deadline = Duration::from_millis(1500);
    let answer = controller
        .workers_http
        .request(&record.addr, "GET", "/status", Vec::new(), wire::BODY_LIMIT * 4, deadline)
        .await;
    answer.is_ok_and(|a| wire::decode::<Report>(&a.body).is_ok_and(|r| r.machine == machine))
}

async fn record_machines(controller: &Controller, list: Vec<(Name, MachineRecord)>) {
    if list.is_empty() {
        return;
    }
    controller.may_write(list.len(), 0.0).await;
    controller.counts.spend(Purpose::Machines, list.len());
    let conditions = list.iter().map(|(id, _)| Condition { key: key::machine(id), version: 0 }).collect();
    let puts = list.iter().map(|(id, r)| Put::new(key::machine(id), r)).collect();
    match controller.commit(conditions, puts).await {
        Ok(Outcome::Committed { revision }) => {
            let mut core = controller.core();
            let names: Vec<&Name> = list.iter().map(|(id, _)| id).collect();
            info!(count = names.len(), machines = sample_names(&names), "machines are up");
            for (id, record) in list {
                debug!(
                    machine = &*id,
                    zone = &*record.zone,
                    kind = &*record.machine_type,
                    spot = record.spot,
                    "machine is up"
                );
                core.world.apply(Change::Machine(id.to_string(), Some(record)), revision);
            }
            controller.kick.notify_one();
            controller.summary_due.notify_one();
        }
        Ok(Outcome::Conflict { revision, .. }) => {
            controller.reach(revision, Duration::from_secs(1)).await;
        }
        Err(e) => {
            debug!(error = %e, "machines were not recorded");
            controller.note_refusal(&e);
            if matches!(e, StoreError::Rate) {
                // Not waited for until they report again.
                controller.core().arrivals.extend(list);
            }
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/api.rs"]
mod tests;
