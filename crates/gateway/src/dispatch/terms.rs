//! Whether a replica may take a request, and under which conditions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use stairhinge::Time;
use stairhinge::direct::balance::{LatencyModel, Load};
use stairhinge::direct::{Replica, ReplicaState};
use stairhinge::placing::Need;
use stairhinge_shell::directory::FactsView;

use super::known::KnownReplica;
use super::{Dispatcher, State};

/// The longest standstill of a replica that carries nothing past the version
/// bound. Replicas may fall silent for about a second and go on.
const STANDSTILL: Duration = Duration::from_millis(1_200);

/// How long the cancellation of an attempt may take to reach a replica.
const CANCEL_TIME: Duration = Duration::from_millis(100);

/// How long before the last moment of sending a replica may still be chosen.
/// It has to be reached then.
const BEGIN_RESERVE: Duration = Duration::from_millis(50);

/// The expected time to the first token if there is no estimate.
const UNKNOWN_WAIT: Duration = Duration::from_millis(500);

/// How long before the version bound slow replicas with an outdated version
/// stop getting requests, which may take long to reach them.
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

impl Terms {
    /// Returns the time by which a request has to be sent that takes
    /// `expected` until its first token, if the version is outdated.
    pub(super) fn send_by(&self, expected: Duration) -> Option<Time> {
        self.begin_by.map(|at| send_by(at, expected))
    }

    /// Returns whether a request that takes `expected` until its first token
    /// may be sent now.
    pub(super) fn can_begin(&self, expected: Duration, now: Time) -> bool {
        let send_by = self.send_by(expected);
        send_by.is_none_or(|at| now.after(BEGIN_RESERVE) < at)
    }
}

/// Returns the time by which a request has to be sent that has to start by
/// `begin_by` and takes `expected` until then.
pub(super) fn send_by(begin_by: Time, expected: Duration) -> Time {
    begin_by.before(expected)
}

/// Returns the expected time from sending a request to its first token at a
/// replica with this load and latency. `slowdown` is the factor by which the
/// replica is slower than usual.
pub(super) fn expected_wait(
    latency: &LatencyModel,
    load: &Load,
    slowdown: f64,
    delay_ms: f64,
    prompt_tokens: u32,
) -> Duration {
    let expected = latency.expected_first_token_ms(load, prompt_tokens);
    let Some(ms) = expected else { return UNKNOWN_WAIT };
    let ms = ms * slowdown.max(1.0) + delay_ms.max(0.0);
    Duration::try_from_secs_f64(ms / 1e3).unwrap_or(Duration::MAX)
}

/// Returns the version of a model that a replica holds, by its last report if
/// that is recent, or else by the list. A version that the list has and no
/// agent has confirmed does not count.
pub(super) fn held_version(
    state: &State,
    known: Option<&KnownReplica>,
    replica: &Replica,
    model: &Arc<str>,
    layers: u32,
) -> Option<u64> {
    let reported =
        known.and_then(|k| k.reported.as_ref()).filter(|r| r.is_fresh());
    let held = match reported {
        Some(r) if r.report.model.as_ref() == Some(model) => r.report.version,
        Some(_) => None,
        None => replica.version(model, layers),
    };
    held.filter(|held| {
        let now = Instant::now();
        known.is_none_or(|known| {
            known.confirmed.allows(model, *held, state.has_agents, now)
        })
    })
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
        let held = held_version(state, known, replica, model, layers)?;
        if need.version.is_some_and(|v| v != held) {
            return None;
        }
        let slow = known.is_none_or(KnownReplica::is_slow);
        let begin_by = match view.targets.outdated_since(model, held) {
            None => None,
            Some(since) => {
                let begin_by = self.begin_by(since, slow, now)?;
                // What it runs now may have ended by the time of sending, and
                // what slows it down may have passed.
                let least = view.engine(&need.service).map(|engine| {
                    let latency = engine.latency_model(replica.slots);
                    let (idle, tokens) = (Load::default(), need.prompt_tokens);
                    expected_wait(&latency, &idle, 1.0, 0.0, tokens)
                });
                let least = least.unwrap_or(UNKNOWN_WAIT);
                let terms = Terms { version: None, begin_by: Some(begin_by) };
                if !terms.can_begin(least, now) {
                    return None;
                }
                Some(begin_by)
            }
        };
        // A replica that stands still may have loaded another version, which
        // its agent has not confirmed, by the time that it reads the request.
        Some(Terms { version: Some(held), begin_by })
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
    /// since `since`, or `None` if it is too late to send one.
    ///
    /// A request that has not started by then is cancelled. From then on a
    /// standstill could carry it past the version bound.
    pub(super) fn begin_by(
        &self,
        since: Time,
        slow: bool,
        now: Time,
    ) -> Option<Time> {
        let bound = self.bounds.version;
        if slow && now >= since.after(bound.saturating_sub(SLOW_MARGIN)) {
            return None;
        }
        let margin = STANDSTILL + CANCEL_TIME;
        Some(since.after(bound.saturating_sub(margin)))
    }
}

#[cfg(test)]
#[path = "terms_tests.rs"]
mod tests;
