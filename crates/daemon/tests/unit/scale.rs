//! Two thousand machines and ten thousand tasks, of which a controller owns its
//! part or, left alone, all. What a round costs is counted, not timed.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sched::placement::{Inventory, Limits, place};
use sched::records::*;
use sched::replica::{RecordChange, Replica};
use wire::{Heartbeat, JobKind, JobSpec, MachineType, Priority, TaskState, TaskStatus};

use crate::controller::Controller;
use crate::operators::OperatorSettings;
use crate::scheduler;
use crate::settings::Settings;
use crate::settings::tests::EXAMPLE;
use crate::state::ControllerState;
use crate::worker::Worker;
use crate::worker::tests::{first_token, spec};

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const EPOCH: u64 = 7;
const NOW_MS: u64 = 500_000;

fn kind(name: &str, cpus: f64, gpus: f64) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus,
        memory_gb: cpus * 4.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 0.5,
        price: cpus * 0.05 + gpus * 2.0,
        spot_price: cpus * 0.01 + gpus * 0.7,
        boot_s: 30.0,
        zones: ZONES.map(Into::into).to_vec(),
    }
}

fn apply(world: &mut Replica, change: RecordChange) {
    let version = world.revision + 1;
    world.apply(change, version);
    world.revision = version;
}

/// The leader of `live` controllers, with so many empty machines of five kinds.
pub fn controller(machines: usize, live: usize) -> Arc<Controller> {
    let mut settings = Settings::parse("example", EXAMPLE).expect("the example is valid");
    (settings.facts.teams[0].cpus, settings.facts.teams[0].cpus_max) = (1e6, 1e6);
    let controller = Controller::new(settings, OperatorSettings::default(), 1);
    let kinds = [kind("s", 4.0, 0.0), kind("m", 8.0, 0.0), kind("l", 16.0, 0.0), kind("g", 16.0, 2.0)];
    let mut core = controller.state();
    let w = &mut core.records.replica;
    apply(w, RecordChange::Types(Some(MachineTypesRecord { types: kinds.to_vec() })));
    let mut members = vec![controller.identity.clone()];
    members.extend((1..live).map(|n| Member {
        name: format!("n-{n}"),
        zone: ZONES[n % 4].into(),
        incarnation: 1 + n as u64,
    }));
    apply(w, RecordChange::Leader(Some(controller.identity.clone())));
    apply(w, RecordChange::Map(Some(ClusterMap { epoch: EPOCH, live: members })));
    for n in 0..machines {
        let record = MachineRecord {
            addr: "10.1.0.1:9000".into(),
            machine_type: kinds[n / 4 % 4].name.as_str().into(),
            zone: ZONES[n % 4].into(),
            spot: false,
            release: false,
        };
        apply(w, RecordChange::Machine(format!("host-{n:06}"), Some(record)));
    }
    core.records.is_loaded = true;
    drop(core);
    controller
}

/// Adds a job; it is placed as far as there is room.
fn add(controller: &Arc<Controller>, inventory: &mut Inventory, core: &mut ControllerState, spec: JobSpec) {
    let id = spec.id.clone();
    let mut job = JobRecord::new(spec, None, 1000);
    let limits = Limits {
        max_tasks: 400,
        task_window: 9999,
        may_strand_gpus: true,
        gang_wait_s: 30.0,
        now_ms: NOW_MS,
    };
    place(&core.records.replica, inventory, &mut job, &controller.teams[0], |_| true, limits);
    apply(&mut core.records.replica, RecordChange::Job(id, Some(Box::new(job))));
}

/// Fills the machines with services, gangs and arrays; their workers report what
/// the records say.
pub fn fill(controller: &Arc<Controller>, now: Instant) {
    let mut core = controller.state();
    let mut inventory = Inventory::new(&core.records.replica, |_| true);
    for n in 0..600 {
        let mut s = spec(&format!("j-{n:06}"), [JobKind::Service, JobKind::Gang, JobKind::Array][n / 200]);
        s.image = format!("i-{}", n % 40);
        match s.kind {
            JobKind::Service => {
                (s.tasks, s.cpus, s.spread, s.priority) =
                    ([2, 4, 9, 16][n % 4], 4.0, true, Priority::Production);
            }
            JobKind::Gang => (s.tasks, s.cpus, s.gpus, s.one_zone) = ([1, 2, 4][n % 3], 14.0, 2.0, true),
            JobKind::Array => (s.tasks, s.cpus) = (80, 1.0),
        }
        add(controller, &mut inventory, &mut core, s);
    }
    let ids: Vec<Name> = core.records.replica.owned_by(&controller.identity).cloned().collect();
    for id in ids {
        let running = |(job, _, a): (&str, &JobRecord, &Assignment)| TaskStatus {
            task: format!("{job}/{}", a.task),
            attempt: a.attempt,
            state: TaskState::Running,
            cause: None,
            checkpointed: None,
        };
        let report = Heartbeat {
            machine: id.to_string(),
            addr: "10.1.0.1:9000".into(),
            machine_type: "m".into(),
            zone: "a".into(),
            spot: false,
            incarnation: 1,
            sequence: 1,
            fencing_token: first_token(EPOCH),
            spot_notice_s: None,
            tasks: core.records.replica.assignments(&id).map(running).collect(),
        };
        let mut worker = Worker::new(report.addr.clone(), EPOCH, now);
        worker.receive_heartbeat(report, now);
        worker.renew_lease(now);
        core.machines.workers.insert(id, worker);
    }
    core.records.fresh_at = Some(now);
}

fn due(core: &ControllerState, now: Instant) -> usize {
    core.machines.workers.values().filter(|w| w.is_reconciliation_due(now)).count()
}

#[test]
fn a_round_looks_only_at_machines_with_news() {
    let controller = controller(2000, 1);
    let now = Instant::now();
    fill(&controller, now);
    let mut core = controller.state();
    let tasks: usize = core.records.replica.jobs_by_machine.values().flatten().map(|(_, t)| t.len()).sum();
    assert!(
        core.machines.workers.len() == 2000 && tasks > 10_000,
        "{} machines, {tasks} tasks",
        core.machines.workers.len()
    );
    let round = scheduler::decide(&controller, &mut core, scheduler::CycleContext::new(0, now, NOW_MS))
        .expect("entitled");
    assert!(round.commands.is_empty(), "what runs is left alone");
    assert_eq!(due(&core, now + Duration::from_millis(100)), 0, "nothing is open");
    // One job is cancelled: only its machines are looked at.
    let id = core.records.replica.open_job_ids.iter().next().expect("some").clone();
    let mut job = core.records.replica.jobs[&id].value.clone();
    job.phase = Phase::Cancelled;
    let machines: std::collections::BTreeSet<_> = job.assignments.iter().map(|a| a.machine.clone()).collect();
    apply(&mut core.records.replica, RecordChange::Job(id, Some(job)));
    let later = now + Duration::from_millis(200);
    let round = scheduler::decide(&controller, &mut core, scheduler::CycleContext::new(0, later, NOW_MS))
        .expect("entitled");
    let sent: std::collections::BTreeSet<_> =
        round.commands.iter().map(|sent| sent.machine.clone()).collect();
    assert!(sent == machines && !sent.is_empty());
}

/// A zone of hundreds of machines is lost at once. Each job with something on them
/// costs one change for all its ends, whatever their number, and what is placed
/// anew in the same round costs no further one but its team's.
#[test]
fn a_lost_zone_costs_a_change_for_each_job() {
    let controller = controller(2000, 1);
    let now = Instant::now();
    fill(&controller, now);
    let mut core = controller.state();
    let lost: Vec<Name> = core
        .records
        .replica
        .machines
        .iter()
        .filter(|(_, m)| *m.value.zone == *"d")
        .map(|(id, _)| id.clone())
        .collect();
    assert_eq!(lost.len(), 500);
    let hit: std::collections::BTreeSet<String> = lost
        .iter()
        .flat_map(|id| core.records.replica.assignments(id).map(|(job, ..)| job.to_owned()))
        .collect();
    apply(
        &mut core.records.replica,
        RecordChange::Fleet(Some(FleetRecord {
            scale_outs: Vec::new(),
            removed_machines: Some(lost.clone()),
        })),
    );
    let mut changes = 0;
    let mut rounds = 0;
    while !core.records.replica.machines_without_record.is_empty() {
        rounds += 1;
        assert!(rounds < 200, "{} left", core.records.replica.machines_without_record.len());
        let at = now + Duration::from_millis(100 * rounds);
        let mut round =
            scheduler::decide(&controller, &mut core, scheduler::CycleContext::new(16, at, NOW_MS))
                .expect("entitled");
        let scheduler::CycleTransaction { writes: puts, left_out, teams, .. } = scheduler::build_transaction(
            &core.records.replica,
            &round,
            &controller.state_limits(),
            usize::MAX,
        );
        changes += puts.len();
        for (id, record) in std::mem::take(&mut round.jobs) {
            if !left_out.contains(&id) {
                apply(&mut core.records.replica, RecordChange::Job(id, Some(record)));
            }
        }
        for (team, record) in teams {
            apply(&mut core.records.replica, RecordChange::Team(team, Some(record)));
        }
    }
    assert!(hit.len() > 100, "{}", hit.len());
    assert!(changes <= hit.len() * 3 / 2, "{changes} changes for {} jobs", hit.len());
}

/// Arrays end all the time on a busy site. That does not keep the jobs waiting that
/// had something on machines that are gone.
#[test]
fn what_was_on_lost_machines_ends_before_what_ends_all_the_time() {
    let controller = controller(2000, 1);
    let now = Instant::now();
    fill(&controller, now);
    let mut core = controller.state();
    let kind =
        |core: &ControllerState, id: &str| core.records.replica.jobs[id].value.spec.as_ref().map(|s| s.kind);
    let service = core
        .records
        .replica
        .open_job_ids
        .iter()
        .find(|id| kind(&core, id) == Some(JobKind::Service))
        .cloned();
    let service = service.expect("some");
    let lost = core.records.replica.jobs[&service].value.assignments[0].machine.clone();
    let arrays: Vec<String> = core
        .records
        .replica
        .open_job_ids
        .iter()
        .filter(|id| kind(&core, id) == Some(JobKind::Array))
        .cloned()
        .collect();
    let proofs = arrays.iter().filter_map(|id| {
        let a = core.records.replica.jobs[id].value.assignments.first()?;
        let machine = a.machine.to_string();
        Some(peer::TerminationProof {
            job: id.clone(),
            task: a.task,
            attempt: a.attempt,
            machine,
            reason_code: TerminationReason::Done.code(),
        })
    });
    let proofs: Vec<peer::TerminationProof> = proofs.collect();
    assert!(proofs.len() > 16, "more than a round holds");
    drop(core);
    controller.accept_forwarded_proofs(EPOCH, proofs, now);
    core = controller.state();
    apply(
        &mut core.records.replica,
        RecordChange::Fleet(Some(FleetRecord {
            scale_outs: Vec::new(),
            removed_machines: Some(vec![lost.clone()]),
        })),
    );
    let round = scheduler::decide(&controller, &mut core, scheduler::CycleContext::new(16, now, NOW_MS))
        .expect("entitled");
    let record = round.jobs.get(&service).expect("its task is over");
    assert!(record.assignments.iter().all(|a| a.machine != lost));
    assert!(round.jobs.len() > 4, "the arrays have the rest");
}
