use std::path::Path;

use tracing::error;

use crate::jobs::{JobChange, Jobs};
use crate::journal::{Journal, JournalError};

/// The file that keeps descriptions, progress and results of jobs across restarts. The most recent
/// changes may be lost when the process is killed.
#[derive(Debug)]
pub struct JobFile {
    /// None after a failed write.
    journal: Option<Journal>,
}

impl JobFile {
    /// Opens the file and restores its jobs.
    pub fn open(path: &Path, jobs: &mut Jobs) -> Result<Self, JournalError> {
        let (mut journal, entries) = Journal::open(path)?;
        for entry in entries {
            let changes: Vec<JobChange> = wire::decode(&entry)
                .map_err(|_| JournalError::Foreign { file: path.display().to_string() })?;
            jobs.restore(changes);
        }
        journal.replace(&[wire::encode(&jobs.snapshot())])?;
        Ok(Self { journal: Some(journal) })
    }

    /// Writes the changes since the last call. After a failed write, no more changes are written.
    pub fn write_changes(&mut self, jobs: &mut Jobs) {
        let changes = jobs.take_changes();
        let Some(journal) = &mut self.journal else { return };
        if changes.is_empty() {
            return;
        }
        let mut written = journal.append(&wire::encode(&changes));
        if written.is_ok() && journal.snapshot_due() {
            written = journal.replace(&[wire::encode(&jobs.snapshot())]);
        }
        if let Err(e) = written {
            error!(error = %e, "the file of jobs cannot be written; changes of jobs are no longer stored");
            self.journal = None;
        }
    }
}
