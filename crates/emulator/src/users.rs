//! Emulated users: they submit jobs, query their states and cancel some of them, as specified in
//! "Users -> controller nodes" of the protocol document, and record answers that violate it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use wire::{JobKind, JobSpec, JobState};

use crate::spelling::Spelling;

/// A stream of jobs of one kind that users submit at random times.
#[derive(Debug, Clone)]
pub struct Load {
    /// The description of the jobs; each job gets an id of its own.
    pub job: JobSpec,
    /// Mean rate of submissions.
    pub per_minute: f64,
    /// How long a service runs before its user cancels it.
    pub lifetime: Duration,
    /// The share of other jobs that is cancelled, at a random time within `lifetime`.
    pub cancelled: f64,
}

/// Timeout of submissions and cancellations.
pub const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of queries for a job's state.
pub const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an unanswered submission is retried in all.
const SUBMIT_RETRY_LIMIT: Duration = Duration::from_secs(60);
/// Longest `Retry-After` of a node that users comply with.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);
/// Share of unusual requests: resubmissions of accepted jobs and queries for jobs that were never
/// submitted.
const UNUSUAL_REQUEST_SHARE: f64 = 0.05;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Submitting,
    Waiting,
    Cancelling,
    /// The job is in a final state, which is queried once more.
    RecheckOnce,
    /// No more requests are sent for the job.
    Closed,
}

struct Job {
    spec: JobSpec,
    phase: Phase,
    next_request_at: Instant,
    in_flight: bool,
    submitted_at: Instant,
    cancel_at: Option<Instant>,
    cancel_requested: bool,
    accepted: bool,
    last_state: Option<JobState>,
}

/// How users send a part of their requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct UserFaults {
    /// The share of the requests whose body is sent some time after its head.
    pub slow_share: f64,
    /// The most of this time. A user who gives up before has sent half a request.
    pub max_body_delay: Duration,
    /// The share of the submissions that are spelled in another form.
    pub spelled_share: f64,
}

/// A request of a user that must be sent now.
#[derive(Debug)]
pub struct UserRequest {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    /// Time between the head and the body.
    pub body_delay: Duration,
    pub timeout: Duration,
}

impl UserFaults {
    /// The body of a submission.
    fn encode(&self, job: &JobSpec, rng: &mut StdRng) -> Vec<u8> {
        if self.spelled_share > 0.0 && rng.random_bool(self.spelled_share) {
            Spelling::draw(rng).encode(job, rng)
        } else {
            wire::encode(job)
        }
    }

    fn draw_body_delay(&self, body: &[u8], rng: &mut StdRng) -> Duration {
        let is_slow = !body.is_empty() && self.slow_share > 0.0 && rng.random_bool(self.slow_share);
        if is_slow { self.max_body_delay.mul_f64(rng.random_range(0.0..1.0)) } else { Duration::ZERO }
    }
}

/// The response to a request. The status is None if there was no answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct UserResponse {
    pub status: Option<u16>,
    pub retry_after: Option<Duration>,
    pub state: Option<JobState>,
}

/// Counts of jobs by their outcome as the users see it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct UserStatistics {
    pub submitted: usize,
    pub accepted: usize,
    pub done: usize,
    pub cancelled: usize,
    /// Submissions that were answered with status 400 or 422.
    pub refused: usize,
    pub given_up: usize,
    /// The longest time from the first submission of a job until a user received the state `done`.
    pub longest_completion: Duration,
    /// Violated rules, each with the id of the job.
    pub violations: Vec<(&'static str, String)>,
}

pub struct Users {
    loads: Vec<(Load, Instant)>,
    jobs: BTreeMap<String, Job>,
    id_prefix: u64,
    id_count: u64,
    statistics: UserStatistics,
    faults: UserFaults,
    rng: StdRng,
}

impl Users {
    /// `id_prefix`: the number with which all ids begin. It must differ from run to run, since ids
    /// must never be reused.
    pub fn new(loads: Vec<Load>, id_prefix: u64, seed: u64, now: Instant) -> Self {
        let loads = loads.into_iter().map(|l| (l, now)).collect();
        let rng = StdRng::seed_from_u64(seed);
        Self {
            loads,
            jobs: BTreeMap::new(),
            id_prefix,
            id_count: 0,
            statistics: UserStatistics::default(),
            faults: UserFaults::default(),
            rng,
        }
    }

    pub fn set_faults(&mut self, faults: UserFaults) {
        self.faults = faults;
    }

    pub fn user_statistics(&self) -> &UserStatistics {
        &self.statistics
    }

    /// The number of jobs that are neither in a final state nor given up.
    pub fn open(&self) -> usize {
        self.jobs.values().filter(|j| !matches!(j.phase, Phase::RecheckOnce | Phase::Closed)).count()
    }

    /// Returns an id that is not in ascending order and not yet used. Multiples of a number modulo
    /// a prime do not repeat.
    fn new_id(&mut self) -> String {
        self.id_count += 1;
        format!("j-{}{:06}", self.id_prefix, (self.id_count * 617_411) % 999_983)
    }

    fn create_jobs(&mut self, now: Instant) {
        for i in 0..self.loads.len() {
            while let Some((load, at)) = self.loads.get_mut(i)
                && *at <= now
            {
                let pause = -(1.0 - self.rng.random_range(0.0..1.0_f64)).ln() * 60.0 / load.per_minute;
                *at += Duration::from_secs_f64(pause);
                let load = load.clone();
                let is_service = load.job.kind == JobKind::Service;
                let share = if is_service { 1.0 } else { self.rng.random_range(0.0..1.0) };
                let is_cancelled = is_service || self.rng.random_bool(load.cancelled.clamp(0.0, 1.0));
                let id = self.new_id();
                let job = Job {
                    spec: JobSpec { id: id.clone(), ..load.job },
                    phase: Phase::Submitting,
                    next_request_at: now,
                    in_flight: false,
                    submitted_at: now,
                    cancel_at: is_cancelled.then(|| now + load.lifetime.mul_f64(share)),
                    cancel_requested: false,
                    accepted: false,
                    last_state: None,
                };
                self.jobs.insert(id, job);
                self.statistics.submitted += 1;
            }
        }
    }

    /// Advances the users to `now` and returns the requests that must be sent.
    pub fn poll(&mut self, now: Instant) -> Vec<UserRequest> {
        self.create_jobs(now);
        let (mut out, rng, faults) = (Vec::new(), &mut self.rng, self.faults);
        for (id, job) in &mut self.jobs {
            if job.phase == Phase::Waiting && job.cancel_at.is_some_and(|at| at <= now) && !job.in_flight {
                (job.phase, job.next_request_at) = (Phase::Cancelling, now);
            }
            if job.in_flight || now < job.next_request_at || job.phase == Phase::Closed {
                continue;
            }
            job.in_flight = true;
            let submit =
                job.phase == Phase::Submitting || (job.accepted && rng.random_bool(UNUSUAL_REQUEST_SHARE));
            let (method, path, body, timeout) = match job.phase {
                Phase::Cancelling => {
                    job.cancel_requested = true;
                    ("POST", format!("/v1/jobs/{id}/withdraw"), Vec::new(), SUBMIT_TIMEOUT)
                }
                _ if submit => ("POST", "/v1/jobs".to_owned(), faults.encode(&job.spec, rng), SUBMIT_TIMEOUT),
                _ => ("GET", format!("/v1/jobs/{id}"), Vec::new(), QUERY_TIMEOUT),
            };
            let body_delay = faults.draw_body_delay(&body, rng);
            out.push(UserRequest { id: id.clone(), method, path, body, body_delay, timeout });
            if rng.random_bool(UNUSUAL_REQUEST_SHARE) {
                let unknown = format!("j-{}{}", self.id_prefix, rng.random_range(1_000_000..9_999_999));
                let path = format!("/v1/jobs/{unknown}");
                out.push(UserRequest {
                    id: unknown,
                    method: "GET",
                    path,
                    body: Vec::new(),
                    body_delay: Duration::ZERO,
                    timeout: QUERY_TIMEOUT,
                });
            }
        }
        out
    }

    /// Records the response to a request and checks it against the protocol.
    pub fn record_response(&mut self, request: &UserRequest, response: UserResponse, now: Instant) {
        let id = &request.id;
        let Some(job) = self.jobs.get_mut(id) else {
            if response.status == Some(200) {
                self.statistics.violations.push(("invented", id.clone()));
            }
            return;
        };
        job.in_flight = false;
        let is_query = request.method == "GET";
        let state = response.state.filter(|_| matches!(response.status, Some(200 | 201)));
        let rejected = !is_query && matches!(response.status, Some(400 | 422));
        if job.accepted && (rejected || response.status == Some(404)) {
            self.statistics.violations.push(("forgotten", id.clone()));
        }
        let pause = Duration::from_secs_f64(self.rng.random_range(4.0..6.0));
        job.next_request_at = now + pause;
        match (job.phase, state) {
            (Phase::Submitting, Some(_)) => {
                (job.accepted, job.phase) = (true, Phase::Waiting);
                self.statistics.accepted += 1;
            }
            (Phase::Submitting, None) if rejected => {
                job.phase = Phase::Closed;
                self.statistics.refused += 1;
            }
            (Phase::Submitting | Phase::Cancelling, None) => {
                let requested = response.retry_after.unwrap_or_default().min(MAX_RETRY_AFTER);
                let minimum = Duration::from_secs_f64(self.rng.random_range(1.0..2.0));
                job.next_request_at = now + requested.max(minimum);
                // Cancellations are retried without a limit until they are answered.
                if job.phase == Phase::Submitting
                    && job.next_request_at > job.submitted_at + SUBMIT_RETRY_LIMIT
                {
                    job.phase = Phase::Closed;
                    self.statistics.given_up += 1;
                }
            }
            (Phase::RecheckOnce, _) => job.phase = Phase::Closed,
            _ => {}
        }
        let Some(state) = state else { return };
        let left_final_state = job.last_state.is_some_and(|t| t.is_final() && t != state);
        if left_final_state || (state == JobState::Cancelled && !job.cancel_requested) {
            self.statistics.violations.push(("went_back", id.clone()));
        }
        if job.last_state.is_none_or(|t| !t.is_final()) && state.is_final() {
            job.phase = if self.rng.random_bool(0.3) { Phase::RecheckOnce } else { Phase::Closed };
            if state == JobState::Done {
                self.statistics.done += 1;
                self.statistics.longest_completion =
                    self.statistics.longest_completion.max(now.saturating_duration_since(job.submitted_at));
            } else {
                self.statistics.cancelled += 1;
            }
        }
        if job.last_state.is_none_or(|t| !t.is_final()) {
            job.last_state = Some(state);
        }
    }
}
