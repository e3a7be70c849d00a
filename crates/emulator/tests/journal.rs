//! What is killed or damaged at any byte.

#![allow(clippy::panic)]

use std::path::Path;

use emulator::{Journal, JournalError};

fn entries() -> Vec<Vec<u8>> {
    vec![b"first".to_vec(), Vec::new(), vec![7; 40], b"the last".to_vec()]
}

/// A file with a snapshot of two entries and a log of two, and where each entry ends.
fn written(path: &Path) -> (Vec<u8>, Vec<usize>) {
    let all = entries();
    let (mut journal, old) = Journal::open(path).expect("a new file");
    assert!(old.is_empty());
    journal.append(b"replaced").expect("written");
    journal.replace(&all[..2]).expect("a snapshot");
    for entry in &all[2..] {
        journal.append(entry).expect("written");
    }
    let mut ends = vec![8];
    for entry in &all {
        ends.push(ends[ends.len() - 1] + 16 + entry.len());
    }
    (std::fs::read(path).expect("a file"), ends)
}

#[test]
fn killed_at_any_byte_it_comes_back_with_all_that_was_acknowledged() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("state");
    let (bytes, ends) = written(&path);
    assert_eq!(bytes.len(), ends[4]);
    for cut in 0..=bytes.len() {
        std::fs::write(&path, &bytes[..cut]).expect("written");
        let whole = ends.iter().filter(|e| **e <= cut).count().saturating_sub(1);
        let (mut journal, back) = Journal::open(&path).expect("a torn file is mended");
        assert_eq!(back, entries()[..whole], "cut at {cut}");
        // It goes on from there, and the torn rest does not come back.
        journal.append(b"new").expect("written");
        let (_, again) = Journal::open(&path).expect("sound");
        assert_eq!(again.len(), whole + 1, "cut at {cut}");
        assert_eq!(again[whole], b"new");
    }
}

#[test]
fn a_changed_byte_never_passes_for_data() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("state");
    let (bytes, ends) = written(&path);
    for at in 0..bytes.len() {
        for flip in [0x01, 0xff] {
            let mut damaged = bytes.clone();
            damaged[at] ^= flip;
            std::fs::write(&path, &damaged).expect("written");
            match Journal::open(&path) {
                Err(JournalError::Foreign { .. }) => assert!(at < 8, "byte {at}"),
                // Entries after the damaged one were acknowledged and would be lost.
                Err(JournalError::Damaged { at: found, .. }) => {
                    assert!((8..ends[3]).contains(&at) && found as usize <= at, "byte {at}");
                }
                Err(e) => panic!("byte {at}: {e}"),
                // The last entry looks like one that was being written.
                Ok((_, back)) => {
                    assert!(at >= ends[3], "byte {at}");
                    assert_eq!(back, entries()[..3]);
                }
            }
        }
    }
}

#[test]
fn a_snapshot_that_was_not_finished_is_dropped() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("state");
    let (bytes, _) = written(&path);
    for cut in [0, 5, 30, bytes.len()] {
        std::fs::write(path.with_extension("new"), &bytes[..cut]).expect("written");
        assert_eq!(Journal::open(&path).expect("the old file is whole").1, entries());
    }
}
