//! Users: they submit jobs, ask about them and cancel some, by "Users -> controller
//! nodes" of the protocol's page, and take note of answers that must not be.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::{JobKind, JobSpec, JobState};

/// Jobs of one kind that come again and again.
#[derive(Debug, Clone)]
pub struct Load {
    /// All but the id.
    pub job: JobSpec,
    pub per_minute: f64,
    /// How long a service runs before its user cancels it.
    pub stays: Duration,
    /// The share of other jobs that is cancelled, at a random time within `stays`.
    pub cancelled: f64,
}

/// How long users wait for an answer.
pub const SUBMIT_WAIT: Duration = Duration::from_secs(5);
pub const ASK_WAIT: Duration = Duration::from_secs(2);
/// How long a request is repeated in all, and the longest pause that a node may ask for.
const PATIENCE: Duration = Duration::from_secs(60);
const LONGEST_PAUSE: Duration = Duration::from_secs(30);
/// How seldom something unusual is asked: a job again that is over, a submission again,
/// a job that nobody has submitted.
const ODD: f64 = 0.05;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Submitting,
    Waiting,
    Cancelling,
    /// It is asked about once more.
    Over,
    /// Nothing more is asked.
    Closed,
}

struct Job {
    spec: JobSpec,
    phase: Phase,
    next: Instant,
    in_flight: bool,
    begun: Instant,
    cancel_at: Option<Instant>,
    cancel_asked: bool,
    accepted: bool,
    told: Option<JobState>,
}

/// A request that is to be sent now.
#[derive(Debug)]
pub struct Question {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    pub wait: Duration,
}

/// What came of it; a status of None: no answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct Told {
    pub status: Option<u16>,
    pub retry_after: Option<Duration>,
    pub state: Option<JobState>,
}

#[derive(Debug, Clone, Default, PartialEq)]
pub struct UserStatistics {
    pub submitted: usize,
    pub accepted: usize,
    pub done: usize,
    pub cancelled: usize,
    /// With 400 or 422.
    pub refused: usize,
    pub given_up: usize,
    /// The longest time from the first attempt until the user was told `done`.
    pub longest_completion: Duration,
    /// Rules that were broken as far as users see it, with the job.
    pub violations: Vec<(&'static str, String)>,
}

pub struct Users {
    loads: Vec<(Load, Instant)>,
    jobs: BTreeMap<String, Job>,
    base: u64,
    count: u64,
    statistics: UserStatistics,
    rng: StdRng,
}

impl Users {
    /// `base`: what all ids begin with. Ids must never come back.
    pub fn new(loads: Vec<Load>, base: u64, seed: u64, now: Instant) -> Self {
        let loads = loads.into_iter().map(|l| (l, now)).collect();
        let rng = StdRng::seed_from_u64(seed);
        Self { loads, jobs: BTreeMap::new(), base, count: 0, statistics: UserStatistics::default(), rng }
    }

    pub fn user_statistics(&self) -> &UserStatistics {
        &self.statistics
    }

    /// How many jobs are neither over nor given up.
    pub fn open(&self) -> usize {
        self.jobs.values().filter(|j| !matches!(j.phase, Phase::Over | Phase::Closed)).count()
    }

    /// In no order, and none twice: multiples of one number modulo a prime.
    fn new_id(&mut self) -> String {
        self.count += 1;
        format!("j-{}{:06}", self.base, (self.count * 617_411) % 999_983)
    }

    fn arrive(&mut self, now: Instant) {
        for i in 0..self.loads.len() {
            while let Some((load, at)) = self.loads.get_mut(i)
                && *at <= now
            {
                let pause = -(1.0 - self.rng.random_range(0.0..1.0_f64)).ln() * 60.0 / load.per_minute;
                *at += Duration::from_secs_f64(pause);
                let load = load.clone();
                let service = load.job.kind == JobKind::Service;
                let share = if service { 1.0 } else { self.rng.random_range(0.0..1.0) };
                let cancels = service || self.rng.random_bool(load.cancelled.clamp(0.0, 1.0));
                let id = self.new_id();
                let job = Job {
                    spec: JobSpec { id: id.clone(), ..load.job },
                    phase: Phase::Submitting,
                    next: now,
                    in_flight: false,
                    begun: now,
                    cancel_at: cancels.then(|| now + load.stays.mul_f64(share)),
                    cancel_asked: false,
                    accepted: false,
                    told: None,
                };
                self.jobs.insert(id, job);
                self.statistics.submitted += 1;
            }
        }
    }

    /// Lets time pass; the requests that are to be sent now.
    pub fn poll(&mut self, now: Instant) -> Vec<Question> {
        self.arrive(now);
        let (mut out, rng) = (Vec::new(), &mut self.rng);
        for (id, job) in &mut self.jobs {
            if job.phase == Phase::Waiting && job.cancel_at.is_some_and(|at| at <= now) && !job.in_flight {
                (job.phase, job.next) = (Phase::Cancelling, now);
            }
            if job.in_flight || now < job.next || job.phase == Phase::Closed {
                continue;
            }
            job.in_flight = true;
            let submit = job.phase == Phase::Submitting || (job.accepted && rng.random_bool(ODD));
            let (method, path, body, wait) = match job.phase {
                Phase::Cancelling => {
                    job.cancel_asked = true;
                    ("POST", format!("/v1/jobs/{id}/withdraw"), Vec::new(), SUBMIT_WAIT)
                }
                _ if submit => ("POST", "/v1/jobs".to_owned(), wire::encode(&job.spec), SUBMIT_WAIT),
                _ => ("GET", format!("/v1/jobs/{id}"), Vec::new(), ASK_WAIT),
            };
            out.push(Question { id: id.clone(), method, path, body, wait });
            if rng.random_bool(ODD) {
                let unknown = format!("j-{}{}", self.base, rng.random_range(1_000_000..9_999_999));
                let path = format!("/v1/jobs/{unknown}");
                out.push(Question { id: unknown, method: "GET", path, body: Vec::new(), wait: ASK_WAIT });
            }
        }
        out
    }

    /// What came of a request.
    pub fn told(&mut self, question: &Question, told: Told, now: Instant) {
        let id = &question.id;
        let Some(job) = self.jobs.get_mut(id) else {
            if told.status == Some(200) {
                self.statistics.violations.push(("invented", id.clone()));
            }
            return;
        };
        job.in_flight = false;
        let asks = question.method == "GET";
        let state = told.state.filter(|_| matches!(told.status, Some(200 | 201)));
        let refused = !asks && matches!(told.status, Some(400 | 422));
        if job.accepted && (refused || told.status == Some(404)) {
            self.statistics.violations.push(("forgotten", id.clone()));
        }
        let pause = Duration::from_secs_f64(self.rng.random_range(4.0..6.0));
        job.next = now + pause;
        match (job.phase, state) {
            (Phase::Submitting, Some(_)) => {
                (job.accepted, job.phase) = (true, Phase::Waiting);
                self.statistics.accepted += 1;
            }
            (Phase::Submitting, None) if refused => {
                job.phase = Phase::Closed;
                self.statistics.refused += 1;
            }
            (Phase::Submitting | Phase::Cancelling, None) => {
                let asked = told.retry_after.unwrap_or_default().min(LONGEST_PAUSE);
                let least = Duration::from_secs_f64(self.rng.random_range(1.0..2.0));
                job.next = now + asked.max(least);
                // A cancellation is repeated until it is answered.
                if job.phase == Phase::Submitting && job.next > job.begun + PATIENCE {
                    job.phase = Phase::Closed;
                    self.statistics.given_up += 1;
                }
            }
            (Phase::Over, _) => job.phase = Phase::Closed,
            _ => {}
        }
        let Some(state) = state else { return };
        let back = job.told.is_some_and(|t| t.is_final() && t != state);
        if back || (state == JobState::Cancelled && !job.cancel_asked) {
            self.statistics.violations.push(("went_back", id.clone()));
        }
        if job.told.is_none_or(|t| !t.is_final()) && state.is_final() {
            job.phase = if self.rng.random_bool(0.3) { Phase::Over } else { Phase::Closed };
            if state == JobState::Done {
                self.statistics.done += 1;
                self.statistics.longest_completion =
                    self.statistics.longest_completion.max(now.saturating_duration_since(job.begun));
            } else {
                self.statistics.cancelled += 1;
            }
        }
        if job.told.is_none_or(|t| !t.is_final()) {
            job.told = Some(state);
        }
    }
}
