//! Golden tests of the messages between workers and controllers.

use serde_json::json;
use wire::{Command, Commands, ExitReason, Heartbeat, HeartbeatResponse, Redirect, TaskState, TaskStatus};

use crate::messages::{check, check_read};

fn task_status(state: TaskState, cause: Option<ExitReason>, checkpointed: Option<bool>) -> TaskStatus {
    TaskStatus { task: "j-000412/3".into(), attempt: 70_002, state, cause, checkpointed }
}

#[test]
fn task_status_of_every_state() {
    let states = [
        (TaskState::Fetching, "fetching"),
        (TaskState::Waiting, "waiting"),
        (TaskState::Running, "running"),
        (TaskState::Saving, "saving"),
        (TaskState::Exited, "exited"),
    ];
    for (state, name) in states {
        check(
            &format!("task-report-{name}.msgpack"),
            &task_status(state, Some(ExitReason::Stopped), Some(true)),
        );
    }
}

#[test]
fn task_status_with_every_cause() {
    let causes = [
        (ExitReason::Done, "done"),
        (ExitReason::Stopped, "stopped"),
        (ExitReason::PeersGone, "peers-gone"),
        (ExitReason::GangIncomplete, "alone"),
        (ExitReason::Error, "error"),
        (ExitReason::NoCapacity, "no-room"),
        (ExitReason::TaskInUse, "busy"),
        (ExitReason::UnknownJob, "unknown"),
        (ExitReason::Other, "other"),
    ];
    for (cause, name) in causes {
        let status = task_status(TaskState::Exited, Some(cause), Some(false));
        check(&format!("task-report-cause-{name}.msgpack"), &status);
    }
}

#[test]
fn task_status_has_the_cause_other_when_its_cause_is_unknown() {
    let message = json!({ "thread": "j-000412/3", "try": 70_002, "status": "ended", "cause": "new-cause" });
    check_read(&message, &task_status(TaskState::Exited, Some(ExitReason::Other), None));
}

#[test]
fn task_status_without_optional_fields() {
    let status = task_status(TaskState::Running, None, None);
    check("task-report-without-optional-fields.msgpack", &status);
    check_read(&json!({ "thread": "j-000412/3", "try": 70_002, "status": "running" }), &status);
}

#[test]
fn heartbeat_full() {
    let heartbeat = Heartbeat {
        machine: "host-000231".into(),
        addr: "10.1.0.232:9000".into(),
        machine_type: "type-a".into(),
        zone: "zone-b".into(),
        spot: true,
        incarnation: 71_001,
        sequence: 71_002,
        fencing_token: 71_003,
        spot_notice_s: Some(19.5),
        tasks: vec![
            task_status(TaskState::Running, None, None),
            task_status(TaskState::Exited, Some(ExitReason::Done), Some(true)),
        ],
    };
    check("report-full.msgpack", &heartbeat);
}

#[test]
fn heartbeat_without_optional_fields() {
    let heartbeat = Heartbeat {
        machine: "host-000232".into(),
        addr: "10.1.0.233:9000".into(),
        machine_type: "type-c".into(),
        zone: "zone-d".into(),
        spot: false,
        incarnation: 1,
        sequence: 2,
        fencing_token: 3,
        spot_notice_s: None,
        tasks: Vec::new(),
    };
    check("report-without-optional-fields.msgpack", &heartbeat);
    let message = json!({
        "frame": "host-000232", "addr": "10.1.0.233:9000", "shape": "type-c", "bay": "zone-d",
        "loaner": false, "stint": 1, "tally": 2, "baton": 3, "unknown": 4,
    });
    check_read(&message, &heartbeat);
}

fn start() -> Command {
    Command::Start { task: "j-000412/4".into(), attempt: 70_004 }
}

fn stop() -> Command {
    Command::Stop { task: "j-000377/5".into(), attempt: 70_005, grace_s: 10.5 }
}

fn forget() -> Command {
    Command::Forget { task: "j-000001/6".into(), attempt: 70_006 }
}

#[test]
fn command_of_every_kind() {
    check("command-start.msgpack", &start());
    check("command-stop.msgpack", &stop());
    check("command-forget.msgpack", &forget());
}

#[test]
fn heartbeat_response() {
    let response = HeartbeatResponse { fencing_token: 71_004, commands: vec![stop(), start(), forget()] };
    check("report-answer-full.msgpack", &response);
    check(
        "report-answer-without-commands.msgpack",
        &HeartbeatResponse { fencing_token: 71_005, commands: Vec::new() },
    );
}

#[test]
fn commands() {
    let commands =
        Commands { fencing_token: 71_006, incarnation: 71_007, commands: vec![forget(), stop(), start()] };
    check("commands-full.msgpack", &commands);
    let none = Commands { fencing_token: 71_008, incarnation: 71_009, commands: Vec::new() };
    check("commands-without-commands.msgpack", &none);
}

#[test]
fn redirect() {
    check("redirect-full.msgpack", &Redirect { report_to: Some("10.1.0.1:8080".into()) });
    check("redirect-without-address.msgpack", &Redirect { report_to: None });
}
