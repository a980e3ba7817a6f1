//! Whether a replica may take a request, and under which conditions.

use std::time::Duration;

use stairhinge::Time;
use stairhinge::direct::{Replica, ReplicaState};
use stairhinge::placing::Need;
use stairhinge_shell::directory::FactsView;

use super::known::KnownReplica;
use super::{Dispatcher, State};

/// How long before the version bound replicas with an outdated version stop
/// getting requests. A replica may stand still for about a second, and a
/// request may have to wait there before and after that.
const VERSION_MARGIN: Duration = Duration::from_millis(1_500);

/// How long before the version bound an attempt that has not started is
/// cancelled, which leaves time for the cancellation to reach the replica.
const CANCEL_MARGIN: Duration = Duration::from_millis(300);

/// Like [`VERSION_MARGIN`], for slow replicas, which requests may take long
/// to reach.
const SLOW_MARGIN: Duration = Duration::from_millis(3_000);

/// The conditions under which a replica may take a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Terms {
    /// The version that the replica is required to have, if any.
    pub version: Option<u64>,
    /// The time by which it has to start the request, if its version is
    /// outdated.
    pub begin_by: Option<Time>,
}

impl Dispatcher {
    /// Returns the conditions under which a replica may take the request, or
    /// `None` if it may not.
    pub(super) fn terms(
        &self,
        state: &State,
        view: &FactsView,
        need: &Need,
        replica: &Replica,
        layers: u32,
        now: Time,
    ) -> Option<Terms> {
        if replica.state == ReplicaState::Draining
            || need.tried.contains(&replica.incarnation)
        {
            return None;
        }
        if !self.is_allowed(need, &replica.hall)
            || self.evacuation_capacity(view, &replica.hall) <= 0.0
        {
            return None;
        }
        let known = state.known.get(&replica.incarnation);
        // Answers of an earlier process do not apply to the listed one.
        let current = known.filter(|k| k.matches_process(replica));
        if current
            .is_some_and(|k| k.leaving.is_leaving() || k.is_misdirected())
        {
            return None;
        }
        let Some(model) = &need.model else {
            return Some(Terms::default());
        };
        let reported =
            known.and_then(|k| k.reported.as_ref()).filter(|r| r.is_fresh());
        if reported.is_some_and(|r| !r.report.up || r.report.loading) {
            return None;
        }
        let held = match reported {
            Some(r) if r.report.model.as_ref() == Some(model) => {
                r.report.version
            }
            Some(_) => None,
            None => replica.version(model, layers),
        }?;
        if need.version.is_some_and(|v| v != held) {
            return None;
        }
        let Some(newest) = view.targets.since(model) else {
            return Some(Terms::default());
        };
        let slow = known.is_none_or(KnownReplica::is_slow);
        let begin_by = match view.targets.outdated_since(model, held) {
            None => None,
            Some(since) => Some(self.begin_by(since, slow, now)?),
        };
        // A replica that changes its version now has to decline requests for
        // the previous one. Long after the last target no replica changes, so
        // none is required.
        let insist = now.since(newest) < self.bounds.version * 2;
        Some(Terms { version: insist.then_some(held), begin_by })
    }

    /// Returns whether the request's regions include that of a hall.
    pub(super) fn is_allowed(&self, need: &Need, hall: &str) -> bool {
        need.regions.allows(self.bounds.regions.region(hall))
    }

    /// Returns the fraction of a hall's capacity that may be used, which is 1
    /// unless the hall is being evacuated.
    pub(super) fn evacuation_capacity(
        &self,
        view: &FactsView,
        hall: &str,
    ) -> f64 {
        let Some(since) = view.evacuations.since(hall) else { return 1.0 };
        self.bounds.evacuation.capacity_fraction(since, self.facts.now())
    }

    /// Returns the time by which a request must start on a version outdated
    /// since `since`, or `None` if no more requests may be sent to it.
    pub(super) fn begin_by(
        &self,
        since: Time,
        slow: bool,
        now: Time,
    ) -> Option<Time> {
        let margin = if slow { SLOW_MARGIN } else { VERSION_MARGIN };
        let bound = self.bounds.version;
        if now >= since.after(bound.saturating_sub(margin)) {
            return None;
        }
        Some(since.after(bound.saturating_sub(CANCEL_MARGIN)))
    }
}
