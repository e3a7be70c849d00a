use std::collections::{BTreeMap, HashMap};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout_at};

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum NetError {
    /// Nothing was sent: the request was certainly not carried out.
    #[error("no connection to {0}: {1}")]
    Connect(String, String),
    /// Nothing was sent: the client's connections were all in use until the deadline.
    #[error("no connection to {0}: all of the client's connections are in use")]
    ConnectionLimit(String),
    /// The request may have been carried out, or may still be carried out later.
    #[error("no response from {0}: {1}")]
    NoResponse(String, String),
    /// There was a response, but it is larger than the limit.
    #[error("the response from {0} has more than {1} bytes")]
    TooLarge(String, usize),
}

/// The response to a request, with its whole body.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// Carries requests in place of the client's TCP connections, for instance over a simulated network.
pub trait Transport: Send + Sync {
    /// Sends one request. The future never completes if there is no response.
    fn request(&self, addr: &str, method: &str, path: &str, body: Vec<u8>) -> ResponseFuture;
}

/// The pending response to a request.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Result<Response, NetError>> + Send>>;

type RequestSender = SendRequest<Full<Bytes>>;

const MAX_IDLE_PER_ADDRESS: usize = 4;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// The idle connections. Each has a sequence number, the higher the later it was last used.
#[derive(Default)]
struct IdleConnections {
    by_address: HashMap<String, Vec<(u64, RequestSender)>>,
    by_last_use: BTreeMap<u64, String>,
    last_sequence: u64,
}

impl IdleConnections {
    fn take(&mut self, addr: &str) -> Option<RequestSender> {
        let connections = self.by_address.get_mut(addr)?;
        let mut found = None;
        while let Some((sequence, sender)) = connections.pop() {
            self.by_last_use.remove(&sequence);
            if !sender.is_closed() && sender.is_ready() {
                found = Some(sender);
                break;
            }
        }
        if connections.is_empty() {
            self.by_address.remove(addr);
        }
        found
    }

    fn insert(&mut self, addr: &str, sender: RequestSender) {
        let connections = self.by_address.entry(addr.to_owned()).or_default();
        let by_last_use = &mut self.by_last_use;
        connections.retain(|(sequence, sender)| {
            let is_open = !sender.is_closed();
            if !is_open {
                by_last_use.remove(sequence);
            }
            is_open
        });
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            self.last_sequence += 1;
            connections.push((self.last_sequence, sender));
            self.by_last_use.insert(self.last_sequence, addr.to_owned());
        }
    }

    fn remove(&mut self, addr: &str) {
        for (sequence, _) in self.by_address.remove(addr).unwrap_or_default() {
            self.by_last_use.remove(&sequence);
        }
    }

    /// Closes the least recently used connections until at most `max` are left.
    fn shrink_to(&mut self, max: usize) {
        while self.by_last_use.len() > max
            && let Some((closed, addr)) = self.by_last_use.pop_first()
        {
            if let Some(connections) = self.by_address.get_mut(&addr) {
                connections.retain(|(sequence, _)| *sequence != closed);
                if connections.is_empty() {
                    self.by_address.remove(&addr);
                }
            }
        }
    }
}

/// An HTTP client that keeps a few idle connections to each address and limits the number of open
/// connections. When the limit is reached, the least recently used idle connections are closed, and
/// requests wait for a connection until their deadline.
#[derive(Clone)]
pub struct Client {
    idle: Arc<Mutex<IdleConnections>>,
    max_connections: usize,
    /// A request holds a permit while it uses a connection.
    permits: Arc<Semaphore>,
    transport: Option<Arc<dyn Transport>>,
}

impl Client {
    /// Creates a client with at most `max_connections` open connections, idle ones included.
    pub fn new(max_connections: usize) -> Self {
        let max_connections = max_connections.clamp(1, Semaphore::MAX_PERMITS);
        Self {
            idle: Arc::default(),
            max_connections,
            permits: Arc::new(Semaphore::new(max_connections)),
            transport: None,
        }
    }

    /// Creates a client that sends its requests over a transport instead of TCP connections.
    pub fn with_transport(transport: Arc<dyn Transport>) -> Self {
        Self { transport: Some(transport), ..Self::new(Semaphore::MAX_PERMITS) }
    }

    fn idle(&self) -> MutexGuard<'_, IdleConnections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn in_use(&self) -> usize {
        self.max_connections - self.permits.available_permits()
    }

    /// The number of open connections, idle ones included.
    pub fn open_connections(&self) -> usize {
        self.in_use() + self.idle().by_last_use.len()
    }

    /// Closes the idle connections to an address that is no longer needed.
    pub fn close_idle(&self, addr: &str) {
        self.idle().remove(addr);
    }

    /// Sends one request and reads the whole response, of at most `max_response_bytes`, within
    /// `timeout`.
    pub async fn request(
        &self,
        addr: &str,
        method: &str,
        path: &str,
        body: Vec<u8>,
        max_response_bytes: usize,
        timeout: Duration,
    ) -> Result<Response, NetError> {
        let no_response = |reason: String| NetError::NoResponse(addr.to_owned(), reason);
        let limit_reached = || NetError::ConnectionLimit(addr.to_owned());
        let deadline = Instant::now() + timeout;
        if let Some(transport) = &self.transport {
            let exchange = transport.request(addr, method, path, body);
            return timeout_at(deadline, exchange)
                .await
                .map_err(|_| no_response("deadline passed".into()))?;
        }
        let permit = timeout_at(deadline, self.permits.acquire()).await;
        let _permit = permit.ok().and_then(Result::ok).ok_or_else(limit_reached)?;
        let idle = {
            let mut idle = self.idle();
            let found = idle.take(addr);
            idle.shrink_to(self.max_connections - self.in_use());
            found
        };
        let mut sender = match idle {
            Some(sender) => sender,
            None => self.connect(addr, deadline.min(Instant::now() + CONNECT_TIMEOUT)).await?,
        };
        let request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header("host", addr)
            .header("content-type", "application/msgpack")
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| NetError::Connect(addr.to_owned(), e.to_string()))?;
        let exchange = async {
            let response = sender.send_request(request).await.map_err(|e| no_response(e.to_string()))?;
            let status = response.status().as_u16();
            let server_closes = response
                .headers()
                .get("connection")
                .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
            let too_large = || NetError::TooLarge(addr.to_owned(), max_response_bytes);
            let body = Limited::new(response.into_body(), max_response_bytes)
                .collect()
                .await
                .map_err(
                    |e| if e.is::<LengthLimitError>() { too_large() } else { no_response(e.to_string()) },
                )?
                .to_bytes();
            Ok::<_, NetError>((Response { status, body }, server_closes))
        };
        let (response, server_closes) =
            timeout_at(deadline, exchange).await.map_err(|_| no_response("deadline passed".into()))??;
        if !server_closes && sender.ready().await.is_ok() {
            let mut idle = self.idle();
            idle.insert(addr, sender);
            // One more, because this request still holds its permit although its connection already counts
            // as idle.
            idle.shrink_to(self.max_connections + 1 - self.in_use());
        }
        Ok(response)
    }

    async fn connect(&self, addr: &str, deadline: Instant) -> Result<RequestSender, NetError> {
        let failed = |reason: String| NetError::Connect(addr.to_owned(), reason);
        let stream = timeout_at(deadline, TcpStream::connect(addr))
            .await
            .map_err(|_| failed("timed out".into()))?
            .map_err(|e| failed(e.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(|e| failed(e.to_string()))?;
        // This task ends when the sender is dropped or the peer closes the connection.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }
}

#[cfg(test)]
#[path = "../tests/unit/client.rs"]
mod tests;
