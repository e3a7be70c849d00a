//! What users and workers ask.

pub(crate) mod reports;

use std::sync::Arc;
use std::time::Duration;

use net::{Reply, Request};
use sched::autoscaling;
use sched::placement::{fits_entire_job, gpu_slots_lost};
use sched::records::*;
use sched::replica::{RecordChange, Replica};
use store::{KeyWrite, StoreError, TxnOutcome, key};
use tokio::time::timeout;
use tracing::debug;
use wire::{Condition, JobKind, JobSpec, JobState, JobStatus};

use crate::clock;
use crate::controller::{Controller, wall_ms};
use crate::scheduler;
use crate::state::{ControllerState, RecentAssignments, SchedulingState};
pub(crate) use reports::{arrivals, report};

pub async fn serve(controller: Arc<Controller>, request: Request) -> Reply {
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
    let state = controller.state();
    if state.records.is_loaded && !state.alone_lost_store(clock::now()) {
        Reply { status: 200, body: wire::encode(&"ok"), retry_after: None }
    } else {
        Reply::busy("not ready", 1)
    }
}

/// Most jobs named that a waiting one still needs.
const NEEDS_SHOWN: usize = 20;

/// What the mirror knows of a job.
fn look(controller: &Controller, id: &str) -> Option<JobStatus> {
    let state = controller.state();
    let job = state.records.replica.jobs.get(id).map(|j| &j.value)?;
    let job_state = state.records.replica.state_of(id)?;
    let running = if job.phase == Phase::Active { job.assignments.len() as u32 } else { 0 };
    let is_done =
        |n: &Name| state.records.replica.jobs.get(&**n).is_some_and(|j| j.value.phase == Phase::Done);
    let waits_for = if job_state.is_final() { &[][..] } else { &job.dependencies };
    let waits_for =
        waits_for.iter().filter(|n| !is_done(n)).take(NEEDS_SHOWN).map(|n| n.to_string()).collect();
    Some(JobStatus { id: id.to_owned(), state: job_state, done: job.done.len(), running, waits_for })
}

/// The job's state as an answer must have it: a final state as soon as it is
/// committed, anything else only after a check that the mirror is fresh.
async fn known(controller: &Controller, id: &str) -> Result<Option<JobStatus>, Reply> {
    if let Some(s) = look(controller, id).filter(|s| s.state.is_final()) {
        return Ok(Some(s));
    }
    let ready = controller.state().records.is_loaded;
    if !ready || !controller.read_barrier.wait().await {
        return Err(Reply::busy("the state service cannot be asked", 1));
    }
    if controller.state().records.replica.unreadable.contains(id) {
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
    let mut guard = controller.state();
    let state = &mut *guard;
    if scheduler::capacity_is_collected_for(&state.records.replica, spec, wall_ms()) {
        return None;
    }
    let now = clock::now();
    let epoch = state.cluster_map()?.epoch;
    let recent = state
        .scheduling
        .recent_assignments
        .since
        .is_some_and(|t| now.saturating_duration_since(t) < GIVEN_FOR);
    if state.scheduling.recent_assignments.epoch != epoch || !recent {
        state.refresh_inventory(&controller.identity, controller.heartbeat_interval(), now);
        state.scheduling.recent_assignments =
            RecentAssignments { since: Some(now), epoch, ..RecentAssignments::default() };
    }
    let ControllerState { records, scheduling, .. } = state;
    let SchedulingState { inventory, recent_assignments: given, .. } = scheduling;
    let world: &Replica = &records.replica;
    let parts = world.current_map()?.live.iter().filter_map(|m| {
        let rooms = || inventory.alike_of(m.incarnation).filter(|(s, _)| gpu_slots_lost(world, spec, s) == 0);
        let taken = given.cpus.get(&m.incarnation).copied().unwrap_or(0.0);
        let free = rooms().map(|(s, machines)| s.free().cpus * f64::from(machines)).sum::<f64>() - taken;
        fits_entire_job(spec, rooms()).then_some((free, m))
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
    let listed =
        || look(controller, id).is_some() || controller.state().records.replica.unreadable.contains(id);
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
    if !autoscaling::within_quota(spec, team) {
        return Some("beyond the team's limit");
    }
    needs.iter().any(|n| **n == *spec.id).then_some("awaits: the job itself")
}

/// Why a job can never run by the records; Err if that cannot be told now.
fn refusal(controller: &Controller, spec: &JobSpec, needs: &[Name]) -> Result<Option<&'static str>, Reply> {
    let state = controller.state();
    if state.records.replica.machine_types.is_empty() {
        return Err(Reply::busy("the machine types are not known yet", 1));
    }
    if !autoscaling::fits_some_machine_type(spec, &state.records.replica.machine_types) {
        return Ok(Some("no allowed machine type can hold a task"));
    }
    for need in needs {
        if state.records.replica.unreadable.contains(&**need) {
            return Err(Reply::busy("the record of a job that it awaits cannot be read", 5));
        }
        let Some(job) = state.records.replica.jobs.get(&**need) else {
            return Ok(Some("awaits: a job that was never accepted"));
        };
        if job.value.spec.as_ref().is_some_and(|s| s.kind == JobKind::Service) {
            return Ok(Some("awaits: a service is never done"));
        }
    }
    // Only asked once all controllers have this version. An old one cannot read the
    // record of a job that waits, and would have no answer for its user.
    if !needs.is_empty() && state.old_version_is_live() {
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
    let state = controller.state();
    let now_ms = wall_ms();
    let phase = |n: &Name| state.records.replica.jobs.get(&**n).map(|j| j.value.phase);
    let cancelled = |n: &Name| {
        phase(n) == Some(Phase::Cancelled) || state.records.replica.pipelines.is_cancelled_by_dependency(n)
    };
    if needs.iter().any(cancelled) {
        let mut record = JobRecord::new(spec, None, now_ms);
        record.phase = Phase::Cancelled;
        record.compact_if_final();
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
        spec.dependencies.take().unwrap_or_default().iter().map(|n| n.as_str().into()).collect();
    needs.sort_unstable();
    needs.dedup();
    let described = if needs.is_empty() { body.len() } else { wire::encode(&spec).len() };
    let id = spec.id.clone();
    if look(controller, &id).is_some() || controller.state().records.replica.unreadable.contains(&id) {
        return match known(controller, &id).await {
            Ok(Some(s)) => Reply::new(200, &s),
            Ok(None) => Reply::busy("try again", 1),
            Err(reply) => reply,
        };
    }
    if let Some(why) = never_runs(controller, &spec, &needs) {
        return refuse(controller, Some(&id), 422, why).await;
    }
    if !controller.state().records.is_loaded {
        return Reply::busy("not ready", 1);
    }
    if described > controller.max_description_bytes() {
        // It may have been accepted when the limits were larger.
        return match known(controller, &id).await {
            Ok(Some(s)) => Reply::new(200, &s),
            Ok(None) => Reply::error(400, "the description is too long to be kept"),
            Err(reply) => reply,
        };
    }
    // What became of its needs must not be told by an old view: a job whose user was
    // told long ago that one before it is cancelled would be called queued.
    let fresh = |controller: &Controller| {
        controller.state().records.fresh_at.is_some_and(|f| clock::since(f) < NEEDS_FRESH)
    };
    if !needs.is_empty() && !fresh(controller) && !controller.read_barrier.wait().await {
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
    controller.count_user_write();
    let conditions = vec![Condition { key: key::job(&id), version: 0 }];
    match controller.commit(conditions, vec![KeyWrite::new(key::job(&id), &record)]).await {
        Ok(TxnOutcome::Committed { revision }) => {
            debug!(
                job = id,
                part = record.shard,
                class,
                tasks,
                needs = record.dependencies.len(),
                "accepted"
            );
            controller
                .state()
                .records
                .replica
                .apply(RecordChange::Job(id.clone(), Some(Box::new(record))), revision);
            controller.wake_scheduler.notify_one();
            let queued = JobStatus {
                id: id.clone(),
                state: JobState::Queued,
                done: 0,
                running: 0,
                waits_for: Vec::new(),
            };
            Reply::new(201, &look(controller, &id).filter(|s| s.state.is_final()).unwrap_or(queued))
        }
        Ok(TxnOutcome::Conflict { revision, .. }) => {
            controller.wait_for_revision(revision, Duration::from_secs(1)).await;
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
        controller.count_user_write();
        let Some((mut record, version)) =
            controller.state().records.replica.jobs.get(id).map(|j| (j.value.clone(), j.version))
        else {
            continue;
        };
        if !matches!(record.phase, Phase::Active | Phase::Waiting) {
            continue;
        }
        record.phase = Phase::Cancelled;
        record.compact_if_final();
        let conditions = vec![Condition { key: key::job(id), version }];
        match controller.commit(conditions, vec![KeyWrite::new(key::job(id), &record)]).await {
            Ok(TxnOutcome::Committed { revision }) => {
                debug!(job = id, "cancelled");
                let done = record.done.len();
                // All that need it are cancelled with it from now on.
                controller
                    .state()
                    .records
                    .replica
                    .apply(RecordChange::Job(id.to_owned(), Some(record)), revision);
                controller.wake_scheduler.notify_one();
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
            Ok(TxnOutcome::Conflict { revision, .. }) => {
                controller.wait_for_revision(revision, Duration::from_secs(1)).await;
            }
            Err(e) => return not_written(controller, &e),
        }
    }
    Reply::busy("the job is changing; try again", 1)
}

#[cfg(test)]
#[path = "../../tests/unit/api.rs"]
mod tests;
