//! The leader's autoscaler: it requests machines from the cloud (scale-out) and releases those
//! that are lost or not needed (scale-in).
//!
//! [`run_autoscaler`] runs [`Autoscaler::step`] for as long as the process lives; a controller
//! that is not the leader keeps no state. Every write is conditional on the cluster map
//! (`leader_write`), so that a former leader changes nothing.
//!
//! The cloud's list of machines is followed by `cloud_listing`, its machine types by
//! `machine_types`.
//!
//! Scale-out: `demand` and `expected_capacity` are what `scale_out_plan` plans from, `scale_out`
//! sends the requests, `scale_out_records` records them, and `scale_out_completion` removes them
//! once their machines are up.
//!
//! Scale-in: `release_candidates` decides what goes, with `owner_contact` and `idle_machines`;
//! `release_rate` decides how fast; `scale_in` releases, and `removed_machines` updates the records.

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
mod machine_types;
mod owner_contact;
mod release_candidates;
mod release_rate;
mod removed_machines;
mod scale_in;
mod scale_out;
mod scale_out_completion;
mod scale_out_plan;
mod scale_out_records;

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
use crate::chunk_collector::{ChunkCollector, ChunkDeletion};
use crate::clock;
use crate::controller::Controller;

/// Least pause between two steps.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(300);
/// A step leaves this many times the time that its planning took to everything else.
const PAUSE_PER_PLANNING_TIME: u32 = 8;
/// How often the state of the cluster is logged.
const CLUSTER_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// How long a released machine is remembered: the cloud's list may still contain it.
const RELEASED_MEMORY: Duration = Duration::from_secs(300);

/// The autoscaler of one term of leadership.
#[derive(Default)]
pub(crate) struct Autoscaler {
    /// Since when this controller has been the leader.
    leader_since: Option<Instant>,
    /// How many requests for machines this process has made; they are numbered by it.
    request_count: u64,
    /// The cloud's list of machines.
    listing: CloudListing,
    /// The refresh of the machine types.
    machine_types: MachineTypesRefresh,
    /// Offers that are not requested for now, as the cloud has no capacity for them.
    backoffs: CapacityBackoffs,
    /// When the state of the cluster was last logged.
    cluster_logged_at: Option<Instant>,
    /// Since when each idle machine has been idle.
    idle_since: HashMap<Name, Instant>,
    /// Machines whose release the cloud has confirmed, and when. Until the cloud's list no longer
    /// contains them they are not to be taken for new ones.
    released: HashMap<Name, Instant>,
    /// For each silent machine, when the leases of all tasks on it have surely expired.
    lease_expiry_of_silent: HashMap<Name, Instant>,
    /// How the demand for GPU tasks grows.
    gpu_demand: GpuDemand,
    /// One job of each shape that waits for capacity within its team's quota.
    waiting_specs: Vec<JobSpec>,
    /// The garbage collection of chunks.
    chunk_collector: ChunkCollector,
}

/// Runs the autoscaler, while this controller is the leader, for as long as the process lives.
pub async fn run_autoscaler(controller: Arc<Controller>) {
    let mut autoscaler = Autoscaler::default();
    let mut planning_time = Duration::ZERO;
    loop {
        sleep(MIN_STEP_INTERVAL.max(planning_time * PAUSE_PER_PLANNING_TIME)).await;
        planning_time = Duration::ZERO;
        if !controller.state().is_leader(&controller.identity) {
            autoscaler = Autoscaler { request_count: autoscaler.request_count, ..Autoscaler::default() };
            continue;
        }
        autoscaler.leader_since.get_or_insert_with(clock::now);
        planning_time = autoscaler.step(&controller).await;
    }
}

impl Autoscaler {
    /// The autoscaler of a controller that has been the leader, and has had the cloud's list, since
    /// an instant.
    #[cfg(any(test, feature = "bench"))]
    pub(crate) fn leading_since(start: Instant) -> Self {
        Self { leader_since: Some(start), listing: CloudListing::started_at(start), ..Self::default() }
    }

    /// Does once all that is due. Returns how long the planning of the scale-out took.
    async fn step(&mut self, controller: &Controller) -> Duration {
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
            self.released.retain(|_, at| completed_at.saturating_duration_since(*at) < RELEASED_MEMORY);
        }
    }

    fn log_cluster_if_due(&mut self, controller: &Controller) {
        if is_due(self.cluster_logged_at, CLUSTER_LOG_INTERVAL) {
            self.cluster_logged_at = Some(clock::now());
            log_cluster(&controller.state());
        }
    }

    async fn collect_chunks(&mut self, controller: &Controller) {
        let deletion = self.chunk_collector.next(controller, clock::now());
        if let Some(ChunkDeletion { condition, deletions }) = deletion {
            write_as_leader(controller, vec![condition], deletions).await;
        }
    }
}

/// Whether something is to be done again that was last done at an instant, or never.
fn is_due(last: Option<Instant>, interval: Duration) -> bool {
    last.is_none_or(|last| clock::since(last) >= interval)
}

/// The names of machines, for a request to the cloud.
fn to_strings(machines: &[Name]) -> Vec<String> {
    machines.iter().map(|machine| machine.to_string()).collect()
}
