//! Sliding-window limits on the requests that one process sends a replica.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Time;

/// A maximum number of requests in any span of a given length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SendPace {
    max: usize,
    span: Duration,
}

impl SendPace {
    /// Creates a pace of at most `max` requests in any `span`.
    pub const fn new(max: usize, span: Duration) -> SendPace {
        SendPace { max, span }
    }

    /// Creates a pace of `quota` requests per span. A quota below 1 allows one
    /// request in a proportionally longer span.
    pub fn of_quota(quota: f64, span: Duration) -> SendPace {
        if quota >= 1.0 {
            return SendPace::new(quota as usize, span);
        }
        let longer_span = span.as_secs_f64() / quota.max(SendPace::MIN_QUOTA);
        SendPace::new(1, Duration::from_secs_f64(longer_span))
    }

    /// The minimum quota; keeps the longer span finite.
    const MIN_QUOTA: f64 = 1e-4;

    /// Returns the maximum number of requests in a span.
    pub const fn max_requests(self) -> usize {
        self.max
    }

    /// Returns the length of the span.
    pub const fn span(self) -> Duration {
        self.span
    }
}

/// The requests for which one process has chosen a replica.
#[derive(Clone, Debug, Default)]
pub struct SentWindow {
    sent: VecDeque<Time>,
}

impl SentWindow {
    /// How long requests are kept. The latest is kept regardless of its age.
    const RETENTION: Duration = Duration::from_millis(4_500);

    /// Returns whether another request at `now` stays within `pace`.
    pub fn has_room(&self, pace: SendPace, now: Time) -> bool {
        let Some(first) = self.sent.len().checked_sub(pace.max) else {
            return true;
        };
        // Fewer than `max` requests are handled above, so `first` is out of
        // range only if `max` is 0.
        let Some(sent) = self.sent.get(first) else { return pace.max > 0 };
        now.since(*sent) >= pace.span
    }

    /// Records a request sent at `now`.
    pub fn record(&mut self, now: Time) {
        self.sent.push_back(now);
        while self.sent.len() > 1
            && now.since(self.sent[0]) > SentWindow::RETENTION
        {
            self.sent.pop_front();
        }
    }
}
