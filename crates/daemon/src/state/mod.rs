//! The state of one controller: one owner for each concern, composed behind one lock.
//!
//! Plain state and questions about it, without input or output; tasks change it. What needs
//! several owners at once is a method of [`ControllerState`].

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
mod termination_proofs;
mod write_share;

use std::time::{Duration, Instant};

use sched::records::{ClusterMap, Member};
use sched::replica::SortedLookup;

use crate::worker::Worker;
pub use drains::{CapacityHold, DrainState, PeerObservation};
pub use machine_view::{MachineHealth, MachineView};
pub use membership::Membership;
pub use owned_machines::OwnedMachines;
pub use peers::{PeerTable, ReceivedStatus};
pub use process_pauses::PauseDetector;
pub use read_indexes::PeerReadIndex;
pub use record_cache::RecordCache;
pub use scheduling::{RecentAssignments, Reservation, SchedulingState};
pub use termination_proofs::{FORWARDED_PROOF_TIMEOUT, PendingProof, PendingProofs};
pub use write_share::WriteShare;

/// How long the key-value store may have been out of contact before users are sent to a peer
/// that has it.
const MAX_STORE_SILENCE: Duration = Duration::from_millis(2500);
/// How fresh the records have to be to judge that all others are unreachable.
const MAX_RECORDS_AGE_TO_ISOLATE: Duration = Duration::from_millis(3500);
/// Least number of machines by whose silence a controller judges itself isolated.
const MIN_MACHINES_TO_ISOLATE: usize = 3;
/// How often each machine is asked whether it may be used. What makes one unusable takes
/// seconds to show.
const USABILITY_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How many heartbeat intervals, in halves, a worker may be silent for and still get work.
const MAX_SILENT_HALF_INTERVALS: u32 = 5;

/// All that one controller knows.
pub struct ControllerState {
    /// The copy of the records.
    pub records: RecordCache,
    /// This controller's membership of the cluster.
    pub membership: Membership,
    /// The machines that this controller owns, and their workers.
    pub machines: OwnedMachines,
    /// What peers have said.
    pub peers: PeerTable,
    /// Ends of assignments that are not written yet.
    pub proofs: PendingProofs,
    /// What the scheduling loop remembers.
    pub scheduling: SchedulingState,
    /// This controller's share of the changes that the key-value store takes.
    pub writes: WriteShare,
    /// What is known of drains beside their records.
    pub drains: DrainState,
    /// Pauses of this process.
    pub pauses: PauseDetector,
}

impl ControllerState {
    /// Nothing is known yet. `write_rate`: the changes that the key-value store takes a second.
    pub fn new(write_rate: f64, now: Instant) -> Self {
        Self {
            records: RecordCache::default(),
            membership: Membership::new(now),
            machines: OwnedMachines::default(),
            peers: PeerTable::default(),
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

    /// Whether the newest known cluster map names this very process.
    pub fn is_live(&self, me: &Member) -> bool {
        self.records.is_loaded && self.cluster_map().is_some_and(|map| map.contains(&me.name, me.incarnation))
    }

    /// Whether this process is the leader, by the newest known records.
    pub fn is_leader(&self, me: &Member) -> bool {
        self.is_live(me) && self.records.replica.leader.as_ref().is_some_and(|leader| leader.value == *me)
    }

    /// Whether a controller is live that has not recorded that it has this version.
    pub fn old_version_is_live(&self) -> bool {
        let replica = &self.records.replica;
        let live = self.cluster_map().into_iter().flat_map(|map| map.live.iter().map(|m| &m.name));
        replica.members.keys().chain(live).any(|name| !replica.schema_versions.contains_key(name))
    }

    /// The names of the other members.
    fn other_members<'a>(&'a self, me: &'a Member) -> impl Iterator<Item = &'a String> {
        self.records.replica.members.keys().filter(|name| **name != me.name)
    }

    fn hears_other_members(&self, me: &Member, now: Instant) -> bool {
        self.other_members(me).any(|name| self.peers.is_reachable(name, now))
    }

    /// Whether this controller is out of reach of all the others and of most of its workers,
    /// though not of the key-value store: as it would stay their owner, nobody could renew their
    /// leases (recorded: a third of a site's tasks were lost).
    fn is_partitioned(&self, me: &Member, heartbeat_interval: Duration, now: Instant) -> bool {
        let workers = &self.machines.workers;
        let silence_limit = max_silence(heartbeat_interval) + Duration::from_millis(500);
        let silent = workers.values().filter(|w| w.silent_for(now) > silence_limit).count();
        self.records.is_fresher_than(MAX_RECORDS_AGE_TO_ISOLATE, now)
            && !self.pauses.was_paused(now)
            && self.other_members(me).next().is_some()
            && !self.hears_other_members(me, now)
            && workers.len() >= MIN_MACHINES_TO_ISOLATE
            && silent * 2 > workers.len()
    }

    /// Decides whether this controller leaves its machines to the others for now, and tells so.
    /// It comes back when it hears one of them, or when there is nobody else.
    pub fn update_isolation(&mut self, me: &Member, heartbeat_interval: Duration, now: Instant) -> bool {
        if self.membership.is_isolated() {
            let is_alone = self.other_members(me).next().is_none();
            if is_alone || self.hears_other_members(me, now) && self.membership.may_rejoin(now) {
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

    /// Whether heartbeats may be answered, which renews leases: only for a bounded time after
    /// the moment up to which this controller surely knows of every cancellation that any
    /// controller has confirmed to a user. That is its last linearizable read, or, while the
    /// key-value store cannot be asked, the earliest of its peers' last read indexes.
    ///
    /// That every peer has lost the key-value store, too, is not enough: a peer may have
    /// confirmed a cancellation after this controller's last read and before the outage, and
    /// tasks of jobs cancelled then would run on until its end.
    pub fn may_renew_leases<'a>(
        &self,
        me: &Member,
        peers: impl IntoIterator<Item = &'a str>,
        bound: Duration,
        now: Instant,
    ) -> bool {
        let Some(map) = self.cluster_map() else { return false };
        if !self.is_live(me) || self.peers.any_knows_later_epoch(map.epoch) {
            return false;
        }
        if self.records.is_fresher_than(bound, now) {
            return true;
        }
        let is_vouched_for = |peer: &str| {
            let vouched_at = self.peers.read_indexes.vouched_at(peer);
            vouched_at.is_some_and(|at| now.saturating_duration_since(at) < bound)
        };
        // Also a controller that is live and missing in the settings could confirm.
        let mut live = map.live.iter().map(|m| m.name.as_str()).filter(|name| *name != me.name);
        peers.into_iter().all(is_vouched_for) && live.all(is_vouched_for)
    }

    /// Whether the copy of the records is one to give machines up by, or to stop work: not one
    /// from before a pause of this process, nor from before the key-value store refused it.
    pub fn may_stop_work(&self, now: Instant) -> bool {
        !self.pauses.was_paused(now) && self.records.is_fresh_enough_to_stop_work(now)
    }

    /// The process runs. After a pause, workers are not blamed for what was not heard meanwhile.
    pub fn tick(&mut self, now: Instant) {
        if self.pauses.tick(now) {
            self.machines.workers.values_mut().for_each(|worker| worker.note_process_pause(now));
        }
    }

    /// Whether some peer has the key-value store while this controller has not.
    pub fn alone_lost_store(&self, now: Instant) -> bool {
        let is_silent = self.records.age(now).is_none_or(|age| age > MAX_STORE_SILENCE);
        is_silent && self.peers.any_reaches_store(now)
    }

    /// Brings the inventory up to date: what is in use, and, a few times a second, which
    /// machines placement may use by their owners' word.
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

/// Whether an owner's worker may be given something.
pub(crate) fn accepts_work(worker: &Worker, heartbeat_interval: Duration, now: Instant) -> bool {
    let limit = max_silence(heartbeat_interval);
    worker.was_heard_from()
        && worker.receives_commands()
        && worker.silent_for(now) < limit
        && !worker.sends_no_heartbeats(limit, now)
        && worker.spot_notice_until().is_none()
        && !worker.is_unhealthy()
}
