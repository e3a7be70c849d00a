//! The platform's settings (TOML).

use std::path::Path;
use std::time::Duration;

use sched::world::Team;
use serde::Deserialize;

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    #[error("{file}: {why}")]
    Parse { file: String, why: String },
    #[error("{file}: {field}: {why}")]
    Field { file: String, field: String, why: String },
}

#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    pub node_name: String,
    pub zone: String,
    pub front: String,
    pub internal_addr: String,
    #[serde(default)]
    pub peers: Vec<Peer>,
    pub external: External,
    pub facts: Facts,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    pub node_name: String,
    pub address: String,
}

#[derive(Debug, Clone, Deserialize)]
pub struct External {
    pub cloud: String,
    pub state: String,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Facts {
    #[serde(default)]
    pub time_bound_ms: f64,
    #[serde(default)]
    pub teams: Vec<TeamSettings>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: State,
    pub cloud: Cloud,
    pub limits: Limits,
}

#[derive(Debug, Clone, Deserialize)]
pub struct TeamSettings {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    #[serde(default)]
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct State {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// The limits that it will have from some moment on.
    #[serde(default)]
    pub next: Option<NextState>,
}

#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextState {
    #[serde(default)]
    pub rps: Option<f64>,
    #[serde(default)]
    pub write_rps: Option<f64>,
    #[serde(default)]
    pub value_kb: Option<f64>,
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Cloud {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    pub cores: f64,
    pub memory_mb: f64,
    pub max_connections: usize,
}

const TEAM_NAME_MOST: usize = 150;
/// A job's description has to fit beside a few assignments.
const VALUE_KB_LEAST: f64 = 2.0;

pub(crate) fn read(path: &Path) -> Result<(String, String), SettingsError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| SettingsError::Read(file.clone(), e))?;
    Ok((file, text))
}

/// Keeps an error message on one line.
pub(crate) fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

impl Settings {
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let (file, text) = read(path)?;
        Self::parse(&file, &text)
    }

    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|e| SettingsError::Parse {
            file: file.to_owned(),
            why: match e.span() {
                Some(span) if span.start > 0 => {
                    let line = text[..span.start.min(text.len())].matches('\n').count() + 1;
                    let near = text.lines().nth(line - 1).unwrap_or_default().trim();
                    format!("line {line} (\"{near}\"): {}", one_line(e.message()))
                }
                _ => one_line(e.message()),
            },
        })?;
        settings.check(file)?;
        Ok(settings)
    }

    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let bad = |field: &str, why: &str| {
            Err(SettingsError::Field { file: file.to_owned(), field: field.to_owned(), why: why.to_owned() })
        };
        let addresses = [
            ("front", &self.front),
            ("internal_addr", &self.internal_addr),
            ("external.cloud", &self.external.cloud),
            ("external.state", &self.external.state),
        ];
        for (field, addr) in
            addresses.into_iter().chain(self.peers.iter().map(|p| ("peers.address", &p.address)))
        {
            if addr.parse::<std::net::SocketAddr>().is_err() {
                return bad(field, "must be an IP address and a port");
            }
        }
        if self.node_name.is_empty() || self.node_name.contains(char::is_whitespace) {
            return bad("node_name", "must be a name without spaces");
        }
        let f = &self.facts;
        let positive = [
            ("facts.workers.report_s", f.workers.report_s),
            ("facts.workers.lease_s", f.workers.lease_s),
            ("facts.workers.cancel_s", f.workers.cancel_s),
            ("facts.state.rps", f.state.rps),
            ("facts.state.write_rps", f.state.write_rps),
            ("facts.state.value_kb", f.state.value_kb),
            ("facts.cloud.rps", f.cloud.rps),
            ("facts.limits.cores", f.limits.cores),
            ("facts.limits.memory_mb", f.limits.memory_mb),
        ];
        let next = f.state.next.clone().unwrap_or_default();
        let to_come = [
            ("facts.state.next.rps", next.rps),
            ("facts.state.next.write_rps", next.write_rps),
            ("facts.state.next.value_kb", next.value_kb),
        ];
        let to_come = to_come.into_iter().filter_map(|(field, v)| Some((field, v?)));
        for (field, value) in positive.into_iter().chain(to_come) {
            if !value.is_finite() || value <= 0.0 || value > 1e9 {
                return bad(field, "must be a number above 0");
            }
        }
        let not_negative = [
            ("facts.workers.gang_wait_s", f.workers.gang_wait_s),
            ("facts.workers.gang_peer_s", f.workers.gang_peer_s),
            ("facts.cloud.list_lag_s", f.cloud.list_lag_s),
            ("facts.time_bound_ms", f.time_bound_ms),
        ];
        let teams = f.teams.iter().flat_map(|t| [t.cpus, t.cpus_max, t.gpus, t.gpus_max]);
        for (field, value) in not_negative.into_iter().chain(teams.map(|v| ("facts.teams", v))) {
            if !value.is_finite() || !(0.0..=1e9).contains(&value) {
                return bad(field, "must be a number of 0 or more");
            }
        }
        // The name is part of a key of the state service, which has 200 bytes at most.
        if f.teams.iter().any(|t| t.name.len() > TEAM_NAME_MOST) {
            return bad("facts.teams.name", "must have at most 150 bytes");
        }
        if f.state.txn_ops < 2 {
            return bad("facts.state.txn_ops", "must be at least 2");
        }
        if f.state.value_kb < VALUE_KB_LEAST {
            return bad("facts.state.value_kb", "must be at least 2");
        }
        if next.txn_ops.is_some_and(|n| n < 2) {
            return bad("facts.state.next.txn_ops", "must be at least 2");
        }
        if next.value_kb.is_some_and(|kb| kb < VALUE_KB_LEAST) {
            return bad("facts.state.next.value_kb", "must be at least 2");
        }
        if f.limits.max_connections < 64 {
            return bad("facts.limits.max_connections", "must be at least 64");
        }
        Ok(())
    }

    pub fn teams(&self) -> Vec<Team> {
        // A limit of 0 means that there is none.
        let limit = |max: f64| if max > 0.0 { max } else { f64::INFINITY };
        let team = |t: &TeamSettings| Team {
            name: t.name.clone(),
            cpus: t.cpus,
            cpus_max: limit(t.cpus_max),
            gpus: t.gpus,
            gpus_max: limit(t.gpus_max),
        };
        self.facts.teams.iter().map(team).collect()
    }

    /// Whether the class is expected to start within a time of its own.
    pub fn starts_in_time(&self, class: &str) -> bool {
        let of_class = |o: &&Objective| o.class.as_deref() == Some(class);
        self.facts.objectives.iter().filter(of_class).any(|o| o.kind == "wait")
    }

    /// The times within which jobs of the class are expected to start: the least
    /// and the most, if any are stated.
    pub fn start_times(&self, class: &str) -> Option<(f64, f64)> {
        let of_class =
            self.facts.objectives.iter().filter(|o| o.kind == "wait" && o.class.as_deref() == Some(class));
        let times: Vec<f64> = of_class.filter_map(|o| o.within_s).filter(|t| t.is_finite()).collect();
        let least = times.iter().copied().reduce(f64::min)?;
        Some((least, times.into_iter().fold(least, f64::max)))
    }

    pub fn sockets(&self) -> Sockets {
        let all = self.facts.limits.max_connections;
        let sixteenth = (all / 16).max(1);
        Sockets {
            front: sixteenth * 9,
            workers_kept: sixteenth * 6,
            users_kept: sixteenth * 2,
            peers: sixteenth,
            to_workers: sixteenth * 4,
            // What is left is for listeners, files and what is being closed.
            state: (sixteenth / 2).max(STATE_LEAST),
            others: (sixteenth / 2).max(1),
        }
    }

    /// How long a controller that cannot confirm its authority still answers
    /// reports. Everything it renews until then is over before a cancellation
    /// that it cannot know of must have taken effect.
    pub fn renewal_bound(&self) -> Duration {
        let w = &self.facts.workers;
        wire::seconds((w.cancel_s - w.lease_s * 1.001 - RENEWAL_MARGIN_S).max(1.0))
    }
}

/// How the sockets that a process may have are shared. None of the purposes can
/// use up those of another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sockets {
    /// Connections from workers and users together, and how many of each kind stay
    /// open between requests. The rest is for those that are closed after an answer.
    pub front: usize,
    pub workers_kept: usize,
    pub users_kept: usize,
    /// Connections from peers.
    pub peers: usize,
    /// Connections to workers.
    pub to_workers: usize,
    /// Connections to the state service. While reports were passed on to a controller that
    /// could not be reached, those to the peers took its turns, too: users had no answers,
    /// and the membership of one that was well ran out.
    pub state: usize,
    /// Connections to the cloud and peers.
    pub others: usize,
}

/// A watch, a check, and two for what is written and the lease.
const STATE_LEAST: usize = 4;

/// What lies between the last lease's end and the time by which a cancellation must
/// have taken effect. A lease counts from when its report was sent, so that only
/// the clocks' drift, timers that fire late and the worker's own stop take of it.
const RENEWAL_MARGIN_S: f64 = 2.0;

#[cfg(test)]
#[path = "../tests/unit/settings.rs"]
pub(crate) mod tests;

#[cfg(test)]
#[path = "../tests/unit/golden_settings.rs"]
mod golden_tests;
