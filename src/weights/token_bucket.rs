//! A token bucket that limits the rate of a link.

use std::time::Duration;

use crate::Time;

/// Limits sending to a rate in bytes per second, with a burst in bytes.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    bytes_per_sec: u64,
    burst: u64,
    tokens: f64,
    updated_at: Time,
}

impl TokenBucket {
    /// Returns a full bucket. A rate of 0 means no limit.
    pub const fn new(bytes_per_sec: u64, burst: u64) -> TokenBucket {
        TokenBucket {
            bytes_per_sec,
            burst,
            tokens: burst as f64,
            updated_at: Time::ZERO,
        }
    }

    /// Changes the rate from now on.
    pub const fn set_rate(&mut self, bytes_per_sec: u64) {
        self.bytes_per_sec = bytes_per_sec;
    }

    /// Takes `bytes` and returns how long to wait before sending them.
    ///
    /// The number of tokens may become negative, in which case later callers
    /// wait longer. The rate thus holds over any period longer than the burst.
    pub fn take(&mut self, bytes: u64, now: Time) -> Duration {
        if self.bytes_per_sec == 0 {
            return Duration::ZERO;
        }
        let gained = now.since(self.updated_at).as_secs_f64()
            * self.bytes_per_sec as f64;
        self.tokens = (self.tokens + gained).min(self.burst as f64);
        self.updated_at = self.updated_at.max(now);
        self.tokens -= bytes as f64;
        if self.tokens >= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(-self.tokens / self.bytes_per_sec as f64)
    }
}
