//! One look at all drains: what to stop now, and how their records change.

use std::time::Duration;

use sched::drain_records::{DrainRecord, Obstacle, ObstacleKind, UnsavedWork};
use sched::hash::HashMap;
use sched::records::Name;

use crate::budget::{Ledger, UnitId};
use crate::lifecycle::{self, Event};

/// How a unit takes being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Work {
    /// A replica of a service: it is up again once its replacement runs.
    Replica,
    /// It saves its progress when it is stopped.
    Saving,
    /// What it has done since its start is lost.
    Unsaved,
}

/// Something on a machine that is stopped as one.
#[derive(Debug, Clone, PartialEq)]
pub struct Unit {
    /// Its job and task.
    pub id: UnitId,
    /// Its team.
    pub team: String,
    /// How it takes being stopped.
    pub work: Work,
    /// It is told to stop already.
    pub stopping: bool,
}

/// A machine that is to be drained.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    /// Its name.
    pub name: Name,
    /// What is on it. A gang is on each of its machines.
    pub units: Vec<Unit>,
}

/// A drain that is not over, with the machines that are left of it in the order in which
/// they should be emptied.
#[derive(Debug, Clone, PartialEq)]
pub struct Drain {
    /// Its name.
    pub name: String,
    /// Its record.
    pub record: DrainRecord,
    /// The machines that are still there.
    pub machines: Vec<Machine>,
}

/// What bounds a step, and what time it is.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Most units to stop.
    pub moves: usize,
    /// How long machines take to be rented and to boot, with a reserve.
    pub room_attempt: Duration,
    /// Nothing may be stopped now, for this reason.
    pub paused: Option<Obstacle>,
    /// The time of day.
    pub now_ms: u64,
}

/// Finds room for what is to be moved. What it has found is held for the rest of the step.
pub trait FindRoom {
    /// Where the unit could go; None if there is no room for it.
    fn find(&mut self, unit: &UnitId) -> Option<Vec<Name>>;
}

/// A unit that is to be stopped, as there is room for it.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// The drain that it is stopped for.
    pub drain: String,
    /// The machine that it is on.
    pub machine: Name,
    /// What is stopped.
    pub unit: Unit,
    /// The room that was found for it.
    pub room: Vec<Name>,
}

/// What a step decides.
#[derive(Debug, Default)]
pub struct Decision {
    /// What to stop, in this order.
    pub moves: Vec<Move>,
    /// The records of drains after the step, but for what the moves add to them.
    pub records: Vec<(String, DrainRecord)>,
    /// Machines whose work waits for room that should be rented.
    pub wants_room: Vec<Name>,
}

/// Decides what to do for all drains, in the order of their names. Each has its turn: a step
/// stops no more of one than its part of all moves as long as others have any.
pub fn decide(drains: &[Drain], ledger: &mut Ledger, room: &mut impl FindRoom, limits: &Limits) -> Decision {
    let mut decision = Decision::default();
    let mut stopped: HashMap<UnitId, ()> = HashMap::default();
    let active = drains.iter().filter(|d| d.record.is_active()).count().max(1);
    let part = limits.moves.div_ceil(active);
    for drain in drains.iter().filter(|d| d.record.is_active()) {
        let mut look = Look {
            drain,
            limits,
            moves_left: part.min(limits.moves.saturating_sub(decision.moves.len())),
            obstacle: None,
            room_missing: false,
            unsaved_only: true,
            decision: &mut decision,
        };
        for machine in &drain.machines {
            for unit in &machine.units {
                look.at_unit(machine, unit, ledger, room, &mut stopped);
            }
            look.at_machine(machine);
        }
        look.finish();
    }
    decision
}

/// A look at one drain.
struct Look<'a> {
    drain: &'a Drain,
    limits: &'a Limits,
    moves_left: usize,
    /// The first thing that it waits for.
    obstacle: Option<Obstacle>,
    /// Something could be stopped if there were room for it.
    room_missing: bool,
    /// All that is left cannot save and is to be left running.
    unsaved_only: bool,
    decision: &'a mut Decision,
}

impl Look<'_> {
    fn waits_for(&mut self, kind: ObstacleKind, machine: &Machine, unit: Option<&Unit>) {
        let obstacle = || Obstacle {
            kind,
            team: unit.map(|u| u.team.clone()).unwrap_or_default(),
            job: unit.map(|u| u.id.job.to_string()).unwrap_or_default(),
            machine: machine.name.to_string(),
            since_ms: 0,
        };
        self.obstacle.get_or_insert_with(obstacle);
    }

    /// Stops a unit if it may be stopped now and there is room for it.
    fn at_unit(
        &mut self,
        machine: &Machine,
        unit: &Unit,
        ledger: &mut Ledger,
        room: &mut impl FindRoom,
        stopped: &mut HashMap<UnitId, ()>,
    ) {
        if unit.stopping || stopped.contains_key(&unit.id) {
            self.unsaved_only = false;
            return self.waits_for(ObstacleKind::Stopping, machine, Some(unit));
        }
        let record = &self.drain.record;
        if unit.work == Work::Unsaved {
            let waited_ms = self.limits.now_ms.saturating_sub(record.started_ms);
            if waited_ms < record.patience_ms {
                self.unsaved_only = false;
                return self.waits_for(ObstacleKind::CannotSave, machine, Some(unit));
            }
            if record.unsaved == UnsavedWork::Leave {
                return self.waits_for(ObstacleKind::CannotSave, machine, Some(unit));
            }
        }
        self.unsaved_only = false;
        if self.limits.paused.is_some() || self.moves_left == 0 {
            return;
        }
        if let Err(refusal) = ledger.check(&unit.team, &unit.id) {
            return self.waits_for(refusal.into(), machine, Some(unit));
        }
        let Some(found) = room.find(&unit.id) else {
            self.room_missing = true;
            if lifecycle::wants_room(record, self.limits.now_ms)
                && !self.decision.wants_room.contains(&machine.name)
            {
                self.decision.wants_room.push(machine.name.clone());
            }
            return self.waits_for(ObstacleKind::NoCapacity, machine, Some(unit));
        };
        ledger.debit(&unit.team, &unit.id);
        stopped.insert(unit.id.clone(), ());
        self.moves_left -= 1;
        self.decision.moves.push(Move {
            drain: self.drain.name.clone(),
            machine: machine.name.clone(),
            unit: unit.clone(),
            room: found,
        });
    }

    /// A machine on which nothing is left waits to be given back.
    fn at_machine(&mut self, machine: &Machine) {
        if machine.units.is_empty() {
            self.unsaved_only = false;
            self.waits_for(ObstacleKind::ScalingIn, machine, None);
        }
    }

    /// Brings the drain's record up to date.
    fn finish(self) {
        let mut record = self.drain.record.clone();
        for event in self.events() {
            // What closes the drain makes the rest of no use.
            if lifecycle::apply(&mut record, event, self.limits.now_ms).is_err() {
                break;
            }
        }
        if record != self.drain.record {
            self.decision.records.push((self.drain.name.clone(), record));
        }
    }

    /// What has come to pass with the drain.
    fn events(&self) -> Vec<Event> {
        if self.drain.machines.is_empty() {
            return vec![Event::AllGone];
        }
        let mut events = Vec::new();
        let moved = self.decision.moves.iter().any(|m| m.drain == self.drain.name);
        if self.limits.paused.is_none() {
            let missing = self.room_missing && !moved;
            let attempt = self.limits.room_attempt;
            events.push(if missing { Event::RoomMissing { attempt } } else { Event::RoomNotNeeded });
        }
        events.push(Event::Waits(self.limits.paused.clone().or_else(|| self.obstacle.clone())));
        if self.unsaved_only {
            events.push(Event::OnlyUnsavedLeft);
        }
        events
    }
}

#[cfg(test)]
#[path = "../tests/unit/step.rs"]
mod tests;
