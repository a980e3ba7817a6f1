//! The failure rate to expect of a replica.

use super::outcome_count::OutcomeCount;
use super::outcome_window::{LONG_HALF_LIFE, MAX_USUAL, SHORT_HALF_LIFE};
use super::{ReplicaHealth, Source};
use crate::Time;

/// The lowest rate that is expected. A service in which a few in 100 requests
/// fail now and then needs no ejections.
pub(super) const MIN_RATE: f64 = 0.05;

/// The rate of a replica that is to be ejected. A replica that fails 45 in 100
/// requests still exceeds the expectation by far.
pub(super) const FAILING_RATE: f64 = 0.5;

/// The rate that is expected of a route without requests at other replicas.
/// It lies between the rates above, so that a route that fails at the
/// only replica that it was sent to says little about the replica.
const UNKNOWN_RATE: f64 = 0.25;

/// The number of requests that the assumed rate of a route counts as.
const ROUTE_PRIOR_WEIGHT: f64 = 2.0;

/// The number of requests that the rate of its route counts as for a source,
/// and the usual rate for the rate in the last moments. With less, single
/// failures elsewhere excuse a failing replica.
const PRIOR_WEIGHT: f64 = 4.0;

/// The maximum number of requests by which one replica counts for the rate in
/// the last moments.
const MAX_RECENT_PER_REPLICA: f64 = 4.0;

/// The recent failure rate at the other replicas from which all fail alike.
const ALL_FAIL_RATE: f64 = 0.4;

/// What is expected of a request at a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Expectation {
    /// The rate at which such requests fail.
    pub rate: f64,
    /// When another replica last served a request of the same source.
    pub served_at: Option<Time>,
    /// Whether all other replicas that are not ejected fail in the last
    /// moments, so that ejections are of no use.
    pub all_fail: bool,
}

impl Default for Expectation {
    fn default() -> Expectation {
        Expectation { rate: MIN_RATE, served_at: None, all_fail: false }
    }
}

/// Returns the failure rate to expect of the requests of a source at one
/// replica, from the outcomes at the others.
///
/// The result is the highest of the source's usual rate, its rate in the last
/// moments, and the rate of all sources in the last moments. A source with few
/// requests is assumed to be like the others of its route. The last two
/// rise at once when all replicas begin to fail. Ejected replicas do not count.
pub fn expected_rate<'a>(
    others: impl Iterator<Item = &'a ReplicaHealth>,
    source: Source,
    now: Time,
) -> Expectation {
    let mut served_at = None;
    let mut of_route = OutcomeCount::default();
    let mut usual = OutcomeCount::default();
    let mut recent = OutcomeCount::default();
    let mut all = OutcomeCount::default();
    for other in others {
        if other.standing(now).is_excluded() {
            continue;
        }
        let window = other.window();
        let of_all = window.all().at(now, SHORT_HALF_LIFE);
        all.add_capped(of_all, MAX_RECENT_PER_REPLICA);
        if let Some(record) = window.source(source.route()) {
            let long = record.long.at(now, LONG_HALF_LIFE);
            of_route.add_capped(long, MAX_USUAL);
        }
        let Some(record) = window.source(source) else { continue };
        served_at = served_at.max(record.served_at);
        let long = record.long.at(now, LONG_HALF_LIFE);
        usual.add_capped(long, MAX_USUAL);
        let short = record.short.at(now, SHORT_HALF_LIFE);
        recent.add_capped(short, MAX_RECENT_PER_REPLICA);
    }
    let of_route = of_route.rate(UNKNOWN_RATE, ROUTE_PRIOR_WEIGHT);
    let usual = usual.rate(of_route, PRIOR_WEIGHT);
    let recent = recent.rate(usual, PRIOR_WEIGHT);
    let all = all.rate(MIN_RATE, PRIOR_WEIGHT);
    Expectation {
        rate: usual.max(recent).max(all).clamp(MIN_RATE, FAILING_RATE),
        served_at,
        all_fail: all >= ALL_FAIL_RATE,
    }
}
