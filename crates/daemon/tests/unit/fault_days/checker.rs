//! The rules, by what is on the machines and by what users are told.

use std::collections::BTreeMap;

use wire::{JobKind, JobState};

use super::machines::{CANCEL_MS, Machine};
use super::users::{Job, NOBODYS, cpus_of, is_older};
use super::{All, LIMIT, LIMIT_U, cpus, job_of};

/// How long a job may go without an answered question, with and without troubles, and
/// how long it may wait for room that is there.
const UNANSWERED_MS: u64 = 90_000;
const UNANSWERED_CALM_MS: u64 = 75_000;
const WAITS_MS: u64 = 90_000;
/// A start command takes no longer than this where nothing is wrong.
const ON_ITS_WAY_MS: u64 = 3000;

impl All {
    pub(super) fn breach(&mut self, rule: &'static str, detail: String) {
        let at = self.ms();
        self.trace.push(format!("{at:>7} BROKEN {rule}: {detail}"));
        self.broken.entry(rule).or_insert_with(|| format!("at {at}: {detail}"));
    }

    /// Tasks that are on machines: the machine, and the task.
    fn on_machines(&self) -> impl Iterator<Item = (&String, &Machine, &String)> {
        let now = self.ms();
        self.machines
            .iter()
            .filter(move |(_, m)| m.holds_at(now))
            .flat_map(|(id, m)| m.tasks.iter().filter(|(_, t)| t.is_on()).map(move |((t, _), _)| (id, m, t)))
    }

    pub(super) fn check_start(&mut self, id: &str, task: &str) {
        self.started += 1;
        let (now, job_id) = (self.ms(), job_of(task).to_owned());
        let Some(m) = self.machines.get(id) else { return };
        let Some(job) = self.jobs.get(&job_id) else {
            return self.breach("invented", format!("{task} started on {id}"));
        };
        let mut found: Vec<(&'static str, String)> = Vec::new();
        let detail = format!("{task} on {id}");
        let twice = self.on_machines().find(|(o, _, t)| *t == task && *o != id);
        if let Some((other, ..)) = twice {
            found.push(("ran_twice", format!("{detail} while on {other}")));
        }
        let s = &job.spec;
        let forbidden = (m.spot && !s.spot)
            || s.types.as_ref().is_some_and(|t| !t.contains(&m.machine_type))
            || s.zone.as_ref().is_some_and(|z| *z != m.zone);
        let mates = |zone_is: bool| {
            let mate = |(_, o, t): &(&String, &Machine, &String)| {
                job_of(t) == job_id && (o.zone == m.zone) == zone_is
            };
            self.on_machines().filter(mate).count()
        };
        let crowded = s.spread && mates(true) > s.tasks.div_ceil(2) as usize;
        if forbidden || crowded || s.one_zone && mates(false) > 0 {
            found.push(("wrong_place", detail.clone()));
        }
        let unmet = |n: &String| !self.is_done(n);
        if s.dependencies.iter().flatten().any(unmet) {
            found.push(("too_early", detail.clone()));
        }
        if let Some(told) = job.cancelled {
            if now > told + CANCEL_MS {
                found.push(("ran_cancelled", format!("{detail} started {} ms after", now - told)));
            } else if now > told + ON_ITS_WAY_MS {
                // Commands may be held up while there are troubles: these are counted only.
                self.late_starts += 1;
                if now > self.troubled_until + CANCEL_MS {
                    found.push(("started_cancelled", format!("{detail} started {} ms after", now - told)));
                }
            }
        }
        for (rule, detail) in found {
            self.breach(rule, detail);
        }
    }

    pub(super) fn check_quota(&mut self) {
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        for (_, _, task) in self.on_machines() {
            let Some(job) = self.jobs.get(job_of(task)) else { continue };
            *used.entry(job.spec.team.as_str()).or_default() += cpus_of(task);
        }
        let beyond = |team: &str, limit: f64| used.get(team).is_some_and(|u| *u > limit + 1e-6);
        if beyond("t", LIMIT) || beyond("u", LIMIT_U) {
            let detail = format!("{used:?}");
            self.breach("quota", detail);
        }
    }

    /// No task of a cancelled job is left on a machine after a while.
    pub(super) fn check_cancelled(&mut self) {
        let now = self.ms();
        let told = |task: &String| self.jobs.get(job_of(task)).and_then(|j| j.cancelled);
        let left = self.on_machines().find(|(_, _, t)| told(t).is_some_and(|at| now > at + CANCEL_MS));
        if let Some((id, m, task)) = left {
            let hung = if now < m.hung_until { ", which hangs" } else { "" };
            let detail = format!("{task} on {id}{hung}, told at {:?}", told(task));
            self.breach("ran_cancelled", detail);
        }
    }

    pub(super) fn is_done(&self, job: &str) -> bool {
        let tasks = super::users::tasks_of(job);
        (0..tasks).all(|n| self.done.contains(&format!("{job}/{n}")))
    }

    pub(super) fn task_done(&mut self, task: &str) {
        let job = job_of(task).to_owned();
        if self.is_done(&job) {
            self.ended.push(job);
        }
    }

    /// Whether a job may be called cancelled: its user asked for it, or that of a job
    /// that it needs.
    fn may_be_cancelled(&self, id: &str) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        job.asked.is_some() || job.spec.dependencies.iter().flatten().any(|n| self.may_be_cancelled(n))
    }

    pub(super) fn told(&mut self, id: &str, sent: u64, state: JobState) {
        let now = self.ms();
        self.polls.push_back((now, true));
        if id == NOBODYS || !self.jobs.contains_key(id) {
            return self.breach("invented", id.to_owned());
        }
        if state == JobState::Done && !self.is_done(id) {
            self.breach("not_done", id.to_owned());
        }
        if state == JobState::Cancelled && !self.may_be_cancelled(id) {
            self.breach("went_back", format!("{id} is called cancelled, and nobody asked for it"));
        }
        let Some(job) = self.jobs.get_mut(id) else { return };
        let before = [(job.done, JobState::Done), (job.cancelled, JobState::Cancelled)];
        let older = before.iter().any(|(at, s)| at.is_some_and(|at| sent >= at) && is_older(*s, state));
        let both = (state == JobState::Cancelled && job.done.is_some())
            || (state == JobState::Done && job.cancelled.is_some());
        job.answered = now;
        job.accepted.get_or_insert(now);
        match state {
            JobState::Done => _ = job.done.get_or_insert(now),
            JobState::Cancelled => _ = job.cancelled.get_or_insert(now),
            _ => {}
        }
        if older || both {
            self.breach("went_back", format!("{id} is called {state:?} after {before:?}, asked at {sent}"));
        }
    }

    pub(super) fn told_unknown(&mut self, id: &str, sent: u64) {
        let now = self.ms();
        self.polls.push_back((now, true));
        let accepted = self.jobs.get(id).and_then(|j| j.accepted);
        if let Some(at) = accepted.filter(|at| sent >= *at) {
            self.breach("forgotten", format!("{id}: 404, accepted at {at}, asked at {sent}"));
        }
    }

    pub(super) fn not_told(&mut self, id: &str) {
        let now = self.ms();
        self.polls.push_back((now, false));
        while self.polls.front().is_some_and(|(t, _)| *t + UNANSWERED_MS < now) {
            self.polls.pop_front();
        }
        let answered = self.polls.iter().filter(|p| p.1).count();
        let silent = |j: &Job| j.accepted.is_some() && now > j.answered + UNANSWERED_MS;
        if answered * 2 > self.polls.len() && self.jobs.get(id).is_some_and(silent) {
            self.breach("forgotten", format!("{id}: no question answered for 90 s"));
        }
    }

    /// Once all troubles are over: each question is answered in time, and nothing waits
    /// for room that is there.
    pub(super) fn check_calm(&mut self) {
        let now = self.ms();
        let calm = self.calm_at;
        let mut used: BTreeMap<String, f64> = BTreeMap::new();
        let mut begun: BTreeMap<String, u32> = BTreeMap::new();
        for (_, _, task) in self.on_machines() {
            let Some(job) = self.jobs.get(job_of(task)) else { continue };
            *used.entry(job.spec.team.clone()).or_default() += cpus_of(task);
            *begun.entry(job.spec.id.clone()).or_default() += 1;
        }
        let mut found: Vec<(&'static str, String)> = Vec::new();
        let mut waits: Vec<(String, bool)> = Vec::new();
        for (id, job) in &self.jobs {
            if job.accepted.is_none() || job.is_final() {
                continue;
            }
            if now > job.answered.max(calm) + UNANSWERED_CALM_MS {
                found.push(("forgotten", format!("{id}: no question answered for 75 s, troubles are over")));
            }
            // What is cancelled, or cancelled with another, waits for nothing.
            let open = !self.may_be_cancelled(id) && !self.is_done(id) && !begun.contains_key(id);
            let ready = job.spec.dependencies.iter().flatten().all(|n| self.is_done(n));
            waits.push((id.clone(), open && ready && self.has_room(job, &used)));
        }
        for (id, waits) in waits {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            match (waits, job.waits) {
                (false, _) => job.waits = None,
                (true, None) => job.waits = Some(now),
                (true, Some(since)) if now > since + WAITS_MS => {
                    found.push(("waited", format!("{id} waits since {since} though there is room")));
                }
                _ => {}
            }
        }
        // Those that need a cancelled job are called cancelled: seen once they are asked.
        for (id, job) in &self.jobs {
            let told = |n: &String| self.jobs.get(n).and_then(|j| j.cancelled);
            let since = job.spec.dependencies.iter().flatten().filter_map(told).max();
            let known = since.max(job.accepted).map(|s| s.max(calm));
            if since.is_some()
                && job.accepted.is_some()
                && !job.is_final()
                && known.is_some_and(|k| now > k + CANCEL_MS)
            {
                found.push(("orphaned", id.clone()));
            }
        }
        for (rule, detail) in found {
            self.breach(rule, detail);
        }
    }

    /// Whether machines that fit have room for a task of the job, for all of a gang's,
    /// and its team is under its limit.
    fn has_room(&self, job: &Job, used: &BTreeMap<String, f64>) -> bool {
        let now = self.ms();
        let s = &job.spec;
        let limit = if s.team == "t" { LIMIT } else { LIMIT_U };
        let least = if s.kind == JobKind::Gang { s.tasks } else { 1 };
        let free = limit - used.get(&s.team).copied().unwrap_or_default();
        if free + 1e-6 < f64::from(least) * s.cpus {
            return false;
        }
        let fits = |m: &&Machine| {
            m.is_up(now)
                && now >= m.hung_until
                && m.notice_until.is_none()
                && (s.spot || !m.spot)
                && s.types.as_ref().is_none_or(|t| t.contains(&m.machine_type))
                && s.zone.as_ref().is_none_or(|z| *z == m.zone)
        };
        let places = |zone: Option<&str>| {
            let there = self.machines.values().filter(fits).filter(|m| zone.is_none_or(|z| m.zone == z));
            there
                .map(|m| ((cpus(&m.machine_type) - m.used() + 1e-6) / s.cpus).floor().max(0.0) as u32)
                .sum::<u32>()
        };
        if s.one_zone { ["a", "b"].iter().any(|z| places(Some(z)) >= least) } else { places(None) >= least }
    }
}
