//! The changes of records by which commands start, stop, resume and forget drains. Each is made
//! of the records as they were read, and conditional on them.

use drain::lifecycle::{self, Event, LifecycleError};
use drain::selection::{SelectionError, select};
use sched::drain_records::{CordonFence, CordonRecord, DrainPhase, DrainRecord};
use sched::hash::HashMap;
use sched::records::{DRAINS_SCHEMA_VERSION, Name};
use sched::replica::Replica;
use store::{KeyWrite, key};
use wire::Condition;

use super::{DrainError, Request};
use crate::controller::wall_ms;

/// Bytes of the machines' names in one cordon. Each of them may come to stand there three times,
/// and the smallest value of a state service is 2 KiB.
const CORDON_BYTES: usize = 600;

/// Changes of records, and what they are conditional on.
pub(super) type ConditionalPuts = (Vec<Condition>, Vec<KeyWrite>);

/// The machines in pieces that are written as one cordon each.
pub(super) fn pieces(machines: &[Name]) -> Vec<Vec<Name>> {
    let mut pieces = Vec::new();
    let mut piece: Vec<Name> = Vec::new();
    for machine in machines {
        piece.push(machine.clone());
        let record = CordonRecord::new(piece.clone());
        if KeyWrite::new(String::new(), &record).value_len() > CORDON_BYTES && piece.len() > 1 {
            piece.pop();
            pieces.push(std::mem::replace(&mut piece, vec![machine.clone()]));
        }
    }
    if !piece.is_empty() {
        pieces.push(piece);
    }
    pieces
}

pub(super) fn record_of(world: &Replica, name: &str) -> Result<DrainRecord, DrainError> {
    if world.drains.unreadable.contains(name) {
        return Err(DrainError::Unreadable(name.to_owned()));
    }
    let record = world.drains.records.get(name).map(|d| d.value.clone());
    record.ok_or_else(|| DrainError::Unknown(name.to_owned()))
}

/// The machines of a drain of this name, if there is one.
pub(super) fn known_machines(world: &Replica, name: &str) -> Result<Option<Vec<Name>>, DrainError> {
    match record_of(world, name) {
        Ok(_) => {
            let mut all: Vec<Name> =
                world.drains.cordons_of(name).flat_map(|(_, c)| c.value.machines()).cloned().collect();
            all.sort_unstable();
            Ok(Some(all))
        }
        Err(DrainError::Unknown(_)) => Ok(None),
        Err(e) => Err(e),
    }
}

/// The same command again, whose first answer may have been lost.
pub(super) fn repeated(
    world: &Replica,
    name: &str,
    known: Vec<Name>,
    request: &Request,
    ages: Option<&HashMap<String, f64>>,
) -> Result<(), DrainError> {
    let active = record_of(world, name)?.is_active();
    let mut others = Replica::default();
    others.machines.clone_from(&world.machines);
    let same = select(&others, &request.selection, ages).is_ok_and(|selected| selected == known);
    if !active || !same {
        return Err(DrainError::InUse(name.to_owned()));
    }
    println!("drain {name} was started already: {} machines are cordoned", known.len());
    Ok(())
}

pub(super) fn without_cordons_of(mut world: Replica, name: &str) -> Replica {
    let own: Vec<_> = world.drains.cordons_of(name).map(|(id, c)| (id.clone(), c.version)).collect();
    for (id, version) in own {
        world.drains.apply_cordon(id, None, version);
    }
    world
}

pub(super) fn fence(world: &Replica) -> (Condition, KeyWrite) {
    let next = CordonFence { generation: world.drains.generation + 1 };
    let condition = Condition { key: key::CORDON_FENCE.into(), version: world.drains.fence };
    (condition, KeyWrite::new(key::CORDON_FENCE.into(), &next))
}

/// The next change that starts a drain: its cordons one by one, then its record. A cordon that
/// is there already, from a try that was cut off, is taken over.
pub(super) fn next_cordon(
    world: &Replica,
    name: &str,
    request: &Request,
    machines: &[Name],
    pieces: &[Vec<Name>],
    anyhow: bool,
) -> Result<Option<ConditionalPuts>, DrainError> {
    if world.drains.records.contains_key(name) {
        return Ok(None);
    }
    if let Some(old) = old_controller(world) {
        return Err(DrainError::OldController(old));
    }
    if let Some(blocker) = request.blockers(world, machines).into_iter().next().filter(|_| !anyhow) {
        return Err(DrainError::Never(blocker));
    }
    if let Some((machine, drain)) = drained_by_another(world, name, machines) {
        return Err(SelectionError::Drained { machine, drain }.into());
    }
    let (unchanged, next_fence) = fence(world);
    let no_drain = Condition { key: key::drain(name), version: 0 };
    for (part, piece) in pieces.iter().enumerate() {
        let id = (name.to_owned(), part as u32);
        let wanted = CordonRecord::new(piece.clone());
        let known = world.drains.cordons.get(&id);
        if known.is_none_or(|c| c.value != wanted) {
            let version = known.map_or(0, |c| c.version);
            let here = Condition { key: key::cordon(name, id.1), version };
            let puts = vec![KeyWrite::new(key::cordon(name, id.1), &wanted), next_fence];
            return Ok(Some((vec![here, no_drain, unchanged], puts)));
        }
    }
    let of_other_try = world.drains.cordons_of(name).find(|((_, part), _)| *part as usize >= pieces.len());
    if let Some(((_, part), cordon)) = of_other_try {
        let here = Condition { key: key::cordon(name, *part), version: cordon.version };
        let puts = vec![KeyWrite::delete(key::cordon(name, *part)), next_fence];
        return Ok(Some((vec![here, no_drain, unchanged], puts)));
    }
    // No cordon has changed since all of its own were seen.
    let record = request.record(pieces.len(), machines.len());
    Ok(Some((vec![no_drain, unchanged], vec![KeyWrite::new(key::drain(name), &record)])))
}

/// A live controller that could place something on a machine that is cordoned.
pub(super) fn old_controller(world: &Replica) -> Option<String> {
    let knows = |name: &str| world.schema_versions.get(name).is_some_and(|s| *s >= DRAINS_SCHEMA_VERSION);
    world.members.keys().find(|name| !knows(name)).cloned()
}

pub(super) fn drained_by_another(world: &Replica, name: &str, machines: &[Name]) -> Option<(String, String)> {
    let others = world.drains.cordons.iter().filter(|((drain, _), c)| drain != name && c.value.active);
    others.into_iter().find_map(|((drain, _), c)| {
        let machine = c.value.remaining().find(|m| machines.contains(m))?;
        Some((machine.to_string(), drain.clone()))
    })
}

/// A drain's record after an event, conditional on the version that it was made of.
pub(super) fn changed(world: &Replica, name: &str, event: Event) -> Result<ConditionalPuts, DrainError> {
    let mut record = record_of(world, name)?;
    lifecycle::apply(&mut record, event, wall_ms())
        .map_err(|why| DrainError::Lifecycle { name: name.to_owned(), why })?;
    let version = world.drains.records.get(name).map_or(0, |d| d.version);
    let condition = Condition { key: key::drain(name), version };
    Ok((vec![condition], vec![KeyWrite::new(key::drain(name), &record)]))
}

/// The next change that resumes a drain: its cordons one by one, then its record.
pub(super) fn next_resumed(world: &Replica, name: &str) -> Result<Option<ConditionalPuts>, DrainError> {
    if record_of(world, name)?.is_active() {
        return Ok(None);
    }
    let (mut conditions, mut puts) = changed(world, name, Event::ResumeRequested)?;
    let left: Vec<Name> =
        world.drains.cordons_of(name).flat_map(|(_, c)| c.value.remaining()).cloned().collect();
    if let Some((machine, drain)) = drained_by_another(world, name, &left) {
        return Err(SelectionError::Drained { machine, drain }.into());
    }
    let (unchanged, next_fence) = fence(world);
    if let Some(((_, part), cordon)) = world.drains.cordons_of(name).find(|(_, c)| !c.value.active) {
        let record = CordonRecord { active: true, ..cordon.value.clone() };
        conditions.push(Condition { key: key::cordon(name, *part), version: cordon.version });
        puts = vec![KeyWrite::new(key::cordon(name, *part), &record), next_fence];
    }
    conditions.push(unchanged);
    Ok(Some((conditions, puts)))
}

/// The next change that forgets a drain that is over: its cordons one by one, then its record.
pub(super) fn next_removed(world: &Replica, name: &str) -> Result<Option<ConditionalPuts>, DrainError> {
    let Some(record) = world.drains.records.get(name) else { return Ok(None) };
    if !matches!(record.value.phase, DrainPhase::Closed(_)) {
        return Err(DrainError::Lifecycle { name: name.to_owned(), why: LifecycleError::NotOver });
    }
    let over = Condition { key: key::drain(name), version: record.version };
    if let Some(((_, part), cordon)) = world.drains.cordons_of(name).next() {
        let here = Condition { key: key::cordon(name, *part), version: cordon.version };
        return Ok(Some((vec![over, here], vec![KeyWrite::delete(key::cordon(name, *part))])));
    }
    Ok(Some((vec![over], vec![KeyWrite::delete(key::drain(name))])))
}
