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

use super::error::DrainError;
use super::request::Request;
use crate::controller::wall_ms;

/// Most bytes of the machines' names in one new cordon. Each of them may come to stand there three
/// times, and the smallest limit of a value is 2 KiB.
const MAX_CORDON_BYTES: usize = 600;

/// Writes of records, and what they are conditional on.
#[derive(Debug)]
pub(super) struct ConditionalWrites {
    pub(super) conditions: Vec<Condition>,
    pub(super) writes: Vec<KeyWrite>,
}

/// Whether a drain starts only if all units could be moved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Feasibility {
    /// It does not start if some unit can never be moved.
    Required,
    /// It starts all the same, and moves what it can.
    NotRequired,
}

/// The machines in pieces, each of which is written as one cordon.
pub(super) fn cordon_pieces(machines: &[Name]) -> Vec<Vec<Name>> {
    let mut pieces = Vec::new();
    let mut piece: Vec<Name> = Vec::new();
    for machine in machines {
        piece.push(machine.clone());
        let record = CordonRecord::new(piece.clone());
        if KeyWrite::new(String::new(), &record).value_len() > MAX_CORDON_BYTES && piece.len() > 1 {
            piece.pop();
            pieces.push(std::mem::replace(&mut piece, vec![machine.clone()]));
        }
    }
    if !piece.is_empty() {
        pieces.push(piece);
    }
    pieces
}

/// The record of a drain.
pub(super) fn record_of(replica: &Replica, name: &str) -> Result<DrainRecord, DrainError> {
    if replica.drains.unreadable.contains(name) {
        return Err(DrainError::Unreadable(name.to_owned()));
    }
    let record = replica.drains.records.get(name).map(|d| d.value.clone());
    record.ok_or_else(|| DrainError::Unknown(name.to_owned()))
}

/// The machines of a drain of this name, if there is one.
pub(super) fn known_machines(replica: &Replica, name: &str) -> Result<Option<Vec<Name>>, DrainError> {
    match record_of(replica, name) {
        Ok(_) => {
            let mut all: Vec<Name> =
                replica.drains.cordons_of(name).flat_map(|(_, c)| c.value.machines()).cloned().collect();
            all.sort_unstable();
            Ok(Some(all))
        }
        Err(DrainError::Unknown(_)) => Ok(None),
        Err(e) => Err(e),
    }
}

/// Confirms the start of a drain that is there: the same command again, whose first outcome may
/// not have been seen. Fails if it is another drain of the name.
pub(super) fn confirm_repeated_start(
    replica: &Replica,
    name: &str,
    known: Vec<Name>,
    request: &Request,
    ages: Option<&HashMap<String, f64>>,
) -> Result<(), DrainError> {
    let active = record_of(replica, name)?.is_active();
    let mut others = Replica::default();
    others.machines.clone_from(&replica.machines);
    let same = select(&others, &request.selection, ages).is_ok_and(|selected| selected == known);
    if !active || !same {
        return Err(DrainError::InUse(name.to_owned()));
    }
    println!("drain {name} was started already: {} machines are cordoned", known.len());
    Ok(())
}

/// The records without the cordons of a drain.
pub(super) fn without_cordons_of(mut replica: Replica, name: &str) -> Replica {
    let own: Vec<_> = replica.drains.cordons_of(name).map(|(id, c)| (id.clone(), c.version)).collect();
    for (id, version) in own {
        replica.drains.apply_cordon(id, None, version);
    }
    replica
}

/// The condition that no cordon has changed, and the write that tells that one does.
fn cordon_fence(replica: &Replica) -> (Condition, KeyWrite) {
    let next = CordonFence { generation: replica.drains.generation + 1 };
    let condition = Condition { key: key::CORDON_FENCE.into(), version: replica.drains.fence_version };
    (condition, KeyWrite::new(key::CORDON_FENCE.into(), &next))
}

/// The next change that starts a drain: its cordons one by one, then its record. A cordon that
/// is there already, from an attempt that was cut off, is used.
pub(super) fn next_start_change(
    replica: &Replica,
    name: &str,
    request: &Request,
    machines: &[Name],
    pieces: &[Vec<Name>],
    feasibility: Feasibility,
) -> Result<Option<ConditionalWrites>, DrainError> {
    if replica.drains.records.contains_key(name) {
        return Ok(None);
    }
    if let Some(old) = old_controller(replica) {
        return Err(DrainError::OldController(old));
    }
    let first_blocker = request.blockers(replica, machines).into_iter().next();
    if let Some(blocker) = first_blocker.filter(|_| feasibility == Feasibility::Required) {
        return Err(DrainError::Never(blocker));
    }
    if let Some((machine, drain)) = drained_by_another(replica, name, machines) {
        return Err(SelectionError::Drained { machine, drain }.into());
    }
    let (unchanged, next_fence) = cordon_fence(replica);
    let no_drain = Condition { key: key::drain(name), version: 0 };
    for (part, piece) in pieces.iter().enumerate() {
        let id = (name.to_owned(), part as u32);
        let wanted = CordonRecord::new(piece.clone());
        let known = replica.drains.cordons.get(&id);
        if known.is_none_or(|c| c.value != wanted) {
            let version = known.map_or(0, |c| c.version);
            let here = Condition { key: key::cordon(name, id.1), version };
            let writes = vec![KeyWrite::new(key::cordon(name, id.1), &wanted), next_fence];
            let conditions = vec![here, no_drain, unchanged];
            return Ok(Some(ConditionalWrites { conditions, writes }));
        }
    }
    let of_other_attempt =
        replica.drains.cordons_of(name).find(|((_, part), _)| *part as usize >= pieces.len());
    if let Some(((_, part), cordon)) = of_other_attempt {
        let here = Condition { key: key::cordon(name, *part), version: cordon.version };
        let writes = vec![KeyWrite::delete(key::cordon(name, *part)), next_fence];
        let conditions = vec![here, no_drain, unchanged];
        return Ok(Some(ConditionalWrites { conditions, writes }));
    }
    // No cordon has changed since all of its own were seen.
    let record = request.record(pieces.len(), machines.len());
    let writes = vec![KeyWrite::new(key::drain(name), &record)];
    Ok(Some(ConditionalWrites { conditions: vec![no_drain, unchanged], writes }))
}

/// A live controller that could place something on a machine that is cordoned.
fn old_controller(replica: &Replica) -> Option<String> {
    let knows = |name: &str| replica.schema_versions.get(name).is_some_and(|s| *s >= DRAINS_SCHEMA_VERSION);
    replica.members.keys().find(|name| !knows(name)).cloned()
}

/// One of the machines that another drain empties, with that drain.
fn drained_by_another(replica: &Replica, name: &str, machines: &[Name]) -> Option<(String, String)> {
    let others = replica.drains.cordons.iter().filter(|((drain, _), c)| drain != name && c.value.active);
    others.into_iter().find_map(|((drain, _), c)| {
        let machine = c.value.remaining().find(|m| machines.contains(m))?;
        Some((machine.to_string(), drain.clone()))
    })
}

/// A drain's record after an event, conditional on the version that it was made of.
pub(super) fn drain_change(
    replica: &Replica,
    name: &str,
    event: Event,
) -> Result<ConditionalWrites, DrainError> {
    let mut record = record_of(replica, name)?;
    lifecycle::apply(&mut record, event, wall_ms())
        .map_err(|why| DrainError::Lifecycle { name: name.to_owned(), why })?;
    let version = replica.drains.records.get(name).map_or(0, |d| d.version);
    let condition = Condition { key: key::drain(name), version };
    let writes = vec![KeyWrite::new(key::drain(name), &record)];
    Ok(ConditionalWrites { conditions: vec![condition], writes })
}

/// The next change that resumes a drain: its cordons one by one, then its record.
pub(super) fn next_resume_change(
    replica: &Replica,
    name: &str,
) -> Result<Option<ConditionalWrites>, DrainError> {
    if record_of(replica, name)?.is_active() {
        return Ok(None);
    }
    let ConditionalWrites { mut conditions, mut writes } =
        drain_change(replica, name, Event::ResumeRequested)?;
    let left: Vec<Name> =
        replica.drains.cordons_of(name).flat_map(|(_, c)| c.value.remaining()).cloned().collect();
    if let Some((machine, drain)) = drained_by_another(replica, name, &left) {
        return Err(SelectionError::Drained { machine, drain }.into());
    }
    let (unchanged, next_fence) = cordon_fence(replica);
    if let Some(((_, part), cordon)) = replica.drains.cordons_of(name).find(|(_, c)| !c.value.active) {
        let record = CordonRecord { active: true, ..cordon.value.clone() };
        conditions.push(Condition { key: key::cordon(name, *part), version: cordon.version });
        writes = vec![KeyWrite::new(key::cordon(name, *part), &record), next_fence];
    }
    conditions.push(unchanged);
    Ok(Some(ConditionalWrites { conditions, writes }))
}

/// The next change that forgets a drain that is over: its cordons one by one, then its record.
pub(super) fn next_removal_change(
    replica: &Replica,
    name: &str,
) -> Result<Option<ConditionalWrites>, DrainError> {
    let Some(record) = replica.drains.records.get(name) else { return Ok(None) };
    if !matches!(record.value.phase, DrainPhase::Closed(_)) {
        return Err(DrainError::Lifecycle { name: name.to_owned(), why: LifecycleError::NotOver });
    }
    let over = Condition { key: key::drain(name), version: record.version };
    if let Some(((_, part), cordon)) = replica.drains.cordons_of(name).next() {
        let here = Condition { key: key::cordon(name, *part), version: cordon.version };
        let writes = vec![KeyWrite::delete(key::cordon(name, *part))];
        return Ok(Some(ConditionalWrites { conditions: vec![over, here], writes }));
    }
    let writes = vec![KeyWrite::delete(key::drain(name))];
    Ok(Some(ConditionalWrites { conditions: vec![over], writes }))
}
