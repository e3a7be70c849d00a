//! HTTP/1.1 as sageloom speaks it: whole bodies with a size limit, a deadline
//! on everything, one request at a time on a connection.

#![warn(missing_docs)]

mod client;
mod inspecting_relay;
mod server;

pub use client::{Client, NetError, Response, ResponseFuture, Transport};
pub use inspecting_relay::relay_and_inspect;
pub use server::{Connections, Reply, Request, serve};
