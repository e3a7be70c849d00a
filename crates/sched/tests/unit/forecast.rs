use super::*;
use crate::placement::tests::{add_job, replica_with, spec};

#[test]
fn expected_services_are_a_small_share_of_the_running_ones() {
    let mut w = replica_with(&[("a1", "m", "a", false)]);
    assert!(expected_services(&w, 1000).is_none());
    let run: Vec<(u32, &str)> = (0..50).map(|t| (t, "a1")).collect();
    add_job(&mut w, spec("j-1", JobKind::Service, 50), &run);
    assert_eq!(expected_services(&w, 1000).map(|s| s.1), Some(4));
    assert!(expected_services(&w, 100_000).is_none(), "none has come lately");
}

#[test]
fn the_next_step_is_foreseen_when_the_last_tasks_before_it_run() {
    let mut w = replica_with(&[("a1", "m", "a", false)]);
    add_job(&mut w, spec("j-1", JobKind::Array, 2), &[(0, "a1")]);
    let next =
        crate::records::JobRecord::waiting(spec("j-2", JobKind::Array, 3), None, 0, vec!["j-1".into()]);
    w.apply(crate::replica::RecordChange::Job("j-2".into(), Some(Box::new(next))), 3);
    let foreseen = |w: &Replica| next_pipeline_steps(w).map(|s| s.id.clone()).collect::<Vec<_>>();
    assert!(foreseen(&w).is_empty(), "one task before it has no place yet");
    add_job(&mut w, spec("j-1", JobKind::Array, 2), &[(0, "a1"), (1, "a1")]);
    assert_eq!(foreseen(&w), ["j-2"]);
    let mut long = spec("j-1", JobKind::Array, 2);
    long.estimated_runtime_s = 600.0;
    add_job(&mut w, long, &[(0, "a1"), (1, "a1")]);
    assert!(foreseen(&w).is_empty(), "it would stand idle for long");
}

#[test]
fn growth_is_known_only_after_a_while_and_bounded() {
    let mut w = replica_with(&[("a1", "g", "a", false)]);
    let mut gang = spec("j-1", JobKind::Gang, 40);
    gang.gpus = 1.0;
    add_job(&mut w, gang.clone(), &[]);
    let (start, mut demand) = (Instant::now(), GpuDemand::default());
    demand.sample(&w, start);
    gang.id = "j-2".into();
    gang.tasks = 8;
    add_job(&mut w, gang, &[]);
    demand.sample(&w, start + FORECAST_HORIZON / 2);
    assert_eq!(demand.growth(start + FORECAST_HORIZON / 2), 0);
    demand.sample(&w, start + FORECAST_HORIZON);
    assert_eq!(demand.growth(start + FORECAST_HORIZON), 8);
    let later = start + FORECAST_HORIZON * 3;
    demand.sample(&w, later);
    assert_eq!(demand.growth(later), 0);
}
