//! An operator's request to start or plan a drain.

use std::path::Path;

use drain::feasibility::{self, Blocker};
use drain::selection::Selection;
use drain::step::Machine;
use drain::view;
use sched::drain_records::{CapacitySearch, DRAIN_SCHEMA, DrainPhase, DrainRecord, UnsavedWork};
use sched::records::Name;
use sched::replica::Replica;

use super::args::{PolicyArgs, SelectionArgs};
use super::error::{DrainError, MAX_OPTION_S};
use crate::controller::wall_ms;
use crate::operators::OperatorSettings;
use crate::settings::Settings;

/// The machines to be drained, and the policy of the drain.
pub(crate) struct Request {
    /// The machines.
    pub(crate) selection: Selection,
    /// How long work that cannot save its progress may keep running, in seconds.
    pub(crate) patience_s: f64,
    /// How long one obstacle may last before the drain stops, in seconds.
    pub(crate) give_up_s: f64,
    /// What to do with work that cannot save its progress after that time.
    pub(crate) unsaved: UnsavedWork,
    /// The operators' settings, for the disruption budgets.
    pub(crate) operators: OperatorSettings,
}

impl Request {
    /// Checks the arguments and reads the operators' settings.
    pub(super) fn new(
        machines: SelectionArgs,
        policy: PolicyArgs,
        settings: Option<&Settings>,
    ) -> Result<Self, DrainError> {
        let selection: Selection = machines.into();
        check_seconds("--patience-s", Some(policy.patience_s))?;
        check_seconds("--give-up-s", Some(policy.give_up_s))?;
        check_seconds("--rented-before-s", selection.older_than_s)?;
        let operators = load_operators(policy.operators.as_deref(), settings)?;
        let PolicyArgs { patience_s, give_up_s, unsaved, .. } = policy;
        Ok(Self { selection, patience_s, give_up_s, unsaved: unsaved.into(), operators })
    }

    /// The blockers of draining these machines.
    pub(super) fn blockers(&self, replica: &Replica, machines: &[Name]) -> Vec<Blocker> {
        let machines = with_units(replica, machines);
        let budgets = &self.operators.drains.budgets;
        feasibility::blockers(replica, &machines, budgets, self.unsaved, self.patience_s)
    }

    /// The record of a new drain.
    pub(super) fn record(&self, cordons: usize, machines: usize) -> DrainRecord {
        let millis = |seconds: f64| (seconds * 1000.0) as u64;
        DrainRecord {
            schema: DRAIN_SCHEMA,
            phase: DrainPhase::Active,
            cordons: cordons as u32,
            machines: machines as u32,
            started_ms: wall_ms(),
            patience_ms: millis(self.patience_s),
            unsaved: self.unsaved,
            give_up_ms: millis(self.give_up_s),
            moved: 0,
            capacity_search: CapacitySearch::default(),
            obstacle: None,
        }
    }
}

/// The machines with the units that run on them.
pub(super) fn with_units(replica: &Replica, machines: &[Name]) -> Vec<Machine> {
    let machine = |name: &Name| Machine { units: view::units_on(replica, name), name: name.clone() };
    machines.iter().map(machine).collect()
}

fn check_seconds(option: &'static str, value: Option<f64>) -> Result<(), DrainError> {
    match value {
        Some(value) if !(0.0..=MAX_OPTION_S).contains(&value) => Err(DrainError::Seconds { option, value }),
        _ => Ok(()),
    }
}

fn load_operators(file: Option<&Path>, settings: Option<&Settings>) -> Result<OperatorSettings, DrainError> {
    let Some(file) = file else { return Ok(OperatorSettings::default()) };
    let operators = OperatorSettings::load(file)?;
    if let Some(settings) = settings {
        operators.check_teams(&file.display().to_string(), settings)?;
    }
    Ok(operators)
}
