//! The load of a replica's weights that its agent has confirmed.
//!
//! The platform's list tells which version a replica has loaded, and not
//! whether its agent knows the chunks to have been intact. An entry remembers
//! what the agent last confirmed. So a load that was ordered by an agent that
//! has ended gets no requests until an agent has confirmed it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::report::{EngineReport, Provenance};

/// How long an entry that knows nothing of a replica waits until the agent, or
/// an entry that remembers, has confirmed or rejected the load that the agent
/// has found. If nobody can, the replica is used: after a loss of all processes
/// nobody may be able to for as long as the origin is away.
const UNKNOWN_PERIOD: Duration = Duration::from_secs(3);

/// How long an entry that has heard other agents waits for the first report of
/// a replica's agent before it goes by the list. An agent that was killed or
/// whose instance has lost power is back by then.
const FIRST_REPORT_PERIOD: Duration = Duration::from_secs(10);

/// One load of a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct LoadedVersion {
    model: Arc<str>,
    version: u64,
    /// The number of orders that the engine had accepted.
    sequence: u64,
}

impl LoadedVersion {
    fn of(report: &EngineReport) -> Option<LoadedVersion> {
        Some(LoadedVersion {
            model: Arc::clone(report.model.as_ref()?),
            version: report.version?,
            sequence: report.sequence,
        })
    }
}

/// What an entry tells an agent that has found a version loaded at its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Verdict {
    /// An agent had confirmed this load.
    Confirmed,
    /// No agent has confirmed this load.
    Rejected,
}

/// What the agents of one replica have confirmed.
#[derive(Debug, Default, Eq, PartialEq)]
pub(super) enum ConfirmedLoad {
    /// This entry does not follow the replica's agent, so the list decides.
    #[default]
    Unknown,
    /// The entry has followed the agent since this time, without a report.
    Expected(Instant),
    /// An agent has found this version at that time, and nothing else is
    /// known.
    Found(LoadedVersion, Instant),
    /// No load is confirmed.
    Nothing,
    /// This one is confirmed.
    Version(LoadedVersion),
}

impl ConfirmedLoad {
    /// Records that this entry follows the replica's agent from now on.
    pub(super) fn expect(&mut self, now: Instant) {
        if *self == ConfirmedLoad::Unknown {
            *self = ConfirmedLoad::Expected(now);
        }
    }

    /// Records an agent's report. Returns what the agent should know of the
    /// load that it has found.
    pub(super) fn record(
        &mut self,
        report: &EngineReport,
        now: Instant,
    ) -> Option<Verdict> {
        if !report.up {
            return None;
        }
        let Some(loaded) = LoadedVersion::of(report) else {
            *self = ConfirmedLoad::Nothing;
            return None;
        };
        match report.provenance {
            Provenance::Unverified => *self = ConfirmedLoad::Nothing,
            Provenance::Verified => *self = ConfirmedLoad::Version(loaded),
            Provenance::Inherited => return self.record_found(loaded, now),
        }
        None
    }

    fn record_found(
        &mut self,
        loaded: LoadedVersion,
        now: Instant,
    ) -> Option<Verdict> {
        match self {
            ConfirmedLoad::Unknown | ConfirmedLoad::Expected(_) => {
                *self = ConfirmedLoad::Found(loaded, now);
                None
            }
            ConfirmedLoad::Found(known, _) if *known == loaded => None,
            ConfirmedLoad::Version(known) if *known == loaded => {
                Some(Verdict::Confirmed)
            }
            _ => Some(Verdict::Rejected),
        }
    }

    /// Returns whether a version that the replica has loaded may be used.
    /// `has_agents` tells whether any agent has reported to this entry.
    pub(super) fn allows(
        &self,
        model: &str,
        version: u64,
        has_agents: bool,
        now: Instant,
    ) -> bool {
        let is_it = |known: &LoadedVersion| {
            *known.model == *model && known.version == version
        };
        match self {
            ConfirmedLoad::Unknown => true,
            ConfirmedLoad::Expected(since) => {
                !has_agents
                    || now.duration_since(*since) >= FIRST_REPORT_PERIOD
            }
            ConfirmedLoad::Nothing => false,
            ConfirmedLoad::Found(known, at) => {
                is_it(known) && now.duration_since(*at) >= UNKNOWN_PERIOD
            }
            ConfirmedLoad::Version(known) => is_it(known),
        }
    }
}

#[cfg(test)]
#[path = "confirmed_tests.rs"]
mod tests;
