//! How fast a copy comes to a replica that answers callers meanwhile.

use std::time::Duration;

use crate::Time;

/// A copy that is spread over the time until it is needed.
///
/// What comes over a link faster than it must stands in the way of requests
/// and answers on the same link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FetchPace {
    chunks: usize,
    start: Time,
    span: Duration,
}

impl FetchPace {
    /// Returns the pace at which `chunks` that are missing at `start` come
    /// until `end`.
    pub fn new(chunks: usize, start: Time, end: Time) -> FetchPace {
        FetchPace { chunks, start, span: end.since(start) }
    }

    /// Returns how many chunks may still be missing at a moment.
    pub fn missing_at(&self, now: Time) -> usize {
        let gone = now.since(self.start);
        if gone >= self.span {
            return 0;
        }
        let left = (self.span - gone).as_millis();
        let span = self.span.as_millis().max(1);
        let missing = self.chunks as u128 * left / span;
        missing as usize
    }
}
