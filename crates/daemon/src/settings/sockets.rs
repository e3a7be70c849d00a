//! How the sockets that a process may have are shared.

use super::Settings;

/// Least connections to the key-value store: one for the change feed, one for the read barrier,
/// and two for what is written and the lease.
const MIN_KEY_VALUE_STORE_CONNECTIONS: usize = 4;

impl Settings {
    /// The sockets of this process by purpose, as parts of `facts.limits.max_connections`.
    pub fn sockets(&self) -> Sockets {
        let sixteenth = (self.facts.limits.max_connections / 16).max(1);
        Sockets {
            front: sixteenth * 9,
            workers_kept: sixteenth * 6,
            users_kept: sixteenth * 2,
            peers: sixteenth,
            to_workers: sixteenth * 4,
            // What is left is for listeners, files and what is being closed.
            state: (sixteenth / 2).max(MIN_KEY_VALUE_STORE_CONNECTIONS),
            others: (sixteenth / 2).max(1),
        }
    }
}

/// The sockets by purpose. None of the purposes can use up those of another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sockets {
    /// Connections from workers and users together. What is beyond those that stay open between
    /// requests is for connections that are closed after an answer.
    pub front: usize,
    /// How many connections from workers stay open between requests.
    pub workers_kept: usize,
    /// How many connections from users stay open between requests.
    pub users_kept: usize,
    /// Connections from peers.
    pub peers: usize,
    /// Connections to workers.
    pub to_workers: usize,
    /// Connections to the key-value store. While heartbeats were relayed to a controller that
    /// could not be reached, those to the peers took its turns, too: users had no answers, and
    /// the membership of a healthy controller expired.
    pub state: usize,
    /// Connections to the cloud and peers.
    pub others: usize,
}
