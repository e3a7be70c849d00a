//! The platform's settings (TOML). Field names are the file's.

mod check;
mod sockets;

use std::path::Path;
use std::time::Duration;

use sched::replica::Team;
use serde::Deserialize;

pub use sockets::Sockets;

/// Why settings cannot be used: one line that names the file and the field.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    /// The file is malformed.
    #[error("{file}: {why}")]
    Parse {
        /// The file.
        file: String,
        /// Where and what the mistake is.
        why: String,
    },
    /// A field has a value that it must not have.
    #[error("{file}: {field}: {why}")]
    Field {
        /// The file.
        file: String,
        /// The field.
        field: String,
        /// What the value must be.
        why: String,
    },
}

/// The settings of one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The controller's name.
    pub node_name: String,
    /// The zone that it runs in.
    pub zone: String,
    /// The address that users and workers reach it at.
    pub front: String,
    /// The address that peers reach it at.
    pub internal_addr: String,
    /// The other controllers.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// The services that it depends on.
    pub external: External,
    /// What the site is like.
    pub facts: Facts,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Its name.
    pub node_name: String,
    /// The address that it serves its peers at.
    pub address: String,
}

/// The services that a controller depends on.
#[derive(Debug, Clone, Deserialize)]
pub struct External {
    /// The address of the cloud's interface.
    pub cloud: String,
    /// The address of the key-value store.
    pub state: String,
}

/// What the site is like.
#[derive(Debug, Clone, Deserialize)]
pub struct Facts {
    /// Only checked.
    #[serde(default)]
    pub time_bound_ms: f64,
    /// The teams and their quotas.
    #[serde(default)]
    pub teams: Vec<TeamSettings>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// How workers behave.
    pub workers: Workers,
    /// The key-value store's limits.
    pub state: State,
    /// The cloud's limits.
    pub cloud: Cloud,
    /// What the process may use.
    pub limits: Limits,
}

/// A team and its quotas.
#[derive(Debug, Clone, Deserialize)]
pub struct TeamSettings {
    /// The team's name, free text.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs; 0: without limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs; 0: without limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What it is about; `wait` is the time to a task's start.
    pub kind: String,
    /// The class of jobs.
    #[serde(default)]
    pub class: Option<String>,
    /// The time in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// How workers behave.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Time between two heartbeats, in seconds.
    pub report_s: f64,
    /// How long a worker's lease lasts, in seconds.
    pub lease_s: f64,
    /// How long a gang's tasks wait for each other, in seconds; 0: without end.
    #[serde(default)]
    pub gang_wait_s: f64,
    /// How soon a gang's tasks end after one of them has, in seconds.
    pub gang_peer_s: f64,
    /// Within what time a cancellation takes effect, in seconds.
    pub cancel_s: f64,
}

/// The key-value store's limits.
#[derive(Debug, Clone, Deserialize)]
pub struct State {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// Largest value, in KiB of JSON.
    pub value_kb: f64,
    /// Most changes of a transaction.
    pub txn_ops: usize,
    /// The limits that it will have from some moment on.
    #[serde(default)]
    pub next: Option<NextState>,
}

/// Limits that the key-value store will have; absent: as now.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextState {
    /// Requests a second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Changes a second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Largest value, in KiB of JSON.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Most changes of a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// The cloud's limits.
#[derive(Debug, Clone, Deserialize)]
pub struct Cloud {
    /// Requests a second.
    pub rps: f64,
    /// How late its lists are, in seconds.
    pub list_lag_s: f64,
}

/// What the process may use.
#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// Processor cores.
    pub cores: f64,
    /// Memory, in MiB.
    pub memory_mb: f64,
    /// Open sockets.
    pub max_connections: usize,
}

/// Reads a file. Returns its name for errors, and its text.
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
    /// Loads and checks a file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let (file, text) = read(path)?;
        Self::parse(&file, &text)
    }

    /// Parses and checks settings. `file` names them in errors.
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

    /// The teams and their quotas.
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

    /// How long a controller that cannot confirm its authority still answers
    /// heartbeats. Everything it renews until then is over before a cancellation
    /// that it cannot know of must have taken effect.
    pub fn renewal_bound(&self) -> Duration {
        let w = &self.facts.workers;
        wire::seconds((w.cancel_s - w.lease_s * 1.001 - RENEWAL_MARGIN_S).max(1.0))
    }
}

/// What lies between the last lease's end and the time by which a cancellation must
/// have taken effect. A lease counts from when its heartbeat was sent, so that only
/// the clocks' drift, timers that fire late and the worker's own stop take of it.
const RENEWAL_MARGIN_S: f64 = 2.0;

#[cfg(test)]
#[path = "../tests/unit/settings.rs"]
pub(crate) mod tests;

#[cfg(test)]
#[path = "../tests/unit/golden_settings.rs"]
mod golden_tests;
