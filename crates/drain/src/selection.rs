//! Which machines an operator means.

use std::collections::BTreeSet;

use sched::hash::HashMap;
use sched::records::Name;
use sched::replica::Replica;

/// Machines by their names, or all that have everything in common that is named.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Selection {
    /// Just these.
    pub machines: Vec<String>,
    /// Those of this zone.
    pub zone: Option<String>,
    /// Those of this type.
    pub machine_type: Option<String>,
    /// Those that were rented for longer than this.
    pub older_than_s: Option<f64>,
}

/// Why a selection cannot be drained.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SelectionError {
    /// Nothing is named.
    #[error("no machines are named: --machine, --zone, --type or --rented-before-s")]
    Nothing,
    /// Names and properties are both given.
    #[error("--machine does not go with --zone, --type or --rented-before-s")]
    Both,
    /// There is no such machine.
    #[error("--machine: there is no machine \"{0}\"")]
    NoSuchMachine(String),
    /// A machine is named twice.
    #[error("--machine: \"{0}\" is named twice")]
    Twice(String),
    /// No machine is in the zone.
    #[error("--zone: there is no machine in zone \"{0}\"")]
    NoSuchZone(String),
    /// No machine is of the type.
    #[error("--type: there is no machine of type \"{0}\"")]
    NoSuchType(String),
    /// No machine has all that was named.
    #[error("no machine has all of --zone, --type and --rented-before-s that is named")]
    NoneFits,
    /// The cloud's list has not told since when machines are rented.
    #[error("--rented-before-s: it is not known since when machines are rented")]
    AgeUnknown,
    /// Another drain has it already.
    #[error("machine \"{machine}\" is being drained by \"{drain}\" already")]
    Drained {
        /// The machine.
        machine: String,
        /// The drain that has it.
        drain: String,
    },
}

/// The machines that are selected, in the order of their names. `ages`: for how long machines
/// are rented, in seconds, if that is known.
pub fn select(
    world: &Replica,
    selection: &Selection,
    ages: Option<&HashMap<String, f64>>,
) -> Result<Vec<Name>, SelectionError> {
    let Selection { machines, zone, machine_type, older_than_s } = selection;
    let by_properties = zone.is_some() || machine_type.is_some() || older_than_s.is_some();
    match (machines.is_empty(), by_properties) {
        (true, false) => return Err(SelectionError::Nothing),
        (false, true) => return Err(SelectionError::Both),
        _ => {}
    }
    let found = if by_properties { by_property(world, selection, ages)? } else { by_name(world, machines)? };
    match found.iter().find_map(|m| Some((m, drained_by(world, m)?))) {
        Some((machine, drain)) => {
            Err(SelectionError::Drained { machine: machine.to_string(), drain: drain.to_owned() })
        }
        None => Ok(found),
    }
}

/// The drain that has a machine, unless it is over.
fn drained_by<'w>(world: &'w Replica, machine: &Name) -> Option<&'w str> {
    let has = |(_, c): &(&'w sched::drains::CordonId, &'w sched::replica::Versioned<_>)| {
        let cordon: &sched::drain_records::CordonRecord = &c.value;
        cordon.active && cordon.remaining().any(|m| m == machine)
    };
    world.drains.cordons.iter().find(has).map(|((drain, _), _)| drain.as_str())
}

fn by_name(world: &Replica, machines: &[String]) -> Result<Vec<Name>, SelectionError> {
    let mut found: BTreeSet<Name> = BTreeSet::new();
    for name in machines {
        let Some((known, _)) = world.machines.get_key_value(name.as_str()) else {
            return Err(SelectionError::NoSuchMachine(name.clone()));
        };
        if !found.insert(known.clone()) {
            return Err(SelectionError::Twice(name.clone()));
        }
    }
    Ok(found.into_iter().collect())
}

fn by_property(
    world: &Replica,
    selection: &Selection,
    ages: Option<&HashMap<String, f64>>,
) -> Result<Vec<Name>, SelectionError> {
    let Selection { zone, machine_type, older_than_s, .. } = selection;
    let any =
        |has: &dyn Fn(&sched::records::MachineRecord) -> bool| world.machines.values().any(|m| has(&m.value));
    if let Some(zone) = zone
        && !any(&|m| *m.zone == **zone)
    {
        return Err(SelectionError::NoSuchZone(zone.clone()));
    }
    if let Some(kind) = machine_type
        && !any(&|m| *m.machine_type == **kind)
    {
        return Err(SelectionError::NoSuchType(kind.clone()));
    }
    if older_than_s.is_some() && ages.is_none() {
        return Err(SelectionError::AgeUnknown);
    }
    let is_old = |name: &Name| match (older_than_s, ages) {
        (Some(limit), Some(ages)) => ages.get(&**name).is_some_and(|age| age > limit),
        _ => true,
    };
    let fits = |(name, m): &(&Name, &sched::replica::Versioned<sched::records::MachineRecord>)| {
        zone.as_ref().is_none_or(|z| *m.value.zone == **z)
            && machine_type.as_ref().is_none_or(|t| *m.value.machine_type == **t)
            && is_old(name)
    };
    let found: Vec<Name> = world.machines.iter().filter(fits).map(|(name, _)| name.clone()).collect();
    if found.is_empty() { Err(SelectionError::NoneFits) } else { Ok(found) }
}

#[cfg(test)]
#[path = "../tests/unit/selection.rs"]
mod tests;
