//! The time that a replica is given for a repeated request.
//!
//! A replica that stands still reads a request later than it was sent, and
//! counts the time that it was given from then on. A repeat must not keep
//! replicas at work after its caller has gone.

use std::time::Duration;

/// How much later than it was sent a repeat may be read: the longest
/// standstill of a replica that goes on, less what it may work past the
/// caller's deadline.
const MAX_READ_DELAY: Duration = Duration::from_millis(1_500);

/// The least time that is given to a repeat, if that much is left.
const MIN_TIME: Duration = Duration::from_millis(500);

/// Returns the time that a replica is given for a repeat of a request that has
/// `left`. It is enough for an answer that takes twice the latency
/// `objective`.
pub fn repeat_time(left: Duration, objective: Duration) -> Duration {
    let needed = MIN_TIME.max(objective * 2);
    left.saturating_sub(MAX_READ_DELAY).max(needed).min(left)
}
