//! Requests that wait for a replica with room.

use std::time::Duration;

use stairhinge::placing::{ChooserKind, Need, NoPlaceReason};
use tokio::sync::oneshot;

use super::Place;

/// What a request found.
#[derive(Debug)]
pub(crate) enum Found {
    /// A place.
    Place(Place),
    /// No room now; a place may follow.
    Waits(Waiting),
    /// No place.
    Nothing(NoPlaceReason),
}

/// A request that waits.
#[derive(Debug)]
pub(crate) struct Waiting(oneshot::Receiver<Place>);

impl Waiting {
    /// Waits for a place.
    pub(crate) async fn within(mut self, wait: Duration) -> Option<Place> {
        match tokio::time::timeout(wait, &mut self.0).await {
            Ok(found) => found.ok(),
            Err(_) => {
                self.0.close();
                // One may have come in the same moment.
                self.0.try_recv().ok()
            }
        }
    }
}

/// One who waits, in the queue.
#[derive(Debug)]
pub(super) struct Waiter {
    pub need: Need,
    pub kind: ChooserKind,
    pub found: oneshot::Sender<Place>,
}

/// Those who wait, the most urgent and then the first to come in front.
///
/// One place of each [`Queue::FAIR`] goes to a less urgent kind, by turns:
/// under lasting overload they would get none at all.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiters: Vec<Waiter>,
    /// Places given to those who waited.
    given: u32,
}

impl Queue {
    /// Of so many places one goes to a less urgent kind.
    pub(super) const FAIR: u32 = 8;

    /// Returns whether somebody who waits goes before a request.
    pub(super) fn goes_before(&self, need: &Need) -> bool {
        self.waiters.iter().any(|w| {
            w.need.service == need.service
                && w.need.urgency() <= need.urgency()
                && !w.found.is_closed()
        })
    }

    /// Adds a request.
    pub(super) fn join(&mut self, need: Need, kind: ChooserKind) -> Waiting {
        let (found, receiver) = oneshot::channel();
        self.insert(Waiter { need, kind, found });
        Waiting(receiver)
    }

    fn insert(&mut self, waiter: Waiter) {
        let urgency = waiter.need.urgency();
        let at = self.waiters.partition_point(|w| w.need.urgency() <= urgency);
        self.waiters.insert(at, waiter);
    }

    /// Takes out all who still wait, in the order in which they are to get a
    /// place.
    pub(super) fn take(&mut self) -> Vec<Waiter> {
        let mut waiters = std::mem::take(&mut self.waiters);
        waiters.retain(|w| !w.found.is_closed());
        if let Some(first) = self.fair_turn(&waiters) {
            waiters[..=first].rotate_right(1);
        }
        waiters
    }

    /// Returns the index of the waiter that gets this place before all that
    /// are more urgent, if it is a turn of the less urgent kinds.
    fn fair_turn(&self, waiters: &[Waiter]) -> Option<usize> {
        if self.given % Queue::FAIR != Queue::FAIR - 1 {
            return None;
        }
        let mut firsts = Vec::new();
        for (at, waiter) in waiters.iter().enumerate() {
            let urgency = waiter.need.urgency();
            if at > 0 && waiters[at - 1].need.urgency() != urgency {
                firsts.push(at);
            }
        }
        let turn = (self.given / Queue::FAIR) as usize;
        firsts.get(turn.checked_rem(firsts.len())?).copied()
    }

    /// Puts one back.
    pub(super) fn keep(&mut self, waiter: Waiter) {
        self.insert(waiter);
    }

    /// Counts a place that one who waited has got.
    pub(super) const fn note_given(&mut self) {
        self.given = self.given.wrapping_add(1);
    }

    /// Returns whether nobody waits.
    pub(super) const fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns how many wait.
    pub(super) const fn len(&self) -> usize {
        self.waiters.len()
    }
}

#[cfg(test)]
#[path = "queue_tests.rs"]
mod tests;
