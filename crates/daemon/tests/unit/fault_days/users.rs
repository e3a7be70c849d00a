//! Users: they submit, ask, cancel, ask everywhere at once, and send what is odd.

use std::time::Duration;

use bytes::Bytes;
use net::{Request, Response};
use rand::RngExt;
use tokio::time::{sleep, timeout};
use wire::{JobKind, JobSpec, JobState, JobStatus, Priority};

use super::network::Party;
use super::{All, CONTROLLERS, Sabotage, Site, job_of};

/// A job that nobody submits.
pub(super) const NOBODYS: &str = "j-777777777";
/// Odd jobs have numbers from here on.
const ODD: u64 = 900_000;

/// What users know of a job, by the answers they got.
pub(super) struct Job {
    pub(super) spec: JobSpec,
    /// When it was accepted, told done, told cancelled.
    pub(super) accepted: Option<u64>,
    pub(super) done: Option<u64>,
    pub(super) cancelled: Option<u64>,
    /// When its user first asked to cancel it.
    pub(super) asked: Option<u64>,
    pub(super) answered: u64,
    /// Since when it has waited although there is room.
    pub(super) waits: Option<u64>,
}

impl Job {
    pub(super) fn is_final(&self) -> bool {
        self.done.is_some() || self.cancelled.is_some()
    }
}

fn number(task: &str) -> u64 {
    job_of(task).trim_start_matches("j-").parse().unwrap_or_default()
}

/// A number that follows from the job's, but looks like any.
fn mixed(n: u64) -> u64 {
    (n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33
}

pub(super) fn kind_of(task: &str) -> JobKind {
    [JobKind::Array, JobKind::Array, JobKind::Gang, JobKind::Service, JobKind::Array]
        [(number(task) % 5) as usize]
}

pub(super) fn cpus_of(task: &str) -> f64 {
    if number(task).is_multiple_of(7) { 2.0 } else { 1.0 }
}

pub(super) fn tasks_of(job: &str) -> u32 {
    let n = number(job);
    let few = (mixed(n) % 4) as u32;
    match n % 5 {
        0 | 1 => 2 + few,
        2 => 2 + few % 2,
        3 => 2 + few % 3,
        _ => 1,
    }
}

/// Whether its tasks save when they are stopped.
pub(super) fn saves(task: &str) -> bool {
    number(task).is_multiple_of(3)
}

/// How long a task runs; a gang's tasks all run as long as their job says.
pub(super) fn run_ms(task: &str) -> u64 {
    let n = number(task);
    let own: u64 = task.split_once('/').and_then(|(_, t)| t.parse().ok()).unwrap_or_default();
    match kind_of(task) {
        JobKind::Service => u64::MAX / 2,
        JobKind::Gang => 6000 + mixed(n) % 12_000,
        JobKind::Array if n.is_multiple_of(8) => 45_000,
        JobKind::Array => 1500 + (mixed(n) + own * 3777) % 12_000,
    }
}

fn spec(n: u64) -> JobSpec {
    let id = format!("j-{n}");
    let kind = kind_of(&id);
    JobSpec {
        class: format!("c{}", n % 5),
        team: if n % 4 == 3 { "u" } else { "t" }.into(),
        kind,
        priority: [Priority::Normal, Priority::High, Priority::Low, Priority::Production]
            [(mixed(n) % 4) as usize],
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

impl All {
    /// The next job; some need one of those before.
    pub(super) fn next_job(&mut self) -> String {
        self.submitted += 1;
        let mut spec = spec(self.submitted);
        if self.drains && spec.kind == JobKind::Service {
            spec.priority = Priority::Production;
        }
        if self.rng.random_bool(0.15) {
            let may = |j: &&Job| j.accepted.is_some() && j.spec.kind != JobKind::Service;
            let before: Vec<String> = self.jobs.values().filter(may).map(|j| j.spec.id.clone()).collect();
            if !before.is_empty() {
                let late = before.len() - 1 - self.rng.random_range(0..before.len().min(6));
                spec.dependencies = Some(vec![before[late].clone()]);
            }
        }
        let id = spec.id.clone();
        let answered = self.ms();
        let job =
            Job { spec, accepted: None, done: None, cancelled: None, asked: None, answered, waits: None };
        self.jobs.insert(id.clone(), job);
        id
    }

    fn body_of(&self, id: &str) -> Vec<u8> {
        let Some(job) = self.jobs.get(id) else { return Vec::new() };
        let mut spec = job.spec.clone();
        if self.sabotage == Sabotage::Needs {
            spec.dependencies = None;
        }
        wire::encode(&spec)
    }
}

impl Site {
    async fn ask(
        &self,
        n: usize,
        method: &str,
        path: String,
        body: Vec<u8>,
        patience_ms: u64,
    ) -> Option<Response> {
        let request = Request { method: method.into(), path, body: Bytes::from(body) };
        let exchange = self.exchange(Party::User, Party::Controller(n), request);
        let answer = timeout(Duration::from_millis(patience_ms), exchange).await.ok().flatten()?;
        let sabotage = self.lock().sabotage;
        match sabotage {
            // Nobody answers a question, once all troubles are over.
            Sabotage::Mute if self.lock().is_calm() => None,
            Sabotage::Odd if matches!(answer.status, 400 | 422) => Some(Response { status: 201, ..answer }),
            Sabotage::Called
                if method == "GET" && answer.status == 200 && self.lock().rng.random_bool(0.02) =>
            {
                let status = wire::decode::<JobStatus>(&answer.body).ok()?;
                let status = JobStatus { state: JobState::Cancelled, ..status };
                Some(Response { body: Bytes::from(wire::encode(&status)), ..answer })
            }
            Sabotage::Unknown if method == "GET" && self.lock().rng.random_bool(0.02) => {
                Some(Response { status: 404, ..answer })
            }
            _ => Some(answer),
        }
    }

    /// As the load balancer does: whoever listens, with up to three tries.
    fn choose(&self) -> usize {
        let mut all = self.lock();
        for _ in 0..3 {
            let n = all.rng.random_range(0..CONTROLLERS);
            if all.controllers[n].controller.is_some() {
                return n;
            }
        }
        0
    }

    pub(super) async fn look(&self, n: usize, id: &str) {
        let sent = self.ms();
        let answer = self.ask(n, "GET", format!("/v1/jobs/{id}"), Vec::new(), 2000).await;
        let mut all = self.lock();
        match answer {
            Some(a) if a.status == 200 => match wire::decode::<JobStatus>(&a.body) {
                Ok(status) => all.told(id, sent, status.state),
                Err(_) => all.breach("malformed", id.to_owned()),
            },
            Some(a) if a.status == 404 => all.told_unknown(id, sent),
            _ => all.not_told(id),
        }
    }

    /// Submits a job to one controller; true once it is accepted.
    pub(super) async fn submit(&self, n: usize, id: &str) -> bool {
        let body = self.lock().body_of(id);
        let sent = self.ms();
        let answer = self.ask(n, "POST", "/v1/jobs".into(), body, 5000).await;
        let mut all = self.lock();
        match answer {
            Some(a) if matches!(a.status, 200 | 201) => {
                if let Ok(status) = wire::decode::<JobStatus>(&a.body) {
                    all.told(id, sent, status.state);
                }
                true
            }
            Some(a) if matches!(a.status, 400 | 422) => {
                let detail = format!("{id}: a job that can run got {} from n-{n}", a.status);
                all.breach("forgotten", detail);
                false
            }
            _ => false,
        }
    }

    /// Asks one controller to cancel a job; true once that is answered.
    pub(super) async fn cancel(&self, n: usize, id: &str) -> bool {
        {
            let mut all = self.lock();
            let now = self.ms();
            if let Some(job) = all.jobs.get_mut(id) {
                job.asked.get_or_insert(now);
            }
        }
        let sent = self.ms();
        let answer = self.ask(n, "POST", format!("/v1/jobs/{id}/withdraw"), Vec::new(), 5000).await;
        let mut all = self.lock();
        match answer {
            Some(a) if a.status == 200 => {
                match wire::decode::<JobStatus>(&a.body) {
                    Ok(status) if status.state.is_final() => all.told(id, sent, status.state),
                    _ => all.breach("malformed", format!("{id}: an answer to a cancellation")),
                }
                true
            }
            Some(a) if a.status == 404 => {
                all.told_unknown(id, sent);
                false
            }
            _ => false,
        }
    }

    pub(super) async fn cancel_for_good(&self, id: &str) {
        for _ in 0..60 {
            if self.cancel(self.choose(), id).await {
                self.note(|| format!("{id} is told final to whom cancels it"));
                self.look_closely(id).await;
                return;
            }
            sleep(Duration::from_millis(1000)).await;
        }
    }

    /// Asks all controllers within milliseconds, and repeats the submission.
    pub(super) async fn look_closely(&self, id: &str) {
        if self.ms() >= self.lock().close_looks_until {
            return;
        }
        let mut asked = Vec::new();
        for round in 0..3 {
            for n in 0..CONTROLLERS {
                let (site, id) = (self.clone(), id.to_owned());
                asked.push(tokio::spawn(async move {
                    if round == 1 {
                        site.submit(n, &id).await;
                    } else {
                        site.look(n, &id).await;
                    }
                }));
            }
            sleep(Duration::from_millis(6)).await;
        }
        for a in asked {
            let _ = a.await;
        }
    }

    /// One user and one job, from the submission to the last answer.
    pub(super) async fn user(&self, id: String, hasty: bool) {
        let since = self.ms();
        while !self.submit(self.choose(), &id).await {
            if self.ms() > since + 60_000 {
                return;
            }
            sleep(Duration::from_millis(1000)).await;
        }
        let (cancels, after) = {
            let mut all = self.lock();
            let service = kind_of(&id) == JobKind::Service;
            let after = match (hasty, service) {
                (true, _) => all.rng.random_range(0..1500),
                (_, true) => all.rng.random_range(15_000..45_000),
                _ => all.rng.random_range(500..14_000),
            };
            (service || all.rng.random_bool(if hasty { 0.25 } else { 0.12 }), after)
        };
        let close = self.ms() < self.lock().close_looks_until;
        if close && self.lock().rng.random_bool(0.3) {
            let (site, id) = (self.clone(), id.clone());
            tokio::spawn(async move { site.cancel_for_good(&id).await });
        }
        self.look_closely(&id).await;
        if cancels {
            let (site, id) = (self.clone(), id.clone());
            tokio::spawn(async move {
                sleep(Duration::from_millis(after)).await;
                site.cancel_for_good(&id).await;
            });
        }
        loop {
            let pause = self.lock().rng.random_range(4000..6000);
            sleep(Duration::from_millis(pause)).await;
            // Some ask again about what is over.
            let over = {
                let mut all = self.lock();
                all.jobs.get(&id).is_none_or(Job::is_final) && all.rng.random_bool(0.5)
            };
            if over {
                return;
            }
            self.look(self.choose(), &id).await;
        }
    }

    /// A request that makes little sense.
    pub(super) async fn odd_request(&self) {
        let (n, what, known) = {
            let mut all = self.lock();
            let known: Vec<String> =
                all.jobs.iter().filter(|(_, j)| j.accepted.is_some()).map(|j| j.0.clone()).collect();
            let known = (!known.is_empty()).then(|| known[all.rng.random_range(0..known.len())].clone());
            (all.rng.random_range(0..CONTROLLERS), all.rng.random_range(0..7), known)
        };
        if let Some(id) = known {
            match what {
                0 => {
                    self.submit(n, &id).await;
                    return;
                }
                1 if self.lock().jobs.get(&id).is_some_and(|j| j.done.is_some()) => {
                    self.cancel(n, &id).await;
                    return;
                }
                2 => return self.look(n, NOBODYS).await,
                _ => {}
            }
        }
        let mut job = {
            let mut all = self.lock();
            all.odd += 1;
            spec(ODD + all.odd)
        };
        let mut lacks = "";
        match what {
            3 => job.team = "nobody".into(),
            4 => job.cpus = 100.0,
            5 => (job.kind, job.cpus, job.tasks) = (JobKind::Gang, 2.0, 100),
            6 => job.zone = Some("nowhere".into()),
            _ => lacks = ["threads", "owner", "weave", "bundle", "one_zone"][(what as usize) % 5],
        }
        let mut body = serde_json::to_value(&job).expect("a job");
        if let Some(fields) = body.as_object_mut() {
            fields.remove(lacks);
        }
        let answer = self.ask(n, "POST", "/v1/jobs".into(), wire::encode(&body), 5000).await;
        if answer.is_some_and(|a| matches!(a.status, 200 | 201)) {
            self.lock().breach("took_odd", format!("{}: {what} {lacks}", job.id));
        }
    }

    /// That share of the jobs that end is called off at the moment of the end, and users
    /// look closely.
    pub(super) fn job_ends(&self, id: String) {
        let cancels = {
            let mut all = self.lock();
            let (share, until) = all.cancel_at_end;
            self.ms() < until && all.rng.random_bool(share)
        };
        let site = self.clone();
        tokio::spawn(async move {
            if cancels {
                let before = site.lock().rng.random_range(0..150);
                sleep(Duration::from_millis(before)).await;
                site.cancel_for_good(&id).await;
            } else {
                site.look_closely(&id).await;
            }
        });
    }
}

/// The state that an answer may still have after another.
pub(super) fn is_older(before: JobState, now: JobState) -> bool {
    before.is_final() && now != before
}
