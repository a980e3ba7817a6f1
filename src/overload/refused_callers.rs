//! The callers that were refused recently, by which returning callers are
//! recognised.
//!
//! A caller that returns sends the same request with the same deadline: what
//! it has left is less by the time that has passed. The time left alone does
//! not tell it from a new caller, since callers set different deadlines.
//!
//! A caller is taken for a new one if it was refused by another process, or
//! if it has more time than its route allows, because its time left is then
//! that of the route whenever it comes.

use std::collections::HashMap;
use std::time::Duration;

use crate::Time;
use crate::placing::Need;
use crate::poison::Fingerprint;

/// A refused caller.
#[derive(Clone, Copy, Debug)]
struct RefusedCaller {
    began: Time,
    deadline: Time,
}

/// The callers of one service that were refused and whose deadline has not
/// passed.
#[derive(Clone, Debug, Default)]
pub struct RefusedCallers {
    callers: HashMap<Fingerprint, Vec<RefusedCaller>>,
    len: usize,
    swept_at: Time,
}

impl RefusedCallers {
    /// The maximum number of callers, at most 2 MB: those that a hall refuses
    /// in six seconds if it refuses half of 5,000 requests a second.
    const MAX_CALLERS: usize = 16_384;

    /// The maximum deviation between the deadlines of a caller's requests. An
    /// entry that is short of CPU time reads a request this much later.
    const TOLERANCE: Duration = Duration::from_millis(50);

    /// The interval at which callers whose deadline has passed are dropped.
    const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

    /// Records that a request that arrived at `arrived`, and whose caller
    /// began at `began`, is refused.
    pub fn record(&mut self, need: &Need, began: Time, arrived: Time) {
        self.sweep(arrived);
        if self.len >= RefusedCallers::MAX_CALLERS {
            return;
        }
        let Some(fingerprint) = need.fingerprint else { return };
        let deadline = deadline(need, arrived);
        let known = self.callers.entry(fingerprint).or_default();
        known.push(RefusedCaller { began, deadline });
        self.len += 1;
    }

    /// Returns when the caller of a request that arrives at `now` began, if it
    /// was refused before, and forgets it.
    pub fn take(&mut self, need: &Need, now: Time) -> Option<Time> {
        let deadline = deadline(need, now);
        let fingerprint = need.fingerprint?;
        let known = self.callers.get_mut(&fingerprint)?;
        let found = known.iter().position(|caller| {
            let early = caller.deadline.since(deadline);
            let late = deadline.since(caller.deadline);
            early.max(late) <= RefusedCallers::TOLERANCE
        })?;
        let caller = known.swap_remove(found);
        if known.is_empty() {
            self.callers.remove(&fingerprint);
        }
        self.len -= 1;
        Some(caller.began)
    }

    /// Returns the number of refused callers that are known.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no refused caller is known.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Drops callers whose deadline has passed.
    fn sweep(&mut self, now: Time) {
        if now.since(self.swept_at) < RefusedCallers::SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.len = 0;
        let len = &mut self.len;
        self.callers.retain(|_, known| {
            known.retain(|caller| now < caller.deadline);
            *len += known.len();
            !known.is_empty()
        });
    }
}

fn deadline(need: &Need, arrived: Time) -> Time {
    arrived.after(Duration::from_millis(u64::from(need.left_ms)))
}
