use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use wire::{JobKind, JobSpec};

use crate::gang::{Gang, GangRules};

/// The jobs that users have uploaded: descriptions, actual run times, progress saved outside the
/// machines, and results.
pub struct Jobs {
    jobs: BTreeMap<String, Job>,
    /// Current gang attempts, by job and attempt.
    gangs: BTreeMap<(String, u64), Gang>,
    rules: GangRules,
    /// Changes since the last `take_changes`.
    changes: Vec<JobChange>,
    rng: StdRng,
}

#[derive(Debug, Clone)]
pub struct Job {
    pub spec: Arc<JobSpec>,
    /// The actual run time of a task, in seconds at speed 1.
    pub run_s: f64,
    /// The job is faulty: its tasks fail on every machine.
    pub broken: bool,
    /// Saved progress of each task, in seconds of work; for a gang that of task 0.
    saved: BTreeMap<u32, f64>,
    done: BTreeSet<u32>,
}

/// A change that is kept across restarts, as one value in the entries of the job file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum JobChange {
    Uploaded { spec: Arc<JobSpec>, run_s: f64, broken: bool },
    Saved { job: String, task: u32, progress: f64 },
    Done { job: String, task: u32 },
}

/// Ratio of actual to estimated run time: users' estimates are often wrong by half.
const RUNTIME_TO_ESTIMATE_RATIO: std::ops::Range<f64> = 0.6..1.5;

impl Jobs {
    pub fn new(rules: GangRules, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        Self { jobs: BTreeMap::new(), gangs: BTreeMap::new(), rules, changes: Vec::new(), rng }
    }

    /// Adds a job that a user uploaded. A later upload of the same id is ignored.
    pub fn upload(&mut self, spec: JobSpec, broken: bool) {
        let run_s = spec.estimated_runtime_s * self.rng.random_range(RUNTIME_TO_ESTIMATE_RATIO);
        if !self.jobs.contains_key(&spec.id) {
            self.apply(JobChange::Uploaded { spec: Arc::new(spec), run_s, broken });
        }
    }

    /// Applies a new change or one read from the file, and records it in `changes`.
    fn apply(&mut self, change: JobChange) {
        match change.clone() {
            JobChange::Uploaded { spec, run_s, broken } => {
                let (saved, done) = (BTreeMap::new(), BTreeSet::new());
                let id = spec.id.clone();
                self.jobs.insert(id, Job { spec, run_s, broken, saved, done });
            }
            JobChange::Saved { job, task, progress } => {
                if let Some(j) = self.jobs.get_mut(&job) {
                    j.saved.insert(task, progress);
                }
            }
            JobChange::Done { job, task } => {
                if let Some(j) = self.jobs.get_mut(&job) {
                    j.done.insert(task);
                }
            }
        }
        self.changes.push(change);
    }

    /// Applies the changes of an earlier run, oldest first.
    pub fn restore(&mut self, changes: impl IntoIterator<Item = JobChange>) {
        changes.into_iter().for_each(|c| self.apply(c));
        self.changes.clear();
    }

    /// Returns the changes since the last call, oldest first.
    pub fn take_changes(&mut self) -> Vec<JobChange> {
        std::mem::take(&mut self.changes)
    }

    /// The complete data as changes that restore it.
    pub fn snapshot(&self) -> Vec<JobChange> {
        let mut out = Vec::new();
        for (job, j) in &self.jobs {
            let (spec, run_s, broken) = (j.spec.clone(), j.run_s, j.broken);
            out.push(JobChange::Uploaded { spec, run_s, broken });
            let saved = j.saved.iter().map(|(task, p)| (*task, *p));
            out.extend(saved.map(|(task, progress)| JobChange::Saved { job: job.clone(), task, progress }));
            out.extend(j.done.iter().map(|task| JobChange::Done { job: job.clone(), task: *task }));
        }
        out
    }

    pub fn get(&self, job: &str) -> Option<&Job> {
        self.jobs.get(job)
    }

    pub fn is_done(&self, job: &str, task: u32) -> bool {
        self.get(job).is_some_and(|j| j.done.contains(&task))
    }

    pub fn set_done(&mut self, job: &str, task: u32) {
        if !self.is_done(job, task) {
            self.apply(JobChange::Done { job: job.to_owned(), task });
        }
    }

    pub fn saved_progress(&self, job: &str, task: u32) -> f64 {
        self.get(job).and_then(|j| j.saved.get(&task)).copied().unwrap_or(0.0)
    }

    /// Saves a task's progress outside its machine; saved progress never decreases.
    pub fn save_progress(&mut self, job: &str, task: u32, progress: f64) {
        if progress > self.saved_progress(job, task) {
            self.apply(JobChange::Saved { job: job.to_owned(), task, progress });
        }
    }

    /// The shared state of an attempt of a gang. The gang's progress is stored as that of task 0.
    pub fn gang(&mut self, job: &str, attempt: u64, now: Instant) -> Option<&mut Gang> {
        let j = self.jobs.get(job)?;
        if j.spec.kind != JobKind::Gang {
            return None;
        }
        let saved = j.saved.get(&0).copied().unwrap_or(0.0);
        let save_duration = Duration::from_secs_f64(j.spec.checkpoint_save_s);
        let (task_count, checkpoint_s) = (j.spec.tasks as usize, j.spec.checkpoint_interval_s);
        let new = || Gang::new(self.rules, task_count, j.run_s, checkpoint_s, save_duration, saved, now);
        let gang = self.gangs.entry((job.to_owned(), attempt)).or_insert_with(new);
        // An earlier attempt may have saved progress since this one was created.
        gang.saved = gang.saved.max(saved);
        Some(gang)
    }

    /// Advances all gangs to `now` and stores their saved progress and results.
    pub fn poll(&mut self, now: Instant) {
        let mut progress_by_gang = Vec::new();
        self.gangs.retain(|(job, _), gang| {
            gang.poll(now);
            progress_by_gang.push((job.clone(), gang.saved, gang.done));
            !gang.is_empty()
        });
        for (job, saved, done) in progress_by_gang {
            self.save_progress(&job, 0, saved);
            if done {
                let tasks = self.get(&job).map_or(0, |j| j.spec.tasks);
                (0..tasks).for_each(|task| self.set_done(&job, task));
            }
        }
    }

    /// Draws the time in which the other tasks of a gang detect that one is lost.
    pub fn loss_detection_delay(&mut self) -> Duration {
        self.rules.peer_timeout.mul_f64(self.rng.random_range(0.1..1.0))
    }
}
