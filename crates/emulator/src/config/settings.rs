//! The settings files (TOML) of the controllers of an emulated site.

use serde::Serialize;

use super::SiteFile;
use crate::emulation::Emulation;

#[derive(Serialize)]
struct Settings<'a> {
    node_name: &'a str,
    zone: &'a str,
    front: &'a str,
    internal_addr: &'a str,
    peers: Vec<Peer<'a>>,
    external: External<'a>,
    facts: Facts<'a>,
}

#[derive(Serialize)]
struct Peer<'a> {
    node_name: &'a str,
    zone: &'a str,
    address: &'a str,
}

#[derive(Serialize)]
struct External<'a> {
    cloud: &'a str,
    state: &'a str,
}

#[derive(Serialize)]
struct Facts<'a> {
    size: usize,
    zones: Vec<&'a str>,
    time_bound_ms: f64,
    teams: Vec<Team<'a>>,
    workers: Workers,
    state: State,
    cloud: Cloud,
    limits: Limits,
}

#[derive(Serialize)]
struct Team<'a> {
    name: &'a str,
    cpus: f64,
    cpus_max: f64,
    gpus: f64,
    gpus_max: f64,
}

#[derive(Serialize)]
struct Workers {
    report_s: f64,
    lease_s: f64,
    gang_wait_s: f64,
    gang_peer_s: f64,
    cancel_s: f64,
}

#[derive(Serialize)]
struct State {
    rps: f64,
    write_rps: f64,
    value_kb: f64,
    txn_ops: usize,
}

#[derive(Serialize)]
struct Cloud {
    rps: f64,
    list_lag_s: f64,
}

#[derive(Serialize)]
struct Limits {
    cores: f64,
    memory_mb: f64,
    max_connections: usize,
}

/// Bound on clock differences: all controllers use the clock of the same machine.
const TIME_BOUND_MS: f64 = 1.0;

impl SiteFile {
    /// Each controller's name and the text of its settings file.
    pub fn settings(&self, emulation: &Emulation) -> Result<Vec<(String, String)>, toml::ser::Error> {
        let controllers = &emulation.controllers;
        let mut zones: Vec<&str> = controllers.iter().map(|c| c.file.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        let settings_of = |controller: &crate::emulation::Controller| {
            let is_peer = |c: &'_ crate::emulation::Controller| c.name != controller.name;
            let settings = Settings {
                node_name: &controller.name,
                zone: &controller.file.zone,
                front: &controller.file.front,
                internal_addr: &controller.file.internal,
                peers: controllers
                    .iter()
                    .filter(|c| is_peer(c))
                    .map(|c| Peer { node_name: &c.name, zone: &c.file.zone, address: &c.file.internal })
                    .collect(),
                external: External { cloud: &emulation.cloud_addr, state: &controller.state_addr },
                facts: self.facts(controllers.len(), &zones),
            };
            Ok((controller.name.clone(), toml::to_string(&settings)?))
        };
        controllers.iter().map(settings_of).collect()
    }

    fn facts<'a>(&'a self, size: usize, zones: &[&'a str]) -> Facts<'a> {
        let team = |(name, t): (&'a String, &super::TeamFile)| Team {
            name,
            cpus: t.cpus,
            cpus_max: t.cpus_max,
            gpus: t.gpus,
            gpus_max: t.gpus_max,
        };
        let (w, s, l) = (&self.workers, &self.state, &self.limits);
        Facts {
            size,
            zones: zones.to_vec(),
            time_bound_ms: TIME_BOUND_MS,
            teams: self.team.iter().map(team).collect(),
            workers: Workers {
                report_s: w.report_s,
                lease_s: w.lease_s,
                gang_wait_s: w.gang_wait_s,
                gang_peer_s: w.gang_peer_s,
                cancel_s: w.cancel_s,
            },
            state: State { rps: s.rps, write_rps: s.write_rps, value_kb: s.value_kb, txn_ops: s.txn_ops },
            cloud: Cloud { rps: self.cloud.rps, list_lag_s: self.cloud.list_lag_s },
            limits: Limits { cores: l.cores, memory_mb: l.memory_mb, max_connections: l.max_connections },
        }
    }
}
