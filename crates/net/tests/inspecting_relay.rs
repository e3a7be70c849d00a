//! The relay copies bytes unchanged and inspects the requests among them.

use std::sync::{Arc, Mutex};

use sageloom_net::{Request, relay_and_inspect};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Relays the chunks; returns the bytes that come out and the requests that were inspected.
async fn relay(chunks: &[&[u8]]) -> (Vec<u8>, Vec<(String, String, Vec<u8>)>) {
    let inspected = Arc::new(Mutex::new(Vec::new()));
    let (mut from, inside) = tokio::io::duplex(64);
    let (outside, mut to) = tokio::io::duplex(64);
    let requests = inspected.clone();
    let inspect = move |request: Request| {
        requests.lock().expect("not poisoned").push((request.method, request.path, request.body.to_vec()));
        std::future::ready(())
    };
    let write_chunks = async {
        for chunk in chunks {
            from.write_all(chunk).await.expect("written");
        }
        drop(from);
    };
    let mut out = Vec::new();
    let (relayed, (), read) = tokio::join!(
        relay_and_inspect(inside, outside, 1024, inspect),
        write_chunks,
        to.read_to_end(&mut out)
    );
    relayed.expect("both sides were open");
    read.expect("read");
    let inspected = inspected.lock().expect("not poisoned").clone();
    (out, inspected)
}

#[tokio::test]
async fn requests_are_inspected_and_relayed_unchanged() {
    let first = b"POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: 11\r\n\r\nhello";
    let rest = b" world";
    let get = b"GET /v1/jobs/j-1 HTTP/1.1\r\nhost: x\r\n\r\n";
    let (out, inspected) = relay(&[first, rest, get]).await;
    assert_eq!(out, [&first[..], rest, get].concat());
    let post = ("POST".to_owned(), "/v1/jobs".to_owned(), b"hello world".to_vec());
    assert_eq!(inspected, [post, ("GET".into(), "/v1/jobs/j-1".into(), Vec::new())]);
}

#[tokio::test]
async fn input_is_relayed_uninspected_when_it_is_not_http_or_too_large() {
    let other = vec![7; 5000];
    assert_eq!(relay(&[&other]).await, (other, Vec::new()));
    let large = [&b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3000\r\n\r\n"[..], &[b'x'; 3000]].concat();
    let (out, inspected) = relay(&[&large]).await;
    assert!(out == large && inspected.is_empty());
}
