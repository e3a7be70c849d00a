//! Reads a request as a whole, within limits of time and size.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use hyper::http::request::Parts;
use tokio::time::timeout;

use super::Reply;

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
}

impl UnreadRequest {
    /// Never 400: that says that the request is malformed, which shows only once it has been read, and
    /// its client would not repeat it.
    fn status(self) -> StatusCode {
        match self {
            Self::Late | Self::CutOff => StatusCode::REQUEST_TIMEOUT,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
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
    ) -> Result<Self, UnreadRequest> {
        if body.size_hint().lower() > body_limit as u64 {
            return Err(UnreadRequest::TooLarge);
        }
        let collected = timeout(BODY_TIMEOUT, Limited::new(body, body_limit).collect()).await;
        let body = collected.map_err(|_| UnreadRequest::Late)?.map_err(|error| {
            if error.is::<LengthLimitError>() { UnreadRequest::TooLarge } else { UnreadRequest::CutOff }
        })?;
        let path = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
        Ok(Self { method: parts.method.as_str().to_owned(), path, body: body.to_bytes() })
    }
}
