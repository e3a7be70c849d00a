//! The tasks on a machine, from the start command until they are forgotten.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::StdRng;
use wire::{ExitReason, JobKind, JobSpec, MachineType, TaskState, TaskStatus};

use crate::gang::GangTaskState;
use crate::history::TaskEventKind;
use crate::image_cache::ImageCache;
use crate::jobs::Jobs;

struct Task {
    /// None: no such job or task was uploaded.
    spec: Option<Arc<JobSpec>>,
    job: String,
    number: u32,
    state: TaskState,
    cause: Option<ExitReason>,
    /// Whether progress was saved, if the task was stopped.
    saved: Option<bool>,
    /// In seconds of work at speed 1.
    progress: f64,
    /// When saving completes, while the task is saving.
    saved_at: Option<Instant>,
    /// When the task fails; None: it does not.
    fails_at: Option<Instant>,
}

impl Task {
    fn end(&mut self, cause: ExitReason, saved: Option<bool>) {
        (self.state, self.cause, self.saved, self.saved_at) = (TaskState::Exited, Some(cause), saved, None);
    }

    fn is_gang(&self) -> bool {
        self.spec.as_ref().is_some_and(|s| s.kind == JobKind::Gang)
    }

    /// Whether the task is a member of its gang, which controls its state then.
    fn has_joined_gang(&self) -> bool {
        self.is_gang() && !matches!(self.state, TaskState::Fetching | TaskState::Exited)
    }
}

pub struct Tasks {
    tasks: BTreeMap<(String, u64), Task>,
    images: ImageCache,
    speed: f64,
    cpus: f64,
    gpus: f64,
    memory_gb: f64,
    /// Events since the last `take_events`: task, attempt and kind.
    events: Vec<(String, u64, TaskEventKind)>,
}

/// Sums of decimal numbers are not exact, so resources may exceed the limit by this much.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl Tasks {
    pub fn new(machine: &MachineType, images: ImageCache, speed: f64) -> Self {
        let (cpus, gpus, memory_gb) = (machine.cpus, machine.gpus, machine.memory_gb);
        Self { tasks: BTreeMap::new(), images, speed, cpus, gpus, memory_gb, events: Vec::new() }
    }

    pub fn reports(&self) -> Vec<TaskStatus> {
        let report = |((task, attempt), t): (&(String, u64), &Task)| TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            state: t.state,
            cause: t.cause,
            checkpointed: t.saved,
        };
        self.tasks.iter().map(report).collect()
    }

    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<(String, u64, TaskEventKind)> {
        std::mem::take(&mut self.events)
    }

    /// Records the event that a change of a task's state amounts to, if any.
    fn record_state_change(&mut self, key: &(String, u64), state_before: TaskState) {
        let state_after = self.tasks.get(key).map_or(TaskState::Exited, |t| t.state);
        let kind = match (state_before, state_after) {
            (state_before, state_after) if state_before == state_after => return,
            (_, TaskState::Running) => TaskEventKind::Running,
            (_, TaskState::Exited) => TaskEventKind::Ended,
            _ => return,
        };
        self.events.push((key.0.clone(), key.1, kind));
    }

    fn fits(&self, spec: &JobSpec) -> bool {
        let present = self.tasks.values().filter(|t| t.state != TaskState::Exited);
        let (mut cpus, mut gpus, mut memory_gb) = (spec.cpus, spec.gpus, spec.memory_gb);
        for other in present.filter_map(|t| t.spec.as_ref()) {
            cpus += other.cpus;
            gpus += other.gpus;
            memory_gb += other.memory_gb;
        }
        cpus <= self.cpus + ROUNDING_TOLERANCE
            && gpus <= self.gpus + ROUNDING_TOLERANCE
            && memory_gb <= self.memory_gb + ROUNDING_TOLERANCE
    }

    pub fn start(&mut self, task: &str, attempt: u64, jobs: &Jobs) {
        let key = (task.to_owned(), attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        let job_and_number = task.split_once('/').and_then(|(job, n)| Some((job, n.parse::<u32>().ok()?)));
        let spec = job_and_number.and_then(|(job, n)| {
            let spec = &jobs.get(job)?.spec;
            (n < spec.tasks).then(|| spec.clone())
        });
        let (job, number) = job_and_number.map_or((String::new(), 0), |(job, n)| (job.to_owned(), n));
        let other_attempt_present =
            self.tasks.iter().any(|((t, _), o)| t == task && o.state != TaskState::Exited);
        let rejection = match &spec {
            None => Some(ExitReason::UnknownJob),
            Some(_) if other_attempt_present => Some(ExitReason::TaskInUse),
            Some(spec) if !self.fits(spec) => Some(ExitReason::NoCapacity),
            Some(_) => None,
        };
        let mut new = Task {
            spec,
            job,
            number,
            state: TaskState::Fetching,
            cause: None,
            saved: None,
            progress: 0.0,
            saved_at: None,
            fails_at: None,
        };
        if let Some(cause) = rejection {
            new.end(cause, None);
        }
        self.tasks.insert(key, new);
    }

    pub fn stop(&mut self, task: &str, attempt: u64, grace: Duration, jobs: &mut Jobs, now: Instant) {
        let key = (task.to_owned(), attempt);
        let Some(state_before) = self.tasks.get(&key).map(|t| t.state) else { return };
        if state_before == TaskState::Running {
            self.events.push((key.0.clone(), attempt, TaskEventKind::StopCommanded));
        }
        self.stop_task(&key, grace, jobs, now);
        self.record_state_change(&key, state_before);
    }

    fn stop_task(&mut self, key: &(String, u64), grace: Duration, jobs: &mut Jobs, now: Instant) {
        let attempt = key.1;
        let Some(t) = self.tasks.get_mut(key) else { return };
        let Some(spec) = t.spec.clone().filter(|_| t.state != TaskState::Exited) else { return };
        if t.has_joined_gang() {
            let detection_delay = jobs.loss_detection_delay();
            let number = t.number;
            let is_saving =
                jobs.gang(&t.job, attempt, now).is_some_and(|g| g.stop(number, grace, detection_delay, now));
            if is_saving {
                t.state = TaskState::Saving
            } else {
                t.end(ExitReason::Stopped, None)
            }
            return;
        }
        let save_duration = Duration::from_secs_f64(spec.checkpoint_save_s);
        match t.state {
            TaskState::Running if spec.checkpoint_interval_s > 0.0 && grace >= save_duration => {
                t.state = TaskState::Saving;
                t.saved_at = Some(now + save_duration);
            }
            TaskState::Saving if !grace.is_zero() => {}
            _ => t.end(ExitReason::Stopped, None),
        }
    }

    pub fn forget(&mut self, task: &str, attempt: u64) {
        let key = (task.to_owned(), attempt);
        if self.tasks.get(&key).is_some_and(|t| t.state == TaskState::Exited) {
            self.tasks.remove(&key);
        }
    }

    pub fn kill_all(&mut self, jobs: &mut Jobs, now: Instant) {
        for ((task, attempt), t) in std::mem::take(&mut self.tasks) {
            if t.state != TaskState::Exited {
                self.events.push((task, attempt, TaskEventKind::Ended));
            }
            if t.has_joined_gang() {
                let detection_delay = jobs.loss_detection_delay();
                if let Some(gang) = jobs.gang(&t.job, attempt, now) {
                    gang.lose_task(t.number, detection_delay, now);
                }
            }
        }
    }

    /// Marks the machine as hung, which the other tasks of its gangs detect after
    /// `detection_delay`; with None, the machine works again.
    pub fn set_hung(&mut self, detection_delay: Option<Duration>, jobs: &mut Jobs, now: Instant) {
        for ((_, attempt), t) in self.tasks.iter().filter(|(_, t)| t.has_joined_gang()) {
            if let Some(gang) = jobs.gang(&t.job, *attempt, now) {
                gang.set_hung(t.number, detection_delay, now);
            }
        }
        if detection_delay.is_none() {
            // Saving made no progress during the hang and starts anew.
            for t in self.tasks.values_mut().filter(|t| t.saved_at.is_some()) {
                let save_duration = t.spec.as_ref().map_or(0.0, |s| s.checkpoint_save_s);
                t.saved_at = Some(now + Duration::from_secs_f64(save_duration));
            }
        }
    }

    pub fn poll(
        &mut self,
        tasks_fail: bool,
        jobs: &mut Jobs,
        elapsed: Duration,
        now: Instant,
        rng: &mut StdRng,
    ) {
        self.fetch_images(elapsed, now);
        let states_before: Vec<((String, u64), TaskState)> =
            self.tasks.iter().map(|(key, t)| (key.clone(), t.state)).collect();
        self.advance_all(tasks_fail, jobs, elapsed, now, rng);
        for (key, state) in states_before {
            self.record_state_change(&key, state);
        }
    }

    fn advance_all(
        &mut self,
        tasks_fail: bool,
        jobs: &mut Jobs,
        elapsed: Duration,
        now: Instant,
        rng: &mut StdRng,
    ) {
        for ((_, attempt), t) in &mut self.tasks {
            let Some(spec) = t.spec.clone() else { continue };
            if t.state == TaskState::Fetching && self.images.has(&spec.image) {
                start_with_image(t, *attempt, self.speed, jobs, now);
                if t.state != TaskState::Exited && (tasks_fail || jobs.get(&t.job).is_some_and(|j| j.broken))
                {
                    t.fails_at = Some(now + Duration::from_secs_f64(rng.random_range(0.2..2.0)));
                }
            } else if t.has_joined_gang() {
                apply_gang_state(t, *attempt, jobs, now);
            } else {
                advance(t, &spec, self.speed, elapsed, jobs, now);
            }
            if t.state != TaskState::Exited && t.fails_at.is_some_and(|at| at <= now) {
                if t.has_joined_gang() {
                    let detection_delay = jobs.loss_detection_delay();
                    if let Some(gang) = jobs.gang(&t.job, *attempt, now) {
                        gang.lose_task(t.number, detection_delay, now);
                    }
                }
                t.end(ExitReason::Error, None);
            }
        }
    }

    fn fetch_images(&mut self, elapsed: Duration, now: Instant) {
        let (mut wanted, mut in_use) = (BTreeMap::new(), Vec::new());
        for t in self.tasks.values() {
            let Some(spec) = &t.spec else { continue };
            match t.state {
                TaskState::Fetching => {
                    wanted.insert(spec.image.as_str(), spec.image_gb);
                }
                TaskState::Exited => {}
                _ => in_use.push(spec.image.as_str()),
            }
        }
        self.images.poll(&wanted, &in_use, elapsed, now);
    }
}

/// Starts a task whose image has been fetched.
fn start_with_image(task: &mut Task, attempt: u64, speed: f64, jobs: &mut Jobs, now: Instant) {
    if jobs.is_done(&task.job, task.number) {
        return task.end(ExitReason::Done, None);
    }
    if let Some(gang) = jobs.gang(&task.job, attempt, now) {
        gang.join(task.number, speed, now);
        task.state = TaskState::Waiting;
        return;
    }
    task.state = TaskState::Running;
    task.progress = jobs.saved_progress(&task.job, task.number);
}

/// Sets the state of a gang's task from its gang.
fn apply_gang_state(task: &mut Task, attempt: u64, jobs: &mut Jobs, now: Instant) {
    let Some(gang) = jobs.gang(&task.job, attempt, now) else { return };
    gang.poll(now);
    match gang.task_state(task.number) {
        Some(GangTaskState::Waiting) => task.state = TaskState::Waiting,
        Some(GangTaskState::Running) => task.state = TaskState::Running,
        Some(GangTaskState::Saving) => task.state = TaskState::Saving,
        Some(GangTaskState::Ended(cause, saved)) => {
            gang.remove_task(task.number);
            task.end(cause, saved);
        }
        None => task.end(ExitReason::PeersGone, None),
    }
}

/// Advances a task that is not a member of a gang.
fn advance(task: &mut Task, spec: &JobSpec, speed: f64, elapsed: Duration, jobs: &mut Jobs, now: Instant) {
    match task.state {
        TaskState::Running => {
            task.progress += elapsed.as_secs_f64() * speed;
            if spec.checkpoint_interval_s > 0.0 {
                let checkpointed =
                    (task.progress / spec.checkpoint_interval_s).floor() * spec.checkpoint_interval_s;
                jobs.save_progress(&task.job, task.number, checkpointed);
            }
            let run_s = jobs.get(&task.job).map_or(f64::INFINITY, |j| j.run_s);
            if spec.kind == JobKind::Array && task.progress >= run_s {
                jobs.set_done(&task.job, task.number);
                task.end(ExitReason::Done, None);
            }
        }
        TaskState::Saving if task.saved_at.is_some_and(|at| at <= now) => {
            jobs.save_progress(&task.job, task.number, task.progress);
            task.end(ExitReason::Stopped, Some(true));
        }
        _ => {}
    }
}
