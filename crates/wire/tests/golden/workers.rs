//! Messages between workers and controllers.

use serde_json::json;
use wire::{Cause, Command, Commands, Redirect, Report, ReportAnswer, TaskReport, TaskState};

use crate::messages::{check, check_read};

fn task_report(state: TaskState, cause: Option<Cause>, saved: Option<bool>) -> TaskReport {
    TaskReport { task: "j-000412/3".into(), attempt: 70_002, state, cause, saved }
}

#[test]
fn task_report_of_every_state() {
    let states = [
        (TaskState::Fetching, "fetching"),
        (TaskState::Waiting, "waiting"),
        (TaskState::Running, "running"),
        (TaskState::Saving, "saving"),
        (TaskState::Exited, "exited"),
    ];
    for (state, name) in states {
        check(&format!("task-report-{name}.msgpack"), &task_report(state, Some(Cause::Stopped), Some(true)));
    }
}

#[test]
fn task_report_of_every_cause() {
    let causes = [
        (Cause::Done, "done"),
        (Cause::Stopped, "stopped"),
        (Cause::PeersGone, "peers-gone"),
        (Cause::Alone, "alone"),
        (Cause::Error, "error"),
        (Cause::NoRoom, "no-room"),
        (Cause::Busy, "busy"),
        (Cause::Unknown, "unknown"),
        (Cause::Other, "other"),
    ];
    for (cause, name) in causes {
        let report = task_report(TaskState::Exited, Some(cause), Some(false));
        check(&format!("task-report-cause-{name}.msgpack"), &report);
    }
}

#[test]
fn task_report_with_a_cause_that_is_not_known() {
    let message = json!({ "thread": "j-000412/3", "try": 70_002, "status": "ended", "cause": "new-cause" });
    check_read(&message, &task_report(TaskState::Exited, Some(Cause::Other), None));
}

#[test]
fn task_report_without_optional_fields() {
    let report = task_report(TaskState::Running, None, None);
    check("task-report-without-optional-fields.msgpack", &report);
    check_read(&json!({ "thread": "j-000412/3", "try": 70_002, "status": "running" }), &report);
}

#[test]
fn report_full() {
    let report = Report {
        machine: "host-000231".into(),
        addr: "10.1.0.232:9000".into(),
        machine_type: "type-a".into(),
        zone: "zone-b".into(),
        spot: true,
        session: 71_001,
        seq: 71_002,
        token: 71_003,
        notice_s: Some(19.5),
        tasks: vec![
            task_report(TaskState::Running, None, None),
            task_report(TaskState::Exited, Some(Cause::Done), Some(true)),
        ],
    };
    check("report-full.msgpack", &report);
}

#[test]
fn report_without_optional_fields() {
    let report = Report {
        machine: "host-000232".into(),
        addr: "10.1.0.233:9000".into(),
        machine_type: "type-c".into(),
        zone: "zone-d".into(),
        spot: false,
        session: 1,
        seq: 2,
        token: 3,
        notice_s: None,
        tasks: Vec::new(),
    };
    check("report-without-optional-fields.msgpack", &report);
    let message = json!({
        "frame": "host-000232", "addr": "10.1.0.233:9000", "shape": "type-c", "bay": "zone-d",
        "loaner": false, "stint": 1, "tally": 2, "baton": 3, "unknown": 4,
    });
    check_read(&message, &report);
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
fn report_answer() {
    let answer = ReportAnswer { token: 71_004, commands: vec![stop(), start(), forget()] };
    check("report-answer-full.msgpack", &answer);
    check("report-answer-without-commands.msgpack", &ReportAnswer { token: 71_005, commands: Vec::new() });
}

#[test]
fn commands() {
    let commands = Commands { token: 71_006, session: 71_007, commands: vec![forget(), stop(), start()] };
    check("commands-full.msgpack", &commands);
    let none = Commands { token: 71_008, session: 71_009, commands: Vec::new() };
    check("commands-without-commands.msgpack", &none);
}

#[test]
fn redirect() {
    check("redirect-full.msgpack", &Redirect { report_to: Some("10.1.0.1:8080".into()) });
    check("redirect-without-address.msgpack", &Redirect { report_to: None });
}
