//! The queue of requests that wait for a replica with capacity.

use std::sync::Arc;
use std::time::Duration;

use stairhinge::Time;
use stairhinge::overload::{Admission, Rank, Standing};
use stairhinge::placing::{ChooserKind, Need};
use tokio::sync::oneshot;

use super::{NoPlace, Place};

/// The result of a request for a place.
#[derive(Debug)]
pub(crate) enum PlaceResult {
    /// A place at a replica.
    Place(Place),
    /// No capacity now; the request is queued.
    Queued(PendingPlace),
    /// No place can be granted.
    NoPlace(NoPlace),
}

/// The place that a queued request may get.
#[derive(Debug)]
pub(crate) struct PendingPlace {
    receiver: oneshot::Receiver<Place>,
    /// What is needed to refuse the request under admission control.
    admitted: Option<Box<(Need, Standing, ChooserKind)>>,
}

impl PendingPlace {
    /// Waits for a place, for at most `timeout`. Ends early if the request is
    /// removed from the queue.
    pub(crate) async fn wait(
        mut self,
        timeout: Duration,
    ) -> Result<Place, Unplaced> {
        let place =
            match tokio::time::timeout(timeout, &mut self.receiver).await {
                Ok(found) => found.ok(),
                Err(_) => {
                    self.receiver.close();
                    // A place may have been sent just before the channel
                    // closed.
                    self.receiver.try_recv().ok()
                }
            };
        place.ok_or(Unplaced(self.admitted))
    }
}

/// A request that waited and got no place.
#[derive(Debug)]
pub(crate) struct Unplaced(
    pub(super) Option<Box<(Need, Standing, ChooserKind)>>,
);

/// A queued request.
#[derive(Debug)]
pub(super) struct Waiter {
    pub need: Need,
    pub kind: ChooserKind,
    pub sender: oneshot::Sender<Place>,
    /// The standing of its caller under admission control.
    pub standing: Option<Standing>,
    /// The number of its arrival.
    pub arrival: u64,
}

impl Waiter {
    /// Returns its rank, if admission control applies.
    pub(super) fn rank(
        &self,
        admission: &Admission,
        now: Time,
    ) -> Option<Rank> {
        let standing = self.standing.as_ref()?;
        let service = &self.need.service;
        Some(admission.rank(service, standing, self.arrival, now))
    }
}

/// Queued requests, ordered by urgency and then by arrival.
///
/// One place in [`Queue::FAIR_SHARE_INTERVAL`] goes to the less urgent classes
/// in turn. Otherwise they would be starved under sustained overload. With
/// admission control, requests are ordered by their ranks instead.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiters: Vec<Waiter>,
    /// The number of places granted to queued requests.
    granted: u32,
    /// The number of requests that were queued.
    arrivals: u64,
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
        standing: Option<Standing>,
    ) -> PendingPlace {
        let (sender, receiver) = oneshot::channel();
        let admitted = standing
            .as_ref()
            .map(|standing| Box::new((need.clone(), standing.clone(), kind)));
        let arrival = self.next_arrival();
        self.arrivals = arrival;
        self.insert(Waiter { need, kind, sender, standing, arrival });
        PendingPlace { receiver, admitted }
    }

    /// Returns the number of the next arrival.
    pub(super) const fn next_arrival(&self) -> u64 {
        self.arrivals.wrapping_add(1)
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

    /// Like [`Queue::take_waiters`], in the order of the waiters' ranks.
    pub(super) fn take_ranked(
        &mut self,
        admission: &Admission,
        now: Time,
    ) -> Vec<Waiter> {
        let mut waiters = std::mem::take(&mut self.waiters);
        waiters.retain(|w| !w.sender.is_closed());
        waiters.sort_by_cached_key(|w| w.rank(admission, now));
        waiters
    }

    /// Returns the ranks of a service's waiting requests, and the standings
    /// of their callers.
    pub(super) fn ranked<'a>(
        &'a self,
        service: &str,
        admission: &Admission,
        now: Time,
    ) -> Vec<(Rank, &'a Standing)> {
        let mut ranked = Vec::new();
        for waiter in &self.waiters {
            if *waiter.need.service != *service || waiter.sender.is_closed() {
                continue;
            }
            let Some(rank) = waiter.rank(admission, now) else { continue };
            if let Some(standing) = &waiter.standing {
                ranked.push((rank, standing));
            }
        }
        ranked
    }

    /// Removes the requests that can only be late while others of their
    /// service wait that can be in time. Returns the services of all requests
    /// that wait or are removed.
    pub(super) fn remove_late(&mut self, now: Time) -> Vec<Arc<str>> {
        let mut services: Vec<(Arc<str>, bool)> = Vec::new();
        for waiter in &self.waiters {
            let in_time =
                waiter.standing.as_ref().is_some_and(|s| !s.is_late(now));
            let service = &waiter.need.service;
            match services.iter_mut().find(|(name, _)| name == service) {
                Some((_, any)) => *any |= in_time,
                None => services.push((Arc::clone(service), in_time)),
            }
        }
        self.waiters.retain(|waiter| {
            let late =
                waiter.standing.as_ref().is_some_and(|s| s.is_late(now));
            let service = &waiter.need.service;
            let hopeful = services.iter().any(|(s, any)| s == service && *any);
            !(late && hopeful)
        });
        services.into_iter().map(|(service, _)| service).collect()
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
