//! What the duties of one controller share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cloud::CloudClient;
use net::{Client, Connections};
use sched::placement;
use sched::records::Member;
use sched::replica::Team;
use store::KeyValueClient;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::JobKind;

use crate::clock;
pub use crate::clock::wall_ms;
use crate::connection_shares::{CONNECTION_SHARES, share_of};
use crate::limits::{self, LimitChanges, StateLimits};
use crate::load::{LoadCounters, Purpose};
use crate::operators::Operators;
use crate::read_barrier::ReadBarrier;
use crate::settings::Settings;
use crate::state::{ControllerState, ShareBasis};
use crate::worker::WorkerLimits;

/// How long a controller may be out of touch before it is no longer live.
pub const MEMBER_TTL: Duration = Duration::from_secs(4);
/// What the tasks of one controller share.
pub struct Controller {
    pub settings: Settings,
    pub operators: Operators,
    pub teams: Vec<Team>,
    pub identity: Member,
    pub kv_client: KeyValueClient,
    pub cloud: CloudClient,
    /// To the state service: whatever else hangs, it has its turns.
    pub kv_http: Client,
    /// To the cloud and the peers.
    pub peer_and_cloud_http: Client,
    /// To workers: however many they are, the others are always reached.
    pub worker_http: Client,
    pub public_connections: Arc<Connections>,
    pub peer_connections: Arc<Connections>,
    pub load: LoadCounters,
    state: Mutex<ControllerState>,
    /// Something changed that a round of decisions should look at.
    pub wake_scheduler: Notify,
    /// A free-room summary is worth sending now.
    pub peer_status_due: Notify,
    /// A machine without a record has reported.
    pub unrecorded_machine: Notify,
    /// The mirror's revision.
    pub replica_revision: watch::Sender<u64>,
    /// Linearizable reads.
    pub read_barrier: ReadBarrier,
    pub limit_changes: LimitChangeFlags,
    pub shutdown: CancellationToken,
    pub task_tracker: TaskTracker,
}

/// What is known of the change of limits, for whoever plans with it.
#[derive(Debug, Default)]
pub struct LimitChangeFlags {
    pub all_upgraded: AtomicBool,
    pub sizes_reduced: AtomicBool,
    pub rates_reduced: AtomicBool,
    /// How many controllers chunked records wait for, as last told.
    missing: AtomicUsize,
}

impl LimitChangeFlags {
    /// Whether there is something new to tell of whom chunked records wait for.
    pub fn waits_for(&self, missing: &[&String]) -> bool {
        self.missing.swap(missing.len(), Ordering::Relaxed) != missing.len()
    }

    pub fn get(&self) -> LimitChanges {
        let of = |flag: &AtomicBool| flag.load(Ordering::Relaxed);
        LimitChanges {
            all_upgraded: of(&self.all_upgraded),
            sizes_reduced: of(&self.sizes_reduced),
            rates_reduced: of(&self.rates_reduced),
        }
    }
}

impl Controller {
    pub fn new(settings: Settings, operators: Operators, incarnation: u64) -> Arc<Self> {
        let sockets = settings.sockets();
        let clients =
            (Client::new(sockets.state), Client::new(sockets.others), Client::new(sockets.to_workers));
        Self::with_clients(settings, operators, incarnation, clients)
    }

    /// With clients of its own choice: one to the state service, one to the cloud and the
    /// peers, one to workers.
    pub fn with_clients(
        settings: Settings,
        operators: Operators,
        incarnation: u64,
        (state_http, http, workers_http): (Client, Client, Client),
    ) -> Arc<Self> {
        let sockets = settings.sockets();
        let now = clock::now();
        let state = ControllerState::new(settings.facts.state.write_rps, now);
        Arc::new(Self {
            teams: settings.teams(),
            identity: Member { name: settings.node_name.clone(), zone: settings.zone.clone(), incarnation },
            kv_client: KeyValueClient::new(
                state_http.clone(),
                settings.external.state.clone(),
                (settings.facts.limits.memory_mb * f64::from(1 << 20)) as usize,
            ),
            kv_http: state_http,
            cloud: CloudClient::new(http.clone(), settings.external.cloud.clone()),
            peer_and_cloud_http: http,
            worker_http: workers_http,
            public_connections: Arc::new(Connections::new(
                sockets.front,
                &[(CONNECTION_SHARES[0], sockets.workers_kept), (CONNECTION_SHARES[1], sockets.users_kept)],
                share_of,
            )),
            load: LoadCounters::default(),
            peer_connections: Arc::new(Connections::new(sockets.peers, &[], |_| 0)),
            state: Mutex::new(state),
            wake_scheduler: Notify::new(),
            peer_status_due: Notify::new(),
            unrecorded_machine: Notify::new(),
            replica_revision: watch::Sender::new(0),
            read_barrier: ReadBarrier::default(),
            limit_changes: LimitChangeFlags::default(),
            shutdown: CancellationToken::new(),
            task_tracker: TaskTracker::new(),
            settings,
            operators,
        })
    }

    /// Starts a duty that ends when the controller stops.
    pub fn spawn_task<F>(&self, duty: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let stop = self.shutdown.clone();
        self.task_tracker.spawn(async move {
            tokio::select! {
                _ = stop.cancelled() => {}
                _ = duty => {}
            }
        });
    }
}

impl Controller {
    pub fn state(&self) -> MutexGuard<'_, ControllerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the mirror has reached a revision.
    pub async fn wait_for_revision(&self, revision: u64, patience: Duration) -> bool {
        let mut seen = self.replica_revision.subscribe();
        timeout(patience, seen.wait_for(|r| *r >= revision)).await.is_ok_and(|r| r.is_ok())
    }

    /// Waits until `n` changes may be written, leaving `reserve` for others.
    pub async fn wait_for_write(&self, n: usize, reserve: f64) {
        let wait = self.state().writes.limiter.acquire(n as f64, reserve, clock::now());
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    /// Counts a user's change. It waits for nothing: what the state service does
    /// not take is answered at once, and the rounds make up for the debt.
    pub fn count_user_write(&self) {
        self.load.spend(Purpose::Users, 1);
        self.state().writes.limiter.acquire(1.0, 0.0, clock::now());
    }

    /// The pause between two requests for changes. There are two kinds of them,
    /// and a third of the requests that the state service takes is for each; the
    /// rest is for transactions.
    pub fn watch_interval(&self) -> Duration {
        let size = self.settings.peers.len() + 1;
        wire::seconds((size as f64 * 3.0 / self.state_limits().rps).clamp(0.02, 0.5))
    }

    /// Shares the changes that the state service takes among the controllers
    /// that are live. The leader, who rents machines and places what is large,
    /// has most; all may go somewhat beyond theirs, as not all need them.
    /// With fixed shares, one whose part held most of the waiting jobs had a ninth of
    /// the changes, while others had nothing to write: once all are new, the shares
    /// follow the jobs that each places, by the records, without a word to each other.
    pub fn update_write_share(&self, state: &mut ControllerState, now: Instant) {
        let live = state.cluster_map().map_or(1, |m| m.live.len()).max(1);
        let leads = state.is_leader(&self.identity);
        let per_s = self.state_limits().write_rps;
        let basis = ShareBasis { live_controllers: live, is_leader: leads, total_rate_bits: per_s.to_bits() };
        let by_jobs = self.state_limits().chunked && !state.old_version_is_live();
        if state.writes.begin_update(basis, by_jobs, now) {
            let others = live as f64 - 1.0;
            let fixed = if leads { 0.65 } else { 0.45 / others.max(1.0) };
            let mine =
                if by_jobs { share_by_jobs(state, &self.identity.name).unwrap_or(fixed) } else { fixed };
            state.writes.limiter.set_rate(per_s * mine, now);
        }
    }

    /// Whether reports may be answered now.
    pub fn may_renew_leases(&self, state: &ControllerState, now: Instant) -> bool {
        let peers = self.settings.peers.iter().map(|p| p.node_name.as_str());
        state.may_renew_leases(&self.identity, peers, self.settings.renewal_bound(), now)
    }

    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }

    /// Silence after which a machine counts as lost and is given back.
    pub fn silence_limit(&self) -> Duration {
        let w = &self.settings.facts.workers;
        self.operators.silent.unwrap_or(wire::seconds((4.0 * w.report_s).max(8.0)))
    }

    pub fn heartbeat_interval(&self) -> Duration {
        wire::seconds(self.settings.facts.workers.report_s)
    }

    /// What a job's record has for its assignments and for what is done.
    fn list_bytes(&self) -> f64 {
        (self.state_limits().assignment_record_bytes - RECORD_REST).max(512.0)
    }

    /// Most assignments that one job's record holds within a value's size: each
    /// takes at most three characters for its task, and its machine up to six,
    /// which others share.
    pub fn max_assignments_per_record(&self) -> usize {
        (self.list_bytes() * 0.55 / 3.0) as usize
    }

    /// How far beyond the first unfinished task an array's others may start. The
    /// bitmap of what is done takes a sixth of a character each.
    pub fn task_window(&self) -> u32 {
        (self.list_bytes() * 0.22 * 6.0) as u32
    }

    pub fn worker_limits(&self, fresh_at: Option<Instant>) -> WorkerLimits {
        let w = &self.settings.facts.workers;
        WorkerLimits {
            gang_peer: wire::seconds(w.gang_peer_s),
            // The clocks of both sides drift apart by 0.05% each way at most;
            // the rest is for timers that fire late.
            lease: wire::seconds(w.lease_s * 1.002 + 1.0),
            fresh_at,
            max_launch_replica_age: MEMBER_TTL,
        }
    }

    /// The limits of the state service to plan with.
    pub fn state_limits(&self) -> StateLimits {
        limits::effective_limits(&self.settings.facts.state, self.limit_changes.get())
    }

    /// Most bytes of a job's description: what the present limits take, also after they
    /// have become smaller.
    pub fn max_description_bytes(&self) -> usize {
        (self.settings.facts.state.value_kb * 1024.0 * 0.3).max(DESCRIBED) as usize
    }
}

/// What a job's record takes beside its lists: the description and its fields.
const RECORD_REST: f64 = 750.0;
/// A description of this length is taken whatever the limits are.
const DESCRIBED: f64 = 2048.0;

/// All shares together. With 1.1, as with fixed shares, users met refusals for the rate
/// in 3% of submissions: the shares are used up now.
const SHARES_SUM: f64 = 0.95;
/// The least share of the leader and of each other controller: for machines, rentals
/// and ends of jobs that others place.
const LEADER_LEAST: f64 = 0.3;
const OTHERS_LEAST: f64 = 0.04;

/// A controller's share of the changes, by how much there is to write of the jobs that
/// each of them places.
fn share_by_jobs(state: &ControllerState, me: &str) -> Option<f64> {
    let leader = state.records.replica.leader.as_ref()?.value.name.as_str();
    let live: Vec<&str> = state.cluster_map()?.live.iter().map(|m| m.name.as_str()).collect();
    let mut weights: HashMap<&str, f64> = HashMap::new();
    for job in state
        .records
        .replica
        .open_job_ids
        .iter()
        .filter_map(|id| state.records.replica.jobs.get(id))
        .map(|j| &j.value)
    {
        let Some(spec) = job.spec.as_deref() else { continue };
        let waits = placement::pending_task_count(job) > 0;
        // Replicas that run are hardly ever written.
        let weight = if waits || spec.kind == JobKind::Array { 1.0 } else { 0.1 };
        if let Some(placer) = state.records.replica.scheduler_of(job) {
            *weights.entry(placer).or_default() += weight;
        }
    }
    let of = |name: &str| weights.get(name).copied().unwrap_or(0.0) + 1.0;
    let all: f64 = live.iter().map(|n| of(n)).sum();
    let least = |name: &str| if name == leader { LEADER_LEAST } else { OTHERS_LEAST };
    let free = SHARES_SUM - live.iter().map(|n| least(n)).sum::<f64>();
    live.contains(&me).then(|| least(me) + free.max(0.0) * of(me) / all)
}

#[cfg(test)]
#[path = "../tests/unit/controller.rs"]
mod tests;
