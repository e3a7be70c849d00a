use super::*;

#[test]
fn messages_round_trip_and_malformed_bytes_are_rejected() {
    let message = Message::HeartbeatResponse { status: 200, body: vec![1, 2, 3] };
    assert_eq!(decode(&encode(&message)), Some(message));
    assert_eq!(decode(b""), None);
    assert_eq!(decode(&[0xff; 40]), None);
}
