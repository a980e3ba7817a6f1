//! The order in which waiting requests are entitled to places.

use std::sync::Arc;
use std::time::Duration;

use crate::Time;

/// What is known of a request's caller since the request arrived.
#[derive(Clone, Debug, PartialEq)]
pub struct Standing {
    /// The time at which the request arrived.
    pub(super) arrived: Time,
    /// The estimated time at which the caller began, or `None` if the request
    /// does not say how much time its caller has left.
    pub(super) begun: Option<Time>,
    /// The time by which it has to get a place in order to be in time.
    pub(super) place_by: Option<Time>,
    /// Whether the caller has not been refused before.
    pub(super) is_new: bool,
    /// Whether it returned at the time that it was promised.
    pub(super) promised: bool,
    /// Whether it continues a stream that has started.
    pub(super) continued: bool,
    /// The urgency, as in [`Need::urgency`](crate::placing::Need::urgency).
    pub(super) urgency: (u8, u8),
    /// Its workspace.
    pub(super) workspace: Option<Arc<str>>,
    /// Its work, as in [`work`](super::work).
    pub(super) work: f64,
}

impl Standing {
    /// Returns whether the request can only be late if it gets a place at
    /// `now` or later. A caller that returned as promised does not count as
    /// late.
    pub fn is_late(&self, now: Time) -> bool {
        !self.promised && self.place_by.is_some_and(|by| by < now)
    }

    /// Returns the estimated time since the caller began.
    pub fn begun_ago(&self, now: Time) -> Duration {
        self.begun.map_or(Duration::ZERO, |begun| now.since(begun))
    }

    /// Returns whether the caller has not been refused before.
    pub const fn is_new(&self) -> bool {
        self.is_new
    }
}

/// A request's position in the order of entitlement; the smallest goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Whether it is a new stream or request rather than the continuation of a
    /// started one.
    pub(super) starts: bool,
    /// Whether it can only be late.
    pub(super) late: bool,
    /// Whether its class has got its floor share.
    pub(super) above_floor: bool,
    /// Its urgency.
    pub(super) urgency: (u8, u8),
    /// Whether it does not come back at a promised time.
    pub(super) unpromised: bool,
    /// The served share of its workspace, in thousandths.
    pub(super) share: u16,
    /// The number of its arrival.
    pub(super) arrival: u64,
}

impl Rank {
    /// Returns whether the request can only be late.
    pub const fn is_late(&self) -> bool {
        self.late
    }
}
