//! State service, cloud and machines behind HTTP.

use std::collections::HashMap;
use std::future::pending;
use std::sync::Arc;
use std::time::Instant;

use net::{Client, Reply, Request, serve};
use tokio::net::TcpListener;
use tokio::time::{MissedTickBehavior, interval, sleep, sleep_until};
use tokio_util::sync::CancellationToken;
use wire::MachineStatus;

use super::{Listeners, Live, TICK, connections};
use crate::service_faults::Step;
use crate::site::Sending;
use crate::state::Watch;
use crate::worker::ANSWER_WAIT;

/// The state service as one controller reaches it.
pub async fn state(live: Arc<Live>, listener: TcpListener, caller: usize) {
    let l = live.clone();
    let handler = move |request| state_request(l.clone(), caller, request);
    serve(listener, connections(), wire::BODY_LIMIT, handler, live.stop.clone(), live.tasks.clone()).await;
}

async fn state_request(live: Arc<Live>, caller: usize, request: Request) -> Reply {
    let step = live.state.lock().handle(caller, &request, Instant::now());
    live.changed.notify_waiters();
    match step {
        Step::Answer(reply, delay) => {
            sleep(delay).await;
            reply
        }
        Step::Wait(watch) => wait(&live, &watch).await,
        Step::Lost => pending().await,
        Step::Late(after) => {
            live.tasks.clone().spawn(async move {
                sleep(after).await;
                live.state.lock().carry_out(caller, &request, Instant::now());
                live.changed.notify_waiters();
            });
            pending().await
        }
    }
}

async fn wait(live: &Live, watch: &Watch) -> Reply {
    loop {
        let changed = live.changed.notified();
        tokio::pin!(changed);
        // From here on no change is missed.
        changed.as_mut().enable();
        let now = Instant::now();
        if let Some(reply) = live.state.lock().check(watch, now) {
            return reply;
        }
        // Past its time it waits for the end of an outage, which is a change as well.
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

pub async fn cloud(live: Arc<Live>, listener: TcpListener) {
    let l = live.clone();
    let handler = move |request| cloud_request(l.clone(), request);
    serve(listener, connections(), wire::BODY_LIMIT, handler, live.stop.clone(), live.tasks.clone()).await;
}

async fn cloud_request(live: Arc<Live>, request: Request) -> Reply {
    let step = live.site.lock().cloud_request(&request, Instant::now());
    match step {
        Step::Answer(reply, delay) => {
            sleep(delay).await;
            reply
        }
        Step::Late(after) => {
            live.tasks.clone().spawn(async move {
                sleep(after).await;
                live.site.lock().late_cloud_request(&request, Instant::now());
            });
            pending().await
        }
        Step::Lost | Step::Wait(_) => pending().await,
    }
}

/// Lets time pass, sends the workers' reports, and opens and closes their addresses.
pub async fn clock(live: Arc<Live>, listeners: Listeners) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // Each worker has a connection of its own.
    let mut up: HashMap<String, (CancellationToken, Client)> = HashMap::new();
    loop {
        tokio::select! {
            () = live.stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let now = Instant::now();
        let revision = |live: &Live| live.state.lock().data().revision;
        let before = revision(&live);
        live.state.lock().poll(now);
        let troubled = {
            let (mut site, mut state) = (live.site.lock(), live.state.lock());
            live.schedule.lock().poll(&mut site, &mut state, now)
        };
        if troubled || revision(&live) != before {
            live.changed.notify_waiters();
        }
        let (sendings, changes) = {
            let mut site = live.site.lock();
            (site.poll(now), site.take_changes())
        };
        match &live.job_file {
            Some(file) => file.lock().keep(&mut live.site.lock().jobs),
            None => drop(live.site.lock().jobs.take_changes()),
        }
        for (machine, status) in changes {
            let listener = listeners.lock().remove(&machine);
            if status == MachineStatus::Running {
                let stop = live.stop.child_token();
                if let Some(listener) = listener.and_then(|l| TcpListener::from_std(l).ok()) {
                    let task = self::machine(live.clone(), machine.clone(), listener, stop.clone());
                    live.tasks.spawn(task);
                }
                up.insert(machine, (stop, Client::new(1)));
            } else if let Some((stop, _)) = up.remove(&machine) {
                stop.cancel();
            }
        }
        for sending in sendings {
            if let Some((_, client)) = up.get(&sending.machine) {
                live.tasks.spawn(report(live.clone(), client.clone(), sending));
            }
        }
    }
}

async fn report(live: Arc<Live>, client: Client, sending: Sending) {
    let Sending { machine, to, ticket, report } = sending;
    let Some(front) = live.fronts.get(to) else { return };
    let body = wire::encode(&report);
    let answer = client.request(front, "POST", "/hello", body, wire::BODY_LIMIT, ANSWER_WAIT).await;
    let (status, body) = match &answer {
        Ok(answer) => (Some(answer.status), &answer.body[..]),
        Err(_) => (None, &[][..]),
    };
    if status != Some(200) {
        client.forget(front);
    }
    live.site.lock().heard(&machine, ticket, status, body, Instant::now());
}

/// A machine's own address.
async fn machine(live: Arc<Live>, name: String, listener: TcpListener, stop: CancellationToken) {
    let l = live.clone();
    let handler = move |request| machine_request(l.clone(), name.clone(), request);
    serve(listener, connections(), wire::BODY_LIMIT, handler, stop, live.tasks.clone()).await;
}

async fn machine_request(live: Arc<Live>, name: String, request: Request) -> Reply {
    // A machine that hangs takes it when it goes on, also if the sender has given up.
    let (sender, receiver) = tokio::sync::oneshot::channel();
    live.tasks.clone().spawn(async move {
        while live.site.lock().hangs(&name) && !live.stop.is_cancelled() {
            sleep(TICK).await;
        }
        let reply = live.site.lock().machine_request(&name, &request, Instant::now());
        if let Some(reply) = reply {
            let _ = sender.send(reply);
        }
    });
    match receiver.await {
        Ok(reply) => reply,
        Err(_) => pending().await,
    }
}
