//! Counts of outcomes that decay with age.

use std::time::Duration;

use crate::Time;

/// The number of requests and of failures among them, both halved each
/// half-life.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct OutcomeCount {
    pub failed: f64,
    pub total: f64,
    at: Time,
}

impl OutcomeCount {
    /// Returns the counts as of `now`.
    pub(super) fn at(self, now: Time, half_life: Duration) -> OutcomeCount {
        let factor = decay(now.since(self.at), half_life);
        OutcomeCount {
            failed: self.failed * factor,
            total: self.total * factor,
            at: now.max(self.at),
        }
    }

    /// Counts a request. Older ones are reduced so that the total stays at most
    /// `max`, which shows a change after about as many requests.
    pub(super) fn record(
        &mut self,
        failed: bool,
        now: Time,
        half_life: Duration,
        max: f64,
    ) {
        *self = self.at(now, half_life);
        let factor = ((max - 1.0) / self.total).min(1.0);
        self.failed *= factor;
        self.total = self.total * factor + 1.0;
        self.failed += f64::from(u8::from(failed));
    }

    /// Adds another replica's counts, of at most `max` requests, so that the
    /// sum describes the replicas rather than the one with most requests. A
    /// replica that fails quickly completes many times more requests than the
    /// others.
    pub(super) fn add_capped(&mut self, other: OutcomeCount, max: f64) {
        if other.total <= 0.0 {
            return;
        }
        let weight = (max / other.total).min(1.0);
        self.failed += other.failed * weight;
        self.total += other.total * weight;
    }

    /// Returns the failure rate, with `prior` counted as the rate of further
    /// `weight` requests.
    pub(super) fn rate(self, prior: f64, weight: f64) -> f64 {
        (self.failed + prior * weight) / (self.total + weight)
    }
}

/// Returns the factor by which a count decays in `age`.
pub(super) fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
