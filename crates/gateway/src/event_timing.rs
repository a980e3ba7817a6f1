//! Timing of the events of a relayed stream.

use std::time::{Duration, Instant};

/// The time of the first event of a stream, and the longest gap between
/// events.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EventTiming {
    first: Option<Instant>,
    last: Option<Instant>,
    longest_gap: Duration,
}

impl EventTiming {
    /// Records that events are sent to the caller at `now`.
    pub(crate) fn record(&mut self, now: Instant) {
        if let Some(last) = self.last {
            self.longest_gap = self.longest_gap.max(now.duration_since(last));
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    /// Returns the time from `since` to the first event, in milliseconds, or
    /// `None` if there was no event.
    pub(crate) fn first_ms(&self, since: Instant) -> Option<u64> {
        let first = self.first?;
        Some(first.duration_since(since).as_millis() as u64)
    }

    /// Returns the longest gap between two events, in milliseconds.
    pub(crate) const fn longest_gap_ms(&self) -> u64 {
        self.longest_gap.as_millis() as u64
    }
}
