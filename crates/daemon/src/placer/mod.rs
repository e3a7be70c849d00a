//! Which waiting jobs start, and what makes way for them.

mod claims;
mod holds;
mod queue;

use std::time::{Duration, Instant};

use sched::forecast;
use sched::hash::HashSet;
use sched::placement::{self, Inventory};
use sched::preempt;
use sched::records::*;
use sched::replica::{Replica, Resources, Team};
use store::{KeyWrite, key};
use tracing::info;
use wire::{JobKind, JobSpec, Priority};

use crate::controller::Controller;
use crate::scheduler::{SchedulingCycle, SchedulingEvent, record_for_update};
use crate::state::{ControllerState, Reservation, SchedulingState};
use claims::{Claim, claim_share, claims};
use holds::hold_for_drains;
pub use queue::Guaranteed;
use queue::{in_order, waiting_here};

/// Most tasks of an array or service that room is made for at a time.
const PREEMPT_MOST: u32 = 4;
/// How long a search for what could be stopped is not repeated.
const SEARCH_PAUSE: Duration = Duration::from_millis(900);
/// Most searches of all that runs everywhere in one cycle: when hundreds of jobs
/// wait, searching for each would take up the whole processor.
const SEARCHES: u32 = 16;
/// Most bytes that a gang's record has for each of its tasks.
const GANG_TASK_BYTES: f64 = 5.0;
/// Longest time that room is held for what has to save.
const SAVE_MOST_S: f64 = 600.0;
/// How long room is held beyond the time that its tasks need to save.
const RESERVE_FOR: Duration = Duration::from_millis(1800);

/// Places what waits, in the order of priority, guarantee and age, and makes room
/// for what finds none.
pub(crate) fn place(
    controller: &Controller,
    state: &mut ControllerState,
    cycle: &mut SchedulingCycle,
    ops: usize,
    now: Instant,
    now_ms: u64,
) {
    let queue = waiting_here(controller, state, cycle);
    if queue.is_empty() {
        return;
    }
    state.refresh_inventory(&controller.identity, controller.heartbeat_interval(), now);
    let mut inventory = std::mem::take(&mut state.scheduling.inventory);
    inventory.begin();
    place_queue(controller, state, &mut inventory, cycle, queue, Budget { ops, now, now_ms });
    inventory.roll_back();
    state.scheduling.inventory = inventory;
}

/// What a cycle has, and when it is.
#[derive(Clone, Copy)]
struct Budget {
    /// Changes that its transaction may hold.
    ops: usize,
    now: Instant,
    now_ms: u64,
}

/// Places these jobs on the inventory.
fn place_queue(
    controller: &Controller,
    state: &mut ControllerState,
    inventory: &mut Inventory,
    cycle: &mut SchedulingCycle,
    queue: Vec<String>,
    budget: Budget,
) {
    let Budget { now, now_ms, .. } = budget;
    let leads = state.is_leader(&controller.identity);
    let ControllerState { records, scheduling, drains, .. } = state;
    let holds = &mut drains.holds;
    let world: &Replica = &records.replica;
    scheduling.guaranteed.refresh(world, &controller.teams);
    free_what_ended(world, inventory, cycle);
    scheduling.reservations.retain(|id, r| now < r.until && queue.contains(id));
    scheduling.last_victim_search.retain(|_, t| now.saturating_duration_since(*t) < SEARCH_PAUSE);
    for (id, reservation) in &scheduling.reservations {
        let Some(spec) = world.jobs.get(id).and_then(|j| j.value.spec.as_deref()) else { continue };
        inventory.reserve(&reservation.machines, Resources::of_task(spec), 1.0);
    }
    hold_for_drains(world, inventory, holds, &mut scheduling.reservations, &queue, now);
    let longest: HashSet<&str> = placement::longest_waiting(world, now_ms).into_iter().collect();
    let queue = in_order(controller, world, queue, &scheduling.guaranteed.jobs, &longest, now_ms);
    let mut pass = Pass {
        controller,
        world,
        inventory,
        claims: claims(controller, world, cycle, &queue),
        cycle,
        budget,
        leads,
        longest,
        scheduling,
        running: None,
        // Services start within seconds, on room that is there: some is kept from
        // everything else.
        expected: forecast::expected_services(world, now_ms),
    };
    for id in queue {
        pass.place_job(id);
    }
}

/// What this cycle has ended is free already.
fn free_what_ended(world: &Replica, inventory: &mut Inventory, cycle: &SchedulingCycle) {
    for (id, record) in &cycle.jobs {
        let Some(old) = world.jobs.get(id) else { continue };
        let Some(spec) = old.value.spec.as_deref() else { continue };
        let size = Resources::of_task(spec);
        for a in &old.value.assignments {
            if record.assignments.binary_search_by_key(&a.task, |b| b.task).is_ok() {
                continue;
            }
            inventory.reserve(std::slice::from_ref(&a.machine), size, -1.0);
            if let Some(u) = inventory.team_usage.get_mut(&spec.team) {
                *u = u.plus_scaled(size, -1.0);
            }
        }
    }
}

/// One pass over the queue: what it looks at, and what it leaves behind.
struct Pass<'a, 'w> {
    controller: &'a Controller,
    world: &'w Replica,
    inventory: &'a mut Inventory,
    cycle: &'a mut SchedulingCycle,
    budget: Budget,
    leads: bool,
    claims: Vec<Claim>,
    /// The gangs that have waited longest, for which room is collected.
    longest: HashSet<&'w str>,
    /// What is remembered from one cycle to the next.
    scheduling: &'a mut SchedulingState,
    /// All that runs, once it was looked for.
    running: Option<preempt::Running<'w>>,
    /// Services to be expected, until room is kept for them.
    expected: Option<(JobSpec, u32)>,
}

/// A job that a pass tries to place.
struct Candidate<'a> {
    id: &'a str,
    spec: &'a JobSpec,
    team: &'a Team,
    priority: Priority,
    size: Resources,
    /// Whether it belongs to this controller's part, and so goes on its machines only.
    in_part: bool,
}

/// What came of looking for a place.
struct Found {
    placed: Vec<Assignment>,
    /// Whether the places of GPU jobs may be taken.
    last_resort: bool,
}

impl Pass<'_, '_> {
    fn place_job(&mut self, id: String) {
        let world = self.world;
        let Some(old) = self.cycle.jobs.get(&id).or_else(|| world.jobs.get(&id).map(|j| &j.value)) else {
            return;
        };
        let Some(spec) = old.spec.as_deref() else { return };
        let controller = self.controller;
        let Some(team) = controller.team(&spec.team) else { return };
        // A job that has a change in this cycle anyway costs no further one.
        let cost = usize::from(!self.cycle.jobs.contains_key(&id))
            + usize::from(!self.cycle.teams.contains(&spec.team));
        if self.cycle.write_count() + cost > self.budget.ops {
            return;
        }
        let mut job = old.clone();
        let spec = spec.clone();
        let candidate = Candidate {
            id: &id,
            spec: &spec,
            team,
            priority: job.priority().unwrap_or(spec.priority),
            size: Resources::of_task(&spec),
            in_part: job.shard.as_deref() == Some(controller.identity.name.as_str()),
        };
        self.keep_room_for_services(&spec);
        let held = self.scheduling.reservations.get(&id).map(|r| r.machines.clone()).unwrap_or_default();
        self.inventory.reserve(&held, candidate.size, -1.0);
        let Found { placed, last_resort } = self.find_place(&candidate, &mut job, &held);
        if !placed.is_empty() {
            self.note_placed(&candidate, job, placed);
            return;
        }
        self.inventory.reserve(&held, candidate.size, 1.0);
        if !candidate.in_part {
            self.make_room(&candidate, &job, last_resort);
            self.collect_room(&candidate);
        } else if placement::retry_at_ms(&job) <= self.budget.now_ms {
            job.shard = None;
            self.cycle.events.push(SchedulingEvent::Escalated { job: id.clone() });
            self.cycle.jobs.insert(id, job);
        }
    }

    /// Before the first job that is no service, room is set aside for services to come.
    fn keep_room_for_services(&mut self, next: &JobSpec) {
        if next.kind == JobKind::Service {
            return;
        }
        let Some((service, tasks)) = self.expected.take() else { return };
        let room = placement::capacity_for(self.world, self.inventory, &service, tasks, self.budget.now_ms);
        self.inventory.reserve(&room, Resources::of_task(&service), 1.0);
    }

    fn find_place(&mut self, candidate: &Candidate, job: &mut JobRecord, held: &[Name]) -> Found {
        let Candidate { spec, team, in_part, .. } = *candidate;
        let (world, me, leads) = (self.world, &self.controller.identity, self.leads);
        let reach = |s: &placement::Slot| leads && !in_part || s.owner == me.incarnation;
        let limits = placement::Limits {
            max_tasks: self.controller.max_assignments_per_record().saturating_sub(job.assignments.len()),
            task_window: self.controller.task_window(),
            may_strand_gpus: false,
            gang_wait_s: self.controller.settings.facts.workers.gang_wait_s,
            now_ms: self.budget.now_ms,
        };
        let claim = self.claims_against(candidate, job);
        claim_share(self.inventory, &spec.team, claim, 1.0);
        // What the leader collects room for comes first.
        let mut placed = if in_part && competes_with(world, spec, self.longest.iter().copied()) {
            Vec::new()
        } else {
            placement::place(world, self.inventory, job, team, reach, limits)
        };
        claim_share(self.inventory, &spec.team, claim, -1.0);
        // A service that finds no other room takes, in this order: room that was
        // made for it, room of array tasks, room that GPU jobs could use, and at
        // last the place of a GPU job.
        let mut last_resort = spec.gpus > 0.0;
        if placed.is_empty() && spec.kind == JobKind::Service && !in_part {
            let limits = placement::Limits { may_strand_gpus: true, ..limits };
            if !held.is_empty() {
                placed = placement::place_at(world, self.inventory, job, team, held, limits);
            } else if !self.arrays_could_make_way(candidate) {
                placed = placement::place(world, self.inventory, job, team, reach, limits);
                last_resort = placed.is_empty();
            }
        }
        Found { placed, last_resort }
    }

    /// What of its team's limit others wait for that come before an array.
    fn claims_against(&self, candidate: &Candidate, job: &JobRecord) -> Resources {
        if candidate.spec.kind != JobKind::Array {
            return Resources::default();
        }
        let pressed = placement::is_deadline_pressing(job, self.budget.now_ms);
        let holds = |c: &&Claim| {
            c.team == candidate.spec.team && c.priority >= candidate.priority && !(c.gang && pressed)
        };
        self.claims.iter().filter(holds).fold(Resources::default(), |sum, c| sum.plus_scaled(c.amount, 1.0))
    }

    /// Whether a service would find room where GPU jobs lose none. Not looked for any more
    /// after many searches in one cycle.
    fn arrays_could_make_way(&mut self, candidate: &Candidate) -> bool {
        if self.cycle.victim_searches >= SEARCHES {
            return false;
        }
        self.cycle.victim_searches += 1;
        let (world, spec) = (self.world, candidate.spec);
        let whole = |s: &placement::Slot| placement::gpu_slots_lost(world, spec, s) == 0;
        let running = self.running.get_or_insert_with(|| preempt::Running::new(world, self.inventory));
        let asker = (spec, candidate.priority);
        preempt::find_victims(
            running,
            self.inventory,
            asker,
            &self.scheduling.guaranteed.jobs,
            &[],
            true,
            whole,
        )
        .is_some()
    }

    fn note_placed(&mut self, candidate: &Candidate, job: Box<JobRecord>, placed: Vec<Assignment>) {
        let Candidate { id, spec, size, .. } = *candidate;
        if spec.kind == JobKind::Gang && !may_be_written(self.controller, id, &job) {
            // Nobody else is to wait for room that it cannot take.
            info!(job = id, "a gang of so many machines waits until all controllers are upgraded");
            self.scheduling.hold_back(id.to_owned(), self.budget.now);
            self.give_up(spec, &placed);
            return;
        }
        self.cycle.events.push(SchedulingEvent::Placed {
            job: id.to_owned(),
            tasks: placed.len(),
            attempt: job.attempt,
        });
        self.cycle.teams.insert(spec.team.clone());
        self.cycle.placed_jobs.insert(id.to_owned());
        // The rest of the room that is made for it stays its own: given to others, it
        // would be made again and again (recorded: a task was stopped eight times).
        if let Some(Reservation { machines, until }) = self.scheduling.reservations.remove(id) {
            let left = still_held(machines, &placed, placement::pending_task_count(&job));
            if !left.is_empty() {
                self.inventory.reserve(&left, size, 1.0);
                let left = Reservation { machines: left, until };
                self.scheduling.reservations.insert(id.to_owned(), left);
            }
        }
        self.cycle.jobs.insert(id.to_owned(), job);
    }

    /// What was placed is not to be after all.
    fn give_up(&mut self, spec: &JobSpec, placed: &[Assignment]) {
        let size = Resources::of_task(spec);
        let machines: Vec<Name> = placed.iter().map(|a| a.machine.clone()).collect();
        self.inventory.reserve(&machines, size, -1.0);
        if let Some(used) = self.inventory.team_usage.get_mut(&spec.team) {
            *used = used.plus_scaled(size, -(machines.len() as f64));
        }
    }

    /// A large gang never starts if smaller work takes every place that comes
    /// free: what is there is kept for it until the rest is.
    fn collect_room(&mut self, candidate: &Candidate) {
        let Candidate { id, spec, team, size, .. } = *candidate;
        if !self.longest.contains(id) || self.scheduling.reservations.contains_key(id) {
            return;
        }
        let in_use = self.inventory.team_usage.get(&spec.team).copied().unwrap_or_default();
        let quota = team.limit().plus_scaled(in_use.without_memory(), -1.0);
        if size.count_fitting_in(quota) >= spec.tasks {
            let (leads, me) = (self.leads, self.controller.identity.incarnation);
            let room = placement::collectable_capacity(self.inventory, spec, |s| leads || s.owner == me);
            self.inventory.reserve(&room, size, 1.0);
        }
    }

    /// Stops what may be stopped so that the job, or the first tasks of it, will fit.
    fn make_room(&mut self, candidate: &Candidate, job: &JobRecord, last_resort: bool) {
        let Candidate { id, spec, .. } = *candidate;
        if self.scheduling.reservations.contains_key(id) || !self.may_search(candidate, job) {
            return;
        }
        self.scheduling.last_victim_search.insert(id.to_owned(), self.budget.now);
        // A gang needs room for all its tasks; others start as room is made.
        let gang = spec.kind == JobKind::Gang;
        let tasks = if gang { spec.tasks } else { placement::pending_task_count(job).min(PREEMPT_MOST) };
        let Some(room) = self.find_victims(candidate, tasks, last_resort) else { return };
        let save = |v: &preempt::Victim| {
            self.world
                .jobs
                .get(&v.job)
                .and_then(|j| j.value.spec.as_ref())
                .map_or(0.0, |s| s.checkpoint_save_s)
        };
        // Of the team's own work none holds a machine that is waited for.
        let save_s = match room.machines.is_empty() {
            true => 0.0,
            false => room.victims.iter().map(save).fold(0.0, f64::max).min(SAVE_MOST_S),
        };
        let until = self.budget.now + RESERVE_FOR + wire::seconds(save_s);
        let reservation = Reservation { machines: room.machines, until };
        self.scheduling.reservations.insert(id.to_owned(), reservation);
        for v in room.victims {
            let Some(record) = record_for_update(self.cycle, self.world, &v.job) else { continue };
            preempt::mark_to_stop(record, &v);
            self.cycle.events.push(SchedulingEvent::Preempted { by: id.to_owned(), victim: v });
        }
    }

    /// Whether it may be looked for what could be stopped for a job. A look at all that
    /// runs everywhere is dear, and what has not helped just now does not help yet.
    fn may_search(&self, candidate: &Candidate, job: &JobRecord) -> bool {
        let Budget { now, now_ms, .. } = self.budget;
        let gang = candidate.spec.kind == JobKind::Gang;
        let again = if gang { SEARCH_PAUSE } else { SEARCH_PAUSE / 3 };
        let recent = |t: &Instant| now.saturating_duration_since(*t) < again;
        placement::retry_at_ms(job) <= now_ms
            && (!gang || job.assignments.is_empty())
            && !is_patient(job, now_ms)
            && self.cycle.victim_searches < SEARCHES
            && !self.scheduling.last_victim_search.get(candidate.id).is_some_and(recent)
    }

    /// What to stop for so many tasks, and where; the room is taken on the inventory.
    fn find_victims(&mut self, candidate: &Candidate, tasks: u32, last_resort: bool) -> Option<Room> {
        let Candidate { spec, team, priority, size, .. } = *candidate;
        let world = self.world;
        let in_use = world.team_usage.get(&spec.team).copied().unwrap_or_default();
        let quota = team.limit().plus_scaled(in_use.without_memory(), -1.0);
        if size.count_fitting_in(quota) < tasks {
            let victims =
                preempt::find_victims_within_team(world, self.inventory, (spec, priority), tasks, team)?;
            return Some(Room { machines: Vec::new(), victims });
        }
        let whole = |s: &placement::Slot| last_resort || placement::gpu_slots_lost(world, spec, s) == 0;
        let mut room = Room { machines: Vec::new(), victims: Vec::new() };
        for _ in 0..tasks {
            self.cycle.victim_searches += 1;
            let running = self.running.get_or_insert_with(|| preempt::Running::new(world, self.inventory));
            let asker = (spec, priority);
            let found = preempt::find_victims(
                running,
                self.inventory,
                asker,
                &self.scheduling.guaranteed.jobs,
                &room.victims,
                !last_resort,
                whole,
            );
            let Some((machine, victims)) = found else { break };
            self.inventory.reserve(std::slice::from_ref(&machine), size, 1.0);
            room.machines.push(machine);
            room.victims.extend(victims);
        }
        let too_few = spec.kind == JobKind::Gang && room.machines.len() < tasks as usize;
        if room.victims.is_empty() || too_few {
            self.inventory.reserve(&room.machines, size, -1.0);
            return None;
        }
        Some(room)
    }
}

/// Room that is made by stopping others.
struct Room {
    machines: Vec<Name>,
    victims: Vec<preempt::Victim>,
}

/// Whether a gang's record fits into a value, or may be written in parts.
fn may_be_written(controller: &Controller, id: &str, job: &JobRecord) -> bool {
    let plan = controller.state_limits();
    // Below this many assignments it surely fits.
    let surely = (plan.value_bytes / GANG_TASK_BYTES) as usize / 2;
    plan.chunked
        || job.assignments.len() < surely
        || KeyWrite::new(key::job(id), job).value_len() as f64 <= plan.value_bytes
}

/// What is still held for a job of which some tasks were placed.
fn still_held(mut machines: Vec<Name>, placed: &[Assignment], pending: u32) -> Vec<Name> {
    for a in placed {
        if let Some(i) = machines.iter().position(|m| *m == a.machine) {
            machines.swap_remove(i);
        }
    }
    machines.truncate(pending as usize);
    machines
}

/// How long the tasks of a pipeline's arrays wait for room that comes free by itself
/// before others are stopped for them, if there is time: where hundreds run, some end
/// every second, and what is stopped has to be done again.
const PATIENCE_MS: u64 = 3000;
/// The time that has to be left for that.
const SLACK_MS: u64 = 15_000;

fn is_patient(job: &JobRecord, now_ms: u64) -> bool {
    // One whose priority is its own does not wait: it is what its user cares about.
    let inherits = |s: &JobSpec| s.kind == JobKind::Array && job.priority() > Some(s.priority);
    job.spec.as_deref().is_some_and(inherits)
        && job.in_pipeline()
        && now_ms.saturating_sub(job.submitted_ms) < PATIENCE_MS
        && job.latest_start_ms().is_some_and(|by| by > now_ms + SLACK_MS)
}

/// Whether room that the job could take is collected for a gang that has waited
/// longer. Only the leader, who collects it, then places such jobs.
pub(crate) fn collected_for(world: &Replica, spec: &JobSpec, now_ms: u64) -> bool {
    competes_with(world, spec, placement::longest_waiting(world, now_ms).into_iter())
}

/// Whether the job could take room that one of these gangs needs, and comes after it.
fn competes_with<'w>(world: &'w Replica, spec: &JobSpec, mut gangs: impl Iterator<Item = &'w str>) -> bool {
    let priority = world.jobs.get(&spec.id).map_or(Some(spec.priority), |j| j.value.priority());
    gangs.any(|id| {
        let Some(gang) = world.jobs.get(id).map(|j| &j.value).filter(|_| *id != *spec.id) else {
            return false;
        };
        let competes = gang.spec.as_deref().is_some_and(|g| placement::competes_for_capacity(spec, g));
        competes && gang.priority() >= priority
    })
}

#[cfg(test)]
#[path = "../../tests/unit/placer.rs"]
mod tests;
