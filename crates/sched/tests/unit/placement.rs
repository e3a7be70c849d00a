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

/// A replica with these machines, as (name, type, zone, spot). Type "m" has 8 CPUs; "g" has 16 CPUs
/// and 2 GPUs.
pub fn replica_with(machines: &[(&str, &str, &str, bool)]) -> Replica {
    let mut replica = Replica::default();
    let machine_type = |name: &str, cpus, gpus| MachineType {
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
    replica.apply(
        RecordChange::Types(Some(MachineTypesRecord {
            types: vec![machine_type("m", 8.0, 0.0), machine_type("g", 16.0, 2.0)],
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
        replica.apply(RecordChange::Machine((*id).into(), Some(record)), 1);
    }
    let member = Member { name: "n".into(), zone: "a".into(), incarnation: 1 };
    replica.apply(RecordChange::Map(Some(ClusterMap { epoch: 1, live: vec![member] })), 1);
    replica
}

pub fn add_job(replica: &mut Replica, spec: JobSpec, assignments: &[(u32, &str)]) {
    let mut job = JobRecord::new(spec.clone(), None, 0);
    job.attempt = 1;
    job.assignments = assignments
        .iter()
        .map(|(task, machine)| Assignment {
            task: *task,
            attempt: 1,
            machine: (*machine).into(),
            desired: DesiredState::Running,
        })
        .collect();
    replica.apply(RecordChange::Job(spec.id, Some(Box::new(job))), 2);
}

pub fn inventory(replica: &Replica) -> Inventory {
    Inventory::new(replica, |_| true)
}

fn place_job(replica: &Replica, id: &str, team: &Team) -> Vec<(u32, String)> {
    let mut job = replica.jobs[id].value.as_ref().clone();
    let limits =
        Limits { max_tasks: 100, task_window: 1000, may_strand_gpus: false, gang_wait_s: 0.0, now_ms: 1000 };
    let assignments = place(replica, &mut inventory(replica), &mut job, team, |_| true, limits);
    assignments.into_iter().map(|assignment| (assignment.task, assignment.machine.to_string())).collect()
}

#[test]
fn spread_counts_tasks_that_are_already_assigned() {
    let mut replica =
        replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false), ("b1", "m", "b", false)]);
    let mut service = spec("j-1", JobKind::Service, 3);
    service.spread = true;
    add_job(&mut replica, service.clone(), &[]);
    let in_zone_a =
        place_job(&replica, "j-1", &team()).iter().filter(|(_, machine)| machine.starts_with('a')).count();
    assert_eq!(in_zone_a, 2);
    add_job(&mut replica, service, &[(1, "a1"), (2, "a2")]);
    assert_eq!(place_job(&replica, "j-1", &team()), [(0, "b1".to_owned())]);
}

/// A machine got as many small tasks as its CPUs and memory allow, which it could not report.
#[test]
fn a_machine_gets_no_more_tasks_than_it_can_report() {
    let most = wire::MAX_TASKS_PER_MACHINE as u32;
    let mut replica = replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false)]);
    let mut array = spec("j-1", JobKind::Array, 3 * most);
    (array.cpus, array.memory_gb) = (0.0, 0.0);
    add_job(&mut replica, array, &[]);
    add_job(&mut replica, spec("j-2", JobKind::Service, 1), &[(0, "a1")]);
    let mut job = replica.jobs["j-1"].value.as_ref().clone();
    let limits = Limits {
        max_tasks: usize::MAX,
        task_window: u32::MAX,
        may_strand_gpus: false,
        gang_wait_s: 0.0,
        now_ms: 1000,
    };
    let placed = place(&replica, &mut inventory(&replica), &mut job, &team(), |_| true, limits);
    let on = |machine: &str| placed.iter().filter(|a| *a.machine == *machine).count() as u32;
    assert_eq!((on("a1"), on("a2")), (most - 1, most));
}

#[test]
fn a_gang_is_placed_whole_in_one_zone_or_not_at_all() {
    let mut replica = replica_with(&[("a1", "m", "a", false), ("b1", "m", "b", false)]);
    let mut gang = spec("j-1", JobKind::Gang, 2);
    (gang.one_zone, gang.cpus) = (true, 6.0);
    add_job(&mut replica, gang.clone(), &[]);
    assert!(place_job(&replica, "j-1", &team()).is_empty());
    gang.cpus = 4.0;
    add_job(&mut replica, gang.clone(), &[]);
    assert_eq!(place_job(&replica, "j-1", &team()).len(), 2);
    add_job(&mut replica, gang, &[(0, "a1")]);
    let mut stopping = replica.jobs["j-1"].value.as_ref().clone();
    stopping.assignments[0].desired = DesiredState::Stopped;
    replica.apply(RecordChange::Job("j-1".into(), Some(Box::new(stopping))), 3);
    assert!(place_job(&replica, "j-1", &team()).is_empty(), "a task of the last attempt is still assigned");
}

#[test]
fn a_teams_quota_bounds_what_is_placed() {
    let mut replica = replica_with(&[("a1", "m", "a", false)]);
    add_job(&mut replica, spec("j-1", JobKind::Array, 9), &[]);
    add_job(&mut replica, spec("j-2", JobKind::Array, 1), &[(0, "a1")]);
    assert_eq!(place_job(&replica, "j-1", &Team { cpus_max: 5.0, ..team() }).len(), 1);
}

#[test]
fn avoided_machines_are_used_last_and_disallowed_ones_never() {
    let mut replica =
        replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false), ("a3", "m", "a", true)]);
    add_job(&mut replica, spec("j-2", JobKind::Array, 3), &[(0, "a2"), (1, "a2"), (2, "a2")]);
    let mut job = JobRecord::new(spec("j-1", JobKind::Array, 6), None, 0);
    job.avoided_machines = vec![("a1".into(), 5000)];
    replica.apply(RecordChange::Job("j-1".into(), Some(Box::new(job))), 3);
    let machines: Vec<String> =
        place_job(&replica, "j-1", &team()).into_iter().map(|placed| placed.1).collect();
    assert_eq!(machines, ["a2", "a1", "a1", "a1", "a1"]);
}

#[test]
fn tasks_without_gpus_leave_room_for_the_latest_gpu_job() {
    let mut replica = replica_with(&[("a1", "g", "a", false)]);
    let mut gpu_gang = spec("j-9", JobKind::Gang, 1);
    (gpu_gang.cpus, gpu_gang.gpus) = (14.0, 2.0);
    add_job(&mut replica, gpu_gang, &[]);
    add_job(&mut replica, spec("j-1", JobKind::Array, 8), &[]);
    assert_eq!(place_job(&replica, "j-1", &team()).len(), 1, "only capacity that a GPU job would leave free");
}

#[test]
fn a_job_with_failed_starts_is_retried_with_growing_delay() {
    let mut job = JobRecord::new(spec("j-1", JobKind::Array, 1), None, 0);
    (job.failed_starts, job.last_failure_ms) = (2, 100);
    assert_eq!(job.retry_at_ms(), 100);
    job.failed_starts = 4;
    assert_eq!(job.retry_at_ms(), 2100);
    job.failed_starts = 400;
    assert_eq!(job.retry_at_ms(), 32_100);
}

/// Small gangs that keep arriving must not keep a large gang waiting forever: capacity that becomes
/// free is collected for the large gang.
#[test]
fn a_large_gang_starts_despite_a_stream_of_small_gangs() {
    let mut replica =
        replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false), ("b1", "m", "b", false)]);
    let mut large = spec("j-1", JobKind::Gang, 2);
    (large.one_zone, large.cpus) = (true, 8.0);
    add_job(&mut replica, large.clone(), &[]);
    let mut small = spec("j-2", JobKind::Gang, 1);
    small.cpus = 8.0;
    add_job(&mut replica, small.clone(), &[(0, "a1")]);
    let mut version = 10;
    let mut started = 0;
    for n in 3..9 {
        // The oldest small gang ends, and another one is already waiting.
        let is_running_small_gang =
            |id: &&String| *id != "j-1" && !replica.jobs[*id].value.assignments.is_empty();
        let oldest = replica.open_job_ids.iter().find(is_running_small_gang).cloned();
        if let Some(id) = oldest {
            replica.apply(RecordChange::Job(id, None), version);
        }
        small.id = format!("j-{n}");
        add_job(&mut replica, small.clone(), &[]);
        version += 1;
        let mut inventory_of_cycle = inventory(&replica);
        for id in replica.open_job_ids.clone() {
            let mut job = replica.jobs[&id].value.as_ref().clone();
            let spec = job.spec.clone().expect("open");
            let limits = Limits {
                max_tasks: 9,
                task_window: 9,
                may_strand_gpus: false,
                gang_wait_s: 0.0,
                now_ms: 1000,
            };
            let placed = place(&replica, &mut inventory_of_cycle, &mut job, &team(), |_| true, limits);
            if placed.is_empty() && job.assignments.is_empty() {
                let collected = collectable_capacity(&inventory_of_cycle, &spec, |_| true);
                inventory_of_cycle.reserve(&collected, Resources::of_task(&spec), 1.0);
            } else {
                started += u32::from(id == "j-1" && !placed.is_empty());
                replica.apply(RecordChange::Job(id, Some(Box::new(job))), version);
            }
        }
    }
    assert_eq!(started, 1);
    assert!(
        replica.jobs["j-1"].value.assignments.iter().all(|assignment| assignment.machine.starts_with('a'))
    );
}

#[test]
fn a_lost_task_of_a_waiting_gang_is_replaced_in_its_attempt_and_zone() {
    let mut replica =
        replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false), ("b1", "m", "b", false)]);
    let mut gang = spec("j-1", JobKind::Gang, 2);
    (gang.one_zone, gang.cpus) = (true, 8.0);
    add_job(&mut replica, gang, &[(0, "a1"), (1, "gone")]);
    let mut job = replica.jobs["j-1"].value.as_ref().clone();
    job.end_assignment(1, 1, TerminationReason::Lost, 0, 0);
    let limits =
        Limits { max_tasks: 9, task_window: 9, may_strand_gpus: false, gang_wait_s: 0.0, now_ms: 1000 };
    let mut replaced = job.clone();
    let placed = place(&replica, &mut inventory(&replica), &mut replaced, &team(), |_| true, limits);
    assert_eq!(placed.len(), 1);
    assert_eq!((placed[0].task, placed[0].attempt, &*placed[0].machine), (1, 1, "a2"));
    // Once a task reports that the gang broke up, the gang starts a new attempt after all its tasks
    // have ended.
    job.end_assignment(0, 1, TerminationReason::Stopped, 0, 0);
    let placed = place(&replica, &mut inventory(&replica), &mut job, &team(), |_| true, limits);
    assert!(placed.is_empty() && job.assignments.is_empty(), "no zone has capacity for both tasks");
    let mut idle_replica = replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false)]);
    idle_replica.apply(RecordChange::Job("j-1".into(), Some(Box::new(job.clone()))), 9);
    let placed = place(&idle_replica, &mut inventory(&idle_replica), &mut job, &team(), |_| true, limits);
    assert_eq!(placed.iter().map(|assignment| assignment.attempt).collect::<Vec<_>>(), [2, 2]);
}

#[test]
fn a_gang_past_its_start_time_yields_until_it_is_among_the_longest_waiting() {
    let older = JobRecord::new(spec("j-1", JobKind::Gang, 2), None, 0);
    let mut newer = older.clone();
    newer.submitted_ms = 75_000;
    let start_times_s = Some((60.0, 150.0));
    let older_is_first = |is_longest_waiting, now_ms| {
        let rank_of = |job, is_longest_waiting| {
            queue_rank(
                job,
                QueueStanding { within_guarantee: true, is_longest_waiting },
                start_times_s,
                now_ms,
            )
        };
        queue_order((&older, rank_of(&older, is_longest_waiting)), (&newer, rank_of(&newer, false))).is_lt()
    };
    assert!(older_is_first(false, 59_000), "both can still start in time: ordered by age");
    assert!(!older_is_first(false, 80_000), "only the newer one can still start in time");
    assert!(older_is_first(true, 80_000));
}

#[test]
fn capacity_is_collected_for_the_oldest_few_gangs_only() {
    let mut replica = replica_with(&[("a1", "m", "a", false)]);
    let assignments: Vec<(u32, &str)> = (0..40).map(|task| (task, "a1")).collect();
    add_job(&mut replica, spec("j-0", JobKind::Gang, 40), &assignments);
    for n in 1..6 {
        add_job(&mut replica, spec(&format!("j-{n}"), JobKind::Gang, 3), &[]);
    }
    assert!(longest_waiting(&replica, 10_000).is_empty());
    assert_eq!(longest_waiting(&replica, 115_000), ["j-1", "j-2"], "15% of 40 tasks");
    replica.apply(RecordChange::Job("j-0".into(), None), 9);
    assert_eq!(longest_waiting(&replica, 115_000), ["j-1"], "at least one gang");
}

#[test]
fn a_gang_is_placed_on_machines_that_have_its_image_at_about_the_same_time() {
    let mut replica =
        replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false), ("a3", "m", "a", false)]);
    let mut gang = spec("j-2", JobKind::Gang, 2);
    (gang.cpus, gang.image_gb) = (8.0, 40.0);
    let mut earlier = spec("j-1", JobKind::Array, 1);
    earlier.image_gb = 40.0;
    add_job(&mut replica, earlier.clone(), &[(0, "a1")]);
    replica.apply(RecordChange::Job("j-1".into(), None), 3);
    add_job(&mut replica, gang.clone(), &[]);
    let machines_at = |replica: &Replica, now_ms| -> Vec<String> {
        let mut job = replica.jobs["j-2"].value.as_ref().clone();
        let limits =
            Limits { max_tasks: 9, task_window: 9, may_strand_gpus: false, gang_wait_s: 30.0, now_ms };
        let placed = place(replica, &mut inventory(replica), &mut job, &team(), |_| true, limits);
        placed.into_iter().map(|assignment| assignment.machine.to_string()).collect()
    };
    assert_eq!(machines_at(&replica, 1000), ["a2", "a3"], "a1 has the image, the others fetch it in 40 s");
    replica.apply(RecordChange::Machine("a3".into(), None), 4);
    assert!(machines_at(&replica, 1000).is_empty());
    assert_eq!(machines_at(&replica, 200_000).len(), 2, "after a long wait, fetch times are ignored");
    let machine_type = replica.machine_types["m"].clone();
    assert!(!image_fetch_too_slow(&gang, &machine_type, 30.0));
    gang.image_gb = 80.0;
    assert!(image_fetch_too_slow(&gang, &machine_type, 30.0));
    gang.cpus = 4.0;
    assert!(!image_fetch_too_slow(&gang, &machine_type, 30.0), "all tasks fit on one machine");
}

/// One task of a gang has the image; the other fetches it for longer than the first waits. The
/// fetch must continue, and the first task is placed on another machine.
#[test]
fn an_image_fetch_continues_when_another_task_of_the_gang_gives_up_waiting() {
    let mut replica =
        replica_with(&[("a1", "m", "a", false), ("a2", "m", "a", false), ("a3", "m", "a", false)]);
    let mut gang = spec("j-1", JobKind::Gang, 2);
    (gang.one_zone, gang.cpus) = (true, 8.0);
    add_job(&mut replica, gang, &[(0, "a1"), (1, "a2")]);
    let mut job = replica.jobs["j-1"].value.as_ref().clone();
    job.attempt = 1;
    job.end_assignment(0, 1, TerminationReason::GangIncomplete, 0, 0);
    assert_eq!(
        job.assignments.iter().map(|assignment| assignment.desired).collect::<Vec<_>>(),
        [DesiredState::Running],
        "the other task keeps fetching"
    );
    replica.apply(RecordChange::Job("j-1".into(), Some(Box::new(job.clone()))), 3);
    let limits =
        Limits { max_tasks: 9, task_window: 9, may_strand_gpus: false, gang_wait_s: 30.0, now_ms: 1000 };
    let placed = place(&replica, &mut inventory(&replica), &mut job, &team(), |_| true, limits);
    assert_eq!(placed.len(), 1);
    assert_eq!((placed[0].task, placed[0].attempt, &*placed[0].machine), (0, 1, "a3"));
    // The machine that gave up its task must not get the same attempt again, and no other is left.
    let mut without_spare = replica.jobs["j-1"].value.as_ref().clone();
    replica.apply(RecordChange::Machine("a3".into(), None), 4);
    assert!(
        place(&replica, &mut inventory(&replica), &mut without_spare, &team(), |_| true, limits).is_empty()
    );
    // Once all tasks have given up, the next attempt may use any machine.
    without_spare.end_assignment(1, 1, TerminationReason::GangIncomplete, 0, 0);
    assert!(without_spare.assignments.is_empty() && without_spare.vacated_machines.is_empty());
    replica.apply(RecordChange::Job("j-1".into(), Some(Box::new(without_spare.clone()))), 5);
    let placed = place(&replica, &mut inventory(&replica), &mut without_spare, &team(), |_| true, limits);
    assert_eq!(placed.iter().map(|assignment| assignment.attempt).collect::<Vec<_>>(), [2, 2]);
    for _ in 0..MAX_VACATED_MACHINES {
        job.vacated_machines.push("x".into());
    }
    job.end_assignment(1, 1, TerminationReason::GangIncomplete, 0, 0);
    assert!(
        job.assignments.iter().all(|assignment| assignment.desired == DesiredState::Stopped),
        "the gang stops when too many machines are vacated"
    );
}

#[test]
fn services_are_placed_where_their_image_is_fetched_fastest() {
    let mut replica =
        replica_with(&[("a1", "m", "a", false), ("a2", "f", "a", false), ("a3", "m", "a", false)]);
    let slow_type = replica.machine_types["m"].clone();
    replica.machine_types.insert(
        "f".into(),
        MachineType { name: "f".into(), fetch_gb_per_s: slow_type.fetch_gb_per_s * 8.0, ..slow_type },
    );
    let mut service = spec("j-1", JobKind::Service, 2);
    service.image_gb = 20.0;
    add_job(&mut replica, service, &[]);
    let machines: Vec<String> =
        place_job(&replica, "j-1", &team()).into_iter().map(|placed| placed.1).collect();
    assert_eq!(machines, ["a2", "a2"]);
}

#[test]
fn the_tasks_of_a_gang_end_together() {
    let mut job = JobRecord::new(spec("j-1", JobKind::Gang, 2), None, 0);
    let assignment =
        |task| Assignment { task, attempt: 1, machine: "m".into(), desired: DesiredState::Running };
    job.assignments = vec![assignment(0), assignment(1)];
    (job.attempt, job.phase) = (1, Phase::Active);
    let mut stopped = job.clone();
    stopped.end_assignment(0, 1, TerminationReason::Stopped, 0, 0);
    assert_eq!((stopped.phase, stopped.assignments[0].desired), (Phase::Active, DesiredState::Stopped));
    job.end_assignment(0, 1, TerminationReason::Done, 0, 0);
    assert_eq!(job.phase, Phase::Done);
    assert!(job.spec.is_some(), "the other task still uses resources");
    job.end_assignment(1, 1, TerminationReason::Lost, 0, 0);
    assert!(job.spec.is_none() && job.done.len() == 2);
}
