//! The tests with drawn and with fixed scenarios, and tests of the checker itself.

use super::faults::{Fault, Target};
use super::machines::CANCEL_MS;
use super::*;

/// Seeds that CI runs.
const SEEDS: std::ops::Range<u64> = 0..8;
const COMBINATIONS: usize = 3;

fn scenario(seed: u64) -> Scenario {
    Scenario {
        seed,
        faults: faults::draw(seed, COMBINATIONS),
        defect: Defect::None,
        recovery_ms: RECOVERY_MS,
        drains: false,
    }
}

fn at(starts_at: u64, fault: Fault) -> ScheduledFault {
    ScheduledFault { starts_at, fault }
}

/// The seeds selected by the environment variable `SAGELOOM_SIM_SEEDS`, if it is set.
pub(super) fn seeds_from_environment() -> Option<std::ops::Range<u64>> {
    let text = std::env::var("SAGELOOM_SIM_SEEDS").ok()?;
    let (from, to) = text.split_once("..").expect("FROM..TO");
    Some(from.parse().expect("a number")..to.parse().expect("a number"))
}

#[test]
fn no_rule_is_violated_when_faults_overlap() {
    let seeds = seeds_from_environment().unwrap_or(SEEDS);
    if std::env::var("SAGELOOM_SIM_LOG").is_ok() {
        show_log();
    }
    let (mut failed, mut started, mut late_starts) = (Vec::new(), 0, 0);
    for seed in seeds.clone() {
        let scenario = scenario(seed);
        let outcome = run_scenario(&scenario);
        started += outcome.started;
        late_starts += outcome.late_starts;
        println!(
            "seed {seed}: {} starts, {} jobs done, {} cancelled, {} starts soon after a cancellation, violations: {:?}",
            outcome.started, outcome.done, outcome.cancelled, outcome.late_starts, outcome.violations
        );
        if let Some(rule) = outcome.violations.keys().next() {
            if std::env::var("SAGELOOM_SIM_TRACE").is_ok() {
                outcome.trace.iter().for_each(|line| println!("{line}"));
            } else {
                println!(
                    "seed {seed} violates {rule}; faults needed for it: {:#?}",
                    shrink(&scenario, rule).faults
                );
            }
            failed.push((seed, outcome.violations));
        }
    }
    println!("{} scenarios run, {started} starts, {late_starts} soon after a cancellation", seeds.count());
    assert!(failed.is_empty(), "{failed:#?}");
}

/// The key-value store refuses the leader alone while jobs are cancelled through the other
/// controllers. Then the store is unavailable to all for longer than a cancellation may take.
/// The leader must renew worker leases only as far as its peers inform it of cancellations.
#[test]
fn cancelled_jobs_stop_when_the_store_refuses_the_leader_before_an_outage() {
    for seed in 0..3 {
        let refused =
            Fault::StoreRefusal { target: Target::Leader, for_ms: 2400, then_all_ms: CANCEL_MS + 6000 };
        // By then replicas of services run, which do not end by themselves.
        let faults = vec![at(45_000, refused), at(46_000, Fault::CancelRunning { count: 40, hang_ms: 0 })];
        let outcome =
            run_scenario(&Scenario { seed, faults, defect: Defect::None, recovery_ms: 0, drains: false });
        assert!(outcome.violations.is_empty(), "seed {seed}: {:?}", outcome.violations);
    }
}

/// Asserts that the checker reports a violation of the rule when the defect is injected.
fn assert_violation_found(rule: &str, defect: Defect, faults: &[ScheduledFault], recovery_ms: u64) {
    let found = |seed| {
        let scenario = Scenario { seed, faults: faults.to_vec(), defect, recovery_ms, drains: false };
        run_scenario(&scenario).violations.contains_key(rule)
    };
    assert!((0..8).any(found), "{defect:?}: {rule}");
}

/// Users cancel running jobs.
fn cancel_running() -> ScheduledFault {
    at(18_000, Fault::CancelRunning { count: 8, hang_ms: 0 })
}

/// More jobs are submitted than the limits allow to run.
fn submission_burst() -> ScheduledFault {
    at(9000, Fault::SubmissionBurst { count: 30 })
}

#[test]
fn the_checker_finds_violations_when_machines_ignore_the_protocol() {
    let machine_hang = at(17_500, Fault::MachineHang { count: 9, for_ms: 20_000 });
    assert_violation_found("ran_twice", Defect::ReleasesIgnored, &[machine_hang], 0);
    // The tasks outlive the leases while no message reaches the machines.
    let inbound_loss = at(17_500, Fault::InboundLoss { count: 9, for_ms: CANCEL_MS + 15_000 });
    assert_violation_found("ran_cancelled", Defect::LeasesIgnored, &[inbound_loss, cancel_running()], 0);
    assert_violation_found("ran_cancelled", Defect::StopsIgnored, &[cancel_running()], CANCEL_MS);
    assert_violation_found("started_cancelled", Defect::StoppedTaskRestarted, &[], CANCEL_MS);
    let second_burst = at(25_000, Fault::SubmissionBurst { count: 30 });
    assert_violation_found(
        "invalid_placement",
        Defect::SpotReportedOnDemand,
        &[submission_burst(), second_burst],
        CANCEL_MS,
    );
    assert_violation_found("nothing_ran", Defect::StartsIgnored, &[], 0);
}

#[test]
fn the_checker_finds_violations_when_users_get_wrong_answers() {
    assert_violation_found("reported_done_early", Defect::FailureReportedDone, &[], 0);
    assert_violation_found("job_lost", Defect::RecordDeleted, &[], 10_000);
    assert_violation_found("job_lost", Defect::FalseNotFound, &[], 0);
    assert_violation_found("state_reverted", Defect::RecordReverted, &[cancel_running()], 10_000);
    assert_violation_found("state_reverted", Defect::OpenReportedCancelled, &[], 0);
    assert_violation_found("unknown_job", Defect::RecordFabricated, &[], 10_000);
    assert_violation_found(
        "accepted_invalid_job",
        Defect::RejectionReportedAccepted,
        &[at(15_000, Fault::InvalidRequests { for_ms: 10_000 })],
        0,
    );
}

#[test]
fn the_checker_finds_violations_when_jobs_wait_start_early_or_exceed_limits() {
    assert_violation_found("quota", Defect::RaisedTeamLimit, &[submission_burst()], 0);
    assert_violation_found(
        "started_before_dependencies",
        Defect::DependenciesDropped,
        &[submission_burst()],
        0,
    );
    assert_violation_found(
        "dependent_not_cancelled",
        Defect::DependenciesDropped,
        &[submission_burst(), cancel_running()],
        CANCEL_MS * 2,
    );
    // These are found only after all faults have ended.
    assert_violation_found("waited_despite_capacity", Defect::StartsIgnored, &[], RECOVERY_MS);
    assert_violation_found("job_lost", Defect::AnswersDropped, &[], RECOVERY_MS);
}

/// Guards against a scenario that takes another course when it runs again with the same seed, so that
/// whether the checker finds a violation is left to chance.
#[test]
fn a_scenario_is_decided_by_its_seed_alone() {
    for seed in SEEDS {
        let scenario = scenario(seed);
        let (first, second) = std::thread::scope(|scope| {
            let run = || run_scenario(&scenario).messages;
            let (first, second) = (scope.spawn(run), scope.spawn(run));
            (first.join().expect("a run"), second.join().expect("a run"))
        });
        let difference = first.iter().zip(&second).find(|(one, other)| one != other);
        assert_eq!(difference, None, "seed {seed}");
        assert_eq!(first.len(), second.len(), "seed {seed}");
    }
}
