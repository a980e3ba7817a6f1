//! Picking a replica for each request, and waiting for one with room.

mod known;
mod news;
mod outcome;
mod place;
mod terms;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use stairhinge::direct::balance::{Candidate, Pace, choose};
use stairhinge::direct::{Contention, Replica};
use stairhinge::rank;
use stairhinge_shell::directory::{Facts, FactsView, Standing};
use tokio::sync::oneshot;

use self::known::{Known, Reported};
pub(crate) use self::place::{Need, NoReplica, Place};
use self::terms::Terms;
use crate::report::EngineReport;

#[derive(Debug)]
struct Waiter {
    need: Need,
    order: u64,
    found: oneshot::Sender<Place>,
}

/// Replicas that could take a request.
#[derive(Debug, Default)]
struct Offered {
    candidates: Vec<Candidate>,
    replicas: Vec<(Arc<Replica>, Terms)>,
}

#[derive(Debug, Default)]
struct State {
    known: HashMap<Arc<str>, Known>,
    waiting: Vec<Waiter>,
    next: u64,
    contention: Contention,
}

/// How far the dispatcher looks back and ahead.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DispatchBounds {
    /// Within which a named version has to serve.
    pub version: Duration,
}

/// How long prompts that wait at a replica may take to be read, as a part of
/// the request's objective. The other half is for the request's own prompt
/// and the pass under way, 0.12 s at an engine of which half the time goes
/// into reading. Without a bound replicas got 20 requests within 0.25 s and
/// began them after 0.8 s.
const BACKLOG_PART: f64 = 0.5;

/// How long a replica that had no room is spared.
const FULL: Duration = Duration::from_millis(60);

/// Picks replicas for the requests of one entry.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    facts: Arc<Facts>,
    instance: Arc<str>,
    hall: Arc<str>,
    bounds: DispatchBounds,
    state: Mutex<State>,
    this: Weak<Dispatcher>,
}

impl Dispatcher {
    /// Returns a dispatcher over a process's beliefs.
    pub(crate) fn new(
        facts: Arc<Facts>,
        instance: Arc<str>,
        hall: Arc<str>,
        bounds: DispatchBounds,
    ) -> Arc<Dispatcher> {
        Arc::new_cyclic(|this| Dispatcher {
            facts,
            instance,
            hall,
            bounds,
            state: Mutex::default(),
            this: Weak::clone(this),
        })
    }

    /// Returns the entry's data hall.
    pub(crate) fn hall(&self) -> &str {
        &self.hall
    }

    /// Returns the beliefs that it decides by.
    pub(crate) const fn facts(&self) -> &Arc<Facts> {
        &self.facts
    }

    /// Returns a place at a replica, waiting until `until` for one.
    pub(crate) async fn place(
        &self,
        need: Need,
        until: Instant,
    ) -> Result<Place, NoReplica> {
        let mut receiver = {
            let mut state = self.lock();
            let view = self.facts.view();
            let ahead = state.waiting.iter().any(|w| {
                w.need.service == need.service
                    && w.need.priority <= need.priority
                    && !w.found.is_closed()
            });
            if !ahead && let Some(place) = self.find(&mut state, &view, &need)
            {
                return Ok(place);
            }
            if !self.exists(&state, &view, &need) {
                return Err(NoReplica::None);
            }
            let (found, receiver) = oneshot::channel();
            let order = state.next;
            state.next += 1;
            state.waiting.push(Waiter { need, order, found });
            receiver
        };
        match tokio::time::timeout_at(until.into(), &mut receiver).await {
            Ok(Ok(place)) => Ok(place),
            Ok(Err(_)) => Err(NoReplica::None),
            Err(_) => {
                receiver.close();
                // One may have come in the same moment.
                receiver.try_recv().map_err(|_| NoReplica::Full)
            }
        }
    }

    /// Returns how many replicas of a service are listed, and how many of
    /// them could take a request if they had room.
    pub(crate) fn count(&self, need: &Need) -> (usize, usize) {
        let state = self.lock();
        let view = self.facts.view();
        let now = self.facts.now();
        let layers = layers(&view, need);
        let mut listed = 0;
        let mut suitable = 0;
        for (replica, _) in view.of_service(&need.service) {
            listed += 1;
            let terms = self.terms(&state, &view, need, replica, layers, now);
            suitable += usize::from(terms.is_some());
        }
        (listed, suitable)
    }

    /// Gives waiting requests the room that there is now.
    pub(crate) fn pump(&self) {
        let mut state = self.lock();
        if state.waiting.is_empty() {
            return;
        }
        let view = self.facts.view();
        let mut waiting = std::mem::take(&mut state.waiting);
        waiting.retain(|w| !w.found.is_closed());
        waiting.sort_by_key(|w| (w.need.priority, w.order));
        let mut given = Vec::new();
        for waiter in waiting {
            match self.find(&mut state, &view, &waiter.need) {
                Some(place) => given.push((waiter.found, place)),
                None => state.waiting.push(waiter),
            }
        }
        drop(state);
        for (found, place) in given {
            // A place whose waiter has just gone is given back by its drop.
            let _ = found.send(place);
        }
    }

    /// Takes in an agent's report of the engine beside it.
    pub(crate) fn report(
        &self,
        incarnation: &Arc<str>,
        mut report: EngineReport,
    ) {
        let mut state = self.lock();
        let known = state.known.entry(Arc::clone(incarnation)).or_default();
        if let Some(last) = &mut known.reported {
            report.keep_from(&mut last.report);
        }
        let all = report.queued + report.running;
        let own = known.load.own();
        known.load = known.load.reported(report.queued, report.running);
        known.reported = Some(Reported { report, at: Instant::now() });
        state.contention.note(own, all);
        drop(state);
        self.pump();
    }

    /// Takes note that a replica's last report still holds.
    pub(crate) fn confirm(&self, incarnation: &Arc<str>) {
        let mut state = self.lock();
        let known = state.known.get_mut(incarnation);
        if let Some(reported) = known.and_then(|k| k.reported.as_mut()) {
            reported.at = Instant::now();
        }
    }

    /// Forgets the report of a replica whose agent is out of reach.
    pub(crate) fn unreport(&self, incarnation: &Arc<str>) {
        let mut state = self.lock();
        if let Some(known) = state.known.get_mut(incarnation) {
            known.reported = None;
            known.load = known.load.unreported();
        }
    }

    /// Drops what is known of replicas that are listed no more.
    pub(crate) fn sweep(&self) {
        let view = self.facts.view();
        let mut state = self.lock();
        state.known.retain(|incarnation, known| {
            known.load.own() > 0 || view.replicas.contains_key(incarnation)
        });
    }

    /// Returns the requests of this entry at replicas, and those waiting.
    pub(crate) fn load(&self) -> (usize, usize) {
        let state = self.lock();
        let own: u32 = state.known.values().map(|k| k.load.own()).sum();
        (own as usize, state.waiting.len())
    }

    /// Whether the replica's engine has been reported down since a moment.
    pub(crate) fn is_down(&self, incarnation: &str) -> bool {
        let state = self.lock();
        let reported =
            state.known.get(incarnation).and_then(|k| k.reported.as_ref());
        reported.is_some_and(|r| !r.report.up)
    }

    /// Whether any replica could take the request if it had room.
    fn exists(&self, state: &State, view: &FactsView, need: &Need) -> bool {
        let now = self.facts.now();
        let layers = layers(view, need);
        view.of_service(&need.service).any(|(replica, _)| {
            self.terms(state, view, need, replica, layers, now).is_some()
        })
    }

    fn find(
        &self,
        state: &mut State,
        view: &FactsView,
        need: &Need,
    ) -> Option<Place> {
        let now = self.facts.now();
        let engine = view.engine(&need.service);
        let layers = layers(view, need);
        let contention = state.contention.entries();
        let mut sound = Offered::default();
        let mut suspect = Offered::default();
        let listed = view
            .of_service(&need.service)
            .any(|(_, standing)| *standing == Standing::Listed);
        for (replica, standing) in view.of_service(&need.service) {
            if listed && *standing == Standing::Doubtful {
                continue;
            }
            let terms = self.terms(state, view, need, replica, layers, now);
            let Some(terms) = terms else { continue };
            let known = state
                .known
                .entry(Arc::clone(&replica.incarnation))
                .or_default();
            if known.full_until.is_some_and(|at| at > Instant::now()) {
                continue;
            }
            let fit = known.health.fit(now);
            let offset = *known
                .offset
                .get_or_insert_with(|| self.offset(&replica.incarnation));
            let pace = engine.map_or_else(
                || Pace::plain(replica.slots),
                |engine| Pace {
                    entries: contention,
                    ..engine.pace(replica.slots)
                },
            );
            let candidate = Candidate {
                load: known.load,
                pace,
                near: replica.hall == self.hall,
                queue: queue_room(replica.slots, engine.is_some()),
                offset,
                delay_ms: known.delay_ms(),
                slowdown: known.slowdown(),
                most_ms: BACKLOG_PART * need.objective.as_millis() as f64,
            };
            let offered = if fit { &mut sound } else { &mut suspect };
            offered.candidates.push(candidate);
            offered.replicas.push((Arc::clone(replica), terms));
        }
        // Where all have failed of late, one of them is better than none.
        let offered =
            if sound.candidates.is_empty() { suspect } else { sound };
        let chosen = choose(&offered.candidates)?;
        let (replica, terms) = offered.replicas.into_iter().nth(chosen)?;
        let known =
            state.known.entry(Arc::clone(&replica.incarnation)).or_default();
        known.load.own_pending += 1;
        known.load.own_pending_tokens += need.prompt_tokens;
        let reported = known.reported.as_ref();
        Some(Place {
            version: terms.version.or(need.version),
            begin_by: terms.begin_by,
            load: known.load.total(),
            delay_ms: known.delay_ms() as u64,
            report_age: reported.map(|r| r.at.elapsed()),
            prompt_tokens: need.prompt_tokens,
            given: Instant::now(),
            began: false,
            replica,
            dispatcher: Weak::clone(&self.this),
        })
    }

    /// Returns this entry's leaning towards a replica, from 0 to 1.
    fn offset(&self, incarnation: &str) -> f64 {
        let score = rank::score(self.instance.as_bytes(), incarnation);
        score as f64 / u64::MAX as f64
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns how many layers the model has that a request needs.
fn layers(view: &FactsView, need: &Need) -> u32 {
    view.engine(&need.service).map_or(0, |engine| engine.layers)
}

/// Returns how many requests beyond its slots a replica may get.
///
/// An engine's slot is free again after a whole generation, so no request
/// waits for one there; a plain service's work is short.
const fn queue_room(slots: u32, engine: bool) -> u32 {
    if engine { 0 } else { slots }
}
