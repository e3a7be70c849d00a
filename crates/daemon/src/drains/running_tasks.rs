//! Observes which tasks run. The records tell only which tasks should run; whether a replica is up
//! is known from heartbeats, which only the controller that owns the machine receives.

use std::sync::Arc;
use std::time::{Duration, Instant};

use drain::view::ObservedTasks;
use net::Reply;
use peer::{RunningTask, RunningTasks, RunningTasksOfJob, RunningTasksRequest};
use rand::RngExt;
use sched::records::Assignment;
use tokio::time::sleep;

use crate::clock;
use crate::controller::Controller;
use crate::state::{ControllerState, PeerObservation};

/// The path of the requests between peers.
pub const PATH: &str = "/running-tasks";
/// How often each peer is asked.
const REQUEST_INTERVAL: Duration = Duration::from_millis(1000);
/// How long a peer has to answer.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(900);
/// How long an answer is valid, counted from its request.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(4);
/// The most bytes of an answer.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// The running tasks of the observed jobs, as observed by this controller and by the peers whose
/// answers are recent and of the current cluster map. All other tasks count as down.
pub(super) fn observed_tasks(
    controller: &Controller,
    state: &ControllerState,
    now: Instant,
) -> ObservedTasks {
    let mut observed = ObservedTasks::default();
    let Some(map) = state.cluster_map() else { return observed };
    for of_job in
        tasks_on_owned_machines(controller, state, state.drains.observed_jobs.iter().map(String::as_str), now)
    {
        add(&mut observed, &of_job);
    }
    for (name, answer) in &state.drains.peer_observations {
        let is_recent = now.saturating_duration_since(answer.requested_at) < MAX_ANSWER_AGE;
        if is_recent && answer.epoch == map.epoch && map.contains(name, answer.incarnation) {
            observed.extend(answer.tasks.clone());
        }
    }
    observed
}

fn add(tasks: &mut ObservedTasks, of_job: &RunningTasksOfJob) {
    for RunningTask { task, attempt } in &of_job.tasks {
        tasks.note(&of_job.job, *task, *attempt);
    }
}

/// The tasks of these jobs that run on machines owned by this controller.
fn tasks_on_owned_machines<'a>(
    controller: &Controller,
    state: &ControllerState,
    jobs: impl Iterator<Item = &'a str>,
    now: Instant,
) -> Vec<RunningTasksOfJob> {
    let max_silence = controller.heartbeat_interval() * 5 / 2;
    let is_running = |job: &str, a: &Assignment| {
        let is_own = state.records.replica.owner_of(&a.machine) == Some(&controller.identity);
        let worker =
            state.machines.workers.get(&a.machine).filter(|w| is_own && w.silent_for(now) <= max_silence);
        worker.is_some_and(|w| w.is_running(&format!("{job}/{}", a.task), a.attempt))
    };
    let of_job = |job: &str| {
        let record = &state.records.replica.jobs.get(job)?.value;
        let running = record.assignments.iter().filter(|a| is_running(job, a));
        let tasks: Vec<RunningTask> =
            running.map(|a| RunningTask { task: a.task, attempt: a.attempt }).collect();
        (!tasks.is_empty()).then(|| RunningTasksOfJob { job: job.to_owned(), tasks })
    };
    jobs.filter_map(of_job).collect()
}

/// Regularly asks one peer which tasks run on its machines, while there are jobs to observe.
pub async fn observe_peer(controller: Arc<Controller>, name: String, address: String) {
    loop {
        sleep(REQUEST_INTERVAL).await;
        let requested_at = clock::now();
        let Some(request) = request(&controller) else { continue };
        let Some(answer) = exchange(&controller, &address, &request).await else { continue };
        record_answer(&mut controller.state(), &name, &request, answer, requested_at, clock::now());
    }
}

fn request(controller: &Controller) -> Option<RunningTasksRequest> {
    let state = controller.state();
    if state.drains.observed_jobs.is_empty() || !state.is_leader(&controller.identity) {
        return None;
    }
    let epoch = state.cluster_map()?.epoch;
    let jobs = state.drains.observed_jobs.iter().cloned().collect();
    Some(RunningTasksRequest { nonce: rand::rng().random(), epoch, jobs })
}

/// Sends a request. A controller without drains answers 404; no tasks are then known to run on its
/// machines.
async fn exchange(
    controller: &Controller,
    address: &str,
    request: &RunningTasksRequest,
) -> Option<RunningTasks> {
    let body = peer::encode_running_tasks_request(request);
    let answer = controller
        .peer_and_cloud_http
        .request(address, "POST", PATH, body, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT)
        .await
        .ok()?;
    (answer.status == 200).then(|| peer::decode_running_tasks(&answer.body)).flatten()
}

/// Records an answer. Returns false if it does not match the request and the peer that was asked.
pub(crate) fn record_answer(
    state: &mut ControllerState,
    name: &str,
    request: &RunningTasksRequest,
    answer: RunningTasks,
    requested_at: Instant,
    now: Instant,
) -> bool {
    if answer.nonce != request.nonce || answer.name != name {
        return false;
    }
    state.note_shown_epoch(name, answer.epoch, now);
    if answer.epoch != request.epoch {
        return false;
    }
    let mut tasks = ObservedTasks::default();
    answer.tasks_by_job.iter().for_each(|of_job| add(&mut tasks, of_job));
    let RunningTasks { incarnation, epoch, .. } = answer;
    state
        .drains
        .peer_observations
        .insert(name.to_owned(), PeerObservation { incarnation, epoch, requested_at, tasks });
    true
}

/// Answers a peer's request, received at `now`.
pub fn serve(controller: &Controller, body: &[u8], now: Instant) -> Reply {
    let request = peer::decode_running_tasks_request(body);
    let mut state = controller.state();
    if let Some(request) = &request {
        state.note_shown_epoch("a peer's request for running tasks", request.epoch, now);
    }
    if !controller.operators.drains.enabled {
        return Reply::error(404, "drains are disabled");
    }
    let Some(request) = request else {
        return Reply::error(400, "not a request for running tasks");
    };
    let epoch = state.cluster_map().map_or(0, |m| m.epoch);
    let jobs = request.jobs.iter().map(String::as_str);
    let answer = RunningTasks {
        nonce: request.nonce,
        name: controller.identity.name.clone(),
        incarnation: controller.identity.incarnation,
        epoch,
        tasks_by_job: tasks_on_owned_machines(controller, &state, jobs, now),
    };
    Reply { status: 200, body: peer::encode_running_tasks(&answer), retry_after: None }
}
