//! The periodic log line on waiting jobs and the usage of machines.

use std::collections::BTreeMap;

use sched::placement;
use sched::records::ScaleOut;
use sched::replica::Replica;
use tracing::info;

use crate::controller::wall_ms;
use crate::load::sample_names;
use crate::state::ControllerState;

/// The open jobs of a service class.
#[derive(Default)]
struct ClassLoad {
    /// Jobs that have waiting tasks.
    waiting_jobs: u32,
    /// Tasks that wait for a machine.
    waiting_tasks: u32,
    /// Tasks that are assigned to machines.
    assigned_tasks: u32,
}

/// The machines of a type; spot instances are counted apart from on-demand ones.
#[derive(Default)]
struct TypeUsage {
    machines: u32,
    used_cpus: f64,
    cpus: f64,
}

/// Logs the waiting jobs and tasks by service class, the requested machines that are not up yet,
/// `overdue` of which should be by now, and the CPU usage by machine type.
pub fn log_cluster(state: &ControllerState, overdue: usize) {
    let waiting = waiting_by_class(&state.records.replica);
    let failing = failed_starts_by_job(&state.records.replica, wall_ms());
    let machines = usage_by_type(&state.records.replica);
    info!(
        waiting = waiting.join("; "),
        failing = sample_names(&failing),
        requested = requested_machines(&state.records.replica),
        overdue,
        machines = machines.join("; "),
        "cluster load"
    );
}

fn waiting_by_class(replica: &Replica) -> Vec<String> {
    let mut classes: BTreeMap<&str, ClassLoad> = BTreeMap::new();
    for job in replica.open_job_ids.iter().filter_map(|id| replica.jobs.get(id)) {
        let Some(spec) = job.value.spec.as_deref() else { continue };
        let waiting_tasks = placement::pending_task_count(&job.value);
        let load = classes.entry(&spec.class).or_default();
        load.waiting_jobs += u32::from(waiting_tasks > 0);
        load.waiting_tasks += waiting_tasks;
        load.assigned_tasks += job.value.assignments.len() as u32;
    }
    let format_line = |(class, load): (&&str, &ClassLoad)| {
        let ClassLoad { waiting_jobs, waiting_tasks, assigned_tasks } = load;
        format!("{class}: {waiting_jobs} jobs, {waiting_tasks} tasks, {assigned_tasks} running")
    };
    classes.iter().map(format_line).collect()
}

/// The jobs with waiting tasks whose last starts have failed, with the number of failed starts.
fn failed_starts_by_job(replica: &Replica, now_ms: u64) -> Vec<String> {
    let waiting = replica.open_jobs().filter(|(_, job)| placement::pending_task_count(job) > 0);
    waiting
        .filter_map(|(id, job)| match job.consecutive_failed_starts(now_ms) {
            0 => None,
            failed_starts => Some(format!("{id}: {failed_starts} failed starts")),
        })
        .collect()
}

/// The number of machines of all scale-outs that are not up yet.
fn requested_machines(replica: &Replica) -> usize {
    let scale_outs = replica.fleet.iter().flat_map(|fleet| fleet.value.scale_outs.iter());
    let not_up = |scale_out: &ScaleOut| match &scale_out.machines {
        Some(machines) => machines.iter().filter(|id| !replica.machines.contains_key(*id)).count(),
        None => scale_out.count as usize,
    };
    scale_outs.map(not_up).sum()
}

fn usage_by_type(replica: &Replica) -> Vec<String> {
    let mut types: BTreeMap<String, TypeUsage> = BTreeMap::new();
    for (id, machine) in &replica.machines {
        let Some(machine_type) = replica.machine_types.get(&*machine.value.machine_type) else { continue };
        let prefix = if machine.value.spot { "spot " } else { "" };
        let usage = types.entry(format!("{prefix}{}", machine.value.machine_type)).or_default();
        usage.machines += 1;
        usage.used_cpus += replica.machine_usage.get(id).map_or(0.0, |used| used.cpus);
        usage.cpus += machine_type.cpus;
    }
    let format_line = |(name, usage): (&String, &TypeUsage)| {
        format!("{name}: {}, {:.0}/{:.0} CPUs", usage.machines, usage.used_cpus, usage.cpus)
    };
    types.iter().map(format_line).collect()
}
