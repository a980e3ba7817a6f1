//! Chooses which of several versions a replica fetches next.
//!
//! The goal is the newest version. But while its chunks cannot arrive, because
//! the origin is unreachable or the version was announced only a moment ago,
//! an older version may be available, and the version being served may be
//! about to expire. Each replica therefore takes the newest version that can
//! arrive by its turn to load. A replica that holds no version may load at
//! once: it takes the version that its hall serves if that arrives well before
//! the newest.

use std::time::Duration;

/// A version that a replica could take, and the state of its chunks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionCandidate {
    /// The version.
    pub version: u64,
    /// Number of chunks that this replica has not received.
    pub missing: usize,
    /// Number of chunks that no process of the hall has received.
    pub missing_in_hall: usize,
    /// Whether currently no more chunks arrive in the hall.
    pub stalled: bool,
    /// How long until the replica's turn to load it.
    pub due_in: Duration,
    /// How long it may still be served.
    pub servable_for: Duration,
}

/// Transfer times of one chunk of a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChunkTransferTimes {
    /// On the link of the replica's instance.
    pub link: Duration,
    /// On the origin's link, which each chunk crosses once for all halls.
    pub origin: Duration,
}

impl VersionCandidate {
    /// The time that a version must be servable to be worth a load. Loading
    /// takes 0.3 s in addition to finishing the requests in progress. With a
    /// larger minimum, the replicas last to load in a hall would have no
    /// version to serve while the newest is unavailable.
    pub const MIN_SERVING_TIME: Duration = Duration::from_millis(1_000);

    /// Returns how long until all chunks are here, or `None` if they cannot
    /// arrive.
    pub fn fetch_time(&self, times: ChunkTransferTimes) -> Option<Duration> {
        if self.stalled && self.missing_in_hall > 0 {
            return None;
        }
        let to_hall = times.origin * self.missing_in_hall as u32;
        let to_here =
            times.link * self.missing.max(self.missing_in_hall) as u32;
        Some(to_here.max(to_hall))
    }

    /// Returns whether it can be served in place of a newer version: the hall
    /// holds all its chunks, so that fetching it doesn't compete with the
    /// newer one, and it stays servable long enough.
    fn can_stand_in(&self, fetch_time: Duration) -> bool {
        self.missing_in_hall == 0
            && self.servable_for
                >= fetch_time + VersionCandidate::MIN_SERVING_TIME
    }
}

/// Returns the version to take: the newest that arrives by its turn; else the
/// one that arrives first, or the newest if none can arrive. An older version
/// must arrive earlier by at least [`VersionCandidate::MIN_SERVING_TIME`].
///
/// `candidates` is sorted from newest to oldest. Returns `None` if it is
/// empty.
pub fn choose_version(
    candidates: &[VersionCandidate],
    times: ChunkTransferTimes,
) -> Option<u64> {
    let newest = candidates.first()?;
    let mut soonest: Option<(Duration, u64)> = None;
    for candidate in candidates {
        let Some(fetch_time) = candidate.fetch_time(times) else { continue };
        let is_newest = candidate.version == newest.version;
        if !is_newest && !candidate.can_stand_in(fetch_time) {
            continue;
        }
        if fetch_time <= candidate.due_in {
            return Some(candidate.version);
        }
        let is_sooner = |soonest_time| {
            fetch_time + VersionCandidate::MIN_SERVING_TIME <= soonest_time
        };
        if soonest.is_none_or(|(soonest_time, _)| is_sooner(soonest_time)) {
            soonest = Some((fetch_time, candidate.version));
        }
    }
    Some(soonest.map_or(newest.version, |(_, version)| version))
}
