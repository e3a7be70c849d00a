//! Disruption budgets: how many units of a service and of a team may be down when a unit is
//! stopped voluntarily.

use std::collections::{BTreeMap, BTreeSet};

use sched::drain_records::{Disruption, ObstacleKind};
use sched::records::Name;

/// How many units of a team may be down when one of them is stopped voluntarily.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TeamBudget {
    /// This number of replicas, array tasks and gangs.
    Count(u32),
    /// This fraction of the desired replicas of all services of the team, rounded down.
    Share(f64),
}

/// The disruption budgets that the operators have configured.
#[derive(Debug, Clone, PartialEq)]
pub struct Budgets {
    /// How many replicas of one service may be down.
    pub per_service: u32,
    /// The budgets of teams that have one, by team name.
    pub teams: BTreeMap<String, TeamBudget>,
}

impl Default for Budgets {
    fn default() -> Self {
        Self { per_service: 1, teams: BTreeMap::new() }
    }
}

impl Budgets {
    /// How many units of a team may be down, where `replicas` is the number of desired replicas of
    /// its services. None: the team has no budget, and only those of its services apply.
    pub fn of_team(&self, team: &str, replicas: u32) -> Option<u32> {
        self.teams.get(team).map(|budget| match budget {
            TeamBudget::Count(count) => *count,
            TeamBudget::Share(share) => {
                (f64::from(replicas) * share + SHARE_ROUNDING_TOLERANCE).floor() as u32
            }
        })
    }
}

/// Makes up for floating-point errors before rounding down: 10 % of ten replicas must be one.
const SHARE_ROUNDING_TOLERANCE: f64 = 1e-9;

/// The identity of a unit, the smallest thing that is stopped: a replica, a task of an array, or
/// a whole gang.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnitId {
    /// The job.
    pub job: Name,
    /// The task; 0 for a gang.
    pub task: u32,
}

/// A service, with its replicas that are known to run.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceHealth {
    /// The service.
    pub job: Name,
    /// Its team.
    pub team: String,
    /// The number of desired replicas.
    pub replicas: u32,
    /// The replicas that are known to run and are not to be stopped.
    pub up: BTreeSet<u32>,
    /// Whether the service is starting for the first time. Replicas that are not up yet then count
    /// as down for the service, but not for its team, because they have not failed.
    pub starting: bool,
}

/// The budget that does not allow a unit to be stopped now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BudgetExceeded {
    /// The service's budget is used up.
    #[error("the disruption budget of the service is used up")]
    Service,
    /// The team's budget is used up, or its disruption record is full.
    #[error("the disruption budget of the team is used up")]
    Team,
}

impl From<BudgetExceeded> for ObstacleKind {
    fn from(exceeded: BudgetExceeded) -> Self {
        match exceeded {
            BudgetExceeded::Service => Self::ServiceBudget,
            BudgetExceeded::Team => Self::TeamBudget,
        }
    }
}

#[derive(Debug, Default)]
struct TeamLedger {
    replicas: u32,
    down: BTreeSet<UnitId>,
    /// The number of open disruptions: units that were stopped voluntarily and do not run again.
    open: usize,
}

/// The units that are down, by service and team. Each stop that a step decides on is debited at
/// once, so that the later decisions of the same step count it.
#[derive(Debug)]
pub struct Ledger<'b> {
    budgets: &'b Budgets,
    services: BTreeMap<Name, BTreeSet<u32>>,
    teams: BTreeMap<String, TeamLedger>,
    /// The most open disruptions that a team's record holds.
    max_open: usize,
}

impl<'b> Ledger<'b> {
    /// Creates a ledger. `open`: the open disruptions of the teams' records, with the names of the
    /// teams. `max_open`: the most open disruptions that a team's record holds.
    pub fn new<'d>(
        budgets: &'b Budgets,
        services: impl IntoIterator<Item = ServiceHealth>,
        open: impl IntoIterator<Item = (&'d str, &'d Disruption)>,
        max_open: usize,
    ) -> Self {
        let mut ledger = Self { budgets, services: BTreeMap::new(), teams: BTreeMap::new(), max_open };
        for service in services {
            ledger.add_service(service);
        }
        for (team, disruption) in open {
            let unit = UnitId { job: disruption.job.clone(), task: disruption.task };
            ledger.debit(team, &unit);
        }
        ledger
    }

    fn add_service(&mut self, service: ServiceHealth) {
        let down: BTreeSet<u32> = (0..service.replicas).filter(|t| !service.up.contains(t)).collect();
        let team = self.teams.entry(service.team).or_default();
        team.replicas += service.replicas;
        if !service.starting {
            team.down.extend(down.iter().map(|task| UnitId { job: service.job.clone(), task: *task }));
        }
        self.services.insert(service.job, down);
    }

    /// Checks whether a unit may be stopped. Every unit that is down counts against the budgets,
    /// whether it was stopped or has failed. If the unit itself is down already, it is not counted
    /// twice.
    pub fn check(&self, team: &str, unit: &UnitId) -> Result<(), BudgetExceeded> {
        if let Some(down) = self.services.get(&unit.job) {
            let others = down.iter().filter(|task| **task != unit.task).count();
            if others + 1 > self.budgets.per_service as usize {
                return Err(BudgetExceeded::Service);
            }
        }
        let (replicas, others, open) = match self.teams.get(team) {
            Some(t) => (t.replicas, t.down.iter().filter(|u| *u != unit).count(), t.open),
            None => (0, 0, 0),
        };
        let limit = self.budgets.of_team(team, replicas).map_or(usize::MAX, |limit| limit as usize);
        if others + 1 > limit || open + 1 > self.max_open {
            return Err(BudgetExceeded::Team);
        }
        Ok(())
    }

    /// Counts a unit as voluntarily disrupted.
    pub fn debit(&mut self, team: &str, unit: &UnitId) {
        if let Some(down) = self.services.get_mut(&unit.job) {
            down.insert(unit.task);
        }
        let team = self.teams.entry(team.to_owned()).or_default();
        team.down.insert(unit.clone());
        team.open += 1;
    }
}

#[cfg(test)]
#[path = "../tests/unit/budget.rs"]
mod tests;
