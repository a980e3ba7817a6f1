//! How long a puller puts up with sources, and when it turns elsewhere.

use std::time::Duration;

use crate::declaration::Prefer;

/// How long a puller puts up with a source.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FetchTimeouts {
    pub(super) hold: Duration,
    pub(super) waiting: Duration,
    pub(super) suspect: Duration,
    pub(super) takeover: Option<Takeover>,
    pub(super) origin_pace: Duration,
}

/// When agents that are not in charge of a chunk draw it from the origin
/// though nobody has failed: whoever is in charge may not reach the origin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Takeover {
    /// How long no chunk may come before the first in rank takes over.
    pub after: Duration,
    /// How much later each agent takes over than the one before it.
    pub step: Duration,
}

impl FetchTimeouts {
    /// Returns the usual spans: a question waits at a source for a second, a
    /// source that holds nothing new is left after five, and is suspect for
    /// ten at first.
    pub const fn new() -> FetchTimeouts {
        FetchTimeouts {
            hold: Duration::from_secs(1),
            waiting: Duration::from_secs(5),
            suspect: Duration::from_secs(10),
            takeover: None,
            origin_pace: Duration::ZERO,
        }
    }

    /// Returns it with how long the origin's link takes for one chunk.
    ///
    /// The agents in charge then ask the origin one after the other, in the
    /// order of the chunks: each chunk has the link for itself and is passed
    /// on while the next one comes. Asked for all at once, the origin would
    /// send all of them side by side, and all would be whole at the end only.
    #[must_use]
    pub const fn with_origin_interval(
        mut self,
        span: Duration,
    ) -> FetchTimeouts {
        self.origin_pace = span;
        self
    }

    /// Returns it with when others take over while no chunk comes at all.
    #[must_use]
    pub const fn with_takeover(mut self, takeover: Takeover) -> FetchTimeouts {
        self.takeover = Some(takeover);
        self
    }

    /// Returns it with how long a question may wait at a source.
    #[must_use]
    pub const fn with_hold(mut self, span: Duration) -> FetchTimeouts {
        self.hold = span;
        self
    }

    /// Returns it with how long a source may have nothing new.
    #[must_use]
    pub const fn with_not_yet_limit(
        mut self,
        span: Duration,
    ) -> FetchTimeouts {
        self.waiting = span;
        self
    }

    /// Returns it with how long the first suspicion lasts; it doubles with
    /// each further failure, up to [`FetchTimeouts::DOUBLINGS`] times.
    #[must_use]
    pub const fn with_suspicion(mut self, span: Duration) -> FetchTimeouts {
        self.suspect = span;
        self
    }

    /// Returns it for what weighs more: where time does, a source without
    /// news is left in half the time, at the risk of another draw on the
    /// origin.
    #[must_use]
    pub const fn preferring(mut self, prefer: Prefer) -> FetchTimeouts {
        if matches!(prefer, Prefer::Time) {
            let half = self.waiting.as_nanos() as u64 / 2;
            self.waiting = Duration::from_nanos(half);
        }
        self
    }

    /// A suspicion of the origin lasts this part of one of a peer.
    pub const ORIGIN_PART: u32 = 10;

    /// How often a suspicion doubles at most.
    pub const DOUBLINGS: u32 = 4;

    /// How often a suspicion of the origin doubles at most: everybody waits
    /// for it to come back, and what is in charge of few chunks asks little.
    pub const ORIGIN_DOUBLINGS: u32 = 0;

    /// Returns the longest suspicion of the origin.
    pub const fn max_origin_suspicion(self) -> Duration {
        let first = self.suspect.as_millis() as u64;
        let first = first / FetchTimeouts::ORIGIN_PART as u64;
        Duration::from_millis(first << FetchTimeouts::ORIGIN_DOUBLINGS)
    }
}

impl Default for FetchTimeouts {
    fn default() -> FetchTimeouts {
        FetchTimeouts::new()
    }
}
