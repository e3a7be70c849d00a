//! The load balancer in front of the controllers: tracks which of them are healthy and chooses
//! the one that gets the next connection, as specified in "Users -> controller nodes" of the
//! protocol document.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Pause between the end of one health probe of a node and the next.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Nodes that are tried for one client connection.
pub const MAX_CONNECT_ATTEMPTS: usize = 3;
/// How long a node gets no connections after three failed connection attempts in a row.
const SKIP_DURATION: Duration = Duration::from_secs(3);
/// Minimum time that an unhealthy node stays removed. It doubles with each removal within
/// `REPEATED_REMOVAL_WINDOW` of the previous one, up to `MAX_REMOVAL_DURATION`.
const FIRST_REMOVAL_DURATION: Duration = Duration::from_secs(3);
const MAX_REMOVAL_DURATION: Duration = Duration::from_secs(60);
const REPEATED_REMOVAL_WINDOW: Duration = Duration::from_secs(120);
/// Time in which the share of connections of a healthy node grows from a tenth to the whole.
const WARM_UP_DURATION: Duration = Duration::from_secs(10);
/// How long after its removal a node's open connections are reset.
const CONNECTION_RESET_DELAY: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct Node {
    healthy_since: Option<Instant>,
    removed_at: Option<Instant>,
    /// Results of the last six probes, newest last.
    probes: VecDeque<bool>,
    removal_duration: Duration,
    connections_reset: bool,
    open_connections: usize,
    /// Failed connection attempts in a row.
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

    /// Records the result of a health probe and removes or readmits the node accordingly.
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
            // The probes that led to the removal must not count towards the next one.
            n.probes.clear();
        }
    }

    pub fn is_healthy(&self, node: usize) -> bool {
        self.nodes.get(node).is_some_and(|n| n.healthy_since.is_some())
    }

    /// Chooses the node for a new connection: the one with the fewest open connections, weighted
    /// during warm-up, other than those already tried for this connection.
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

    /// Records whether a node accepted a connection in time.
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

    /// Returns the nodes whose open connections must be reset now, each node once per removal.
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
