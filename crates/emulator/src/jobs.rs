use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::{JobKind, JobSpec};

use crate::gang::{Gang, GangRules};

/// What users have uploaded, and what has become of it: descriptions, true run times,
/// progress that was saved outside the machines, and results.
pub struct Jobs {
    all: HashMap<String, Job>,
    /// By job and attempt.
    gangs: BTreeMap<(String, u64), Gang>,
    rules: GangRules,
    rng: StdRng,
}

#[derive(Debug, Clone)]
pub struct Job {
    pub spec: Arc<JobSpec>,
    /// What it truly takes, in seconds at speed 1.
    pub run_s: f64,
    /// Submitted with a mistake: it fails on every machine.
    pub broken: bool,
    saved: HashMap<u32, f64>,
    done: HashSet<u32>,
}

/// The owners' estimates are often wrong by half.
const TRUTH: std::ops::Range<f64> = 0.6..1.5;

impl Jobs {
    pub fn new(rules: GangRules, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        Self { all: HashMap::new(), gangs: BTreeMap::new(), rules, rng }
    }

    /// A user uploads a job's description; the first one counts.
    pub fn upload(&mut self, spec: JobSpec, broken: bool) {
        let run_s = spec.estimate_s * self.rng.random_range(TRUTH);
        let (saved, done) = (HashMap::new(), HashSet::new());
        let id = spec.id.clone();
        self.all.entry(id).or_insert(Job { spec: Arc::new(spec), run_s, broken, saved, done });
    }

    pub fn get(&self, job: &str) -> Option<&Job> {
        self.all.get(job)
    }

    pub fn is_done(&self, job: &str, task: u32) -> bool {
        self.get(job).is_some_and(|j| j.done.contains(&task))
    }

    pub fn set_done(&mut self, job: &str, task: u32) {
        if let Some(j) = self.all.get_mut(job) {
            j.done.insert(task);
        }
    }

    pub fn saved(&self, job: &str, task: u32) -> f64 {
        self.get(job).and_then(|j| j.saved.get(&task)).copied().unwrap_or(0.0)
    }

    pub fn save(&mut self, job: &str, task: u32, progress: f64) {
        if let Some(j) = self.all.get_mut(job) {
            let saved = j.saved.entry(task).or_insert(0.0);
            *saved = saved.max(progress);
        }
    }

    /// What a gang's tasks share; its progress is kept as that of task 0.
    pub fn gang(&mut self, job: &str, attempt: u64, now: Instant) -> Option<&mut Gang> {
        let j = self.all.get(job)?;
        if j.spec.kind != JobKind::Gang {
            return None;
        }
        let saved = j.saved.get(&0).copied().unwrap_or(0.0);
        let save = Duration::from_secs_f64(j.spec.save_s);
        let (size, knot) = (j.spec.tasks as usize, j.spec.checkpoint_s);
        let new = || Gang::new(self.rules, size, j.run_s, knot, save, saved, now);
        let gang = self.gangs.entry((job.to_owned(), attempt)).or_insert_with(new);
        // An earlier attempt may have saved since.
        gang.saved = gang.saved.max(saved);
        Some(gang)
    }

    /// Lets time pass for all gangs, and keeps what they have saved and done.
    pub fn poll(&mut self, now: Instant) {
        let mut kept = Vec::new();
        self.gangs.retain(|(job, _), gang| {
            gang.poll(now);
            kept.push((job.clone(), gang.saved, gang.done));
            !gang.is_empty()
        });
        for (job, saved, done) in kept {
            self.save(&job, 0, saved);
            if done && let Some(j) = self.all.get_mut(&job) {
                j.done.extend(0..j.spec.tasks);
            }
        }
    }

    /// How long the others take to notice that a task of a gang is gone.
    pub fn notice(&mut self) -> Duration {
        self.rules.peer.mul_f64(self.rng.random_range(0.1..1.0))
    }
}
