//! When the events of a stream were passed on.

use std::time::{Duration, Instant};

/// The first event of a stream, and the longest pause after it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventTiming {
    first: Option<Instant>,
    last: Option<Instant>,
    longest: Duration,
}

impl EventTiming {
    /// Takes note that events are passed on now.
    pub(crate) fn record(&mut self, now: Instant) {
        if let Some(last) = self.last {
            self.longest = self.longest.max(now.duration_since(last));
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    /// Returns how long after `since` the first event was passed on, in
    /// milliseconds.
    pub(crate) fn first_ms(&self, since: Instant) -> Option<u64> {
        let first = self.first?;
        Some(first.duration_since(since).as_millis() as u64)
    }

    /// Returns the longest pause, in milliseconds.
    pub(crate) const fn longest_gap_ms(&self) -> u64 {
        self.longest.as_millis() as u64
    }
}
