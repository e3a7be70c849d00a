use super::*;
use crate::placement::tests::{add_job, inventory, replica_with, spec, team};
use wire::Priority;

#[test]
fn a_guarantee_preempts_only_jobs_beyond_theirs() {
    let mut w = replica_with(&[("a1", "m", "a", false)]);
    let mut old = spec("j-1", JobKind::Array, 4);
    old.team = "u".into();
    add_job(&mut w, old, &[(0, "a1"), (1, "a1"), (2, "a1"), (3, "a1")]);
    let s = spec("j-2", JobKind::Array, 1);
    let find = |within: &[&str]| {
        let within = within.iter().map(|s| (*s).to_owned()).collect();
        find_victims(
            &RunningTasks::new(&w, &inventory(&w)),
            &inventory(&w),
            (&s, s.priority),
            &within,
            &[],
            false,
            |_| true,
        )
    };
    assert!(find(&[]).is_none(), "same priority, no guarantee");
    assert!(find(&["j-1", "j-2"]).is_none(), "both within their guarantees");
    let (machine, list) = find(&["j-2"]).expect("beyond its guarantee");
    assert_eq!((&*machine, list.len()), ("a1", 1));
}

#[test]
fn higher_priority_is_never_preempted_and_capacity_is_not_freed_twice() {
    let mut w = replica_with(&[("a1", "m", "a", false)]);
    let mut service = spec("j-1", JobKind::Service, 3);
    service.priority = Priority::Production;
    add_job(&mut w, service, &[(0, "a1"), (1, "a1"), (2, "a1")]);
    add_job(&mut w, spec("j-2", JobKind::Array, 1), &[(0, "a1")]);
    let mut s = spec("j-3", JobKind::Service, 2);
    s.priority = Priority::High;
    let found = |chosen: &[Victim]| {
        find_victims(
            &RunningTasks::new(&w, &inventory(&w)),
            &inventory(&w),
            (&s, s.priority),
            &HashSet::default(),
            chosen,
            false,
            |_| true,
        )
    };
    let (_, first) = found(&[]).expect("the array's task");
    assert_eq!(first[0].job, "j-2");
    s.cpus = 4.0;
    assert!(
        find_victims(
            &RunningTasks::new(&w, &inventory(&w)),
            &inventory(&w),
            (&s, s.priority),
            &HashSet::default(),
            &first,
            false,
            |_| true
        )
        .is_none()
    );
}

#[test]
fn a_gang_that_was_stopped_before_is_spared() {
    let mut w = replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false)]);
    add_job(&mut w, spec("j-1", JobKind::Gang, 1), &[(0, "a1")]);
    let mut often = w.jobs["j-1"].value.as_ref().clone();
    (often.attempt, often.assignments[0].attempt) = (5, 5);
    w.apply(crate::replica::RecordChange::Job("j-1".into(), Some(Box::new(often))), 3);
    add_job(&mut w, spec("j-2", JobKind::Gang, 2), &[(0, "a2"), (1, "a2")]);
    let mut s = spec("j-3", JobKind::Service, 1);
    (s.priority, s.cpus) = (Priority::Production, 7.0);
    let found = find_victims(
        &RunningTasks::new(&w, &inventory(&w)),
        &inventory(&w),
        (&s, s.priority),
        &HashSet::default(),
        &[],
        false,
        |_| true,
    );
    assert_eq!(found.map(|f| f.0.to_string()), Some("a2".to_owned()));
}

#[test]
fn a_teams_own_arrays_are_preempted_within_its_quota() {
    let mut w = replica_with(&[("a1", "m", "a", false)]);
    add_job(&mut w, spec("j-1", JobKind::Array, 3), &[(0, "a1"), (1, "a1"), (2, "a1")]);
    let mut s = spec("j-2", JobKind::Service, 1);
    s.priority = Priority::Production;
    let limited = Team { cpus_max: 7.0, ..team() };
    assert_eq!(
        find_victims_within_team(&w, &inventory(&w), (&s, s.priority), 1, &limited).map(|v| v.len()),
        Some(1)
    );
    assert!(
        find_victims_within_team(&w, &inventory(&w), (&s, s.priority), 1, &team()).is_none(),
        "there is room in the limit"
    );
}
