//! What is rented: demand, plan and requests.

use std::time::{Duration, Instant};

use cloud::{CloudError, RENT_MAX};
use sched::autoscaling::{Demand, ExpectedCapacity, MachineOffer, plan_scale_out};
use sched::forecast;
use sched::hash::{HashMap, HashSet};
use sched::placement;
use sched::records::*;
use sched::replica::{Resources, SortedLookup};
use store::{KeyWrite, key};
use tokio::time::sleep;
use tracing::{debug, info};
use wire::{Condition, JobKind, JobSpec, MachineStatus, MachineType, RentRequest};

use super::{Autoscaler, names, names_left, spare_spec, write};
use crate::clock;
use crate::controller::{Controller, wall_ms};
use crate::load::sample_names;
use crate::state::ControllerState;

/// Most kinds of machines asked for between two looks at what is wanted.
const RENT_AT_ONCE: usize = 6;
const BLOCK_FIRST: Duration = Duration::from_secs(20);
const BLOCK_MOST: Duration = Duration::from_secs(60);

/// What a rental takes, in names, until its machines are known.
pub(super) const RENT_ROOM: usize = 60;

/// Machine types that fetch a gang's image too slowly, unless all do.
fn unsuited(controller: &Controller, state: &ControllerState, spec: &JobSpec) -> Vec<Name> {
    let wait = controller.settings.facts.workers.gang_wait_s;
    let may = |t: &&MachineType| {
        Resources::of_task(spec).fits(Resources::of_type(t))
            && spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
    };
    let (slow, quick): (Vec<_>, Vec<_>) = state
        .records
        .replica
        .machine_types
        .values()
        .filter(may)
        .partition(|t| placement::image_fetch_too_slow(spec, t, wait));
    if quick.is_empty() { Vec::new() } else { slow.iter().map(|t| t.name.as_str().into()).collect() }
}

/// Writes requests down. They may be there already: the change was carried out, and only
/// its answer was lost.
fn ask(list: &mut Vec<ScaleOut>, rentals: &[ScaleOut]) {
    for r in rentals {
        if !list.iter().any(|l| l.request == r.request) {
            list.push(r.clone());
        }
    }
}

/// Machines of one kind that were asked for within this time count as one rental: once
/// it is answered, its name is of no more use.
const TOGETHER_MS: u64 = 10_000;

/// Writes down what became of requests, in as few words as possible.
fn settle(list: &mut Vec<ScaleOut>, answers: &[(String, Option<Vec<Name>>)]) {
    for (request, answer) in answers {
        let Some(i) = list.iter().position(|r| r.request == *request) else { continue };
        let mut rental = list.remove(i);
        let Some(machines) = answer.as_ref().filter(|m| !m.is_empty()) else { continue };
        let like = list.iter_mut().find(|r| {
            r.machines.is_some()
                && (&r.machine_type, &r.zone, r.spot) == (&rental.machine_type, &rental.zone, rental.spot)
                && rental.requested_ms.saturating_sub(r.requested_ms) < TOGETHER_MS
        });
        match like.and_then(|r| r.machines.as_mut()) {
            Some(before) => before.extend(machines.iter().cloned()),
            None => {
                rental.request.clear();
                rental.machines = Some(machines.clone());
                list.push(rental);
            }
        }
    }
}

/// How many tasks of an array or a gang a drain would move if there were room for them: a gang
/// as a whole.
fn tasks_to_move(state: &ControllerState, job: &JobRecord, spec: &JobSpec) -> u32 {
    let waits = |a: &&Assignment| state.drains.wants_room.contains(&a.machine) && job.should_run(a);
    let there = job.assignments.iter().filter(waits).count() as u32;
    if spec.kind == JobKind::Gang && there > 0 { spec.tasks } else { there }
}

impl Autoscaler {
    /// Drops rentals whose machines are all up, and gives up on those that are not.
    pub(super) async fn settle_rentals(&mut self, controller: &Controller) {
        let settled = self.settled(&controller.state(), clock::now(), wall_ms());
        let Some((fleet, version, late)) = settled else { return };
        if !late.is_empty() {
            if controller.cloud.release(names(&late)).await.is_err() {
                return;
            }
            let machines: Vec<&Name> = late.iter().collect();
            info!(count = late.len(), machines = sample_names(&machines), "released: they never came up");
            for id in &late {
                self.released.insert(id.clone(), clock::now());
            }
            self.pass_over_late(controller, &late);
        }
        let put = KeyWrite::new(key::FLEET.into(), &fleet);
        write(controller, vec![Condition { key: key::FLEET.into(), version }], vec![put]).await;
    }

    /// Where a drain waits for room, a kind of which machines did not come up is left alone for
    /// a while, so that the next attempt rents another.
    fn pass_over_late(&mut self, controller: &Controller, late: &[Name]) {
        let kinds: Vec<MachineOffer> = {
            let state = controller.state();
            if state.drains.wants_room.is_empty() {
                return;
            }
            let rentals = state.records.replica.fleet.iter().flat_map(|f| &f.value.scale_outs);
            let is_late = |r: &&ScaleOut| r.machines.iter().flatten().any(|m| late.contains(m));
            let kind = |r: &ScaleOut| MachineOffer {
                machine_type: r.machine_type.clone(),
                zone: r.zone.clone(),
                spot: r.spot,
            };
            rentals.filter(is_late).map(kind).collect()
        };
        for kind in kinds {
            self.block(kind, clock::now());
        }
    }

    /// The fleet's record without what is settled, its version, and the machines that never
    /// came up. By an old view, those that are up and busy would be among them.
    pub(super) fn settled(
        &self,
        state: &ControllerState,
        now: Instant,
        now_ms: u64,
    ) -> Option<(FleetRecord, u64, Vec<Name>)> {
        let f = state.records.replica.fleet.as_ref().filter(|_| state.may_stop_work(now))?;
        let mut late: Vec<Name> = Vec::new();
        let mut rentals = Vec::new();
        for r in &f.value.scale_outs {
            let boot = state.records.replica.machine_types.get(&*r.machine_type).map_or(60.0, |t| t.boot_s);
            let age = now_ms.saturating_sub(r.requested_ms) as f64 / 1000.0;
            let mut r = r.clone();
            if let Some(machines) = &mut r.machines {
                machines.retain(|m| {
                    !state.records.replica.machines.contains_key(m) && !self.released.contains_key(m)
                });
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
        let fleet = FleetRecord { scale_outs: rentals, removed_machines: f.value.removed_machines.clone() };
        (fleet.scale_outs != f.value.scale_outs || !late.is_empty()).then_some((fleet, f.version, late))
    }

    /// Machines with tasks that have not been heard of for longer than placement would wait.
    pub(super) fn about_to_go(
        &self,
        controller: &Controller,
        state: &ControllerState,
        now: Instant,
    ) -> HashSet<Name> {
        let limit = controller.heartbeat_interval() * 5 / 2;
        // An owner that hears hardly any of its machines is itself cut off.
        let mut by_owner: HashMap<u64, (usize, usize)> = HashMap::default();
        let mut quiet: Vec<(&Name, u64)> = Vec::new();
        for m in state.machine_views(&controller.identity, now) {
            let is_quiet = m.health.is_some_and(|h| h.silent > limit);
            let count = by_owner.entry(m.owner.incarnation).or_default();
            *count = (count.0 + 1, count.1 + usize::from(is_quiet));
            if is_quiet && m.used.is_some() {
                quiet.push((m.id, m.owner.incarnation));
            }
        }
        let cut_off = |owner: &u64| by_owner.get(owner).is_some_and(|(all, mute)| mute * 8 > all * 7);
        quiet.into_iter().filter(|(_, owner)| !cut_off(owner)).map(|(id, _)| id.clone()).collect()
    }

    /// What is wanted beyond the room that is there or coming. The inventory has to be up to date.
    pub(crate) fn wanted(
        &mut self,
        controller: &Controller,
        state: &ControllerState,
        now: Instant,
    ) -> Vec<MachineOffer> {
        let settled =
            self.led_since.is_some_and(|t| now.saturating_duration_since(t) > Duration::from_secs(2));
        if !settled || state.records.replica.machine_types.is_empty() || self.listed_at.is_none() {
            return Vec::new();
        }
        let now_ms = wall_ms();
        let mut demands = self.waiting_demands(controller, state, now, now_ms);
        // What is to start within a time of its own comes before what is not.
        let in_time = |j: &JobRecord| {
            let starts = j.spec.as_ref().is_some_and(|s| controller.settings.starts_in_time(&s.class));
            placement::QueueRank { is_deferred: !starts, ..Default::default() }
        };
        demands.sort_by(|a, b| placement::queue_order((a.0, in_time(a.0)), (b.0, in_time(b.0))));
        // The next steps of pipelines, before they are ready; last, as they may be late.
        let soon: Vec<&JobSpec> = forecast::next_steps(&state.records.replica).collect();
        self.note_waiting(demands.iter().map(|(_, d)| d.spec).chain(soon.iter().copied()));
        let services = demands.partition_point(|(_, d)| d.spec.kind == JobKind::Service);
        let mut demands: Vec<Demand> = demands.into_iter().map(|(_, d)| d).collect();
        let demand =
            |spec, tasks| Demand { spec, tasks, in_zone: HashMap::default(), unsuitable_types: Vec::new() };
        demands.extend(soon.iter().map(|spec| Demand {
            unsuitable_types: unsuited(controller, state, spec),
            ..demand(*spec, spec.tasks)
        }));
        let expected = forecast::expected_services(&state.records.replica, now_ms);
        if let Some((spec, tasks)) = &expected {
            demands.insert(services, demand(spec, *tasks));
        }
        let spare = spare_spec(controller, state).map(|s| JobSpec { one_zone: false, ..s.clone() });
        if let Some(spec) = &spare {
            demands.push(demand(spec, self.spare_tasks(controller, now)));
        }
        if demands.is_empty() {
            return Vec::new();
        }
        plan_scale_out(
            &demands,
            &self.room_to_come(state),
            &state.records.replica.machine_types,
            state.records.replica.latest_gpu_job.as_deref(),
            |o| self.blocked.get(o).is_some_and(|(t, _)| now < *t),
            RENT_MAX as usize,
        )
    }

    /// What waits for room, as far as its teams' limits go, and what soon will.
    fn waiting_demands<'c>(
        &self,
        controller: &Controller,
        state: &'c ControllerState,
        now: Instant,
        now_ms: u64,
    ) -> Vec<(&'c JobRecord, Demand<'c>)> {
        let mut lost = self.about_to_go(controller, state, now);
        // Room for what is to be moved off machines that are drained, before it is stopped.
        lost.extend(state.drains.wants_room.iter().cloned());
        let mut demands = Vec::new();
        let mut left: HashMap<&str, Resources> = HashMap::default();
        for (_, job) in state.records.replica.open_jobs() {
            let Some(spec) = job.spec.as_deref() else { continue };
            // Room for replicas on machines that are lost, most likely, is rented before
            // they are given up. They have their share of the team's limit already.
            let there = |a: &&Assignment| lost.contains(&a.machine) && job.should_run(a);
            let replaced = match spec.kind {
                JobKind::Service if !lost.is_empty() => job.assignments.iter().filter(there).count() as u32,
                // Only where a drain waits for room.
                _ if !state.drains.wants_room.is_empty() => tasks_to_move(state, job, spec),
                _ => 0,
            };
            let waiting = placement::pending_task_count(job);
            if waiting + replaced == 0
                || job.failed_starts >= 3
                || now_ms.saturating_sub(job.submitted_ms) < 300
            {
                continue;
            }
            let Some(team) = controller.team(&spec.team) else { continue };
            let room = left.entry(&spec.team).or_insert_with(|| {
                let used = state.records.replica.team_usage.get(&spec.team).copied().unwrap_or_default();
                team.limit().plus_scaled(used.without_memory(), -1.0)
            });
            let size = Resources::of_task(spec).without_memory();
            let admitted = waiting.min(size.count_fitting_in(*room));
            let tasks = admitted + replaced;
            if tasks == 0 {
                continue;
            }
            *room = room.plus_scaled(size, -f64::from(admitted));
            let mut in_zone: HashMap<Name, u32> = HashMap::default();
            for a in job.assignments.iter().filter(|a| !lost.contains(&a.machine)) {
                if let Some(m) = state.records.replica.machines.get(&a.machine) {
                    *in_zone.entry(m.value.zone.clone()).or_default() += 1;
                }
            }
            demands.push((
                job,
                Demand { spec, tasks, in_zone, unsuitable_types: unsuited(controller, state, spec) },
            ));
        }
        demands
    }

    /// Remembers one job of each kind that waits: machines that suit it are not given back.
    fn note_waiting<'s>(&mut self, specs: impl Iterator<Item = &'s JobSpec>) {
        self.waiting.clear();
        for spec in specs {
            let like = |s: &JobSpec| {
                (s.kind, s.spot, &s.types, &s.zone) == (spec.kind, spec.spot, &spec.types, &spec.zone)
                    && Resources::of_task(s) == Resources::of_task(spec)
            };
            if !self.waiting.iter().any(like) {
                self.waiting.push(spec.clone());
            }
        }
    }

    /// All room that may be used: what was rented and is not up yet, what the cloud lists and
    /// nobody has heard of, and what is free on the machines that are up.
    fn room_to_come(&self, state: &ControllerState) -> Vec<ExpectedCapacity> {
        let full =
            |t: &str| state.records.replica.machine_types.get(t).map(Resources::of_type).unwrap_or_default();
        let empty = |machine_type: &Name, zone: &Name, spot| ExpectedCapacity {
            machine_type: machine_type.clone(),
            zone: zone.clone(),
            spot,
            free: full(machine_type),
            gpus: full(machine_type).gpus,
            is_up: false,
        };
        let mut coming: Vec<ExpectedCapacity> = Vec::with_capacity(state.scheduling.inventory.slots.len());
        let mut counted: HashSet<&Name> = HashSet::default();
        for r in state.records.replica.fleet.iter().flat_map(|f| f.value.scale_outs.iter()) {
            let n = match &r.machines {
                Some(list) => {
                    counted.extend(list);
                    list.iter().filter(|m| !state.records.replica.machines.contains_key(*m)).count()
                }
                None => r.count as usize,
            };
            coming.extend(std::iter::repeat_n(empty(&r.machine_type, &r.zone, r.spot), n));
        }
        let mut known = SortedLookup::new(&state.records.replica.machines);
        for (id, m) in &self.listed {
            let known = known.get(id).is_some() || counted.contains(id) || self.released.contains_key(id);
            if !known && m.status != MachineStatus::Failed {
                coming.push(empty(&m.machine_type.as_str().into(), &m.zone.as_str().into(), m.spot));
            }
        }
        coming.extend(state.scheduling.inventory.usable().map(|s| ExpectedCapacity {
            machine_type: s.machine_type.clone(),
            zone: s.zone.clone(),
            spot: s.spot,
            free: s.free(),
            gpus: s.capacity.gpus,
            is_up: true,
        }));
        coming
    }

    /// Room kept ready for so many GPU tasks.
    pub(super) fn spare_tasks(&self, controller: &Controller, now: Instant) -> u32 {
        controller.operators.spare_gpu_tasks.max(self.gpu_demand.growth(now))
    }

    pub(super) async fn rent(&mut self, controller: &Controller) -> Duration {
        let now = clock::now();
        let wanted = {
            let mut state = controller.state();
            state.refresh_inventory(&controller.identity, controller.heartbeat_interval(), now);
            self.gpu_demand.note(&state.records.replica, now);
            self.wanted(controller, &state, now)
        };
        let cost = clock::since(now);
        let mut kinds: Vec<(MachineOffer, u32)> = Vec::new();
        for offer in wanted {
            match kinds.iter_mut().find(|(o, _)| *o == offer) {
                Some((_, n)) => *n = (*n + 1).min(RENT_MAX),
                None => kinds.push((offer, 1)),
            }
        }
        kinds.truncate(RENT_AT_ONCE);
        // The record of rentals may be full until some of them are up.
        let room = controller
            .state()
            .records
            .replica
            .fleet
            .as_ref()
            .map_or(usize::MAX, |f| names_left(&f.value, controller));
        kinds.truncate(room / (RENT_ROOM + RENT_MAX as usize));
        if !kinds.is_empty() {
            self.rent_kinds(controller, kinds, now).await;
        }
        cost
    }

    /// Rents machines of some kinds: two changes of the record for all of them, as each
    /// costs more where the record is larger than a value.
    async fn rent_kinds(&mut self, controller: &Controller, kinds: Vec<(MachineOffer, u32)>, now: Instant) {
        let rentals: Vec<ScaleOut> = kinds
            .into_iter()
            .map(|(offer, count)| {
                self.requests += 1;
                ScaleOut {
                    request: format!("{:x}-{:x}", controller.identity.incarnation, self.requests),
                    machine_type: offer.machine_type,
                    zone: offer.zone,
                    spot: offer.spot,
                    count,
                    requested_ms: wall_ms(),
                    machines: None,
                }
            })
            .collect();
        // Recorded first: a successor knows what may still come.
        if !self.put_rentals(controller, |l| ask(l, &rentals)).await {
            return;
        }
        // What became of each; it stays unanswered if that is not known.
        let mut answers: Vec<(String, Option<Vec<Name>>)> = Vec::new();
        let mut trouble = false;
        for rental in &rentals {
            if trouble {
                // Not asked for: the next would wait as long.
                answers.push((rental.request.clone(), None));
                continue;
            }
            match self.rent_kind(controller, rental, now).await {
                Ok(machines) => answers.push((rental.request.clone(), Some(machines))),
                Err(e) => {
                    trouble = !matches!(e, CloudError::NoCapacity);
                    if !matches!(e, CloudError::Net(_) | CloudError::Answer(_)) {
                        answers.push((rental.request.clone(), None));
                    }
                }
            }
        }
        self.put_rentals(controller, |l| settle(l, &answers)).await;
    }

    async fn rent_kind(
        &mut self,
        controller: &Controller,
        rental: &ScaleOut,
        now: Instant,
    ) -> Result<Vec<Name>, CloudError> {
        let ScaleOut { request, spot, count, .. } = rental.clone();
        let offer =
            MachineOffer { machine_type: rental.machine_type.clone(), zone: rental.zone.clone(), spot };
        let ask = RentRequest {
            request: request.clone(),
            machine_type: offer.machine_type.to_string(),
            zone: offer.zone.to_string(),
            spot,
            count,
        };
        let mut answer = controller.cloud.rent(&ask).await;
        for _ in 0..2 {
            if !matches!(answer, Err(CloudError::Net(_))) {
                break;
            }
            // The same name again: it cannot rent twice.
            sleep(Duration::from_millis(500)).await;
            answer = controller.cloud.rent(&ask).await;
        }
        match answer {
            Ok(machines) => {
                let machines: Vec<Name> = machines.iter().map(|m| m.as_str().into()).collect();
                info!(
                    request,
                    kind = &*offer.machine_type,
                    zone = &*offer.zone,
                    spot,
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
                Ok(machines)
            }
            Err(e) => {
                debug!(request, kind = &*offer.machine_type, zone = &*offer.zone, spot, error = %e, "not rented");
                if matches!(e, CloudError::NoCapacity) {
                    self.block(offer, now);
                } else {
                    sleep(Duration::from_secs(1)).await;
                }
                Err(e)
            }
        }
    }

    /// No capacity: ask again later, and ever later.
    pub(super) fn block(&mut self, offer: MachineOffer, now: Instant) {
        let pause = self.blocked.get(&offer).map_or(BLOCK_FIRST, |(_, p)| (*p * 2).min(BLOCK_MOST));
        self.blocked.insert(offer, (now + pause, pause));
    }
}

#[cfg(test)]
#[path = "../../tests/unit/autoscaler_scale_out.rs"]
mod tests;
