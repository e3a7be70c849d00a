//! Proxies for the users' connections to the controllers, through the load balancer or to one
//! controller. Data is forwarded unchanged. Submissions are also parsed on the way, which replaces
//! the users' upload of job descriptions to the site.

use std::sync::Arc;
use std::time::Instant;

use net::Request;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use wire::JobSpec;

use super::Shared;
use crate::balancer::{CONNECT_TIMEOUT, MAX_CONNECT_ATTEMPTS, PROBE_INTERVAL, PROBE_TIMEOUT};

/// Forwards connections to one controller.
pub async fn controller_proxy(shared: Arc<Shared>, listener: TcpListener, front: String) {
    while let Some(client) = accept(&shared, &listener).await {
        let (shared, front) = (shared.clone(), front.clone());
        shared.tasks.clone().spawn(async move {
            if let Ok(Ok(server)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(&front)).await {
                splice(&shared, client, server).await;
            }
        });
    }
}

/// Forwards each connection to a healthy controller.
pub async fn balancer_proxy(shared: Arc<Shared>, listener: TcpListener) {
    while let Some(client) = accept(&shared, &listener).await {
        let shared = shared.clone();
        shared.tasks.clone().spawn(async move {
            let Some((node, server)) = connect_to_healthy(&shared).await else { return };
            let reset_token =
                shared.connection_resets.get(node).map(|r| r.lock().child_token()).unwrap_or_default();
            tokio::select! {
                () = splice(&shared, client, server) => {}
                () = reset_token.cancelled() => {}
            }
            shared.balancer.lock().connection_closed(node);
        });
    }
}

async fn connect_to_healthy(shared: &Shared) -> Option<(usize, TcpStream)> {
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
            // Probably no file descriptors are left: wait for connections to close.
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(50)).await,
        }
    }
}

async fn splice(shared: &Arc<Shared>, client: TcpStream, server: TcpStream) {
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, mut to_client) = client.into_split();
    let (mut from_server, to_server) = server.into_split();
    let shared_for_upload = shared.clone();
    let upload = move |request: Request| {
        if request.method == "POST"
            && request.path == "/v1/jobs"
            && let Ok(spec) = JobSpec::from_submission(&request.body)
        {
            shared_for_upload.site.lock().upload(spec, false);
        }
        std::future::ready(())
    };
    let client_to_server = net::relay_and_inspect(from_client, to_server, wire::ENCODED_BODY_LIMIT, upload);
    let server_to_client = tokio::io::copy(&mut from_server, &mut to_client);
    // After the client has closed its side, it still gets its answer: the controller closes the
    // connection.
    let client_to_server = async {
        if client_to_server.await.is_ok() {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = client_to_server => {}
        _ = server_to_client => {}
        () = shared.stop.cancelled() => {}
    }
}

/// Probes about once a second whether a controller can handle requests.
pub async fn probe_node(shared: Arc<Shared>, node: usize) {
    let Some(front) = shared.fronts.get(node).cloned() else { return };
    while !shared.stop.is_cancelled() {
        let answer = shared.probes.request(&front, "GET", "/healthz", Vec::new(), 4096, PROBE_TIMEOUT).await;
        let (healthy, now) = (answer.is_ok_and(|a| a.status == 200), Instant::now());
        let resets = {
            let mut balancer = shared.balancer.lock();
            balancer.record_probe(node, healthy, now);
            balancer.take_resets(now)
        };
        for node in resets {
            shared.reset(node);
        }
        shared.probe_finished.notify_waiters();
        tokio::select! {
            () = shared.stop.cancelled() => {}
            () = tokio::time::sleep(PROBE_INTERVAL) => {}
        }
    }
}
