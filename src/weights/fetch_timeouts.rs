//! Time limits for sources, and when to fetch from others instead.

use std::time::Duration;

use crate::declaration::Prefer;

/// Time limits that a puller applies to its sources.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FetchTimeouts {
    pub(super) hold: Duration,
    pub(super) not_yet_limit: Duration,
    pub(super) suspicion: Duration,
    pub(super) takeover: Option<Takeover>,
    pub(super) origin_interval: Duration,
}

/// When agents fetch a chunk from the origin that another agent is responsible
/// for, although no source has failed: the responsible agent may be unable to
/// reach the origin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Takeover {
    /// How long no chunk may arrive before the first agent in rank order takes
    /// over.
    pub after: Duration,
    /// The additional delay per rank.
    pub step: Duration,
}

impl FetchTimeouts {
    /// Returns the defaults: a source holds a request for 1 s, becomes suspect
    /// after answering "not yet" for 5 s, and stays suspect for 10 s at first.
    pub const fn new() -> FetchTimeouts {
        FetchTimeouts {
            hold: Duration::from_secs(1),
            not_yet_limit: Duration::from_secs(5),
            suspicion: Duration::from_secs(10),
            takeover: None,
            origin_interval: Duration::ZERO,
        }
    }

    /// Sets how long the origin's link takes to send one chunk.
    ///
    /// The responsible agents then ask the origin one after the other, in
    /// chunk order, so that each chunk gets the whole link and is forwarded
    /// while the next one arrives. If all chunks were requested at once, the
    /// origin would send them in parallel and all would complete only at the
    /// end.
    #[must_use]
    pub const fn with_origin_interval(
        mut self,
        span: Duration,
    ) -> FetchTimeouts {
        self.origin_interval = span;
        self
    }

    /// Sets when other agents take over while no chunk arrives at all.
    #[must_use]
    pub const fn with_takeover(mut self, takeover: Takeover) -> FetchTimeouts {
        self.takeover = Some(takeover);
        self
    }

    /// Sets how long a source may hold a request.
    #[must_use]
    pub const fn with_hold(mut self, span: Duration) -> FetchTimeouts {
        self.hold = span;
        self
    }

    /// Sets how long a source may answer "not yet" before it becomes suspect.
    #[must_use]
    pub const fn with_not_yet_limit(
        mut self,
        span: Duration,
    ) -> FetchTimeouts {
        self.not_yet_limit = span;
        self
    }

    /// Sets the duration of the first suspicion. It doubles with each further
    /// failure, up to [`FetchTimeouts::MAX_DOUBLINGS`] times.
    #[must_use]
    pub const fn with_suspicion(mut self, span: Duration) -> FetchTimeouts {
        self.suspicion = span;
        self
    }

    /// Adjusts the limits to the preference. If time is preferred, a source
    /// that keeps answering "not yet" becomes suspect in half the time, at the
    /// risk of fetching more copies from the origin.
    #[must_use]
    pub const fn preferring(mut self, prefer: Prefer) -> FetchTimeouts {
        if matches!(prefer, Prefer::Time) {
            let half = self.not_yet_limit.as_nanos() as u64 / 2;
            self.not_yet_limit = Duration::from_nanos(half);
        }
        self
    }

    /// The origin is suspect for `1 / ORIGIN_SUSPICION_DIVISOR` of the time of
    /// a peer.
    pub const ORIGIN_SUSPICION_DIVISOR: u32 = 10;

    /// How often a suspicion doubles at most.
    pub const MAX_DOUBLINGS: u32 = 4;

    /// How often a suspicion of the origin doubles at most: never, since
    /// all agents wait for the origin to recover, and an agent that is
    /// responsible for few chunks sends few requests.
    pub const MAX_ORIGIN_DOUBLINGS: u32 = 0;

    /// Returns the longest suspicion of the origin.
    pub const fn max_origin_suspicion(self) -> Duration {
        let first = self.suspicion.as_millis() as u64;
        let first = first / FetchTimeouts::ORIGIN_SUSPICION_DIVISOR as u64;
        Duration::from_millis(first << FetchTimeouts::MAX_ORIGIN_DOUBLINGS)
    }
}

impl Default for FetchTimeouts {
    fn default() -> FetchTimeouts {
        FetchTimeouts::new()
    }
}
