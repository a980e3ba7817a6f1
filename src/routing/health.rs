//! Leaving out a server that fails or is slow, and letting it back in.

use std::time::Duration;

use crate::Time;

/// What one entry has seen of one server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Health {
    strikes: u32,
    until: Time,
}

impl Health {
    /// How long a server is left out after its first failure.
    pub const FIRST: Duration = Duration::from_millis(500);

    /// How often that span doubles at most.
    pub const DOUBLINGS: u32 = 5;

    /// Returns the health of a server that nothing is known of.
    pub const fn new() -> Health {
        Health { strikes: 0, until: Time::ZERO }
    }

    /// Takes note of a failure: the server is left out for a span that
    /// doubles with each failure in a row.
    pub fn fail(&mut self, now: Time) {
        self.strikes = self.strikes.saturating_add(1);
        self.until = now.after(self.span());
    }

    /// Takes note of a failure that leaves the server out for `max_span` at
    /// most. Ignored while the server is left out, so that reports of several
    /// entries do not add up.
    pub fn fail_capped(&mut self, max_span: Duration, now: Time) {
        if !self.fit(now) || max_span.is_zero() {
            return;
        }
        self.fail(now);
        self.until = self.until.min(now.after(max_span));
    }

    /// Returns for how long the newest failure has the server left out.
    pub fn span(&self) -> Duration {
        let doublings = self.strikes.saturating_sub(1).min(Health::DOUBLINGS);
        Health::FIRST * (1 << doublings)
    }

    /// Returns how many failures there were in a row.
    pub const fn failures(&self) -> u32 {
        self.strikes
    }

    /// Takes note of an answer.
    pub fn succeed(&mut self) {
        *self = Health::new();
    }

    /// Returns whether the server may be chosen. After the span it is let
    /// back in; if it fails again the next span is twice as long.
    pub fn fit(&self, now: Time) -> bool {
        now >= self.until
    }
}
