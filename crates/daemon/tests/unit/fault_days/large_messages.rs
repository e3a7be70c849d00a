//! Machines with so many tasks that what concerns all of them does not fit into one message.

use super::single_job::*;
use super::*;

/// The number of the array.
const ARRAY: u64 = 45;
/// The number of the service.
const SERVICE: u64 = 8;
/// Start commands for these do not fit into one message, nor do their statuses.
const TASKS: u32 = 2500;

/// An array of tasks of which one machine could hold all, but for the size of messages.
fn small_tasks(tasks: u32) -> wire::JobSpec {
    wire::JobSpec {
        tasks,
        cpus: 0.002,
        memory_gb: 0.001,
        types: Some(vec!["l".into()]),
        ..unconstrained_job(ARRAY)
    }
}

/// A service on the machines that the array will use.
fn service() -> wire::JobSpec {
    wire::JobSpec { cpus: 1.0, types: Some(vec!["l".into()]), ..unconstrained_job(SERVICE) }
}

impl Simulation {
    /// The worker sessions of all machines that are up.
    fn worker_sessions(&self) -> Vec<u64> {
        let up = self.machines.values().filter(|machine| machine.is_up(self.ms()));
        up.map(Machine::worker_incarnation).collect()
    }

    /// The most tasks that are on one machine, in any state.
    fn most_tasks_on_a_machine(&self) -> usize {
        self.machines.values().map(|machine| machine.tasks.len()).max().unwrap_or_default()
    }
}

/// Start commands beyond the size of a message were repeated unchanged without end, and the machine lost
/// its lease when its heartbeat was answered with them.
#[test]
fn an_array_whose_start_commands_exceed_a_message_completes_and_no_lease_expires() {
    for restart in [Restart::None, Restart::Leader, Restart::All] {
        on_empty_site(
            |_| {},
            async |site| {
                let service = site.run_job(service()).await;
                let id = site.submit_spec(small_tasks(TASKS)).await;
                let is_full = |s: &Simulation| s.most_tasks_on_a_machine() >= wire::MAX_TASKS_PER_MACHINE;
                assert!(site.advance_until(site.ms() + MAX_WAIT_MS, is_full).await, "a machine is full");
                site.restart(restart).await;
                let until = site.ms() + 2 * MAX_WAIT_MS;
                let is_completed = site.advance_until(until, |s| s.is_done(&id)).await;
                assert_served(&site, is_completed, &format!("restart of {restart:?}"));
                let simulation = site.lock();
                assert!(simulation.worker_sessions().iter().all(|session| *session == 1), "a lease expired");
                assert!(simulation.is_served(&service));
            },
        );
    }
}

/// Stops of cancelled tasks beyond the size of a message could neither be sent nor be part of the
/// response that renews the lease.
#[test]
fn all_tasks_of_a_cancelled_array_stop_although_their_stops_exceed_a_message() {
    for restart in [Restart::None, Restart::Leader, Restart::All] {
        on_empty_site(
            |_| {},
            async |site| {
                let service = site.run_job(service()).await;
                let id = site.submit_spec(small_tasks(TASKS)).await;
                let are_many = |s: &Simulation| s.active_tasks_of(&id) > wire::MAX_TASKS_PER_MACHINE;
                assert!(site.advance_until(site.ms() + MAX_WAIT_MS, are_many).await, "many tasks start");
                site.cancel_with_retries(&id).await;
                site.restart(restart).await;
                let until = site.ms() + machines::CANCEL_MS;
                let all_stopped = |s: &Simulation| s.active_tasks_of(&id) == 0;
                assert!(site.advance_until(until, all_stopped).await, "restart of {restart:?}");
                let simulation = site.lock();
                assert!(simulation.worker_sessions().iter().all(|session| *session == 1), "a lease expired");
                assert!(simulation.is_served(&service));
            },
        );
    }
}

/// A worker that refuses a message for its size (413) got the same message again without end.
#[test]
fn commands_that_a_worker_refuses_for_their_size_are_sent_in_smaller_messages() {
    const MAX_BYTES: usize = 4096;
    on_empty_site(
        |simulation| simulation.max_worker_message_bytes = MAX_BYTES,
        async |site| {
            let id = site.submit_spec(small_tasks(400)).await;
            let until = site.ms() + MAX_WAIT_MS;
            let is_completed = site.advance_until(until, |s| s.is_done(&id)).await;
            assert_served(&site, is_completed, "small messages");
        },
    );
}
