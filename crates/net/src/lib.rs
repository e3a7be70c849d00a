//! HTTP/1.1 as sageloom speaks it: whole bodies with a size limit, a deadline
//! on everything, one request at a time on a connection.

#![warn(missing_docs)]

mod client;
mod read_along;
mod server;

pub use client::{Answer, Client, Exchange, NetError, Transport};
pub use read_along::read_along;
pub use server::{Connections, Reply, Request, serve};
