//! The duty of drains: the leader takes one step after the other for all drains that are not
//! over. What is decided is in the package `drain`; here it is committed.
//!
//! A step: what was stopped and runs again is taken off the teams' records; cordons of drains
//! that end are lifted; what became of machines is noted; what may be stopped now is stopped.
//! Each is a transaction of its own, conditional on all records that it was decided from, so
//! that a step of a leader that has been replaced comes to nothing.

pub mod command;
mod disruptions;
mod eviction;
pub mod observe;
mod report;
pub mod state;
mod transactions;

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use drain::lifecycle::Event;
use drain::room::InventoryRoom;
use drain::step::{self, Decision, Drain, Limits};
use drain::view::{self, ObservedTasks};
use drain::waves::{self, Effort};
use sched::drain_records::{DisruptionRecord, DrainPhase, DrainRecord, Obstacle, ObstacleKind};
use sched::records::DRAINS_SCHEMA_VERSION;
use sched::replica::Replica;
use store::key;
use tokio::time::sleep;
use tracing::{info, warn};

use crate::clock;
use crate::controller::{Controller, wall_ms};
use crate::state::ControllerState;
pub(crate) use disruptions::disruption_condition;
pub use eviction::EvictionBudget;
use state::{DrainState, Hold};
use transactions::Transaction;

/// How often the duty looks at drains.
const TICK: Duration = Duration::from_millis(500);
/// Between its steps the duty leaves this many times the time that one took.
const LEAVE: u32 = 8;
/// Most units that one step stops.
const MOVES_MOST: usize = 16;
/// How often a drain's record is written for what it waits for.
const TOLD_EVERY: Duration = Duration::from_secs(2);
/// Machines come up within three times their usual boot; that, and some more for the rental
/// and the first report, is an attempt to get room.
const BOOTS: f64 = 3.0;
const ATTEMPT_REST_S: f64 = 45.0;
/// Boots longer than this are not waited for in full.
const BOOT_MOST_S: f64 = 600.0;
/// How long room is held for what was stopped, beyond the time that it needs to save.
const HOLD_FOR: Duration = Duration::from_secs(60);
/// Longest time to save that room is held for.
const SAVE_MOST_S: f64 = 600.0;

/// The leader's duty.
pub async fn duty(controller: Arc<Controller>) {
    let mut cost = Duration::ZERO;
    loop {
        sleep(TICK.max(cost * LEAVE)).await;
        cost = Duration::ZERO;
        if !is_due(&controller) {
            continue;
        }
        cost = take_step(&controller).await;
    }
}

/// Whether this controller leads, there is something to do, and its view of the records is
/// one to act by. What it knew otherwise is forgotten: another leads meanwhile.
fn is_due(controller: &Controller) -> bool {
    let mut state = controller.state();
    let busy = state.records.replica.drains.is_busy();
    let leads = state.is_leader(&controller.identity);
    if !leads || !busy {
        if !state.drains.asked.is_empty() || !state.drains.holds.is_empty() {
            state.drains = DrainState::default();
        }
        return false;
    }
    state.may_stop_work(clock::now())
}

/// One step; tells how long its decisions took.
async fn take_step(controller: &Arc<Controller>) -> Duration {
    tell_unreadable(&mut controller.state());
    for housekeeping in [transactions::settle, transactions::lift_cordons, transactions::note_outcomes] {
        let transaction = housekeeping(controller, &mut controller.state());
        if let Some(transaction) = transaction {
            transaction.commit(controller).await;
        }
    }
    plan_orders(controller);
    let begun = clock::now();
    let Some(Step { decision, ops }) = decide(controller) else { return clock::since(begun) };
    let cost = clock::since(begun);
    carry_out(controller, decision, ops).await;
    cost
}

/// Says once of each drain that its record cannot be read. Its machines stay cordoned.
fn tell_unreadable(state: &mut ControllerState) {
    let ControllerState { records, drains, .. } = state;
    let world = &records.replica;
    drains.unreadable.retain(|name| world.drains.unreadable.contains(name));
    for name in &world.drains.unreadable {
        if drains.unreadable.insert(name.clone()) {
            warn!(key = key::drain(name), "a drain cannot be read; its machines stay cordoned");
        }
    }
}

/// Has a solver look for an order of the machines of each new drain, on a thread of its own.
/// Until it has one, and if it finds none in its time, the greedy order serves.
fn plan_orders(controller: &Arc<Controller>) {
    let budgets = &controller.operators.drains.budgets;
    let mut state = controller.state();
    let ControllerState { records, drains, .. } = &mut *state;
    let world = &records.replica;
    drains.planned.retain(|name| world.drains.records.contains_key(name));
    let is_new = |name: &String| !drains.planned.contains(name);
    let active = world.drains.records.iter().filter(|(name, d)| d.value.is_active() && is_new(name));
    let Some(name) = active.map(|(name, _)| name.clone()).next() else { return };
    drains.planned.insert(name.clone());
    let names = view::machines_left(world, &name);
    let machines: Vec<step::Machine> =
        names.iter().map(|m| step::Machine { units: view::units_on(world, m), name: m.clone() }).collect();
    let problem = waves::problem(world, &machines, budgets);
    drop(state);
    let controller = controller.clone();
    let tasks = controller.task_tracker.clone();
    tasks.spawn(async move {
        let solve = move || waves::plan(&problem, &Effort::LEADER);
        let Ok((order, planned, method)) = tokio::task::spawn_blocking(solve).await else { return };
        info!(drain = name, machines = names.len(), waves = planned.len(), ?method, "the drain is planned");
        let order = order.into_iter().map(|i| names[i].clone()).collect();
        controller.state().drains.orders.insert(name, order);
    });
}

/// What a step decided, and how many changes there are for it.
struct Step {
    decision: Decision,
    ops: usize,
}

fn decide(controller: &Controller) -> Option<Step> {
    let now = clock::now();
    let mut state = controller.state();
    let budgets = &controller.operators.drains.budgets;
    let drains = view::active_drains(&state.records.replica, budgets, &state.drains.orders);
    state.drains.asked = view::jobs_to_ask(&state.records.replica, &drains, budgets);
    let running = observe::running(controller, &state, now);
    if drains.is_empty() {
        state.drains.wants_room.clear();
        return None;
    }
    let plan = controller.state_limits();
    let ops = state.writes.limiter.allowance(now).min(plan.txn_ops);
    let limits = Limits {
        moves: ops.min(MOVES_MOST),
        room_attempt: room_attempt(&state.records.replica),
        paused: paused(controller, &state.records.replica),
        now_ms: wall_ms(),
    };
    state.refresh_inventory(&controller.identity, controller.heartbeat_interval(), now);
    let mut inventory = std::mem::take(&mut state.scheduling.inventory);
    inventory.begin();
    let capacity = DisruptionRecord::capacity(plan.value_bytes);
    let decision = look(controller, &state, &mut inventory, &drains, &running, &limits, capacity);
    inventory.roll_back();
    state.scheduling.inventory = inventory;
    state.drains.wants_room = decision.wants_room.iter().cloned().collect();
    Some(Step { decision, ops })
}

fn look(
    controller: &Controller,
    state: &ControllerState,
    inventory: &mut sched::placement::Inventory,
    drains: &[Drain],
    running: &ObservedTasks,
    limits: &Limits,
    capacity: usize,
) -> Decision {
    let world = &state.records.replica;
    for (job, hold) in state.drains.holds.iter().filter(|(job, h)| h.is_needed(world, job)) {
        let Some(spec) = world.jobs.get(job).and_then(|j| j.value.spec.as_deref()) else { continue };
        inventory.reserve(&hold.machines, sched::replica::Resources::of_task(spec), 1.0);
    }
    let budgets = &controller.operators.drains.budgets;
    let services = view::services_concerned(world, drains, budgets);
    let team_of = |id: &str| team_of(controller, id);
    let mut ledger = view::ledger(world, &services, budgets, running, team_of, capacity);
    let mut room = InventoryRoom {
        world,
        inventory,
        teams: &controller.teams,
        gang_wait_s: controller.settings.facts.workers.gang_wait_s,
        now_ms: limits.now_ms,
    };
    step::decide(drains, &mut ledger, &mut room, limits)
}

/// The name of the team that an id in a key stands for.
pub fn team_of(controller: &Controller, id: &str) -> String {
    let found = controller.teams.iter().find(|t| key::team_id(&t.name) == id);
    found.map_or_else(|| id.to_owned(), |t| t.name.clone())
}

/// How long an attempt to get room may take.
fn room_attempt(world: &Replica) -> Duration {
    let boot_s = world.machine_types.values().map(|t| t.boot_s).fold(0.0, f64::max).min(BOOT_MOST_S);
    wire::seconds(boot_s * BOOTS + ATTEMPT_REST_S)
}

/// Why nothing may be stopped at all: a controller that knows no drains, or has them switched
/// off, could place something on a machine that is being drained.
pub fn paused(controller: &Controller, world: &Replica) -> Option<Obstacle> {
    let names =
        controller.settings.peers.iter().map(|p| &p.node_name).chain([&controller.settings.node_name]);
    let knows = |name: &String| world.schema_versions.get(name).is_some_and(|s| *s >= DRAINS_SCHEMA_VERSION);
    names.chain(world.members.keys()).find(|name| !knows(name)).map(|name| Obstacle {
        kind: ObstacleKind::OldController,
        team: String::new(),
        job: name.clone(),
        machine: String::new(),
        since_ms: 0,
    })
}

/// Commits what a step decided: moves, as many at a time as one transaction holds, then the
/// records of drains that nothing was moved for.
async fn carry_out(controller: &Controller, decision: Decision, ops: usize) {
    let Decision { moves, mut records, .. } = decision;
    let mut moves = moves.as_slice();
    let mut moved: HashSet<String> = HashSet::new();
    let mut left = ops;
    while !moves.is_empty() && left > 1 {
        let built = transactions::stop(controller, &controller.state(), moves, left);
        let Some((transaction, taken)) = built else { break };
        left = left.saturating_sub(transaction.puts());
        let some = &moves[..taken];
        if !transaction.commit(controller).await {
            return;
        }
        hold_room(controller, some);
        for m in some {
            moved.insert(m.drain.clone());
            let (job, task, machine) = (&*m.unit.id.job, m.unit.id.task, &*m.machine);
            info!(drain = m.drain, job, task, machine, "stopped: its machine is being drained");
        }
        moves = &moves[taken..];
    }
    records.retain(|(name, _)| !moved.contains(name));
    for (name, record) in records {
        tell(controller, &name, record).await;
    }
}

/// Keeps the room that was found for what was stopped until it is placed there.
fn hold_room(controller: &Controller, moves: &[step::Move]) {
    let now = clock::now();
    let mut state = controller.state();
    let ControllerState { records, drains, .. } = &mut *state;
    let world = &records.replica;
    for m in moves {
        let Some(job) = world.jobs.get(&*m.unit.id.job).map(|j| &j.value) else { continue };
        let save_s = job.spec.as_ref().map_or(0.0, |s| s.checkpoint_save_s.min(SAVE_MOST_S));
        let until = now + HOLD_FOR + wire::seconds(save_s);
        let hold = drains.holds.entry(m.unit.id.job.to_string());
        let hold = hold.or_insert_with(|| Hold { machines: Vec::new(), until });
        hold.machines.extend(m.room.iter().cloned());
        hold.until = until;
    }
}

/// Writes a drain's record: at once if it ends, else every few seconds at the most.
async fn tell(controller: &Controller, name: &str, record: DrainRecord) {
    let transaction = {
        let mut state = controller.state();
        let now = clock::now();
        let recent =
            state.drains.told.get(name).is_some_and(|t| now.saturating_duration_since(*t) < TOLD_EVERY);
        if recent && record.is_active() {
            return;
        }
        state.drains.told.insert(name.to_owned(), now);
        let Some(known) = state.records.replica.drains.records.get(name) else { return };
        let mut transaction = Transaction::new(&state.records.replica);
        transaction.put_drain(name, record.clone(), known.version);
        transaction
    };
    if transaction.commit(controller).await
        && let DrainPhase::Closing(end) = record.phase
    {
        info!(drain = name, ?end, obstacle = ?record.obstacle, "the drain ends");
    }
}

/// Applies an event to a drain's record; None if it does not fit.
fn after(record: &DrainRecord, event: Event) -> Option<DrainRecord> {
    let mut record = record.clone();
    drain::lifecycle::apply(&mut record, event, wall_ms()).ok().map(|()| record)
}

#[cfg(test)]
#[path = "../../tests/unit/drains.rs"]
mod tests;
