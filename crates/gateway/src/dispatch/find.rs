//! Finding the replica for one request.

use std::sync::{Arc, Weak};
use std::time::Instant;

use stairhinge::direct::Replica;
use stairhinge::direct::balance::{Candidate, LatencyModel, choose};
use stairhinge::placing::{ChooserKind, Need, SendPace};
use stairhinge::rank;
use stairhinge_shell::decisions::Decision;
use stairhinge_shell::directory::{FactsView, Standing};

use super::terms::Terms;
use super::{Dispatcher, Place, State};
use crate::placing::Chooser;

/// How long prompts that wait at a replica may take to be read, as a part of
/// the request's objective. The other half is for the request's own prompt
/// and the pass under way, 0.12 s at an engine of which half the time goes
/// into reading. Without a bound replicas got 20 requests within 0.25 s and
/// began them after 0.8 s.
const BACKLOG_PART: f64 = 0.5;

/// The data halls that are reckoned with where the settings name none.
const MOST_HALLS: usize = 20;

/// Replicas that could take a request, of one kind.
#[derive(Debug, Default)]
struct Offered {
    candidates: Vec<Candidate>,
    replicas: Vec<(Arc<Replica>, Terms)>,
}

impl Offered {
    fn chosen(&self) -> Option<(Arc<Replica>, Terms)> {
        let chosen = choose(&self.candidates)?;
        let (replica, terms) = self.replicas.get(chosen)?;
        Some((Arc::clone(replica), *terms))
    }
}

/// Replicas that could take a request.
#[derive(Debug, Default)]
struct Offers {
    /// Those that nothing speaks against.
    sound: Offered,
    /// Those that run a request that may end them.
    shared: Offered,
    /// Those that have failed of late.
    failing: Offered,
}

impl Offers {
    fn of(&mut self, fitness: Fitness) -> &mut Offered {
        match fitness {
            Fitness::Sound => &mut self.sound,
            Fitness::Shared => &mut self.shared,
            Fitness::Failing => &mut self.failing,
        }
    }

    /// Chooses the best one. Those that have failed are offered only where
    /// all have.
    fn chosen(&self) -> Option<(Arc<Replica>, Terms)> {
        let well = self.sound.chosen().or_else(|| self.shared.chosen());
        let any_well = !self.sound.candidates.is_empty()
            || !self.shared.candidates.is_empty();
        if any_well { well } else { self.failing.chosen() }
    }
}

/// What speaks against a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fitness {
    Sound,
    Shared,
    Failing,
}

impl Dispatcher {
    /// Whether any replica could take the request if it had room.
    pub(super) fn exists(
        &self,
        state: &State,
        view: &FactsView,
        need: &Need,
    ) -> bool {
        let now = self.facts.now();
        let layers = layers(view, need);
        view.of_service(&need.service).any(|(replica, _)| {
            self.terms(state, view, need, replica, layers, now).is_some()
        })
    }

    /// Takes a place for a request at the best replica, or at `only` if it
    /// will do.
    pub(super) fn find(
        &self,
        state: &mut State,
        view: &FactsView,
        need: &Need,
        kind: ChooserKind,
        only: Option<&Arc<str>>,
    ) -> Option<Place> {
        let offers = match only {
            Some(only) if self.may_fill(state, view, need, only) => {
                self.offers(state, view, need, kind, view.replicas.get(only))
            }
            Some(_) => return None,
            None => {
                let all = view.of_service(&need.service);
                self.offers(state, view, need, kind, all)
            }
        };
        let (replica, terms) = offers.chosen()?;
        let known =
            state.known.entry(Arc::clone(&replica.incarnation)).or_default();
        known.given(need, self.facts.now());
        let reported = known.reported.as_ref();
        Some(Place {
            version: terms.version.or(need.version),
            begin_by: terms.begin_by,
            load: known.load.total(),
            delay_ms: known.delay_ms() as u64,
            report_age: reported.map(|r| r.at.elapsed()),
            limit: known.limit.limit(),
            prompt_tokens: need.prompt_tokens,
            chooser: Chooser::Alone,
            lease: None,
            given: Instant::now(),
            began: false,
            replica,
            dispatcher: Weak::clone(&self.this),
        })
    }

    /// Returns those of some replicas that could take a request.
    fn offers<'a>(
        &self,
        state: &mut State,
        view: &FactsView,
        need: &Need,
        kind: ChooserKind,
        replicas: impl IntoIterator<Item = &'a (Arc<Replica>, Standing)>,
    ) -> Offers {
        let now = self.facts.now();
        let layers = layers(view, need);
        let listed = view
            .of_service(&need.service)
            .any(|(_, standing)| *standing == Standing::Listed);
        let mut offers = Offers::default();
        for (replica, standing) in replicas {
            if listed && *standing == Standing::Doubtful {
                continue;
            }
            let terms = self.terms(state, view, need, replica, layers, now);
            let Some(terms) = terms else { continue };
            let candidate = self.candidate(state, view, need, kind, replica);
            let Some((candidate, fitness)) = candidate else { continue };
            let offered = offers.of(fitness);
            offered.candidates.push(candidate);
            offered.replicas.push((Arc::clone(replica), terms));
        }
        offers
    }

    /// Returns a replica as a candidate, and what speaks against it; `None` if
    /// it has just said that it had no room, if it is cold or rate-limited and
    /// this entry has used its share, or if both it and the request have to be
    /// kept apart from others that may end replicas.
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
        let known =
            state.known.entry(Arc::clone(&replica.incarnation)).or_default();
        let now = self.facts.now();
        let cold = known.meet(replica, now);
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
        if need.suspicion.requires_exclusive_run() && known.has_trial() {
            return None;
        }
        let suspected = need.suspicion.ended > 0;
        let shared = known.has_trial() || (suspected && known.has_suspect());
        let fitness = match known.health.is_available(self.facts.now()) {
            true if shared => Fitness::Shared,
            true => Fitness::Sound,
            false => Fitness::Failing,
        };
        let room = self.evacuation_room(view, &replica.hall);
        let slots = (f64::from(replica.slots) * room) as u32;
        let latency = engine.map_or_else(
            || LatencyModel::plain(slots),
            |engine| LatencyModel { entries, ..engine.latency_model(slots) },
        );
        let candidate = Candidate {
            load: known.load,
            latency,
            near,
            queue: queue_room(slots, engine.is_some()),
            offset,
            link_delay_ms: known.delay_ms(),
            slowdown: known.slowdown(),
            max_backlog_ms: BACKLOG_PART * objective.as_millis() as f64,
        };
        Some((candidate, fitness))
    }

    /// Returns the pace at which this entry may choose a cold replica, or
    /// `None` if it is not bounded.
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
        self.bounds.regions.hall_count().unwrap_or(MOST_HALLS)
    }

    /// Returns this entry's leaning towards a replica, from 0 to 1.
    fn offset(&self, incarnation: &str) -> f64 {
        let score = rank::score(self.instance.as_bytes(), incarnation);
        score as f64 / u64::MAX as f64
    }

    /// Whether a replica that has changed may be one for a request that
    /// waits: of its service, and sound. One that has failed of late is
    /// looked at beside all others only.
    fn may_fill(
        &self,
        state: &State,
        view: &FactsView,
        need: &Need,
        only: &Arc<str>,
    ) -> bool {
        let listed = view.replicas.get(only);
        let known = state.known.get(only);
        listed.is_some_and(|(r, _)| r.service == need.service)
            && known.is_none_or(|k| k.health.is_available(self.facts.now()))
    }
}

/// Returns how many layers the model has that a request needs.
pub(super) fn layers(view: &FactsView, need: &Need) -> u32 {
    view.engine(&need.service).map_or(0, |engine| engine.layers)
}

/// Returns how many requests beyond its slots a replica may get.
///
/// An engine's slot is free again after a whole generation, so no request
/// waits for one there; a plain service's work is short.
const fn queue_room(slots: u32, engine: bool) -> u32 {
    if engine { 0 } else { slots }
}
