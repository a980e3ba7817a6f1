//! Requests that wait for a replica with room.

use std::time::Duration;

use stairhinge::placing::{ColdAccess, Lack, Need};
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
    Nothing(Lack),
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
    pub access: ColdAccess,
    pub found: oneshot::Sender<Place>,
}

/// Those who wait, the most urgent and then the first to come in front.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiters: Vec<Waiter>,
}

impl Queue {
    /// Returns whether somebody who waits goes before a request.
    pub(super) fn goes_before(&self, need: &Need) -> bool {
        self.waiters.iter().any(|w| {
            w.need.service == need.service
                && w.need.priority <= need.priority
                && !w.found.is_closed()
        })
    }

    /// Adds a request.
    pub(super) fn join(&mut self, need: Need, access: ColdAccess) -> Waiting {
        let (found, receiver) = oneshot::channel();
        let priority = need.priority;
        let at = self.waiters.partition_point(|w| w.need.priority <= priority);
        self.waiters.insert(at, Waiter { need, access, found });
        Waiting(receiver)
    }

    /// Takes out all who still wait, in their order.
    pub(super) fn take(&mut self) -> Vec<Waiter> {
        let mut waiters = std::mem::take(&mut self.waiters);
        waiters.retain(|w| !w.found.is_closed());
        waiters
    }

    /// Puts one back; all that are, come in their order.
    pub(super) fn keep(&mut self, waiter: Waiter) {
        self.waiters.push(waiter);
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
