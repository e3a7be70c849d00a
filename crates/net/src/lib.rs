//! HTTP/1.1 as sageloom speaks it: whole bodies with a size limit, a deadline
//! on everything, one request at a time on a connection.

mod client;
mod connection;
mod server;

pub use client::{Answer, Client, NetError};
pub use server::{Connections, Reply, Request, serve};
