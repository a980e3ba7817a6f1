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
pub struct Prospect {
    /// The version.
    pub version: u64,
    /// Chunks that have not come here.
    pub missing: usize,
    /// Chunks that have not come to the hall.
    pub outside: usize,
    /// Whether nothing more comes to the hall for now.
    pub stuck: bool,
    /// How long until the replica's turn to take it.
    pub due: Duration,
    /// How long it may still be served.
    pub left: Duration,
}

/// How long links take for one chunk of a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ChunkTimes {
    /// The link of the replica's instance.
    pub link: Duration,
    /// The origin's link, over which a chunk comes once for all halls.
    pub origin: Duration,
}

impl Prospect {
    /// A version has to serve at least this long to be worth a load, which
    /// takes 0.3 s beside what the replica finishes for it. More would leave
    /// the last turns of a hall without any version while the newest is away.
    pub const WORTH: Duration = Duration::from_millis(1_000);

    /// Returns how long until all chunks are here, if they can come.
    pub fn whole_in(&self, times: ChunkTimes) -> Option<Duration> {
        if self.stuck && self.outside > 0 {
            return None;
        }
        let to_hall = times.origin * self.outside as u32;
        let to_here = times.link * self.missing.max(self.outside) as u32;
        Some(to_here.max(to_hall))
    }

    /// Whether it may stand in for a newer one: nothing more has to be drawn
    /// for it from where the newer one comes, and it serves long enough.
    fn bridges(&self, whole_in: Duration) -> bool {
        self.outside == 0 && self.left >= whole_in + Prospect::WORTH
    }
}

/// Returns the version to take: the newest that will be here by its turn;
/// else the one that is here soonest, or the newest if none can come. An
/// older one has to be here sooner by [`Prospect::WORTH`].
///
/// `prospects` has the newest version first.
pub fn choose_version(
    prospects: &[Prospect],
    times: ChunkTimes,
) -> Option<u64> {
    let newest = prospects.first()?;
    let mut soonest: Option<(Duration, u64)> = None;
    for prospect in prospects {
        let Some(whole_in) = prospect.whole_in(times) else { continue };
        let last = prospect.version == newest.version;
        if !last && !prospect.bridges(whole_in) {
            continue;
        }
        if whole_in <= prospect.due {
            return Some(prospect.version);
        }
        let sooner = |least| whole_in + Prospect::WORTH <= least;
        if soonest.is_none_or(|(least, _)| sooner(least)) {
            soonest = Some((whole_in, prospect.version));
        }
    }
    Some(soonest.map_or(newest.version, |(_, version)| version))
}
