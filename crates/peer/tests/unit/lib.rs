use super::*;

#[test]
fn messages_survive_and_malformed_bytes_are_refused() {
    let m = Message::HeartbeatResponse { status: 200, body: vec![1, 2, 3] };
    assert_eq!(decode(&encode(&m)), Some(m));
    assert_eq!(decode(b""), None);
    assert_eq!(decode(&[0xff; 40]), None);
}
