//! Golden tests of the messages about running tasks.

use peer::{RunningTask, RunningTasks, RunningTasksOfJob, RunningTasksRequest};

fn check_request(file: &str, request: &RunningTasksRequest) {
    crate::check(file, request, peer::encode_running_tasks_request, peer::decode_running_tasks_request);
}

fn check(file: &str, running: &RunningTasks) {
    crate::check(file, running, peer::encode_running_tasks, peer::decode_running_tasks);
}

#[test]
fn running_tasks_request() {
    let jobs = vec!["j-000412".into(), "j-1".into()];
    let request = RunningTasksRequest { nonce: 7_700_000_000_000_000_201, epoch: 77_202, jobs };
    check_request("running-tasks-request-full.rkyv", &request);
    let empty = RunningTasksRequest { nonce: 77_203, epoch: 77_204, jobs: Vec::new() };
    check_request("running-tasks-request-without-jobs.rkyv", &empty);
}

#[test]
fn running_tasks_of_jobs() {
    let tasks = vec![
        RunningTask { task: 77_205, attempt: 77_206 },
        RunningTask { task: 77_207, attempt: 7_700_000_000_000_000_208 },
    ];
    let tasks_by_job = vec![
        RunningTasksOfJob { job: "j-000412".into(), tasks },
        RunningTasksOfJob { job: "j-1".into(), tasks: Vec::new() },
    ];
    let running = RunningTasks {
        nonce: 77_209,
        name: "controller-3".into(),
        incarnation: 77_210,
        epoch: 77_211,
        tasks_by_job,
    };
    check("running-tasks-full.rkyv", &running);
}

#[test]
fn running_tasks_without_jobs() {
    let running = RunningTasks {
        nonce: 77_212,
        name: "c".into(),
        incarnation: 77_213,
        epoch: 77_214,
        tasks_by_job: Vec::new(),
    };
    check("running-tasks-without-jobs.rkyv", &running);
}
