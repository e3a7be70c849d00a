//! What one controller knows: the mirror of the records, its workers, what peers say. Plain
//! state and questions about it; the duties change it.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use peer::{MachineStatusRow, PeerStatus};
use sched::placement::Inventory;
use sched::records::{ClusterMap, MachineRecord, Member, Name, TerminationReason};
use sched::replica::{Replica, Resources, SortedLookup};
use store::{RateLimiter, RecordReader};

use crate::drains::state::DrainState;
use crate::placer::Guaranteed;
use crate::read_index::ReadIndexes;
use crate::worker::{Key, Worker};

/// A gap of so long between two beats is a stand-still: more than the processor's
/// share makes timers late, less than workers need to count as silent.
pub const STOOD_STILL: Duration = Duration::from_secs(2);
/// How old a peer's summary may be to say anything about its sender.
const SUMMARY_FRESH: Duration = Duration::from_millis(2500);
/// How long nothing may be heard of a controller before it counts as out of reach.
const PEERS_SILENT: Duration = Duration::from_millis(3500);
/// How long a controller stands aside at least.
const ASIDE_LEAST: Duration = Duration::from_secs(5);
/// How often each machine is looked at whether it may be used. What makes one unusable takes
/// seconds to show.
const USABLE_EVERY: Duration = Duration::from_millis(250);
/// How old a view of the records may be to give machines up by.
const VIEW_FRESH: Duration = Duration::from_secs(4);
/// How long a peer's word of its machines counts for giving them up.
const PEER_WORD_FOR: Duration = Duration::from_secs(4);

pub struct PeerView {
    /// Without its rows, which are with those of all machines.
    pub summary: PeerStatus,
    pub at: Instant,
}

/// The end of an assignment, proven by this controller or another.
pub struct HandedProof {
    pub machine: String,
    pub how: TerminationReason,
    pub epoch: u64,
    /// When it was last told, and when first.
    pub at: Instant,
    pub since: Instant,
}

/// CPUs of the jobs that each part was given lately, by its owner's incarnation: they are not to
/// be seen on the machines yet.
#[derive(Debug, Default)]
pub struct GivenToParts {
    pub since: Option<Instant>,
    pub epoch: u64,
    pub cpus: HashMap<u64, f64>,
}

/// A machine's state as its owner knows it.
#[derive(Debug, Clone, Copy)]
pub struct MachineHealth {
    pub silent: Duration,
    /// Whether it was heard of since its owner has it.
    pub met: bool,
    /// It fails what it is given.
    pub sick: bool,
    /// The cloud takes it away soon.
    pub notice: bool,
}

impl MachineHealth {
    fn of_worker(w: &Worker, now: Instant) -> Self {
        let notice = w.notice_until.is_some();
        Self { silent: w.silent_for(now), met: w.heard.is_some(), sick: w.sick(), notice }
    }

    fn of_row(row: &MachineStatusRow) -> Self {
        let silent = Duration::from_millis(row.silent_ms);
        Self { silent, met: row.heard_from, sick: row.unhealthy, notice: row.spot_notice }
    }
}

/// A machine with an owner.
pub struct MachineView<'a> {
    pub id: &'a Name,
    pub record: &'a MachineRecord,
    pub owner: &'a Member,
    /// What is in use of it; None if nothing is there.
    pub used: Option<Resources>,
    /// None: its owner has said nothing of it.
    pub health: Option<MachineHealth>,
    /// Whether its owner has been heard of just now.
    pub current: bool,
}

pub struct Core {
    pub world: Replica,
    /// Records that lie in parts.
    pub reader: RecordReader,
    /// The records have been read at least once.
    pub ready: bool,
    pub workers: BTreeMap<Name, Worker>,
    pub peers: HashMap<String, PeerView>,
    /// What peers last said of their machines.
    pub rows: BTreeMap<Name, MachineStatusRow>,
    /// When the last request was sent after which the mirror was known fresh.
    pub fresh_at: Option<Instant>,
    /// What peers have confirmed to users, while the state service cannot be asked.
    pub read_indexes: ReadIndexes,
    /// When this process was last seen to run, by a duty that does nothing else.
    pub beat: Instant,
    pub asked: u64,
    pub lease: Option<u64>,
    pub writes: RateLimiter,
    /// How many controllers the budget is shared by, and at which rate, as last reckoned.
    pub(crate) live: (usize, u64),
    pub(crate) shared_at: Option<Instant>,
    /// Reports that came to this controller for other owners' machines.
    pub misdirected: HashMap<String, Instant>,
    /// Room that is being made for a job: the machines, and until when. Without
    /// it, what one job has cleared is taken by the next.
    pub reserved: HashMap<String, (Vec<Name>, Instant)>,
    /// When something to stop was last looked for, by job.
    pub searched: HashMap<String, Instant>,
    /// Ends that other owners have proven, until they are written.
    pub handed: BTreeMap<Key, HandedProof>,
    /// Controllers that could not be reached, until when they are left alone.
    pub shunned: HashMap<String, Instant>,
    /// Machines that reported and have no record yet.
    pub arrivals: HashMap<Name, MachineRecord>,
    pub inventory: Inventory,
    /// When it was last asked of each machine whether it may be used.
    usable_at: Option<Instant>,
    pub guaranteed: Guaranteed,
    pub given: GivenToParts,
    pub drains: DrainState,
    /// Jobs whose records lie in parts, and when they were last written: each time costs
    /// a change for every part.
    pub written_in_chunks: HashMap<String, Instant>,
    /// Jobs whose records the state service refused for another reason than the limits
    /// that are known, until when they are left alone.
    pub refused: HashMap<String, Instant>,
    pub started: Instant,
    /// Since when this controller stands aside, and when it last came back.
    pub aside: Option<Instant>,
    pub returned: Option<Instant>,
    /// Until when rounds hold one job each, to find the one that is refused.
    pub cautious: Option<Instant>,
}

impl Core {
    /// Nothing is known yet. `per_s`: the changes that the state service takes a second.
    pub fn new(per_s: f64, now: Instant) -> Self {
        Self {
            world: Replica::default(),
            reader: RecordReader::default(),
            ready: false,
            workers: BTreeMap::new(),
            peers: HashMap::new(),
            rows: BTreeMap::new(),
            fresh_at: None,
            read_indexes: ReadIndexes::default(),
            beat: now,
            asked: 0,
            lease: None,
            writes: RateLimiter::new(per_s * 0.5, per_s * 0.5, now),
            live: (0, 0),
            shared_at: None,
            misdirected: HashMap::new(),
            reserved: HashMap::new(),
            searched: HashMap::new(),
            handed: BTreeMap::new(),
            shunned: HashMap::new(),
            arrivals: HashMap::new(),
            inventory: Inventory::default(),
            usable_at: None,
            guaranteed: Guaranteed::default(),
            given: GivenToParts::default(),
            drains: DrainState::default(),
            written_in_chunks: HashMap::new(),
            refused: HashMap::new(),
            cautious: None,
            started: now,
            aside: None,
            returned: None,
        }
    }

    pub fn map(&self) -> Option<&ClusterMap> {
        self.world.current_map()
    }

    /// Whether the newest known map names this very process.
    pub fn in_map(&self, me: &Member) -> bool {
        self.ready && self.map().is_some_and(|m| m.contains(&me.name, me.incarnation))
    }

    /// Whether a controller is live that has not said that it has this version.
    pub fn old_is_live(&self) -> bool {
        let live = self.map().into_iter().flat_map(|m| m.live.iter().map(|m| &m.name));
        self.world.members.keys().chain(live).any(|name| !self.world.schema_versions.contains_key(name))
    }

    /// Whether this controller is out of reach of all the others and of most of its
    /// workers, though not of the state service: as it would stay their owner, nobody
    /// could renew their leases (recorded: a third of a site's tasks were lost).
    fn isolated(&self, me: &Member, report: Duration, now: Instant) -> bool {
        let fresh = self.fresh_at.is_some_and(|f| now.saturating_duration_since(f) < PEERS_SILENT);
        let limit = report * 5 / 2 + Duration::from_millis(500);
        let silent = self.workers.values().filter(|w| w.silent_for(now) > limit).count();
        fresh
            && !self.stood_still(now)
            && self.others(me).next().is_some()
            && !self.hears_others(me, now)
            && self.workers.len() >= 3
            && silent * 2 > self.workers.len()
    }

    fn others<'a>(&'a self, me: &'a Member) -> impl Iterator<Item = &'a String> {
        self.world.members.keys().filter(|n| **n != me.name)
    }

    fn hears_others(&self, me: &Member, now: Instant) -> bool {
        let heard = |p: &PeerView| now.saturating_duration_since(p.at) < PEERS_SILENT;
        self.others(me).any(|n| self.peers.get(n).is_some_and(heard))
    }

    /// Whether this controller leaves its machines to the others for now. It comes back
    /// when it hears one of them, or when there is nobody else.
    pub fn stands_aside(&mut self, me: &Member, report: Duration, now: Instant) -> bool {
        let for_long = |t: Instant, least: Duration| now.saturating_duration_since(t) >= least;
        match self.aside {
            Some(since) => {
                let alone = self.others(me).next().is_none();
                if alone || self.hears_others(me, now) && for_long(since, ASIDE_LEAST) {
                    (self.aside, self.returned) = (None, Some(now));
                }
            }
            // Not again and again: each time machines change owners.
            None if for_long(self.started, ASIDE_LEAST * 2)
                && self.returned.is_none_or(|t| for_long(t, ASIDE_LEAST * 4))
                && self.in_map(me)
                && self.isolated(me, report, now) =>
            {
                self.aside = Some(now);
            }
            None => {}
        }
        self.aside.is_some()
    }

    pub fn leads(&self, me: &Member) -> bool {
        self.in_map(me) && self.world.leader.as_ref().is_some_and(|l| l.value == *me)
    }

    /// Whether reports may be answered, which renews leases: only for a bounded time after
    /// the moment up to which this controller surely knows of every cancellation that any
    /// controller has confirmed to a user. That is its last fresh reading, or, while the
    /// state service cannot be asked, the earliest of its peers' last read indexes.
    ///
    /// It used to renew as long as every peer said that it had no state service either. A
    /// peer may have confirmed a cancellation after this controller's last reading and
    /// before the outage: tasks of jobs cancelled then ran on to the outage's end.
    pub fn may_renew<'a>(
        &self,
        me: &Member,
        peers: impl IntoIterator<Item = &'a str>,
        bound: Duration,
        now: Instant,
    ) -> bool {
        let Some(map) = self.map() else { return false };
        if !self.in_map(me) {
            return false;
        }
        let ousted = |p: &PeerView| p.summary.epoch > map.epoch;
        if self.peers.values().any(ousted) {
            return false;
        }
        let within = |t: Instant| now.saturating_duration_since(t) < bound;
        // Also one that is live and missing in the settings could confirm.
        let live = map.live.iter().map(|m| m.name.as_str()).filter(|n| *n != me.name);
        let vouched = |p: &str| self.read_indexes.vouched_at(p).is_some_and(within);
        self.fresh_at.is_some_and(within) || peers.into_iter().all(vouched) && live.into_iter().all(vouched)
    }

    /// The owner of each machine that a peer has spoken of.
    pub fn row_owners(&self) -> HashMap<Name, u64> {
        let owner = |id: &Name| self.world.owner_of(id).map(|o| (id.clone(), o.incarnation));
        self.rows.keys().filter_map(owner).collect()
    }

    /// Forgets what was said of machines that have another owner now: the word of
    /// one that was cut off must not pass for that of the next.
    pub fn forget_rows(&mut self, before: &HashMap<Name, u64>) {
        let Self { rows, world, .. } = self;
        rows.retain(|id, _| world.owner_of(id).map(|o| o.incarnation).as_ref() == before.get(id));
    }

    /// Whether this process stood still until just now: what it knows of others'
    /// silence is then its own.
    pub fn stood_still(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.beat) > STOOD_STILL
    }

    /// Whether the view of the records is one to give machines up by, or to stop work: not one
    /// from before this process stood still, nor from before the state service refused it.
    pub fn is_view_fresh(&self, now: Instant) -> bool {
        let fresh = |t: Instant| now.saturating_duration_since(t) < VIEW_FRESH;
        !self.stood_still(now) && self.fresh_at.is_some_and(fresh)
    }

    /// The process runs. If it stood still before, nobody is blamed for it.
    pub fn beat(&mut self, now: Instant) {
        if self.stood_still(now) {
            self.workers.values_mut().for_each(|w| w.excuse(now));
        }
        self.beat = now;
    }

    /// Whether some peer has the state service while this controller has not.
    pub fn alone_without_state(&self, now: Instant) -> bool {
        let silent =
            self.fresh_at.is_none_or(|f| now.saturating_duration_since(f) > Duration::from_millis(2500));
        silent
            && self.peers.values().any(|p| {
                now.saturating_duration_since(p.at) < SUMMARY_FRESH && p.summary.state_silent_ms < 2500
            })
    }

    /// Brings the inventory up to date: what is in use, and, a few times a second, which
    /// machines placement may use by their owners' word.
    pub fn refresh_inventory(&mut self, me: &Member, report: Duration, now: Instant) {
        let Self { workers, rows, world, inventory, usable_at, .. } = self;
        let recent = usable_at.is_some_and(|t| now.saturating_duration_since(t) < USABLE_EVERY);
        if recent && inventory.refresh_usage(world) {
            return;
        }
        *usable_at = Some(now);
        let (mut workers, mut rows) = (SortedLookup::new(workers), SortedLookup::new(rows));
        inventory.refresh(world, |machine, owner| match owner == me.incarnation {
            true => workers.get(machine).is_some_and(|w| takes_work(w, report, now)),
            false => rows.get(machine).is_none_or(|r| r.usable),
        });
    }

    /// All machines with an owner, in the order of their names, and what their owners know of
    /// them.
    pub fn machine_views(&self, me: &Member, now: Instant) -> impl Iterator<Item = MachineView<'_>> {
        let (mut workers, mut rows) = (SortedLookup::new(&self.workers), SortedLookup::new(&self.rows));
        let mut used = SortedLookup::new(&self.world.machine_usage);
        let (me, heard) = (me.incarnation, self.peers_heard_since(now, PEER_WORD_FOR));
        self.world.owned_machines().map(move |(id, record, owner)| {
            let (health, current) = match owner.incarnation == me {
                true => (workers.get(id).map(|w| MachineHealth::of_worker(w, now)), true),
                false => {
                    let current = heard.iter().any(|name| **name == *owner.name);
                    (rows.get(id).map(MachineHealth::of_row), current)
                }
            };
            MachineView { id, record: &record.value, owner, used: used.get(id).copied(), health, current }
        })
    }

    /// The peers that were heard of within this time.
    fn peers_heard_since(&self, now: Instant, within: Duration) -> Vec<&str> {
        let heard = |p: &PeerView| now.saturating_duration_since(p.at) < within;
        self.peers.iter().filter(|(_, p)| heard(p)).map(|(name, _)| name.as_str()).collect()
    }
}

/// Whether an owner's worker may be given something.
pub(crate) fn takes_work(w: &Worker, report: Duration, now: Instant) -> bool {
    w.heard.is_some()
        && w.hears()
        && w.silent_for(now) < report * 5 / 2
        && !w.is_mute(report * 5 / 2, now)
        && w.notice_until.is_none()
        && !w.sick()
}
