//! One pass over the queue: the placement of each job.

use sched::hash::HashSet;
use sched::placement::{self, Inventory, Slot, pending_task_count};
use sched::preempt::RunningTasks;
use sched::records::{Assignment, JobRecord, Name};
use sched::replica::{Replica, Resources, Team};
use store::{KeyWrite, key};
use tracing::info;
use wire::{JobKind, JobSpec, Priority};

use super::gang_capacity::competes_with_any;
use super::gpu_machines::HeldCapacity;
use super::quota_claims::{QuotaClaim, claim_quota, release_quota};
use crate::controller::Controller;
use crate::scheduler::cycle::{CycleContext, SchedulingCycle};
use crate::scheduler::events::SchedulingEvent;
use crate::state::{Reservation, SchedulingState};

/// Maximum size of the record of a gang per task, in bytes.
const MAX_GANG_TASK_BYTES: f64 = 5.0;

/// A pass over the queue: its inputs and the state that it changes.
pub(super) struct PlacementPass<'a, 'r> {
    pub(super) controller: &'a Controller,
    pub(super) replica: &'r Replica,
    pub(super) inventory: &'a mut Inventory,
    pub(super) cycle: &'a mut SchedulingCycle,
    pub(super) context: CycleContext,
    /// Whether this controller is the leader, which places jobs on machines of all shards.
    pub(super) is_leader: bool,
    /// Team quota that services and gangs wait for.
    pub(super) quota_claims: Vec<QuotaClaim>,
    /// The gangs that have waited longest, for which capacity is collected.
    pub(super) longest_waiting: HashSet<&'r str>,
    /// State that is kept from one cycle to the next.
    pub(super) scheduling: &'a mut SchedulingState,
    /// All running tasks; collected by the first search for victims.
    pub(super) running: Option<RunningTasks<'r>>,
    /// The GPU jobs with pending tasks; collected for the first job that could take their capacity.
    pub(super) waiting_gpu_jobs: Option<Vec<&'r JobSpec>>,
    /// The machines that GPU jobs get once other work has ended there; found for the first job that could
    /// take their capacity.
    pub(super) machines_awaited_by_gpu_jobs: Option<Vec<Name>>,
    /// What is held on these machines now.
    pub(super) held_for_gpu_jobs: Vec<HeldCapacity>,
    /// Forecast service tasks, as a spec and a count, until capacity is reserved for them. Services
    /// have to start within seconds, so their capacity has to exist when they are submitted.
    pub(super) expected_services: Option<(JobSpec, u32)>,
}

/// A job that a pass tries to place.
pub(super) struct Candidate<'a> {
    pub(super) id: &'a str,
    pub(super) spec: &'a JobSpec,
    pub(super) team: &'a Team,
    pub(super) priority: Priority,
    /// The resources that one task takes.
    pub(super) size: Resources,
    /// Whether the job belongs to this controller's shard and so may only be placed on its
    /// machines.
    pub(super) is_in_shard: bool,
}

/// The outcome of a search for machines.
pub(super) struct PlacementAttempt {
    /// The new assignments; empty if there is no capacity.
    pub(super) assignments: Vec<Assignment>,
    /// Whether preemption may use capacity that GPU jobs use or could use.
    pub(super) may_displace_gpu_jobs: bool,
}

impl PlacementPass<'_, '_> {
    /// Places a job. If there is no capacity, preempts tasks or collects capacity for it, or hands
    /// it over to the leader.
    pub(super) fn place_job(&mut self, id: String) {
        let replica = self.replica;
        let Some(current) = self.cycle.jobs.get(&id).or_else(|| replica.jobs.get(&id).map(|job| &job.value))
        else {
            return;
        };
        let Some(spec) = current.spec.as_deref() else { return };
        let controller = self.controller;
        let Some(team) = controller.team(&spec.team) else { return };
        if !self.may_write(&id, spec) {
            return;
        }
        let mut job = current.clone();
        let spec = spec.clone();
        let candidate = Candidate {
            id: &id,
            spec: &spec,
            team,
            priority: job.priority().unwrap_or(spec.priority),
            size: Resources::of_task(&spec),
            is_in_shard: job.shard.as_deref() == Some(controller.identity.name.as_str()),
        };
        self.reserve_for_expected_services(&spec);
        let reservation = self.scheduling.reservations.get(&id);
        let reserved = reservation.map(|r| r.machines.clone()).unwrap_or_default();
        self.inventory.reserve(&reserved, candidate.size, -1.0);
        let attempt = self.find_machines(&candidate, &mut job, &reserved);
        if !attempt.assignments.is_empty() {
            self.accept(&candidate, job, attempt.assignments);
            return;
        }
        self.inventory.reserve(&reserved, candidate.size, 1.0);
        if !candidate.is_in_shard {
            self.preempt_for(&candidate, &job, attempt.may_displace_gpu_jobs);
            self.collect_capacity(&candidate);
        } else if job.retry_at_ms() <= self.context.now_ms {
            self.escalate(id, job);
        }
    }

    /// Whether the cycle's transaction has room for the job. A job that is written in this cycle
    /// anyway needs no further write.
    fn may_write(&self, id: &str, spec: &JobSpec) -> bool {
        let writes = usize::from(!self.cycle.jobs.contains_key(id))
            + usize::from(!self.cycle.teams.contains(&spec.team));
        self.cycle.write_count() + writes <= self.context.max_changes
    }

    /// Hands a job that its shard cannot place over to the leader.
    fn escalate(&mut self, id: String, mut job: Box<JobRecord>) {
        job.shard = None;
        self.cycle.events.push(SchedulingEvent::Escalated { job: id.clone() });
        self.cycle.jobs.insert(id, job);
    }

    /// Reserves capacity for expected services before the first job that is not a service.
    fn reserve_for_expected_services(&mut self, next: &JobSpec) {
        if next.kind == JobKind::Service {
            return;
        }
        let Some((service, tasks)) = self.expected_services.take() else { return };
        let machines =
            placement::simulate_placement(self.replica, self.inventory, &service, tasks, self.context.now_ms);
        self.inventory.reserve(&machines, Resources::of_task(&service), 1.0);
    }

    /// Finds machines for a job. `reserved`: the machines on which capacity was freed for it.
    fn find_machines(
        &mut self,
        candidate: &Candidate,
        job: &mut JobRecord,
        reserved: &[Name],
    ) -> PlacementAttempt {
        let limits = placement::Limits {
            max_tasks: self.controller.max_assignments_per_record().saturating_sub(job.assignments.len()),
            task_window: self.controller.task_window(),
            may_strand_gpus: false,
            gang_wait_s: self.controller.settings.facts.workers.gang_wait_s,
            now_ms: self.context.now_ms,
        };
        self.hold_for_gpu_jobs_against(candidate.spec, reserved);
        let assignments = self.place_within_claims(candidate, job, self.slot_filter(candidate), limits);
        let is_gpu_job = candidate.spec.gpus > 0.0;
        if !assignments.is_empty() || candidate.is_in_shard {
            return PlacementAttempt { assignments, may_displace_gpu_jobs: is_gpu_job };
        }
        let limits = placement::Limits { may_strand_gpus: true, ..limits };
        match candidate.spec.kind {
            JobKind::Service => self.place_service_anywhere(candidate, job, reserved, limits),
            _ if is_gpu_job => PlacementAttempt { assignments, may_displace_gpu_jobs: true },
            _ => self.place_beside_gpu_jobs(candidate, job, limits),
        }
    }

    /// Places a job on free capacity of the machines that satisfy `slot_filter`, without using quota
    /// that other jobs claim.
    pub(super) fn place_within_claims(
        &mut self,
        candidate: &Candidate,
        job: &mut JobRecord,
        slot_filter: impl Fn(&Slot) -> bool,
        limits: placement::Limits,
    ) -> Vec<Assignment> {
        let Candidate { spec, team, is_in_shard, .. } = *candidate;
        let claimed = self.quota_claimed_against(candidate, job);
        claim_quota(self.inventory, &spec.team, claimed);
        // Gangs that the leader collects capacity for come first.
        let gangs = self.longest_waiting.iter().copied();
        let assignments = if is_in_shard && competes_with_any(self.replica, spec, gangs) {
            Vec::new()
        } else {
            placement::place(self.replica, self.inventory, job, team, slot_filter, limits)
        };
        release_quota(self.inventory, &spec.team, claimed);
        assignments
    }

    /// Places a service that has not found free capacity beside that of GPU jobs. The order of
    /// preference is: capacity that was freed for it, capacity of array tasks (by preemption), free
    /// capacity that GPU jobs could use, and capacity of GPU jobs (by preemption).
    fn place_service_anywhere(
        &mut self,
        candidate: &Candidate,
        job: &mut JobRecord,
        reserved: &[Name],
        limits: placement::Limits,
    ) -> PlacementAttempt {
        let Candidate { spec, team, .. } = *candidate;
        let mut may_displace_gpu_jobs = spec.gpus > 0.0;
        let mut assignments = Vec::new();
        if !reserved.is_empty() {
            assignments =
                placement::place_on_machines(self.replica, self.inventory, job, team, reserved, limits);
        } else if !self.could_preempt_arrays(candidate) {
            let slot_filter = self.slot_filter(candidate);
            assignments = placement::place(self.replica, self.inventory, job, team, slot_filter, limits);
            may_displace_gpu_jobs = assignments.is_empty();
        }
        PlacementAttempt { assignments, may_displace_gpu_jobs }
    }

    /// The predicate for the machines that the job may be placed on.
    pub(super) fn slot_filter(&self, candidate: &Candidate) -> impl Fn(&Slot) -> bool + use<> {
        let all_shards = self.is_leader && !candidate.is_in_shard;
        let own_incarnation = self.controller.identity.incarnation;
        move |slot| all_shards || slot.owner == own_incarnation
    }

    /// The team quota that other jobs claim against this job; none unless it is an array.
    fn quota_claimed_against(&self, candidate: &Candidate, job: &JobRecord) -> Resources {
        if candidate.spec.kind != JobKind::Array {
            return Resources::default();
        }
        let is_pressing = placement::is_deadline_pressing(job, self.context.now_ms);
        let applies = |claim: &&QuotaClaim| {
            claim.team == candidate.spec.team
                && claim.priority >= candidate.priority
                && !(claim.is_gang && is_pressing)
        };
        let claims = self.quota_claims.iter().filter(applies);
        claims.fold(Resources::default(), |sum, claim| sum.plus_scaled(claim.amount, 1.0))
    }

    /// Records the new assignments of a job.
    fn accept(&mut self, candidate: &Candidate, job: Box<JobRecord>, assignments: Vec<Assignment>) {
        let Candidate { id, spec, size, .. } = *candidate;
        if spec.kind == JobKind::Gang && !may_be_stored(self.controller, id, &job) {
            info!(job = id, "gang record too large until all controllers are upgraded; backing off");
            self.scheduling.defer_writes(id.to_owned(), self.context.now);
            // The gang cannot use the capacity, so free it for other jobs.
            self.discard(spec, &assignments);
            return;
        }
        let (tasks, attempt) = (assignments.len(), job.attempt);
        self.cycle.events.push(SchedulingEvent::Placed { job: id.to_owned(), tasks, attempt });
        self.cycle.teams.insert(spec.team.clone());
        self.cycle.placed_jobs.insert(id.to_owned());
        // Keep the rest of the capacity that was freed for the job reserved. If other jobs took it,
        // it would have to be freed again and again (in one recorded case, a task was preempted
        // eight times).
        if let Some(Reservation { machines, until }) = self.scheduling.reservations.remove(id) {
            let machines = remaining_reservation(machines, &assignments, pending_task_count(&job));
            if !machines.is_empty() {
                self.inventory.reserve(&machines, size, 1.0);
                let rest = Reservation { machines, until };
                self.scheduling.reservations.insert(id.to_owned(), rest);
            }
        }
        self.cycle.jobs.insert(id.to_owned(), job);
    }

    /// Frees the capacity and quota of assignments that are discarded.
    fn discard(&mut self, spec: &JobSpec, assignments: &[Assignment]) {
        let size = Resources::of_task(spec);
        let machines: Vec<Name> = assignments.iter().map(|a| a.machine.clone()).collect();
        self.inventory.reserve(&machines, size, -1.0);
        if let Some(used) = self.inventory.team_usage.get_mut(&spec.team) {
            *used = used.plus_scaled(size, -(machines.len() as f64));
        }
    }

    /// Reserves free capacity for a gang that has waited long, until there is enough for all its
    /// tasks. If smaller jobs took all capacity that becomes free, the gang would never start. Nothing is
    /// collected for a gang that all machines together cannot hold.
    fn collect_capacity(&mut self, candidate: &Candidate) {
        let Candidate { id, spec, team, size, .. } = *candidate;
        if !self.longest_waiting.contains(id)
            || self.scheduling.reservations.contains_key(id)
            || self.scheduling.shortfalls.is_unattainable(id)
        {
            return;
        }
        let in_use = self.inventory.team_usage.get(&spec.team).copied().unwrap_or_default();
        let remaining_quota = team.limit().plus_scaled(in_use.counted_in_quota(), -1.0);
        if size.count_fitting_in(remaining_quota) < spec.tasks {
            return;
        }
        let (is_leader, own_incarnation) = (self.is_leader, self.controller.identity.incarnation);
        let machines = placement::collectable_capacity(self.inventory, spec, |slot| {
            is_leader || slot.owner == own_incarnation
        });
        self.inventory.reserve(&machines, size, 1.0);
    }
}

/// Whether a gang's record fits into a value, or may be stored in chunks.
fn may_be_stored(controller: &Controller, id: &str, job: &JobRecord) -> bool {
    let limits = controller.state_limits();
    // A record with fewer assignments certainly fits and does not have to be encoded.
    let max_assignments_that_always_fit = (limits.value_bytes / MAX_GANG_TASK_BYTES) as usize / 2;
    limits.chunked
        || job.assignments.len() < max_assignments_that_always_fit
        || KeyWrite::new(key::job(id), job).value_len() as f64 <= limits.value_bytes
}

/// The machines that stay reserved for a job after some of its tasks were placed.
pub(super) fn remaining_reservation(
    mut machines: Vec<Name>,
    placed: &[Assignment],
    pending: u32,
) -> Vec<Name> {
    for assignment in placed {
        if let Some(i) = machines.iter().position(|machine| *machine == assignment.machine) {
            machines.swap_remove(i);
        }
    }
    machines.truncate(pending as usize);
    machines
}
