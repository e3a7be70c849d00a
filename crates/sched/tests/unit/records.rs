use wire::JobKind;

use super::*;

#[test]
fn ranges_merge_adjacent_numbers_and_count_members() {
    let mut ranges = Ranges::default();
    for n in [5, 3, 4, 0, 1, 2, 9, 4] {
        ranges.insert(n);
    }
    assert_eq!(ranges, Ranges(vec![(0, 6), (9, 10)]));
    assert_eq!((ranges.len(), ranges.first_missing()), (7, 6));
    assert!(ranges.contains(5) && !ranges.contains(6) && ranges.contains(9));
}

#[test]
fn owner_is_in_the_zone_of_the_machine_while_the_zone_has_a_controller() {
    let member = |n: &str, z: &str| Member { name: n.into(), zone: z.into(), incarnation: 1 };
    let map = ClusterMap { epoch: 1, live: vec![member("a", "x"), member("b", "y"), member("c", "x")] };
    for i in 0..50 {
        let owner = map.owner(&format!("host-{i:06}"), "y").map(|m| m.name.as_str());
        assert_eq!(owner, Some("b"));
    }
    let count_owned_by_a =
        |z| (0..50).filter_map(|i| map.owner(&format!("host-{i:06}"), z)).filter(|m| m.name == "a").count();
    assert!((10..40).contains(&count_owned_by_a("x")));
    assert!((5..30).contains(&count_owned_by_a("z")));
}

/// A job with all its tasks on one machine.
fn running_job(kind: JobKind, tasks: u32) -> JobRecord {
    let spec = crate::placement::tests::spec("j-1", kind, tasks);
    let mut job = JobRecord::new(spec, None, 0);
    (0..tasks).for_each(|task| start(&mut job, task));
    job
}

fn start(job: &mut JobRecord, task: u32) {
    job.attempt = job.attempt.max(1);
    let attempt = job.attempt;
    job.assignments.push(Assignment {
        task,
        attempt,
        machine: "host-1".into(),
        desired: DesiredState::Running,
    });
    job.assignments.sort_unstable_by_key(|assignment| assignment.task);
}

fn end(job: &mut JobRecord, task: u32, reason: TerminationReason, now_ms: u64) {
    let attempt = job.assignments.iter().find(|a| a.task == task).map_or(0, |a| a.attempt);
    job.end_assignment(task, attempt, reason, now_ms, 60);
}

/// One faulty machine made a job wait for 32 s after its first start, as each failed task counted.
#[test]
fn tasks_that_a_machine_fails_together_delay_the_next_start_by_one_second() {
    for kind in [JobKind::Array, JobKind::Gang, JobKind::Service] {
        let mut job = running_job(kind, 8);
        (0..8).for_each(|task| end(&mut job, task, TerminationReason::Error, 1000));
        assert_eq!(job.retry_at_ms(), 2000, "{kind:?}");
        assert!(!job.keeps_failing(2000), "{kind:?}: it may be the machine");
        start(&mut job, 0);
        end(&mut job, 0, TerminationReason::Error, 3000);
        assert_eq!(job.retry_at_ms(), 5000, "{kind:?}: the next start fails, too");
        assert!(job.keeps_failing(5000), "{kind:?}");
    }
}

/// A replica never is done, so the failed starts of a service counted for the rest of its life.
#[test]
fn failed_starts_no_longer_count_after_a_long_run() {
    const LONG_RUN_MS: u64 = 600_000;
    for (reason, expected) in [(TerminationReason::Lost, 0), (TerminationReason::Error, 1)] {
        let mut job = running_job(JobKind::Service, 1);
        (job.failed_starts, job.last_failure_ms) = (8, 1000);
        end(&mut job, 0, reason, LONG_RUN_MS);
        assert_eq!(job.failed_starts, expected, "{reason:?}");
    }
}

/// A replica that fails at each retry must not be restarted without delay because others run.
#[test]
fn failed_starts_count_on_while_other_replicas_run() {
    const RETRY_INTERVAL_MS: u64 = 33_000;
    let mut job = running_job(JobKind::Service, 2);
    for n in 1..=10 {
        end(&mut job, 1, TerminationReason::Error, u64::from(n) * RETRY_INTERVAL_MS);
        assert_eq!(job.failed_starts, n);
        start(&mut job, 1);
    }
}
