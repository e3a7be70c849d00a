//! Responses to requests.

use bytes::Bytes;
use http_body_util::Full;
use serde::Serialize;

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

    pub(super) fn into_response(self) -> hyper::Response<Full<Bytes>> {
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
