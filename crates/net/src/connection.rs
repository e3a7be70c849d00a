//! One connection of a server. Most of them are idle most of the time, and a thousand
//! are open: between requests a connection holds its socket and nothing else. hyper keeps
//! 16 KiB of buffers for each as long as it serves it, which on the smallest controllers
//! was a quarter of the memory; so it is given the socket for as long as something is
//! asked, and gives it back once that is answered.

use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// How long a request's head may take, and a connection may be idle.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
const BUFFER_MOST: usize = 96 * 1024;

type Response = hyper::Response<Full<Bytes>>;

/// Answers a connection's requests until either side closes it.
pub(crate) async fn serve<A, F>(stream: TcpStream, answer: A, stop: CancellationToken)
where
    A: Fn(hyper::Request<Incoming>) -> F,
    F: Future<Output = Result<Response, Infallible>>,
{
    let answer = Arc::new(answer);
    let mut before = Bytes::new();
    let mut stream = Some(stream);
    while let Some(open) = stream.take() {
        if before.is_empty() {
            let asked = tokio::select! {
                r = timeout(HEADER_TIMEOUT, open.readable()) => matches!(r, Ok(Ok(()))),
                _ = stop.cancelled() => false,
            };
            if !asked {
                return;
            }
        }
        // In a box, as it is much larger than what an idle connection takes.
        let exchange = Box::pin(exchange(open, std::mem::take(&mut before), answer.clone(), &stop));
        (stream, before) = exchange.await;
    }
}

/// What of an exchange is still to be done.
#[derive(Default)]
struct Progress {
    asked: AtomicUsize,
    answered: AtomicUsize,
    /// Some of an answer waits until the socket takes it.
    blocked: AtomicBool,
}

impl Progress {
    fn is_over(&self) -> bool {
        let answered = self.answered.load(Ordering::Relaxed);
        answered > 0
            && answered == self.asked.load(Ordering::Relaxed)
            && !self.blocked.load(Ordering::Relaxed)
    }
}

/// Answers what is asked now. Gives the socket back if it stays open, with what was read
/// of the next request.
async fn exchange<A, F>(
    stream: TcpStream,
    before: Bytes,
    answer: Arc<A>,
    stop: &CancellationToken,
) -> (Option<TcpStream>, Bytes)
where
    A: Fn(hyper::Request<Incoming>) -> F,
    F: Future<Output = Result<Response, Infallible>>,
{
    let progress = Arc::new(Progress::default());
    let of = progress.clone();
    let service = service_fn(move |request| {
        of.asked.fetch_add(1, Ordering::Relaxed);
        let (of, answering) = (of.clone(), answer(request));
        Box::pin(async move {
            let response = answering.await;
            of.answered.fetch_add(1, Ordering::Relaxed);
            response
        })
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT).max_buf_size(BUFFER_MOST);
    let socket = Socket { before, stream, progress: progress.clone() };
    let mut connection = builder.serve_connection(TokioIo::new(socket), service);
    let mut leaving = false;
    let over = poll_fn(|cx| {
        loop {
            match connection.poll_without_shutdown(cx) {
                Poll::Ready(ended) => return Poll::Ready(ended.is_ok() && leaving),
                // All is answered and sent, and hyper waits for the next request: it ends
                // at once, without a word to the client.
                Poll::Pending if !leaving && progress.is_over() => {
                    leaving = true;
                    Pin::new(&mut connection).graceful_shutdown();
                }
                Poll::Pending => return Poll::Pending,
            }
        }
    });
    let stays = tokio::select! {
        stays = over => Some(stays),
        _ = stop.cancelled() => None,
    };
    match stays {
        Some(true) => {
            let parts = connection.into_parts();
            let socket = parts.io.into_inner();
            // A copy, as even nothing of a buffer would keep all of it.
            let rest = [&*parts.read_buf, &*socket.before].concat();
            (Some(socket.stream), rest.into())
        }
        Some(false) => {
            let _ = connection.into_parts().io.into_inner().stream.shutdown().await;
            (None, Bytes::new())
        }
        None => {
            Pin::new(&mut connection).graceful_shutdown();
            let _ = timeout(Duration::from_secs(1), connection).await;
            (None, Bytes::new())
        }
    }
}

/// A socket of which something was read already.
struct Socket {
    before: Bytes,
    stream: TcpStream,
    progress: Arc<Progress>,
}

impl Socket {
    fn note<T>(&self, written: Poll<T>) -> Poll<T> {
        self.progress.blocked.store(written.is_pending(), Ordering::Relaxed);
        written
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.before.is_empty() {
            let n = self.before.len().min(buf.remaining());
            buf.put_slice(&self.before[..n]);
            self.before.advance(n);
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
#[path = "../tests/unit/connection.rs"]
mod tests;
