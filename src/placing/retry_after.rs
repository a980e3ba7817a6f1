//! `Retry-After` values in the answers of replicas.
//!
//! They apply only to the entry that received the answer.

use std::str::FromStr;
use std::time::Duration;

use crate::{Code, Error, Time};

/// How long a replica asks to be sent no requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RetryAfter(Duration);

impl RetryAfter {
    /// The maximum, in seconds.
    const MAX_S: f64 = 86_400.0;

    /// Returns the value as a duration.
    pub const fn duration(self) -> Duration {
        self.0
    }
}

impl FromStr for RetryAfter {
    type Err = Error;

    fn from_str(text: &str) -> Result<RetryAfter, Error> {
        let seconds: f64 = text.trim().parse().map_err(|_| {
            let allowed = "a decimal number of seconds";
            let what =
                format_args!("retry-after {text:?}, allowed: {allowed}");
            Error::new(Code::BadHeader, what)
        })?;
        if !(0.0..=RetryAfter::MAX_S).contains(&seconds) {
            let allowed = format_args!("0 to {} seconds", RetryAfter::MAX_S);
            return Err(Error::range("the retry-after", seconds, allowed));
        }
        Ok(RetryAfter(Duration::from_secs_f64(seconds)))
    }
}

/// The period during which a replica asked this entry to send it no requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownRetryAfter {
    until: Option<Time>,
}

impl KnownRetryAfter {
    /// Extends the period according to a value received at `now`; returns
    /// whether this starts a new period. A value never shortens the current
    /// period.
    pub fn update(&mut self, retry_after: RetryAfter, now: Time) -> bool {
        let active = self.remaining(now).is_some();
        self.until = self.until.max(Some(now.after(retry_after.duration())));
        !active && self.remaining(now).is_some()
    }

    /// Returns the time left until the period ends, or `None` if none is
    /// active.
    pub fn remaining(&self, now: Time) -> Option<Duration> {
        let remaining = self.until?.since(now);
        (!remaining.is_zero()).then_some(remaining)
    }
}
