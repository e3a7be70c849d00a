//! Load balancer and users by their page, on a clock of the test's own.

use std::cell::RefCell;
use std::collections::HashSet;
use std::time::{Duration, Instant};

use emulator::{Balancer, Load, SiteFile, UserRequest, UserResponse, Users};
use wire::{JobKind, JobState};

const BUSY: &str = include_str!("../../../examples/busy.hcl");

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Two nodes, probed once a second; the second one as `fine` says.
fn probed(b: &mut Balancer, t: Instant, seconds: std::ops::Range<u32>, fine: &[bool]) -> Vec<bool> {
    let one = |n: u32| {
        let now = t + s(f64::from(n));
        b.record_probe(0, true, now);
        b.record_probe(1, fine[(n as usize) % fine.len()], now);
        b.is_healthy(1)
    };
    seconds.map(one).collect()
}

#[test]
fn nodes_are_removed_and_come_back_after_a_pause_that_doubles() {
    let t = Instant::now();
    let mut b = Balancer::new(2, 1);
    assert!(!b.is_healthy(1) && b.choose(&[], t).is_none());
    assert_eq!(probed(&mut b, t, 0..1, &[true]), [true], "one success for a new one");
    assert_eq!(probed(&mut b, t, 1..3, &[false]), [true, false], "two failures in a row");
    assert!(b.take_resets(t + s(6.9)).is_empty());
    assert_eq!(b.take_resets(t + s(7.0)), [1]);
    assert!(b.take_resets(t + s(8.0)).is_empty(), "told once");
    assert_eq!(probed(&mut b, t, 3..6, &[true]), [false, false, true], "not before 3 s");
    // Three of six, one at a time: removed at the third failure, for 6 s now.
    let uneven = probed(&mut b, t, 6..11, &[false, true]);
    assert_eq!(uneven, [true, true, true, true, false]);
    assert_eq!(probed(&mut b, t, 11..17, &[true]), [false, false, false, false, false, true]);
}

#[test]
fn connections_go_to_the_least_used_and_to_new_ones_little_by_little() {
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
    assert!((1..=2).contains(&to_new), "a tenth of its share: {to_new}");
    let to_new = (0..30).filter(|_| connect(&mut b, t + s(30.0)) == 1).count();
    assert!(to_new > 20, "the least used: {to_new}");
    assert_eq!(b.choose(&[0, 1], t + s(30.0)), None);
    // One that fails three times in a row is skipped for 3 s.
    (0..3).for_each(|_| b.record_connection_attempt(1, false, t + s(40.0)));
    (0..30).for_each(|_| assert_eq!(connect(&mut b, t + s(42.9)), 0));
    assert_eq!(b.choose(&[], t + s(43.0)), Some(1));
}

/// Users whose requests are answered by `answer` for five minutes, twenty times a second.
fn play(loads: Vec<Load>, answer: impl Fn(&UserRequest, Duration) -> UserResponse) -> Users {
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

/// No answer for a job that is not a user's own.
fn known(request: &UserRequest, response: UserResponse) -> UserResponse {
    if request.id.len() == "j-7000000".len() {
        response
    } else {
        UserResponse { status: Some(404), ..response }
    }
}

fn says(status: u16, state: JobState) -> UserResponse {
    UserResponse { status: Some(status), retry_after: None, state: Some(state) }
}

#[test]
fn users_submit_ask_and_cancel() {
    let withdrawn = RefCell::new(HashSet::new());
    let users = play(loads(), |q, _| {
        if q.path.ends_with("/withdraw") {
            withdrawn.borrow_mut().insert(q.id.clone());
        }
        let response = if withdrawn.borrow().contains(&q.id) {
            says(200, JobState::Cancelled)
        } else if q.method == "POST" {
            says(201, JobState::Queued)
        } else {
            says(200, JobState::Running)
        };
        known(q, response)
    });
    let t = users.user_statistics();
    // 19 a minute, of which the services and some arrays are cancelled.
    assert!((60..130).contains(&t.submitted) && t.accepted == t.submitted, "{t:?}");
    assert!((10..40).contains(&t.cancelled) && t.done == 0 && t.violations.is_empty(), "{t:?}");
    assert_eq!(users.open(), t.submitted - t.cancelled);
}

#[test]
fn users_come_back_until_their_patience_ends_and_give_up_what_is_refused() {
    let arrays = || loads().into_iter().filter(|l| l.job.kind == JobKind::Array).collect::<Vec<_>>();
    let busy =
        |q: &UserRequest, status| known(q, UserResponse { status: Some(status), ..UserResponse::default() });
    let t = play(arrays(), |q, _| busy(q, 503)).user_statistics().clone();
    assert!(t.given_up > 20 && t.accepted == 0 && t.submitted > t.given_up, "{t:?}");
    let t = play(arrays(), |q, _| busy(q, 422)).user_statistics().clone();
    assert_eq!((t.refused, t.given_up), (t.submitted, 0));
    // As long as the node says, but 30 s at most.
    let tries = |pause: f64| {
        let count = RefCell::new(0);
        let users = play(arrays(), |q, _| {
            *count.borrow_mut() += usize::from(q.method == "POST");
            UserResponse { retry_after: Some(s(pause)), ..busy(q, 503) }
        });
        *count.borrow() as f64 / users.user_statistics().submitted as f64
    };
    let (often, seldom) = (tries(0.0), tries(500.0));
    assert!((25.0..45.0).contains(&often) && (1.5..=3.0).contains(&seldom), "{often} {seldom}");
}

#[test]
fn answers_that_must_not_be_are_noticed() {
    let broken = |answer: fn(&UserRequest, Duration) -> UserResponse| {
        let mut rules: Vec<&str> =
            play(loads(), answer).user_statistics().violations.iter().map(|(r, _)| *r).collect();
        rules.sort_unstable();
        rules.dedup();
        rules
    };
    assert_eq!(
        broken(|q, now| match q.method {
            "GET" if now > s(150.0) =>
                known(q, UserResponse { status: Some(404), ..UserResponse::default() }),
            _ => known(q, says(200, JobState::Running)),
        }),
        ["forgotten"]
    );
    assert_eq!(broken(|_, _| says(200, JobState::Running)), ["invented"]);
    // Done, and later running again; or cancelled by nobody.
    let flips = |q: &UserRequest, now: Duration| {
        let state = if (now.as_secs() / 3).is_multiple_of(2) { JobState::Done } else { JobState::Running };
        known(q, says(200, state))
    };
    assert_eq!(broken(flips), ["went_back"]);
    assert_eq!(broken(|q, _| known(q, says(200, JobState::Cancelled))), ["went_back"]);
}
