//! Records of jobs, with a distinct value in every field.

use sched::records::{Assignment, DesiredState, JobRecord, Phase, Ranges, Urgency};
use wire::{JobKind, JobSpec, Priority};

use crate::fixture::{Fixture, fixture};
use crate::job_specs;

/// All records of jobs.
pub fn job_records() -> Vec<Fixture<JobRecord>> {
    let mut all = vec![
        fixture("job-active-full", full()),
        fixture("job-without-optional-fields", without_optional_fields()),
        fixture("job-active-dense-assignments", with_assignments(JobKind::Array, dense_assignments())),
        fixture(
            "job-active-scattered-assignments",
            with_assignments(JobKind::Array, scattered_assignments()),
        ),
        fixture("job-active-gang-assignments", with_assignments(JobKind::Gang, gang_assignments())),
        fixture("job-active-service-without-assignments", with_assignments(JobKind::Service, Vec::new())),
        fixture("job-waiting-for-needs", waiting_for_dependencies()),
        fixture("job-done-shrunk", compacted(Phase::Done)),
        fixture("job-cancelled-shrunk", compacted(Phase::Cancelled)),
    ];
    all.extend(in_every_phase());
    all.extend(with_every_priority());
    all
}

fn assignment(task: u32, attempt: u64, machine: &str, desired_state: DesiredState) -> Assignment {
    Assignment { task, attempt, machine: machine.into(), desired: desired_state }
}

/// A set with several gaps.
pub fn scattered_tasks() -> Ranges {
    let mut tasks = Ranges::default();
    [0, 1, 2, 5, 9, 10, 40].into_iter().for_each(|task| tasks.insert(task));
    tasks
}

/// Each machine has ten consecutive tasks, which continue those of the previous machine.
fn dense_assignments() -> Vec<Assignment> {
    let machine = |task: u32| format!("host-{:06}", 100 + task / 10);
    (0..40).map(|task| assignment(task, 3, &machine(task), DesiredState::Running)).collect()
}

/// Machine names of several forms, several attempts and both desired states.
fn scattered_assignments() -> Vec<Assignment> {
    vec![
        assignment(3, 12, "host-000205", DesiredState::Running),
        assignment(4, 11, "host-000017", DesiredState::Stopped),
        assignment(6, 12, "spare", DesiredState::Running),
        assignment(7, 12, "host-000017", DesiredState::Running),
        assignment(11, 12, "host-000205", DesiredState::Running),
        assignment(12, 10, "host-17", DesiredState::Stopped),
        assignment(70_013, 12, "host-000205", DesiredState::Running),
        assignment(70_014, 12, "00000000000000000012", DesiredState::Running),
    ]
}

/// The tasks of a gang continue from one machine to the next; the machines are not sorted by name.
fn gang_assignments() -> Vec<Assignment> {
    let machine = |task: u32| format!("host-{:06}", 300 - task / 3);
    (0..12).map(|task| assignment(task, 5, &machine(task), DesiredState::Running)).collect()
}

fn boxed(spec: JobSpec) -> Option<Box<JobSpec>> {
    Some(Box::new(spec))
}

/// A record with every stored field set.
pub fn full() -> JobRecord {
    JobRecord {
        phase: Phase::Active,
        spec: boxed(job_specs::full(JobKind::Array, Priority::High)),
        shard: Some("controller-2".into()),
        submitted_ms: 1_800_000_000_001,
        attempt: 12,
        done: scattered_tasks(),
        assignments: scattered_assignments(),
        avoided_machines: vec![
            ("host-000092".into(), 1_800_000_000_011),
            ("host-000091".into(), 1_800_000_000_012),
        ],
        vacated_machines: vec!["host-000082".into(), "left".into(), "host-000081".into()],
        last_eviction_ms: 1_800_000_000_002,
        failed_starts: 7,
        last_failure_ms: 1_800_000_000_003,
        dependencies: vec!["j-31".into(), "j-000000000000000021".into(), "j-123456789012345678".into()],
        accepted_ms: 1_800_000_000_004,
        ended_ms: 1_800_000_000_005,
        urgency: Urgency { priority: None, deadline_ms: None },
    }
}

fn without_optional_fields() -> JobRecord {
    JobRecord {
        phase: Phase::Active,
        spec: None,
        shard: None,
        submitted_ms: 0,
        attempt: 0,
        done: Ranges::default(),
        assignments: Vec::new(),
        avoided_machines: Vec::new(),
        vacated_machines: Vec::new(),
        last_eviction_ms: 0,
        failed_starts: 0,
        last_failure_ms: 0,
        dependencies: Vec::new(),
        accepted_ms: 0,
        ended_ms: 0,
        urgency: Urgency { priority: None, deadline_ms: None },
    }
}

fn with_assignments(kind: JobKind, job_assignments: Vec<Assignment>) -> JobRecord {
    JobRecord {
        phase: Phase::Active,
        spec: boxed(job_specs::full(kind, Priority::Normal)),
        shard: None,
        submitted_ms: 1_800_000_000_101,
        attempt: 13,
        done: Ranges::all(2),
        assignments: job_assignments,
        avoided_machines: Vec::new(),
        vacated_machines: Vec::new(),
        last_eviction_ms: 1_800_000_000_102,
        failed_starts: 0,
        last_failure_ms: 0,
        dependencies: Vec::new(),
        accepted_ms: 0,
        ended_ms: 0,
        urgency: Urgency { priority: None, deadline_ms: None },
    }
}

fn waiting_for_dependencies() -> JobRecord {
    JobRecord {
        phase: Phase::Waiting,
        spec: boxed(job_specs::without_optional_fields()),
        shard: Some("controller-3".into()),
        submitted_ms: 1_800_000_000_201,
        attempt: 0,
        done: Ranges::default(),
        assignments: Vec::new(),
        avoided_machines: Vec::new(),
        vacated_machines: Vec::new(),
        last_eviction_ms: 1_800_000_000_202,
        failed_starts: 0,
        last_failure_ms: 0,
        dependencies: vec!["j-000411".into(), "j-000412".into(), "j-000500".into()],
        accepted_ms: 0,
        ended_ms: 0,
        urgency: Urgency { priority: None, deadline_ms: None },
    }
}

/// The compacted record of a final job that has no assignments.
pub fn compacted(phase: Phase) -> JobRecord {
    JobRecord {
        phase,
        spec: None,
        shard: None,
        submitted_ms: 0,
        attempt: 0,
        // Compaction keeps only the number of done tasks, here that of `scattered_tasks`.
        done: Ranges::all(7),
        assignments: Vec::new(),
        avoided_machines: Vec::new(),
        vacated_machines: Vec::new(),
        last_eviction_ms: 0,
        failed_starts: 0,
        last_failure_ms: 0,
        dependencies: Vec::new(),
        accepted_ms: 0,
        ended_ms: 1_800_000_000_005,
        urgency: Urgency { priority: None, deadline_ms: None },
    }
}

fn in_every_phase() -> Vec<Fixture<JobRecord>> {
    let phases = [
        (Phase::Active, "active"),
        (Phase::Done, "done"),
        (Phase::Cancelled, "cancelled"),
        (Phase::Waiting, "waiting"),
    ];
    let in_phase = |(phase, name)| {
        let mut record =
            with_assignments(JobKind::Array, vec![assignment(1, 13, "host-000401", DesiredState::Stopped)]);
        record.phase = phase;
        fixture(&format!("job-phase-{name}"), record)
    };
    phases.into_iter().map(in_phase).collect()
}

fn with_every_priority() -> Vec<Fixture<JobRecord>> {
    let priorities = [
        (Priority::Low, "low"),
        (Priority::Normal, "normal"),
        (Priority::High, "high"),
        (Priority::Production, "production"),
    ];
    let with_priority = |(priority, name)| {
        let mut record = with_assignments(JobKind::Array, Vec::new());
        record.spec = boxed(job_specs::full(JobKind::Array, priority));
        fixture(&format!("job-priority-{name}"), record)
    };
    priorities.into_iter().map(with_priority).collect()
}
