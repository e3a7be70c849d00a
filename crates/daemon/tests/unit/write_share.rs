use super::*;
use sched::replica::RecordChange;

/// The write rate goes to the controllers whose jobs have to be written.
#[test]
fn write_share_grows_when_a_controller_schedules_more_jobs() {
    let controller = crate::scale::controller(40, 4);
    let mut state = controller.state();
    let share_of = |state: &ControllerState, name: &str| share_by_jobs(state, name).expect("live");
    let me = controller.identity.name.clone();
    let sum = |state: &ControllerState| {
        let names = [me.as_str(), "n-1", "n-2", "n-3"];
        names.iter().map(|n| share_of(state, n)).sum::<f64>()
    };
    assert!((sum(&state) - TOTAL_SHARE).abs() < 1e-9);
    let before = share_of(&state, "n-2");
    for n in 0..20 {
        let spec = crate::worker::tests::spec(&format!("j-{n}"), JobKind::Array);
        let job = sched::records::JobRecord::new(spec, Some("n-2".into()), 0);
        state.records.replica.apply(RecordChange::Job(format!("j-{n}"), Some(Box::new(job))), 1 << 40);
    }
    assert!(share_of(&state, "n-2") > before * 2.0 && share_of(&state, &me) >= MIN_LEADER_SHARE);
    assert!((sum(&state) - TOTAL_SHARE).abs() < 1e-9);
    assert!(share_by_jobs(&state, "n-9").is_none());
}
