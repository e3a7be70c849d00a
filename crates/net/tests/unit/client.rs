use super::*;
use crate::{Connections, Reply, serve};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Guards against too many open connections when one remaining controller sends commands to all
/// workers: their number stays within the limit, and every request is answered.
#[tokio::test]
async fn connections_stay_within_the_limit_when_there_are_many_addresses() {
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
        let requests: Vec<_> = workers
            .iter()
            .map(|(addr, _)| {
                let (client, addr) = (client.clone(), addr.clone());
                tokio::spawn(async move {
                    let timeout = Duration::from_secs(5);
                    client.request(&addr, "GET", "/status", Vec::new(), 1 << 16, timeout).await
                })
            })
            .collect();
        for request in requests {
            assert_eq!(request.await.expect("ends").expect("a response").status, 200);
            assert!(client.open_connections() <= 5, "{}", client.open_connections());
        }
    }
    // Only the most recently used connections are still open.
    let open_at_workers = || workers.iter().map(|worker| worker.1.open_connections()).sum::<usize>();
    for _ in 0..100 {
        if open_at_workers() <= 5 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert!(
        open_at_workers() <= 5 && client.open_connections() == 5,
        "{} {}",
        open_at_workers(),
        client.open_connections()
    );
    client.close_idle(&workers[29].0);
    assert!(client.open_connections() <= 5);
    stop.cancel();
}

/// A response above the size limit is a different error from no response: a retry would get one as
/// large.
#[tokio::test]
async fn a_response_is_too_large_when_it_exceeds_the_limit() {
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
    let get = |limit| client.request(&addr, "GET", "/", Vec::new(), limit, Duration::from_secs(5));
    assert!(matches!(get(4096).await, Err(NetError::TooLarge(_, 4096))));
    assert_eq!(get(8192).await.expect("a response").status, 200);
    stop.cancel();
}
