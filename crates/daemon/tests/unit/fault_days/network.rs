//! The network in memory: who sends what to whom, and what becomes of it on the way.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use net::{NetError, Request, Response, ResponseFuture, Transport};
use rand::RngExt;
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::{All, Site};
use crate::{api, peer_server, read_index};

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Party {
    Controller(usize),
    Machine(String),
    State,
    Cloud,
    User,
}

pub(super) const STATE: &str = "10.9.0.1:1";
pub(super) const CLOUD: &str = "10.9.0.2:1";

pub(super) fn peer_address(n: usize) -> String {
    format!("10.1.0.{n}:1")
}

impl Party {
    fn at(address: &str) -> Self {
        let peer = address.strip_prefix("10.1.0.").and_then(|r| r.strip_suffix(":1"));
        match (address, peer.and_then(|n| n.parse().ok())) {
            (STATE, _) => Party::State,
            (CLOUD, _) => Party::Cloud,
            (_, Some(n)) => Party::Controller(n),
            _ => Party::Machine(address.to_owned()),
        }
    }
}

/// What keeps messages from passing.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Cut {
    /// Nothing reaches the machine; what it sends arrives.
    Deaf(String),
    /// The machine opens no connection to any controller; others reach it.
    Mute(String),
    /// Whatever is in the zone, from all that is not.
    Zone(&'static str),
    /// One controller from the state service or from the other controllers, or both.
    Controller { n: usize, from_state: bool, from_peers: bool },
}

/// What becomes of a message on one of its ways.
enum Way {
    Free,
    Lost,
    /// Held back until then, and delivered late.
    Held(u64),
}

/// How one process of a controller reaches everybody.
pub(super) struct Link {
    pub(super) site: Site,
    pub(super) n: usize,
    pub(super) incarnation: u64,
}

impl Transport for Link {
    fn request(&self, addr: &str, method: &str, path: &str, body: Vec<u8>) -> ResponseFuture {
        let (site, n, incarnation) = (self.site.clone(), self.n, self.incarnation);
        let (addr, to) = (addr.to_owned(), Party::at(addr));
        let request = Request { method: method.into(), path: path.into(), body: Bytes::from(body) };
        Box::pin(async move {
            // A process that has ended sends nothing and hears nothing any more.
            let alive = || site.lock().controllers[n].runs(incarnation);
            if !alive() {
                std::future::pending::<()>().await;
            }
            let answer = site.exchange(Party::Controller(n), to, request).await;
            if !alive() {
                std::future::pending::<()>().await;
            }
            answer.ok_or_else(|| NetError::Connect(addr, "refused".into()))
        })
    }
}

impl Site {
    /// Sends a request. No answer within the caller's patience is no proof of anything;
    /// None: nobody listens there.
    pub(super) async fn exchange(&self, from: Party, to: Party, request: Request) -> Option<Response> {
        let (sender, answer) = oneshot::channel();
        let site = self.clone();
        // It goes on by itself when the caller gives up.
        tokio::spawn(async move {
            if !site.pass(&from, &to, true, &request.path).await {
                std::future::pending::<()>().await;
            }
            let path = request.path.clone();
            let served = site.serve(&from, &to, request).await;
            if !site.pass(&to, &from, false, &path).await {
                std::future::pending::<()>().await;
            }
            let _ = sender.send(served.map(|(status, body)| Response { status, body: Bytes::from(body) }));
        });
        answer.await.ok().flatten()
    }

    /// One way of a message; false if it is lost.
    async fn pass(&self, from: &Party, to: &Party, request: bool, path: &str) -> bool {
        let delay = self.lock().delay(from, to, path);
        sleep(Duration::from_millis(delay)).await;
        loop {
            let way = self.lock().way(from, to, request);
            match way {
                Way::Free => return true,
                Way::Lost => return false,
                Way::Held(until) => sleep(Duration::from_millis(until.saturating_sub(self.ms()) + 1)).await,
            }
        }
    }

    async fn serve(&self, from: &Party, to: &Party, request: Request) -> Option<(u16, Vec<u8>)> {
        match (to, from) {
            (Party::Controller(n), _) => {
                let (controller, incarnation) = {
                    let all = self.lock();
                    let c = &all.controllers[*n];
                    (c.controller.clone()?, c.incarnation)
                };
                let reply = match request.path.as_str() {
                    "/peer" | read_index::PATH => peer_server::serve(controller, request).await,
                    _ => api::serve(controller, request).await,
                };
                if !self.lock().controllers[*n].runs(incarnation) {
                    std::future::pending::<()>().await;
                }
                Some((reply.status, reply.body))
            }
            (Party::Machine(id), _) => self.worker_serves(id, request).await,
            (Party::State, Party::Controller(n)) => Some(self.state_serves(*n, request).await),
            (Party::Cloud, _) => Some(self.cloud_serves(request).await),
            _ => None,
        }
    }
}

impl All {
    fn delay(&mut self, from: &Party, to: &Party, path: &str) -> u64 {
        let now = self.ms();
        let mut delay = self.rng.random_range(0..4);
        if (*from == Party::State || *to == Party::State) && now < self.state.slow_until {
            delay += self.rng.random_range(100..900);
        }
        let held = match path {
            "/commands" => self.held_commands,
            "/peer" | read_index::PATH => self.held_peers,
            _ => Held::default(),
        };
        if now < held.until && self.rng.random_bool(held.share) {
            delay += self.rng.random_range(200..7000);
        }
        delay
    }

    fn way(&mut self, from: &Party, to: &Party, request: bool) -> Way {
        let now = self.ms();
        self.cuts.retain(|(_, until)| now < *until);
        for (cut, until) in self.cuts.clone() {
            let hit = match &cut {
                Cut::Deaf(id) => matches!(to, Party::Machine(m) if m == id),
                Cut::Mute(id) => {
                    request && matches!((from, to), (Party::Machine(m), Party::Controller(_)) if m == id)
                }
                Cut::Zone(zone) => self.inside(from, zone) != self.inside(to, zone),
                Cut::Controller { n, from_state, from_peers } => {
                    let me = Party::Controller(*n);
                    let other = match (*from == me, *to == me) {
                        (true, false) => to,
                        (false, true) => from,
                        _ => continue,
                    };
                    match other {
                        Party::State => *from_state,
                        Party::Controller(_) => *from_peers,
                        _ => false,
                    }
                }
            };
            if hit {
                // What was sent on an open connection may come late.
                let late = !matches!(cut, Cut::Deaf(_)) && self.rng.random_bool(0.3);
                return if late { Way::Held(until) } else { Way::Lost };
            }
        }
        Way::Free
    }

    fn inside(&self, party: &Party, zone: &str) -> bool {
        match party {
            Party::Controller(n) => super::controllers::zone(*n) == zone,
            Party::Machine(id) => self.machines.get(id).is_some_and(|m| m.zone == zone),
            _ => false,
        }
    }
}

/// A share of the messages of one kind is held up for seconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Held {
    pub(super) share: f64,
    pub(super) until: u64,
}

pub(super) fn link(site: &Site, n: usize, incarnation: u64) -> Arc<dyn Transport> {
    Arc::new(Link { site: site.clone(), n, incarnation })
}
