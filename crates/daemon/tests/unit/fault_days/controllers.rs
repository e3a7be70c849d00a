//! The processes of the controllers, and how they start, stop, crash and restart.

use std::sync::Arc;
use std::time::Duration;

use net::Client;
use tokio::time::{sleep, timeout};

use super::cloud::RPS as CLOUD_RPS;
use super::key_value_store::{RPS, WRITE_RPS};
use super::machines::{CANCEL_MS, GANG_PEER_MS, GANG_WAIT_MS, HEARTBEAT_INTERVAL_MS, LEASE_MS};
use super::network::{CLOUD_ADDRESS, STORE_ADDRESS, controller_transport, peer_address};
use super::{CONTROLLERS, Defect, Simulation, Site, TEAM_U_MAX_CPUS};
use crate::controller::{Controller, HttpClients};
use crate::operators::OperatorSettings;
use crate::settings::Settings;

#[derive(Default)]
pub(super) struct Process {
    pub(super) controller: Option<Arc<Controller>>,
    pub(super) incarnation: u64,
}

impl Process {
    pub(super) fn is_running(&self, incarnation: u64) -> bool {
        self.controller.is_some() && self.incarnation == incarnation
    }
}

pub(super) fn zone(n: usize) -> &'static str {
    if n == 1 { "b" } else { "a" }
}

fn settings(n: usize, simulation: &Simulation) -> Settings {
    let Simulation { defect, drains, team_t_max_cpus, team_max_gpus, .. } = *simulation;
    let seconds = |ms: u64| ms as f64 / 1000.0;
    let peers: String = (0..CONTROLLERS)
        .filter(|peer| *peer != n)
        .map(|peer| format!("[[peers]]\nnode_name = \"n-{peer}\"\naddress = \"{}\"\n", peer_address(peer)))
        .collect();
    // `RaisedTeamLimit` configures more than the limits that are checked.
    let excess = if defect == Defect::RaisedTeamLimit { 4.0 } else { 0.0 };
    let team = |name: &str, guaranteed_cpus: f64, max_cpus: f64| {
        format!(
            "[[facts.teams]]\nname = \"{name}\"\ncpus = {guaranteed_cpus:.1}\ncpus_max = {:.1}\n\
             gpus_max = {team_max_gpus:.1}\n",
            max_cpus + excess
        )
    };
    let text = format!(
        "node_name = \"n-{n}\"\nzone = \"{}\"\nfront = \"127.0.0.1:1\"\ninternal_addr = \"{}\"\n{peers}
        [external]\ncloud = \"{CLOUD_ADDRESS}\"\nstate = \"{STORE_ADDRESS}\"\n[facts]\n{}{}
        [facts.workers]\nreport_s = {:.1}\nlease_s = {:.1}\ngang_wait_s = {:.1}\ngang_peer_s = {:.1}\ncancel_s = {:.1}
        [facts.state]\nrps = {RPS:.1}\nwrite_rps = {WRITE_RPS:.1}\nvalue_kb = 8.0\ntxn_ops = 16
        [facts.cloud]\nrps = {CLOUD_RPS:.1}\nlist_lag_s = {:.1}
        [facts.limits]\ncores = 1.0\nmemory_mb = 100.0\nmax_connections = 1800\n",
        zone(n),
        peer_address(n),
        team("t", if drains { 0.0 } else { 8.0 }, team_t_max_cpus),
        team("u", if drains { 0.0 } else { 4.0 }, TEAM_U_MAX_CPUS),
        seconds(HEARTBEAT_INTERVAL_MS),
        seconds(LEASE_MS),
        seconds(GANG_WAIT_MS),
        seconds(GANG_PEER_MS),
        seconds(CANCEL_MS),
        seconds(super::cloud::LIST_LAG_MS),
    );
    Settings::parse("site", &text).expect("valid settings")
}

impl Site {
    /// Starts a controller, killing its previous process if that still runs.
    pub(super) fn start_controller(&self, n: usize) {
        self.kill_controller(n);
        let mut simulation = self.lock();
        simulation.incarnations += 1;
        let incarnation = simulation.incarnations * 1000 + n as u64;
        let client = || Client::with_transport(controller_transport(self, n, incarnation));
        let clients = HttpClients { key_value_store: client(), peers_and_cloud: client(), workers: client() };
        let settings = settings(n, &simulation);
        let operators =
            if simulation.drains { super::drains::operators() } else { OperatorSettings::default() };
        let controller = Controller::with_clients(settings, operators, incarnation, clients);
        crate::process::spawn_tasks(&controller);
        simulation.controllers[n] = Process { controller: Some(controller), incarnation };
    }

    /// Kills a controller without ending its lease.
    pub(super) fn kill_controller(&self, n: usize) {
        if let Some(controller) = self.lock().controllers[n].controller.take() {
            controller.shutdown.cancel();
        }
    }

    /// Shuts a controller down in an orderly way: it ends its lease first.
    pub(super) async fn stop_controller(&self, n: usize) {
        let controller = self.lock().controllers[n].controller.clone();
        if let Some(controller) = controller {
            controller.shutdown.cancel();
            let _ = timeout(Duration::from_secs(3), crate::process::leave_cluster(&controller)).await;
            self.kill_controller(n);
        }
    }

    /// Stops or kills a controller and starts it again after `downtime_ms`.
    pub(super) async fn restart_controller(&self, n: usize, orderly: bool, downtime_ms: u64) {
        if orderly {
            self.stop_controller(n).await;
        } else {
            self.kill_controller(n);
        }
        sleep(Duration::from_millis(downtime_ms)).await;
        self.start_controller(n);
    }

    /// The index of the leader according to the store; 0 if there is none.
    pub(super) fn leader(&self) -> usize {
        let name = self.lock().store.leader();
        name.and_then(|n| n.strip_prefix("n-")?.parse().ok()).unwrap_or_default()
    }
}
