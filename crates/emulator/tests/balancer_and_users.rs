//! Checks the load balancer and the emulated users against "Users -> controller nodes" of the
//! protocol document, on a simulated clock.

use std::cell::RefCell;
use std::collections::HashSet;
use std::time::{Duration, Instant};

use emulator::{Balancer, Load, SiteFile, UserRequest, UserResponse, Users};
use wire::{JobKind, JobState};

const BUSY: &str = include_str!("../../../examples/busy.hcl");

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Probes two nodes once a second. Probes of the first succeed, those of the second as in
/// `outcomes`, repeated. Returns whether the second is healthy after each probe.
fn probe_nodes(b: &mut Balancer, t: Instant, seconds: std::ops::Range<u32>, outcomes: &[bool]) -> Vec<bool> {
    let probe_once = |n: u32| {
        let now = t + s(f64::from(n));
        b.record_probe(0, true, now);
        b.record_probe(1, outcomes[(n as usize) % outcomes.len()], now);
        b.is_healthy(1)
    };
    seconds.map(probe_once).collect()
}

#[test]
fn unhealthy_nodes_are_removed_for_a_time_that_doubles() {
    let t = Instant::now();
    let mut b = Balancer::new(2, 1);
    assert!(!b.is_healthy(1) && b.choose(&[], t).is_none());
    assert_eq!(probe_nodes(&mut b, t, 0..1, &[true]), [true], "a new node needs one success");
    assert_eq!(probe_nodes(&mut b, t, 1..3, &[false]), [true, false], "two failures in a row");
    assert!(b.take_resets(t + s(6.9)).is_empty());
    assert_eq!(b.take_resets(t + s(7.0)), [1]);
    assert!(b.take_resets(t + s(8.0)).is_empty(), "each reset is returned once");
    assert_eq!(probe_nodes(&mut b, t, 3..6, &[true]), [false, false, true], "a removal lasts at least 3 s");
    // The third failure among the last six probes removes the node, now for 6 s.
    let alternating = probe_nodes(&mut b, t, 6..11, &[false, true]);
    assert_eq!(alternating, [true, true, true, true, false]);
    assert_eq!(probe_nodes(&mut b, t, 11..17, &[true]), [false, false, false, false, false, true]);
}

#[test]
fn connections_go_to_the_least_used_node_and_gradually_to_new_ones() {
    let t = Instant::now();
    let mut b = Balancer::new(2, 1);
    b.record_probe(0, true, t);
    let connect = |b: &mut Balancer, now: Instant| {
        let node = b.choose(&[], now).expect("a node");
        b.record_connection_attempt(node, true, now);
        node
    };
    (0..10).for_each(|_| assert_eq!(connect(&mut b, t + s(10.0)), 0));
    b.record_probe(1, true, t + s(20.0));
    let to_new = (0..10).filter(|_| connect(&mut b, t + s(21.0)) == 1).count();
    assert!((1..=2).contains(&to_new), "a new node starts with a tenth of its share: {to_new}");
    let to_new = (0..30).filter(|_| connect(&mut b, t + s(30.0)) == 1).count();
    assert!(to_new > 20, "the least used node is preferred: {to_new}");
    assert_eq!(b.choose(&[0, 1], t + s(30.0)), None);
    // A node that fails three times in a row is skipped for 3 s.
    (0..3).for_each(|_| b.record_connection_attempt(1, false, t + s(40.0)));
    (0..30).for_each(|_| assert_eq!(connect(&mut b, t + s(42.9)), 0));
    assert_eq!(b.choose(&[], t + s(43.0)), Some(1));
}

/// Runs users for five minutes in steps of 50 ms; `answer` answers their requests.
fn simulate(loads: Vec<Load>, answer: impl Fn(&UserRequest, Duration) -> UserResponse) -> Users {
    let t = Instant::now();
    let mut users = Users::new(loads, 7, 3, t);
    for n in 0..6000 {
        let now = t + s(f64::from(n) / 20.0);
        for request in users.poll(now) {
            let response = answer(&request, now - t);
            users.record_response(&request, response, now + s(0.01));
        }
    }
    users
}

fn loads() -> Vec<Load> {
    SiteFile::parse("busy.hcl", BUSY).expect("the example is valid").loads()
}

/// Answers 404 to queries for jobs that were never submitted. Their ids have one digit more than
/// those of submitted jobs.
fn answer_404_if_unknown(request: &UserRequest, response: UserResponse) -> UserResponse {
    if request.id.len() == "j-7000000".len() {
        response
    } else {
        UserResponse { status: Some(404), ..response }
    }
}

fn response_with_state(status: u16, state: JobState) -> UserResponse {
    UserResponse { status: Some(status), retry_after: None, state: Some(state) }
}

#[test]
fn users_submit_query_and_cancel_jobs() {
    let withdrawn = RefCell::new(HashSet::new());
    let users = simulate(loads(), |q, _| {
        if q.path.ends_with("/withdraw") {
            withdrawn.borrow_mut().insert(q.id.clone());
        }
        let response = if withdrawn.borrow().contains(&q.id) {
            response_with_state(200, JobState::Cancelled)
        } else if q.method == "POST" {
            response_with_state(201, JobState::Queued)
        } else {
            response_with_state(200, JobState::Running)
        };
        answer_404_if_unknown(q, response)
    });
    let t = users.user_statistics();
    // The loads submit 19 jobs a minute; the services and some of the arrays are cancelled.
    assert!((60..130).contains(&t.submitted) && t.accepted == t.submitted, "{t:?}");
    assert!((10..40).contains(&t.cancelled) && t.done == 0 && t.violations.is_empty(), "{t:?}");
    assert_eq!(users.open(), t.submitted - t.cancelled);
}

#[test]
fn users_retry_until_the_time_limit_and_give_up_rejected_submissions() {
    let arrays = || loads().into_iter().filter(|l| l.job.kind == JobKind::Array).collect::<Vec<_>>();
    let response_with_status = |q: &UserRequest, status| {
        answer_404_if_unknown(q, UserResponse { status: Some(status), ..UserResponse::default() })
    };
    let t = simulate(arrays(), |q, _| response_with_status(q, 503)).user_statistics().clone();
    assert!(t.given_up > 20 && t.accepted == 0 && t.submitted > t.given_up, "{t:?}");
    let t = simulate(arrays(), |q, _| response_with_status(q, 422)).user_statistics().clone();
    assert_eq!((t.refused, t.given_up), (t.submitted, 0));
    // Users wait as long as `Retry-After` says, but at most 30 s.
    let attempts_per_job = |pause: f64| {
        let count = RefCell::new(0);
        let users = simulate(arrays(), |q, _| {
            *count.borrow_mut() += usize::from(q.method == "POST");
            UserResponse { retry_after: Some(s(pause)), ..response_with_status(q, 503) }
        });
        *count.borrow() as f64 / users.user_statistics().submitted as f64
    };
    let (attempts_without_pause, attempts_with_long_pause) = (attempts_per_job(0.0), attempts_per_job(500.0));
    assert!(
        (25.0..45.0).contains(&attempts_without_pause) && (1.5..=3.0).contains(&attempts_with_long_pause),
        "{attempts_without_pause} {attempts_with_long_pause}"
    );
}

#[test]
fn answers_that_violate_the_protocol_are_recorded() {
    let violated_rules = |answer: fn(&UserRequest, Duration) -> UserResponse| {
        let mut rules: Vec<&str> =
            simulate(loads(), answer).user_statistics().violations.iter().map(|(r, _)| *r).collect();
        rules.sort_unstable();
        rules.dedup();
        rules
    };
    assert_eq!(
        violated_rules(|q, now| match q.method {
            "GET" if now > s(150.0) =>
                answer_404_if_unknown(q, UserResponse { status: Some(404), ..UserResponse::default() }),
            _ => answer_404_if_unknown(q, response_with_state(200, JobState::Running)),
        }),
        ["forgotten"]
    );
    assert_eq!(violated_rules(|_, _| response_with_state(200, JobState::Running)), ["invented"]);
    // A job that is done and later running again, and one cancelled without a request.
    let alternating_states = |q: &UserRequest, now: Duration| {
        let state = if (now.as_secs() / 3).is_multiple_of(2) { JobState::Done } else { JobState::Running };
        answer_404_if_unknown(q, response_with_state(200, state))
    };
    assert_eq!(violated_rules(alternating_states), ["went_back"]);
    assert_eq!(
        violated_rules(|q, _| answer_404_if_unknown(q, response_with_state(200, JobState::Cancelled))),
        ["went_back"]
    );
}
