use super::*;
use crate::operators::OperatorSettings;
use crate::settings::Settings;
use crate::settings::tests::EXAMPLE;
use crate::worker::Worker;
use crate::worker::tests::{first_token, spec};
use sched::records::*;
use std::sync::Arc;
use wire::{Command, Heartbeat, JobKind};

const MACHINE: &str = "host-1";

/// One of three controllers that have each other as peers. It has not read any records.
fn controller(n: usize, incarnation: u64) -> Arc<Controller> {
    let mut text = EXAMPLE.replacen("n-0", &format!("n-{n}"), 1);
    for other in (0..3).filter(|o| *o != n) {
        text = text.replacen(
            "[external]",
            &format!(
                "[[peers]]\nnode_name = \"n-{other}\"\naddress = \"127.0.0.1:{}\"\n[external]",
                3 + other
            ),
            1,
        );
    }
    let settings = Settings::parse("example", &text).expect("valid");
    Controller::new(settings, OperatorSettings::default(), incarnation)
}

/// Lets a controller read the records up to revision 3: two jobs, each with a task on the machine
/// that `n-0` owns.
fn load_records(controller: &Arc<Controller>) {
    let mut state = controller.state();
    let live = vec![Member { name: "n-0".into(), zone: "a".into(), incarnation: 1 }];
    state.records.replica.apply(RecordChange::Map(Some(ClusterMap { epoch: 4, live })), 1);
    let machine = MachineRecord {
        addr: "a".into(),
        machine_type: "m".into(),
        zone: "a".into(),
        spot: false,
        release: false,
    };
    state.records.replica.apply(RecordChange::Machine(MACHINE.into(), Some(machine)), 2);
    for id in ["j-1", "j-2"] {
        let mut job = JobRecord::new(spec(id, JobKind::Service), None, 0);
        job.assignments =
            vec![Assignment { task: 0, attempt: 1, machine: MACHINE.into(), desired: DesiredState::Running }];
        state.records.replica.apply(RecordChange::Job(id.into(), Some(Box::new(job))), 3);
    }
    state.records.replica.revision = 3;
    state.records.is_loaded = true;
}

/// Changes a controller's replica as when it confirms a cancellation to a user.
fn confirm_cancellation(controller: &Arc<Controller>, id: &str, revision: u64) {
    let mut state = controller.state();
    let mut record = state.records.replica.jobs[id].value.clone();
    record.phase = Phase::Cancelled;
    record.compact_if_final();
    state.records.replica.apply(RecordChange::Job(id.into(), Some(record)), revision);
}

fn sent<'p>(peer: &'p str, request: &'p ReadIndexRequest, sent_at: Instant) -> SentRequest<'p> {
    SentRequest { peer, request, sent_at }
}

/// Exchanges one request and its answer between two controllers. Returns whether the answer is
/// complete.
fn exchange(requester: &Arc<Controller>, responder: &Arc<Controller>, at: Instant) -> bool {
    let mut state = requester.state();
    let Some(request) = request_if_needed(&state, 77, at) else { return false };
    let bytes = peer::encode_read_index(&own_read_index(responder, &responder.state(), &request));
    let index = peer::decode_read_index(&bytes).expect("an answer");
    apply_read_index(&mut state, sent(&responder.identity.name, &request, at), index, at)
        == ReadIndexOutcome::Complete
}

fn three_controllers() -> [Arc<Controller>; 3] {
    let all = [controller(0, 1), controller(1, 2), controller(2, 3)];
    all.iter().for_each(load_records);
    all
}

/// The key-value store refuses only the leader while another controller confirms a cancellation.
/// Then the store fails for all, and workers keep sending heartbeats to the leader. The leader must
/// not renew leases beyond the bound before it has received the cancellation; it then stops only the
/// cancelled task.
#[test]
fn cancellation_confirmed_while_the_store_refused_the_leader_reaches_it_in_the_outage() {
    let [leader, other, third] = three_controllers();
    let start = Instant::now();
    let bound = leader.settings.renewal_bound();
    leader.state().records.fresh_at = Some(start);
    let mut worker = Worker::new("a".into(), 4, start);
    let list = serde_json::json!([{"thread": "j-1/0", "try": 1, "status": "running"},
        {"thread": "j-2/0", "try": 1, "status": "running"}]);
    let report = serde_json::json!({"frame": MACHINE, "addr": "a", "shape": "m", "bay": "a", "loaner": false,
        "stint": 1, "tally": 1, "baton": first_token(4), "threads": list});
    worker.receive_heartbeat(wire::decode::<Heartbeat>(&wire::encode(&report)).expect("a report"), start);
    confirm_cancellation(&other, "j-1", 4);
    let after_bound = start + bound + Duration::from_secs(20);
    let renews = |at: Instant| leader.may_renew_leases(&leader.state(), at);
    assert!(renews(start + Duration::from_secs(2)) && !renews(after_bound), "no peer has been asked");
    assert!(exchange(&leader, &third, after_bound) && !renews(after_bound), "all peers have to answer");
    assert!(exchange(&leader, &other, after_bound) && renews(after_bound));
    let state = leader.state();
    let limits = leader.worker_limits(state.records.fresh_at);
    let plan = worker.reconcile(MACHINE, &state.records.replica, &limits, after_bound);
    let stop = Command::Stop { task: "j-1/0".into(), attempt: 1, grace_s: 0.0 };
    assert_eq!(
        (plan.commands, plan.terminations),
        (vec![stop], vec![]),
        "only the cancelled task is stopped"
    );
    // Its later writes are conditional on the version that it received.
    assert_eq!(state.records.replica.jobs["j-1"].version, 4);
}

/// In a long outage without cancellations, no lease is lost as long as all peers answer. Each answer
/// allows renewals for the bound from when it was requested.
#[test]
fn leases_are_renewed_through_a_long_outage_while_every_peer_answers() {
    let [leader, other, third] = three_controllers();
    let start = Instant::now();
    let bound = leader.settings.renewal_bound();
    leader.state().records.fresh_at = Some(start);
    for s in (2..600).step_by(2) {
        let now = start + Duration::from_secs(s);
        assert!(exchange(&leader, &other, now) && exchange(&leader, &third, now));
        assert!(leader.may_renew_leases(&leader.state(), now), "{s} s");
    }
    let last = start + Duration::from_secs(598);
    assert!(leader.may_renew_leases(&leader.state(), last + bound - Duration::from_millis(1)));
    assert!(!leader.may_renew_leases(&leader.state(), last + bound), "renewal ends without new answers");
    // With a recent linearizable read, no peer has to be asked.
    leader.state().records.fresh_at = Some(last);
    assert!(request_if_needed(&leader.state(), 1, last + Duration::from_secs(1)).is_none());
}

/// The response to a user was in flight when the peer answered: the cancellation is confirmed after
/// the request, so its time limit begins later than the answer counts from. The peer's next answer
/// contains it.
#[test]
fn confirmation_in_flight_when_a_peer_answers_comes_with_its_next_read_index() {
    let [leader, other, third] = three_controllers();
    let start = Instant::now();
    let bound = leader.settings.renewal_bound();
    leader.state().records.fresh_at = Some(start);
    let asked_at = start + Duration::from_secs(3);
    assert!(
        exchange(&leader, &other, asked_at) && exchange(&leader, &third, asked_at + Duration::from_secs(9))
    );
    confirm_cancellation(&other, "j-1", 4);
    assert!(!leader.may_renew_leases(&leader.state(), asked_at + bound), "the earliest answer counts");
    let phase = || leader.state().records.replica.jobs["j-1"].value.phase;
    assert_eq!(phase(), Phase::Active);
    assert!(exchange(&leader, &other, asked_at + bound));
    assert_eq!(phase(), Phase::Cancelled);
    // The leader also passes on what it has received from a peer and not read itself.
    assert!(exchange(&third, &leader, asked_at + bound));
    assert_eq!(third.state().records.replica.jobs["j-1"].value.phase, Phase::Cancelled);
}

/// A restarted process does not know what its predecessor confirmed.
#[test]
fn restarted_peer_is_inconclusive_until_the_last_read_covers_its_predecessor() {
    let [leader, _, third] = three_controllers();
    let start = Instant::now();
    let bound = leader.settings.renewal_bound();
    leader.state().records.fresh_at = Some(start);
    let after_bound = start + bound;
    assert!(exchange(&leader, &third, after_bound));
    // Restarted after the leader's last read: its predecessor may have confirmed more.
    let restarted = controller(1, 9);
    assert!(
        !exchange(&leader, &restarted, after_bound) && !leader.may_renew_leases(&leader.state(), after_bound)
    );
    // The same process, first heard from before the leader's last read: the read contains whatever
    // its predecessors confirmed, and the process itself has confirmed nothing.
    let at = after_bound + Duration::from_secs(1);
    leader.state().records.fresh_at = Some(at);
    let later = at + bound;
    assert!(exchange(&leader, &third, later));
    assert!(exchange(&leader, &restarted, later) && leader.may_renew_leases(&leader.state(), later));
    // A process that has read the records knows everything that its predecessors confirmed.
    let [.., reloaded] = [controller(1, 10), controller(1, 11)];
    super::tests::load_records(&reloaded);
    assert!(exchange(&leader, &reloaded, later));
}

/// Answers that do not show what the peer knows now must not allow renewals.
#[test]
fn duplicates_other_incarnations_later_epochs_and_partial_answers_are_inconclusive() {
    let [leader, other, third] = three_controllers();
    let start = Instant::now();
    leader.state().records.fresh_at = Some(start);
    let after_bound = start + leader.settings.renewal_bound();
    assert!(exchange(&leader, &third, after_bound));
    confirm_cancellation(&other, "j-1", 4);
    let mut state = leader.state();
    let request = request_if_needed(&state, 5, after_bound).expect("there is need");
    let complete = own_read_index(&other, &other.state(), &request);
    let undecodable = CancelledJob { record: vec![0xc1], ..complete.cancelled[0].clone() };
    let cases = [
        ReadIndex { nonce: 4, ..complete.clone() },
        ReadIndex { name: "n-2".into(), ..complete.clone() },
        ReadIndex { truncated: true, ..complete.clone() },
        ReadIndex { revision: 0, ..complete.clone() },
        ReadIndex { cancelled: vec![undecodable], ..complete.clone() },
    ];
    for (n, index) in cases.into_iter().enumerate() {
        let outcome = apply_read_index(&mut state, sent("n-1", &request, after_bound), index, after_bound);
        assert_ne!(outcome, ReadIndexOutcome::Complete, "case {n}");
        assert!(!leader.may_renew_leases(&state, after_bound), "case {n}");
    }
    assert_eq!(
        apply_read_index(&mut state, sent("n-1", &request, after_bound), complete.clone(), after_bound),
        ReadIndexOutcome::Complete
    );
    assert!(leader.may_renew_leases(&state, after_bound));
    let later_epoch = ReadIndex { epoch: 5, ..complete };
    let outcome = apply_read_index(&mut state, sent("n-1", &request, after_bound), later_epoch, after_bound);
    assert_ne!(outcome, ReadIndexOutcome::Complete, "a later epoch");
    assert!(!leader.may_renew_leases(&state, after_bound), "another controller may own the machines now");
    // An older version that the leader reads itself does not undo the cancellation.
    let old = JobRecord::new(spec("j-1", JobKind::Service), None, 0);
    state.records.replica.apply(RecordChange::Job("j-1".into(), Some(Box::new(old))), 3);
    assert_eq!(state.records.replica.jobs["j-1"].value.phase, Phase::Cancelled);
}

/// Adds cancelled jobs that still have a task on a machine: two for each revision from 10 on.
fn cancel_many(controller: &Arc<Controller>, jobs: u64) {
    let mut state = controller.state();
    for n in 0..jobs {
        let id = format!("j-{}", 1000 + (n * 7919) % jobs);
        let mut job = JobRecord::new(spec(&id, JobKind::Array), None, 0);
        job.phase = Phase::Cancelled;
        job.assignments =
            vec![Assignment { task: 0, attempt: 1, machine: MACHINE.into(), desired: DesiredState::Running }];
        state.records.replica.apply(RecordChange::Job(id, Some(Box::new(job))), 10 + n / 2);
    }
}

/// More jobs are cancelled than one answer holds, so the read index is requested in parts. It counts
/// only once the last part has arrived, and then as of the time at which the first was requested.
#[test]
fn cancellations_come_in_parts_when_one_answer_cannot_hold_them() {
    const JOBS: u64 = 4000;
    let [leader, other, third] = three_controllers();
    let start = Instant::now();
    leader.state().records.fresh_at = Some(start);
    cancel_many(&other, JOBS);
    let after_bound = start + leader.settings.renewal_bound();
    assert!(exchange(&leader, &third, after_bound));
    let mut state = leader.state();
    let mut request = request_if_needed(&state, 1, after_bound).expect("there is need");
    let mut parts = 0;
    loop {
        parts += 1;
        let index = own_read_index(&other, &other.state(), &request);
        assert!(peer::encode_read_index(&index).len() < MAX_MESSAGE_BYTES / 2, "part {parts}");
        match apply_read_index(
            &mut state,
            sent("n-1", &request, after_bound),
            index,
            after_bound + Duration::from_secs(parts),
        ) {
            ReadIndexOutcome::Partial { known_up_to: after } => {
                assert!(!leader.may_renew_leases(&state, after_bound), "part {parts} is not the last");
                request = ReadIndexRequest { nonce: parts, after };
            }
            outcome => {
                assert_eq!(outcome, ReadIndexOutcome::Complete);
                break;
            }
        }
    }
    assert!((2..20).contains(&parts), "{parts}");
    let known = state.records.replica.jobs.values().filter(|j| j.value.phase == Phase::Cancelled).count();
    assert_eq!(known as u64, JOBS);
    assert!(leader.may_renew_leases(&state, after_bound));
    assert_eq!(
        state.peers.read_indexes.complete_as_of("n-1"),
        Some(after_bound),
        "counts from the first request"
    );
    let none = own_read_index(&other, &other.state(), &ReadIndexRequest { nonce: 1, after: 10 + JOBS / 2 });
    assert!(!none.truncated && none.cancelled.is_empty());
}

/// A truncated answer that makes no progress must not lead to further requests.
#[test]
fn partial_answers_without_progress_are_inconclusive() {
    let [leader, other, _] = three_controllers();
    let start = Instant::now();
    leader.state().records.fresh_at = Some(start);
    cancel_many(&other, 10);
    let after_bound = start + leader.settings.renewal_bound();
    let mut state = leader.state();
    let request = request_if_needed(&state, 5, after_bound).expect("there is need");
    let complete = own_read_index(&other, &other.state(), &request);
    let empty = ReadIndex { cancelled: Vec::new(), truncated: true, ..complete.clone() };
    assert_eq!(
        apply_read_index(&mut state, sent("n-1", &request, after_bound), empty, after_bound),
        ReadIndexOutcome::Inconclusive
    );
    let next_request = ReadIndexRequest { nonce: 5, after: 14 };
    let without_progress = ReadIndex { truncated: true, ..complete };
    assert_eq!(
        apply_read_index(&mut state, sent("n-1", &next_request, after_bound), without_progress, after_bound),
        ReadIndexOutcome::Inconclusive
    );
}

/// Read indexes are requested over HTTP. A controller of the version in production answers 404.
#[tokio::test]
async fn read_indexes_are_served_over_their_own_path() {
    use net::Request;
    let [_, other, _] = three_controllers();
    confirm_cancellation(&other, "j-1", 4);
    let post = |path: &str, body: Vec<u8>| {
        let request = Request { method: "POST".into(), path: path.into(), body: body.into() };
        crate::peer_server::serve(other.clone(), request)
    };
    let request = peer::encode_read_index_request(&ReadIndexRequest { nonce: 8, after: 3 });
    let reply = post(PATH, request.clone()).await;
    let index = peer::decode_read_index(&reply.body).expect("an index");
    assert_eq!((reply.status, index.nonce, index.cancelled.len()), (200, 8, 1));
    assert_eq!(post(PATH, vec![1, 2, 3]).await.status, 400);
    assert_eq!(post("/read-index", request).await.status, 404, "answers of the old path cannot be continued");
}
