//! Lease renewals, start and stop commands when a worker is unreachable, deaf (receives nothing,
//! but its heartbeats arrive) or mute (reaches no controller, but requests reach it).

use super::*;

/// Heartbeat responses reach a worker but requests do not: one is always in flight when it sends a
/// heartbeat. Each response renews the lease, and without stop commands in it a cancelled task
/// would run for ever.
#[test]
fn heartbeat_response_stops_a_cancelled_task_when_requests_are_lost() {
    let (mut cluster, mut worker) = cluster_with_running_task(1);
    cluster.cancel("j-1");
    cluster.catch_up(0);
    let cancelled_at = cluster.now;
    while worker.is_running("j-1/0") {
        assert!(cluster.now < cancelled_at + CANCELLATION_BOUND, "the cancelled task still runs");
        cluster.catch_up(0);
        for (machine, commands) in cluster.run_cycle(0) {
            // The request is lost; the worker sends a heartbeat before the time-out.
            cluster.exchange_heartbeat(0, &mut worker);
            cluster.advance(2.5);
            cluster.record_response(0, &machine, &commands, None);
        }
        cluster.advance(0.1);
    }
    assert!(cluster.now < cancelled_at + secs(3.0), "the first response that arrives stops it");
}

/// Leaders change repeatedly, and the worker never reaches its owner. Any controller renews its
/// lease once in each epoch, but not for a cancelled task.
#[test]
fn non_owner_does_not_renew_the_lease_of_a_cancelled_task() {
    let (mut cluster, mut worker) = cluster_with_running_task(3);
    cluster.cancel("j-1");
    let cancelled_at = cluster.now;
    while worker.is_running("j-1/0") {
        assert!(cluster.now < cancelled_at + CANCELLATION_BOUND, "the cancelled task still runs");
        cluster.publish_map(&[0, 1, 2]);
        let owner = first_machine_owner(&cluster);
        for n in 0..3 {
            cluster.catch_up(n);
            if n != owner {
                cluster.exchange_heartbeat(n, &mut worker);
            }
        }
        cluster.advance(5.0);
        worker.expire_lease(cluster.now);
    }
    // The lease of a task that is not cancelled is renewed.
    cluster.assign(spec("j-2", JobKind::Array), &[(0, 1, "host-1")]);
    cluster.publish_map(&[0, 1, 2]);
    let others =
        (0..3).find(|n| *n != first_machine_owner(&cluster)).expect("a controller that is not the owner");
    cluster.catch_up(others);
    let before = worker.renewed_at;
    cluster.advance(1.0);
    cluster.exchange_heartbeat(others, &mut worker);
    assert!(worker.renewed_at > before);
}

/// The state service refuses one controller, and another one confirms a cancellation. The first
/// has placed a task of that job, whose machine hung at the start command and now continues. No
/// task must be started from so stale a replica, neither by a request nor by a heartbeat response.
#[test]
fn no_task_is_started_from_a_stale_replica() {
    let started_at_age = |replica_age_s: f64| {
        let mut cluster = FakeCluster::new(1, &[("host-1", "a")]);
        let mut worker = FakeWorker::new("host-1", "a", cluster.now);
        cluster.exchange_heartbeat(0, &mut worker);
        cluster.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
        cluster.catch_up(0);
        for (machine, commands) in cluster.run_cycle(0) {
            cluster.advance(2.5);
            cluster.record_response(0, &machine, &commands, None);
        }
        cluster.cancel("j-1");
        cluster.advance(replica_age_s - 2.5);
        let started_by_response = {
            cluster.exchange_heartbeat(0, &mut worker);
            worker.is_running("j-1/0")
        };
        let started_by_request = cluster
            .run_cycle_and_deliver(0, &mut [&mut worker])
            .iter()
            .any(|c| matches!(c, Command::Start { .. }));
        (started_by_response, started_by_request)
    };
    assert_eq!(started_at_age(3.5), (true, true), "the replica is still fresh enough");
    for replica_age_s in [5.0, 14.0, 23.0, 60.0] {
        assert_eq!(started_at_age(replica_age_s), (false, false), "replica age {replica_age_s} s");
    }
}

/// A mute machine: it reaches no controller but answers requests, so that its owner has its status
/// and nobody renews its lease. The task is killed when the lease expires, is proven to have
/// ended, and starts elsewhere exactly once; an earlier start command meets a newer incarnation.
/// Nothing is placed on the machine meanwhile, since it would be killed again.
#[test]
fn mute_machine_gets_no_work_and_its_tasks_start_elsewhere_once() {
    let mut cluster = FakeCluster::new(1, &[("host-1", "a"), ("host-2", "a")]);
    let (mut mute, mut other) =
        (FakeWorker::new("host-1", "a", cluster.now), FakeWorker::new("host-2", "a", cluster.now));
    cluster.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
    cluster.catch_up(0);
    for worker in [&mut mute, &mut other] {
        cluster.exchange_heartbeat(0, worker);
        cluster.exchange_heartbeat(0, worker);
    }
    assert!(mute.is_running("j-1/0"));
    let late = Commands {
        fencing_token: mute.fencing_token,
        incarnation: 1,
        commands: vec![Command::Start { task: "j-1/0".into(), attempt: 1 }],
    };
    for step in 0..160 {
        cluster.advance(0.5);
        cluster.catch_up(0);
        if step % 6 == 0 {
            cluster.exchange_heartbeat(0, &mut other);
        }
        if step % 4 == 0 {
            cluster.poll_status(0, &mut mute);
        }
        if step == 60 {
            mute.receive_commands(&late, cluster.now);
        }
        cluster.run_cycle_and_deliver(0, &mut [&mut mute, &mut other]);
        assert!(!(mute.is_running("j-1/0") && other.is_running("j-1/0")), "step {step}");
        assert!(
            mute.incarnation == 1 || !mute.is_running("j-1/0"),
            "restarted on the mute machine, step {step}"
        );
    }
    assert!(other.is_running("j-1/0") && mute.incarnation > 1);
}

/// A start command is in a delayed response, and the machine becomes mute. Its job is cancelled,
/// and counts against its team's limit until the start is ruled out: a request shows the worker a
/// later token.
#[test]
fn start_command_in_a_lost_response_is_fenced_off_while_the_machine_is_mute() {
    let mut cluster = FakeCluster::new(1, &[("host-1", "a")]);
    let mut worker = FakeWorker::new("host-1", "a", cluster.now);
    cluster.exchange_heartbeat(0, &mut worker);
    cluster.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
    cluster.catch_up(0);
    cluster.advance(1.0);
    let sent = cluster.now;
    let held = cluster.receive_heartbeat(0, &worker.heartbeat());
    assert!(held.as_ref().is_some_and(|a| !a.commands.is_empty()));
    cluster.cancel("j-1");
    cluster.catch_up(0);
    cluster.poll_status(0, &mut worker);
    let commands = cluster.run_cycle(0);
    assert_eq!(cluster.job("j-1").assignments.len(), 1, "the response may still arrive");
    for (machine, commands) in commands {
        let heartbeat = worker.receive_commands(&commands, cluster.now);
        cluster.record_response(0, &machine, &commands, Some(heartbeat));
    }
    cluster.advance(1.0);
    cluster.run_cycle(0);
    assert!(cluster.job("j-1").assignments.is_empty(), "the assignment stays on record");
    worker.receive_response(sent, held);
    assert!(!worker.is_running("j-1/0"));
}

/// A deaf machine: its heartbeats arrive, but the task is killed when the lease expires. Meanwhile
/// the leader changes. Heartbeats without a token of the new epoch prove nothing, and the task
/// starts elsewhere only once its end is proven.
#[test]
fn heartbeats_of_a_deaf_machine_prove_nothing_to_a_new_leader() {
    let (mut cluster, mut worker) = cluster_with_running_task(2);
    cluster.publish_map(&[1]);
    let killed_at = worker.renewed_at + LEASE_DURATION;
    for step in 0..20 {
        cluster.advance(3.0);
        cluster.catch_up(1);
        worker.expire_lease(cluster.now);
        cluster.receive_heartbeat(1, &worker.heartbeat());
        for (machine, commands) in cluster.run_cycle(1) {
            cluster.record_response(1, &machine, &commands, None);
        }
        assert_eq!(cluster.attempt("j-1"), Some(1), "step {step}");
    }
    assert!(cluster.now > killed_at && !worker.is_running("j-1/0"));
    // The machine receives responses again.
    let run_step = |cluster: &mut FakeCluster, worker: &mut FakeWorker| {
        cluster.advance(3.0);
        cluster.catch_up(1);
        cluster.exchange_heartbeat(1, worker);
        cluster.run_cycle_and_deliver(1, &mut [worker]);
    };
    for _ in 0..4 {
        run_step(&mut cluster, &mut worker);
    }
    assert!(cluster.attempt("j-1").is_none_or(|a| a > 1), "its end is proven and it was restarted");
}

/// A machine hangs when its task is to be started, and the job is cancelled. Later it continues
/// and carries out the delayed commands in either order. Or only the start command is delayed,
/// while the machine sends heartbeats and receives nothing. Any task that starts that way must be
/// known and stopped: its assignment stays on record, with its share of the team's limit, until it
/// cannot start any more.
#[test]
fn delayed_start_command_stays_on_record_until_it_is_fenced_off() {
    for (hang_s, reverse_order, deaf) in [
        (3.0, false, false),
        (8.0, true, false),
        (15.0, false, false),
        (20.0, true, false),
        (23.0, false, false),
        (2.0, false, true),
        (9.0, false, true),
        (20.0, false, true),
    ] {
        let mut cluster = FakeCluster::new(1, &[("host-1", "a")]);
        let mut worker = FakeWorker::new("host-1", "a", cluster.now);
        cluster.exchange_heartbeat(0, &mut worker);
        cluster.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
        let mut held: Vec<Commands> = Vec::new();
        let mut unanswered: Vec<(Instant, Name, Commands)> = Vec::new();
        let start = cluster.now;
        let mut cancelled_at = None;
        let mut started = false;
        for tick in 0..700 {
            cluster.catch_up(0);
            if cancelled_at.is_none() && cluster.now > start + secs(1.0) {
                cluster.cancel("j-1");
                cluster.catch_up(0);
                cancelled_at = Some(cluster.now);
            }
            let hung = cluster.now < start + secs(hang_s);
            for (machine, commands) in cluster.run_cycle(0) {
                if hung {
                    if !deaf || held.is_empty() {
                        held.push(commands.clone());
                    }
                    unanswered.push((cluster.now, machine, commands));
                } else {
                    let heartbeat = worker.receive_commands(&commands, cluster.now);
                    cluster.record_response(0, &machine, &commands, Some(heartbeat));
                }
            }
            if !hung {
                if reverse_order {
                    held.reverse();
                }
                for commands in held.drain(..) {
                    worker.receive_commands(&commands, cluster.now);
                }
            }
            let is_timed_out = |request: &mut (Instant, Name, Commands)| cluster.now >= request.0 + secs(2.5);
            let timed_out: Vec<_> = unanswered.extract_if(.., is_timed_out).collect();
            for (_, machine, commands) in timed_out {
                cluster.record_response(0, &machine, &commands, None);
            }
            started |= worker.is_running("j-1/0");
            assert!(
                !worker.is_running("j-1/0") || cluster.attempt("j-1") == Some(1),
                "it runs without an assignment"
            );
            if cancelled_at.is_some_and(|t| cluster.now > t + CANCELLATION_BOUND) {
                assert!(!worker.is_running("j-1/0"), "hung for {hang_s} s");
            }
            match (hung, deaf) {
                (true, true) if tick % 5 == 0 => drop(cluster.receive_heartbeat(0, &worker.heartbeat())),
                (false, _) if tick % 30 == 0 => cluster.exchange_heartbeat(0, &mut worker),
                _ => {}
            }
            cluster.advance(0.1);
        }
        assert!(started != reverse_order, "the start command arrives first or is fenced off");
        assert!(cluster.job("j-1").assignments.is_empty(), "its share of the team limit is free");
    }
}

/// A controller and the workers of its zone are partitioned from the state service and from the
/// other controllers for longer than a lease. A job is cancelled through the next leader: its
/// tasks must end within the cancellation bound.
#[test]
fn partitioned_zone_does_not_keep_cancelled_tasks_running() {
    let (mut cluster, mut worker) = cluster_with_running_task(2);
    let old_owner = first_machine_owner(&cluster);
    cluster.publish_map(&[1 - old_owner]);
    cluster.cancel("j-1");
    let cancelled_at = cluster.now;
    let mut ran_for = Duration::ZERO;
    while cluster.now < cancelled_at + CANCELLATION_BOUND + secs(40.0) {
        worker.expire_lease(cluster.now);
        if worker.is_running("j-1/0") {
            ran_for = cluster.now - cancelled_at;
        }
        cluster.exchange_heartbeat(old_owner, &mut worker);
        cluster.run_cycle_and_deliver(old_owner, &mut [&mut worker]);
        cluster.advance(3.0);
    }
    assert!(ran_for < CANCELLATION_BOUND, "{ran_for:?}");
    // The task runs on inside the partition for a lease: a fault must not end it earlier than
    // necessary.
    assert!(ran_for > LEASE_DURATION, "{ran_for:?}");
}

/// A task is preempted and saves its checkpoint. Then its job is cancelled, and its machine may
/// change owner. The checkpoint is no longer needed: the first response must end the task.
#[test]
fn saving_task_is_ended_when_its_job_is_cancelled() {
    for owner_changes in [false, true] {
        let (mut cluster, mut worker) = cluster_with_running_task(2);
        let mut job = cluster.job("j-1");
        job.assignments[0].desired = DesiredState::Stopped;
        cluster.write(vec![KeyWrite::new(key::job("j-1"), &job)]);
        let old_owner = first_machine_owner(&cluster);
        cluster.catch_up(old_owner);
        cluster.run_cycle_and_deliver(old_owner, &mut [&mut worker]);
        assert_eq!(worker.tasks.values().next(), Some(&(TaskState::Saving, None)));
        cluster.cancel("j-1");
        cluster.advance(0.5);
        let new_owner = if owner_changes { 1 - old_owner } else { old_owner };
        cluster.publish_map(&[new_owner]);
        cluster.catch_up(new_owner);
        cluster.exchange_heartbeat(new_owner, &mut worker);
        assert!(!worker.is_running("j-1/0"));
        cluster.exchange_heartbeat(new_owner, &mut worker);
        cluster.run_cycle(new_owner);
        assert!(cluster.job("j-1").assignments.is_empty());
    }
}

/// Requests never reach a machine, only responses do. A start command is not answered, and its job
/// is cancelled. The responses show the worker later tokens, which rules the start out, although
/// some request without a start command is always in flight.
#[test]
fn unanswered_requests_without_start_commands_keep_no_assignment_on_record() {
    let mut cluster = FakeCluster::new(1, &[("host-1", "a")]);
    let mut worker = FakeWorker::new("host-1", "a", cluster.now);
    cluster.exchange_heartbeat(0, &mut worker);
    cluster.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
    cluster.catch_up(0);
    let start = cluster.now;
    let mut in_flight: Option<(Instant, Commands)> = None;
    let mut reported = start;
    while !cluster.job("j-1").assignments.is_empty() {
        assert!(cluster.now < start + secs(30.0), "the assignment stays on record");
        cluster.catch_up(0);
        for (_, commands) in cluster.run_cycle(0) {
            in_flight = Some((cluster.now, commands));
            if cluster.job("j-1").phase == Phase::Active {
                cluster.cancel("j-1");
            }
        }
        if let Some((_, commands)) = in_flight.take_if(|(at, _)| cluster.now >= *at + secs(2.5)) {
            cluster.record_response(0, "host-1", &commands, None);
        }
        // The worst moment for a heartbeat: just after a request was sent.
        if in_flight.is_some() && cluster.now >= reported + secs(2.5) {
            cluster.exchange_heartbeat(0, &mut worker);
            reported = cluster.now;
        }
        cluster.advance(0.1);
    }
    assert!(worker.tasks.is_empty());
}

/// A deaf machine loses its lease though its heartbeats are answered. The controller must notice
/// that and give it no work until it receives responses, although nothing else would raise the
/// token that its heartbeats have to show.
#[test]
fn deaf_machine_gets_no_work_until_it_receives_responses() {
    let (mut cluster, mut worker) = cluster_with_running_task(1);
    let receives_commands =
        |cluster: &FakeCluster| cluster.controllers[0].state().machines.workers["host-1"].receives_commands();
    let deaf_at = cluster.now;
    while cluster.now < deaf_at + LEASE_DURATION * 3 {
        cluster.advance(3.0);
        cluster.catch_up(0);
        worker.expire_lease(cluster.now);
        cluster.receive_heartbeat(0, &worker.heartbeat());
        assert!(worker.incarnation == 1 || !receives_commands(&cluster), "{:?}", cluster.now - deaf_at);
    }
    for _ in 0..2 {
        cluster.advance(3.0);
        cluster.catch_up(0);
        cluster.exchange_heartbeat(0, &mut worker);
    }
    assert!(receives_commands(&cluster));
}
