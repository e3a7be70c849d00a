//! The leader's autoscaler: requests machines from the cloud (scale-out) and releases those that
//! are lost or not needed (scale-in).
//!
//! [`run_autoscaler`] repeats [`Autoscaler::step`] for the lifetime of the process; a controller
//! that is not the leader keeps no state. Every write is conditional on the cluster map
//! (`leader_write`), so that a former leader cannot change any record.
//!
//! `cloud_listing` fetches the cloud's list of machines, `machine_types` its machine types.
//!
//! Scale-out: `scale_out_plan` compares `demand` with `expected_capacity`, `scale_out` sends the
//! requests, `scale_out_records` records them, and `scale_out_completion` removes them once their
//! machines are up or released. `boot_timeout` tells which machines are overdue. `shortfalls` finds the
//! jobs that the cloud has no more machines for.
//!
//! Scale-in: `release_candidates` selects the machines to release, with `owner_reachability` and
//! `idle_machines`, which keeps what `retry_capacity` asks for (`machine_suitability` tells what
//! suits a job); `release_rate` limits how many are released at a time, `release_backoff` what is
//! named again after a call that the cloud did not confirm; `scale_in` releases them, and
//! `removed_machines` updates the records.

mod boot_timeout;
mod capacity_backoff;
mod cloud_listing;
mod cluster_log;
mod demand;
mod expected_capacity;
mod fleet_record;
mod headroom;
mod idle_machines;
mod leader_write;
mod machine_offers;
mod machine_suitability;
mod machine_types;
mod owner_reachability;
mod release_backoff;
mod release_candidates;
mod release_rate;
mod removed_machines;
mod retry_capacity;
mod scale_in;
mod scale_out;
mod scale_out_completion;
mod scale_out_plan;
mod scale_out_records;
mod shortfalls;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use sched::forecast::GpuDemand;
use sched::records::Name;
use tokio::time::sleep;
use wire::JobSpec;

use self::capacity_backoff::CapacityBackoffs;
use self::cloud_listing::CloudListing;
use self::cluster_log::log_cluster;
use self::leader_write::write_as_leader;
use self::machine_types::MachineTypesRefresh;
use self::release_backoff::ReleaseBackoff;
use self::retry_capacity::RetryCapacity;
use self::shortfalls::ShortfallFinder;
use crate::chunk_collector::{ChunkCollector, ChunkDeletion};
use crate::clock;
use crate::controller::{Controller, wall_ms};
use crate::state::CapacityShortfalls;

/// Minimum pause between two steps.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(300);
/// The pause after a step is at least this many times its planning time, so that planning takes
/// only a small share of the process's time.
const PLANNING_PAUSE_FACTOR: u32 = 8;
/// Interval between two log lines on the state of the cluster.
const CLUSTER_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// How long released machines are remembered: the cloud's list may still contain them.
const RELEASED_RETENTION: Duration = Duration::from_secs(300);

/// The autoscaler of one term of leadership.
#[derive(Default)]
pub(crate) struct Autoscaler {
    /// When this controller became the leader.
    leader_since: Option<Instant>,
    /// Number of scale-out requests that this process has made; part of each request's id.
    request_count: u64,
    /// The cloud's list of machines.
    listing: CloudListing,
    /// Keeps the record of the machine types up to date.
    machine_types: MachineTypesRefresh,
    /// Offers that are not requested for now because the cloud has no capacity for them or refuses
    /// them.
    backoffs: CapacityBackoffs,
    /// When the state of the cluster was last logged.
    cluster_logged_at: Option<Instant>,
    /// Since when each idle machine has been idle.
    idle_since: HashMap<Name, Instant>,
    /// When the cloud confirmed the release of each machine. The cloud's list may contain such a
    /// machine for some time; it must not be counted as a new one.
    released: HashMap<Name, Instant>,
    /// Since when the replica has been fresh without interruption; `None` while it is not.
    store_available_since: Option<Instant>,
    /// The releases that the cloud did not confirm.
    release_backoff: ReleaseBackoff,
    /// For each silent machine, the time by which the leases of all its tasks have expired.
    silent_machine_lease_expiry: HashMap<Name, Instant>,
    /// Samples of the demand for GPU tasks, used to forecast its growth.
    gpu_demand: GpuDemand,
    /// Specs of the jobs that wait for capacity within their team's quota, one per shape, without
    /// those of `retries`.
    waiting_specs: Vec<JobSpec>,
    /// The capacity that jobs whose starts keep failing need for their next retry.
    retries: Vec<RetryCapacity>,
    /// Finds the jobs that the cloud has no more machines for.
    shortfall_finder: ShortfallFinder,
    /// Garbage collector of the chunks in the key-value store.
    chunk_collector: ChunkCollector,
}

/// Runs the autoscaler whenever this controller is the leader, for the lifetime of the process.
pub async fn run_autoscaler(controller: Arc<Controller>) {
    let mut autoscaler = Autoscaler::default();
    let mut planning_time = Duration::ZERO;
    loop {
        sleep(MIN_STEP_INTERVAL.max(planning_time * PLANNING_PAUSE_FACTOR)).await;
        planning_time = Duration::ZERO;
        if !controller.state().is_leader(&controller.identity) {
            autoscaler = Autoscaler { request_count: autoscaler.request_count, ..Autoscaler::default() };
            controller.state().scheduling.shortfalls = CapacityShortfalls::default();
            continue;
        }
        autoscaler.leader_since.get_or_insert_with(clock::now);
        planning_time = autoscaler.step(&controller).await;
    }
}

impl Autoscaler {
    /// An autoscaler whose controller became the leader, and began listing the cloud's machines, at
    /// `start`.
    #[cfg(any(test, feature = "bench"))]
    pub(crate) fn leading_since(start: Instant) -> Self {
        Self { leader_since: Some(start), listing: CloudListing::started_at(start), ..Self::default() }
    }

    /// Runs every task that is due once. Returns how long the planning of the scale-out took.
    async fn step(&mut self, controller: &Controller) -> Duration {
        self.note_store_availability(&controller.state());
        self.machine_types.refresh_if_due(controller).await;
        self.advance_listing(controller).await;
        self.log_cluster_if_due(controller);
        self.collect_chunks(controller).await;
        self.scale_in(controller).await;
        self.delete_removed_machines(controller).await;
        self.complete_scale_outs(controller).await;
        self.scale_out(controller).await
    }

    async fn advance_listing(&mut self, controller: &Controller) {
        if let Some(completed_at) = self.listing.advance(&controller.cloud).await {
            self.released.retain(|_, at| completed_at.saturating_duration_since(*at) < RELEASED_RETENTION);
        }
    }

    fn log_cluster_if_due(&mut self, controller: &Controller) {
        if is_due(self.cluster_logged_at, CLUSTER_LOG_INTERVAL) {
            self.cluster_logged_at = Some(clock::now());
            let state = controller.state();
            let overdue = self.overdue_machines(&state, clock::now(), wall_ms()).len();
            log_cluster(&state, overdue);
        }
    }

    async fn collect_chunks(&mut self, controller: &Controller) {
        let deletion = self.chunk_collector.next(controller, clock::now());
        if let Some(ChunkDeletion { condition, deletions }) = deletion {
            write_as_leader(controller, vec![condition], deletions).await;
        }
    }
}

/// Whether a periodic task is due, given when it was last run (`None`: never).
fn is_due(last: Option<Instant>, interval: Duration) -> bool {
    last.is_none_or(|last| clock::since(last) >= interval)
}

/// Machine names in the form that the cloud's API takes.
fn to_strings(machines: &[Name]) -> Vec<String> {
    machines.iter().map(|machine| machine.to_string()).collect()
}
