//! Preemption: tasks that are stopped to free capacity or quota for a job.

use std::time::{Duration, Instant};

use sched::placement::{Slot, pending_task_count, retry_at_ms, stranded_gpu_tasks};
use sched::preempt::{self, RunningTasks, Victim};
use sched::records::{JobRecord, Name};
use sched::replica::Replica;
use wire::{JobKind, JobSpec};

use super::pass::{Candidate, PlacementPass};
use crate::scheduler::cycle::record_for_update;
use crate::scheduler::events::SchedulingEvent;
use crate::state::Reservation;

/// Most tasks of an array or service that capacity is freed for at a time.
const MAX_TASKS_PER_PREEMPTION: u32 = 4;
/// Least time between two searches for victims for a gang; for other jobs a third of it.
pub(super) const VICTIM_SEARCH_INTERVAL: Duration = Duration::from_millis(900);
/// Most searches for victims among all running tasks in one cycle: when hundreds of jobs wait,
/// a search for each would take up the whole processor.
const MAX_VICTIM_SEARCHES: u32 = 16;
/// Longest time that capacity is reserved for victims to save their checkpoints, in seconds.
const MAX_CHECKPOINT_SAVE_S: f64 = 600.0;
/// How long capacity is reserved beyond the time that its victims need to save.
const RESERVATION_PERIOD: Duration = Duration::from_millis(1800);
/// How long the tasks of a pipeline's arrays wait for capacity that comes free by itself, if
/// there is time, in milliseconds: where hundreds run, some end every second, and what is
/// preempted has to be done again.
pub(super) const MAX_PATIENCE_MS: u64 = 3000;
/// Least time to the latest start of a job that waits so, in milliseconds.
const MIN_SLACK_MS: u64 = 15_000;

/// Capacity that is freed by preempting tasks.
struct FreedCapacity {
    /// The machines, each as often as it is to hold a task; none if only quota is freed.
    machines: Vec<Name>,
    victims: Vec<Victim>,
}

impl PlacementPass<'_, '_> {
    /// Whether a service would find capacity by preempting arrays where GPU jobs lose none. Not
    /// looked for any more after many searches in one cycle.
    pub(super) fn arrays_could_make_way(&mut self, candidate: &Candidate) -> bool {
        if self.cycle.victim_searches >= MAX_VICTIM_SEARCHES {
            return false;
        }
        self.cycle.victim_searches += 1;
        self.find_victims_on_machine(candidate, &[], false).is_some()
    }

    /// Preempts tasks so that the job, or the first tasks of it, will fit.
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
        // A gang needs capacity for all its tasks; others start as it is freed.
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

    /// How long the victims may take to save their checkpoints, in seconds. Where only quota is
    /// freed, no machine is waited for.
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

    /// Whether victims may be looked for. A search among all running tasks is expensive, and one
    /// that has found nothing just now finds nothing yet.
    fn may_search_victims(&self, candidate: &Candidate, job: &JobRecord) -> bool {
        let (now, now_ms) = (self.context.now, self.context.now_ms);
        let is_gang = candidate.spec.kind == JobKind::Gang;
        let interval = if is_gang { VICTIM_SEARCH_INTERVAL } else { VICTIM_SEARCH_INTERVAL / 3 };
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < interval;
        retry_at_ms(job) <= now_ms
            && (!is_gang || job.assignments.is_empty())
            && !is_patient(job, now_ms)
            && self.cycle.victim_searches < MAX_VICTIM_SEARCHES
            && !self.scheduling.last_victim_search.get(candidate.id).is_some_and(is_recent)
    }

    /// What to preempt for so many tasks: of the job's own team if its quota is used up, else
    /// wherever the tasks fit. The capacity is reserved on the inventory.
    fn find_victims(
        &mut self,
        candidate: &Candidate,
        tasks: u32,
        may_displace_gpu_jobs: bool,
    ) -> Option<FreedCapacity> {
        let Candidate { spec, team, priority, size, .. } = *candidate;
        let replica = self.replica;
        let in_use = replica.team_usage.get(&spec.team).copied().unwrap_or_default();
        let quota = team.limit().plus_scaled(in_use.without_memory(), -1.0);
        if size.count_fitting_in(quota) < tasks {
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

    /// A machine with victims in whose place one task fits, beside those that are chosen already.
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

/// Whether an array's job waits for capacity that comes free by itself.
pub(super) fn is_patient(job: &JobRecord, now_ms: u64) -> bool {
    // A job whose priority is its own does not wait: it is what its user cares about.
    let inherits_priority =
        |spec: &JobSpec| spec.kind == JobKind::Array && job.priority() > Some(spec.priority);
    job.spec.as_deref().is_some_and(inherits_priority)
        && job.has_pipeline_deadline()
        && now_ms.saturating_sub(job.submitted_ms) < MAX_PATIENCE_MS
        && job.latest_start_ms().is_some_and(|latest_ms| latest_ms > now_ms + MIN_SLACK_MS)
}
