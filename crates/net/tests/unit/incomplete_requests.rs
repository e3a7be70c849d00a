use super::*;

/// So many requests that each have received this many bytes, and the tokens of their connections.
fn receiving(count: u64, bytes: usize) -> (IncompleteRequests, Vec<CancellationToken>) {
    let mut requests = IncompleteRequests::new(100, 1000);
    let tokens: Vec<CancellationToken> = (0..count).map(|_| CancellationToken::new()).collect();
    for token in &tokens {
        let number = requests.begin(token.clone());
        assert!(bytes == 0 || requests.receive(number, bytes));
    }
    (requests, tokens)
}

fn closed(tokens: &[CancellationToken]) -> Vec<bool> {
    tokens.iter().map(CancellationToken::is_cancelled).collect()
}

/// Guards against requests that are given up for others before they could arrive.
#[test]
fn the_oldest_incomplete_requests_give_way_at_a_limited_rate() {
    let now = Instant::now();
    let (mut requests, tokens) = receiving(4, 0);
    let interval = CLOSE_ALL_PERIOD / 100;
    assert_eq!(requests.make_room(now), Room::Made);
    assert_eq!(closed(&tokens), [true, false, false, false]);
    assert_eq!(requests.make_room(now), Room::NotBefore(now + interval));
    assert_eq!(requests.make_room(now + interval), Room::Made);
    assert_eq!(closed(&tokens), [true, true, false, false]);
    requests.complete(2);
    assert_eq!(requests.make_room(now + interval * 2), Room::Made);
    assert_eq!(closed(&tokens), [true, true, false, true], "a complete request does not give way");
    assert_eq!(requests.make_room(now + interval * 3), Room::None);
}

/// Guards against a backlog that grows while timers fire late.
#[test]
fn a_late_timer_is_made_up_for() {
    let now = Instant::now();
    let (mut requests, _) = receiving(9, 0);
    assert_eq!(requests.make_room(now), Room::Made);
    let late = now + MAX_CATCH_UP * 10;
    let made = (0..9).filter(|_| requests.make_room(late) == Room::Made).count();
    assert_eq!(made as u128, MAX_CATCH_UP.as_millis() / (CLOSE_ALL_PERIOD / 100).as_millis() + 1);
}

/// Guards against memory that is used up by clients that send large bodies slowly.
#[test]
fn bodies_are_held_within_the_limit_and_the_oldest_incomplete_ones_give_way() {
    let (mut requests, tokens) = receiving(3, 300);
    assert!(requests.receive(2, 200));
    assert_eq!(closed(&tokens), [true, false, false]);
    assert!(!requests.receive(0, 1), "closed");
    let bytes = requests.complete(2);
    assert_eq!(bytes, 500);
    assert!(requests.receive(1, 200));
    assert!(!requests.receive(1, 1), "a complete request is held until it has been handled");
    requests.free(bytes);
    assert!(requests.receive(1, 500));
    requests.end(1);
    assert_eq!(requests.held_bytes, 0);
}
