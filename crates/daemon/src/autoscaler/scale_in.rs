//! Which machines are given back, how fast, and what the records say of it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cloud::RELEASE_MAX;
use sched::autoscaling::MachineOffer;
use sched::forecast;
use sched::hash::{HashMap, HashSet};
use sched::placement;
use sched::records::*;
use sched::replica::{Resources, SortedLookup};
use store::{KeyWrite, key};
use tokio::time::sleep;
use tracing::{debug, info, warn};
use wire::{Condition, JobKind, JobSpec, MachineStatus};

use super::{Autoscaler, Silent, is_half_full, names, names_left, spare_spec, write};
use crate::clock;
use crate::controller::{Controller, wall_ms};
use crate::drains;
use crate::load::sample_names;
use crate::state::{ControllerState, MachineHealth, MachineView};

/// Of one kind, only so many idle machines are kept for as long as their boot
/// would cost.
const IDLE_KEPT: u32 = 2;
/// Longest boot that an idle machine stays for.
const BOOT_MOST_S: f64 = 600.0;
/// Silent machines are released with as many replicas at a time as are placed anew
/// in about this time; it has to be longer than a release takes.
const PACE_S: f64 = 1.0;
/// And of those that are left, only this part at a time: where there is no room for
/// them, hardly more than that are down before their leases end.
const PACE_PART: usize = 8;

/// Whether an empty machine could hold a task of the job.
fn fits_machine(spec: &JobSpec, m: &MachineRecord, state: &ControllerState) -> bool {
    placement::is_allowed(spec, &m.machine_type, &m.zone, m.spot)
        && state.records.replica.machine_types.get(&*m.machine_type).is_some_and(|t| {
            Resources::of_task(spec).fits(Resources::of_type(t)) && (spec.gpus > 0.0 || t.gpus == 0.0)
        })
}

/// How many machines an owner has, and how many of them it has heard nothing of for half of
/// the time after which they count as lost.
#[derive(Debug, Clone, Copy, Default)]
struct Hearing {
    all: u32,
    mute: u32,
}

impl Hearing {
    /// An owner that hears nothing of nearly all its machines is itself cut off, most likely:
    /// its word takes longer to count. Not so one that hears some: of two zones, a dark one
    /// makes half of all machines.
    fn is_cut_off(self) -> bool {
        self.all >= 3 && self.mute * 8 > self.all * 7
    }
}

/// The machines to give back as soon as nothing is left on them. Nothing can be placed there
/// meanwhile, unless a controller knows no drains.
fn drained<'c>(controller: &Controller, state: &'c ControllerState) -> HashSet<&'c Name> {
    if !controller.operators.drains.enabled || drains::paused(controller, &state.records.replica).is_some() {
        return HashSet::default();
    }
    state.records.replica.drains.machines_to_give_back()
}

/// What decides whether idle machines stay.
struct IdleRoom<'a> {
    /// Machines that services to come will take.
    for_services: HashSet<Name>,
    /// The job whose next of a kind should find room ready.
    spare: Option<&'a JobSpec>,
    /// For how many of its tasks there is room.
    spare_left: u32,
    /// Machines that are idle, by their kind.
    of_kind: HashMap<MachineOffer, u32>,
}

impl<'a> IdleRoom<'a> {
    fn new(controller: &Controller, state: &'a ControllerState, views: &[MachineView]) -> Self {
        // Room for the services to come is not given back either.
        let now_ms = wall_ms();
        let for_services = match forecast::expected_services(&state.records.replica, now_ms) {
            Some((spec, tasks)) => placement::capacity_for(
                &state.records.replica,
                &state.scheduling.inventory,
                &spec,
                tasks,
                now_ms,
            )
            .into_iter()
            .collect(),
            None => HashSet::default(),
        };
        let spare = spare_spec(controller, state);
        let of_kind = HashMap::default();
        let mut room = Self { for_services, spare, spare_left: 0, of_kind };
        if room.spare.is_some() {
            let staying = views.iter().filter(|m| !m.record.release);
            let left = staying.map(|m| room.spare_tasks(state, m.record, m.used.unwrap_or_default()));
            room.spare_left = left.sum();
        }
        room
    }

    /// For how many spare tasks a machine has room.
    fn spare_tasks(&self, state: &ControllerState, m: &MachineRecord, used: Resources) -> u32 {
        match (self.spare, state.records.replica.machine_types.get(&*m.machine_type)) {
            (Some(spec), Some(t)) if placement::is_allowed(spec, &m.machine_type, &m.zone, m.spot) => {
                Resources::of_task(spec).count_fitting_in(Resources::of_type(t).plus_scaled(used, -1.0))
            }
            _ => 0,
        }
    }
}

impl Autoscaler {
    /// Which machines to give back, and why. The inventory has to be up to date.
    pub(crate) fn surplus(
        &mut self,
        controller: &Controller,
        state: &ControllerState,
        now: Instant,
    ) -> Vec<(Name, &'static str)> {
        let mut out = Vec::new();
        if !state.may_stop_work(now) {
            return out;
        }
        let views: Vec<MachineView> = state.machine_views(&controller.identity, now).collect();
        let silent = controller.silence_limit();
        let mut hearing: HashMap<u64, Hearing> = HashMap::default();
        for m in views.iter().filter(|m| m.is_current) {
            let Some(health) = m.health else { continue };
            let of_owner = hearing.entry(m.owner.incarnation).or_default();
            of_owner.all += 1;
            of_owner.mute += u32::from(health.silent >= silent / 2);
        }
        let idle = |id: &Name| {
            state.records.replica.machines.contains_key(id)
                && !state.records.replica.jobs_by_machine.contains_key(id)
        };
        self.idle_since.retain(|id, _| idle(id));
        let mut idle_room = IdleRoom::new(controller, state, &views);
        let drained = drained(controller, state);
        for m in views.iter().filter(|m| m.is_current) {
            let Some(health) = m.health else { continue };
            let of_owner = hearing.get(&m.owner.incarnation).copied().unwrap_or_default();
            let patience = if of_owner.is_cut_off() { silent * 4 } else { silent };
            // A new owner asks each of its machines at once, and those that it has
            // never met were silent before it came.
            let patience = if health.heard_from { patience } else { patience * 3 / 4 };
            let patience = if health.spot_notice { patience / 2 } else { patience };
            let reason = if m.record.release {
                Some("marked")
            } else if m.used.is_none() && drained.contains(m.id) {
                Some("drained")
            } else if health.silent >= patience {
                self.note_silent(controller, m.id, health, now);
                Some("silent")
            } else if health.unhealthy {
                Some("sick")
            } else if m.used.is_none() && self.is_idle_for_long(controller, state, m, &mut idle_room, now) {
                Some("idle")
            } else {
                None
            };
            out.extend(reason.map(|why| (m.id.clone(), why)));
        }
        let still: HashSet<&Name> =
            out.iter().filter(|(_, why)| *why == "silent").map(|(id, _)| id).collect();
        self.silent.retain(|id, _| still.contains(id));
        self.add_lost_listed(state, &mut out);
        out
    }

    /// Notes when whatever is on a silent machine has surely lost its lease.
    fn note_silent(&mut self, controller: &Controller, id: &Name, health: MachineHealth, now: Instant) {
        // Until its owner came, a controller that is cut off with the machine
        // may have renewed its lease, for as long as it may at all.
        let renewed = if health.heard_from { Duration::ZERO } else { controller.settings.renewal_bound() };
        let left = (controller.worker_limits(None).lease + renewed).saturating_sub(health.silent);
        self.silent.entry(id.clone()).or_insert(Silent { ends: now + left });
    }

    /// Whether an idle machine is to be given back.
    fn is_idle_for_long(
        &mut self,
        controller: &Controller,
        state: &ControllerState,
        m: &MachineView,
        room: &mut IdleRoom,
        now: Instant,
    ) -> bool {
        let record = m.record;
        if room.for_services.contains(m.id) || self.waiting.iter().any(|s| fits_machine(s, record, state)) {
            return false;
        }
        let since = *self.idle_since.entry(m.id.clone()).or_insert(now);
        // Renting it again costs its boot time and the wait for it. Spot
        // machines serve work that can wait.
        let boot_s = state.records.replica.machine_types.get(&*record.machine_type).map_or(0.0, |t| t.boot_s);
        let boot_s = if record.spot { 0.0 } else { boot_s };
        // Many that are idle at a time are not all needed soon.
        let kind = MachineOffer {
            machine_type: record.machine_type.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
        };
        let others = room.of_kind.entry(kind).or_default();
        *others += 1;
        let boot_s = if *others > IDLE_KEPT { 0.0 } else { boot_s };
        let keep = controller.operators.idle.max(wire::seconds(boot_s.min(BOOT_MOST_S)));
        let spare = room.spare_tasks(state, record, Resources::default());
        let spared = spare > 0 && room.spare_left < spare + self.spare_tasks(controller, now);
        let goes = now.saturating_duration_since(since) >= keep && !spared;
        if goes {
            room.spare_left -= spare;
        }
        goes
    }

    /// Adds machines that failed by the cloud's list, or have never come up.
    fn add_lost_listed(&self, state: &ControllerState, out: &mut Vec<(Name, &'static str)>) {
        let rented: HashSet<&Name> = state
            .records
            .replica
            .fleet
            .iter()
            .flat_map(|f| f.value.scale_outs.iter())
            .filter_map(|r| r.machines.as_ref())
            .flatten()
            .collect();
        let listed_s = self.listed_at.map_or(0.0, |t| clock::since(t).as_secs_f64());
        let mut known = SortedLookup::new(&state.records.replica.machines);
        for (id, m) in &self.listed {
            let known = known.get(id).is_some();
            let failed = m.status == MachineStatus::Failed;
            if (known && !failed) || self.released.contains_key(id) {
                continue;
            }
            let boot_s = state.records.replica.machine_types.get(&m.machine_type).map_or(60.0, |t| t.boot_s);
            let age_s = m.age_s + listed_s;
            let seen_s = self.first_seen.get(id).map_or(0.0, |t| clock::since(*t).as_secs_f64());
            if failed {
                out.push((id.clone(), "failed"));
            } else if !rented.contains(id) && age_s > boot_s * 4.0 + 30.0 && seen_s > 30.0 {
                out.push((id.clone(), "never came up"));
            }
        }
    }

    pub(super) async fn give_back(&mut self, controller: &Controller) {
        let now = clock::now();
        // Released already, but the state service did not take it then.
        let known = |id: &&Name| controller.state().records.replica.machines.contains_key(*id);
        let left: Vec<Name> = self.released.keys().filter(known).cloned().collect();
        if !left.is_empty() {
            self.forget(controller, left).await;
        }
        let list = {
            let mut state = controller.state();
            state.refresh_inventory(&controller.identity, controller.heartbeat_interval(), now);
            self.surplus(controller, &state, now)
        };
        // While changes are short, machines that cost nothing but money wait.
        let mut list = list;
        if controller.state().writes.limiter.available(now) < 0.0 {
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
        let mut reasons: HashMap<Name, &str> = HashMap::default();
        {
            let state = controller.state();
            for (id, why) in list {
                match state.records.replica.machines.get(&id) {
                    Some(m) if matches!(why, "idle" | "drained") && !m.value.release => {
                        marks.push((id, m.clone(), why));
                    }
                    _ if self.released.contains_key(&id) => {}
                    _ => {
                        reasons.insert(id.clone(), why);
                        ready.push(id);
                    }
                }
            }
        }
        self.pace(controller, &controller.state(), &mut ready, now);
        marks.truncate(controller.state_limits().txn_ops);
        if !marks.is_empty() {
            let conditions = marks
                .iter()
                .map(|(id, m, _)| Condition { key: key::machine(id), version: m.version })
                .collect();
            let puts = marks
                .iter()
                .map(|(id, m, _)| {
                    KeyWrite::new(key::machine(id), &MachineRecord { release: true, ..m.value.clone() })
                })
                .collect();
            if !write(controller, conditions, puts).await {
                return;
            }
            for (id, _, why) in marks {
                debug!(machine = &*id, reason = why, "giving the machine back");
                reasons.insert(id.clone(), why);
                // A task may have been placed just before the mark.
                if !controller.state().records.replica.jobs_by_machine.contains_key(&id) {
                    ready.push(id);
                }
            }
        }
        ready.truncate(RELEASE_MAX);
        if ready.is_empty() {
            return;
        }
        match controller.cloud.release(names(&ready)).await {
            Ok(()) => {
                let mut by_reason: BTreeMap<&str, Vec<&Name>> = BTreeMap::new();
                for id in &ready {
                    by_reason.entry(reasons.get(id).copied().unwrap_or("idle")).or_default().push(id);
                }
                for (reason, machines) in by_reason {
                    info!(
                        count = machines.len(),
                        machines = sample_names(&machines),
                        reason,
                        "machines given back"
                    );
                }
                debug!(machines = ?ready, "released");
                for id in &ready {
                    self.released.insert(id.clone(), now);
                    // There is capacity for one of its kind again.
                    if let Some(m) =
                        controller.state().records.replica.machines.get(id).map(|m| m.value.clone())
                    {
                        let offer = MachineOffer { machine_type: m.machine_type, zone: m.zone, spot: m.spot };
                        self.blocked.remove(&offer);
                    }
                }
                self.forget(controller, ready).await;
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
    pub(super) fn pace(
        &self,
        controller: &Controller,
        state: &ControllerState,
        ready: &mut Vec<Name>,
        now: Instant,
    ) {
        let service = |job: &JobRecord| job.spec.as_ref().is_some_and(|s| s.kind == JobKind::Service);
        let replicas = |id: &Name| {
            state
                .records
                .replica
                .assignments(id)
                .filter(|(_, job, a)| service(job) && job.should_run(a))
                .count()
        };
        let open = state
            .records
            .replica
            .open_job_ids
            .iter()
            .filter_map(|id| state.records.replica.jobs.get(id))
            .map(|j| j.value.as_ref());
        let waiting = open.filter(|j| service(j)).map(|j| placement::pending_task_count(j) as usize);
        let down = waiting.sum::<usize>()
            + state.records.replica.machines_without_record.iter().map(replicas).sum::<usize>();
        let (held, free): (Vec<Name>, Vec<Name>) = std::mem::take(ready)
            .into_iter()
            .partition(|id| self.silent.get(id).is_some_and(|s| now < s.ends));
        *ready = free;
        let (with, without): (Vec<Name>, Vec<Name>) = held.into_iter().partition(|id| replicas(id) > 0);
        let all = with.len();
        let most = (controller.state_limits().write_rps * PACE_S) as usize;
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
    pub(super) async fn forget(&mut self, controller: &Controller, machines: Vec<Name>) {
        let known: Vec<(Name, String)> = {
            let state = controller.state();
            let record = |id: &Name| state.records.replica.machines.get(id).map(|m| m.value.addr.clone());
            let most =
                state.records.replica.fleet.as_ref().map_or(usize::MAX, |f| names_left(&f.value, controller));
            machines.iter().filter_map(|id| Some((id.clone(), record(id)?))).take(most).collect()
        };
        if known.is_empty() {
            return;
        }
        let add = |f: &mut FleetRecord| {
            let gone = f.removed_machines.get_or_insert_default();
            gone.extend(known.iter().map(|(id, _)| id.clone()));
            gone.sort_unstable();
            gone.dedup();
        };
        if self.put_fleet(controller, add).await {
            for (_, addr) in &known {
                controller.worker_http.forget(addr);
            }
        }
    }

    /// Deletes the records of machines that are gone, while nothing else needs
    /// the changes.
    pub(super) async fn bury(&mut self, controller: &Controller) {
        let ops = controller.state_limits().txn_ops;
        let (dead, mut fleet, version) = {
            let mut state = controller.state();
            let (level, rate) =
                (state.writes.limiter.available(clock::now()), state.writes.limiter.per_second());
            let Some(f) = &state.records.replica.fleet else { return };
            if state.records.replica.removed_machines.is_empty()
                || level < rate * 0.6 && !is_half_full(&f.value, controller)
            {
                return;
            }
            let dead: Vec<(Name, u64)> = state
                .records
                .replica
                .removed_machines
                .iter()
                .take(ops - 1)
                .map(|(id, m)| (id.clone(), m.version))
                .collect();
            (dead, f.value.clone(), f.version)
        };
        if let Some(gone) = &mut fleet.removed_machines {
            gone.retain(|id| !dead.iter().any(|(d, _)| d == id));
        }
        fleet.removed_machines = fleet.removed_machines.filter(|g| !g.is_empty());
        let mut conditions = vec![Condition { key: key::FLEET.into(), version }];
        conditions.extend(dead.iter().map(|(id, v)| Condition { key: key::machine(id), version: *v }));
        let mut puts = vec![KeyWrite::new(key::FLEET.into(), &fleet)];
        puts.extend(dead.iter().map(|(id, _)| KeyWrite::delete(key::machine(id))));
        write(controller, conditions, puts).await;
    }
}

#[cfg(test)]
#[path = "../../tests/unit/autoscaler_scale_in.rs"]
mod tests;
