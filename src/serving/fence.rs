//! Fencing tokens and leases for the orders that an agent gives its engine.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::{Code, Error, Time};

/// The fencing token of an order to an engine. An engine that checks fences
/// refuses an order with a lower one than it has accepted.
///
/// Fences are compared by agent incarnation first: a restarted agent takes
/// precedence over its predecessor even if it started with an older
/// configuration, because the predecessor may only be suspended. Next comes
/// the revision of the declaration that the order was given under; the engine
/// keeps it, and a restarted agent reads it back from there. Last comes a
/// number that increases with each order of an incarnation.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
)]
pub struct Fence {
    incarnation: u64,
    revision: u64,
    order: u64,
}

impl Fence {
    /// Returns the fence of an agent that has given no order yet.
    pub const fn new(incarnation: u64) -> Fence {
        Fence { incarnation, revision: 0, order: 0 }
    }

    /// Returns the incarnation of the agent.
    pub const fn incarnation(self) -> u64 {
        self.incarnation
    }

    /// Returns the revision of the declaration that the order was given under.
    pub const fn revision(self) -> u64 {
        self.revision
    }

    /// Returns whether the agent has given no order yet.
    pub const fn is_first(self) -> bool {
        self.order == 0
    }

    /// Returns the fence of the agent's next order, given under `revision`.
    /// The revision of the fence never decreases.
    #[must_use]
    pub const fn next(self, revision: u64) -> Fence {
        let increases = revision > self.revision;
        let revision = if increases { revision } else { self.revision };
        Fence { revision, order: self.order + 1, ..self }
    }

    /// Returns the incarnation of a starting agent, given its wall clock in
    /// milliseconds and the fence that its engine holds.
    ///
    /// The incarnation is at least the wall clock and above that of the
    /// engine, so that an agent whose clock was set back can still give
    /// orders.
    pub const fn next_incarnation(wall_ms: u64, engine: Fence) -> u64 {
        if wall_ms > engine.incarnation {
            wall_ms
        } else {
            engine.incarnation + 1
        }
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fence { incarnation, revision, order } = self;
        write!(f, "{incarnation}.{revision}.{order}")
    }
}

impl FromStr for Fence {
    type Err = Error;

    fn from_str(s: &str) -> Result<Fence, Error> {
        let malformed = || {
            Error::new(
                Code::BadHeader,
                format_args!(
                    "fence \"{s}\", allowed: three numbers such as 1.2.3"
                ),
            )
        };
        let mut numbers = s.split('.').map(str::parse);
        let mut number = || numbers.next()?.ok();
        let incarnation = number().ok_or_else(malformed)?;
        let revision = number().ok_or_else(malformed)?;
        let order = number().ok_or_else(malformed)?;
        if numbers.next().is_some() {
            return Err(malformed());
        }
        Ok(Fence { incarnation, revision, order })
    }
}

/// The time within which an order must be sent after it was decided.
///
/// Not every engine checks fences. To one that does not, an agent that was
/// suspended must not send an order from before the suspension. The lease is
/// short and is checked right before the bytes are sent. A suspension in the
/// few instructions after that check is not covered (`docs/PROOFS.md`).
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    start: Time,
    duration: Duration,
}

impl Lease {
    /// Returns a lease that starts at `start`, the time of the decision, and
    /// lasts for `duration`.
    pub const fn new(start: Time, duration: Duration) -> Lease {
        Lease { start, duration }
    }

    /// Returns whether the order may still be sent at `now`.
    pub fn is_valid(self, now: Time) -> bool {
        now.since(self.start) <= self.duration
    }
}
