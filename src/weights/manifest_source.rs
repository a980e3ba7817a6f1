//! Selects where to ask for the manifest of a version.
//!
//! All agents learn of a new version at the same moment. If all of them asked
//! the origin, manifests would occupy its link for a considerable part of the
//! time that a copy takes. Only the first agents in rank order therefore ask
//! the origin. The others ask agents that rank before them, which hold the
//! request until they have the manifest.

use std::time::Duration;

/// Where to send the next request for a manifest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ManifestSource {
    /// The origin of weights.
    Origin,
    /// The agent of this rank.
    Agent(usize),
}

impl ManifestSource {
    /// How many agents ask the origin right away.
    pub const ORIGIN_FETCHERS: usize = 4;

    /// How many agents send their first request to the same agent.
    const FANOUT: usize = 3;

    /// How long the other agents wait before the first of them asks the origin
    /// itself.
    pub const ORIGIN_FALLBACK_DELAY: Duration = Duration::from_millis(1_500);

    /// The additional delay per rank before an agent asks the origin.
    pub const ORIGIN_FALLBACK_STEP: Duration = Duration::from_millis(150);

    /// Returns where the agent of rank `own_rank` among `agents` sends its
    /// request number `attempt`, counted from 0. `elapsed` is the time since
    /// the search began.
    pub fn next(
        own_rank: usize,
        agents: usize,
        attempt: usize,
        elapsed: Duration,
    ) -> ManifestSource {
        if agents < 2 {
            return ManifestSource::Origin;
        }
        let fallback_after = ManifestSource::ORIGIN_FALLBACK_DELAY
            + ManifestSource::ORIGIN_FALLBACK_STEP
                * u32::try_from(own_rank).unwrap_or(u32::MAX);
        let asks_origin = own_rank < ManifestSource::ORIGIN_FETCHERS
            || elapsed >= fallback_after;
        if asks_origin && attempt.is_multiple_of(2) {
            return ManifestSource::Origin;
        }
        let start = own_rank / ManifestSource::FANOUT;
        let target = (start + attempt) % agents;
        if target == own_rank {
            return ManifestSource::Agent((target + 1) % agents);
        }
        ManifestSource::Agent(target)
    }
}
