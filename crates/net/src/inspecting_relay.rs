use std::convert::Infallible;
use std::future::Future;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, duplex};

use crate::Request;

/// Copies bytes from one side to the other until either ends, and calls `inspect` with every HTTP
/// request among them. The bytes are not changed, and not delayed for longer than `inspect` takes.
/// Bytes that are not HTTP are copied, too, but not inspected; nor are requests after a body larger
/// than `body_limit`.
pub async fn relay_and_inspect<F: Future<Output = ()>>(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    body_limit: usize,
    inspect: impl Fn(Request) -> F + Clone,
) -> std::io::Result<()> {
    let (mut parser_input, parsed_bytes) = duplex(2 * body_limit);
    let parser_io = tokio::io::join(parsed_bytes, tokio::io::sink());
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let inspect = inspect.clone();
        async move {
            let (parts, body) = request.into_parts();
            if let Ok(body) = Limited::new(body, body_limit).collect().await {
                let path = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
                inspect(Request { method: parts.method.as_str().to_owned(), path, body: body.to_bytes() })
                    .await;
            }
            Ok::<_, Infallible>(hyper::Response::new(Full::new(Bytes::new())))
        }
    });
    let parse = async {
        // An error is ignored: it means that the bytes are not, or no longer, HTTP. Half-close makes
        // the parser finish the requests that came before the end of the input.
        let mut builder = http1::Builder::new();
        let _ = builder.half_close(true).serve_connection(TokioIo::new(parser_io), service).await;
        Ok(())
    };
    let relay = async move {
        let mut buffer = vec![0; 16 * 1024];
        let mut parser_is_running = true;
        loop {
            let length = from.read(&mut buffer).await?;
            if length == 0 {
                // Returning drops the parser's input, so that the parser sees its end.
                return to.shutdown().await;
            }
            let bytes = buffer.get(..length).unwrap_or_default();
            // The write fails once the parser has ended; nothing is copied for it from then on.
            parser_is_running = parser_is_running && parser_input.write_all(bytes).await.is_ok();
            to.write_all(bytes).await?;
        }
    };
    tokio::try_join!(parse, relay).map(|_| ())
}
