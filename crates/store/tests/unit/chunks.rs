use super::*;
use crate::codec::KeyWrite;
use crate::key;
use sched::records::*;
use sched::replica::RecordChange;

fn large() -> FleetRecord {
    let gone = (0..400u32).map(|n| format!("host-{:06}", n * 7919 % 100_000).as_str().into()).collect();
    FleetRecord { scale_outs: Vec::new(), removed_machines: Some(gone) }
}

fn chunked(nonce: u64) -> ChunkedRecord {
    split_record(&KeyWrite::new(key::FLEET.into(), &large()), nonce, 500).expect("parts")
}

fn fleet(change: &RecordChange) -> Option<&FleetRecord> {
    if let RecordChange::Fleet(f) = change { f.as_ref() } else { None }
}

#[test]
fn a_chunked_record_is_read_once_all_chunks_are_in_whatever_order() {
    let w = chunked(7);
    assert!(w.chunks.len() > 2);
    for put in w.chunks.iter().chain([&w.head]) {
        assert!(put.json_len() <= 500 + put.key.len() + 20, "{}", put.json_len());
    }
    let mut sorted = large();
    sorted.removed_machines.iter_mut().for_each(|g| g.sort_unstable());
    let mut reader = RecordReader::default();
    // In order, as the state service tells it.
    for put in &w.chunks {
        assert!(matches!(reader.apply(&put.key, put.value.clone(), 3), (RecordChange::Other, false, 3)));
    }
    let (change, bad, at) = reader.apply(&w.head.key, w.head.value.clone(), 4);
    assert_eq!((fleet(&change), bad, at), (Some(&sorted), false, 4));
    // The head first, as in a list by keys: nothing can be read, nothing is deleted.
    let mut reader = RecordReader::default();
    assert!(reader.apply(&w.head.key, w.head.value.clone(), 4).1);
    let (last, others) = w.chunks.split_last().expect("parts");
    for put in others {
        assert!(!reader.apply(&put.key, put.value.clone(), 3).1);
    }
    let (change, bad, at) = reader.apply(&last.key, last.value.clone(), 3);
    assert_eq!((fleet(&change), bad, at), (Some(&sorted), false, 4));
}

#[test]
fn only_chunks_that_no_head_names_are_orphans() {
    let (old, new) = (chunked(7), chunked(8));
    let mut reader = RecordReader::default();
    for put in old.chunks.iter().chain([&old.head]).chain(&new.chunks) {
        reader.apply(&put.key, put.value.clone(), 1);
    }
    let nonces = |r: &RecordReader| r.orphans().iter().map(|o| o.nonce.clone()).collect::<Vec<_>>();
    assert_eq!(nonces(&reader), ["8"], "not committed yet, or never");
    reader.apply(&new.head.key, new.head.value.clone(), 2);
    assert_eq!(nonces(&reader), ["7"]);
    let first = &reader.orphans()[0].keys[0];
    assert_eq!(Some(first), old.chunks.last().map(|p| &p.key), "the first part is written last, gone first");
    reader.apply(key::FLEET, KeyWrite::new(key::FLEET.into(), &FleetRecord::default()).value, 3);
    assert_eq!(nonces(&reader), ["7", "8"], "it fits into one value again");
    assert!(!reader.is_chunked(key::FLEET));
}
