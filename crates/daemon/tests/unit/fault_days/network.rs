//! The simulated network: endpoints, partitions, and delay or loss of messages.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use net::{NetError, Request, Response, ResponseFuture, Transport};
use rand::RngExt;
use tokio::sync::oneshot;
use tokio::time::sleep;
use wire::{Command, Commands, Heartbeat};

use super::command_copies::COMMANDS_PATH;
use super::{Simulation, Site};
use crate::controller::Controller;
use crate::worker::FencingToken;
use crate::{api, peer_server, read_index};

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Endpoint {
    Controller(usize),
    Machine(String),
    Store,
    Cloud,
    User,
}

pub(super) const STORE_ADDRESS: &str = "10.9.0.1:1";
pub(super) const CLOUD_ADDRESS: &str = "10.9.0.2:1";

pub(super) fn peer_address(n: usize) -> String {
    format!("10.1.0.{n}:1")
}

impl Endpoint {
    fn from_address(address: &str) -> Self {
        let peer = address.strip_prefix("10.1.0.").and_then(|r| r.strip_suffix(":1"));
        match (address, peer.and_then(|n| n.parse().ok())) {
            (STORE_ADDRESS, _) => Endpoint::Store,
            (CLOUD_ADDRESS, _) => Endpoint::Cloud,
            (_, Some(n)) => Endpoint::Controller(n),
            _ => Endpoint::Machine(address.to_owned()),
        }
    }
}

/// A network partition.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Partition {
    /// Nothing reaches the machine; the messages it sends arrive.
    InboundToMachine(String),
    /// The machine cannot open connections to controllers; connections to it work.
    ConnectionsFromMachine(String),
    /// Separates a zone from everything outside it.
    Zone(&'static str),
    /// Separates one controller from the store, from the other controllers, or from both.
    Controller { n: usize, from_store: bool, from_peers: bool },
}

/// What happens to a request or a response on its way.
enum Delivery {
    Delivered,
    Lost,
    /// Held back until this time.
    DelayedUntil(u64),
}

/// The transport that one controller process sends its requests through.
pub(super) struct ControllerTransport {
    pub(super) site: Site,
    pub(super) n: usize,
    pub(super) incarnation: u64,
}

impl Transport for ControllerTransport {
    fn request(&self, addr: &str, method: &str, path: &str, body: Vec<u8>) -> ResponseFuture {
        let (site, n, incarnation) = (self.site.clone(), self.n, self.incarnation);
        let (addr, to) = (addr.to_owned(), Endpoint::from_address(addr));
        let request = Request { method: method.into(), path: path.into(), body: Bytes::from(body) };
        Box::pin(async move {
            // A process that has ended neither sends requests nor receives responses.
            let is_alive = || site.lock().controllers[n].is_running(incarnation);
            if !is_alive() {
                std::future::pending::<()>().await;
            }
            let answer = site.exchange(Endpoint::Controller(n), to, request).await;
            if !is_alive() {
                std::future::pending::<()>().await;
            }
            answer.ok_or_else(|| NetError::Connect(addr, "refused".into()))
        })
    }
}

impl Site {
    /// Sends a request. Returns None if nothing listens at the receiver. If a message is
    /// lost it never returns, so callers use a timeout; a timeout does not mean that the
    /// request was not processed.
    pub(super) async fn exchange(&self, from: Endpoint, to: Endpoint, request: Request) -> Option<Response> {
        let (sender, answer) = oneshot::channel();
        self.record_message(&from, &to, &request);
        let site = self.clone();
        // The request is processed even if the caller stops waiting.
        tokio::spawn(async move {
            let held_until = site.lock().hold_start(&request).unwrap_or_default();
            sleep(Duration::from_millis(held_until.saturating_sub(site.ms()))).await;
            if !site.deliver(&from, &to, true, &request.path).await {
                std::future::pending::<()>().await;
            }
            site.lock().check_body(&from, &to, &request.body);
            let path = request.path.clone();
            let commands = (path == COMMANDS_PATH).then(|| request.body.clone());
            let served = site.serve(&from, &to, request).await;
            if let Some((_, body)) = &served
                && matches!(from, Endpoint::Machine(_) | Endpoint::User)
            {
                site.lock().check_body(&to, &from, body);
            }
            if let (Endpoint::Machine(machine), Some(commands), Some((200, _))) = (&to, commands, &served) {
                site.lock().copy_start_commands(machine, commands);
            }
            if !site.deliver(&to, &from, false, &path).await {
                std::future::pending::<()>().await;
            }
            let _ = sender.send(served.map(|(status, body)| Response { status, body: Bytes::from(body) }));
        });
        answer.await.ok().flatten()
    }

    fn record_message(&self, from: &Endpoint, to: &Endpoint, request: &Request) {
        let Request { method, path, body } = request;
        let message = format!("{:>7} {from:?} to {to:?}: {method} {path}, {} bytes", self.ms(), body.len());
        self.lock().messages.push(message);
    }

    /// Delays a request or a response on its way; returns false if it is lost.
    async fn deliver(&self, from: &Endpoint, to: &Endpoint, is_request: bool, path: &str) -> bool {
        let delay = self.lock().delay(from, to, path);
        sleep(Duration::from_millis(delay)).await;
        loop {
            let delivery = self.lock().delivery(from, to, is_request);
            match delivery {
                Delivery::Delivered => return true,
                Delivery::Lost => return false,
                Delivery::DelayedUntil(until) => {
                    sleep(Duration::from_millis(until.saturating_sub(self.ms()) + 1)).await
                }
            }
        }
    }

    async fn serve(&self, from: &Endpoint, to: &Endpoint, request: Request) -> Option<(u16, Vec<u8>)> {
        match (to, from) {
            (Endpoint::Controller(n), _) => {
                let (controller, incarnation) = {
                    let simulation = self.lock();
                    let c = &simulation.controllers[*n];
                    (c.controller.clone()?, c.incarnation)
                };
                let heartbeat = self.lock().receive_heartbeat(&controller, &request);
                let reply = match request.path.as_str() {
                    "/peer" | read_index::PATH => peer_server::serve(controller, request).await,
                    _ => api::serve(controller, request).await,
                };
                if let Some(heartbeat) = heartbeat {
                    self.lock().check_heartbeat_reply(*n, &heartbeat, &reply);
                }
                if !self.lock().controllers[*n].is_running(incarnation) {
                    std::future::pending::<()>().await;
                }
                Some((reply.status, reply.body))
            }
            (Endpoint::Machine(id), _) => self.serve_worker(id, request).await,
            (Endpoint::Store, Endpoint::Controller(n)) => Some(self.serve_store(*n, request).await),
            (Endpoint::Cloud, _) => Some(self.serve_cloud(request).await),
            _ => None,
        }
    }
}

impl Simulation {
    /// Checks that a body which the protocol limits is within its limit. Controllers agree on other
    /// limits among themselves.
    fn check_body(&mut self, from: &Endpoint, to: &Endpoint, body: &[u8]) {
        if matches!((from, to), (Endpoint::Controller(_), Endpoint::Controller(_))) {
            return;
        }
        if wire::exceeds_body_limit(body) {
            let detail = format!("{} bytes of MessagePack from {from:?} to {to:?}", body.len());
            self.record_violation("too_large", detail);
        }
    }

    /// Until when a request is held up on its way, if it has a start command.
    fn hold_start(&mut self, request: &Request) -> Option<u64> {
        let until = self.held_starts.until;
        if request.path != COMMANDS_PATH || self.ms() >= until {
            return None;
        }
        let commands = wire::decode::<Commands>(&request.body).ok()?.commands;
        let starts = commands.iter().filter(|command| matches!(command, Command::Start { .. })).count();
        self.held_starts.count += starts;
        (starts > 0).then_some(until)
    }

    /// The heartbeat in a request, if it is one. Counts those that show a later epoch than the
    /// controller knows.
    fn receive_heartbeat(&mut self, controller: &Controller, request: &Request) -> Option<Heartbeat> {
        if request.path != "/hello" {
            return None;
        }
        let heartbeat = wire::decode::<Heartbeat>(&request.body).ok()?;
        let shown = FencingToken::from(heartbeat.fencing_token).epoch();
        self.heartbeats_to_superseded += usize::from(shown > controller.state().epoch());
        Some(heartbeat)
    }

    fn delay(&mut self, from: &Endpoint, to: &Endpoint, path: &str) -> u64 {
        let now = self.ms();
        let mut delay = self.rng.random_range(0..4);
        if (*from == Endpoint::Store || *to == Endpoint::Store) && now < self.store.slow_until {
            delay += self.rng.random_range(100..900);
        }
        let message_delay = match path {
            "/commands" => self.command_delay,
            "/peer" | read_index::PATH => self.peer_message_delay,
            _ => MessageDelay::default(),
        };
        if now < message_delay.until && self.rng.random_bool(message_delay.share) {
            delay += self.rng.random_range(200..7000);
        }
        delay
    }

    fn delivery(&mut self, from: &Endpoint, to: &Endpoint, is_request: bool) -> Delivery {
        let now = self.ms();
        self.partitions.retain(|(_, until)| now < *until);
        for (partition, until) in self.partitions.clone() {
            let is_affected = match &partition {
                Partition::InboundToMachine(id) => matches!(to, Endpoint::Machine(m) if m == id),
                Partition::ConnectionsFromMachine(id) => {
                    is_request
                        && matches!((from, to), (Endpoint::Machine(m), Endpoint::Controller(_)) if m == id)
                }
                Partition::Zone(zone) => self.is_in_zone(from, zone) != self.is_in_zone(to, zone),
                Partition::Controller { n, from_store, from_peers } => {
                    let controller = Endpoint::Controller(*n);
                    let other = match (*from == controller, *to == controller) {
                        (true, false) => to,
                        (false, true) => from,
                        _ => continue,
                    };
                    match other {
                        Endpoint::Store => *from_store,
                        Endpoint::Controller(_) => *from_peers,
                        _ => false,
                    }
                }
            };
            if is_affected {
                // Messages on an open connection may arrive after the partition ends.
                let arrives_late =
                    !matches!(partition, Partition::InboundToMachine(_)) && self.rng.random_bool(0.3);
                return if arrives_late { Delivery::DelayedUntil(until) } else { Delivery::Lost };
            }
        }
        Delivery::Delivered
    }

    fn is_in_zone(&self, endpoint: &Endpoint, zone: &str) -> bool {
        match endpoint {
            Endpoint::Controller(n) => super::controllers::zone(*n) == zone,
            Endpoint::Machine(id) => self.machines.get(id).is_some_and(|m| m.zone == zone),
            _ => false,
        }
    }
}

/// Start commands that are sent straight to machines are held up on their way until then.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct HeldStarts {
    pub(super) until: u64,
    /// How many have been held up.
    pub(super) count: usize,
}

/// Delays a share of the messages of one kind by up to seven seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MessageDelay {
    pub(super) share: f64,
    pub(super) until: u64,
}

pub(super) fn controller_transport(site: &Site, n: usize, incarnation: u64) -> Arc<dyn Transport> {
    Arc::new(ControllerTransport { site: site.clone(), n, incarnation })
}
