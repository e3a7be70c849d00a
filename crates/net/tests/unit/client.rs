use super::*;
use crate::{Connections, Reply, serve};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// One controller is left that commands all the workers: its connections to
/// them stay within their share, and each request gets its turn.
#[tokio::test]
async fn connections_to_many_addresses_stay_within_their_number() {
    let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
    let mut workers = Vec::new();
    for _ in 0..30 {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("an address").to_string();
        let connections = Arc::new(Connections::new(8, &[], |_| 0));
        let handler = |_| async { Reply::new(200, &"fine") };
        tokio::spawn(serve(listener, connections.clone(), 1 << 16, handler, stop.clone(), tasks.clone()));
        workers.push((addr, connections));
    }
    let client = Client::new(5);
    for _ in 0..2 {
        let all: Vec<_> = workers
            .iter()
            .map(|(addr, _)| {
                let (client, addr) = (client.clone(), addr.clone());
                tokio::spawn(async move {
                    let deadline = Duration::from_secs(5);
                    client.request(&addr, "GET", "/status", Vec::new(), 1 << 16, deadline).await
                })
            })
            .collect();
        for a in all {
            assert_eq!(a.await.expect("ends").expect("an answer").status, 200);
            assert!(client.open_connections() <= 5, "{}", client.open_connections());
        }
    }
    // Only those that were used last are still open.
    let open = || workers.iter().map(|w| w.1.open_connections()).sum::<usize>();
    for _ in 0..100 {
        if open() <= 5 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(open() <= 5 && client.open_connections() == 5, "{} {}", open(), client.open_connections());
    client.close_idle(&workers[29].0);
    assert!(client.open_connections() <= 5);
    stop.cancel();
}

/// An answer that is larger than asked for is told apart from none: asked for again, it
/// would be as large.
#[tokio::test]
async fn an_answer_beyond_the_limit_is_told_apart() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let (stop, tasks) = (CancellationToken::new(), TaskTracker::new());
    let handler = |_| async { Reply::new(200, &"x".repeat(5000)) };
    tokio::spawn(serve(
        listener,
        Arc::new(Connections::new(8, &[], |_| 0)),
        1 << 16,
        handler,
        stop.clone(),
        tasks,
    ));
    let client = Client::new(2);
    let ask = |limit| client.request(&addr, "GET", "/", Vec::new(), limit, Duration::from_secs(5));
    assert!(matches!(ask(4096).await, Err(NetError::TooLarge(_, 4096))));
    assert_eq!(ask(8192).await.expect("an answer").status, 200);
    stop.cancel();
}
