//! The recent outcomes of one replica by source.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Source;
use super::outcome_count::{OutcomeCount, decay};
use crate::Time;

/// The maximum number of sources of which outcomes are kept: 5 routes, 24
/// workspaces, and each workspace on each route.
pub(super) const MAX_SOURCES: usize = 192;

/// The factor by which each further failure of a workspace's requests counts
/// less while no other replica has served its requests since the first. The
/// workspace itself may be at fault then.
const UNCONFIRMED_FACTOR: f64 = 1.0 / 3.0;

/// How long unconfirmed failures reduce the weight of further ones.
const UNCONFIRMED_RETENTION: Duration = Duration::from_secs(10);

/// The half-life of the counts that a source's usual failure rate comes from.
pub(super) const LONG_HALF_LIFE: Duration = Duration::from_secs(5);

/// The half-life of the counts that show that all replicas have begun to fail.
/// It is half of the time within which a failing replica has to be excluded.
pub(super) const SHORT_HALF_LIFE: Duration = Duration::from_millis(250);

/// The number of requests that a source's usual failure rate at one replica
/// comes from. With more, the rate rises too slowly when the requests of a
/// workspace begin to fail everywhere.
pub(super) const MAX_USUAL: f64 = 8.0;

/// The maximum of counts with [`SHORT_HALF_LIFE`]; only time reduces them.
const MAX_RECENT: f64 = 1e6;

/// The half-life of a suspicion.
const SUSPICION_HALF_LIFE: Duration = Duration::from_secs(10);

/// The sum of a cumulative-sum test, which decays with age.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CumulativeSum {
    score: f64,
    at: Time,
}

impl CumulativeSum {
    /// The maximum, so that a replica that failed for long recovers as fast
    /// as one that failed briefly.
    const MAX: f64 = 16.0;

    pub(super) const fn new(score: f64, at: Time) -> CumulativeSum {
        CumulativeSum { score, at }
    }

    pub(super) fn score(self, now: Time) -> f64 {
        self.score * decay(now.since(self.at), SUSPICION_HALF_LIFE)
    }

    pub(super) fn add(&mut self, step: f64, now: Time) {
        let score = self.score(now) + step;
        // Scores that have all but decayed do not count as suspicion.
        let score = if score < 0.01 { 0.0 } else { score };
        *self =
            CumulativeSum { score: score.min(CumulativeSum::MAX), at: now };
    }
}

/// The recent outcomes of one source at one replica.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SourceRecord {
    pub long: OutcomeCount,
    pub short: OutcomeCount,
    pub sum: CumulativeSum,
    /// When a request last succeeded.
    pub served_at: Option<Time>,
    /// When requests began to fail, if the last one failed.
    failing_since: Option<Time>,
    /// The number of failures since the last success that no other replica's
    /// success confirms.
    unconfirmed: i32,
    last_at: Time,
}

/// The recent outcomes of one replica.
#[derive(Clone, Debug, Default)]
pub(super) struct OutcomeWindow {
    sources: BTreeMap<Source, SourceRecord>,
    /// All sources together, by [`SHORT_HALF_LIFE`].
    all: OutcomeCount,
}

impl OutcomeWindow {
    /// Counts a request, which is a step of the tests of its source and of its
    /// route. Returns the higher result of the two.
    pub(super) fn record(
        &mut self,
        source: Source,
        failed: bool,
        step: f64,
        now: Time,
    ) -> f64 {
        self.all.record(failed, now, SHORT_HALF_LIFE, MAX_RECENT);
        let of_source = self.record_source(source, failed, step, now);
        let route = source.route();
        let of_route = self.record_source(route, failed, step, now);
        self.record_source(source.workspace(), failed, 0.0, now);
        of_source.max(of_route)
    }

    /// Returns how much a failure counts, from 0 to 1, if another replica last
    /// served a request of the source at `served_at`.
    pub(super) fn failure_weight(
        &mut self,
        source: Source,
        served_at: Option<Time>,
        now: Time,
    ) -> f64 {
        let record = self.sources.get(&source);
        let since = record.and_then(|record| record.failing_since);
        if since.is_some_and(|since| served_at >= Some(since)) {
            return 1.0;
        }
        let Some(record) = self.sources.get_mut(&source.workspace()) else {
            return 1.0;
        };
        if now.since(record.last_at) >= UNCONFIRMED_RETENTION {
            record.unconfirmed = 0;
        }
        record.unconfirmed = record.unconfirmed.saturating_add(1);
        UNCONFIRMED_FACTOR.powi(record.unconfirmed - 1)
    }

    /// Counts a request of a source. If there are too many sources, the one
    /// without requests for the longest time is dropped.
    fn record_source(
        &mut self,
        source: Source,
        failed: bool,
        step: f64,
        now: Time,
    ) -> f64 {
        if self.sources.len() >= MAX_SOURCES
            && !self.sources.contains_key(&source)
        {
            let oldest = self.sources.iter().min_by_key(|(_, r)| r.last_at);
            let oldest = oldest.map(|(source, _)| *source);
            oldest.and_then(|oldest| self.sources.remove(&oldest));
        }
        let record = self.sources.entry(source).or_default();
        record.last_at = now;
        if failed {
            record.failing_since = record.failing_since.or(Some(now));
        } else {
            record.served_at = Some(now);
            record.failing_since = None;
            record.unconfirmed = 0;
        }
        record.long.record(failed, now, LONG_HALF_LIFE, MAX_USUAL);
        record.short.record(failed, now, SHORT_HALF_LIFE, MAX_RECENT);
        record.sum.add(step, now);
        record.sum.score(now)
    }

    /// Adds a step to the tests of a source and of its route. Returns the
    /// higher result of the two.
    pub(super) fn add_step(
        &mut self,
        source: Source,
        step: f64,
        now: Time,
    ) -> f64 {
        let mut highest: f64 = 0.0;
        for source in [source, source.route()] {
            let Some(record) = self.sources.get_mut(&source) else { continue };
            record.sum.add(step, now);
            highest = highest.max(record.sum.score(now));
        }
        highest
    }

    /// Returns the outcomes of a source, if any are kept.
    pub(super) fn source(&self, source: Source) -> Option<&SourceRecord> {
        self.sources.get(&source)
    }

    /// Returns the higher result of the tests of a source and of its route.
    pub(super) fn source_score(&self, source: Source, now: Time) -> f64 {
        let mut highest: f64 = 0.0;
        for source in [source, source.route()] {
            let record = self.sources.get(&source);
            let score = record.map_or(0.0, |record| record.sum.score(now));
            highest = highest.max(score);
        }
        highest
    }

    /// Returns the recent outcomes of all sources.
    pub(super) const fn all(&self) -> OutcomeCount {
        self.all
    }

    /// Sets the test of each source back to at most `score`.
    pub(super) fn limit_sums(&mut self, score: f64, now: Time) {
        for record in self.sources.values_mut() {
            let score = record.sum.score(now).min(score);
            record.sum = CumulativeSum::new(score, now);
        }
    }

    /// Returns the number of sources.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.sources.len()
    }
}
