//! The controllers' processes: they start, end and come back.

use std::sync::Arc;
use std::time::Duration;

use net::Client;
use tokio::time::{sleep, timeout};

use super::machines::{CANCEL_MS, GANG_PEER_MS, GANG_WAIT_MS, LEASE_MS, REPORT_MS};
use super::network::{CLOUD, STATE, link, peer_address};
use super::state::{RPS, WRITE_RPS};
use super::{CONTROLLERS, LIMIT, LIMIT_U, Sabotage, Site};
use crate::controller::{Controller, HttpClients};
use crate::operators::OperatorSettings;
use crate::settings::Settings;

#[derive(Default)]
pub(super) struct Process {
    pub(super) controller: Option<Arc<Controller>>,
    pub(super) incarnation: u64,
}

impl Process {
    pub(super) fn runs(&self, incarnation: u64) -> bool {
        self.controller.is_some() && self.incarnation == incarnation
    }
}

pub(super) fn zone(n: usize) -> &'static str {
    if n == 1 { "b" } else { "a" }
}

fn settings(n: usize, sabotage: Sabotage, drains: bool) -> Settings {
    let s = |ms: u64| ms as f64 / 1000.0;
    let peers: String = (0..CONTROLLERS)
        .filter(|p| *p != n)
        .map(|p| format!("[[peers]]\nnode_name = \"n-{p}\"\naddress = \"{}\"\n", peer_address(p)))
        .collect();
    // They may be told more than the limit, on purpose.
    let more = if sabotage == Sabotage::Limit { 4.0 } else { 0.0 };
    let team = |name: &str, least: f64, most: f64| {
        format!("[[facts.teams]]\nname = \"{name}\"\ncpus = {least:.1}\ncpus_max = {:.1}\n", most + more)
    };
    let text = format!(
        "node_name = \"n-{n}\"\nzone = \"{}\"\nfront = \"127.0.0.1:1\"\ninternal_addr = \"{}\"\n{peers}
        [external]\ncloud = \"{CLOUD}\"\nstate = \"{STATE}\"\n[facts]\n{}{}
        [facts.workers]\nreport_s = {:.1}\nlease_s = {:.1}\ngang_wait_s = {:.1}\ngang_peer_s = {:.1}\ncancel_s = {:.1}
        [facts.state]\nrps = {RPS:.1}\nwrite_rps = {WRITE_RPS:.1}\nvalue_kb = 8.0\ntxn_ops = 16
        [facts.cloud]\nrps = 5.0\nlist_lag_s = {:.1}
        [facts.limits]\ncores = 1.0\nmemory_mb = 100.0\nmax_connections = 1800\n",
        zone(n),
        peer_address(n),
        team("t", if drains { 0.0 } else { 8.0 }, LIMIT),
        team("u", if drains { 0.0 } else { 4.0 }, LIMIT_U),
        s(REPORT_MS),
        s(LEASE_MS),
        s(GANG_WAIT_MS),
        s(GANG_PEER_MS),
        s(CANCEL_MS),
        s(super::cloud::LIST_LAG_MS),
    );
    Settings::parse("site", &text).expect("valid settings")
}

impl Site {
    /// Starts a process of a controller; what ran before under its name has ended.
    pub(super) fn start_controller(&self, n: usize) {
        self.kill_controller(n);
        let mut all = self.lock();
        all.incarnations += 1;
        let incarnation = all.incarnations * 1000 + n as u64;
        let client = || Client::with_transport(link(self, n, incarnation));
        let clients = HttpClients { key_value_store: client(), peers_and_cloud: client(), workers: client() };
        let settings = settings(n, all.sabotage, all.drains);
        let operators = if all.drains { super::drains::operators() } else { OperatorSettings::default() };
        let controller = Controller::with_clients(settings, operators, incarnation, clients);
        crate::process::spawn_tasks(&controller);
        all.controllers[n] = Process { controller: Some(controller), incarnation };
    }

    /// It ends without a word.
    pub(super) fn kill_controller(&self, n: usize) {
        if let Some(controller) = self.lock().controllers[n].controller.take() {
            controller.shutdown.cancel();
        }
    }

    /// It is told to stop, and ends its lease.
    pub(super) async fn stop_controller(&self, n: usize) {
        let controller = self.lock().controllers[n].controller.clone();
        if let Some(controller) = controller {
            controller.shutdown.cancel();
            let _ = timeout(Duration::from_secs(3), crate::process::leave_cluster(&controller)).await;
            self.kill_controller(n);
        }
    }

    /// Ends a controller, and starts it after a while.
    pub(super) async fn restart_controller(&self, n: usize, orderly: bool, away_ms: u64) {
        if orderly {
            self.stop_controller(n).await;
        } else {
            self.kill_controller(n);
        }
        sleep(Duration::from_millis(away_ms)).await;
        self.start_controller(n);
    }

    /// The controller that leads, by the records.
    pub(super) fn leader(&self) -> usize {
        let name = self.lock().state.leader();
        name.and_then(|n| n.strip_prefix("n-")?.parse().ok()).unwrap_or_default()
    }
}
