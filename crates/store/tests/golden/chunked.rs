//! Records in parts.

use rmpv::Value;
use sched::records::{FleetRecord, ScaleOut};
use sched::replica::RecordChange;
use store::{ChunkedRecord, KeyWrite, OrphanedChunks, RecordReader, key, split_record};

use crate::files;
use crate::values::{from_bytes, to_bytes};

const NONCE: u64 = 0xabc_1234;
const VALUE_BYTES: usize = 256;

/// The files with the parts, in the order in which they are written.
const PARTS: [(&str, &str); 3] = [
    ("sageloom/parts/fleet/abc1234/2", "chunked-fleet-part-2.msgpack"),
    ("sageloom/parts/fleet/abc1234/1", "chunked-fleet-part-1.msgpack"),
    ("sageloom/parts/fleet/abc1234/0", "chunked-fleet-part-0.msgpack"),
];
const HEAD: (&str, &str) = ("sageloom/fleet", "chunked-fleet-head.msgpack");

/// A record that takes three parts.
fn large_fleet() -> FleetRecord {
    let rental = |n: u32| ScaleOut {
        request: format!("request-{n}"),
        machine_type: format!("type-{n}").into(),
        zone: format!("zone-{n}").into(),
        spot: n.is_multiple_of(2),
        count: n + 10,
        requested_ms: 1_800_000_000_000 + u64::from(n),
        machines: (n > 0).then(|| vec![format!("host-{n:06}").into()]),
    };
    FleetRecord {
        scale_outs: (0..7).map(rental).collect(),
        removed_machines: Some(vec!["host-000700".into()]),
    }
}

fn large_fleet_in_parts() -> ChunkedRecord {
    split_record(&KeyWrite::new(key::FLEET.into(), &large_fleet()), NONCE, VALUE_BYTES)
        .expect("a record in parts")
}

fn check_put(put: &KeyWrite, (key, file): (&str, &str)) {
    assert_eq!(put.key, key);
    assert_eq!(put.lease, None);
    let written = put.value.as_ref().map(to_bytes).expect("a value");
    assert_eq!(files::printable(&written), files::printable(&files::read(file)), "{file}");
}

fn read(file: &str) -> Option<Value> {
    Some(from_bytes(&files::read(file)))
}

fn assert_whole(change: &RecordChange) {
    assert_eq!(format!("{change:?}"), format!("{:?}", RecordChange::Fleet(Some(large_fleet()))));
}

#[test]
fn record_is_split_into_the_golden_parts() {
    let chunked = large_fleet_in_parts();
    assert_eq!(chunked.chunks.len(), PARTS.len());
    for (put, expected) in chunked.chunks.iter().zip(PARTS) {
        check_put(put, expected);
    }
    check_put(&chunked.head, HEAD);
}

#[test]
fn record_is_read_from_the_golden_parts() {
    let mut reader = RecordReader::default();
    for (key, file) in PARTS {
        assert!(
            matches!(reader.apply(key, read(file), 76_101), (RecordChange::Other, false, 76_101)),
            "{key}"
        );
    }
    let (change, bad, version) = reader.apply(HEAD.0, read(HEAD.1), 76_102);
    assert_eq!((bad, version), (false, 76_102));
    assert_whole(&change);
    assert!(reader.is_chunked(HEAD.0));
    assert_eq!(reader.orphans(), []);
}

#[test]
fn record_is_read_when_its_last_part_is_there() {
    let mut reader = RecordReader::default();
    let (change, bad, version) = reader.apply(HEAD.0, read(HEAD.1), 76_102);
    assert!(matches!(change, RecordChange::Fleet(None)));
    assert_eq!((bad, version), (true, 76_102));
    let [first, second, third] = PARTS;
    for (key, file) in [first, third] {
        assert!(
            matches!(reader.apply(key, read(file), 76_101), (RecordChange::Other, false, 76_101)),
            "{key}"
        );
    }
    let (change, bad, version) = reader.apply(second.0, read(second.1), 76_101);
    assert_eq!((bad, version), (false, 76_102));
    assert_whole(&change);
}

#[test]
fn parts_without_a_head_are_orphans() {
    let mut reader = RecordReader::default();
    for (key, file) in PARTS {
        reader.apply(key, read(file), 76_101);
    }
    let expected = OrphanedChunks {
        record_key: "sageloom/fleet".into(),
        nonce: "abc1234".into(),
        keys: PARTS.iter().rev().map(|(key, _)| (*key).to_owned()).collect(),
    };
    assert_eq!(reader.orphans(), [expected]);
}
