//! Selects the machines of a drain.

use std::collections::BTreeSet;

use sched::hash::HashMap;
use sched::records::Name;
use sched::replica::Replica;

/// Selects machines either by name, or by properties. A machine is selected by properties if it
/// has all that are given.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Selection {
    /// The names of the machines.
    pub machines: Vec<String>,
    /// Machines of this zone.
    pub zone: Option<String>,
    /// Machines of this type.
    pub machine_type: Option<String>,
    /// Machines that have been rented for longer than this.
    pub older_than_s: Option<f64>,
}

/// Why a selection cannot be drained.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum SelectionError {
    /// Neither names nor properties are given.
    #[error("no machines are named: give --machine, --zone, --type or --rented-before-s")]
    Nothing,
    /// Names and properties are both given.
    #[error("--machine cannot be combined with --zone, --type or --rented-before-s")]
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
    /// No machine has all properties that are given.
    #[error("no machine matches all of the given options --zone, --type and --rented-before-s")]
    NoneFits,
    /// The ages of the machines are not known.
    #[error(
        "--rented-before-s: the cloud's list of machines is needed to know how long they have been rented"
    )]
    AgeUnknown,
    /// Another drain has one of the machines already.
    #[error("machine \"{machine}\" is being drained by \"{drain}\" already")]
    Drained {
        /// The machine.
        machine: String,
        /// The drain that has it.
        drain: String,
    },
}

/// The selected machines, sorted by name. `ages`: for how long each machine has been rented, in
/// seconds, if known.
pub fn select(
    replica: &Replica,
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
    let found =
        if by_properties { by_property(replica, selection, ages)? } else { by_name(replica, machines)? };
    match found.iter().find_map(|m| Some((m, drained_by(replica, m)?))) {
        Some((machine, drain)) => {
            Err(SelectionError::Drained { machine: machine.to_string(), drain: drain.to_owned() })
        }
        None => Ok(found),
    }
}

/// The drain that has an active cordon on a machine.
fn drained_by<'w>(replica: &'w Replica, machine: &Name) -> Option<&'w str> {
    let holds_machine = |(_, c): &(&'w sched::drains::CordonId, &'w sched::replica::Versioned<_>)| {
        let cordon: &sched::drain_records::CordonRecord = &c.value;
        cordon.active && cordon.remaining().any(|m| m == machine)
    };
    replica.drains.cordons.iter().find(holds_machine).map(|((drain, _), _)| drain.as_str())
}

fn by_name(replica: &Replica, machines: &[String]) -> Result<Vec<Name>, SelectionError> {
    let mut found: BTreeSet<Name> = BTreeSet::new();
    for name in machines {
        let Some((known, _)) = replica.machines.get_key_value(name.as_str()) else {
            return Err(SelectionError::NoSuchMachine(name.clone()));
        };
        if !found.insert(known.clone()) {
            return Err(SelectionError::Twice(name.clone()));
        }
    }
    Ok(found.into_iter().collect())
}

fn by_property(
    replica: &Replica,
    selection: &Selection,
    ages: Option<&HashMap<String, f64>>,
) -> Result<Vec<Name>, SelectionError> {
    let Selection { zone, machine_type, older_than_s, .. } = selection;
    let any_machine = |matches: &dyn Fn(&sched::records::MachineRecord) -> bool| {
        replica.machines.values().any(|m| matches(&m.value))
    };
    if let Some(zone) = zone
        && !any_machine(&|m| *m.zone == **zone)
    {
        return Err(SelectionError::NoSuchZone(zone.clone()));
    }
    if let Some(kind) = machine_type
        && !any_machine(&|m| *m.machine_type == **kind)
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
    let matches_all = |(name, m): &(&Name, &sched::replica::Versioned<sched::records::MachineRecord>)| {
        zone.as_ref().is_none_or(|z| *m.value.zone == **z)
            && machine_type.as_ref().is_none_or(|t| *m.value.machine_type == **t)
            && is_old(name)
    };
    let found: Vec<Name> =
        replica.machines.iter().filter(matches_all).map(|(name, _)| name.clone()).collect();
    if found.is_empty() { Err(SelectionError::NoneFits) } else { Ok(found) }
}

#[cfg(test)]
#[path = "../tests/unit/selection.rs"]
mod tests;
