//! Pacing of a fetch on a replica that serves requests meanwhile.

use std::time::Duration;

use crate::Time;

/// A fetch that is spread over the time until the version is needed.
///
/// Fetching faster than necessary delays requests and answers on the same
/// link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FetchPace {
    chunks: usize,
    start: Time,
    span: Duration,
}

impl FetchPace {
    /// Returns the pace at which the `chunks` missing at `start` arrive by
    /// `end`.
    pub fn new(chunks: usize, start: Time, end: Time) -> FetchPace {
        FetchPace { chunks, start, span: end.since(start) }
    }

    /// Returns how many chunks may still be missing at `now`.
    pub fn missing_at(&self, now: Time) -> usize {
        let elapsed = now.since(self.start);
        if elapsed >= self.span {
            return 0;
        }
        let remaining = (self.span - elapsed).as_millis();
        let span = self.span.as_millis().max(1);
        let missing = self.chunks as u128 * remaining / span;
        missing as usize
    }
}
