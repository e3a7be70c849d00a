//! The load balancer before the controllers: which are healthy, and which one gets the
//! next connection, by "Users -> controller nodes" of the protocol's page.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// About how often each node is probed, and how long it has to answer.
pub const PROBE_EVERY: Duration = Duration::from_secs(1);
pub const PROBE_WAIT: Duration = Duration::from_secs(1);
/// How long a node has to accept a connection.
pub const CONNECT_WAIT: Duration = Duration::from_millis(500);
/// How many nodes are tried for one connection.
pub const TRIES: usize = 3;
const SKIP: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_secs(3);
const LONGEST_PAUSE: Duration = Duration::from_secs(60);
const REMOVALS_COUNT: Duration = Duration::from_secs(120);
const WARM_UP: Duration = Duration::from_secs(10);
const RESET_AFTER: Duration = Duration::from_secs(5);

#[derive(Debug, Default)]
struct Node {
    /// Since when it is healthy, and since when it is not.
    healthy: Option<Instant>,
    removed: Option<Instant>,
    /// The last probes, the newest last.
    probes: VecDeque<bool>,
    pause: Duration,
    reset: bool,
    open: usize,
    /// Connections that failed in a row, and until when it is skipped for them.
    failed: usize,
    skipped: Option<Instant>,
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
    pub fn probed(&mut self, node: usize, fine: bool, now: Instant) {
        let Some(n) = self.nodes.get_mut(node) else { return };
        n.probes.push_back(fine);
        if n.probes.len() > 6 {
            n.probes.pop_front();
        }
        let last_two = |what: bool| n.probes.len() >= 2 && n.probes.iter().rev().take(2).all(|p| *p == what);
        if n.healthy.is_some() {
            if last_two(false) || n.probes.iter().filter(|p| !**p).count() >= 3 {
                let again = n.removed.is_some_and(|at| now < at + REMOVALS_COUNT);
                n.pause = if again { (n.pause * 2).min(LONGEST_PAUSE) } else { PAUSE };
                (n.healthy, n.removed, n.reset) = (None, Some(now), false);
            }
            return;
        }
        let back = match n.removed {
            None => fine,
            Some(at) => last_two(true) && now >= at + n.pause,
        };
        if back {
            n.healthy = Some(now);
            // What led to the removal is not held against it again.
            n.probes.clear();
        }
    }

    pub fn is_healthy(&self, node: usize) -> bool {
        self.nodes.get(node).is_some_and(|n| n.healthy.is_some())
    }

    /// The node for a new connection, other than those that were tried for it already.
    pub fn choose(&mut self, tried: &[usize], now: Instant) -> Option<usize> {
        let fits = |i: usize, n: &Node| {
            n.healthy.is_some() && !tried.contains(&i) && n.skipped.is_none_or(|until| now >= until)
        };
        let load = |n: &Node| {
            let age = n.healthy.map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
            let share = (age / WARM_UP.as_secs_f64()).clamp(0.1, 1.0);
            (n.open + 1) as f64 / share
        };
        let fitting: Vec<(usize, f64)> =
            self.nodes.iter().enumerate().filter(|(i, n)| fits(*i, n)).map(|(i, n)| (i, load(n))).collect();
        let least = fitting.iter().map(|(_, l)| *l).fold(f64::INFINITY, f64::min);
        let best: Vec<usize> = fitting.iter().filter(|(_, l)| *l <= least).map(|(i, _)| *i).collect();
        match best.len() {
            0 => None,
            len => best.get(self.rng.random_range(0..len)).copied(),
        }
    }

    /// A node has accepted a connection, or not in time.
    pub fn connected(&mut self, node: usize, accepted: bool, now: Instant) {
        let Some(n) = self.nodes.get_mut(node) else { return };
        if accepted {
            n.open += 1;
            n.failed = 0;
            return;
        }
        n.failed += 1;
        if n.failed >= 3 {
            n.failed = 0;
            n.skipped = Some(now + SKIP);
        }
    }

    pub fn closed(&mut self, node: usize) {
        if let Some(n) = self.nodes.get_mut(node) {
            n.open = n.open.saturating_sub(1);
        }
    }

    /// Nodes whose open connections are to be reset now, each told once.
    pub fn resets(&mut self, now: Instant) -> Vec<usize> {
        let mut out = Vec::new();
        for (i, n) in self.nodes.iter_mut().enumerate() {
            let long = n.removed.is_some_and(|at| now >= at + RESET_AFTER);
            if n.healthy.is_none() && long && !n.reset {
                n.reset = true;
                out.push(i);
            }
        }
        out
    }
}
