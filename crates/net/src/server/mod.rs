//! An HTTP server.
//!
//! [`serve`] accepts connections, [`Connections`] limits their number, [`Request`] is read as a
//! whole before it is handled, and [`Reply`] is what the handler answers.

mod connections;
mod reply;
mod request;

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::info;

pub use connections::Connections;
use connections::CountedConnection;
pub use reply::Reply;
pub use request::Request;
use request::UnreadRequest;

/// Time limit for the headers of a request. It also closes connections that are idle for as long.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// How many requests that were not read are logged, one line each, until
/// [`Connections::take_unread`] is called again.
const MAX_LOGGED_UNREAD: usize = 10;

/// Serves connections until cancelled. Connections beyond the limit are closed on arrival, so that
/// the process does not run out of sockets.
pub async fn serve<H, F>(
    listener: TcpListener,
    connections: Arc<Connections>,
    body_limit: usize,
    handler: H,
    stop: CancellationToken,
    tasks: TaskTracker,
) where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            _ = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            // Most likely the process is out of sockets: wait for connections to close.
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Some(counted) = CountedConnection::new(connections.clone()) else { continue };
        let counted = Arc::new(counted);
        let _ = stream.set_nodelay(true);
        let (handler, stop) = (handler.clone(), stop.clone());
        tasks.spawn(async move {
            let guard = counted.clone();
            let service =
                service_fn(move |request| respond(request, body_limit, handler.clone(), guard.clone()));
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT).max_buf_size(96 * 1024);
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            tokio::select! {
                _ = &mut connection => {}
                _ = stop.cancelled() => {
                    connection.as_mut().graceful_shutdown();
                    let _ = timeout(Duration::from_secs(1), connection).await;
                }
            }
            drop(counted);
        });
    }
}

async fn respond<H, F>(
    request: hyper::Request<Incoming>,
    body_limit: usize,
    handler: H,
    counted: Arc<CountedConnection>,
) -> Result<hyper::Response<Full<Bytes>>, Infallible>
where
    H: Fn(Request) -> F,
    F: Future<Output = Reply>,
{
    let (parts, body) = request.into_parts();
    let (reply, stays_open) = match Request::read(&parts, body, body_limit).await {
        Ok(request) => (handler(request).await, counted.may_stay_open(parts.uri.path())),
        Err(unread) => (reject_unread(&counted, &parts, unread), false),
    };
    let mut response = reply.into_response();
    if !stays_open {
        let close = hyper::header::HeaderValue::from_static("close");
        response.headers_mut().insert(hyper::header::CONNECTION, close);
    }
    Ok(response)
}

fn reject_unread(counted: &CountedConnection, parts: &Parts, unread: UnreadRequest) -> Reply {
    let reply = Reply::from(unread);
    if counted.connections().count_unread() <= MAX_LOGGED_UNREAD {
        info!(method = %parts.method, path = %parts.uri, status = reply.status, reason = %unread, "request not read");
    }
    reply
}

#[cfg(test)]
#[path = "../../tests/unit/server.rs"]
mod tests;
