//! Reconciles the workers of owned machines with the records, which yields termination proofs and
//! commands.

use std::time::Instant;

use peer::TerminationProof;
use sched::records::{Member, Name, TerminationReason};
use sched::replica::Replica;
use sched::spot_notice;
use wire::{Command, Commands};

use super::cycle::{CycleContext, OutgoingCommands, SchedulingCycle, record_for_update};
use super::events::SchedulingEvent;
use super::terminations::{Termination, terminate};
use crate::controller::Controller;
use crate::state::{ControllerState, FORWARDED_PROOF_TIMEOUT, PeerTable, PendingProof, PendingProofs};
use crate::worker::{AssignmentId, Worker, WorkerLimits};

/// Up to this many forget commands wait for the next clean-up; more are sent at once.
const MAX_DELAYED_FORGETS: usize = 12;

/// Reconciles those workers with the records whose reconciliation is due: a status or record has
/// changed, or the interval since the last one has passed.
pub(super) fn reconcile_workers(
    controller: &Controller,
    state: &mut ControllerState,
    cycle: &mut SchedulingCycle,
    context: CycleContext,
) {
    let Some(epoch) = state.cluster_map().map(|map| map.epoch) else { return };
    update_owned_workers(&controller.identity, state, epoch, context.now);
    let ControllerState { records, machines, peers, proofs, .. } = state;
    let mut reconciliation = WorkerReconciliation {
        controller_name: &controller.identity.name,
        epoch,
        limits: controller.worker_limits(records.fresh_at),
        context,
        replica: &records.replica,
        peers,
        proofs,
        cycle,
    };
    for (machine, worker) in &mut machines.workers {
        worker.enter_epoch(epoch);
        if worker.is_reconciliation_due(context.now) {
            reconciliation.reconcile(machine, worker);
        }
    }
}

/// Adds workers of machines that this controller now owns and removes those of machines that it no
/// longer owns. Workers whose machine records have changed are reconciled.
fn update_owned_workers(identity: &Member, state: &mut ControllerState, epoch: u64, now: Instant) {
    let replica = &mut state.records.replica;
    let workers = &mut state.machines.workers;
    let changed: Vec<Name> = match replica.take_changed_machines() {
        Some(changed) => changed.into_iter().collect(),
        None => {
            workers.retain(|id, worker| {
                replica.owner_of(id) == Some(identity)
                    && !worker.predates_ownership(replica.owned_since_epoch(id))
            });
            replica.owned_by(identity).cloned().collect()
        }
    };
    for id in changed {
        match replica.machines.get(&id).filter(|_| replica.owner_of(&id) == Some(identity)) {
            Some(record) => {
                let new_worker = || Worker::new(record.value.addr.clone(), epoch, now);
                workers.entry(id).or_insert_with(new_worker).request_reconciliation();
            }
            None => {
                workers.remove(&id);
            }
        }
    }
}

/// The termination of an assignment, proven by the heartbeats of the worker.
struct ProvenTermination<'a> {
    assignment: AssignmentId,
    machine: &'a Name,
    reason: TerminationReason,
    /// When it was first proven.
    proven_at: Instant,
}

/// The state that reconciling a worker reads and changes, apart from the worker itself.
struct WorkerReconciliation<'a> {
    /// The name of this controller.
    controller_name: &'a str,
    /// The epoch of the cluster map.
    epoch: u64,
    limits: WorkerLimits,
    context: CycleContext,
    replica: &'a Replica,
    peers: &'a PeerTable,
    proofs: &'a mut PendingProofs,
    cycle: &'a mut SchedulingCycle,
}

impl WorkerReconciliation<'_> {
    fn reconcile(&mut self, machine: &Name, worker: &mut Worker) {
        let now = self.context.now;
        let plan = worker.reconcile(machine, self.replica, &self.limits, now);
        for (assignment, reason) in plan.terminations {
            let Some(job) = self.replica.jobs.get(&assignment.job) else { continue };
            let scheduler = self.replica.scheduler_of(&job.value).unwrap_or_default();
            let proven_at = worker.first_proven_at(&assignment, now);
            self.route_proof(scheduler, ProvenTermination { assignment, machine, reason, proven_at });
        }
        if let Some(reclaimed_at) = worker.spot_notice_until() {
            self.stop_on_spot_notice(machine, reclaimed_at);
        }
        self.queue_commands(machine, worker, plan.commands, plan.needs_token_acknowledgement);
    }

    /// Forwards a termination proof to the job's scheduler, or writes it itself if that scheduler
    /// is unavailable. Each job has a single writer: if two owners write the same record at the
    /// same time, their transactions conflict.
    fn route_proof(&mut self, scheduler: &str, termination: ProvenTermination) {
        let ProvenTermination { assignment, machine, reason, proven_at } = termination;
        let now = self.context.now;
        if scheduler == self.controller_name {
            // Kept until it is written together with the other proofs of its job.
            let (machine, epoch) = (machine.to_string(), self.epoch);
            let proof = PendingProof { machine, reason, epoch, received_at: now, proven_at };
            self.proofs.insert(assignment, proof);
        } else if self.must_write_in_place_of(scheduler, proven_at) {
            let termination = Termination { assignment: &assignment, machine, reason };
            terminate(self.cycle, self.replica, termination, self.context.now_ms);
        } else if proven_at == now {
            let AssignmentId { job, task, attempt } = assignment;
            let machine = machine.to_string();
            let proof = TerminationProof { job, task, attempt, machine, reason_code: reason.code() };
            self.cycle.forwarded_proofs.entry(scheduler.to_owned()).or_default().push(proof);
        }
    }

    /// Whether this controller has to write a proof itself: the job's scheduler has not written it
    /// in time, or cannot be reached.
    fn must_write_in_place_of(&self, scheduler: &str, proven_at: Instant) -> bool {
        let now = self.context.now;
        now.saturating_duration_since(proven_at) > FORWARDED_PROOF_TIMEOUT
            || self.peers.is_backing_off(scheduler, now)
            || !self.peers.statuses.contains_key(scheduler)
    }

    /// Stops the tasks on a spot machine that should use the time left until the machine is
    /// reclaimed: replicas of services, and tasks that can still save a checkpoint.
    fn stop_on_spot_notice(&mut self, machine: &Name, reclaimed_at: Instant) {
        let replica = self.replica;
        let time_left = reclaimed_at.saturating_duration_since(self.context.now);
        for (job, record, assignment) in replica.assignments(machine) {
            let should_stop =
                record.spec.as_ref().is_some_and(|spec| spot_notice::should_stop(spec, time_left));
            if !should_stop || !record.should_run(assignment) {
                continue;
            }
            let Some(record) = record_for_update(self.cycle, replica, job) else { continue };
            let task = assignment.task;
            if spot_notice::mark_to_stop(record, task) {
                let (job, machine) = (job.to_owned(), machine.clone());
                self.cycle.events.push(SchedulingEvent::SpotNotice { job, task, machine });
            }
        }
    }

    /// Queues the commands for a worker if they are due. `needs_acknowledgement`: the worker has to
    /// be shown a newer token even if there are no commands.
    fn queue_commands(
        &mut self,
        machine: &Name,
        worker: &mut Worker,
        commands: Vec<Command>,
        needs_acknowledgement: bool,
    ) {
        let now = self.context.now;
        let only_forgets =
            !commands.is_empty() && commands.iter().all(|c| matches!(c, Command::Forget { .. }));
        let is_urgent = needs_acknowledgement
            || !commands.is_empty() && (!only_forgets || commands.len() > MAX_DELAYED_FORGETS);
        let is_due = only_forgets && worker.is_cleanup_due(now);
        if !(is_urgent || is_due) || !worker.may_send_commands(now) {
            return;
        }
        let Some(token) = worker.begin_commands(&commands, now) else { return };
        let commands = Commands { fencing_token: token.get(), incarnation: worker.incarnation(), commands };
        let outgoing = OutgoingCommands { machine: machine.clone(), address: worker.addr.clone(), commands };
        self.cycle.commands.push(outgoing);
    }
}
