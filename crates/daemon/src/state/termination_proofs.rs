//! Proofs that assignments have ended, which are kept until they are written to the jobs' records.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use peer::TerminationProof;
use sched::records::TerminationReason;
use sched::replica::Replica;

use crate::worker::AssignmentId;

/// How long a controller has to write a proof that was forwarded to it.
pub const FORWARDED_PROOF_TIMEOUT: Duration = Duration::from_millis(5000);
/// How long a proof is kept.
const MAX_PROOF_AGE: Duration = Duration::from_millis(20_000);

/// The end of an assignment, proven by this controller or by a peer.
#[derive(Debug)]
pub struct PendingProof {
    /// The machine that the assignment was on.
    pub machine: String,
    /// How it ended.
    pub reason: TerminationReason,
    /// The epoch of the cluster map under which it was proven.
    pub epoch: u64,
    /// When the proof was last received.
    pub received_at: Instant,
    /// When the end was first proven.
    pub proven_at: Instant,
}

/// Proofs that have not been written yet, by job, task and attempt.
#[derive(Debug, Default)]
pub struct PendingProofs {
    by_assignment: BTreeMap<AssignmentId, PendingProof>,
}

impl PendingProofs {
    /// Keeps a proof until it is written.
    pub fn insert(&mut self, assignment: AssignmentId, proof: PendingProof) {
        self.by_assignment.insert(assignment, proof);
    }

    /// Keeps the proofs of a peer. Those with a reason that this version does not know are skipped.
    pub fn insert_forwarded(&mut self, epoch: u64, proofs: Vec<TerminationProof>, now: Instant) {
        for proof in proofs {
            let Some(reason) = TerminationReason::from_code(proof.reason_code) else { continue };
            let TerminationProof { job, task, attempt, machine, .. } = proof;
            let pending = PendingProof { machine, reason, epoch, received_at: now, proven_at: now };
            self.insert(AssignmentId { job, task, attempt }, pending);
        }
    }

    /// The proofs, in the order of jobs, tasks and attempts.
    pub fn iter(&self) -> impl Iterator<Item = (&AssignmentId, &PendingProof)> {
        self.by_assignment.iter()
    }

    /// Drops proofs that are no longer valid. A proof is valid only under the cluster map that it was
    /// made under, because a later owner may start an assignment that was absent, and only while the
    /// record has the assignment and this controller, `me`, schedules the job.
    pub fn retain_valid(&mut self, replica: &Replica, me: &str, epoch: u64, now: Instant) {
        self.by_assignment.retain(|assignment, proof| {
            let age = now.saturating_duration_since(proof.received_at);
            proof.epoch == epoch && age < MAX_PROOF_AGE && is_assigned(replica, me, assignment, proof)
        });
    }
}

/// Whether the assignment is still in its job's record, and `me` schedules the job.
fn is_assigned(replica: &Replica, me: &str, id: &AssignmentId, proof: &PendingProof) -> bool {
    let Some(job) = replica.jobs.get(&id.job).map(|job| &job.value) else { return false };
    if replica.scheduler_of(job) != Some(me) {
        return false;
    }
    let Ok(index) = job.assignments.binary_search_by_key(&id.task, |a| a.task) else { return false };
    let assignment = &job.assignments[index];
    assignment.attempt == id.attempt && *assignment.machine == *proof.machine
}
