use super::reconcile::ReconciliationPlan;
use super::*;
use sched::hash::HashSet;
use sched::records::*;
use sched::replica::{RecordChange, Replica};
use wire::{ExitReason, JobKind, JobSpec, Priority, TaskState, TaskStatus};

/// A machine type without GPUs that boots and fetches fast.
pub(crate) fn machine_type(cpus: f64, memory_gb: f64, zones: &[&str]) -> wire::MachineType {
    wire::MachineType {
        name: "m".into(),
        cpus,
        gpus: 0.0,
        memory_gb,
        cache_gb: 9.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 1.0,
        boot_s: 1.0,
        zones: zones.iter().map(|z| (*z).into()).collect(),
    }
}

pub(crate) fn spec(id: &str, kind: JobKind) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        kind,
        priority: Priority::Normal,
        tasks: 1,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimated_runtime_s: 1.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 2.0,
        deadline_s: None,
        dependencies: None,
    }
}

/// The first token of an epoch, as heartbeats show it.
pub(crate) fn first_token(epoch: u64) -> u64 {
    FencingToken::first_of_epoch(epoch).get()
}

impl From<FencingToken> for u64 {
    fn from(token: FencingToken) -> Self {
        token.get()
    }
}

impl Worker {
    /// Makes the worker appear to have sent its last status at this time.
    pub(crate) fn set_last_status_at(&mut self, at: Instant) {
        self.liveness.last_status_at = Some(at);
    }

    /// Makes the worker appear to have been owned by this controller since this time.
    pub(crate) fn set_owned_since(&mut self, at: Instant) {
        self.liveness.owned_since = at;
    }
}

fn replica_with(assignments: Vec<Assignment>, phase: Phase) -> Replica {
    let mut replica = Replica::default();
    let machine = MachineRecord {
        addr: "a".into(),
        machine_type: "m".into(),
        zone: "z".into(),
        spot: false,
        release: false,
    };
    replica.apply(RecordChange::Machine("host-1".into(), Some(machine)), 1);
    let mut job = JobRecord::new(spec("j-1", JobKind::Array), None, 0);
    (job.assignments, job.phase) = (assignments, phase);
    replica.apply(RecordChange::Job("j-1".into(), Some(Box::new(job))), 2);
    replica
}

fn assigned(desired: DesiredState) -> Vec<Assignment> {
    vec![Assignment { task: 0, attempt: 1, machine: "host-1".into(), desired }]
}

fn heartbeat(seq: u64, token: impl Into<u64>, tasks: &[(u64, TaskState, Option<ExitReason>)]) -> Heartbeat {
    Heartbeat {
        machine: "host-1".into(),
        addr: "a".into(),
        machine_type: "m".into(),
        zone: "z".into(),
        spot: false,
        incarnation: 1,
        sequence: seq,
        fencing_token: token.into(),
        spot_notice_s: None,
        tasks: tasks
            .iter()
            .map(|(attempt, state, cause)| TaskStatus {
                task: "j-1/0".into(),
                attempt: *attempt,
                state: *state,
                cause: *cause,
                checkpointed: None,
            })
            .collect(),
    }
}

fn launch() -> [Command; 1] {
    [Command::Start { task: "j-1/0".into(), attempt: 1 }]
}

fn limits(now: Instant) -> WorkerLimits {
    WorkerLimits {
        gang_peer: Duration::from_secs(5),
        lease: Duration::from_secs(11),
        fresh_at: Some(now),
        max_launch_replica_age: Duration::from_secs(4),
    }
}

fn terminations(plan: &ReconciliationPlan) -> Vec<TerminationReason> {
    plan.terminations.iter().map(|e| e.1).collect()
}

#[test]
fn absence_proves_nothing_to_a_new_owner_until_its_token_was_seen() {
    let now = Instant::now();
    let replica = replica_with(assigned(DesiredState::Stopped), Phase::Active);
    let mut worker = Worker::new("a".into(), 5, now);
    worker.receive_heartbeat(heartbeat(1, first_token(4) + 9, &[]), now);
    let plan = worker.reconcile("host-1", &replica, &limits(now), now);
    assert!(plan.terminations.is_empty() && plan.needs_token_acknowledgement);
    worker.receive_heartbeat(heartbeat(2, first_token(5), &[]), now);
    assert_eq!(
        terminations(&worker.reconcile("host-1", &replica, &limits(now), now)),
        [TerminationReason::Lost]
    );
}

/// A task exits, its machine loses the lease before that is recorded, and the next owner restarts
/// the task there. A third owner then receives a delayed duplicate of the heartbeat that showed the
/// exit, as its first one. It must not end the assignment.
#[test]
fn a_delayed_duplicate_of_an_exit_proves_nothing_to_a_new_owner() {
    let now = Instant::now();
    let replica = replica_with(assigned(DesiredState::Running), Phase::Active);
    let mut worker = Worker::new("a".into(), 9, now);
    let old = heartbeat(316, first_token(7) + 3, &[(1, TaskState::Exited, Some(ExitReason::Done))]);
    worker.receive_heartbeat(old, now);
    let plan = worker.reconcile("host-1", &replica, &limits(now), now);
    assert!(
        plan.terminations.is_empty() && plan.needs_token_acknowledgement,
        "the worker has to acknowledge a newer token first"
    );
    let running = [(1, TaskState::Running, None)];
    worker
        .receive_response(Heartbeat { incarnation: 2, ..heartbeat(317, first_token(8) + 1, &running) }, now);
    let plan = worker.reconcile("host-1", &replica, &limits(now), now);
    assert!(plan.terminations.is_empty() && !plan.needs_token_acknowledgement);
    let ended = [(1, TaskState::Exited, Some(ExitReason::Done))];
    worker.receive_heartbeat(Heartbeat { incarnation: 2, ..heartbeat(318, first_token(9), &ended) }, now);
    assert_eq!(
        terminations(&worker.reconcile("host-1", &replica, &limits(now), now)),
        [TerminationReason::Done]
    );
}

/// Guards against a task that is started elsewhere while a copy of its answered start command can still take
/// effect on its machine, which may come back without it.
#[test]
fn an_end_is_proven_only_once_copies_of_the_launch_are_ruled_out() {
    let exited: &[_] = &[(1, TaskState::Exited, Some(ExitReason::Error))];
    for (shown, reason) in [(exited, TerminationReason::Error), (&[], TerminationReason::Lost)] {
        let now = Instant::now();
        let replica = replica_with(assigned(DesiredState::Running), Phase::Active);
        let mut worker = Worker::new("a".into(), 5, now);
        worker.receive_heartbeat(heartbeat(1, first_token(5), &[]), now);
        let token = worker.begin_commands(&launch(), now).expect("a token");
        worker.commands_answered(token);
        worker.receive_response(heartbeat(2, token, &[(1, TaskState::Running, None)]), now);
        worker.receive_heartbeat(heartbeat(3, token, shown), now);
        let plan = worker.reconcile("host-1", &replica, &limits(now), now);
        assert!(plan.terminations.is_empty() && plan.needs_token_acknowledgement, "{reason:?}");
        assert!(worker.token() > token, "the next heartbeat's response rules copies out");
        worker.receive_heartbeat(heartbeat(4, worker.token(), shown), now);
        assert_eq!(terminations(&worker.reconcile("host-1", &replica, &limits(now), now)), [reason]);
    }
}

/// After a pause longer than the lease, a controller proves all assignments on a machine over,
/// including one that it has not launched yet. A heartbeat that arrives before the proof is
/// recorded must not launch that assignment.
#[test]
fn an_assignment_that_was_proven_over_is_not_launched() {
    let now = Instant::now();
    let replica = replica_with(assigned(DesiredState::Running), Phase::Active);
    let mut worker = Worker::new("a".into(), 5, now);
    worker.receive_heartbeat(heartbeat(1, first_token(5), &[]), now);
    worker.renew_lease(now);
    let resumed = now + Duration::from_secs(30);
    let plan = worker.reconcile("host-1", &replica, &limits(resumed), resumed);
    assert_eq!(terminations(&plan), [TerminationReason::Lost]);
    worker.first_proven_at(&plan.terminations[0].0, resumed);
    worker.receive_heartbeat(Heartbeat { incarnation: 2, ..heartbeat(2, first_token(5), &[]) }, resumed);
    worker.renew_lease(resumed);
    assert_eq!(worker.commands_for_heartbeat("host-1", &replica, &limits(resumed), resumed), []);
    let plan = worker.reconcile("host-1", &replica, &limits(resumed), resumed);
    assert!(
        plan.commands.is_empty() && terminations(&plan) == [TerminationReason::Lost],
        "the assignment is still proven over"
    );
}

#[test]
fn an_unanswered_launch_is_ruled_out_only_by_a_later_token() {
    let now = Instant::now();
    let mut worker = Worker::new("a".into(), 5, now);
    worker.receive_heartbeat(heartbeat(1, first_token(5), &[]), now);
    let replica = replica_with(assigned(DesiredState::Running), Phase::Active);
    let plan = worker.reconcile("host-1", &replica, &limits(now), now);
    assert!(matches!(plan.commands[..], [Command::Start { .. }]));
    let sent = worker.begin_commands(&launch(), now).expect("a token");
    // The job is cancelled while the launch is in flight.
    let replica = replica_with(assigned(DesiredState::Running), Phase::Cancelled);
    worker.receive_heartbeat(heartbeat(2, sent, &[]), now);
    assert!(worker.reconcile("host-1", &replica, &limits(now), now).terminations.is_empty());
    worker.commands_failed(sent, now);
    worker.receive_heartbeat(heartbeat(3, sent, &[]), now);
    assert!(worker.reconcile("host-1", &replica, &limits(now), now).terminations.is_empty());
    worker.receive_heartbeat(heartbeat(4, worker.token(), &[]), now);
    assert_eq!(
        terminations(&worker.reconcile("host-1", &replica, &limits(now), now)),
        [TerminationReason::Lost]
    );
}

/// An epoch has 2^20 tokens for each worker. A new epoch is requested before they are used up, no
/// token beyond the last is issued, and a launch with the last token is not ruled out before the
/// next epoch.
#[test]
fn an_owner_never_gives_out_a_token_of_the_next_epoch() {
    let now = Instant::now();
    let mut worker = Worker::new("a".into(), 5, now);
    worker.receive_heartbeat(heartbeat(1, first_token(5), &[]), now);
    let mut last = FencingToken::first_of_epoch(5);
    let mut low_at = None;
    while worker.may_send_commands(now) {
        let token = worker.begin_commands(&[], now).expect("a token");
        assert!(token > last && token < FencingToken::first_of_epoch(6));
        last = token;
        worker.commands_answered(token);
        if low_at.is_none() && worker.tokens_run_low() {
            low_at = Some(token);
        }
    }
    assert_eq!(last.get(), first_token(6) - 1);
    let low_at = low_at.expect("a new epoch is requested in time");
    assert!(last.get() - low_at.get() > 100_000, "enough tokens are left until the new epoch");
    assert!(worker.begin_commands(&launch(), now).is_none());
    // The launch with the last token is not answered. No token of this epoch can show that it never
    // arrived.
    let mut worker = Worker::new("a".into(), 5, now);
    worker.receive_heartbeat(heartbeat(1, first_token(5), &[]), now);
    worker.commands.last_issued = FencingToken::from(first_token(6) - 2);
    let sent = worker.begin_commands(&launch(), now).expect("the last token");
    worker.commands_failed(sent, now);
    assert_eq!(worker.token().get(), first_token(6) - 1);
    let replica = replica_with(assigned(DesiredState::Stopped), Phase::Active);
    worker.receive_heartbeat(heartbeat(2, sent, &[]), now);
    assert!(worker.reconcile("host-1", &replica, &limits(now), now).terminations.is_empty());
    worker.enter_epoch(6);
    assert!(!worker.tokens_run_low() && worker.may_send_commands(now + Duration::from_secs(9)));
    worker.receive_heartbeat(heartbeat(3, first_token(6), &[]), now);
    assert_eq!(
        terminations(&worker.reconcile("host-1", &replica, &limits(now), now)),
        [TerminationReason::Lost]
    );
}

#[test]
fn an_answer_to_a_request_of_an_earlier_epoch_does_not_complete_a_later_request() {
    let now = Instant::now();
    let mut worker = Worker::new("a".into(), 5, now);
    worker.receive_heartbeat(heartbeat(1, first_token(5), &[]), now);
    let old = worker.begin_commands(&launch(), now).expect("a token");
    worker.enter_epoch(6);
    worker.receive_heartbeat(heartbeat(2, first_token(6), &[]), now);
    worker.begin_commands(&launch(), now);
    worker.commands_answered(old);
    let replica = replica_with(assigned(DesiredState::Stopped), Phase::Active);
    assert!(worker.reconcile("host-1", &replica, &limits(now), now).terminations.is_empty());
}

#[test]
fn launches_in_a_response_are_not_ruled_out_before_the_next_heartbeat() {
    let now = Instant::now();
    let mut worker = Worker::new("a".into(), 5, now);
    worker.receive_heartbeat(heartbeat(1, first_token(5), &[]), now);
    let replica = replica_with(assigned(DesiredState::Running), Phase::Active);
    assert_eq!(worker.commands_for_heartbeat("host-1", &replica, &limits(now), now).len(), 1);
    let replica = replica_with(assigned(DesiredState::Running), Phase::Cancelled);
    worker.receive_response(heartbeat(2, first_token(5), &[]), now);
    assert!(worker.reconcile("host-1", &replica, &limits(now), now).terminations.is_empty());
    worker.receive_heartbeat(heartbeat(3, first_token(5), &[]), now);
    assert_eq!(
        terminations(&worker.reconcile("host-1", &replica, &limits(now), now)),
        [TerminationReason::Lost]
    );
}

#[test]
fn an_older_heartbeat_changes_nothing() {
    let now = Instant::now();
    let mut worker = Worker::new("a".into(), 5, now);
    assert!(worker.receive_heartbeat(heartbeat(7, first_token(5), &[(1, TaskState::Running, None)]), now));
    assert!(!worker.receive_heartbeat(heartbeat(6, first_token(5), &[]), now));
    let replica = replica_with(assigned(DesiredState::Running), Phase::Active);
    assert_eq!(worker.reconcile("host-1", &replica, &limits(now), now), ReconciliationPlan::default());
}

#[test]
fn tasks_are_forgotten_once_the_end_is_committed_and_the_replica_is_newer() {
    let start = Instant::now();
    let mut worker = Worker::new("a".into(), 5, start);
    worker.receive_heartbeat(
        heartbeat(1, first_token(5), &[(1, TaskState::Exited, Some(ExitReason::Done))]),
        start,
    );
    let with_assignment = replica_with(assigned(DesiredState::Running), Phase::Active);
    let plan = worker.reconcile("host-1", &with_assignment, &limits(start), start);
    assert_eq!((terminations(&plan), plan.commands.len()), (vec![TerminationReason::Done], 0));
    let without_assignment = replica_with(vec![], Phase::Active);
    assert!(worker.reconcile("host-1", &without_assignment, &limits(start), start).commands.is_empty());
    let later = start + Duration::from_secs(3);
    let stale = worker.reconcile("host-1", &without_assignment, &limits(start), later);
    assert!(stale.commands.is_empty(), "the replica was not refreshed after the task was first seen");
    let plan = worker.reconcile("host-1", &without_assignment, &limits(later), later);
    assert!(matches!(plan.commands[..], [Command::Forget { attempt: 1, .. }]));
}

#[test]
fn an_unreachable_worker_gets_no_work_and_counts_as_silent() {
    let start = Instant::now();
    let at = |s| start + Duration::from_secs(s);
    let mut worker = Worker::new("a".into(), 5, start);
    worker.receive_heartbeat(heartbeat(1, first_token(4), &[]), start);
    assert!(!worker.receives_commands(), "it has shown no token of this owner");
    worker.renew_lease(start);
    worker.receive_heartbeat(heartbeat(2, first_token(5), &[]), at(1));
    assert!(worker.receives_commands());
    worker.begin_commands(&launch(), at(1));
    worker.commands_failed((first_token(5) + 1).into(), at(4));
    worker.renew_lease(at(4));
    worker.receive_heartbeat(heartbeat(3, first_token(5), &[]), at(8));
    worker.renew_lease(at(8));
    worker.receive_heartbeat(heartbeat(4, first_token(5), &[]), at(12));
    assert!(!worker.receives_commands());
    assert_eq!(worker.silent_for(at(20)), Duration::from_secs(8), "its heartbeats do not count");
    // The lease of the worker expired although its heartbeats were answered.
    let mut next = heartbeat(5, first_token(5), &[]);
    next.incarnation = 2;
    worker.receive_heartbeat(next, at(30));
    assert!(!worker.receives_commands());
    let mut response = heartbeat(6, worker.token(), &[]);
    response.incarnation = 2;
    worker.receive_response(response, at(31));
    assert!(worker.receives_commands(), "it answered a request");
}

/// Delayed duplicates of heartbeats prove nothing, even if one is the first heartbeat that a new
/// owner receives.
#[test]
fn delayed_duplicates_neither_prove_absence_nor_end_the_silence() {
    let now = Instant::now();
    let replica = replica_with(assigned(DesiredState::Running), Phase::Active);
    let mut worker = Worker::new("a".into(), 6, now);
    // A duplicate from the previous epoch, sent before the task was launched.
    worker.receive_heartbeat(heartbeat(3, first_token(5) + 7, &[]), now);
    let plan = worker.reconcile("host-1", &replica, &limits(now), now);
    assert!(plan.terminations.is_empty() && !worker.receives_commands());
    // A current heartbeat, which shows the task.
    let running = [(1, TaskState::Running, None)];
    assert!(worker.receive_heartbeat(heartbeat(9, first_token(6), &running), now));
    let later = now + Duration::from_secs(40);
    for seq in [3, 8, 9] {
        assert!(!worker.receive_heartbeat(heartbeat(seq, first_token(5) + 7, &[]), later));
    }
    assert_eq!(worker.silent_for(later), Duration::from_secs(40));
    assert!(worker.reconcile("host-1", &replica, &limits(later), now).terminations.is_empty());
    // A duplicate with an older token does not rule out an unanswered launch, however late it
    // arrives.
    let mut worker = Worker::new("a".into(), 6, now);
    worker.receive_heartbeat(heartbeat(1, first_token(6), &[]), now);
    let sent = worker.begin_commands(&launch(), now).expect("a token");
    worker.commands_failed(sent, now);
    worker.receive_heartbeat(heartbeat(2, first_token(6), &[]), now);
    let replica = replica_with(assigned(DesiredState::Running), Phase::Cancelled);
    assert!(worker.reconcile("host-1", &replica, &limits(now), now).terminations.is_empty());
}

#[test]
fn only_a_lease_that_has_fully_expired_proves_its_tasks_over() {
    let start = Instant::now();
    let limits = limits(start);
    let replica = replica_with(assigned(DesiredState::Running), Phase::Active);
    let is_proven_over = |token, renewed: Option<Duration>, after: Duration| {
        let mut worker = Worker::new("a".into(), 5, start);
        worker.receive_heartbeat(heartbeat(1, token, &[(1, TaskState::Running, None)]), start);
        if let Some(at) = renewed {
            worker.renew_lease(start + at);
        }
        !worker.reconcile("host-1", &replica, &limits, start + after).terminations.is_empty()
    };
    let (token, renewed) = (first_token(5), Some(Duration::from_secs(2)));
    let end = Duration::from_secs(2) + limits.lease;
    assert!(!is_proven_over(token, renewed, end), "the lease has not expired");
    assert!(is_proven_over(token, renewed, end + Duration::from_millis(1)));
    assert!(
        !is_proven_over(first_token(4), renewed, end * 9),
        "another controller may have renewed the lease"
    );
    assert!(!is_proven_over(token, None, end * 9), "it is not known when the lease was renewed");
}

#[test]
fn a_machine_is_unhealthy_after_failures_of_several_jobs_but_not_of_one() {
    let mut worker = Worker::new("a".into(), 1, Instant::now());
    for _ in 0..5 {
        worker.failures.note_termination("j-1", TerminationReason::Error);
    }
    assert!(!worker.is_unhealthy());
    worker.failures.note_termination("j-2", TerminationReason::Error);
    assert!(worker.is_unhealthy());
    worker.failures.note_termination("j-3", TerminationReason::Done);
    assert!(!worker.is_unhealthy());
}

#[test]
fn cancelled_tasks_are_killed_and_others_may_checkpoint() {
    let now = Instant::now();
    let grace = |desired, phase| {
        let mut worker = Worker::new("a".into(), 5, now);
        worker.receive_heartbeat(heartbeat(1, first_token(5), &[(1, TaskState::Running, None)]), now);
        match &worker.reconcile("host-1", &replica_with(assigned(desired), phase), &limits(now), now).commands
            [..]
        {
            [Command::Stop { grace_s, .. }] => Some(*grace_s),
            _ => None,
        }
    };
    assert_eq!(grace(DesiredState::Stopped, Phase::Active), Some(2.0));
    assert_eq!(grace(DesiredState::Running, Phase::Cancelled), Some(0.0));
    assert_eq!(grace(DesiredState::Running, Phase::Active), None);
}

/// A worker whose machine has so many assignments of one job; it reports none of them.
fn worker_with_assignments(tasks: u32, phase: Phase, now: Instant) -> (Worker, Replica) {
    let assigned = |task| Assignment { task, ..assigned(DesiredState::Running).remove(0) };
    let replica = replica_with((0..tasks).map(assigned).collect(), phase);
    let mut worker = Worker::new("a".into(), 5, now);
    worker.receive_heartbeat(heartbeat(1, first_token(5), &[]), now);
    (worker, replica)
}

fn statuses(tasks: u32, state: TaskState) -> Vec<TaskStatus> {
    let status = |n| TaskStatus {
        task: format!("j-1/{n}"),
        attempt: 1,
        state,
        cause: (state == TaskState::Exited).then_some(ExitReason::Done),
        checkpointed: None,
    };
    (0..tasks).map(status).collect()
}

/// More stops than fit into one message: those that did not fit were taken for sent, so that they
/// followed only after their retry delay.
#[test]
fn stops_that_do_not_fit_into_a_message_follow_with_the_next_one() {
    const TASKS: u32 = 2000;
    let now = Instant::now();
    let (mut worker, mut replica) = worker_with_assignments(TASKS, Phase::Active, now);
    let status = |sequence, state| Heartbeat {
        tasks: statuses(TASKS, state),
        ..heartbeat(sequence, first_token(5), &[])
    };
    worker.receive_heartbeat(status(2, TaskState::Running), now);
    let mut record = replica.jobs["j-1"].value.clone();
    record.assignments.iter_mut().for_each(|a| a.desired = DesiredState::Stopped);
    replica.apply(RecordChange::Job("j-1".into(), Some(record)), 3);
    let mut stopped = HashSet::default();
    let mut messages = 0;
    while stopped.len() < TASKS as usize {
        let commands = worker.reconcile("host-1", &replica, &limits(now), now).commands;
        assert!(commands.iter().all(|c| matches!(c, Command::Stop { .. })) && !commands.is_empty());
        stopped.extend(commands.into_iter().map(|c| format!("{c:?}")));
        messages += 1;
    }
    assert!((2..=4).contains(&messages), "{messages} messages");
}

/// Starts of tasks that the worker could not report beside the others, which it has not forgotten yet.
#[test]
fn tasks_are_launched_only_as_the_heartbeat_has_space_for_them() {
    let now = Instant::now();
    let most = wire::MAX_TASKS_PER_MACHINE as u32;
    let (mut worker, replica) = worker_with_assignments(most, Phase::Active, now);
    let launches = |worker: &mut Worker| {
        let commands = worker.reconcile("host-1", &replica, &limits(now), now).commands;
        commands.iter().filter(|c| matches!(c, Command::Start { .. })).count()
    };
    assert_eq!(launches(&mut worker), most as usize);
    let exited = |n| TaskStatus { task: format!("j-9/{n}"), ..statuses(1, TaskState::Exited).remove(0) };
    let tasks = (0..most).map(exited).collect();
    worker.receive_heartbeat(Heartbeat { tasks, ..heartbeat(2, first_token(5), &[]) }, now);
    assert!(launches(&mut worker) < most as usize / 2);
    worker.receive_heartbeat(heartbeat(3, first_token(5), &[]), now);
    assert_eq!(launches(&mut worker), most as usize);
}

/// 413 counted as a lost request, after which the same commands were sent again.
#[test]
fn commands_refused_for_their_size_are_sent_in_smaller_messages_to_a_reachable_worker() {
    let mut now = Instant::now();
    let (mut worker, replica) = worker_with_assignments(500, Phase::Active, now);
    let mut counts = Vec::new();
    for _ in 0..5 {
        let commands = worker.reconcile("host-1", &replica, &limits(now), now).commands;
        counts.push(commands.len());
        let token = worker.begin_commands(&commands, now).expect("a token");
        worker.commands_too_large(token, now);
        now += Duration::from_secs(3);
    }
    assert!(counts.is_sorted_by(|a, b| a > b) && counts[4] < counts[0] / 10, "{counts:?}");
    assert!(worker.receives_commands(), "the worker answers");
}

/// The response that stops all tasks of cancelled jobs was larger than a response may be, so that the
/// worker dropped it and lost its lease.
#[test]
fn responses_that_stop_many_tasks_are_within_the_limit_of_responses() {
    const TASKS: u32 = 2000;
    let start = Instant::now();
    let (mut worker, replica) = worker_with_assignments(TASKS, Phase::Cancelled, start);
    let cancelled = statuses(TASKS, TaskState::Running);
    let orphan = |n| TaskStatus { task: format!("j-9/{n}"), ..cancelled[0].clone() };
    let tasks: Vec<TaskStatus> = cancelled.iter().cloned().chain((0..TASKS).map(orphan)).collect();
    let running = |sequence| Heartbeat { tasks: tasks.clone(), ..heartbeat(sequence, first_token(5), &[]) };
    worker.receive_heartbeat(running(2), start);
    let stops_of_cancelled = [
        worker.commands_for_heartbeat("host-1", &replica, &limits(start), start),
        worker.stops_of_cancelled_jobs(&replica),
    ];
    // The tasks without an assignment are stopped, too, while the first stops are not repeated yet.
    let later = start + Duration::from_millis(1600);
    worker.receive_heartbeat(running(3), later);
    let mixed = worker.commands_for_heartbeat("host-1", &replica, &limits(later), later);
    for commands in stops_of_cancelled.into_iter().chain([mixed]) {
        let stops = commands.iter().filter(|c| matches!(c, Command::Stop { .. })).count();
        let response = wire::HeartbeatResponse { fencing_token: u64::MAX, commands };
        let bytes = serde_json::to_vec(&response).expect("plain data").len();
        assert!(bytes <= wire::BODY_LIMIT && stops > 500, "{stops} stops in {bytes} bytes");
    }
}
