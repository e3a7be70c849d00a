//! Golden tests of the read index and its request.

use peer::{CancelledJob, ReadIndex, ReadIndexRequest};

fn check(file: &str, index: &ReadIndex) {
    crate::check(file, index, peer::encode_read_index, peer::decode_read_index);
}

#[test]
fn read_index_request() {
    let request = ReadIndexRequest { nonce: 7_700_000_000_000_000_101, after: 77_102 };
    crate::check(
        "read-index-request.rkyv",
        &request,
        peer::encode_read_index_request,
        peer::decode_read_index_request,
    );
}

#[test]
fn read_index_with_cancelled_jobs() {
    let cancelled = vec![
        CancelledJob { id: "j-000412".into(), version: 77_103, record: vec![0x81, 0xa1, 0x62] },
        CancelledJob { id: "j-000000000000000413".into(), version: 77_104, record: vec![0xc0] },
    ];
    let index = ReadIndex {
        nonce: 7_700_000_000_000_000_105,
        name: "controller-2".into(),
        incarnation: 77_106,
        epoch: 77_107,
        revision: 77_108,
        cancelled,
        truncated: true,
    };
    check("read-index-full.rkyv", &index);
}

#[test]
fn read_index_without_cancelled_jobs() {
    let index = ReadIndex {
        nonce: 77_109,
        name: "c".into(),
        incarnation: 77_110,
        epoch: 77_111,
        revision: 0,
        cancelled: Vec::new(),
        truncated: false,
    };
    check("read-index-without-jobs.rkyv", &index);
}
