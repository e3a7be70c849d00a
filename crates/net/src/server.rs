use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
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
    pub method: String,
    pub path: String,
    pub body: Bytes,
}

#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after: Option<u64>,
}

impl Reply {
    pub fn new<T: Serialize>(status: u16, body: &T) -> Self {
        Self { status, body: wire::encode(body), retry_after: None }
    }

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

/// Serves connections until cancelled. Connections above `max_connections` are
/// closed at once, so that the process never runs out of sockets.
pub async fn serve<H, F>(
    listener: TcpListener,
    max_connections: usize,
    body_limit: usize,
    handler: H,
    stop: CancellationToken,
    tasks: TaskTracker,
) where
    H: Fn(Request) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let open = Arc::new(AtomicUsize::new(0));
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
        if open.load(Ordering::Relaxed) >= max_connections {
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let _ = stream.set_nodelay(true);
        let (handler, open, stop) = (handler.clone(), open.clone(), stop.clone());
        tasks.spawn(async move {
            let service = service_fn(move |request| answer(request, body_limit, handler.clone()));
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
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn answer<H, F>(
    request: hyper::Request<Incoming>,
    body_limit: usize,
    handler: H,
) -> Result<hyper::Response<Full<Bytes>>, Infallible>
where
    H: Fn(Request) -> F,
    F: Future<Output = Reply>,
{
    let (parts, body) = request.into_parts();
    let body = match timeout(BODY_TIMEOUT, Limited::new(body, body_limit).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => return Ok(Reply::error(400, "the body is too large or was cut off").into_response()),
        Err(_) => return Ok(Reply::error(400, "the body did not arrive in time").into_response()),
    };
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
    let request = Request { method: parts.method.as_str().to_owned(), path, body };
    Ok(handler(request).await.into_response())
}
