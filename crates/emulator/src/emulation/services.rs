//! HTTP servers of the state service, the cloud and the machines, and the clock of the site.

use std::collections::HashMap;
use std::future::pending;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use net::{Client, Reply, Request, serve};
use tokio::net::TcpListener;
use tokio::time::{MissedTickBehavior, interval, sleep, sleep_until};
use tokio_util::sync::CancellationToken;
use tracing::debug;
use wire::{Command, Commands, MachineStatus};

use super::{Listeners, Shared, TICK, connections};
use crate::service_faults::RequestOutcome;
use crate::site::OutgoingReport;
use crate::state::Watch;
use crate::worker::REPORT_TIMEOUT;

/// Serves the state service for one controller.
pub async fn serve_state(shared: Arc<Shared>, listener: TcpListener, caller: usize) {
    let shared_for_handler = shared.clone();
    let handler = move |request| state_request(shared_for_handler.clone(), caller, request);
    serve(listener, connections(), wire::BODY_LIMIT, handler, shared.stop.clone(), shared.tasks.clone())
        .await;
}

async fn state_request(shared: Arc<Shared>, caller: usize, request: Request) -> Reply {
    let step = shared.state.lock().handle(caller, &request, Instant::now());
    shared.state_changed.notify_waiters();
    match step {
        RequestOutcome::Answer(reply, delay) => {
            sleep(delay).await;
            reply
        }
        RequestOutcome::Wait(watch) => wait_for_reply(&shared, &watch).await,
        RequestOutcome::Lost => pending().await,
        RequestOutcome::Late(after) => {
            shared.tasks.clone().spawn(async move {
                sleep(after).await;
                shared.state.lock().execute(caller, &request, Instant::now());
                shared.state_changed.notify_waiters();
            });
            pending().await
        }
    }
}

async fn wait_for_reply(shared: &Shared, watch: &Watch) -> Reply {
    loop {
        let changed = shared.state_changed.notified();
        tokio::pin!(changed);
        // A change after this point wakes the task, so none is missed.
        changed.as_mut().enable();
        let now = Instant::now();
        if let Some(reply) = shared.state.lock().poll_watch(watch, now) {
            return reply;
        }
        // After its time, a watch stays unanswered only while a fault makes the state service refuse
        // its caller. The end of the fault is notified as a change.
        if watch.until() > now {
            tokio::select! {
                () = changed => {}
                () = sleep_until(watch.until().into()) => {}
            }
        } else {
            changed.await;
        }
    }
}

pub async fn serve_cloud(shared: Arc<Shared>, listener: TcpListener) {
    let shared_for_handler = shared.clone();
    let handler = move |request| cloud_request(shared_for_handler.clone(), request);
    serve(listener, connections(), wire::BODY_LIMIT, handler, shared.stop.clone(), shared.tasks.clone())
        .await;
}

async fn cloud_request(shared: Arc<Shared>, request: Request) -> Reply {
    let step = shared.site.lock().cloud_request(&request, Instant::now());
    match step {
        RequestOutcome::Answer(reply, delay) => {
            sleep(delay).await;
            reply
        }
        RequestOutcome::Late(after) => {
            shared.tasks.clone().spawn(async move {
                sleep(after).await;
                shared.site.lock().execute_delayed_cloud_request(&request, Instant::now());
            });
            pending().await
        }
        RequestOutcome::Lost | RequestOutcome::Wait(_) => pending().await,
    }
}

/// Advances the site at each tick, sends the workers' reports, and opens and closes the machines'
/// listeners.
pub async fn run_clock(shared: Arc<Shared>, listeners: Listeners) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // Each worker has a client with a connection of its own.
    let mut up: HashMap<String, (CancellationToken, Client)> = HashMap::new();
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let now = Instant::now();
        let revision = |shared: &Shared| shared.state.lock().data().revision;
        let before = revision(&shared);
        shared.state.lock().poll(now);
        let faults_changed = {
            let (mut site, mut state) = (shared.site.lock(), shared.state.lock());
            shared.fault_schedule.lock().poll(&mut site, &mut state, now)
        };
        if faults_changed {
            let user_faults = shared.fault_schedule.lock().user_faults();
            shared.users.lock().set_faults(user_faults);
        }
        if faults_changed || revision(&shared) != before {
            shared.state_changed.notify_waiters();
        }
        let (outgoing_reports, changes) = {
            let mut site = shared.site.lock();
            (site.poll(now), site.take_changes())
        };
        match &shared.job_file {
            Some(file) => file.lock().write_changes(&mut shared.site.lock().jobs),
            None => drop(shared.site.lock().jobs.take_changes()),
        }
        for (machine, status) in changes {
            let listener = listeners.lock().remove(&machine);
            if status == MachineStatus::Running {
                let stop = shared.stop.child_token();
                if let Some(listener) = listener.and_then(|l| TcpListener::from_std(l).ok()) {
                    let task = serve_machine(shared.clone(), machine.clone(), listener, stop.clone());
                    shared.tasks.spawn(task);
                }
                up.insert(machine, (stop, Client::new(1)));
            } else if let Some((stop, _)) = up.remove(&machine) {
                stop.cancel();
            }
        }
        for outgoing in outgoing_reports {
            if let Some((_, client)) = up.get(&outgoing.machine) {
                shared.tasks.spawn(send_report(shared.clone(), client.clone(), outgoing));
            }
        }
    }
}

async fn send_report(shared: Arc<Shared>, client: Client, outgoing: OutgoingReport) {
    let OutgoingReport { machine, controller, ticket, report } = outgoing;
    let Some(front) = shared.fronts.get(controller) else { return };
    let body = wire::encode(&report);
    let answer =
        client.request(front, "POST", "/hello", body, wire::ENCODED_BODY_LIMIT, REPORT_TIMEOUT).await;
    let (status, body) = match &answer {
        Ok(answer) => (Some(answer.status), &answer.body[..]),
        Err(_) => (None, &[][..]),
    };
    if status != Some(200) {
        client.close_idle(front);
    }
    shared.site.lock().record_report_outcome(&machine, ticket, status, body, Instant::now());
}

/// Serves a machine's own address.
async fn serve_machine(shared: Arc<Shared>, name: String, listener: TcpListener, stop: CancellationToken) {
    let shared_for_handler = shared.clone();
    let handler = move |request| machine_request(shared_for_handler.clone(), name.clone(), request);
    serve(listener, connections(), wire::ENCODED_BODY_LIMIT, handler, stop, shared.tasks.clone()).await;
}

async fn machine_request(shared: Arc<Shared>, name: String, request: Request) -> Reply {
    // A hung machine handles the request when it works again, even if the sender has given up.
    let (sender, receiver) = tokio::sync::oneshot::channel();
    shared.tasks.clone().spawn(async move {
        let Some(reply) = execute_when_running(&shared, &name, &request).await else { return };
        let is_executed_start = reply.status == 200 && has_start_commands(&request);
        let _ = sender.send(reply);
        if is_executed_start {
            deliver_copy(&shared, &name, &request).await;
        }
    });
    match receiver.await {
        Ok(reply) => reply,
        Err(_) => pending().await,
    }
}

/// Waits until a machine does not hang, and lets it execute a request.
async fn execute_when_running(shared: &Shared, name: &str, request: &Request) -> Option<Reply> {
    while shared.site.lock().hangs(name) && !shared.stop.is_cancelled() {
        sleep(TICK).await;
    }
    shared.site.lock().machine_request(name, request, Instant::now())
}

/// Delivers a copy of an executed request later, if the injected faults say so. Its reply reaches nobody.
async fn deliver_copy(shared: &Shared, name: &str, request: &Request) {
    let Some(delay) = shared.fault_schedule.lock().draw_copy_delay() else { return };
    tokio::select! {
        () = shared.stop.cancelled() => return,
        () = sleep(delay) => {}
    }
    let Some(reply) = execute_when_running(shared, name, request).await else { return };
    shared.copies_arrived.fetch_add(1, Ordering::Relaxed);
    debug!(machine = name, status = reply.status, "a copy of start commands arrived");
}

/// Whether a request has start commands.
fn has_start_commands(request: &Request) -> bool {
    let is_start = |command: &Command| matches!(command, Command::Start { .. });
    request.path == "/commands"
        && wire::decode::<Commands>(&request.body).is_ok_and(|sent| sent.commands.iter().any(is_start))
}
