//! One process's share of the retries that all entries may make together.
//!
//! The bound holds over all entries, which do not talk about it. Each spends
//! a part of the requests that it took itself, so that the sum keeps the
//! bound whatever the number of entries; a small allowance lets an entry
//! with little traffic retry at all.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Time;

/// Counts requests and retries of one service in a sliding window.
#[derive(Clone, Debug, Default)]
pub struct RetryShare {
    window: Duration,
    ratio: f64,
    allowance: f64,
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl RetryShare {
    /// The part of the bound's ratio that is spent; the rest covers the
    /// edges of windows that do not fall together.
    const RATIO_MARGIN: f64 = 0.8;

    /// The part of the fixed allowance that is spent: entries that have just
    /// begun are not counted yet.
    const ALLOWANCE_MARGIN: f64 = 0.8;

    /// The fewest entries that are reckoned with, also while their number is
    /// not known: an entry that has just begun has seen few requests, and
    /// retries no more than these. A larger part would send a request to more
    /// replicas that end by themselves, as if it ended them.
    const MIN_ENTRIES: usize = 40;

    /// Returns the share of a bound: `ratio` of the requests and `minimum`
    /// retries in each `window`, over all of the fleet's `entries`.
    pub fn new(
        window: Duration,
        ratio: f64,
        minimum: f64,
        entries: Option<usize>,
    ) -> RetryShare {
        let mut share = RetryShare::default();
        share.set_limits(window, ratio, minimum, entries);
        share
    }

    /// Keeps another bound from now on; what was spent stays spent.
    pub fn set_limits(
        &mut self,
        window: Duration,
        ratio: f64,
        minimum: f64,
        entries: Option<usize>,
    ) {
        let entries = entries.unwrap_or(0).max(RetryShare::MIN_ENTRIES);
        self.window = window;
        self.ratio = ratio * RetryShare::RATIO_MARGIN;
        self.allowance =
            minimum * RetryShare::ALLOWANCE_MARGIN / entries as f64;
    }

    /// Counts a request's first attempt.
    pub fn record_request(&mut self, now: Time) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Spends a retry, if the share has one left.
    pub fn try_spend(&mut self, now: Time) -> bool {
        self.expire(now);
        let most = self.requests.len() as f64 * self.ratio + self.allowance;
        if self.retries.len() as f64 + 1.0 > most {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn expire(&mut self, now: Time) {
        for times in [&mut self.requests, &mut self.retries] {
            while let Some(first) = times.front() {
                if now.since(*first) <= self.window {
                    break;
                }
                times.pop_front();
            }
        }
    }
}
