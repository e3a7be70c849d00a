//! A file of checksummed entries: a snapshot followed by a log of later changes.
//!
//! An entry is on the disk when `append` returns. The process may be killed at any byte of a
//! write: the entries appended before are recovered, and a partly written one is truncated.
//! A damaged entry with valid entries after it cannot come from an interrupted write; such a
//! file is refused, because truncating it would silently lose acknowledged entries.

use std::fs::{File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    #[error("{file}: {source}")]
    Io { file: String, source: io::Error },
    #[error("{file}: damaged at byte {at}, with valid entries after it")]
    Damaged { file: String, at: u64 },
    #[error("{file}: not a journal of this program, or written by another version")]
    Foreign { file: String },
}

const MAGIC: &[u8; 8] = b"slmjrnl1";
/// Payload length, entry number and checksum, in bytes.
const HEADER_LEN: usize = 4 + 8 + 4;
/// No payload is larger; a greater length in a header means that the entry is damaged.
const MAX_PAYLOAD_LEN: usize = 256 << 20;

/// An open journal file. Entries are numbered from 0 in each file.
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    file: File,
    next: u64,
    len: u64,
    snapshot_len: u64,
}

fn checksum(number: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(payload.len() as u32).to_le_bytes());
    hasher.update(&number.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

fn encode_entry(number: u64, payload: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(HEADER_LEN + payload.len());
    out.extend((payload.len() as u32).to_le_bytes());
    out.extend(number.to_le_bytes());
    out.extend(checksum(number, payload).to_le_bytes());
    out.extend(payload);
    out
}

/// Decodes the entry at the beginning of `bytes`: its number and payload, or None if it is
/// incomplete or damaged.
fn decode_entry(bytes: &[u8]) -> Option<(u64, &[u8])> {
    let len = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let number = u64::from_le_bytes(bytes.get(4..12)?.try_into().ok()?);
    let sum = u32::from_le_bytes(bytes.get(12..HEADER_LEN)?.try_into().ok()?);
    if len > MAX_PAYLOAD_LEN {
        return None;
    }
    let payload = bytes.get(HEADER_LEN..HEADER_LEN + len)?;
    (checksum(number, payload) == sum).then_some((number, payload))
}

impl Journal {
    /// Opens or creates the file and returns its entries, oldest first.
    pub fn open(path: &Path) -> Result<(Self, Vec<Vec<u8>>), JournalError> {
        let name = path.display().to_string();
        let io = |source| JournalError::Io { file: name.clone(), source };
        // Left over from a process that was killed while it wrote a snapshot.
        let _ = std::fs::remove_file(path.with_extension("new"));
        let bytes = match std::fs::read(path) {
            Ok(bytes) => bytes,
            Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
            Err(e) => return Err(io(e)),
        };
        if !MAGIC.starts_with(magic_prefix(&bytes)) {
            return Err(JournalError::Foreign { file: name });
        }
        if bytes.len() < MAGIC.len() {
            let mut journal = Self::create(path, path, &[]).map_err(io)?;
            journal.snapshot_len = journal.len;
            return Ok((journal, Vec::new()));
        }
        let (mut offset, mut next, mut entries) = (MAGIC.len(), 0, Vec::new());
        while let Some((number, payload)) = bytes.get(offset..).and_then(decode_entry)
            && number == next
        {
            offset += HEADER_LEN + payload.len();
            next += 1;
            entries.push(payload.to_vec());
        }
        let rest = bytes.get(offset + 1..).unwrap_or_default();
        let is_later_entry =
            |i: usize| decode_entry(rest.get(i..).unwrap_or_default()).is_some_and(|(n, _)| n > next);
        if (0..rest.len()).any(is_later_entry) {
            return Err(JournalError::Damaged { file: name, at: offset as u64 });
        }
        let file = OpenOptions::new().write(true).open(path).map_err(io)?;
        let mut journal = Self { path: path.to_owned(), file, next, len: offset as u64, snapshot_len: 0 };
        journal.file.set_len(journal.len).map_err(io)?;
        journal.file.sync_all().map_err(io)?;
        journal.file.seek(SeekFrom::End(0)).map_err(io)?;
        Ok((journal, entries))
    }

    fn create(path: &Path, write_path: &Path, entries: &[Vec<u8>]) -> io::Result<Self> {
        let mut file = OpenOptions::new().write(true).create(true).truncate(true).open(write_path)?;
        let mut bytes = MAGIC.to_vec();
        for (number, payload) in entries.iter().enumerate() {
            bytes.extend(encode_entry(number as u64, payload));
        }
        file.write_all(&bytes)?;
        file.sync_all()?;
        sync_directory(write_path)?;
        let len = bytes.len() as u64;
        Ok(Self { path: path.to_owned(), file, next: entries.len() as u64, len, snapshot_len: len })
    }

    /// Appends an entry and waits until it is on the disk. After an error it is unknown whether
    /// the entry is on the disk, so the journal must not be used any further.
    pub fn append(&mut self, payload: &[u8]) -> Result<(), JournalError> {
        let bytes = encode_entry(self.next, payload);
        let written = self.file.write_all(&bytes).and_then(|()| self.file.sync_data());
        written.map_err(|source| JournalError::Io { file: self.path.display().to_string(), source })?;
        self.next += 1;
        self.len += bytes.len() as u64;
        Ok(())
    }

    /// Whether the log has grown so far beyond the snapshot that a new snapshot is worthwhile.
    pub fn snapshot_due(&self) -> bool {
        self.len > (1 << 20) + 4 * self.snapshot_len
    }

    /// Replaces all entries by these atomically: a process killed meanwhile leaves either the old
    /// entries or the new ones.
    pub fn replace(&mut self, entries: &[Vec<u8>]) -> Result<(), JournalError> {
        let new = self.path.with_extension("new");
        let replaced = Self::create(&self.path, &new, entries).and_then(|journal| {
            std::fs::rename(&new, &self.path)?;
            sync_directory(&self.path)?;
            Ok(journal)
        });
        *self =
            replaced.map_err(|source| JournalError::Io { file: self.path.display().to_string(), source })?;
        Ok(())
    }
}

fn magic_prefix(bytes: &[u8]) -> &[u8] {
    bytes.get(..MAGIC.len()).unwrap_or(bytes)
}

/// Syncs the directory of a file: the name of a new or renamed file is durable only then.
fn sync_directory(path: &Path) -> io::Result<()> {
    let directory = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(directory)?.sync_all()
}
