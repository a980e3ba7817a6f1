//! Whom to ask for the manifest of a version.
//!
//! All agents learn of a new version within the same moment. If all of them
//! asked the origin, its link would be busy with manifests for as long as a
//! good part of a copy takes. So only the first in rank ask it, and the
//! others ask agents that rank before them, where the question waits.

use std::time::Duration;

/// Where the next question for a manifest goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ManifestSource {
    /// The origin of weights.
    Origin,
    /// The agent of this rank.
    Agent(usize),
}

impl ManifestSource {
    /// The agents that ask the origin at once.
    pub const ORIGIN_FETCHERS: usize = 4;

    /// How many agents are asked first by as many others.
    const FANOUT: usize = 3;

    /// How long others wait for the drawers before the first of them asks
    /// the origin itself.
    pub const ORIGIN_FALLBACK_DELAY: Duration = Duration::from_millis(1_500);

    /// How much later each agent loses patience than the one before it.
    pub const ORIGIN_FALLBACK_STEP: Duration = Duration::from_millis(150);

    /// Returns where the agent of rank `place` among `count` asks in its
    /// `round`th question, counted from 0, after having waited for `waited`.
    pub fn next(
        place: usize,
        count: usize,
        round: usize,
        waited: Duration,
    ) -> ManifestSource {
        if count < 2 {
            return ManifestSource::Origin;
        }
        let late = ManifestSource::ORIGIN_FALLBACK_DELAY
            + ManifestSource::ORIGIN_FALLBACK_STEP
                * u32::try_from(place).unwrap_or(u32::MAX);
        let draws = place < ManifestSource::ORIGIN_FETCHERS || waited >= late;
        if draws && round.is_multiple_of(2) {
            return ManifestSource::Origin;
        }
        let first = place / ManifestSource::FANOUT;
        let asked = (first + round) % count;
        if asked == place {
            return ManifestSource::Agent((asked + 1) % count);
        }
        ManifestSource::Agent(asked)
    }
}
