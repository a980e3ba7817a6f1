//! The log of decisions: one JSON line each, on standard output.
//!
//! A line is written for each decision that touches a request or changes
//! what the process believes. Lines go into a bounded buffer that a thread
//! of its own writes out, so a reader that does not read never holds up a
//! request; what did not fit is counted, and the count is logged.

mod decision;

use std::io::Write as _;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;

pub use self::decision::Decision;
use crate::node::wall;

#[derive(Serialize)]
struct Line<'a> {
    wall: u64,
    ms: u64,
    #[serde(flatten)]
    decision: &'a Decision<'a>,
}

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Writes decisions; clones share one buffer.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    buffer: Arc<Mutex<Buffer>>,
    start: Instant,
    most: usize,
}

/// How often the buffer is written out.
const FLUSH: Duration = Duration::from_millis(250);

impl DecisionLog {
    /// The usual bound on the buffer, in bytes.
    pub const MOST_BYTES: usize = 256 * 1024;

    /// Returns a log whose buffer holds at most `most` bytes. Nothing is
    /// written out until [`DecisionLog::spawn_writer`] is called.
    pub fn new(most: usize) -> DecisionLog {
        DecisionLog { buffer: Arc::default(), start: Instant::now(), most }
    }

    /// Starts the thread that writes the buffer to standard output.
    pub fn spawn_writer(&self) {
        let log = self.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(FLUSH);
                log.flush();
            }
        });
    }

    /// Adds a line, or counts it as dropped where the buffer is full.
    pub fn write(&self, decision: &Decision<'_>) {
        let ms = self.start.elapsed().as_millis() as u64;
        let line = Line { wall: wall(), ms, decision };
        let mut buffer = self.lock();
        if buffer.bytes.len() >= self.most {
            buffer.dropped += 1;
            return;
        }
        if serde_json::to_writer(&mut buffer.bytes, &line).is_ok() {
            buffer.bytes.push(b'\n');
        }
    }

    /// Takes all lines out of the buffer.
    pub fn take(&self) -> Vec<u8> {
        let dropped = std::mem::take(&mut self.lock().dropped);
        if dropped > 0 {
            let mut taken = std::mem::take(&mut self.lock().bytes);
            self.write(&Decision::Dropped { lines: dropped });
            taken.append(&mut self.lock().bytes);
            return taken;
        }
        std::mem::take(&mut self.lock().bytes)
    }

    /// Writes the buffer to standard output.
    pub fn flush(&self) {
        let bytes = self.take();
        if bytes.is_empty() {
            return;
        }
        let mut out = std::io::stdout().lock();
        // Nobody may read the logs; that must not stop the process.
        let _ = out.write_all(&bytes);
        let _ = out.flush();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Buffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
#[path = "decisions_tests.rs"]
mod tests;
