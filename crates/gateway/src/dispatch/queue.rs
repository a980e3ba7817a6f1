//! The queue of requests that wait for a replica with capacity.

use std::time::Duration;

use stairhinge::placing::{ChooserKind, Need, NoPlaceReason};
use tokio::sync::oneshot;

use super::Place;

/// The result of a request for a place.
#[derive(Debug)]
pub(crate) enum PlaceResult {
    /// A place at a replica.
    Place(Place),
    /// No capacity now; the request is queued.
    Queued(PendingPlace),
    /// No place can be granted.
    NoPlace(NoPlaceReason),
}

/// The place that a queued request may get.
#[derive(Debug)]
pub(crate) struct PendingPlace(oneshot::Receiver<Place>);

impl PendingPlace {
    /// Waits for a place, for at most `timeout`.
    pub(crate) async fn wait(mut self, timeout: Duration) -> Option<Place> {
        match tokio::time::timeout(timeout, &mut self.0).await {
            Ok(found) => found.ok(),
            Err(_) => {
                self.0.close();
                // A place may have been sent just before the channel closed.
                self.0.try_recv().ok()
            }
        }
    }
}

/// A queued request.
#[derive(Debug)]
pub(super) struct Waiter {
    pub need: Need,
    pub kind: ChooserKind,
    pub sender: oneshot::Sender<Place>,
}

/// Queued requests, ordered by urgency and then by arrival.
///
/// One place in [`Queue::FAIR_SHARE_INTERVAL`] goes to the less urgent classes
/// in turn. Otherwise they would be starved under sustained overload.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiters: Vec<Waiter>,
    /// The number of places granted to queued requests.
    granted: u32,
}

impl Queue {
    /// The number of places of which one goes to a less urgent class.
    pub(super) const FAIR_SHARE_INTERVAL: u32 = 8;

    /// Returns whether a queued request of the same service is served before
    /// `need`.
    pub(super) fn has_waiter_ahead_of(&self, need: &Need) -> bool {
        self.waiters.iter().any(|w| {
            w.need.service == need.service
                && w.need.urgency() <= need.urgency()
                && !w.sender.is_closed()
        })
    }

    /// Adds a request to the queue.
    pub(super) fn join(
        &mut self,
        need: Need,
        kind: ChooserKind,
    ) -> PendingPlace {
        let (sender, receiver) = oneshot::channel();
        self.insert(Waiter { need, kind, sender });
        PendingPlace(receiver)
    }

    fn insert(&mut self, waiter: Waiter) {
        let urgency = waiter.need.urgency();
        let at = self.waiters.partition_point(|w| w.need.urgency() <= urgency);
        self.waiters.insert(at, waiter);
    }

    /// Removes and returns all requests that still wait, in the order in which
    /// they are to be served.
    pub(super) fn take_waiters(&mut self) -> Vec<Waiter> {
        let mut waiters = std::mem::take(&mut self.waiters);
        waiters.retain(|w| !w.sender.is_closed());
        if let Some(first) = self.fair_share_index(&waiters) {
            waiters[..=first].rotate_right(1);
        }
        waiters
    }

    /// Returns the index of the waiter that gets this place before all more
    /// urgent ones, if the place is due to a less urgent class.
    fn fair_share_index(&self, waiters: &[Waiter]) -> Option<usize> {
        if self.granted % Queue::FAIR_SHARE_INTERVAL
            != Queue::FAIR_SHARE_INTERVAL - 1
        {
            return None;
        }
        let mut class_starts = Vec::new();
        for (at, waiter) in waiters.iter().enumerate() {
            let urgency = waiter.need.urgency();
            if at > 0 && waiters[at - 1].need.urgency() != urgency {
                class_starts.push(at);
            }
        }
        let turn = (self.granted / Queue::FAIR_SHARE_INTERVAL) as usize;
        class_starts.get(turn.checked_rem(class_starts.len())?).copied()
    }

    /// Returns a request to the queue.
    pub(super) fn put_back(&mut self, waiter: Waiter) {
        self.insert(waiter);
    }

    /// Counts a place granted to a queued request.
    pub(super) const fn record_grant(&mut self) {
        self.granted = self.granted.wrapping_add(1);
    }

    /// Returns whether the queue is empty.
    pub(super) const fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the number of queued requests.
    pub(super) const fn len(&self) -> usize {
        self.waiters.len()
    }
}

#[cfg(test)]
#[path = "queue_tests.rs"]
mod tests;
