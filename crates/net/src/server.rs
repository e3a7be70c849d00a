use std::convert::Infallible;
use std::future::Future;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// A request with its whole body.
#[derive(Debug)]
pub struct Request {
    /// The HTTP method.
    pub method: String,
    /// The path, with its query.
    pub path: String,
    /// The body.
    pub body: Bytes,
}

/// The response to a request.
#[derive(Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// The value of the `Retry-After` header, in seconds.
    pub retry_after: Option<u64>,
}

impl Reply {
    /// A response whose body is a value encoded as MessagePack.
    pub fn new<T: Serialize>(status: u16, body: &T) -> Self {
        Self { status, body: wire::encode(body), retry_after: None }
    }

    /// A response whose body is an error message.
    pub fn error(status: u16, message: &str) -> Self {
        Self::new(status, &wire::ErrorBody { error: message.to_owned() })
    }

    /// A 503 with a `Retry-After` header, in seconds.
    pub fn busy(message: &str, retry_after: u64) -> Self {
        Self { retry_after: Some(retry_after), ..Self::error(503, message) }
    }

    fn into_response(self) -> hyper::Response<Full<Bytes>> {
        let mut response = hyper::Response::new(Full::new(Bytes::from(self.body)));
        *response.status_mut() =
            hyper::StatusCode::from_u16(self.status).unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert("content-type", hyper::header::HeaderValue::from_static("application/msgpack"));
        if let Some(seconds) = self.retry_after {
            headers.insert("retry-after", hyper::header::HeaderValue::from(seconds));
        }
        response
    }
}

/// Time limit for the headers of a request. It also closes connections that are idle for as long.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
const BODY_TIMEOUT: Duration = Duration::from_secs(4);

/// A class of a server's connections, with a limit of how many of them are kept open between
/// requests.
#[derive(Debug)]
pub struct ConnectionClass {
    pub name: &'static str,
    max_kept_open: usize,
    open: AtomicUsize,
}

/// Counts the open connections of a server by class and limits their number.
///
/// A connection beyond the limit of its class is served, too, but closed after the first response.
/// So a few sockets serve any number of clients, and the clients of one class do not use up the
/// connections of another.
#[derive(Debug)]
pub struct Connections {
    max_open: usize,
    open: AtomicUsize,
    classes: Vec<ConnectionClass>,
    /// The index of the class of a connection, by the path of its first request.
    class_of: fn(&str) -> usize,
    /// Connections that were closed on arrival.
    rejected: AtomicUsize,
}

impl Connections {
    /// Allows `max_open` connections at a time. Each class has a name and the number of its
    /// connections that are kept open between requests.
    pub fn new(max_open: usize, classes: &[(&'static str, usize)], class_of: fn(&str) -> usize) -> Self {
        let class = |(name, max_kept_open): &(&'static str, usize)| ConnectionClass {
            name,
            max_kept_open: *max_kept_open,
            open: AtomicUsize::new(0),
        };
        Self {
            max_open,
            open: AtomicUsize::new(0),
            classes: classes.iter().map(class).collect(),
            class_of,
            rejected: AtomicUsize::new(0),
        }
    }

    /// The number of open connections of all classes.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// The name of each class and the number of its open connections.
    pub fn open_by_class(&self) -> impl Iterator<Item = (&'static str, usize)> + '_ {
        self.classes.iter().map(|class| (class.name, class.open.load(Ordering::Relaxed)))
    }

    /// The number of connections that were closed on arrival since the last call, because the limit
    /// was reached.
    pub fn take_rejected(&self) -> usize {
        self.rejected.swap(0, Ordering::Relaxed)
    }
}

/// An open connection. It is counted until this is dropped.
struct CountedConnection {
    connections: Arc<Connections>,
    /// The index of its class, once the first request has arrived.
    class: OnceLock<usize>,
}

impl CountedConnection {
    fn new(connections: Arc<Connections>) -> Option<Self> {
        if connections.open.load(Ordering::Relaxed) >= connections.max_open {
            connections.rejected.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        connections.open.fetch_add(1, Ordering::Relaxed);
        Some(Self { connections, class: OnceLock::new() })
    }

    /// Assigns the connection to the class of its first request. Returns false if the class has too
    /// many connections for this one to stay open after the response.
    fn may_stay_open(&self, path: &str) -> bool {
        let index = *self.class.get_or_init(|| {
            let index = (self.connections.class_of)(path);
            if let Some(class) = self.connections.classes.get(index) {
                class.open.fetch_add(1, Ordering::Relaxed);
            }
            index
        });
        self.connections
            .classes
            .get(index)
            .is_none_or(|class| class.open.load(Ordering::Relaxed) <= class.max_kept_open)
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.connections.open.fetch_sub(1, Ordering::Relaxed);
        if let Some(class) = self.class.get().and_then(|index| self.connections.classes.get(*index)) {
            class.open.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

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
    let stays_open = counted.may_stay_open(parts.uri.path());
    let reply = match timeout(BODY_TIMEOUT, Limited::new(body, body_limit).collect()).await {
        Ok(Ok(body)) => {
            let path = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
            handler(Request { method: parts.method.as_str().to_owned(), path, body: body.to_bytes() }).await
        }
        Ok(Err(_)) => Reply::error(400, "the body is too large or was cut off"),
        Err(_) => Reply::error(400, "the body did not arrive in time"),
    };
    let mut response = reply.into_response();
    if !stays_open {
        let close = hyper::header::HeaderValue::from_static("close");
        response.headers_mut().insert(hyper::header::CONNECTION, close);
    }
    Ok(response)
}

#[cfg(test)]
#[path = "../tests/unit/server.rs"]
mod tests;
