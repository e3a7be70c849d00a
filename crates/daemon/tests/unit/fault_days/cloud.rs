//! The cloud: machine types, rentals, releases, a list that lags.

use std::collections::HashMap;

use net::Request;
use rand::RngExt;
use wire::{ListedMachine, MachineList, MachineNames, MachineStatus, MachineType, MachineTypes, RentRequest};

use super::machines::Machine;
use super::{All, Sabotage, Site};

/// Most machines of one type, zone and kind.
const CAPACITY: usize = 6;
pub(super) const LIST_LAG_MS: u64 = 4000;

#[derive(Default)]
pub(super) struct Cloud {
    answered: HashMap<String, Vec<String>>,
    rented: usize,
    /// Until when machines are up within two seconds.
    pub(super) quick_until: u64,
}

pub(super) fn types() -> Vec<MachineType> {
    let kind = |name: &str, cpus: f64, zones: &[&str]| MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: 64.0,
        cache_gb: 20.0,
        fetch_gb_per_s: 1.0,
        price: cpus,
        spot_price: cpus * 0.4,
        boot_s: 4.0,
        zones: zones.iter().map(|z| (*z).to_owned()).collect(),
    };
    vec![kind("m", 4.0, &["a", "b"]), kind("l", 8.0, &["b"])]
}

impl All {
    fn rent(&mut self, r: &RentRequest) -> Option<Vec<String>> {
        if let Some(names) = self.cloud.answered.get(&r.request) {
            return Some(names.clone());
        }
        let now = self.ms();
        let like = |m: &&Machine| {
            m.gone_at.is_none()
                && (m.machine_type == r.machine_type)
                && (m.zone == r.zone)
                && m.spot == r.spot
        };
        let there = self.machines.values().filter(like).count();
        let count = (r.count as usize).min(CAPACITY.saturating_sub(there));
        if count == 0 {
            return None;
        }
        let mut names = Vec::new();
        for _ in 0..count {
            self.cloud.rented += 1;
            let id = format!("host-{:06}", self.cloud.rented);
            let boot = if now < self.cloud.quick_until {
                self.rng.random_range(200..2000)
            } else if self.rng.random_bool(0.02) {
                // It never comes up.
                u64::MAX / 2
            } else {
                self.rng.random_range(2400..6400)
            };
            let at = self.rng.random_range(0..super::CONTROLLERS);
            let machine = Machine::new(r, now, now + boot, at);
            self.machines.insert(id.clone(), machine);
            names.push(id);
        }
        self.trace
            .push(format!("{now:>7} rented {} in {}, spot {}: {names:?}", r.machine_type, r.zone, r.spot));
        self.cloud.answered.insert(r.request.clone(), names.clone());
        Some(names)
    }

    fn listed(&self, after: &str) -> Vec<ListedMachine> {
        let now = self.ms();
        let then = now.saturating_sub(LIST_LAG_MS);
        let shown = |m: &Machine| m.rented_at <= then && m.gone_at.is_none_or(|t| t > then);
        let machines = self.machines.iter().filter(|(id, m)| id.as_str() > after && shown(m));
        let item = |(id, m): (&String, &Machine)| ListedMachine {
            id: id.clone(),
            addr: Some(id.clone()),
            machine_type: m.machine_type.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            status: if m.up_at <= then { MachineStatus::Running } else { MachineStatus::Booting },
            age_s: (then - m.rented_at) as f64 / 1000.0,
        };
        machines.map(item).collect()
    }
}

impl Site {
    pub(super) async fn cloud_serves(&self, request: Request) -> (u16, Vec<u8>) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let malformed = || (400, wire::encode(&"malformed"));
        match (request.method.as_str(), path) {
            ("GET", "/machine_types") => (200, wire::encode(&MachineTypes { types: types() })),
            ("GET", _) => {
                let after = query.split('&').find_map(|p| p.strip_prefix("after=")).unwrap_or_default();
                let machines = self.lock().listed(after);
                (200, wire::encode(&MachineList { machines, has_more: false }))
            }
            (_, "/machines") => match wire::decode::<RentRequest>(&request.body) {
                Ok(r) => match self.lock().rent(&r) {
                    Some(machines) => (200, wire::encode(&MachineNames { machines })),
                    None => (503, wire::encode(&wire::ErrorBody { error: "no capacity".into() })),
                },
                Err(_) => malformed(),
            },
            _ => match wire::decode::<MachineNames>(&request.body) {
                Ok(names) => {
                    let mut all = self.lock();
                    if !matches!(all.sabotage, Sabotage::Released | Sabotage::Leases) {
                        names.machines.iter().for_each(|id| all.lose_machine(id));
                    }
                    (200, wire::encode(&serde_json::json!({})))
                }
                Err(_) => malformed(),
            },
        }
    }
}
