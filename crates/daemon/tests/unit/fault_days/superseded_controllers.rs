//! A controller is cut off while the others write a new cluster map, and workers come to it that have seen
//! tokens of the new epoch.

use super::machines::{CANCEL_MS, HEARTBEAT_INTERVAL_MS};
use super::single_job::*;
use super::*;
use crate::worker::FencingToken;

/// A service whose replicas run until they are cancelled.
const SERVICE: u64 = 13;
/// Enough machines that each of two controllers owns some of them.
const MACHINES: u32 = 10;
/// All controllers are live by then.
const ELECTED_AT_MS: u64 = 5000;
/// Within this time the others have a cluster map without a controller that was cut off.
const NEW_MAP_WITHIN_MS: u64 = 7000;
/// How long a controller that knows of no later epoch renews leases after it was cut off.
const RENEWAL_BOUND_MS: u64 = CANCEL_MS - LEASE_MS - 3000;
/// Within this time the tasks of a cancelled job have been stopped.
const COMMANDED_MS: u64 = 5000;
/// All controllers have read what was last written by then.
const SETTLED_MS: u64 = 3000;
/// A little less than the time after which a machine without heartbeats is released.
const ALMOST_SILENT_MS: u64 = 5000;
/// A leader with older records releases no machines anyway.
const MAX_RECORDS_AGE_MS: u64 = 4000;
/// The prefix of the keys of machines' records.
const MACHINE_KEYS: &str = "sageloom/machines/";
/// Within this time every worker that comes to the cut-off controller has left it again.
const REDIRECTED_WITHIN_MS: u64 = 2 * HEARTBEAT_INTERVAL_MS;

/// When the machines come up whose workers come to the cut-off controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MachinesUp {
    /// Before the cut, so that it has their records.
    Before,
    /// During the cut, so that it has none of their records.
    During,
}

/// A service each of whose replicas needs a machine of its own in zone "a", which has two controllers.
fn service_on_several_machines() -> wire::JobSpec {
    wire::JobSpec {
        team: "t".into(),
        tasks: MACHINES,
        cpus: 4.0,
        types: Some(vec!["m".into()]),
        zone: Some("a".into()),
        spread: false,
        ..users::spec(SERVICE)
    }
}

impl Site {
    /// A controller in zone "a" that is not the leader.
    fn follower_in_zone_a(&self) -> usize {
        let leader = self.leader();
        (0..CONTROLLERS).find(|n| *n != leader && controllers::zone(*n) == "a").expect("a follower")
    }

    /// Delivers a machine's heartbeat, but such that it shows the epoch after the one that a controller knows.
    async fn show_later_epoch(&self, n: usize, heartbeat: Heartbeat) {
        let token = FencingToken::first_of_epoch(self.lock().epoch_known_to(n) + 1).get();
        self.send_heartbeat(n, &Heartbeat { fencing_token: token, ..heartbeat }).await;
    }

    async fn send_heartbeat(&self, n: usize, heartbeat: &Heartbeat) {
        let body = Bytes::from(wire::encode(heartbeat));
        let request = Request { method: "POST".into(), path: "/hello".into(), body };
        let from = Endpoint::Machine(heartbeat.machine.clone());
        self.exchange(from, Endpoint::Controller(n), request).await.expect("an answer");
    }

    /// Cuts a controller off from the key-value store and its peers for good, and waits until the others
    /// have written a cluster map without it. Returns when it was cut off.
    async fn cut_off_until_superseded(&self, n: usize) -> u64 {
        let partition = Partition::Controller { n, from_store: true, from_peers: true };
        let cut_at = self.ms();
        self.lock().partitions.push((partition, u64::MAX));
        let leader = self.leader();
        let has_new_map = |s: &Simulation| s.epoch_known_to(leader) > s.epoch_known_to(n);
        assert!(self.advance_until(cut_at + NEW_MAP_WITHIN_MS, has_new_map).await, "a new cluster map");
        cut_at
    }
}

impl Simulation {
    fn epoch_known_to(&self, n: usize) -> u64 {
        self.controllers[n].controller.as_ref().map_or(0, |controller| controller.state().epoch())
    }

    /// How many machines a controller owns by the newest cluster map that it knows.
    fn machines_owned_by(&self, n: usize) -> usize {
        let controller = self.controllers[n].controller.clone().expect("a controller runs");
        let state = controller.state();
        let map = state.cluster_map().expect("a cluster map");
        let owned =
            |id: &String, machine: &Machine| map.owner(id, &machine.zone) == Some(&controller.identity);
        self.machines.iter().filter(|(id, machine)| owned(id, machine)).count()
    }

    fn have_all_workers_seen_a_later_epoch_than(&self, n: usize) -> bool {
        let known = self.epoch_known_to(n);
        let mut existing = self.machines.values().filter(|machine| machine.gone_at.is_none());
        existing.all(|machine| machine.shown_epoch() > known)
    }

    /// A heartbeat of each machine, as it would be sent now.
    fn current_heartbeats(&mut self) -> Vec<Heartbeat> {
        let (now, defect) = (self.ms(), self.defect);
        let existing = self.machines.iter_mut().filter(|(_, machine)| machine.gone_at.is_none());
        existing.map(|(id, machine)| machine.heartbeat(id, now, defect)).collect()
    }

    fn existing(&mut self) -> impl Iterator<Item = &mut Machine> {
        self.machines.values_mut().filter(|machine| machine.gone_at.is_none())
    }
}

/// Guards against a controller that is cut off and answers 200 to a worker that has seen a later epoch:
/// the worker drops the answer and stays there until its lease has run out and its tasks are killed.
#[test]
fn a_controller_that_is_cut_off_redirects_workers_that_have_seen_a_later_epoch() {
    for machines_up in [MachinesUp::Before, MachinesUp::During] {
        on_empty_site(
            |simulation| {
                simulation.team_t_max_cpus = f64::from(MACHINES) * 4.0;
                simulation.cloud.capacity = MACHINES as usize;
            },
            async |site| {
                let context = format!("machines up {machines_up:?} the cut");
                site.advance(ELECTED_AT_MS).await;
                if machines_up == MachinesUp::Before {
                    site.run_job(service_on_several_machines()).await;
                }
                let cut_off = site.follower_in_zone_a();
                let cut_at = site.cut_off_until_superseded(cut_off).await;
                let leader = site.leader();
                site.lock().cloud.first_controller = Some(leader);
                if machines_up == MachinesUp::During {
                    site.run_job(service_on_several_machines()).await;
                }
                let owned = site.lock().machines_owned_by(cut_off);
                assert!(owned > 0, "{context}: by its cluster map, it owns some of the machines");
                site.lock().existing().for_each(|machine| machine.report_to(leader));
                let has_new_tokens = |s: &Simulation| s.have_all_workers_seen_a_later_epoch_than(cut_off);
                assert!(site.advance_until(site.ms() + LEASE_MS, has_new_tokens).await, "{context}");
                assert!(site.ms() < cut_at + RENEWAL_BOUND_MS, "{context}: it may still renew leases");
                site.lock().existing().for_each(|machine| machine.report_to(cut_off));
                site.lock().heartbeats_to_superseded = 0;
                let started = site.lock().started;
                site.advance(REDIRECTED_WITHIN_MS).await;
                let machines = site.lock().existing().count();
                let shown = site.lock().heartbeats_to_superseded;
                assert!(
                    machines > 0 && shown >= machines,
                    "{context}: {shown} heartbeats, {machines} machines"
                );
                site.advance(2 * LEASE_MS).await;
                let mut simulation = site.lock();
                assert_eq!(simulation.started, started, "{context}: no task has to start again");
                assert!(simulation.existing().all(|m| m.worker_incarnation() == 1), "{context}: leases held");
            },
        );
    }
}

/// Guards against a delayed copy of a released machine's heartbeat that is answered with a lower token.
#[test]
fn late_heartbeats_of_released_machines_are_not_answered_with_lower_tokens() {
    on_empty_site(
        |_| {},
        async |site| {
            let id = site.run_service(SERVICE).await;
            assert!(site.cancel(site.leader(), &id).await);
            site.advance(COMMANDED_MS).await;
            let heartbeats = site.lock().current_heartbeats();
            let first = FencingToken::first_of_epoch(site.lock().epoch_known_to(0)).get();
            assert!(heartbeats.iter().any(|heartbeat| heartbeat.fencing_token > first), "they were stopped");
            let is_released = |s: &Simulation| s.machines.values().all(|machine| machine.gone_at.is_some());
            assert!(site.advance_until(site.ms() + 4 * MAX_WAIT_MS, is_released).await, "released");
            let has_no_records =
                |s: &Simulation| s.store.records().all(|(key, _)| !key.starts_with(MACHINE_KEYS));
            assert!(site.advance_until(site.ms() + 4 * MAX_WAIT_MS, has_no_records).await, "no records");
            site.advance(SETTLED_MS).await;
            for n in 0..CONTROLLERS {
                for heartbeat in &heartbeats {
                    site.send_heartbeat(n, heartbeat).await;
                }
            }
        },
    );
}

/// Guards against a superseded leader that releases machines which its successor may use.
#[test]
fn a_superseded_leader_releases_no_machines() {
    for is_superseded in [false, true] {
        on_empty_site(
            |_| {},
            async |site| {
                site.run_service(SERVICE).await;
                let heartbeat = site.lock().current_heartbeats().pop().expect("a machine");
                let lost = heartbeat.machine.clone();
                site.lock().remove_machine(&lost);
                site.advance(ALMOST_SILENT_MS).await;
                // From now on the leader reads nothing that would show it the cluster map.
                site.lock().store.outage_until = u64::MAX;
                let leader = site.leader();
                if is_superseded {
                    site.show_later_epoch(leader, heartbeat).await;
                }
                let earlier_calls = site.lock().cloud.release_calls.len();
                site.advance(MAX_RECORDS_AGE_MS).await;
                let released = site.lock().cloud.release_calls.len() > earlier_calls;
                assert_eq!(released, !is_superseded, "{lost} is silent");
            },
        );
    }
}
