//! Disruption budgets for the rescheduler's evictions, if drains are enabled. Evictions and drains both
//! disrupt services voluntarily. They count against the same budgets, so that neither exceeds a budget
//! because of the other.

use drain::budget::{Ledger, UnitId};
use drain::view::{self, AssumeRunning};
use sched::drain_records::{Disruption, DisruptionCause, DisruptionRecord};
use sched::records::JobRecord;
use sched::replica::Replica;
use sched::rescheduler::Eviction;
use wire::JobKind;

use super::support::{team_name, unsupporting_controller};
use crate::controller::Controller;
use crate::state::ControllerState;

/// The disruption budgets that the evictions of one scheduling cycle count against.
pub struct EvictionBudget<'c> {
    ledger: Ledger<'c>,
}

impl<'c> EvictionBudget<'c> {
    /// The budget for the evictions of a cycle. None: drains are disabled, or some controller does
    /// not support them. Such a controller does not report its running tasks, so that disruptions
    /// on its machines would stay open.
    pub fn for_cycle(
        controller: &'c Controller,
        state: &ControllerState,
        evictions: &[Eviction],
    ) -> Option<Self> {
        let applies = controller.operators.drains.enabled
            && unsupporting_controller(controller, &state.records.replica).is_none();
        applies.then(|| Self::new(controller, state, evictions))
    }

    /// Computes the budget for these evictions from the records.
    fn new(controller: &'c Controller, state: &ControllerState, evictions: &[Eviction]) -> Self {
        let replica = &state.records.replica;
        let budgets = &controller.operators.drains.budgets;
        let is_evicted = |id: &str| evictions.iter().any(|e| e.job == id);
        let is_affected = |(id, job): &(&String, &JobRecord)| {
            let service = job.spec.as_deref().filter(|s| s.kind == JobKind::Service);
            service.is_some_and(|s| is_evicted(id) || budgets.teams.contains_key(&s.team))
        };
        let services: Vec<_> = replica.open_jobs().filter(is_affected).collect();
        let max_open = DisruptionRecord::capacity(controller.state_limits().value_bytes);
        let team_of = |id: &str| team_name(controller, id);
        Self { ledger: view::ledger(replica, &services, budgets, &AssumeRunning, team_of, max_open) }
    }

    /// Debits an eviction. Returns the team and the disruption to add to its record; None if the
    /// budgets do not allow the eviction.
    pub fn debit(
        &mut self,
        replica: &Replica,
        eviction: &Eviction,
        now_ms: u64,
    ) -> Option<(String, Disruption)> {
        let job = &replica.jobs.get(&eviction.job)?.value;
        let team = job.spec.as_ref()?.team.clone();
        let unit = UnitId { job: eviction.job.as_str().into(), task: eviction.task };
        self.ledger.check(&team, &unit).ok()?;
        self.ledger.debit(&team, &unit);
        let attempt = view::attempt_of(job, &unit)?;
        let rescheduler = DisruptionCause::Rescheduler;
        Some((
            team,
            Disruption { job: unit.job, task: unit.task, attempt, cause: rescheduler, since_ms: now_ms },
        ))
    }
}
