//! What the tasks of one controller share: its settings, clients, state and signals.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use cloud::CloudClient;
use net::{Client, Connections};
use sched::records::Member;
use sched::replica::Team;
use store::KeyValueClient;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::clock;
pub use crate::clock::wall_ms;
use crate::limits::{self, LimitChangeFlags, StateLimits};
use crate::load::{LoadCounters, Purpose};
use crate::operators::OperatorSettings;
use crate::public_connections::public_connections;
use crate::read_barrier::ReadBarrier;
use crate::settings::Settings;
use crate::state::ControllerState;
pub use crate::timeouts::MEMBER_TTL;
use crate::worker::WorkerLimits;

/// Least and longest pause between two requests for changes, in seconds.
const MIN_WATCH_INTERVAL_S: f64 = 0.02;
const MAX_WATCH_INTERVAL_S: f64 = 0.5;
/// Into how many parts the requests that the key-value store takes are divided: one for each
/// of the two kinds of requests for changes, one for transactions.
const REQUEST_PARTS: f64 = 3.0;
/// After how many heartbeat intervals without a heartbeat a machine counts as lost, and the
/// least time, in seconds.
const LOST_AFTER_INTERVALS: f64 = 4.0;
const MIN_LOST_AFTER_S: f64 = 8.0;
/// The clocks of both sides drift apart by 0.05% each way at most.
const CLOCK_DRIFT: f64 = 1.002;
/// How late timers fire at most, in seconds.
const TIMER_SLACK_S: f64 = 1.0;

/// The HTTP clients of a controller, with sockets of their own: whatever hangs, the others have
/// their turns.
pub struct HttpClients {
    /// To the key-value store.
    pub key_value_store: Client,
    /// To the peers and the cloud.
    pub peers_and_cloud: Client,
    /// To workers: however many they are, the others are always reached.
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
    /// This process among the members.
    pub identity: Member,
    /// The key-value store that holds the records.
    pub kv_client: KeyValueClient,
    /// The cloud that machines are rented from.
    pub cloud: CloudClient,
    /// The HTTP client of `kv_client`.
    pub kv_http: Client,
    /// To the peers, and the HTTP client of `cloud`.
    pub peer_and_cloud_http: Client,
    /// To workers.
    pub worker_http: Client,
    /// Connections of users and workers.
    pub public_connections: Arc<Connections>,
    /// Connections of peers.
    pub peer_connections: Arc<Connections>,
    /// Counts what this controller does.
    pub load: LoadCounters,
    state: Mutex<ControllerState>,
    /// Something changed that the scheduling loop should look at.
    pub wake_scheduler: Notify,
    /// This controller's status is worth sending to its peers now.
    pub peer_status_due: Notify,
    /// A machine without a record has sent a heartbeat.
    pub unrecorded_machine: Notify,
    /// The revision that the copy of the records has reached.
    pub replica_revision: watch::Sender<u64>,
    /// Linearizable reads.
    pub read_barrier: ReadBarrier,
    /// What is known of a change of the key-value store's limits.
    pub limit_changes: LimitChangeFlags,
    /// Cancelled when the process stops.
    pub shutdown: CancellationToken,
    /// The tasks that the process waits for when it stops.
    pub task_tracker: TaskTracker,
}

impl Controller {
    /// A controller with clients as the settings size them. `incarnation` names this process
    /// among all that the controller ever has.
    pub fn new(settings: Settings, operators: OperatorSettings, incarnation: u64) -> Arc<Self> {
        let sockets = settings.sockets();
        let clients = HttpClients {
            key_value_store: Client::new(sockets.state),
            peers_and_cloud: Client::new(sockets.cloud_and_peers),
            workers: Client::new(sockets.to_workers),
        };
        Self::with_clients(settings, operators, incarnation, clients)
    }

    /// A controller with these clients.
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
            public_connections: Arc::new(public_connections(&sockets)),
            peer_connections: Arc::new(Connections::new(sockets.peers, &[], |_| 0)),
            load: LoadCounters::default(),
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

    /// Starts a task that ends when the controller stops.
    pub fn spawn_task<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let shutdown = self.shutdown.clone();
        self.task_tracker.spawn(async move {
            tokio::select! {
                () = shutdown.cancelled() => {}
                () = task => {}
            }
        });
    }

    /// The state, locked. Never held across an await.
    pub fn state(&self) -> MutexGuard<'_, ControllerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the copy of the records has reached a revision; `false` if it has not in time.
    pub async fn wait_for_revision(&self, revision: u64, limit: Duration) -> bool {
        let mut reached = self.replica_revision.subscribe();
        timeout(limit, reached.wait_for(|r| *r >= revision)).await.is_ok_and(|r| r.is_ok())
    }

    /// Waits until so many changes may be written, leaving `reserve` for others.
    pub async fn wait_for_write(&self, changes: usize, reserve: f64) {
        let wait = self.state().writes.limiter.acquire(changes as f64, reserve, clock::now());
        if !wait.is_zero() {
            sleep(wait).await;
        }
    }

    /// Counts a user's change. It waits for nothing: what the key-value store does not take is
    /// answered at once, and the scheduling loop makes up for the debt.
    pub fn count_user_write(&self) {
        self.load.spend(Purpose::Users, 1);
        self.state().writes.limiter.acquire(1.0, 0.0, clock::now());
    }

    /// The pause between two requests for changes. There are two kinds of them, and a third of
    /// the requests that the key-value store takes is for each; the rest is for transactions.
    pub fn watch_interval(&self) -> Duration {
        let controllers = self.settings.peers.len() + 1;
        let interval_s = controllers as f64 * REQUEST_PARTS / self.state_limits().rps;
        wire::seconds(interval_s.clamp(MIN_WATCH_INTERVAL_S, MAX_WATCH_INTERVAL_S))
    }

    /// Computes this controller's share of the changes anew, if that is due.
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

    /// Silence after which a machine counts as lost and is released.
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

    /// How far beyond the first unfinished task an array's others may start.
    pub fn task_window(&self) -> u32 {
        self.state_limits().task_window()
    }

    /// The limits that workers are reconciled by. `fresh_at`: when the copy of the records was
    /// last known to be complete.
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

    /// Most bytes of a job's description: what the present limits take, also after they have
    /// become smaller.
    pub fn max_description_bytes(&self) -> usize {
        limits::max_description_bytes(&self.settings.facts.state)
    }
}

#[cfg(test)]
#[path = "../tests/unit/controller.rs"]
mod tests;
