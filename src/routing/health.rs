//! Leaving out a server that fails or is slow, and letting it back in.

use std::time::Duration;

use crate::Time;

/// What one entry has seen of one server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Health {
    failures: u32,
    excluded_until: Time,
}

impl Health {
    /// How long a server is left out after its first failure.
    pub const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

    /// How often that span doubles at most.
    pub const MAX_DOUBLINGS: u32 = 5;

    /// Returns the health of a server that nothing is known of.
    pub const fn new() -> Health {
        Health { failures: 0, excluded_until: Time::ZERO }
    }

    /// Takes note of a failure: the server is left out for a span that
    /// doubles with each failure in a row.
    pub fn record_failure(&mut self, now: Time) {
        self.failures = self.failures.saturating_add(1);
        self.excluded_until = now.after(self.backoff());
    }

    /// Takes note of a failure that leaves the server out for `max_span` at
    /// most. Ignored while the server is left out, so that reports of several
    /// entries do not add up.
    pub fn record_failure_capped(&mut self, max_span: Duration, now: Time) {
        if !self.is_available(now) || max_span.is_zero() {
            return;
        }
        self.record_failure(now);
        self.excluded_until = self.excluded_until.min(now.after(max_span));
    }

    /// Returns for how long the newest failure has the server left out.
    pub fn backoff(&self) -> Duration {
        let doublings =
            self.failures.saturating_sub(1).min(Health::MAX_DOUBLINGS);
        Health::INITIAL_BACKOFF * (1 << doublings)
    }

    /// Returns how many failures there were in a row.
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    /// Takes note of an answer.
    pub fn record_success(&mut self) {
        *self = Health::new();
    }

    /// Returns whether the server may be chosen. After the span it is let
    /// back in; if it fails again the next span is twice as long.
    pub fn is_available(&self, now: Time) -> bool {
        now >= self.excluded_until
    }
}
