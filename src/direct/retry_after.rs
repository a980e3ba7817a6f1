//! When a refused caller is told to come back.
//!
//! A caller that comes back too early is refused again and has used up its
//! retry. Callers refused in the same moment are told different times, so
//! that they do not come back as one wave.

use std::time::Duration;

/// Why no replica could be given to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shortage {
    /// All replicas that could serve it are full.
    NoCapacity,
    /// No replica could serve it, with room or without.
    NoReplica,
    /// No replica could serve it and some are resting. Holds the shortest
    /// remaining `Retry-After`.
    RetryAfter(Duration),
    /// The replicas that were asked declined.
    Declined,
    /// No connection came up to the replicas that were asked.
    Unreachable,
}

impl Shortage {
    /// The maximum `Retry-After` of replicas that is passed on to callers,
    /// since other replicas may become available before a longer one expires.
    const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

    /// Returns when a caller may come back. `draw` is between 0 and 1.
    pub fn retry_after(self, draw: f64) -> Duration {
        let (least, most) = match self {
            // Room comes as requests end, each of which lasts about a
            // second; who declines has just been found full or changing.
            Shortage::NoCapacity | Shortage::Declined => (1_000, 2_000),
            // Two that are gone at a time are seldom the only ones.
            Shortage::Unreachable => (2_000, 3_000),
            // Weights have to come or processes to start: that takes seconds.
            Shortage::NoReplica => (2_500, 3_500),
            Shortage::RetryAfter(left) => {
                let least = left.min(Shortage::MAX_RETRY_AFTER);
                let least = least.as_millis() as u64;
                (least, least + 1_000)
            }
        };
        let spread = (most - least) as f64 * draw.clamp(0.0, 1.0);
        Duration::from_millis(least + spread as u64)
    }
}
