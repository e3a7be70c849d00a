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

/// Why a request has no answer.
#[derive(Debug, thiserror::Error)]
pub enum NetError {
    /// Nothing was sent, so nothing can have been carried out.
    #[error("no connection to {0}: {1}")]
    Connect(String, String),
    /// Nor was it here: all connections that there may be are in use.
    #[error("no connection to {0}: too many requests are open")]
    ConnectionLimit(String),
    /// The request may have been carried out, or may still be.
    #[error("no answer from {0}: {1}")]
    NoResponse(String, String),
    /// There was an answer, and it was not read to its end.
    #[error("the answer from {0} has more than {1} bytes")]
    TooLarge(String, usize),
}

/// The answer to a request.
#[derive(Debug)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// What carries requests in place of connections: a network of a kind of its own, such
/// as one that lies in memory.
pub trait Transport: Send + Sync {
    /// Sends one request; never ends if there is no answer.
    fn request(&self, addr: &str, method: &str, path: &str, body: Vec<u8>) -> ResponseFuture;
}

/// A request on its way, and its answer.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Result<Response, NetError>> + Send>>;

type Sender = SendRequest<Full<Bytes>>;

const IDLE_PER_HOST: usize = 4;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Connections without a request, each with its place in the order of last use.
#[derive(Default)]
struct Idle {
    by_addr: HashMap<String, Vec<(u64, Sender)>>,
    by_use: BTreeMap<u64, String>,
    uses: u64,
}

impl Idle {
    fn take(&mut self, addr: &str) -> Option<Sender> {
        let list = self.by_addr.get_mut(addr)?;
        let mut found = None;
        while let Some((at, sender)) = list.pop() {
            self.by_use.remove(&at);
            if !sender.is_closed() && sender.is_ready() {
                found = Some(sender);
                break;
            }
        }
        if list.is_empty() {
            self.by_addr.remove(addr);
        }
        found
    }

    fn keep(&mut self, addr: &str, sender: Sender) {
        let list = self.by_addr.entry(addr.to_owned()).or_default();
        let by_use = &mut self.by_use;
        list.retain(|(at, s)| {
            let open = !s.is_closed();
            if !open {
                by_use.remove(at);
            }
            open
        });
        if list.len() < IDLE_PER_HOST {
            self.uses += 1;
            list.push((self.uses, sender));
            self.by_use.insert(self.uses, addr.to_owned());
        }
    }

    fn remove(&mut self, addr: &str) {
        for (at, _) in self.by_addr.remove(addr).unwrap_or_default() {
            self.by_use.remove(&at);
        }
    }

    /// Closes those that were not used for longest, until there are `most`.
    fn shrink(&mut self, most: usize) {
        while self.by_use.len() > most
            && let Some((at, addr)) = self.by_use.pop_first()
        {
            if let Some(list) = self.by_addr.get_mut(&addr) {
                list.retain(|(a, _)| *a != at);
                if list.is_empty() {
                    self.by_addr.remove(&addr);
                }
            }
        }
    }
}

/// A client that keeps a few idle connections for each address, and never has
/// more connections open than it was made for: those idle for longest are closed
/// when others are needed, and a request waits for its turn, within its deadline.
#[derive(Clone)]
pub struct Client {
    idle: Arc<Mutex<Idle>>,
    most: usize,
    turns: Arc<Semaphore>,
    transport: Option<Arc<dyn Transport>>,
}

impl Client {
    /// A client that keeps so many connections open at the most.
    pub fn new(most: usize) -> Self {
        let most = most.clamp(1, Semaphore::MAX_PERMITS);
        Self { idle: Arc::default(), most, turns: Arc::new(Semaphore::new(most)), transport: None }
    }

    /// A client whose requests something else carries than connections of its own.
    pub fn with_transport(transport: Arc<dyn Transport>) -> Self {
        Self { transport: Some(transport), ..Self::new(Semaphore::MAX_PERMITS) }
    }

    fn idle(&self) -> MutexGuard<'_, Idle> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn in_use(&self) -> usize {
        self.most - self.turns.available_permits()
    }

    /// How many connections are open, idle ones too.
    pub fn open_connections(&self) -> usize {
        self.in_use() + self.idle().by_use.len()
    }

    /// Drops the idle connections to an address that is not needed any more.
    pub fn close_idle(&self, addr: &str) {
        self.idle().remove(addr);
    }

    /// Sends one request and reads the whole answer before the deadline.
    pub async fn request(
        &self,
        addr: &str,
        method: &str,
        path: &str,
        body: Vec<u8>,
        limit: usize,
        deadline: Duration,
    ) -> Result<Response, NetError> {
        let unknown = |why: String| NetError::NoResponse(addr.to_owned(), why);
        let busy = || NetError::ConnectionLimit(addr.to_owned());
        let until = Instant::now() + deadline;
        if let Some(transport) = &self.transport {
            let exchange = transport.request(addr, method, path, body);
            return timeout_at(until, exchange).await.map_err(|_| unknown("deadline passed".into()))?;
        }
        let turn = timeout_at(until, self.turns.acquire()).await;
        let _turn = turn.ok().and_then(Result::ok).ok_or_else(busy)?;
        let idle = {
            let mut idle = self.idle();
            let found = idle.take(addr);
            idle.shrink(self.most - self.in_use());
            found
        };
        let mut sender = match idle {
            Some(sender) => sender,
            None => self.connect(addr, until.min(Instant::now() + CONNECT_TIMEOUT)).await?,
        };
        let request = hyper::Request::builder()
            .method(method)
            .uri(path)
            .header("host", addr)
            .header("content-type", "application/msgpack")
            .body(Full::new(Bytes::from(body)))
            .map_err(|e| NetError::Connect(addr.to_owned(), e.to_string()))?;
        let exchange = async {
            let response = sender.send_request(request).await.map_err(|e| unknown(e.to_string()))?;
            let status = response.status().as_u16();
            let closing = response
                .headers()
                .get("connection")
                .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
            let too_large = || NetError::TooLarge(addr.to_owned(), limit);
            let body = Limited::new(response.into_body(), limit)
                .collect()
                .await
                .map_err(|e| if e.is::<LengthLimitError>() { too_large() } else { unknown(e.to_string()) })?
                .to_bytes();
            Ok::<_, NetError>((Response { status, body }, closing))
        };
        let (answer, closing) =
            timeout_at(until, exchange).await.map_err(|_| unknown("deadline passed".into()))??;
        if !closing && sender.ready().await.is_ok() {
            let mut idle = self.idle();
            idle.keep(addr, sender);
            // This request's own turn passes on to the idle connection.
            idle.shrink(self.most + 1 - self.in_use());
        }
        Ok(answer)
    }

    async fn connect(&self, addr: &str, until: Instant) -> Result<Sender, NetError> {
        let failed = |why: String| NetError::Connect(addr.to_owned(), why);
        let stream = timeout_at(until, TcpStream::connect(addr))
            .await
            .map_err(|_| failed("timed out".into()))?
            .map_err(|e| failed(e.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(|e| failed(e.to_string()))?;
        // Ends by itself once the sender is dropped or the peer closes.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }
}

#[cfg(test)]
#[path = "../tests/unit/client.rs"]
mod tests;
