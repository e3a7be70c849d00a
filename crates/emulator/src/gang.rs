//! One attempt of a gang: its tasks gather, run, save and end together.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wire::ExitReason;

#[derive(Debug, Clone, Copy)]
pub struct GangRules {
    pub wait: Duration,
    pub peer: Duration,
}

/// What a task of a gang is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    Gathering,
    Running,
    Saving,
    /// The cause, and whether its progress was saved.
    Ended(ExitReason, Option<bool>),
}

#[derive(Debug)]
struct Member {
    speed: f64,
    joined: Instant,
    started: bool,
    /// When it was told to stop.
    told: Option<Instant>,
    /// Its machine hangs, and from when on the others know.
    hung: Option<Instant>,
    end: Option<(ExitReason, Option<bool>)>,
}

/// The attempt. `saved` and `done` outlive it.
#[derive(Debug)]
pub struct Gang {
    rules: GangRules,
    size: usize,
    run_s: f64,
    checkpoint_s: f64,
    save: Duration,
    members: BTreeMap<u32, Member>,
    progress: f64,
    at: Instant,
    first_stop: Option<Instant>,
    /// When the others notice that one is gone.
    loss: Option<Instant>,
    /// Progress that the next attempt continues from.
    pub saved: f64,
    pub done: bool,
}

impl Gang {
    /// `run_s`: the work, in seconds at speed 1; `saved` of it is done already.
    pub fn new(
        rules: GangRules,
        size: usize,
        run_s: f64,
        checkpoint_s: f64,
        save: Duration,
        saved: f64,
        now: Instant,
    ) -> Self {
        let (members, progress) = (BTreeMap::new(), saved);
        let (first_stop, loss, done) = (None, None, false);
        Self {
            rules,
            size,
            run_s,
            checkpoint_s,
            save,
            members,
            progress,
            at: now,
            first_stop,
            loss,
            saved,
            done,
        }
    }

    /// A task has its image and waits for the others.
    pub fn join(&mut self, task: u32, speed: f64, now: Instant) {
        if self.members.is_empty() {
            // What was left of the same attempt is over.
            (self.progress, self.first_stop, self.loss) = (self.saved, None, None);
        }
        let member = Member { speed, joined: now, started: false, told: None, hung: None, end: None };
        self.members.insert(task, member);
        self.poll(now);
    }

    /// A task is gone without having ended by the gang's own rules. The others notice
    /// after `notice`, at most the time that the settings give.
    pub fn gone(&mut self, task: u32, notice: Duration, now: Instant) {
        self.poll(now);
        if let Some(member) = self.members.remove(&task)
            && member.started
            && member.end.is_none()
        {
            let at = now + notice.min(self.rules.peer);
            self.loss = Some(self.loss.map_or(at, |l| l.min(at)));
        }
    }

    /// A task's machine hangs, which the others notice after `notice`; None: it goes on.
    pub fn hang(&mut self, task: u32, notice: Option<Duration>, now: Instant) {
        self.poll(now);
        if let Some(member) = self.members.get_mut(&task) {
            member.hung = notice.map(|n| now + n.min(self.rules.peer));
        }
    }

    /// A task is told to stop, with so much time to save. False if it ends at once.
    pub fn stop(&mut self, task: u32, grace: Duration, notice: Duration, now: Instant) -> bool {
        self.poll(now);
        let saves = self.checkpoint_s > 0.0 && grace >= self.save;
        match self.members.get_mut(&task) {
            Some(m) if m.started && m.end.is_none() && saves => {
                m.told.get_or_insert(now);
                self.first_stop.get_or_insert(now);
                self.poll(now);
                true
            }
            // One that is saving is ended by a stop without time only.
            Some(m) if m.told.is_some() && m.end.is_none() && !grace.is_zero() => true,
            _ => {
                self.gone(task, notice, now);
                false
            }
        }
    }

    pub fn part(&self, task: u32) -> Option<Part> {
        let m = self.members.get(&task)?;
        Some(match (m.end, m.started, m.told) {
            (Some((cause, saved)), ..) => Part::Ended(cause, saved),
            (None, false, _) => Part::Gathering,
            (None, true, None) => Part::Running,
            (None, true, Some(_)) => Part::Saving,
        })
    }

    /// A task has taken note of its end.
    pub fn leave(&mut self, task: u32) {
        self.members.remove(&task);
    }

    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn running(&mut self) -> impl Iterator<Item = &mut Member> {
        self.members.values_mut().filter(|m| m.started && m.end.is_none())
    }

    /// Lets time pass.
    pub fn poll(&mut self, now: Instant) {
        let dt = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        if self.running().next().is_some() {
            self.go_on(dt, now);
        } else {
            self.gather(now);
        }
        let wait = self.rules.wait;
        for m in self.members.values_mut().filter(|m| !m.started && m.end.is_none()) {
            if now >= m.joined + wait {
                m.end = Some((ExitReason::GangIncomplete, None));
            }
        }
    }

    fn gather(&mut self, now: Instant) {
        let wait = self.rules.wait;
        let waits = |m: &Member| !m.started && m.end.is_none() && now < m.joined + wait;
        if self.members.values().filter(|m| waits(m)).count() == self.size {
            for m in self.members.values_mut().filter(|m| m.end.is_none()) {
                m.started = true;
            }
            (self.progress, self.first_stop, self.loss) = (self.saved, None, None);
        }
    }

    fn go_on(&mut self, dt: f64, now: Instant) {
        let hung = self.running().filter_map(|m| m.hung).min();
        if self.first_stop.is_none() && hung.is_none() && self.loss.is_none() {
            let speed = self.running().map(|m| m.speed).fold(f64::INFINITY, f64::min);
            self.progress += dt * speed;
            if self.checkpoint_s > 0.0 {
                let kept = (self.progress.min(self.run_s) / self.checkpoint_s).floor() * self.checkpoint_s;
                self.saved = self.saved.max(kept);
            }
            if self.progress >= self.run_s {
                self.done = true;
                return self.running().for_each(|m| m.end = Some((ExitReason::Done, None)));
            }
        }
        if self.loss.into_iter().chain(hung).any(|at| at <= now) {
            return self.fall_back();
        }
        let Some(first) = self.first_stop else { return };
        if self.loss.is_some() || hung.is_some() {
            return;
        }
        let told: Vec<Option<Instant>> = self.running().map(|m| m.told).collect();
        match told.iter().copied().collect::<Option<Vec<_>>>() {
            Some(all) if all.iter().max().is_some_and(|last| now >= *last + self.save) => {
                self.saved = self.progress;
                self.running().for_each(|m| m.end = Some((ExitReason::Stopped, Some(true))));
            }
            None if now >= first + self.rules.peer => self.fall_back(),
            _ => {}
        }
    }

    /// Everybody ends; what is not saved is lost.
    fn fall_back(&mut self) {
        self.running().for_each(|m| {
            m.end = Some(match m.told {
                Some(_) => (ExitReason::Stopped, Some(false)),
                None => (ExitReason::PeersGone, None),
            });
        });
    }
}
