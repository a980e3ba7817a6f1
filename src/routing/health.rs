//! Exclusion of failing or slow servers with exponential backoff.

use std::time::Duration;

use crate::Time;

/// The health of one server as seen by one entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Health {
    failures: u32,
    /// When the last of `failures` was recorded.
    failed_at: Time,
    excluded_until: Time,
}

impl Health {
    /// How long a server is excluded after its first failure.
    pub const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

    /// The maximum number of times that the backoff doubles.
    pub const MAX_DOUBLINGS: u32 = 5;

    /// Returns the health of a server without recorded failures.
    pub const fn new() -> Health {
        Health {
            failures: 0,
            failed_at: Time::ZERO,
            excluded_until: Time::ZERO,
        }
    }

    /// Records the failure of a request that was sent at `sent`. The server is
    /// excluded for a time that doubles with each consecutive failure.
    ///
    /// Requests that were sent before the last failure are no further ones:
    /// all requests in flight fail together when a server stands still.
    pub fn record_failure(&mut self, sent: Time, now: Time) {
        if self.failures == 0 || sent >= self.failed_at {
            self.failures = self.failures.saturating_add(1);
            self.failed_at = now;
        }
        self.excluded_until = now.after(self.backoff());
    }

    /// Records a failure that excludes the server for at most `max_backoff`.
    /// Ignored while the server is excluded, so that reports of several
    /// entries do not add up.
    pub fn record_failure_capped(&mut self, max_backoff: Duration, now: Time) {
        if !self.is_available(now) || max_backoff.is_zero() {
            return;
        }
        self.record_failure(now, now);
        self.excluded_until = self.excluded_until.min(now.after(max_backoff));
    }

    /// Records that a request is sent to the server. If it has failed and not
    /// succeeded since, it gets no other one for as long as its last failure
    /// excluded it, so that few requests wait in vain at a server that still
    /// fails.
    pub fn record_sent(&mut self, now: Time) {
        if self.failures > 0 {
            self.excluded_until = now.after(self.backoff());
        }
    }

    /// Returns for how long the last failure excludes the server.
    pub fn backoff(&self) -> Duration {
        let doublings =
            self.failures.saturating_sub(1).min(Health::MAX_DOUBLINGS);
        Health::INITIAL_BACKOFF * (1 << doublings)
    }

    /// Returns the number of consecutive failures.
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a successful response, which resets the failures.
    pub fn record_success(&mut self) {
        *self = Health::new();
    }

    /// Returns whether the server may be chosen.
    ///
    /// It may be chosen again after the backoff. If it then fails, the next
    /// backoff is twice as long.
    pub fn is_available(&self, now: Time) -> bool {
        now >= self.excluded_until
    }
}
