//! The simulated cloud: machine types, rentals, releases and a lagging list of machines.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use net::Request;
use rand::RngExt;
use tokio::time::sleep;
use wire::{ListedMachine, MachineList, MachineNames, MachineStatus, MachineType, MachineTypes, RentRequest};

use super::machines::Machine;
use super::{Defect, Simulation, Site};

/// The capacity of each offer, unless a test sets another.
const CAPACITY: usize = 6;
/// The most names in one call to release machines.
pub(super) const MAX_RELEASED_NAMES: usize = 100;
/// Calls that the cloud admits per second.
pub(super) const RPS: f64 = 5.0;
/// Largest burst of calls, in seconds of the rate.
const BURST_S: f64 = 2.0;
/// The boot time of a machine that never boots.
const NEVER_MS: u64 = u64::MAX / 2;
pub(super) const LIST_LAG_MS: u64 = 4000;

pub(super) struct Cloud {
    /// The machine types that it offers.
    pub(super) machine_types: Vec<MachineType>,
    rentals_by_request: HashMap<String, Vec<String>>,
    pub(super) rented_count: usize,
    /// The maximum number of machines of one type in one zone, for spot and on-demand each.
    pub(super) capacity: usize,
    /// As `capacity`, for types that have another.
    pub(super) capacity_of_types: HashMap<&'static str, usize>,
    /// Until then, machines boot within two seconds.
    pub(super) fast_boots_until: u64,
    /// Until then, machines that are requested never boot.
    pub(super) no_boots_until: u64,
    /// Until then, all calls are refused with 503.
    pub(super) outage_until: u64,
    /// Calls that change something get no answer until then, and are carried out later.
    pub(super) late_calls: LateCalls,
    /// Until then, releases are refused with 503.
    pub(super) releases_refused_until: u64,
    /// Machines that the cloud cannot release: a call that names one of them gets 400.
    pub(super) unreleasable: BTreeSet<String>,
    /// Machines that are listed as failed.
    pub(super) failed: BTreeSet<String>,
    /// A zone whose machines the cloud no longer offers: requests get 400.
    pub(super) refused_zone: Option<&'static str>,
    /// The number of these requests.
    pub(super) refused_requests: usize,
    /// The controller that new machines report to first, if not a drawn one.
    pub(super) first_controller: Option<usize>,
    /// All calls to release machines.
    pub(super) release_calls: Vec<ReleaseCall>,
    /// Calls that the rate limit still admits, at most [`BURST_S`] seconds' worth.
    rate_budget: f64,
    /// When `rate_budget` was last increased.
    refilled_at: u64,
}

/// When calls get no answer, and how much later they are carried out.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LateCalls {
    pub(super) until: u64,
    pub(super) delay_ms: u64,
    /// How many there have been.
    pub(super) count: usize,
}

/// A call to release machines.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReleaseCall {
    pub(super) at: u64,
    pub(super) status: u16,
}

impl Default for Cloud {
    fn default() -> Self {
        Self {
            machine_types: vec![machine_type("m", 4.0, &["a", "b"]), machine_type("l", 8.0, &["b"])],
            rentals_by_request: HashMap::new(),
            rented_count: 0,
            capacity: CAPACITY,
            capacity_of_types: HashMap::new(),
            fast_boots_until: 0,
            no_boots_until: 0,
            outage_until: 0,
            late_calls: LateCalls::default(),
            releases_refused_until: 0,
            unreleasable: BTreeSet::new(),
            failed: BTreeSet::new(),
            refused_zone: None,
            refused_requests: 0,
            first_controller: None,
            release_calls: Vec::new(),
            rate_budget: RPS * BURST_S,
            refilled_at: 0,
        }
    }
}

impl Cloud {
    /// The CPUs of a machine of this type; 0 if there is no such type.
    pub(super) fn cpus_of(&self, machine_type: &str) -> f64 {
        self.machine_types.iter().find(|t| t.name == machine_type).map_or(0.0, |t| t.cpus)
    }

    /// Calls to release machines that were refused in a period, per second.
    pub(super) fn refused_releases_per_second(&self, from: u64, until: u64) -> f64 {
        let is_refused = |call: &&ReleaseCall| (from..until).contains(&call.at) && call.status != 200;
        self.release_calls.iter().filter(is_refused).count() as f64 * 1000.0 / (until - from) as f64
    }

    /// Counts a call; false if it exceeds the rate limit.
    fn admits_call(&mut self, now: u64) -> bool {
        let elapsed_s = (now - self.refilled_at) as f64 / 1000.0;
        self.refilled_at = now;
        self.rate_budget = (self.rate_budget + elapsed_s * RPS).min(RPS * BURST_S);
        if self.rate_budget < 1.0 {
            return false;
        }
        self.rate_budget -= 1.0;
        true
    }
}

/// A machine type without GPUs.
pub(super) fn machine_type(name: &str, cpus: f64, zones: &[&str]) -> MachineType {
    MachineType {
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
    }
}

impl Simulation {
    pub(super) fn rent(&mut self, rent_request: &RentRequest) -> Option<Vec<String>> {
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
        let of_type = self.cloud.capacity_of_types.get(rent_request.machine_type.as_str()).copied();
        let capacity = of_type.unwrap_or(self.cloud.capacity);
        let count = (rent_request.count as usize).min(capacity.saturating_sub(existing));
        if count == 0 {
            return None;
        }
        let mut names = Vec::new();
        for _ in 0..count {
            self.cloud.rented_count += 1;
            let id = format!("host-{:06}", self.cloud.rented_count);
            let boot_delay_ms = if now < self.cloud.no_boots_until {
                NEVER_MS
            } else if now < self.cloud.fast_boots_until {
                self.rng.random_range(200..2000)
            } else if self.rng.random_bool(0.02) {
                NEVER_MS
            } else {
                self.rng.random_range(2400..6400)
            };
            let controller = self.rng.random_range(0..super::CONTROLLERS);
            let controller = self.cloud.first_controller.unwrap_or(controller);
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

    /// Whether the cloud refuses a request for machines for its content.
    fn refuses_request(&mut self, request: &RentRequest) -> bool {
        let is_refused = self.cloud.refused_zone.is_some_and(|zone| zone == request.zone);
        self.cloud.refused_requests += usize::from(is_refused);
        is_refused
    }

    /// Releases machines; returns the HTTP status.
    fn release(&mut self, names: &[String]) -> u16 {
        let now = self.ms();
        let status = if now < self.cloud.releases_refused_until {
            503
        } else if names.len() > MAX_RELEASED_NAMES
            || names.iter().any(|id| self.cloud.unreleasable.contains(id))
        {
            400
        } else {
            200
        };
        self.trace.push(format!("{now:>7} release of {} machines -> {status}", names.len()));
        self.cloud.release_calls.push(ReleaseCall { at: now, status });
        if status == 200 && !matches!(self.defect, Defect::ReleasesIgnored | Defect::LeasesIgnored) {
            names.iter().for_each(|id| self.remove_machine(id));
        }
        status
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
            status: match m.up_at <= listed_as_of {
                _ if self.cloud.failed.contains(id) => MachineStatus::Failed,
                true => MachineStatus::Running,
                false => MachineStatus::Booting,
            },
            age_s: (listed_as_of - m.rented_at) as f64 / 1000.0,
        };
        machines.map(item).collect()
    }
}

impl Site {
    /// Delays a call while the cloud is late. Its caller has given up waiting by the end of the delay.
    async fn carry_out_late(&self) {
        let delay_ms = {
            let mut simulation = self.lock();
            let now = simulation.ms();
            let late_calls = &mut simulation.cloud.late_calls;
            if now >= late_calls.until {
                return;
            }
            late_calls.count += 1;
            late_calls.delay_ms
        };
        sleep(Duration::from_millis(delay_ms)).await;
    }

    pub(super) async fn serve_cloud(&self, request: Request) -> (u16, Vec<u8>) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        if self.ms() < self.lock().cloud.outage_until {
            return (503, wire::encode(&wire::ErrorBody { error: "trouble".into() }));
        }
        if !self.lock().cloud.admits_call(self.ms()) {
            return (429, wire::encode(&wire::ErrorBody { error: "too many requests".into() }));
        }
        if request.method == "POST" {
            self.carry_out_late().await;
        }
        let malformed = || (400, wire::encode(&"malformed"));
        match (request.method.as_str(), path) {
            ("GET", "/machine_types") => {
                let types = self.lock().cloud.machine_types.clone();
                (200, wire::encode(&MachineTypes { types }))
            }
            ("GET", _) => {
                let after = query.split('&').find_map(|p| p.strip_prefix("after=")).unwrap_or_default();
                let machines = self.lock().listed_machines(after);
                (200, wire::encode(&MachineList { machines, has_more: false }))
            }
            (_, "/machines") => match wire::decode::<RentRequest>(&request.body) {
                Ok(rent_request) if self.lock().refuses_request(&rent_request) => malformed(),
                Ok(rent_request) => match self.lock().rent(&rent_request) {
                    Some(machines) => (200, wire::encode(&MachineNames { machines })),
                    None => (503, wire::encode(&wire::ErrorBody { error: "no capacity".into() })),
                },
                Err(_) => malformed(),
            },
            _ => match wire::decode::<MachineNames>(&request.body) {
                Ok(names) => match self.lock().release(&names.machines) {
                    200 => (200, wire::encode(&serde_json::json!({}))),
                    status => (status, wire::encode(&wire::ErrorBody { error: "refused".into() })),
                },
                Err(_) => malformed(),
            },
        }
    }
}
