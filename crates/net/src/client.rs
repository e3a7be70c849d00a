use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

#[derive(Debug, thiserror::Error)]
pub enum NetError {
    /// Nothing was sent, so nothing can have been carried out.
    #[error("no connection to {0}: {1}")]
    Connect(String, String),
    /// The request may have been carried out, or may still be.
    #[error("no answer from {0}: {1}")]
    Unknown(String, String),
}

#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Bytes,
}

type Idle = HashMap<String, Vec<SendRequest<Full<Bytes>>>>;

const IDLE_PER_HOST: usize = 4;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// A client that keeps a few idle connections for each address.
#[derive(Clone, Default)]
pub struct Client {
    idle: Arc<Mutex<Idle>>,
}

impl Client {
    pub fn new() -> Self {
        Self::default()
    }

    fn take_idle(&self, addr: &str) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(addr)?;
        while let Some(sender) = list.pop() {
            if !sender.is_closed() && sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    fn keep(&self, addr: &str, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(addr.to_owned()).or_default();
        list.retain(|s| !s.is_closed());
        if list.len() < IDLE_PER_HOST {
            list.push(sender);
        }
    }

    /// Drops the idle connections to an address that is not needed any more.
    pub fn forget(&self, addr: &str) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(addr);
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
    ) -> Result<Answer, NetError> {
        let unknown = |why: String| NetError::Unknown(addr.to_owned(), why);
        let mut sender = match self.take_idle(addr) {
            Some(sender) => sender,
            None => self.connect(addr, deadline.min(CONNECT_TIMEOUT)).await?,
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
            let body = Limited::new(response.into_body(), limit)
                .collect()
                .await
                .map_err(|e| unknown(e.to_string()))?
                .to_bytes();
            Ok::<_, NetError>((Answer { status, body }, closing))
        };
        let (answer, closing) =
            timeout(deadline, exchange).await.map_err(|_| unknown("deadline passed".into()))??;
        if !closing && sender.ready().await.is_ok() {
            self.keep(addr, sender);
        }
        Ok(answer)
    }

    async fn connect(&self, addr: &str, limit: Duration) -> Result<SendRequest<Full<Bytes>>, NetError> {
        let failed = |why: String| NetError::Connect(addr.to_owned(), why);
        let stream = timeout(limit, TcpStream::connect(addr))
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
