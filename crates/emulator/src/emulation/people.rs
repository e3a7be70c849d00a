//! The emulated users behind HTTP.

use std::sync::Arc;
use std::time::{Duration, Instant};

use net::Client;
use tokio::time::{MissedTickBehavior, interval};
use wire::JobStatus;

use super::Live;
use crate::users::{Question, Told};

const TICK: Duration = Duration::from_millis(50);
/// Connections that users have open at a time.
const MOST: usize = 256;

/// Sends what users ask to the load balancer.
pub async fn users(live: Arc<Live>, balancer: String) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let client = Client::new(MOST);
    loop {
        tokio::select! {
            () = live.stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let questions = live.users.lock().poll(Instant::now());
        for question in questions {
            live.tasks.spawn(ask(live.clone(), client.clone(), balancer.clone(), question));
        }
    }
}

async fn ask(live: Arc<Live>, client: Client, balancer: String, question: Question) {
    let Question { method, path, body, wait, .. } = &question;
    let answer = client.request(&balancer, method, path, body.clone(), wire::BODY_LIMIT, *wait).await;
    let told = answer.map_or_else(
        |_| Told::default(),
        |a| {
            let state = wire::decode::<JobStatus>(&a.body).ok().map(|s| s.state);
            Told { status: Some(a.status), retry_after: None, state }
        },
    );
    live.users.lock().told(&question, told, Instant::now());
}
