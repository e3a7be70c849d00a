//! Tests with two thousand machines and ten thousand tasks, all owned by one controller or a share
//! of them. The cost of a scheduling cycle is counted, not timed.

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

fn machine_type(name: &str, cpus: f64, gpus: f64) -> MachineType {
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

fn apply(replica: &mut Replica, change: RecordChange) {
    let version = replica.revision + 1;
    replica.apply(change, version);
    replica.revision = version;
}

/// The leader of `live` controllers, with this many empty machines of four types.
pub fn controller(machines: usize, live: usize) -> Arc<Controller> {
    let mut settings = Settings::parse("example", EXAMPLE).expect("the example is valid");
    (settings.facts.teams[0].cpus, settings.facts.teams[0].cpus_max) = (1e6, 1e6);
    let controller = Controller::new(settings, OperatorSettings::default(), 1);
    let machine_types = [
        machine_type("s", 4.0, 0.0),
        machine_type("m", 8.0, 0.0),
        machine_type("l", 16.0, 0.0),
        machine_type("g", 16.0, 2.0),
    ];
    let mut state = controller.state();
    let replica = &mut state.records.replica;
    apply(replica, RecordChange::Types(Some(MachineTypesRecord { types: machine_types.to_vec() })));
    let mut members = vec![controller.identity.clone()];
    members.extend((1..live).map(|n| Member {
        name: format!("n-{n}"),
        zone: ZONES[n % 4].into(),
        incarnation: 1 + n as u64,
    }));
    apply(replica, RecordChange::Leader(Some(controller.identity.clone())));
    apply(replica, RecordChange::Map(Some(ClusterMap { epoch: EPOCH, live: members })));
    for n in 0..machines {
        let record = MachineRecord {
            addr: "10.1.0.1:9000".into(),
            machine_type: machine_types[n / 4 % 4].name.as_str().into(),
            zone: ZONES[n % 4].into(),
            spot: false,
            release: false,
        };
        apply(replica, RecordChange::Machine(format!("host-{n:06}"), Some(record)));
    }
    state.records.is_loaded = true;
    drop(state);
    controller
}

/// Adds a job and places as many of its tasks as there is room for.
fn add(controller: &Arc<Controller>, inventory: &mut Inventory, state: &mut ControllerState, spec: JobSpec) {
    let id = spec.id.clone();
    let mut job = JobRecord::new(spec, None, 1000);
    let limits = Limits {
        max_tasks: 400,
        task_window: 9999,
        may_strand_gpus: true,
        gang_wait_s: 30.0,
        now_ms: NOW_MS,
    };
    place(&state.records.replica, inventory, &mut job, &controller.teams[0], |_| true, limits);
    apply(&mut state.records.replica, RecordChange::Job(id, Some(Box::new(job))));
}

/// Fills the machines with services, gangs and arrays; heartbeats of the workers report what the
/// records say.
pub fn fill(controller: &Arc<Controller>, now: Instant) {
    let mut state = controller.state();
    let mut inventory = Inventory::new(&state.records.replica, |_| true);
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
        add(controller, &mut inventory, &mut state, s);
    }
    let ids: Vec<Name> = state.records.replica.owned_by(&controller.identity).cloned().collect();
    for id in ids {
        let running = |(job, _, a): (&str, &JobRecord, &Assignment)| TaskStatus {
            task: format!("{job}/{}", a.task),
            attempt: a.attempt,
            state: TaskState::Running,
            cause: None,
            checkpointed: None,
        };
        let heartbeat = Heartbeat {
            machine: id.to_string(),
            addr: "10.1.0.1:9000".into(),
            machine_type: "m".into(),
            zone: "a".into(),
            spot: false,
            incarnation: 1,
            sequence: 1,
            fencing_token: first_token(EPOCH),
            spot_notice_s: None,
            tasks: state.records.replica.assignments(&id).map(running).collect(),
        };
        let mut worker = Worker::new(heartbeat.addr.clone(), EPOCH, now);
        worker.receive_heartbeat(heartbeat, now);
        worker.renew_lease(now);
        state.machines.workers.insert(id, worker);
    }
    state.records.fresh_at = Some(now);
}

fn due_reconciliations(state: &ControllerState, now: Instant) -> usize {
    state.machines.workers.values().filter(|w| w.is_reconciliation_due(now)).count()
}

#[test]
fn cycle_reconciles_only_machines_with_changes() {
    let controller = controller(2000, 1);
    let now = Instant::now();
    fill(&controller, now);
    let mut state = controller.state();
    let tasks: usize = state.records.replica.jobs_by_machine.values().flatten().map(|(_, t)| t.len()).sum();
    assert!(
        state.machines.workers.len() == 2000 && tasks > 10_000,
        "{} machines, {tasks} tasks",
        state.machines.workers.len()
    );
    let cycle = scheduler::decide(&controller, &mut state, scheduler::CycleContext::new(0, now, NOW_MS))
        .expect("entitled");
    assert!(cycle.commands.is_empty(), "no commands for running tasks");
    assert_eq!(due_reconciliations(&state, now + Duration::from_millis(100)), 0, "no reconciliation is due");
    // One job is cancelled: only its machines are reconciled.
    let id = state.records.replica.open_job_ids.iter().next().expect("an open job").clone();
    let mut job = state.records.replica.jobs[&id].value.clone();
    job.phase = Phase::Cancelled;
    let machines: std::collections::BTreeSet<_> = job.assignments.iter().map(|a| a.machine.clone()).collect();
    apply(&mut state.records.replica, RecordChange::Job(id, Some(job)));
    let later = now + Duration::from_millis(200);
    let cycle = scheduler::decide(&controller, &mut state, scheduler::CycleContext::new(0, later, NOW_MS))
        .expect("entitled");
    let sent: std::collections::BTreeSet<_> =
        cycle.commands.iter().map(|sent| sent.machine.clone()).collect();
    assert!(sent == machines && !sent.is_empty());
}

/// A zone of hundreds of machines is lost at once. Each job with tasks there costs one change for
/// all their ends, whatever their number, and placements in the same cycle cost no further change
/// but that of their team.
#[test]
fn lost_zone_costs_one_change_per_job() {
    let controller = controller(2000, 1);
    let now = Instant::now();
    fill(&controller, now);
    let mut state = controller.state();
    let lost: Vec<Name> = state
        .records
        .replica
        .machines
        .iter()
        .filter(|(_, m)| *m.value.zone == *"d")
        .map(|(id, _)| id.clone())
        .collect();
    assert_eq!(lost.len(), 500);
    let affected_jobs: std::collections::BTreeSet<String> = lost
        .iter()
        .flat_map(|id| state.records.replica.assignments(id).map(|(job, ..)| job.to_owned()))
        .collect();
    apply(
        &mut state.records.replica,
        RecordChange::Fleet(Some(FleetRecord {
            scale_outs: Vec::new(),
            removed_machines: Some(lost.clone()),
        })),
    );
    let mut changes = 0;
    let mut cycles = 0;
    while !state.records.replica.machines_without_record.is_empty() {
        cycles += 1;
        assert!(cycles < 200, "{} left", state.records.replica.machines_without_record.len());
        let at = now + Duration::from_millis(100 * cycles);
        let mut cycle =
            scheduler::decide(&controller, &mut state, scheduler::CycleContext::new(16, at, NOW_MS))
                .expect("entitled");
        let scheduler::CycleTransaction { writes, left_out, teams, .. } = scheduler::build_transaction(
            &state.records.replica,
            &cycle,
            &controller.state_limits(),
            usize::MAX,
        );
        changes += writes.len();
        for (id, record) in std::mem::take(&mut cycle.jobs) {
            if !left_out.contains(&id) {
                apply(&mut state.records.replica, RecordChange::Job(id, Some(record)));
            }
        }
        for (team, record) in teams {
            apply(&mut state.records.replica, RecordChange::Team(team, Some(record)));
        }
    }
    assert!(affected_jobs.len() > 100, "{}", affected_jobs.len());
    assert!(changes <= affected_jobs.len() * 3 / 2, "{changes} changes for {} jobs", affected_jobs.len());
}

/// Array tasks end constantly on a busy site. They must not delay jobs that had tasks on removed
/// machines.
#[test]
fn tasks_of_removed_machines_end_before_ordinary_ends() {
    let controller = controller(2000, 1);
    let now = Instant::now();
    fill(&controller, now);
    let mut state = controller.state();
    let job_kind = |state: &ControllerState, id: &str| {
        state.records.replica.jobs[id].value.spec.as_ref().map(|s| s.kind)
    };
    let service = state
        .records
        .replica
        .open_job_ids
        .iter()
        .find(|id| job_kind(&state, id) == Some(JobKind::Service))
        .cloned();
    let service = service.expect("an open job");
    let lost = state.records.replica.jobs[&service].value.assignments[0].machine.clone();
    let arrays: Vec<String> = state
        .records
        .replica
        .open_job_ids
        .iter()
        .filter(|id| job_kind(&state, id) == Some(JobKind::Array))
        .cloned()
        .collect();
    let proofs = arrays.iter().filter_map(|id| {
        let a = state.records.replica.jobs[id].value.assignments.first()?;
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
    assert!(proofs.len() > 16, "more than a cycle holds");
    drop(state);
    controller.accept_forwarded_proofs(EPOCH, proofs, now);
    state = controller.state();
    apply(
        &mut state.records.replica,
        RecordChange::Fleet(Some(FleetRecord {
            scale_outs: Vec::new(),
            removed_machines: Some(vec![lost.clone()]),
        })),
    );
    let cycle = scheduler::decide(&controller, &mut state, scheduler::CycleContext::new(16, now, NOW_MS))
        .expect("entitled");
    let record = cycle.jobs.get(&service).expect("the end of its task");
    assert!(record.assignments.iter().all(|a| a.machine != lost));
    assert!(cycle.jobs.len() > 4, "ended array tasks fill the rest of the cycle");
}
