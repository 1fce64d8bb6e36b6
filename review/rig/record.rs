//! Record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes the lines of `record.txt`; shared by all threads of a case.
pub struct Record {
    begin: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            begin: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Milliseconds since the start of the run.
    pub fn now_ms(&self) -> u64 {
        self.begin.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let ms = self.now_ms();
        let mut file = self.file.lock().expect("record");
        // A line that is lost shows as a gap in the record; the result does not depend on it.
        let _ = writeln!(file, "{:>4}.{:03} s  {text}", ms / 1000, ms % 1000);
    }
}
