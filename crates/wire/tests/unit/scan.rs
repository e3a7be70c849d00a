use super::*;
use serde_json::json;

/// What is copied of a message besides the field "id".
fn copy(message: &[u8]) -> Result<KnownFields, DecodeError> {
    KnownFields::copy(message, &["id"])
}

#[test]
fn the_size_as_json_is_that_of_the_written_json() {
    let texts = json!({"id": "j-1", "": "\"\\\n\u{1} ä€", "list": [[], ["a"], ["a", "b"]]});
    let numbers = json!({"n": [0, -1, 127, 128, -129, 65_536, -70_000, 1_u64 << 40, -1_i64 << 40, 1.5, 4.0]});
    let others = json!({"a": null, "b": {"c": true, "d": false, "e": {}}});
    for value in [texts, numbers, others] {
        let copied = copy(&crate::encode(&value)).expect("a map");
        assert_eq!(copied.json_bytes, value.to_string().len(), "{value}");
    }
}

/// Guards against a submission that is accepted though a part of it is missing.
#[test]
fn a_message_that_ends_within_a_value_or_goes_on_after_it_is_refused() {
    let message = crate::encode(&json!({"id": "j-1", "x": [1, {"y": "text", "z": [1.5, 300, null]}]}));
    assert!(copy(&message).is_ok_and(|copied| copied.has_text_keys_only));
    for length in 0..message.len() {
        assert!(copy(&message[..length]).is_err(), "{length} bytes");
    }
    assert!(copy(&[&message[..], &[0xc0]].concat()).is_err());
}

/// Guards against memory and time that a length in a message claims.
#[test]
fn lengths_that_are_claimed_but_not_sent_are_refused_at_once() {
    let claims: [&[u8]; 5] = [
        &[0xdf, 0xff, 0xff, 0xff, 0xff],
        &[0x81, 0xa1, b'x', 0xdd, 0xff, 0xff, 0xff, 0xff],
        &[0x81, 0xa1, b'x', 0xdb, 0xff, 0xff, 0xff, 0xff],
        &[0x81, 0xa1, b'x', 0xc9, 0xff, 0xff, 0xff, 0xff],
        &[0x81, 0xdd, 0xff, 0xff, 0xff, 0xff],
    ];
    for claim in claims {
        assert!(copy(claim).is_err(), "{claim:?}");
    }
}

#[test]
fn keys_that_are_not_texts_are_found_and_their_values_skipped() {
    let copied = copy(&[0x83, 0x91, 0xc0, 0x91, 0xc0, 0xa2, b'i', b'd', 0x07, 0x00, 0xc0]).expect("a map");
    assert!(!copied.has_text_keys_only);
    assert_eq!(copied.encoded, [0xdf, 0, 0, 0, 1, 0xa2, b'i', b'd', 0x07]);
}

/// Guards against a heartbeat that is refused, or a stack that overflows, for what an unknown field holds.
#[test]
fn a_request_is_decoded_whatever_is_nested_in_its_unknown_fields() {
    #[derive(serde::Deserialize)]
    struct Request {
        known: u32,
    }
    let nested = [vec![0x91; 30_000], vec![0xc0]].concat();
    let request = [&[0x82, 0xa1, b'x'], &nested[..], &[0xa5], b"known", &[7]].concat();
    assert_eq!(crate::decode_request::<Request>(&request).expect("decoded").known, 7);
    assert!(crate::decode::<Request>(&request).is_err_and(|error| error.to_string().contains("depth")));
    let copied = without_deep_values(&request, 2).expect("MessagePack");
    assert_eq!(copied, [&[0x82, 0xa1, b'x', 0x91, 0xc0, 0xa5], &b"known"[..], &[7]].concat());
}
