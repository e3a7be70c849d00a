//! How the connections of users and workers share the sockets of the public address.

use net::Connections;

use crate::settings::Sockets;

/// The path of workers' heartbeats.
pub const HEARTBEAT_PATH: &str = "/hello";
/// The classes of connections, as they are named in the log.
const CLASSES: [&str; 2] = ["workers", "users"];
const WORKERS: usize = 0;
const USERS: usize = 1;

/// The connections to the public address: each class has idle connections of its own, so that
/// neither users nor workers can use up the other's.
pub fn public_connections(sockets: &Sockets) -> Connections {
    let idle = [(CLASSES[WORKERS], sockets.workers_kept), (CLASSES[USERS], sockets.users_kept)];
    Connections::new(sockets.front, &idle, class_of)
}

/// The class of a connection by the path of a request that arrived on it.
fn class_of(path: &str) -> usize {
    if path == HEARTBEAT_PATH { WORKERS } else { USERS }
}
