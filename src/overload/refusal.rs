//! Refusals for lack of capacity, with the time after which callers may
//! return.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Why a request is refused for lack of capacity.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FullReason {
    /// It waited, and no replica had capacity in time.
    Waited,
    /// It can only be late, and requests wait that can be in time.
    Late,
    /// The requests that are entitled to a place before it need all capacity
    /// for longer than it may wait.
    Behind,
}

impl FullReason {
    /// Returns the name of the reason in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            FullReason::Waited => "waited",
            FullReason::Late => "late",
            FullReason::Behind => "behind",
        }
    }
}

/// A refusal for lack of capacity, with the estimate that decided.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Full {
    /// The time after which the caller may return, in milliseconds.
    pub retry_after_ms: u32,
    /// Why the request is refused.
    pub reason: FullReason,
    /// Whether capacity is expected at the return time.
    #[serde(default)]
    pub promised: bool,
    /// The estimated capacity, in work per second; see
    /// [`work`](super::work).
    #[serde(default)]
    pub capacity: f64,
    /// The demand of new callers, in work per second.
    #[serde(default)]
    pub demand: f64,
    /// The age of the estimate, in milliseconds.
    #[serde(default)]
    pub age_ms: u32,
}

impl Full {
    /// The maximum time after which a caller is told to return, in
    /// milliseconds, whatever another process sends.
    pub const MAX_RETRY_AFTER_MS: u32 = 60_000;

    /// Returns whether all values are in their ranges.
    pub fn is_valid(&self) -> bool {
        let rates = [self.capacity, self.demand];
        self.retry_after_ms <= Full::MAX_RETRY_AFTER_MS
            && rates.iter().all(|r| r.is_finite() && *r >= 0.0)
    }

    /// Returns the time after which the caller may return.
    pub const fn retry_after(&self) -> Duration {
        Duration::from_millis(self.retry_after_ms as u64)
    }
}

impl fmt::Display for Full {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self.reason {
            FullReason::Waited => "no replica had room in time",
            FullReason::Late => {
                "other requests that can still be in time need all capacity"
            }
            FullReason::Behind => {
                "other requests need all capacity for as long as it may wait"
            }
        })?;
        f.write_str(if self.promised {
            "; capacity is expected when Retry-After ends"
        } else {
            "; no capacity is expected within the time left"
        })
    }
}

/// The mean `Retry-After` without a shortage, in milliseconds: capacity frees
/// up as requests end, each of which lasts about a second.
const MEAN_RETRY_AFTER_MS: f64 = 1_500.0;

/// How much longer the mean is at a complete shortage, as a factor in addition
/// to 1.
const SHORTAGE_FACTOR: f64 = 3.0;

/// The spread around the mean, as a fraction of it, so that callers that were
/// refused at the same moment do not return at the same moment.
const SPREAD: f64 = 1.0 / 3.0;

/// The part of the time left after which callers return even if they are told
/// to return later. A longer time would bring all of them back after the same
/// time.
const HONOURED_DIVISOR: u32 = 3;

/// Returns the time after which a caller without a promised time may return,
/// in milliseconds. It grows with the shortage, from 0 to 1, up to the time
/// for which callers wait. `jitter` is a random number from 0 to 1.
pub fn shortage_retry_after_ms(
    shortage: f64,
    left_ms: u32,
    jitter: f64,
) -> u32 {
    let growth = 1.0 + SHORTAGE_FACTOR * shortage.clamp(0.0, 1.0);
    let mean = MEAN_RETRY_AFTER_MS * growth;
    let honoured = (left_ms / HONOURED_DIVISOR).min(Full::MAX_RETRY_AFTER_MS);
    let max = (mean * (1.0 + SPREAD)).min(f64::from(honoured));
    let min = (mean * (1.0 - SPREAD)).min(max * (1.0 - SPREAD));
    (min + (max - min) * jitter.clamp(0.0, 1.0)) as u32
}
