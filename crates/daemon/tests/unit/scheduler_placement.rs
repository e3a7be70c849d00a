use std::collections::BTreeMap;
use std::time::Instant;

use sched::records::{
    Assignment, ClusterMap, DesiredState, JobRecord, MachineRecord, MachineTypesRecord, Name,
};
use wire::{JobKind, MachineType};

use super::pass::remaining_reservation;
use super::preemption::{MAX_PREEMPTION_DELAY_MS, waits_instead_of_preempting};
use crate::controller::Controller;
use crate::worker::tests::spec;

#[test]
fn capacity_freed_for_an_array_stays_reserved_until_its_tasks_are_placed() {
    let assignment_on = |task, machine: &str| Assignment {
        task,
        attempt: 1,
        machine: machine.into(),
        desired: DesiredState::Running,
    };
    let reserved = || ["a", "a", "b", "c"].map(Name::from).to_vec();
    let placed = [assignment_on(0, "a"), assignment_on(1, "x")];
    let mut remaining = remaining_reservation(reserved(), &placed, 9);
    remaining.sort_unstable();
    assert_eq!(remaining.iter().map(|m| &**m).collect::<Vec<_>>(), ["a", "b", "c"]);
    assert_eq!(remaining_reservation(reserved(), &placed, 1).len(), 1);
    assert!(remaining_reservation(reserved(), &placed, 0).is_empty());
}

#[test]
fn arrays_of_a_pipeline_with_time_left_do_not_preempt_at_once() {
    let mut array = spec("j-1", JobKind::Array);
    (array.estimated_runtime_s, array.deadline_s) = (10.0, Some(60.0));
    let mut job = JobRecord::new(array, None, 0);
    assert!(!waits_instead_of_preempting(&job, 1000), "not a step of a pipeline");
    job.accepted_ms = 1;
    assert!(!waits_instead_of_preempting(&job, 1000), "the last step, with its own priority");
    job.urgency.priority = Some(wire::Priority::High);
    assert!(waits_instead_of_preempting(&job, 1000));
    assert!(
        !waits_instead_of_preempting(&job, MAX_PREEMPTION_DELAY_MS),
        "it has waited for the maximum time"
    );
    job.urgency.deadline_ms = Some(20_000);
    assert!(
        !waits_instead_of_preempting(&job, 1000),
        "later steps of the pipeline would miss their deadlines"
    );
}

/// Runs one scheduling cycle with these jobs. The only controller leads, and the only machine has
/// twice the capacity of the team's limit. Returns the number of assignments of each job that the
/// cycle changes.
fn run_cycle(jobs: Vec<JobRecord>) -> BTreeMap<String, usize> {
    run_cycle_at(1000, machine_types_without_gpus(), jobs)
}

/// One type, twice as large as the team's limit.
fn machine_types_without_gpus() -> Vec<MachineType> {
    vec![crate::worker::tests::machine_type(f64::from(TEAM_TASK_LIMIT) * 2.0, 64.0, &["a"])]
}

/// Like [`run_cycle`] at this time of day, with a machine of the first of these types.
fn run_cycle_at(
    now_ms: u64,
    machine_types: Vec<MachineType>,
    jobs: Vec<JobRecord>,
) -> BTreeMap<String, usize> {
    use crate::operators::OperatorSettings;
    use crate::settings::Settings;
    use crate::settings::tests::EXAMPLE;
    use crate::worker::Worker;
    use crate::worker::tests::first_token;
    use sched::replica::RecordChange;

    let controller =
        Controller::new(Settings::parse("example", EXAMPLE).expect("valid"), OperatorSettings::default(), 1);
    let now = Instant::now();
    let mut state = controller.state();
    state.records.is_loaded = true;
    let machine = MachineRecord {
        addr: "host-1".into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        release: false,
    };
    let mut changes = vec![
        RecordChange::Types(Some(MachineTypesRecord { types: machine_types })),
        RecordChange::Leader(Some(controller.identity.clone())),
        RecordChange::Map(Some(ClusterMap { epoch: 7, live: vec![controller.identity.clone()] })),
        RecordChange::Machine("host-1".into(), Some(machine)),
    ];
    let job_id = |j: &JobRecord| j.spec.as_ref().expect("open").id.clone();
    changes.extend(jobs.into_iter().map(|j| RecordChange::Job(job_id(&j), Some(Box::new(j)))));
    for (n, change) in changes.into_iter().enumerate() {
        state.records.replica.apply(change, n as u64 + 1);
    }
    let mut worker = Worker::new("host-1".into(), 7, now);
    let heartbeat = serde_json::json!({"frame": "host-1", "addr": "host-1", "shape": "m", "bay": "a",
        "loaner": false, "stint": 1, "tally": 1, "baton": first_token(7), "threads": []});
    worker.receive_heartbeat(wire::decode(&wire::encode(&heartbeat)).expect("a heartbeat"), now);
    state.machines.workers.insert("host-1".into(), worker);
    let cycle = crate::scheduler::decide(
        &controller,
        &mut state,
        crate::scheduler::CycleContext::new(16, now, now_ms),
    )
    .expect("a cycle");
    cycle.jobs.iter().map(|(id, j)| (id.clone(), j.assignments.len())).collect()
}

fn pending_job(id: &str, kind: JobKind, priority: wire::Priority, tasks: u32) -> JobRecord {
    JobRecord::new(wire::JobSpec { priority, tasks, ..spec(id, kind) }, None, 0)
}

/// The limit of the team in the example settings, in tasks.
const TEAM_TASK_LIMIT: u32 = 8;

/// A gang of low priority that an array of its team has preempted is pending again. Its claim on
/// the quota of the team must not keep the array out of the freed capacity: the gang would be
/// placed there and preempted again twice a second, and no work would get done.
#[test]
fn a_preempted_gang_claims_no_quota_against_its_preemptor() {
    let array = pending_job("j-1", JobKind::Array, wire::Priority::High, 2);
    let gang = pending_job("j-2", JobKind::Gang, wire::Priority::Low, TEAM_TASK_LIMIT);
    let assigned = run_cycle(vec![array, gang]);
    assert_eq!(assigned.get("j-1"), Some(&2), "the array is placed first");
    assert!(assigned.get("j-2").is_none_or(|n| *n == 0), "and the gang beyond its limit is not");
}

/// A gang that does not fit into the limit of its team beside the replicas of the team waits until
/// they are cancelled, perhaps for good. Its claim kept arrays out of the remaining quota for the
/// whole day: in randomly generated days of the simulation, no array of a team ever started.
#[test]
fn a_gang_that_cannot_fit_claims_no_quota() {
    let mut service = pending_job("j-1", JobKind::Service, wire::Priority::Low, 3);
    service.attempt = 1;
    let assignment =
        |task| Assignment { task, attempt: 1, machine: "host-1".into(), desired: DesiredState::Running };
    service.assignments = (0..3).map(assignment).collect();
    let gang = |tasks| pending_job("j-2", JobKind::Gang, wire::Priority::High, tasks);
    let array = || pending_job("j-3", JobKind::Array, wire::Priority::Normal, 2);
    let assigned = run_cycle(vec![service.clone(), gang(TEAM_TASK_LIMIT - 2), array()]);
    assert_eq!(assigned.get("j-3"), Some(&2));
    // A gang that fits goes first, and the array does not keep it out.
    let assigned = run_cycle(vec![service, gang(TEAM_TASK_LIMIT - 3), array()]);
    assert_eq!((assigned.get("j-2"), assigned.get("j-3")), (Some(&(TEAM_TASK_LIMIT as usize - 3)), None));
}

/// A machine type with GPUs, of which a machine is up, and optionally one without that is as large.
fn machine_types_with_gpus(is_alternative_offered: bool) -> Vec<MachineType> {
    let without_gpus = machine_types_without_gpus().remove(0);
    let with_gpus = MachineType { gpus: 4.0, ..without_gpus.clone() };
    let alternative = MachineType { name: "without-gpus".into(), ..without_gpus };
    [Some(with_gpus), is_alternative_offered.then_some(alternative)].into_iter().flatten().collect()
}

/// A GPU job that comes after the others in the queue, and takes the CPUs of one GPU.
fn waiting_gpu_job() -> JobRecord {
    let mut job = pending_job("j-9", JobKind::Gang, wire::Priority::Normal, 1);
    let spec = job.spec.as_mut().expect("open");
    (spec.cpus, spec.gpus) = (f64::from(TEAM_TASK_LIMIT / 2), 1.0);
    job
}

/// Capacity that GPU jobs could use was kept without an end, also from jobs that fit on no other machine.
#[test]
fn jobs_that_fit_only_on_machines_with_gpus_are_placed_there_unless_gpu_jobs_wait() {
    for kind in [JobKind::Array, JobKind::Gang] {
        let job = || pending_job("j-1", kind, wire::Priority::Normal, 2);
        let placed = |types, jobs| run_cycle_at(1000, types, jobs).get("j-1").copied();
        assert_eq!(placed(machine_types_with_gpus(false), vec![job()]), Some(2), "{kind:?}");
        assert_eq!(placed(machine_types_with_gpus(true), vec![job()]), None, "{kind:?}");
        assert_eq!(placed(machine_types_with_gpus(false), vec![job(), waiting_gpu_job()]), None, "{kind:?}");
    }
}

/// A job that has no other machine type waited for as long as GPU jobs did, beside a machine with room for
/// it.
#[test]
fn no_job_waits_without_end_for_capacity_that_is_kept_for_gpu_jobs() {
    const LONG_WAIT_MS: u64 = 61_000;
    let job = |kind| pending_job("j-1", kind, wire::Priority::Normal, 3);
    let placed = |types, jobs| run_cycle_at(LONG_WAIT_MS, types, jobs).get("j-1").copied();
    for (kind, tasks) in [(JobKind::Array, 1), (JobKind::Gang, 3)] {
        let without_alternative = || machine_types_with_gpus(false);
        assert_eq!(placed(without_alternative(), vec![job(kind), waiting_gpu_job()]), Some(tasks));
        // Those that could run elsewhere do not come between GPU jobs.
        assert_eq!(placed(machine_types_with_gpus(true), vec![job(kind), waiting_gpu_job()]), None);
    }
    // One task of these at a time comes between GPU jobs, whichever array it is of.
    let second = || pending_job("j-2", JobKind::Array, wire::Priority::Normal, 3);
    let jobs = vec![job(JobKind::Array), second(), waiting_gpu_job()];
    let assigned = run_cycle_at(LONG_WAIT_MS, machine_types_with_one_gpu(), jobs);
    assert_eq!((assigned.get("j-1"), assigned.get("j-2")), (Some(&1), None));
    let started = with_assignments(second(), 1);
    let jobs = vec![job(JobKind::Array), started, waiting_gpu_job()];
    assert_eq!(run_cycle_at(LONG_WAIT_MS, machine_types_with_one_gpu(), jobs).get("j-1"), None);
}

/// A machine type of which one task of [`waiting_gpu_job`] takes all.
fn machine_types_with_one_gpu() -> Vec<MachineType> {
    let cpus = f64::from(TEAM_TASK_LIMIT / 2);
    vec![MachineType { gpus: 1.0, ..crate::worker::tests::machine_type(cpus, 64.0, &["a"]) }]
}

/// The job with its first tasks on the machine.
fn with_assignments(mut job: JobRecord, tasks: u32) -> JobRecord {
    let assignment =
        |task| Assignment { task, attempt: 1, machine: "host-1".into(), desired: DesiredState::Running };
    job.attempt = 1;
    job.assignments = (0..tasks).map(assignment).collect();
    job
}

/// Tasks of arrays took the place of others on a machine that a GPU job needs as a whole, so that it
/// waited for as long as there were any.
#[test]
fn a_machine_that_a_gpu_job_gets_once_arrays_have_ended_is_not_filled_up_again() {
    let array = |tasks| pending_job("j-1", JobKind::Array, wire::Priority::Normal, tasks);
    let placed = |jobs| run_cycle_at(1000, machine_types_with_one_gpu(), jobs).get("j-1").copied();
    // The machine has four CPUs; one is free.
    assert_eq!(placed(vec![with_assignments(array(4), 3), waiting_gpu_job()]), None);
    assert_eq!(placed(vec![with_assignments(array(4), 3)]), Some(4), "no GPU job waits");
    // The GPU job does not fit beside a service either.
    let service = || with_assignments(pending_job("j-2", JobKind::Service, wire::Priority::Normal, 3), 3);
    let elsewhere = || {
        let mut job = array(1);
        job.spec.as_mut().expect("open").types = Some(vec!["m".into(), "without-gpus".into()]);
        job
    };
    let types = || {
        let alternative = machine_types_without_gpus().remove(0);
        let alternative = MachineType { name: "without-gpus".into(), ..alternative };
        [machine_types_with_one_gpu(), vec![alternative]].concat()
    };
    let jobs = vec![elsewhere(), service(), waiting_gpu_job()];
    assert_eq!(run_cycle_at(1000, types(), jobs).get("j-1"), Some(&1));
}

/// A GPU job that waits for its team's quota kept others from machines that it cannot use yet.
#[test]
fn nothing_is_kept_for_a_gpu_job_that_waits_for_quota() {
    let mut gpu_job = waiting_gpu_job();
    gpu_job.spec.as_mut().expect("open").tasks = 2;
    let array = || pending_job("j-1", JobKind::Array, wire::Priority::High, 2);
    let placed = |jobs| run_cycle_at(1000, machine_types_with_gpus(false), jobs).get("j-1").copied();
    assert_eq!(placed(vec![array(), gpu_job.clone()]), None, "the quota suffices for the GPU job");
    // It takes half of the quota, and the CPUs of one GPU.
    let service = with_assignments(pending_job("j-2", JobKind::Service, wire::Priority::Normal, 4), 4);
    assert_eq!(placed(vec![array(), gpu_job, service]), Some(2));
}
