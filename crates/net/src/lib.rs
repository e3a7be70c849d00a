//! An HTTP/1.1 client and server. Bodies are read as a whole and limited in size, every operation
//! has a time limit, and a connection carries one request at a time.

#![warn(missing_docs)]

mod client;
mod inspecting_relay;
mod server;

pub use client::{Client, NetError, Response, ResponseFuture, Transport};
pub use inspecting_relay::relay_and_inspect;
pub use server::{Connections, Reply, Request, listen, serve};
