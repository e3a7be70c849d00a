use super::*;
use crate::site::drain_record;
use sched::drain_records::ObstacleKind;

const ATTEMPT: Duration = Duration::from_secs(60);

fn apply_capacity_missing(record: &mut DrainRecord, now_ms: u64) {
    apply(record, Event::CapacityMissing { attempt: ATTEMPT }, now_ms).expect("active");
}

#[test]
fn the_capacity_search_ends_after_a_few_attempts_with_growing_pauses() {
    let mut record = drain_record(1);
    let (mut now, mut pauses) = (1000, Vec::new());
    while record.is_active() {
        apply_capacity_missing(&mut record, now);
        if !is_seeking_capacity(&record, now) && record.is_active() {
            pauses.push((record.capacity_search.since_ms - now) / 1000);
            now = record.capacity_search.since_ms;
        }
        now += 1000;
        assert!(now < 3_600_000, "the search never ends");
    }
    assert_eq!(pauses, [15, 30, 60]);
    assert_eq!((record.phase, record.capacity_search.failed), (DrainPhase::Closing(DrainEnd::NoCapacity), 0));
}

#[test]
fn a_move_resets_the_capacity_search() {
    let mut record = drain_record(1);
    for now in [1000, 62_000] {
        apply_capacity_missing(&mut record, now);
    }
    assert_eq!(record.capacity_search.failed, 1);
    apply(&mut record, Event::Moved(2), 70_000).expect("active");
    assert_eq!((record.capacity_search, record.moved), (CapacitySearch::default(), 2));
}

#[test]
fn an_obstacle_keeps_its_start_time_and_ends_the_drain_after_the_limit() {
    let obstacle = |job: &str| Obstacle {
        kind: ObstacleKind::TeamBudget,
        team: "t".into(),
        job: job.into(),
        machine: String::new(),
        since_ms: 0,
    };
    let mut record = DrainRecord { give_up_ms: 5000, ..drain_record(1) };
    for (job, now, since) in [("j-1", 1000, 1000), ("j-1", 4000, 1000), ("j-2", 5000, 5000)] {
        apply(&mut record, Event::ObstacleObserved(Some(obstacle(job))), now).expect("active");
        assert_eq!(record.obstacle.as_ref().map(|o| o.since_ms), Some(since));
    }
    apply(&mut record, Event::ObstacleObserved(Some(obstacle("j-2"))), 10_000).expect("active");
    assert_eq!(record.phase, DrainPhase::Closing(DrainEnd::GaveUp));
    assert!(record.obstacle.is_some(), "the record tells why the drain gave up");
}

#[test]
fn only_closed_drains_are_resumed_and_only_active_ones_are_stopped() {
    let mut record = drain_record(1);
    assert_eq!(apply(&mut record, Event::ResumeRequested, 1), Err(LifecycleError::NotOver));
    apply(&mut record, Event::StopRequested, 1).expect("active");
    assert_eq!(apply(&mut record, Event::Moved(1), 2), Err(LifecycleError::Over));
    assert_eq!(apply(&mut record, Event::ResumeRequested, 2), Err(LifecycleError::NotOver));
    apply(&mut record, Event::CordonsLifted, 3).expect("closing");
    apply(&mut record, Event::ResumeRequested, 4).expect("over");
    assert_eq!((record.phase, record.started_ms), (DrainPhase::Active, 4));
    record.phase = DrainPhase::Closed(DrainEnd::Finished);
    assert_eq!(apply(&mut record, Event::ResumeRequested, 5), Err(LifecycleError::Finished));
}
