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

use crate::api;
use crate::clock;
pub use crate::clock::wall_ms;
use crate::limits::{self, Plan, Seen};
use crate::load::{Counts, Purpose};
use crate::operators::Operators;
use crate::settings::Settings;
use crate::state::Core;
use crate::worker::Limits;

/// How long a controller may be out of touch before it is no longer live.
pub const MEMBER_TTL: Duration = Duration::from_secs(4);
#[derive(Clone)]
pub struct Controller(Arc<Inner>);

pub struct Inner {
    pub settings: Settings,
    pub operators: Operators,
    pub teams: Vec<Team>,
    pub me: Member,
    pub state: KeyValueClient,
    pub cloud: CloudClient,
    /// To the state service: whatever else hangs, it has its turns.
    pub state_http: Client,
    /// To the cloud and the peers.
    pub http: Client,
    /// To workers: however many they are, the others are always reached.
    pub workers_http: Client,
    pub public_connections: Arc<Connections>,
    pub internal: Arc<Connections>,
    pub counts: Counts,
    core: Mutex<Core>,
    /// Something changed that a round of decisions should look at.
    pub kick: Notify,
    /// A free-room summary is worth sending now.
    pub summary_due: Notify,
    /// A machine without a record has reported.
    pub arrival: Notify,
    /// The mirror's revision.
    pub revision: watch::Sender<u64>,
    pub verify: Notify,
    /// The newest freshness requests that were granted and that were refused.
    pub verified: watch::Sender<Verdict>,
    pub seen: SeenFlags,
    pub stop: CancellationToken,
    pub tasks: TaskTracker,
}

impl std::ops::Deref for Controller {
    type Target = Inner;
    fn deref(&self) -> &Inner {
        &self.0
    }
}

/// What is known of the change of limits, for whoever plans with it.
#[derive(Debug, Default)]
pub struct SeenFlags {
    pub all_new: AtomicBool,
    pub fallen: AtomicBool,
    pub slow: AtomicBool,
    /// How many controllers chunked records wait for, as last told.
    missing: AtomicUsize,
}

impl SeenFlags {
    /// Whether there is something new to tell of whom chunked records wait for.
    pub fn waits_for(&self, missing: &[&String]) -> bool {
        self.missing.swap(missing.len(), Ordering::Relaxed) != missing.len()
    }

    pub fn get(&self) -> Seen {
        let of = |flag: &AtomicBool| flag.load(Ordering::Relaxed);
        Seen { all_new: of(&self.all_new), fallen: of(&self.fallen), slow: of(&self.slow) }
    }
}

#[derive(Debug, Clone, Copy, Default)]
pub struct Verdict {
    pub granted: u64,
    pub refused: u64,
}

impl Controller {
    pub fn new(settings: Settings, operators: Operators, incarnation: u64) -> Self {
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
    ) -> Self {
        let sockets = settings.sockets();
        let now = clock::now();
        let core = Core::new(settings.facts.state.write_rps, now);
        Self(Arc::new(Inner {
            teams: settings.teams(),
            me: Member { name: settings.node_name.clone(), zone: settings.zone.clone(), incarnation },
            state: KeyValueClient::new(
                state_http.clone(),
                settings.external.state.clone(),
                (settings.facts.limits.memory_mb * f64::from(1 << 20)) as usize,
            ),
            state_http,
            cloud: CloudClient::new(http.clone(), settings.external.cloud.clone()),
            http,
            workers_http,
            public_connections: Arc::new(Connections::new(
                sockets.front,
                &[(api::SHARES[0], sockets.workers_kept), (api::SHARES[1], sockets.users_kept)],
                api::share_of,
            )),
            counts: Counts::default(),
            internal: Arc::new(Connections::new(sockets.peers, &[], |_| 0)),
            core: Mutex::new(core),
            kick: Notify::new(),
            summary_due: Notify::new(),
            arrival: Notify::new(),
            revision: watch::Sender::new(0),
            verify: Notify::new(),
            verified: watch::Sender::new(Verdict::default()),
            seen: SeenFlags::default(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
            settings,
            operators,
        }))
    }

    /// Starts a duty that ends when the controller stops.
    pub fn spawn_duty<F>(&self, duty: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                _ = stop.cancelled() => {}
                _ = duty => {}
            }
        });
    }
}

impl Inner {
    pub fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the mirror has reached a revision.
    pub async fn reach(&self, revision: u64, patience: Duration) -> bool {
        let mut seen = self.revision.subscribe();
        timeout(patience, seen.wait_for(|r| *r >= revision)).await.is_ok_and(|r| r.is_ok())
    }

    /// Waits for a check, begun after this call, that the mirror is fresh.
    pub async fn fresh(&self) -> bool {
        let mine = {
            let mut core = self.core();
            core.asked += 1;
            core.asked
        };
        self.verify.notify_one();
        let mut verified = self.verified.subscribe();
        // Refused at once when the state service is: whoever asks is better off
        // told than kept waiting.
        let verdict = verified.wait_for(|v| v.granted >= mine || v.refused >= mine);
        match timeout(Duration::from_millis(1600), verdict).await {
            Ok(Ok(v)) => v.granted >= mine,
            _ => false,
        }
    }

    /// Waits until `n` changes may be written, leaving `reserve` for others.
    pub async fn may_write(&self, n: usize, reserve: f64) {
        let wait = self.core().writes.acquire(n as f64, reserve, clock::now());
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
    }

    /// Counts a user's change. It waits for nothing: what the state service does
    /// not take is answered at once, and the rounds make up for the debt.
    pub fn write_for_user(&self) {
        self.counts.spend(Purpose::Users, 1);
        self.core().writes.acquire(1.0, 0.0, clock::now());
    }

    /// The pause between two requests for changes. There are two kinds of them,
    /// and a third of the requests that the state service takes is for each; the
    /// rest is for transactions.
    pub fn watch_pause(&self) -> Duration {
        let size = self.settings.peers.len() + 1;
        wire::seconds((size as f64 * 3.0 / self.plan().rps).clamp(0.02, 0.5))
    }

    /// Shares the changes that the state service takes among the controllers
    /// that are live. The leader, who rents machines and places what is large,
    /// has most; all may go somewhat beyond theirs, as not all need them.
    /// With fixed shares, one whose part held most of the waiting jobs had a ninth of
    /// the changes, while others had nothing to write: once all are new, the shares
    /// follow the jobs that each places, by the records, without a word to each other.
    pub fn share_writes(&self, core: &mut Core, now: Instant) {
        let live = core.map().map_or(1, |m| m.live.len()).max(1);
        let leads = core.leads(&self.me);
        let per_s = self.plan().write_rps;
        let state = (live * 2 + usize::from(leads), per_s.to_bits());
        let by_jobs = self.plan().chunked && !core.old_is_live();
        let due = by_jobs && core.shared_at.is_none_or(|t| now.saturating_duration_since(t) >= SHARE_EVERY);
        if core.live != state || due {
            core.live = state;
            core.shared_at = Some(now);
            let others = live as f64 - 1.0;
            let fixed = if leads { 0.65 } else { 0.45 / others.max(1.0) };
            let mine = if by_jobs { share_by_jobs(core, &self.me.name).unwrap_or(fixed) } else { fixed };
            core.writes.set_rate(per_s * mine, now);
        }
    }

    /// Whether reports may be answered now.
    pub fn may_renew(&self, core: &Core, now: Instant) -> bool {
        let peers = self.settings.peers.iter().map(|p| p.node_name.as_str());
        core.may_renew(&self.me, peers, self.settings.renewal_bound(), now)
    }

    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|t| t.name == name)
    }

    /// Silence after which a machine counts as lost and is given back.
    pub fn silent_limit(&self) -> Duration {
        let w = &self.settings.facts.workers;
        self.operators.silent.unwrap_or(wire::seconds((4.0 * w.report_s).max(8.0)))
    }

    pub fn report_every(&self) -> Duration {
        wire::seconds(self.settings.facts.workers.report_s)
    }

    /// What a job's record has for its assignments and for what is done.
    fn list_bytes(&self) -> f64 {
        (self.plan().place_bytes - RECORD_REST).max(512.0)
    }

    /// Most assignments that one job's record holds within a value's size: each
    /// takes at most three characters for its task, and its machine up to six,
    /// which others share.
    pub fn run_max(&self) -> usize {
        (self.list_bytes() * 0.55 / 3.0) as usize
    }

    /// How far beyond the first unfinished task an array's others may start. The
    /// bitmap of what is done takes a sixth of a character each.
    pub fn window(&self) -> u32 {
        (self.list_bytes() * 0.22 * 6.0) as u32
    }

    pub fn worker_limits(&self, fresh_at: Option<Instant>) -> Limits {
        let w = &self.settings.facts.workers;
        Limits {
            gang_peer: wire::seconds(w.gang_peer_s),
            // The clocks of both sides drift apart by 0.05% each way at most;
            // the rest is for timers that fire late.
            lease: wire::seconds(w.lease_s * 1.002 + 1.0),
            fresh_at,
        }
    }

    /// The limits of the state service to plan with.
    pub fn plan(&self) -> Plan {
        limits::plan(&self.settings.facts.state, self.seen.get())
    }

    /// Most bytes of a job's description: what the present limits take, also after they
    /// have become smaller.
    pub fn describe_bytes(&self) -> usize {
        (self.settings.facts.state.value_kb * 1024.0 * 0.3).max(DESCRIBED) as usize
    }
}

/// What a job's record takes beside its lists: the description and its fields.
const RECORD_REST: f64 = 750.0;
/// A description of this length is taken whatever the limits are.
const DESCRIBED: f64 = 2048.0;

/// How often the shares of the changes are reckoned anew.
const SHARE_EVERY: Duration = Duration::from_secs(1);
/// All shares together. With 1.1, as with fixed shares, users met refusals for the rate
/// in 3% of submissions: the shares are used up now.
const SHARES_SUM: f64 = 0.95;
/// The least share of the leader and of each other controller: for machines, rentals
/// and ends of jobs that others place.
const LEADER_LEAST: f64 = 0.3;
const OTHERS_LEAST: f64 = 0.04;

/// A controller's share of the changes, by how much there is to write of the jobs that
/// each of them places.
fn share_by_jobs(core: &Core, me: &str) -> Option<f64> {
    let leader = core.world.leader.as_ref()?.value.name.as_str();
    let live: Vec<&str> = core.map()?.live.iter().map(|m| m.name.as_str()).collect();
    let mut weights: HashMap<&str, f64> = HashMap::new();
    for job in core.world.open_job_ids.iter().filter_map(|id| core.world.jobs.get(id)).map(|j| &j.value) {
        let Some(spec) = job.spec.as_deref() else { continue };
        let waits = placement::pending_task_count(job) > 0;
        // Replicas that run are hardly ever written.
        let weight = if waits || spec.kind == JobKind::Array { 1.0 } else { 0.1 };
        if let Some(placer) = core.world.scheduler_of(job) {
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
