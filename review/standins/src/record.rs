//! What was sent, answered and run, with times.

use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(u64, String)>>,
}

impl Default for Record {
    fn default() -> Record {
        Record { start: Instant::now(), lines: Mutex::default() }
    }
}

impl Record {
    /// Returns the milliseconds since the start.
    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: impl Into<String>) -> u64 {
        let ms = self.ms();
        self.lines.lock().unwrap().push((ms, line.into()));
        ms
    }

    /// Writes the record to the file that `RECORD` names, `record.txt` by
    /// default.
    pub fn write(&self) {
        let path = std::env::var("RECORD").unwrap_or("record.txt".into());
        let mut file = std::fs::File::create(path).expect("a record file");
        for (ms, line) in self.lines.lock().unwrap().iter() {
            let _ = writeln!(file, "{:9.3} s  {line}", *ms as f64 / 1000.0);
        }
    }
}
