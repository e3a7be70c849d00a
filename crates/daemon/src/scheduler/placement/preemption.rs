//! Preemption: stops tasks to free capacity or quota for a job.

use std::time::{Duration, Instant};

use sched::placement::{Slot, pending_task_count, stranded_gpu_tasks};
use sched::preempt::{self, RunningTasks, Victim};
use sched::records::{JobRecord, Name};
use sched::replica::Replica;
use wire::{JobKind, JobSpec};

use super::pass::{Candidate, PlacementPass};
use crate::scheduler::cycle::record_for_update;
use crate::scheduler::events::SchedulingEvent;
use crate::state::Reservation;

/// Maximum number of tasks of an array or service that capacity is freed for at a time.
const MAX_TASKS_PER_PREEMPTION: u32 = 4;
/// Minimum time between two searches for victims for the same gang; for other jobs a third of it.
pub(super) const VICTIM_SEARCH_INTERVAL: Duration = Duration::from_millis(900);
/// Maximum number of searches for victims in one cycle. Each goes through all running tasks: with
/// hundreds of pending jobs, a search for each would use up the whole processor.
const MAX_VICTIM_SEARCHES: u32 = 16;
/// Maximum time that capacity stays reserved while victims save their checkpoints, in seconds.
const MAX_CHECKPOINT_SAVE_S: f64 = 600.0;
/// How long capacity stays reserved beyond the time that its victims need to save checkpoints.
const RESERVATION_PERIOD: Duration = Duration::from_millis(1800);
/// How long an array in a pipeline waits for capacity to become free before it preempts, if its
/// deadline permits, in milliseconds. Where hundreds of tasks run, some end every second, and
/// preempted work has to be repeated.
pub(super) const MAX_PREEMPTION_DELAY_MS: u64 = 3000;
/// Minimum time left until the latest start of a job that delays preemption, in milliseconds.
const MIN_TIME_TO_LATEST_START_MS: u64 = 15_000;

/// Capacity that is freed by preempting tasks.
struct FreedCapacity {
    /// The machines, one entry for each task to be placed; empty if only quota is freed.
    machines: Vec<Name>,
    victims: Vec<Victim>,
}

impl PlacementPass<'_, '_> {
    /// Whether preempting arrays would free capacity for a service without taking any from GPU
    /// jobs. `false` without a search once the cycle has made the maximum number of searches.
    pub(super) fn could_preempt_arrays(&mut self, candidate: &Candidate) -> bool {
        if self.cycle.victim_searches >= MAX_VICTIM_SEARCHES {
            return false;
        }
        self.cycle.victim_searches += 1;
        self.find_victims_on_machine(candidate, &[], false).is_some()
    }

    /// Preempts tasks so that the job, or at least its first tasks, will fit.
    pub(super) fn preempt_for(
        &mut self,
        candidate: &Candidate,
        job: &JobRecord,
        may_displace_gpu_jobs: bool,
    ) {
        let Candidate { id, spec, .. } = *candidate;
        if self.scheduling.reservations.contains_key(id) || !self.may_search_victims(candidate, job) {
            return;
        }
        self.scheduling.last_victim_search.insert(id.to_owned(), self.context.now);
        // A gang needs capacity for all its tasks; other jobs start tasks as capacity is freed.
        let tasks = if spec.kind == JobKind::Gang {
            spec.tasks
        } else {
            pending_task_count(job).min(MAX_TASKS_PER_PREEMPTION)
        };
        let Some(freed) = self.find_victims(candidate, tasks, may_displace_gpu_jobs) else { return };
        let until = self.context.now + RESERVATION_PERIOD + wire::seconds(self.checkpoint_save_s(&freed));
        let FreedCapacity { machines, victims } = freed;
        self.scheduling.reservations.insert(id.to_owned(), Reservation { machines, until });
        for victim in victims {
            let Some(record) = record_for_update(self.cycle, self.replica, &victim.job) else { continue };
            preempt::mark_to_stop(record, &victim);
            self.cycle.events.push(SchedulingEvent::Preempted { by: id.to_owned(), victim });
        }
    }

    /// The longest time that a victim may take to save its checkpoint, in seconds; 0 if only quota
    /// is freed, since no machine has to be waited for.
    fn checkpoint_save_s(&self, freed: &FreedCapacity) -> f64 {
        if freed.machines.is_empty() {
            return 0.0;
        }
        let save_s = |victim: &Victim| {
            let spec = self.replica.jobs.get(&victim.job).and_then(|job| job.value.spec.as_ref());
            spec.map_or(0.0, |spec| spec.checkpoint_save_s)
        };
        freed.victims.iter().map(save_s).fold(0.0, f64::max).min(MAX_CHECKPOINT_SAVE_S)
    }

    /// Whether to search for victims. A search through all running tasks is expensive, and one that
    /// is repeated soon after a search without a result finds nothing either.
    fn may_search_victims(&self, candidate: &Candidate, job: &JobRecord) -> bool {
        let (now, now_ms) = (self.context.now, self.context.now_ms);
        let is_gang = candidate.spec.kind == JobKind::Gang;
        let interval = if is_gang { VICTIM_SEARCH_INTERVAL } else { VICTIM_SEARCH_INTERVAL / 3 };
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < interval;
        job.retry_at_ms() <= now_ms
            && (!is_gang || job.assignments.is_empty())
            && !waits_instead_of_preempting(job, now_ms)
            && self.cycle.victim_searches < MAX_VICTIM_SEARCHES
            && !self.scheduling.last_victim_search.get(candidate.id).is_some_and(is_recent)
    }

    /// Finds victims to make room for this many tasks: among the tasks of the same team if its
    /// quota is used up, else on any machine where the tasks fit. Reserves the freed capacity in
    /// the inventory.
    fn find_victims(
        &mut self,
        candidate: &Candidate,
        tasks: u32,
        may_displace_gpu_jobs: bool,
    ) -> Option<FreedCapacity> {
        let Candidate { spec, team, priority, size, .. } = *candidate;
        let replica = self.replica;
        let in_use = replica.team_usage.get(&spec.team).copied().unwrap_or_default();
        let remaining_quota = team.limit().plus_scaled(in_use.counted_in_quota(), -1.0);
        if size.count_fitting_in(remaining_quota) < tasks {
            // Quota is of no use to a job that there are no machines for.
            if self.scheduling.shortfalls.is_unattainable(&spec.id) {
                return None;
            }
            let preemptor = (spec, priority);
            let victims = preempt::find_victims_within_team(replica, self.inventory, preemptor, tasks, team)?;
            return Some(FreedCapacity { machines: Vec::new(), victims });
        }
        let mut freed = FreedCapacity { machines: Vec::new(), victims: Vec::new() };
        for _ in 0..tasks {
            self.cycle.victim_searches += 1;
            let found = self.find_victims_on_machine(candidate, &freed.victims, may_displace_gpu_jobs);
            let Some((machine, victims)) = found else { break };
            self.inventory.reserve(std::slice::from_ref(&machine), size, 1.0);
            freed.machines.push(machine);
            freed.victims.extend(victims);
        }
        let is_partial_gang = spec.kind == JobKind::Gang && freed.machines.len() < tasks as usize;
        if freed.victims.is_empty() || is_partial_gang {
            self.inventory.reserve(&freed.machines, size, -1.0);
            return None;
        }
        Some(freed)
    }

    /// Finds a machine and the victims on it that make room for one task, in addition to the
    /// victims that are already chosen.
    fn find_victims_on_machine(
        &mut self,
        candidate: &Candidate,
        chosen: &[Victim],
        may_displace_gpu_jobs: bool,
    ) -> Option<(Name, Vec<Victim>)> {
        let Candidate { spec, priority, .. } = *candidate;
        let replica: &Replica = self.replica;
        let strands_no_gpus =
            |slot: &Slot| may_displace_gpu_jobs || stranded_gpu_tasks(replica, spec, slot) == 0;
        preempt::find_victims(
            self.running.get_or_insert_with(|| RunningTasks::new(replica, self.inventory)),
            self.inventory,
            (spec, priority),
            self.scheduling.guaranteed.ids(),
            chosen,
            !may_displace_gpu_jobs,
            strands_no_gpus,
        )
    }
}

/// Whether an array waits for capacity to become free instead of preempting tasks.
pub(super) fn waits_instead_of_preempting(job: &JobRecord, now_ms: u64) -> bool {
    // A job that has not inherited its priority does not wait: its user wants the result of this
    // very job.
    let inherits_priority =
        |spec: &JobSpec| spec.kind == JobKind::Array && job.priority() > Some(spec.priority);
    job.spec.as_deref().is_some_and(inherits_priority)
        && job.has_pipeline_deadline()
        && now_ms.saturating_sub(job.submitted_ms) < MAX_PREEMPTION_DELAY_MS
        && job.latest_start_ms().is_some_and(|latest_ms| latest_ms > now_ms + MIN_TIME_TO_LATEST_START_MS)
}
