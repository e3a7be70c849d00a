//! Connections of users to the controllers: through the load balancer or through the
//! door of one controller. They are passed on as they are. What users submit is read
//! along, in the place of their upload of the job's description to the site.

use std::sync::Arc;
use std::time::Instant;

use net::Request;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use wire::JobSpec;

use super::Live;
use crate::balancer::{CONNECT_WAIT, PROBE_EVERY, PROBE_WAIT, TRIES};

/// Passes connections on to one controller.
pub async fn door(live: Arc<Live>, listener: TcpListener, to: String) {
    while let Some(client) = accept(&live, &listener).await {
        let (live, to) = (live.clone(), to.clone());
        live.tasks.clone().spawn(async move {
            if let Ok(Ok(server)) = timeout(CONNECT_WAIT, TcpStream::connect(&to)).await {
                splice(&live, client, server).await;
            }
        });
    }
}

/// Passes each connection on to a healthy controller.
pub async fn balancer(live: Arc<Live>, listener: TcpListener) {
    while let Some(client) = accept(&live, &listener).await {
        let live = live.clone();
        live.tasks.clone().spawn(async move {
            let Some((node, server)) = connect(&live).await else { return };
            let reset = live.resets.get(node).map(|r| r.lock().child_token()).unwrap_or_default();
            tokio::select! {
                () = splice(&live, client, server) => {}
                () = reset.cancelled() => {}
            }
            live.balancer.lock().closed(node);
        });
    }
}

async fn connect(live: &Live) -> Option<(usize, TcpStream)> {
    let mut tried = Vec::new();
    while tried.len() < TRIES {
        let node = live.balancer.lock().choose(&tried, Instant::now())?;
        let stream = timeout(CONNECT_WAIT, TcpStream::connect(live.fronts.get(node)?)).await;
        let stream = stream.ok().and_then(Result::ok);
        live.balancer.lock().connected(node, stream.is_some(), Instant::now());
        match stream {
            Some(stream) => return Some((node, stream)),
            None => tried.push(node),
        }
    }
    None
}

async fn accept(live: &Live, listener: &TcpListener) -> Option<TcpStream> {
    loop {
        let accepted = tokio::select! {
            () = live.stop.cancelled() => return None,
            a = listener.accept() => a,
        };
        match accepted {
            Ok((stream, _)) => return Some(stream),
            // Out of sockets, most likely: let some close first.
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(50)).await,
        }
    }
}

async fn splice(live: &Arc<Live>, client: TcpStream, server: TcpStream) {
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, mut to_client) = client.into_split();
    let (mut from_server, to_server) = server.into_split();
    let l = live.clone();
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
        () = live.stop.cancelled() => {}
    }
}

/// Asks every controller about once a second whether it can take requests.
pub async fn probes(live: Arc<Live>, node: usize) {
    let Some(front) = live.fronts.get(node).cloned() else { return };
    while !live.stop.is_cancelled() {
        let answer = live.probes.request(&front, "GET", "/healthz", Vec::new(), 4096, PROBE_WAIT).await;
        let (fine, now) = (answer.is_ok_and(|a| a.status == 200), Instant::now());
        let resets = {
            let mut balancer = live.balancer.lock();
            balancer.probed(node, fine, now);
            balancer.resets(now)
        };
        for node in resets {
            live.reset(node);
        }
        live.health.notify_waiters();
        tokio::select! {
            () = live.stop.cancelled() => {}
            () = tokio::time::sleep(PROBE_EVERY) => {}
        }
    }
}
