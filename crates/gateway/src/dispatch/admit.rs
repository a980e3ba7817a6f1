//! Admission control under overload, applied to the queue.

use std::time::Duration;

use rand::RngExt as _;
use stairhinge::Time;
use stairhinge::overload::{AdmissionTotals, FullReason, Standing, Wait};
use stairhinge::placing::{ChooserKind, Need, NoPlaceReason};
use stairhinge_shell::directory::FactsView;

use super::queue::{Unplaced, Waiter};
use super::{Dispatcher, NoPlace, PlaceResult, State};

/// A request that has arrived, and how long it may wait.
pub(super) struct Arrived {
    pub need: Need,
    pub standing: Standing,
    pub wait: Duration,
    pub kind: ChooserKind,
}

impl Dispatcher {
    /// Returns whether admission control applies to this entry's requests.
    pub(crate) const fn has_admission(&self) -> bool {
        self.bounds.overload.is_some()
    }

    /// Like [`Dispatcher::request_place`], with admission control.
    pub(super) fn admit(
        &self,
        state: &mut State,
        view: &FactsView,
        arrived: Arrived,
        now: Time,
    ) -> PlaceResult {
        let Arrived { need, standing, wait, kind } = arrived;
        if !state.has_more_entitled(&need, &standing, now)
            && let Some(place) =
                self.find_place(state, view, &need, kind, None)
        {
            if let Some(admission) = &mut state.admission {
                admission.record_grant(&need.service, &standing, now);
            }
            return PlaceResult::Place(place);
        }
        if !self.has_suitable_replica(state, view, &need) {
            let reason = self.no_place_reason(state, view, need);
            return PlaceResult::NoPlace(reason.into());
        }
        if let Some(admission) = &mut state.admission {
            admission.record_contention(&need.service, now);
        }
        let refused = match state.wait(&need, &standing, wait, kind, now) {
            _ if wait.is_zero() => Some(FullReason::Waited),
            Wait::No(reason) => Some(reason),
            Wait::Yes => None,
        };
        if let Some(reason) = refused {
            let no_place = state.refuse(&need, &standing, reason, kind, now);
            return PlaceResult::NoPlace(no_place);
        }
        let pending = state.waiting.join(need, kind, Some(standing));
        state.remove_late(now);
        PlaceResult::Queued(pending)
    }

    /// Returns the refusal of a request that waited and got no place.
    pub(crate) fn refuse_unplaced(&self, unplaced: Unplaced) -> NoPlace {
        let Some(admitted) = unplaced.0 else {
            return NoPlaceReason::Room.into();
        };
        let (need, standing, kind) = *admitted;
        let now = self.facts.now();
        let late = standing.is_late(now);
        let reason = if late { FullReason::Late } else { FullReason::Waited };
        self.lock().refuse(&need, &standing, reason, kind, now)
    }

    /// Returns the totals of admission control, or `None` if it is disabled.
    pub(crate) fn admission_totals(&self) -> Option<AdmissionTotals> {
        let now = self.facts.now();
        self.lock().admission.as_ref().map(|a| a.totals(now))
    }
}

impl State {
    /// Returns whether a request of the same service waits that is served
    /// before this one.
    fn has_more_entitled(
        &self,
        need: &Need,
        standing: &Standing,
        now: Time,
    ) -> bool {
        let Some(admission) = &self.admission else { return false };
        let service = &need.service;
        let arrival = self.waiting.next_arrival();
        let rank = admission.rank(service, standing, arrival, now);
        let queued = self.waiting.ranked(service, admission, now);
        queued.iter().any(|(other, _)| *other < rank)
    }

    /// Returns whether a request that got no place waits.
    fn wait(
        &self,
        need: &Need,
        standing: &Standing,
        wait: Duration,
        kind: ChooserKind,
        now: Time,
    ) -> Wait {
        let Some(admission) = &self.admission else { return Wait::Yes };
        let service = &need.service;
        let arrival = self.waiting.next_arrival();
        let rank = admission.rank(service, standing, arrival, now);
        let queued = self.waiting.ranked(service, admission, now);
        let queued = queued.iter().map(|(rank, other)| (rank, *other));
        let is_placer = kind == ChooserKind::Placer;
        let request = (&rank, standing);
        admission.wait(service, request, queued, wait, is_placer, now)
    }

    /// Returns the refusal of a request for lack of capacity. Requesters that
    /// do not state the time left cannot read when to return.
    fn refuse(
        &mut self,
        need: &Need,
        standing: &Standing,
        reason: FullReason,
        kind: ChooserKind,
        now: Time,
    ) -> NoPlace {
        let Some(admission) = &mut self.admission else {
            return NoPlaceReason::Room.into();
        };
        admission.record_contention(&need.service, now);
        if need.left_ms == 0 {
            return NoPlaceReason::Room.into();
        }
        let jitter = rand::rng().random();
        // Callers usually return to another entry, which asks the placer.
        let is_placer = kind == ChooserKind::Placer;
        let full =
            admission.refuse(need, standing, reason, is_placer, now, jitter);
        NoPlace::Full(full)
    }

    /// Removes and returns all waiting requests, in the order in which they
    /// are to be served.
    pub(super) fn take_waiters(&mut self, now: Time) -> Vec<Waiter> {
        match &self.admission {
            Some(admission) => self.waiting.take_ranked(admission, now),
            None => self.waiting.take_waiters(),
        }
    }

    /// Records that a waiting request was given a place.
    pub(super) fn record_grant(&mut self, waiter: &Waiter, now: Time) {
        self.waiting.record_grant();
        if let Some(admission) = &mut self.admission
            && let Some(standing) = &waiter.standing
        {
            admission.record_grant(&waiter.need.service, standing, now);
        }
    }

    /// Under admission control, removes the waiting requests that can only be
    /// late while others can be in time.
    pub(super) fn remove_late(&mut self, now: Time) {
        let Some(admission) = &mut self.admission else { return };
        for service in self.waiting.remove_late(now) {
            admission.record_contention(&service, now);
        }
    }
}
