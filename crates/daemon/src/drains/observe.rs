//! Which tasks run, by the words of the machines' owners. The records tell what is to run;
//! whether a replica is up, its owner knows from its machine's reports.

use std::sync::Arc;
use std::time::{Duration, Instant};

use drain::view::ObservedTasks;
use net::Reply;
use peer::{RunningTask, RunningTasks, RunningTasksOfJob, RunningTasksRequest};
use rand::RngExt;
use tokio::time::sleep;

use super::state::PeerAnswer;
use crate::clock;
use crate::controller::Controller;
use crate::peer_client::MAX_MESSAGE_BYTES;
use crate::state::ControllerState;

/// Where peers ask.
pub const PATH: &str = "/running-tasks";
const ASK_EVERY: Duration = Duration::from_millis(1000);
const DEADLINE: Duration = Duration::from_millis(900);
/// How long an answer counts from when it was asked for.
const ANSWER_FOR: Duration = Duration::from_secs(4);

/// The tasks of the jobs that were asked for that are seen running, by this controller and by
/// those of its peers whose words are of now and of the present map. What nobody sees running
/// counts as down.
pub fn running(controller: &Controller, state: &ControllerState, now: Instant) -> ObservedTasks {
    let mut all = ObservedTasks::default();
    let Some(map) = state.cluster_map() else { return all };
    for of_job in own(controller, state, state.drains.asked.iter().map(String::as_str), now) {
        note(&mut all, &of_job);
    }
    for (name, answer) in &state.drains.answers {
        let recent = now.saturating_duration_since(answer.asked_at) < ANSWER_FOR;
        if recent && answer.epoch == map.epoch && map.contains(name, answer.incarnation) {
            all.extend(answer.tasks.clone());
        }
    }
    all
}

fn note(tasks: &mut ObservedTasks, of_job: &RunningTasksOfJob) {
    for RunningTask { task, attempt } in &of_job.tasks {
        tasks.note(&of_job.job, *task, *attempt);
    }
}

/// The tasks of some jobs that run on machines of this controller.
fn own<'a>(
    controller: &Controller,
    state: &ControllerState,
    jobs: impl Iterator<Item = &'a str>,
    now: Instant,
) -> Vec<RunningTasksOfJob> {
    let silent = controller.heartbeat_interval() * 5 / 2;
    let runs = |job: &str, a: &sched::records::Assignment| {
        let mine = state.records.replica.owner_of(&a.machine) == Some(&controller.identity);
        let worker = state.machines.workers.get(&a.machine).filter(|w| mine && w.silent_for(now) <= silent);
        worker.is_some_and(|w| w.is_running(&format!("{job}/{}", a.task), a.attempt))
    };
    let of_job = |job: &str| {
        let record = &state.records.replica.jobs.get(job)?.value;
        let running = record.assignments.iter().filter(|a| runs(job, a));
        let tasks: Vec<RunningTask> =
            running.map(|a| RunningTask { task: a.task, attempt: a.attempt }).collect();
        (!tasks.is_empty()).then(|| RunningTasksOfJob { job: job.to_owned(), tasks })
    };
    jobs.filter_map(of_job).collect()
}

/// Asks one peer, for as long as there is something to ask for.
pub async fn ask_peer(controller: Arc<Controller>, name: String, address: String) {
    loop {
        sleep(ASK_EVERY).await;
        let asked_at = clock::now();
        let Some(request) = request(&controller) else { continue };
        let Some(answer) = exchange(&controller, &address, &request).await else { continue };
        take(&mut controller.state(), &name, &request, answer, asked_at);
    }
}

fn request(controller: &Controller) -> Option<RunningTasksRequest> {
    let state = controller.state();
    if state.drains.asked.is_empty() || !state.is_leader(&controller.identity) {
        return None;
    }
    let epoch = state.cluster_map()?.epoch;
    let jobs = state.drains.asked.iter().cloned().collect();
    Some(RunningTasksRequest { nonce: rand::rng().random(), epoch, jobs })
}

/// Sends a request. A controller without drains answers 404: nothing that runs on its machines
/// is known to.
async fn exchange(
    controller: &Controller,
    address: &str,
    request: &RunningTasksRequest,
) -> Option<RunningTasks> {
    let body = peer::encode_running_tasks_request(request);
    let answer = controller
        .peer_and_cloud_http
        .request(address, "POST", PATH, body, MAX_MESSAGE_BYTES, DEADLINE)
        .await
        .ok()?;
    (answer.status == 200).then(|| peer::decode_running_tasks(&answer.body)).flatten()
}

/// Takes in an answer, if it is one to this request from the peer that was asked.
pub(crate) fn take(
    state: &mut ControllerState,
    name: &str,
    request: &RunningTasksRequest,
    answer: RunningTasks,
    asked_at: Instant,
) -> bool {
    if answer.nonce != request.nonce || answer.name != name || answer.epoch != request.epoch {
        return false;
    }
    let mut tasks = ObservedTasks::default();
    answer.jobs.iter().for_each(|of_job| note(&mut tasks, of_job));
    let RunningTasks { incarnation, epoch, .. } = answer;
    state.drains.answers.insert(name.to_owned(), PeerAnswer { incarnation, epoch, asked_at, tasks });
    true
}

/// Answers a peer's request.
pub fn serve(controller: &Controller, body: &[u8]) -> Reply {
    if !controller.operators.drains.enabled {
        return Reply::error(404, "drains are switched off");
    }
    let Some(request) = peer::decode_running_tasks_request(body) else {
        return Reply::error(400, "not a request for running tasks");
    };
    let state = controller.state();
    let epoch = state.cluster_map().map_or(0, |m| m.epoch);
    let jobs = request.jobs.iter().map(String::as_str);
    let answer = RunningTasks {
        nonce: request.nonce,
        name: controller.identity.name.clone(),
        incarnation: controller.identity.incarnation,
        epoch,
        jobs: own(controller, &state, jobs, clock::now()),
    };
    Reply { status: 200, body: peer::encode_running_tasks(&answer), retry_after: None }
}
