use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn get(stream: &mut TcpStream, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut buffer = vec![0; 4096];
    let length = stream.read(&mut buffer).await.expect("a response");
    String::from_utf8_lossy(&buffer[..length]).into_owned()
}

/// Guards against workers using up the sockets of the only remaining controller: every worker is
/// answered, but only as many connections as the limit of their class stay open. Users and health
/// checks are answered as well.
#[tokio::test]
async fn connections_are_answered_and_closed_when_their_class_is_at_its_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let class_of = |path: &str| usize::from(path != "/hello");
    let connections = Arc::new(Connections::new(12, &[("workers", 4), ("users", 2)], class_of));
    let handler = |_| async { Reply::new(200, &"fine") };
    let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
    tokio::spawn(serve(listener, connections.clone(), 1 << 16, handler, stop.clone(), tasks));
    let mut kept = Vec::new();
    let mut closed = 0;
    for _ in 0..40 {
        let mut stream = TcpStream::connect(addr).await.expect("accepted");
        let response = get(&mut stream, "/hello").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        if response.contains("connection: close") {
            closed += 1;
            assert_eq!(stream.read(&mut [0; 1]).await.expect("the end"), 0);
        } else {
            kept.push(stream);
        }
    }
    assert_eq!((kept.len(), closed), (4, 36));
    for number in 0..3 {
        let mut stream = TcpStream::connect(addr).await.expect("accepted");
        let response = get(&mut stream, "/healthz").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert_eq!(response.contains("connection: close"), number == 2);
        kept.push(stream);
    }
    assert!(
        get(&mut kept[0], "/hello").await.starts_with("HTTP/1.1 200"),
        "kept connections are still served"
    );
    assert_eq!(connections.take_rejected(), 0);
    stop.cancel();
}

/// Guards against refused heartbeats when 4000 workers report to the only remaining controller, which
/// has far fewer sockets: all workers are served in turns, and health checks are served, too.
#[tokio::test]
async fn thousands_of_workers_are_served_in_turns() {
    const WORKERS: usize = 4000;
    const BATCH: usize = 20;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let class_of = |path: &str| usize::from(path != "/hello");
    let connections = Arc::new(Connections::new(160, &[("workers", 100), ("users", 30)], class_of));
    let handler = |_| async { Reply::new(200, &"fine") };
    let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
    tokio::spawn(serve(listener, connections.clone(), 1 << 16, handler, stop.clone(), tasks));
    let mut kept: Vec<Option<TcpStream>> = (0..WORKERS).map(|_| None).collect();
    for _ in 0..2 {
        for batch in kept.chunks_mut(BATCH) {
            let mut heartbeats = Vec::new();
            for stream in batch.iter_mut() {
                let stream = stream.take();
                heartbeats.push(tokio::spawn(async move {
                    let mut stream = match stream {
                        Some(stream) => stream,
                        None => TcpStream::connect(addr).await.expect("accepted"),
                    };
                    let response = get(&mut stream, "/hello").await;
                    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
                    (!response.contains("connection: close")).then_some(stream)
                }));
            }
            for (stream, heartbeat) in batch.iter_mut().zip(heartbeats) {
                *stream = heartbeat.await.expect("answered");
            }
            let mut health_check = TcpStream::connect(addr).await.expect("accepted");
            assert!(get(&mut health_check, "/healthz").await.starts_with("HTTP/1.1 200"));
        }
        assert!(kept.iter().flatten().count() <= 100);
    }
    assert_eq!(connections.take_rejected(), 0, "no connection was rejected");
    stop.cancel();
}

/// Guards against clients that take a request for malformed of which the server has read a part.
#[tokio::test(start_paused = true)]
async fn requests_that_do_not_arrive_as_a_whole_get_a_status_that_clients_retry() {
    const BODY_LIMIT: usize = 1 << 16;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let connections = Arc::new(Connections::new(8, &[], |_| 0));
    let handler = |_| async { Reply::new(200, &"handled") };
    let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
    tokio::spawn(serve(listener, connections.clone(), BODY_LIMIT, handler, stop.clone(), tasks));
    let response_to = async |body: &str, bytes: usize, ends: bool| {
        let mut stream = TcpStream::connect(addr).await.expect("accepted");
        let request = format!("POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: {bytes}\r\n\r\n{body}");
        stream.write_all(request.as_bytes()).await.expect("sent");
        if ends {
            stream.shutdown().await.expect("shut down");
        }
        let mut response = Vec::new();
        let _ = stream.read_to_end(&mut response).await;
        String::from_utf8_lossy(&response).into_owned()
    };
    let is_closed = |response: &String| response.contains("connection: close");
    let late = response_to("half", 8, false).await;
    assert!(late.starts_with("HTTP/1.1 408") && is_closed(&late), "{late}");
    let cut_off = response_to("half", 8, true).await;
    assert!(cut_off.is_empty() || cut_off.starts_with("HTTP/1.1 408"), "{cut_off}");
    let too_large = response_to("half", BODY_LIMIT + 1, false).await;
    assert!(too_large.starts_with("HTTP/1.1 413") && is_closed(&too_large), "{too_large}");
    assert_eq!(connections.take_unread(), 3);
    stop.cancel();
}

/// The limits of a public address with 900 sockets for the whole process.
fn connections_of_a_small_site() -> Arc<Connections> {
    let class_of = |path: &str| usize::from(path != "/hello");
    Arc::new(Connections::new(504, &[("workers", 336), ("users", 112)], class_of))
}

/// Sends a part of a request again and again, each time on a new connection once the last is closed.
async fn send_partly(addr: std::net::SocketAddr, part: &'static str) {
    loop {
        let Ok(mut stream) = TcpStream::connect(addr).await else { continue };
        let _ = stream.write_all(part.as_bytes()).await;
        let _ = stream.read_to_end(&mut Vec::new()).await;
    }
}

/// Sends a request on a new connection. Returns the connection if the request is answered in time.
async fn answered(addr: std::net::SocketAddr, path: &'static str, limit: Duration) -> Option<TcpStream> {
    let exchange = async {
        let mut stream = TcpStream::connect(addr).await.ok()?;
        let response = get(&mut stream, path).await;
        response.starts_with("HTTP/1.1 200").then_some(stream)
    };
    timeout(limit, exchange).await.ok().flatten()
}

/// Guards against slow clients that keep out health checks and heartbeats, however often they return.
#[tokio::test]
async fn health_checks_and_heartbeats_are_answered_in_time_while_many_clients_send_slowly() {
    const SLOW: usize = 600;
    const WORKERS: usize = 4000;
    const BATCH: usize = 100;
    const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
    const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
    let listener = listen("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let connections = connections_of_a_small_site();
    let handler = |_| async { Reply::new(200, &"fine") };
    let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
    tokio::spawn(serve(listener, connections.clone(), 1 << 16, handler, stop.clone(), tasks));
    let half_a_head = "POST /v1/jobs HTTP/1.1\r\nhost: ";
    let half_a_body = "POST /hello HTTP/1.1\r\nhost: x\r\ncontent-length: 8\r\n\r\nhalf";
    let slow: Vec<_> = (0..SLOW)
        .map(|n| tokio::spawn(send_partly(addr, if n % 3 == 0 { half_a_body } else { half_a_head })))
        .collect();
    sleep(Duration::from_millis(500)).await;
    // Connections that the server keeps open stay open.
    let mut kept = Vec::new();
    for _ in 0..WORKERS / BATCH {
        let health_check = tokio::spawn(answered(addr, "/healthz", HEALTH_CHECK_TIMEOUT));
        let heartbeat = || tokio::spawn(answered(addr, "/hello", HEARTBEAT_TIMEOUT));
        let heartbeats: Vec<_> = (0..BATCH).map(|_| heartbeat()).collect();
        for heartbeat in heartbeats {
            kept.push(heartbeat.await.expect("no panic").expect("a heartbeat is answered in time"));
        }
        health_check.await.expect("no panic").expect("a health check is answered in time");
    }
    slow.iter().for_each(tokio::task::JoinHandle::abort);
    assert!(connections.take_displaced() > 0 && connections.take_rejected() == 0);
    stop.cancel();
}

/// Guards against workers whose connections are closed because others have sent half a heartbeat.
#[tokio::test]
async fn a_connection_counts_for_its_class_only_once_a_whole_request_has_arrived() {
    const KEPT_WORKERS: usize = 4;
    let listener = listen("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let connections = Arc::new(Connections::new(12, &[("workers", KEPT_WORKERS)], |_| 0));
    let handler = |_| async { Reply::new(200, &"fine") };
    let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
    tokio::spawn(serve(listener, connections.clone(), 1 << 16, handler, stop.clone(), tasks));
    let mut incomplete = Vec::new();
    for _ in 0..KEPT_WORKERS {
        let mut stream = TcpStream::connect(addr).await.expect("accepted");
        let half = b"POST /hello HTTP/1.1\r\nhost: x\r\ncontent-length: 8\r\n\r\nhalf";
        stream.write_all(half).await.expect("sent");
        incomplete.push(stream);
    }
    let mut kept = Vec::new();
    for _ in 0..KEPT_WORKERS {
        let mut stream = TcpStream::connect(addr).await.expect("accepted");
        let response = get(&mut stream, "/hello").await;
        assert!(
            response.starts_with("HTTP/1.1 200") && !response.contains("connection: close"),
            "{response}"
        );
        kept.push(stream);
    }
    stop.cancel();
}

/// Guards against memory that the heads of requests take, and against a final refusal of one.
#[tokio::test]
async fn a_head_that_is_too_long_is_refused_with_a_status_that_clients_retry() {
    let listener = listen("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let connections = Arc::new(Connections::new(4, &[], |_| 0));
    let handler = |_| async { Reply::new(200, &"fine") };
    let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
    tokio::spawn(serve(listener, connections, 1 << 16, handler, stop.clone(), tasks));
    let mut stream = TcpStream::connect(addr).await.expect("accepted");
    let response = get(&mut stream, &format!("/{}", "x".repeat(MAX_HEAD_BYTES * 2))).await;
    assert!(response.starts_with("HTTP/1.1 431"), "{response}");
    stop.cancel();
}
