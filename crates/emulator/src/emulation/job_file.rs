use std::path::Path;

use tracing::error;

use crate::jobs::{JobChange, Jobs};
use crate::journal::{Journal, JournalError};

/// The file that jobs' descriptions, progress and results outlive a restart in. Nobody
/// is promised that the last moments are in it.
#[derive(Debug)]
pub struct JobFile {
    /// None once it has failed.
    journal: Option<Journal>,
}

impl JobFile {
    /// Opens the file and gives the jobs what is in it.
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

    /// Writes down what has changed.
    pub fn keep(&mut self, jobs: &mut Jobs) {
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
            error!(error = %e, "what becomes of jobs is not kept any more");
            self.journal = None;
        }
    }
}
