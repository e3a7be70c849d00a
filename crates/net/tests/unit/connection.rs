use super::*;
use crate::{Connections, Reply, Request, serve as serve_all};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio_util::task::TaskTracker;

/// Answers each request with its path and body, so many times; `/slow` after a while.
async fn echo(times: usize) -> (std::net::SocketAddr, Arc<Connections>, CancellationToken) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let handler = move |r: Request| async move {
        if r.path == "/slow" {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Reply { status: 200, body: [r.path.as_bytes(), &r.body].concat().repeat(times), retry_after: None }
    };
    let connections = Arc::new(Connections::new(8, &[], |_| 0));
    let stop = CancellationToken::new();
    tokio::spawn(serve_all(
        listener,
        connections.clone(),
        1 << 16,
        handler,
        stop.clone(),
        TaskTracker::new(),
    ));
    (addr, connections, stop)
}

fn request(path: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

/// Reads one answer, by its length; its head and its body.
async fn read(stream: &mut TcpStream) -> (String, Vec<u8>) {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await.expect("a head");
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = head.lines().find_map(|l| l.strip_prefix("content-length: ")).expect("a length");
    let mut body = vec![0; length.parse().expect("a number")];
    stream.read_exact(&mut body).await.expect("a body");
    (head, body)
}

/// However requests come, one by one, cut in pieces or many at once, each is answered
/// in its turn and the connection stays open, without a word of closing it.
#[tokio::test]
async fn requests_in_any_pieces_are_answered_in_turn_on_one_connection() {
    let (addr, connections, stop) = echo(1).await;
    let mut stream = TcpStream::connect(addr).await.expect("accepted");
    let pause = || tokio::time::sleep(Duration::from_millis(20));
    let expect = async |stream: &mut TcpStream, body: &str| {
        let (head, got) = read(stream).await;
        assert!(head.starts_with("HTTP/1.1 200") && !head.contains("connection"), "{head}");
        assert_eq!(String::from_utf8_lossy(&got), body);
    };
    for n in 0..3 {
        stream.write_all(request("/one", &n.to_string()).as_bytes()).await.expect("sent");
        expect(&mut stream, &format!("/one{n}")).await;
        pause().await;
    }
    // In pieces, the cuts anywhere; the end of one comes with the start of the next.
    let (first, second) = (request("/a", "first"), request("/b", "second"));
    let both = first.clone() + &second;
    for cut in [1, 10, first.len() - 2, first.len(), first.len() + 5, first.len() + 40] {
        stream.write_all(&both.as_bytes()[..cut]).await.expect("sent");
        pause().await;
        stream.write_all(&both.as_bytes()[cut..]).await.expect("sent");
        expect(&mut stream, "/afirst").await;
        expect(&mut stream, "/bsecond").await;
    }
    // Many at once, and some come while one before is still being answered.
    let many: String = (0..3).map(|n| request("/slow", &n.to_string())).collect();
    stream.write_all((many + &request("/last", "")).as_bytes()).await.expect("sent");
    for n in 0..3 {
        expect(&mut stream, &format!("/slow{n}")).await;
    }
    expect(&mut stream, "/last").await;
    assert_eq!(connections.open(), 1);
    drop(stream);
    for _ in 0..100 {
        if connections.open() == 0 {
            break;
        }
        pause().await;
    }
    assert_eq!(connections.open(), 0, "closed by its client");
    stop.cancel();
}

/// An answer larger than what a socket takes at once arrives whole, also by a client that
/// does not read for a while.
#[tokio::test]
async fn large_answers_arrive_whole() {
    let (addr, connections, stop) = echo(1 << 20).await;
    let mut stream = TcpStream::connect(addr).await.expect("accepted");
    for body in ["0123456789", "abcdef"] {
        stream.write_all(request("/", body).as_bytes()).await.expect("sent");
        tokio::time::sleep(Duration::from_millis(100)).await;
        let (_, got) = read(&mut stream).await;
        assert!(got == format!("/{body}").repeat(1 << 20).into_bytes());
    }
    assert_eq!(connections.open(), 1);
    stop.cancel();
}

/// A connection that is told to close is, and a client that asks for it is obeyed.
#[tokio::test]
async fn a_client_that_closes_is_obeyed() {
    let (addr, connections, stop) = echo(1).await;
    let mut stream = TcpStream::connect(addr).await.expect("accepted");
    stream.write_all(b"GET /x HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n").await.expect("sent");
    let (head, body) = read(&mut stream).await;
    assert!(head.contains("connection: close") && body == b"/x", "{head}");
    assert_eq!(stream.read(&mut [0; 1]).await.expect("the end"), 0);
    let mut idle = TcpStream::connect(addr).await.expect("accepted");
    idle.write_all(request("/y", "").as_bytes()).await.expect("sent");
    read(&mut idle).await;
    stop.cancel();
    assert_eq!(idle.read(&mut [0; 1]).await.expect("the end"), 0, "idle ones end with the server");
    drop((idle, connections));
}
