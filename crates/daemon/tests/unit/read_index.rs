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

/// One of three controllers, which all know a job with a task on the machine, up to
/// revision 3. The first one owns it.
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

fn read(controller: &Arc<Controller>) {
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

/// What a controller does when it confirms a cancellation to a user.
fn confirm(controller: &Arc<Controller>, id: &str, revision: u64) {
    let mut state = controller.state();
    let mut record = state.records.replica.jobs[id].value.clone();
    record.phase = Phase::Cancelled;
    record.compact_if_final();
    state.records.replica.apply(RecordChange::Job(id.into(), Some(record)), revision);
}

fn sent<'p>(peer: &'p str, request: &'p ReadIndexRequest, sent_at: Instant) -> SentRequest<'p> {
    SentRequest { peer, request, sent_at }
}

/// One request and its answer between two controllers; whether the answer is complete.
fn exchange(asker: &Arc<Controller>, of: &Arc<Controller>, at: Instant) -> bool {
    let mut state = asker.state();
    let Some(asked) = request_if_needed(&state, 77, at) else { return false };
    let bytes = peer::encode_read_index(&own_read_index(of, &of.state(), &asked));
    let index = peer::decode_read_index(&bytes).expect("an answer");
    apply_read_index(&mut state, sent(&of.identity.name, &asked, at), index, at) == ReadIndexOutcome::Complete
}

fn three() -> [Arc<Controller>; 3] {
    let all = [controller(0, 1), controller(1, 2), controller(2, 3)];
    all.iter().for_each(read);
    all
}

/// The state service refuses the leader alone; another controller confirms a
/// cancellation; then it is out for all, and workers go on reporting to the leader. Before
/// leases are renewed beyond the bound, the leader has learnt of the cancellation and
/// stops its task; everything else goes on.
#[test]
fn a_cancellation_confirmed_while_the_leader_was_refused_reaches_it_in_the_outage() {
    let [leader, other, third] = three();
    let start = Instant::now();
    let bound = leader.settings.renewal_bound();
    leader.state().records.fresh_at = Some(start);
    let mut worker = Worker::new("a".into(), 4, start);
    let list = serde_json::json!([{"thread": "j-1/0", "try": 1, "status": "running"},
        {"thread": "j-2/0", "try": 1, "status": "running"}]);
    let report = serde_json::json!({"frame": MACHINE, "addr": "a", "shape": "m", "bay": "a", "loaner": false,
        "stint": 1, "tally": 1, "baton": first_token(4), "threads": list});
    worker.receive_heartbeat(wire::decode::<Heartbeat>(&wire::encode(&report)).expect("a report"), start);
    confirm(&other, "j-1", 4);
    let late = start + bound + Duration::from_secs(20);
    let renews = |at: Instant| leader.may_renew_leases(&leader.state(), at);
    assert!(renews(start + Duration::from_secs(2)) && !renews(late), "nobody has been asked");
    assert!(exchange(&leader, &third, late) && !renews(late), "all of them have to answer");
    assert!(exchange(&leader, &other, late) && renews(late));
    let state = leader.state();
    let limits = leader.worker_limits(state.records.fresh_at);
    let plan = worker.reconcile(MACHINE, &state.records.replica, &limits, late);
    let stop = Command::Stop { task: "j-1/0".into(), attempt: 1, grace_s: 0.0 };
    assert_eq!((plan.commands, plan.terminations), (vec![stop], vec![]), "the cancelled one, and only that");
    // What it can write later is conditional on the version that it learnt.
    assert_eq!(state.records.replica.jobs["j-1"].version, 4);
}

/// In a long outage in which nothing was cancelled no lease is lost, as long as all answer;
/// each answer carries on for the bound from when it was asked for.
#[test]
fn leases_are_renewed_through_a_long_outage_while_every_peer_answers() {
    let [leader, other, third] = three();
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
    assert!(!leader.may_renew_leases(&leader.state(), last + bound), "one that falls silent ends it");
    // With the state service there is nothing to ask.
    leader.state().records.fresh_at = Some(last);
    assert!(request_if_needed(&leader.state(), 1, last + Duration::from_secs(1)).is_none());
}

/// The answer to a user was on its way when the peer answered: it is confirmed later than
/// asked, so that its time has not begun before. Its next answer tells of it.
#[test]
fn a_confirmation_in_flight_counts_from_the_request_and_comes_with_the_next_read_index() {
    let [leader, other, third] = three();
    let start = Instant::now();
    let bound = leader.settings.renewal_bound();
    leader.state().records.fresh_at = Some(start);
    let asked = start + Duration::from_secs(3);
    assert!(exchange(&leader, &other, asked) && exchange(&leader, &third, asked + Duration::from_secs(9)));
    confirm(&other, "j-1", 4);
    assert!(!leader.may_renew_leases(&leader.state(), asked + bound), "the earliest counts");
    let phase = || leader.state().records.replica.jobs["j-1"].value.phase;
    assert_eq!(phase(), Phase::Active);
    assert!(exchange(&leader, &other, asked + bound));
    assert_eq!(phase(), Phase::Cancelled);
    // Learnt by the third from the leader, not read: it passes that on as well.
    assert!(exchange(&third, &leader, asked + bound));
    assert_eq!(third.state().records.replica.jobs["j-1"].value.phase, Phase::Cancelled);
}

/// A process that came back has forgotten what its predecessor confirmed.
#[test]
fn a_restarted_peer_vouches_only_for_what_it_can_know() {
    let [leader, _, third] = three();
    let start = Instant::now();
    let bound = leader.settings.renewal_bound();
    leader.state().records.fresh_at = Some(start);
    let late = start + bound;
    assert!(exchange(&leader, &third, late));
    // Back after this controller's last reading: its predecessor may have confirmed more.
    let back = controller(1, 9);
    assert!(!exchange(&leader, &back, late) && !leader.may_renew_leases(&leader.state(), late));
    // The same process, heard of before the last reading: whatever was confirmed before it
    // began was read, and it has confirmed nothing.
    let at = late + Duration::from_secs(1);
    leader.state().records.fresh_at = Some(at);
    let later = at + bound;
    assert!(exchange(&leader, &third, later));
    assert!(exchange(&leader, &back, later) && leader.may_renew_leases(&leader.state(), later));
    // It has read the records: it knows all that its predecessors confirmed.
    let [.., read] = [controller(1, 10), controller(1, 11)];
    super::tests::read(&read);
    assert!(exchange(&leader, &read, later));
}

/// What says nothing of the peer's present knowledge does not count.
#[test]
fn duplicates_other_incarnations_later_epochs_and_partial_answers_are_inconclusive() {
    let [leader, other, third] = three();
    let start = Instant::now();
    leader.state().records.fresh_at = Some(start);
    let late = start + leader.settings.renewal_bound();
    assert!(exchange(&leader, &third, late));
    confirm(&other, "j-1", 4);
    let mut state = leader.state();
    let asked = request_if_needed(&state, 5, late).expect("there is need");
    let whole = own_read_index(&other, &other.state(), &asked);
    let broken = CancelledJob { record: vec![0xc1], ..whole.cancelled[0].clone() };
    let cases = [
        ReadIndex { nonce: 4, ..whole.clone() },
        ReadIndex { name: "n-2".into(), ..whole.clone() },
        ReadIndex { epoch: 5, ..whole.clone() },
        ReadIndex { truncated: true, ..whole.clone() },
        ReadIndex { revision: 0, ..whole.clone() },
        ReadIndex { cancelled: vec![broken], ..whole.clone() },
    ];
    for (n, index) in cases.into_iter().enumerate() {
        let outcome = apply_read_index(&mut state, sent("n-1", &asked, late), index, late);
        assert_ne!(outcome, ReadIndexOutcome::Complete, "case {n}");
        assert!(!leader.may_renew_leases(&state, late), "case {n}");
    }
    assert_eq!(
        apply_read_index(&mut state, sent("n-1", &asked, late), whole, late),
        ReadIndexOutcome::Complete
    );
    assert!(leader.may_renew_leases(&state, late));
    // An older reading of its own does not bring back what was learnt.
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

/// Far more is cancelled than one answer holds: it comes in parts, which count together
/// from when the first was asked for, and not before the last is there.
#[test]
fn thousands_of_cancellations_come_in_parts() {
    const JOBS: u64 = 4000;
    let [leader, other, third] = three();
    let start = Instant::now();
    leader.state().records.fresh_at = Some(start);
    cancel_many(&other, JOBS);
    let late = start + leader.settings.renewal_bound();
    assert!(exchange(&leader, &third, late));
    let mut state = leader.state();
    let mut asked = request_if_needed(&state, 1, late).expect("there is need");
    let mut parts = 0;
    loop {
        parts += 1;
        let index = own_read_index(&other, &other.state(), &asked);
        assert!(peer::encode_read_index(&index).len() < MAX_MESSAGE_BYTES / 2, "part {parts}");
        match apply_read_index(
            &mut state,
            sent("n-1", &asked, late),
            index,
            late + Duration::from_secs(parts),
        ) {
            ReadIndexOutcome::Partial { known_up_to: after } => {
                assert!(!leader.may_renew_leases(&state, late), "part {parts} is not all");
                asked = ReadIndexRequest { nonce: parts, after };
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
    assert!(leader.may_renew_leases(&state, late));
    assert_eq!(state.peers.read_indexes.vouched_at("n-1"), Some(late), "from the first question on");
    let none = own_read_index(&other, &other.state(), &ReadIndexRequest { nonce: 1, after: 10 + JOBS / 2 });
    assert!(!none.truncated && none.cancelled.is_empty());
}

/// An answer that says that there is more, and does not get any further, ends the questions.
#[test]
fn partial_answers_without_progress_are_inconclusive() {
    let [leader, other, _] = three();
    let start = Instant::now();
    leader.state().records.fresh_at = Some(start);
    cancel_many(&other, 10);
    let late = start + leader.settings.renewal_bound();
    let mut state = leader.state();
    let asked = request_if_needed(&state, 5, late).expect("there is need");
    let whole = own_read_index(&other, &other.state(), &asked);
    let empty = ReadIndex { cancelled: Vec::new(), truncated: true, ..whole.clone() };
    assert_eq!(
        apply_read_index(&mut state, sent("n-1", &asked, late), empty, late),
        ReadIndexOutcome::Inconclusive
    );
    let again = ReadIndexRequest { nonce: 5, after: 14 };
    let stuck = ReadIndex { truncated: true, ..whole };
    assert_eq!(
        apply_read_index(&mut state, sent("n-1", &again, late), stuck, late),
        ReadIndexOutcome::Inconclusive
    );
}

/// Over HTTP; a controller of the version in production answers 404.
#[tokio::test]
async fn read_indexes_are_served_over_their_own_path() {
    use net::Request;
    let [_, other, _] = three();
    confirm(&other, "j-1", 4);
    let post = |path: &str, body: Vec<u8>| {
        let request = Request { method: "POST".into(), path: path.into(), body: body.into() };
        crate::peer_server::serve(other.clone(), request)
    };
    let asked = peer::encode_read_index_request(&ReadIndexRequest { nonce: 8, after: 3 });
    let reply = post(PATH, asked.clone()).await;
    let index = peer::decode_read_index(&reply.body).expect("an index");
    assert_eq!((reply.status, index.nonce, index.cancelled.len()), (200, 8, 1));
    assert_eq!(post(PATH, vec![1, 2, 3]).await.status, 400);
    assert_eq!(post("/read-index", asked).await.status, 404, "it cannot be continued");
}
