use super::*;
use crate::placement::tests::{add_job, replica_with, spec};

#[test]
fn expected_services_are_a_small_share_of_the_running_ones() {
    let mut replica = replica_with(&[("a1", "m", "a", false)]);
    assert!(expected_services(&replica, 1000).is_none());
    let assignments: Vec<(u32, &str)> = (0..50).map(|task| (task, "a1")).collect();
    add_job(&mut replica, spec("j-1", JobKind::Service, 50), &assignments);
    assert_eq!(expected_services(&replica, 1000).map(|expected| expected.1), Some(4));
    assert!(expected_services(&replica, 100_000).is_none(), "no service was submitted within the horizon");
}

#[test]
fn a_pipeline_step_is_forecast_when_the_last_tasks_of_its_dependency_run() {
    let mut replica = replica_with(&[("a1", "m", "a", false)]);
    add_job(&mut replica, spec("j-1", JobKind::Array, 2), &[(0, "a1")]);
    let dependent =
        crate::records::JobRecord::waiting(spec("j-2", JobKind::Array, 3), None, 0, vec!["j-1".into()]);
    replica.apply(crate::replica::RecordChange::Job("j-2".into(), Some(Box::new(dependent))), 3);
    let forecast =
        |replica: &Replica| next_pipeline_steps(replica).map(|spec| spec.id.clone()).collect::<Vec<_>>();
    assert!(forecast(&replica).is_empty(), "one task of the dependency is not assigned yet");
    add_job(&mut replica, spec("j-1", JobKind::Array, 2), &[(0, "a1"), (1, "a1")]);
    assert_eq!(forecast(&replica), ["j-2"]);
    let mut long = spec("j-1", JobKind::Array, 2);
    long.estimated_runtime_s = 600.0;
    add_job(&mut replica, long, &[(0, "a1"), (1, "a1")]);
    assert!(
        forecast(&replica).is_empty(),
        "the dependency runs too long: a machine requested now would be idle"
    );
}

#[test]
fn growth_is_zero_until_samples_cover_the_horizon() {
    let mut replica = replica_with(&[("a1", "g", "a", false)]);
    let mut gang = spec("j-1", JobKind::Gang, 40);
    gang.gpus = 1.0;
    add_job(&mut replica, gang.clone(), &[]);
    let (start, mut demand) = (Instant::now(), GpuDemand::default());
    demand.sample(&replica, start);
    gang.id = "j-2".into();
    gang.tasks = 8;
    add_job(&mut replica, gang, &[]);
    demand.sample(&replica, start + FORECAST_HORIZON / 2);
    assert_eq!(demand.growth(start + FORECAST_HORIZON / 2), 0);
    demand.sample(&replica, start + FORECAST_HORIZON);
    assert_eq!(demand.growth(start + FORECAST_HORIZON), 8);
    let later = start + FORECAST_HORIZON * 3;
    demand.sample(&replica, later);
    assert_eq!(demand.growth(later), 0);
}
