//! An HTTP server.
//!
//! [`serve`] accepts connections, [`Connections`] limits their number, [`Request`] is read as a
//! whole before it is handled, and [`Reply`] is what the handler answers.

mod connections;
mod incomplete_requests;
mod reply;
mod request;

use std::convert::Infallible;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::info;

pub use connections::Connections;
use connections::{Admission, CountedConnection};
pub use reply::Reply;
pub use request::Request;
use request::UnreadRequest;

/// Time limit for the headers of a request. It also closes connections that are idle for as long.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Size of the buffer for the head of a request. It is also how much of a body is read at a time.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Connections that may wait to be accepted, as many as a large site has workers. Beyond, the kernel
/// drops attempts, and clients repeat them only after a second.
const LISTEN_BACKLOG: u32 = 4096;
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long requests that are being handled may take when the server stops.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// How many requests that were not read are logged, one line each, until
/// [`Connections::take_unread`] is called again.
const MAX_LOGGED_UNREAD: usize = 10;

/// Listens on an address, an IP address with a port.
///
/// # Errors
///
/// Returns an error if the text is not such an address, or if it cannot be listened on.
pub fn listen(addr: &str) -> std::io::Result<TcpListener> {
    let addr: SocketAddr =
        addr.parse().map_err(|error| std::io::Error::new(ErrorKind::InvalidInput, error))?;
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Serves connections until cancelled. Beyond the limit, a new connection takes the place of the one
/// whose request has been incomplete for longest, or is closed on arrival if there is none.
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
    let accept = async {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // Most likely the process is out of sockets: wait for connections to close.
                sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            };
            let Some(counted) = admit(&connections).await else { continue };
            let _ = stream.set_nodelay(true);
            let (handler, stop) = (handler.clone(), stop.clone());
            tasks.spawn(serve_connection(stream, Arc::new(counted), body_limit, handler, stop));
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = accept => {}
    }
}

/// Waits until a new connection is admitted, or returns `None` if it has to be closed.
async fn admit(connections: &Arc<Connections>) -> Option<CountedConnection> {
    loop {
        match connections.admit(Instant::now()) {
            Admission::Admitted { connection, in_place_of_another } => {
                if in_place_of_another {
                    // The other connection's task closes it.
                    yield_now().await;
                }
                return Some(connection);
            }
            Admission::NotBefore(at) => sleep_until(at).await,
            Admission::Rejected => return None,
        }
    }
}

/// Serves a connection until it is closed by its client, for another one, or when the server stops.
async fn serve_connection<H, F>(
    stream: TcpStream,
    counted: Arc<CountedConnection>,
    body_limit: usize,
    handler: H,
    stop: CancellationToken,
) where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let counted_by_service = counted.clone();
    let service =
        service_fn(move |request| respond(request, body_limit, handler.clone(), counted_by_service.clone()));
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT).max_buf_size(MAX_HEAD_BYTES);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = &mut connection => {}
        () = counted.displaced() => {}
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            let _ = timeout(SHUTDOWN_TIMEOUT, connection).await;
        }
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
    let mut received = counted.next_request();
    let (reply, stays_open) = match Request::read(&parts, body, body_limit, &mut received).await {
        Ok(request) => {
            let stays_open = counted.may_stay_open(parts.uri.path());
            (handler(request).await, stays_open)
        }
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
