//! What reports, leases and changes of owner prove, and what the records allow then.

use super::*;

/// A task fails, and its owner cannot write that, as the state service refuses it alone.
/// The machine gets another owner, loses its lease, and the task is started there once
/// more. Then the first is the owner again, and learns of both changes at once. What it
/// knew of the machine is from before, and ends nothing; nor does a late copy of the report
/// of that end, which comes before anything else.
#[test]
fn what_an_owner_knew_before_others_had_its_machine_ends_nothing() {
    for late_copy in [false, true] {
        let mut site = Site::new(2, &[("host-1", "a")]);
        site.map(&[0]);
        site.read(0);
        let mut host = Host::new("host-1", "a", site.now);
        site.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
        site.read(0);
        site.meet(0, &mut host);
        site.meet(0, &mut host);
        assert!(host.runs("j-1/0"));
        host.end("j-1/0", 1, ExitReason::Error);
        let copy = host.report();
        site.report(0, &copy);
        site.map(&[1]);
        site.wait(25.0);
        site.read(1);
        site.meet(1, &mut host);
        site.command(1, &mut [&mut host]);
        site.meet(1, &mut host);
        assert!(host.session == 2 && host.runs("j-1/0"), "started anew");
        site.map(&[0]);
        site.read(0);
        if late_copy {
            site.report(0, &copy);
        }
        site.round(0);
        assert_eq!(site.attempt("j-1"), Some(1), "it runs");
        site.meet(0, &mut host);
        site.round(0);
        assert_eq!(site.attempt("j-1"), Some(1), "it still runs");
        host.end("j-1/0", 1, ExitReason::Error);
        site.meet(0, &mut host);
        site.round(0);
        let job = site.job("j-1");
        assert!(
            job.failed_starts == 1 && job.assignments.iter().all(|a| a.attempt > 1),
            "its end is proven now: {job:?}"
        );
    }
}

/// Copies of all reports that a worker has sent so far, and one that is held back, come to
/// a new leader: before it hears the worker itself, after its report, and after it answered
/// a request, and after it heard an answer; also to a new process of the same controller, and as its job is cancelled.
/// They end nothing, and what they lack or show is not launched or stopped by them.
#[test]
fn reports_from_before_change_nothing_for_a_new_leader() {
    for case in 0..16 {
        let (same_name, cancelled, moment) = (case % 2 == 0, case / 2 % 2 == 0, case / 4);
        let mut site = Site::new(2, &[("host-1", "a")]);
        site.map(&[0]);
        site.read(0);
        let mut host = Host::new("host-1", "a", site.now);
        let mut copies = vec![host.report()];
        site.meet(0, &mut host);
        copies.push(host.report());
        // An attempt that failed, which was cleared, and one that runs.
        host.tasks.insert(("j-1/0".into(), 1), (TaskState::Exited, Some(ExitReason::Error)));
        host.tasks.insert(("j-1/1".into(), 1), (TaskState::Exited, Some(ExitReason::Stopped)));
        copies.push(host.report());
        host.tasks.clear();
        copies.push(host.report());
        site.assign(spec("j-1", JobKind::Array), &[(0, 2, "host-1")]);
        site.read(0);
        site.meet(0, &mut host);
        assert!(host.runs("j-1/0"));
        let held = host.report();
        let new = usize::from(!same_name);
        if same_name {
            site.restart(0);
        }
        site.map(&[new]);
        if cancelled {
            site.cancel("j-1");
        }
        site.read(new);
        site.round(new);
        if moment > 0 {
            // Its answer is lost.
            site.report(new, &host.report());
        }
        if moment > 1 {
            site.wait(1.0);
            site.ask(new, &mut host);
        }
        if moment > 2 && !cancelled {
            site.meet(new, &mut host);
            site.meet(new, &mut host);
        }
        let mut sent = Vec::new();
        for copy in copies.iter().chain([&held]).chain(copies.iter().rev()) {
            site.report(new, copy);
            site.wait(0.5);
            site.read(new);
            sent.extend(site.round(new));
            assert_eq!(site.attempt("j-1"), Some(2), "case {case}: it runs");
        }
        for (machine, commands) in sent {
            let report = host.execute(&commands, site.now);
            site.answered(new, &machine, &commands, Some(report));
        }
        site.meet(new, &mut host);
        site.command(new, &mut [&mut host]);
        assert_eq!(host.runs("j-1/0"), !cancelled, "case {case}: {:?}", host.tasks);
        assert_eq!(host.tasks.len(), 1, "case {case}: {:?}", host.tasks);
        site.meet(new, &mut host);
        site.round(new);
        assert_eq!(site.attempt("j-1"), (!cancelled).then_some(2));
    }
}

/// A leader ends. The machine cannot be reached, but some other controller renewed its lease
/// for the new epoch; the new leader's answer, before, was lost. It must not reckon with its
/// own: the task runs on, and nothing is started elsewhere until the worker was heard.
#[test]
fn a_lease_that_others_may_have_renewed_proves_nothing() {
    let (mut site, mut host) = running(3);
    site.record("host-2", "a");
    site.map(&[1, 2]);
    let owner = owner(&site);
    let other = 3 - owner;
    site.map(&[owner, other]);
    site.read(owner);
    let lost = site.report(owner, &host.report());
    assert!(lost.is_some());
    site.wait(20.0);
    site.read(other);
    site.meet(other, &mut host);
    for _ in 0..40 {
        site.wait(0.5);
        site.read(owner);
        site.round(owner);
        host.live(site.now);
        assert!(!host.runs("j-1/0") || site.attempt("j-1") == Some(1), "it runs");
    }
    assert!(host.runs("j-1/0"), "for as long as its lease lasts");
}

/// A team at its limit: its job is cancelled, but the machine with its tasks is cut off, and
/// the leader changes. What waits gets nothing until the tasks are proven over.
#[test]
fn a_cancelled_jobs_share_of_the_limit_is_free_only_once_it_is_proven_over() {
    let mut site = Site::new(2, &[("host-1", "a"), ("host-2", "a")]);
    let (mut cut, mut other) = (Host::new("host-1", "a", site.now), Host::new("host-2", "a", site.now));
    let eight = |id: &str| JobSpec { tasks: 8, ..spec(id, JobKind::Array) };
    let all: Vec<(u32, u64, &str)> = (0..8).map(|t| (t, 1, "host-1")).collect();
    site.assign(eight("j-1"), &all);
    site.put(vec![KeyWrite::new(key::job("j-2"), &JobRecord::new(eight("j-2"), None, 1000))]);
    site.map(&[0]);
    site.read(0);
    for _ in 0..2 {
        site.meet(0, &mut cut);
        site.meet(0, &mut other);
    }
    let runs = |host: &Host, job: &str| (0..8).filter(|t| host.runs(&format!("{job}/{t}"))).count();
    assert_eq!(runs(&cut, "j-1"), 8);
    site.cancel("j-1");
    site.map(&[1]);
    for step in 0..60 {
        site.wait(1.0);
        site.read(1);
        cut.live(site.now);
        if step % 3 == 0 {
            site.meet(1, &mut other);
        }
        // It is heard again at last.
        if step > 40 && step % 3 == 0 {
            site.meet(1, &mut cut);
        }
        match step > 40 {
            true => site.command(1, &mut [&mut cut, &mut other]),
            false => site.command(1, &mut [&mut other]),
        };
        let new = runs(&cut, "j-2") + runs(&other, "j-2");
        assert!(runs(&cut, "j-1") + new <= 8, "step {step}");
        assert!(step < 46 || new == 8, "it is proven, step {step}");
        assert!(step > 40 || new == 0, "not proven, step {step}");
    }
}

/// An owner that others have replaced by now reckons that its machine's lease is over, as
/// it has not heard it. The next owner has renewed it: the end is not written.
#[test]
fn an_end_that_was_proven_under_an_earlier_map_is_not_written() {
    let (mut site, mut host) = running(2);
    let old = owner(&site);
    let new = 1 - old;
    site.map(&[new]);
    for _ in 0..10 {
        site.wait(3.0);
        site.read(new);
        site.meet(new, &mut host);
        site.command(new, &mut [&mut host]);
    }
    assert!(host.runs("j-1/0"));
    // It knows nothing of the new map.
    site.nodes[old].state().records.fresh_at = Some(site.now);
    let before = site.log.len();
    site.round(old);
    assert_eq!(site.log.len(), before);
    // Nor does it hand such an end to another controller: this one knows the newer map.
    let proof = peer::TerminationProof {
        job: "j-1".into(),
        task: 0,
        attempt: 1,
        machine: "host-1".into(),
        reason_code: 3,
    };
    site.nodes[new].accept_forwarded_proofs(site.epoch - 1, vec![proof.clone()], site.now);
    site.round(new);
    assert_eq!(site.attempt("j-1"), Some(1), "it runs");
    site.nodes[new].accept_forwarded_proofs(site.epoch, vec![proof], site.now);
    site.round(new);
    assert!(site.attempt("j-1").is_none_or(|a| a > 1), "of this map it would count");
}

/// An array bound to one zone loses a machine there. While a task of it may still be in
/// that zone, reached or not, the others start in no other, whatever room is there.
#[test]
fn a_job_of_one_zone_waits_for_what_is_left_in_its_zone() {
    let mut site = Site::new(1, &[("host-1", "a"), ("host-2", "a"), ("host-3", "b")]);
    let mut there = Host::new("host-3", "b", site.now);
    let two = JobSpec { tasks: 2, one_zone: true, ..spec("j-1", JobKind::Array) };
    site.assign(two, &[(0, 1, "host-1"), (1, 1, "host-2")]);
    let gone = |names: &[&str]| {
        let gone = Some(names.iter().map(|n| (*n).into()).collect());
        KeyWrite::new(key::FLEET.into(), &FleetRecord { scale_outs: Vec::new(), removed_machines: gone })
    };
    // One machine is given back, the other cannot be reached.
    site.put(vec![gone(&["host-2"])]);
    let steps = |site: &mut Site, there: &mut Host| {
        for _ in 0..10 {
            site.wait(1.0);
            site.read(0);
            site.meet(0, there);
            site.command(0, &mut [there]);
        }
    };
    steps(&mut site, &mut there);
    let job = site.job("j-1");
    assert!(job.assignments.len() == 1 && &*job.assignments[0].machine == "host-1", "{:?}", job.assignments);
    assert!(there.tasks.is_empty());
    // Now that one, too.
    site.put(vec![gone(&["host-1", "host-2"])]);
    steps(&mut site, &mut there);
    assert!(there.runs("j-1/0") && there.runs("j-1/1"));
}

/// The tasks of a small array end far apart, and between them the leader changes. Late
/// copies of what was reported of them come to the next one. The job is done when all are.
#[test]
fn an_array_is_done_once_each_task_is_whatever_comes_late() {
    let mut site = Site::new(2, &[("host-1", "a")]);
    let mut host = Host::new("host-1", "a", site.now);
    let three = JobSpec { tasks: 3, ..spec("j-1", JobKind::Array) };
    site.assign(three, &[(0, 1, "host-1"), (1, 1, "host-1"), (2, 1, "host-1")]);
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
        // Each leads in turn.
        let n = step / 2 % 2;
        site.map(&[n]);
        for _ in 0..12 {
            site.wait(1.0);
            site.read(n);
            site.meet(n, &mut host);
            site.command(n, &mut [&mut host]);
            copies.iter().for_each(|c| drop(site.report(n, c)));
        }
        if let Some(task) = ends {
            let attempt = host.tasks.keys().filter(|k| k.0 == task).map(|k| k.1).max();
            host.end(task, attempt.expect("it runs"), cause);
            done += u32::from(cause == ExitReason::Done);
            copies.push(host.report());
        }
        for _ in 0..3 {
            site.wait(1.0);
            site.read(n);
            site.meet(n, &mut host);
            copies.iter().for_each(|c| drop(site.report(n, c)));
            site.command(n, &mut [&mut host]);
            let job = site.job("j-1");
            assert!(job.done.len() <= done && (job.phase == Phase::Done) == (job.done.len() == 3));
        }
        assert_eq!(site.job("j-1").done.len(), done, "step {step}");
    }
    assert_eq!(site.job("j-1").phase, Phase::Done);
}

/// A machine is up within a second. Its record, and its first task, are still to be written
/// when the leader ends. Nothing is launched before both are, and the old leader, who does not
/// know yet, places nothing any more.
#[test]
fn a_new_machine_gets_only_work_that_is_on_record() {
    let mut site = Site::new(2, &[]);
    let mut host = Host::new("host-1", "a", site.now);
    let job = JobRecord::new(spec("j-1", JobKind::Array), None, 1000);
    site.map(&[0]);
    site.put(vec![KeyWrite::new(key::job("j-1"), &job)]);
    site.read(0);
    let adopted = process_heartbeat(&site.nodes[0], &host.report(), HeartbeatRoute::Direct, site.now);
    assert!(matches!(adopted, HeartbeatOutcome::RegisterMachine { epoch } if epoch == site.epoch));
    assert!(site.command(0, &mut [&mut host]).is_empty());
    site.record("host-1", "a");
    site.read(0);
    site.meet(0, &mut host);
    site.meet(0, &mut host);
    site.map(&[1]);
    let before = site.log.len();
    assert!(site.command(0, &mut [&mut host]).iter().all(|c| !matches!(c, Command::Start { .. })));
    assert_eq!(site.log.len(), before, "it places nothing by the old map");
    site.read(1);
    for _ in 0..4 {
        site.wait(1.0);
        site.read(1);
        site.meet(1, &mut host);
        site.command(1, &mut [&mut host]);
        let on_record = site.job("j-1").assignments.len();
        assert!(host.tasks.len() <= on_record);
    }
    assert!(host.runs("j-1/0"));
}

/// A gang waits for its tasks when one of its machines loses them, and gets another machine
/// within the same attempt: never the same one again, whose late word of the end would else
/// count for the new start. Then the leader changes. The gang is done once a task says so.
#[test]
fn a_gang_that_lost_a_machine_goes_on_elsewhere_within_its_attempt() {
    let mut site = Site::new(2, &[("host-1", "a"), ("host-2", "a"), ("host-3", "a")]);
    let mut hosts = ["host-1", "host-2", "host-3"].map(|id| Host::new(id, "a", site.now));
    site.assign(
        JobSpec { tasks: 2, memory_gb: 40.0, ..spec("j-1", JobKind::Gang) },
        &[(0, 1, "host-1"), (1, 1, "host-2")],
    );
    site.map(&[0]);
    let round = |site: &mut Site, n: usize, hosts: &mut [Host; 3], hung: &[usize]| {
        site.wait(1.0);
        site.read(n);
        let up = |i: &usize| !hung.contains(i);
        (0..3).filter(up).for_each(|i| site.meet(n, &mut hosts[i]));
        let mut there: Vec<&mut Host> =
            hosts.iter_mut().enumerate().filter(|(i, _)| up(i)).map(|(_, h)| h).collect();
        site.command(n, &mut there);
    };
    (0..3).for_each(|_| round(&mut site, 0, &mut hosts, &[]));
    assert!(hosts[0].runs("j-1/0") && hosts[1].runs("j-1/1"));
    let mut gave_up = hosts[1].report();
    gave_up.tasks[0].state = TaskState::Exited;
    gave_up.tasks[0].cause = Some(ExitReason::GangIncomplete);
    // It hangs for longer than its lease.
    (0..26).for_each(|_| round(&mut site, 0, &mut hosts, &[1, 2]));
    (0..9).for_each(|_| round(&mut site, 0, &mut hosts, &[2]));
    assert_eq!(site.job("j-1").assignments.len(), 1, "it waits, though there is room where it was");
    (0..9).for_each(|_| round(&mut site, 0, &mut hosts, &[]));
    let check = |site: &Site, hosts: &[Host; 3]| {
        let job = site.job("j-1");
        let places: Vec<(u64, &str)> = job.assignments.iter().map(|a| (a.attempt, &*a.machine)).collect();
        assert_eq!(places, [(1, "host-1"), (1, "host-3")]);
        assert!(job.phase == Phase::Active && hosts[2].runs("j-1/1") && !hosts[1].runs("j-1/1"));
    };
    check(&site, &hosts);
    site.report(0, &gave_up);
    site.round(0);
    check(&site, &hosts);
    site.map(&[1]);
    site.read(1);
    site.report(1, &gave_up);
    (0..3).for_each(|_| round(&mut site, 1, &mut hosts, &[]));
    check(&site, &hosts);
    hosts[2].end("j-1/1", 1, ExitReason::Done);
    (0..3).for_each(|_| round(&mut site, 1, &mut hosts, &[]));
    let job = site.job("j-1");
    assert!(job.phase == Phase::Done && job.done.len() == 2, "{job:?}");
}

/// The address of a machine that is gone has become another's, who answers in its place.
/// That is no word of the first.
#[test]
fn an_answer_of_another_machine_is_none() {
    let (mut site, mut host) = running(1);
    let mut other = Host::new("host-2", "a", site.now);
    (other.token, other.seq) = (host.token + 9, 99);
    let mut job = site.job("j-1");
    job.assignments[0].desired = DesiredState::Stopped;
    site.put(vec![KeyWrite::new(key::job("j-1"), &job)]);
    site.read(0);
    let sent = site.round(0);
    assert!(!sent.is_empty());
    for (machine, commands) in sent {
        site.answered(0, &machine, &commands, Some(other.report()));
    }
    site.wait(1.0);
    site.round(0);
    assert_eq!(site.attempt("j-1"), Some(1), "it runs");
    site.wait(1.0);
    site.meet(0, &mut host);
    site.command(0, &mut [&mut host]);
    assert_eq!(host.tasks.values().next(), Some(&(TaskState::Saving, None)), "it is told");
}
