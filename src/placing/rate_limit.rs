//! Rate limits that replicas set in their answers.
//!
//! A limit applies to all entries together and stays in effect until it is
//! withdrawn. Answers can arrive out of order, so an answer without a limit
//! withdraws it only if its request was sent after the last answer with a
//! limit was received.

use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::chooser_kind::{ChooserKind, MAX_PLACERS};
use super::sent_window::{SendPace, SentWindow};
use crate::{Code, Error, Time};

/// A replica's limit on requests per second from all entries together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RateLimit(f64);

impl RateLimit {
    /// The maximum, in requests per second.
    const MAX_PER_S: f64 = 1e6;

    /// Creates a limit of `per_s` requests per second.
    ///
    /// # Errors
    ///
    /// [`Code::OutOfRange`] for NaN and for values outside 0 to 1,000,000.
    pub fn new(per_s: f64) -> Result<RateLimit, Error> {
        if !(0.0..=RateLimit::MAX_PER_S).contains(&per_s) {
            let allowed = format_args!("0 to {}", RateLimit::MAX_PER_S);
            return Err(Error::range("the rate limit", per_s, allowed));
        }
        Ok(RateLimit(per_s))
    }

    /// The span over which requests are counted. It is slightly longer than
    /// the four seconds over which replicas count because requests sent more
    /// than four seconds apart may arrive within four seconds.
    pub const SPAN: Duration = Duration::from_millis(4_200);

    /// The span over which replicas count requests, in seconds.
    const REPLICA_SPAN_S: f64 = 4.0;

    /// The multiple of its limit that a replica tolerates in
    /// [`Self::REPLICA_SPAN_S`].
    const OVERAGE: f64 = 1.5;

    /// The requests that a replica tolerates in [`Self::REPLICA_SPAN_S`] in
    /// addition to [`Self::OVERAGE`].
    const SLACK: f64 = 5.0;

    /// The share of the tolerated requests for the placers of the replica's
    /// hall.
    const NEAR_SHARE: f64 = 0.6;

    /// The share for the placers of all other halls.
    const FAR_SHARE: f64 = 0.2;

    /// The share for entries that choose for themselves because they have no
    /// usable placer.
    const FALLBACK_SHARE: f64 = 0.2;

    /// The number of standard deviations above the mean up to which the
    /// requests in a span stay within the tolerated number.
    const MAX_DEVIATIONS: f64 = 5.0;

    /// The requests per span that are sent even at a limit of 0, because only
    /// an answer can withdraw the limit.
    const MIN_REQUESTS_PER_SPAN: f64 = 1.0;

    /// The number of entries assumed while the actual number is unknown.
    const DEFAULT_ENTRIES: usize = 40;

    /// Returns the pace at which one entry may send to the replica. `near` is
    /// whether the replica is in the entry's hall, `halls` the number of
    /// halls, and `entries` the number of entries, if known.
    ///
    /// If each hall has one placer, the placers together stay within the limit
    /// itself, unless it is very low. The overage that replicas tolerate is
    /// left for second placers and for entries that choose for themselves.
    pub fn pace(
        self,
        kind: ChooserKind,
        near: bool,
        halls: usize,
        entries: Option<usize>,
    ) -> SendPace {
        let limit = (self.0 * RateLimit::REPLICA_SPAN_S)
            .max(RateLimit::MIN_REQUESTS_PER_SPAN);
        let tolerated =
            self.0 * RateLimit::REPLICA_SPAN_S * RateLimit::OVERAGE
                + RateLimit::SLACK;
        let entries = entries.unwrap_or(RateLimit::DEFAULT_ENTRIES).max(1);
        let others = halls.saturating_sub(1);
        let far_share = if others == 0 { RateLimit::FAR_SHARE } else { 0.0 };
        let quota = match kind {
            ChooserKind::Sole => limit,
            ChooserKind::Independent => {
                quota(tolerated, entries).min(limit / entries as f64)
            }
            ChooserKind::Fallback => {
                quota(tolerated * RateLimit::FALLBACK_SHARE, entries)
            }
            ChooserKind::Placer if near || others == 0 => {
                let share = RateLimit::NEAR_SHARE + far_share;
                quota(tolerated * share, MAX_PLACERS).min(limit)
            }
            ChooserKind::Placer => {
                quota(tolerated * RateLimit::FAR_SHARE, MAX_PLACERS * others)
            }
        };
        SendPace::of_quota(quota, RateLimit::SPAN)
    }

    /// Returns the limit in requests per second.
    pub const fn per_s(self) -> f64 {
        self.0
    }
}

/// Returns how many requests per span each of `choosers` may send so that
/// together they send at most `max_requests`.
///
/// If that is less than one, each chooser sends one request in a longer span.
/// With random phases, the number of requests in a span is approximately
/// Poisson-distributed, and its variance equals its mean.
fn quota(max_requests: f64, choosers: usize) -> f64 {
    let choosers = choosers as f64;
    if max_requests >= choosers {
        return max_requests / choosers;
    }
    let deviations = RateLimit::MAX_DEVIATIONS;
    let root =
        (deviations * deviations + 4.0 * max_requests).sqrt() - deviations;
    let mean = (root / 2.0).powi(2);
    mean / choosers
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
    /// The latest send time among the requests whose answers set no limit.
    unlimited_at: Option<Time>,
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
    /// Updates the limit from an answer received at `received_at`, by this
    /// entry or another, to a request sent at `sent_at`; returns the change,
    /// if any.
    pub fn update(
        &mut self,
        limit: Option<RateLimit>,
        sent_at: Time,
        received_at: Time,
    ) -> Option<LimitChange> {
        match limit {
            Some(limit) => self.set(limit, received_at),
            None => self.withdraw(sent_at, received_at),
        }
    }

    fn set(
        &mut self,
        limit: RateLimit,
        received_at: Time,
    ) -> Option<LimitChange> {
        if self.unlimited_at.is_some_and(|at| received_at < at) {
            return None;
        }
        let previous = self.active;
        if previous.is_some_and(|active| received_at < active.last_at) {
            return None;
        }
        let first_at = previous.map_or(received_at, |active| active.first_at);
        let last_at = received_at;
        self.active = Some(ActiveLimit { limit, first_at, last_at });
        let same = previous.is_some_and(|active| active.limit == limit);
        (!same).then_some(LimitChange::Set(limit))
    }

    fn withdraw(
        &mut self,
        sent_at: Time,
        received_at: Time,
    ) -> Option<LimitChange> {
        self.unlimited_at = self.unlimited_at.max(Some(sent_at));
        let active = self.active?;
        if sent_at <= active.last_at {
            return None;
        }
        self.active = None;
        let after = received_at.since(active.first_at);
        Some(LimitChange::Withdrawn { after })
    }

    /// Returns whether a chooser with the given `pace` and the requests in
    /// `sent` may send the replica another request at `now`. `offset`, from 0
    /// to 1, staggers choosers that send less than one request per span.
    pub fn has_room(
        &self,
        pace: SendPace,
        sent: &SentWindow,
        offset: f64,
        now: Time,
    ) -> bool {
        let Some(active) = self.active else { return true };
        let staggered = pace.span() > RateLimit::SPAN;
        let first_at = active.first_at.after(pace.span().mul_f64(offset));
        (!staggered || now >= first_at) && sent.has_room(pace, now)
    }

    /// Returns the limit in effect, if any, and when the last answer that set
    /// one was received.
    pub fn last_set(&self) -> Option<(RateLimit, Time)> {
        self.active.map(|active| (active.limit, active.last_at))
    }

    /// Returns the limit in effect, if any.
    pub fn limit(&self) -> Option<RateLimit> {
        self.active.map(|active| active.limit)
    }
}
