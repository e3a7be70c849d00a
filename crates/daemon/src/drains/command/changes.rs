//! The changes of records with which commands start, stop, resume and remove drains. Each change is
//! computed from the records as they were read, and conditional on their versions.

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

/// The most bytes of a new cordon's record. The name of each machine may later be stored in it three
/// times (selected, emptied and gone), and the smallest limit of a value is 2 KiB.
const MAX_CORDON_BYTES: usize = 600;

/// Writes of records and their conditions.
#[derive(Debug)]
pub(super) struct ConditionalWrites {
    pub(super) conditions: Vec<Condition>,
    pub(super) writes: Vec<KeyWrite>,
}

/// Whether a drain may start only if all its units can be moved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Feasibility {
    /// It does not start if some unit can never be moved.
    Required,
    /// It starts in any case, and moves the units that can be moved.
    NotRequired,
}

/// Splits the machines into groups, each of which is written as one cordon.
pub(super) fn split_into_cordons(machines: &[Name]) -> Vec<Vec<Name>> {
    let mut groups = Vec::new();
    let mut group: Vec<Name> = Vec::new();
    for machine in machines {
        group.push(machine.clone());
        let record = CordonRecord::new(group.clone());
        if KeyWrite::new(String::new(), &record).value_len() > MAX_CORDON_BYTES && group.len() > 1 {
            group.pop();
            groups.push(std::mem::replace(&mut group, vec![machine.clone()]));
        }
    }
    if !group.is_empty() {
        groups.push(group);
    }
    groups
}

/// The record of a drain.
pub(super) fn record_of(replica: &Replica, name: &str) -> Result<DrainRecord, DrainError> {
    if replica.drains.unreadable.contains(name) {
        return Err(DrainError::Unreadable(name.to_owned()));
    }
    let record = replica.drains.records.get(name).map(|d| d.value.clone());
    record.ok_or_else(|| DrainError::Unknown(name.to_owned()))
}

/// The machines of the drain of this name; None if there is no such drain.
pub(super) fn machines_of_drain(replica: &Replica, name: &str) -> Result<Option<Vec<Name>>, DrainError> {
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

/// Confirms the start of a drain that exists already. The operator may repeat the command if the
/// outcome of the first one is unknown. Fails if the existing drain is another one.
pub(super) fn confirm_repeated_start(
    replica: &Replica,
    name: &str,
    known: Vec<Name>,
    request: &Request,
    ages: Option<&HashMap<String, f64>>,
) -> Result<(), DrainError> {
    let is_active = record_of(replica, name)?.is_active();
    let mut undrained = Replica::default();
    undrained.machines.clone_from(&replica.machines);
    let is_same = select(&undrained, &request.selection, ages).is_ok_and(|selected| selected == known);
    if !is_active || !is_same {
        return Err(DrainError::InUse(name.to_owned()));
    }
    println!("drain {name} was started already: {} machines are cordoned", known.len());
    Ok(())
}

/// The replica without the cordons of a drain.
pub(super) fn without_cordons_of(mut replica: Replica, name: &str) -> Replica {
    let own: Vec<_> = replica.drains.cordons_of(name).map(|(id, c)| (id.clone(), c.version)).collect();
    for (id, version) in own {
        replica.drains.apply_cordon(id, None, version);
    }
    replica
}

/// The condition that no cordon has changed, and the write of the cordon fence that goes with a
/// change of a cordon.
fn cordon_fence(replica: &Replica) -> (Condition, KeyWrite) {
    let next = CordonFence { generation: replica.drains.generation + 1 };
    let condition = Condition { key: key::CORDON_FENCE.into(), version: replica.drains.fence_version };
    (condition, KeyWrite::new(key::CORDON_FENCE.into(), &next))
}

/// The next change that starts a drain: first its cordons one by one, then its record. Cordons that
/// an interrupted attempt has left are reused. None: the drain has been started.
pub(super) fn next_start_change(
    replica: &Replica,
    name: &str,
    request: &Request,
    machines: &[Name],
    groups: &[Vec<Name>],
    feasibility: Feasibility,
) -> Result<Option<ConditionalWrites>, DrainError> {
    if replica.drains.records.contains_key(name) {
        return Ok(None);
    }
    if let Some(controller) = unsupporting_member(replica) {
        return Err(DrainError::OldController(controller));
    }
    let first_blocker = request.blockers(replica, machines).into_iter().next();
    if let Some(blocker) = first_blocker.filter(|_| feasibility == Feasibility::Required) {
        return Err(DrainError::Infeasible(blocker));
    }
    if let Some((machine, drain)) = drained_by_another(replica, name, machines) {
        return Err(SelectionError::Drained { machine, drain }.into());
    }
    let (fence_unchanged, next_fence) = cordon_fence(replica);
    let no_drain = Condition { key: key::drain(name), version: 0 };
    for (number, group) in groups.iter().enumerate() {
        let id = (name.to_owned(), number as u32);
        let wanted = CordonRecord::new(group.clone());
        let known = replica.drains.cordons.get(&id);
        if known.is_none_or(|c| c.value != wanted) {
            let version = known.map_or(0, |c| c.version);
            let cordon_unchanged = Condition { key: key::cordon(name, id.1), version };
            let writes = vec![KeyWrite::new(key::cordon(name, id.1), &wanted), next_fence];
            let conditions = vec![cordon_unchanged, no_drain, fence_unchanged];
            return Ok(Some(ConditionalWrites { conditions, writes }));
        }
    }
    let left_over = replica.drains.cordons_of(name).find(|((_, number), _)| *number as usize >= groups.len());
    if let Some(((_, number), cordon)) = left_over {
        let cordon_unchanged = Condition { key: key::cordon(name, *number), version: cordon.version };
        let writes = vec![KeyWrite::delete(key::cordon(name, *number)), next_fence];
        let conditions = vec![cordon_unchanged, no_drain, fence_unchanged];
        return Ok(Some(ConditionalWrites { conditions, writes }));
    }
    // The fence proves that no cordon has changed since the replica was read, which contains all
    // cordons of this drain.
    let record = request.record(groups.len(), machines.len());
    let writes = vec![KeyWrite::new(key::drain(name), &record)];
    Ok(Some(ConditionalWrites { conditions: vec![no_drain, fence_unchanged], writes }))
}

/// A live controller that does not support drains and could place tasks on a cordoned machine.
fn unsupporting_member(replica: &Replica) -> Option<String> {
    let supports_drains =
        |name: &str| replica.schema_versions.get(name).is_some_and(|s| *s >= DRAINS_SCHEMA_VERSION);
    replica.members.keys().find(|name| !supports_drains(name)).cloned()
}

/// One of these machines that another drain holds, with the name of that drain.
fn drained_by_another(replica: &Replica, name: &str, machines: &[Name]) -> Option<(String, String)> {
    let others = replica.drains.cordons.iter().filter(|((drain, _), c)| drain != name && c.value.active);
    others.into_iter().find_map(|((drain, _), c)| {
        let machine = c.value.remaining().find(|m| machines.contains(m))?;
        Some((machine.to_string(), drain.clone()))
    })
}

/// The change of a drain's record by an event, conditional on the version of the record.
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

/// The next change that resumes a drain: first its cordons one by one, then its record. None: the
/// drain is active.
pub(super) fn next_resume_change(
    replica: &Replica,
    name: &str,
) -> Result<Option<ConditionalWrites>, DrainError> {
    if record_of(replica, name)?.is_active() {
        return Ok(None);
    }
    let ConditionalWrites { mut conditions, mut writes } =
        drain_change(replica, name, Event::ResumeRequested)?;
    let remaining: Vec<Name> =
        replica.drains.cordons_of(name).flat_map(|(_, c)| c.value.remaining()).cloned().collect();
    if let Some((machine, drain)) = drained_by_another(replica, name, &remaining) {
        return Err(SelectionError::Drained { machine, drain }.into());
    }
    let (fence_unchanged, next_fence) = cordon_fence(replica);
    if let Some(((_, number), cordon)) = replica.drains.cordons_of(name).find(|(_, c)| !c.value.active) {
        let record = CordonRecord { active: true, ..cordon.value.clone() };
        conditions.push(Condition { key: key::cordon(name, *number), version: cordon.version });
        writes = vec![KeyWrite::new(key::cordon(name, *number), &record), next_fence];
    }
    conditions.push(fence_unchanged);
    Ok(Some(ConditionalWrites { conditions, writes }))
}

/// The next change that removes a drain that is over: first its cordons one by one, then its record.
/// None: it has been removed.
pub(super) fn next_removal_change(
    replica: &Replica,
    name: &str,
) -> Result<Option<ConditionalWrites>, DrainError> {
    let Some(record) = replica.drains.records.get(name) else { return Ok(None) };
    if !matches!(record.value.phase, DrainPhase::Closed(_)) {
        return Err(DrainError::Lifecycle { name: name.to_owned(), why: LifecycleError::NotOver });
    }
    let drain_unchanged = Condition { key: key::drain(name), version: record.version };
    if let Some(((_, number), cordon)) = replica.drains.cordons_of(name).next() {
        let cordon_unchanged = Condition { key: key::cordon(name, *number), version: cordon.version };
        let writes = vec![KeyWrite::delete(key::cordon(name, *number))];
        return Ok(Some(ConditionalWrites { conditions: vec![drain_unchanged, cordon_unchanged], writes }));
    }
    let writes = vec![KeyWrite::delete(key::drain(name))];
    Ok(Some(ConditionalWrites { conditions: vec![drain_unchanged], writes }))
}
