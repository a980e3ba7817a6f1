//! The decision log: JSON lines on standard output.
//!
//! The log has a line for each decision that affects a request or changes the
//! state that the process acts on. Lines go into a bounded buffer that a
//! dedicated thread writes out, so that a log reader that has stalled never
//! blocks a request. Lines that do not fit are counted, and their number is
//! logged.

mod decision;

use std::io::Write as _;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;

pub use self::decision::{Decision, VersionInputs};
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

/// A buffered log of decisions; clones share one buffer.
#[derive(Clone, Debug)]
pub struct DecisionLog {
    buffer: Arc<Mutex<Buffer>>,
    start: Instant,
    max_bytes: usize,
}

/// The time between two writes of the buffer to standard output.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

impl DecisionLog {
    /// The default limit of the buffer, in bytes.
    pub const MOST_BYTES: usize = 256 * 1024;

    /// Returns a log that drops lines once its buffer holds `max_bytes`.
    ///
    /// Nothing is written out until [`DecisionLog::spawn_writer`] is called.
    pub fn new(max_bytes: usize) -> DecisionLog {
        DecisionLog {
            buffer: Arc::default(),
            start: Instant::now(),
            max_bytes,
        }
    }

    /// Starts a thread that writes the buffer to standard output regularly.
    pub fn spawn_writer(&self) {
        let log = self.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(FLUSH_INTERVAL);
                log.flush();
            }
        });
    }

    /// Adds a line, or counts it as dropped if the buffer is full.
    pub fn write(&self, decision: &Decision<'_>) {
        let ms = self.start.elapsed().as_millis() as u64;
        let line = Line { wall: wall(), ms, decision };
        let mut buffer = self.lock();
        if buffer.bytes.len() >= self.max_bytes {
            buffer.dropped += 1;
            return;
        }
        if serde_json::to_writer(&mut buffer.bytes, &line).is_ok() {
            buffer.bytes.push(b'\n');
        }
    }

    /// Removes all lines from the buffer and returns them.
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
        // The reader of the log may be gone, which must not end the process.
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
