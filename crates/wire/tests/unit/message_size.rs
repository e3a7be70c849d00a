use super::*;
use crate::{Commands, ExitReason, Heartbeat, HeartbeatResponse, TaskState};

const LARGEST_DURATION_S: f64 = -1.234_567_890_123_456_7e-300;

fn stop(task: String) -> Command {
    Command::Stop { task, attempt: u64::MAX, grace_s: LARGEST_DURATION_S }
}

fn json_bytes(message: &impl serde::Serialize) -> usize {
    serde_json::to_vec(message).expect("plain data").len()
}

/// The heartbeat of a full machine was larger than a request may be.
#[test]
fn a_full_machine_can_report_all_its_tasks() {
    let tasks = (0..MAX_TASKS_PER_MACHINE).map(|_| TaskStatus {
        task: LONGEST_TASK_NAME.into(),
        attempt: u64::MAX,
        state: TaskState::Waiting,
        cause: Some(ExitReason::PeersGone),
        checkpointed: Some(false),
    });
    let heartbeat = Heartbeat {
        machine: "m".repeat(120),
        addr: "a".repeat(60),
        machine_type: "t".repeat(200),
        zone: "z".repeat(200),
        spot: false,
        incarnation: u64::MAX,
        sequence: u64::MAX,
        fencing_token: u64::MAX,
        spot_notice_s: Some(LARGEST_DURATION_S),
        tasks: tasks.collect(),
    };
    assert!(json_bytes(&heartbeat) <= BODY_LIMIT);
    let mut space = HeartbeatSpace::beside(&heartbeat.tasks[1..]);
    assert!(space.take(LONGEST_TASK_NAME) && !space.take(LONGEST_TASK_NAME));
}

/// A message with more commands than the limit of bodies allows is refused as a whole.
#[test]
fn commands_are_divided_into_bodies_within_the_limit() {
    let names = ["j-1/0", LONGEST_TASK_NAME, "an \"orphan\" named \u{1}\u{2}\n\\", "ä/ö"];
    let mut rest: Vec<Command> =
        (0..5000).map(|n: usize| stop(format!("{}{n}", names[n % names.len()]))).collect();
    let all = rest.clone();
    let mut sent = Vec::new();
    while !rest.is_empty() {
        let mut part = std::mem::take(&mut rest);
        rest = split_off_excess_commands(&mut part, MAX_COMMANDS_BYTES);
        let request = Commands { fencing_token: u64::MAX, incarnation: u64::MAX, commands: part.clone() };
        let response = HeartbeatResponse { fencing_token: u64::MAX, commands: part.clone() };
        let bytes = json_bytes(&request).max(json_bytes(&response));
        assert!(bytes <= BODY_LIMIT, "{bytes}");
        assert!(rest.is_empty() || bytes > BODY_LIMIT / 2, "a message is filled: {bytes}");
        sent.extend(part);
    }
    assert_eq!(sent, all);
}

#[test]
fn one_command_is_sent_however_small_the_limit() {
    let mut commands = vec![stop("j-1/0".into()), stop("j-1/1".into())];
    let rest = split_off_excess_commands(&mut commands, 1);
    assert_eq!((commands.len(), rest.len()), (1, 1));
}
