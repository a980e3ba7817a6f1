//! Picking a replica for each request, and waiting for one with room.

mod find;
mod hall;
mod known;
mod news;
mod notice;
mod outcome;
mod place;
mod queue;
mod terms;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use stairhinge::direct::{
    AllowedRegions, Contention, EvacuationBound, HallEntry, HallRegions,
    ReplicaState,
};
use stairhinge::placing::{
    ChooserKind, Need, NoPlaceReason, RecentObjectives,
};
use stairhinge_shell::directory::{Facts, FactsView};

use self::find::layers;
use self::known::{Known, Reported};
pub(crate) use self::place::Place;
pub(crate) use self::queue::Found;
use self::queue::Queue;
use crate::report::EngineReport;
use crate::settings::ColdLimits;

#[derive(Debug, Default)]
struct State {
    known: HashMap<Arc<str>, Known>,
    waiting: Queue,
    contention: Contention,
    recent_objectives: RecentObjectives,
    /// The entries that agents of the own hall tell of.
    entries: Arc<Vec<HallEntry>>,
    /// How many entries the own hall has at most, by its agents; 0 if none
    /// has told.
    listening: usize,
    /// The leading ones of the own hall, the first to place in front.
    ranked: Arc<Vec<SocketAddr>>,
}

/// How far the dispatcher looks back and ahead.
#[derive(Clone, Debug)]
pub(crate) struct DispatchBounds {
    /// Within which a named version has to serve.
    pub version: Duration,
    /// Within which an evacuated hall gets nothing more.
    pub evacuation: EvacuationBound,
    /// The bound on requests to a cold replica.
    pub cold: ColdLimits,
    /// The region of each hall.
    pub regions: HallRegions,
}

/// The replicas of a service, by whether they could take a request.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplicaCount {
    /// All that are listed.
    pub listed: usize,
    /// Those that could take it if they had room.
    pub suitable: usize,
    /// Those in a region where it may not be served.
    pub barred: usize,
    /// Those of the others in a hall that is evacuated.
    pub evacuated: usize,
    /// Those of the others that are leaving, by the list or their answers.
    pub leaving: usize,
    /// Those of the others whose `Retry-After` to this entry has not expired.
    pub resting: usize,
    /// The shortest remaining `Retry-After` of the resting replicas.
    pub min_retry_after: Option<Duration>,
    /// Suitable replicas that have set a rate limit.
    pub limited: usize,
}

/// The numbers of listed replicas subject to each kind of restriction. A
/// replica can be counted under several.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RestrictedCount {
    /// Replicas that are cold and receive a bounded number of requests.
    pub cold: usize,
    /// Replicas with a rate limit.
    pub limited: usize,
    /// Replicas that announced that they are leaving.
    pub leaving: usize,
    /// Replicas whose `Retry-After` to this entry has not expired.
    pub resting: usize,
}

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
        kind: ChooserKind,
    ) -> Result<Place, NoPlaceReason> {
        let wait = until.saturating_duration_since(Instant::now());
        match self.request(need, !wait.is_zero(), kind) {
            Found::Place(place) => Ok(place),
            Found::Nothing(lack) => Err(lack),
            Found::Waits(found) => {
                found.within(wait).await.ok_or(NoPlaceReason::Room)
            }
        }
    }

    /// Returns a place at a replica; where there is no room now, it waits for
    /// some if the caller does.
    pub(crate) fn request(
        &self,
        need: Need,
        waits: bool,
        kind: ChooserKind,
    ) -> Found {
        let mut state = self.lock();
        state.recent_objectives.record(&need, self.facts.now());
        let view = self.facts.view();
        let ahead = state.waiting.goes_before(&need);
        if !ahead
            && let Some(place) =
                self.find(&mut state, &view, &need, kind, None)
        {
            return Found::Place(place);
        }
        if !self.exists(&state, &view, &need) {
            return Found::Nothing(self.lack(&state, &view, need));
        }
        if !waits {
            return Found::Nothing(NoPlaceReason::Room);
        }
        Found::Waits(state.waiting.join(need, kind))
    }

    /// Returns why no replica serves what is needed.
    fn lack(
        &self,
        state: &State,
        view: &FactsView,
        mut need: Need,
    ) -> NoPlaceReason {
        if !need.regions.is_restricted() {
            return NoPlaceReason::Replica;
        }
        need.regions = AllowedRegions::default();
        if self.exists(state, view, &need) {
            NoPlaceReason::Region
        } else {
            NoPlaceReason::Replica
        }
    }

    /// Counts the replicas of a service by whether they could take a request.
    pub(crate) fn count(&self, need: &Need) -> ReplicaCount {
        let state = self.lock();
        let view = self.facts.view();
        let now = self.facts.now();
        let layers = layers(&view, need);
        let mut count = ReplicaCount::default();
        for (replica, _) in view.of_service(&need.service) {
            count.listed += 1;
            if !self.is_allowed(need, &replica.hall) {
                count.barred += 1;
                continue;
            }
            if self.evacuation_room(&view, &replica.hall) <= 0.0 {
                count.evacuated += 1;
                continue;
            }
            let known = state.known.get(&replica.incarnation);
            let current = known.filter(|k| k.matches_process(replica));
            let announced = current.is_some_and(|k| k.leaving.is_leaving());
            if announced || replica.state == ReplicaState::Draining {
                count.leaving += 1;
                continue;
            }
            let remaining = current.and_then(|k| k.retry_after.remaining(now));
            if let Some(remaining) = remaining {
                count.resting += 1;
                let min = count.min_retry_after.unwrap_or(remaining);
                count.min_retry_after = Some(min.min(remaining));
                continue;
            }
            let terms = self.terms(&state, &view, need, replica, layers, now);
            if terms.is_none() {
                continue;
            }
            count.suitable += 1;
            let limited = known.is_some_and(|k| k.limit.limit().is_some());
            count.limited += usize::from(limited);
        }
        count
    }

    /// Gives waiting requests the room that there is now, at one replica if
    /// that alone has changed.
    pub(crate) fn pump(&self, only: Option<&Arc<str>>) {
        let mut state = self.lock();
        if state.waiting.is_empty() {
            return;
        }
        let view = self.facts.view();
        let mut given = Vec::new();
        for waiter in state.waiting.take() {
            let (need, kind) = (&waiter.need, waiter.kind);
            match self.find(&mut state, &view, need, kind, only) {
                Some(place) => {
                    state.waiting.note_given();
                    given.push((waiter, place));
                }
                None => state.waiting.keep(waiter),
            }
        }
        drop(state);
        for (waiter, place) in given {
            // A place whose waiter has just gone is given back by its drop.
            let _ = waiter.found.send(place);
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
        let tells_entries =
            report.entries.is_some() || report.leading.is_some();
        if let Some(last) = &mut known.reported {
            report.fill_missing_from(&mut last.report);
        }
        let all = report.queued + report.running;
        let own = known.load.own();
        known.load = known.load.with_report(report.queued, report.running);
        known.reported = Some(Reported { report, at: Instant::now() });
        state.contention.record_report(own, all);
        if tells_entries {
            self.rank_entries(&mut state);
        }
        drop(state);
        self.pump(Some(incarnation));
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
            let told = known.drop_report();
            // Tried again and again while an agent is away.
            if told {
                self.rank_entries(&mut state);
            }
        }
    }

    /// Drops the state of replicas that are no longer listed, unless requests
    /// are in progress there or a recent notice must be retained in case an
    /// expired list entry is restored.
    pub(crate) fn sweep(&self) {
        let view = self.facts.view();
        let mut state = self.lock();
        let now = self.facts.now();
        state.known.retain(|incarnation, known| {
            if view.replicas.contains_key(incarnation) {
                return true;
            }
            let kept = known.load.own() > 0 || known.has_recent_notice(now);
            if kept && known.load.own() == 0 {
                known.drop_report();
            }
            kept
        });
    }

    /// Returns the requests of this entry at replicas, and those waiting.
    pub(crate) fn load(&self) -> (usize, usize) {
        let state = self.lock();
        let own: u32 = state.known.values().map(|k| k.load.own()).sum();
        (own as usize, state.waiting.len())
    }

    /// Counts the listed replicas subject to each kind of restriction.
    pub(crate) fn count_restricted(&self) -> RestrictedCount {
        let now = self.facts.now();
        let view = self.facts.view();
        let state = self.lock();
        let mut count = RestrictedCount::default();
        for (incarnation, known) in &state.known {
            if !view.replicas.contains_key(incarnation) {
                continue;
            }
            count.cold += usize::from(known.is_cold(now));
            count.limited += usize::from(known.limit.limit().is_some());
            count.leaving += usize::from(known.leaving.is_leaving());
            let resting = known.retry_after.remaining(now).is_some();
            count.resting += usize::from(resting);
        }
        count
    }

    /// Whether the replica's engine has been reported down since a moment.
    pub(crate) fn is_down(&self, incarnation: &str) -> bool {
        let state = self.lock();
        let reported =
            state.known.get(incarnation).and_then(|k| k.reported.as_ref());
        reported.is_some_and(|r| !r.report.up)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
