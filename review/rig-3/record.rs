//! The record of a run: one line for each thing sent, answered or run.

use std::fs::File;
use std::io::Write as _;
use std::sync::Mutex;
use std::time::Instant;

/// Lines with the time since the start of the run.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    /// Creates the file `record.txt` in the case's folder.
    pub fn create(folder: &str) -> Self {
        let file = File::create(format!("{folder}/record.txt")).expect("record.txt");
        Self {
            file: Mutex::new(file),
            start: Instant::now(),
        }
    }

    /// Seconds since the start of the run.
    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
