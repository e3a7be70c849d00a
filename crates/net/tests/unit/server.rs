use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn ask(stream: &mut TcpStream, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut buffer = vec![0; 4096];
    let n = stream.read(&mut buffer).await.expect("an answer");
    String::from_utf8_lossy(&buffer[..n]).into_owned()
}

/// One controller is left with all the workers: they take no more than their
/// share of the sockets, and all are answered; so are users and health checks.
#[tokio::test]
async fn clients_beyond_their_share_are_answered_and_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let share_of = |path: &str| usize::from(path != "/hello");
    let connections = Arc::new(Connections::new(12, &[("workers", 4), ("users", 2)], share_of));
    let handler = |_| async { Reply::new(200, &"fine") };
    let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
    tokio::spawn(serve(listener, connections.clone(), 1 << 16, handler, stop.clone(), tasks));
    let mut kept = Vec::new();
    let mut closed = 0;
    for _ in 0..40 {
        let mut stream = TcpStream::connect(addr).await.expect("accepted");
        let answer = ask(&mut stream, "/hello").await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        if answer.contains("connection: close") {
            closed += 1;
            assert_eq!(stream.read(&mut [0; 1]).await.expect("the end"), 0);
        } else {
            kept.push(stream);
        }
    }
    assert_eq!((kept.len(), closed), (4, 36));
    for n in 0..3 {
        let mut stream = TcpStream::connect(addr).await.expect("accepted");
        let answer = ask(&mut stream, "/healthz").await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert_eq!(answer.contains("connection: close"), n == 2);
        kept.push(stream);
    }
    assert!(ask(&mut kept[0], "/hello").await.starts_with("HTTP/1.1 200"), "those that stayed go on");
    assert_eq!(connections.take_rejected(), 0);
    stop.cancel();
}

/// Four thousand workers report to the one controller that is left, which has far fewer
/// sockets: they are served in turns, none of them is refused, and neither are health checks.
#[tokio::test]
async fn thousands_of_workers_are_served_in_turns() {
    const WORKERS: usize = 4000;
    const AT_ONCE: usize = 20;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let share_of = |path: &str| usize::from(path != "/hello");
    let connections = Arc::new(Connections::new(160, &[("workers", 100), ("users", 30)], share_of));
    let handler = |_| async { Reply::new(200, &"fine") };
    let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
    tokio::spawn(serve(listener, connections.clone(), 1 << 16, handler, stop.clone(), tasks));
    let mut kept: Vec<Option<TcpStream>> = (0..WORKERS).map(|_| None).collect();
    for _ in 0..2 {
        for some in kept.chunks_mut(AT_ONCE) {
            let mut reports = Vec::new();
            for stream in some.iter_mut() {
                let stream = stream.take();
                reports.push(tokio::spawn(async move {
                    let mut stream = match stream {
                        Some(stream) => stream,
                        None => TcpStream::connect(addr).await.expect("accepted"),
                    };
                    let answer = ask(&mut stream, "/hello").await;
                    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
                    (!answer.contains("connection: close")).then_some(stream)
                }));
            }
            for (stream, report) in some.iter_mut().zip(reports) {
                *stream = report.await.expect("answered");
            }
            let mut check = TcpStream::connect(addr).await.expect("accepted");
            assert!(ask(&mut check, "/healthz").await.starts_with("HTTP/1.1 200"));
        }
        assert!(kept.iter().flatten().count() <= 100);
    }
    assert_eq!(connections.take_rejected(), 0, "none was refused");
    stop.cancel();
}
