//! Requests that are carried out long after their sender has given up, and machines that are back before
//! anybody has missed them.

use super::machines::CANCEL_MS;
use super::single_job::*;
use super::*;
use sched::records::Assignment;

/// Services whose replicas run until they are cancelled.
const SERVICE: u64 = 13;
const OTHER_SERVICE: u64 = 23;
/// A start command is held up for longer than a cancellation may take.
const HOLD_MS: u64 = CANCEL_MS + 10_000;
/// Within this time, commands for a new job have been sent.
const SENT_WITHIN_MS: u64 = 8000;
/// How late the cloud carries out a call: minutes after its caller has given up.
const LATE_MS: u64 = 120_000;
/// How long the cloud is late.
const CLOUD_IS_LATE_MS: u64 = 20_000;
/// Longer than any machine stays idle, or unregistered after it came up.
const SETTLED_MS: u64 = 150_000;
const RESTARTS: [Restart; 3] = [Restart::None, Restart::Leader, Restart::All];

impl Simulation {
    /// The active tasks on machines that no record assigns to these machines.
    pub(super) fn unrecorded_tasks(&self) -> Vec<String> {
        let running = self.controllers.iter().find_map(|process| process.controller.clone());
        let controller = running.expect("a controller runs");
        let state = controller.state();
        let is_recorded = |machine: &str, task: &str| {
            let (job, number) = task.split_once('/').expect("a task");
            let assigned = state.records.replica.jobs.get(job).map(|job| &job.value.assignments);
            let is_this = |a: &Assignment| a.task.to_string() == number && &*a.machine == machine;
            assigned.is_some_and(|assigned| assigned.iter().any(is_this))
        };
        let existing = self.machines.iter().filter(|(_, machine)| machine.gone_at.is_none());
        let active = existing.flat_map(|(id, machine)| {
            let active = machine.tasks.iter().filter(|(_, task)| task.is_active());
            active.map(move |((task, _), _)| (id, task))
        });
        let unrecorded = active.filter(|(id, task)| !is_recorded(id, task));
        unrecorded.map(|(id, task)| format!("{task} on {id}")).collect()
    }

    fn active_machines(&self) -> Vec<String> {
        let is_active = |machine: &Machine| machine.tasks.values().any(machines::Task::is_active);
        self.machines.iter().filter(|(_, machine)| is_active(machine)).map(|(id, _)| id.clone()).collect()
    }

    fn existing_machine_count(&self) -> usize {
        self.machines.values().filter(|machine| machine.gone_at.is_none()).count()
    }
}

/// Guards against a start command that takes effect after the time in which its job had to end.
#[test]
fn a_start_command_that_is_held_up_does_not_run_after_its_job_was_cancelled() {
    for restart in RESTARTS {
        for (has_new_session, store_is_away) in [(false, false), (false, true), (true, false), (true, true)] {
            on_empty_site(
                |_| {},
                async |site| {
                    site.run_service(SERVICE).await;
                    site.lock().held_starts.until = site.ms() + HOLD_MS;
                    let id = site.submit_spec(users::spec(OTHER_SERVICE)).await;
                    let is_held =
                        site.advance_until(site.ms() + SENT_WITHIN_MS, |s| s.held_starts.count > 0).await;
                    assert!(is_held, "start commands are on their way");
                    let canceller = (site.leader() + 1) % CONTROLLERS;
                    assert!(site.cancel(canceller, &id).await, "the cancellation is confirmed");
                    let now = site.ms();
                    if store_is_away {
                        site.lock().store.outage_until = now + CANCEL_MS;
                    }
                    if has_new_session {
                        site.lock().machines.values_mut().for_each(|machine| machine.restart(now, true));
                    }
                    site.restart(restart).await;
                    site.advance(HOLD_MS + CANCEL_MS).await;
                    let violations = site.lock().violations.clone();
                    let context = format!("{restart:?}, {has_new_session}, {store_is_away}");
                    assert!(violations.is_empty(), "{context}: {violations:?}");
                    assert!(!site.lock().active_machines().is_empty(), "{context}: the other service runs");
                },
            );
        }
    }
}

/// Guards against machines that nobody knows of when the cloud grants a request after it was given up.
#[test]
fn machines_of_a_request_that_is_granted_late_are_used_or_released() {
    for restart in RESTARTS {
        on_empty_site(
            |_| {},
            async |site| {
                let late_until = site.ms() + CLOUD_IS_LATE_MS;
                site.lock().cloud.late_calls =
                    cloud::LateCalls { until: late_until, delay_ms: LATE_MS, count: 0 };
                let id = site.submit_spec(users::spec(SERVICE)).await;
                site.advance(CLOUD_IS_LATE_MS / 2).await;
                site.restart(restart).await;
                let is_served = site.advance_until(late_until + MAX_WAIT_MS, |s| s.is_served(&id)).await;
                assert_served(&site, is_served, &format!("{restart:?}"));
                assert!(site.lock().cloud.late_calls.count > 0, "requests were held up");
                let needed = site.lock().active_machines().len();
                site.advance(LATE_MS + SETTLED_MS).await;
                let simulation = site.lock();
                assert!(simulation.cloud.rented_count > needed, "{restart:?}: late requests were granted");
                assert_eq!(simulation.unrecorded_tasks(), Vec::<String>::new(), "{restart:?}");
                assert!(simulation.is_served(&id), "{restart:?}");
                // A spare machine of each kind may stay for the next job.
                assert!(simulation.existing_machine_count() <= needed + 2, "{restart:?}: they were released");
            },
        );
    }
}

/// Guards against tasks on machines whose release was given up and is carried out after all.
#[test]
fn tasks_run_elsewhere_when_a_machine_is_released_late() {
    for restart in RESTARTS {
        on_empty_site(
            |_| {},
            async |site| {
                let id = site.run_service(SERVICE).await;
                let late_until = site.ms() + LATE_MS;
                site.lock().cloud.late_calls =
                    cloud::LateCalls { until: late_until, delay_ms: CLOUD_IS_LATE_MS, count: 0 };
                assert!(site.cancel(site.leader(), &id).await);
                let is_late = site.advance_until(late_until, |s| s.cloud.late_calls.count > 0).await;
                assert!(is_late, "idle machines are released");
                // The machines are still there, and a new job could use them.
                let other = site.submit_spec(users::spec(OTHER_SERVICE)).await;
                site.restart(restart).await;
                site.lock().cloud.late_calls.until = 0;
                let is_served = site.advance_until(site.ms() + MAX_WAIT_MS, |s| s.is_served(&other)).await;
                assert_served(&site, is_served, &format!("{restart:?}"));
                site.advance(SETTLED_MS).await;
                assert_eq!(site.lock().unrecorded_tasks(), Vec::<String>::new(), "{restart:?}");
                let is_served = site.lock().is_served(&other);
                assert_served(&site, is_served, &format!("{restart:?}, settled"));
            },
        );
    }
}

/// Guards against tasks that count as running on a machine that has restarted, and against second ones.
#[test]
fn tasks_are_started_again_when_their_machine_is_back_within_a_second() {
    for restart in RESTARTS {
        for has_new_session in [false, true] {
            on_empty_site(
                |_| {},
                async |site| {
                    let id = site.run_service(SERVICE).await;
                    let now = site.ms();
                    site.lock()
                        .machines
                        .values_mut()
                        .for_each(|machine| machine.restart(now, has_new_session));
                    site.restart(restart).await;
                    let context = format!("{restart:?}, new session {has_new_session}");
                    let is_served = site.advance_until(now + MAX_WAIT_MS, |s| s.is_served(&id)).await;
                    assert_served(&site, is_served, &context);
                    assert_eq!(site.lock().unrecorded_tasks(), Vec::<String>::new(), "{context}");
                },
            );
        }
    }
}
