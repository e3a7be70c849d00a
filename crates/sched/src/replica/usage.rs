//! Accounting of the resources that assignments use, per team and per machine.

use wire::JobSpec;

use super::{Replica, Resources};
use crate::records::{Assignment, JobRecord, Name};

/// The job whose assignments are accounted for.
struct AccountedJob<'a> {
    id: Name,
    spec: &'a JobSpec,
    task_size: Resources,
    /// Whether the job's phase has changed, which determines whether its tasks should run.
    phase_changed: bool,
}

impl Replica {
    /// Accounts for a change to a job's record. Only the differences are processed, because an array
    /// may have more than a thousand assignments of which only a few end at a time.
    pub(super) fn account(&mut self, id: &str, old: Option<&JobRecord>, new: Option<&JobRecord>) {
        let Some(spec) = new.and_then(|j| j.spec.as_deref()).or(old.and_then(|j| j.spec.as_deref())) else {
            return;
        };
        let phase_changed = old.map(|j| j.phase) != new.map(|j| j.phase);
        let job = AccountedJob { id: id.into(), spec, task_size: Resources::of_task(spec), phase_changed };
        let before = old.map_or(&[][..], |j| &j.assignments);
        let after = new.map_or(&[][..], |j| &j.assignments);
        self.account_assignments(&job, before, after);
        if before.len() != after.len() {
            let usage = self.team_usage.entry(spec.team.clone()).or_default();
            *usage = usage.plus_scaled(job.task_size, after.len() as f64 - before.len() as f64);
        }
    }

    /// Compares both lists, which are sorted by task, in one pass.
    fn account_assignments(&mut self, job: &AccountedJob, before: &[Assignment], after: &[Assignment]) {
        let (mut i, mut k) = (0, 0);
        while i < before.len() || k < after.len() {
            match (before.get(i), after.get(k)) {
                (Some(old), Some(new)) if old.task == new.task => {
                    if old.machine != new.machine || old.attempt != new.attempt {
                        self.release(job, old);
                        self.occupy(job, new);
                    } else if old.desired != new.desired || job.phase_changed {
                        self.changed_machines.insert(new.machine.clone());
                    }
                    (i, k) = (i + 1, k + 1);
                }
                (Some(old), new) if new.is_none_or(|new| old.task < new.task) => {
                    self.release(job, old);
                    i += 1;
                }
                (_, Some(new)) => {
                    self.occupy(job, new);
                    k += 1;
                }
                (_, None) => break,
            }
        }
    }

    fn occupy(&mut self, job: &AccountedJob, assignment: &Assignment) {
        let machine = &assignment.machine;
        let usage = self.machine_usage.entry(machine.clone()).or_default();
        *usage = usage.plus_scaled(job.task_size, 1.0);
        let jobs = self.jobs_by_machine.entry(machine.clone()).or_default();
        let tasks = jobs.entry(job.id.clone()).or_default();
        let is_first = tasks.is_empty();
        tasks.push(assignment.task);
        if is_first {
            if !self.machines.contains_key(machine) {
                self.machines_without_record.insert(machine.clone());
            }
            self.record_image_use(machine, job.spec);
        }
        self.mark_usage_changed(machine);
    }

    fn release(&mut self, job: &AccountedJob, assignment: &Assignment) {
        let machine = &assignment.machine;
        if let Some(usage) = self.machine_usage.get_mut(machine) {
            *usage = usage.plus_scaled(job.task_size, -1.0);
        }
        if let Some(jobs) = self.jobs_by_machine.get_mut(machine) {
            if let Some(tasks) = jobs.get_mut(&job.id) {
                tasks.retain(|task| *task != assignment.task);
                if tasks.is_empty() {
                    jobs.remove(&job.id);
                }
            }
            if jobs.is_empty() {
                self.jobs_by_machine.remove(machine);
                self.machines_without_record.remove(machine);
                self.machine_usage.remove(machine);
            }
        }
        self.mark_usage_changed(machine);
    }

    fn mark_usage_changed(&mut self, machine: &Name) {
        self.machines_with_changed_usage.insert(machine.clone());
        self.changed_machines.insert(machine.clone());
    }

    /// Records that a machine uses the image of a job, and so has it in its cache.
    fn record_image_use(&mut self, machine: &Name, spec: &JobSpec) {
        let Some(record) = self.machines.get(machine) else { return };
        let cache_gb = self.machine_types.get(&*record.value.machine_type).map_or(0.0, |t| t.cache_gb);
        self.image_caches.record_use(machine, &spec.image, spec.image_gb, cache_gb);
    }
}
