//! Writes terminations of assignments to the records of their jobs.

use std::collections::BTreeMap;
use std::time::Instant;

use sched::records::{JobRecord, TerminationReason};
use sched::replica::Replica;
use wire::{JobKind, Priority};

use super::cycle::{CycleContext, SchedulingCycle, record_for_update};
use super::events::SchedulingEvent;
use crate::controller::Controller;
use crate::state::{ControllerState, PendingProof};
use crate::worker::AssignmentId;

/// How long a job avoids a machine on which one of its tasks has failed, in seconds.
const FAILED_MACHINE_BACKOFF_S: u64 = 60;
/// How long a job avoids a machine that has rejected one of its tasks, in milliseconds.
const REJECTING_MACHINE_BACKOFF_MS: u64 = 5000;

/// An assignment that is proven to be over.
#[derive(Clone, Copy)]
pub(super) struct Termination<'a> {
    /// The assignment.
    pub(super) assignment: &'a AssignmentId,
    /// The machine that it was on.
    pub(super) machine: &'a str,
    /// How it ended.
    pub(super) reason: TerminationReason,
}

/// Ends an assignment in its job's record, if the cycle has room for the job.
pub(super) fn terminate(
    cycle: &mut SchedulingCycle,
    replica: &Replica,
    termination: Termination,
    now_ms: u64,
) {
    let Termination { assignment, machine, reason } = termination;
    let AssignmentId { job, task, attempt } = assignment;
    if cycle.must_defer_termination(job) {
        return;
    }
    let Some(record) = record_for_update(cycle, replica, job) else { return };
    record.end_assignment(*task, *attempt, reason, now_ms, FAILED_MACHINE_BACKOFF_S);
    if reason == TerminationReason::Rejected {
        // Something runs there that the records do not show yet.
        record.avoid_machine(machine, now_ms, REJECTING_MACHINE_BACKOFF_MS);
    }
    cycle.events.push(SchedulingEvent::Terminated {
        job: job.clone(),
        task: *task,
        attempt: *attempt,
        reason,
    });
}

/// Ends assignments on machines without a record. Such assignments are certainly over: the record
/// of a machine is deleted only after the cloud has confirmed the release, and no task is launched
/// on a machine without a record.
pub(super) fn terminate_on_released_machines(
    controller: &Controller,
    state: &ControllerState,
    cycle: &mut SchedulingCycle,
    now_ms: u64,
) {
    let replica = &state.records.replica;
    for machine in &replica.machines_without_record {
        for (id, job, assignment) in replica.assignments(machine) {
            if replica.scheduler_of(job) != Some(&controller.identity.name) {
                continue;
            }
            // Leave the rest to later cycles: the transaction needs room to place the terminated
            // tasks again in this cycle.
            if cycle.must_defer_termination(id) {
                continue;
            }
            let Some(record) = record_for_update(cycle, replica, id) else { continue };
            let (task, attempt, reason) = (assignment.task, assignment.attempt, TerminationReason::Lost);
            record.end_assignment(task, attempt, reason, now_ms, 0);
            let job = id.to_owned();
            cycle.events.push(SchedulingEvent::Terminated { job, task, attempt, reason });
        }
    }
}

/// Ends the assignments whose termination the owners of the machines have proven. A proof is valid
/// only under the cluster map that it was made under: a later owner may launch a task whose absence
/// was the proof.
pub(super) fn terminate_proven(
    controller: &Controller,
    state: &mut ControllerState,
    cycle: &mut SchedulingCycle,
    context: CycleContext,
) {
    let Some(epoch) = state.cluster_map().map(|map| map.epoch) else { return };
    let ControllerState { records, proofs, .. } = state;
    let replica = &records.replica;
    proofs.retain_valid(replica, &controller.identity.name, epoch, context.now);
    let mut proofs_by_job: BTreeMap<&str, Vec<(&AssignmentId, &PendingProof)>> = BTreeMap::new();
    for (assignment, proof) in proofs.iter() {
        proofs_by_job.entry(&assignment.job).or_default().push((assignment, proof));
    }
    // One write records all proofs of a job. If writes are scarce, jobs come first that their
    // proofs complete, that have many proofs, or that have waited long. In the order of job ids,
    // some jobs would wait while others are written once for each task.
    let mut proofs_by_urgency: Vec<(f64, Vec<(&AssignmentId, &PendingProof)>)> = proofs_by_job
        .into_iter()
        .filter_map(|(id, proofs)| {
            let job = &replica.jobs.get(id)?.value;
            let is_written_anyway = cycle.jobs.contains_key(id);
            let urgency =
                if is_written_anyway { f64::INFINITY } else { write_urgency(job, &proofs, context.now) };
            Some((urgency, proofs))
        })
        .collect();
    proofs_by_urgency.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (assignment, proof) in proofs_by_urgency.into_iter().flat_map(|(_, proofs)| proofs) {
        let termination = Termination { assignment, machine: &proof.machine, reason: proof.reason };
        terminate(cycle, replica, termination, context.now_ms);
    }
}

/// The urgency of writing these proofs of a job: the highest is written first.
fn write_urgency(job: &JobRecord, proofs: &[(&AssignmentId, &PendingProof)], now: Instant) -> f64 {
    let done = proofs.iter().filter(|(_, p)| p.reason == TerminationReason::Done).count() as u32;
    let tasks = job.spec.as_ref().map_or(0, |s| s.tasks);
    let is_gang = job.spec.as_ref().is_some_and(|s| s.kind == JobKind::Gang);
    let completes_job = done > 0 && (is_gang || job.done.len() + done >= tasks);
    let longest_wait =
        proofs.iter().map(|(_, p)| now.saturating_duration_since(p.proven_at)).max().unwrap_or_default();
    let by_priority = match job.priority() {
        Some(Priority::Production) => 6.0,
        Some(Priority::High) => 4.0,
        Some(Priority::Normal) => 1.0,
        Some(Priority::Low) | None => 0.0,
    };
    f64::from(u8::from(completes_job)) * 20.0
        + proofs.len() as f64
        + longest_wait.as_secs_f64() * 2.0
        + by_priority
}
