//! The leader's dealings with the cloud: renting, giving back, keeping the types.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use cloud::{CloudError, RELEASE_MAX, RENT_MAX};
use sched::fleet::{Coming, Demand, Offer, plan};
use sched::forecast::{self, GpuDemand};
use sched::placement::{self, Board};
use sched::records::*;
use sched::world::Amount;
use store::{Outcome, Put, key};
use tokio::time::sleep;
use tracing::{debug, info, warn};
use wire::{Condition, JobKind, JobSpec, ListedMachine, MachineStatus, MachineType, RentRequest};

use crate::load::Purpose;
use crate::node::{Core, Node, wall_ms};

#[derive(Default)]
struct Fleet {
    /// Offers without capacity, until when, and the pause that follows.
    blocked: HashMap<Offer, (Instant, Duration)>,
    idle_since: HashMap<Name, Instant>,
    listed: HashMap<Name, ListedMachine>,
    listed_at: Option<Instant>,
    types_at: Option<Instant>,
    requests: u64,
    /// Released for good, so that a lagging list does not bring them back.
    released: HashMap<Name, Instant>,
    led_since: Option<Instant>,
    told_at: Option<Instant>,
    gpu_demand: GpuDemand,
    /// One job of each kind that waits for room and has its team's leave.
    waiting: Vec<JobSpec>,
    first_seen: HashMap<Name, Instant>,
    /// Machines that are to be released for their silence.
    silent: HashMap<Name, Silent>,
}

struct Silent {
    /// When whatever is on the machine has surely lost its lease.
    ends: Instant,
}

const TICK: Duration = Duration::from_millis(300);
/// Most kinds of machines asked for between two looks at what is wanted.
const RENT_AT_ONCE: usize = 6;
/// Of one kind, only so many idle machines are kept for as long as their boot
/// would cost.
const IDLE_KEPT: u32 = 2;
/// Most machines that are told gone before their records are deleted.
const GONE_MOST: usize = 400;
/// Silent machines are released with as many replicas at a time as are placed anew
/// in about this time; it has to be longer than a release takes.
const PACE_S: f64 = 1.0;
/// And of those that are left, only this part at a time: where there is no room for
/// them, hardly more than that are down before their leases end.
const PACE_PART: usize = 8;
/// Between its steps the duty leaves this many times the time that one took.
const LEAVE: u32 = 8;
/// Room is kept ready for this long after the latest GPU job.
const SPARE_FOR: Duration = Duration::from_secs(300);
const BLOCK_FIRST: Duration = Duration::from_secs(20);
const BLOCK_MOST: Duration = Duration::from_secs(60);

pub async fn fleet(node: Node) {
    let mut fleet = Fleet::default();
    let mut cost = Duration::ZERO;
    loop {
        sleep(TICK.max(cost * LEAVE)).await;
        cost = Duration::ZERO;
        if !node.core().leads(&node.me) {
            fleet = Fleet { requests: fleet.requests, ..Fleet::default() };
            continue;
        }
        fleet.led_since.get_or_insert_with(Instant::now);
        cost = fleet.step(&node).await;
    }
}

impl Fleet {
    /// One look at everything; tells how long the planning took.
    async fn step(&mut self, node: &Node) -> Duration {
        let every = |at: Option<Instant>, s: u64| at.is_none_or(|t| t.elapsed() >= Duration::from_secs(s));
        let types_known = !node.core().world.types.is_empty();
        if every(self.types_at, if types_known { 60 } else { 1 }) {
            self.refresh_types(node).await;
        }
        if every(self.listed_at, 5) {
            self.refresh_list(node).await;
        }
        if every(self.told_at, 10) {
            self.told_at = Some(Instant::now());
            tell(&node.core());
        }
        self.give_back(node).await;
        self.bury(node).await;
        self.settle_rentals(node).await;
        self.rent(node).await
    }

    async fn refresh_types(&mut self, node: &Node) {
        self.types_at = Some(Instant::now());
        match node.cloud.machine_types().await {
            Ok(types) => {
                let (version, same) = {
                    let core = node.core();
                    let same = core.world.types.len() == types.len()
                        && types.iter().all(|t| core.world.types.get(&t.name) == Some(t));
                    (core.world.types_version, same)
                };
                if same {
                    return;
                }
                let put = Put::new(key::TYPES.into(), &TypesRecord { types });
                write(node, vec![Condition { key: key::TYPES.into(), version }], vec![put]).await;
            }
            Err(e) => warn!(error = %e, "the cloud's machine types could not be had"),
        }
    }

    async fn refresh_list(&mut self, node: &Node) {
        self.listed_at = Some(Instant::now());
        match node.cloud.list().await {
            Ok(list) => {
                let now = Instant::now();
                self.listed = list.into_iter().map(|m| (m.id.as_str().into(), m)).collect();
                for id in self.listed.keys() {
                    self.first_seen.entry(id.clone()).or_insert(now);
                }
                self.first_seen.retain(|id, _| self.listed.contains_key(id));
                self.released.retain(|_, t| now.saturating_duration_since(*t) < Duration::from_secs(300));
            }
            Err(e) => debug!(error = %e, "the cloud's list could not be had"),
        }
    }

    /// Which machines to give back, and why.
    fn surplus(&mut self, node: &Node, core: &Core, now: Instant) -> Vec<(Name, &'static str)> {
        let mut out = Vec::new();
        // Woken with a view from before: nothing is given up by it.
        let fresh = |t: Instant| now.saturating_duration_since(t) < Duration::from_secs(4);
        if core.stood_still(now) || !core.fresh_at.is_some_and(fresh) {
            return out;
        }
        let silent = node.silent_limit();
        let mut silent_by_owner: HashMap<&str, (u32, u32)> = HashMap::new();
        let mut rows = Vec::new();
        let mut idle_of_kind: HashMap<Offer, u32> = HashMap::new();
        for (id, m) in &core.world.machines {
            let Some(owner) = core.world.owner_of(id) else { continue };
            let (quiet, met, sick, notice) = if *owner == node.me {
                match core.workers.get(id) {
                    Some(w) => (w.silent_for(now), w.heard.is_some(), w.sick(), w.notice_until.is_some()),
                    None => continue,
                }
            } else {
                let view = core.peers.get(&owner.name);
                match (core.rows.get(id), view) {
                    (Some(r), Some(v)) if now.saturating_duration_since(v.at) < Duration::from_secs(4) => {
                        (Duration::from_millis(r.silent_ms), r.met, r.sick, r.notice)
                    }
                    _ => continue,
                }
            };
            let count = silent_by_owner.entry(&owner.name).or_default();
            count.0 += 1;
            count.1 += u32::from(quiet >= silent / 2);
            rows.push((id, &m.value, owner.name.as_str(), quiet, met, sick, notice));
        }
        let idle: HashSet<&Name> =
            core.world.machines.keys().filter(|id| !core.world.on_machine.contains_key(*id)).collect();
        self.idle_since.retain(|id, _| idle.contains(id));
        // Room for the services to come is not given back either.
        let report = node.report_every();
        let for_services: HashSet<Name> = match forecast::services(&core.world, wall_ms()) {
            Some((spec, tasks)) => {
                let board = Board::new(&core.world, |m| core.usable(m, &node.me, report, now));
                placement::room_for(&core.world, &board, &spec, tasks, wall_ms()).into_iter().collect()
            }
            None => HashSet::new(),
        };
        // Room for the spare tasks, which giving a machine back must not touch.
        let spare = spare_spec(node, core);
        let spare_room =
            |m: &MachineRecord, used: Amount| match (spare, core.world.types.get(&*m.machine_type)) {
                (Some(spec), Some(t)) if placement::allowed(spec, &m.machine_type, &m.zone, m.spot) => {
                    Amount::of_task(spec).times_in(Amount::of_type(t).plus(used, -1.0))
                }
                _ => 0,
            };
        let mut spare_left: u32 = core
            .world
            .machines
            .iter()
            .filter(|(_, m)| !m.value.release)
            .map(|(id, m)| spare_room(&m.value, core.world.machine_use.get(id).copied().unwrap_or_default()))
            .sum();
        for (id, record, owner, quiet, met, sick, notice) in rows {
            // An owner that hears nothing of nearly all its machines is itself cut
            // off, most likely: its word takes longer to count. Not so one that
            // hears some: of two zones, a dark one makes half of all machines.
            let (all, mute) = silent_by_owner.get(owner).copied().unwrap_or_default();
            let patience = if all >= 3 && mute * 8 > all * 7 { silent * 4 } else { silent };
            // A new owner asks each of its machines at once, and those that it has
            // never met were silent before it came.
            let patience = if met { patience } else { patience * 3 / 4 };
            let patience = if notice { patience / 2 } else { patience };
            if record.release {
                out.push((id.clone(), "marked"));
            } else if quiet >= patience {
                // Until its owner came, a controller that is cut off with the machine
                // may have renewed its lease, for as long as it may at all.
                let renewed = if met { Duration::ZERO } else { node.settings.renewal_bound() };
                let left = (node.worker_limits(None).lease + renewed).saturating_sub(quiet);
                self.silent.entry(id.clone()).or_insert(Silent { ends: now + left });
                out.push((id.clone(), "silent"));
            } else if sick {
                out.push((id.clone(), "sick"));
            } else if idle.contains(id)
                && !for_services.contains(id)
                && !self.waiting.iter().any(|s| fits_machine(s, record, core))
            {
                let since = *self.idle_since.entry(id.clone()).or_insert(now);
                // Renting it again costs its boot time and the wait for it. Spot
                // machines serve work that can wait.
                let boot = core.world.types.get(&*record.machine_type).map_or(0.0, |t| t.boot_s);
                let boot = if record.spot { 0.0 } else { boot };
                // Many that are idle at a time are not all needed soon.
                let kind = Offer {
                    machine_type: record.machine_type.clone(),
                    zone: record.zone.clone(),
                    spot: record.spot,
                };
                let others = idle_of_kind.entry(kind).or_default();
                *others += 1;
                let boot = if *others > IDLE_KEPT { 0.0 } else { boot };
                let keep = node.operators.idle.max(Duration::from_secs_f64(boot.clamp(0.0, 600.0)));
                let room = spare_room(record, Amount::default());
                let spared = room > 0 && spare_left < room + self.spare_tasks(node, now);
                if now.saturating_duration_since(since) >= keep && !spared {
                    spare_left -= room;
                    out.push((id.clone(), "idle"));
                }
            }
        }
        self.silent.retain(|id, _| out.iter().any(|(o, why)| o == id && *why == "silent"));
        // Failed by the list, or never come up.
        let rented: HashSet<&Name> = core
            .world
            .fleet
            .iter()
            .flat_map(|f| f.value.rentals.iter())
            .filter_map(|r| r.machines.as_ref())
            .flatten()
            .collect();
        for (id, m) in &self.listed {
            if self.released.contains_key(id) {
                continue;
            }
            let boot = core.world.types.get(&m.machine_type).map_or(60.0, |t| t.boot_s);
            let known = core.world.machines.contains_key(id);
            let age = m.age_s + self.listed_at.map_or(0.0, |t| t.elapsed().as_secs_f64());
            let seen = self.first_seen.get(id).map_or(0.0, |t| t.elapsed().as_secs_f64());
            if m.status == MachineStatus::Failed {
                out.push((id.clone(), "failed"));
            } else if !known && !rented.contains(id) && age > boot * 4.0 + 30.0 && seen > 30.0 {
                out.push((id.clone(), "never came up"));
            }
        }
        out
    }

    async fn give_back(&mut self, node: &Node) {
        let now = Instant::now();
        // Released already, but the state service did not take it then.
        let known = |id: &&Name| node.core().world.machines.contains_key(*id);
        let left: Vec<Name> = self.released.keys().filter(known).cloned().collect();
        if !left.is_empty() {
            self.forget(node, left).await;
        }
        let list = {
            let core = node.core();
            self.surplus(node, &core, now)
        };
        // While changes are short, machines that cost nothing but money wait.
        let mut list = list;
        if node.core().writes.level(now) < 0.0 {
            list.retain(|(_, why)| *why != "idle");
        }
        if list.is_empty() {
            return;
        }
        // A mark first where placement might choose the machine meanwhile. On one
        // that is silent or fails it places nothing, and when a whole zone falls
        // silent hundreds of marks would take a minute.
        let mut marks = Vec::new();
        let mut ready = Vec::new();
        let mut reasons: HashMap<Name, &str> = HashMap::new();
        {
            let core = node.core();
            for (id, why) in list {
                match core.world.machines.get(&id) {
                    Some(m) if why == "idle" && !m.value.release => marks.push((id, m.clone(), why)),
                    _ if self.released.contains_key(&id) => {}
                    _ => {
                        reasons.insert(id.clone(), why);
                        ready.push(id);
                    }
                }
            }
        }
        self.pace(node, &node.core(), &mut ready, now);
        marks.truncate(node.settings.facts.state.txn_ops);
        if !marks.is_empty() {
            let conditions = marks
                .iter()
                .map(|(id, m, _)| Condition { key: key::machine(id), version: m.version })
                .collect();
            let puts = marks
                .iter()
                .map(|(id, m, _)| {
                    Put::new(key::machine(id), &MachineRecord { release: true, ..m.value.clone() })
                })
                .collect();
            if !write(node, conditions, puts).await {
                return;
            }
            for (id, _, why) in marks {
                debug!(machine = &*id, reason = why, "giving the machine back");
                // A task may have been placed just before the mark.
                if !node.core().world.on_machine.contains_key(&id) {
                    ready.push(id);
                }
            }
        }
        ready.truncate(RELEASE_MAX);
        if ready.is_empty() {
            return;
        }
        match node.cloud.release(names(&ready)).await {
            Ok(()) => {
                let mut by_reason: BTreeMap<&str, Vec<&Name>> = BTreeMap::new();
                for id in &ready {
                    by_reason.entry(reasons.get(id).copied().unwrap_or("idle")).or_default().push(id);
                }
                for (reason, machines) in by_reason {
                    info!(count = machines.len(), machines = few(&machines), reason, "machines given back");
                }
                debug!(machines = ?ready, "released");
                for id in &ready {
                    self.released.insert(id.clone(), now);
                    // There is capacity for one of its kind again.
                    if let Some(m) = node.core().world.machines.get(id).map(|m| m.value.clone()) {
                        let offer = Offer { machine_type: m.machine_type, zone: m.zone, spot: m.spot };
                        self.blocked.remove(&offer);
                    }
                }
                self.forget(node, ready).await;
            }
            Err(e) => {
                warn!(error = %e, "a release was not confirmed");
                sleep(Duration::from_millis(700)).await;
            }
        }
    }

    /// Replicas run on while their machines cannot be reached, until their leases
    /// end. So where many fall silent, they are released only as fast as their
    /// replicas can be placed anew: released all at once, most of them would wait
    /// for their turn of the changes a second, or for room that is nowhere else.
    /// What holds no replicas follows them.
    fn pace(&self, node: &Node, core: &Core, ready: &mut Vec<Name>, now: Instant) {
        let service = |job: &JobRecord| job.spec.as_ref().is_some_and(|s| s.kind == JobKind::Service);
        let replicas =
            |id: &Name| core.world.assignments(id).filter(|(_, job, a)| service(job) && job.wants(a)).count();
        let open = core.world.open.iter().filter_map(|id| core.world.jobs.get(id)).map(|j| j.value.as_ref());
        let waiting = open.filter(|j| service(j)).map(|j| placement::pending_count(j) as usize);
        let down = waiting.sum::<usize>() + core.world.orphaned.iter().map(replicas).sum::<usize>();
        let (held, free): (Vec<Name>, Vec<Name>) = std::mem::take(ready)
            .into_iter()
            .partition(|id| self.silent.get(id).is_some_and(|s| now < s.ends));
        *ready = free;
        let (with, without): (Vec<Name>, Vec<Name>) = held.into_iter().partition(|id| replicas(id) > 0);
        let all = with.len();
        let most = (node.settings.facts.state.write_rps * PACE_S) as usize;
        let at_once = (with.iter().map(replicas).sum::<usize>() / PACE_PART).clamp(1, most.max(1));
        let mut left = at_once.saturating_sub(down);
        let released = with.into_iter().take_while(|id| {
            let n = replicas(id);
            let fits = n <= left || left == at_once;
            left = left.saturating_sub(n);
            fits
        });
        let before = ready.len();
        ready.extend(released);
        if ready.len() - before == all {
            ready.extend(without);
        }
    }

    /// The release is confirmed: whatever was on the machines is gone.
    async fn forget(&mut self, node: &Node, machines: Vec<Name>) {
        let known: Vec<(Name, String)> = {
            let core = node.core();
            let record = |id: &Name| core.world.machines.get(id).map(|m| m.value.addr.clone());
            let room = core.world.fleet.as_ref().map_or(GONE_MOST, |f| names_left(&f.value, node));
            let most = room.min(GONE_MOST);
            machines.iter().filter_map(|id| Some((id.clone(), record(id)?))).take(most).collect()
        };
        if known.is_empty() {
            return;
        }
        let add = |f: &mut FleetRecord| {
            let gone = f.gone.get_or_insert_default();
            gone.extend(known.iter().map(|(id, _)| id.clone()));
            gone.sort_unstable();
            gone.dedup();
        };
        if self.put_fleet(node, add).await {
            for (_, addr) in &known {
                node.workers_http.forget(addr);
            }
        }
    }

    /// Deletes the records of machines that are gone, while nothing else needs
    /// the changes.
    async fn bury(&mut self, node: &Node) {
        let ops = node.settings.facts.state.txn_ops;
        let (dead, mut fleet, version) = {
            let mut core = node.core();
            let (level, rate) = (core.writes.level(Instant::now()), core.writes.per_second());
            let Some(f) = &core.world.fleet else { return };
            let full = f.value.gone.iter().flatten().count() > GONE_MOST / 2;
            if core.world.gone.is_empty() || level < rate * 0.6 && !full {
                return;
            }
            let dead: Vec<(Name, u64)> =
                core.world.gone.iter().take(ops - 1).map(|(id, m)| (id.clone(), m.version)).collect();
            (dead, f.value.clone(), f.version)
        };
        if let Some(gone) = &mut fleet.gone {
            gone.retain(|id| !dead.iter().any(|(d, _)| d == id));
        }
        fleet.gone = fleet.gone.filter(|g| !g.is_empty());
        let mut conditions = vec![Condition { key: key::FLEET.into(), version }];
        conditions.extend(dead.iter().map(|(id, v)| Condition { key: key::machine(id), version: *v }));
        let mut puts = vec![Put::new(key::FLEET.into(), &fleet)];
        puts.extend(dead.iter().map(|(id, _)| Put::delete(key::machine(id))));
        write(node, conditions, puts).await;
    }

    /// Drops rentals whose machines are all up, and gives up on those that are not.
    async fn settle_rentals(&mut self, node: &Node) {
        let now_ms = wall_ms();
        let (fleet, version, late) = {
            let core = node.core();
            let Some(f) = &core.world.fleet else { return };
            let mut late: Vec<Name> = Vec::new();
            let mut rentals = Vec::new();
            for r in &f.value.rentals {
                let boot = core.world.types.get(&*r.machine_type).map_or(60.0, |t| t.boot_s);
                let age = now_ms.saturating_sub(r.asked_ms) as f64 / 1000.0;
                let mut r = r.clone();
                if let Some(machines) = &mut r.machines {
                    machines
                        .retain(|m| !core.world.machines.contains_key(m) && !self.released.contains_key(m));
                    if age > boot * 3.0 + 15.0 {
                        late.append(machines);
                    }
                    if machines.is_empty() {
                        continue;
                    }
                } else if age > 30.0 {
                    // Never answered: whatever comes of it will report by itself.
                    continue;
                }
                rentals.push(r);
            }
            if rentals == f.value.rentals && late.is_empty() {
                return;
            }
            (FleetRecord { rentals, gone: f.value.gone.clone() }, f.version, late)
        };
        if !late.is_empty() {
            if node.cloud.release(names(&late)).await.is_err() {
                return;
            }
            let machines: Vec<&Name> = late.iter().collect();
            info!(count = late.len(), machines = few(&machines), "released: they never came up");
            for id in &late {
                self.released.insert(id.clone(), Instant::now());
            }
        }
        let put = Put::new(key::FLEET.into(), &fleet);
        write(node, vec![Condition { key: key::FLEET.into(), version }], vec![put]).await;
    }

    /// Machines that have not been heard of for longer than placement would wait.
    fn about_to_go(&self, node: &Node, core: &Core, now: Instant) -> HashSet<Name> {
        let limit = node.report_every() * 5 / 2;
        let quiet = |id: &Name| match core.workers.get(id) {
            Some(w) => w.silent_for(now) > limit,
            None => core.rows.get(id).is_some_and(|r| Duration::from_millis(r.silent_ms) > limit),
        };
        core.world
            .on_machine
            .keys()
            .filter(|id| core.world.machines.contains_key(*id) && quiet(id))
            .cloned()
            .collect()
    }

    /// What is wanted beyond the room that is there or coming.
    fn wanted(&mut self, node: &Node, core: &Core, now: Instant) -> Vec<Offer> {
        let settled =
            self.led_since.is_some_and(|t| now.saturating_duration_since(t) > Duration::from_secs(2));
        if !settled || core.world.types.is_empty() || self.listed_at.is_none() {
            return Vec::new();
        }
        let now_ms = wall_ms();
        let mut demands = Vec::new();
        let lost = self.about_to_go(node, core, now);
        let mut left: HashMap<&str, Amount> = HashMap::new();
        for id in &core.world.open {
            let Some(job) = core.world.jobs.get(id).map(|j| j.value.as_ref()) else { continue };
            let Some(spec) = job.spec.as_deref() else { continue };
            // Room for replicas on machines that are lost, most likely, is rented before
            // they are given up. They have their share of the team's limit already.
            let there = |a: &&Assignment| lost.contains(&a.machine) && job.wants(a);
            let replaced = match spec.kind {
                JobKind::Service if !lost.is_empty() => job.run.iter().filter(there).count() as u32,
                _ => 0,
            };
            let waiting = placement::pending_count(job);
            if waiting + replaced == 0 || job.errors >= 3 || now_ms.saturating_sub(job.submitted_ms) < 300 {
                continue;
            }
            let Some(team) = node.team(&spec.team) else { continue };
            let room = left.entry(&spec.team).or_insert_with(|| {
                let used = core.world.team_use.get(&spec.team).copied().unwrap_or_default();
                team.limit().plus(Amount { memory_gb: 0.0, ..used }, -1.0)
            });
            let size = Amount { memory_gb: 0.0, ..Amount::of_task(spec) };
            let admitted = waiting.min(size.times_in(*room));
            let tasks = admitted + replaced;
            if tasks == 0 {
                continue;
            }
            *room = room.plus(size, -f64::from(admitted));
            let mut in_zone: HashMap<Name, u32> = HashMap::new();
            for a in job.run.iter().filter(|a| !lost.contains(&a.machine)) {
                if let Some(m) = core.world.machines.get(&a.machine) {
                    *in_zone.entry(m.value.zone.clone()).or_default() += 1;
                }
            }
            demands.push((job, Demand { spec, tasks, in_zone, unsuited: unsuited(node, core, spec) }));
        }
        // What is to start within a time of its own comes before what is not.
        let in_time = |j: &JobRecord| {
            let starts = j.spec.as_ref().is_some_and(|s| node.settings.starts_in_time(&s.class));
            (!starts, false, 0)
        };
        demands.sort_by(|a, b| placement::queue_order((a.0, in_time(a.0)), (b.0, in_time(b.0))));
        self.waiting.clear();
        for (_, d) in &demands {
            let like = |s: &JobSpec| {
                (s.kind, s.spot, &s.types, &s.zone) == (d.spec.kind, d.spec.spot, &d.spec.types, &d.spec.zone)
                    && Amount::of_task(s) == Amount::of_task(d.spec)
            };
            if !self.waiting.iter().any(like) {
                self.waiting.push(d.spec.clone());
            }
        }
        let mut coming: Vec<Coming> = Vec::new();
        let mut counted: BTreeSet<&Name> = BTreeSet::new();
        let full = |t: &str| core.world.types.get(t).map(Amount::of_type).unwrap_or_default();
        for r in core.world.fleet.iter().flat_map(|f| f.value.rentals.iter()) {
            let n = match &r.machines {
                Some(list) => {
                    counted.extend(list);
                    list.iter().filter(|m| !core.world.machines.contains_key(*m)).count()
                }
                None => r.count as usize,
            };
            for _ in 0..n {
                coming.push(Coming {
                    machine_type: r.machine_type.clone(),
                    zone: r.zone.clone(),
                    spot: r.spot,
                    free: full(&r.machine_type),
                    gpus: full(&r.machine_type).gpus,
                    up: false,
                });
            }
        }
        for (id, m) in &self.listed {
            let known = core.world.machines.contains_key(id)
                || counted.contains(id)
                || self.released.contains_key(id);
            if !known && m.status != MachineStatus::Failed {
                coming.push(Coming {
                    machine_type: m.machine_type.as_str().into(),
                    zone: m.zone.as_str().into(),
                    spot: m.spot,
                    free: full(&m.machine_type),
                    gpus: full(&m.machine_type).gpus,
                    up: false,
                });
            }
        }
        for (id, m) in &core.world.machines {
            let report = node.report_every();
            if m.value.release || !core.usable(id, &node.me, report, now) {
                continue;
            }
            let used = core.world.machine_use.get(id).copied().unwrap_or_default();
            coming.push(Coming {
                machine_type: m.value.machine_type.clone(),
                zone: m.value.zone.clone(),
                spot: m.value.spot,
                free: full(&m.value.machine_type).plus(used, -1.0),
                gpus: full(&m.value.machine_type).gpus,
                up: true,
            });
        }
        let services = demands.partition_point(|(_, d)| d.spec.kind == JobKind::Service);
        let mut demands: Vec<Demand> = demands.into_iter().map(|(_, d)| d).collect();
        let expected = forecast::services(&core.world, now_ms);
        if let Some((spec, tasks)) = &expected {
            demands.insert(
                services,
                Demand { spec, tasks: *tasks, in_zone: HashMap::new(), unsuited: Vec::new() },
            );
        }
        let spare = spare_spec(node, core).map(|s| JobSpec { one_zone: false, ..s.clone() });
        if let Some(spec) = &spare {
            demands.push(Demand {
                spec,
                tasks: self.spare_tasks(node, now),
                in_zone: HashMap::new(),
                unsuited: Vec::new(),
            });
        }
        plan(
            &demands,
            &coming,
            &core.world.types,
            core.world.gpu_spec.as_deref(),
            |o| self.blocked.get(o).is_some_and(|(t, _)| now < *t),
            RENT_MAX as usize,
        )
    }

    /// Room kept ready for so many GPU tasks.
    fn spare_tasks(&self, node: &Node, now: Instant) -> u32 {
        node.operators.spare_gpu_tasks.max(self.gpu_demand.growth(now))
    }

    async fn rent(&mut self, node: &Node) -> Duration {
        let now = Instant::now();
        let wanted = {
            let core = node.core();
            self.gpu_demand.note(&core.world, now);
            self.wanted(node, &core, now)
        };
        let cost = now.elapsed();
        let mut kinds: Vec<(Offer, u32)> = Vec::new();
        for offer in wanted {
            match kinds.iter_mut().find(|(o, _)| *o == offer) {
                Some((_, n)) => *n = (*n + 1).min(RENT_MAX),
                None => kinds.push((offer, 1)),
            }
        }
        for (offer, count) in kinds.into_iter().take(RENT_AT_ONCE) {
            let room = node.core().world.fleet.as_ref().map_or(usize::MAX, |f| names_left(&f.value, node));
            if room < RENT_ROOM + RENT_MAX as usize {
                // The record of rentals is full until some of them are up.
                break;
            }
            self.rent_kind(node, offer, count, now).await;
        }
        cost
    }

    async fn rent_kind(&mut self, node: &Node, offer: Offer, count: u32, now: Instant) {
        self.requests += 1;
        let request = format!("{}-{:x}-{}", node.me.name, node.me.incarnation, self.requests);
        let rental = Rental {
            request: request.clone(),
            machine_type: offer.machine_type.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
            count,
            asked_ms: wall_ms(),
            machines: None,
        };
        // Recorded first: a successor knows what may still come.
        if !self.put_rentals(node, |l| l.push(rental.clone())).await {
            return;
        }
        let ask = RentRequest {
            request: request.clone(),
            machine_type: offer.machine_type.to_string(),
            zone: offer.zone.to_string(),
            spot: offer.spot,
            count,
        };
        let mut answer = node.cloud.rent(&ask).await;
        for _ in 0..2 {
            if !matches!(answer, Err(CloudError::Net(_))) {
                break;
            }
            // The same name again: it cannot rent twice.
            sleep(Duration::from_millis(500)).await;
            answer = node.cloud.rent(&ask).await;
        }
        match answer {
            Ok(machines) => {
                let machines: Vec<Name> = machines.iter().map(|m| m.as_str().into()).collect();
                info!(
                    request,
                    kind = &*offer.machine_type,
                    zone = &*offer.zone,
                    spot = offer.spot,
                    asked = count,
                    got = machines.len(),
                    first = machines.first().map(|m| &**m),
                    "rented"
                );
                if (machines.len() as u32) < count {
                    self.block(offer, now);
                } else {
                    self.blocked.remove(&offer);
                }
                self.put_rentals(node, |l| {
                    if let Some(r) = l.iter_mut().find(|r| r.request == request) {
                        r.machines = Some(machines.clone());
                    }
                })
                .await;
            }
            Err(e) => {
                debug!(request, kind = &*offer.machine_type, zone = &*offer.zone, spot = offer.spot, error = %e, "not rented");
                let sure = !matches!(e, CloudError::Net(_) | CloudError::Answer(_));
                if matches!(e, CloudError::NoCapacity) {
                    self.block(offer, now);
                } else {
                    sleep(Duration::from_secs(1)).await;
                }
                if sure {
                    self.put_rentals(node, |l| l.retain(|r| r.request != request)).await;
                }
            }
        }
    }

    /// No capacity: ask again later, and ever later.
    fn block(&mut self, offer: Offer, now: Instant) {
        let pause = self.blocked.get(&offer).map_or(BLOCK_FIRST, |(_, p)| (*p * 2).min(BLOCK_MOST));
        self.blocked.insert(offer, (now + pause, pause));
    }

    async fn put_rentals(&self, node: &Node, change: impl Fn(&mut Vec<Rental>)) -> bool {
        self.put_fleet(node, |f| change(&mut f.rentals)).await
    }

    async fn put_fleet(&self, node: &Node, change: impl Fn(&mut FleetRecord)) -> bool {
        for _ in 0..3 {
            let (mut fleet, version) = {
                let core = node.core();
                core.world
                    .fleet
                    .as_ref()
                    .map_or((FleetRecord::default(), 0), |f| (f.value.clone(), f.version))
            };
            change(&mut fleet);
            let put = Put::new(key::FLEET.into(), &fleet);
            if write(node, vec![Condition { key: key::FLEET.into(), version }], vec![put]).await {
                return true;
            }
            if !node.core().leads(&node.me) {
                return false;
            }
        }
        false
    }
}

/// Most characters that a machine's name takes in the fleet's record beside the
/// one before it: names hold six digits mostly, five bits a character.
const NAME_CHARS: usize = 4;
/// What a rental takes, in names, until its machines are known.
const RENT_ROOM: usize = 60;

/// How many names more the fleet's record surely holds. Without this bound it
/// could be refused once hundreds of machines are rented and lost at a time, and
/// nothing would be told gone any more.
fn names_left(fleet: &FleetRecord, node: &Node) -> usize {
    let written = Put::new(key::FLEET.into(), fleet).json_len();
    ((node.value_bytes() * 0.95) as usize).saturating_sub(written) / NAME_CHARS
}

/// Says in the log what waits, by class, and how full the machines are, by kind.
fn tell(core: &Core) {
    let mut waiting: BTreeMap<&str, (u32, u32, u32)> = BTreeMap::new();
    for job in core.world.open.iter().filter_map(|id| core.world.jobs.get(id)) {
        let Some(spec) = job.value.spec.as_deref() else { continue };
        let n = placement::pending_count(&job.value);
        let of_class = waiting.entry(&spec.class).or_default();
        of_class.0 += u32::from(n > 0);
        of_class.1 += n;
        of_class.2 += job.value.run.len() as u32;
    }
    let mut kinds: BTreeMap<String, (u32, f64, f64)> = BTreeMap::new();
    for (id, m) in &core.world.machines {
        let Some(t) = core.world.types.get(&*m.value.machine_type) else { continue };
        let used = core.world.machine_use.get(id).map_or(0.0, |u| u.cpus);
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

/// Machine types that fetch a gang's image too slowly, unless all do.
fn unsuited(node: &Node, core: &Core, spec: &JobSpec) -> Vec<Name> {
    let wait = node.settings.facts.workers.gang_wait_s;
    let may = |t: &&MachineType| {
        Amount::of_task(spec).fits(Amount::of_type(t))
            && spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
    };
    let (slow, quick): (Vec<_>, Vec<_>) =
        core.world.types.values().filter(may).partition(|t| placement::too_slow(spec, t, wait));
    if quick.is_empty() { Vec::new() } else { slow.iter().map(|t| t.name.as_str().into()).collect() }
}

/// Whether an empty machine could hold a task of the job.
fn fits_machine(spec: &JobSpec, m: &MachineRecord, core: &Core) -> bool {
    placement::allowed(spec, &m.machine_type, &m.zone, m.spot)
        && core.world.types.get(&*m.machine_type).is_some_and(|t| {
            Amount::of_task(spec).fits(Amount::of_type(t)) && (spec.gpus > 0.0 || t.gpus == 0.0)
        })
}

/// A few names, as hundreds at a time make no readable line.
fn few(machines: &[&Name]) -> String {
    let some: Vec<&str> = machines.iter().take(5).map(|m| &***m).collect();
    some.join(" ") + if machines.len() > some.len() { " …" } else { "" }
}

fn names(machines: &[Name]) -> Vec<String> {
    machines.iter().map(|m| m.to_string()).collect()
}

/// The job whose next of a kind should find room ready.
fn spare_spec<'a>(node: &Node, core: &'a Core) -> Option<&'a JobSpec> {
    if wall_ms().saturating_sub(core.world.gpu_spec_ms) > SPARE_FOR.as_millis() as u64 {
        return None;
    }
    core.world.gpu_spec.as_deref().filter(|s| {
        s.kind == JobKind::Gang
            && node.operators.spare_gpu_tasks > 0
            && node.settings.starts_in_time(&s.class)
    })
}

/// Writes as the leader: nothing is written once the map has changed.
async fn write(node: &Node, mut conditions: Vec<Condition>, puts: Vec<Put>) -> bool {
    {
        let core = node.core();
        let Some(map) = core.world.map.as_ref().filter(|_| core.leads(&node.me)) else { return false };
        conditions.push(Condition { key: key::MAP.into(), version: map.version });
    }
    // Machines take long to boot; a request for some does not wait behind rounds
    // that are in debt.
    node.core().writes.take(puts.len() as f64, 0.0, Instant::now());
    node.counts.spend(Purpose::Fleet, puts.len());
    match node.state.txn(conditions, puts).await {
        Ok(Outcome::Committed { revision }) => node.reach(revision, Duration::from_secs(2)).await,
        Ok(Outcome::Conflict { revision, .. }) => {
            node.reach(revision, Duration::from_secs(2)).await;
            false
        }
        Err(e) => {
            debug!(error = %e, "not written");
            if matches!(e, store::StoreError::Rate) {
                node.core().writes.drained(Instant::now());
            }
            sleep(Duration::from_millis(200)).await;
            false
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scale;
    use sched::world::Change;

    /// A dark zone's replicas are up until their leases end: they are given up as
    /// fast as they find room, and room for all is asked for at once.
    #[test]
    fn a_dark_zone_is_given_up_as_its_replicas_find_room() {
        let node = scale::node(2400, 1);
        let now = Instant::now();
        scale::fill(&node, now);
        let mut core = node.core();
        let dark: Vec<Name> = core
            .world
            .machines
            .iter()
            .filter(|(_, m)| *m.value.zone == *"d")
            .map(|(id, _)| id.clone())
            .collect();
        let later = now + node.report_every() * 3;
        let hear = |core: &mut Core, at: Instant| {
            core.workers
                .iter_mut()
                .filter(|(id, _)| !dark.contains(id))
                .for_each(|(_, w)| w.heard = Some(at));
        };
        hear(&mut core, later);
        let mut fleet = Fleet {
            led_since: Some(now - Duration::from_secs(60)),
            listed_at: Some(now),
            ..Fleet::default()
        };
        let replicas = |core: &Core, ids: &[Name]| {
            let of = |id: &Name| {
                let service = |j: &JobRecord| j.spec.as_ref().is_some_and(|s| s.kind == JobKind::Service);
                core.world.assignments(id).filter(|(_, j, _)| service(j)).count()
            };
            ids.iter().map(of).sum::<usize>()
        };
        let all = replicas(&core, &dark);
        assert!(all > 100, "{all}");
        let cpus = |offers: &[Offer]| {
            offers.iter().map(|o| core.world.types[&*o.machine_type].cpus).sum::<f64>() as usize
        };
        assert!(cpus(&fleet.wanted(&node, &core, later)) >= all * 4, "room for all of them is rented");
        let awake = |core: &mut Core, at: Instant| (core.fresh_at, core.beat) = (Some(at), at);
        awake(&mut core, later);
        assert_eq!(fleet.surplus(&node, &core, later), [], "too early to give them up");
        let silent = now + node.silent_limit();
        hear(&mut core, silent);
        awake(&mut core, silent);
        let mut ready: Vec<Name> = fleet.surplus(&node, &core, silent).into_iter().map(|s| s.0).collect();
        assert_eq!(ready.len(), dark.len());
        fleet.pace(&node, &core, &mut ready, silent);
        let first = replicas(&core, &ready);
        assert!(first > 0 && first <= all / PACE_PART + 16, "{first} of {all}");
        // They find no room: hardly any others follow.
        let gone = Some(ready.clone());
        core.world.apply(Change::Fleet(Some(FleetRecord { rentals: Vec::new(), gone })), 1 << 40);
        let mut more: Vec<Name> = fleet.surplus(&node, &core, silent).into_iter().map(|s| s.0).collect();
        let left = more.clone();
        fleet.pace(&node, &core, &mut more, silent);
        assert!(more.is_empty(), "{}", more.len());
        // Once their leases are over there is nothing to wait for.
        let over = silent + node.worker_limits(None).lease;
        let mut rest = left.clone();
        fleet.pace(&node, &core, &mut rest, over);
        assert_eq!(rest, left);
    }

    /// A controller that stood still for half a minute holds a view in which all its
    /// machines were silent for so long. It gives up none of them for that.
    #[test]
    fn nothing_is_given_up_on_waking() {
        let node = scale::node(100, 1);
        let now = Instant::now();
        scale::fill(&node, now);
        let mut core = node.core();
        let mut fleet = Fleet::default();
        core.beat(now);
        let woken = now + Duration::from_secs(32);
        // Some reports are taken in before anything else runs.
        core.workers.values_mut().take(40).for_each(|w| w.heard = Some(woken));
        assert_eq!(fleet.surplus(&node, &core, woken), [], "before the beat");
        core.fresh_at = Some(woken);
        core.beat(woken);
        assert_eq!(fleet.surplus(&node, &core, woken), [], "after it");
        let later = woken + node.silent_limit();
        (0..9).for_each(|n| core.beat(woken + node.silent_limit() * n / 8));
        core.fresh_at = Some(later);
        core.workers.values_mut().take(40).for_each(|w| w.heard = Some(later));
        assert_eq!(fleet.surplus(&node, &core, later).len(), 60, "but for what it does not hear now");
    }

    /// Hundreds of rentals and hundreds of machines gone at a time: whatever the
    /// record is said to have room for, the state service takes.
    #[test]
    fn the_fleets_record_never_outgrows_a_value() {
        let node = scale::node(4, 1);
        let mut fleet = FleetRecord::default();
        let mut host = 0u32;
        while names_left(&fleet, &node) >= RENT_ROOM + RENT_MAX as usize {
            // Scattered names, as when several controllers' requests cross.
            host += RENT_MAX;
            let number = |n: u32| u64::from(host + n) * 7919 % 1_000_000;
            let names = (0..RENT_MAX).map(|n| format!("host-{:06}", number(n)).as_str().into());
            fleet.rentals.push(Rental {
                request: format!("controller-4-{:x}-{host}", u64::MAX >> 12),
                machine_type: "machine-type".into(),
                zone: "zone-of-a-name".into(),
                spot: true,
                count: RENT_MAX,
                asked_ms: 1_796_169_600_000,
                machines: Some(names.collect()),
            });
        }
        let rented = fleet.rentals.len();
        assert!(rented >= 20, "{rented}");
        loop {
            let room = names_left(&fleet, &node).min(GONE_MOST);
            if room == 0 {
                break;
            }
            let gone = fleet.gone.get_or_insert_default();
            gone.extend((0..room).map(|n| Name::from(format!("host-{:06}", n * 104_729 % 1_000_000))));
            let json = serde_json::to_string(&fleet).expect("encodes").len() as f64;
            assert!(json < node.value_bytes(), "{json}");
        }
    }
}
