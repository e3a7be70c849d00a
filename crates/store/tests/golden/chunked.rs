//! Golden tests of chunked records.

use rmpv::Value;
use sched::records::{FleetRecord, ScaleOut};
use sched::replica::RecordChange;
use store::{ChunkedRecord, KeyWrite, OrphanedChunks, RecordReader, key, split_record};

use crate::files;
use crate::values::{from_bytes, to_bytes};

const NONCE: u64 = 0xabc_1234;
const VALUE_BYTES: usize = 256;

/// The keys of the chunks and the files with their values, in the order in which they are written.
const CHUNKS: [(&str, &str); 3] = [
    ("sageloom/parts/fleet/abc1234/2", "chunked-fleet-part-2.msgpack"),
    ("sageloom/parts/fleet/abc1234/1", "chunked-fleet-part-1.msgpack"),
    ("sageloom/parts/fleet/abc1234/0", "chunked-fleet-part-0.msgpack"),
];
/// The key of the head and the file with its value.
const HEAD: (&str, &str) = ("sageloom/fleet", "chunked-fleet-head.msgpack");

/// A record that is split into three chunks.
fn large_fleet() -> FleetRecord {
    let scale_out = |n: u32| ScaleOut {
        request: format!("request-{n}"),
        machine_type: format!("type-{n}").into(),
        zone: format!("zone-{n}").into(),
        spot: n.is_multiple_of(2),
        count: n + 10,
        requested_ms: 1_800_000_000_000 + u64::from(n),
        machines: (n > 0).then(|| vec![format!("host-{n:06}").into()]),
    };
    FleetRecord {
        scale_outs: (0..7).map(scale_out).collect(),
        removed_machines: Some(vec!["host-000700".into()]),
    }
}

fn chunked_large_fleet() -> ChunkedRecord {
    split_record(&KeyWrite::new(key::FLEET.into(), &large_fleet()), NONCE, VALUE_BYTES)
        .expect("a chunked record")
}

fn check_write(write: &KeyWrite, (key, file): (&str, &str)) {
    assert_eq!(write.key, key);
    assert_eq!(write.lease, None);
    let encoded = write.value.as_ref().map(to_bytes).expect("a value");
    assert_eq!(files::printable(&encoded), files::printable(&files::read(file)), "{file}");
}

fn read(file: &str) -> Option<Value> {
    Some(from_bytes(&files::read(file)))
}

fn assert_is_large_fleet(change: &RecordChange) {
    assert_eq!(format!("{change:?}"), format!("{:?}", RecordChange::Fleet(Some(large_fleet()))));
}

#[test]
fn record_is_split_into_the_golden_chunks() {
    let chunked = chunked_large_fleet();
    assert_eq!(chunked.chunks.len(), CHUNKS.len());
    for (write, expected) in chunked.chunks.iter().zip(CHUNKS) {
        check_write(write, expected);
    }
    check_write(&chunked.head, HEAD);
}

#[test]
fn record_is_read_from_the_golden_chunks() {
    let mut reader = RecordReader::default();
    for (key, file) in CHUNKS {
        assert!(
            matches!(reader.apply(key, read(file), 76_101), (RecordChange::Other, false, 76_101)),
            "{key}"
        );
    }
    let (change, is_unreadable, version) = reader.apply(HEAD.0, read(HEAD.1), 76_102);
    assert_eq!((is_unreadable, version), (false, 76_102));
    assert_is_large_fleet(&change);
    assert!(reader.is_chunked(HEAD.0));
    assert_eq!(reader.orphans(), []);
}

#[test]
fn record_is_read_when_its_last_chunk_arrives_after_the_head() {
    let mut reader = RecordReader::default();
    let (change, is_unreadable, version) = reader.apply(HEAD.0, read(HEAD.1), 76_102);
    assert!(matches!(change, RecordChange::Fleet(None)));
    assert_eq!((is_unreadable, version), (true, 76_102));
    let [first, second, third] = CHUNKS;
    for (key, file) in [first, third] {
        assert!(
            matches!(reader.apply(key, read(file), 76_101), (RecordChange::Other, false, 76_101)),
            "{key}"
        );
    }
    let (change, is_unreadable, version) = reader.apply(second.0, read(second.1), 76_101);
    assert_eq!((is_unreadable, version), (false, 76_102));
    assert_is_large_fleet(&change);
}

#[test]
fn chunks_are_orphans_when_there_is_no_head() {
    let mut reader = RecordReader::default();
    for (key, file) in CHUNKS {
        reader.apply(key, read(file), 76_101);
    }
    let expected = OrphanedChunks {
        record_key: "sageloom/fleet".into(),
        nonce: "abc1234".into(),
        keys: CHUNKS.iter().rev().map(|(key, _)| (*key).to_owned()).collect(),
    };
    assert_eq!(reader.orphans(), [expected]);
}
