//! The file that describes an emulated site (HCL), and the settings files of its controllers.

mod check;
mod hcl_file;
mod load_and_faults;
mod settings;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Deserialize;
use wire::MachineType;

use crate::cloud::CloudSettings;
use crate::site::SiteSettings;
use crate::state::StateLimits;

pub use hcl_file::SiteError;

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteFile {
    /// Seed of all random draws.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Folder for the data of the state service and of jobs; None: nothing is stored.
    #[serde(default)]
    pub data: Option<PathBuf>,
    pub listen: ListenFile,
    pub controller: BTreeMap<String, ControllerFile>,
    pub machine_type: BTreeMap<String, MachineTypeFile>,
    pub team: BTreeMap<String, TeamFile>,
    pub workers: WorkersFile,
    pub state: StateFile,
    pub cloud: CloudFile,
    pub limits: LimitsFile,
    /// Streams of jobs that the emulated users submit, by name.
    #[serde(default)]
    pub load: BTreeMap<String, load_and_faults::LoadFile>,
    /// Injected faults, by name.
    #[serde(default)]
    pub trouble: BTreeMap<String, load_and_faults::TroubleFile>,
}

fn default_seed() -> u64 {
    1
}

/// IP addresses and ports; port 0 stands for any free port.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenFile {
    pub users: String,
    pub cloud: String,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControllerFile {
    pub zone: String,
    /// The controller's own address for users and workers.
    pub front: String,
    /// The controller's own address for other controllers.
    pub internal: String,
    /// Address of a proxy that users use instead of `front`.
    pub door: String,
    /// Address at which only this controller reaches the state service.
    pub state: String,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineTypeFile {
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    pub memory_gb: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot_s: f64,
    /// Number of ordinary machines, by zone.
    pub capacity: BTreeMap<String, u32>,
    /// Number of spot machines, by zone.
    #[serde(default)]
    pub spot_capacity: BTreeMap<String, u32>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamFile {
    pub cpus: f64,
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkersFile {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateFile {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CloudFile {
    pub rps: f64,
    pub list_lag_s: f64,
    /// Share of the machines that boot slowly.
    #[serde(default)]
    pub slow_boots: f64,
    /// Share of the machines that boot within two seconds.
    #[serde(default)]
    pub quick_boots: f64,
    /// Share of the machines that never come up.
    #[serde(default)]
    pub never_up: f64,
    /// Mean time until a spot machine is reclaimed; None: never.
    #[serde(default)]
    pub spot_life_s: Option<f64>,
    /// Mean time until a machine fails; None: never.
    #[serde(default)]
    pub life_s: Option<f64>,
    #[serde(default)]
    pub notice_s: f64,
    /// Share of the spot machines that are reclaimed without notice.
    #[serde(default)]
    pub no_notice: f64,
}

/// The resource limits in each controller's settings. The emulation does not enforce them.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitsFile {
    pub cores: f64,
    pub memory_mb: f64,
    pub max_connections: usize,
}

fn seconds(s: f64) -> Duration {
    Duration::try_from_secs_f64(s).unwrap_or_default()
}

impl SiteFile {
    /// The host of the machines' addresses: the one in the address for users.
    pub fn host(&self) -> String {
        self.listen
            .users
            .parse::<std::net::SocketAddr>()
            .map_or_else(|_| "127.0.0.1".to_owned(), |a| a.ip().to_string())
    }

    pub fn state_limits(&self) -> StateLimits {
        let s = &self.state;
        StateLimits { rps: s.rps, write_rps: s.write_rps, value_kb: s.value_kb, txn_ops: s.txn_ops }
    }

    pub fn site_settings(&self) -> SiteSettings {
        SiteSettings {
            cloud: self.cloud_settings(),
            report_interval: seconds(self.workers.report_s),
            lease_duration: seconds(self.workers.lease_s),
            gang_wait: seconds(self.workers.gang_wait_s),
            gang_peer: seconds(self.workers.gang_peer_s),
            controllers: self.controller.keys().cloned().collect(),
            seed: self.seed,
        }
    }

    fn cloud_settings(&self) -> CloudSettings {
        let machine_type = |(name, t): (&String, &MachineTypeFile)| MachineType {
            name: name.clone(),
            cpus: t.cpus,
            gpus: t.gpus,
            memory_gb: t.memory_gb,
            cache_gb: t.cache_gb,
            fetch_gb_per_s: t.fetch_gb_per_s,
            price: t.price,
            spot_price: t.spot_price,
            boot_s: t.boot_s,
            zones: t.zones(),
        };
        let mut capacity = std::collections::HashMap::new();
        for (name, t) in &self.machine_type {
            for zone in t.zones() {
                let count_in = |all: &BTreeMap<String, u32>| all.get(&zone).copied().unwrap_or(0);
                let counts = (count_in(&t.capacity), count_in(&t.spot_capacity));
                capacity.insert((name.clone(), zone), counts);
            }
        }
        let c = &self.cloud;
        // A state service with a file remembers the machines of earlier runs, whose names must not
        // be reused. Numbering from the time in seconds would reuse names if an earlier run rented
        // many machines within a few seconds, so each second has 1000 numbers.
        let first_number = match self.data {
            Some(_) => SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |d| d.as_secs() * 1000),
            None => 1,
        };
        CloudSettings {
            types: self.machine_type.iter().map(machine_type).collect(),
            capacity,
            rps: c.rps,
            list_lag: seconds(c.list_lag_s),
            slow_boots: c.slow_boots,
            quick_boots: c.quick_boots,
            never_up: c.never_up,
            spot_life: c.spot_life_s.map(seconds),
            life: c.life_s.map(seconds),
            notice: seconds(c.notice_s),
            no_notice: c.no_notice,
            first_number,
        }
    }
}

impl MachineTypeFile {
    fn zones(&self) -> Vec<String> {
        let mut zones: Vec<String> = self.capacity.keys().chain(self.spot_capacity.keys()).cloned().collect();
        zones.sort();
        zones.dedup();
        zones
    }
}
