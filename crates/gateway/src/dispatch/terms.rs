//! Whether a replica may take a request, and on which terms.

use std::time::Duration;

use stairhinge::Time;
use stairhinge::direct::{Replica, ReplicaState};
use stairhinge::placing::Need;
use stairhinge_shell::directory::FactsView;

use super::known::Known;
use super::{Dispatcher, State};

/// How much sooner than the bound old versions get nothing more: what is
/// sent then may still have to wait at the replica.
const VERSION_MARGIN: Duration = Duration::from_millis(900);

/// How long before the bound an attempt is called back that has not begun:
/// the call takes its time too.
const CALL_BACK: Duration = Duration::from_millis(300);

/// How much sooner than others a replica that has been slow gets nothing
/// more for an old version; what it is sent may be long on its way.
const SLOW_MARGIN: Duration = Duration::from_millis(3_000);

/// On which terms a replica may take a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Terms {
    /// The version to insist on, if any.
    pub version: Option<u64>,
    /// When it has to have begun, if its version's time is ending.
    pub begin_by: Option<Time>,
}

impl Dispatcher {
    /// Returns on which terms a replica may take the request, if at all.
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
            || self.evacuation_room(view, &replica.hall) <= 0.0
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
            known.and_then(|k| k.reported.as_ref()).filter(|r| r.counts());
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
        let slow = known.is_none_or(Known::is_slow);
        let begin_by = match view.targets.outdated_since(model, held) {
            None => None,
            Some(since) => Some(self.begin_by(since, slow, now)?),
        };
        // A replica that changes just now has to decline what is meant for
        // the version that it held; while all is well nobody changes.
        let insist = now.since(newest) < self.bounds.version * 2;
        Some(Terms { version: insist.then_some(held), begin_by })
    }

    /// Returns whether a request may be served in a hall.
    pub(super) fn is_allowed(&self, need: &Need, hall: &str) -> bool {
        need.regions.allows(self.bounds.regions.region(hall))
    }

    /// Returns the part of a hall's room that may be used: 1 unless the hall
    /// is evacuated.
    pub(super) fn evacuation_room(&self, view: &FactsView, hall: &str) -> f64 {
        let Some(since) = view.evacuations.since(hall) else { return 1.0 };
        self.bounds.evacuation.capacity_fraction(since, self.facts.now())
    }

    /// Returns until when a request may begin on a version outdated since
    /// `since`, or `None` if nothing more may be sent to it.
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
        Some(since.after(bound.saturating_sub(CALL_BACK)))
    }
}
