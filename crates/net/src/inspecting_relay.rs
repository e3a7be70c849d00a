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

/// Copies from one side to the other until either ends, and hands every request that
/// passes to `read`. What passes is not changed, nor is it held back for longer than
/// `read` takes. Bytes that are not HTTP pass all the same; no request is seen in them, nor
/// after a body larger than `body_limit`.
pub async fn relay_and_inspect<F: Future<Output = ()>>(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    body_limit: usize,
    read: impl Fn(Request) -> F + Clone,
) -> std::io::Result<()> {
    let (mut copy, parsed) = duplex(2 * body_limit);
    let reader = tokio::io::join(parsed, tokio::io::sink());
    let service = service_fn(move |request: hyper::Request<Incoming>| {
        let read = read.clone();
        async move {
            let (parts, body) = request.into_parts();
            if let Ok(body) = Limited::new(body, body_limit).collect().await {
                let path = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
                read(Request { method: parts.method.as_str().to_owned(), path, body: body.to_bytes() }).await;
            }
            Ok::<_, Infallible>(hyper::Response::new(Full::new(Bytes::new())))
        }
    });
    let parse = async {
        // An error means that it is not HTTP (any more).
        // What came before the end is still read after it.
        let mut builder = http1::Builder::new();
        let _ = builder.half_close(true).serve_connection(TokioIo::new(reader), service).await;
        Ok(())
    };
    let pass = async move {
        let mut buffer = vec![0; 16 * 1024];
        let mut reads = true;
        loop {
            let n = from.read(&mut buffer).await?;
            if n == 0 {
                // The copy ends here as well, so that the parser sees the end.
                return to.shutdown().await;
            }
            let bytes = buffer.get(..n).unwrap_or_default();
            // The parser may have ended; then there is nobody to copy for.
            reads = reads && copy.write_all(bytes).await.is_ok();
            to.write_all(bytes).await?;
        }
    };
    tokio::try_join!(parse, pass).map(|_| ())
}
