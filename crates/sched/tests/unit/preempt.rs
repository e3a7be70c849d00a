use super::*;
use crate::placement::tests::{add_job, inventory, replica_with, spec, team};
use wire::Priority;

#[test]
fn a_job_within_its_guarantee_preempts_only_jobs_beyond_theirs() {
    let mut replica = replica_with(&[("a1", "m", "a", false)]);
    let mut other_team = spec("j-1", JobKind::Array, 4);
    other_team.team = "u".into();
    add_job(&mut replica, other_team, &[(0, "a1"), (1, "a1"), (2, "a1"), (3, "a1")]);
    let preemptor = spec("j-2", JobKind::Array, 1);
    let find_with_guaranteed = |guaranteed: &[&str]| {
        let guaranteed = guaranteed.iter().map(|id| (*id).to_owned()).collect();
        find_victims(
            &RunningTasks::new(&replica, &inventory(&replica)),
            &inventory(&replica),
            (&preemptor, preemptor.priority),
            &guaranteed,
            &[],
            false,
            |_| true,
        )
    };
    assert!(find_with_guaranteed(&[]).is_none(), "same priority, no guarantee");
    assert!(find_with_guaranteed(&["j-1", "j-2"]).is_none(), "both within their guarantees");
    let (machine, victims) = find_with_guaranteed(&["j-2"]).expect("beyond its guarantee");
    assert_eq!((&*machine, victims.len()), ("a1", 1));
}

#[test]
fn higher_priority_is_never_preempted_and_capacity_is_not_freed_twice() {
    let mut replica = replica_with(&[("a1", "m", "a", false)]);
    let mut service = spec("j-1", JobKind::Service, 3);
    service.priority = Priority::Production;
    add_job(&mut replica, service, &[(0, "a1"), (1, "a1"), (2, "a1")]);
    add_job(&mut replica, spec("j-2", JobKind::Array, 1), &[(0, "a1")]);
    let mut preemptor = spec("j-3", JobKind::Service, 2);
    preemptor.priority = Priority::High;
    let found = |already_chosen: &[Victim]| {
        find_victims(
            &RunningTasks::new(&replica, &inventory(&replica)),
            &inventory(&replica),
            (&preemptor, preemptor.priority),
            &HashSet::default(),
            already_chosen,
            false,
            |_| true,
        )
    };
    let (_, first) = found(&[]).expect("the array's task");
    assert_eq!(first[0].job, "j-2");
    preemptor.cpus = 4.0;
    assert!(
        find_victims(
            &RunningTasks::new(&replica, &inventory(&replica)),
            &inventory(&replica),
            (&preemptor, preemptor.priority),
            &HashSet::default(),
            &first,
            false,
            |_| true
        )
        .is_none()
    );
}

#[test]
fn a_gang_with_many_attempts_is_spared() {
    let mut replica = replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false)]);
    add_job(&mut replica, spec("j-1", JobKind::Gang, 1), &[(0, "a1")]);
    let mut restarted = replica.jobs["j-1"].value.as_ref().clone();
    (restarted.attempt, restarted.assignments[0].attempt) = (5, 5);
    replica.apply(crate::replica::RecordChange::Job("j-1".into(), Some(Box::new(restarted))), 3);
    add_job(&mut replica, spec("j-2", JobKind::Gang, 2), &[(0, "a2"), (1, "a2")]);
    let mut preemptor = spec("j-3", JobKind::Service, 1);
    (preemptor.priority, preemptor.cpus) = (Priority::Production, 7.0);
    let found = find_victims(
        &RunningTasks::new(&replica, &inventory(&replica)),
        &inventory(&replica),
        (&preemptor, preemptor.priority),
        &HashSet::default(),
        &[],
        false,
        |_| true,
    );
    assert_eq!(found.map(|found| found.0.to_string()), Some("a2".to_owned()));
}

#[test]
fn a_teams_own_arrays_are_preempted_within_its_quota() {
    let mut replica = replica_with(&[("a1", "m", "a", false)]);
    add_job(&mut replica, spec("j-1", JobKind::Array, 3), &[(0, "a1"), (1, "a1"), (2, "a1")]);
    let mut preemptor = spec("j-2", JobKind::Service, 1);
    preemptor.priority = Priority::Production;
    let limited = Team { cpus_max: 7.0, ..team() };
    assert_eq!(
        find_victims_within_team(
            &replica,
            &inventory(&replica),
            (&preemptor, preemptor.priority),
            1,
            &limited
        )
        .map(|victims| victims.len()),
        Some(1)
    );
    assert!(
        find_victims_within_team(
            &replica,
            &inventory(&replica),
            (&preemptor, preemptor.priority),
            1,
            &team()
        )
        .is_none(),
        "the task fits into the quota"
    );
}
