//! Fences: who may order an engine, and when.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::{Code, Error, Time};

/// Orders the agents that order one engine.
///
/// The incarnation goes first: a restarted agent outranks the one before it
/// even if it has come up under an older configuration, since that one may
/// still be asleep. The sequence rises with each order of an incarnation.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
)]
pub struct Fence {
    incarnation: u64,
    order: u64,
}

impl Fence {
    /// Returns the fence of an agent's order.
    pub const fn new(incarnation: u64, order: u64) -> Fence {
        Fence { incarnation, order }
    }

    /// Returns the incarnation of the agent.
    pub const fn incarnation(self) -> u64 {
        self.incarnation
    }

    /// Returns whether its agent has given no order yet.
    pub const fn is_first(self) -> bool {
        self.order == 0
    }

    /// Returns the fence of the next order of the same agent.
    #[must_use]
    pub const fn next(self) -> Fence {
        Fence { incarnation: self.incarnation, order: self.order + 1 }
    }

    /// Returns the incarnation that an agent starts under, given its wall
    /// clock in milliseconds and the fence that its engine holds: above both,
    /// so that a clock set back does not lock the agent out.
    pub const fn incarnate(wall: u64, engine: Fence) -> u64 {
        if wall > engine.incarnation { wall } else { engine.incarnation + 1 }
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.incarnation, self.order)
    }
}

impl FromStr for Fence {
    type Err = Error;

    fn from_str(s: &str) -> Result<Fence, Error> {
        let bad = || {
            Error::new(
                Code::BadHeader,
                format_args!("fence \"{s}\", allowed: two numbers, 1.2"),
            )
        };
        let (a, b) = s.split_once('.').ok_or_else(bad)?;
        let incarnation = a.parse().map_err(|_| bad())?;
        let order = b.parse().map_err(|_| bad())?;
        Ok(Fence { incarnation, order })
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
    pub fn holds(self, now: Time) -> bool {
        now.since(self.from) <= self.span
    }
}
