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

/// The answer to a request.
#[derive(Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// After how many seconds the client should ask again.
    pub retry_after: Option<u64>,
}

impl Reply {
    /// An answer with a value as MessagePack.
    pub fn new<T: Serialize>(status: u16, body: &T) -> Self {
        Self { status, body: wire::encode(body), retry_after: None }
    }

    /// An answer that says what is wrong.
    pub fn error(status: u16, message: &str) -> Self {
        Self::new(status, &wire::ErrorBody { error: message.to_owned() })
    }

    /// A 503 that tells the client when to come back.
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

/// Also ends connections that are idle for so long.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
const BODY_TIMEOUT: Duration = Duration::from_secs(4);

/// What some of a server's connections are for, and how many of them may stay
/// open between requests.
#[derive(Debug)]
pub struct Share {
    pub name: &'static str,
    keep: usize,
    open: AtomicUsize,
}

/// The connections of one server, counted by what they are for.
///
/// Whoever comes beyond its share is answered as well, but its connection is
/// closed after the answer: a few sockets then serve any number of clients, and
/// none of one kind keeps out those of another.
#[derive(Debug)]
pub struct Connections {
    most: usize,
    open: AtomicUsize,
    shares: Vec<Share>,
    /// Tells by the path which share a request belongs to.
    share_of: fn(&str) -> usize,
    closed: AtomicUsize,
}

impl Connections {
    /// At most `most` at a time, and of each kind as many as given kept open.
    pub fn new(most: usize, shares: &[(&'static str, usize)], share_of: fn(&str) -> usize) -> Self {
        let share =
            |(name, keep): &(&'static str, usize)| Share { name, keep: *keep, open: AtomicUsize::new(0) };
        Self {
            most,
            open: AtomicUsize::new(0),
            shares: shares.iter().map(share).collect(),
            share_of,
            closed: AtomicUsize::new(0),
        }
    }

    /// How many are open now, of any kind.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// How many are open of each kind now.
    pub fn open_by_class(&self) -> impl Iterator<Item = (&'static str, usize)> + '_ {
        self.shares.iter().map(|s| (s.name, s.open.load(Ordering::Relaxed)))
    }

    /// How many were closed at once for want of sockets, since the last call.
    pub fn take_rejected(&self) -> usize {
        self.closed.swap(0, Ordering::Relaxed)
    }
}

/// One open connection; counted until it is dropped.
struct Counted {
    of: Arc<Connections>,
    share: OnceLock<usize>,
}

impl Counted {
    fn new(of: Arc<Connections>) -> Option<Self> {
        if of.open.load(Ordering::Relaxed) >= of.most {
            of.closed.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        of.open.fetch_add(1, Ordering::Relaxed);
        Some(Self { of, share: OnceLock::new() })
    }

    /// Counts the connection for what its first request is; false if there are
    /// too many of the kind for this one to stay open.
    fn stays(&self, path: &str) -> bool {
        let i = *self.share.get_or_init(|| {
            let i = (self.of.share_of)(path);
            if let Some(share) = self.of.shares.get(i) {
                share.open.fetch_add(1, Ordering::Relaxed);
            }
            i
        });
        self.of.shares.get(i).is_none_or(|s| s.open.load(Ordering::Relaxed) <= s.keep)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.of.open.fetch_sub(1, Ordering::Relaxed);
        if let Some(share) = self.share.get().and_then(|i| self.of.shares.get(*i)) {
            share.open.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Serves connections until cancelled. Connections above the most are closed at
/// once, so that the process never runs out of sockets.
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
            a = listener.accept() => a,
        };
        let Ok((stream, _)) = accepted else {
            // Out of sockets, most likely: let some close first.
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Some(counted) = Counted::new(connections.clone()) else { continue };
        let counted = Arc::new(counted);
        let _ = stream.set_nodelay(true);
        let (handler, stop) = (handler.clone(), stop.clone());
        tasks.spawn(async move {
            let of = counted.clone();
            let service = service_fn(move |request| answer(request, body_limit, handler.clone(), of.clone()));
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

async fn answer<H, F>(
    request: hyper::Request<Incoming>,
    body_limit: usize,
    handler: H,
    counted: Arc<Counted>,
) -> Result<hyper::Response<Full<Bytes>>, Infallible>
where
    H: Fn(Request) -> F,
    F: Future<Output = Reply>,
{
    let (parts, body) = request.into_parts();
    let stays = counted.stays(parts.uri.path());
    let reply = match timeout(BODY_TIMEOUT, Limited::new(body, body_limit).collect()).await {
        Ok(Ok(body)) => {
            let path = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
            handler(Request { method: parts.method.as_str().to_owned(), path, body: body.to_bytes() }).await
        }
        Ok(Err(_)) => Reply::error(400, "the body is too large or was cut off"),
        Err(_) => Reply::error(400, "the body did not arrive in time"),
    };
    let mut response = reply.into_response();
    if !stays {
        let close = hyper::header::HeaderValue::from_static("close");
        response.headers_mut().insert(hyper::header::CONNECTION, close);
    }
    Ok(response)
}

#[cfg(test)]
#[path = "../tests/unit/server.rs"]
mod tests;
