//! Simulated users: they submit, query and cancel jobs, query all controllers at once and
//! send invalid requests.

use std::time::Duration;

use bytes::Bytes;
use emulator::Spelling;
use net::{Request, Response};
use rand::RngExt;
use tokio::time::{sleep, timeout};
use wire::{JobKind, JobSpec, JobState, JobStatus, Priority};

use super::network::Endpoint;
use super::{CONTROLLERS, Defect, Simulation, Site, job_of};

/// The id of a job that nobody submits.
pub(super) const UNKNOWN_JOB: &str = "j-777777777";
/// The number from which the ids of invalid jobs start.
const FIRST_INVALID_JOB: u64 = 900_000;

/// A job as its user knows it from the answers received.
pub(super) struct Job {
    pub(super) spec: JobSpec,
    /// When it was first reported as accepted, as done, and as cancelled.
    pub(super) accepted_at: Option<u64>,
    pub(super) done_at: Option<u64>,
    pub(super) cancelled_at: Option<u64>,
    /// When its user first requested the cancellation.
    pub(super) cancel_requested_at: Option<u64>,
    /// When a query was last answered.
    pub(super) answered_at: u64,
    /// Since when it has waited although there is capacity for it.
    pub(super) waiting_since: Option<u64>,
}

impl Job {
    pub(super) fn is_final(&self) -> bool {
        self.done_at.is_some() || self.cancelled_at.is_some()
    }
}

fn job_number(task: &str) -> u64 {
    job_of(task).trim_start_matches("j-").parse().unwrap_or_default()
}

/// A pseudorandom number derived from the number of the job.
fn pseudorandom(n: u64) -> u64 {
    (n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33
}

pub(super) fn kind_of(task: &str) -> JobKind {
    [JobKind::Array, JobKind::Array, JobKind::Gang, JobKind::Service, JobKind::Array]
        [(job_number(task) % 5) as usize]
}

pub(super) fn cpus_of(task: &str) -> f64 {
    if job_number(task).is_multiple_of(7) { 2.0 } else { 1.0 }
}

pub(super) fn tasks_of(job: &str) -> u32 {
    let n = job_number(job);
    let extra_tasks = (pseudorandom(n) % 4) as u32;
    match n % 5 {
        0 | 1 => 2 + extra_tasks,
        2 => 2 + extra_tasks % 2,
        3 => 2 + extra_tasks % 3,
        _ => 1,
    }
}

/// Whether the tasks of the job save a checkpoint when they are stopped.
pub(super) fn saves(task: &str) -> bool {
    job_number(task).is_multiple_of(3)
}

/// How long a task runs. All tasks of a gang run equally long.
pub(super) fn run_ms(task: &str) -> u64 {
    let n = job_number(task);
    let task_number: u64 = task.split_once('/').and_then(|(_, t)| t.parse().ok()).unwrap_or_default();
    match kind_of(task) {
        JobKind::Service => u64::MAX / 2,
        JobKind::Gang => 6000 + pseudorandom(n) % 12_000,
        JobKind::Array if n.is_multiple_of(8) => 45_000,
        JobKind::Array => 1500 + (pseudorandom(n) + task_number * 3777) % 12_000,
    }
}

/// The job with this number.
pub(super) fn spec(n: u64) -> JobSpec {
    let id = format!("j-{n}");
    let kind = kind_of(&id);
    JobSpec {
        class: format!("c{}", n % 5),
        team: if n % 4 == 3 { "u" } else { "t" }.into(),
        kind,
        priority: [Priority::Normal, Priority::High, Priority::Low, Priority::Production]
            [(pseudorandom(n) % 4) as usize],
        tasks: tasks_of(&id),
        cpus: cpus_of(&id),
        gpus: 0.0,
        memory_gb: 1.0,
        image: format!("i{}", n % 6),
        image_gb: 0.5,
        types: n.is_multiple_of(13).then(|| vec!["m".into()]),
        zone: n.is_multiple_of(11).then(|| "a".into()),
        one_zone: kind == JobKind::Gang && n.is_multiple_of(2),
        spread: kind == JobKind::Service && n.is_multiple_of(2),
        spot: kind == JobKind::Array && n.is_multiple_of(2),
        estimated_runtime_s: if kind == JobKind::Service { 0.0 } else { run_ms(&id) as f64 / 1000.0 },
        checkpoint_interval_s: if saves(&id) { 2.0 } else { 0.0 },
        checkpoint_save_s: 2.0,
        deadline_s: None,
        dependencies: None,
        id,
    }
}

impl Simulation {
    /// The number of tasks of a job; 0 if nobody has submitted it.
    pub(super) fn tasks_of(&self, job: &str) -> u32 {
        self.jobs.get(job).map_or(0, |job| job.spec.tasks)
    }

    /// Creates the next job; some jobs depend on one of the latest accepted jobs.
    pub(super) fn next_job(&mut self) -> String {
        self.submitted_jobs += 1;
        let mut spec = spec(self.submitted_jobs);
        if self.drains && spec.kind == JobKind::Service {
            spec.priority = Priority::Production;
        }
        if self.rng.random_bool(0.15) {
            let is_eligible = |j: &&Job| j.accepted_at.is_some() && j.spec.kind != JobKind::Service;
            let eligible: Vec<String> =
                self.jobs.values().filter(is_eligible).map(|j| j.spec.id.clone()).collect();
            if !eligible.is_empty() {
                let index = eligible.len() - 1 - self.rng.random_range(0..eligible.len().min(6));
                spec.dependencies = Some(vec![eligible[index].clone()]);
            }
        }
        self.add_job(spec)
    }

    /// Adds a job that its user is about to submit, and returns its id.
    pub(super) fn add_job(&mut self, spec: JobSpec) -> String {
        let id = spec.id.clone();
        let answered_at = self.ms();
        let job = Job {
            spec,
            accepted_at: None,
            done_at: None,
            cancelled_at: None,
            cancel_requested_at: None,
            answered_at,
            waiting_since: None,
        };
        self.jobs.insert(id.clone(), job);
        id
    }

    fn submission_body(&mut self, id: &str) -> Vec<u8> {
        let now = self.ms();
        let Some(job) = self.jobs.get(id) else { return Vec::new() };
        let mut spec = job.spec.clone();
        if self.defect == Defect::DependenciesDropped {
            spec.dependencies = None;
        }
        if now < self.other_spellings_until {
            return Spelling::draw(&mut self.rng).encode(&spec, &mut self.rng);
        }
        wire::encode(&spec)
    }
}

impl Site {
    async fn send_request(
        &self,
        n: usize,
        method: &str,
        path: String,
        body: Vec<u8>,
        timeout_ms: u64,
    ) -> Option<Response> {
        let request = Request { method: method.into(), path, body: Bytes::from(body) };
        let exchange = self.exchange(Endpoint::User, Endpoint::Controller(n), request);
        let answer = timeout(Duration::from_millis(timeout_ms), exchange).await.ok().flatten()?;
        let defect = self.lock().defect;
        match defect {
            // Drops all answers after the faults have ended.
            Defect::AnswersDropped if self.lock().is_settled() => None,
            Defect::RejectionReportedAccepted if matches!(answer.status, 400 | 422) => {
                Some(Response { status: 201, ..answer })
            }
            Defect::OpenReportedCancelled
                if method == "GET" && answer.status == 200 && self.lock().rng.random_bool(0.02) =>
            {
                let status = wire::decode::<JobStatus>(&answer.body).ok()?;
                let status = JobStatus { state: JobState::Cancelled, ..status };
                Some(Response { body: Bytes::from(wire::encode(&status)), ..answer })
            }
            Defect::FalseNotFound if method == "GET" && self.lock().rng.random_bool(0.02) => {
                Some(Response { status: 404, ..answer })
            }
            _ => Some(answer),
        }
    }

    /// Chooses a running controller as the load balancer does, with up to three tries.
    pub(super) fn choose_controller(&self) -> usize {
        let mut simulation = self.lock();
        for _ in 0..3 {
            let n = simulation.rng.random_range(0..CONTROLLERS);
            if simulation.controllers[n].controller.is_some() {
                return n;
            }
        }
        0
    }

    pub(super) async fn query_status(&self, n: usize, id: &str) {
        let sent_at = self.ms();
        let answer = self.send_request(n, "GET", format!("/v1/jobs/{id}"), Vec::new(), 2000).await;
        let mut simulation = self.lock();
        match answer {
            Some(a) if a.status == 200 => match wire::decode::<JobStatus>(&a.body) {
                Ok(status) => simulation.record_answer(id, sent_at, status.state),
                Err(_) => simulation.record_violation("malformed", id.to_owned()),
            },
            Some(a) if a.status == 404 => simulation.record_not_found(id, sent_at),
            _ => simulation.record_unanswered(id),
        }
    }

    /// Submits a job to one controller; returns whether it was accepted.
    pub(super) async fn submit(&self, n: usize, id: &str) -> bool {
        let body = self.lock().submission_body(id);
        let sent_at = self.ms();
        let answer = self.send_request(n, "POST", "/v1/jobs".into(), body, 5000).await;
        let mut simulation = self.lock();
        match answer {
            Some(a) if matches!(a.status, 200 | 201) => {
                if let Ok(status) = wire::decode::<JobStatus>(&a.body) {
                    simulation.record_answer(id, sent_at, status.state);
                }
                true
            }
            Some(a) if matches!(a.status, 400 | 422) => {
                let detail = format!("{id}: a valid job was rejected with {} by n-{n}", a.status);
                simulation.record_violation("job_lost", detail);
                false
            }
            _ => false,
        }
    }

    /// Asks one controller to cancel a job; returns whether that was confirmed.
    pub(super) async fn cancel(&self, n: usize, id: &str) -> bool {
        {
            let mut simulation = self.lock();
            let now = self.ms();
            if let Some(job) = simulation.jobs.get_mut(id) {
                job.cancel_requested_at.get_or_insert(now);
            }
        }
        let sent_at = self.ms();
        let answer = self.send_request(n, "POST", format!("/v1/jobs/{id}/withdraw"), Vec::new(), 5000).await;
        let mut simulation = self.lock();
        match answer {
            Some(a) if a.status == 200 => {
                match wire::decode::<JobStatus>(&a.body) {
                    Ok(status) if status.state.is_final() => {
                        simulation.record_answer(id, sent_at, status.state)
                    }
                    _ => simulation.record_violation(
                        "malformed",
                        format!("{id}: the answer to a cancellation is malformed or not final"),
                    ),
                }
                true
            }
            Some(a) if a.status == 404 => {
                simulation.record_not_found(id, sent_at);
                false
            }
            _ => false,
        }
    }

    pub(super) async fn cancel_with_retries(&self, id: &str) {
        for _ in 0..60 {
            if self.cancel(self.choose_controller(), id).await {
                self.add_trace(|| format!("{id} is reported as final to the user who cancels it"));
                self.query_concurrently(id).await;
                return;
            }
            sleep(Duration::from_millis(1000)).await;
        }
    }

    /// Queries all controllers within milliseconds and repeats the submission, while
    /// concurrent queries are enabled.
    pub(super) async fn query_concurrently(&self, id: &str) {
        if self.ms() >= self.lock().concurrent_queries_until {
            return;
        }
        let mut queries = Vec::new();
        for round in 0..3 {
            for n in 0..CONTROLLERS {
                let (site, id) = (self.clone(), id.to_owned());
                queries.push(tokio::spawn(async move {
                    if round == 1 {
                        site.submit(n, &id).await;
                    } else {
                        site.query_status(n, &id).await;
                    }
                }));
            }
            sleep(Duration::from_millis(6)).await;
        }
        for query in queries {
            let _ = query.await;
        }
    }

    /// Runs one user with one job, from the submission to the last answer.
    pub(super) async fn run_user(&self, id: String, in_burst: bool) {
        let since = self.ms();
        while !self.submit(self.choose_controller(), &id).await {
            if self.ms() > since + 60_000 {
                return;
            }
            sleep(Duration::from_millis(1000)).await;
        }
        let (cancels, cancel_after_ms) = {
            let mut simulation = self.lock();
            let is_service = kind_of(&id) == JobKind::Service;
            let cancel_after_ms = match (in_burst, is_service) {
                (true, _) => simulation.rng.random_range(0..1500),
                (_, true) => simulation.rng.random_range(15_000..45_000),
                _ => simulation.rng.random_range(500..14_000),
            };
            (is_service || simulation.rng.random_bool(if in_burst { 0.25 } else { 0.12 }), cancel_after_ms)
        };
        let queries_are_concurrent = self.ms() < self.lock().concurrent_queries_until;
        if queries_are_concurrent && self.lock().rng.random_bool(0.3) {
            let (site, id) = (self.clone(), id.clone());
            tokio::spawn(async move { site.cancel_with_retries(&id).await });
        }
        self.query_concurrently(&id).await;
        if cancels {
            let (site, id) = (self.clone(), id.clone());
            tokio::spawn(async move {
                sleep(Duration::from_millis(cancel_after_ms)).await;
                site.cancel_with_retries(&id).await;
            });
        }
        loop {
            let pause = self.lock().rng.random_range(4000..6000);
            sleep(Duration::from_millis(pause)).await;
            // Half of the users query a final job again.
            let is_finished = {
                let mut simulation = self.lock();
                simulation.jobs.get(&id).is_none_or(Job::is_final) && simulation.rng.random_bool(0.5)
            };
            if is_finished {
                return;
            }
            self.query_status(self.choose_controller(), &id).await;
        }
    }

    /// Sends a request that is invalid, repeated, or for an unknown or finished job.
    pub(super) async fn send_invalid_request(&self) {
        let (n, variant, accepted_job) = {
            let mut simulation = self.lock();
            let accepted_jobs: Vec<String> = simulation
                .jobs
                .iter()
                .filter(|(_, j)| j.accepted_at.is_some())
                .map(|j| j.0.clone())
                .collect();
            let accepted_job = (!accepted_jobs.is_empty())
                .then(|| accepted_jobs[simulation.rng.random_range(0..accepted_jobs.len())].clone());
            (simulation.rng.random_range(0..CONTROLLERS), simulation.rng.random_range(0..7), accepted_job)
        };
        if let Some(id) = accepted_job {
            match variant {
                0 => {
                    self.submit(n, &id).await;
                    return;
                }
                1 if self.lock().jobs.get(&id).is_some_and(|j| j.done_at.is_some()) => {
                    self.cancel(n, &id).await;
                    return;
                }
                2 => return self.query_status(n, UNKNOWN_JOB).await,
                _ => {}
            }
        }
        let mut job = {
            let mut simulation = self.lock();
            simulation.invalid_requests += 1;
            spec(FIRST_INVALID_JOB + simulation.invalid_requests)
        };
        let mut missing_field = "";
        match variant {
            3 => job.team = "nobody".into(),
            4 => job.cpus = 100.0,
            5 => (job.kind, job.cpus, job.tasks) = (JobKind::Gang, 2.0, 100),
            6 => job.zone = Some("nowhere".into()),
            _ => missing_field = ["threads", "owner", "weave", "bundle", "one_zone"][(variant as usize) % 5],
        }
        let mut body = serde_json::to_value(&job).expect("a job");
        if let Some(fields) = body.as_object_mut() {
            fields.remove(missing_field);
        }
        let answer = self.send_request(n, "POST", "/v1/jobs".into(), wire::encode(&body), 5000).await;
        if answer.is_some_and(|a| matches!(a.status, 200 | 201)) {
            self.lock()
                .record_violation("accepted_invalid_job", format!("{}: {variant} {missing_field}", job.id));
        }
    }

    /// A job has completed: a share of the jobs is cancelled at this moment, and the users of
    /// the others query all controllers at once.
    pub(super) fn job_ended(&self, id: String) {
        let cancels = {
            let mut simulation = self.lock();
            let (share, until) = simulation.cancel_on_completion;
            self.ms() < until && simulation.rng.random_bool(share)
        };
        let site = self.clone();
        tokio::spawn(async move {
            if cancels {
                let delay_ms = site.lock().rng.random_range(0..150);
                sleep(Duration::from_millis(delay_ms)).await;
                site.cancel_with_retries(&id).await;
            } else {
                site.query_concurrently(&id).await;
            }
        });
    }
}

/// Whether a later answer contradicts a final state that was reported before.
pub(super) fn is_reverted(earlier: JobState, later: JobState) -> bool {
    earlier.is_final() && later != earlier
}
