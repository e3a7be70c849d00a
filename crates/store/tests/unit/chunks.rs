use super::*;
use crate::codec::KeyWrite;
use crate::key;
use sched::records::*;
use sched::replica::RecordChange;

fn large_fleet() -> FleetRecord {
    let removed = (0..400u32).map(|n| format!("host-{:06}", n * 7919 % 100_000).as_str().into()).collect();
    FleetRecord { scale_outs: Vec::new(), removed_machines: Some(removed) }
}

fn chunked(nonce: u64) -> ChunkedRecord {
    split_record(&KeyWrite::new(key::FLEET.into(), &large_fleet()), nonce, 500).expect("chunks")
}

fn fleet(change: &RecordChange) -> Option<&FleetRecord> {
    if let RecordChange::Fleet(fleet) = change { fleet.as_ref() } else { None }
}

#[test]
fn a_chunked_record_is_read_when_all_chunks_have_arrived_in_any_order() {
    let record = chunked(7);
    assert!(record.chunks.len() > 2);
    for write in record.chunks.iter().chain([&record.head]) {
        assert!(write.json_len() <= 500 + write.key.len() + 20, "{}", write.json_len());
    }
    let mut sorted = large_fleet();
    sorted.removed_machines.iter_mut().for_each(|machines| machines.sort_unstable());
    let mut reader = RecordReader::default();
    // In the order of the writes, as a watch reports them.
    for write in &record.chunks {
        assert!(matches!(reader.apply(&write.key, write.value.clone(), 3), (RecordChange::Other, false, 3)));
    }
    let (change, is_unreadable, version) = reader.apply(&record.head.key, record.head.value.clone(), 4);
    assert_eq!((fleet(&change), is_unreadable, version), (Some(&sorted), false, 4));
    // The head first, as in a list ordered by key: until all chunks have arrived, the record is
    // unreadable, but not deleted.
    let mut reader = RecordReader::default();
    assert!(reader.apply(&record.head.key, record.head.value.clone(), 4).1);
    let (last, others) = record.chunks.split_last().expect("chunks");
    for write in others {
        assert!(!reader.apply(&write.key, write.value.clone(), 3).1);
    }
    let (change, is_unreadable, version) = reader.apply(&last.key, last.value.clone(), 3);
    assert_eq!((fleet(&change), is_unreadable, version), (Some(&sorted), false, 4));
}

#[test]
fn chunks_are_orphans_when_no_head_refers_to_them() {
    let (old, new) = (chunked(7), chunked(8));
    let mut reader = RecordReader::default();
    for write in old.chunks.iter().chain([&old.head]).chain(&new.chunks) {
        reader.apply(&write.key, write.value.clone(), 1);
    }
    let orphan_nonces = |reader: &RecordReader| {
        reader.orphans().iter().map(|orphan| orphan.nonce.clone()).collect::<Vec<_>>()
    };
    assert_eq!(orphan_nonces(&reader), ["8"], "the new head is not committed, or not yet");
    reader.apply(&new.head.key, new.head.value.clone(), 2);
    assert_eq!(orphan_nonces(&reader), ["7"]);
    let first = &reader.orphans()[0].keys[0];
    assert_eq!(
        Some(first),
        old.chunks.last().map(|chunk| &chunk.key),
        "the first chunk is written last and deleted first"
    );
    reader.apply(key::FLEET, KeyWrite::new(key::FLEET.into(), &FleetRecord::default()).value, 3);
    assert_eq!(orphan_nonces(&reader), ["7", "8"], "the record is not chunked any more");
    assert!(!reader.is_chunked(key::FLEET));
}
