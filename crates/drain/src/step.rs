//! One step of all drains: decides which units to stop now and how the drains' records change.

use std::time::Duration;

use sched::drain_records::{DrainRecord, Obstacle, ObstacleKind, UnsavedWork};
use sched::hash::HashMap;
use sched::records::Name;

use crate::budget::{Ledger, UnitId};
use crate::lifecycle::{self, Event};

/// What happens to the work of a unit when it is stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// A replica of a service, which is down until its replacement runs.
    Replica,
    /// The unit saves its progress when it is stopped.
    Checkpointing,
    /// The unit cannot save its progress: all work since its start is lost.
    Unsaved,
}

/// A replica, array task or gang on a machine, which is stopped as a whole.
#[derive(Debug, Clone, PartialEq)]
pub struct Unit {
    /// The job and the task.
    pub id: UnitId,
    /// The team of the job.
    pub team: String,
    /// What happens to its work when it is stopped.
    pub work: WorkKind,
    /// Whether it has already been told to stop.
    pub stopping: bool,
}

/// A machine that is to be drained.
#[derive(Debug, Clone, PartialEq)]
pub struct Machine {
    /// Its name.
    pub name: Name,
    /// The units on it. A gang is listed on each of its machines.
    pub units: Vec<Unit>,
}

/// A drain that is not over, with its remaining machines in the order in which they should be
/// emptied.
#[derive(Debug, Clone, PartialEq)]
pub struct Drain {
    /// Its name.
    pub name: String,
    /// Its record.
    pub record: DrainRecord,
    /// The machines that still exist.
    pub machines: Vec<Machine>,
}

/// The limits of a step, and its time.
#[derive(Debug, Clone)]
pub struct Limits {
    /// The most units to stop.
    pub moves: usize,
    /// The longest time of an attempt to get capacity: for machines to be rented and to boot, with a
    /// reserve.
    pub capacity_attempt_timeout: Duration,
    /// If set, nothing may be stopped now because of this obstacle.
    pub paused: Option<Obstacle>,
    /// The wall-clock time, in milliseconds.
    pub now_ms: u64,
}

/// Finds capacity for units that are to be moved, and holds it for the rest of the step.
pub trait FindCapacity {
    /// The machines that the unit could move to; None if there is no capacity for it.
    fn find(&mut self, unit: &UnitId) -> Option<Vec<Name>>;
}

/// A unit that is to be stopped and has capacity elsewhere.
#[derive(Debug, Clone, PartialEq)]
pub struct Move {
    /// The drain that it is stopped for.
    pub drain: String,
    /// The machine that it is on.
    pub machine: Name,
    /// The unit.
    pub unit: Unit,
    /// The machines that have capacity for it, one for each task.
    pub destinations: Vec<Name>,
}

/// The decisions of a step.
#[derive(Debug, Default)]
pub struct Decision {
    /// The units to stop, in this order.
    pub moves: Vec<Move>,
    /// The records of drains that the step changes, without the counts of its moves.
    pub records: Vec<(String, DrainRecord)>,
    /// Machines whose units wait for capacity that has to be rented.
    pub machines_awaiting_capacity: Vec<Name>,
}

/// Decides on one step of all drains, in the order given. Each active drain may use at most an equal
/// share of the step's moves, rounded up, so that no drain keeps the others from progressing.
pub fn decide(
    drains: &[Drain],
    ledger: &mut Ledger,
    capacity: &mut impl FindCapacity,
    limits: &Limits,
) -> Decision {
    let mut decision = Decision::default();
    let mut stopped: HashMap<UnitId, ()> = HashMap::default();
    let active = drains.iter().filter(|d| d.record.is_active()).count().max(1);
    let moves_per_drain = limits.moves.div_ceil(active);
    for drain in drains.iter().filter(|d| d.record.is_active()) {
        let mut evaluation = DrainEvaluation {
            drain,
            limits,
            moves_left: moves_per_drain.min(limits.moves.saturating_sub(decision.moves.len())),
            obstacle: None,
            capacity_missing: false,
            only_unsaved_work_left: true,
            decision: &mut decision,
        };
        for machine in &drain.machines {
            for unit in &machine.units {
                evaluation.evaluate_unit(machine, unit, ledger, capacity, &mut stopped);
            }
            evaluation.evaluate_machine(machine);
        }
        evaluation.finish();
    }
    decision
}

/// The evaluation of one drain in a step.
struct DrainEvaluation<'a> {
    drain: &'a Drain,
    limits: &'a Limits,
    moves_left: usize,
    /// The first obstacle that was met.
    obstacle: Option<Obstacle>,
    /// Whether some unit could be stopped if there were capacity for it.
    capacity_missing: bool,
    /// Whether all remaining units cannot save their progress and are to be left running.
    only_unsaved_work_left: bool,
    decision: &'a mut Decision,
}

impl DrainEvaluation<'_> {
    /// Records an obstacle unless one was met before.
    fn record_first_obstacle(&mut self, kind: ObstacleKind, machine: &Machine, unit: Option<&Unit>) {
        let obstacle = || Obstacle {
            kind,
            team: unit.map(|u| u.team.clone()).unwrap_or_default(),
            job: unit.map(|u| u.id.job.to_string()).unwrap_or_default(),
            machine: machine.name.to_string(),
            since_ms: 0,
        };
        self.obstacle.get_or_insert_with(obstacle);
    }

    /// Decides to stop a unit if it may be stopped now and there is capacity for it; else records
    /// what it waits for.
    fn evaluate_unit(
        &mut self,
        machine: &Machine,
        unit: &Unit,
        ledger: &mut Ledger,
        capacity: &mut impl FindCapacity,
        stopped: &mut HashMap<UnitId, ()>,
    ) {
        if unit.stopping || stopped.contains_key(&unit.id) {
            self.only_unsaved_work_left = false;
            return self.record_first_obstacle(ObstacleKind::Stopping, machine, Some(unit));
        }
        let record = &self.drain.record;
        if unit.work == WorkKind::Unsaved {
            let waited_ms = self.limits.now_ms.saturating_sub(record.started_ms);
            if waited_ms < record.patience_ms {
                self.only_unsaved_work_left = false;
                return self.record_first_obstacle(ObstacleKind::CannotSave, machine, Some(unit));
            }
            if record.unsaved == UnsavedWork::Leave {
                return self.record_first_obstacle(ObstacleKind::CannotSave, machine, Some(unit));
            }
        }
        self.only_unsaved_work_left = false;
        if self.limits.paused.is_some() || self.moves_left == 0 {
            return;
        }
        if let Err(exceeded) = ledger.check(&unit.team, &unit.id) {
            return self.record_first_obstacle(exceeded.into(), machine, Some(unit));
        }
        let Some(found) = capacity.find(&unit.id) else {
            self.capacity_missing = true;
            if lifecycle::is_seeking_capacity(record, self.limits.now_ms)
                && !self.decision.machines_awaiting_capacity.contains(&machine.name)
            {
                self.decision.machines_awaiting_capacity.push(machine.name.clone());
            }
            return self.record_first_obstacle(ObstacleKind::NoCapacity, machine, Some(unit));
        };
        ledger.debit(&unit.team, &unit.id);
        stopped.insert(unit.id.clone(), ());
        self.moves_left -= 1;
        self.decision.moves.push(Move {
            drain: self.drain.name.clone(),
            machine: machine.name.clone(),
            unit: unit.clone(),
            destinations: found,
        });
    }

    /// Records that an empty machine waits to be released.
    fn evaluate_machine(&mut self, machine: &Machine) {
        if machine.units.is_empty() {
            self.only_unsaved_work_left = false;
            self.record_first_obstacle(ObstacleKind::ScalingIn, machine, None);
        }
    }

    /// Applies the events of this step to the drain's record.
    fn finish(self) {
        let mut record = self.drain.record.clone();
        for event in self.events() {
            // An event has closed the drain; the later ones do not apply any more.
            if lifecycle::apply(&mut record, event, self.limits.now_ms).is_err() {
                break;
            }
        }
        if record != self.drain.record {
            self.decision.records.push((self.drain.name.clone(), record));
        }
    }

    /// The events of this step.
    fn events(&self) -> Vec<Event> {
        if self.drain.machines.is_empty() {
            return vec![Event::AllMachinesGone];
        }
        let mut events = Vec::new();
        let moved = self.decision.moves.iter().any(|m| m.drain == self.drain.name);
        if self.limits.paused.is_none() {
            let is_missing = self.capacity_missing && !moved;
            let attempt = self.limits.capacity_attempt_timeout;
            events.push(if is_missing {
                Event::CapacityMissing { attempt }
            } else {
                Event::CapacityNotNeeded
            });
        }
        events.push(Event::ObstacleObserved(self.limits.paused.clone().or_else(|| self.obstacle.clone())));
        if self.only_unsaved_work_left {
            events.push(Event::OnlyUnsavedWorkLeft);
        }
        events
    }
}

#[cfg(test)]
#[path = "../tests/unit/step.rs"]
mod tests;
