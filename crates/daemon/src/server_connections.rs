//! How the connections of users and workers share the sockets of the public address, and how much of
//! the process's memory requests may take.

use net::Connections;

use crate::settings::Sockets;

/// The path of workers' heartbeats.
pub const HEARTBEAT_PATH: &str = "/hello";
/// The classes of connections, as they are named in the log.
const CLASSES: [&str; 2] = ["workers", "users"];
const WORKERS: usize = 0;
const USERS: usize = 1;

/// The bodies of requests may take the process's memory divided by this, at each address.
const BODY_MEMORY_DIVISOR: usize = 8;
/// Lower bound of this memory, in bytes: two of the largest messages of peers.
const MIN_BODY_MEMORY: usize = 2 << 20;

/// The connections to the public address: each class has idle connections of its own, so that
/// neither users nor workers can use up the other's.
pub fn public_connections(sockets: &Sockets, memory_bytes: usize) -> Connections {
    let idle = [(CLASSES[WORKERS], sockets.workers_kept), (CLASSES[USERS], sockets.users_kept)];
    Connections::new(sockets.front, &idle, class_of).with_max_body_bytes(body_memory(memory_bytes))
}

/// The connections to the address for peers.
pub fn peer_connections(sockets: &Sockets, memory_bytes: usize) -> Connections {
    Connections::new(sockets.peers, &[], |_| 0).with_max_body_bytes(body_memory(memory_bytes))
}

fn body_memory(memory_bytes: usize) -> usize {
    (memory_bytes / BODY_MEMORY_DIVISOR).max(MIN_BODY_MEMORY)
}

/// The class of a connection by the path of a request that arrived on it.
fn class_of(path: &str) -> usize {
    if path == HEARTBEAT_PATH { WORKERS } else { USERS }
}
