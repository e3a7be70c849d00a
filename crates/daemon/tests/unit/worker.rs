use super::reconcile::Plan;
use super::*;
use sched::records::*;
use sched::replica::{RecordChange, Replica};
use wire::{ExitReason, JobKind, JobSpec, Priority};

/// A machine type without GPUs that boots and fetches fast.
pub(crate) fn kind(cpus: f64, memory_gb: f64, zones: &[&str]) -> wire::MachineType {
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

fn world(run: Vec<Assignment>, phase: Phase) -> Replica {
    let mut w = Replica::default();
    let machine = MachineRecord {
        addr: "a".into(),
        machine_type: "m".into(),
        zone: "z".into(),
        spot: false,
        release: false,
    };
    w.apply(RecordChange::Machine("host-1".into(), Some(machine)), 1);
    let mut job = JobRecord::new(spec("j-1", JobKind::Array), None, 0);
    (job.assignments, job.phase) = (run, phase);
    w.apply(RecordChange::Job("j-1".into(), Some(Box::new(job))), 2);
    w
}

fn assigned(want: DesiredState) -> Vec<Assignment> {
    vec![Assignment { task: 0, attempt: 1, machine: "host-1".into(), desired: want }]
}

fn report(seq: u64, token: u64, tasks: &[(u64, TaskState, Option<ExitReason>)]) -> Heartbeat {
    Heartbeat {
        machine: "host-1".into(),
        addr: "a".into(),
        machine_type: "m".into(),
        zone: "z".into(),
        spot: false,
        incarnation: 1,
        sequence: seq,
        fencing_token: token,
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

fn limits(now: Instant) -> Limits {
    Limits { gang_peer: Duration::from_secs(5), lease: Duration::from_secs(11), fresh_at: Some(now) }
}

fn ends(plan: &Plan) -> Vec<TerminationReason> {
    plan.ends.iter().map(|e| e.1).collect()
}

#[test]
fn a_new_owner_takes_absence_for_nothing_until_its_token_was_seen() {
    let now = Instant::now();
    let w = world(assigned(DesiredState::Stopped), Phase::Active);
    let mut worker = Worker::new("a".into(), 5, now);
    worker.ingest(report(1, first_token(4) + 9, &[]), true, now);
    let plan = worker.reconcile("host-1", &w, &limits(now), now);
    assert!(plan.ends.is_empty() && plan.poke);
    worker.ingest(report(2, first_token(5), &[]), true, now);
    assert_eq!(ends(&worker.reconcile("host-1", &w, &limits(now), now)), [TerminationReason::Lost]);
}

/// A task ended, its machine lost the lease before that was recorded, and the
/// next owner started it there once more. A copy of the report from before, which
/// comes to yet another owner as the first it hears, ends nothing.
#[test]
fn a_late_copy_of_an_end_is_no_proof_to_a_new_owner() {
    let now = Instant::now();
    let w = world(assigned(DesiredState::Running), Phase::Active);
    let mut worker = Worker::new("a".into(), 9, now);
    let old = report(316, first_token(7) + 3, &[(1, TaskState::Exited, Some(ExitReason::Done))]);
    worker.ingest(old, true, now);
    let plan = worker.reconcile("host-1", &w, &limits(now), now);
    assert!(plan.ends.is_empty() && plan.poke, "the worker is asked");
    let running = [(1, TaskState::Running, None)];
    worker.ingest(Heartbeat { incarnation: 2, ..report(317, first_token(8) + 1, &running) }, false, now);
    let plan = worker.reconcile("host-1", &w, &limits(now), now);
    assert!(plan.ends.is_empty() && !plan.poke);
    let ended = [(1, TaskState::Exited, Some(ExitReason::Done))];
    worker.ingest(Heartbeat { incarnation: 2, ..report(318, first_token(9), &ended) }, true, now);
    assert_eq!(ends(&worker.reconcile("host-1", &w, &limits(now), now)), [TerminationReason::Done]);
}

/// A controller stands still for longer than the lease. On waking it proves that
/// whatever was on a machine is over, an assignment too that it has not launched
/// yet. Then the worker reports; the proof is on its way to the record.
#[test]
fn what_was_proven_over_is_not_launched_after_all() {
    let now = Instant::now();
    let w = world(assigned(DesiredState::Running), Phase::Active);
    let mut worker = Worker::new("a".into(), 5, now);
    worker.ingest(report(1, first_token(5), &[]), true, now);
    worker.renew(now);
    let woken = now + Duration::from_secs(30);
    let plan = worker.reconcile("host-1", &w, &limits(woken), woken);
    assert_eq!(ends(&plan), [TerminationReason::Lost]);
    worker.ended_since(&plan.ends[0].0, woken);
    worker.ingest(Heartbeat { incarnation: 2, ..report(2, first_token(5), &[]) }, true, woken);
    worker.renew(woken);
    assert_eq!(worker.answer("host-1", &w, &limits(woken), woken), []);
    let plan = worker.reconcile("host-1", &w, &limits(woken), woken);
    assert!(plan.commands.is_empty() && ends(&plan) == [TerminationReason::Lost], "it is still over");
}

#[test]
fn an_unanswered_launch_is_ruled_out_only_by_a_later_token() {
    let now = Instant::now();
    let mut worker = Worker::new("a".into(), 5, now);
    worker.ingest(report(1, first_token(5), &[]), true, now);
    let w = world(assigned(DesiredState::Running), Phase::Active);
    let plan = worker.reconcile("host-1", &w, &limits(now), now);
    assert!(matches!(plan.commands[..], [Command::Start { .. }]));
    let sent = worker.begin(&launch(), now).expect("a token");
    // Cancelled while the launch is on its way.
    let w = world(assigned(DesiredState::Running), Phase::Cancelled);
    worker.ingest(report(2, sent, &[]), true, now);
    assert!(worker.reconcile("host-1", &w, &limits(now), now).ends.is_empty());
    worker.finish(sent, false, now);
    worker.ingest(report(3, sent, &[]), true, now);
    assert!(worker.reconcile("host-1", &w, &limits(now), now).ends.is_empty());
    worker.ingest(report(4, worker.token(), &[]), true, now);
    assert_eq!(ends(&worker.reconcile("host-1", &w, &limits(now), now)), [TerminationReason::Lost]);
}

/// An epoch has 2^20 tokens for each worker. Before they are used up a new epoch is asked for;
/// the last of them is never passed, and what went out with it is not ruled out before the
/// next epoch.
#[test]
fn an_owner_never_gives_out_a_token_of_the_next_epoch() {
    let now = Instant::now();
    let mut worker = Worker::new("a".into(), 5, now);
    worker.ingest(report(1, first_token(5), &[]), true, now);
    let mut last = first_token(5);
    let mut low_at = None;
    while worker.may_send(now) {
        let token = worker.begin(&[], now).expect("a token");
        assert!(token > last && token < first_token(6));
        last = token;
        worker.finish(token, true, now);
        if low_at.is_none() && worker.tokens_run_low() {
            low_at = Some(token);
        }
    }
    assert_eq!(last, first_token(6) - 1);
    let low_at = low_at.expect("a new epoch is asked for in time");
    assert!(last - low_at > 100_000, "there is time for it");
    assert!(worker.begin(&launch(), now).is_none());
    // The last launch is not answered. Nothing of this epoch can show that it never came.
    let mut worker = Worker::new("a".into(), 5, now);
    worker.ingest(report(1, first_token(5), &[]), true, now);
    worker.token = first_token(6) - 2;
    let sent = worker.begin(&launch(), now).expect("the last");
    worker.finish(sent, false, now);
    assert_eq!(worker.token(), first_token(6) - 1);
    let w = world(assigned(DesiredState::Stopped), Phase::Active);
    worker.ingest(report(2, sent, &[]), true, now);
    assert!(worker.reconcile("host-1", &w, &limits(now), now).ends.is_empty());
    worker.enter_epoch(6);
    assert!(!worker.tokens_run_low() && worker.may_send(now + Duration::from_secs(9)));
    worker.ingest(report(3, first_token(6), &[]), true, now);
    assert_eq!(ends(&worker.reconcile("host-1", &w, &limits(now), now)), [TerminationReason::Lost]);
}

#[test]
fn a_request_of_an_earlier_epoch_does_not_end_the_wait_for_a_later_one() {
    let now = Instant::now();
    let mut worker = Worker::new("a".into(), 5, now);
    worker.ingest(report(1, first_token(5), &[]), true, now);
    let old = worker.begin(&launch(), now).expect("a token");
    worker.enter_epoch(6);
    worker.ingest(report(2, first_token(6), &[]), true, now);
    worker.begin(&launch(), now);
    worker.finish(old, true, now);
    let w = world(assigned(DesiredState::Stopped), Phase::Active);
    assert!(worker.reconcile("host-1", &w, &limits(now), now).ends.is_empty());
}

#[test]
fn launches_in_an_answer_are_open_until_the_next_report_of_its_own() {
    let now = Instant::now();
    let mut worker = Worker::new("a".into(), 5, now);
    worker.ingest(report(1, first_token(5), &[]), true, now);
    let w = world(assigned(DesiredState::Running), Phase::Active);
    assert_eq!(worker.answer("host-1", &w, &limits(now), now).len(), 1);
    let w = world(assigned(DesiredState::Running), Phase::Cancelled);
    worker.ingest(report(2, first_token(5), &[]), false, now);
    assert!(worker.reconcile("host-1", &w, &limits(now), now).ends.is_empty());
    worker.ingest(report(3, first_token(5), &[]), true, now);
    assert_eq!(ends(&worker.reconcile("host-1", &w, &limits(now), now)), [TerminationReason::Lost]);
}

#[test]
fn an_older_report_changes_nothing() {
    let now = Instant::now();
    let mut worker = Worker::new("a".into(), 5, now);
    assert!(worker.ingest(report(7, first_token(5), &[(1, TaskState::Running, None)]), true, now));
    assert!(!worker.ingest(report(6, first_token(5), &[]), true, now));
    let w = world(assigned(DesiredState::Running), Phase::Active);
    assert_eq!(worker.reconcile("host-1", &w, &limits(now), now), Plan::default());
}

#[test]
fn clears_wait_until_the_end_is_committed_and_the_mirror_is_newer() {
    let start = Instant::now();
    let mut worker = Worker::new("a".into(), 5, start);
    worker.ingest(report(1, first_token(5), &[(1, TaskState::Exited, Some(ExitReason::Done))]), true, start);
    let assigned = world(assigned(DesiredState::Running), Phase::Active);
    let plan = worker.reconcile("host-1", &assigned, &limits(start), start);
    assert_eq!((ends(&plan), plan.commands.len()), (vec![TerminationReason::Done], 0));
    let gone = world(vec![], Phase::Active);
    assert!(worker.reconcile("host-1", &gone, &limits(start), start).commands.is_empty());
    let later = start + Duration::from_secs(3);
    let stale = worker.reconcile("host-1", &gone, &limits(start), later);
    assert!(stale.commands.is_empty(), "the mirror is as old as the first sight");
    let plan = worker.reconcile("host-1", &gone, &limits(later), later);
    assert!(matches!(plan.commands[..], [Command::Forget { attempt: 1, .. }]));
}

#[test]
fn a_machine_that_is_heard_but_does_not_hear_gets_no_work_and_counts_as_silent() {
    let start = Instant::now();
    let at = |s| start + Duration::from_secs(s);
    let mut worker = Worker::new("a".into(), 5, start);
    worker.ingest(report(1, first_token(4), &[]), true, start);
    assert!(!worker.hears(), "it has shown no token of this owner's");
    worker.renew(start);
    worker.ingest(report(2, first_token(5), &[]), true, at(1));
    assert!(worker.hears());
    worker.begin(&launch(), at(1));
    worker.finish(first_token(5) + 1, false, at(4));
    worker.renew(at(4));
    worker.ingest(report(3, first_token(5), &[]), true, at(8));
    worker.renew(at(8));
    worker.ingest(report(4, first_token(5), &[]), true, at(12));
    assert!(!worker.hears());
    assert_eq!(worker.silent_for(at(20)), Duration::from_secs(8), "its reports do not count");
    // Its lease ran out although its reports were answered.
    let mut next = report(5, first_token(5), &[]);
    next.incarnation = 2;
    worker.ingest(next, true, at(30));
    assert!(!worker.hears());
    let mut heard = report(6, worker.token(), &[]);
    heard.incarnation = 2;
    worker.ingest(heard, false, at(31));
    assert!(worker.hears(), "it answered a request");
}

/// Copies of reports arrive late, also as the first thing that a controller
/// hears which has just taken over: they prove nothing.
#[test]
fn late_copies_prove_no_absence_renew_nothing_and_revive_nothing() {
    let now = Instant::now();
    let w = world(assigned(DesiredState::Running), Phase::Active);
    let mut worker = Worker::new("a".into(), 6, now);
    // A copy from the epoch before, from when the task was not there yet.
    worker.ingest(report(3, first_token(5) + 7, &[]), true, now);
    let plan = worker.reconcile("host-1", &w, &limits(now), now);
    assert!(plan.ends.is_empty() && !worker.hears());
    // The worker itself, with the task.
    let running = [(1, TaskState::Running, None)];
    assert!(worker.ingest(report(9, first_token(6), &running), true, now));
    let later = now + Duration::from_secs(40);
    for seq in [3, 8, 9] {
        assert!(!worker.ingest(report(seq, first_token(5) + 7, &[]), true, later));
    }
    assert_eq!(worker.silent_for(later), Duration::from_secs(40));
    assert!(worker.reconcile("host-1", &w, &limits(later), now).ends.is_empty());
    // A launch that was not answered is not ruled out by a copy that shows
    // an older token, however late it comes.
    let mut worker = Worker::new("a".into(), 6, now);
    worker.ingest(report(1, first_token(6), &[]), true, now);
    let sent = worker.begin(&launch(), now).expect("a token");
    worker.finish(sent, false, now);
    worker.ingest(report(2, first_token(6), &[]), true, now);
    let w = world(assigned(DesiredState::Running), Phase::Cancelled);
    assert!(worker.reconcile("host-1", &w, &limits(now), now).ends.is_empty());
}

#[test]
fn a_lease_proves_its_tasks_over_only_after_its_full_time() {
    let start = Instant::now();
    let limits = limits(start);
    let w = world(assigned(DesiredState::Running), Phase::Active);
    let silent = |token, renewed: Option<Duration>, after: Duration| {
        let mut worker = Worker::new("a".into(), 5, start);
        worker.ingest(report(1, token, &[(1, TaskState::Running, None)]), true, start);
        if let Some(at) = renewed {
            worker.renew(start + at);
        }
        !worker.reconcile("host-1", &w, &limits, start + after).ends.is_empty()
    };
    let (token, renewed) = (first_token(5), Some(Duration::from_secs(2)));
    let end = Duration::from_secs(2) + limits.lease;
    assert!(!silent(token, renewed, end), "it may still run");
    assert!(silent(token, renewed, end + Duration::from_millis(1)));
    assert!(!silent(first_token(4), renewed, end * 9), "others may have renewed it");
    assert!(!silent(token, None, end * 9), "and it is not known when it was renewed");
}

#[test]
fn a_machine_is_sick_by_several_jobs_but_not_by_one_bad_job() {
    let mut worker = Worker::new("a".into(), 1, Instant::now());
    for _ in 0..5 {
        worker.note_end("j-1", TerminationReason::Error);
    }
    assert!(!worker.sick());
    worker.note_end("j-2", TerminationReason::Error);
    assert!(worker.sick());
    worker.note_end("j-3", TerminationReason::Done);
    assert!(!worker.sick());
}

#[test]
fn cancelled_tasks_are_killed_and_others_may_save() {
    let now = Instant::now();
    let grace = |want, phase| {
        let mut worker = Worker::new("a".into(), 5, now);
        worker.ingest(report(1, first_token(5), &[(1, TaskState::Running, None)]), true, now);
        match &worker.reconcile("host-1", &world(assigned(want), phase), &limits(now), now).commands[..] {
            [Command::Stop { grace_s, .. }] => Some(*grace_s),
            _ => None,
        }
    };
    assert_eq!(grace(DesiredState::Stopped, Phase::Active), Some(2.0));
    assert_eq!(grace(DesiredState::Running, Phase::Cancelled), Some(0.0));
    assert_eq!(grace(DesiredState::Running, Phase::Active), None);
}
