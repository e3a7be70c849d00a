//! Recovery of a journal that was truncated or damaged at any byte.

#![allow(clippy::panic)]

use std::path::Path;

use emulator::{Journal, JournalError};

fn entries() -> Vec<Vec<u8>> {
    vec![b"first".to_vec(), Vec::new(), vec![7; 40], b"the last".to_vec()]
}

/// Writes a file with a snapshot of two entries and a log of two. Returns its bytes and the offsets
/// at which its entries end.
fn write_journal(path: &Path) -> (Vec<u8>, Vec<usize>) {
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
fn acknowledged_entries_are_recovered_after_a_kill_at_any_byte() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("state");
    let (bytes, ends) = write_journal(&path);
    assert_eq!(bytes.len(), ends[4]);
    for cut in 0..=bytes.len() {
        std::fs::write(&path, &bytes[..cut]).expect("written");
        let complete_entries = ends.iter().filter(|e| **e <= cut).count().saturating_sub(1);
        let (mut journal, recovered) = Journal::open(&path).expect("a partly written entry is truncated");
        assert_eq!(recovered, entries()[..complete_entries], "cut at {cut}");
        // New entries follow the last complete one; the partly written one does not reappear.
        journal.append(b"new").expect("written");
        let (_, reopened) = Journal::open(&path).expect("valid");
        assert_eq!(reopened.len(), complete_entries + 1, "cut at {cut}");
        assert_eq!(reopened[complete_entries], b"new");
    }
}

#[test]
fn a_changed_byte_is_never_returned_as_data() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("state");
    let (bytes, ends) = write_journal(&path);
    for at in 0..bytes.len() {
        for flip in [0x01, 0xff] {
            let mut damaged = bytes.clone();
            damaged[at] ^= flip;
            std::fs::write(&path, &damaged).expect("written");
            match Journal::open(&path) {
                Err(JournalError::Foreign { .. }) => assert!(at < 8, "byte {at}"),
                // Truncating would lose acknowledged entries after the damaged one.
                Err(JournalError::Damaged { at: found, .. }) => {
                    assert!((8..ends[3]).contains(&at) && found as usize <= at, "byte {at}");
                }
                Err(e) => panic!("byte {at}: {e}"),
                // Damage in the last entry cannot be distinguished from an interrupted write.
                Ok((_, recovered)) => {
                    assert!(at >= ends[3], "byte {at}");
                    assert_eq!(recovered, entries()[..3]);
                }
            }
        }
    }
}

#[test]
fn an_unfinished_snapshot_is_discarded() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("state");
    let (bytes, _) = write_journal(&path);
    for cut in [0, 5, 30, bytes.len()] {
        std::fs::write(path.with_extension("new"), &bytes[..cut]).expect("written");
        assert_eq!(Journal::open(&path).expect("the old file is complete").1, entries());
    }
}
