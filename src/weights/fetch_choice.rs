//! Chooses which of several versions a cache fetches first.
//!
//! Two versions that are fetched at the same time share the origin's link, and
//! neither may be complete when the origin becomes unreachable. A cache thus
//! fetches one version at a time. The newest goes first, unless an older one
//! lacks so few chunks in the whole fleet that completing it hardly delays the
//! newest. All caches come to the same choice, since they count the chunks that
//! any of them holds.

use std::time::Duration;

use super::{ChunkTransferTimes, VersionCandidate};

/// A version that a cache could fetch, and where its chunks are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FetchCandidate {
    /// The version.
    pub version: u64,
    /// The number of chunks of the version.
    pub chunks: usize,
    /// The number of chunks that this cache does not hold.
    pub missing: usize,
    /// The number of chunks that no known process of any hall holds.
    pub missing_in_fleet: usize,
    /// How long requests may still begin on it.
    pub servable_for: Duration,
}

/// What limits the fetches of all versions.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FetchLimits {
    /// Whether the origin answered the last request.
    pub origin_reachable: bool,
    /// The transfer times of a chunk.
    pub times: ChunkTransferTimes,
    /// How long until the newest version must be serving.
    pub newest_due_in: Duration,
}

impl FetchCandidate {
    /// The divisor of the fraction of a version that may be missing in the
    /// fleet when it is completed before a newer one. The rest takes a quarter
    /// of the time of a copy, and a complete version can be served during an
    /// origin outage.
    const REST_DIVISOR: usize = 4;

    /// How long the agents take to receive the last chunks and load a version
    /// after the caches have it: two transfers between processes that hold
    /// requests for up to 0.8 s, and a load of 0.3 s.
    pub const LAST_STEPS: Duration = Duration::from_millis(2_000);

    /// Returns how long until all chunks are here, or `None` if they cannot
    /// arrive at present.
    pub fn fetch_time(&self, limits: &FetchLimits) -> Option<Duration> {
        if self.missing_in_fleet > 0 && !limits.origin_reachable {
            return None;
        }
        let to_fleet = limits.times.origin * self.missing_in_fleet as u32;
        let to_here = limits.times.link * self.missing as u32;
        Some(to_fleet.max(to_here))
    }

    /// Returns whether requests may begin on it for long enough after it is
    /// complete. During an outage its rest is assumed to arrive at once.
    fn is_useful(&self, limits: &FetchLimits) -> bool {
        let fetch_time = self.fetch_time(limits).unwrap_or_default();
        self.servable_for >= fetch_time + VersionCandidate::MIN_SERVING_TIME
    }

    /// Returns whether to complete this version before the newest one, which is
    /// incomplete.
    fn goes_before(
        &self,
        newest: &FetchCandidate,
        limits: &FetchLimits,
    ) -> bool {
        if self.missing == 0
            || newest.missing_in_fleet == 0
            || self.missing_in_fleet * FetchCandidate::REST_DIVISOR
                > self.chunks
            || !self.is_useful(limits)
        {
            return false;
        }
        let Some(newest_time) = newest.fetch_time(limits) else { return true };
        // Only the origin's link is shared with the newest version.
        let delay = limits.times.origin * self.missing_in_fleet as u32;
        let done = newest_time + FetchCandidate::LAST_STEPS;
        let due = limits.newest_due_in;
        done > due || done + delay <= due
    }
}

/// Returns the version to fetch next: the newest, or an older one that is
/// completed before it. Returns `None` without candidates, which are sorted
/// from newest to oldest.
///
/// The choice stands without regard to the previous one. Only chunks of the
/// chosen version arrive, so an older version that was left does not come
/// closer to completion, and one that is being completed goes on to lack less.
/// If each cache clung to its own previous choice, caches of different choices
/// would wait for each other's chunks.
pub fn choose_fetch(
    candidates: &[FetchCandidate],
    limits: &FetchLimits,
) -> Option<u64> {
    let newest = candidates.first()?;
    if newest.missing == 0 {
        return Some(newest.version);
    }
    let mut older = candidates[1..].iter();
    let first = older.find(|c| c.goes_before(newest, limits));
    Some(first.map_or(newest.version, |c| c.version))
}
