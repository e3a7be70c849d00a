//! The kinds of connections that share the sockets of the public address.

/// The names of the kinds.
pub const CONNECTION_SHARES: [&str; 2] = ["workers", "users"];

/// The path of workers' heartbeats.
pub const HEARTBEAT_PATH: &str = "/hello";

/// The kind of the connection that a request of this path comes by, as an index of
/// [`CONNECTION_SHARES`].
pub fn share_of(path: &str) -> usize {
    usize::from(path != HEARTBEAT_PATH)
}
