use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::WatchedValue;

/// Guards against tasks that are woken in another order than they began to wait in, which would make
/// simulations differ from run to run.
#[tokio::test(start_paused = true)]
async fn waiting_tasks_are_woken_in_the_order_in_which_they_began_to_wait() {
    let value: Arc<WatchedValue<u64>> = Arc::default();
    let woken: Arc<Mutex<Vec<usize>>> = Arc::default();
    let wait = |n| {
        let (value, woken) = (value.clone(), woken.clone());
        tokio::spawn(async move {
            value.wait_for(|v| *v > 1).await;
            woken.lock().expect("not poisoned").push(n);
        })
    };
    let tasks: Vec<_> = (0..100).map(wait).collect();
    let until_all_wait = || tokio::time::sleep(Duration::from_millis(1));
    until_all_wait().await;
    value.set(1);
    until_all_wait().await;
    assert!(woken.lock().expect("not poisoned").is_empty(), "the condition is not met");
    value.set(2);
    for task in tasks {
        task.await.expect("it ends");
    }
    assert_eq!(*woken.lock().expect("not poisoned"), (0..100).collect::<Vec<_>>());
    assert_eq!(value.wait_for(|v| *v > 1).await, 2, "a condition that is met needs no change");
}
