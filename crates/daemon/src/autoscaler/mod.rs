//! The leader's dealings with the cloud: renting, giving back, keeping the types.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use sched::autoscaling::MachineOffer;
use sched::forecast::GpuDemand;
use sched::placement;
use sched::records::*;
use store::{KeyWrite, TxnOutcome, key};
use tokio::time::sleep;
use tracing::{debug, info, warn};
use wire::{Condition, JobKind, JobSpec, ListedMachine};

use crate::chunk_collector::{ChunkCollector, ChunkDeletion};
use crate::clock;
use crate::controller::{Controller, wall_ms};
use crate::load::Purpose;
use crate::state::ControllerState;

mod scale_in;
mod scale_out;

#[derive(Default)]
pub(crate) struct Autoscaler {
    /// Offers without capacity, until when, and the pause that follows.
    blocked: HashMap<MachineOffer, (Instant, Duration)>,
    idle_since: HashMap<Name, Instant>,
    listed: BTreeMap<Name, ListedMachine>,
    /// When the latest listing was begun, and how far it is.
    listed_at: Option<Instant>,
    listing: Option<Listing>,
    types_at: Option<Instant>,
    requests: u64,
    /// Released for good, so that a lagging list does not bring them back.
    released: HashMap<Name, Instant>,
    led_since: Option<Instant>,
    logged_at: Option<Instant>,
    gpu_demand: GpuDemand,
    /// One job of each kind that waits for room and has its team's leave.
    waiting: Vec<JobSpec>,
    first_seen: HashMap<Name, Instant>,
    /// Machines that are to be released for their silence.
    silent: HashMap<Name, Silent>,
    sweeper: ChunkCollector,
}

/// A listing of the cloud's machines that is not complete yet.
struct Listing {
    machines: Vec<ListedMachine>,
    /// When to ask for the next page.
    next_at: Instant,
}

struct Silent {
    /// When whatever is on the machine has surely lost its lease.
    ends: Instant,
}

/// Most pages of the cloud's list asked for in one step: the cloud takes few requests a second,
/// and rentals and returns are not to wait behind a list of thousands of machines.
const PAGES_AT_ONCE: usize = 2;
/// How long a released machine is remembered, as lists lag.
const RELEASED_FOR: Duration = Duration::from_secs(300);
const LIST_EVERY: Duration = Duration::from_secs(5);
/// After how long a page is asked for again that the cloud refused, or did not answer.
const LIST_AGAIN: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(300);
/// Between its steps the duty leaves this many times the time that one took.
const LEAVE: u32 = 8;
/// Room is kept ready for this long after the latest GPU job.
const SPARE_FOR: Duration = Duration::from_secs(300);
pub async fn run_autoscaler(controller: Arc<Controller>) {
    let mut fleet = Autoscaler::default();
    let mut cost = Duration::ZERO;
    loop {
        sleep(TICK.max(cost * LEAVE)).await;
        cost = Duration::ZERO;
        if !controller.state().is_leader(&controller.identity) {
            fleet = Autoscaler { requests: fleet.requests, ..Autoscaler::default() };
            continue;
        }
        fleet.led_since.get_or_insert_with(clock::now);
        cost = fleet.step(&controller).await;
    }
}

impl Autoscaler {
    /// One that has led for long enough to rent.
    #[cfg(feature = "bench")]
    pub(crate) fn leading_since(then: Instant) -> Self {
        Self { led_since: Some(then), listed_at: Some(then), ..Self::default() }
    }

    /// One look at everything; tells how long the planning took.
    async fn step(&mut self, controller: &Controller) -> Duration {
        let every =
            |at: Option<Instant>, s: u64| at.is_none_or(|t| clock::since(t) >= Duration::from_secs(s));
        let types_known = !controller.state().records.replica.machine_types.is_empty();
        if every(self.types_at, if types_known { 60 } else { 1 }) {
            self.refresh_types(controller).await;
        }
        self.refresh_list(controller).await;
        if every(self.logged_at, 10) {
            self.logged_at = Some(clock::now());
            log_cluster(&controller.state());
        }
        if let Some(ChunkDeletion { condition, deletions }) = self.sweeper.next(controller, clock::now()) {
            write(controller, vec![condition], deletions).await;
        }
        self.give_back(controller).await;
        self.bury(controller).await;
        self.settle_rentals(controller).await;
        self.rent(controller).await
    }

    async fn refresh_types(&mut self, controller: &Controller) {
        self.types_at = Some(clock::now());
        match controller.cloud.machine_types().await {
            Ok(types) => {
                let (version, same) = {
                    let state = controller.state();
                    let same = state.records.replica.machine_types.len() == types.len()
                        && types.iter().all(|t| state.records.replica.machine_types.get(&t.name) == Some(t));
                    (state.records.replica.machine_types_version, same)
                };
                if same {
                    return;
                }
                let put = KeyWrite::new(key::TYPES.into(), &MachineTypesRecord { types });
                write(controller, vec![Condition { key: key::TYPES.into(), version }], vec![put]).await;
            }
            Err(e) => warn!(error = %e, "the cloud's machine types could not be had"),
        }
    }

    /// Goes on with the listing of the cloud's machines, or begins the next.
    async fn refresh_list(&mut self, controller: &Controller) {
        let now = clock::now();
        if self.listing.is_none() {
            if self.listed_at.is_some_and(|t| now.saturating_duration_since(t) < LIST_EVERY) {
                return;
            }
            self.listed_at = Some(now);
            self.listing = Some(Listing { machines: Vec::new(), next_at: now });
        }
        for _ in 0..PAGES_AT_ONCE {
            let Some(listing) = self.listing.as_mut().filter(|l| now >= l.next_at) else { return };
            let after = listing.machines.last().map(|m| m.id.as_str());
            match controller.cloud.list_page(after).await {
                Ok(page) => {
                    let more = page.more && !page.machines.is_empty();
                    listing.machines.extend(page.machines);
                    if !more {
                        self.list_complete(clock::now());
                        return;
                    }
                }
                Err(e) => {
                    debug!(error = %e, "a page of the cloud's list could not be had");
                    listing.next_at = clock::now() + LIST_AGAIN;
                    return;
                }
            }
        }
    }

    /// The last page is there.
    fn list_complete(&mut self, now: Instant) {
        let Some(listing) = self.listing.take() else { return };
        self.listed = listing.machines.into_iter().map(|m| (m.id.as_str().into(), m)).collect();
        for id in self.listed.keys() {
            self.first_seen.entry(id.clone()).or_insert(now);
        }
        self.first_seen.retain(|id, _| self.listed.contains_key(id));
        self.released.retain(|_, t| now.saturating_duration_since(*t) < RELEASED_FOR);
    }

    async fn put_rentals(&self, controller: &Controller, change: impl Fn(&mut Vec<ScaleOut>)) -> bool {
        self.put_fleet(controller, |f| change(&mut f.scale_outs)).await
    }

    async fn put_fleet(&self, controller: &Controller, change: impl Fn(&mut FleetRecord)) -> bool {
        for _ in 0..3 {
            let (mut fleet, version) = {
                let state = controller.state();
                state
                    .records
                    .replica
                    .fleet
                    .as_ref()
                    .map_or((FleetRecord::default(), 0), |f| (f.value.clone(), f.version))
            };
            change(&mut fleet);
            let put = KeyWrite::new(key::FLEET.into(), &fleet);
            if write(controller, vec![Condition { key: key::FLEET.into(), version }], vec![put]).await {
                return true;
            }
            if !controller.state().is_leader(&controller.identity) {
                return false;
            }
        }
        false
    }
}

/// Most characters that a machine's name takes in the fleet's record beside the
/// one before it: names hold six digits mostly, five bits a character.
const NAME_CHARS: usize = 4;
/// How many values the fleet's record may take where one is small: each change of it
/// then costs one more for each of them.
const FLEET_VALUES: f64 = 3.0;
/// How many bytes the fleet's record may have.
fn fleet_bytes(controller: &Controller) -> usize {
    let plan = controller.state_limits();
    let now = controller.settings.facts.state.value_kb * 1024.0;
    let bytes = if plan.chunked { now.min(plan.value_bytes * FLEET_VALUES) } else { plan.value_bytes };
    (bytes * 0.95) as usize
}

fn written_bytes(fleet: &FleetRecord) -> usize {
    KeyWrite::new(key::FLEET.into(), fleet).json_len()
}

/// How many names more the fleet's record surely holds. Without this bound it
/// could be refused once hundreds of machines are rented and lost at a time, and
/// nothing would be told gone any more.
fn names_left(fleet: &FleetRecord, controller: &Controller) -> usize {
    fleet_bytes(controller).saturating_sub(written_bytes(fleet)) / NAME_CHARS
}

/// Whether machines that are gone should be taken out of the record although other changes
/// wait: what comes next might else find no room.
fn is_half_full(fleet: &FleetRecord, controller: &Controller) -> bool {
    written_bytes(fleet) > fleet_bytes(controller) / 2
}

/// Says in the log what waits, by class, and how full the machines are, by kind.
fn log_cluster(state: &ControllerState) {
    let mut waiting: BTreeMap<&str, (u32, u32, u32)> = BTreeMap::new();
    for job in state.records.replica.open_job_ids.iter().filter_map(|id| state.records.replica.jobs.get(id)) {
        let Some(spec) = job.value.spec.as_deref() else { continue };
        let n = placement::pending_task_count(&job.value);
        let of_class = waiting.entry(&spec.class).or_default();
        of_class.0 += u32::from(n > 0);
        of_class.1 += n;
        of_class.2 += job.value.assignments.len() as u32;
    }
    let mut kinds: BTreeMap<String, (u32, f64, f64)> = BTreeMap::new();
    for (id, m) in &state.records.replica.machines {
        let Some(t) = state.records.replica.machine_types.get(&*m.value.machine_type) else { continue };
        let used = state.records.replica.machine_usage.get(id).map_or(0.0, |u| u.cpus);
        let spot = if m.value.spot { "spot " } else { "" };
        let kind = kinds.entry(format!("{spot}{}", m.value.machine_type)).or_default();
        *kind = (kind.0 + 1, kind.1 + used, kind.2 + t.cpus);
    }
    let waiting: Vec<String> =
        waiting.iter().map(|(c, (j, n, r))| format!("{c}: {j} jobs, {n} tasks, {r} running")).collect();
    let kinds: Vec<String> =
        kinds.iter().map(|(k, (n, used, all))| format!("{k}: {n}, {used:.0}/{all:.0} CPUs")).collect();
    info!(waiting = waiting.join("; "), machines = kinds.join("; "), "cluster");
}

fn names(machines: &[Name]) -> Vec<String> {
    machines.iter().map(|m| m.to_string()).collect()
}

/// The job whose next of a kind should find room ready.
fn spare_spec<'a>(controller: &Controller, state: &'a ControllerState) -> Option<&'a JobSpec> {
    if wall_ms().saturating_sub(state.records.replica.latest_gpu_job_ms) > SPARE_FOR.as_millis() as u64 {
        return None;
    }
    state.records.replica.latest_gpu_job.as_deref().filter(|s| {
        s.kind == JobKind::Gang
            && controller.operators.spare_gpu_tasks > 0
            && controller.settings.starts_in_time(&s.class)
    })
}

/// Writes as the leader: nothing is written once the map has changed.
async fn write(controller: &Controller, mut conditions: Vec<Condition>, puts: Vec<KeyWrite>) -> bool {
    {
        let state = controller.state();
        let Some(map) =
            state.records.replica.cluster_map.as_ref().filter(|_| state.is_leader(&controller.identity))
        else {
            return false;
        };
        conditions.push(Condition { key: key::MAP.into(), version: map.version });
    }
    // Machines take long to boot; a request for some does not wait behind rounds
    // that are in debt.
    controller.state().writes.limiter.acquire(puts.len() as f64, 0.0, clock::now());
    controller.load.spend(Purpose::Autoscaler, puts.len());
    match controller.commit(conditions, puts).await {
        Ok(TxnOutcome::Committed { revision }) => {
            controller.wait_for_revision(revision, Duration::from_secs(2)).await
        }
        Ok(TxnOutcome::Conflict { revision, .. }) => {
            controller.wait_for_revision(revision, Duration::from_secs(2)).await;
            false
        }
        Err(e) => {
            debug!(error = %e, "not written");
            controller.note_refusal(&e);
            sleep(Duration::from_millis(200)).await;
            false
        }
    }
}
