//! Which of several versions a replica takes next.
//!
//! The newest named version is what is wanted in the end. But while its
//! chunks cannot come, because the origin is away or because it was named a
//! moment ago, a version named before it may be within reach, and the one in
//! force may be near the end of its time. Each replica therefore takes the
//! newest version that can be here by its turn. One that holds nothing has
//! its turn at once: it takes what its hall serves, where that can be here
//! well before the newest.

use std::time::Duration;

/// What is known of one version that a replica could take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VersionCandidate {
    /// The version.
    pub version: u64,
    /// Chunks that have not come here.
    pub missing: usize,
    /// Chunks that have not come to the hall.
    pub missing_in_hall: usize,
    /// Whether nothing more comes to the hall for now.
    pub stalled: bool,
    /// How long until the replica's turn to take it.
    pub due_in: Duration,
    /// How long it may still be served.
    pub servable_for: Duration,
}

/// How long links take for one chunk of a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChunkTransferTimes {
    /// The link of the replica's instance.
    pub link: Duration,
    /// The origin's link, over which a chunk comes once for all halls.
    pub origin: Duration,
}

impl VersionCandidate {
    /// A version has to serve at least this long to be worth a load, which
    /// takes 0.3 s beside what the replica finishes for it. More would leave
    /// the last turns of a hall without any version while the newest is away.
    pub const MIN_SERVING_TIME: Duration = Duration::from_millis(1_000);

    /// Returns how long until all chunks are here, if they can come.
    pub fn fetch_time(&self, times: ChunkTransferTimes) -> Option<Duration> {
        if self.stalled && self.missing_in_hall > 0 {
            return None;
        }
        let to_hall = times.origin * self.missing_in_hall as u32;
        let to_here =
            times.link * self.missing.max(self.missing_in_hall) as u32;
        Some(to_here.max(to_hall))
    }

    /// Whether it may stand in for a newer one: nothing more has to be drawn
    /// for it from where the newer one comes, and it serves long enough.
    fn can_stand_in(&self, fetch_time: Duration) -> bool {
        self.missing_in_hall == 0
            && self.servable_for
                >= fetch_time + VersionCandidate::MIN_SERVING_TIME
    }
}

/// Returns the version to take: the newest that will be here by its turn;
/// else the one that is here soonest, or the newest if none can come. An
/// older one has to be here sooner by [`VersionCandidate::MIN_SERVING_TIME`].
///
/// `candidates` has the newest version first.
pub fn choose_version(
    candidates: &[VersionCandidate],
    times: ChunkTransferTimes,
) -> Option<u64> {
    let newest = candidates.first()?;
    let mut soonest: Option<(Duration, u64)> = None;
    for candidate in candidates {
        let Some(fetch_time) = candidate.fetch_time(times) else { continue };
        let last = candidate.version == newest.version;
        if !last && !candidate.can_stand_in(fetch_time) {
            continue;
        }
        if fetch_time <= candidate.due_in {
            return Some(candidate.version);
        }
        let sooner =
            |least| fetch_time + VersionCandidate::MIN_SERVING_TIME <= least;
        if soonest.is_none_or(|(least, _)| sooner(least)) {
            soonest = Some((fetch_time, candidate.version));
        }
    }
    Some(soonest.map_or(newest.version, |(_, version)| version))
}
