//! Workers that are not reached, or do not hear or speak: renewals, launches and stops.

use super::*;

/// Answers reach a worker, requests to it do not: one of them is always on its way when
/// it reports. Each answer renews its lease, and without the stops it would keep a
/// cancelled task alive for good.
#[test]
fn an_answer_that_renews_a_lease_stops_what_is_cancelled() {
    let (mut site, mut host) = running(1);
    site.cancel("j-1");
    site.read(0);
    let told = site.now;
    while host.runs("j-1/0") {
        assert!(site.now < told + CANCEL, "it runs on");
        site.read(0);
        for (machine, commands) in site.round(0) {
            // Lost; the worker reports before that is known.
            site.meet(0, &mut host);
            site.wait(2.5);
            site.answered(0, &machine, &commands, None);
        }
        site.wait(0.1);
    }
    assert!(site.now < told + secs(3.0), "with the first answer that it hears");
}

/// Leaders change again and again, and the worker never reaches its owner. Any
/// controller renews its lease once in each epoch, but not for a cancelled task.
#[test]
fn others_do_not_renew_the_lease_of_what_is_cancelled() {
    let (mut site, mut host) = running(3);
    site.cancel("j-1");
    let told = site.now;
    while host.runs("j-1/0") {
        assert!(site.now < told + CANCEL, "it runs on");
        site.map(&[0, 1, 2]);
        let owner = owner(&site);
        for n in 0..3 {
            site.read(n);
            if n != owner {
                site.meet(n, &mut host);
            }
        }
        site.wait(5.0);
        host.live(site.now);
    }
    // What is not cancelled is renewed.
    site.assign(spec("j-2", JobKind::Array), &[(0, 1, "host-1")]);
    site.map(&[0, 1, 2]);
    let others = (0..3).find(|n| *n != owner(&site)).expect("some");
    site.read(others);
    let before = host.renewed;
    site.wait(1.0);
    site.meet(others, &mut host);
    assert!(host.renewed > before);
}

/// The state service refuses a controller alone, and another one confirms a cancellation.
/// The first has placed a task of that job, and its machine hung when it was to be
/// launched; now it goes on. Nothing is launched by so old a copy of the records,
/// neither by request nor with an answer.
#[test]
fn nothing_is_launched_by_an_old_copy_of_the_records() {
    let launches = |old: f64| {
        let mut site = Site::new(1, &[("host-1", "a")]);
        let mut host = Host::new("host-1", "a", site.now);
        site.meet(0, &mut host);
        site.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
        site.read(0);
        for (machine, commands) in site.round(0) {
            site.wait(2.5);
            site.answered(0, &machine, &commands, None);
        }
        site.cancel("j-1");
        site.wait(old - 2.5);
        let by_answer = {
            site.meet(0, &mut host);
            host.runs("j-1/0")
        };
        let by_request = site.command(0, &mut [&mut host]).iter().any(|c| matches!(c, Command::Start { .. }));
        (by_answer, by_request)
    };
    assert_eq!(launches(3.5), (true, true), "it cannot know better yet");
    for old in [5.0, 14.0, 23.0, 60.0] {
        assert_eq!(launches(old), (false, false), "{old} s");
    }
}

/// A machine reaches no controller, but requests reach it: its owner hears of it all the
/// time, and nobody renews its lease. Its task is killed with that, is proven so, and is
/// started elsewhere, once; a launch from before meets another session. Nothing is placed
/// there while that lasts, as it would be killed again.
#[test]
fn a_mute_machine_gets_no_work_and_its_tasks_start_elsewhere_once() {
    let mut site = Site::new(1, &[("host-1", "a"), ("host-2", "a")]);
    let (mut mute, mut other) = (Host::new("host-1", "a", site.now), Host::new("host-2", "a", site.now));
    site.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
    site.read(0);
    for host in [&mut mute, &mut other] {
        site.meet(0, host);
        site.meet(0, host);
    }
    assert!(mute.runs("j-1/0"));
    let late = Commands {
        fencing_token: mute.token,
        incarnation: 1,
        commands: vec![Command::Start { task: "j-1/0".into(), attempt: 1 }],
    };
    for step in 0..160 {
        site.wait(0.5);
        site.read(0);
        if step % 6 == 0 {
            site.meet(0, &mut other);
        }
        if step % 4 == 0 {
            site.ask(0, &mut mute);
        }
        if step == 60 {
            mute.execute(&late, site.now);
        }
        site.command(0, &mut [&mut mute, &mut other]);
        assert!(!(mute.runs("j-1/0") && other.runs("j-1/0")), "step {step}");
        assert!(mute.session == 1 || !mute.runs("j-1/0"), "started there again, step {step}");
    }
    assert!(other.runs("j-1/0") && mute.session > 1);
}

/// A launch is offered with an answer that is held up, and the machine reaches no
/// controller any more. Its job is cancelled, and counts in its team's limit until it is
/// proven that nothing will come of the launch: a request shows the worker a later token.
#[test]
fn a_launch_in_a_lost_answer_is_ruled_out_while_the_machine_is_mute() {
    let mut site = Site::new(1, &[("host-1", "a")]);
    let mut host = Host::new("host-1", "a", site.now);
    site.meet(0, &mut host);
    site.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
    site.read(0);
    site.wait(1.0);
    let sent = site.now;
    let held = site.report(0, &host.report());
    assert!(held.as_ref().is_some_and(|a| !a.commands.is_empty()));
    site.cancel("j-1");
    site.read(0);
    site.ask(0, &mut host);
    let commands = site.round(0);
    assert_eq!(site.job("j-1").assignments.len(), 1, "the answer may still arrive");
    for (machine, commands) in commands {
        let report = host.execute(&commands, site.now);
        site.answered(0, &machine, &commands, Some(report));
    }
    site.wait(1.0);
    site.round(0);
    assert!(site.job("j-1").assignments.is_empty(), "it stays on record");
    host.hear(sent, held);
    assert!(!host.runs("j-1/0"));
}

/// A machine hears nothing, though its reports arrive: its task is killed with its lease.
/// Meanwhile the leader changes. Nothing is proven by what shows no token of the new epoch,
/// and the task starts elsewhere only once it is.
#[test]
fn what_a_deaf_machine_reports_proves_nothing_to_a_new_leader() {
    let (mut site, mut host) = running(2);
    site.map(&[1]);
    let killed_at = host.renewed + LEASE;
    for step in 0..20 {
        site.wait(3.0);
        site.read(1);
        host.live(site.now);
        site.report(1, &host.report());
        for (machine, commands) in site.round(1) {
            site.answered(1, &machine, &commands, None);
        }
        assert_eq!(site.attempt("j-1"), Some(1), "step {step}");
    }
    assert!(site.now > killed_at && !host.runs("j-1/0"));
    // It hears again.
    let round = |site: &mut Site, host: &mut Host| {
        site.wait(3.0);
        site.read(1);
        site.meet(1, host);
        site.command(1, &mut [host]);
    };
    for _ in 0..4 {
        round(&mut site, &mut host);
    }
    assert!(site.attempt("j-1").is_none_or(|a| a > 1), "proven over, and started anew");
}

/// A machine hangs when its task is to be launched, and the job is cancelled. Later it goes
/// on, and carries out what was held up, in any order. Or only the launch is held up, while
/// the machine reports and hears nothing. Whatever starts by that is known and stopped: the
/// record keeps it, with its part of the team's limit, until it cannot start any more.
#[test]
fn a_launch_that_is_held_up_is_on_record_until_it_cannot_start() {
    for (hangs, backwards, deaf) in [
        (3.0, false, false),
        (8.0, true, false),
        (15.0, false, false),
        (20.0, true, false),
        (23.0, false, false),
        (2.0, false, true),
        (9.0, false, true),
        (20.0, false, true),
    ] {
        let mut site = Site::new(1, &[("host-1", "a")]);
        let mut host = Host::new("host-1", "a", site.now);
        site.meet(0, &mut host);
        site.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
        let mut held: Vec<Commands> = Vec::new();
        let mut unanswered: Vec<(Instant, Name, Commands)> = Vec::new();
        let start = site.now;
        let mut told = None;
        let mut started = false;
        for tick in 0..700 {
            site.read(0);
            if told.is_none() && site.now > start + secs(1.0) {
                site.cancel("j-1");
                site.read(0);
                told = Some(site.now);
            }
            let hung = site.now < start + secs(hangs);
            for (machine, commands) in site.round(0) {
                if hung {
                    if !deaf || held.is_empty() {
                        held.push(commands.clone());
                    }
                    unanswered.push((site.now, machine, commands));
                } else {
                    let report = host.execute(&commands, site.now);
                    site.answered(0, &machine, &commands, Some(report));
                }
            }
            if !hung {
                if backwards {
                    held.reverse();
                }
                for commands in held.drain(..) {
                    host.execute(&commands, site.now);
                }
            }
            let late = |u: &mut (Instant, Name, Commands)| site.now >= u.0 + secs(2.5);
            let over: Vec<_> = unanswered.extract_if(.., late).collect();
            for (_, machine, commands) in over {
                site.answered(0, &machine, &commands, None);
            }
            started |= host.runs("j-1/0");
            assert!(!host.runs("j-1/0") || site.attempt("j-1") == Some(1), "it runs unknown");
            if told.is_some_and(|t| site.now > t + CANCEL) {
                assert!(!host.runs("j-1/0"), "hung for {hangs} s");
            }
            match (hung, deaf) {
                (true, true) if tick % 5 == 0 => drop(site.report(0, &host.report())),
                (false, _) if tick % 30 == 0 => site.meet(0, &mut host),
                _ => {}
            }
            site.wait(0.1);
        }
        assert!(started != backwards, "the launch comes first, or not at all");
        assert!(site.job("j-1").assignments.is_empty(), "its share is free");
    }
}

/// A controller is cut off with the workers of its zone from the state service and from the
/// others, for longer than a lease. A job is cancelled through the next leader: its tasks
/// are gone in time.
#[test]
fn a_zone_that_is_cut_off_with_its_controller_keeps_nothing_alive() {
    let (mut site, mut host) = running(2);
    let old = owner(&site);
    site.map(&[1 - old]);
    site.cancel("j-1");
    let told = site.now;
    let mut ran_for = Duration::ZERO;
    while site.now < told + CANCEL + secs(40.0) {
        host.live(site.now);
        if host.runs("j-1/0") {
            ran_for = site.now - told;
        }
        site.meet(old, &mut host);
        site.command(old, &mut [&mut host]);
        site.wait(3.0);
    }
    assert!(ran_for < CANCEL, "{ran_for:?}");
    // It ran on inside, as no trouble should end it sooner than it has to.
    assert!(ran_for > LEASE, "{ran_for:?}");
}

/// A task is told to stop for other work, and saves. Then its job is cancelled, and its
/// machine may get another owner, too. It need not be saved any more: the first answer
/// ends it.
#[test]
fn a_task_that_saves_is_ended_when_its_job_is_cancelled() {
    for changes in [false, true] {
        let (mut site, mut host) = running(2);
        let mut job = site.job("j-1");
        job.assignments[0].desired = DesiredState::Stopped;
        site.put(vec![KeyWrite::new(key::job("j-1"), &job)]);
        let old = owner(&site);
        site.read(old);
        site.command(old, &mut [&mut host]);
        assert_eq!(host.tasks.values().next(), Some(&(TaskState::Saving, None)));
        site.cancel("j-1");
        site.wait(0.5);
        let new = if changes { 1 - old } else { old };
        site.map(&[new]);
        site.read(new);
        site.meet(new, &mut host);
        assert!(!host.runs("j-1/0"));
        site.meet(new, &mut host);
        site.round(new);
        assert!(site.job("j-1").assignments.is_empty());
    }
}

/// Requests never reach a machine, only answers do: a launch is not answered, and its job is
/// cancelled. The answers show the worker later tokens, which rules the launch out, though
/// there is always a request on its way: none of those launches anything.
#[test]
fn requests_that_launch_nothing_keep_nothing_on_record() {
    let mut site = Site::new(1, &[("host-1", "a")]);
    let mut host = Host::new("host-1", "a", site.now);
    site.meet(0, &mut host);
    site.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
    site.read(0);
    let start = site.now;
    let mut waits: Option<(Instant, Commands)> = None;
    let mut reported = start;
    while !site.job("j-1").assignments.is_empty() {
        assert!(site.now < start + secs(30.0), "it stays on record");
        site.read(0);
        for (_, commands) in site.round(0) {
            waits = Some((site.now, commands));
            if site.job("j-1").phase == Phase::Active {
                site.cancel("j-1");
            }
        }
        if let Some((_, commands)) = waits.take_if(|(at, _)| site.now >= *at + secs(2.5)) {
            site.answered(0, "host-1", &commands, None);
        }
        // The worst moments: as soon as a request is on its way.
        if waits.is_some() && site.now >= reported + secs(2.5) {
            site.meet(0, &mut host);
            reported = site.now;
        }
        site.wait(0.1);
    }
    assert!(host.tasks.is_empty());
}

/// A machine hears nothing: it loses its lease though its reports are answered. That shows,
/// and it gets no work until it hears, though nothing else would raise the token that its
/// reports have to show.
#[test]
fn a_deaf_machine_counts_as_deaf_until_it_hears() {
    let (mut site, mut host) = running(1);
    let hears = |site: &Site| site.nodes[0].state().machines.workers["host-1"].receives_commands();
    let deaf_at = site.now;
    while site.now < deaf_at + LEASE * 3 {
        site.wait(3.0);
        site.read(0);
        host.live(site.now);
        site.report(0, &host.report());
        assert!(host.session == 1 || !hears(&site), "{:?}", site.now - deaf_at);
    }
    for _ in 0..2 {
        site.wait(3.0);
        site.read(0);
        site.meet(0, &mut host);
    }
    assert!(hears(&site));
}
