//! Selection of the replica for one request.

use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use stairhinge::direct::Replica;
use stairhinge::direct::balance::{Candidate, LatencyModel, choose};
use stairhinge::health::HealthCheck;
use stairhinge::placing::{ChooserKind, Need, SendPace};
use stairhinge::poison::Fingerprint;
use stairhinge::rank;
use stairhinge_shell::decisions::Decision;
use stairhinge_shell::directory::{FactsView, Standing};

use super::place::PlaceOutcome;
use super::terms::{Terms, expected_wait};
use super::{Dispatcher, Place, State};
use crate::placing::Chooser;

/// The maximum prefill time of the prompts that wait at a replica, as a
/// fraction of the request's latency objective. The rest is for the request's
/// own prefill and the forward pass in progress, 0.12 s at an engine that
/// spends half of its time on prefill. Without a bound, replicas got 20
/// requests within 0.25 s and started them after 0.8 s.
const MAX_BACKLOG_FRACTION: f64 = 0.5;

/// The assumed number of data halls if the settings name none.
const DEFAULT_HALL_COUNT: usize = 20;

/// Replicas of the same fitness that can take a request. Both lists have the
/// same order.
#[derive(Debug, Default)]
struct CandidateSet {
    candidates: Vec<Candidate>,
    replicas: Vec<(Arc<Replica>, Terms)>,
}

impl CandidateSet {
    /// Returns the best replica, or for a request whose runs share a replica
    /// the first one with capacity in its rank order.
    fn best(&self, shared_run: Option<Fingerprint>) -> Option<Choice> {
        let chosen = match shared_run {
            Some(request) => self.first_ranked(request)?,
            None => choose(&self.candidates)?,
        };
        let (replica, terms) = self.replicas.get(chosen)?;
        let candidate = self.candidates.get(chosen)?;
        Some(Choice {
            replica: Arc::clone(replica),
            terms: *terms,
            candidate: *candidate,
            trial: false,
        })
    }

    fn first_ranked(&self, request: Fingerprint) -> Option<usize> {
        let subject = request.to_string();
        let mut first = None;
        for (index, candidate) in self.candidates.iter().enumerate() {
            if choose(std::slice::from_ref(candidate)).is_none() {
                continue;
            }
            let (replica, _) = self.replicas.get(index)?;
            let name = &replica.incarnation;
            let score = rank::score(subject.as_bytes(), name);
            first = first.max(Some((score, index)));
        }
        first.map(|(_, index)| index)
    }
}

/// The chosen replica.
#[derive(Debug)]
struct Choice {
    replica: Arc<Replica>,
    terms: Terms,
    candidate: Candidate,
    /// Whether the request is a trial of a replica that was ejected.
    trial: bool,
}

/// Replicas that can take a request, by fitness.
#[derive(Debug, Default)]
struct CandidateSets {
    /// Replicas that were ejected and may get this request as a trial.
    trial: CandidateSet,
    /// Replicas without known problems.
    healthy: CandidateSet,
    /// Replicas that may be failing, if the request cannot be repeated.
    suspect: CandidateSet,
    /// Replicas that run a request suspected of crashing replicas.
    at_risk: CandidateSet,
    /// Replicas that failed recently.
    failing: CandidateSet,
    /// Replicas that are ejected.
    ejected: CandidateSet,
    /// Whether any suitable replica, or one that the request has been sent to,
    /// is not ejected, even if it has no capacity now.
    in_service: bool,
}

impl CandidateSets {
    fn get_mut(&mut self, fitness: Fitness) -> &mut CandidateSet {
        match fitness {
            Fitness::Trial => &mut self.trial,
            Fitness::Healthy => &mut self.healthy,
            Fitness::Suspect => &mut self.suspect,
            Fitness::AtRisk => &mut self.at_risk,
            Fitness::Failing => &mut self.failing,
            Fitness::Ejected => &mut self.ejected,
        }
    }

    /// Chooses the best replica. Failing replicas are considered only if there
    /// are no others.
    fn best(&self, shared_run: Option<Fingerprint>) -> Option<Choice> {
        if let Some(choice) = self.trial.best(shared_run) {
            return Some(Choice { trial: true, ..choice });
        }
        if !self.in_service {
            return self.ejected.best(shared_run);
        }
        let available = self
            .healthy
            .best(shared_run)
            .or_else(|| self.suspect.best(shared_run))
            .or_else(|| self.at_risk.best(shared_run));
        let has_available = [&self.healthy, &self.suspect, &self.at_risk]
            .iter()
            .any(|set| !set.candidates.is_empty());
        if has_available { available } else { self.failing.best(shared_run) }
    }
}

/// How well a replica is suited to a request, best first.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fitness {
    Trial,
    Healthy,
    Suspect,
    AtRisk,
    Failing,
    Ejected,
}

impl Fitness {
    /// Returns the fitness of a replica, or `None` if it has no capacity for
    /// the request. `excluded` tells whether it is excluded for its outcomes,
    /// `available` whether it has not failed in the last moments, and
    /// `at_risk` whether it runs a request suspected of crashing replicas.
    const fn of(
        check: HealthCheck,
        excluded: bool,
        available: bool,
        at_risk: bool,
    ) -> Option<Fitness> {
        Some(match check {
            HealthCheck::Full => return None,
            HealthCheck::Ejected => Fitness::Ejected,
            HealthCheck::Trial if available && !at_risk => Fitness::Trial,
            HealthCheck::Trial if excluded => Fitness::Ejected,
            _ if !available => Fitness::Failing,
            _ if at_risk => Fitness::AtRisk,
            HealthCheck::Trial | HealthCheck::Passed => Fitness::Healthy,
            HealthCheck::Suspect => Fitness::Suspect,
        })
    }
}

impl Dispatcher {
    /// Returns whether any replica can take the request once it has capacity.
    pub(super) fn has_suitable_replica(
        &self,
        state: &State,
        view: &FactsView,
        need: &Need,
    ) -> bool {
        let now = self.facts.now();
        let layers = layer_count(view, need);
        let mut only_ejected = false;
        for (replica, _) in view.of_service(&need.service) {
            let terms = self.terms(state, view, need, replica, layers, now);
            if terms.is_none() {
                continue;
            }
            if self.is_in_service(state, replica, now) {
                return true;
            }
            only_ejected = true;
        }
        only_ejected && !self.has_tried_in_service(state, view, need, now)
    }

    /// Takes a place for a request at the best replica. If `only` is set, no
    /// other replica is considered.
    pub(super) fn find_place(
        &self,
        state: &mut State,
        view: &FactsView,
        need: &Need,
        kind: ChooserKind,
        only: Option<&Arc<str>>,
    ) -> Option<Place> {
        let sets = match only {
            Some(only) if self.can_serve_waiter(state, view, need, only) => {
                self.candidate_sets(
                    state,
                    view,
                    need,
                    kind,
                    view.replicas.get(only),
                )
            }
            Some(_) => return None,
            None => {
                let all = view.of_service(&need.service);
                self.candidate_sets(state, view, need, kind, all)
            }
        };
        let Choice { replica, terms, candidate, trial } =
            sets.best(need.shared_run)?;
        let trial =
            trial && self.record_trial_sent(state, &replica.incarnation);
        let known =
            state.known.entry(Arc::clone(&replica.incarnation)).or_default();
        known.record_assigned(need, self.facts.now());
        let expected_ms =
            candidate.expected_first_token_ms(need.prompt_tokens);
        let number = self.record_awaited(known, expected_ms);
        let reported = known.reported.as_ref();
        let outcome = PlaceOutcome {
            trial,
            expected_ms,
            number,
            tried: need.tried.clone(),
            ..PlaceOutcome::default()
        };
        Some(Place {
            version: terms.version.or(need.version),
            begin_by: terms.begin_by,
            send_by: terms.send_by(wait_at(&candidate, need)),
            load: known.load.total(),
            delay_ms: known.delay_ms() as u64,
            report_age: reported.map(|r| r.at.elapsed()),
            limit: known.limit.limit(),
            prompt_tokens: need.prompt_tokens,
            chooser: Chooser::NoPeers,
            lease: None,
            given_at: Instant::now(),
            began: false,
            outcome: Box::new(outcome),
            replica,
            dispatcher: Weak::clone(&self.this),
        })
    }

    /// Returns those of `replicas` that can take a request.
    fn candidate_sets<'a>(
        &self,
        state: &mut State,
        view: &FactsView,
        need: &Need,
        kind: ChooserKind,
        replicas: impl IntoIterator<Item = &'a (Arc<Replica>, Standing)>,
    ) -> CandidateSets {
        let now = self.facts.now();
        let layers = layer_count(view, need);
        let listed = view.has_listed(&need.service);
        let mut sets = CandidateSets {
            in_service: self.has_tried_in_service(state, view, need, now),
            ..CandidateSets::default()
        };
        for (replica, standing) in replicas {
            if listed && !standing.is_listed() {
                continue;
            }
            let terms = self.terms(state, view, need, replica, layers, now);
            let Some(terms) = terms else { continue };
            sets.in_service |= self.is_in_service(state, replica, now);
            let candidate = self.candidate(state, view, need, kind, replica);
            let Some((candidate, fitness)) = candidate else { continue };
            if !terms.can_begin(wait_at(&candidate, need), now) {
                continue;
            }
            let set = sets.get_mut(fitness);
            set.candidates.push(candidate);
            set.replicas.push((Arc::clone(replica), terms));
        }
        sets
    }

    /// Returns a replica as a candidate and its fitness. Returns `None` if it
    /// recently declined a request for lack of capacity, if it is cold or
    /// rate-limited and this entry has used up its share, or if it runs the
    /// trial of a request suspected of crashing replicas and this request is a
    /// trial too.
    fn candidate(
        &self,
        state: &mut State,
        view: &FactsView,
        need: &Need,
        kind: ChooserKind,
        replica: &Replica,
    ) -> Option<(Candidate, Fitness)> {
        let engine = view.engine(&need.service);
        let entries = state.contention.entries();
        let known = state.known.get(&replica.incarnation);
        let limit = known.and_then(|k| k.limit.limit());
        let fleet_entries = limit.and_then(|_| self.fleet_entries_in(state));
        let near = replica.hall == self.hall;
        let objective = state
            .recent_objectives
            .effective_objective(need, self.facts.now());
        let usual = state.health.usual(&need.service);
        let known =
            state.known.entry(Arc::clone(&replica.incarnation)).or_default();
        let now = self.facts.now();
        let cold = known.update_from_listing(replica, now);
        if known.is_cold(now)
            && let Some(pace) = self.cold_pace(view, kind, replica)
        {
            if let Some(for_ms) = cold {
                let replica = &replica.incarnation;
                let share = pace.max_requests();
                let line = Decision::ReplicaCold { replica, for_ms, share };
                self.facts.log().write(&line);
            }
            if !known.sent.has_room(pace, now) {
                return None;
            }
        }
        let offset = *known
            .offset
            .get_or_insert_with(|| self.offset(&replica.incarnation));
        if let Some(limit) = limit {
            let pace =
                limit.pace(kind, near, self.hall_count(), fleet_entries);
            if !known.limit.has_room(pace, &known.sent, offset, now) {
                return None;
            }
        }
        if known.full_until.is_some_and(|at| at > Instant::now()) {
            return None;
        }
        let has_trial = known.has_trial(need);
        if need.suspicion.requires_exclusive_run() && has_trial {
            return None;
        }
        let suspected = need.suspicion.ended > 0;
        let at_risk = has_trial || (suspected && known.has_suspect(need));
        let silent = need.silent.contains(&replica.incarnation);
        let available = known.health.is_available(now) && !silent;
        let check = self.check_health(known, replica, need, now);
        let excluded = self.is_ejected(known, now);
        let fitness = Fitness::of(check, excluded, available, at_risk)?;
        let (factor, failure_ms) = self.health_cost(known, usual, now);
        let capacity_fraction = self.evacuation_capacity(view, &replica.hall);
        let slots = (f64::from(replica.slots) * capacity_fraction) as u32;
        let latency = engine.map_or_else(
            || LatencyModel::plain(slots),
            |engine| LatencyModel { entries, ..engine.latency_model(slots) },
        );
        let candidate = Candidate {
            load: known.load,
            latency,
            near,
            queue: queue_capacity(slots, engine.is_some()),
            offset,
            link_delay_ms: known.delay_ms() + failure_ms,
            slowdown: known.slowdown() * factor,
            max_backlog_ms: MAX_BACKLOG_FRACTION
                * objective.as_millis() as f64,
        };
        Some((candidate, fitness))
    }

    /// Returns the maximum rate at which this entry may send to a cold
    /// replica, or `None` if it is unlimited.
    fn cold_pace(
        &self,
        view: &FactsView,
        kind: ChooserKind,
        replica: &Replica,
    ) -> Option<SendPace> {
        let service = view.routes.as_ref()?.service(&replica.service)?;
        let bound = self.bounds.cold.bound(service.cold_per_s)?;
        let near = replica.hall == self.hall;
        Some(bound.pace(kind, near, self.hall_count()))
    }

    /// Returns the number of data halls whose entries choose replicas.
    fn hall_count(&self) -> usize {
        self.bounds.regions.hall_count().unwrap_or(DEFAULT_HALL_COUNT)
    }

    /// Returns this entry's fixed hash offset for a replica, from 0 to 1.
    fn offset(&self, incarnation: &str) -> f64 {
        let score = rank::score(self.instance.as_bytes(), incarnation);
        score as f64 / u64::MAX as f64
    }

    /// Returns whether a replica whose state has changed can be considered on
    /// its own for a queued request: it is of the request's service and has
    /// not failed recently. Failing replicas are considered only in comparison
    /// with all others.
    fn can_serve_waiter(
        &self,
        state: &State,
        view: &FactsView,
        need: &Need,
        only: &Arc<str>,
    ) -> bool {
        let listed = view.replicas.get(only);
        let known = state.known.get(only);
        listed.is_some_and(|(r, _)| r.service == need.service)
            && !need.silent.contains(only)
            && known.is_none_or(|k| {
                let now = self.facts.now();
                k.health.is_available(now) && !self.is_ejected(k, now)
            })
    }
}

/// Returns the number of layers of the model that a request needs, or 0 for
/// services without an engine.
pub(super) fn layer_count(view: &FactsView, need: &Need) -> u32 {
    view.engine(&need.service).map_or(0, |engine| engine.layers)
}

/// Returns the expected time from sending a request to its first token.
fn wait_at(candidate: &Candidate, need: &Need) -> Duration {
    let Candidate { latency, load, slowdown, link_delay_ms, .. } = candidate;
    let tokens = need.prompt_tokens;
    expected_wait(latency, load, *slowdown, *link_delay_ms, tokens)
}

/// Returns how many requests may be queued at a replica beyond its slots.
///
/// An engine frees a slot only after a whole generation, so nothing is queued
/// there. The requests of other services are short.
const fn queue_capacity(slots: u32, engine: bool) -> u32 {
    if engine { 0 } else { slots }
}

#[cfg(test)]
#[path = "find_tests.rs"]
mod tests;
