//! The file `record.txt` of a case.

use std::fmt::Arguments;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What was sent, answered and run, each with the seconds since the start.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = Mutex::new(File::create(path).expect("record.txt can be written"));
        Arc::new(Self { file, started: Instant::now() })
    }

    pub fn note(&self, what: Arguments) {
        let line = format!("{:8.3} {what}\n", self.started.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
