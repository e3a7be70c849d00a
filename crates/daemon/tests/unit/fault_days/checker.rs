//! The rules for the tasks on the machines and for the answers that users receive.

use std::collections::BTreeMap;

use net::Reply;
use wire::{Heartbeat, HeartbeatResponse, JobKind, JobState};

use super::machines::{CANCEL_MS, Machine};
use super::users::{Job, UNKNOWN_JOB, is_reverted};
use super::{Simulation, TEAM_U_MAX_CPUS, job_of};

/// The longest time that queries of a job may remain unanswered while there are faults.
const MAX_UNANSWERED_MS: u64 = 90_000;
/// The same after all faults have ended.
const MAX_UNANSWERED_SETTLED_MS: u64 = 75_000;
/// The longest time that a job may wait although there is capacity for it.
const MAX_WAIT_MS: u64 = 90_000;
/// The longest delivery time of a start command without faults.
const MAX_START_COMMAND_MS: u64 = 3000;

impl Simulation {
    pub(super) fn record_violation(&mut self, rule: &'static str, detail: String) {
        let at = self.ms();
        self.trace.push(format!("{at:>7} VIOLATED {rule}: {detail}"));
        self.violations.entry(rule).or_insert_with(|| format!("at {at}: {detail}"));
    }

    /// The active tasks on machines: machine id, machine, task.
    fn active_tasks(&self) -> impl Iterator<Item = (&String, &Machine, &String)> {
        let now = self.ms();
        self.machines.iter().filter(move |(_, machine)| machine.retains_tasks_at(now)).flat_map(
            |(id, machine)| {
                machine.tasks.iter().filter(|(_, t)| t.is_active()).map(move |((t, _), _)| (id, machine, t))
            },
        )
    }

    pub(super) fn check_start(&mut self, id: &str, task: &str) {
        self.started += 1;
        let (now, job_id) = (self.ms(), job_of(task).to_owned());
        let Some(machine) = self.machines.get(id) else { return };
        let Some(job) = self.jobs.get(&job_id) else {
            return self.record_violation("unknown_job", format!("{task} started on {id}"));
        };
        let mut violations: Vec<(&'static str, String)> = Vec::new();
        let detail = format!("{task} on {id}");
        let duplicate = self.active_tasks().find(|(o, _, t)| *t == task && *o != id);
        if let Some((other, ..)) = duplicate {
            violations.push(("ran_twice", format!("{detail} while on {other}")));
        }
        let spec = &job.spec;
        let is_forbidden = (machine.spot && !spec.spot)
            || spec.types.as_ref().is_some_and(|t| !t.contains(&machine.machine_type))
            || spec.zone.as_ref().is_some_and(|z| *z != machine.zone);
        let peer_count = |in_same_zone: bool| {
            let is_peer = |(_, o, t): &(&String, &Machine, &String)| {
                job_of(t) == job_id && (o.zone == machine.zone) == in_same_zone
            };
            self.active_tasks().filter(is_peer).count()
        };
        let exceeds_spread = spec.spread && peer_count(true) > spec.tasks.div_ceil(2) as usize;
        if is_forbidden || exceeds_spread || spec.one_zone && peer_count(false) > 0 {
            violations.push(("invalid_placement", detail.clone()));
        }
        let is_unfinished = |n: &String| !self.is_done(n);
        if spec.dependencies.iter().flatten().any(is_unfinished) {
            violations.push(("started_before_dependencies", detail.clone()));
        }
        if let Some(cancelled_at) = job.cancelled_at {
            if now > cancelled_at + CANCEL_MS {
                violations
                    .push(("ran_cancelled", format!("{detail} started {} ms after", now - cancelled_at)));
            } else if now > cancelled_at + MAX_START_COMMAND_MS {
                // Faults may delay commands, so these starts are only counted.
                self.late_starts += 1;
                if now > self.faults_until + CANCEL_MS {
                    violations.push((
                        "started_cancelled",
                        format!("{detail} started {} ms after", now - cancelled_at),
                    ));
                }
            }
        }
        for (rule, detail) in violations {
            self.record_violation(rule, detail);
        }
    }

    /// Checks that a controller which is not entitled to act answers a heartbeat with 421 or 503. A
    /// higher token in the heartbeat shows that it is not.
    pub(super) fn check_heartbeat_reply(&mut self, n: usize, heartbeat: &Heartbeat, reply: &Reply) {
        let response = wire::decode::<HeartbeatResponse>(&reply.body).ok().filter(|_| reply.status == 200);
        let Some(token) = response.map(|response| response.fencing_token) else { return };
        if token < heartbeat.fencing_token {
            let Heartbeat { machine, fencing_token, .. } = heartbeat;
            let detail = format!("n-{n} answers {machine}, which shows {fencing_token}, with {token}");
            self.record_violation("unentitled_renewal", detail);
        }
    }

    pub(super) fn check_quota(&mut self) {
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        for (_, _, task) in self.active_tasks() {
            let Some(job) = self.jobs.get(job_of(task)) else { continue };
            *used.entry(job.spec.team.as_str()).or_default() += job.spec.cpus;
        }
        let exceeds = |team: &str, limit: f64| used.get(team).is_some_and(|u| *u > limit + 1e-6);
        if exceeds("t", self.team_t_max_cpus) || exceeds("u", TEAM_U_MAX_CPUS) {
            let detail = format!("{used:?}");
            self.record_violation("quota", detail);
        }
    }

    /// Checks that no task of a cancelled job remains on a machine after `CANCEL_MS`.
    pub(super) fn check_cancelled(&mut self) {
        let now = self.ms();
        let cancelled_at = |task: &String| self.jobs.get(job_of(task)).and_then(|j| j.cancelled_at);
        let remaining =
            self.active_tasks().find(|(_, _, t)| cancelled_at(t).is_some_and(|at| now > at + CANCEL_MS));
        if let Some((id, machine, task)) = remaining {
            let hung = if now < machine.hung_until { " (machine hangs)" } else { "" };
            let detail = format!("{task} on {id}{hung}, cancellation confirmed at {:?}", cancelled_at(task));
            self.record_violation("ran_cancelled", detail);
        }
    }

    pub(super) fn is_done(&self, job: &str) -> bool {
        let tasks = self.tasks_of(job);
        (0..tasks).all(|n| self.done_tasks.contains(&format!("{job}/{n}")))
    }

    pub(super) fn task_done(&mut self, task: &str) {
        let job = job_of(task).to_owned();
        if self.is_done(&job) {
            self.ended_jobs.push(job);
        }
    }

    /// Whether a job may be reported as cancelled: its user requested the cancellation, or
    /// the user of one of its dependencies did, directly or through further dependencies.
    fn may_be_cancelled(&self, id: &str) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        job.cancel_requested_at.is_some()
            || job.spec.dependencies.iter().flatten().any(|n| self.may_be_cancelled(n))
    }

    pub(super) fn record_answer(&mut self, id: &str, sent_at: u64, state: JobState) {
        let now = self.ms();
        self.recent_queries.push_back((now, true));
        if id == UNKNOWN_JOB || !self.jobs.contains_key(id) {
            return self.record_violation("unknown_job", id.to_owned());
        }
        if state == JobState::Done && !self.is_done(id) {
            self.record_violation("reported_done_early", id.to_owned());
        }
        if state == JobState::Cancelled && !self.may_be_cancelled(id) {
            self.record_violation(
                "state_reverted",
                format!("{id} is reported as cancelled, but no cancellation was requested"),
            );
        }
        let Some(job) = self.jobs.get_mut(id) else { return };
        let reported = [(job.done_at, JobState::Done), (job.cancelled_at, JobState::Cancelled)];
        let reverted =
            reported.iter().any(|(at, s)| at.is_some_and(|at| sent_at >= at) && is_reverted(*s, state));
        let contradictory = (state == JobState::Cancelled && job.done_at.is_some())
            || (state == JobState::Done && job.cancelled_at.is_some());
        job.answered_at = now;
        job.accepted_at.get_or_insert(now);
        match state {
            JobState::Done => _ = job.done_at.get_or_insert(now),
            JobState::Cancelled => _ = job.cancelled_at.get_or_insert(now),
            _ => {}
        }
        if reverted || contradictory {
            self.record_violation(
                "state_reverted",
                format!("{id} is reported as {state:?} after {reported:?}, query sent at {sent_at}"),
            );
        }
    }

    pub(super) fn record_not_found(&mut self, id: &str, sent_at: u64) {
        let now = self.ms();
        self.recent_queries.push_back((now, true));
        let accepted = self.jobs.get(id).and_then(|j| j.accepted_at);
        if let Some(at) = accepted.filter(|at| sent_at >= *at) {
            self.record_violation(
                "job_lost",
                format!("{id}: 404, accepted at {at}, query sent at {sent_at}"),
            );
        }
    }

    pub(super) fn record_unanswered(&mut self, id: &str) {
        let now = self.ms();
        self.recent_queries.push_back((now, false));
        while self.recent_queries.front().is_some_and(|(t, _)| *t + MAX_UNANSWERED_MS < now) {
            self.recent_queries.pop_front();
        }
        let answered = self.recent_queries.iter().filter(|p| p.1).count();
        let is_unanswered = |j: &Job| j.accepted_at.is_some() && now > j.answered_at + MAX_UNANSWERED_MS;
        if answered * 2 > self.recent_queries.len() && self.jobs.get(id).is_some_and(is_unanswered) {
            self.record_violation("job_lost", format!("{id}: no query answered for 90 s"));
        }
    }

    /// Checks after all faults have ended: queries are answered in time, no job waits while
    /// there is capacity for it, and dependents of cancelled jobs are cancelled.
    pub(super) fn check_after_faults(&mut self) {
        let now = self.ms();
        let settled_at = self.settled_at;
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        let mut active_counts: BTreeMap<String, u32> = BTreeMap::new();
        for (_, _, task) in self.active_tasks() {
            let Some(job) = self.jobs.get(job_of(task)) else { continue };
            *used.entry(job.spec.team.clone()).or_default() += job.spec.cpus;
            *active_counts.entry(job.spec.id.clone()).or_default() += 1;
        }
        let mut violations: Vec<(&'static str, String)> = Vec::new();
        let mut waiting: Vec<(String, bool)> = Vec::new();
        for (id, job) in &self.jobs {
            if job.accepted_at.is_none() || job.is_final() {
                continue;
            }
            if now > job.answered_at.max(settled_at) + MAX_UNANSWERED_SETTLED_MS {
                violations.push((
                    "job_lost",
                    format!("{id}: no query answered for 75 s after the end of the faults"),
                ));
            }
            // A job that is cancelled, directly or with a dependency, is not waiting.
            let open = !self.may_be_cancelled(id) && !self.is_done(id) && !active_counts.contains_key(id);
            let ready = job.spec.dependencies.iter().flatten().all(|n| self.is_done(n));
            waiting.push((id.clone(), open && ready && self.has_capacity(job, &used)));
        }
        for (id, waiting) in waiting {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            match (waiting, job.waiting_since) {
                (false, _) => job.waiting_since = None,
                (true, None) => job.waiting_since = Some(now),
                (true, Some(since)) if now > since + MAX_WAIT_MS => {
                    violations.push((
                        "waited_despite_capacity",
                        format!("{id} waits since {since} although there is capacity"),
                    ));
                }
                _ => {}
            }
        }
        // Dependents of a cancelled job must be reported as cancelled; users learn of it
        // with their next query.
        for (id, job) in &self.jobs {
            let cancelled_at = |n: &String| self.jobs.get(n).and_then(|j| j.cancelled_at);
            let since = job.spec.dependencies.iter().flatten().filter_map(cancelled_at).max();
            let due_since = since.max(job.accepted_at).map(|s| s.max(settled_at));
            if since.is_some()
                && job.accepted_at.is_some()
                && !job.is_final()
                && due_since.is_some_and(|due| now > due + CANCEL_MS)
            {
                violations.push(("dependent_not_cancelled", id.clone()));
            }
        }
        for (rule, detail) in violations {
            self.record_violation(rule, detail);
        }
    }

    /// Whether suitable machines have capacity for one task of the job, or for all tasks of
    /// a gang, within the limit of its team.
    fn has_capacity(&self, job: &Job, used: &BTreeMap<String, f64>) -> bool {
        let now = self.ms();
        let spec = &job.spec;
        let limit = if spec.team == "t" { self.team_t_max_cpus } else { TEAM_U_MAX_CPUS };
        let min_tasks = if spec.kind == JobKind::Gang { spec.tasks } else { 1 };
        let free_cpus = limit - used.get(&spec.team).copied().unwrap_or_default();
        if free_cpus + 1e-6 < f64::from(min_tasks) * spec.cpus {
            return false;
        }
        let is_suitable = |machine: &&Machine| {
            machine.is_up(now)
                && now >= machine.hung_until
                && machine.notice_until.is_none()
                && (spec.spot || !machine.spot)
                && spec.types.as_ref().is_none_or(|t| t.contains(&machine.machine_type))
                && spec.zone.as_ref().is_none_or(|z| *z == machine.zone)
        };
        let slots = |zone: Option<&str>| {
            let suitable = self
                .machines
                .values()
                .filter(is_suitable)
                .filter(|machine| zone.is_none_or(|z| machine.zone == z));
            suitable
                .map(|machine| {
                    ((self.cloud.cpus_of(&machine.machine_type) - machine.used_cpus() + 1e-6) / spec.cpus)
                        .floor()
                        .max(0.0) as u32
                })
                .sum::<u32>()
        };
        if spec.one_zone {
            ["a", "b"].iter().any(|z| slots(Some(z)) >= min_tasks)
        } else {
            slots(None) >= min_tasks
        }
    }
}
