//! What heartbeats, leases and ownership changes prove about tasks, and which writes that allows.

use super::*;

/// A task fails, and its owner cannot commit that because the state service refuses this
/// controller. Another controller owns the machine, the lease expires and the task is started
/// there once more. Then the first controller owns the machine again and learns of both changes at
/// once. Its knowledge of the machine is stale and must not end the task; neither must a late copy
/// of the heartbeat with the failure, which arrives first.
#[test]
fn stale_state_of_a_former_owner_ends_no_task() {
    for late_copy in [false, true] {
        let mut cluster = FakeCluster::new(2, &[("host-1", "a")]);
        cluster.publish_map(&[0]);
        cluster.catch_up(0);
        let mut worker = FakeWorker::new("host-1", "a", cluster.now);
        cluster.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
        cluster.catch_up(0);
        cluster.exchange_heartbeat(0, &mut worker);
        cluster.exchange_heartbeat(0, &mut worker);
        assert!(worker.is_running("j-1/0"));
        worker.exit_task("j-1/0", 1, ExitReason::Error);
        let copy = worker.heartbeat();
        cluster.receive_heartbeat(0, &copy);
        cluster.publish_map(&[1]);
        cluster.advance(25.0);
        cluster.catch_up(1);
        cluster.exchange_heartbeat(1, &mut worker);
        cluster.run_cycle_and_deliver(1, &mut [&mut worker]);
        cluster.exchange_heartbeat(1, &mut worker);
        assert!(worker.incarnation == 2 && worker.is_running("j-1/0"), "restarted in a new incarnation");
        cluster.publish_map(&[0]);
        cluster.catch_up(0);
        if late_copy {
            cluster.receive_heartbeat(0, &copy);
        }
        cluster.run_cycle(0);
        assert_eq!(cluster.attempt("j-1"), Some(1), "the task still runs");
        cluster.exchange_heartbeat(0, &mut worker);
        cluster.run_cycle(0);
        assert_eq!(cluster.attempt("j-1"), Some(1), "the task still runs after the heartbeat");
        worker.exit_task("j-1/0", 1, ExitReason::Error);
        cluster.exchange_heartbeat(0, &mut worker);
        cluster.run_cycle(0);
        let job = cluster.job("j-1");
        assert!(
            job.failed_starts == 1 && job.assignments.iter().all(|a| a.attempt > 1),
            "its end is proven by a new heartbeat: {job:?}"
        );
    }
}

/// Copies of all heartbeats of a worker, and one that was delayed, reach a new owner: before its
/// first contact with the worker, after a heartbeat, after a response to a request, and after the
/// worker received a response. The owner is another controller or a new process of the same one,
/// and the job may be cancelled. The copies must neither end nor start nor stop a task.
#[test]
fn late_heartbeats_change_nothing_under_a_new_owner() {
    for case in 0..16 {
        let (same_controller, cancelled, contact) = (case % 2 == 0, case / 2 % 2 == 0, case / 4);
        let mut cluster = FakeCluster::new(2, &[("host-1", "a")]);
        cluster.publish_map(&[0]);
        cluster.catch_up(0);
        let mut worker = FakeWorker::new("host-1", "a", cluster.now);
        let mut copies = vec![worker.heartbeat()];
        cluster.exchange_heartbeat(0, &mut worker);
        copies.push(worker.heartbeat());
        // A failed attempt and a stopped one, which the worker has forgotten.
        worker.tasks.insert(("j-1/0".into(), 1), (TaskState::Exited, Some(ExitReason::Error)));
        worker.tasks.insert(("j-1/1".into(), 1), (TaskState::Exited, Some(ExitReason::Stopped)));
        copies.push(worker.heartbeat());
        worker.tasks.clear();
        copies.push(worker.heartbeat());
        cluster.assign(spec("j-1", JobKind::Array), &[(0, 2, "host-1")]);
        cluster.catch_up(0);
        cluster.exchange_heartbeat(0, &mut worker);
        assert!(worker.is_running("j-1/0"));
        let held = worker.heartbeat();
        let new_owner = usize::from(!same_controller);
        if same_controller {
            cluster.restart(0);
        }
        cluster.publish_map(&[new_owner]);
        if cancelled {
            cluster.cancel("j-1");
        }
        cluster.catch_up(new_owner);
        cluster.run_cycle(new_owner);
        if contact > 0 {
            // The response is lost.
            cluster.receive_heartbeat(new_owner, &worker.heartbeat());
        }
        if contact > 1 {
            cluster.advance(1.0);
            cluster.poll_status(new_owner, &mut worker);
        }
        if contact > 2 && !cancelled {
            cluster.exchange_heartbeat(new_owner, &mut worker);
            cluster.exchange_heartbeat(new_owner, &mut worker);
        }
        let mut sent = Vec::new();
        for copy in copies.iter().chain([&held]).chain(copies.iter().rev()) {
            cluster.receive_heartbeat(new_owner, copy);
            cluster.advance(0.5);
            cluster.catch_up(new_owner);
            sent.extend(cluster.run_cycle(new_owner));
            assert_eq!(cluster.attempt("j-1"), Some(2), "case {case}: the task still runs");
        }
        for (machine, commands) in sent {
            let heartbeat = worker.receive_commands(&commands, cluster.now);
            cluster.record_response(new_owner, &machine, &commands, Some(heartbeat));
        }
        cluster.exchange_heartbeat(new_owner, &mut worker);
        cluster.run_cycle_and_deliver(new_owner, &mut [&mut worker]);
        assert_eq!(worker.is_running("j-1/0"), !cancelled, "case {case}: {:?}", worker.tasks);
        assert_eq!(worker.tasks.len(), 1, "case {case}: {:?}", worker.tasks);
        cluster.exchange_heartbeat(new_owner, &mut worker);
        cluster.run_cycle(new_owner);
        assert_eq!(cluster.attempt("j-1"), (!cancelled).then_some(2));
    }
}

/// After a change of leader, the new owner's only response to a heartbeat is lost and it cannot reach
/// the machine any more, but another controller renews the lease for the new epoch. The owner must
/// not compute the end of the lease from its own response: the task runs on, and is started nowhere
/// else until the worker is heard from.
#[test]
fn no_task_is_ended_when_another_controller_may_have_renewed_the_lease() {
    let (mut cluster, mut worker) = cluster_with_running_task(3);
    cluster.add_machine("host-2", "a");
    cluster.publish_map(&[1, 2]);
    let owner = first_machine_owner(&cluster);
    let other = 3 - owner;
    cluster.publish_map(&[owner, other]);
    cluster.catch_up(owner);
    let lost = cluster.receive_heartbeat(owner, &worker.heartbeat());
    assert!(lost.is_some());
    cluster.advance(20.0);
    cluster.catch_up(other);
    cluster.exchange_heartbeat(other, &mut worker);
    for _ in 0..40 {
        cluster.advance(0.5);
        cluster.catch_up(owner);
        cluster.run_cycle(owner);
        worker.expire_lease(cluster.now);
        assert!(!worker.is_running("j-1/0") || cluster.attempt("j-1") == Some(1), "the task still runs");
    }
    assert!(worker.is_running("j-1/0"), "it runs as long as its lease lasts");
}

/// A team is at its limit and its job is cancelled, but the machine with the tasks is unreachable
/// and the leader changes. The next job must get no CPUs until the cancelled tasks are proven to
/// have ended.
#[test]
fn team_limit_is_freed_only_when_cancelled_tasks_are_proven_ended() {
    let mut cluster = FakeCluster::new(2, &[("host-1", "a"), ("host-2", "a")]);
    let (mut partitioned, mut other) =
        (FakeWorker::new("host-1", "a", cluster.now), FakeWorker::new("host-2", "a", cluster.now));
    let eight_tasks = |id: &str| JobSpec { tasks: 8, ..spec(id, JobKind::Array) };
    let all: Vec<(u32, u64, &str)> = (0..8).map(|t| (t, 1, "host-1")).collect();
    cluster.assign(eight_tasks("j-1"), &all);
    cluster.write(vec![KeyWrite::new(key::job("j-2"), &JobRecord::new(eight_tasks("j-2"), None, 1000))]);
    cluster.publish_map(&[0]);
    cluster.catch_up(0);
    for _ in 0..2 {
        cluster.exchange_heartbeat(0, &mut partitioned);
        cluster.exchange_heartbeat(0, &mut other);
    }
    let running_count =
        |worker: &FakeWorker, job: &str| (0..8).filter(|t| worker.is_running(&format!("{job}/{t}"))).count();
    assert_eq!(running_count(&partitioned, "j-1"), 8);
    cluster.cancel("j-1");
    cluster.publish_map(&[1]);
    for step in 0..60 {
        cluster.advance(1.0);
        cluster.catch_up(1);
        partitioned.expire_lease(cluster.now);
        if step % 3 == 0 {
            cluster.exchange_heartbeat(1, &mut other);
        }
        // The machine is reachable again.
        if step > 40 && step % 3 == 0 {
            cluster.exchange_heartbeat(1, &mut partitioned);
        }
        match step > 40 {
            true => cluster.run_cycle_and_deliver(1, &mut [&mut partitioned, &mut other]),
            false => cluster.run_cycle_and_deliver(1, &mut [&mut other]),
        };
        let started = running_count(&partitioned, "j-2") + running_count(&other, "j-2");
        assert!(running_count(&partitioned, "j-1") + started <= 8, "step {step}");
        assert!(step < 46 || started == 8, "the end is proven, step {step}");
        assert!(step > 40 || started == 0, "the end is not proven, step {step}");
    }
}

/// A replaced owner concludes that the lease of its machine has expired since it received no
/// heartbeat. The next owner has renewed the lease: the end must not be committed.
#[test]
fn termination_proof_of_an_earlier_epoch_is_not_committed() {
    let (mut cluster, mut worker) = cluster_with_running_task(2);
    let old_owner = first_machine_owner(&cluster);
    let new_owner = 1 - old_owner;
    cluster.publish_map(&[new_owner]);
    for _ in 0..10 {
        cluster.advance(3.0);
        cluster.catch_up(new_owner);
        cluster.exchange_heartbeat(new_owner, &mut worker);
        cluster.run_cycle_and_deliver(new_owner, &mut [&mut worker]);
    }
    assert!(worker.is_running("j-1/0"));
    // The old owner does not know the new map.
    cluster.controllers[old_owner].state().records.fresh_at = Some(cluster.now);
    let before = cluster.log.len();
    cluster.run_cycle(old_owner);
    assert_eq!(cluster.log.len(), before);
    // Nor does a controller that knows the newer map accept such a proof from the old owner.
    let proof = peer::TerminationProof {
        job: "j-1".into(),
        task: 0,
        attempt: 1,
        machine: "host-1".into(),
        reason_code: 3,
    };
    cluster.controllers[new_owner].accept_forwarded_proofs(
        cluster.epoch - 1,
        vec![proof.clone()],
        cluster.now,
    );
    cluster.run_cycle(new_owner);
    assert_eq!(cluster.attempt("j-1"), Some(1), "the task still runs");
    cluster.controllers[new_owner].accept_forwarded_proofs(cluster.epoch, vec![proof], cluster.now);
    cluster.run_cycle(new_owner);
    assert!(cluster.attempt("j-1").is_none_or(|a| a > 1), "a proof of the current epoch counts");
}

/// An array bound to one zone loses a machine there. While one of its tasks may still run in that
/// zone, on a reachable machine or not, the others must not start in another zone, even if that
/// one has room.
#[test]
fn one_zone_job_stays_in_its_zone_while_a_task_may_run_there() {
    let mut cluster = FakeCluster::new(1, &[("host-1", "a"), ("host-2", "a"), ("host-3", "b")]);
    let mut other_zone_worker = FakeWorker::new("host-3", "b", cluster.now);
    let two_tasks = JobSpec { tasks: 2, one_zone: true, ..spec("j-1", JobKind::Array) };
    cluster.assign(two_tasks, &[(0, 1, "host-1"), (1, 1, "host-2")]);
    let fleet_with_removed = |names: &[&str]| {
        let removed = Some(names.iter().map(|n| (*n).into()).collect());
        KeyWrite::new(key::FLEET.into(), &FleetRecord { scale_outs: Vec::new(), removed_machines: removed })
    };
    // One machine is released, the other is unreachable.
    cluster.write(vec![fleet_with_removed(&["host-2"])]);
    let steps = |cluster: &mut FakeCluster, other_zone_worker: &mut FakeWorker| {
        for _ in 0..10 {
            cluster.advance(1.0);
            cluster.catch_up(0);
            cluster.exchange_heartbeat(0, other_zone_worker);
            cluster.run_cycle_and_deliver(0, &mut [other_zone_worker]);
        }
    };
    steps(&mut cluster, &mut other_zone_worker);
    let job = cluster.job("j-1");
    assert!(job.assignments.len() == 1 && &*job.assignments[0].machine == "host-1", "{:?}", job.assignments);
    assert!(other_zone_worker.tasks.is_empty());
    // The unreachable machine is released, too.
    cluster.write(vec![fleet_with_removed(&["host-1", "host-2"])]);
    steps(&mut cluster, &mut other_zone_worker);
    assert!(other_zone_worker.is_running("j-1/0") && other_zone_worker.is_running("j-1/1"));
}

/// The tasks of a small array end far apart, and the leader changes in between. Late copies of
/// heartbeats reach each new leader. The job is done only when all its tasks are.
#[test]
fn array_is_done_only_when_each_task_is_despite_late_heartbeats() {
    let mut cluster = FakeCluster::new(2, &[("host-1", "a")]);
    let mut worker = FakeWorker::new("host-1", "a", cluster.now);
    let three_tasks = JobSpec { tasks: 3, ..spec("j-1", JobKind::Array) };
    cluster.assign(three_tasks, &[(0, 1, "host-1"), (1, 1, "host-1"), (2, 1, "host-1")]);
    let mut copies = Vec::new();
    let mut done = 0;
    for (step, (ends, cause)) in [
        (Some("j-1/0"), ExitReason::Done),
        (None, ExitReason::Done),
        (Some("j-1/1"), ExitReason::Error),
        (Some("j-1/1"), ExitReason::Done),
        (None, ExitReason::Done),
        (Some("j-1/2"), ExitReason::Done),
    ]
    .into_iter()
    .enumerate()
    {
        // The two controllers lead in turn.
        let n = step / 2 % 2;
        cluster.publish_map(&[n]);
        for _ in 0..12 {
            cluster.advance(1.0);
            cluster.catch_up(n);
            cluster.exchange_heartbeat(n, &mut worker);
            cluster.run_cycle_and_deliver(n, &mut [&mut worker]);
            copies.iter().for_each(|c| drop(cluster.receive_heartbeat(n, c)));
        }
        if let Some(task) = ends {
            let attempt = worker.tasks.keys().filter(|k| k.0 == task).map(|k| k.1).max();
            worker.exit_task(task, attempt.expect("the task still runs"), cause);
            done += u32::from(cause == ExitReason::Done);
            copies.push(worker.heartbeat());
        }
        for _ in 0..3 {
            cluster.advance(1.0);
            cluster.catch_up(n);
            cluster.exchange_heartbeat(n, &mut worker);
            copies.iter().for_each(|c| drop(cluster.receive_heartbeat(n, c)));
            cluster.run_cycle_and_deliver(n, &mut [&mut worker]);
            let job = cluster.job("j-1");
            assert!(job.done.len() <= done && (job.phase == Phase::Done) == (job.done.len() == 3));
        }
        assert_eq!(cluster.job("j-1").done.len(), done, "step {step}");
    }
    assert_eq!(cluster.job("j-1").phase, Phase::Done);
}

/// A machine boots within a second. Its record and the assignment of its first task are not
/// committed yet when the leader ends. Nothing must start before both are, and the old leader,
/// which does not know the new map yet, must place nothing.
#[test]
fn new_machine_starts_only_recorded_tasks_when_the_leader_changes() {
    let mut cluster = FakeCluster::new(2, &[]);
    let mut worker = FakeWorker::new("host-1", "a", cluster.now);
    let job = JobRecord::new(spec("j-1", JobKind::Array), None, 1000);
    cluster.publish_map(&[0]);
    cluster.write(vec![KeyWrite::new(key::job("j-1"), &job)]);
    cluster.catch_up(0);
    let outcome =
        process_heartbeat(&cluster.controllers[0], &worker.heartbeat(), HeartbeatRoute::Direct, cluster.now);
    assert!(matches!(outcome, HeartbeatOutcome::RegisterMachine { epoch } if epoch == cluster.epoch));
    assert!(cluster.run_cycle_and_deliver(0, &mut [&mut worker]).is_empty());
    cluster.add_machine("host-1", "a");
    cluster.catch_up(0);
    cluster.exchange_heartbeat(0, &mut worker);
    cluster.exchange_heartbeat(0, &mut worker);
    cluster.publish_map(&[1]);
    let before = cluster.log.len();
    assert!(
        cluster
            .run_cycle_and_deliver(0, &mut [&mut worker])
            .iter()
            .all(|c| !matches!(c, Command::Start { .. }))
    );
    assert_eq!(cluster.log.len(), before, "no placement by the old map");
    cluster.catch_up(1);
    for _ in 0..4 {
        cluster.advance(1.0);
        cluster.catch_up(1);
        cluster.exchange_heartbeat(1, &mut worker);
        cluster.run_cycle_and_deliver(1, &mut [&mut worker]);
        let on_record = cluster.job("j-1").assignments.len();
        assert!(worker.tasks.len() <= on_record);
    }
    assert!(worker.is_running("j-1/0"));
}

/// A gang waits when one of its machines loses its tasks, and gets another machine within the same
/// attempt. It must not be the same machine: a late heartbeat about the end there would count for
/// the new start. Then the leader changes. The gang is done once one of its tasks reports so.
#[test]
fn gang_replaces_a_lost_machine_within_the_same_attempt() {
    let mut cluster = FakeCluster::new(2, &[("host-1", "a"), ("host-2", "a"), ("host-3", "a")]);
    let mut workers = ["host-1", "host-2", "host-3"].map(|id| FakeWorker::new(id, "a", cluster.now));
    cluster.assign(
        JobSpec { tasks: 2, memory_gb: 40.0, ..spec("j-1", JobKind::Gang) },
        &[(0, 1, "host-1"), (1, 1, "host-2")],
    );
    cluster.publish_map(&[0]);
    let run_step = |cluster: &mut FakeCluster, n: usize, workers: &mut [FakeWorker; 3], hung: &[usize]| {
        cluster.advance(1.0);
        cluster.catch_up(n);
        let up = |i: &usize| !hung.contains(i);
        (0..3).filter(up).for_each(|i| cluster.exchange_heartbeat(n, &mut workers[i]));
        let mut other_zone_worker: Vec<&mut FakeWorker> =
            workers.iter_mut().enumerate().filter(|(i, _)| up(i)).map(|(_, h)| h).collect();
        cluster.run_cycle_and_deliver(n, &mut other_zone_worker);
    };
    (0..3).for_each(|_| run_step(&mut cluster, 0, &mut workers, &[]));
    assert!(workers[0].is_running("j-1/0") && workers[1].is_running("j-1/1"));
    let mut late_heartbeat = workers[1].heartbeat();
    late_heartbeat.tasks[0].state = TaskState::Exited;
    late_heartbeat.tasks[0].cause = Some(ExitReason::GangIncomplete);
    // The machine hangs for longer than its lease.
    (0..26).for_each(|_| run_step(&mut cluster, 0, &mut workers, &[1, 2]));
    (0..9).for_each(|_| run_step(&mut cluster, 0, &mut workers, &[2]));
    assert_eq!(
        cluster.job("j-1").assignments.len(),
        1,
        "the task waits although its former machine has room"
    );
    (0..9).for_each(|_| run_step(&mut cluster, 0, &mut workers, &[]));
    let check = |cluster: &FakeCluster, workers: &[FakeWorker; 3]| {
        let job = cluster.job("j-1");
        let places: Vec<(u64, &str)> = job.assignments.iter().map(|a| (a.attempt, &*a.machine)).collect();
        assert_eq!(places, [(1, "host-1"), (1, "host-3")]);
        assert!(
            job.phase == Phase::Active && workers[2].is_running("j-1/1") && !workers[1].is_running("j-1/1")
        );
    };
    check(&cluster, &workers);
    cluster.receive_heartbeat(0, &late_heartbeat);
    cluster.run_cycle(0);
    check(&cluster, &workers);
    cluster.publish_map(&[1]);
    cluster.catch_up(1);
    cluster.receive_heartbeat(1, &late_heartbeat);
    (0..3).for_each(|_| run_step(&mut cluster, 1, &mut workers, &[]));
    check(&cluster, &workers);
    workers[2].exit_task("j-1/1", 1, ExitReason::Done);
    (0..3).for_each(|_| run_step(&mut cluster, 1, &mut workers, &[]));
    let job = cluster.job("j-1");
    assert!(job.phase == Phase::Done && job.done.len() == 2, "{job:?}");
}

/// The address of a removed machine now belongs to another machine, which answers in its place.
/// That response must not count for the removed machine.
#[test]
fn response_from_another_machine_is_ignored() {
    let (mut cluster, mut worker) = cluster_with_running_task(1);
    let mut other = FakeWorker::new("host-2", "a", cluster.now);
    (other.fencing_token, other.sequence) = (worker.fencing_token + 9, 99);
    let mut job = cluster.job("j-1");
    job.assignments[0].desired = DesiredState::Stopped;
    cluster.write(vec![KeyWrite::new(key::job("j-1"), &job)]);
    cluster.catch_up(0);
    let sent = cluster.run_cycle(0);
    assert!(!sent.is_empty());
    for (machine, commands) in sent {
        cluster.record_response(0, &machine, &commands, Some(other.heartbeat()));
    }
    cluster.advance(1.0);
    cluster.run_cycle(0);
    assert_eq!(cluster.attempt("j-1"), Some(1), "the task still runs");
    cluster.advance(1.0);
    cluster.exchange_heartbeat(0, &mut worker);
    cluster.run_cycle_and_deliver(0, &mut [&mut worker]);
    assert_eq!(
        worker.tasks.values().next(),
        Some(&(TaskState::Saving, None)),
        "the worker was told to stop the task"
    );
}
