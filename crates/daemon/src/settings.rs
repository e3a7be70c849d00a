//! The platform's settings (TOML). The fields of the structs are named as in the file.

mod check;
mod sockets;

use std::path::Path;
use std::time::Duration;

use sched::replica::Team;
use serde::Deserialize;

pub use sockets::Sockets;

/// Why settings cannot be used. The message is one line that names the file and the field.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{0}: cannot read the file: {1}")]
    Read(String, std::io::Error),
    /// The file is malformed.
    #[error("{file}: {reason}")]
    Parse {
        /// The path of the file.
        file: String,
        /// What is wrong, and where in the file.
        reason: String,
    },
    /// A field has an invalid value.
    #[error("{file}: {field}: {reason}")]
    Field {
        /// The path of the file.
        file: String,
        /// The field.
        field: String,
        /// What the value must be.
        reason: String,
    },
}

/// The settings of one controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The controller's name.
    pub node_name: String,
    /// The zone in which the controller runs.
    pub zone: String,
    /// The address that the controller listens on for users and workers.
    pub front: String,
    /// The address that the controller listens on for its peers.
    pub internal_addr: String,
    /// The other controllers.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// The services that the controller depends on.
    pub external: External,
    /// The properties of the site.
    pub facts: SiteSettings,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// The name of the controller.
    pub node_name: String,
    /// The address on which it serves its peers.
    pub address: String,
}

/// The services that a controller depends on.
#[derive(Debug, Clone, Deserialize)]
pub struct External {
    /// The address of the cloud's API.
    pub cloud: String,
    /// The address of the key-value store.
    pub state: String,
}

/// The properties of the site: teams, objectives, and the limits of its services.
#[derive(Debug, Clone, Deserialize)]
pub struct SiteSettings {
    /// Not used; the value is only checked.
    #[serde(default)]
    pub time_bound_ms: f64,
    /// The teams and their quotas.
    #[serde(default)]
    pub teams: Vec<TeamSettings>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// The timing of workers.
    pub workers: WorkerSettings,
    /// The key-value store's limits.
    pub state: StoreSettings,
    /// The cloud's limits.
    pub cloud: CloudSettings,
    /// The resources that the process may use.
    pub limits: ProcessLimits,
}

/// A team and its quotas.
#[derive(Debug, Clone, Deserialize)]
pub struct TeamSettings {
    /// The team's name. It may contain any characters.
    pub name: String,
    /// Guaranteed CPUs.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum CPUs; 0: no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum GPUs; 0: no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// The kind of objective. `wait`: the time until a task starts.
    pub kind: String,
    /// The class of jobs to which the objective applies.
    #[serde(default)]
    pub class: Option<String>,
    /// The target, in seconds: with `wait`, tasks start within this time.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// The timing of workers.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerSettings {
    /// Time between two heartbeats, in seconds.
    pub report_s: f64,
    /// How long a worker's lease lasts, in seconds.
    pub lease_s: f64,
    /// How long a gang's tasks wait for each other, in seconds; 0: no limit.
    #[serde(default)]
    pub gang_wait_s: f64,
    /// How soon a gang's tasks end after one of them has ended, in seconds.
    pub gang_peer_s: f64,
    /// The time within which a cancellation must take effect, in seconds.
    pub cancel_s: f64,
}

/// The key-value store's limits.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreSettings {
    /// Requests per second.
    pub rps: f64,
    /// Changes per second.
    pub write_rps: f64,
    /// Maximum size of a value as JSON, in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in a transaction.
    pub txn_ops: usize,
    /// The limits that will apply from some later time on.
    #[serde(default)]
    pub next: Option<NextStoreSettings>,
}

/// The key-value store's limits from some later time on. An absent limit does not change.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextStoreSettings {
    /// Requests per second.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Changes per second.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value as JSON, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of changes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

/// The cloud's limits.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudSettings {
    /// Requests per second.
    pub rps: f64,
    /// How long the cloud's lists may lag behind, in seconds.
    pub list_lag_s: f64,
}

/// The resources that the process may use.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// Processor cores.
    pub cores: f64,
    /// Memory, in MiB.
    pub memory_mb: f64,
    /// Maximum number of open sockets.
    pub max_connections: usize,
}

/// Reads a file. Returns its path, for error messages, and its contents.
pub(crate) fn read(path: &Path) -> Result<(String, String), SettingsError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| SettingsError::Read(file.clone(), e))?;
    Ok((file, text))
}

/// Puts an error message on one line.
pub(crate) fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

impl Settings {
    /// Loads and checks a file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let (file, text) = read(path)?;
        Self::parse(&file, &text)
    }

    /// Parses and checks settings. `file` is the file name for error messages.
    pub fn parse(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text).map_err(|e| SettingsError::Parse {
            file: file.to_owned(),
            reason: match e.span() {
                Some(span) if span.start > 0 => {
                    let line = text[..span.start.min(text.len())].matches('\n').count() + 1;
                    let line_text = text.lines().nth(line - 1).unwrap_or_default().trim();
                    format!("line {line} (\"{line_text}\"): {}", one_line(e.message()))
                }
                _ => one_line(e.message()),
            },
        })?;
        settings.check(file)?;
        Ok(settings)
    }

    /// The teams and their quotas.
    pub fn teams(&self) -> Vec<Team> {
        // A maximum of 0 means no limit.
        let limit = |max: f64| if max > 0.0 { max } else { f64::INFINITY };
        let to_team = |team: &TeamSettings| Team {
            name: team.name.clone(),
            cpus: team.cpus,
            cpus_max: limit(team.cpus_max),
            gpus: team.gpus,
            gpus_max: limit(team.gpus_max),
        };
        self.facts.teams.iter().map(to_team).collect()
    }

    /// Whether the class has an objective for the time until its tasks start.
    pub fn has_wait_objective(&self, class: &str) -> bool {
        let of_class = |objective: &&Objective| objective.class.as_deref() == Some(class);
        self.facts.objectives.iter().filter(of_class).any(|objective| objective.kind == "wait")
    }

    /// The shortest and the longest time, in seconds, of the class's objectives for the start of
    /// tasks; `None` if no time is given.
    pub fn wait_objective_range(&self, class: &str) -> Option<(f64, f64)> {
        let of_class = self
            .facts
            .objectives
            .iter()
            .filter(|objective| objective.kind == "wait" && objective.class.as_deref() == Some(class));
        let times: Vec<f64> = of_class
            .filter_map(|objective| objective.within_s)
            .filter(|seconds| seconds.is_finite())
            .collect();
        let shortest = times.iter().copied().reduce(f64::min)?;
        Some((shortest, times.into_iter().fold(shortest, f64::max)))
    }

    /// How long a controller that cannot confirm its authority still answers heartbeats, which renews
    /// leases. The leases renewed until then expire before a cancellation that the controller does
    /// not know of must have taken effect.
    pub fn renewal_bound(&self) -> Duration {
        let workers = &self.facts.workers;
        wire::seconds((workers.cancel_s - workers.lease_s * 1.001 - RENEWAL_MARGIN_S).max(1.0))
    }
}

/// Time, in seconds, between the end of the last lease and the time by which a cancellation must have
/// taken effect. A lease counts from when its heartbeat was sent, so the margin only has to cover
/// clock drift, late timers and the worker's own time to stop tasks.
const RENEWAL_MARGIN_S: f64 = 2.0;

#[cfg(test)]
#[path = "../tests/unit/settings.rs"]
pub(crate) mod tests;

#[cfg(test)]
#[path = "../tests/unit/golden_settings.rs"]
mod golden_tests;
