//! A version that is named while the one before it is still fetched.
//!
//! What was drawn of the earlier version is lost if it is left at once, and
//! the origin may go down before the later one is out. Where most of a copy
//! is out already, the earlier version is fetched to its end first. It is
//! then a reserve: a replica whose turn comes before it has the later version
//! serves the earlier one meanwhile, which is valid for longer than what the
//! replica holds.
//!
//! All agents learn of both versions within the same moment, so they come to
//! the same decision without talking about it.

use std::time::Duration;

use crate::Time;

/// Two versions named one after the other.
#[derive(Clone, Copy, Debug)]
pub struct VersionOverlap {
    earlier: Time,
    later: Time,
    transfer: Duration,
    bound: Duration,
}

impl VersionOverlap {
    /// The earlier version is finished first if its fetch has lasted for
    /// this part of a copy's transfer.
    const FINISHED_FROM: u32 = 2;

    /// How long a version has to be valid for to be worth a load.
    pub const WORTH_SERVING: Duration = Duration::from_millis(1_500);

    /// Returns the overlap of versions named at `earlier` and `later`, where
    /// a copy's transfer takes `transfer` and a named version has to serve
    /// within `bound`.
    pub const fn new(
        earlier: Time,
        later: Time,
        transfer: Duration,
        bound: Duration,
    ) -> VersionOverlap {
        VersionOverlap { earlier, later, transfer, bound }
    }

    /// Returns until when the earlier version is fetched before the later
    /// one, or `None` if it is left at once.
    ///
    /// It is finished as long as it is then valid for a while.
    pub fn finish_until(&self) -> Option<Time> {
        let spent = self.later.since(self.earlier);
        let mostly_out =
            spent >= self.transfer / VersionOverlap::FINISHED_FROM;
        let useful = self.bound.saturating_sub(VersionOverlap::WORTH_SERVING);
        mostly_out.then(|| self.later.after(useful))
    }

    /// Returns from when on the earlier version is loaded as a reserve: not
    /// while the later one may still come as usual.
    pub fn reserve_from(&self) -> Time {
        self.later.after(self.transfer * 3 / 2)
    }
}
