//! Compares what the records want of a worker with what it reports.

use std::time::{Duration, Instant};

use sched::hash::{HashMap, HashSet};
use sched::records::{Phase, TerminationReason};
use sched::replica::Replica;
use wire::{Command, ExitReason, JobState, TaskState, TaskStatus};

use super::{Key, Limits, Worker};
use crate::controller::MEMBER_TTL;

const STOP_AGAIN: Duration = Duration::from_secs(2);
/// How old the copy of the records may be by which tasks are launched: what it shows may
/// have been cancelled since, by a controller that reaches the state service while this one
/// does not. After that long others may have this one's machines.
const LAUNCH_FRESH: Duration = MEMBER_TTL;
const STRAY_AFTER: Duration = Duration::from_millis(1500);
/// How soon a worker is compared with the records again while something is
/// open, and when nothing is.
const LOOK_SOON: Duration = Duration::from_millis(300);
const LOOK_ANYWAY: Duration = Duration::from_secs(2);

#[derive(Debug, Default, PartialEq)]
pub struct Plan {
    pub ends: Vec<(Key, TerminationReason)>,
    pub commands: Vec<Command>,
    /// The worker has to be shown a newer token before anything is proven.
    pub poke: bool,
}

impl Worker {
    /// Compares what the records want with what the worker reports.
    pub fn reconcile(&mut self, machine: &str, world: &Replica, limits: &Limits, now: Instant) -> Plan {
        let mut plan = Plan::default();
        self.look_at = Some(now + LOOK_ANYWAY);
        if self.session == 0 {
            return plan;
        }
        let lease_over = self.lease_over(limits, now);
        let fresh = limits.fresh_at.is_some_and(|f| now.saturating_duration_since(f) < LAUNCH_FRESH);
        let mut withheld = false;
        let mut wanted: HashMap<(&str, u32), u64> = HashMap::default();
        let (mut stops, mut launches) = (Vec::new(), Vec::new());
        let mut keys = HashSet::default();
        for (id, job, a) in world.assignments(machine) {
            let key: Key = (id.to_owned(), a.task, a.attempt);
            wanted.insert((id, a.task), a.attempt);
            let name = format!("{id}/{}", a.task);
            let report = self.tasks.iter().find(|t| t.attempt == a.attempt && t.task == name);
            let run = job.should_run(a);
            if lease_over {
                plan.ends.push((key.clone(), TerminationReason::Lost));
                keys.insert(key);
                continue;
            }
            match report {
                Some(t) if t.state == TaskState::Exited && !self.trusted => plan.poke = true,
                Some(t) if t.state == TaskState::Exited => {
                    plan.ends.push((key.clone(), end_of(t.cause)));
                }
                Some(t) if !run => {
                    let save = job.spec.as_ref().map_or(0.0, |s| s.checkpoint_save_s);
                    let last = self.stops.get(&key).copied();
                    let kill = job.phase != Phase::Active;
                    let patience = wire::seconds(save.min(600.0)) + limits.gang_peer + STOP_AGAIN;
                    if last.is_none_or(|l| now.saturating_duration_since(l) >= STOP_AGAIN) {
                        let first = last.is_none();
                        let late = last.is_some_and(|l| now.saturating_duration_since(l) > patience);
                        let grace_s = if kill || late { 0.0 } else { save };
                        if first || kill || late || t.state != TaskState::Saving {
                            stops.push(Command::Stop { task: name, attempt: a.attempt, grace_s });
                            if first {
                                self.stops.insert(key.clone(), now);
                            }
                        }
                    }
                }
                Some(_) => {}
                // An end that was proven once may be written at any moment: what it
                // is the end of must never start after all.
                None if run && !self.present.contains(&key) && !self.ended.contains_key(&key) => {
                    match fresh {
                        true => launches.push(Command::Start { task: name, attempt: a.attempt }),
                        false => withheld = true,
                    }
                }
                // Seen before and gone now: a new session.
                None => {
                    if self.absence_proves() {
                        plan.ends.push((key.clone(), TerminationReason::Lost));
                    } else {
                        plan.poke = true;
                    }
                }
            }
            keys.insert(key);
        }
        for (key, end) in &plan.ends {
            if !self.ended.contains_key(key) {
                let job = key.0.clone();
                self.note_end(&job, *end);
            }
        }
        self.ended.retain(|k, _| keys.contains(k));
        self.present.retain(|k| keys.contains(k));
        self.stops.retain(|k, _| keys.contains(k));
        let mut clears = Vec::new();
        let mut strays = HashMap::default();
        for t in &self.tasks {
            let known = t.parts().is_some_and(|(j, n)| wanted.get(&(j, n)) == Some(&t.attempt));
            if known {
                continue;
            }
            // No record wants this. Before it is stopped or cleared, the copy of
            // the records has to be newer than the first sight of it.
            let key = (t.task.clone(), t.attempt);
            let since = self.strays.get(&key).copied().unwrap_or(now);
            strays.insert(key, since);
            let replaced = t.parts().is_some_and(|(j, n)| wanted.contains_key(&(j, n)));
            if limits.fresh_at.is_none_or(|f| f <= since) {
                continue;
            }
            if t.state == TaskState::Exited {
                if replaced || now.saturating_duration_since(since) >= STRAY_AFTER {
                    clears.push(Command::Forget { task: t.task.clone(), attempt: t.attempt });
                }
            } else if now.saturating_duration_since(since) >= STRAY_AFTER {
                stops.push(Command::Stop { task: t.task.clone(), attempt: t.attempt, grace_s: 0.0 });
            }
        }
        self.strays = strays;
        plan.commands = clears;
        plan.commands.extend(stops);
        plan.commands.extend(launches);
        let open = !plan.ends.is_empty() || !plan.commands.is_empty() || plan.poke || withheld;
        if open || !self.strays.is_empty() || !self.stops.is_empty() {
            self.look_at = Some(now + LOOK_SOON);
        }
        plan
    }

    pub(super) fn note_end(&mut self, job: &str, end: TerminationReason) {
        match end {
            TerminationReason::Done => {
                self.errors = 0;
                self.error_jobs.clear();
            }
            TerminationReason::Error => {
                self.errors += 1;
                self.error_jobs.insert(job.to_owned());
            }
            TerminationReason::Stopped
            | TerminationReason::Rejected
            | TerminationReason::Lost
            | TerminationReason::GangIncomplete => {}
        }
    }

    /// What every answer has to say that renews the worker's lease.
    pub fn final_stops(&self, world: &Replica) -> Vec<Command> {
        final_stops(&self.tasks, world)
    }

    /// The commands that go with the answer to a report: launches and stops.
    /// Clears never do, as they need a token above every launch.
    pub fn answer(&mut self, machine: &str, world: &Replica, limits: &Limits, now: Instant) -> Vec<Command> {
        let stops = self.final_stops(world);
        if self.in_flight.is_some() || !self.due(now) {
            return stops;
        }
        let rest = self.reconcile(machine, world, limits, now).commands;
        let mut commands = stops;
        commands.extend(rest.into_iter().filter(|c| !commands.contains(c)).collect::<Vec<_>>());
        commands.retain(|c| !matches!(c, Command::Forget { .. }));
        if commands.iter().any(is_launch) {
            self.offered = Some(self.token);
        }
        // The ends that it found are for the next round.
        self.look_again();
        commands
    }
}

/// Stops for the tasks of cancelled jobs. Whoever renews a worker's lease sends them with
/// the same answer, or does not renew it: a task that went on after its cancellation would
/// else be kept alive by one answer after the other, while the requests that are to stop
/// it are lost, or one of them is not answered yet.
pub fn final_stops(tasks: &[TaskStatus], world: &Replica) -> Vec<Command> {
    let cancelled = |t: &&TaskStatus| {
        let state = t.parts().and_then(|(job, _)| world.state_of(job));
        t.state != TaskState::Exited && state == Some(JobState::Cancelled)
    };
    let stop = |t: &TaskStatus| Command::Stop { task: t.task.clone(), attempt: t.attempt, grace_s: 0.0 };
    tasks.iter().filter(cancelled).map(stop).collect()
}

pub(super) fn is_launch(command: &Command) -> bool {
    matches!(command, Command::Start { .. })
}

fn end_of(cause: Option<ExitReason>) -> TerminationReason {
    match cause {
        Some(ExitReason::Done) => TerminationReason::Done,
        Some(ExitReason::Error) => TerminationReason::Error,
        Some(ExitReason::GangIncomplete) => TerminationReason::GangIncomplete,
        _ if refused(cause) => TerminationReason::Rejected,
        _ => TerminationReason::Stopped,
    }
}

/// Whether an exit was a refusal, after which the machine is left alone a while.
fn refused(cause: Option<ExitReason>) -> bool {
    matches!(cause, Some(ExitReason::NoCapacity | ExitReason::Busy | ExitReason::Unknown))
}
