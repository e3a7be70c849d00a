//! Reads a request as a whole, within limits of time and size.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use hyper::http::request::Parts;
use tokio::time::timeout;

use super::Reply;
use super::connections::ReceivedRequest;

/// How long a body may take to arrive after its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(4);

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

/// Why a request was not read as a whole. Nothing of it was carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum UnreadRequest {
    #[error("the body did not arrive in time")]
    Late,
    #[error("the body was cut off")]
    CutOff,
    #[error("the body is too large")]
    TooLarge,
    #[error("too many requests are being received")]
    NoMemory,
}

impl UnreadRequest {
    /// Never 400: that says that the request is malformed, which shows only once it has been read, and
    /// its client would not repeat it.
    fn status(self) -> StatusCode {
        match self {
            Self::Late | Self::CutOff => StatusCode::REQUEST_TIMEOUT,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl From<UnreadRequest> for Reply {
    fn from(unread: UnreadRequest) -> Self {
        Self::error(unread.status().as_u16(), &unread.to_string())
    }
}

impl Request {
    /// Waits for the body of at most `body_limit` bytes.
    pub(super) async fn read(
        parts: &Parts,
        body: Incoming,
        body_limit: usize,
        received: &mut ReceivedRequest,
    ) -> Result<Self, UnreadRequest> {
        let read = timeout(BODY_TIMEOUT, read_body(body, body_limit, received)).await;
        let body = read.unwrap_or(Err(UnreadRequest::Late))?;
        received.complete();
        let path = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
        Ok(Self { method: parts.method.as_str().to_owned(), path, body })
    }
}

/// Copies the body into one buffer: a body that arrives byte by byte would hold far more memory in
/// its parts.
async fn read_body(
    mut body: Incoming,
    body_limit: usize,
    received: &ReceivedRequest,
) -> Result<Bytes, UnreadRequest> {
    if body.size_hint().lower() > body_limit as u64 {
        return Err(UnreadRequest::TooLarge);
    }
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| UnreadRequest::CutOff)?;
        let Ok(data) = frame.into_data() else { continue };
        if whole.len() + data.len() > body_limit {
            return Err(UnreadRequest::TooLarge);
        }
        if !received.receive(data.len()) {
            return Err(UnreadRequest::NoMemory);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}
