//! The `Retry-After` of refused requests.
//!
//! A caller that retries too early is refused again and has used up its
//! retry. The delay has jitter so that callers refused at the same moment do
//! not retry at the same moment.

use std::time::Duration;

/// The reason why no replica serves a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// All replicas that can serve the request are full.
    NoCapacity,
    /// No replica can serve the request, full or not.
    NoReplica,
    /// No replica can serve the request now, and for some of them a
    /// `Retry-After` has not expired. Holds the shortest remaining one.
    RetryAfter(Duration),
    /// The attempted replicas declined the request.
    Declined,
    /// No connection to the attempted replicas could be established.
    Unreachable,
}

impl Shortage {
    /// The maximum `Retry-After` of replicas that is passed on to callers,
    /// since other replicas may become available before a longer one expires.
    const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

    /// Returns the delay after which the caller may retry. `jitter` is a
    /// random number from 0 to 1.
    pub fn retry_after(self, jitter: f64) -> Duration {
        let (min, max) = match self {
            // Capacity frees up as requests end, each of which lasts about a
            // second. A replica that declines is full or changes its version.
            Shortage::NoCapacity | Shortage::Declined => (1_000, 2_000),
            // If two replicas are unreachable at once, others usually are
            // too.
            Shortage::Unreachable => (2_000, 3_000),
            // Loading weights or starting processes takes seconds.
            Shortage::NoReplica => (2_500, 3_500),
            Shortage::RetryAfter(left) => {
                let min = left.min(Shortage::MAX_RETRY_AFTER);
                let min = min.as_millis() as u64;
                (min, min + 1_000)
            }
        };
        let spread = (max - min) as f64 * jitter.clamp(0.0, 1.0);
        Duration::from_millis(min + spread as u64)
    }
}
