//! A token bucket that shapes a link.

use std::time::Duration;

use crate::Time;

/// Shapes sending to a rate in bytes a second, with a burst.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: u64,
    burst: u64,
    level: f64,
    at: Time,
}

impl TokenBucket {
    /// Returns a full bucket. A rate of 0 does not shape at all.
    pub const fn new(rate: u64, burst: u64) -> TokenBucket {
        TokenBucket { rate, burst, level: burst as f64, at: Time::ZERO }
    }

    /// Shapes to another rate from now on.
    pub const fn set_rate(&mut self, rate: u64) {
        self.rate = rate;
    }

    /// Takes `bytes` and returns how long to wait before sending them.
    ///
    /// The level may go below zero: whoever comes next waits longer, so that
    /// the rate holds over any span longer than the burst.
    pub fn take(&mut self, bytes: u64, now: Time) -> Duration {
        if self.rate == 0 {
            return Duration::ZERO;
        }
        let gained = now.since(self.at).as_secs_f64() * self.rate as f64;
        self.level = (self.level + gained).min(self.burst as f64);
        self.at = self.at.max(now);
        self.level -= bytes as f64;
        if self.level >= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(-self.level / self.rate as f64)
    }
}
