//! The load balancer before the controllers: which are healthy, and which one gets the
//! next connection, by "Users -> controller nodes" of the protocol's page.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// About how often each node is probed, and how long it has to answer.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a node has to accept a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How many nodes are tried for one connection.
pub const MAX_CONNECT_ATTEMPTS: usize = 3;
const SKIP_DURATION: Duration = Duration::from_secs(3);
const FIRST_REMOVAL_DURATION: Duration = Duration::from_secs(3);
const MAX_REMOVAL_DURATION: Duration = Duration::from_secs(60);
const REPEATED_REMOVAL_WINDOW: Duration = Duration::from_secs(120);
const WARM_UP_DURATION: Duration = Duration::from_secs(10);
const CONNECTION_RESET_DELAY: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct Node {
    /// Since when it is healthy, and since when it is not.
    healthy_since: Option<Instant>,
    removed_at: Option<Instant>,
    /// The last probes, the newest last.
    probes: VecDeque<bool>,
    removal_duration: Duration,
    connections_reset: bool,
    open_connections: usize,
    /// Connections that failed in a row, and until when it is skipped for them.
    failed_connects: usize,
    skipped_until: Option<Instant>,
}

pub struct Balancer {
    nodes: Vec<Node>,
    rng: StdRng,
}

impl Balancer {
    pub fn new(nodes: usize, seed: u64) -> Self {
        let nodes = (0..nodes).map(|_| Node::default()).collect();
        Self { nodes, rng: StdRng::seed_from_u64(seed) }
    }

    /// A probe of a node had its answer, or none.
    pub fn record_probe(&mut self, node: usize, succeeded: bool, now: Instant) {
        let Some(n) = self.nodes.get_mut(node) else { return };
        n.probes.push_back(succeeded);
        if n.probes.len() > 6 {
            n.probes.pop_front();
        }
        let last_two_were =
            |what: bool| n.probes.len() >= 2 && n.probes.iter().rev().take(2).all(|p| *p == what);
        if n.healthy_since.is_some() {
            if last_two_were(false) || n.probes.iter().filter(|p| !**p).count() >= 3 {
                let removed_recently = n.removed_at.is_some_and(|at| now < at + REPEATED_REMOVAL_WINDOW);
                n.removal_duration = if removed_recently {
                    (n.removal_duration * 2).min(MAX_REMOVAL_DURATION)
                } else {
                    FIRST_REMOVAL_DURATION
                };
                (n.healthy_since, n.removed_at, n.connections_reset) = (None, Some(now), false);
            }
            return;
        }
        let readmitted = match n.removed_at {
            None => succeeded,
            Some(at) => last_two_were(true) && now >= at + n.removal_duration,
        };
        if readmitted {
            n.healthy_since = Some(now);
            // What led to the removal is not held against it again.
            n.probes.clear();
        }
    }

    pub fn is_healthy(&self, node: usize) -> bool {
        self.nodes.get(node).is_some_and(|n| n.healthy_since.is_some())
    }

    /// The node for a new connection, other than those that were tried for it already.
    pub fn choose(&mut self, tried: &[usize], now: Instant) -> Option<usize> {
        let is_candidate = |i: usize, n: &Node| {
            n.healthy_since.is_some()
                && !tried.contains(&i)
                && n.skipped_until.is_none_or(|until| now >= until)
        };
        let load = |n: &Node| {
            let age = n.healthy_since.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
            let share = (age / WARM_UP_DURATION.as_secs_f64()).clamp(0.1, 1.0);
            (n.open_connections + 1) as f64 / share
        };
        let candidates: Vec<(usize, f64)> = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(i, n)| is_candidate(*i, n))
            .map(|(i, n)| (i, load(n)))
            .collect();
        let lowest_load = candidates.iter().map(|(_, l)| *l).fold(f64::INFINITY, f64::min);
        let least_loaded: Vec<usize> =
            candidates.iter().filter(|(_, l)| *l <= lowest_load).map(|(i, _)| *i).collect();
        match least_loaded.len() {
            0 => None,
            len => least_loaded.get(self.rng.random_range(0..len)).copied(),
        }
    }

    /// A node has accepted a connection, or not in time.
    pub fn record_connection_attempt(&mut self, node: usize, accepted: bool, now: Instant) {
        let Some(n) = self.nodes.get_mut(node) else { return };
        if accepted {
            n.open_connections += 1;
            n.failed_connects = 0;
            return;
        }
        n.failed_connects += 1;
        if n.failed_connects >= 3 {
            n.failed_connects = 0;
            n.skipped_until = Some(now + SKIP_DURATION);
        }
    }

    pub fn connection_closed(&mut self, node: usize) {
        if let Some(n) = self.nodes.get_mut(node) {
            n.open_connections = n.open_connections.saturating_sub(1);
        }
    }

    /// Nodes whose open connections are to be reset now, each told once.
    pub fn take_resets(&mut self, now: Instant) -> Vec<usize> {
        let mut out = Vec::new();
        for (i, n) in self.nodes.iter_mut().enumerate() {
            let reset_due = n.removed_at.is_some_and(|at| now >= at + CONNECTION_RESET_DELAY);
            if n.healthy_since.is_none() && reset_due && !n.connections_reset {
                n.connections_reset = true;
                out.push(i);
            }
        }
        out
    }
}
