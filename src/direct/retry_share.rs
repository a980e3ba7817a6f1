//! An entry's share of the retry budget of the whole fleet.
//!
//! The budget limits the retries of all entries together, without
//! coordination between them. Each entry may retry a fraction of its own
//! requests, so that the sum stays within the budget for any number of
//! entries. A small fixed allowance lets entries with little traffic retry.
//!
//! What an entry has spent is forgotten when it ends. Since its next life may
//! begin within the same window, that has only a part of the allowance until
//! it has seen a whole window itself.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Time;

/// Limits the retries of one service to a fraction of its requests in a
/// sliding window.
#[derive(Clone, Debug, Default)]
pub struct RetryShare {
    window: Duration,
    ratio: f64,
    /// The entry's part of the fixed allowance, without margins.
    allowance: f64,
    /// The fraction of it that is used within a window of a restart.
    restart_margin: f64,
    /// When the entry started, if another life of it may have ended before.
    restarted: Option<Time>,
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl RetryShare {
    /// The fraction of the configured ratio that is used. The rest allows for
    /// windows of the entries that are not aligned.
    const RATIO_MARGIN: f64 = 0.8;

    /// The fraction of the fixed allowance that is used by an entry that has
    /// run for a whole window.
    const ALLOWANCE_MARGIN: f64 = 0.8;

    /// The minimum number of entries that the allowance is divided by, also
    /// while their number is unknown. A newly started entry has seen few
    /// requests, and with a larger allowance it would retry one request on
    /// several replicas that crash for other reasons, as if the request
    /// were the cause.
    const MIN_ENTRIES: usize = 40;

    /// Returns the share of a budget that allows retries of `ratio` of the
    /// requests plus `minimum` retries per `window`, for all of the fleet's
    /// `entries` together.
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

    /// Changes the limits. Recorded requests and retries still count.
    pub fn set_limits(
        &mut self,
        window: Duration,
        ratio: f64,
        minimum: f64,
        entries: Option<usize>,
    ) {
        // Where agents report no entries, there are few.
        let known = entries.unwrap_or(1).max(1);
        let entries = known.max(RetryShare::MIN_ENTRIES);
        let part = known as f64 / entries as f64;
        // What earlier lives of all entries in the window leave.
        let left = (1.0 - part * RetryShare::ALLOWANCE_MARGIN) / part;
        self.restart_margin = left.min(RetryShare::ALLOWANCE_MARGIN);
        self.window = window;
        self.ratio = ratio * RetryShare::RATIO_MARGIN;
        self.allowance = minimum / entries as f64;
    }

    /// Sets when the entry started, if another life of it may have ended
    /// before.
    pub const fn set_restarted(&mut self, at: Time) {
        self.restarted = Some(at);
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: Time) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Returns whether the limits allow a retry.
    pub fn allows(&mut self, now: Time) -> bool {
        self.expire(now);
        let is_young =
            self.restarted.is_some_and(|at| now.since(at) < self.window);
        let margin = if is_young {
            self.restart_margin
        } else {
            RetryShare::ALLOWANCE_MARGIN
        };
        let allowance = self.allowance * margin;
        let max = self.requests.len() as f64 * self.ratio + allowance;
        self.retries.len() as f64 + 1.0 <= max
    }

    /// Records a retry if the limits allow one, and returns whether they do.
    pub fn try_spend(&mut self, now: Time) -> bool {
        let allowed = self.allows(now);
        if allowed {
            self.retries.push_back(now);
        }
        allowed
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
