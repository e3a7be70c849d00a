//! One attempt of a gang: its tasks wait for each other, run, save and end together.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wire::ExitReason;

#[derive(Debug, Clone, Copy)]
pub struct GangRules {
    /// How long a task waits for the others before it exits.
    pub start_timeout: Duration,
    /// Longest time in which tasks detect that another one is lost, hangs or was not stopped.
    pub peer_timeout: Duration,
}

/// The state of a task of a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GangTaskState {
    Waiting,
    Running,
    Saving,
    /// The exit reason, and whether progress was saved if the task was stopped.
    Ended(ExitReason, Option<bool>),
}

#[derive(Debug)]
struct Member {
    speed: f64,
    joined_at: Instant,
    started: bool,
    /// When the task was commanded to stop.
    stop_received: Option<Instant>,
    /// When the other tasks detect that this task's machine hangs; None: it does not hang.
    hang_detected_at: Option<Instant>,
    end: Option<(ExitReason, Option<bool>)>,
}

/// One attempt of a gang. `saved` and `done` are copied to the job, which outlives the attempt.
#[derive(Debug)]
pub struct Gang {
    rules: GangRules,
    size: usize,
    run_s: f64,
    checkpoint_s: f64,
    save_duration: Duration,
    members: BTreeMap<u32, Member>,
    /// In seconds of work at speed 1.
    progress: f64,
    last_poll: Instant,
    first_stop_at: Option<Instant>,
    /// When the other tasks detect that one is lost.
    loss_detected_at: Option<Instant>,
    /// Saved progress, from which the next attempt continues.
    pub saved: f64,
    pub done: bool,
}

impl Gang {
    /// `run_s`: the total work, in seconds at speed 1; `saved`: the part that earlier attempts did.
    pub fn new(
        rules: GangRules,
        size: usize,
        run_s: f64,
        checkpoint_s: f64,
        save_duration: Duration,
        saved: f64,
        now: Instant,
    ) -> Self {
        let (members, progress) = (BTreeMap::new(), saved);
        let (first_stop_at, loss_detected_at, done) = (None, None, false);
        Self {
            rules,
            size,
            run_s,
            checkpoint_s,
            save_duration,
            members,
            progress,
            last_poll: now,
            first_stop_at,
            loss_detected_at,
            saved,
            done,
        }
    }

    /// Adds a task that has its image and waits for the others.
    pub fn join(&mut self, task: u32, speed: f64, now: Instant) {
        if self.members.is_empty() {
            // All earlier tasks of this attempt have ended: unsaved progress is lost.
            (self.progress, self.first_stop_at, self.loss_detected_at) = (self.saved, None, None);
        }
        let member = Member {
            speed,
            joined_at: now,
            started: false,
            stop_received: None,
            hang_detected_at: None,
            end: None,
        };
        self.members.insert(task, member);
        self.poll(now);
    }

    /// Removes a task that ended outside the gang's own rules, such as by the loss of its machine.
    /// The others detect the loss after `detection_delay`, or after `peer_timeout` if that is
    /// shorter.
    pub fn lose_task(&mut self, task: u32, detection_delay: Duration, now: Instant) {
        self.poll(now);
        if let Some(member) = self.members.remove(&task)
            && member.started
            && member.end.is_none()
        {
            let at = now + detection_delay.min(self.rules.peer_timeout);
            self.loss_detected_at = Some(self.loss_detected_at.map_or(at, |l| l.min(at)));
        }
    }

    /// Marks a task's machine as hung, which the others detect after `detection_delay`; with None,
    /// the machine works again.
    pub fn set_hung(&mut self, task: u32, detection_delay: Option<Duration>, now: Instant) {
        self.poll(now);
        if let Some(member) = self.members.get_mut(&task) {
            member.hang_detected_at = detection_delay.map(|n| now + n.min(self.rules.peer_timeout));
        }
    }

    /// Stops a task, with `grace` as the time it has to save. Returns false if it ends at once.
    pub fn stop(&mut self, task: u32, grace: Duration, detection_delay: Duration, now: Instant) -> bool {
        self.poll(now);
        let can_save = self.checkpoint_s > 0.0 && grace >= self.save_duration;
        match self.members.get_mut(&task) {
            Some(m) if m.started && m.end.is_none() && can_save => {
                m.stop_received.get_or_insert(now);
                self.first_stop_at.get_or_insert(now);
                self.poll(now);
                true
            }
            // A task that is saving is interrupted only by a stop without grace time.
            Some(m) if m.stop_received.is_some() && m.end.is_none() && !grace.is_zero() => true,
            _ => {
                self.lose_task(task, detection_delay, now);
                false
            }
        }
    }

    pub fn task_state(&self, task: u32) -> Option<GangTaskState> {
        let m = self.members.get(&task)?;
        Some(match (m.end, m.started, m.stop_received) {
            (Some((cause, saved)), ..) => GangTaskState::Ended(cause, saved),
            (None, false, _) => GangTaskState::Waiting,
            (None, true, None) => GangTaskState::Running,
            (None, true, Some(_)) => GangTaskState::Saving,
        })
    }

    /// Removes a task whose end its machine has recorded.
    pub fn remove_task(&mut self, task: u32) {
        self.members.remove(&task);
    }

    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    fn running(&mut self) -> impl Iterator<Item = &mut Member> {
        self.members.values_mut().filter(|m| m.started && m.end.is_none())
    }

    /// Advances the gang to `now`.
    pub fn poll(&mut self, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.last_poll).as_secs_f64();
        self.last_poll = self.last_poll.max(now);
        if self.running().next().is_some() {
            self.advance(elapsed_s, now);
        } else {
            self.start_if_complete(now);
        }
        let start_timeout = self.rules.start_timeout;
        for m in self.members.values_mut().filter(|m| !m.started && m.end.is_none()) {
            if now >= m.joined_at + start_timeout {
                m.end = Some((ExitReason::GangIncomplete, None));
            }
        }
    }

    fn start_if_complete(&mut self, now: Instant) {
        let start_timeout = self.rules.start_timeout;
        let is_waiting = |m: &Member| !m.started && m.end.is_none() && now < m.joined_at + start_timeout;
        if self.members.values().filter(|m| is_waiting(m)).count() == self.size {
            for m in self.members.values_mut().filter(|m| m.end.is_none()) {
                m.started = true;
            }
            (self.progress, self.first_stop_at, self.loss_detected_at) = (self.saved, None, None);
        }
    }

    fn advance(&mut self, elapsed_s: f64, now: Instant) {
        let hang_detected_at = self.running().filter_map(|m| m.hang_detected_at).min();
        if self.first_stop_at.is_none() && hang_detected_at.is_none() && self.loss_detected_at.is_none() {
            let speed = self.running().map(|m| m.speed).fold(f64::INFINITY, f64::min);
            self.progress += elapsed_s * speed;
            if self.checkpoint_s > 0.0 {
                let checkpointed =
                    (self.progress.min(self.run_s) / self.checkpoint_s).floor() * self.checkpoint_s;
                self.saved = self.saved.max(checkpointed);
            }
            if self.progress >= self.run_s {
                self.done = true;
                return self.running().for_each(|m| m.end = Some((ExitReason::Done, None)));
            }
        }
        if self.loss_detected_at.into_iter().chain(hang_detected_at).any(|at| at <= now) {
            return self.end_without_saving();
        }
        let Some(first) = self.first_stop_at else { return };
        if self.loss_detected_at.is_some() || hang_detected_at.is_some() {
            return;
        }
        let stop_received: Vec<Option<Instant>> = self.running().map(|m| m.stop_received).collect();
        match stop_received.iter().copied().collect::<Option<Vec<_>>>() {
            Some(all) if all.iter().max().is_some_and(|last| now >= *last + self.save_duration) => {
                self.saved = self.progress;
                self.running().for_each(|m| m.end = Some((ExitReason::Stopped, Some(true))));
            }
            None if now >= first + self.rules.peer_timeout => self.end_without_saving(),
            _ => {}
        }
    }

    /// Ends all running tasks; progress since the last save is lost.
    fn end_without_saving(&mut self) {
        self.running().for_each(|m| {
            m.end = Some(match m.stop_received {
                Some(_) => (ExitReason::Stopped, Some(false)),
                None => (ExitReason::PeersGone, None),
            });
        });
    }
}
