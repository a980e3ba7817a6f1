//! Fences: who may order an engine, and when.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::{Code, Error, Time};

/// Orders the agents that order one engine.
///
/// The incarnation goes first: a restarted agent outranks the one before it
/// even if it has come up under an older configuration, since that one may
/// still be asleep. Then the revision of the declaration that the order was
/// given under, which the engine thus remembers for an agent that has
/// forgotten. Last, a number that rises with each order of an incarnation.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
)]
pub struct Fence {
    incarnation: u64,
    revision: u64,
    order: u64,
}

impl Fence {
    /// Returns the fence under which an agent has given no order yet.
    pub const fn new(incarnation: u64) -> Fence {
        Fence { incarnation, revision: 0, order: 0 }
    }

    /// Returns the incarnation of the agent.
    pub const fn incarnation(self) -> u64 {
        self.incarnation
    }

    /// Returns the revision that the order was given under.
    pub const fn revision(self) -> u64 {
        self.revision
    }

    /// Returns whether its agent has given no order yet.
    pub const fn is_first(self) -> bool {
        self.order == 0
    }

    /// Returns the fence of the next order of the same agent, given under a
    /// revision; an agent's revision never falls.
    #[must_use]
    pub const fn next(self, revision: u64) -> Fence {
        let rises = revision > self.revision;
        let revision = if rises { revision } else { self.revision };
        Fence { revision, order: self.order + 1, ..self }
    }

    /// Returns the incarnation that an agent starts under, given its wall
    /// clock in milliseconds and the fence that its engine holds: above both,
    /// so that a clock set back does not lock the agent out.
    pub const fn next_incarnation(wall: u64, engine: Fence) -> u64 {
        if wall > engine.incarnation { wall } else { engine.incarnation + 1 }
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
        let bad = || {
            Error::new(
                Code::BadHeader,
                format_args!("fence \"{s}\", allowed: three numbers, 1.2.3"),
            )
        };
        let mut parts = s.split('.').map(str::parse);
        let mut part = || parts.next()?.ok();
        let incarnation = part().ok_or_else(bad)?;
        let revision = part().ok_or_else(bad)?;
        let order = part().ok_or_else(bad)?;
        if parts.next().is_some() {
            return Err(bad());
        }
        Ok(Fence { incarnation, revision, order })
    }
}

/// Guards an order against a pause between deciding and sending.
///
/// Not every engine checks fences. Towards one that does not, an agent that
/// was frozen must not send what it decided before. The lease is short and is
/// checked right before the bytes go out; what remains is a freeze in the few
/// instructions after that check (`docs/PROOFS.md`).
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    from: Time,
    span: Duration,
}

impl Lease {
    /// Returns a lease that starts when the decision is made.
    pub const fn new(from: Time, span: Duration) -> Lease {
        Lease { from, span }
    }

    /// Returns whether the order may still be sent.
    pub fn is_valid(self, now: Time) -> bool {
        now.since(self.from) <= self.span
    }
}
