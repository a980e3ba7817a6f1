//! The record of a case: what was sent, answered and run, by time.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        let file = Mutex::new(File::create(path).expect("record"));
        Record { start: Instant::now(), file }
    }

    /// Returns the milliseconds since the start of the case.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line with the time.
    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {}", self.now(), text.as_ref());
    }
}
