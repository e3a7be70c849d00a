//! Division of the process's sockets by purpose.

use super::Settings;

/// Minimum connections to the key-value store: one for the change feed, one for the read barrier,
/// and two for writes and the lease.
const MIN_KEY_VALUE_STORE_CONNECTIONS: usize = 4;

impl Settings {
    /// Divides the sockets of `facts.limits.max_connections` by purpose.
    pub fn sockets(&self) -> Sockets {
        let sixteenth = (self.facts.limits.max_connections / 16).max(1);
        Sockets {
            front: sixteenth * 9,
            workers_kept: sixteenth * 6,
            users_kept: sixteenth * 2,
            peers: sixteenth,
            to_workers: sixteenth * 4,
            // The rest is for listeners, files and connections that are being closed.
            state: (sixteenth / 2).max(MIN_KEY_VALUE_STORE_CONNECTIONS),
            cloud_and_peers: (sixteenth / 2).max(1),
        }
    }
}

/// The number of sockets for each purpose. No purpose can use up the sockets of another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sockets {
    /// Connections from workers and users together. Those beyond `workers_kept` and `users_kept` are
    /// closed after an answer.
    pub front: usize,
    /// Connections from workers that stay open between requests, at most.
    pub workers_kept: usize,
    /// Connections from users that stay open between requests, at most.
    pub users_kept: usize,
    /// Connections from peers.
    pub peers: usize,
    /// Connections to workers.
    pub to_workers: usize,
    /// Connections to the key-value store. They are separate from those to peers: when both shared a
    /// limit, heartbeats relayed to an unreachable controller kept requests to the key-value store
    /// waiting, so users got no answers and the membership of a healthy controller expired.
    pub state: usize,
    /// Connections to the cloud and peers.
    pub cloud_and_peers: usize,
}
