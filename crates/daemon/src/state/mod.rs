//! The state of one controller: one type for each concern, composed in [`ControllerState`] behind
//! one lock.
//!
//! The types hold plain state and queries on it, without I/O; the controller's tasks change them.
//! What involves several of them is a method of [`ControllerState`].

mod capacity_shortfalls;
mod drains;
mod guaranteed_jobs;
mod machine_view;
mod membership;
mod owned_machines;
mod peers;
mod process_pauses;
mod read_indexes;
mod record_cache;
mod scheduling;
mod shown_epoch;
mod termination_proofs;
mod write_share;

use std::time::{Duration, Instant};

use sched::records::{ClusterMap, Member};
use sched::replica::SortedLookup;
use tracing::warn;

use crate::worker::{FencingToken, Worker};
pub use capacity_shortfalls::CapacityShortfalls;
pub use drains::{CapacityHold, DrainState, PeerObservation};
pub use machine_view::{MachineHealth, MachineView};
pub use membership::Membership;
pub use owned_machines::OwnedMachines;
pub use peers::{PeerTable, ReceivedStatus};
pub use process_pauses::PauseDetector;
pub use read_indexes::PeerReadIndex;
pub use record_cache::RecordCache;
pub use scheduling::{RecentAssignments, Reservation, SchedulingState};
use shown_epoch::ShownEpoch;
pub use termination_proofs::{FORWARDED_PROOF_TIMEOUT, PendingProof, PendingProofs};
pub use write_share::WriteShare;

/// How long this controller may be without contact to the key-value store before its health check
/// fails if a peer has contact, so that users are sent to that peer.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(2500);
/// Greatest age of the copy of the records by which a controller judges itself isolated.
const MAX_RECORDS_AGE_TO_ISOLATE: Duration = Duration::from_millis(3500);
/// Least number of owned machines with which a controller judges itself isolated.
const MIN_MACHINES_TO_ISOLATE: usize = 3;
/// How often each machine is checked for whether it may be used. The conditions that make a machine
/// unusable take seconds to show.
const USABILITY_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long a worker may be silent and still get work, in halves of the heartbeat interval.
const MAX_SILENT_HALF_INTERVALS: u32 = 5;

/// The state of one controller.
pub struct ControllerState {
    /// The copy of the records.
    pub records: RecordCache,
    /// This controller's membership of the cluster.
    pub membership: Membership,
    /// The machines that this controller owns, and their workers.
    pub machines: OwnedMachines,
    /// What peers have reported.
    pub peers: PeerTable,
    /// The latest epoch that workers and peers have shown.
    shown_epoch: ShownEpoch,
    /// Termination proofs that have not been written to the records yet.
    pub proofs: PendingProofs,
    /// What the scheduling loop keeps between cycles.
    pub scheduling: SchedulingState,
    /// This controller's share of the key-value store's write rate.
    pub writes: WriteShare,
    /// What is known about drains besides their records.
    pub drains: DrainState,
    /// Detects pauses of this process.
    pub pauses: PauseDetector,
}

impl ControllerState {
    /// The state at the start, when nothing is known. `write_rate`: changes a second that the
    /// key-value store accepts.
    pub fn new(write_rate: f64, now: Instant) -> Self {
        Self {
            records: RecordCache::default(),
            membership: Membership::new(now),
            machines: OwnedMachines::default(),
            peers: PeerTable::default(),
            shown_epoch: ShownEpoch::default(),
            proofs: PendingProofs::default(),
            scheduling: SchedulingState::default(),
            writes: WriteShare::new(write_rate, now),
            drains: DrainState::default(),
            pauses: PauseDetector::new(now),
        }
    }

    /// The newest cluster map that is known.
    pub fn cluster_map(&self) -> Option<&ClusterMap> {
        self.records.replica.current_map()
    }

    /// The epoch of the newest cluster map that is known; 0 without one.
    pub fn epoch(&self) -> u64 {
        self.cluster_map().map_or(0, |map| map.epoch)
    }

    /// Whether the newest known cluster map contains this incarnation of this controller.
    pub fn is_live(&self, me: &Member) -> bool {
        self.records.is_loaded && self.cluster_map().is_some_and(|map| map.contains(&me.name, me.incarnation))
    }

    /// Whether this process is the leader, by the newest known records.
    pub fn is_leader(&self, me: &Member) -> bool {
        self.is_live(me) && self.records.replica.leader.as_ref().is_some_and(|leader| leader.value == *me)
    }

    /// Whether this process is the leader by the newest known records, and nothing shows that they
    /// are outdated.
    pub fn may_act_as_leader(&self, me: &Member) -> bool {
        self.is_leader(me) && !self.is_superseded()
    }

    /// Notes the fencing token that a worker has shown.
    pub fn note_worker_token(&mut self, machine: &str, token: u64, now: Instant) {
        self.note_shown_epoch(machine, FencingToken::from(token).epoch(), now);
    }

    /// Notes the epoch that a worker or a peer has shown. Messages may be delayed, but an epoch that
    /// was shown once has begun.
    pub fn note_shown_epoch(&mut self, shown_by: &str, epoch: u64, now: Instant) {
        let known = self.epoch();
        if self.shown_epoch.note(epoch, known, self.records.fresh_at, now) {
            warn!(shown_by, epoch, known, "a later epoch was shown; this controller is superseded");
        }
    }

    /// Whether a worker or a peer has shown a later epoch than that of the newest known cluster map.
    /// This controller is then not entitled to act until it has read the cluster map of that epoch.
    pub fn is_superseded(&self) -> bool {
        let epoch = self.epoch();
        self.peers.any_knows_later_epoch(epoch) || self.shown_epoch.supersedes(epoch, self.records.fresh_at)
    }

    /// Whether some live controller has not recorded a schema version and so has the old version.
    pub fn old_version_is_live(&self) -> bool {
        let replica = &self.records.replica;
        let live = self.cluster_map().into_iter().flat_map(|map| map.live.iter().map(|m| &m.name));
        replica.members.keys().chain(live).any(|name| !replica.schema_versions.contains_key(name))
    }

    /// The names of the other members.
    fn other_members<'a>(&'a self, me: &'a Member) -> impl Iterator<Item = &'a String> {
        self.records.replica.members.keys().filter(|name| **name != me.name)
    }

    fn hears_from_other_members(&self, me: &Member, now: Instant) -> bool {
        self.other_members(me).any(|name| self.peers.is_reachable(name, now))
    }

    /// Whether this controller reaches none of the others and not most of its workers, but still
    /// reaches the key-value store. It would stay the owner of its machines, and nobody could renew
    /// their workers' leases; in a recorded failure, a third of a site's tasks were lost that way.
    fn is_partitioned(&self, me: &Member, heartbeat_interval: Duration, now: Instant) -> bool {
        let workers = &self.machines.workers;
        let silence_limit = max_silence(heartbeat_interval) + Duration::from_millis(500);
        let silent = workers.values().filter(|w| w.silent_for(now) > silence_limit).count();
        self.records.is_fresher_than(MAX_RECORDS_AGE_TO_ISOLATE, now)
            && !self.pauses.was_paused(now)
            && self.other_members(me).next().is_some()
            && !self.hears_from_other_members(me, now)
            && workers.len() >= MIN_MACHINES_TO_ISOLATE
            && silent * 2 > workers.len()
    }

    /// Decides whether this controller is isolated and leaves its machines to the others for now,
    /// and returns the decision. It rejoins when it hears from another member, or when there is none.
    pub fn update_isolation(&mut self, me: &Member, heartbeat_interval: Duration, now: Instant) -> bool {
        if self.membership.is_isolated() {
            let is_only_member = self.other_members(me).next().is_none();
            if is_only_member || self.hears_from_other_members(me, now) && self.membership.may_rejoin(now) {
                self.membership.rejoin(now);
            }
        } else if self.membership.may_leave(now)
            && self.is_live(me)
            && self.is_partitioned(me, heartbeat_interval, now)
        {
            self.membership.isolate(now);
        }
        self.membership.is_isolated()
    }

    /// Whether heartbeats may be answered, which renews leases. They may only for a bounded time
    /// after the moment up to which this controller is certain to know every cancellation that any
    /// controller has confirmed to a user. That moment is its last linearizable read or, while the
    /// key-value store cannot be reached, the earliest of its peers' last read indexes.
    ///
    /// It is not enough that every peer has lost contact with the key-value store, too: a peer may
    /// have confirmed a cancellation after this controller's last read and before the outage, and
    /// the tasks of that job would run on until the end of the outage.
    pub fn may_renew_leases<'a>(
        &self,
        me: &Member,
        peers: impl IntoIterator<Item = &'a str>,
        bound: Duration,
        now: Instant,
    ) -> bool {
        let Some(map) = self.cluster_map() else { return false };
        if !self.is_live(me) || self.is_superseded() {
            return false;
        }
        if self.records.is_fresher_than(bound, now) {
            return true;
        }
        let has_recent_read_index = |peer: &str| {
            let complete_as_of = self.peers.read_indexes.complete_as_of(peer);
            complete_as_of.is_some_and(|at| now.saturating_duration_since(at) < bound)
        };
        // A live controller that is missing from the settings can confirm cancellations, too.
        let mut live = map.live.iter().map(|m| m.name.as_str()).filter(|name| *name != me.name);
        peers.into_iter().all(has_recent_read_index) && live.all(has_recent_read_index)
    }

    /// Whether the copy of the records is fresh enough to release machines or stop work by it. It is
    /// not if it dates from before a pause of this process, or if the key-value store has not
    /// confirmed it recently.
    pub fn may_stop_work(&self, now: Instant) -> bool {
        !self.pauses.was_paused(now) && self.records.is_fresh_enough_to_stop_work(now)
    }

    /// Records that the process is running. Silence of workers during a pause of the process does
    /// not count against them.
    pub fn tick(&mut self, now: Instant) {
        if self.pauses.tick(now) {
            self.machines.workers.values_mut().for_each(|worker| worker.note_process_pause(now));
        }
    }

    /// Whether this controller has no contact to the key-value store while some peer has.
    pub fn only_peers_reach_store(&self, now: Instant) -> bool {
        let is_silent = self.records.age(now).is_none_or(|age| age > MAX_STORE_SILENCE);
        is_silent && self.peers.any_reaches_store(now)
    }

    /// Updates the inventory: the usage and, a few times a second, which machines placement may use
    /// according to their owners.
    pub fn refresh_inventory(&mut self, me: &Member, heartbeat_interval: Duration, now: Instant) {
        let Self { records, machines, peers, scheduling, .. } = self;
        let SchedulingState { inventory, usability_checked_at, .. } = scheduling;
        let replica = &mut records.replica;
        let is_recent = usability_checked_at
            .is_some_and(|at| now.saturating_duration_since(at) < USABILITY_CHECK_INTERVAL);
        if is_recent && inventory.refresh_usage(replica) {
            return;
        }
        *usability_checked_at = Some(now);
        let mut workers = SortedLookup::new(&machines.workers);
        let mut rows = SortedLookup::new(&peers.machines);
        inventory.refresh(replica, |machine, owner| {
            if owner == me.incarnation {
                workers.get(machine).is_some_and(|worker| accepts_work(worker, heartbeat_interval, now))
            } else {
                rows.get(machine).is_none_or(|row| row.usable)
            }
        });
    }
}

/// How long a worker may be silent and still get work.
fn max_silence(heartbeat_interval: Duration) -> Duration {
    heartbeat_interval * MAX_SILENT_HALF_INTERVALS / 2
}

/// Whether the owner of a machine may assign tasks to its worker.
pub(crate) fn accepts_work(worker: &Worker, heartbeat_interval: Duration, now: Instant) -> bool {
    let limit = max_silence(heartbeat_interval);
    worker.was_heard_from()
        && worker.receives_commands()
        && worker.silent_for(now) < limit
        && !worker.sends_no_heartbeats(limit, now)
        && worker.spot_notice_until().is_none()
        && !worker.is_unhealthy()
}
