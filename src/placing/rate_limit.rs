//! Rate limits that replicas set in their answers.
//!
//! A limit applies to all entries together and stays in effect until it is
//! withdrawn. Answers can arrive out of order, so an answer without a limit
//! withdraws it only if its request was sent after the last answer with a
//! limit was received.

use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Code, Error, Time};

/// A replica's limit on requests per second from all entries together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RateLimit(f64);

impl RateLimit {
    /// The maximum, in requests per second.
    const MOST: f64 = 1e6;

    /// Creates a limit of `per_s` requests per second.
    ///
    /// # Errors
    ///
    /// [`Code::OutOfRange`] for NaN and for values outside 0 to 1,000,000.
    pub fn new(per_s: f64) -> Result<RateLimit, Error> {
        if !(0.0..=RateLimit::MOST).contains(&per_s) {
            let allowed = format_args!("0 to {}", RateLimit::MOST);
            return Err(Error::range("the rate limit", per_s, allowed));
        }
        Ok(RateLimit(per_s))
    }

    /// Returns the limit in requests per second.
    pub const fn per_s(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RateLimit {
    type Error = Error;

    fn try_from(per_s: f64) -> Result<RateLimit, Error> {
        RateLimit::new(per_s)
    }
}

impl From<RateLimit> for f64 {
    fn from(limit: RateLimit) -> f64 {
        limit.0
    }
}

impl FromStr for RateLimit {
    type Err = Error;

    fn from_str(text: &str) -> Result<RateLimit, Error> {
        let per_s = text.trim().parse().map_err(|_| {
            let allowed = "a decimal number";
            let what = format_args!("rate limit {text:?}, allowed: {allowed}");
            Error::new(Code::BadHeader, what)
        })?;
        RateLimit::new(per_s)
    }
}

/// The rate limit of one replica, as known from its answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownLimit {
    active: Option<ActiveLimit>,
}

#[derive(Clone, Copy, Debug)]
struct ActiveLimit {
    limit: RateLimit,
    /// When the first answer with a limit was received.
    first_at: Time,
    /// When the last answer with a limit was received.
    last_at: Time,
}

/// A change to a replica's rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The limit was set or changed.
    Set(RateLimit),
    /// The limit was withdrawn.
    Withdrawn {
        /// How long a limit was in effect.
        after: Duration,
    },
}

impl KnownLimit {
    /// Updates the limit from an answer received at `now` to a request sent at
    /// `sent_at`; returns the change, if any.
    pub fn update(
        &mut self,
        limit: Option<RateLimit>,
        sent_at: Time,
        now: Time,
    ) -> Option<LimitChange> {
        match (limit, self.active) {
            (Some(limit), previous) => {
                let first_at = previous.map_or(now, |active| active.first_at);
                self.active =
                    Some(ActiveLimit { limit, first_at, last_at: now });
                let same =
                    previous.is_some_and(|active| active.limit == limit);
                (!same).then_some(LimitChange::Set(limit))
            }
            (None, Some(active)) if sent_at > active.last_at => {
                self.active = None;
                let after = now.since(active.first_at);
                Some(LimitChange::Withdrawn { after })
            }
            (None, _) => None,
        }
    }

    /// Returns the limit in effect, if any.
    pub fn limit(&self) -> Option<RateLimit> {
        self.active.map(|active| active.limit)
    }

    /// Returns when the first answer with a limit was received, if one is in
    /// effect.
    pub fn since(&self) -> Option<Time> {
        self.active.map(|active| active.first_at)
    }
}
