use super::*;
use crate::records::*;
use crate::replica::{RecordChange, Replica, Resources, Team};
use wire::{JobKind, JobSpec, MachineType, Priority};

pub fn spec(id: &str, kind: JobKind, tasks: u32) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        kind,
        priority: Priority::Normal,
        tasks,
        cpus: 2.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimated_runtime_s: 1.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 0.0,
        deadline_s: None,
        dependencies: None,
    }
}

pub fn team() -> Team {
    Team { name: "t".into(), cpus: 4.0, cpus_max: 100.0, gpus: 0.0, gpus_max: 100.0 }
}

/// Machines as (name, type, zone, spot). "m" has 8 CPUs, "g" 16 and 2 GPUs.
pub fn replica_with(machines: &[(&str, &str, &str, bool)]) -> Replica {
    let mut w = Replica::default();
    let kind = |name: &str, cpus, gpus| MachineType {
        name: name.into(),
        cpus,
        gpus,
        memory_gb: 64.0,
        cache_gb: 10.0,
        fetch_gb_per_s: 1.0,
        price: cpus + 20.0 * gpus,
        spot_price: cpus / 4.0 + 5.0 * gpus,
        boot_s: 30.0,
        zones: vec!["a".into(), "b".into()],
    };
    w.apply(
        RecordChange::Types(Some(MachineTypesRecord {
            types: vec![kind("m", 8.0, 0.0), kind("g", 16.0, 2.0)],
        })),
        1,
    );
    for (id, machine_type, zone, spot) in machines {
        let record = MachineRecord {
            addr: "x".into(),
            machine_type: (*machine_type).into(),
            zone: (*zone).into(),
            spot: *spot,
            release: false,
        };
        w.apply(RecordChange::Machine((*id).into(), Some(record)), 1);
    }
    let me = Member { name: "n".into(), zone: "a".into(), incarnation: 1 };
    w.apply(RecordChange::Map(Some(ClusterMap { epoch: 1, live: vec![me] })), 1);
    w
}

pub fn add_job(w: &mut Replica, spec: JobSpec, run: &[(u32, &str)]) {
    let mut job = JobRecord::new(spec.clone(), None, 0);
    job.attempt = 1;
    job.assignments = run
        .iter()
        .map(|(task, m)| Assignment {
            task: *task,
            attempt: 1,
            machine: (*m).into(),
            desired: DesiredState::Running,
        })
        .collect();
    w.apply(RecordChange::Job(spec.id, Some(Box::new(job))), 2);
}

pub fn inventory(w: &Replica) -> Inventory {
    Inventory::new(w, |_| true)
}

fn placed(w: &Replica, id: &str, team: &Team) -> Vec<(u32, String)> {
    let mut job = w.jobs[id].value.as_ref().clone();
    let limits =
        Limits { max_tasks: 100, task_window: 1000, may_strand_gpus: false, gang_wait_s: 0.0, now_ms: 1000 };
    let list = place(w, &mut inventory(w), &mut job, team, |_| true, limits);
    list.into_iter().map(|a| (a.task, a.machine.to_string())).collect()
}

#[test]
fn spread_counts_tasks_of_old_attempts_too() {
    let mut w = replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false), ("b1", "m", "b", false)]);
    let mut s = spec("j-1", JobKind::Service, 3);
    s.spread = true;
    add_job(&mut w, s.clone(), &[]);
    let zones = placed(&w, "j-1", &team()).iter().filter(|(_, m)| m.starts_with('a')).count();
    assert_eq!(zones, 2);
    add_job(&mut w, s, &[(1, "a1"), (2, "a2")]);
    assert_eq!(placed(&w, "j-1", &team()), [(0, "b1".to_owned())]);
}

#[test]
fn a_gang_is_placed_whole_in_one_zone_or_not_at_all() {
    let mut w = replica_with(&[("a1", "m", "a", false), ("b1", "m", "b", false)]);
    let mut s = spec("j-1", JobKind::Gang, 2);
    (s.one_zone, s.cpus) = (true, 6.0);
    add_job(&mut w, s.clone(), &[]);
    assert!(placed(&w, "j-1", &team()).is_empty());
    s.cpus = 4.0;
    add_job(&mut w, s.clone(), &[]);
    assert_eq!(placed(&w, "j-1", &team()).len(), 2);
    add_job(&mut w, s, &[(0, "a1")]);
    let mut old = w.jobs["j-1"].value.as_ref().clone();
    old.assignments[0].desired = DesiredState::Stopped;
    w.apply(RecordChange::Job("j-1".into(), Some(Box::new(old))), 3);
    assert!(placed(&w, "j-1", &team()).is_empty(), "an old attempt is still out");
}

#[test]
fn a_teams_quota_bounds_what_is_placed() {
    let mut w = replica_with(&[("a1", "m", "a", false)]);
    add_job(&mut w, spec("j-1", JobKind::Array, 9), &[]);
    add_job(&mut w, spec("j-2", JobKind::Array, 1), &[(0, "a1")]);
    assert_eq!(placed(&w, "j-1", &Team { cpus_max: 5.0, ..team() }).len(), 1);
}

#[test]
fn avoided_machines_come_last_and_kinds_not_allowed_never() {
    let mut w = replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false), ("a3", "m", "a", true)]);
    add_job(&mut w, spec("j-2", JobKind::Array, 3), &[(0, "a2"), (1, "a2"), (2, "a2")]);
    let mut job = JobRecord::new(spec("j-1", JobKind::Array, 6), None, 0);
    job.avoided_machines = vec![("a1".into(), 5000)];
    w.apply(RecordChange::Job("j-1".into(), Some(Box::new(job))), 3);
    let got: Vec<String> = placed(&w, "j-1", &team()).into_iter().map(|p| p.1).collect();
    assert_eq!(got, ["a2", "a1", "a1", "a1", "a1"]);
}

#[test]
fn gpu_machines_are_kept_whole() {
    let mut w = replica_with(&[("a1", "g", "a", false)]);
    let mut gpu = spec("j-9", JobKind::Gang, 1);
    (gpu.cpus, gpu.gpus) = (14.0, 2.0);
    add_job(&mut w, gpu, &[]);
    add_job(&mut w, spec("j-1", JobKind::Array, 8), &[]);
    assert_eq!(placed(&w, "j-1", &team()).len(), 1, "only what a GPU job leaves over");
}

#[test]
fn a_job_that_fails_everywhere_pauses_ever_longer() {
    let mut job = JobRecord::new(spec("j-1", JobKind::Array, 1), None, 0);
    (job.failed_starts, job.last_failure_ms) = (2, 100);
    assert_eq!(retry_at_ms(&job), 100);
    job.failed_starts = 4;
    assert_eq!(retry_at_ms(&job), 2100);
    job.failed_starts = 400;
    assert_eq!(retry_at_ms(&job), 32_100);
}

/// A stream of small gangs must not keep a large one waiting for ever.
#[test]
fn a_large_gang_starts_against_an_endless_stream_of_small_work() {
    let mut w = replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false), ("b1", "m", "b", false)]);
    let mut large = spec("j-1", JobKind::Gang, 2);
    (large.one_zone, large.cpus) = (true, 8.0);
    add_job(&mut w, large.clone(), &[]);
    let mut small = spec("j-2", JobKind::Gang, 1);
    small.cpus = 8.0;
    add_job(&mut w, small.clone(), &[(0, "a1")]);
    let mut version = 10;
    let mut started = 0;
    for n in 3..9 {
        // The oldest small job ends, and another is there before.
        let ends = |id: &&String| *id != "j-1" && !w.jobs[*id].value.assignments.is_empty();
        let first = w.open_job_ids.iter().find(ends).cloned();
        if let Some(id) = first {
            w.apply(RecordChange::Job(id, None), version);
        }
        small.id = format!("j-{n}");
        add_job(&mut w, small.clone(), &[]);
        version += 1;
        let mut b = inventory(&w);
        for id in w.open_job_ids.clone() {
            let mut job = w.jobs[&id].value.as_ref().clone();
            let spec = job.spec.clone().expect("open");
            let limits = Limits {
                max_tasks: 9,
                task_window: 9,
                may_strand_gpus: false,
                gang_wait_s: 0.0,
                now_ms: 1000,
            };
            let placed = place(&w, &mut b, &mut job, &team(), |_| true, limits);
            if placed.is_empty() && job.assignments.is_empty() {
                let room = collectable_capacity(&b, &spec, |_| true);
                b.reserve(&room, Resources::of_task(&spec), 1.0);
            } else {
                started += u32::from(id == "j-1" && !placed.is_empty());
                w.apply(RecordChange::Job(id, Some(Box::new(job))), version);
            }
        }
    }
    assert_eq!(started, 1);
    assert!(w.jobs["j-1"].value.assignments.iter().all(|a| a.machine.starts_with('a')));
}

#[test]
fn a_lost_task_of_a_waiting_gang_is_replaced_in_its_attempt_and_zone() {
    let mut w = replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false), ("b1", "m", "b", false)]);
    let mut s = spec("j-1", JobKind::Gang, 2);
    (s.one_zone, s.cpus) = (true, 8.0);
    add_job(&mut w, s, &[(0, "a1"), (1, "gone")]);
    let mut job = w.jobs["j-1"].value.as_ref().clone();
    job.end_assignment(1, 1, TerminationReason::Lost, 0, 0);
    let limits =
        Limits { max_tasks: 9, task_window: 9, may_strand_gpus: false, gang_wait_s: 0.0, now_ms: 1000 };
    let mut whole = job.clone();
    let placed = place(&w, &mut inventory(&w), &mut whole, &team(), |_| true, limits);
    assert_eq!(placed.len(), 1);
    assert_eq!((placed[0].task, placed[0].attempt, &*placed[0].machine), (1, 1, "a2"));
    // Once its tasks say that it broke up, it starts anew, when all is over.
    job.end_assignment(0, 1, TerminationReason::Stopped, 0, 0);
    let placed = place(&w, &mut inventory(&w), &mut job, &team(), |_| true, limits);
    assert!(placed.is_empty() && job.assignments.is_empty(), "one zone holds only one of two now");
    let mut w2 = replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false)]);
    w2.apply(RecordChange::Job("j-1".into(), Some(Box::new(job.clone()))), 9);
    let placed = place(&w2, &mut inventory(&w2), &mut job, &team(), |_| true, limits);
    assert_eq!(placed.iter().map(|a| a.attempt).collect::<Vec<_>>(), [2, 2]);
}

#[test]
fn gangs_that_missed_their_time_let_others_pass_until_they_waited_longest() {
    let job = JobRecord::new(spec("j-1", JobKind::Gang, 2), None, 0);
    let mut fresh = job.clone();
    fresh.submitted_ms = 75_000;
    let times = Some((60.0, 150.0));
    let first = |longest, now_ms| {
        let of = |j, is_longest_waiting| {
            queue_rank(j, QueueStanding { within_guarantee: true, is_longest_waiting }, times, now_ms)
        };
        queue_order((&job, of(&job, longest)), (&fresh, of(&fresh, false))).is_lt()
    };
    assert!(first(false, 59_000), "both may still be in time: by age");
    assert!(!first(false, 80_000), "only one can be in time");
    assert!(first(true, 80_000));
}

#[test]
fn capacity_is_collected_only_for_the_oldest_few_gangs() {
    let mut w = replica_with(&[("a1", "m", "a", false)]);
    let run: Vec<(u32, &str)> = (0..40).map(|t| (t, "a1")).collect();
    add_job(&mut w, spec("j-0", JobKind::Gang, 40), &run);
    for n in 1..6 {
        add_job(&mut w, spec(&format!("j-{n}"), JobKind::Gang, 3), &[]);
    }
    assert!(longest_waiting(&w, 10_000).is_empty());
    assert_eq!(longest_waiting(&w, 115_000), ["j-1", "j-2"], "15% of 40 tasks");
    w.apply(RecordChange::Job("j-0".into(), None), 9);
    assert_eq!(longest_waiting(&w, 115_000), ["j-1"], "one at least");
}

#[test]
fn a_gangs_machines_have_their_images_at_about_the_same_time() {
    let mut w = replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false), ("a3", "m", "a", false)]);
    let mut s = spec("j-2", JobKind::Gang, 2);
    (s.cpus, s.image_gb) = (8.0, 40.0);
    let mut before = spec("j-1", JobKind::Array, 1);
    before.image_gb = 40.0;
    add_job(&mut w, before.clone(), &[(0, "a1")]);
    w.apply(RecordChange::Job("j-1".into(), None), 3);
    add_job(&mut w, s.clone(), &[]);
    let on = |w: &Replica, now_ms| -> Vec<String> {
        let mut job = w.jobs["j-2"].value.as_ref().clone();
        let limits =
            Limits { max_tasks: 9, task_window: 9, may_strand_gpus: false, gang_wait_s: 30.0, now_ms };
        let placed = place(w, &mut inventory(w), &mut job, &team(), |_| true, limits);
        placed.into_iter().map(|a| a.machine.to_string()).collect()
    };
    assert_eq!(on(&w, 1000), ["a2", "a3"], "a1 has the image, the others take 40 s");
    w.apply(RecordChange::Machine("a3".into(), None), 4);
    assert!(on(&w, 1000).is_empty());
    assert_eq!(on(&w, 200_000).len(), 2, "better than to wait for ever");
    let t = w.machine_types["m"].clone();
    assert!(!image_fetch_too_slow(&s, &t, 30.0));
    s.image_gb = 80.0;
    assert!(image_fetch_too_slow(&s, &t, 30.0));
    s.cpus = 4.0;
    assert!(!image_fetch_too_slow(&s, &t, 30.0), "one machine holds it all");
}

/// One task of a gang has the image, the other fetches it for longer than the
/// first waits: the fetch goes on, and the first gets another machine.
#[test]
fn a_fetch_goes_on_when_another_task_gives_up_waiting() {
    let mut w = replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false), ("a3", "m", "a", false)]);
    let mut s = spec("j-1", JobKind::Gang, 2);
    (s.one_zone, s.cpus) = (true, 8.0);
    add_job(&mut w, s, &[(0, "a1"), (1, "a2")]);
    let mut job = w.jobs["j-1"].value.as_ref().clone();
    job.attempt = 1;
    job.end_assignment(0, 1, TerminationReason::GangIncomplete, 0, 0);
    assert_eq!(
        job.assignments.iter().map(|a| a.desired).collect::<Vec<_>>(),
        [DesiredState::Running],
        "it goes on fetching"
    );
    w.apply(RecordChange::Job("j-1".into(), Some(Box::new(job.clone()))), 3);
    let limits =
        Limits { max_tasks: 9, task_window: 9, may_strand_gpus: false, gang_wait_s: 30.0, now_ms: 1000 };
    let placed = place(&w, &mut inventory(&w), &mut job, &team(), |_| true, limits);
    assert_eq!(placed.len(), 1);
    assert_eq!((placed[0].task, placed[0].attempt, &*placed[0].machine), (0, 1, "a3"));
    // Nor may any machine see the same attempt twice.
    let mut alone = w.jobs["j-1"].value.as_ref().clone();
    w.apply(RecordChange::Machine("a3".into(), None), 4);
    assert!(place(&w, &mut inventory(&w), &mut alone, &team(), |_| true, limits).is_empty());
    // At last all have given up: the next attempt may be anywhere.
    alone.end_assignment(1, 1, TerminationReason::GangIncomplete, 0, 0);
    assert!(alone.assignments.is_empty() && alone.vacated_machines.is_empty());
    w.apply(RecordChange::Job("j-1".into(), Some(Box::new(alone.clone()))), 5);
    let placed = place(&w, &mut inventory(&w), &mut alone, &team(), |_| true, limits);
    assert_eq!(placed.iter().map(|a| a.attempt).collect::<Vec<_>>(), [2, 2]);
    for _ in 0..MAX_VACATED_MACHINES {
        job.vacated_machines.push("x".into());
    }
    job.end_assignment(1, 1, TerminationReason::GangIncomplete, 0, 0);
    assert!(job.assignments.iter().all(|a| a.desired == DesiredState::Stopped), "not without end");
}

#[test]
fn services_go_where_their_image_comes_soonest() {
    let mut w = replica_with(&[("a1", "m", "a", false), ("a2", "f", "a", false), ("a3", "m", "a", false)]);
    let slow = w.machine_types["m"].clone();
    w.machine_types.insert(
        "f".into(),
        MachineType { name: "f".into(), fetch_gb_per_s: slow.fetch_gb_per_s * 8.0, ..slow },
    );
    let mut s = spec("j-1", JobKind::Service, 2);
    s.image_gb = 20.0;
    add_job(&mut w, s, &[]);
    let machines: Vec<String> = placed(&w, "j-1", &team()).into_iter().map(|p| p.1).collect();
    assert_eq!(machines, ["a2", "a2"]);
}

#[test]
fn a_gang_ends_together() {
    let mut job = JobRecord::new(spec("j-1", JobKind::Gang, 2), None, 0);
    let run = |task| Assignment { task, attempt: 1, machine: "m".into(), desired: DesiredState::Running };
    job.assignments = vec![run(0), run(1)];
    (job.attempt, job.phase) = (1, Phase::Active);
    let mut broken = job.clone();
    broken.end_assignment(0, 1, TerminationReason::Stopped, 0, 0);
    assert_eq!((broken.phase, broken.assignments[0].desired), (Phase::Active, DesiredState::Stopped));
    job.end_assignment(0, 1, TerminationReason::Done, 0, 0);
    assert_eq!(job.phase, Phase::Done);
    assert!(job.spec.is_some(), "the other task still takes its share");
    job.end_assignment(1, 1, TerminationReason::Lost, 0, 0);
    assert!(job.spec.is_none() && job.done.len() == 2);
}
