//! What passes is passed on as it is, and requests in it are seen.

use std::sync::{Arc, Mutex};

use sageloom_net::{Request, relay_and_inspect};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// What comes out, and the requests that were seen.
async fn pass(parts: &[&[u8]]) -> (Vec<u8>, Vec<(String, String, Vec<u8>)>) {
    let seen = Arc::new(Mutex::new(Vec::new()));
    let (mut from, inside) = tokio::io::duplex(64);
    let (outside, mut to) = tokio::io::duplex(64);
    let s = seen.clone();
    let read = move |r: Request| {
        s.lock().expect("not poisoned").push((r.method, r.path, r.body.to_vec()));
        std::future::ready(())
    };
    let all = async {
        for part in parts {
            from.write_all(part).await.expect("taken");
        }
        drop(from);
    };
    let mut out = Vec::new();
    let (passed, (), read) =
        tokio::join!(relay_and_inspect(inside, outside, 1024, read), all, to.read_to_end(&mut out));
    passed.expect("both sides were open");
    read.expect("read");
    let seen = seen.lock().expect("not poisoned").clone();
    (out, seen)
}

#[tokio::test]
async fn requests_are_seen_and_pass_unchanged() {
    let first = b"POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: 11\r\n\r\nhello";
    let rest = b" world";
    let get = b"GET /v1/jobs/j-1 HTTP/1.1\r\nhost: x\r\n\r\n";
    let (out, seen) = pass(&[first, rest, get]).await;
    assert_eq!(out, [&first[..], rest, get].concat());
    let post = ("POST".to_owned(), "/v1/jobs".to_owned(), b"hello world".to_vec());
    assert_eq!(seen, [post, ("GET".into(), "/v1/jobs/j-1".into(), Vec::new())]);
}

#[tokio::test]
async fn what_is_no_http_or_too_large_passes_unseen() {
    let other = vec![7; 5000];
    assert_eq!(pass(&[&other]).await, (other, Vec::new()));
    let large = [&b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3000\r\n\r\n"[..], &[b'x'; 3000]].concat();
    let (out, seen) = pass(&[&large]).await;
    assert!(out == large && seen.is_empty());
}
