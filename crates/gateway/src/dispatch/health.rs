//! Exclusion of failing replicas, and their observed speed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use stairhinge::direct::{Replica, ReplicaState};
use stairhinge::health::{
    EjectionLimits, EjectionRoom, Expectation, HealthChange, HealthCheck,
    HealthReport, ReplicaHealth, ReportedStanding, Sample, Source, UsualRatio,
    expected_rate,
};
use stairhinge::placing::Need;
use stairhinge::{Error, Time};
use stairhinge_shell::decisions::Decision;
use stairhinge_shell::directory::FactsView;

use super::known::KnownReplica;
use super::{Dispatcher, Place, State};
use crate::settings::HealthSettings;

/// The limits on the exclusion of failing replicas.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HealthBounds {
    limits: EjectionLimits,
    /// Whether the observed speed of replicas counts.
    speed: bool,
}

impl HealthBounds {
    /// Returns the limits in the settings.
    pub(crate) fn new(settings: HealthSettings) -> Result<Self, Error> {
        let speed = settings.speed.unwrap_or(true);
        Ok(HealthBounds { limits: settings.limits()?, speed })
    }
}

/// What is known of all replicas of a service together, and counts.
#[derive(Debug, Default)]
pub(super) struct HealthState {
    /// The usual speed by service.
    usual: HashMap<Arc<str>, UsualRatio>,
    /// The number of ejections since the start.
    ejections: u64,
    /// The number of trials since the start.
    trials: u64,
    /// Ejections that other entries reported since the start.
    pub(super) reported: u64,
    /// The reports to send to other entries.
    pub(super) unsent: Vec<HealthReport>,
}

impl HealthState {
    /// Returns the usual speed of the replicas of a service.
    pub(super) fn usual(&self, service: &str) -> UsualRatio {
        self.usual.get(service).copied().unwrap_or_default()
    }
}

/// The numbers of ejections and trials.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HealthCount {
    /// Listed replicas that are ejected or on trial.
    pub ejected: usize,
    /// Ejections since the start.
    pub ejections: u64,
    /// Trials since the start.
    pub trials: u64,
    /// Ejections that other entries reported since the start.
    pub reported: u64,
}

impl Dispatcher {
    /// Returns whether the outcomes of requests are evaluated.
    pub(crate) const fn tracks_health(&self) -> bool {
        self.bounds.health.is_some()
    }

    /// Returns whether a replica is excluded for its outcomes.
    pub(super) fn is_ejected(&self, known: &KnownReplica, now: Time) -> bool {
        self.tracks_health() && known.outcomes.standing(now).is_excluded()
    }

    /// Returns whether a replica is not excluded for its outcomes.
    pub(super) fn is_in_service(
        &self,
        state: &State,
        replica: &Replica,
        now: Time,
    ) -> bool {
        if !self.tracks_health() {
            return true;
        }
        let known = state.known.get(&replica.incarnation);
        let known = known.filter(|k| k.matches_process(replica));
        known.is_none_or(|k| !self.is_ejected(k, now))
    }

    /// Returns whether a replica that the request must not be sent to again is
    /// not excluded for its outcomes. A request that failed there would fail
    /// at an ejected replica all the more.
    pub(super) fn has_tried_in_service(
        &self,
        state: &State,
        view: &FactsView,
        need: &Need,
        now: Time,
    ) -> bool {
        self.tracks_health()
            && need.tried.iter().any(|name| {
                let listed = view.replicas.get(name);
                listed.is_some_and(|(r, _)| self.is_in_service(state, r, now))
            })
    }

    /// Checks whether the outcomes of a replica's requests limit this request.
    pub(super) fn check_health(
        &self,
        known: &mut KnownReplica,
        replica: &Replica,
        need: &Need,
        now: Time,
    ) -> HealthCheck {
        if !self.tracks_health() {
            return HealthCheck::Passed;
        }
        if known.outcomes.update(now) {
            let replica = &replica.incarnation;
            let line = Decision::ReplicaReadmitted { replica, tried: false };
            self.facts.log().write(&line);
        }
        let may_try = need.repeatable && need.suspicion.ended == 0;
        let running = known.load.own();
        let near = replica.hall == self.hall;
        known.outcomes.check(may_try, near, running, replica.slots, now)
    }

    /// Returns the factor and the milliseconds by which a replica's failures
    /// and speed increase its cost.
    pub(super) fn health_cost(
        &self,
        known: &KnownReplica,
        usual: UsualRatio,
        now: Time,
    ) -> (f64, f64) {
        let Some(bounds) = &self.bounds.health else { return (1.0, 0.0) };
        let (factor, ms) = known.outcomes.cost(now);
        if !bounds.speed {
            return (factor, ms);
        }
        (factor * known.first_byte.factor(usual, now), ms)
    }

    /// Records that a request was assigned to a replica as a trial. Returns
    /// whether it is one: a replica in service that is in doubt is not on
    /// trial.
    pub(super) fn record_trial_sent(
        &self,
        state: &mut State,
        incarnation: &str,
    ) -> bool {
        let Some(known) = state.known.get_mut(incarnation) else {
            return false;
        };
        let ejections = known.record_trial_sent(self.facts.now());
        let Some(ejections) = ejections else { return false };
        state.health.trials += 1;
        let replica = incarnation;
        let line = Decision::ReplicaTrial { replica, ejections };
        self.facts.log().write(&line);
        true
    }

    /// Records that the first byte of a request is expected after
    /// `expected_ms` milliseconds. Returns its number.
    pub(super) fn record_awaited(
        &self,
        known: &mut KnownReplica,
        expected_ms: Option<f64>,
    ) -> Option<u64> {
        self.bounds.health.filter(|bounds| bounds.speed)?;
        let now = self.facts.now();
        Some(known.first_byte.record_sent(expected_ms?, now))
    }

    /// Records that the first byte of a request is no longer awaited.
    pub(super) fn forget_awaited(&self, place: &Place) {
        let Some(number) = place.outcome.number else { return };
        let mut state = self.lock();
        let known = state.known.get_mut(&place.replica.incarnation);
        if let Some(known) =
            known.filter(|k| k.matches_process(&place.replica))
        {
            known.first_byte.forget(number);
        }
    }

    /// Records the time to the first byte of a request.
    pub(super) fn record_first_byte(&self, place: &Place, took: Duration) {
        let Some(bounds) = &self.bounds.health else { return };
        let Some(expected_ms) = place.outcome.expected_ms else { return };
        if !bounds.speed {
            return;
        }
        let now = self.facts.now();
        let ratio = took.as_secs_f64() * 1e3 / expected_ms;
        let replica = &place.replica;
        let mut state = self.lock();
        let Some(known) = state.known.get_mut(&replica.incarnation) else {
            return;
        };
        if !known.matches_process(replica) {
            return;
        }
        known.first_byte.record(ratio, now);
        let service = Arc::clone(&replica.service);
        state.health.usual.entry(service).or_default().record(ratio);
    }

    /// Evaluates the outcome of a request that has ended at a replica.
    /// `failed` is `None` if it says nothing about the replica.
    pub(super) fn record_ended(
        &self,
        place: &Place,
        failed: Option<bool>,
        source: Option<Source>,
        took: Duration,
    ) {
        if !self.tracks_health() {
            return;
        }
        let trial = place.outcome.trial;
        let Some((failed, source)) = failed.zip(source) else {
            if trial {
                self.record_trial_void(&place.replica);
            }
            return;
        };
        let sample = Sample { source, failed, trial, took };
        let replica = &place.replica;
        let limits = self.health_limits(replica);
        let view = self.facts.view();
        let now = self.facts.now();
        let mut state = self.lock();
        let state = &mut *state;
        let expected = {
            let known = state.known.get(&replica.incarnation);
            let Some(known) = known.filter(|k| k.matches_process(replica))
            else {
                return;
            };
            if known.outcomes.needs_expectation(&sample, now) {
                let others = others(state, &view, replica);
                let known = others.filter_map(|(_, health)| health);
                expected_rate(known, source, now)
            } else {
                Expectation::default()
            }
        };
        if expected.all_fail {
            self.readmit_all(state, &view, &replica.service, now);
        }
        let Some(known) = state.known.get_mut(&replica.incarnation) else {
            return;
        };
        let change = known.outcomes.record(&sample, expected, limits, now);
        self.apply_health_change(state, &view, replica, change, now);
        if !failed {
            let tried = &place.outcome.tried;
            self.confirm_failures(state, &view, tried, source, now);
        }
    }

    /// Records that a request was served that had failed at the replicas
    /// `tried`.
    fn confirm_failures(
        &self,
        state: &mut State,
        view: &FactsView,
        tried: &[Arc<str>],
        source: Source,
        now: Time,
    ) {
        for name in tried {
            let Some((replica, _)) = view.replicas.get(name) else { continue };
            let limits = self.health_limits(replica);
            let known = state.known.get_mut(name);
            let Some(known) = known.filter(|k| k.matches_process(replica))
            else {
                continue;
            };
            let change = known.outcomes.confirm_failure(source, limits, now);
            self.apply_health_change(state, view, replica, change, now);
        }
    }

    fn apply_health_change(
        &self,
        state: &mut State,
        view: &FactsView,
        replica: &Replica,
        change: Option<HealthChange>,
        now: Time,
    ) {
        let limits = self.health_limits(replica);
        let Some(known) = state.known.get(&replica.incarnation) else {
            return;
        };
        match change {
            None => {}
            Some(HealthChange::Suspected) => {
                let evidence = known.outcomes.evidence();
                self.facts.log().write(&Decision::ReplicaAvoided {
                    replica: &replica.incarnation,
                    failures: evidence.failures,
                    requests: evidence.requests,
                    expected: evidence.expected,
                });
                let standing = ReportedStanding::Suspected;
                self.report_health(state, replica, standing, now);
            }
            Some(HealthChange::Failing) => {
                self.eject(state, view, replica, limits, now);
            }
            Some(HealthChange::FailedTrial) => {
                let outcomes = &known.outcomes;
                self.log_ejected(replica, outcomes, limits, true);
                let span = limits.exclusion(outcomes.ejections());
                state.health.ejections += 1;
                let standing = ReportedStanding::ejected(span);
                self.report_health(state, replica, standing, now);
            }
            Some(HealthChange::Readmitted) => {
                let standing = ReportedStanding::Readmitted;
                self.report_health(state, replica, standing, now);
                let replica = &replica.incarnation;
                let line =
                    Decision::ReplicaReadmitted { replica, tried: true };
                self.facts.log().write(&line);
            }
        }
    }

    /// Returns the limits on the ejection of a replica.
    pub(super) fn health_limits(&self, replica: &Replica) -> EjectionLimits {
        let limits = self.bounds.health.map(|bounds| bounds.limits);
        let limits = limits.unwrap_or_default();
        if replica.hall == self.hall { limits } else { limits.far() }
    }

    /// Readmits all replicas of a service, because the others fail as well.
    fn readmit_all(
        &self,
        state: &mut State,
        view: &FactsView,
        service: &str,
        now: Time,
    ) {
        for (replica, _) in view.of_service(service) {
            let replica = &replica.incarnation;
            let Some(known) = state.known.get_mut(replica) else { continue };
            if !known.outcomes.standing(now).is_excluded() {
                continue;
            }
            known.outcomes.readmit(now);
            let line = Decision::ReplicaReadmitted { replica, tried: false };
            self.facts.log().write(&line);
        }
    }

    fn record_trial_void(&self, replica: &Replica) {
        let mut state = self.lock();
        let known = state.known.get_mut(&replica.incarnation);
        if let Some(known) = known.filter(|k| k.matches_process(replica)) {
            known.outcomes.record_trial_void();
        }
    }

    /// Ejects a replica if the limit on the service's ejected replicas allows
    /// it.
    fn eject(
        &self,
        state: &mut State,
        view: &FactsView,
        replica: &Replica,
        limits: EjectionLimits,
        now: Time,
    ) {
        let room = {
            let Some(known) = state.known.get(&replica.incarnation) else {
                return;
            };
            // Replicas without requests yet.
            let unused = ReplicaHealth::default();
            let others = others(state, view, replica);
            let others =
                others.map(|(name, health)| (name, health.unwrap_or(&unused)));
            EjectionRoom::of(limits, &known.outcomes, others, now)
        };
        match room {
            EjectionRoom::Full => return,
            EjectionRoom::Free => {}
            EjectionRoom::Replace(other) => {
                if let Some(known) = state.known.get_mut(&other) {
                    known.outcomes.readmit(now);
                }
                let replica = &other;
                let line =
                    Decision::ReplicaReadmitted { replica, tried: false };
                self.facts.log().write(&line);
            }
        }
        let Some(known) = state.known.get_mut(&replica.incarnation) else {
            return;
        };
        let span = known.outcomes.eject(limits, now);
        state.health.ejections += 1;
        self.log_ejected(replica, &known.outcomes, limits, false);
        let standing = ReportedStanding::ejected(span);
        self.report_health(state, replica, standing, now);
    }

    fn log_ejected(
        &self,
        replica: &Replica,
        health: &ReplicaHealth,
        limits: EjectionLimits,
        trial: bool,
    ) {
        let evidence = health.evidence();
        let span = limits.exclusion(health.ejections());
        self.facts.log().write(&Decision::ReplicaEjected {
            replica: &replica.incarnation,
            failures: evidence.failures,
            requests: evidence.requests,
            expected: evidence.expected,
            ejections: health.ejections(),
            for_ms: span.as_millis() as u64,
            trial,
        });
    }

    /// Counts ejections and trials.
    pub(crate) fn count_health(&self) -> HealthCount {
        let now = self.facts.now();
        let view = self.facts.view();
        let state = self.lock();
        let mut count = HealthCount {
            ejected: 0,
            ejections: state.health.ejections,
            trials: state.health.trials,
            reported: state.health.reported,
        };
        for (incarnation, known) in &state.known {
            let listed = view.replicas.contains_key(incarnation);
            let ejected = listed && self.is_ejected(known, now);
            count.ejected += usize::from(ejected);
        }
        count
    }
}

/// Returns the other replicas of the same service that are not leaving, with
/// their health if it is known.
pub(super) fn others<'a>(
    state: &'a State,
    view: &'a FactsView,
    replica: &'a Replica,
) -> impl Iterator<Item = (Arc<str>, Option<&'a ReplicaHealth>)> {
    let own = &replica.incarnation;
    view.of_service(&replica.service)
        .filter(move |(other, _)| other.incarnation != *own)
        .filter(|(other, _)| other.state != ReplicaState::Draining)
        .map(|(other, _)| {
            let known = state.known.get(&other.incarnation);
            let known = known.filter(|k| k.matches_process(other));
            let health = known.map(|k| &k.outcomes);
            (Arc::clone(&other.incarnation), health)
        })
}
