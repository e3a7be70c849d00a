//! The tasks on a machine, from their start to their end.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::StdRng;
use wire::{ExitReason, JobKind, JobSpec, MachineType, TaskState, TaskStatus};

use crate::gang::Part;
use crate::history::TaskEventKind;
use crate::images::Images;
use crate::jobs::Jobs;

struct Task {
    /// None: unknown to everybody.
    spec: Option<Arc<JobSpec>>,
    job: String,
    number: u32,
    state: TaskState,
    cause: Option<ExitReason>,
    saved: Option<bool>,
    /// In seconds of work.
    progress: f64,
    /// When it has saved, while it is saving.
    until: Option<Instant>,
    /// When it fails.
    fails: Option<Instant>,
}

impl Task {
    fn end(&mut self, cause: ExitReason, saved: Option<bool>) {
        (self.state, self.cause, self.saved, self.until) = (TaskState::Exited, Some(cause), saved, None);
    }

    fn is_gang(&self) -> bool {
        self.spec.as_ref().is_some_and(|s| s.kind == JobKind::Gang)
    }

    /// Whether the gang knows of it.
    fn joined(&self) -> bool {
        self.is_gang() && !matches!(self.state, TaskState::Fetching | TaskState::Exited)
    }
}

pub struct Tasks {
    all: BTreeMap<(String, u64), Task>,
    images: Images,
    speed: f64,
    cpus: f64,
    gpus: f64,
    memory_gb: f64,
    /// What happened since the last `take_events`: task, attempt, and what.
    events: Vec<(String, u64, TaskEventKind)>,
}

/// Amounts are sums of decimal numbers.
const SLACK: f64 = 1e-6;

impl Tasks {
    pub fn new(machine: &MachineType, images: Images, speed: f64) -> Self {
        let (cpus, gpus, memory_gb) = (machine.cpus, machine.gpus, machine.memory_gb);
        Self { all: BTreeMap::new(), images, speed, cpus, gpus, memory_gb, events: Vec::new() }
    }

    pub fn reports(&self) -> Vec<TaskStatus> {
        let report = |((task, attempt), t): (&(String, u64), &Task)| TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            state: t.state,
            cause: t.cause,
            checkpointed: t.saved,
        };
        self.all.iter().map(report).collect()
    }

    /// What happened since the last call.
    pub fn take_events(&mut self) -> Vec<(String, u64, TaskEventKind)> {
        std::mem::take(&mut self.events)
    }

    /// Notes what a task's new state means.
    fn note(&mut self, key: &(String, u64), before: TaskState) {
        let now = self.all.get(key).map_or(TaskState::Exited, |t| t.state);
        let kind = match (before, now) {
            (before, now) if before == now => return,
            (_, TaskState::Running) => TaskEventKind::Running,
            (_, TaskState::Exited) => TaskEventKind::Ended,
            _ => return,
        };
        self.events.push((key.0.clone(), key.1, kind));
    }

    fn fits(&self, spec: &JobSpec) -> bool {
        let on = self.all.values().filter(|t| t.state != TaskState::Exited);
        let (mut cpus, mut gpus, mut memory_gb) = (spec.cpus, spec.gpus, spec.memory_gb);
        for other in on.filter_map(|t| t.spec.as_ref()) {
            cpus += other.cpus;
            gpus += other.gpus;
            memory_gb += other.memory_gb;
        }
        cpus <= self.cpus + SLACK && gpus <= self.gpus + SLACK && memory_gb <= self.memory_gb + SLACK
    }

    pub fn start(&mut self, task: &str, attempt: u64, jobs: &Jobs) {
        let key = (task.to_owned(), attempt);
        if self.all.contains_key(&key) {
            return;
        }
        let parts = task.split_once('/').and_then(|(job, n)| Some((job, n.parse::<u32>().ok()?)));
        let known = parts.and_then(|(job, n)| {
            let spec = &jobs.get(job)?.spec;
            (n < spec.tasks).then(|| spec.clone())
        });
        let (job, number) = parts.map_or((String::new(), 0), |(job, n)| (job.to_owned(), n));
        let in_use = self.all.iter().any(|((t, _), o)| t == task && o.state != TaskState::Exited);
        let refused = match &known {
            None => Some(ExitReason::UnknownJob),
            Some(_) if in_use => Some(ExitReason::TaskInUse),
            Some(spec) if !self.fits(spec) => Some(ExitReason::NoCapacity),
            Some(_) => None,
        };
        let mut new = Task {
            spec: known,
            job,
            number,
            state: TaskState::Fetching,
            cause: None,
            saved: None,
            progress: 0.0,
            until: None,
            fails: None,
        };
        if let Some(cause) = refused {
            new.end(cause, None);
        }
        self.all.insert(key, new);
    }

    pub fn stop(&mut self, task: &str, attempt: u64, grace: Duration, jobs: &mut Jobs, now: Instant) {
        let key = (task.to_owned(), attempt);
        let Some(before) = self.all.get(&key).map(|t| t.state) else { return };
        if before == TaskState::Running {
            self.events.push((key.0.clone(), attempt, TaskEventKind::StopCommanded));
        }
        self.stop_one(&key, grace, jobs, now);
        self.note(&key, before);
    }

    fn stop_one(&mut self, key: &(String, u64), grace: Duration, jobs: &mut Jobs, now: Instant) {
        let attempt = key.1;
        let Some(t) = self.all.get_mut(key) else { return };
        let Some(spec) = t.spec.clone().filter(|_| t.state != TaskState::Exited) else { return };
        if t.joined() {
            let notice = jobs.notice();
            let number = t.number;
            let stays = jobs.gang(&t.job, attempt, now).is_some_and(|g| g.stop(number, grace, notice, now));
            if stays {
                t.state = TaskState::Saving
            } else {
                t.end(ExitReason::Stopped, None)
            }
            return;
        }
        let save = Duration::from_secs_f64(spec.checkpoint_save_s);
        match t.state {
            TaskState::Running if spec.checkpoint_interval_s > 0.0 && grace >= save => {
                t.state = TaskState::Saving;
                t.until = Some(now + save);
            }
            TaskState::Saving if !grace.is_zero() => {}
            _ => t.end(ExitReason::Stopped, None),
        }
    }

    pub fn forget(&mut self, task: &str, attempt: u64) {
        let key = (task.to_owned(), attempt);
        if self.all.get(&key).is_some_and(|t| t.state == TaskState::Exited) {
            self.all.remove(&key);
        }
    }

    pub fn kill_all(&mut self, jobs: &mut Jobs, now: Instant) {
        for ((task, attempt), t) in std::mem::take(&mut self.all) {
            if t.state != TaskState::Exited {
                self.events.push((task, attempt, TaskEventKind::Ended));
            }
            if t.joined() {
                let notice = jobs.notice();
                if let Some(gang) = jobs.gang(&t.job, attempt, now) {
                    gang.gone(t.number, notice, now);
                }
            }
        }
    }

    /// The machine hangs, or goes on (None).
    pub fn hang(&mut self, notice: Option<Duration>, jobs: &mut Jobs, now: Instant) {
        for ((_, attempt), t) in self.all.iter().filter(|(_, t)| t.joined()) {
            if let Some(gang) = jobs.gang(&t.job, *attempt, now) {
                gang.hang(t.number, notice, now);
            }
        }
        if notice.is_none() {
            // Saving stood still as well.
            for t in self.all.values_mut().filter(|t| t.until.is_some()) {
                let save = t.spec.as_ref().map_or(0.0, |s| s.checkpoint_save_s);
                t.until = Some(now + Duration::from_secs_f64(save));
            }
        }
    }

    pub fn poll(&mut self, faulty: bool, jobs: &mut Jobs, dt: Duration, now: Instant, rng: &mut StdRng) {
        self.fetch(dt, now);
        let before: Vec<((String, u64), TaskState)> =
            self.all.iter().map(|(key, t)| (key.clone(), t.state)).collect();
        self.poll_all(faulty, jobs, dt, now, rng);
        for (key, state) in before {
            self.note(&key, state);
        }
    }

    fn poll_all(&mut self, faulty: bool, jobs: &mut Jobs, dt: Duration, now: Instant, rng: &mut StdRng) {
        for ((_, attempt), t) in &mut self.all {
            let Some(spec) = t.spec.clone() else { continue };
            if t.state == TaskState::Fetching && self.images.has(&spec.image) {
                begin(t, *attempt, self.speed, jobs, now);
                if t.state != TaskState::Exited && (faulty || jobs.get(&t.job).is_some_and(|j| j.broken)) {
                    t.fails = Some(now + Duration::from_secs_f64(rng.random_range(0.2..2.0)));
                }
            } else if t.joined() {
                follow(t, *attempt, jobs, now);
            } else {
                go_on(t, &spec, self.speed, dt, jobs, now);
            }
            if t.state != TaskState::Exited && t.fails.is_some_and(|at| at <= now) {
                if t.joined() {
                    let notice = jobs.notice();
                    if let Some(gang) = jobs.gang(&t.job, *attempt, now) {
                        gang.gone(t.number, notice, now);
                    }
                }
                t.end(ExitReason::Error, None);
            }
        }
    }

    fn fetch(&mut self, dt: Duration, now: Instant) {
        let (mut wanted, mut in_use) = (BTreeMap::new(), Vec::new());
        for t in self.all.values() {
            let Some(spec) = &t.spec else { continue };
            match t.state {
                TaskState::Fetching => {
                    wanted.insert(spec.image.as_str(), spec.image_gb);
                }
                TaskState::Exited => {}
                _ => in_use.push(spec.image.as_str()),
            }
        }
        self.images.poll(&wanted, &in_use, dt, now);
    }
}

/// The task has its image.
fn begin(t: &mut Task, attempt: u64, speed: f64, jobs: &mut Jobs, now: Instant) {
    if jobs.is_done(&t.job, t.number) {
        return t.end(ExitReason::Done, None);
    }
    if let Some(gang) = jobs.gang(&t.job, attempt, now) {
        gang.join(t.number, speed, now);
        t.state = TaskState::Waiting;
        return;
    }
    t.state = TaskState::Running;
    t.progress = jobs.saved(&t.job, t.number);
}

/// A gang's task is as its gang says.
fn follow(t: &mut Task, attempt: u64, jobs: &mut Jobs, now: Instant) {
    let Some(gang) = jobs.gang(&t.job, attempt, now) else { return };
    gang.poll(now);
    match gang.part(t.number) {
        Some(Part::Gathering) => t.state = TaskState::Waiting,
        Some(Part::Running) => t.state = TaskState::Running,
        Some(Part::Saving) => t.state = TaskState::Saving,
        Some(Part::Ended(cause, saved)) => {
            gang.leave(t.number);
            t.end(cause, saved);
        }
        None => t.end(ExitReason::PeersGone, None),
    }
}

fn go_on(t: &mut Task, spec: &JobSpec, speed: f64, dt: Duration, jobs: &mut Jobs, now: Instant) {
    match t.state {
        TaskState::Running => {
            t.progress += dt.as_secs_f64() * speed;
            if spec.checkpoint_interval_s > 0.0 {
                let kept = (t.progress / spec.checkpoint_interval_s).floor() * spec.checkpoint_interval_s;
                jobs.save(&t.job, t.number, kept);
            }
            let run_s = jobs.get(&t.job).map_or(f64::INFINITY, |j| j.run_s);
            if spec.kind == JobKind::Array && t.progress >= run_s {
                jobs.set_done(&t.job, t.number);
                t.end(ExitReason::Done, None);
            }
        }
        TaskState::Saving if t.until.is_some_and(|at| at <= now) => {
            jobs.save(&t.job, t.number, t.progress);
            t.end(ExitReason::Stopped, Some(true));
        }
        _ => {}
    }
}
