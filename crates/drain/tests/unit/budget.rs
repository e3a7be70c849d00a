use super::*;
use sched::drain_records::DisruptionCause;

fn service(job: &str, replicas: u32, up: &[u32], starting: bool) -> ServiceHealth {
    let up = up.iter().copied().collect();
    ServiceHealth { job: job.into(), team: "t".into(), replicas, up, starting }
}

fn unit(job: &str, task: u32) -> UnitId {
    UnitId { job: job.into(), task }
}

fn disruption(job: &str, task: u32) -> Disruption {
    Disruption { job: job.into(), task, attempt: 1, cause: DisruptionCause::Rescheduler, since_ms: 0 }
}

fn budgets(team: Option<TeamBudget>) -> Budgets {
    Budgets { teams: team.map(|b| ("t".into(), b)).into_iter().collect(), ..Budgets::default() }
}

#[test]
fn failures_use_up_the_budget_too() {
    let budgets = budgets(None);
    let ledger = Ledger::new(&budgets, [service("j-1", 3, &[0, 1], false)], [], 9);
    assert_eq!(ledger.check("t", &unit("j-1", 0)), Err(BudgetExceeded::Service));
    // The one that is down already takes nobody else down.
    assert_eq!(ledger.check("t", &unit("j-1", 2)), Ok(()));
}

#[test]
fn what_is_decided_in_a_step_counts_for_the_rest_of_it() {
    let budgets = budgets(Some(TeamBudget::Count(2)));
    let services = ["j-1", "j-2", "j-3"].map(|job| service(job, 2, &[0, 1], false));
    let mut ledger = Ledger::new(&budgets, services, [], 9);
    ledger.debit("t", &unit("j-1", 0));
    assert_eq!(ledger.check("t", &unit("j-1", 1)), Err(BudgetExceeded::Service));
    assert_eq!(ledger.check("t", &unit("j-2", 1)), Ok(()));
    ledger.debit("t", &unit("j-2", 1));
    assert_eq!(ledger.check("t", &unit("j-3", 0)), Err(BudgetExceeded::Team));
}

#[test]
fn what_was_stopped_counts_though_its_replacement_has_a_place() {
    let budgets = budgets(Some(TeamBudget::Share(0.5)));
    let services = ["j-1", "j-2"].map(|job| service(job, 1, &[0], false));
    let open = disruption("j-1", 0);
    let ledger = Ledger::new(&budgets, services, [("t", &open)], 9);
    assert_eq!(ledger.check("t", &unit("j-2", 0)), Err(BudgetExceeded::Team));
}

#[test]
fn a_service_that_starts_does_not_use_up_its_teams_budget() {
    let budgets = budgets(Some(TeamBudget::Count(1)));
    let new = service("j-1", 4, &[], true);
    let ledger = Ledger::new(&budgets, [new, service("j-2", 2, &[0, 1], false)], [], 9);
    assert_eq!(ledger.check("t", &unit("j-2", 0)), Ok(()));
    assert_eq!(ledger.check("t", &unit("j-1", 0)), Err(BudgetExceeded::Service));
}

#[test]
fn shares_are_rounded_down_and_the_record_holds_so_many() {
    let ten = budgets(Some(TeamBudget::Share(0.1)));
    assert_eq!(
        (ten.of_team("t", 10), ten.of_team("t", 19), ten.of_team("t", 9)),
        (Some(1), Some(1), Some(0))
    );
    assert_eq!(ten.of_team("u", 10), None);
    let budgets = budgets(None);
    let open = disruption("j-9", 0);
    let ledger = Ledger::new(&budgets, [service("j-1", 2, &[0, 1], false)], [("t", &open)], 1);
    assert_eq!(ledger.check("t", &unit("j-1", 0)), Err(BudgetExceeded::Team));
}
