//! Connections of users to the controllers: through the load balancer or through the
//! door of one controller. They are passed on as they are. What users submit is read
//! along, in the place of their upload of the job's description to the site.

use std::sync::Arc;
use std::time::Instant;

use net::Request;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use wire::JobSpec;

use super::Shared;
use crate::balancer::{CONNECT_TIMEOUT, MAX_CONNECT_ATTEMPTS, PROBE_INTERVAL, PROBE_TIMEOUT};

/// Passes connections on to one controller.
pub async fn door(shared: Arc<Shared>, listener: TcpListener, to: String) {
    while let Some(client) = accept(&shared, &listener).await {
        let (shared, to) = (shared.clone(), to.clone());
        shared.tasks.clone().spawn(async move {
            if let Ok(Ok(server)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(&to)).await {
                splice(&shared, client, server).await;
            }
        });
    }
}

/// Passes each connection on to a healthy controller.
pub async fn balancer(shared: Arc<Shared>, listener: TcpListener) {
    while let Some(client) = accept(&shared, &listener).await {
        let shared = shared.clone();
        shared.tasks.clone().spawn(async move {
            let Some((node, server)) = connect(&shared).await else { return };
            let reset = shared.resets.get(node).map(|r| r.lock().child_token()).unwrap_or_default();
            tokio::select! {
                () = splice(&shared, client, server) => {}
                () = reset.cancelled() => {}
            }
            shared.balancer.lock().connection_closed(node);
        });
    }
}

async fn connect(shared: &Shared) -> Option<(usize, TcpStream)> {
    let mut tried = Vec::new();
    while tried.len() < MAX_CONNECT_ATTEMPTS {
        let node = shared.balancer.lock().choose(&tried, Instant::now())?;
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(shared.fronts.get(node)?)).await;
        let stream = stream.ok().and_then(Result::ok);
        shared.balancer.lock().record_connection_attempt(node, stream.is_some(), Instant::now());
        match stream {
            Some(stream) => return Some((node, stream)),
            None => tried.push(node),
        }
    }
    None
}

async fn accept(shared: &Shared, listener: &TcpListener) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            () = shared.stop.cancelled() => return None,
            a = listener.accept() => a,
        };
        match accepted {
            Ok((stream, _)) => return Some(stream),
            // Out of sockets, most likely: let some close first.
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(50)).await,
        }
    }
}

async fn splice(shared: &Arc<Shared>, client: TcpStream, server: TcpStream) {
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, mut to_client) = client.into_split();
    let (mut from_server, to_server) = server.into_split();
    let l = shared.clone();
    let upload = move |request: Request| {
        if request.method == "POST"
            && request.path == "/v1/jobs"
            && let Ok(spec) = wire::decode::<JobSpec>(&request.body)
        {
            l.site.lock().upload(spec, false);
        }
        std::future::ready(())
    };
    let there = net::read_along(from_client, to_server, wire::BODY_LIMIT, upload);
    let back = tokio::io::copy(&mut from_server, &mut to_client);
    // A client that has said all still gets its answer: the controller ends it.
    let there = async {
        if there.await.is_ok() {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = there => {}
        _ = back => {}
        () = shared.stop.cancelled() => {}
    }
}

/// Asks every controller about once a second whether it can take requests.
pub async fn probes(shared: Arc<Shared>, node: usize) {
    let Some(front) = shared.fronts.get(node).cloned() else { return };
    while !shared.stop.is_cancelled() {
        let answer = shared.probes.request(&front, "GET", "/healthz", Vec::new(), 4096, PROBE_TIMEOUT).await;
        let (fine, now) = (answer.is_ok_and(|a| a.status == 200), Instant::now());
        let resets = {
            let mut balancer = shared.balancer.lock();
            balancer.record_probe(node, fine, now);
            balancer.take_resets(now)
        };
        for node in resets {
            shared.reset(node);
        }
        shared.health.notify_waiters();
        tokio::select! {
            () = shared.stop.cancelled() => {}
            () = tokio::time::sleep(PROBE_INTERVAL) => {}
        }
    }
}
