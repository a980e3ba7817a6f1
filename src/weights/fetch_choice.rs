//! Chooses which of several versions a cache fetches first.
//!
//! Two versions that are fetched at the same time share the origin's link, and
//! neither may be complete when the origin becomes unreachable. A cache thus
//! fetches one version at a time. The newest goes first, unless an older one
//! lacks so few chunks in the whole fleet that completing it hardly delays the
//! newest, or the newest cannot be completed at present. All caches come to
//! the same choice, since they count the chunks that any of them holds.

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
    /// fleet when a cache turns to it from a newer one. The rest takes a
    /// quarter of the time of a copy, and a complete version can be served
    /// during an origin outage.
    const TURN_DIVISOR: usize = 4;

    /// The divisor of the fraction that may be missing when a cache stays with
    /// the version that it fetches although a newer one is requested. It is
    /// smaller than [`Self::TURN_DIVISOR`], so that small changes of the counts
    /// do not reverse a choice.
    const STAY_DIVISOR: usize = 2;

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

    /// Returns whether it can be completed while it is of use.
    fn is_useful(&self, limits: &FetchLimits) -> bool {
        self.fetch_time(limits).is_some_and(|fetch_time| {
            let needed = fetch_time + VersionCandidate::MIN_SERVING_TIME;
            self.servable_for >= needed
        })
    }

    /// Returns whether to complete this version before the newest one, which is
    /// incomplete.
    fn goes_before(
        &self,
        newest: &FetchCandidate,
        is_current: bool,
        limits: &FetchLimits,
    ) -> bool {
        if self.missing == 0 || !self.is_useful(limits) {
            return false;
        }
        let Some(newest_time) = newest.fetch_time(limits) else { return true };
        if newest.missing_in_fleet == 0 {
            return false;
        }
        let divisor = if is_current {
            FetchCandidate::STAY_DIVISOR
        } else {
            FetchCandidate::TURN_DIVISOR
        };
        if self.missing_in_fleet * divisor > self.chunks {
            return false;
        }
        // Turning to a version that this cache has little of takes its link
        // while chunks of the newest arrive.
        let has_little =
            self.missing * FetchCandidate::STAY_DIVISOR > self.chunks;
        if !is_current && has_little {
            return false;
        }
        // Only the origin's link is shared with the newest version.
        let delay = limits.times.origin * self.missing_in_fleet as u32;
        let done = newest_time + FetchCandidate::LAST_STEPS;
        let due = limits.newest_due_in;
        done > due || done + delay <= due
    }
}

/// Returns the version to fetch next, or `None` if nothing is missing. A
/// version that cannot be completed at present stays the choice if no other
/// one can be completed either.
///
/// `candidates` is sorted from newest to oldest, and `current` is the version
/// that is being fetched.
pub fn choose_fetch(
    candidates: &[FetchCandidate],
    current: Option<u64>,
    limits: &FetchLimits,
) -> Option<u64> {
    let newest = candidates.first()?;
    let older = &candidates[1..];
    if newest.missing == 0 {
        // The origin's link is not used for a version that replicas need not
        // load any more.
        let next = older.iter().find(|c| {
            c.missing > 0 && c.missing_in_fleet == 0 && c.is_useful(limits)
        });
        return next.map(|c| c.version);
    }
    // The current version is considered first, so that a choice stands.
    let is_current =
        |c: &&FetchCandidate| current.is_some_and(|v| v == c.version);
    if let Some(c) = older.iter().find(is_current)
        && c.goes_before(newest, true, limits)
    {
        return Some(c.version);
    }
    for candidate in older {
        if candidate.goes_before(newest, false, limits) {
            return Some(candidate.version);
        }
    }
    let none_completes = newest.fetch_time(limits).is_none();
    let stays = older.iter().find(is_current).filter(|c| {
        none_completes
            && c.missing > 0
            && c.servable_for > VersionCandidate::MIN_SERVING_TIME
    });
    Some(stays.map_or(newest.version, |c| c.version))
}
