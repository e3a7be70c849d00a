//! What the tasks of one controller share: its settings, clients, state and signals.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cloud::CloudClient;
use net::{Client, Connections};
use sched::records::Member;
use sched::replica::Team;
use store::KeyValueClient;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::clock;
pub use crate::clock::wall_ms;
use crate::limits::{self, LimitChangeFlags, StateLimits};
use crate::load::{LoadCounters, Purpose};
use crate::operators::OperatorSettings;
use crate::read_barrier::ReadBarrier;
use crate::server_connections::{peer_connections, public_connections};
use crate::settings::Settings;
use crate::state::ControllerState;
pub use crate::timeouts::MEMBER_TTL;
use crate::watched_value::WatchedValue;
use crate::worker::WorkerLimits;

/// Shortest pause between two watch requests, in seconds.
const MIN_WATCH_INTERVAL_S: f64 = 0.02;
/// Longest pause between two watch requests, in seconds.
const MAX_WATCH_INTERVAL_S: f64 = 0.5;
/// Number of equal shares of the key-value store's request rate: one for each of the two kinds of
/// watch requests (change feed and freshness checks), one for transactions.
const REQUEST_RATE_SHARES: f64 = 3.0;
/// Heartbeat intervals without a heartbeat after which a machine counts as lost.
const LOST_AFTER_INTERVALS: f64 = 4.0;
/// Least time without a heartbeat after which a machine counts as lost, in seconds.
const MIN_LOST_AFTER_S: f64 = 8.0;
/// Factor that covers clock drift: at most 0.05% in either direction on each side.
const CLOCK_DRIFT: f64 = 1.002;
/// Longest delay with which a timer fires, in seconds.
const TIMER_SLACK_S: f64 = 1.0;

/// The HTTP clients of a controller. Each has its own sockets, so that hanging requests of one
/// client do not block the others.
pub struct HttpClients {
    /// To the key-value store.
    pub key_value_store: Client,
    /// To the peers and the cloud.
    pub peers_and_cloud: Client,
    /// To workers. However many there are, they cannot use up the sockets of the other clients.
    pub workers: Client,
}

/// What the tasks of one controller share.
pub struct Controller {
    /// The platform's settings.
    pub settings: Settings,
    /// The operators' settings.
    pub operators: OperatorSettings,
    /// The teams and their quotas.
    pub teams: Vec<Team>,
    /// The identity of this process as a member of the cluster.
    pub identity: Member,
    /// The key-value store that holds the records.
    pub kv_client: KeyValueClient,
    /// The cloud that machines are rented from.
    pub cloud: CloudClient,
    /// The HTTP client used by `kv_client`.
    pub kv_http: Client,
    /// The HTTP client for peers, also used by `cloud`.
    pub peer_and_cloud_http: Client,
    /// The HTTP client for workers.
    pub worker_http: Client,
    /// Connections of users and workers.
    pub public_connections: Arc<Connections>,
    /// Connections of peers.
    pub peer_connections: Arc<Connections>,
    /// Counters of this controller's work.
    pub load: LoadCounters,
    state: Mutex<ControllerState>,
    /// Wakes the scheduling loop after a change that may affect its decisions.
    pub wake_scheduler: Notify,
    /// Notified when this controller's status should be sent to its peers without delay.
    pub peer_status_due: Notify,
    /// Notified when a machine without a record has sent a heartbeat.
    pub unrecorded_machine: Notify,
    /// The revision that the copy of the records has reached.
    pub replica_revision: WatchedValue<u64>,
    /// Requests for linearizable reads.
    pub read_barrier: ReadBarrier,
    /// What is known about changes of the key-value store's limits.
    pub limit_changes: LimitChangeFlags,
    /// Cancelled when the process stops.
    pub shutdown: CancellationToken,
    /// The tasks that the process waits for when it stops.
    pub task_tracker: TaskTracker,
}

impl Controller {
    /// Creates a controller whose HTTP clients have the socket limits of the settings. `incarnation`
    /// distinguishes this process from all earlier and later ones of the controller.
    pub fn new(settings: Settings, operators: OperatorSettings, incarnation: u64) -> Arc<Self> {
        let sockets = settings.sockets();
        let clients = HttpClients {
            key_value_store: Client::new(sockets.state),
            peers_and_cloud: Client::new(sockets.cloud_and_peers),
            workers: Client::new(sockets.to_workers),
        };
        Self::with_clients(settings, operators, incarnation, clients)
    }

    /// Creates a controller with these HTTP clients.
    pub fn with_clients(
        settings: Settings,
        operators: OperatorSettings,
        incarnation: u64,
        clients: HttpClients,
    ) -> Arc<Self> {
        let sockets = settings.sockets();
        let memory_bytes = (settings.facts.limits.memory_mb * f64::from(1 << 20)) as usize;
        let kv_address = settings.external.state.clone();
        let state = ControllerState::new(settings.facts.state.write_rps, clock::now());
        Arc::new(Self {
            teams: settings.teams(),
            identity: Member { name: settings.node_name.clone(), zone: settings.zone.clone(), incarnation },
            kv_client: KeyValueClient::new(clients.key_value_store.clone(), kv_address, memory_bytes),
            kv_http: clients.key_value_store,
            cloud: CloudClient::new(clients.peers_and_cloud.clone(), settings.external.cloud.clone()),
            peer_and_cloud_http: clients.peers_and_cloud,
            worker_http: clients.workers,
            public_connections: Arc::new(public_connections(&sockets, memory_bytes)),
            peer_connections: Arc::new(peer_connections(&sockets, memory_bytes)),
            load: LoadCounters::default(),
            state: Mutex::new(state),
            wake_scheduler: Notify::new(),
            peer_status_due: Notify::new(),
            unrecorded_machine: Notify::new(),
            replica_revision: WatchedValue::default(),
            read_barrier: ReadBarrier::default(),
            limit_changes: LimitChangeFlags::default(),
            shutdown: CancellationToken::new(),
            task_tracker: TaskTracker::new(),
            settings,
            operators,
        })
    }

    /// Starts a task that ends when the controller stops.
    pub fn spawn_task<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let shutdown = self.shutdown.clone();
        self.task_tracker.spawn(async move {
            tokio::select! {
                biased;
                () = shutdown.cancelled() => {}
                () = task => {}
            }
        });
    }

    /// Locks the state. The guard must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, ControllerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the copy of the records has reached a revision. Returns `false` if that takes
    /// longer than `limit`.
    pub async fn wait_for_revision(&self, revision: u64, limit: Duration) -> bool {
        timeout(limit, self.replica_revision.wait_for(|r| *r >= revision)).await.is_ok()
    }

    /// Waits until the write rate allows this many changes while leaving `reserve` for others.
    pub async fn wait_for_write(&self, changes: usize, reserve: f64) {
        let wait = self.state().writes.limiter.acquire(changes as f64, reserve, clock::now());
        if !wait.is_zero() {
            sleep(wait).await;
        }
    }

    /// Counts a user's change against the write rate without waiting. If the key-value store
    /// refuses the change, the user is answered at once. The scheduling loop waits until a deficit
    /// of the write rate is made up.
    pub fn count_user_write(&self) {
        self.load.count_changes(Purpose::Users, 1);
        self.state().writes.limiter.acquire(1.0, 0.0, clock::now());
    }

    /// The pause between two watch requests. Each of the two kinds of watch requests may use a
    /// third of the key-value store's request rate; the rest is for transactions.
    pub fn watch_interval(&self) -> Duration {
        let controllers = self.settings.peers.len() + 1;
        let interval_s = controllers as f64 * REQUEST_RATE_SHARES / self.state_limits().rps;
        wire::seconds(interval_s.clamp(MIN_WATCH_INTERVAL_S, MAX_WATCH_INTERVAL_S))
    }

    /// Recomputes this controller's share of the write rate, if that is due.
    pub fn update_write_share(&self, state: &mut ControllerState, now: Instant) {
        let limits = self.state_limits();
        state.update_write_share(&self.identity, limits.write_rps, limits.chunked, now);
    }

    /// Whether heartbeats may be answered now, which renews leases.
    pub fn may_renew_leases(&self, state: &ControllerState, now: Instant) -> bool {
        let peers = self.settings.peers.iter().map(|peer| peer.node_name.as_str());
        state.may_renew_leases(&self.identity, peers, self.settings.renewal_bound(), now)
    }

    /// A team by its name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }

    /// How long a machine may be silent before it counts as lost and is released.
    pub fn silence_limit(&self) -> Duration {
        let interval_s = self.settings.facts.workers.report_s;
        let default = wire::seconds((LOST_AFTER_INTERVALS * interval_s).max(MIN_LOST_AFTER_S));
        self.operators.silence_timeout.unwrap_or(default)
    }

    /// How often workers send heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        wire::seconds(self.settings.facts.workers.report_s)
    }

    /// Most assignments that one job's record holds.
    pub fn max_assignments_per_record(&self) -> usize {
        self.state_limits().max_assignments_per_record()
    }

    /// How far beyond an array's first unfinished task its other tasks may start.
    pub fn task_window(&self) -> u32 {
        self.state_limits().task_window()
    }

    /// The limits for reconciling workers. `fresh_at`: when the copy of the records was last known
    /// to be complete.
    pub fn worker_limits(&self, fresh_at: Option<Instant>) -> WorkerLimits {
        let workers = &self.settings.facts.workers;
        WorkerLimits {
            gang_peer: wire::seconds(workers.gang_peer_s),
            lease: wire::seconds(workers.lease_s * CLOCK_DRIFT + TIMER_SLACK_S),
            fresh_at,
            max_launch_replica_age: MEMBER_TTL,
        }
    }

    /// The limits of the key-value store to plan with.
    pub fn state_limits(&self) -> StateLimits {
        limits::effective_limits(&self.settings.facts.state, self.limit_changes.get())
    }

    /// Most bytes of a job's description. It stays the same after the limits of the key-value store
    /// have become smaller.
    pub fn max_description_bytes(&self) -> usize {
        limits::max_description_bytes(&self.settings.facts.state)
    }
}

#[cfg(test)]
#[path = "../tests/unit/controller.rs"]
mod tests;
