//! Controllers that do not know the newest cluster map, and what shows them that there is one.

use peer::{PeerStatus, ReadIndex, ReadIndexRequest, RunningTasks, RunningTasksRequest};

use super::*;
use crate::api::machine_registration::{NewMachine, next_batch, record_machines};
use crate::drains::running_tasks;
use crate::peer_status::receive_status;
use crate::prober::record_status;
use crate::read_index::{SentRequest, apply_read_index};
use crate::settings::Peer;
use crate::worker::FencingToken;

/// What shows a controller that there is a later cluster map.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// A heartbeat of a machine that is on record.
    Heartbeat,
    /// A heartbeat of a machine without a record.
    HeartbeatWithoutRecord,
    /// A heartbeat that a peer has relayed.
    RelayedHeartbeat,
    /// The response to commands: 409 and the worker's status.
    RejectedCommands,
    /// The status that a worker was asked for.
    ProbedStatus,
    /// The status of a peer that was restarted, as this controller does not know.
    StatusOfRestartedPeer,
    /// The read index of a peer.
    ReadIndex,
    /// Termination proofs of a peer.
    TerminationProofs,
    /// A peer's request for the tasks that run, also while drains are disabled.
    RunningTasksRequest,
    /// A peer's answer about the tasks that run.
    RunningTasks,
}

const ALL_EVIDENCE: [Evidence; 10] = [
    Evidence::Heartbeat,
    Evidence::HeartbeatWithoutRecord,
    Evidence::RelayedHeartbeat,
    Evidence::RejectedCommands,
    Evidence::ProbedStatus,
    Evidence::StatusOfRestartedPeer,
    Evidence::ReadIndex,
    Evidence::TerminationProofs,
    Evidence::RunningTasksRequest,
    Evidence::RunningTasks,
];

/// A controller, which owns two machines: a task runs on the first, and one is assigned to the second
/// whose start command has not been sent.
fn cluster_with_task_to_start() -> (FakeCluster, FakeWorker, FakeWorker) {
    let mut cluster = FakeCluster::new(1, &[("host-1", "a"), ("host-2", "a")]);
    let mut first = FakeWorker::new("host-1", "a", cluster.now);
    let mut second = FakeWorker::new("host-2", "a", cluster.now);
    cluster.assign(spec("j-1", JobKind::Array), &[(0, 1, "host-1")]);
    cluster.catch_up(0);
    for worker in [&mut first, &mut second] {
        cluster.exchange_heartbeat(0, worker);
        cluster.exchange_heartbeat(0, worker);
    }
    assert!(first.is_running("j-1/0"));
    cluster.assign(spec("j-2", JobKind::Array), &[(0, 1, "host-2")]);
    cluster.catch_up(0);
    (cluster, first, second)
}

impl FakeCluster {
    /// Shows a controller the next epoch.
    fn show(&mut self, evidence: Evidence, worker: &mut FakeWorker) {
        self.advance(0.1);
        let epoch = self.epoch + 1;
        let (controller, now) = (self.controllers[0].clone(), self.now);
        let token = FencingToken::first_of_epoch(epoch).get();
        let heartbeat = Heartbeat { fencing_token: token, ..worker.heartbeat() };
        let receive = |heartbeat: &Heartbeat, route| {
            let outcome = process_heartbeat(&controller, heartbeat, route, now);
            assert_eq!(outcome, HeartbeatOutcome::Redirect(None), "{evidence:?}");
        };
        match evidence {
            Evidence::Heartbeat => receive(&heartbeat, HeartbeatRoute::Direct),
            Evidence::HeartbeatWithoutRecord => {
                receive(&Heartbeat { machine: "host-9".into(), ..heartbeat }, HeartbeatRoute::Direct)
            }
            Evidence::RelayedHeartbeat => receive(&heartbeat, HeartbeatRoute::Relayed),
            Evidence::RejectedCommands => {
                let token = worker.fencing_token.into();
                let outcome = CommandsOutcome::Answered(heartbeat);
                scheduler::record_outcome(&mut controller.state(), worker.id, token, outcome, now);
            }
            Evidence::ProbedStatus => {
                record_status(&mut controller.state(), worker.id, Some(heartbeat), now);
            }
            Evidence::StatusOfRestartedPeer => {
                let status = PeerStatus {
                    name: "n-1".into(),
                    incarnation: 2002,
                    sequence: 1,
                    epoch,
                    store_silent_ms: 0,
                    machines: Vec::new(),
                };
                receive_status(&controller, status);
            }
            Evidence::ReadIndex => {
                let request = ReadIndexRequest { nonce: 1, after: 0 };
                let index = ReadIndex {
                    nonce: 1,
                    name: "n-1".into(),
                    incarnation: 2002,
                    epoch,
                    revision: 1,
                    cancelled: Vec::new(),
                    truncated: false,
                };
                let sent = SentRequest { peer: "n-1", request: &request, sent_at: now };
                apply_read_index(&mut controller.state(), sent, index, now);
            }
            Evidence::TerminationProofs => controller.accept_forwarded_proofs(epoch, Vec::new(), now),
            Evidence::RunningTasksRequest => {
                let request = RunningTasksRequest { nonce: 1, epoch, jobs: Vec::new() };
                running_tasks::serve(&controller, &peer::encode_running_tasks_request(&request), now);
            }
            Evidence::RunningTasks => {
                let request = RunningTasksRequest { nonce: 1, epoch: self.epoch, jobs: Vec::new() };
                let answer = RunningTasks {
                    nonce: 1,
                    name: "n-1".into(),
                    incarnation: 2002,
                    epoch,
                    tasks_by_job: Vec::new(),
                };
                running_tasks::record_answer(&mut controller.state(), "n-1", &request, answer, now, now);
            }
        }
    }
}

/// Guards against a controller that goes on renewing leases and sending commands although a worker or
/// a peer has shown it that there is a later cluster map.
#[test]
fn a_controller_that_was_shown_a_later_epoch_neither_renews_leases_nor_sends_commands() {
    for evidence in ALL_EVIDENCE {
        let (mut cluster, mut first, mut second) = cluster_with_task_to_start();
        cluster.know_peer("n-1", 1001);
        cluster.show(evidence, &mut first);
        cluster.advance(0.1);
        assert_eq!(cluster.receive_heartbeat(0, &second.heartbeat()), None, "{evidence:?}: no renewal");
        assert!(cluster.run_cycle(0).is_empty(), "{evidence:?}: no commands");
        cluster.publish_map(&[0]);
        cluster.catch_up(0);
        cluster.exchange_heartbeat(0, &mut second);
        cluster.run_cycle_and_deliver(0, &mut [&mut second]);
        assert!(second.is_running("j-2/0"), "{evidence:?}: it acts under the new cluster map");
    }
}

/// Guards against a controller that redirects workers by an outdated cluster map, to a controller that may
/// have ended, or that relays their heartbeats there.
#[test]
fn a_superseded_controller_names_no_owner() {
    let cluster = FakeCluster::new(2, &[("host-1", "a")]);
    let mut worker = FakeWorker::new("host-1", "a", cluster.now);
    let other = 1 - first_machine_owner(&cluster);
    let controller = cluster.controllers[other].clone();
    let now = cluster.now;
    let mut outcome = |token: FencingToken| {
        let heartbeat = Heartbeat { fencing_token: token.get(), ..worker.heartbeat() };
        process_heartbeat(&controller, &heartbeat, HeartbeatRoute::Direct, now)
    };
    let owner = cluster.controllers[1 - other].identity.name.clone();
    let known = FencingToken::first_of_epoch(cluster.epoch);
    assert_eq!(outcome(known), HeartbeatOutcome::Redirect(Some(owner.clone())));
    assert_eq!(outcome(known), HeartbeatOutcome::Relay(owner), "it has come back");
    assert_eq!(outcome(FencingToken::first_of_epoch(cluster.epoch + 1)), HeartbeatOutcome::Redirect(None));
    assert_eq!(outcome(known), HeartbeatOutcome::Redirect(None));
}

/// Guards against one worker with a corrupted token that keeps a controller from acting for good.
#[test]
fn a_controller_acts_again_once_a_read_shows_no_later_cluster_map() {
    for evidence in ALL_EVIDENCE.into_iter().filter(|e| *e != Evidence::StatusOfRestartedPeer) {
        let (mut cluster, mut first, mut second) = cluster_with_task_to_start();
        cluster.show(evidence, &mut first);
        cluster.advance(0.1);
        cluster.catch_up(0);
        cluster.exchange_heartbeat(0, &mut second);
        cluster.run_cycle_and_deliver(0, &mut [&mut second]);
        assert!(second.is_running("j-2/0"), "{evidence:?}");
    }
}

fn unrecorded_machine() -> NewMachine {
    let record = MachineRecord {
        addr: "host-9".into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        release: false,
    };
    ("host-9".into(), record)
}

/// Guards against a controller that completes a registration although it was shown a later epoch after
/// it had begun.
#[tokio::test]
async fn a_registration_is_given_up_once_a_later_epoch_was_shown() {
    for is_superseded in [false, true] {
        let (mut cluster, mut first, _) = cluster_with_task_to_start();
        let controller = cluster.controllers[0].clone();
        controller.state().machines.unrecorded.extend([unrecorded_machine()]);
        let batch = next_batch(&controller);
        assert_eq!(batch.len(), 1);
        if is_superseded {
            cluster.show(Evidence::Heartbeat, &mut first);
        }
        record_machines(&controller, batch).await;
        let changes = controller.load.take_changes();
        assert_eq!(changes.contains("machines 1"), !is_superseded, "{changes}");
    }
}

/// Guards against a superseded controller that records machines which their present owner records, or
/// that acts as the leader.
#[test]
fn a_superseded_controller_registers_no_machines_and_does_not_lead() {
    for is_superseded in [false, true] {
        let (mut cluster, mut first, _) = cluster_with_task_to_start();
        let controller = cluster.controllers[0].clone();
        controller.state().machines.unrecorded.extend([unrecorded_machine()]);
        if is_superseded {
            cluster.show(Evidence::Heartbeat, &mut first);
        }
        assert_eq!(next_batch(&controller).len(), usize::from(!is_superseded));
        let may_lead = controller.state().may_act_as_leader(&controller.identity);
        assert_eq!(may_lead, !is_superseded);
    }
}

impl FakeCluster {
    /// The first controller knows a peer by its settings and by the records.
    fn know_peer(&mut self, name: &str, incarnation: u64) {
        let member = Member { name: name.into(), zone: "a".into(), incarnation };
        self.write(vec![KeyWrite::new(key::member(name), &member)]);
        self.catch_up(0);
        let controller = Arc::get_mut(&mut self.controllers[0]).expect("not shared");
        controller.settings.peers = vec![Peer { node_name: name.into(), address: "127.0.0.1:1".into() }];
    }
}
