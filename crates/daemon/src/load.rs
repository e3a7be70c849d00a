//! What a controller's own work amounts to, told in the log every ten seconds.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::sleep;
use tracing::info;

use crate::controller::Controller;

/// What changes of the state service are spent on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    Rounds,
    Users,
    Members,
    Machines,
    Fleet,
    /// Parts of records that are larger than a value.
    Parts,
    Drains,
}

const PURPOSES: [(Purpose, &str); 7] = [
    (Purpose::Rounds, "rounds"),
    (Purpose::Users, "users"),
    (Purpose::Members, "members"),
    (Purpose::Machines, "machines"),
    (Purpose::Fleet, "fleet"),
    (Purpose::Parts, "parts"),
    (Purpose::Drains, "drains"),
];

/// Counted since the last line.
#[derive(Debug, Default)]
pub struct LoadCounters {
    changes: [AtomicU64; PURPOSES.len()],
    pub conflicts: AtomicU64,
    pub rounds: AtomicU64,
    pub round_us: AtomicU64,
    pub reports: AtomicU64,
    /// Summaries sent since the start.
    pub summaries: AtomicU64,
    /// Reports that were sent elsewhere or answered without renewing a lease.
    pub turned_away: AtomicU64,
}

impl LoadCounters {
    pub fn spend(&self, purpose: Purpose, changes: usize) {
        if let Some(i) = PURPOSES.iter().position(|(p, _)| *p == purpose) {
            self.changes[i].fetch_add(changes as u64, Ordering::Relaxed);
        }
    }

    pub fn add(counter: &AtomicU64, n: u64) {
        counter.fetch_add(n, Ordering::Relaxed);
    }

    fn take_changes(&self) -> String {
        let of = |(i, (_, name)): (usize, &(Purpose, &str))| {
            format!("{name} {}", self.changes[i].swap(0, Ordering::Relaxed))
        };
        PURPOSES.iter().enumerate().map(of).collect::<Vec<_>>().join(", ")
    }
}

/// A few names, as hundreds at a time make no readable line.
pub fn sample_names<T: AsRef<str>>(names: &[T]) -> String {
    let some: Vec<&str> = names.iter().take(5).map(AsRef::as_ref).collect();
    some.join(" ") + if names.len() > some.len() { " …" } else { "" }
}

const EVERY: Duration = Duration::from_secs(10);

pub async fn log_regularly(controller: Arc<Controller>) {
    loop {
        sleep(EVERY).await;
        let take = |c: &AtomicU64| c.swap(0, Ordering::Relaxed);
        let c = &controller.load;
        let front: Vec<String> =
            controller.public_connections.by_share().map(|(name, n)| format!("{name} {n}")).collect();
        let rounds = take(&c.rounds);
        let round_us = take(&c.round_us);
        info!(
            connections = format!(
                "{}, peers {}, to workers {}, to the state service {}, to others {}",
                front.join(", "),
                controller.peer_connections.open(),
                controller.worker_http.open(),
                controller.kv_http.open(),
                controller.peer_and_cloud_http.open()
            ),
            closed_for_want =
                controller.public_connections.take_closed() + controller.peer_connections.take_closed(),
            changes = c.take_changes(),
            conflicts = take(&c.conflicts),
            rounds,
            round_us = round_us / rounds.max(1),
            reports = take(&c.reports),
            turned_away = take(&c.turned_away),
            "load"
        );
    }
}

#[cfg(test)]
#[path = "../tests/unit/load.rs"]
mod tests;
