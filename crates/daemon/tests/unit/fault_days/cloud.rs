//! The simulated cloud: machine types, rentals, releases and a lagging list of machines.

use std::collections::HashMap;

use net::Request;
use rand::RngExt;
use wire::{ListedMachine, MachineList, MachineNames, MachineStatus, MachineType, MachineTypes, RentRequest};

use super::machines::Machine;
use super::{Defect, Simulation, Site};

/// The maximum number of machines of one type in one zone, for spot and on-demand each.
const CAPACITY: usize = 6;
pub(super) const LIST_LAG_MS: u64 = 4000;

#[derive(Default)]
pub(super) struct Cloud {
    rentals_by_request: HashMap<String, Vec<String>>,
    rented_count: usize,
    /// Until then, machines boot within two seconds.
    pub(super) fast_boots_until: u64,
}

pub(super) fn machine_types() -> Vec<MachineType> {
    let new_machine_type = |name: &str, cpus: f64, zones: &[&str]| MachineType {
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
    vec![new_machine_type("m", 4.0, &["a", "b"]), new_machine_type("l", 8.0, &["b"])]
}

impl Simulation {
    fn rent(&mut self, rent_request: &RentRequest) -> Option<Vec<String>> {
        if let Some(names) = self.cloud.rentals_by_request.get(&rent_request.request) {
            return Some(names.clone());
        }
        let now = self.ms();
        let is_same_kind = |m: &&Machine| {
            m.gone_at.is_none()
                && (m.machine_type == rent_request.machine_type)
                && (m.zone == rent_request.zone)
                && m.spot == rent_request.spot
        };
        let existing = self.machines.values().filter(is_same_kind).count();
        let count = (rent_request.count as usize).min(CAPACITY.saturating_sub(existing));
        if count == 0 {
            return None;
        }
        let mut names = Vec::new();
        for _ in 0..count {
            self.cloud.rented_count += 1;
            let id = format!("host-{:06}", self.cloud.rented_count);
            let boot_delay_ms = if now < self.cloud.fast_boots_until {
                self.rng.random_range(200..2000)
            } else if self.rng.random_bool(0.02) {
                // This machine never boots.
                u64::MAX / 2
            } else {
                self.rng.random_range(2400..6400)
            };
            let controller = self.rng.random_range(0..super::CONTROLLERS);
            let machine = Machine::new(rent_request, now, now + boot_delay_ms, controller);
            self.machines.insert(id.clone(), machine);
            names.push(id);
        }
        self.trace.push(format!(
            "{now:>7} rented {} in {}, spot {}: {names:?}",
            rent_request.machine_type, rent_request.zone, rent_request.spot
        ));
        self.cloud.rentals_by_request.insert(rent_request.request.clone(), names.clone());
        Some(names)
    }

    fn listed_machines(&self, after: &str) -> Vec<ListedMachine> {
        let now = self.ms();
        let listed_as_of = now.saturating_sub(LIST_LAG_MS);
        let is_listed =
            |m: &Machine| m.rented_at <= listed_as_of && m.gone_at.is_none_or(|t| t > listed_as_of);
        let machines = self.machines.iter().filter(|(id, m)| id.as_str() > after && is_listed(m));
        let item = |(id, m): (&String, &Machine)| ListedMachine {
            id: id.clone(),
            addr: Some(id.clone()),
            machine_type: m.machine_type.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            status: if m.up_at <= listed_as_of { MachineStatus::Running } else { MachineStatus::Booting },
            age_s: (listed_as_of - m.rented_at) as f64 / 1000.0,
        };
        machines.map(item).collect()
    }
}

impl Site {
    pub(super) async fn serve_cloud(&self, request: Request) -> (u16, Vec<u8>) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let malformed = || (400, wire::encode(&"malformed"));
        match (request.method.as_str(), path) {
            ("GET", "/machine_types") => (200, wire::encode(&MachineTypes { types: machine_types() })),
            ("GET", _) => {
                let after = query.split('&').find_map(|p| p.strip_prefix("after=")).unwrap_or_default();
                let machines = self.lock().listed_machines(after);
                (200, wire::encode(&MachineList { machines, has_more: false }))
            }
            (_, "/machines") => match wire::decode::<RentRequest>(&request.body) {
                Ok(rent_request) => match self.lock().rent(&rent_request) {
                    Some(machines) => (200, wire::encode(&MachineNames { machines })),
                    None => (503, wire::encode(&wire::ErrorBody { error: "no capacity".into() })),
                },
                Err(_) => malformed(),
            },
            _ => match wire::decode::<MachineNames>(&request.body) {
                Ok(names) => {
                    let mut simulation = self.lock();
                    if !matches!(simulation.defect, Defect::ReleasesIgnored | Defect::LeasesIgnored) {
                        names.machines.iter().for_each(|id| simulation.remove_machine(id));
                    }
                    (200, wire::encode(&serde_json::json!({})))
                }
                Err(_) => malformed(),
            },
        }
    }
}
